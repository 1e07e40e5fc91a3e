#!/usr/bin/env bash
# Builds everything into build/. Usage: scripts/build.sh [cmake targets...]
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S . -B build -G Ninja >/dev/null
cmake --build build ${1:+--target "$@"}
