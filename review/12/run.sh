#!/usr/bin/env bash
# Two machines of 160 MB, each with one proxy, and the emulated platform, as processes on loopback. In the store, among the
# entries of the databases, are entries of another writer, each no longer than the store allows. The stand-in of a machine
# ends a process that exceeds the machine's memory, as the pages say.
# Exits with 1 if the processes of both machines ended three times, 0 if not, 2 if the case could not run.
# TROUBLE=0: without these entries.
set -u
cd "$(dirname "$0")/../.."
here=review/12
. review/standins-3/fleet.sh
readonly odd_entries=8 bytes_per_entry=1000000 run_seconds=30
settings_store_port=21050

begin_record platform_emulator machine odd_store
entries=$odd_entries
[ "${TROUBLE:-1}" != 0 ] || entries=0
echo "limits: $memory_mb MB; $entries entries of another writer, $bytes_per_entry bytes each" >>"$record"
start_platform
$bin/odd_store "$ip" $settings_store_port $store_port $entries $bytes_per_entry &
pids+=($!)
for number in 1 2; do start_machine $number; done
if [ $entries -eq 0 ]; then
    for number in 1 2; do wait_ready $number; done
fi
for _ in $(seq 10); do
    sleep $((run_seconds / 10))
    for number in 1 2; do ask "$(machine_ip $number)"; done
done
judge_ends
