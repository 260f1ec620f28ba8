# Compares the results of latency.sh with the targets; exits 1 if one is missed.
{ value[$1] = $2 }

function want (key, relation, limit,    missed)
{
  missed = !(key in value) || (relation == "<=" && value[key] + 0 > limit) \
    || (relation == ">=" && value[key] + 0 < limit)
  printf "target %s %s %s %s\n", key, relation, limit, missed ? "MISSED" : "met"
  if (missed)
    failed = 1
}

END {
  want("streams_100_added_p50_first_token_ms", "<=", 1)
  want("plain_requests_per_second", ">=", 10000)
  want("idle_rss_mb", "<=", 16)
  want("kb_per_stream", "<=", 32)
  exit failed
}
