#!/bin/sh
# Soak test: four real gateways under random faults of clients, workers, the
# store, processes and links.  The program `soak' draws the faults from the
# seed and checks the invariants; this script executes its commands for
# processes and for links, which run through relays.
# usage: soak.sh BUILD [--seed N] [--seconds N] [--keep]
set -u

build=$1
shift
seed=1
seconds=20
keep=
while [ $# -gt 0 ]; do
  case $1 in
    --seed) seed=$2; shift ;;
    --seconds) seconds=$2; shift ;;
    --keep) keep=yes ;;
    *) echo "soak.sh: unknown argument $1" >&2; exit 2 ;;
  esac
  shift
done
work=$(mktemp -d)
. "$(dirname "$0")/lib.sh"
gateways=4

# Every running process has a file pid.NAME with its process id.
finish ()
{
  for file in "$work"/pid.*; do
    [ -f "$file" ] || continue
    kill -CONT "$(cat "$file")" 2>/dev/null
    kill -KILL "$(cat "$file")" 2>/dev/null && wait "$(cat "$file")"
  done 2>/dev/null
  if [ -n "$keep" ]; then echo "kept $work"; else rm -rf "$work"; fi
}
trap finish EXIT
trap 'exit 130' INT TERM

pid_of ()
{
  cat "$work/pid.$1"
}

# kill_process NAME: kills the process if it still runs, and returns its exit
# code.
kill_process ()
{
  kill -KILL "$(pid_of "$1")" 2>/dev/null
  wait "$(pid_of "$1")" 2>/dev/null
  code=$?
  rm -f "$work/pid.$1"
  return $code
}

start ()
{
  CHERRYLANDING_CONFIG=$work/settings.$1 "$build/cherrylanding" gateway \
    >> "$work/log.$1" 2>&1 &
  echo $! > "$work/pid.$1"
}

# check_drained NAME: the gateway got SIGTERM and its grace period is over.
check_drained ()
{
  kill_process "$1"
  result "gateway $1: exit code after SIGTERM" 0 $?
}

# set_link_fault LINK FAULT
set_link_fault ()
{
  curl -s -o /dev/null -X POST \
    "http://$control/_standin/faults?kind=$2&listener=$1&count=4000000000"
}

# execute COMMAND TARGET [ARGUMENT]: a command line that `soak' printed.
execute ()
{
  case $1 in
    start) start "$2" ;;
    kill) kill_process "$2" ;;
    term) kill -TERM "$(pid_of "$2")" ;;
    stop) kill -STOP "$(pid_of "$2")" ;;
    cont) kill -CONT "$(pid_of "$2")" ;;
    hup) kill -HUP "$(pid_of "$2")" ;;
    reap) check_drained "$2" ;;
    link) set_link_fault "$2" "$3" ;;
  esac
}

"$build/standin" ports --workers $((gateways * 3)) > "$work/ports"
awk 'NR % 3 == 1' "$work/ports" > "$work/fronts"
mkfifo "$work/orders"
"$build/soak" --seed "$seed" --seconds "$seconds" --fronts "$work/fronts" \
  --links "$work/links" > "$work/orders" 2> "$work/soak" &
soak=$!
echo $soak > "$work/pid.soak"
exec 3< "$work/orders"

targets=
count=0
while [ $count -lt $((gateways + 4)) ] && read -r word target <&3; do
  [ "$word" = target ] || continue
  targets=$targets${targets:+,}$target
  count=$((count + 1))
done
"$build/standin" relay --workers "$count" --target "$targets" > "$work/relay" &
echo $! > "$work/pid.relay"
until [ "$(grep -c '^relay' "$work/relay")" -eq "$count" ] \
  && grep -q '^control' "$work/relay"; do
  sleep 0.05
done
control=$(awk '$1 == "control" { print $2 }' "$work/relay")
sed -n 's/^relay .*://p' "$work/relay" > "$work/links.new"
mv "$work/links.new" "$work/links"
read -r word <&3

index=0
while [ $index -lt $gateways ]; do
  store=$(sed -n "$((index + 1))p" "$work/links")
  put_settings "gate-$index" "z$(echo abcd | cut -c $((index + 1)))" \
    "127.0.0.1:$store" $((index * 3 + 1)) \
    '"bounds": { "retry_budget_ratio": 0.02, "budget_window_s": 10,
              "retry_allowance": 5, "drain_ms": 2000, "grace_s": 8 },' \
    > "$work/settings.$index"
  start $index
  index=$((index + 1))
done
index=0
while [ $index -lt $gateways ]; do
  probe=$(sed -n "$((index * 3 + 2))p" "$work/ports")
  tries=0
  until curl -s -f -o /dev/null -m 1 "http://127.0.0.1:$probe/ready" \
    || [ $tries -ge 200 ]; do
    tries=$((tries + 1))
    sleep 0.05
  done
  result "gateway $index is ready" yes "$([ $tries -lt 200 ] && echo yes)"
  index=$((index + 1))
done

kill -USR1 "$soak"
while read -r command target argument <&3; do
  case $command in
    over | broken | count) echo "$command $target $argument" ;;
    *) execute "$command" "$target" "$argument" ;;
  esac
done
wait "$soak"
result "no invariant is violated" 0 $?
rm -f "$work/pid.soak"
index=0
while [ $index -lt $gateways ]; do
  kill -0 "$(pid_of $index)" 2>/dev/null
  result "gateway $index is running" 0 $?
  # The sanitizers use memory of their own, so builds with them are exempt.
  rss=$(awk '$1 == "VmRSS:" { print $2 }' "/proc/$(pid_of $index)/status")
  result "gateway $index: resident memory below 64 MiB" yes \
    "$(grep -q __asan "$build/cherrylanding" || [ "$rss" -lt 65536 ] \
      && echo yes || echo "$rss kB")"
  result "gateway $index: sanitizer reports" 0 \
    "$(grep -cE 'runtime error|Sanitizer' "$work/log.$index")"
  index=$((index + 1))
done
[ "$failed" -eq 0 ] || cat "$work/soak"
[ "$failed" -eq 0 ] || [ -n "$keep" ] || keep=yes
echo
echo "soak: $passed passed, $failed failed"
[ "$failed" -eq 0 ]
