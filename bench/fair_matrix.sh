# Runs the fairness benchmark for all cases, faults and baselines, prints a line
# for each run, and compares the share policy `fleet` with the baselines
# `static` and `fcfs`.  Sourced by fair.sh for --matrix.

status=0
lines=$(mktemp)
trap 'rm -f "$lines"' EXIT

# run_case POLICY FAULT CASE: one run.
run_case ()
{
  figures=$(mktemp)
  sh "$here/fair.sh" "$build" --shape "$shape" --seconds "$seconds" \
    --seed "$seed" --policy "$1" --fault "$2" --case "$3" $record \
    > "$figures" 2>&1
  code=$?
  [ $code -eq 0 ] || status=1
  awk -v policy="$1" -v fault="$2" -v name="$3" -v code=$code '
    { value[$1] = $2 }
    $1 == "target" && $NF == "MISSED" { missed = missed " " $2 }
    END {
      printf "%-7s %-10s %-8s ratio %.3f turns %6.3f utilisation %.4f after %s starved %s control %s cpu %s rss %s %s%s\n",
        policy, fault, name, value["gap_ratio"], value["gap_fair_turns"],
        value["utilisation"],
        ("utilisation_after_fault" in value) ? value["utilisation_after_fault"] : "-",
        value["starved_customers"], value["control_bytes_per_second_per_node"],
        value["control_cpu_percent_per_node"], value["rss_mb"],
        code == 0 ? "met" : "MISSED", missed
    }' "$figures" | tee -a "$lines"
  rm -f "$figures"
}

for name in base single hint pulse weights mixed; do
  run_case fleet none $name
done
for name in kill partition pause flood store-down; do
  run_case fleet $name base
done
run_case static none base
run_case fcfs none base
run_case static flood base
run_case fcfs flood base

# The gap ratio of `fleet` must be lower than that of each baseline by this
# factor, at a utilisation that is at most 0.005 lower.
awk -v factor=5 '
  { ratio[$1 " " $2 " " $3] = $5; utilisation[$1 " " $2 " " $3] = $9 }
  END {
    for (run in ratio) {
      split (run, part, " ")
      if (part[1] == "fleet")
        continue
      own = "fleet " part[2] " " part[3]
      gain = ratio[own] > 0 ? ratio[run] / ratio[own] : 0
      good = gain >= factor && utilisation[own] >= utilisation[run] - 0.005
      printf "target gap_gain_over_%s_%s >= %d %.1f %s\n", part[1], part[2],
        factor, gain, good ? "met" : "MISSED"
      if (!good)
        failed = 1
    }
    exit failed
  }' "$lines" || status=1
exit $status
