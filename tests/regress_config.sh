#!/bin/sh
# Three routers and a stand-in store.  Changes reach all routers and stay in
# effect despite lost responses, concurrent changes, a store that is down or
# was restored from an old snapshot, and a router restart without the store.
# usage: regress_config.sh BUILD
set -u

build=$1
top=$(cd "$(dirname "$0")/.." && pwd)
work=$(mktemp -d)
. "$(dirname "$0")/lib.sh"
store=
r0=
r1=
r2=
CHERRYLANDING_TOKEN=write-token-of-ana
export CHERRYLANDING_TOKEN

stop ()
{
  for pid in $r0 $r1 $r2 $store; do
    kill -KILL "$pid" 2>/dev/null && wait "$pid" 2>/dev/null
  done
  rm -rf "$work"
}
trap stop EXIT

# await NAME PATTERN COMMAND...: checks that the command prints a line that
# matches the pattern within 200 tries.
await ()
{
  name=$1
  text=$2
  shift 2
  i=0
  until "$@" 2>/dev/null | grep -q -- "$text"; do
    i=$((i + 1))
    if [ $i -ge 200 ]; then
      result "$name" "$text" "$("$@" 2>&1 | tail -c 600)"
      return 1
    fi
    sleep 0.05
  done
  result "$name" yes yes
}

# field FILE PATTERN KEY: value of a field in the last matching log line.
field ()
{
  sed -n "/$2/s/.* $3=\"*\([^ \"]*\).*/\1/p" "$1" | tail -1
}

digest ()
{
  printf %s "$1" | sha256sum | cut -d' ' -f1
}

# start N SEEDS: writes the settings of router N and starts it.
start ()
{
  cat > "$work/r$1.yaml" <<YAML
router:
  instance: r$1
  fleet: farm
  availability_zone: a
  client_address: 127.0.0.1:0
  admin_address: 127.0.0.1:0
  peer_address: 127.0.0.1:0
  peers: [$2]
  peer_secret: open-sesame-open-sesame
  exchange_interval_ms: 100
  lease_ms: 1000
  platform:
    kind: http
    address: $store_address
    timeout_ms: 500
  tokens:
    - operator: ana
      role: write
      token_sha256: $(digest write-token-of-ana)
    - operator: bruno
      role: write
      token_sha256: $(digest write-token-of-bruno)
YAML
  "$build/cherrylanding" serve "$work/r$1.yaml" 2>> "$work/r$1.log" &
}

admin ()
{
  field "$work/r$1.log" 'for=admin' address
}

peer ()
{
  field "$work/r$1.log" 'for=peers' address
}

# run_at N COMMAND...: runs a cherrylanding command against router N.
run_at ()
{
  CHERRYLANDING_ADMIN=$(admin "$1")
  export CHERRYLANDING_ADMIN
  shift
  "$build/cherrylanding" "$@"
}

# put N WEIGHT [CURL OPTION...]: sets the weight of customer studio at router
# N; prints body and status of the response.
put ()
{
  router=$1
  weight=$2
  shift 2
  curl -s -m 20 -X PUT -H "Authorization: Bearer $CHERRYLANDING_TOKEN" "$@" \
    -d "{\"weight\": $weight}" -w ' status=%{http_code}' \
    "http://$(admin "$router")/admin/v1/customers/studio"
}

weight ()
{
  run_at "$1" get customers studio | sed -n 's/.*"weight": \([0-9]*\).*/\1/p' \
    | head -1
}

index ()
{
  run_at "$1" get customers studio | sed -n 's/.*"index": \([0-9]*\).*/\1/p' \
    | head -1
}

# expect_weight NAME WEIGHT: waits until all routers have the weight.
expect_weight ()
{
  for n in 0 1 2; do
    await "$1 at r$n" "^$2\$" weight $n
  done
}

fault ()
{
  curl -s -m 5 -X POST "http://$control/_standin/faults?$1" > /dev/null
}

ready ()
{
  curl -s -m 5 "http://$(admin "$1")/readyz"
}

"$build/standin" store > "$work/store" & store=$!
await "store" '^control' cat "$work/store"
store_address=$(awk '/^listen/ { print $2; exit }' "$work/store")
control=$(awk '/^control/ { print $2 }' "$work/store")

start 0 ""; r0=$!
await "r0 starts" 'msg=started' cat "$work/r0.log"
start 1 "$(peer 0)"; r1=$!
await "r1 starts" 'msg=started' cat "$work/r1.log"
start 2 "$(peer 0), $(peer 1)"; r2=$!
await "r2 starts" 'msg=started' cat "$work/r2.log"
for n in 0 1 2; do
  await "r$n is ready" '^ready' ready $n
done

cat > "$work/objects.yaml" <<'YAML'
customers:
  - name: studio
    weight: 3
    keys: [plain-key-of-studio]
profiles:
  - name: review
    service: model
services:
  - name: model
    kind: engine
    upstreams:
      - { address: "127.0.0.1:9001", availability_zone: a, slots: 4 }
YAML
result "first apply" "service/model created profile/review created customer/studio created" \
  "$(run_at 0 apply --reason first "$work/objects.yaml" | tr '\n' ' ' \
    | sed 's/ $//')"
expect_weight "first apply" 3
result "second apply changes nothing" 3 \
  "$(run_at 1 apply "$work/objects.yaml" | grep -c unchanged)"

# Writes more objects than the limit of store calls per second.
result "large apply" "23 created" \
  "$(run_at 2 apply "$top/conf/quilmes.yaml" | grep -c created) created"

# Concurrent changes: the second operator gets the name of the first one.
seen=$(index 0)
CHERRYLANDING_TOKEN=write-token-of-bruno put 1 4 -H "If-Match: $seen" \
  > /dev/null
answer=$(put 2 5 -H "If-Match: $seen")
result "concurrent changes: status" 409 "${answer##*status=}"
result "concurrent changes: name of the other operator" 1 \
  "$(echo "$answer" | grep -c '"operator":"bruno"')"
expect_weight "first of two concurrent changes" 4

# The response to a change is lost after the change took effect.
fault 'kind=lose-answer&count=2'
answer=$(put 0 6)
result "lost response: status" 200 "${answer##*status=}"
expect_weight "change with a lost response" 6
fault 'kind=none'
result "lost response: one change record" 1 \
  "$(run_at 0 audit customer/studio | grep -c 'weight: 4 -> 6')"

# The store is restored from an old snapshot.
fault 'kind=snapshot'
put 0 7 > /dev/null
put 0 8 > /dev/null
expect_weight "newest change before the restore" 8
seen=$(index 0)
fault 'kind=restore'
sleep 0.5
expect_weight "newest change after the restore" 8
put 1 9 > /dev/null
await "restore is logged" 'older state' \
  cat "$work/r0.log" "$work/r1.log" "$work/r2.log"
expect_weight "another change after the restore" 9
result "index is greater after the restore" yes \
  "$([ "$(index 1)" -gt "$seen" ] && echo yes || echo no)"

# The store is down: changes are refused as not-run, the configuration
# stays in effect.
fault 'kind=down&count=1000000'
answer=$(put 2 10)
result "store down: status" 503 "${answer##*status=}"
result "store down: not run" 1 \
  "$(echo "$answer" | grep -c '"verdict":"not-run"')"
expect_weight "store down: unchanged" 9

# A router that starts without the store gets the configuration from its peers.
kill -KILL "$r2" && wait "$r2" 2>/dev/null
: > "$work/r2.log"
start 2 "$(peer 0), $(peer 1)"; r2=$!
await "r2 starts again" 'msg=started' cat "$work/r2.log"
await "r2 is ready without the store" '^ready' ready 2
expect_weight "restart without the store" 9

fault 'kind=none'
i=0
until [ "$(put 2 11 | sed 's/.*status=//')" = 200 ] || [ $i -ge 20 ]; do
  i=$((i + 1))
  sleep 0.5
done
expect_weight "store up again" 11
result "audit record of the change" 1 \
  "$(run_at 0 audit customer/studio | grep -c 'weight: 9 -> 11')"

result "no secret in a log" 0 \
  "$(cat "$work"/r?.log | grep -c -e plain-key -e write-token -e open-sesame)"
result "no secret in a response" 0 \
  "$( (run_at 0 get; run_at 0 audit; run_at 0 status) \
    | grep -c -e plain-key -e token-of)"
result "wrong token: exit code" 1 \
  "$(CHERRYLANDING_TOKEN=guess run_at 0 get 2>/dev/null > /dev/null; echo $?)"

for n in 0 1 2; do
  run_at $n drain > /dev/null
done
wait "$r0"; result "r0 drains: exit code" 0 $?
wait "$r1"; result "r1 drains: exit code" 0 $?
wait "$r2"; result "r2 drains: exit code" 0 $?
r0=; r1=; r2=

echo "regress_config: $passed passed, $failed failed"
[ "$failed" -eq 0 ]
