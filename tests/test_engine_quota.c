/**
 * @file test_engine_quota.c
 * Simulates many instances that see an engine become free at the same time.
 */
#include "state/admission.h"
#include "state/engine_quota.h"
#include "state/rng.h"
#include "support/suite.h"
#include <stdio.h>
#include <string.h>

#define INSTANCES       90
#define PROMPT_TOKENS   4000
#define CAPACITY_TOKENS 22400 /* 400 ms of prefill at 56 tokens/ms */
#define INTERVAL_TOKENS 8400  /* 150 ms of prefill */
#define INTERVALS       200
#define RANDOM_STEPS    1000000

/** One engine and the instances that send prompts to it.  An instance knows
    the backlog at the start of the interval and what it has sent since. */
struct simulation
{
  struct engine_quota quotas[INSTANCES];
  uint64_t queued[INSTANCES]; /* queued prompts of each instance */
  struct rng rng;
  uint64_t backlog_tokens;
  uint64_t max_backlog_tokens;
  uint64_t idle_tokens; /* tokens that it could have prefilled in addition */
  uint64_t sent[INSTANCES]; /* prompts */
  bool use_quotas;          /* whether instances apply their quotas */
};

/* The queued tokens of an instance are multiplied by the usage factor of its
   customer. */
static void
run_interval (struct simulation *simulation, uint64_t interval,
              const uint32_t *usage_factors)
{
  uint64_t reported_tokens = simulation->backlog_tokens;
  uint64_t queued_tokens = 0;
  uint64_t weighted_tokens = 0;
  uint32_t i;

  for (i = 0; i < INSTANCES; i++)
    {
      queued_tokens += simulation->queued[i] * PROMPT_TOKENS;
      weighted_tokens
          += simulation->queued[i] * PROMPT_TOKENS * usage_factors[i];
    }
  for (i = 0; i < INSTANCES; i++)
    {
      uint64_t local_tokens
          = simulation->queued[i] * PROMPT_TOKENS * usage_factors[i];
      struct engine_quota_request request = {
        .interval = interval,
        .capacity_tokens = CAPACITY_TOKENS,
        .backlog_tokens = reported_tokens,
        .local_tokens = local_tokens / usage_factors[i],
        .local_weight = local_tokens,
        .peer_tokens = queued_tokens - local_tokens / usage_factors[i],
        .peer_weight = weighted_tokens - local_tokens,
      };

      while (simulation->queued[i] > 0
             && request.backlog_tokens < CAPACITY_TOKENS)
        {
          request.random = (double)rng_below (&simulation->rng, RANDOM_STEPS)
                           / RANDOM_STEPS;
          if (simulation->use_quotas
              && !engine_quota_allows (&simulation->quotas[i], &request,
                                       PROMPT_TOKENS))
            break;
          engine_quota_consume (&simulation->quotas[i], PROMPT_TOKENS);
          request.backlog_tokens += PROMPT_TOKENS;
          simulation->backlog_tokens += PROMPT_TOKENS;
          simulation->queued[i]--;
          simulation->sent[i]++;
        }
    }
  if (simulation->backlog_tokens > simulation->max_backlog_tokens)
    simulation->max_backlog_tokens = simulation->backlog_tokens;
  if (simulation->backlog_tokens < INTERVAL_TOKENS)
    simulation->idle_tokens += INTERVAL_TOKENS - simulation->backlog_tokens;
  simulation->backlog_tokens -= simulation->backlog_tokens < INTERVAL_TOKENS
                                    ? simulation->backlog_tokens
                                    : INTERVAL_TOKENS;
}

/* Each of 90 instances always has two prompts queued for the same engine. */
static void
run_simulation (struct simulation *simulation, bool use_quotas,
                const uint32_t *usage_factors)
{
  uint64_t interval;
  uint32_t i;

  memset (simulation, 0, sizeof *simulation);
  simulation->use_quotas = use_quotas;
  rng_init (&simulation->rng, 7);
  for (interval = 1; interval <= INTERVALS; interval++)
    {
      for (i = 0; i < INSTANCES; i++)
        simulation->queued[i] = 2;
      run_interval (simulation, interval, usage_factors);
    }
}

static void
test_simultaneous_prompts (void)
{
  uint32_t usage_factors[INSTANCES];
  struct simulation simulation;
  uint32_t i;

  for (i = 0; i < INSTANCES; i++)
    usage_factors[i] = 1;
  run_simulation (&simulation, false, usage_factors);
  CU_ASSERT (simulation.max_backlog_tokens > UINT64_C (20) * CAPACITY_TOKENS);
  run_simulation (&simulation, true, usage_factors);
  /* Prompts are sent at random, so the backlog varies: it stays below about
     twice the capacity, and the engine is rarely idle. */
  CU_ASSERT (simulation.max_backlog_tokens
             < UINT64_C (2) * CAPACITY_TOKENS + INTERVAL_TOKENS);
  CU_ASSERT (simulation.idle_tokens
             < (uint64_t)INTERVALS * INTERVAL_TOKENS / 50);
}

/* The customer at one instance has much less usage than those at the other
   instances. */
static void
test_usage_factor (void)
{
  uint32_t usage_factors[INSTANCES];
  struct simulation simulation;
  uint64_t others_sent = 0;
  uint32_t i;

  for (i = 0; i < INSTANCES; i++)
    usage_factors[i] = 1;
  run_simulation (&simulation, true, usage_factors);
  CU_ASSERT (simulation.sent[3] < INTERVALS / 5);
  usage_factors[3] = (uint32_t)admission_usage_factor (10000, 1500000, 64);
  CU_ASSERT_EQUAL (usage_factors[3], 64);
  run_simulation (&simulation, true, usage_factors);
  CU_ASSERT (simulation.sent[3] > INTERVALS / 2);
  for (i = 0; i < INSTANCES; i++)
    others_sent += i == 3 ? 0 : simulation.sent[i];
  CU_ASSERT (others_sent > INTERVALS / 2);
  CU_ASSERT (simulation.idle_tokens
             < (uint64_t)INTERVALS * INTERVAL_TOKENS / 50);
}

/* A single instance may use the whole capacity at once. */
static void
test_single_instance (void)
{
  struct engine_quota quota = { .interval = 0 };
  const struct engine_quota_request request
      = { .interval = 1,
          .capacity_tokens = CAPACITY_TOKENS,
          .local_tokens = 1,
          .local_weight = 1,
          .random = 1 };
  uint32_t i;

  for (i = 0; i < 10; i++)
    {
      CU_ASSERT_TRUE (engine_quota_allows (&quota, &request, PROMPT_TOKENS));
      engine_quota_consume (&quota, PROMPT_TOKENS);
    }
}

/* A heavy user's prompt is queued here, and one prompt of a customer with
   little usage at another instance.  The engine has room for both. */
static void
test_idle_engine_beside_preferred_prompt (void)
{
  const struct engine_quota_request request = {
    .interval = 1,
    .capacity_tokens = CAPACITY_TOKENS,
    .local_tokens = PROMPT_TOKENS,
    .local_weight = PROMPT_TOKENS / 5,
    .peer_tokens = PROMPT_TOKENS,
    .peer_weight = PROMPT_TOKENS * UINT64_C (64),
    .random = 0.99,
  };
  struct engine_quota quota = { .interval = 0 };

  CU_ASSERT_TRUE (engine_quota_allows (&quota, &request, PROMPT_TOKENS));
}

/* The same with preferred prompts that fill the engine. */
static void
test_engine_full_of_preferred_prompts (void)
{
  const struct engine_quota_request request = {
    .interval = 1,
    .capacity_tokens = CAPACITY_TOKENS,
    .local_tokens = PROMPT_TOKENS,
    .local_weight = PROMPT_TOKENS / 5,
    .peer_tokens = CAPACITY_TOKENS,
    .peer_weight = CAPACITY_TOKENS * UINT64_C (64),
    .random = 0.01,
  };
  struct engine_quota quota = { .interval = 0 };

  CU_ASSERT_FALSE (engine_quota_allows (&quota, &request, PROMPT_TOKENS));
}

static const struct suite_test tests[] = {
  { "idle engine beside a preferred prompt",
    test_idle_engine_beside_preferred_prompt },
  { "engine full of preferred prompts",
    test_engine_full_of_preferred_prompts },
  { "many instances and one engine", test_simultaneous_prompts },
  { "a customer with low usage gets a larger quota", test_usage_factor },
  { "a single instance", test_single_instance },
};

SUITE_MAIN ("test_engine_quota", tests)
