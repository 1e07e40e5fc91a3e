# Functions of the review's scripts: start the emulated platform and proxies on loopback addresses of their own, each proxy
# under a stand-in of its machine. Sourced in the repository's root with `here` set to the folder of the case.

bin=target/review-3
record=$here/record.txt
folder=$(mktemp -d)
ip=127.90.$(($$ / 250 % 250)).$(($$ % 250 + 1))
store_port=21000
client_port=21100
# Of the smallest machines of grown/lssw-pressline-grown.toml.
memory_mb=160
descriptors=4300
settings_store_port=$store_port
pids=()

finish() {
    for pid in "${pids[@]}"; do kill -TERM "$pid" 2>/dev/null; done
    for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null; done
    rm -rf "$folder"
}
trap finish EXIT

cannot_run() { echo "could not run: $1" | tee -a "$record"; exit 2; }

begin_record() { # programs of target/review-3 that the case needs
    : >"$record"
    local program
    for program in "$@" ; do
        [ -x "$bin/$program" ] || cannot_run "$bin/$program is missing; run review/build-3.sh"
    done
    [ -x target/apps/kumquatbank-pooler ] || cannot_run "the build of the deploy file is missing"
    # The proxy uses what its limit allows.
    ulimit -n "$(ulimit -Hn)" 2>/dev/null
    [ "$(ulimit -n)" = unlimited ] || [ "$(ulimit -n)" -ge "$descriptors" ] || cannot_run "fewer than $descriptors descriptors a process"
}

machine_ip() { echo "127.9$1.${ip#127.90.}"; } # number

settings() { # number
    local own
    own=$(machine_ip "$1")
    cat <<SETTINGS
{ "host": "front-$1", "dataCentre": "dfw-a", "region": "dfw", "processorShare": 0.25, "processorSpeed": 1,
  "memoryMb": $memory_mb, "maxDescriptors": $descriptors,
  "clientAddress": "$own:$client_port", "readyAddress": "$own:$((client_port + 1))",
  "peerAddress": "$own:$((client_port + 2))", "metricsAddress": "$own:$((client_port + 3))",
  "loanAddress": "$own:$((client_port + 4))",
  "seeds": ["$(machine_ip 1):$((client_port + 2))", "$(machine_ip 2):$((client_port + 2))"],
  "storeAddress": "$ip:$settings_store_port", "promotionAddress": "$ip:$((store_port + 1))",
  "databaseDrainMs": 10000, "graceSeconds": 6 }
SETTINGS
}

start_platform() {
    $bin/platform_emulator --ip "$ip" --port $store_port --services 1 --max-connections 41 --work-ms 6 --lag-ms 8 >"$folder/platform.log" 2>&1 &
    pids+=($!)
    for _ in $(seq 100); do grep -q 'platform ready' "$folder/platform.log" && break; sleep 0.1; done
    grep -q 'platform ready' "$folder/platform.log" || cannot_run "the emulated platform did not start"
}

machine_pids=()
start_machine() { # number
    settings "$1" >"$folder/front-$1.json"
    $bin/machine $memory_mb "$(machine_ip "$1")" "$record" target/apps/kumquatbank-pooler --settings "$folder/front-$1.json" \
        >"$folder/front-$1.log" 2>&1 &
    pids+=($!)
    machine_pids+=($!)
}

is_ready() { # address
    local line
    exec 3<>"/dev/tcp/$1/$((client_port + 1))" || return 1
    printf 'GET /ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n' >&3
    read -r -t 2 line <&3
    exec 3>&-
    [[ $line == *" 200 "* ]]
} 2>/dev/null

wait_ready() { # number
    for _ in $(seq 100); do is_ready "$(machine_ip "$1")" && return; sleep 0.1; done
    cannot_run "front-$1 did not become ready"
}

# Runs one read in a session of its own, as an ordinary caller, and records the answer.
ask() { # address
    local line answer=""
    if ! exec 3<>"/dev/tcp/$1/$client_port"; then
        echo "$SECONDS s ordinary caller at $1: no connection" >>"$record"
        return
    fi
    printf 'START primary-0 caller\r\n' >&3
    read -r -t 2 line <&3 && answer="${line%$'\r'}"
    if [[ $answer == READY* ]]; then
        printf 'QUERY ordinary READ item\r\n' >&3
        while read -r -t 5 line <&3; do
            answer+=" | ${line%$'\r'}"
            [[ $line == READY* ]] && break
        done
    fi
    exec 3>&-
    echo "$SECONDS s ordinary caller at $1: ${answer:-no answer}" >>"$record"
} 2>/dev/null

# Ends the machines, and the case by the rule Fault: broken if the processes of both ended three times.
judge_ends() {
    local pid ends
    for pid in "${machine_pids[@]}"; do kill -TERM "$pid"; wait "$pid"; done
    grep ' ends ' "$record"
    mapfile -t ends < <(sed -n 's/.* ends \([0-9]*\) most.*/\1/p' "$record")
    [ ${#ends[@]} -eq 2 ] || cannot_run "a machine did not report"
    if [ "${ends[0]}" -ge 3 ] && [ "${ends[1]}" -ge 3 ]; then
        echo "broken: the processes of both machines ended three times or more" | tee -a "$record"
        exit 1
    fi
    echo "held" | tee -a "$record"
    exit 0
}
