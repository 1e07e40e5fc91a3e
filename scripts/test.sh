#!/usr/bin/env bash
# Installs what the build needs, builds, and runs every test through ctest.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/install-packages.sh
scripts/build.sh
cd build
exec ctest --output-on-failure --no-tests=error --timeout 300
