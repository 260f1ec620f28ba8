/**
 * @file rate_limit.c
 * Limits of upstreams, as known to one instance.
 */
#include "state/rate_limit.h"

#define NS_PER_MS 1000000ULL /* nanoseconds */
/* Time after which an answer is taken as lost: some round trips between the
   loops of busy instances. */
#define ANSWER_TIMEOUT_MS 500

static bool turn_lapsed (const struct rate_limit *limit, uint64_t now_ns);

bool
rate_limit_named (struct rate_limit *limit, uint32_t permille,
                  uint64_t sent_ns, uint64_t now_ns)
{
  /* A response that began before the limit ended. */
  if (!limit->limited && limit->ended_ns != 0 && sent_ns <= limit->ended_ns)
    return false;
  return rate_limit_merge (limit, true, permille, now_ns);
}

bool
rate_limit_absent (struct rate_limit *limit, uint64_t sent_ns)
{
  return rate_limit_merge (limit, false, 0, sent_ns);
}

bool
rate_limit_merge (struct rate_limit *limit, bool limited, uint32_t permille,
                  uint64_t known_ns)
{
  bool changed;

  if (known_ns < limit->named_ns
      || (limited && limit->ended_ns != 0 && known_ns <= limit->ended_ns)
      || (!limited && !limit->limited))
    return false;
  if (permille < RATE_LIMIT_MIN_PERMILLE)
    permille = RATE_LIMIT_MIN_PERMILLE;
  changed
      = limited != limit->limited || (limited && permille != limit->permille);
  if (limited != limit->limited)
    limit->turn_ns = limit->asked_ns = limit->expected_ns = 0;
  limit->limited = limited;
  if (limited)
    {
      limit->permille = permille;
      limit->named_ns = known_ns;
    }
  else
    limit->ended_ns = known_ns;
  return changed;
}

static bool
turn_lapsed (const struct rate_limit *limit, uint64_t now_ns)
{
  return now_ns >= limit->turn_ns + RATE_LIMIT_TURN_VALID_MS * NS_PER_MS;
}

bool
rate_limit_allows (const struct rate_limit *limit, uint64_t now_ns)
{
  return !limit->limited
         || (limit->turn_ns != 0 && now_ns >= limit->turn_ns
             && !turn_lapsed (limit, now_ns));
}

bool
rate_limit_use (struct rate_limit *limit)
{
  bool used = limit->turn_ns != 0;

  limit->turn_ns = 0;
  return used;
}

bool
rate_limit_give_back (struct rate_limit *limit, uint64_t now_ns)
{
  if (!limit->limited || limit->turn_ns == 0 || turn_lapsed (limit, now_ns)
      || now_ns < limit->turn_ns + RATE_LIMIT_TURN_KEPT_MS * NS_PER_MS)
    return false;
  limit->turn_ns = 0;
  return true;
}

bool
rate_limit_may_ask (const struct rate_limit *limit, uint64_t now_ns)
{
  return limit->limited && now_ns >= limit->expected_ns
         && (limit->turn_ns == 0 || turn_lapsed (limit, now_ns))
         && (limit->asked_ns == 0
             || now_ns - limit->asked_ns >= ANSWER_TIMEOUT_MS * NS_PER_MS);
}

bool
rate_limit_answer_due (const struct rate_limit *limit, uint64_t now_ns)
{
  if (!limit->limited)
    return false;
  if (limit->turn_ns != 0)
    return limit->turn_ns > now_ns;
  return limit->asked_ns != 0
         && now_ns - limit->asked_ns < ANSWER_TIMEOUT_MS * NS_PER_MS;
}

void
rate_limit_asked (struct rate_limit *limit, uint64_t now_ns)
{
  limit->asked_ns = now_ns;
  limit->turn_ns = 0;
}

void
rate_limit_answered (struct rate_limit *limit, bool granted, uint64_t delay_ns,
                     uint64_t now_ns)
{
  /* Also the answer to a question that was given up: its turn has lapsed. */
  if (!limit->limited || limit->asked_ns == 0)
    return;
  limit->asked_ns = 0;
  if (granted)
    limit->turn_ns = now_ns + delay_ns;
  else
    limit->expected_ns = now_ns + delay_ns;
}

uint64_t
rate_limit_wait_ns (const struct rate_limit *limit, uint64_t now_ns)
{
  uint64_t next_ns = limit->turn_ns != 0 ? limit->turn_ns : limit->expected_ns;

  return !limit->limited || next_ns <= now_ns ? 0 : next_ns - now_ns;
}
