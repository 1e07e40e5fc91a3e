#!/usr/bin/env bash
# Measures what one proxy process spends on databases that it holds while nobody sends statements: processor time,
# resident memory and threads, at 1, 3 and 9 databases. Usage: bench/holder_cost.sh [seconds]
set -euo pipefail
cd "$(dirname "$0")/.."
root=$PWD
. scripts/fleet.sh
seconds=${1:-10}

cpu_ticks() { awk '{ print $14 + $15 }' "/proc/$1/stat"; }
status_field() { awk -v field="$2:" '$1 == field { print $2 }' "/proc/$1/status"; }

printf '%9s %16s %10s %8s\n' databases 'CPU, ms/s' 'RSS, KB' threads
for count in 1 3 9; do
    database_count=$count proxy_count=1
    fleet_start stenozapis
    pid=${proxy_pid[0]}
    sleep 3
    ticks=$(cpu_ticks "$pid")
    sleep "$seconds"
    awk -v n="$count" -v ticks="$(($(cpu_ticks "$pid") - ticks))" -v s="$seconds" -v rss="$(status_field "$pid" VmRSS)" \
        -v threads="$(status_field "$pid" Threads)" \
        'BEGIN { printf "%9d %16.2f %10d %8d\n", n, ticks * 10 / s, rss, threads }'
    fleet_stop
done
