#!/bin/sh
# Three routers share the slots of one engine.  One router can use the slots of
# the others, no slot is used twice, and the slots of a killed router become
# available again.
# usage: regress_peers.sh BUILD
set -u

build=$1
work=$(mktemp -d)
. "$(dirname "$0")/lib.sh"
engine=
r0=
r1=
r2=

stop ()
{
  for pid in $r0 $r1 $r2 $engine; do
    kill -KILL "$pid" 2>/dev/null && wait "$pid" 2>/dev/null
  done
  rm -rf "$work"
}
trap stop EXIT

# field FILE PATTERN KEY: value of a field in the first matching log line.
field ()
{
  sed -n "/$2/s/.* $3=\"*\([^ \"]*\).*/\1/p" "$1" | head -1
}

# settings N SEEDS [SECRET]: writes the settings of router N.
settings ()
{
  cat > "$work/r$1.yaml" <<YAML
router:
  instance: r$1
  fleet: farm
  availability_zone: a
  client_address: 127.0.0.1:0
  peer_address: 127.0.0.1:0
  peers: [$2]
  peer_secret: ${3:-open-sesame-open-sesame}
  exchange_interval_ms: 100
  lease_ms: 1000
customers:
  - name: ana
    keys: [key-of-customer-ana]
  - name: bruno
    keys: [key-of-customer-bruno]
profiles:
  - name: chat
    service: model
    deadline_ms: 60000
services:
  - name: model
    kind: engine
    upstreams:
      - address: $upstream
        availability_zone: a
        slots: 6
YAML
}

# start N SEEDS: writes the settings of router N and starts it.
start ()
{
  settings "$@"
  "$build/cherrylanding" serve "$work/r$1.yaml" 2> "$work/r$1.log" &
}

client_address ()
{
  echo "127.0.0.1:$(field "$work/r$1.log" 'for=clients' port)"
}

peer_address ()
{
  field "$work/r$1.log" 'for=peers' address
}

"$build/standin" engine --slots 6 --token-ms 5 > "$work/engine" & engine=$!
wait_for "$work/engine" '^control'
upstream=$(awk '/^listen/ { print $2; exit }' "$work/engine")
control=$(awk '/^control/ { print $2 }' "$work/engine")

# run_load ARGUMENTS...: runs the load generator, with a new seed each time.
run_load ()
{
  seed=$((seed + 1))
  "$build/load" --router "$(client_address 0)" \
    --router "$(client_address 1)" --router "$(client_address 2)" \
    --engine "$control" --seconds 3 --slots 6 --token-ms 5 \
    --seed $seed "$@" > "$work/out" 2>&1
  code=$?
}

value ()
{
  awk -v k="$1" '$1 == k { print $2 }' "$work/out"
}

seed=0
start 0 ""; r0=$!
wait_for "$work/r0.log" 'msg=started'
start 1 "$(peer_address 0)"; r1=$!
wait_for "$work/r1.log" 'msg=started'
start 2 "$(peer_address 0), $(peer_address 1)"; r2=$!
wait_for "$work/r2.log" 'msg=started'
wait_for "$work/r0.log" 'peer connected.*peer=r1'
wait_for "$work/r0.log" 'peer connected.*peer=r2'
wait_for "$work/r1.log" 'peer connected.*peer=r2'

ana="name=ana,key=key-of-customer-ana,profile=chat,stream=1,tokens=20"
bruno="name=bruno,key=key-of-customer-bruno,profile=chat,stream=1,tokens=20"

run_load --flow "$ana,concurrency=12,routers=0"
result "load on one router: exit code" 0 $code
[ $code -eq 0 ] || cat "$work/out"
result "no slot is used twice" 0 "$(value engine_oversubscribed)"
# With an even share of the slots the utilisation would be a third.
result "one router uses the slots of the others" yes \
  "$(awk '$1 == "utilisation" { print ($2 > 0.5) ? "yes" : "no" }' "$work/out")"

run_load --flow "$ana,concurrency=12,routers=0" \
  --flow "$bruno,concurrency=6,routers=0+1+2"
result "load on all routers: exit code" 0 $code
[ $code -eq 0 ] || cat "$work/out"
result "no slot is used twice" 0 "$(value engine_oversubscribed)"
result "gap_ratio is at most 1" yes \
  "$(awk '$1 == "gap_ratio" { print ($2 <= 1) ? "yes" : "no" }' "$work/out")"

# A peer with a different secret is rejected.
settings 9 "$(peer_address 0)" another-secret-altogether
timeout 2 "$build/cherrylanding" serve "$work/r9.yaml" 2> "$work/r9.log"
result "peer with wrong secret is rejected" yes \
  "$(grep -q 'peer rejected.*error=auth' "$work/r0.log" && echo yes)"
result "peer with wrong secret does not connect" no \
  "$(grep -q 'peer connected.*peer=r9' "$work/r0.log" && echo yes || echo no)"

# A router is killed; the others detect it and continue to serve.
kill -KILL "$r2"
wait "$r2" 2>/dev/null
wait_for "$work/r0.log" 'member status changed.*peer=r2 status=gone'
run_load --flow "$ana,concurrency=12,routers=0" \
  --flow "$bruno,concurrency=6,routers=0+1"
result "after a router was killed: exit code" 0 $code
[ $code -eq 0 ] || cat "$work/out"

# A router drains on SIGTERM and exits with code 0.
kill -TERM "$r1"
wait "$r1"
result "drained router: exit code" 0 $?
r1=
r2=

echo "regress_peers: $passed passed, $failed failed"
[ $failed -eq 0 ]
