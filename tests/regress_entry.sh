#!/bin/sh
# Upstream faults behind a real router; the load generator verifies every byte
# of the responses and counts executions.  Then drain with requests in flight.
# usage: regress_entry.sh BUILD
set -u

build=$1
work=$(mktemp -d)
. "$(dirname "$0")/lib.sh"
engine=
plain=
router=

stop ()
{
  for pid in $router $engine $plain; do
    kill -KILL "$pid" 2>/dev/null && wait "$pid" 2>/dev/null
  done
  rm -rf "$work"
}
trap stop EXIT

control ()
{
  awk '/^control/ { print $2 }' "$work/$1"
}

upstreams ()
{
  awk '/^listen/ { printf "      - { address: %s, availability_zone: a, slots: 8 }\n", $2 }' \
    "$work/$1"
}

fault ()
{
  curl -s -o /dev/null -X POST "http://$(control "$1")/_standin/faults?$2"
}

value ()
{
  awk -v k="$1" '$1 == k { print $2 }' "$work/out"
}

# failures ERROR: number of attempts in the last load that failed with ERROR,
# from the router's log.  If there is none, it also prints a message, so that
# the check fails.
failures ()
{
  count=$(tail -n +"$((log_lines + 1))" "$work/router" \
    | grep -c "attempt failed.*error=$1")
  [ "$count" -gt 0 ] || echo "no attempt failed with $1"
  echo "$count"
}

# Runs one second of streams, unary responses and non-idempotent requests.
run_load ()
{
  seed=$((seed + 1))
  log_lines=$(wc -l < "$work/router")
  "$build/load" --router "$address" --engine "$(control engine)" \
    --plain "$(control plain)" --seconds 1 --slots 16 --token-ms 5 \
    --seed "$seed" \
    --flow "name=ana,key=key-of-ana-000000,profile=stream,stream=1,tokens=20-40,concurrency=4,idempotent=1" \
    --flow "name=ana,key=key-of-ana-000000,profile=stream,chat=1,tokens=10,concurrency=2,idempotent=1" \
    --flow "name=ben,key=key-of-ben-000000,profile=once,kind=plain,service=farm,concurrency=2,rate=40" \
    > "$work/out" 2>&1
  code=$?
}

# expect_clean NAME: the load generator found no truncated, mixed up, missing
# or repeated response.
expect_clean ()
{
  result "$1: exit code" 0 $code
  [ $code -eq 0 ] || cat "$work/out"
}

request ()
{
  curl -sS -N -H "Authorization: Bearer key-of-ana-000000" \
    -H "Cherrylanding-Profile: $1" -d "$2" \
    "http://$address/v1/completions"
}

"$build/standin" engine --workers 2 --slots 8 --token-ms 5 > "$work/engine" &
engine=$!
"$build/standin" plain --workers 2 --service-ms 2 > "$work/plain" & plain=$!
wait_for "$work/engine" '^control'
wait_for "$work/plain" '^control'
cat > "$work/router.yaml" <<YAML
router:
  instance: r1
  fleet: test
  availability_zone: a
  client_address: 127.0.0.1:0
  admin_address: 127.0.0.1:0
  drain_timeout_ms: 300
customers:
  - { name: ana, weight: 1, keys: [key-of-ana-000000] }
  - { name: ben, weight: 1, keys: [key-of-ben-000000] }
profiles:
  - { name: stream, service: pool, class: durable, idempotent: true, deadline_ms: 20000, attempts_max: 3 }
  - { name: hasty, service: pool, class: quick, idempotent: true, deadline_ms: 300, attempts_max: 3 }
  - { name: single, service: pool, class: durable, idempotent: false, deadline_ms: 20000, attempts_max: 3 }
  - { name: once, service: farm, class: quick, idempotent: false, deadline_ms: 5000, attempts_max: 3 }
services:
  - name: pool
    kind: engine
    resumable: true
    upstreams:
$(upstreams engine)
  - name: farm
    kind: plain
    upstreams:
$(upstreams plain)
YAML
"$build/cherrylanding" serve "$work/router.yaml" 2> "$work/router" & router=$!
wait_for "$work/router" 'for=clients'
address=127.0.0.1:$(sed -n 's/.*for=clients.* port=\([0-9]*\).*/\1/p' "$work/router")

seed=1
run_load
expect_clean "no faults"
result "no faults: refused_may_have_run" 0 "$(value refused_may_have_run)"

fault engine 'kind=cut&value=250&count=4'
run_load
expect_clean "truncated streams are resumed"
result "truncated streams: refused_may_have_run" 0 \
  "$(value refused_may_have_run)"

fault engine 'kind=reset&value=0&count=4'
run_load
expect_clean "resets before the response are retried"
result "resets: refused_may_have_run" 0 "$(value refused_may_have_run)"

fault engine 'kind=wrong-id&count=2'
run_load
expect_clean "response to another request is not forwarded"

fault plain 'kind=not-run&count=3'
run_load
expect_clean "requests refused by an upstream are retried"
result "requests refused by an upstream: refused_may_have_run" 0 \
  "$(value refused_may_have_run)"

fault plain 'kind=reset&value=0&count=2'
run_load
expect_clean "non-idempotent request that may have run is not retried"
result "resets of such requests are reported as refusals" "$(failures reset)" \
  "$(value refused_may_have_run)"

fault plain 'kind=wrong-length&value=7&count=2'
run_load
expect_clean "response shorter than its Content-Length"
result "short responses are reported as refusals" "$(failures truncated)" \
  "$(value refused_may_have_run)"

# If a stream cannot be resumed, the router aborts the client connection.
fault engine 'kind=cut&value=250&count=1'
request single '{"prompt":"a","max_tokens":20,"stream":true}' > "$work/cut" 2>&1
result "truncated stream: curl exits with code 0" no \
  "$([ $? -eq 0 ] && echo yes || echo no)"
wait_for "$work/router" 'response aborted'

# The deadline ends a request while the upstream still works on it.
request hasty '{"prompt":"a","max_tokens":2000}' > "$work/late"
result "deadline: reason" yes \
  "$(grep -q '"deadline"' "$work/late" && echo yes)"
result "deadline: verdict" yes "$(grep -q 'may-have-run' "$work/late" && echo yes)"

# SIGTERM: not ready any more, requests in flight finish, exit code 0.
request stream '{"prompt":"a","max_tokens":150,"stream":true}' > "$work/long" &
long=$!
wait_for "$work/long" '^data'
kill -TERM "$router"
wait_for "$work/router" 'drain started'
result "draining: not ready" 503 \
  "$(curl -s -o /dev/null -w '%{http_code}' "http://$address/readyz")"
request stream '{"prompt":"a"}' > "$work/refused"
result "draining: refused" yes "$(grep -q '"draining"' "$work/refused" && echo yes)"
wait "$long"
result "draining: stream in flight" 0 $?
result "draining: stream is complete" yes \
  "$(grep -q 'DONE' "$work/long" && echo yes)"
wait "$router"
result "draining: exit code" 0 $?
result "draining: timeout is logged" yes \
  "$(grep -q 'drain timeout passed' "$work/router" && echo yes)"

# A second SIGTERM aborts requests in flight.
"$build/cherrylanding" serve "$work/router.yaml" 2> "$work/router" & router=$!
wait_for "$work/router" 'for=clients'
address=127.0.0.1:$(sed -n 's/.*for=clients.* port=\([0-9]*\).*/\1/p' "$work/router")
request stream '{"prompt":"a","max_tokens":2000,"stream":true}' > "$work/long" 2>&1 &
long=$!
wait_for "$work/long" '^data'
kill -TERM "$router"
wait_for "$work/router" 'drain started'
kill -TERM "$router"
wait "$router"
result "second signal: exit code" 1 $?
wait "$long"
result "second signal: curl exits with code 0" no \
  "$([ $? -eq 0 ] && echo yes || echo no)"
router=

echo "regress_entry: $passed passed, $failed failed"
[ $failed -eq 0 ]
