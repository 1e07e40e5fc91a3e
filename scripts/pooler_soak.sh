#!/usr/bin/env bash
# Random faults against proxies in front of an emulated platform, each a process on loopback. The clients check what they
# read; the same seed draws the same faults. Usage: scripts/pooler_soak.sh [--seed N] [--seconds N]
set -euo pipefail
cd "$(dirname "$0")/.."
seed=1
seconds=30
while [ $# -gt 0 ]; do
    case $1 in
    --seed) seed=$2 ;;
    --seconds) seconds=$2 ;;
    *) echo "unknown option $1" >&2; exit 2 ;;
    esac
    shift 2
done
scripts/build.sh kumquatbank-pooler platform_emulator session_load >/dev/null
. scripts/pooler_fleet.sh
trap pooler_stop_all EXIT

hosts=4
emulator_start --trouble-ms 2500 --seed "$seed"
addresses=
for n in $(seq 0 $((hosts - 1))); do
    pooler_start "$n"
    addresses+=${addresses:+,}$(pooler_client_address "$n")
done
for n in $(seq 0 $((hosts - 1))); do pooler_wait_ready "$n"; done

"$bin/tools/emulator/session_load" --proxies "$addresses" --clients 5 --seconds "$seconds" --seed "$seed" >"$pooler_dir/load.txt" &
load_pid=$!
RANDOM=$seed
while kill -0 "$load_pid" 2>/dev/null; do
    host=$((RANDOM % hosts))
    pid=${pooler_pids[$host]}
    case $((RANDOM % 4)) in
    0) echo "kill host-$host"; kill -KILL "$pid"; wait "$pid" 2>/dev/null || true; sleep 0.5; pooler_start "$host" ;;
    1) echo "freeze host-$host"; kill -STOP "$pid"; sleep $((1 + RANDOM % 3)); kill -CONT "$pid" ;;
    2) echo "stop host-$host"; kill -TERM "$pid"; wait "$pid" || true; pooler_start "$host" ;;
    3) echo "reload host-$host"; kill -HUP "$pid" ;;
    esac
    sleep $((1 + RANDOM % 3))
done
status=0
wait "$load_pid" || status=$?
cat "$pooler_dir/load.txt"
grep -E '^trouble' "$pooler_dir/platform.log" || true
if [ "$status" = 0 ]; then
    echo "soak seed $seed: no violation"
    rm -rf "$pooler_dir"
else
    echo "soak seed $seed failed; logs kept in $pooler_dir"
fi
exit "$status"
