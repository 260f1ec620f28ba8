# Helpers of regression scripts with real gateways before the stand-in for the
# platform.  Their files are in $work.

pids=
platform=

stop_processes ()
{
  for pid in $pids; do
    kill -KILL "$pid" 2>/dev/null && wait "$pid" 2>/dev/null
  done
  pids=
}

stop ()
{
  stop_processes
  rm -rf "$work"
}

# poll WANTED COMMAND...: repeats the command until it prints WANTED, at most
# 200 times, then runs it once more and prints the output.
poll ()
{
  wanted=$1
  shift
  tries=0
  until [ "$("$@")" = "$wanted" ] || [ $tries -ge 200 ]; do
    tries=$((tries + 1))
    sleep 0.05
  done
  "$@"
}

# request GATEWAY KEY METHOD PATH: prints the status code.
request ()
{
  curl -s -m 5 -o "$work/body" -w '%{http_code}' -X "$3" \
    -H 'Host: shop.example' -H "X-Credential: $2" -H 'X-Attempt-Id: id-1' \
    -H 'X-Deadline-Remaining-Ms: 5000' "http://$(cat "$work/front.$1")$4"
}

# ready GATEWAY: prints the status code of the readiness probe.
ready ()
{
  curl -s -m 5 -o /dev/null -w '%{http_code}' "http://$(cat "$work/probe.$1")/ready"
}

# start_platform OPTION...: of the stand-in; SIGUSR1 to $platform replaces the
# key.
start_platform ()
{
  rm -f "$work/platform"
  # shellcheck disable=SC2154
  "$build/standin" platform --workers 3 "$@" > "$work/platform" &
  platform=$!
  pids="$pids $platform"
  wait_for "$work/platform" '^listen'
  store=$(awk '/^listen/ { print $2 }' "$work/platform")
  "$build/standin" ports --workers 60 > "$work/ports"
}

# start_gateways PROGRAM NUMBER...: up to 20; their processes are $gateway_1
# and so on.
start_gateways ()
{
  program=$1
  shift
  for index in "$@"; do
    first=$((index * 3 - 2))
    echo "127.0.0.1:$(sed -n "${first}p" "$work/ports")" > "$work/front.$index"
    echo "127.0.0.1:$(sed -n "$((first + 1))p" "$work/ports")" \
      > "$work/probe.$index"
    put_settings "gate-$index" za "$store" $first "" > "$work/settings.$index"
    CHERRYLANDING_CONFIG=$work/settings.$index "$program" gateway \
      > "$work/log.$index" 2>&1 &
    eval "gateway_$index=$!"
    pids="$pids $!"
  done
}
