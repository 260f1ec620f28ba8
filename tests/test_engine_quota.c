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

#define INSTANCES     90
#define PROMPT_TOKENS 4000
#define ROOM_TOKENS   22400 /* what an engine reads in 400 ms at 56 a ms */
#define TURN_TOKENS   8400  /* what it reads in a turn of 150 ms */
#define TURNS         200
#define STEPS         1000000

/** One engine, as all instances see it: as it was at the end of the turn
    before, and what they themselves have sent since. */
struct flood
{
  struct portion portions[INSTANCES];
  uint64_t waiting[INSTANCES]; /* prompts */
  struct rng rng;
  uint64_t ahead_tokens;
  uint64_t most_ahead_tokens;
  uint64_t idle_tokens; /* that it could have read besides */
  uint64_t sent[INSTANCES];
  bool shared; /* instances keep to their portions */
};

/* What waits at an instance counts as often as its customer's need says. */
static void
run_turn (struct flood *flood, uint64_t turn, const uint32_t *needs)
{
  uint64_t told_tokens = flood->ahead_tokens;
  uint64_t wanted = 0;
  uint32_t i;

  for (i = 0; i < INSTANCES; i++)
    wanted += flood->waiting[i] * PROMPT_TOKENS * needs[i];
  for (i = 0; i < INSTANCES; i++)
    {
      uint64_t own = flood->waiting[i] * PROMPT_TOKENS * needs[i];
      struct portion_request request = {
        .turn = turn,
        .room_tokens = ROOM_TOKENS,
        .ahead_tokens = told_tokens,
        .own_tokens = own,
        .peer_tokens = wanted - own,
      };

      while (flood->waiting[i] > 0 && request.ahead_tokens < ROOM_TOKENS)
        {
          request.draw = (double)rng_below (&flood->rng, STEPS) / STEPS;
          if (flood->shared
              && !portion_allows (&flood->portions[i], &request,
                                  PROMPT_TOKENS))
            break;
          portion_take (&flood->portions[i], PROMPT_TOKENS);
          request.ahead_tokens += PROMPT_TOKENS;
          flood->ahead_tokens += PROMPT_TOKENS;
          flood->waiting[i]--;
          flood->sent[i]++;
        }
    }
  if (flood->ahead_tokens > flood->most_ahead_tokens)
    flood->most_ahead_tokens = flood->ahead_tokens;
  if (flood->ahead_tokens < TURN_TOKENS)
    flood->idle_tokens += TURN_TOKENS - flood->ahead_tokens;
  flood->ahead_tokens
      -= flood->ahead_tokens < TURN_TOKENS ? flood->ahead_tokens : TURN_TOKENS;
}

/* Load: each of 90 instances always has two prompts for the same engine. */
static void
run_flood (struct flood *flood, bool shared, const uint32_t *needs)
{
  uint64_t turn;
  uint32_t i;

  memset (flood, 0, sizeof *flood);
  flood->shared = shared;
  rng_init (&flood->rng, 7);
  for (turn = 1; turn <= TURNS; turn++)
    {
      for (i = 0; i < INSTANCES; i++)
        flood->waiting[i] = 2;
      run_turn (flood, turn, needs);
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
  CU_ASSERT (flood.most_ahead_tokens > UINT64_C (20) * ROOM_TOKENS);
  run_flood (&flood, true, needs);
  /* Parts add up by chance: twice the room is rare, idling is, too. */
  CU_ASSERT (flood.most_ahead_tokens
             < UINT64_C (2) * ROOM_TOKENS + TURN_TOKENS);
  CU_ASSERT (flood.idle_tokens < (uint64_t)TURNS * TURN_TOKENS / 50);
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
  CU_ASSERT (flood.sent[3] < TURNS / 5);
  needs[3] = (uint32_t)admit_part (10000, 1500000, 64);
  CU_ASSERT_EQUAL (needs[3], 64);
  run_flood (&flood, true, needs);
  CU_ASSERT (flood.sent[3] > TURNS / 2);
  for (i = 0; i < INSTANCES; i++)
    others += i == 3 ? 0 : flood.sent[i];
  CU_ASSERT (others > TURNS / 2);
  CU_ASSERT (flood.idle_tokens < (uint64_t)TURNS * TURN_TOKENS / 50);
}

/* Alone, an instance fills the room at once. */
static void
test_alone (void)
{
  struct portion portion = { .turn = 0 };
  const struct portion_request request
      = { .turn = 1, .room_tokens = ROOM_TOKENS, .own_tokens = 1, .draw = 1 };
  uint32_t i;

  for (i = 0; i < 10; i++)
    {
      CU_ASSERT_TRUE (portion_allows (&portion, &request, PROMPT_TOKENS));
      portion_take (&portion, PROMPT_TOKENS);
    }
}

static const struct suite_test tests[] = {
  { "many instances and one free engine", test_flood },
  { "the customer that has had least goes first", test_need },
  { "one instance alone", test_alone },
};

SUITE_MAIN ("test_portion", tests)
