# Functions that start an emulated platform and proxies in front of it, each as a process of its own on loopback.
# Sourced by demo.sh and pooler_soak.sh. Every process is ended by its id.

bin=$PWD/build
pooler_dir=$(mktemp -d)
pooler_ip=127.77.0.1
pooler_base=34000
emulator_port=33000
pooler_pids=()
emulator_pid=

pooler_client_address() { echo "$pooler_ip:$((pooler_base + $1 * 10))"; }

pooler_start() { # HOST
    local port=$((pooler_base + $1 * 10))
    cat >"$pooler_dir/host-$1.json" <<SETTINGS
{ "host": "host-$1", "dataCentre": "dc-$(($1 % 3))", "region": "local",
  "clientAddress": "$pooler_ip:$port", "readyAddress": "$pooler_ip:$((port + 1))",
  "peerAddress": "$pooler_ip:$((port + 2))", "metricsAddress": "$pooler_ip:$((port + 3))",
  "storeAddress": "$pooler_ip:$emulator_port", "promotionAddress": "$pooler_ip:$((emulator_port + 1))",
  "graceSeconds": 4 }
SETTINGS
    "$bin/apps/kumquatbank-pooler" --settings "$pooler_dir/host-$1.json" >>"$pooler_dir/host-$1.log" 2>&1 &
    pooler_pids[$1]=$!
}

pooler_wait_ready() { # HOST
    for _ in $(seq 100); do
        curl -sf -o /dev/null "http://$pooler_ip:$((pooler_base + $1 * 10 + 1))/ready" && return 0
        sleep 0.1
    done
    echo "host-$1 did not become ready" >&2
    return 1
}

emulator_start() { # options of platform_emulator
    "$bin/tools/emulator/platform_emulator" --ip "$pooler_ip" --port "$emulator_port" "$@" >"$pooler_dir/platform.log" 2>&1 &
    emulator_pid=$!
    for _ in $(seq 50); do
        grep -q 'platform ready' "$pooler_dir/platform.log" && return 0
        sleep 0.1
    done
    cat "$pooler_dir/platform.log" >&2
    return 1
}

pooler_stop_all() {
    for pid in "${pooler_pids[@]}" $emulator_pid; do
        kill -CONT "$pid" 2>/dev/null || true
        kill -TERM "$pid" 2>/dev/null || true
    done
    for pid in "${pooler_pids[@]}" $emulator_pid; do
        wait "$pid" 2>/dev/null || true
    done
}
