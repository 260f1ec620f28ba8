#!/bin/sh
# Runs every unit test program and regression script of a build folder.
# usage: run.sh BUILD
# Prints the result of each suite and a final line `N passed, N failed`.
# A failed case that KNOWN-RED.txt lists (lines `test: SUITE` and, in the same
# entry, `case: TEXT`) is printed by name and does not fail the run.  Any other
# failure does, and so does a suite that does not end as a suite with failed
# cases does: with its closing line last and exit code 1.
set -u

build=$1
top=$(cd "$(dirname "$0")/.." && pwd)
logs=$build/test-logs
mkdir -p "$logs"
passed=0
failed=0
known=0
status=0

# known_cases SUITE: prints the cases that KNOWN-RED.txt lists for a suite.
known_cases ()
{
  [ -f "$top/KNOWN-RED.txt" ] || return 0
  awk -v suite="$1" '
    /^$/ { name = "" }
    sub (/^test: /, "") { name = $1; next }
    name == suite && sub (/^case: /, "")' "$top/KNOWN-RED.txt"
}

# is_known SUITE CODE FAILED: succeeds if the suite ended with its closing
# line and exit code 1, and each of its FAILED cases is listed.  They are the
# lines `FAILED TEXT` and `FAILED TEXT: wanted ...` of its log.  Writes their
# names to $logs/SUITE.known.
is_known ()
{
  [ "$2" -eq 1 ] || return 1
  tail -1 "$logs/$1" | grep -q "^$1: [0-9]* passed, [0-9]* failed\$" || return 1
  known_cases "$1" > "$logs/$1.listed"
  awk -v failed="$3" '
    FILENAME == ARGV[1] { listed[$0] = 1; next }
    sub (/^FAILED /, "") {
      lines++
      if (!($0 in listed))
        sub (/: wanted( .*)?$/, "")
      if ($0 in listed) { found++; print }
    }
    END { exit !(lines == failed && found == failed) }' \
    "$logs/$1.listed" "$logs/$1" > "$logs/$1.known"
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
  elif is_known "$name" "$rc" "$bad"; then
    known=$((known + bad))
    echo "KNOWN  $name ($ok passed, $bad failed; see KNOWN-RED.txt)"
    sed 's/^/       case: /' "$logs/$name.known"
  else
    failed=$((failed + bad))
    status=1
    echo "FAILED $name ($ok passed, $bad failed)"
    # The log of a sanitizer may be longer than what follows.
    grep -E '^FAILED |^ +[0-9]+\. .* - ' "$logs/$name" | head -20
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

[ "$known" -eq 0 ] || echo "known failures, passed over: $known"
[ ! -f "$top/KNOWN-RED.txt" ] || { echo "listed as known:"; cat "$top/KNOWN-RED.txt"; }
echo "$passed passed, $failed failed"
exit $status
