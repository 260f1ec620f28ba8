#!/bin/sh
# Measures control traffic, its CPU time and the memory of a router for growing
# numbers of routers, customers and configuration changes per second.  Prints a
# table and fits of its columns.
# usage: scale.sh BUILD [--record] [--only "ROUTERS:CUSTOMERS:CHANGES ..."]
set -u

here=$(dirname "$0")
build=$1
shift
record=
only=
point=
while [ $# -gt 0 ]; do
  case $1 in
    --record) record=yes ;;
    --only) only=$2; shift ;;
    --point) point=$2; shift ;;
    *) echo "scale.sh: unknown argument $1" >&2; exit 2 ;;
  esac
  shift
done

points="2:16:0 4:16:0 7:16:0 14:16:0 28:16:0 56:16:0
  7:64:0 7:250:0 7:1000:0 7:16:1 7:16:5 28:16:5"

if [ -z "$point" ]; then
  table=$(mktemp)
  trap 'rm -f "$table"' EXIT
  echo "routers customers changes_per_second control_bytes_per_second control_cpu_percent cpu_percent rss_mb store_calls_per_second load_exit" | tee "$table"
  for point in ${only:-$points}; do
    sh "$0" "$build" --point "$point" | tee -a "$table"
  done
  awk -f "$here/scale_fit.awk" "$table"
  [ -z "$record" ] || { date -u '+# %F %T'; cat "$table"; awk -f "$here/scale_fit.awk" "$table"; echo; } >> "$here/results/scale.txt"
  exit 0
fi

. "$here/lib.sh"
. "$here/fleet_metrics.sh"
routers=${point%%:*}
changes=${point##*:}
customers=${point#*:}
customers=${customers%:*}
seconds=12
exchange_ms=${exchange_ms:-500}
lease_ms=${lease_ms:-3000}
platform_kind=http
log_level=error
workers=20
slots=4

start_standin engine engine --workers $workers --slots $slots --token-ms 50
start_standin store store
platform_address=$(addresses_of store)

# put_objects FROM TO: prints the customers FROM to TO - 1, and for FROM = 0
# also the profiles and services.
put_objects ()
{
  echo "customers:"
  i=$1
  while [ "$i" -lt "$2" ]; do
    put_customer "c$i" 1
    i=$((i + 1))
  done
  [ "$1" -eq 0 ] || return 0
  echo "profiles:"
  echo "  - { name: review, service: model, class: durable, idempotent: true, deadline_ms: 120000, queue_limit: 5000, cost_hint: 60 }"
  echo "services:"
  echo "  - name: model"
  echo "    kind: engine"
  echo "    upstreams:"
  put_upstreams engine $slots
}

# Prints the --flow arguments of the load generator: two clients at two routers
# for each customer, of which at most 400 send requests.
put_flows ()
{
  i=0
  while [ $i -lt "$customers" ] && [ $i -lt 400 ]; do
    echo "--flow name=c$i,key=key-of-c$i-0000,profile=review,concurrency=2,stream=1,tokens=10-30,idempotent=1,routers=$((i % routers))+$(((i * 3 + 1) % routers))"
    i=$((i + 1))
  done
}

# Changes the weight of one customer after the other, about $changes times per
# second; each change is one call of `cherrylanding apply`.
change_weights ()
{
  n=0
  while :; do
    {
      echo "customers:"
      put_customer "c$((n % customers))" $((n / customers % 5 + 2))
    } > "$work/change.yaml"
    "$build/cherrylanding" apply --admin "127.0.0.1:$(admin_port 0)" \
      --token "$token" --reason bench "$work/change.yaml" > /dev/null 2>&1
    n=$((n + 1))
    sleep "$(echo "$changes" | awk '{ print 1 / $1 }')"
  done
}

# store_calls: number of calls that the store has received.
store_calls ()
{
  curl -s "http://$(control_of store)/_standin/stats" \
    | sed 's/.*"reads":\([0-9]*\),"writes":\([0-9]*\),"watches":\([0-9]*\).*/\1 \2 \3/' \
    | awk '{ print $1 + $2 + $3 }'
}

calls_per_second=500
start_routers "$routers"
put_objects 0 "$customers" > "$work/objects.yaml"
apply_objects 0 "$work/objects.yaml"
index=0
while [ $index -lt "$routers" ]; do
  wait_ready $index
  index=$((index + 1))
done
sleep 4

if [ "$changes" -gt 0 ]; then
  change_weights &
  pids="$pids $!"
fi
# shellcheck disable=SC2046
"$build/load" $(router_arguments "$routers") --engine "$(control_of engine)" \
  --seconds $((seconds + 4)) --slots $((workers * slots)) --token-ms 50 \
  $(put_flows) > "$work/load" 2> "$work/load.err" &
load_pid=$!
pids="$pids $load_pid"
sleep 3
snapshot before
calls_before=$(store_calls)
sleep $seconds
snapshot after
calls_after=$(store_calls)
rss=$(largest_rss_mb)
wait $load_pid
load_code=$?
echo "$routers $customers $changes" \
  "$(rate_per_second cherrylanding_control_bytes_total out)" \
  "$(percent cherrylanding_control_cpu_seconds_total)" \
  "$(percent process_cpu_seconds_total)" "$rss" \
  "$(echo "$calls_before $calls_after $seconds" | awk '{ printf "%.1f", ($2 - $1) / $3 }')" \
  $load_code
