#!/usr/bin/env bash
# Measures the processor time of one proxy a statement, and what it adds to the latency, against the emulated platform.
# Usage: scripts/measure_pooler.sh [seconds] [clients of each database]
set -euo pipefail
cd "$(dirname "$0")/.."
seconds=${1:-10}
clients=${2:-20}
scripts/build.sh kumquatbank-pooler platform_emulator session_load >/dev/null
. scripts/pooler_fleet.sh
trap pooler_stop_all EXIT

emulator_start --work-ms 1 --lag-ms 5 --max-connections 41
pooler_start 0
pooler_wait_ready 0
sleep 2
ticks() { awk '{print $14 + $15}' "/proc/${pooler_pids[0]}/stat"; }
idle_from=$(ticks); sleep 5; idle_to=$(ticks)
from=$(ticks)
"$bin/tools/emulator/session_load" --proxies "$(pooler_client_address 0)" --clients "$clients" --seconds "$seconds" --pause-ms 20 >"$pooler_dir/load.txt"
to=$(ticks)
cat "$pooler_dir/load.txt"
served=$(awk 'NR > 1 && NF > 4 && $2 ~ /^[0-9]+$/ { n += $2 } END { print n }' "$pooler_dir/load.txt")
hertz=$(getconf CLK_TCK)
awk -v idle="$((idle_to - idle_from))" -v used="$((to - from))" -v n="$served" -v hz="$hertz" -v s="$seconds" 'BEGIN {
    printf "idle: %.2f ms of processor time a second\n", idle / hz / 5 * 1000
    printf "%d statements in %d s: %.1f us of processor time each, %.0f statements a second of processor time\n", n, s, used / hz / n * 1e6, n / (used / hz)
}'
grep VmRSS "/proc/${pooler_pids[0]}/status"
