#!/bin/sh
# Checks that the load generator detects faults: it runs directly against
# stand-ins that truncate, mix up, repeat, mislabel or drop responses.  A run
# without faults must pass.
# usage: regress_standin.sh BUILD
set -u

build=$1
work=$(mktemp -d)
. "$(dirname "$0")/lib.sh"
engine=
plain=

stop ()
{
  for pid in $engine $plain; do
    kill "$pid" 2>/dev/null && wait "$pid" 2>/dev/null
  done
  rm -rf "$work"
}
trap stop EXIT

wait_for ()
{
  i=0
  until grep -q '^control' "$1"; do
    i=$((i + 1))
    [ $i -lt 200 ] || { echo "stand-in did not start"; exit 1; }
    sleep 0.05
  done
}

listener ()
{
  awk '/^listen/ { print $2; exit }' "$1"
}

control ()
{
  awk '/^control/ { print $2 }' "$1"
}

run_load ()
{
  "$build/load" --router "$(listener "$work/engine")" \
    --router "$(listener "$work/plain")" \
    --engine "$(control "$work/engine")" --plain "$(control "$work/plain")" \
    --seconds 1 --slots 4 --token-ms 5 --seed "$seed" \
    --flow name=a,stream=1,tokens=8-20,concurrency=2,routers=0 \
    --flow name=b,chat=1,tokens=8,concurrency=2,routers=0 \
    --flow name=c,kind=plain,routers=1,rate=40 > "$work/out" 2>&1
  code=$?
}

# expect_detected ROLE KEY QUERY: sets a fault for one request and expects that
# the load generator counts it as KEY and exits with code 1.
expect_detected ()
{
  role=$1
  key=$2
  query=$3
  seed=$((seed + 1))
  curl -s -X POST "http://$(control "$work/$role")/_standin/faults?$query"
  run_load
  result "$role $query: exit code" 1 $code
  result "$role $query: $key" 1 "$(awk -v k="$key" '$1 == k { print $2 }' "$work/out")"
  curl -s -X POST "http://$(control "$work/$role")/_standin/faults?kind=none"
}

"$build/standin" engine --slots 4 --token-ms 5 > "$work/engine" & engine=$!
"$build/standin" plain > "$work/plain" & plain=$!
wait_for "$work/engine"
wait_for "$work/plain"

seed=1
run_load
result "no faults: exit code" 0 $code
[ $code -eq 0 ] || cat "$work/out"

expect_detected engine cut 'kind=cut&value=100&count=1'
expect_detected engine missing 'kind=reset&value=0&count=1'
expect_detected engine crossed 'kind=crossed&count=1'
expect_detected engine crossed 'kind=wrong-id&count=1'
expect_detected engine verified_repeated 'kind=double&count=1'
expect_detected plain cut 'kind=cut&value=20&count=1'
expect_detected plain cut 'kind=wrong-length&value=7&count=1'
expect_detected plain crossed 'kind=crossed&count=1'
expect_detected plain verified_repeated 'kind=double&count=1'

# A not-run response is correct unless the request was executed.
seed=$((seed + 1))
curl -s -X POST "http://$(control "$work/plain")/_standin/faults?kind=not-run&count=1"
run_load
result "correct not-run response: exit code" 0 $code
result "correct not-run response: counted" 1 \
  "$(awk '$1 == "refused_not_run" { print $2 }' "$work/out")"
expect_detected plain verified_untrue_not_run 'kind=untrue-not-run&count=1'

# Requests beyond the slots wait in the engine and are counted.
"$build/load" --router "$(listener "$work/engine")" \
  --engine "$(control "$work/engine")" --seconds 1 --slots 4 --token-ms 5 \
  --seed 99 --flow name=a,stream=1,tokens=10,concurrency=9 > "$work/out" 2>&1
result "oversubscription is counted" yes \
  "$(awk '$1 == "engine_oversubscribed" { print ($2 > 0) ? "yes" : "no" }' "$work/out")"

echo "regress_standin: $passed passed, $failed failed"
[ $failed -eq 0 ]
