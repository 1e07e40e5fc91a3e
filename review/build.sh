#!/usr/bin/env bash
# Builds what the scripts of the review start. The stand-ins are Python with the standard library only, so that nothing
# is compiled; this checks that the interpreter is there and that the proxy of the deploy file has been built.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -c 'import sys, asyncio; assert sys.version_info >= (3, 9), sys.version'
for file in review/standins/*.py review/*/case.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file"
done
test -x target/apps/kumquatbank-pooler
