#!/usr/bin/env bash
# Checks formatting and naming of every C++ file. Usage: scripts/lint.sh [--fix]
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/install-packages.sh
scripts/check_names.sh
mapfile -t files < <(git ls-files --cached --others --exclude-standard '*.cpp' '*.h')
if [ "${1:-}" = "--fix" ]; then
    clang-format -i "${files[@]}"
else
    clang-format --dry-run --Werror "${files[@]}"
fi
cmake -S . -B build -G Ninja >/dev/null
printf '%s\n' "${files[@]}" | grep '\.cpp$' | xargs -P "$(nproc)" -n 4 clang-tidy -p build --quiet 2>/dev/null
