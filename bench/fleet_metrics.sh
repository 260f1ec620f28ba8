# Computes results of the whole fleet from the metrics of its routers, between
# two snapshots taken about $seconds apart.  Sourced after lib.sh by scripts
# that set `routers` and `seconds`.

# snapshot NAME: stores the metrics of every router; the file of one that does
# not answer is empty.
snapshot ()
{
  index=0
  while [ $index -lt $routers ]; do
    metrics $index > "$work/metrics-$index-$1"
    index=$((index + 1))
  done
}

# sum_samples FILE NAME [LABEL]: sum of the samples whose name begins with NAME
# and whose line contains LABEL.
sum_samples ()
{
  awk -v name="$2" -v label="${3:-}" '
    index ($1, name) == 1 && index ($0, label) { sum += $NF }
    END { printf "%.6f\n", sum }' "$1"
}

# rate_per_second NAME LABEL: increase of a counter per second, as the mean over
# the routers.  Leaves out those without a value and those whose counter
# restarted.
rate_per_second ()
{
  index=0
  while [ $index -lt $routers ]; do
    before=$(sum_samples "$work/metrics-$index-before" "$1" "$2")
    after=$(sum_samples "$work/metrics-$index-after" "$1" "$2")
    echo "$before $after"
    index=$((index + 1))
  done | awk -v seconds="$seconds" '
    $2 > 0 && $2 >= $1 { sum += ($2 - $1) / seconds; n++ }
    END { if (sum > 0) printf "%.6f\n", sum / n; else print "unknown" }'
}

# percent NAME: percent of a core, from a counter of CPU seconds.
percent ()
{
  rate_per_second "$1" "" | awk '{ print $1 == "unknown" ? $1 : $1 * 100 }'
}

# largest_rss_mb: largest resident memory of a router.
largest_rss_mb ()
{
  index=0
  while [ $index -lt $routers ]; do
    rss_kb "$(cat "$work/router-$index.pid")" 2>/dev/null
    index=$((index + 1))
  done | awk '$1 > max { max = $1 } END { printf "%.1f\n", max / 1024 }'
}
