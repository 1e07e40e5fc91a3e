#!/usr/bin/env bash
# Runs processes of an old and a new build in one fleet, for both programs. The old build writes the state first; then
# requests go through both builds while a primary is replaced and one process of each build drains.
# Usage: scripts/mixed_builds.sh OLD_BUILD NEW_BUILD (build trees as scripts/build.sh makes them)
set -euo pipefail
[ $# = 2 ] || { sed -n 4p "$0" >&2; exit 2; }
old=$(realpath "$1") new=$(realpath "$2")
cd "$(dirname "$0")/.."
root=$PWD
fail() { echo "FAIL $*" >&2; exit 1; }
require_readable() { # log files
    ! grep -hE '"event":"[a-z_]*(unreadable|skipped)"|malformed (peer|response)|bad exchange|invariant violated' "$@" || fail "unreadable messages"
}
drain() { kill -TERM "$@"; for pid in "$@"; do wait "$pid" || fail "process $pid did not drain"; done; }

# Hosts 0 to 2 run the old build; 3 to 5 run the new one and find what the old one stored.
pooler_part() {
    KUMQUATBANK_BIN=$old; . scripts/pooler_fleet.sh; trap pooler_stop_all EXIT
    emulator_start --crash-primary-ms 12000 --leave-primary-ms 20000 --seed 1
    local n addresses= load=$old/tools/emulator/session_load
    for n in 0 1 2; do pooler_start "$n"; pooler_wait_ready "$n"; addresses+=${addresses:+,}$(pooler_client_address "$n"); done
    "$load" --proxies "$addresses" --clients 4 --seconds 3 --seed 1 >/dev/null || fail "load on the old build"
    bin=$new
    for n in 3 4 5; do pooler_start "$n"; pooler_wait_ready "$n"; addresses+=,$(pooler_client_address "$n"); done
    "$load" --proxies "$addresses" --clients 12 --seconds 20 --seed 2 >"$pooler_dir/load.txt" &
    local load_pid=$!
    sleep 8; drain "${pooler_pids[0]}" "${pooler_pids[3]}"
    for n in 0 3; do pooler_start "$n"; done
    wait "$load_pid" || { cat "$pooler_dir/load.txt"; fail "load on both builds"; }
    cat "$pooler_dir/load.txt"
    emulator_stop || fail "the emulator found a violation"
    grep -E '^promotion' "$pooler_dir/platform.log" || fail "no promotion"
    for n in 0 1 2 3 4 5; do
        grep -q '"event":"statement".*"outcome":"ok"' "$pooler_dir/host-$n.log" || fail "host-$n served nothing"
    done
    require_readable "$pooler_dir"/host-*.log
}

statement() { # proxy index, JSON members
    curl -sf -m 5 "http://127.0.0.1:$((7100 + $1))/v1/statement" -d "{\"requestId\":\"r\",\"deadlineMs\":2000,$2}" || fail "request through proxy $1"
}
# Writes through one proxy and reads the row through another, with the session token of the write.
hand_session_over() { # proxy of the write, proxy of the read
    local database=${databases[1]} token
    token=$(statement "$1" "\"database\":\"$database\",\"entry\":\"${database%-*}-save\",\"kind\":\"write\",\"statement\":\"append mixed from-$1\"" | jq -r .session)
    statement "$2" "\"database\":\"$database\",\"entry\":\"${database%-*}-pull\",\"kind\":\"read\",\"statement\":\"get mixed\",\"session\":\"$token\"" |
        grep "from-$1" || fail "the read through proxy $2 lacks the write through proxy $1"
}

# Proxies with an odd number run the new build; all read settings and catalogue of the old one.
statement_part() {
    . scripts/fleet.sh; bin=$old proxy_count=6 database_count=3
    start_proxy() {
        write_settings "$1"
        fleet_spawn "proxy-$1" "$([ $(($1 % 2)) = 0 ] && echo "$old" || echo "$new")/apps/kumquatbank" --settings "$fleet_dir/proxy-$1.json"
        proxy_pid[$1]=$last_pid
    }
    fleet_start stenozapis
    hand_session_over 0 1
    hand_session_over 1 0
    # shellcheck disable=SC2046
    write_mix $(ordinary_work) >"$fleet_dir/mix.json"
    run_load "$fleet_dir/mix.json" 25 1 >"$fleet_dir/load.txt" 2>&1 &
    local load_pid=$! n
    sleep 5; kill -KILL "${endpoint_pid[0-0]}"
    sleep 10; drain "${proxy_pid[2]}" "${proxy_pid[3]}"
    wait "$load_pid" || { cat "$fleet_dir/load.txt"; fail "load on both builds"; }
    cat "$fleet_dir/load.txt"
    for n in 0 1 4 5; do
        "$new/apps/kumquatctl" --host "127.0.0.1:$((7100 + n))" groups | grep -qE "^${databases[0]} .* 2  *(yes|no) .* primary " || fail "proxy $n knows no promotion"
        curl -s "http://127.0.0.1:$((7300 + n))/metrics" | grep -E '^kumquatbank_requests_total.*answered.* [1-9]' >/dev/null || fail "proxy $n served nothing"
    done
    require_readable "$fleet_dir"/proxy-*.log "$fleet_dir"/proxy-*.out
}

for program in kumquatbank kumquatbank-pooler; do
    settings=$(mktemp)
    "$old/apps/$program" --print-defaults >"$settings"
    "$new/apps/$program" --check --settings "$settings" >/dev/null || fail "$program refuses settings of the old build"
    rm -f "$settings"
done
(pooler_part)
echo "kumquatbank-pooler: passed"
(statement_part)
echo "kumquatbank: passed"
