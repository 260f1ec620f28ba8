# Faults of the fairness bench, each at $fault_ms after the load starts.
# Sourced by fair.sh.

fault_s_spent=0

pause_s ()
{
  sleep "$1"
  fault_s_spent=$((fault_s_spent + $1))
}

victim_pid ()
{
  cat "$work/router-$victim.pid"
}

# What has to stand before the routers start.
prepare_fault ()
{
  case $fault in
    none | pause | flood) ;;
    kill) lost="--lost-router $victim" ;;
    partition) prepare_partition ;;
    store-down) prepare_store ;;
    *) die "unknown fault $fault" ;;
  esac
}

# All links of the victim go through relays: one in front of it, and one in
# front of each other router for the victim's own dialling.
prepare_partition ()
{
  choose_ports $routers
  targets=127.0.0.1:$(peer_port $victim)
  index=0
  while [ $index -lt $routers ]; do
    targets=$targets,127.0.0.1:$(peer_port $index)
    index=$((index + 1))
  done
  start_standin relay relay --workers $((routers + 1)) --target "$targets"
  wait_line "$work/relay" '^control'
  relay_address ()
  {
    awk '$1 == "relay" { print $2 }' "$work/relay" | sed -n "$1p"
  }
  # So that nobody learns of a way around the relays.
  advertised_address ()
  {
    if [ "$1" -eq $victim ]; then
      relay_address 1
    else
      relay_address $(($1 + 2))
    fi
  }
  peer_address ()
  {
    if [ "$2" -eq $victim ]; then
      relay_address 1
    elif [ "$1" -eq $victim ]; then
      relay_address $(($2 + 2))
    else
      echo "127.0.0.1:$(peer_port "$2")"
    fi
  }
}

# The configuration comes from the store instead of the file.
prepare_store ()
{
  start_standin store store
  platform_kind=http
  platform_address=$(addresses_of store)
}

# Heartbeats that a router has received.
heartbeats_of ()
{
  metrics "$1" | awk '
    /^cherrylanding_control_messages_total.*heartbeat.*"in"/ { print $NF }'
}

run_fault ()
{
  [ "$fault" != none ] || return 0
  pause_s $((fault_ms / 1000))
  case $fault in
    # Ends a router at once, and starts it again with nothing in memory.
    kill)
      kill -KILL "$(victim_pid)"
      pause_s 5
      start_router $victim $routers
      wait_router $victim
      ;;
    # Cuts a router off from all others, both ways, and lets it rejoin.
    partition)
      fault relay kind=partition
      pause_s 1
      heard=$(heartbeats_of $victim)
      pause_s 3
      heard=$(($(heartbeats_of $victim) - heard))
      echo "heartbeats_through_partition $heard" >> "$work/notes"
      fault relay kind=none
      ;;
    store-down)
      fault store kind=refuse
      pause_s 6
      fault store kind=none
      ;;
    # Stops a router past its leases, then lets it go on.
    pause)
      kill -STOP "$(victim_pid)"
      pause_s 4
      kill -CONT "$(victim_pid)"
      ;;
  esac
}
