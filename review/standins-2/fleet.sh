# Starts proxies of the deploy file's build, each on a loopback address of its own. Sourced by the run.sh of a case.

cd "$(dirname "${BASH_SOURCE[0]}")/../.." || exit 2
proxy=target/apps/kumquatbank-pooler
net=127.$((60 + $$ % 120)).$((RANDOM % 250 + 1))
world_ip=$net.1
work_dir=$(mktemp -d)
pids=()

host_ip() { echo "$net.$((10 + $1))"; } # HOST

host_settings() { # HOST
    local regions=(dfw hou aus) zone=$((($1 + 2) % 3)) ip
    ip=$(host_ip "$1")
    cat <<SETTINGS
{ "host": "host-$1", "dataCentre": "${regions[$zone]}-a", "region": "${regions[$zone]}",
  "processorShare": 0.25, "processorSpeed": 1, "memoryMb": 260, "maxDescriptors": 4300,
  "clientAddress": "$ip:8784", "readyAddress": "$ip:8785", "peerAddress": "$ip:8782",
  "loanAddress": "$ip:7440", "metricsAddress": "$ip:9464",
  "seeds": ["$(host_ip 0):8782", "$(host_ip 1):8782", "$(host_ip 2):8782"],
  "storeAddress": "$world_ip:8783", "promotionAddress": "$world_ip:8784",
  "databaseDrainMs": 7000, "graceSeconds": 6 }
SETTINGS
}

start_host() { # HOST
    host_settings "$1" >"$work_dir/host-$1.json"
    "$proxy" --settings "$work_dir/host-$1.json" >>"$work_dir/host-$1.log" 2>&1 &
    pids[$1]=$!
}

end_all() {
    local pid
    for pid in "${pids[@]}" ${scenario_pid:-}; do
        kill -CONT "$pid" 2>/dev/null
        kill -KILL "$pid" 2>/dev/null
        wait "$pid" 2>/dev/null
    done
    [ -n "${KEEP_LOGS:-}" ] && cp "$work_dir"/*.log "$KEEP_LOGS"/
    rm -rf "$work_dir"
}
trap end_all EXIT

# Starts the scenario of a case, then its hosts, and exits with the result of the scenario.
run_case() { # case folder, number of hosts
    local case_dir=$1 count=$2 ips=() n status
    local scenario=target/review-2/scenario-$(basename "$case_dir")
    if [ ! -x "$proxy" ] || [ ! -x "$scenario" ]; then
        echo "build first: the deploy file's build, then review/build-2.sh" >&2
        exit 2
    fi
    for ((n = 0; n < count; n++)); do ips+=("$(host_ip "$n")"); done
    "$scenario" "$world_ip" "$case_dir/record.txt" "${TROUBLE:-1}" "${ips[@]}" &
    scenario_pid=$!
    sleep 0.5
    for ((n = 0; n < count; n++)); do start_host "$n"; done
    wait "$scenario_pid"
    status=$?
    scenario_pid=
    exit "$status"
}
