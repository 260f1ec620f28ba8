#!/bin/sh
# `cherrylanding check` on refused files, whose output is beside them, and on
# the files of conf/, which must pass.
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

verdict ()
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
  verdict $? "$file (exit $rc)"
done

cd "$top" || exit 1
for file in conf/*.yaml; do
  "$program" check "$file"
  verdict $? "$file"
done

"$program" check 2> /dev/null
[ $? -eq 2 ]
verdict $? "usage"

echo "regress_check: $passed passed, $failed failed"
[ "$failed" -eq 0 ]
