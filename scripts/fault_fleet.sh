# Moves the fleet of scripts/fleet.sh to a free block of ports and adds the faults of the matrix and the soak;
# sourced with `root` set. Every `on_` function starts a fault on database `victim`, every `off_` function ends it.

. "$root/scripts/fleet.sh"
bin=${KUMQUATBANK_BIN:-$bin}

# One block holds every port of a fleet: platform, then callers, peers, metrics, endpoints and control ports.
readonly block_size=100

# Chooses below the range of outgoing connections, so that none of them can take a port of the block.
choose_port_base() {
    local used
    used=$(awk 'NR > 1 { split($2, a, ":"); print strtonum("0x" a[2]) }' /proc/net/tcp 2>/dev/null ||
        awk 'NR > 1 { split($2, a, ":"); print a[2] }' /proc/net/tcp | while read -r n; do echo $((16#$n)); done)
    for ((port_base = 20000; port_base < 32000; port_base += block_size)); do
        awk -v low=$port_base -v size=$block_size '$1 >= low && $1 < low + size { found = 1 } END { exit found }' \
            <<<"$used" && break
    done
    platform=127.0.0.1:$port_base
}

endpoint_port() { echo $((port_base + 40 + $1 * 3 + $2)); }
control_port() { echo $((port_base + 70 + $1 * 3 + $2)); }
caller_address() { echo "127.0.0.1:$((port_base + 10 + $1))"; }
peer_address() { echo "127.0.0.1:$((port_base + 20 + $1))"; }
proxy_ready() { curl -sf -m 1 "http://$(caller_address "$1")/ready"; }

proxy_list() {
    local n list=
    for ((n = 0; n < proxies; n++)); do list+="${list:+,}$(caller_address "$n")"; done
    echo "$list"
}

write_settings() { # proxy index
    cat >"$fleet_dir/proxy-$1.json" <<JSON
{
  "deployment": "$deployment", "place": "${places[$(($1 % 3))]}",
  "callerAddress": "$(caller_address "$1")", "peerAddress": "$(peer_address "$1")",
  "metricsAddress": "127.0.0.1:$((port_base + 30 + $1))", "platformAddress": "$platform",
  "seeds": ["$(peer_address 0)", "$(peer_address 1)", "$(peer_address 2)"],
  "logLevels": { "default": "info" }, "drainNoticeMs": 1500
}
JSON
}

# Sends one JSON line to the control port of a slot and prints the reply.
control() { # database index, slot, JSON
    local reply
    exec {fd}<>"/dev/tcp/127.0.0.1/$(control_port "$1" "$2")" || return 1
    echo "$3" >&"$fd"
    read -r -t 2 reply <&"$fd" || reply='{"ok":false}'
    exec {fd}>&-
    echo "$reply"
}
fault() { control "$@" 2>/dev/null | jq -e .ok >/dev/null || true; }
slot_status() { control "$1" "$2" '{"command":"status"}' 2>/dev/null | jq -c .status; }

# Prints the slot that leads the group with the greatest term.
primary_slot() { # database index
    local slot
    for slot in 0 1 2; do slot_status "$1" "$slot"; done |
        jq -s 'map(select(.role == "primary")) | max_by(.logTerm) | .slot'
}

# Prints the index of the proxy that holds a database; 0 when none answers.
holder_of() { # database index
    local n
    for ((n = 0; n < proxies; n++)); do
        curl -s -m 1 "http://$(caller_address "$n")/state" 2>/dev/null |
            jq -e --arg d "${databases[$1]}" '.groups[] | select(.database == $d and .isHolder)' >/dev/null 2>&1 &&
            { echo "$n"; return; }
    done
    echo 0
}

databases_served() { local n; for n in "${!databases[@]}"; do group_healthy "$n" || return 1; done; }

# One primary, and every slot holds its log; a slot that was restarted empty has copied it again.
group_healthy() { # database index
    local slot
    for slot in 0 1 2; do slot_status "$1" "$slot"; done | jq -se '
        length == 3 and (map(select(.role == "primary")) | length == 1)
        and (map(.logTerm) | unique | length == 1) and ((map(.position) | max - min) < 20)' >/dev/null &&
        curl -s -m 1 "http://$(caller_address "$(holder_of "$1")")/state" |
        jq -e --arg d "${databases[$1]}" '.groups[] | select(.database == $d and .isHolder) | .primary' >/dev/null
}

fleet_healthy() {
    local n
    for ((n = 0; n < proxies; n++)); do proxy_ready "$n" >/dev/null || return 1; done
    databases_served
}

# Prints what keeps the fleet from being healthy: roles and positions of the slots, views of the holders.
fleet_summary() {
    local n slot
    for n in "${!databases[@]}"; do
        for slot in 0 1 2; do slot_status "$n" "$slot" | jq -c '[.slot, .role, .promisedTerm, .logTerm, .position, .claim, .leaving, .faults]'; done
    done
    for ((n = 0; n < proxies; n++)); do
        curl -s -m 1 "http://$(caller_address "$n")/state" |
            jq -c --arg n "$n" '[$n, .draining, (.groups[] | [.database, .isHolder, .claim, .primary, .knownHolder])]' ||
            echo "proxy $n gives no state"
    done
}

platform_faults() { curl -s -m 3 -X POST "http://$platform/faults" -d "$1" >/dev/null; }

create_catalogue() {
    local n slot service entry suffix class rank floor slots
    for n in "${!databases[@]}"; do
        slots=
        for slot in 0 1 2; do
            slots+="${slots:+,}{\"slot\":$slot,\"address\":\"127.0.0.1:$(endpoint_port "$n" "$slot")\",\"place\":\"${places[$(((n + slot) % 3))]}\"}"
        done
        put_object database "${databases[$n]}" 0 "{\"name\":\"${databases[$n]}\",\"service\":\"${databases[$n]%-*}\",\"connectionLimit\":$connections,\"slots\":[$slots]}" >/dev/null
    done
    for service in 1 2 3; do
        for entry in "${entries[@]}"; do
            IFS=: read -r suffix class rank floor <<<"$entry"
            put_entry "$service_prefix-$service-$suffix" 0 "$service_prefix-$service" "$class" "$rank" "$floor" >/dev/null
        done
    done
}

put_object() { # kind, name, expected version, JSON; prints the HTTP status
    curl -s -m 8 -o "$fleet_dir/put.json" -w '%{http_code}' -X PUT "http://$platform/v1/objects/$1/$2?expected=$3" -d "$4" || true
}

put_entry() { # name, expected version, service, class, rank, floor
    put_object entry "$1" "$2" "{\"name\":\"$1\",\"owner\":\"${1##*-}-team\",\"class\":\"$4\",\"rank\":$5,\"service\":\"$3\",\"floorPercent\":$6,\"maxQueueMs\":1000,\"repeatable\":false,\"changeId\":\"$1-$2\"}"
}

# True when a proxy applies the entry; a proxy that does not know it answers 404.
entry_status() { # proxy index, entry
    curl -s -m 1 -o /dev/null -w '%{http_code}' "http://$(caller_address "$1")/v1/statement" -d \
        "{\"requestId\":\"p\",\"entry\":\"$2\",\"database\":\"${databases[1]}\",\"kind\":\"read\",\"statement\":\"get probe\",\"session\":\"\",\"deadlineMs\":900}"
}

kill_process() { { kill -KILL "$1"; wait "$1"; } 2>/dev/null; }
primary_of_victim() { [ -n "$fault_slot" ] && [ "$fault_slot" != null ] || fault_slot=$(primary_slot "$victim"); }
on_none() { :; }
off_none() { :; }
on_primary-killed() { primary_of_victim; kill_process "${endpoint_pid[$victim-$fault_slot]}"; }
off_primary-killed() { start_endpoint "$victim" "$fault_slot"; }
on_primary-cut() { primary_of_victim; fault "$victim" "$fault_slot" '{"fault":"cut","from":["clients","peers"]}'; }
off_primary-cut() { fault "$victim" "$fault_slot" '{"fault":"clear"}'; }
on_primary-isolated() { primary_of_victim; fault "$victim" "$fault_slot" '{"fault":"cut","from":["peers"]}'; }
off_primary-isolated() { fault "$victim" "$fault_slot" '{"fault":"clear"}'; }
on_primary-frozen() { primary_of_victim; kill -STOP "${endpoint_pid[$victim-$fault_slot]}"; }
off_primary-frozen() { kill -CONT "${endpoint_pid[$victim-$fault_slot]}"; }
on_primary-leaving() { primary_of_victim; fault "$victim" "$fault_slot" '{"fault":"leave"}'; }
off_primary-leaving() { fault "$victim" "$fault_slot" '{"fault":"clear"}'; }
on_replica-behind() { lag_slot=$((($(primary_slot "$victim") + 1) % 3)); fault "$victim" "$lag_slot" '{"fault":"lag","ms":4000}'; }
off_replica-behind() { fault "$victim" "$lag_slot" '{"fault":"clear"}'; }
on_connections-silent() { local s; for s in 0 1 2; do fault "$victim" $s '{"fault":"silence"}'; done; }
off_connections-silent() { :; }
on_answers-lost() { primary_of_victim; fault "$victim" "$fault_slot" '{"fault":"lose_answer","count":2}'; }
off_answers-lost() { fault "$victim" "$fault_slot" '{"fault":"clear"}'; }
on_proxy-killed() { fault_proxy=$(holder_of "$victim"); kill_process "${proxy_pid[$fault_proxy]}"; }
off_proxy-killed() { start_proxy "$fault_proxy"; }
on_proxy-frozen() { fault_proxy=$(holder_of "$victim"); kill -STOP "${proxy_pid[$fault_proxy]}"; }
off_proxy-frozen() { kill -CONT "${proxy_pid[$fault_proxy]}"; }
on_platform-down() { platform_faults '{"down":true}'; }
off_platform-down() { platform_faults '{"down":false}'; }
on_platform-slow() { platform_faults '{"slowMs":1500}'; }
off_platform-slow() { platform_faults '{"slowMs":0}'; }
on_platform-loses() { platform_faults '{"loseAnswers":3}'; }
off_platform-loses() { platform_faults '{"loseAnswers":0}'; }

faults_on() { local one; fault_slot=; for one in ${1//+/ }; do "on_$one"; done; }
faults_off() { local one; for one in ${1//+/ }; do "off_$one"; done; }

# Prints the last log lines of every proxy that aborted on an invariant; fails when there is one.
report_aborts() {
    local log found=0
    for log in "$fleet_dir"/proxy-*.log "$fleet_dir"/proxy-*.out; do
        grep -q 'invariant violated' "$log" 2>/dev/null || continue
        echo "$(basename "$log") aborted on an invariant:"; tail -n 8 "$log"; found=1
    done
    return $found
}
