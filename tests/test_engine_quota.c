/**
 * @file test_engine_quota.c
 * Many instances that see one engine free at the same moment.
 */
#include "state/admission.h"
#include "state/engine_quota.h"
#include "state/rng.h"
#include "support/suite.h"
#include <stdio.h>
#include <string.h>

#define INSTANCES       90
#define PROMPT_TOKENS   4000
#define CAPACITY_TOKENS 22400 /* 400 ms of prefill at 56 a ms */
#define INTERVAL_TOKENS 8400  /* 150 ms of prefill */
#define INTERVALS       200
#define STEPS           1000000

/** One engine, as all instances see it: as it was at the end of the
    interval before, and what they themselves have sent since. */
struct flood
{
  struct engine_quota quotas[INSTANCES];
  uint64_t waiting[INSTANCES]; /* prompts */
  struct rng rng;
  uint64_t backlog_tokens;
  uint64_t most_backlog_tokens;
  uint64_t idle_tokens; /* that it could have prefilled besides */
  uint64_t sent[INSTANCES];
  bool shared; /* instances keep to their quotas */
};

/* What waits at an instance counts as often as its customer's need says. */
static void
run_interval (struct flood *flood, uint64_t interval, const uint32_t *needs)
{
  uint64_t reported_tokens = flood->backlog_tokens;
  uint64_t wanted = 0;
  uint32_t i;

  for (i = 0; i < INSTANCES; i++)
    wanted += flood->waiting[i] * PROMPT_TOKENS * needs[i];
  for (i = 0; i < INSTANCES; i++)
    {
      uint64_t own = flood->waiting[i] * PROMPT_TOKENS * needs[i];
      struct engine_quota_request request = {
        .interval = interval,
        .capacity_tokens = CAPACITY_TOKENS,
        .backlog_tokens = reported_tokens,
        .local_tokens = own,
        .peer_tokens = wanted - own,
      };

      while (flood->waiting[i] > 0 && request.backlog_tokens < CAPACITY_TOKENS)
        {
          request.random = (double)rng_below (&flood->rng, STEPS) / STEPS;
          if (flood->shared
              && !engine_quota_allows (&flood->quotas[i], &request,
                                       PROMPT_TOKENS))
            break;
          engine_quota_consume (&flood->quotas[i], PROMPT_TOKENS);
          request.backlog_tokens += PROMPT_TOKENS;
          flood->backlog_tokens += PROMPT_TOKENS;
          flood->waiting[i]--;
          flood->sent[i]++;
        }
    }
  if (flood->backlog_tokens > flood->most_backlog_tokens)
    flood->most_backlog_tokens = flood->backlog_tokens;
  if (flood->backlog_tokens < INTERVAL_TOKENS)
    flood->idle_tokens += INTERVAL_TOKENS - flood->backlog_tokens;
  flood->backlog_tokens -= flood->backlog_tokens < INTERVAL_TOKENS
                               ? flood->backlog_tokens
                               : INTERVAL_TOKENS;
}

/* Load: each of 90 instances always has two prompts for the same engine. */
static void
run_flood (struct flood *flood, bool shared, const uint32_t *needs)
{
  uint64_t interval;
  uint32_t i;

  memset (flood, 0, sizeof *flood);
  flood->shared = shared;
  rng_init (&flood->rng, 7);
  for (interval = 1; interval <= INTERVALS; interval++)
    {
      for (i = 0; i < INSTANCES; i++)
        flood->waiting[i] = 2;
      run_interval (flood, interval, needs);
    }
}

static void
test_flood (void)
{
  uint32_t needs[INSTANCES];
  struct flood flood;
  uint32_t i;

  for (i = 0; i < INSTANCES; i++)
    needs[i] = 1;
  run_flood (&flood, false, needs);
  CU_ASSERT (flood.most_backlog_tokens > UINT64_C (20) * CAPACITY_TOKENS);
  run_flood (&flood, true, needs);
  /* Quotas add up by chance: twice the capacity is rare, idling is, too. */
  CU_ASSERT (flood.most_backlog_tokens
             < UINT64_C (2) * CAPACITY_TOKENS + INTERVAL_TOKENS);
  CU_ASSERT (flood.idle_tokens < (uint64_t)INTERVALS * INTERVAL_TOKENS / 50);
}

/* Load: a customer at one instance has had next to nothing, those at the
   others have had their share. */
static void
test_need (void)
{
  uint32_t needs[INSTANCES];
  struct flood flood;
  uint64_t others = 0;
  uint32_t i;

  for (i = 0; i < INSTANCES; i++)
    needs[i] = 1;
  run_flood (&flood, true, needs);
  CU_ASSERT (flood.sent[3] < INTERVALS / 5);
  needs[3] = (uint32_t)admission_usage_factor (10000, 1500000, 64);
  CU_ASSERT_EQUAL (needs[3], 64);
  run_flood (&flood, true, needs);
  CU_ASSERT (flood.sent[3] > INTERVALS / 2);
  for (i = 0; i < INSTANCES; i++)
    others += i == 3 ? 0 : flood.sent[i];
  CU_ASSERT (others > INTERVALS / 2);
  CU_ASSERT (flood.idle_tokens < (uint64_t)INTERVALS * INTERVAL_TOKENS / 50);
}

/* Alone, an instance fills the capacity at once. */
static void
test_alone (void)
{
  struct engine_quota quota = { .interval = 0 };
  const struct engine_quota_request request
      = { .interval = 1,
          .capacity_tokens = CAPACITY_TOKENS,
          .local_tokens = 1,
          .random = 1 };
  uint32_t i;

  for (i = 0; i < 10; i++)
    {
      CU_ASSERT_TRUE (engine_quota_allows (&quota, &request, PROMPT_TOKENS));
      engine_quota_consume (&quota, PROMPT_TOKENS);
    }
}

static const struct suite_test tests[] = {
  { "many instances and one free engine", test_flood },
  { "the customer that has had least goes first", test_need },
  { "one instance alone", test_alone },
};

SUITE_MAIN ("test_engine_quota", tests)
