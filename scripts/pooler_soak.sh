#!/usr/bin/env bash
# Random faults against proxies in front of an emulated platform, each a process on loopback: signals to the proxies,
# network faults by a proxy between all parts, faults of the store and the databases. They overlap, and the same seed
# draws the same ones. The clients check what they read, the emulator what its databases ran.
# --sync N: commits are confirmed by N replicas, which also fall deaf and leave. --odd: another writer leaves entries that
# cannot be read. --planned: planned work only, signals to stop and to reload, changes of the configuration and databases
# that leave; every statement that reached a database must then be answered.
# --orders: --planned with further orders of events: several signals to one host, stops of a whole region, stops before the
# first configuration, changes of the settings files and of routes, databases that leave in turn.
# --max-connections N: of each database; with fewer than hosts, hosts lend each other connections. --regions N: of hosts.
# --accounts N: clients send the keys of N accounts, which the operator takes away and gives back. With --planned, where no
# host is cut off from the store, a withdrawn key must be refused 5 s after the store's acknowledgement at the latest.
# --sessions: clients that depend on session values and prepared statements, commands of the proxies that databases refuse or
# cut, and leads that move under open transactions. No answer may blame a client for that, no statement may run with other
# values than its session set, and nothing may be kept that an answer promised not to be.
# Usage: scripts/pooler_soak.sh [--seed N] [--seconds N] [--hosts N] [--sync N] [--odd] [--planned | --orders]
#            [--max-connections N] [--regions N] [--accounts N] [--sessions]
set -euo pipefail
cd "$(dirname "$0")/.."
seed=1
seconds=30
hosts=4
sync=0
odd=
planned=
orders=
sessions=
max_connections=21
regions=1
accounts=0
while [ $# -gt 0 ]; do
    case $1 in
    --seed) seed=$2 ;;
    --seconds) seconds=$2 ;;
    --hosts) hosts=$2 ;;
    --sync) sync=$2 ;;
    --odd) odd=--odd-entries; shift; continue ;;
    --planned) planned=--planned; shift; continue ;;
    --sessions) sessions=--session-troubles; shift; continue ;;
    --orders) planned=--planned orders=--orders; shift; continue ;;
    --max-connections) max_connections=$2 ;;
    --regions) regions=$2 ;;
    --accounts) accounts=$2 ;;
    *) echo "unknown option $1" >&2; exit 2 ;;
    esac
    shift 2
done
# Seeds that run beside each other use one finished build.
[ -n "${KUMQUATBANK_BIN:-}" ] || scripts/build.sh kumquatbank-pooler platform_emulator fault_proxy session_load >/dev/null
. scripts/pooler_fleet.sh
[ -z "$orders" ] || . scripts/pooler_orders.sh
pooler_regions=$regions
trap pooler_stop_all EXIT

readonly hosts tick=0.25
[ -z "$planned" ] && planned_only=0 || planned_only=1
# The last part of the run is free of new faults, so that what is acknowledged can be read at the end.
readonly quiet_seconds=5
trouble_seconds=$((seconds > 2 * quiet_seconds ? seconds - quiet_seconds : quiet_seconds))
RANDOM=$seed

[ -n "$planned" ] || fault_proxy_start "$hosts" --trouble-ms 700 --trouble-s "$trouble_seconds" --seed "$seed"
emulator_start --trouble-ms 1500 --trouble-s "$trouble_seconds" --seed "$seed" --sync-replicas "$sync" $odd $planned $sessions --kept-file "$pooler_dir/kept.txt" \
    --max-connections "$max_connections" ${orders:+--orders --second-store-port $((emulator_port + second_store_offset)) --absent-file "$pooler_dir/absent.txt"} \
    --ran-file "$pooler_dir/ran.txt" --accounts "$accounts" --withdrawn-file "$pooler_dir/withdrawn.txt"
addresses=
host_state=() due_tick=()
for ((n = 0; n < hosts; n++)); do
    pooler_start "$n"
    addresses+=${addresses:+,}$(pooler_client_address "$n")
    host_state[$n]=up
done
for ((n = 0; n < hosts; n++)); do pooler_wait_ready "$n"; done

"$bin/tools/emulator/session_load" --proxies "$addresses" --clients 5 --seconds "$seconds" --seed "$seed" \
    --transaction-writes "$((1 + seed % 4))" ${planned:+--planned-work-clients 6} \
    ${sessions:+--session-state-clients 4} --not-kept-file "$pooler_dir/not-kept.txt" \
    ${orders:+--extra-databases 2} --unknown-file "$pooler_dir/unknown.txt" --unanswered-file "$pooler_dir/unanswered.txt" \
    --accounts "$accounts" --key-file "$pooler_dir/keys.txt" \
    >"$pooler_dir/load.txt" &
load_pid=$!

# A host that exceeds the memory of its machine would be ended there.
check_memory() { # host
    local kilobytes
    kilobytes=$(sed -n 's/^VmHWM:[^0-9]*\([0-9]*\).*/\1/p' "/proc/${pooler_pids[$1]}/status" 2>/dev/null) || return 0
    [ "${kilobytes:-0}" -le $((pooler_memory_mb * 1024)) ] || { echo "violation: host-$1 took $((kilobytes / 1024)) MB, its machine has $pooler_memory_mb"; status=1; }
}

# Ends a fault of a host once it is due.
recover() { # host, tick
    local pid=${pooler_pids[$1]}
    case ${host_state[$1]} in
    up) check_memory "$1"; kill -0 "$pid" 2>/dev/null || { echo "host-$1 ended by itself"; status=1; pooler_start "$1"; } ;;
    frozen) [ "$2" -lt "${due_tick[$1]}" ] || { kill -CONT "$pid"; host_state[$1]=up; } ;;
    killed) [ "$2" -lt "${due_tick[$1]}" ] || { pooler_start "$1"; host_state[$1]=up; } ;;
    stopping) kill -0 "$pid" 2>/dev/null || { wait "$pid" || { echo "violation: host-$1 exited with $?"; status=1; }; pooler_start "$1"; host_state[$1]=up; [ -z "$orders" ] || order_after_start "$1"; } ;;
    esac
}

disturb() { # host, tick
    local pid=${pooler_pids[$1]} lasts=$((1 + RANDOM % 16))
    due_tick[$1]=$(($2 + lasts))
    if [ -n "$orders" ]; then draw_order "$1" "$2"; return; fi
    case $((planned_only ? 2 + RANDOM % 3 : RANDOM % 5)) in
    0) echo "tick $2: kill host-$1 for $lasts ticks"; kill -KILL "$pid"; wait "$pid" 2>/dev/null || true; host_state[$1]=killed ;;
    1) echo "tick $2: freeze host-$1 for $lasts ticks"; kill -STOP "$pid"; host_state[$1]=frozen ;;
    2) echo "tick $2: stop host-$1"; kill -TERM "$pid"; host_state[$1]=stopping ;;
    3) echo "tick $2: reload host-$1 three times"; for _ in 1 2 3; do kill -HUP "$pid"; done ;;
    4) echo "tick $2: reload and stop host-$1"; kill -HUP "$pid"; kill -TERM "$pid"; host_state[$1]=stopping ;;
    esac
}

# True if every host is up and has the newest configuration that the operator has written.
all_configured() { # tick
    local n version expected
    expected=$(grep -oE 'a new configuration, version [0-9]+' "$pooler_dir/platform.log" | grep -oE '[0-9]+$' | tail -n 1)
    for ((n = 0; n < hosts; n++)); do
        recover "$n" "$1"
        [ "${host_state[$n]}" = up ] || return 1
        version=$(curl -sf --max-time 1 "http://$pooler_ip:$((pooler_base + n * 10 + 3))/state" | grep -oE '"configVersion":[0-9]+' | grep -oE '[0-9]+$') || return 1
        [ "$version" -ge "${expected:-1}" ] || { lagging="host-$n has version $version, the operator wrote ${expected:-1}"; return 1; }
    done
}

status=0
last_tick=$((trouble_seconds * 4))
for ((now = 0; ; now++)); do
    kill -0 "$load_pid" 2>/dev/null || break
    for ((n = 0; n < hosts; n++)); do recover "$n" "$now"; done
    host=$((RANDOM % hosts)) draw=$((RANDOM % 6))
    if [ "$draw" = 0 ] && [ "$now" -lt "$last_tick" ] && [ "${host_state[$host]}" = up ]; then disturb "$host" "$now"; fi
    if [ -n "$orders" ]; then pass_tick; else sleep "$tick"; fi
done
wait "$load_pid" || status=1
# The last return of the store ends its outage and what is written again within this time, and a change is then in force.
lagging="a host is not up"
for ((end = now + 60; now < end; now++)); do
    all_configured "$now" && break
    if [ -n "$orders" ]; then pass_tick; else sleep "$tick"; fi
done
[ "$now" -lt "$end" ] || { echo "violation: $lagging"; status=1; }
emulator_stop || status=1
# A statement that crossed the end of its connection has reached no database.
if [ -n "$planned" ] && cut=$(grep -Fxf "$pooler_dir/unanswered.txt" "$pooler_dir/ran.txt"); then
    echo "violation: ran without an answer: $(echo $cut)"
    status=1
fi
if [ -n "$sessions" ] && kept=$(grep -Fxf "$pooler_dir/not-kept.txt" "$pooler_dir/kept.txt"); then
    echo "violation: kept though an answer promised that nothing is: $(echo $kept)"
    status=1
fi
# Without changes of routes, no answer may be NODB.
if ! awk -v apply_ms=3000 -f scripts/unknown_databases.awk <(cat "$pooler_dir/absent.txt" 2>/dev/null) "$pooler_dir/unknown.txt"; then status=1; fi
if [ "$accounts" -gt 0 ] && [ -n "$planned" ]; then
    awk -v apply_ms=5000 -v grace_ms=2000 -f scripts/withdrawn_keys.awk "$pooler_dir/withdrawn.txt" "$pooler_dir/keys.txt" || status=1
fi
# No key is written to a log.
if [ "$accounts" -gt 0 ] && grep -hE 'key-[0-9]|(unknown|shared)-key' "$pooler_dir"/host-*.log | head -n 3 | grep .; then
    echo "violation: a log contains a key"
    status=1
fi
cat "$pooler_dir/load.txt"
grep -hsE '^(trouble|violation)' "$pooler_dir/platform.log" "$pooler_dir/faults.log" || true
if [ "$status" = 0 ]; then
    echo "soak seed $seed: no violation"
    rm -rf "$pooler_dir"
else
    echo "soak seed $seed failed; logs kept in $pooler_dir"
fi
exit "$status"
