#!/bin/sh
# Three real gateways with the stand-in for the platform: they become ready,
# serve each kind of route, apply a change of the API key and drain on SIGTERM.
# usage: regress_gateway.sh BUILD
set -u

build=$1
work=$(mktemp -d)
. "$(dirname "$0")/lib.sh"
pids=

stop ()
{
  for pid in $pids; do
    kill -KILL "$pid" 2>/dev/null && wait "$pid" 2>/dev/null
  done
  rm -rf "$work"
}
trap stop EXIT

# poll WANTED COMMAND...: repeats the command until it prints WANTED, at most
# 200 times, then runs it once more and prints the output.
poll ()
{
  wanted=$1
  shift
  tries=0
  until [ "$("$@")" = "$wanted" ] || [ $tries -ge 200 ]; do
    tries=$((tries + 1))
    sleep 0.05
  done
  "$@"
}

# request GATEWAY KEY METHOD PATH: prints the status code.
request ()
{
  curl -s -m 5 -o "$work/body" -w '%{http_code}' -X "$3" \
    -H 'Host: shop.example' -H "X-Credential: $2" -H 'X-Attempt-Id: id-1' \
    -H 'X-Deadline-Remaining-Ms: 5000' "http://$(cat "$work/front.$1")$4"
}

# ready GATEWAY: prints the status code of the readiness probe.
ready ()
{
  curl -s -m 5 -o /dev/null -w '%{http_code}' "http://$(cat "$work/probe.$1")/ready"
}

"$build/standin" platform --workers 3 > "$work/platform" &
platform=$!
pids=$platform
wait_for "$work/platform" '^listen'
store=$(awk '/^listen/ { print $2 }' "$work/platform")

"$build/standin" ports --workers 9 > "$work/ports"
for index in 1 2 3; do
  first=$((index * 3 - 2))
  echo "127.0.0.1:$(sed -n "${first}p" "$work/ports")" > "$work/front.$index"
  echo "127.0.0.1:$(sed -n "$((first + 1))p" "$work/ports")" \
    > "$work/probe.$index"
  put_settings "gate-$index" za "$store" $first "" > "$work/settings.$index"
  CHERRYLANDING_CONFIG=$work/settings.$index "$build/cherrylanding" gateway \
    > "$work/log.$index" 2>&1 &
  eval "gateway_$index=$!"
  pids="$pids $!"
done

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
