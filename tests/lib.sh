# Common parts of the regression scripts, which source it: counts of checks,
# and waiting for a line.

passed=0
failed=0

# result NAME WANTED GOT
result ()
{
  if [ "$2" = "$3" ]; then
    passed=$((passed + 1))
  else
    failed=$((failed + 1))
    echo "FAILED $1: wanted '$2', got '$3'"
  fi
}

# wait_for FILE PATTERN: until the file has a line of the pattern.
wait_for ()
{
  i=0
  until grep -qs "$2" "$1"; do
    i=$((i + 1))
    [ $i -lt 400 ] || { echo "no '$2' in $1:"; cat "$1"; exit 1; }
    sleep 0.05
  done
}
