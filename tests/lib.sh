# Helpers that the regression scripts source: counting checks, waiting for a
# line in a file, and the settings of a gateway.

passed=0
failed=0

# result NAME WANTED GOT: counts a check, which passes if both are equal.
result ()
{
  if [ "$2" = "$3" ]; then
    passed=$((passed + 1))
  else
    failed=$((failed + 1))
    echo "FAILED $1: wanted '$2', got '$3'"
  fi
}

# wait_for FILE PATTERN: waits until a line of the file matches the pattern.
wait_for ()
{
  i=0
  until grep -qs "$2" "$1"; do
    i=$((i + 1))
    [ $i -lt 400 ] || { echo "no '$2' in $1:"; cat "$1"; exit 1; }
    sleep 0.05
  done
}

# put_settings NAME ZONE STORE FIRST MORE: prints the settings of a gateway.
# Its three ports start at line FIRST of $work/ports; MORE is copied verbatim.
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
