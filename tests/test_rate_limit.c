/**
 * @file test_rate_limit.c
 * Limits that upstreams name, and the turns that one instance gives.
 */
#include "state/rate_limit.h"
#include "state/rng.h"
#include "state/turns.h"
#include "support/suite.h"
#include <string.h>

#define NS_PER_MS 1000000ULL
#define NS_PER_S  1000000000ULL
#define START_NS  (10 * NS_PER_S)
#define UPSTREAM  7
#define INSTANCES 195
#define RUN_MS    60000
#define WINDOW_MS 4000
#define SENT_MAX  10000

/* Counts from the response that names it; a late old one does not bring it
   back, and only a request that was sent after it was named can end it. */
static void
test_what_responses_say (void)
{
  struct rate_limit limit = { .limited = false };

  CU_ASSERT_TRUE (rate_limit_named (&limit, 3000, START_NS, START_NS + 5));
  CU_ASSERT_TRUE (limit.limited);
  CU_ASSERT_FALSE (rate_limit_named (&limit, 3000, START_NS, START_NS + 6));
  CU_ASSERT_FALSE (rate_limit_absent (&limit, START_NS + 5));
  CU_ASSERT_TRUE (rate_limit_named (&limit, 2000, START_NS, START_NS + 7));
  CU_ASSERT_EQUAL (limit.permille, 2000);
  CU_ASSERT_TRUE (rate_limit_absent (&limit, START_NS + 8));
  CU_ASSERT_FALSE (limit.limited);
  CU_ASSERT_FALSE (
      rate_limit_named (&limit, 2000, START_NS + 7, START_NS + 9));
  CU_ASSERT_TRUE (
      rate_limit_named (&limit, 1000, START_NS + 9, START_NS + 10));
  CU_ASSERT_EQUAL (limit.permille, 1000);
}

static void
test_what_peers_say (void)
{
  struct rate_limit limit = { .limited = false };

  CU_ASSERT_FALSE (rate_limit_merge (&limit, false, 0, START_NS));
  CU_ASSERT_TRUE (rate_limit_merge (&limit, true, 3000, START_NS));
  CU_ASSERT_FALSE (rate_limit_merge (&limit, true, 3000, START_NS + 1));
  CU_ASSERT_FALSE (rate_limit_merge (&limit, false, 0, START_NS));
  CU_ASSERT_TRUE (rate_limit_merge (&limit, false, 0, START_NS + 2));
  CU_ASSERT_FALSE (rate_limit_merge (&limit, true, 3000, START_NS + 1));
  CU_ASSERT_TRUE (rate_limit_merge (&limit, true, 3000, START_NS + 3));
}

/* An upstream that wants nothing is still asked now and then. */
static void
test_limit_of_nothing (void)
{
  struct rate_limit limit = { .limited = false };

  CU_ASSERT_TRUE (rate_limit_named (&limit, 0, START_NS, START_NS));
  CU_ASSERT_EQUAL (limit.permille, RATE_LIMIT_MIN_PERMILLE);
}

static void
test_turns_lapse (void)
{
  struct rate_limit limit = { .limited = true, .permille = 1000 };
  uint64_t now_ns = START_NS;

  CU_ASSERT_FALSE (rate_limit_allows (&limit, now_ns));
  CU_ASSERT_TRUE (rate_limit_may_ask (&limit, now_ns));
  rate_limit_asked (&limit, now_ns);
  CU_ASSERT_FALSE (rate_limit_may_ask (&limit, now_ns));
  rate_limit_answered (&limit, true, 100 * NS_PER_MS, now_ns);
  CU_ASSERT_FALSE (rate_limit_allows (&limit, now_ns));
  CU_ASSERT_EQUAL (rate_limit_wait_ns (&limit, now_ns), 100 * NS_PER_MS);
  now_ns += 100 * NS_PER_MS;
  CU_ASSERT_TRUE (rate_limit_allows (&limit, now_ns));
  CU_ASSERT_FALSE (rate_limit_may_ask (&limit, now_ns));
  now_ns += RATE_LIMIT_TURN_VALID_MS * NS_PER_MS;
  CU_ASSERT_FALSE (rate_limit_allows (&limit, now_ns));
  CU_ASSERT_TRUE (rate_limit_may_ask (&limit, now_ns));
  rate_limit_asked (&limit, now_ns);
  rate_limit_answered (&limit, false, NS_PER_S, now_ns);
  CU_ASSERT_FALSE (rate_limit_may_ask (&limit, now_ns + NS_PER_S - 1));
  CU_ASSERT_TRUE (rate_limit_may_ask (&limit, now_ns + NS_PER_S));
  /* An answer that is lost. */
  rate_limit_asked (&limit, now_ns + NS_PER_S);
  CU_ASSERT_TRUE (rate_limit_may_ask (&limit, now_ns + 3 * NS_PER_S));
}

struct run
{
  struct turns turns;
  struct rate_limit limits[INSTANCES];
  struct rng rng;
  uint64_t sent_ms[SENT_MAX];
  size_t sent;
  size_t sent_preferred; /* by the first instance */
};

/* All instances have demand all the time, and ask as often as they may.
   @param takeover  another instance takes over the account at half-time. */
static void
play (struct run *run, uint32_t permille, bool takeover)
{
  struct rate_limit *limit;
  uint64_t now_ns;
  uint64_t delay_ns;
  unsigned int ms;
  bool given;

  memset (run, 0, sizeof *run);
  rng_init (&run->rng, permille);
  for (ms = 0; ms < RUN_MS && run->sent < SENT_MAX; ms++)
    {
      now_ns = START_NS + ms * NS_PER_MS;
      limit = &run->limits[rng_below (&run->rng, INSTANCES)];
      limit->limited = true;
      limit->permille = permille;
      if (takeover && ms == RUN_MS / 2)
        turns_finish (&run->turns);
      if (rate_limit_may_ask (limit, now_ns))
        {
          rate_limit_asked (limit, now_ns);
          given = turns_take (&run->turns, UPSTREAM, permille,
                              limit == &run->limits[0], now_ns, &delay_ns);
          rate_limit_answered (limit, given, delay_ns, now_ns);
        }
      if (!rate_limit_allows (limit, now_ns))
        continue;
      rate_limit_use (limit);
      run->sent_preferred += limit == &run->limits[0];
      run->sent_ms[run->sent++] = ms;
    }
  turns_finish (&run->turns);
}

static size_t
most_in_window (const struct run *run)
{
  size_t most = 0;
  size_t first = 0;
  size_t i;

  for (i = 0; i < run->sent; i++)
    {
      while (run->sent_ms[i] - run->sent_ms[first] >= WINDOW_MS)
        first++;
      most = i - first + 1 > most ? i - first + 1 : most;
    }
  return most;
}

/* One and a half times the limit and five, whatever the number of instances.
 */
static void
test_rate_of_a_fleet (void)
{
  static const uint32_t limits[] = { 400, 1000, 3000, 40000 };
  static struct run run;
  size_t i;
  int takeover;

  for (i = 0; i < sizeof limits / sizeof limits[0]; i++)
    for (takeover = 0; takeover < 2; takeover++)
      {
        play (&run, limits[i], takeover != 0);
        CU_ASSERT (most_in_window (&run) * 1000
                   <= (uint64_t)limits[i] * WINDOW_MS / 1000 * 3 / 2 + 5000);
        /* Most instances are only looked at every 200 ms here. */
        CU_ASSERT (run.sent * 1000
                   >= (uint64_t)limits[i] * RUN_MS / 1000 * 7 / 10);
      }
}

/* A limit that rises holds at once, not after the interval of the old one. */
static void
test_limit_that_rises (void)
{
  struct turns turns = { .accounts = NULL };
  uint64_t now_ns = START_NS;
  uint64_t delay_ns;

  turns_take (&turns, UPSTREAM, RATE_LIMIT_MIN_PERMILLE, false, now_ns,
              &delay_ns);
  now_ns += 2 * NS_PER_S;
  CU_ASSERT_TRUE (turns_take (&turns, UPSTREAM, RATE_LIMIT_MIN_PERMILLE, false,
                              now_ns, &delay_ns));
  CU_ASSERT_FALSE (
      turns_take (&turns, UPSTREAM, 10000, false, now_ns, &delay_ns)
      && delay_ns > NS_PER_S);
  CU_ASSERT (delay_ns < NS_PER_S);
  turns_expire (&turns, now_ns + 60 * NS_PER_S);
  CU_ASSERT_PTR_NULL (turns.accounts);
}

/* One instance has a customer with little usage, and asks once in 200 ms like
   the 194 others.  It gets most turns, not one of 195. */
static void
test_customer_with_little_usage (void)
{
  static struct run run;

  play (&run, 3000, false);
  CU_ASSERT (run.sent_preferred * 2 > run.sent);
}

/* A turn that was not used goes to the next one who asks; not so many at once
   that they would be a burst, and not long afterwards. */
static void
test_returned_turns (void)
{
  struct turns turns = { .accounts = NULL };
  uint64_t now_ns = START_NS;
  uint64_t delay_ns;
  unsigned int i;

  turns_take (&turns, UPSTREAM, 1000, false, now_ns, &delay_ns);
  now_ns += delay_ns;
  CU_ASSERT_TRUE (
      turns_take (&turns, UPSTREAM, 1000, false, now_ns, &delay_ns));
  CU_ASSERT_FALSE (
      turns_take (&turns, UPSTREAM, 1000, false, now_ns, &delay_ns));
  for (i = 0; i < 5; i++)
    turns_return (&turns, UPSTREAM, now_ns);
  for (i = 0; i < 2; i++)
    {
      CU_ASSERT_TRUE (
          turns_take (&turns, UPSTREAM, 1000, false, now_ns, &delay_ns));
      CU_ASSERT_EQUAL (delay_ns, 0);
    }
  CU_ASSERT_FALSE (
      turns_take (&turns, UPSTREAM, 1000, false, now_ns, &delay_ns));
  turns_return (&turns, UPSTREAM, now_ns);
  turns_return (&turns, UPSTREAM + 1, now_ns);
  CU_ASSERT_TRUE (turns_take (&turns, UPSTREAM, 1000, false,
                              now_ns + 5 * NS_PER_S, &delay_ns));
  CU_ASSERT_FALSE (turns_take (&turns, UPSTREAM, 1000, false,
                               now_ns + 5 * NS_PER_S, &delay_ns));
  turns_finish (&turns);
}

static const struct suite_test tests[] = {
  { "what responses say", test_what_responses_say },
  { "what peers say", test_what_peers_say },
  { "limit of nothing", test_limit_of_nothing },
  { "turns lapse", test_turns_lapse },
  { "rate of a fleet", test_rate_of_a_fleet },
  { "customer with little usage", test_customer_with_little_usage },
  { "limit that rises", test_limit_that_rises },
  { "turns that come back", test_returned_turns },
};

SUITE_MAIN ("test_rate_limit", tests)
