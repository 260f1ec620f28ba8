# Compares the results of a run of fair.sh with the targets; exits 1 if one is
# missed.  The targets were set before the first run.  Only load_exit is checked
# for the baselines, and heartbeats_through_partition for a partition.
{ value[$1] = $2 }

function want (key, relation, limit,    missed)
{
  missed = !(key in value) || value[key] == "unknown" || (relation == "<=" && value[key] + 0 > limit) \
    || (relation == ">=" && value[key] + 0 < limit)
  printf "target %s %s %s %s\n", key, relation, limit, missed ? "MISSED" : "met"
  if (missed)
    failed = 1
}

END {
  want("load_exit", "<=", 0)
  if (value["fault"] == "partition")
    want("heartbeats_through_partition", "<=", 0)
  if (value["policy"] == "fleet")
    {
      want("gap_ratio", "<=", value["fault"] == "none" ? 0.5 : 1.0)
      if (value["fault"] == "none")
        {
          want("gap_fair_turns", "<=", 1.0)
          want("utilisation", ">=", 0.98)
        }
      else
        want("utilisation_after_fault", ">=", 0.95)
      want("starved_customers", "<=", 0)
      want("control_bytes_per_second_per_node", "<=", 9216)
      want("control_cpu_percent_per_node", "<=", 4.6)
      want("rss_mb", "<=", 32)
    }
  exit failed
}
