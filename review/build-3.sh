#!/usr/bin/env bash
# Builds the stand-ins of review cases 11 to 15 into target/review-3. Runs offline, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S review/standins-3 -B target/review-3 -G Ninja -DCMAKE_BUILD_TYPE=Release
cmake --build target/review-3
