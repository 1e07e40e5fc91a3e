# Functions that start an emulated platform and proxies in front of it, each as a process of its own on loopback.
# Sourced by demo.sh, pooler_soak.sh and measure_pooler.sh. Every process is ended by its id.

bin=${KUMQUATBANK_BIN:-$PWD/build}
# KUMQUATBANK_PROXY: another build of the proxy, for comparisons.
pooler_dir=$(mktemp -d)
# An address of its own, so that fleets can run beside each other.
pooler_ip=127.77.$(($$ / 250 % 250)).$(($$ % 250 + 1))
pooler_base=34000
emulator_port=33000
# Added to the ports of clients, store, promote call and databases; with fault_proxy_start, a proxy that injects faults
# listens there.
fault_offset=0
# Above the ports of 390 hosts.
fault_port_offset=5000
pooler_regions=1
pooler_store_ports=() # of hosts whose settings name another port than the first one
pooler_seeds=() # of hosts that have others than the first two
# Memory of the machine of each proxy, in MB: that of the smallest in use.
pooler_memory_mb=160
# Grace period of the proxies, in seconds.
pooler_grace_seconds=4
pooler_pids=()
emulator_pid=
fault_pid=

pooler_client_address() { echo "$pooler_ip:$((pooler_base + $1 * 10 + fault_offset))"; }

pooler_region() { [ "$pooler_regions" = 1 ] && echo local || echo "region-$(($1 % pooler_regions))"; } # HOST

pooler_settings() { # HOST
    local port=$((pooler_base + $1 * 10))
    local seeds="\"$pooler_ip:$((pooler_base + 2))\", \"$pooler_ip:$((pooler_base + 12))\""
    cat <<SETTINGS
{ "host": "host-$1", "dataCentre": "dc-$(($1 % 3))", "region": "$(pooler_region "$1")",
  "clientAddress": "$pooler_ip:$port", "readyAddress": "$pooler_ip:$((port + 1))",
  "peerAddress": "$pooler_ip:$((port + 2))", "metricsAddress": "$pooler_ip:$((port + 3))",
  "loanAddress": "$pooler_ip:$((port + 4))",
  "seeds": [${pooler_seeds[$1]:-$seeds}],
  "storeAddress": "$pooler_ip:${pooler_store_ports[$1]:-$((emulator_port + fault_offset))}",
  "promotionAddress": "$pooler_ip:$((emulator_port + 1 + fault_offset))",
  "memoryMb": $pooler_memory_mb, "graceSeconds": $pooler_grace_seconds }
SETTINGS
}

pooler_start() { # HOST
    pooler_settings "$1" >"$pooler_dir/host-$1.json"
    "${KUMQUATBANK_PROXY:-$bin/apps/kumquatbank-pooler}" --settings "$pooler_dir/host-$1.json" >>"$pooler_dir/host-$1.log" 2>&1 &
    pooler_pids[$1]=$!
    # Before it handles signals, the child is still the shell with its exit trap, or a program that a SIGHUP ends.
    until ! kill -0 $! 2>/dev/null || handles_hangup $!; do sleep 0.01; done
}

# True if the process runs a program of its own that handles SIGHUP: the lowest bit of its mask of caught signals.
handles_hangup() { # process id
    [ "$(readlink "/proc/$1/exe")" != "$(readlink "/proc/$$/exe")" ] &&
        grep -qE '^SigCgt:.*[13579bdf]$' "/proc/$1/status" 2>/dev/null
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
    "$bin/tools/emulator/platform_emulator" --ip "$pooler_ip" --port "$emulator_port" --announce-offset "$fault_offset" \
        "$@" >"$pooler_dir/platform.log" 2>&1 &
    emulator_pid=$!
    wait_for_line 'platform ready' "$pooler_dir/platform.log"
}

# Puts a proxy that injects faults between clients and hosts, and between hosts and the platform. Call it first.
fault_proxy_start() { # number of hosts, options of fault_proxy
    local count=$1 ports port
    shift
    fault_offset=$fault_port_offset
    ports=$(seq -s, "$emulator_port" $((emulator_port + 1 + 9)))
    for ((port = pooler_base; port < pooler_base + count * 10; port += 10)); do ports+=,$port; done
    "$bin/tools/emulator/fault_proxy" --ip "$pooler_ip" --ports "$ports" --offset "$fault_offset" "$@" \
        >"$pooler_dir/faults.log" 2>&1 &
    fault_pid=$!
    wait_for_line 'fault proxy ready' "$pooler_dir/faults.log"
}

wait_for_line() { # text, file
    for _ in $(seq 50); do
        grep -q "$1" "$2" && return 0
        sleep 0.1
    done
    cat "$2" >&2
    return 1
}

# Ends the emulator, which then checks what its databases ran; its exit code is 1 on a violation.
emulator_stop() {
    local status=0
    kill -TERM "$emulator_pid"
    wait "$emulator_pid" || status=$?
    emulator_pid=
    return $status
}

pooler_stop_all() {
    for pid in "${pooler_pids[@]}" $emulator_pid $fault_pid; do
        kill -CONT "$pid" 2>/dev/null || true
        kill -TERM "$pid" 2>/dev/null || true
    done
    for pid in "${pooler_pids[@]}" $emulator_pid $fault_pid; do
        wait "$pid" 2>/dev/null || true
    done
}
