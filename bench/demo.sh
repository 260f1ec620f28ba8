#!/bin/sh
# Starts stand-in upstreams and three routers, sends mixed traffic of four
# customers for ten seconds, and prints the service that each customer received
# and the main counters of each router.
# usage: demo.sh BUILD [ROUTERS [SECONDS]]
# Exits non-zero if the load generator found a missing, truncated or wrong
# response.
set -u

build=$1
routers=${2:-3}
seconds=${3:-10}
. "$(dirname "$0")/lib.sh"

slots=8
start_standin engine engine --workers 4 --slots $slots --token-ms 10
start_standin plain plain --workers 2 --service-ms 5

{
  echo "customers:"
  put_customer franchise 4
  put_customer lighting 2
  put_customer junior 1
  put_customer dashboard 1
  echo "profiles:"
  echo "  - { name: summary, service: model, class: durable, idempotent: true, deadline_ms: 60000, queue_limit: 1000, cost_hint: 200 }"
  echo "  - { name: naming, service: model, class: disposable, idempotent: true, deadline_ms: 30000, queue_limit: 1000, cost_hint: 50 }"
  echo "  - { name: status, service: farm, class: quick, idempotent: false, deadline_ms: 5000, queue_limit: 1000 }"
  echo "services:"
  echo "  - name: model"
  echo "    kind: engine"
  echo "    upstreams:"
  put_upstreams engine $slots
  echo "  - name: farm"
  echo "    kind: plain"
  echo "    upstreams:"
  put_upstreams plain 16
} > "$work/objects.yaml"

start_routers "$routers"
sleep 1

key () { echo "key=key-of-$1-0000"; }

# shellcheck disable=SC2046
"$build/load" $(router_arguments "$routers") --engine "$(control_of engine)" \
  --plain "$(control_of plain)" --seconds "$seconds" --slots $((4 * slots)) \
  --token-ms 10 --table \
  --flow "name=franchise,weight=4,$(key franchise),profile=summary,concurrency=40,stream=1,tokens=60-100,idempotent=1" \
  --flow "name=lighting,weight=2,$(key lighting),profile=summary,concurrency=24,chat=1,tokens=40-80,idempotent=1" \
  --flow "name=junior,weight=1,$(key junior),profile=naming,concurrency=24,stream=1,chat=1,tokens=10-20,idempotent=1" \
  --flow "name=junior,weight=1,$(key junior),profile=status,kind=plain,service=farm,concurrency=2,rate=10" \
  --flow "name=dashboard,weight=1,$(key dashboard),profile=status,kind=plain,service=farm,concurrency=8,rate=100" \
  > "$work/load"
code=$?
sed -n '/^customer/,/^sent/p' "$work/load" | sed '$d'
echo
sed -n '/^sent/,$p' "$work/load" | grep -E '^(sent|whole|refused|cut|missing|crossed|unclear|p..?_first|gap_ratio|gap_fair|utilisation|verified)'
echo
index=0
while [ $index -lt "$routers" ]; do
  echo "router-$index:"
  metrics $index | grep -E '^cherrylanding_(requests_total|attempts_total|refused_total|control)' \
    | grep -v ' 0$' | sed 's/^/  /'
  index=$((index + 1))
done
exit $code
