#!/usr/bin/env bash
# Runs one deployment on loopback against the stand-ins: ordinary work, a killed primary, a frozen proxy and a
# planned stop, then prints what callers got. Usage: scripts/demo_statements.sh [stenozapis|lone-star] [seed]
set -euo pipefail
cd "$(dirname "$0")/.."
root=$PWD
scripts/install-packages.sh
scripts/build.sh kumquatbank kumquatctl database_standin platform_standin load_driver
. scripts/fleet.sh

fleet_start "${1:-stenozapis}"
echo "deployment $deployment: $proxies proxies in ${places[*]}, ${#databases[@]} databases with 3 endpoints each"
mix=$fleet_dir/mix.json
# shellcheck disable=SC2046
write_mix $(ordinary_work) >"$mix"

run_load "$mix" 40 "${2:-1}" >"$fleet_dir/report.txt" 2>&1 &
load_pid=$!
fleet_pids+=("$load_pid")
sleep 8; echo "at  8 s: kill the primary of ${databases[0]}"; kill -KILL "${endpoint_pid[0-0]}"
sleep 10; echo "at 18 s: freeze proxy 0 for 5 s"; kill -STOP "${proxy_pid[0]}"
sleep 5; kill -CONT "${proxy_pid[0]}"
sleep 5; echo "at 28 s: planned stop of proxy 1"; kill -TERM "${proxy_pid[1]}"
status=0
wait "$load_pid" || status=$?
cat "$fleet_dir/report.txt"
"$bin/apps/kumquatctl" causes --platform "$platform" --host 127.0.0.1:7102 --from -5m --to now || true
if [ "$status" = 0 ]; then echo "demo passed: no violation"; else echo "demo failed: see the violations above"; fi
exit $status
