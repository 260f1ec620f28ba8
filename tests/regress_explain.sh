#!/bin/sh
# Checks the output of `cherrylanding explain` for a request id.  Each of its
# lines must also be in docs/OPERATIONS.md.
# usage: regress_explain.sh BUILD
set -u

build=$1
here=$(dirname "$0")
passed=0
failed=0

check ()
{
  if [ "$2" = "$3" ]; then
    passed=$((passed + 1))
  else
    failed=$((failed + 1))
    printf 'FAILED %s: wanted\n%s\ngot\n%s\n' "$1" "$2" "$3"
  fi
}

for log in "$here"/explain/*.log; do
  name=$(basename "$log" .log)
  id=$(cat "$here/explain/$name.id")
  wanted=$(cat "$here/explain/$name.expected")
  check "$name: from a file" "$wanted" \
    "$("$build/cherrylanding" explain "$id" "$log")"
  check "$name: from standard input, in another order" "$wanted" \
    "$(sort -r -s -k 1,1 "$log" | "$build/cherrylanding" explain "$id")"
  # Each line of the output must be documented in the operators' manual.
  while read -r line; do
    grep -qF -- "$line" "$here/../docs/OPERATIONS.md"
    check "$name: documented in OPERATIONS.md: $line" 0 $?
  done < "$here/explain/$name.expected"
done
"$build/cherrylanding" explain no-such-id "$here"/explain/*.log > /dev/null 2>&1
check "unknown id: exit code" 1 $?
"$build/cherrylanding" explain > /dev/null 2>&1
check "missing id: exit code" 2 $?
"$build/cherrylanding" explain id "$here/no-such-file" > /dev/null 2>&1
check "missing file: exit code" 1 $?
echo "regress_explain: $passed passed, $failed failed"
[ "$failed" -eq 0 ]
