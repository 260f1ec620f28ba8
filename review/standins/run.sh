# Sourced by run.sh of a case: runs the case's program in the case's folder.
# A temporary folder holds the gateway's settings and log.
review=$(CDPATH= cd "$folder/.." && pwd)
CHERRYLANDING=$review/../target/cherrylanding
WORK=$(mktemp -d) || exit 2
export CHERRYLANDING WORK
pid=
trap 'status=$?; [ -z "$pid" ] || kill -KILL "$pid" 2>/dev/null; rm -rf "$WORK"; exit $status' EXIT
trap 'exit 2' HUP INT TERM
[ -x "$CHERRYLANDING" ] && [ -x "$review/build/$program" ] || {
  echo "build first: the command of deploy/system.toml, then review/build.sh"
  exit 2
}
cd "$folder" || exit 2
"$review/build/$program" &
pid=$!
wait "$pid"
status=$?
pid=
case $status in
  0) echo "held; see $folder/record.txt" ;;
  1) echo "broken; see $folder/record.txt" ;;
  *) echo "could not run ($status); see $folder/record.txt"; status=2 ;;
esac
exit $status
