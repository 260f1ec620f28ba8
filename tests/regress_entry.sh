#!/bin/sh
# Faults of upstreams through a real router, with every response checked byte
# for byte and every execution counted; then drain, with requests in flight.
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

# failures ERROR: attempts that the router's log says failed so in the last
# load; none would make the check empty.
failures ()
{
  count=$(tail -n +"$((log_lines + 1))" "$work/router" \
    | grep -c "attempt failed.*error=$1")
  [ "$count" -gt 0 ] || echo "no attempt failed with $1"
  echo "$count"
}

# One second of streams, whole responses and calls that must not run twice.
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

# sound NAME: the run counted nothing cut, crossed, missing or repeated.
sound ()
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
sound "no fault"
result "no fault: refused" 0 "$(value refused_may_have_run)"

fault engine 'kind=cut&value=250&count=4'
run_load
sound "streams cut in the middle are resumed"
result "streams cut: refused" 0 "$(value refused_may_have_run)"

fault engine 'kind=reset&value=0&count=4'
run_load
sound "resets before the response are retried"
result "resets: refused" 0 "$(value refused_may_have_run)"

fault engine 'kind=wrong-id&count=2'
run_load
sound "another's response is not passed on"

fault plain 'kind=not-run&count=3'
run_load
sound "refusals by the upstream move on"
result "refusals: refused" 0 "$(value refused_may_have_run)"

fault plain 'kind=reset&value=0&count=2'
run_load
sound "a call that may have run is not repeated"
result "resets of such calls are told" "$(failures reset)" \
  "$(value refused_may_have_run)"

fault plain 'kind=wrong-length&value=7&count=2'
run_load
sound "a response shorter than its length"
result "short responses are told" "$(failures truncated)" \
  "$(value refused_may_have_run)"

# A stream that cannot be completed ends in an aborted connection.
fault engine 'kind=cut&value=250&count=1'
request single '{"prompt":"a","max_tokens":20,"stream":true}' > "$work/cut" 2>&1
result "cut stream: curl's exit code is not 0" no \
  "$([ $? -eq 0 ] && echo yes || echo no)"
wait_for "$work/router" 'response aborted'

# A deadline ends a request at once, while the upstream goes on.
request hasty '{"prompt":"a","max_tokens":2000}' > "$work/late"
result "deadline" yes "$(grep -q '"deadline"' "$work/late" && echo yes)"
result "deadline: verdict" yes "$(grep -q 'may-have-run' "$work/late" && echo yes)"

# SIGTERM: readiness fails, what is in flight finishes, exit code 0.
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
result "draining: stream is whole" yes "$(grep -q 'DONE' "$work/long" && echo yes)"
wait "$router"
result "draining: exit code" 0 $?
result "stragglers were reported" yes \
  "$(grep -q 'drain timeout passed' "$work/router" && echo yes)"

# A second signal cuts.
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
result "second signal: the stream is visibly cut" no \
  "$([ $? -eq 0 ] && echo yes || echo no)"
router=

echo "regress_entry: $passed passed, $failed failed"
[ $failed -eq 0 ]
