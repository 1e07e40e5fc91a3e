#!/usr/bin/env bash
# Measures what the users measure, on loopback against the stand-ins, and prints one table with the targets, the
# baselines of the same run and the figures recorded last time.
# Usage: scripts/measure.sh [stenozapis|lone-star] [--record]
#
# Floods: one database, 3 proxies, 100 ms of service time a statement, so that one endpoint serves
# (connections - 3) x 10 statements/s; the flood offers ten times what can be served.
set -euo pipefail
cd "$(dirname "$0")/.."
root=$PWD
scripts/install-packages.sh
scripts/build.sh kumquatbank kumquatctl database_standin platform_standin load_driver
. scripts/fleet.sh

target=${1:-stenozapis}
record=${2:-}
flood_seconds=12
service_ms=100
results=$(mktemp)

note() { printf '%s\t%s\t%s\n' "$1" "$2" "$3" >>"$results"; echo "  $1 = $2" >&2; } # name, value, target

# Column of a rank in a load report: 2 served, 3 refused, 6 served/s, 7 p50, 8 p99.
of_rank() { awk -v rank="$2" -v column="$3" '$1 == rank && NF == 8 { print $column }' "$1"; }
longest_gap() { awk -v name="$2" '/longest gap/ && index($0, "on " name ":") { print $(NF - 1) }' "$1"; }
replica_share() { awk '/reads served by replicas/ { print $5 }' "$1"; }
violations() { awk '/^violations:/ { n = 0; for (i = 2; i <= NF; i++) if ($i ~ /^[0-9]+$/) n += $i; print n }' "$1"; }
lost() { awk '/^violations:/ { print $2 }' "$1"; }
ratio() { awk -v a="$1" -v b="$2" 'BEGIN { printf "%.2f", (b > 0) ? a / b : 0 }'; }

load() { # report file, seconds, mix specifications...
    local report=$1 seconds=$2; shift 2
    write_mix "$@" >"$fleet_dir/mix.json"
    run_load "$fleet_dir/mix.json" "$seconds" 1 >"$report" 2>&1 || true
}

flood_fleet() { # policy
    policy=$1 database_count=1 proxy_count=3 execute_ms=$service_ms
    extra_entries=(edit:write:2:20)
    fleet_start "$target"
    save=${entries[0]%%:*} pull=${entries[1]%%:*} lookup=${entries[2]%%:*}
    [ "$target" = lone-star ] && lookup=view
    capacity=$(((connections - 3) * 1000 / service_ms))
}

measure_floods() { # policy
    flood_fleet "$1"
    local dir=$fleet_dir floor=$((capacity * 20 / 100))
    echo "floods with policy $1: an endpoint serves $capacity/s" >&2
    load "$dir/idle" $flood_seconds "$save:1:write:8:20:5000"
    load "$dir/lookups" $flood_seconds "$save:1:write:8:20:5000" "$pull:2:read:8:20:5000" \
        "$lookup:3:read:600:$((capacity * 30)):3000"
    load "$dir/saves" $flood_seconds "$save:1:write:600:$((capacity * 10)):3000" "edit:2:write:60:$((floor * 2)):5000" \
        "$pull:2:read:8:20:5000"
    note "$1: saves unloaded, p99 ms" "$(of_rank "$dir/idle" 1 8)" -
    note "$1: saves p99 in a lookup flood / unloaded" "$(ratio "$(of_rank "$dir/lookups" 1 8)" "$(of_rank "$dir/idle" 1 8)")" "<= 2"
    note "$1: lookups served in the lookup flood, per s" "$(of_rank "$dir/lookups" 3 6)" -
    note "$1: all work in the lookup flood / capacity of 3 endpoints" "$(ratio "$(awk '$1 ~ /^[123]$/ && NF == 8 { n += $6 } END { print n }' "$dir/lookups")" $((capacity * 3)))" ">= 0.95"
    note "$1: rank 2 work in a save flood, per s" "$(of_rank "$dir/saves" 2 6)" -
    note "$1: rank 2 writes in a save flood / floor" "$(ratio "$(awk -v all="$(of_rank "$dir/saves" 2 6)" 'BEGIN { print all - 20 }')" $floor)" ">= 0.8"
    note "$1: saves served in the save flood, per s" "$(of_rank "$dir/saves" 1 6)" -
    note "$1: violations" "$(($(violations "$dir/idle") + $(violations "$dir/lookups") + $(violations "$dir/saves")))" 0
    fleet_stop
}

measure_failover() { # name, confirm_by_replica, fault command...
    local name=$1; shift
    confirm_by_replica=$1; shift
    unset policy database_count proxy_count execute_ms
    extra_entries=()
    fleet_start "$target"
    echo "failover: $name" >&2
    # shellcheck disable=SC2046
    write_mix $(ordinary_work) >"$fleet_dir/mix.json"
    run_load "$fleet_dir/mix.json" 16 1 >"$fleet_dir/report" 2>&1 &
    local load_pid=$!
    sleep 6
    "$@"
    wait "$load_pid" || true
    note "$name: longest gap between saves, ms" "$(longest_gap "$fleet_dir/report" "${databases[0]}")" "${gap_target:--}"
    note "$name: reads by replicas, %" "$(replica_share "$fleet_dir/report")" ">= 95"
    note "$name: p99 ms of ranks 1 2 3" "$(of_rank "$fleet_dir/report" 1 8) $(of_rank "$fleet_dir/report" 2 8) $(of_rank "$fleet_dir/report" 3 8)" -
    note "$name: confirmed changes lost" "$(lost "$fleet_dir/report")" "${lost_target:-0}"
    note "$name: violations" "$(violations "$fleet_dir/report")" "${lost_target:-0}"
    fleet_stop
}

kill_primary() { kill -KILL "${endpoint_pid[0-0]}"; }
cut_primary() { fault 0 0 '{"fault":"cut","from":["peers","clients"]}' >/dev/null; }

print_table() {
    local previous=docs/measurements-$target.tsv
    printf '%-66s %18s %10s %18s\n' "$target" "measured" "target" "last recorded"
    while IFS=$'\t' read -r name value bound; do
        local last=-
        [ -f "$previous" ] && last=$(awk -F'\t' -v name="$name" '$1 == name { print $2 }' "$previous")
        printf '%-66s %18s %10s %18s\n' "$name" "$value" "$bound" "${last:--}"
    done <"$results"
    [ "$record" = --record ] && cp "$results" "$previous"
    rm -f "$results"
}

measure_floods ranked
measure_floods strict
measure_floods fifo
gap_target="<= 3000" measure_failover "killed primary" true kill_primary
gap_target="<= 5000" measure_failover "cut-off primary" true cut_primary
lost_target=- measure_failover "killed primary, confirmed by it alone" false kill_primary
print_table
