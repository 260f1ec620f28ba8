#!/bin/sh
# Runs `cherrylanding check` on the invalid files of tests/check, comparing the
# output with *.expected, and on the files of conf/, which must be valid.
# usage: regress_check.sh BUILD
set -u

top=$(cd "$(dirname "$0")/.." && pwd)
case $1 in
  /*) program=$1/cherrylanding ;;
  *) program=$(pwd)/$1/cherrylanding ;;
esac
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
passed=0
failed=0

# count STATUS NAME: counts a check, which passes if STATUS is 0.
count ()
{
  if [ "$1" -eq 0 ]; then
    passed=$((passed + 1))
  else
    failed=$((failed + 1))
    echo "FAILED $2"
  fi
}

cd "$top/tests/check" || exit 1
for file in *.yaml; do
  "$program" check "$file" > "$work/out" 2> "$work/err"
  rc=$?
  diff -u "${file%.yaml}.expected" "$work/err" && [ "$rc" -eq 1 ] \
    && [ ! -s "$work/out" ]
  count $? "$file (exit $rc)"
done

cd "$top" || exit 1
for file in conf/*.yaml; do
  "$program" check "$file"
  count $? "$file"
done

"$program" check 2> /dev/null
[ $? -eq 2 ]
count $? "no file: exit code 2"

echo "regress_check: $passed passed, $failed failed"
[ "$failed" -eq 0 ]
