#!/bin/sh
# Measures the latency that a router adds to a direct call, its throughput of
# small plain calls on one core, and its memory.  Prints one `key value` per
# line; exits 1 if a target is missed.
# usage: latency.sh BUILD [--record]
set -u

here=$(dirname "$0")
build=$1
record=${2:-}
. "$here/lib.sh"

token_ms=20
output=30-70
start_standin engine engine --workers 8 --slots 256 --token-ms $token_ms --instant
start_standin plain-1 plain --workers 1 --slots 4096
start_standin plain-2 plain --workers 1 --slots 4096
start_standin waiting engine --workers 1 --slots 1 --token-ms 1000

{
  echo "customers:"
  put_customer bench 1 100000
  echo "profiles:"
  echo "  - { name: chat, service: model, class: durable, idempotent: true, deadline_ms: 120000, queue_limit: 100000, cost_hint: 120 }"
  echo "  - { name: status, service: farm, class: durable, idempotent: false, deadline_ms: 60000, queue_limit: 100000 }"
  echo "  - { name: held, service: narrow, class: durable, idempotent: true, deadline_ms: 600000, queue_limit: 100000 }"
  echo "services:"
  echo "  - name: model"
  echo "    kind: engine"
  echo "    upstreams:"
  put_upstreams engine 256
  echo "  - name: farm"
  echo "    kind: plain"
  echo "    upstreams:"
  put_upstreams plain-1 4096
  put_upstreams plain-2 4096
  echo "  - name: narrow"
  echo "    kind: engine"
  echo "    upstreams:"
  put_upstreams waiting 1
} > "$work/objects.yaml"
start_routers 1
pid=$(cat "$work/router-0.pid")
sleep 1
idle_kb=$(rss_kb "$pid")
echo "idle_rss_mb $(echo "$idle_kb" | awk '{ printf "%.1f", $1 / 1024 }')" > "$work/figures"

# run NAME SECONDS FLOW ROUTER...: runs the load generator; its output goes to
# $work/load-NAME.
run ()
{
  name=$1
  length=$2
  flow=$3
  shift 3
  "$build/load" "$@" --seconds "$length" --warmup-ms 2000 --no-verify \
    --flow "$flow" > "$work/load-$name" || die "load generator failed in run $name"
}

# value NAME KEY: a value of the run NAME.
value ()
{
  awk -v key="$2" '$1 == key { print $2 }' "$work/load-$1"
}

# difference KEY NAME: prints as NAME_ms the value of KEY through the router
# minus that of a direct call.
difference ()
{
  echo "$2_ms $(value routed "$1") $(value direct "$1")" \
    | awk '{ printf "%s %.3f\n", $1, $2 - $3 }'
}

direct_engines=$(addresses_of engine | sed 's/^/--router /')
routed=$(router_arguments 1)
customer=key=key-of-bench-0000
for streams in 1 100 1000; do
  shape="name=bench,stream=1,tokens=$output,prompt=256,concurrency=$streams,idempotent=1"
  run direct 7 "$shape" $direct_engines
  before=$(cpu_ticks "$pid")
  run routed 7 "$shape,$customer,profile=chat" $routed &
  running=$!
  sleep 5
  stream_kb=$(rss_kb "$pid")
  wait $running || exit 1
  after=$(cpu_ticks "$pid")
  {
    difference p50_first_token_ms "streams_${streams}_added_p50_first_token"
    difference p99_first_token_ms "streams_${streams}_added_p99_first_token"
    echo "streams_${streams}_direct_p50_first_token_ms $(value direct p50_first_token_ms)"
    echo "streams_${streams}_routed_p50_first_token_ms $(value routed p50_first_token_ms)"
    echo "streams_${streams}_cpu_percent $(((after - before) * 100 / 700))"
  } >> "$work/figures"
done
echo "$stream_kb $idle_kb" | awk '{ printf "kb_per_stream %.1f\n", ($1 - $2) / 1000 }' >> "$work/figures"

# Small plain calls from several load generators, so that these do not limit the
# throughput.  The router uses one core on any machine.
loaders="1 2 3"
before=$(cpu_ticks "$pid")
running=
for loader in $loaders; do
  run plain-$loader 7 "name=bench,kind=plain,service=farm,$customer,profile=status,concurrency=32" $routed --seed $loader &
  running="$running $!"
done
for job in $running; do
  wait "$job" || exit 1
done
after=$(cpu_ticks "$pid")
{
  cat "$work"/load-plain-* | awk '
    $1 == "measured_requests_per_second" { sum += $2 }
    END { print "plain_requests_per_second", sum }'
  echo "plain_p50_ms $(value plain-1 p50_total_ms)"
  echo "plain_p99_ms $(value plain-1 p99_total_ms)"
  echo "plain_router_cpu_percent $(((after - before) * 100 / 700))"
} >> "$work/figures"

# Memory of waiting requests: one request takes the only slot, the others stay
# in the queue.
held=2000
empty_kb=$(rss_kb "$pid")
"$build/load" $routed --seconds 6 --drain-ms 0 --no-verify \
  --flow "name=bench,$customer,profile=held,tokens=600,concurrency=$held,idempotent=1" \
  > "$work/load-held" &
running=$!
sleep 4
held_kb=$(rss_kb "$pid")
wait $running
echo "$held_kb $empty_kb $held" | awk '{ printf "kb_per_waiting_request %.1f\n", ($1 - $2) / $3 }' >> "$work/figures"

cat "$work/figures"
awk -f "$here/latency_targets.awk" "$work/figures"
code=$?
[ -z "$record" ] || { date -u '+# %F %T'; cat "$work/figures"; echo; } >> "$here/results/latency.txt"
exit $code
