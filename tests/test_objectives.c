/**
 * @file test_objectives.c
 * Replays the arrivals of an overload, in which refused clients retry: which
 * requests count as late, and what their engines' backlog may be.
 */
#include "state/admission.h"
#include "state/client_budget.h"
#include "state/rng.h"
#include "state/shortest_objective.h"
#include "support/suite.h"

#define REQUESTS 4000

/* A request names one of `count` values, or 0.8 to 2.4 s less. */
static void
replay (const uint32_t *begin_ms, unsigned int count,
        unsigned int back_percent)
{
  struct client_budget budget = { .total = 0 };
  unsigned int wrong = 0;
  uint32_t waited_ms;
  struct rng rng;
  unsigned int i;

  rng_init (&rng, 1);
  for (i = 0; i < REQUESTS; i++)
    {
      uint32_t begin = begin_ms[rng_below (&rng, count)];

      waited_ms = rng_below (&rng, 100) < back_percent
                      ? 800 + (uint32_t)rng_below (&rng, 1600)
                      : 0;
      if (client_budget_waited_ms (&budget, begin - waited_ms) != waited_ms
          && i >= 100)
        wrong++;
    }
  CU_ASSERT (wrong * 100 <= REQUESTS);
}

static void
test_replay (void)
{
  const uint32_t one = 15000;
  const uint32_t three[] = { 3000, 12000, 60000 };

  replay (&one, 1, 0);
  replay (&one, 1, 33);
  replay (&one, 1, 60);
  replay (three, 3, 33);
}

/* A value that few requests name has no effect, however large it is. */
static void
test_few (void)
{
  struct client_budget budget = { .total = 0 };
  unsigned int i;

  for (i = 0; i < REQUESTS; i++)
    {
      if (i % 50 == 0)
        client_budget_waited_ms (&budget, UINT32_MAX);
      CU_ASSERT_EQUAL (client_budget_waited_ms (&budget, 5000), 0);
    }
}

/* No value is frequent: nothing is known. */
static void
test_all_different (void)
{
  struct client_budget budget = { .total = 0 };
  uint32_t i;

  for (i = 0; i < REQUESTS; i++)
    CU_ASSERT_EQUAL (client_budget_waited_ms (&budget, 1000 + i * 7), 0);
}

/* New clients name another value. */
static void
test_change (void)
{
  struct client_budget budget = { .total = 0 };
  uint32_t i;

  for (i = 0; i < REQUESTS; i++)
    client_budget_waited_ms (&budget, 15000);
  for (i = 0; i < REQUESTS; i++)
    client_budget_waited_ms (&budget, 5000);
  CU_ASSERT_EQUAL (client_budget_waited_ms (&budget, 5000), 0);
  CU_ASSERT_EQUAL (client_budget_waited_ms (&budget, 4000), 1000);
}

/* At an engine with a backlog, prompts whose objective has passed wait for
   those that can still meet theirs, whatever their customers' usage. */
static void
test_late_waits (void)
{
  struct prefill_rate rate = { .tokens_per_ms = 100 };
  struct admission_request request = { .usage_tokens = 0,
                                       .mean_tokens = 1000000,
                                       .utilisation = 1,
                                       .backlog_max_ms = 250 };
  uint64_t timely = admission_capacity_tokens (&rate, &request);

  request.late = true;
  request.engine_utilisation = 1;
  CU_ASSERT (admission_capacity_tokens (&rate, &request) * 16 < timely);
  CU_ASSERT (admission_capacity_tokens (&rate, &request) > 0);
  /* Engines that are nearly idle take them. */
  request.engine_utilisation = 0.1;
  request.utilisation = 0;
  CU_ASSERT (admission_capacity_tokens (&rate, &request) * 4 > timely);
  request.engine_utilisation = 0;
  CU_ASSERT_EQUAL (admission_capacity_tokens (&rate, &request), 25000);
}

/* The limit of an engine's backlog leaves a prompt that arrives next most of
   its objective; it is bounded, and follows what arrives. */
static void
test_backlog_limit (void)
{
  const uint64_t s = 1000000000ULL;
  struct shortest_objective shortest = { .current_ms = 0 };

  CU_ASSERT_EQUAL (shortest_objective_backlog_ms (&shortest, 50), 250);
  shortest_objective_observe (&shortest, 600, 100 * s);
  CU_ASSERT_EQUAL (shortest_objective_backlog_ms (&shortest, 50), 250);
  shortest_objective_observe (&shortest, 400, 101 * s);
  shortest_objective_observe (&shortest, 0, 101 * s);
  CU_ASSERT_EQUAL (shortest_objective_backlog_ms (&shortest, 50), 200);
  /* Reports of a large fleet take longer. */
  CU_ASSERT_EQUAL (shortest_objective_backlog_ms (&shortest, 150), 250);
  shortest_objective_observe (&shortest, 600, 111 * s);
  CU_ASSERT_EQUAL (shortest_objective_backlog_ms (&shortest, 50), 200);
  shortest_objective_observe (&shortest, 600, 122 * s);
  CU_ASSERT_EQUAL (shortest_objective_backlog_ms (&shortest, 50), 250);
  shortest_objective_observe (&shortest, 10, 123 * s);
  CU_ASSERT_EQUAL (shortest_objective_backlog_ms (&shortest, 50), 85);
  shortest_objective_observe (&shortest, 5000, 200 * s);
  CU_ASSERT_EQUAL (shortest_objective_backlog_ms (&shortest, 50), 250);
}

static const struct suite_test tests[] = {
  { "replay", test_replay },
  { "values that few name", test_few },
  { "all different", test_all_different },
  { "change", test_change },
  { "late prompts wait", test_late_waits },
  { "backlog limit", test_backlog_limit },
};

SUITE_MAIN ("test_objectives", tests)
