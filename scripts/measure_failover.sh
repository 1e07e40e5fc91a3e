#!/usr/bin/env bash
# Measures what the replacement of a primary costs clients, against the emulated platform: the longest time without an
# acknowledged write ("gap ms" of the databases of service 0), and the refused statements.
# Usage: scripts/measure_failover.sh crash|leave [synchronous replicas] [runs]
# KUMQUATBANK_PROXY names another build of the proxy to measure.
set -euo pipefail
cd "$(dirname "$0")/.."
how=${1:?crash or leave}
synchronous=${2:-0}
runs=${3:-3}
readonly hosts=3 seconds=25
# Later than the time after which a host that has just started knows the members of a service.
readonly trouble_ms=14000
scripts/build.sh kumquatbank-pooler platform_emulator session_load >/dev/null
. scripts/pooler_fleet.sh
trap pooler_stop_all EXIT

for ((run = 1; run <= runs; run++)); do
    emulator_start --services 1 --sync-replicas "$synchronous" "--$how-primary-ms" "$trouble_ms"
    addresses=
    for ((n = 0; n < hosts; n++)); do
        pooler_start "$n"
        addresses+=${addresses:+,}$(pooler_client_address "$n")
    done
    for ((n = 0; n < hosts; n++)); do pooler_wait_ready "$n"; done
    "$bin/tools/emulator/session_load" --proxies "$addresses" --services 1 --clients 8 --seconds "$seconds" --pause-ms 20 --seed "$run" |
        awk -v run="$run" -v how="$how" -v sync="$synchronous" '/^primary-0|^read_your_writes-0|^violations/ { print how, "sync", sync, "run", run ":", $0 }'
    pooler_stop_all
    pooler_pids=() emulator_pid=
done
