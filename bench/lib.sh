# Common functions of the benchmarks: start and end stand-in upstreams and
# routers.  Sourced by scripts that set `build`.  On exit, the processes are
# terminated by their id.

work=$(mktemp -d)
pids=
token=token-of-the-bench
router_pids=

finish ()
{
  # A process stopped by SIGSTOP handles SIGTERM only after SIGCONT.
  for pid in $router_pids $pids; do
    kill -CONT "$pid" 2>/dev/null
    kill -TERM "$pid" 2>/dev/null
  done
  sleep 0.3
  for pid in $router_pids $pids; do
    kill -KILL "$pid" 2>/dev/null
    wait "$pid" 2>/dev/null
  done
  [ -n "${KEEP:-}" ] && echo "files kept in $work" >&2 || rm -rf "$work"
}
trap finish EXIT
trap 'exit 130' INT TERM

die ()
{
  echo "$0: $*" >&2
  exit 1
}

# wait_line FILE PATTERN: waits until a line of the file matches the pattern.
wait_line ()
{
  tries=0
  until grep -q "$2" "$1" 2>/dev/null; do
    tries=$((tries + 1))
    [ $tries -lt 200 ] || die "timed out waiting for $2 in $1"
    sleep 0.05
  done
}

# start_standin NAME ROLE [OPTION...]: its output, with the addresses that it
# listens at, goes to $work/NAME.
start_standin ()
{
  name=$1
  shift
  "$build/standin" "$@" > "$work/$name" 2> "$work/$name.err" &
  pids="$pids $!"
  wait_line "$work/$name" '^control'
}

# addresses_of NAME: addresses at which a stand-in listens.
addresses_of ()
{
  awk '$1 == "listen" { print $2 }' "$work/$1"
}

# control_of NAME: control address of a stand-in.
control_of ()
{
  awk '$1 == "control" { print $2 }' "$work/$1"
}

# fault NAME QUERY: sets a fault at a stand-in.
fault ()
{
  curl -s -o /dev/null -X POST "http://$(control_of "$1")/_standin/faults?$2"
}

# put_upstreams NAME SLOTS: prints the configuration of the upstreams of a
# stand-in, distributed over three availability zones.
put_upstreams ()
{
  addresses_of "$1" | awk -v slots="$2" '
    { printf "      - { address: %s, availability_zone: zone-%c, slots: %d }\n",
        $1, substr ("abc", (NR - 1) % 3 + 1, 1), slots }'
}

# put_customer NAME WEIGHT [WAITING_MAX]: prints its configuration.
put_customer ()
{
  echo "  - { name: $1, weight: $2, waiting_max: ${3:-5000}, keys: [key-of-$1-0000] }"
}

# port_of I N: port N of router I.  Each router has three lines of $work/ports.
port_of ()
{
  sed -n "$(($1 * 3 + $2 + 1))p" "$work/ports"
}
client_port ()
{
  port_of "$1" 0
}
admin_port ()
{
  port_of "$1" 1
}
peer_port ()
{
  port_of "$1" 2
}

# peer_address FROM TO: address at which router FROM connects to router TO.
peer_address ()
{
  echo "127.0.0.1:$(peer_port "$2")"
}

# advertised_address I: address that router I advertises to its peers; empty
# for the address that it listens at.
advertised_address ()
{
  :
}

# put_router I COUNT: prints the settings of router I in a fleet of COUNT.
put_router ()
{
  echo "router:"
  echo "  instance: router-$1"
  echo "  fleet: bench"
  echo "  availability_zone: zone-$(echo abc | cut -c $(($1 % 3 + 1)))"
  echo "  client_address: 127.0.0.1:$(client_port "$1")"
  echo "  admin_address: 127.0.0.1:$(admin_port "$1")"
  echo "  peer_address: 127.0.0.1:$(peer_port "$1")"
  [ -z "$(advertised_address "$1")" ] \
    || echo "  peer_advertised: $(advertised_address "$1")"
  echo "  peer_secret: a-secret-of-the-bench"
  if [ "$2" -gt 1 ]; then
    echo "  peers:"
    peer=0
    while [ $peer -lt "$2" ]; do
      [ $peer -eq "$1" ] || echo "    - $(peer_address "$1" $peer)"
      peer=$((peer + 1))
    done
  fi
  echo "  exchange_interval_ms: ${exchange_ms:-100}"
  echo "  lease_ms: ${lease_ms:-1000}"
  echo "  log_level: ${log_level:-warn}"
  echo "  share_policy: ${policy:-fleet}"
  echo "  platform:"
  echo "    kind: ${platform_kind:-memory}"
  [ -z "${platform_address:-}" ] || echo "    address: $platform_address"
  echo "    watch_wait_ms: ${watch_wait_ms:-5000}"
  echo "    calls_per_second_max: ${calls_per_second:-200}"
  echo "  tokens:"
  echo "    - operator: bench"
  echo "      role: write"
  echo "      token_sha256: $(printf %s "$token" | sha256sum | cut -d ' ' -f 1)"
}

# apply_objects I FILE: applies the objects of a file at router I.  Retries for
# up to 10 s, until the router accepts them.
apply_objects ()
{
  tries=0
  until "$build/cherrylanding" apply --admin "127.0.0.1:$(admin_port "$1")" \
    --token "$token" --reason bench "$2" > "$work/apply.log" 2>&1; do
    tries=$((tries + 1))
    [ $tries -lt 20 ] || die "apply failed: $(cat "$work/apply.log")"
    sleep 0.5
  done
}

# wait_ready I: waits until router I has a complete configuration.
wait_ready ()
{
  tries=0
  until curl -s -f -o /dev/null -m 1 "http://127.0.0.1:$(admin_port "$1")/readyz"; do
    tries=$((tries + 1))
    [ $tries -lt 200 ] || die "router $1 is not ready"
    sleep 0.05
  done
}

# start_router I COUNT: starts router I of a fleet of COUNT with the objects of
# $work/objects.yaml, and writes its process id to $work/router-I.pid.
start_router ()
{
  {
    put_router "$1" "$2"
    [ "${platform_kind:-memory}" = http ] || cat "$work/objects.yaml"
  } > "$work/router-$1.yaml"
  "$build/cherrylanding" serve "$work/router-$1.yaml" 2>> "$work/router-$1.log" &
  router_pids="$router_pids $!"
  echo $! > "$work/router-$1.pid"
}

# wait_router I: waits until router I answers at its client address.
wait_router ()
{
  tries=0
  until curl -s -o /dev/null -m 1 "http://127.0.0.1:$(client_port "$1")/"; do
    tries=$((tries + 1))
    if [ $tries -ge 100 ]; then
      tail -5 "$work/router-$1.log" >&2
      die "router $1 did not start"
    fi
    sleep 0.05
  done
}

# choose_ports COUNT: writes free ports for that many routers to $work/ports.
choose_ports ()
{
  "$build/standin" ports --workers $(($1 * 3)) > "$work/ports"
}

# start_routers COUNT: starts a fleet and waits until every router answers.
start_routers ()
{
  [ -f "$work/ports" ] || choose_ports "$1"
  index=0
  while [ $index -lt "$1" ]; do
    start_router $index "$1"
    index=$((index + 1))
  done
  index=0
  while [ $index -lt "$1" ]; do
    wait_router $index
    index=$((index + 1))
  done
}

# router_arguments COUNT: prints the --router arguments of the load generator.
router_arguments ()
{
  index=0
  while [ $index -lt "$1" ]; do
    echo "--router 127.0.0.1:$(client_port $index)"
    index=$((index + 1))
  done
}

# metrics I: prints the metrics of router I.
metrics ()
{
  curl -s -m 2 "http://127.0.0.1:$(admin_port "$1")/metrics"
}

# rss_kb PID: resident memory in kilobytes.  cpu_ticks PID: CPU time in clock
# ticks.
rss_kb ()
{
  awk '$1 == "VmRSS:" { print $2 }' "/proc/$1/status"
}
cpu_ticks ()
{
  awk '{ sub (/^.*\) /, ""); print $12 + $13 }' "/proc/$1/stat"
}
