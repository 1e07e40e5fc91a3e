#!/usr/bin/env bash
# Runs the full fleet of a deployment under random faults of a seeded schedule and checks the history at the end.
# Exits with 1 on a violation, an aborted process or a fleet that does not recover.
# Usage: scripts/soak.sh --seed N (--minutes M | --seconds S) [--deployment stenozapis|lone-star]
set -uo pipefail
root=$(cd "$(dirname "$0")/.." && pwd)
seed=1 seconds=60 name=stenozapis
while [ $# -gt 0 ]; do
    case $1 in
    --seed) seed=$2 ;;
    --minutes) seconds=$(($2 * 60)) ;;
    --seconds) seconds=$2 ;;
    --deployment) name=$2 ;;
    *) sed -n 4p "$0" >&2; exit 2 ;;
    esac
    shift 2
done
. "$root/scripts/fault_fleet.sh"
readonly kinds=(primary-killed primary-cut primary-isolated primary-frozen primary-leaving replica-behind
    connections-silent answers-lost proxy-killed proxy-frozen platform-down platform-slow
    primary-cut+platform-down proxy-frozen+primary-killed)

# The schedule depends on the seed only: start after the previous fault, kind, database and duration.
write_schedule() {
    RANDOM=$seed
    local at=3 pause hold
    while :; do
        hold=$((2 + RANDOM % 4)) pause=$((1 + RANDOM % 4))
        [ $((at + hold)) -lt $((seconds - 3)) ] || break
        echo "$at ${kinds[RANDOM % ${#kinds[@]}]} $((RANDOM % ${#databases[@]})) $hold"
        at=$((at + hold + pause))
    done
}

choose_port_base
fleet_start "$name" || exit 1
write_schedule >"$fleet_dir/schedule"
echo "seed $seed, $name, $seconds s; schedule (second, fault, database, duration):"; cat "$fleet_dir/schedule"
# shellcheck disable=SC2046
write_mix $(ordinary_work) >"$fleet_dir/mix.json"
run_load "$fleet_dir/mix.json" "$seconds" "$seed" >"$fleet_dir/report.txt" 2>&1 &
load_pid=$!
fleet_pids+=("$load_pid")

failed=0
start=$SECONDS
while read -r -u 9 at kind victim hold; do
    # A killed slot loses its log, so a second slot of the group may be lost only after the first has copied it.
    wait_for 20 group_healthy "$victim" || { echo "group ${databases[$victim]} has not recovered before '$kind' at second $at"; failed=1; break; }
    while [ $((SECONDS - start)) -lt "$at" ]; do sleep 0.2; done
    [ $((SECONDS - start + hold)) -lt "$seconds" ] || { echo "skipped from second $at on: recovery took longer than the schedule allows"; break; }
    echo "second $((SECONDS - start)): $kind on ${databases[$victim]} for $hold s"
    faults_on "$kind"; sleep "$hold"; faults_off "$kind"
done 9<"$fleet_dir/schedule"
wait "$load_pid" || { echo "FAIL: the history checker found violations"; failed=1; }
cat "$fleet_dir/report.txt"
wait_for 20 fleet_healthy || { echo "FAIL: the fleet has not recovered within 20 s after the last fault"; failed=1; }
report_aborts || failed=1
[ -z "${KEEP_LOGS:-}" ] || cp -r "$fleet_dir" "$KEEP_LOGS"
[ $failed = 0 ] && echo "soak passed: seed $seed, $seconds s, no violation" || echo "soak failed: scripts/soak.sh --seed $seed --seconds $seconds --deployment $name"
fleet_stop
exit $failed
