# Faults of the fairness benchmark, each injected $fault_ms after the start of
# the load.  Sourced by fair.sh.

fault_s_spent=0

# Sleeps and adds up the time, by which fair.sh shortens its own wait.
pause_s ()
{
  sleep "$1"
  fault_s_spent=$((fault_s_spent + $1))
}

victim_pid ()
{
  cat "$work/router-$victim.pid"
}

# Sets up what the fault needs before the routers start.
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

# Routes all peer connections of the victim through relays: one in front of the
# victim, and one in front of each other router for the connections that the
# victim opens.
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
  # Routers advertise the addresses of relays, so that no router learns an
  # address that bypasses them.
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

# Makes the routers read their configuration from the stand-in store instead of
# the file.
prepare_store ()
{
  start_standin store store
  platform_kind=http
  platform_address=$(addresses_of store)
}

# Number of heartbeats that router $1 has received.
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
    # Kills a router with SIGKILL and restarts it, without its state.
    kill)
      kill -KILL "$(victim_pid)"
      pause_s 5
      start_router $victim $routers
      wait_router $victim
      ;;
    # Partitions a router from all others, in both directions, for 4 s.
    # The heartbeats received after its first second are counted.
    partition)
      fault relay kind=partition
      pause_s 1
      heard=$(heartbeats_of $victim)
      pause_s 3
      heard=$(($(heartbeats_of $victim) - heard))
      echo "heartbeats_through_partition $heard" >> "$work/notes"
      fault relay kind=none
      ;;
    # Makes the store refuse all calls for 6 s.
    store-down)
      fault store kind=refuse
      pause_s 6
      fault store kind=none
      ;;
    # Stops a router with SIGSTOP for longer than its leases, then resumes it.
    pause)
      kill -STOP "$(victim_pid)"
      pause_s 4
      kill -CONT "$(victim_pid)"
      ;;
  esac
}
