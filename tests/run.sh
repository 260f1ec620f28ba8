#!/bin/sh
# Runs every unit test program and regression script of a build folder.
# usage: run.sh BUILD
# Prints the result of each suite and a final line `N passed, N failed`.
# Failures of suites that KNOWN-RED.txt lists as `test: NAME` are reported
# separately and do not fail the run; any other failure does.
set -u

build=$1
top=$(cd "$(dirname "$0")/.." && pwd)
logs=$build/test-logs
mkdir -p "$logs"
passed=0
failed=0
known=0
status=0

is_known ()
{
  [ -f "$top/KNOWN-RED.txt" ] && grep -qx "test: $1" "$top/KNOWN-RED.txt"
}

# Every suite prints `NAME: N passed, N failed` as its last line.
count ()
{
  name=$1
  rc=$2
  line=$(grep -E "^$name: [0-9]+ passed, [0-9]+ failed" "$logs/$name" | tail -1)
  ok=$(echo "$line" | sed -E 's/.*: ([0-9]+) passed.*/\1/')
  bad=$(echo "$line" | sed -E 's/.*, ([0-9]+) failed.*/\1/')
  if [ -z "$line" ]; then
    ok=0
    bad=1
  elif [ "$rc" -ne 0 ] && [ "$bad" -eq 0 ]; then
    bad=1
  fi
  passed=$((passed + ok))
  if [ "$bad" -eq 0 ]; then
    echo "ok     $name ($ok)"
  elif is_known "$name"; then
    known=$((known + bad))
    echo "KNOWN  $name ($ok passed, $bad failed; see KNOWN-RED.txt)"
  else
    failed=$((failed + bad))
    status=1
    echo "FAILED $name ($ok passed, $bad failed)"
    tail -60 "$logs/$name"
  fi
}

for program in "$build"/test_*; do
  [ -x "$program" ] || continue
  name=$(basename "$program")
  [ -f "$top/tests/$name.c" ] || continue
  timeout 300 "$program" > "$logs/$name" 2>&1
  count "$name" $?
done
for script in "$top"/tests/regress_*.sh; do
  [ -f "$script" ] || continue
  name=$(basename "$script" .sh)
  timeout 600 sh "$script" "$build" > "$logs/$name" 2>&1
  count "$name" $?
done

[ "$known" -eq 0 ] || echo "known failures: $known"
[ ! -f "$top/KNOWN-RED.txt" ] || { echo "listed as known:"; cat "$top/KNOWN-RED.txt"; }
echo "$passed passed, $failed failed"
exit $status
