#!/bin/sh
# One gateway and a store whose revisions pass 2^40.  Exits with 1 if requests
# are handled as only an older version allows, or reach a worker that has left
# for the gateway.  TROUBLE=0: revisions from 12 on.
set -u
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
[ -x target/cherrylanding ] && [ -x target/review-3/counter ] || exit 2
work=$(mktemp -d) || exit 2
pids=

stop ()
{
  for pid in $pids; do
    kill -KILL "$pid" 2> /dev/null && wait "$pid" 2> /dev/null
  done
  [ -f "$work/record.txt" ] && cp "$work/record.txt" "$here/record.txt"
  rm -rf "$work"
}
trap stop EXIT
trap 'exit 2' INT TERM

target/review-3/counter "$work" "${TROUBLE:-1}" > "$work/out" &
platform=$!
pids=$platform
tries=0
until grep -qs 'settings written' "$work/out"; do
  tries=$((tries + 1))
  [ $tries -lt 100 ] || exit 2
  sleep 0.1
done
CHERRYLANDING_CONFIG=$work/settings.json target/cherrylanding gateway \
  > "$work/log" 2>&1 &
gateway=$!
pids="$platform $gateway"
wait $platform
code=$?
pids=$gateway
tail -n 1 "$work/out"
exit $code
