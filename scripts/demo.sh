#!/usr/bin/env bash
# Runs four proxies in front of an emulated platform, as processes on loopback: ordinary work, a crashed primary, a
# killed proxy, a planned stop and a planned change of a primary. Prints what was served, by whom and how fast.
# Usage: scripts/demo.sh [seed]
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/install-packages.sh
scripts/build.sh kumquatbank-pooler kumquatctl platform_emulator session_load
. scripts/pooler_fleet.sh
trap pooler_stop_all EXIT

seed=${1:-1}
hosts=4
emulator_start --crash-primary-ms 8000 --leave-primary-ms 18000 --seed "$seed"
addresses=
for n in $(seq 0 $((hosts - 1))); do
    pooler_start "$n"
    addresses+=${addresses:+,}$(pooler_client_address "$n")
done
for n in $(seq 0 $((hosts - 1))); do pooler_wait_ready "$n"; done
echo "$hosts proxies in front of 3 services of 3 databases; logs in $pooler_dir"

"$bin/tools/emulator/session_load" --proxies "$addresses" --clients 8 --seconds 24 --seed "$seed" >"$pooler_dir/load.txt" &
load_pid=$!
sleep 12
echo "at 12 s: kill proxy 0, start it again after 1 s"
kill -KILL "${pooler_pids[0]}"
sleep 1
pooler_start 0
sleep 3
echo "at 16 s: planned stop of proxy 1, start it again"
kill -TERM "${pooler_pids[1]}"
wait "${pooler_pids[1]}" || true
pooler_start 1
status=0
wait "$load_pid" || status=$?
cat "$pooler_dir/load.txt"
kill -TERM "$emulator_pid"
wait "$emulator_pid" || true
grep -E '^(trouble|promotion)' "$pooler_dir/platform.log"
refused=$(grep -h '"outcome":"busy"' "$pooler_dir"/host-*.log | head -1 | sed -E 's/.*"request":"([^"]+)".*/\1/' || true)
if [ -n "$refused" ]; then
    echo "one refused request, explained from the logs:"
    "$bin/apps/kumquatctl" explain "$refused" "$pooler_dir"/host-*.log
fi
if [ "$status" = 0 ]; then echo "demo passed: no violation"; else echo "demo failed: see the violations above"; fi
exit "$status"
