#!/bin/sh
# Three real gateways before a store whose revisions or era are large, and pass
# the sizes that a number of 40, 53 or 63 bits holds.  Guards against gateways
# that are never ready, or go on with a configuration that has been replaced.
# usage: regress_store_numbers.sh BUILD
set -u

build=$1
work=$(mktemp -d)
. "$(dirname "$0")/lib.sh"
. "$(dirname "$0")/gatelib.sh"
trap stop EXIT

# play NAME OPTIONS: with OPTIONS of the stand-in for the platform.
play ()
{
  start_platform $2
  start_gateways "$build/cherrylanding" 1 2 3
  for index in 1 2 3; do
    result "$1: gateway $index is ready" 200 "$(poll 200 ready $index)"
    result "$1: gateway $index serves" 200 "$(request $index key-1 GET /again/a)"
  done
  kill -USR1 "$platform"
  for index in 1 2 3; do
    result "$1: gateway $index, old key is refused" 401 \
      "$(poll 401 request $index key-1 GET /again/a)"
    result "$1: gateway $index, new key is accepted" 200 \
      "$(request $index key-2 GET /again/a)"
  done
  stop_processes
}

play "from 12 on" "--revision 12"
play "passes 2^40" "--revision 1099511627770"
play "time in ms" "--revision 1765000000000"
play "passes 2^53" "--revision 9007199254740985"
play "2^62" "--revision 4611686018427387904"
play "passes 2^63" "--revision 9223372036854775801"
play "era 20000000" "--era 20000000"
play "2^62, era 2^62" "--revision 4611686018427387904 --era 4611686018427387904"

[ "$failed" -eq 0 ] || cat "$work"/log.*
echo
echo "regress_store_numbers: $passed passed, $failed failed"
[ "$failed" -eq 0 ]
