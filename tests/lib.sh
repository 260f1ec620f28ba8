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

# put_settings NAME ZONE STORE FIRST MORE: a gateway's settings, with its three
# ports from line FIRST of $work/ports on; MORE is added as it is.
put_settings ()
{
  cat << END
{ "node": "$1", "zone": "$2",
  "ip": "127.0.0.1",
  "port_range": [$(sed -n "$(($4 + 2))p" "$work/ports"), 65535],
  "listen": { "front": "127.0.0.1:$(sed -n "$4p" "$work/ports")",
              "ready": "127.0.0.1:$(sed -n "$(($4 + 1))p" "$work/ports")" },
  "platform": { "address": "$3" }, $5
  "limits": { "max_fds": 1024, "memory_mb": 64 } }
END
}
