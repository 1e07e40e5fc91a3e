#!/usr/bin/env bash
# Builds the stand-ins and scenarios of the cases 6 to 10 into target/review-2. Needs what the deploy file's build needs.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
flags=(-std=c++20 -O1 -Wall -Wextra -pthread)
for unit in Sockets World; do
    g++ "${flags[@]}" -c "review/standins-2/tests/$unit.cpp" -o "target/review-2/$unit.o" &
done
wait
for source in review/{6,7,8,9,10}/tests/scenario.cpp; do
    [ -e "$source" ] || continue
    name=$(basename "$(dirname "$(dirname "$source")")")
    g++ "${flags[@]}" "$source" target/review-2/World.o target/review-2/Sockets.o -o "target/review-2/scenario-$name"
done
