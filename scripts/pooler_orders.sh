# Orders of planned events for pooler_soak.sh, which sources it: what is drawn is put into a plan, whose steps of 50 ms
# are passed during the soak's ticks, so that orders of several hosts overlap.

second_store_offset=500
readonly step=0.05 steps_in_tick=5
now_step=0
plan=()

# Adds an action on a host to the plan. It is left out if the host's process has ended by then.
plan_action() { plan+=("$((now_step + $1)) $2 $3 ${pooler_pids[$3]}"); } # steps from now, action, host

pass_tick() {
    local n
    for ((n = 0; n < steps_in_tick; n++)); do
        run_due_actions
        sleep "$step"
        now_step=$((now_step + 1))
    done
}

run_due_actions() {
    local entry due action host pid later=() actions=("${plan[@]}")
    plan=()
    for entry in "${actions[@]}"; do
        read -r due action host pid <<<"$entry"
        if [ "$due" -gt "$now_step" ]; then
            later+=("$entry")
        elif [ "$pid" = "${pooler_pids[$host]}" ] && kill -0 "$pid" 2>/dev/null; then
            run_action "$action" "$host" "$pid"
        fi
    done
    plan=("${later[@]}" "${plan[@]}")
}

run_action() { # action, host, process id
    local file=$pooler_dir/host-$2.json
    echo "step $now_step: $1 host-$2"
    case $1 in
    term) kill -TERM "$3" 2>/dev/null || true; host_state[$2]=stopping ;;
    hup) kill -HUP "$3" 2>/dev/null || true ;;
    other_store)
        [ "${pooler_store_ports[$2]:-$emulator_port}" = "$emulator_port" ] &&
            pooler_store_ports[$2]=$((emulator_port + second_store_offset)) || pooler_store_ports[$2]=$emulator_port
        pooler_settings "$2" >"$file" ;;
    replace) pooler_settings "$2" >"$file.new"; mv "$file.new" "$file" ;;
    first_piece) pooler_settings "$2" | head -c 200 >"$file" ;;
    second_piece) pooler_settings "$2" | tail -c +201 >>"$file" ;;
    invalid) echo '{ "host": 7 }' >"$file" ;;
    esac
}

# Stops the hosts of a region, with so many steps between them, or only those whose bit in the mask is set.
plan_region_stop() { # host of the region, steps, mask
    local n at=0 mask=${3:--1}
    for ((n = 0; n < hosts; n++)); do
        [ $((mask >> n % 15 & 1)) = 1 ] || continue
        [ "$(pooler_region "$n")" = "$(pooler_region "$1")" ] && [ "${host_state[$n]}" = up ] || continue
        plan_action "$at" term "$n"
        at=$((at + $2))
    done
}

draw_order() { # host, tick
    local gap=$((RANDOM % 30)) second_gap=$((RANDOM % 60)) signal
    case $((RANDOM % 12)) in
    0) plan_action 0 term "$1"; plan_action "$gap" term "$1" ;;
    1) plan_action 0 term "$1"; plan_action "$gap" term "$1"; plan_action "$second_gap" term "$1" ;;
    2) plan_region_stop "$1" 0 ;;
    3) plan_region_stop "$1" "$((gap % 3))" "$RANDOM" ;;
    4) plan_region_stop "$1" $((second_gap + 1)) ;;
    # The process that follows gets SIGTERM right after its start, in half of the cases without a configuration: the store
    # answers it late, and its only seed is itself.
    5)
        plan_action 0 term "$1"; early_stop[$1]=$((RANDOM % 8))
        if [ $((second_gap % 2)) = 0 ]; then
            pooler_store_ports[$1]=$((emulator_port + second_store_offset + 1))
            pooler_seeds[$1]="\"$pooler_ip:$((pooler_base + $1 * 10 + 2))\""
        fi ;;
    6) plan_action 0 hup "$1"; plan_action 0 term "$1"; plan_action "$gap" hup "$1" ;;
    7) plan_action 0 hup "$1"; plan_action "$((gap % 4))" term "$1"; plan_action "$((gap % 4 + second_gap % 4))" hup "$1" ;;
    8) plan_action 0 other_store "$1"; plan_action "$((gap % 3))" hup "$1"; plan_action "$second_gap" term "$1" ;;
    9) plan_action 0 term "$1"; plan_action "$gap" other_store "$1"; plan_action "$gap" hup "$1" ;;
    10)
        plan_action 0 other_store "$1"
        plan_action 0 first_piece "$1"; plan_action "$((gap % 10))" hup "$1"; plan_action "$gap" second_piece "$1"
        plan_action "$((gap + 1))" hup "$1" ;;
    11)
        plan_action 0 invalid "$1"; plan_action "$((gap % 10))" hup "$1"; plan_action "$((gap % 10))" other_store "$1"
        plan_action "$gap" replace "$1"; plan_action "$gap" hup "$1" ;;
    esac
}

early_stop=() # steps from the next start of a host to its SIGTERM
order_after_start() { # host
    [ -n "${early_stop[$1]:-}" ] || return 0
    if [ "${early_stop[$1]}" = 0 ]; then
        run_action term "$1" "${pooler_pids[$1]}"
    else
        plan_action "${early_stop[$1]}" term "$1"
    fi
    early_stop[$1]=
    pooler_seeds[$1]= pooler_store_ports[$1]=
}
