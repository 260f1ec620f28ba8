#!/bin/sh
# Signals that reach a gateway before it has its handlers: while it reads its
# settings, which are a pipe here.
# usage: regress_signals_at_start.sh BUILD
set -u

build=$1
work=$(mktemp -d)
. "$(dirname "$0")/lib.sh"
gateway=

stop ()
{
  [ -z "$gateway" ] || { kill -KILL "$gateway" && wait "$gateway"; } 2> /dev/null
  rm -rf "$work"
}
trap stop EXIT

# start SIGNAL: starts a gateway that gets the signal and then its settings.
start ()
{
  rm -f "$work/path"
  mkfifo "$work/path"
  CHERRYLANDING_CONFIG=$work/path "$build/cherrylanding" gateway \
    > "$work/log" 2>&1 &
  gateway=$!
  exec 4> "$work/path"
  kill -"$1" "$gateway"
  mv "$work/settings" "$work/path"
  cp "$work/path" "$work/settings"
  cat "$work/settings" >&4
  exec 4>&-
}

"$build/standin" ports --workers 4 > "$work/ports"
put_settings gate-1 za "127.0.0.1:$(sed -n 4p "$work/ports")" 1 \
  '"bounds": { "drain_ms": 500, "grace_s": 5 },' > "$work/settings"

start TERM
wait "$gateway"
result "SIGTERM: exit code" 0 $?

start HUP
until grep -q started "$work/log" || ! kill -0 "$gateway" 2> /dev/null; do
  sleep 0.05
done
kill -TERM "$gateway"
wait "$gateway"
result "SIGHUP, then SIGTERM: exit code" 0 $?
gateway=

[ "$failed" -eq 0 ] || cat "$work/log"
echo
echo "regress_signals_at_start: $passed passed, $failed failed"
[ "$failed" -eq 0 ]
