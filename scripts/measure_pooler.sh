#!/usr/bin/env bash
# Measures against the emulated platform what one proxy costs a statement: processor time, round trips to a database and new
# connections to databases, and its latency; first for reads, writes and short transactions, then for sessions that set values
# and run prepared statements. With the program of another build, that one is measured first under the same load.
# Usage: scripts/measure_pooler.sh [seconds] [clients of each database] [other proxy program]
set -euo pipefail
cd "$(dirname "$0")/.."
seconds=${1:-10}
clients=${2:-20}
other=${3:-}
[ -n "${KUMQUATBANK_BIN:-}" ] || scripts/build.sh kumquatbank-pooler platform_emulator session_load >/dev/null
. scripts/pooler_fleet.sh
trap pooler_stop_all EXIT

ticks() { awk '{print $14 + $15}' "/proc/${pooler_pids[0]}/stat"; }

measure() { # name of the load, options of the load
    local name=$1 idle_from idle_to from to served hertz
    shift
    emulator_start --work-ms 1 --lag-ms 5 --max-connections 41
    pooler_start 0
    pooler_wait_ready 0
    sleep 2
    idle_from=$(ticks); sleep 5; idle_to=$(ticks)
    from=$(ticks)
    "$bin/tools/emulator/session_load" --proxies "$(pooler_client_address 0)" --seconds "$seconds" --seed 1 --pause-ms 20 "$@" >"$pooler_dir/load.txt"
    to=$(ticks)
    grep VmRSS "/proc/${pooler_pids[0]}/status"
    kill -TERM "${pooler_pids[0]}" && wait "${pooler_pids[0]}" || true
    emulator_stop
    cat "$pooler_dir/load.txt"
    served=$(awk 'NR > 1 && NF > 4 && $2 ~ /^[0-9]+$/ { n += $2 } END { print n }' "$pooler_dir/load.txt")
    hertz=$(getconf CLK_TCK)
    awk -v idle="$((idle_to - idle_from))" -v used="$((to - from))" -v n="$served" -v hz="$hertz" -v s="$seconds" 'BEGIN {
        printf "idle: %.2f ms of processor time a second\n", idle / hz / 5 * 1000
        printf "%d statements in %d s: %.1f us of processor time each, %.0f statements a second of processor time\n", n, s, used / hz / n * 1e6, n / (used / hz)
    }'
    grep '^received: ' "$pooler_dir/platform.log" | tail -n 1 | awk -v n="$served" -v name="$name" '{
        printf "%s: %.3f round trips and %.5f new connections a statement; %s\n", name, $6 / n, $3 / n, $0
    }'
}

measure_program() { # name; KUMQUATBANK_PROXY: the program
    echo "== $1"
    measure plain --clients "$clients"
    measure sessions --clients 0 --session-state-clients "$clients"
}

[ -z "$other" ] || KUMQUATBANK_PROXY=$other measure_program "other build"
measure_program "this build"
