# Figures of a whole fleet from its counters, between two snapshots that lie
# $seconds apart.  Sourced after lib.sh by scripts that set `routers`.

# snapshot NAME: of every router that answers.
snapshot ()
{
  index=0
  while [ $index -lt $routers ]; do
    metrics $index > "$work/metrics-$index-$1"
    index=$((index + 1))
  done
}

# total FILE NAME [LABEL]: sum of a counter's samples.
total ()
{
  awk -v name="$2" -v label="${3:-}" '
    index ($1, name) == 1 && index ($0, label) { sum += $NF }
    END { printf "%.6f\n", sum }' "$1"
}

# growth NAME LABEL: mean over the routers of a counter's growth a second.
growth ()
{
  index=0
  while [ $index -lt $routers ]; do
    before=$(total "$work/metrics-$index-before" "$1" "$2")
    after=$(total "$work/metrics-$index-after" "$1" "$2")
    echo "$before $after"
    index=$((index + 1))
  done | awk -v seconds="$seconds" '
    $2 > 0 && $2 >= $1 { sum += ($2 - $1) / seconds; n++ }
    END { if (sum > 0) printf "%.6f\n", sum / n; else print "unknown" }'
}

# percent NAME: of a core, from a counter of seconds.
percent ()
{
  growth "$1" "" | awk '{ print $1 == "unknown" ? $1 : $1 * 100 }'
}

largest_rss_mb ()
{
  index=0
  while [ $index -lt $routers ]; do
    rss_kb "$(cat "$work/router-$index.pid")" 2>/dev/null
    index=$((index + 1))
  done | awk '$1 > max { max = $1 } END { printf "%.1f\n", max / 1024 }'
}
