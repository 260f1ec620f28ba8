#!/bin/sh
# Real gateways of this version beside those of 5f80ea5, which has 64 bits for
# a position in the store: a full mesh of three, and fourteen with hubs.
# Guards against a rollout in which one version cannot read what the other one
# sends.  The older program is built from the history of this repository.
# usage: regress_rollout.sh BUILD [PROGRAM of 5f80ea5]
set -u

OLDER=5f80ea5
build=$1
top=$(cd "$(dirname "$0")/.." && pwd)
work=$(mktemp -d)
. "$top/tests/lib.sh"
. "$top/tests/gatelib.sh"
trap stop EXIT

if [ $# -gt 1 ]; then
  older=$2
else
  mkdir "$work/older"
  # Those of a surrounding make would set the mode of this one.
  unset MAKEFLAGS MFLAGS MAKELEVEL MAKEOVERRIDES MODE BUILD
  git -C "$top" archive "$OLDER" | tar -x -C "$work/older" \
    && make -s -j4 -C "$work/older" build-release/cherrylanding \
      > "$work/make" 2>&1 || { cat "$work/make"; exit 1; }
  older=$work/older/build-release/cherrylanding
fi

# links: prints how many links ended because a message could not be read.
links ()
{
  cat "$work"/log.* | grep -c 'error=protocol'
}

finish ()
{
  [ "$failed" -eq 0 ] || tail -n 20 "$work"/log.*
  echo
  echo "regress_rollout: $passed passed, $failed failed"
  [ "$failed" -eq 0 ]
}

# check_ready NAME GATEWAY...: without them the rest takes long to fail.
check_ready ()
{
  name=$1
  shift
  for index in "$@"; do
    result "$name: gateway $index is ready" 200 "$(poll 200 ready "$index")"
    [ "$failed" -eq 0 ] || { finish; exit 1; }
  done
}

# check_key NAME GATEWAY...: they take the new key and refuse the old one.
check_key ()
{
  name=$1
  shift
  for index in "$@"; do
    result "$name: gateway $index, old key is refused" 401 \
      "$(poll 401 request "$index" key-1 GET /again/a)"
    result "$name: gateway $index, new key is accepted" 200 \
      "$(request "$index" key-2 GET /again/a)"
  done
}

all="1 2 3 4 5 6 7 8 9 10 11 12 13 14"
newer="1 3 5 7 9 11 13"

# A store that both can read: no message is lost, each has all peers.
start_platform --revision 1000 --era 3
start_gateways "$build/cherrylanding" 1 3
start_gateways "$older" 2
check_ready mesh 1 2 3
kill -USR1 "$platform"
check_key mesh 1 2 3
result "mesh: messages that could not be read" 0 "$(links)"
stop_processes

start_platform --revision 1000 --era 3
# shellcheck disable=SC2086
start_gateways "$build/cherrylanding" $newer
start_gateways "$older" 2 4 6 8 10 12 14
# shellcheck disable=SC2086
check_ready hubs $all
sleep 2
kill -USR1 "$platform"
# shellcheck disable=SC2086
check_key hubs $all
result "hubs: messages that could not be read" 0 "$(links)"
stop_processes

# Revisions pass 2^40 in the rollout: the newer ones go on, and the older ones
# cannot read the store, but all that peers send.
start_platform --revision 1099511627700
# shellcheck disable=SC2086
start_gateways "$build/cherrylanding" $newer
start_gateways "$older" 2 4 6 8 10 12 14
# shellcheck disable=SC2086
check_ready "passes 2^40" $newer
sleep 2
kill -USR2 "$platform"
kill -USR1 "$platform"
# shellcheck disable=SC2086
check_key "passes 2^40" $newer
result "passes 2^40: links that were lost" 0 \
  "$(cat "$work"/log.* | grep 'peer disconnected' | grep -c 'error=protocol')"
stop_processes

finish
