#!/usr/bin/env bash
# Runs the cells of tests/fault_matrix.txt on one small fleet and requires that the history checker finds nothing.
# Usage: tests/fault_matrix.sh [seed] [cell...]
set -uo pipefail
root=$(cd "$(dirname "$0")/.." && pwd)
. "$root/scripts/fault_fleet.sh"
seed=${1:-1}; shift || true
wanted=" $* "
proxy_count=4 database_count=2
readonly load_seconds=6 in_force_ms=5000 recovery_seconds=15
now_ms() { date +%s%3N; }
problem() { echo "FAIL $cell (seed $seed): $*"; cell_failed=1; failed=1; }

# The in-force check asks every process, so it needs no trust in the revision that a process reports.
wait_in_force() { # entry, status pattern that every proxy has to answer
    local n until=$(($(now_ms) + in_force_ms))
    for ((n = 0; n < proxies; n++)); do
        [[ " ${dead_proxies:-} " == *" $n "* ]] && continue
        until [[ $(entry_status "$n" "$1") =~ $2 ]]; do
            [ "$(now_ms)" -lt "$until" ] || { problem "entry $1 does not answer $2 on proxy $n within $in_force_ms ms"; return; }
            sleep 0.1
        done
    done
}

step_statement() { faults_on "$fault_names"; sleep 3; faults_off "$fault_names"; }
step_transaction() { step_statement; }
step_promotion() {
    local slot; slot=$(primary_slot "$victim")
    fault "$victim" "$slot" '{"fault":"freeze"}'; sleep 0.8
    fault_slot=; faults_on "$fault_names"; sleep 3
    fault "$victim" "$slot" '{"fault":"clear"}'; faults_off "$fault_names"
}
step_catalogue() {
    local entry=$service_prefix-1-$cell status
    faults_on "$fault_names"
    case $fault_names in proxy-killed) dead_proxies=$fault_proxy ;; esac
    status=$(put_entry "$entry" 0 "$service_prefix-1" read 3 0)
    if [ "$fault_names" = platform-down ]; then
        [ "$status" = 503 ] || problem "an edit got status $status while the platform is down"
        sleep 1; faults_off "$fault_names"
        status=$(put_entry "$entry" 0 "$service_prefix-1" read 3 0)
    fi
    # Without an answer the operator reads the object back and finds its own change.
    [ "$status" = 200 ] || curl -s -m 5 "http://$platform/v1/objects/entry/$entry" |
        jq -e '.value.changeId' >/dev/null || problem "the edit got status $status"
    wait_in_force "$entry" '^(200|4[12]|5)'
    curl -s -m 5 -o /dev/null -X DELETE "http://$platform/v1/objects/entry/$entry?expected=1"
    wait_in_force "$entry" '^404$'
    [ "$fault_names" = platform-down ] || faults_off "$fault_names"
    dead_proxies=; sleep 0.5
    wait_for 5 proxy_ready 0
    local n
    for ((n = 0; n < proxies; n++)); do
        [[ $(entry_status "$n" "$entry") =~ ^(404|000)$ ]] || problem "proxy $n serves the removed entry again"
    done
}
# The endpoint counts the statements that reach it more than 3 s after its notice.
step_leaving() {
    local before
    fault_slot=$(primary_slot "$victim")
    before=$(slot_status "$victim" "$fault_slot" | jq .statementsAfterLeaving)
    faults_on "$fault_names"; sleep 4.6
    [ "$(slot_status "$victim" "$fault_slot" | jq .statementsAfterLeaving)" = "$before" ] ||
        problem "the leaving slot $fault_slot got new work after 3 s"
    faults_off "$fault_names"
}
step_operators() {
    local entry=$service_prefix-1-$cell first second
    put_entry "$entry" 0 "$service_prefix-1" read 3 0 >/dev/null
    put_entry "$entry" 1 "$service_prefix-1" read 3 1 >"$fleet_dir/first" & local one=$!
    put_entry "$entry" 1 "$service_prefix-1" read 3 2 >"$fleet_dir/second" & wait "$one" $!
    first=$(<"$fleet_dir/first") second=$(<"$fleet_dir/second")
    [ "$(printf '%s\n' "$first" "$second" | sort | tr '\n' ' ')" = "200 409 " ] || problem "two edits of one version got $first and $second"
    wait_in_force "$entry" '^(200|4[12]|5)'
}
step_join() {
    faults_on "$fault_names"
    start_proxy "$proxies"
    wait_for 5 proxy_ready "$proxies" || problem "the new process is not ready within 5 s"
    sleep 1; faults_off "$fault_names"
    stop_proxy "$proxies"
}
# Clients behave as behind a balancer: they start requests while the proxy is ready, and each of them must be
# answered. The load driver cannot tell a request that was cut from one sent on a connection closed long before.
drain_client() { # proxy index, time in the database in ms
    local answer
    while proxy_ready "$1" >/dev/null; do
        answer=$(curl -s -m 5 "http://$(caller_address "$1")/v1/statement" -d \
            "{\"requestId\":\"d\",\"entry\":\"$service_prefix-1-pull\",\"database\":\"${databases[1]}\",\"kind\":\"read\",\"statement\":\"sleep $2; get d\",\"session\":\"\",\"deadlineMs\":4000}")
        jq -e '.verdict == "answered"' >/dev/null 2>&1 <<<"$answer" || echo "curl $? answer '$answer'" >>"$fleet_dir/cut"
        echo >>"$fleet_dir/drained"
    done
}
step_drain() {
    local n time clients=()
    n=$(holder_of 1)
    rm -f "$fleet_dir/cut" "$fleet_dir/drained"
    for time in 50 200 200 2500; do drain_client "$n" "$time" & clients+=($!); done
    faults_on "$fault_names"; sleep 0.5
    stop_proxy "$n"
    wait "${clients[@]}"
    [ ! -s "$fleet_dir/cut" ] || problem "the drain cut $(wc -l <"$fleet_dir/cut") of $(wc -l <"$fleet_dir/drained") requests, first: $(head -1 "$fleet_dir/cut")"
    faults_off "$fault_names"; start_proxy "$n"
}
stop_proxy() { # proxy index
    local status=0
    kill -TERM "${proxy_pid[$1]}"
    # Every request of a cell has a deadline of 4 s or less, so a longer drain hangs.
    wait_for 20 eval "! kill -0 ${proxy_pid[$1]}" || kill_process "${proxy_pid[$1]}"
    wait "${proxy_pid[$1]}" || status=$?
    [ $status = 0 ] || problem "the drained proxy $1 exited with $status"
}

check_report() {
    local report=$fleet_dir/$cell.json gap
    [ -s "$report" ] || { problem "the load driver wrote no report"; return; }
    [ "$(jq .violations.total "$report")" = 0 ] || problem "$(jq -c .violations "$report")"
    gap=$(jq --arg d "${databases[$victim]}" '.writeGapMs[$d] // 99999' "$report")
    [ "$gap" -le "$bound" ] || problem "longest gap between writes is $gap ms, bound $bound ms"
    echo "$([ $cell_failed = 0 ] && echo ok || echo FAILED) $cell: gap $gap ms, $(jq -r '"\(.confirmed) confirmed, \(.uncertain) uncertain, replica share \(.replicaShare)"' "$report")"
}

run_cell() {
    cell_failed=0 victim=0
    wait_for "$recovery_seconds" fleet_healthy || { problem "the fleet is not healthy before the cell"; fleet_summary; return; }
    run_load "$fleet_dir/$([ "$step" = transaction ] && echo transactions || echo ordinary).json" "$load_seconds" \
        "$seed" --json "$fleet_dir/$cell.json" >"$fleet_dir/$cell.txt" 2>&1 &
    local load=$!
    fleet_pids+=("$load")
    sleep 1
    "step_$step"
    wait "$load"
    check_report
}

failed=0
choose_port_base
fleet_start stenozapis || exit 1
write_mix save:1:write:4:40:3000 save:1:transaction:1:5:3000 pull:2:read:4:60:3000 lookup:3:read:2:40:3000 >"$fleet_dir/ordinary.json"
write_mix save:1:write:2:20:3000 save:1:transaction:6:40:3000 pull:2:read:4:40:3000 |
    jq 'map(if .kind == "transaction" then .serviceMs = 60 else . end)' >"$fleet_dir/transactions.json"
trim() { sed 's/^ *//;s/ *$//' <<<"$1"; }
while IFS='|' read -r -u 9 cell fault_names step bound guards; do
    [[ $cell == \#* || -z $cell ]] && continue
    cell=$(trim "$cell") fault_names=$(trim "$fault_names") step=$(trim "$step") bound=$(trim "$bound")
    [ "$wanted" = "  " ] || [[ $wanted == *" $cell "* ]] || continue
    # A cell named on the command line always runs.
    if [ "$wanted" = "  " ] && grep -qx "cell: $cell" "$root/KNOWN-RED.txt" 2>/dev/null; then
        echo "known to fail, passed over: $cell (KNOWN-RED.txt)"
        continue
    fi
    run_cell
    [ $cell_failed = 0 ] || echo "  guards against:$guards; repeat: tests/fault_matrix.sh $seed $cell"
done 9<"$root/tests/fault_matrix.txt"
report_aborts || failed=1
[ -z "${KEEP_LOGS:-}" ] || cp -r "$fleet_dir" "$KEEP_LOGS"
fleet_stop
exit $failed
