# Functions that start and stop one deployment of stand-ins and proxies on loopback; sourced by the other scripts.
# The caller sets `root` (repository) and may set `policy`, `confirm_by_replica`, `execute_ms`, `lag_ms`,
# `proxy_count`, `database_count` and `extra_entries`.

bin=$root/build
platform=127.0.0.1:7000
declare -A endpoint_pid proxy_pid
fleet_pids=()
fleet_dir=
extra_entries=()

# Sets the names and sizes of a deployment: places, services and entries as "suffix:class:rank:floor".
fleet_sizes() {
    deployment=$1
    case $deployment in
    stenozapis)
        places=(lj-tivoli mb-lent kp-titov); service_prefix=zapisnik; connections=20; connect_ms=10
        entries=(save:write:1:0 pull:read:2:20 lookup:read:3:5); proxies=${proxy_count:-8} ;;
    lone-star)
        places=(dfw-a hou-a aus-a); service_prefix=pressline-db; connections=40; connect_ms=30
        entries=(confirm:write:1:0 proof:read:2:15 ticket:read:2:15 view:read:3:5); proxies=${proxy_count:-7} ;;
    *) echo "unknown deployment '$deployment'; known are stenozapis and lone-star" >&2; return 2 ;;
    esac
    entries+=("${extra_entries[@]}")
    databases=()
    local service letter
    for service in 1 2 3; do
        for letter in a b c; do databases+=("$service_prefix-$service-$letter"); done
    done
    databases=("${databases[@]:0:${database_count:-9}}")
}

endpoint_port() { echo $((7400 + $1 * 3 + $2)); }   # database index, slot
control_port() { echo $((7600 + $1 * 3 + $2)); }

# Runs a program in the background and remembers its process id in `last_pid`.
fleet_spawn() {
    local name=$1; shift
    "$@" >"$fleet_dir/$name.out" 2>"$fleet_dir/$name.log" &
    last_pid=$!
    fleet_pids+=("$last_pid")
}

start_endpoint() { # database index, slot, [--primary]
    local peers=() slot
    for slot in 0 1 2; do
        [ "$slot" = "$2" ] || peers+=("127.0.0.1:$(endpoint_port "$1" "$slot")")
    done
    fleet_spawn "endpoint-$1-$2" "$bin/tools/database_standin" --address "127.0.0.1:$(endpoint_port "$1" "$2")" \
        --control "127.0.0.1:$(control_port "$1" "$2")" --slot "$2" --peers "$(IFS=,; echo "${peers[*]}")" \
        --connect-ms "$connect_ms" --connection-limit "$connections" --lag-ms "${lag_ms:-20}" \
        --execute-ms "${execute_ms:-2}" ${3:-}
    endpoint_pid[$1-$2]=$last_pid
}

write_settings() { # proxy index
    cat >"$fleet_dir/proxy-$1.json" <<JSON
{
  "deployment": "$deployment",
  "place": "${places[$(($1 % 3))]}",
  "callerAddress": "127.0.0.1:$((7100 + $1))",
  "peerAddress": "127.0.0.1:$((7200 + $1))",
  "metricsAddress": "127.0.0.1:$((7300 + $1))",
  "platformAddress": "$platform",
  "seeds": ["127.0.0.1:7200", "127.0.0.1:7201", "127.0.0.1:7202"],
  "logLevels": { "default": "info" },
  "admissionPolicy": "${policy:-ranked}",
  "confirmByReplica": ${confirm_by_replica:-true}
}
JSON
}

start_proxy() { # proxy index
    write_settings "$1"
    fleet_spawn "proxy-$1" "$bin/apps/kumquatbank" --settings "$fleet_dir/proxy-$1.json"
    proxy_pid[$1]=$last_pid
}

create_catalogue() {
    local n slot service entry suffix class rank floor slots
    for n in "${!databases[@]}"; do
        slots=
        for slot in 0 1 2; do
            slots+="${slots:+,}{\"slot\":$slot,\"address\":\"127.0.0.1:$(endpoint_port "$n" "$slot")\",\"place\":\"${places[$(((n + slot) % 3))]}\"}"
        done
        echo "{\"name\":\"${databases[$n]}\",\"service\":\"${databases[$n]%-*}\",\"connectionLimit\":$connections,\"slots\":[$slots]}" >"$fleet_dir/database.json"
        "$bin/apps/kumquatctl" database create "${databases[$n]}" --platform "$platform" --from-file "$fleet_dir/database.json" >/dev/null
    done
    for service in 1 2 3; do
        for entry in "${entries[@]}"; do
            IFS=: read -r suffix class rank floor <<<"$entry"
            echo "{\"name\":\"$service_prefix-$service-$suffix\",\"owner\":\"$suffix-team\",\"class\":\"$class\",\"rank\":$rank,\"service\":\"$service_prefix-$service\",\"floorPercent\":$floor,\"maxQueueMs\":1000,\"repeatable\":false}" >"$fleet_dir/entry.json"
            "$bin/apps/kumquatctl" entry create "$service_prefix-$service-$suffix" --platform "$platform" --from-file "$fleet_dir/entry.json" >/dev/null
        done
    done
}

wait_for() { # seconds, command...
    local deadline=$((SECONDS + $1)); shift
    until "$@" >/dev/null 2>&1; do
        [ $SECONDS -lt $deadline ] || { echo "timed out: $*" >&2; return 1; }
        sleep 0.2
    done
}

proxy_ready() { curl -sf -m 1 "http://127.0.0.1:$((7100 + $1))/ready"; }

# Every database has a holder.
databases_served() {
    local n held=0
    for ((n = 0; n < proxies; n++)); do
        held=$((held + $(curl -s -m 1 "http://127.0.0.1:$((7100 + n))/state" | grep -c '"isHolder": true')))
    done
    [ "$held" -ge "${#databases[@]}" ]
}

fleet_start() { # deployment
    fleet_sizes "$1"
    fleet_dir=$(mktemp -d)
    trap fleet_stop EXIT
    fleet_spawn platform "$bin/tools/platform_standin" --address "$platform"
    wait_for 5 curl -sf -m 1 "http://$platform/counters"
    local n slot
    for n in "${!databases[@]}"; do
        start_endpoint "$n" 0 --primary
        start_endpoint "$n" 1
        start_endpoint "$n" 2
    done
    create_catalogue
    for ((n = 0; n < proxies; n++)); do start_proxy "$n"; done
    for ((n = 0; n < proxies; n++)); do wait_for 15 proxy_ready "$n"; done
    wait_for 15 databases_served
}

# Ends exactly the processes that this script started.
fleet_stop() {
    trap - EXIT
    local pid
    for pid in "${fleet_pids[@]}"; do
        kill -CONT "$pid" 2>/dev/null || true
        kill -KILL "$pid" 2>/dev/null || true
    done
    wait 2>/dev/null || true
    rm -rf "$fleet_dir"
}

proxy_list() {
    local n list=
    for ((n = 0; n < proxies; n++)); do list+="${list:+,}127.0.0.1:$((7100 + n))"; done
    echo "$list"
}

database_list() { (IFS=,; echo "${databases[*]}"); }

control_list() { # control address of every slot of every database, "name=a:p|a:p|a:p"
    local n slot list=
    for n in "${!databases[@]}"; do
        list+="${list:+,}${databases[$n]}="
        for slot in 0 1 2; do list+="$([ $slot = 0 ] || echo '|')127.0.0.1:$(control_port "$n" "$slot")"; done
    done
    echo "$list"
}

fault() { # database index, slot, JSON
    echo "$3" | timeout 2 curl -s "telnet://127.0.0.1:$(control_port "$1" "$2")" || true
}

# Prints a load mix: for each entry "suffix:rank:kind:callers:rate:deadlineMs" of every service in use.
# A rate of 0 lets every caller send its next request at once.
write_mix() { # specifications...
    local service spec suffix rank kind callers rate deadline first=1 names name
    echo "["
    for service in 1 2 3; do
        names=
        for name in "${databases[@]}"; do
            [ "${name%-*}" = "$service_prefix-$service" ] && names+="${names:+,}\"$name\""
        done
        [ -n "$names" ] || continue
        for spec in "$@"; do
            IFS=: read -r suffix rank kind callers rate deadline <<<"$spec"
            [ $first = 1 ] || echo ","
            first=0
            echo "{\"entry\":\"$service_prefix-$service-$suffix\",\"rank\":$rank,\"kind\":\"$kind\",\"callers\":$callers,\"rate\":$rate,\"deadlineMs\":$deadline,\"databases\":[$names]}"
        done
    done
    echo "]"
}

# The ordinary work of a deployment, per service: suffix:rank:kind:callers:rate:deadlineMs.
ordinary_work() {
    case $deployment in
    stenozapis) echo save:1:write:4:40:3000 save:1:transaction:1:5:3000 pull:2:read:4:80:3000 lookup:3:read:6:160:3000 ;;
    lone-star) echo confirm:1:write:4:40:3000 confirm:1:transaction:1:5:3000 proof:2:read:4:80:3000 ticket:2:read:4:80:3000 view:3:read:6:120:3000 ;;
    esac
}

run_load() { # mix file, seconds, seed, extra options...
    local mix=$1 seconds=$2 seed=$3; shift 3
    "$bin/tools/load_driver" --proxies "$(proxy_list)" --databases "$(control_list)" --mix "$mix" \
        --seconds "$seconds" --seed "$seed" "$@"
}
