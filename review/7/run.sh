#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not
# run.  TROUBLE=0: without the disruption.  Writes record.txt beside itself.
# Needs the build of deploy/system.toml and review/build-2.sh.
# Two fleets, one after the other: fifteen gateways in three zones with the
# settings of kandula-pocket, and fourteen in one zone with those of
# kandula-pocket-grown.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/cherrylanding ] && [ -x target/review-2/hubs ] || exit 2
record=review/7/record.txt
part=$(mktemp) || exit 2
trap 'rm -f "$part"' EXIT
: > "$record"
broken=0
for zones in 3 1; do
  target/review-2/hubs "$part" $zones
  code=$?
  cat "$part" >> "$record"
  [ $code -le 1 ] || exit 2
  [ $code -eq 0 ] || broken=1
done
exit $broken
