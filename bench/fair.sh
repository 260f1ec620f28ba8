#!/bin/sh
# Measures fairness, utilisation and control traffic of a fleet of router
# processes.  Prints one `key value` per line; exits 1 if a target is missed.
# usage: fair.sh BUILD [--shape quilmes|kandula] [--policy fleet|static|fcfs]
#   [--fault none|kill|partition|pause|flood|store-down]
#   [--case base|single|hint|pulse|weights|mixed] [--seconds N] [--seed N]
#   [--matrix] [--record]
# --matrix runs every case, fault and baseline; --record appends the results to
# bench/results/fair.txt.
set -u

here=$(dirname "$0")
build=$1
shift
shape=quilmes
policy=fleet
fault=none
case=base
seconds=22
seed=1
record=
matrix=
while [ $# -gt 0 ]; do
  case $1 in
    --shape) shape=$2; shift ;;
    --policy) policy=$2; shift ;;
    --fault) fault=$2; shift ;;
    --case) case=$2; shift ;;
    --seconds) seconds=$2; shift ;;
    --seed) seed=$2; shift ;;
    --record) record=--record ;;
    --matrix) matrix=yes ;;
    *) echo "fair.sh: unknown argument $1" >&2; exit 2 ;;
  esac
  shift
done

if [ -n "$matrix" ]; then
  . "$here/fair_matrix.sh"
  exit $?
fi
. "$here/lib.sh"
. "$here/fleet_metrics.sh"

# Size of the fleet for each shape, and speed of the engines: $tokens tokens per
# $token_ms for each request.
routers=7
slots=16
plain_workers=3
case $shape in
  quilmes) workers=20 ;;
  kandula) workers=12 ;;
  *) die "unknown shape $shape" ;;
esac
token_ms=40
tokens=2
output=60-100
large=200
small=40
streamed=1
mixed=
case $case in
  base | single | hint | pulse | weights) ;;
  # 50 and 5000 tokens: the sizes are so far apart that responses are not
  # streamed, and that the engines produce 1,250 tokens per second.
  mixed) token_ms=40 tokens=50 output=50 streamed=0 mixed=",long=5000,long_permille=100" ;;
  *) die "unknown case $case" ;;
esac
exchange_ms=${exchange_ms:-200}
lease_ms=${lease_ms:-1000}
fault_ms=0
[ "$fault" = none ] || fault_ms=8000
lost=
victim=3

start_standin engine engine --workers $workers --slots $slots \
  --token-ms $token_ms --tokens $tokens
start_standin plain plain --workers $plain_workers --service-ms 5

weight_of ()
{
  if [ "$case" = weights ]; then
    echo "1 2 8" | cut -d ' ' -f $(($1 % 3 + 1))
  else
    echo 1
  fi
}

# Indices of the routers that customer $1 sends requests to, for the key
# `routers` of a flow.  From c3 on, customers whose numbers differ by 7 use the
# same routers; all other sets differ.
routers_of ()
{
  if [ "$case" = single ] && [ "$1" -eq 5 ]; then
    echo 2
  elif [ "$1" -lt 3 ]; then
    echo "$1+$((($1 + 2) % routers))+$((($1 + 3) % routers))+$((($1 + 5) % routers))"
  else
    echo "$(($1 % routers))+$(($1 * 3 % routers))"
  fi
}

put_objects ()
{
  echo "customers:"
  i=0
  while [ $i -lt 16 ]; do
    put_customer "c$i" "$(weight_of $i)"
    i=$((i + 1))
  done
  echo "profiles:"
  echo "  - { name: review, service: model, class: durable, idempotent: true, deadline_ms: 120000, queue_limit: 5000, cost_hint: 160 }"
  echo "  - { name: misjudged, service: model, class: durable, idempotent: true, deadline_ms: 120000, queue_limit: 5000, cost_hint: 8 }"
  echo "  - { name: status, service: farm, class: quick, idempotent: false, deadline_ms: 10000, queue_limit: 5000 }"
  echo "services:"
  echo "  - name: model"
  echo "    kind: engine"
  echo "    upstreams:"
  put_upstreams engine $slots
  echo "  - name: farm"
  echo "    kind: plain"
  echo "    upstreams:"
  put_upstreams plain $slots
}

# put_flows: prints the --flow arguments of the load generator, one per line.
put_flows ()
{
  i=0
  while [ $i -lt 16 ]; do
    clients=$small
    [ $i -ge 3 ] || clients=$large
    profile=review
    extra=$mixed
    [ "$case" = hint ] && [ $i -eq 6 ] && profile=misjudged
    [ "$case" = pulse ] && [ $i -eq 7 ] && extra=",on_ms=1500,off_ms=1500"
    echo "--flow name=c$i,weight=$(weight_of $i),key=key-of-c$i-0000,profile=$profile,concurrency=$clients,stream=$streamed,tokens=$output,idempotent=1,routers=$(routers_of $i)$extra"
    [ $((i % 4)) -eq 0 ] && echo "--flow name=c$i,weight=$(weight_of $i),key=key-of-c$i-0000,profile=status,kind=plain,service=farm,concurrency=4,rate=20,routers=$(routers_of $i)"
    i=$((i + 1))
  done
  [ "$fault" = flood ] && echo "--flow name=c0,key=key-of-c0-0000,profile=review,concurrency=1000,limit=1,start_ms=$fault_ms,stream=$streamed,tokens=$output,idempotent=1,routers=0"
}

. "$here/fair_faults.sh"

put_objects > "$work/objects.yaml"
prepare_fault
start_routers $routers
if [ "${platform_kind:-memory}" = http ]; then
  apply_objects 0 "$work/objects.yaml"
fi
index=0
while [ $index -lt $routers ]; do
  wait_ready $index
  index=$((index + 1))
done
sleep 2

snapshot before
# shellcheck disable=SC2046
"$build/load" $(router_arguments $routers) --engine "$(control_of engine)" \
  --plain "$(control_of plain)" --seconds "$seconds" --seed "$seed" \
  --slots $((workers * slots)) --token-ms $token_ms --tokens $tokens \
  --drain-ms 60000 --exchange-ms "$exchange_ms" --fault-ms "$fault_ms" $lost $(put_flows) \
  > "$work/load" 2> "$work/load.err" &
load_pid=$!
pids="$pids $load_pid"
run_fault
(sleep $((seconds - (fault_ms > 0 ? fault_s_spent : 0) - 1)))
rss=$(largest_rss_mb)
snapshot after
wait $load_pid
load_code=$?

{
  echo "shape $shape"
  echo "policy $policy"
  echo "fault $fault"
  echo "case $case"
  echo "seed $seed"
  echo "seconds $seconds"
  echo "exchange_ms $exchange_ms"
  echo "lease_ms $lease_ms"
  cat "$work/load"
  [ ! -f "$work/notes" ] || cat "$work/notes"
  echo "control_bytes_per_second_per_node $(rate_per_second cherrylanding_control_bytes_total out)"
  echo "control_cpu_percent_per_node $(percent cherrylanding_control_cpu_seconds_total)"
  echo "cpu_percent_per_node $(percent process_cpu_seconds_total)"
  echo "rss_mb $rss"
  echo "load_exit $load_code"
} > "$work/figures"
cat "$work/figures"
cat "$work/load.err" >&2
awk -f "$here/fair_targets.awk" "$work/figures"
code=$?
[ -z "$record" ] || { date -u '+# %F %T'; cat "$work/figures"; echo; } >> "$here/results/fair.txt"
exit $code
