#!/bin/sh
# Three real gateways with the stand-in for the platform: they become ready,
# serve each kind of route, apply a change of the API key and drain on SIGTERM.
# usage: regress_gateway.sh BUILD
set -u

build=$1
work=$(mktemp -d)
. "$(dirname "$0")/lib.sh"
. "$(dirname "$0")/gatelib.sh"
trap stop EXIT

start_platform
start_gateways "$build/cherrylanding" 1 2 3

for index in 1 2 3; do
  result "gateway $index is ready" 200 "$(poll 200 ready $index)"
  result "gateway $index, idempotent" 200 \
    "$(request $index key-1 GET /again/a)"
  result "gateway $index, once" 200 "$(request $index key-1 POST /once/a)"
  result "gateway $index, stream" 200 "$(request $index key-1 POST /stream/a)"
  result "gateway $index, unknown key" 401 \
    "$(request $index nobody GET /again/a)"
  result "gateway $index, unknown path" 404 \
    "$(request $index key-1 GET /elsewhere/a)"
done

kill -USR1 "$platform"
for index in 1 2 3; do
  result "gateway $index, old key is refused" 401 \
    "$(poll 401 request $index key-1 GET /again/a)"
  result "gateway $index, new key is accepted" 200 \
    "$(request $index key-2 GET /again/a)"
done

# shellcheck disable=SC2154
kill -TERM "$gateway_1"
result "gateway 1 is not ready after SIGTERM" 503 "$(poll 503 ready 1)"
result "gateway 1 still serves while it drains" 200 \
  "$(request 1 key-2 GET /again/a)"
wait "$gateway_1"
result "gateway 1: exit code" 0 $?
result "gateway 2 still serves" 200 "$(request 2 key-2 GET /again/a)"
result "gateway 2 is connected to a peer" yes \
  "$(grep -q 'peer connected' "$work/log.2" && echo yes || echo no)"

[ "$failed" -eq 0 ] || cat "$work"/log.*
echo
echo "regress_gateway: $passed passed, $failed failed"
[ "$failed" -eq 0 ]
