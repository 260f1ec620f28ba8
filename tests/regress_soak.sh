#!/bin/sh
# Runs the soak test with the seeds of soak/seeds, three at a time.
# usage: regress_soak.sh BUILD
set -u

build=$1
here=$(dirname "$0")
work=$(mktemp -d)
. "$here/lib.sh"
trap 'rm -rf "$work"' EXIT

grep -v '^#' "$here/soak/seeds" | xargs -P 3 -L 1 sh -c \
  'sh "$1/soak.sh" "$2" --seed "$4" --seconds "$5" > "$3/$4" 2>&1
   echo $? > "$3/$4.code"' soak "$here" "$build" "$work"
for seed in $(grep -v '^#' "$here/soak/seeds" | awk '{ print $1 }'); do
  code=$(cat "$work/$seed.code")
  result "seed $seed" 0 "$code"
  [ "$code" -eq 0 ] || cat "$work/$seed"
done
echo
echo "regress_soak: $passed passed, $failed failed"
[ "$failed" -eq 0 ]
