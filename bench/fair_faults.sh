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
    *) die "unknown fault $fault" ;;
  esac
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
    # Stops a router past its leases, then lets it go on.
    pause)
      kill -STOP "$(victim_pid)"
      pause_s 4
      kill -CONT "$(victim_pid)"
      ;;
  esac
}
