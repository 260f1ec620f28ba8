/**
 * @file test_choose.c
 * Replays the loads that placement answers: common prefixes that meet at
 * one primary engine, hot ones, upstreams that come and go, failing and busy
 * ones.
 */
#include "state/choose.h"
#include "state/rng.h"
#include "support/suite.h"
#include <stdio.h>
#include <string.h>

#define MS                 1000000ULL /* nanoseconds */
#define ENGINES            18
#define RECOMPUTE_PERMILLE 6000   /* thousandths */
#define SHARED             13000U /* tokens of a common prefix */
#define OWN                3700   /* tokens of a request itself */
#define SERVICE            5

struct fixture
{
  struct registry registry;
  struct prefix_cache prefix_cache;
  uint64_t now_ns;
};

static void
fixture_init (struct fixture *fixture, unsigned int engines)
{
  unsigned int i;

  memset (fixture, 0, sizeof *fixture);
  registry_init (&fixture->registry);
  prefix_cache_init (&fixture->prefix_cache);
  fixture->now_ns = 5000 * MS;
  for (i = 0; i < engines; i++)
    {
      struct registry_record record
          = { .service_id = SERVICE, .slots = 6, .revision = i + 1 };

      snprintf (record.identity, sizeof record.identity, "engine-%u", i);
      snprintf (record.availability_zone, sizeof record.availability_zone,
                "%c", 'a' + (char)(i % 3));
      registry_put (&fixture->registry, &record);
    }
}

static void
fixture_finish (struct fixture *fixture)
{
  registry_finish (&fixture->registry);
  prefix_cache_finish (&fixture->prefix_cache);
}

static struct prompt
prompt_of (uint64_t thing, uint64_t request)
{
  struct prompt prompt = { .input_tokens = SHARED + OWN };

  prompt_add (&prompt, thing, SHARED);
  prompt_add (&prompt, request, OWN);
  return prompt;
}

static struct choose_result
choose (struct fixture *fixture, const struct prompt *prompt,
        uint64_t tie_break, const uint64_t *excluded, size_t excluded_count)
{
  struct choose_candidates candidates = { .count = 0 };
  const struct choose_request request = {
    .service_id = SERVICE,
    .candidates = &candidates,
    .least_loaded_id
    = choose_least_loaded (&fixture->registry, SERVICE, fixture->now_ns),
    .prompt = prompt,
    .availability_zone = "a",
    .excluded = excluded,
    .excluded_count = excluded_count,
    .tie_break = tie_break,
    .recompute_permille = RECOMPUTE_PERMILLE,
    .now_ns = fixture->now_ns,
  };
  struct choose_result result;

  choose_upstream (&fixture->registry, &fixture->prefix_cache, &request,
                   &result);
  return result;
}

/* 300 prefixes asked for ten times each from two instances that never spoke:
   each prefix is prefilled at one engine only. */
static void
test_common_beginnings_meet (void)
{
  struct fixture one;
  struct fixture two;
  uint64_t primaries[300] = { 0 };
  unsigned int apart = 0;
  unsigned int i;

  fixture_init (&one, ENGINES);
  fixture_init (&two, ENGINES);
  for (i = 0; i < 3000; i++)
    {
      struct prompt prompt = prompt_of (i % 300, 100000 + i);
      struct fixture *fixture = i % 2 == 0 ? &one : &two;
      uint64_t id = choose (fixture, &prompt, i, NULL, 0).upstream->id;

      if (primaries[i % 300] != 0 && primaries[i % 300] != id)
        apart++;
      primaries[i % 300] = id;
    }
  CU_ASSERT_EQUAL (apart, 0);
  fixture_finish (&one);
  fixture_finish (&two);
}

/* No engine is the primary one of much more than its part. */
static void
test_primaries_are_spread (void)
{
  struct fixture fixture;
  unsigned int counts[ENGINES] = { 0 };
  unsigned int most = 0;
  unsigned int i;

  fixture_init (&fixture, ENGINES);
  for (i = 0; i < 900; i++)
    {
      struct prompt prompt = prompt_of (i, i);
      struct choose_result result = choose (&fixture, &prompt, i, NULL, 0);
      unsigned int engine = 0;

      sscanf (result.upstream->record.identity, "engine-%u", &engine);
      counts[engine]++;
    }
  for (i = 0; i < ENGINES; i++)
    most = counts[i] > most ? counts[i] : most;
  CU_ASSERT_TRUE (most < 2 * 900 / ENGINES);
  fixture_finish (&fixture);
}

/* When one engine leaves, only prompts whose primary engine it was move. */
static void
test_primaries_stay_when_others_leave (void)
{
  struct fixture fixture;
  uint64_t before[300];
  uint64_t gone;
  unsigned int moved = 0;
  unsigned int i;

  fixture_init (&fixture, ENGINES);
  for (i = 0; i < 300; i++)
    {
      struct prompt prompt = prompt_of (i, i);

      before[i] = choose (&fixture, &prompt, i, NULL, 0).upstream->id;
    }
  gone = fixture.registry.upstreams->id;
  registry_mark_missing (&fixture.registry,
                         fixture.registry.upstreams->record.identity, 1000, 0,
                         fixture.now_ns);
  for (i = 0; i < 300; i++)
    {
      struct prompt prompt = prompt_of (i, i);

      if (before[i] != gone
          && choose (&fixture, &prompt, i, NULL, 0).upstream->id != before[i])
        moved++;
    }
  CU_ASSERT_EQUAL (moved, 0);
  fixture_finish (&fixture);
}

/* A hot prefix spills over from an overloaded primary engine to the second
   candidate, which serves it from then on as if it were the first. */
static void
test_hot_beginning_spreads (void)
{
  struct fixture fixture;
  struct prompt prompt = prompt_of (1, 1);
  struct choose_result primary;
  struct choose_result second;
  struct choose_result third;

  fixture_init (&fixture, ENGINES);
  primary = choose (&fixture, &prompt, 1, NULL, 0);
  CU_ASSERT_TRUE (primary.primary);
  CU_ASSERT_EQUAL (primary.prefill_tokens, OWN);
  primary.upstream->load.prefill_tokens = (uint64_t)SHARED * 2;
  CU_ASSERT_PTR_EQUAL (choose (&fixture, &prompt, 1, NULL, 0).upstream,
                       primary.upstream);
  primary.upstream->load.peer_prefill_tokens = (uint64_t)SHARED * 6;
  second = choose (&fixture, &prompt, 1, NULL, 0);
  CU_ASSERT_PTR_NOT_EQUAL (second.upstream, primary.upstream);
  CU_ASSERT_FALSE (second.primary);
  CU_ASSERT_EQUAL (second.prefill_tokens, SHARED + OWN);
  prefix_cache_record (&fixture.prefix_cache, second.upstream->id, &prompt,
                       fixture.now_ns);
  primary.upstream->load.peer_prefill_tokens = 0;
  prompt = prompt_of (1, 2);
  third = choose (&fixture, &prompt, 2, NULL, 0);
  CU_ASSERT_PTR_EQUAL (third.upstream, second.upstream);
  CU_ASSERT_EQUAL (third.prefill_tokens, OWN);
  fixture_finish (&fixture);
}

/* What was sent long ago is no longer cached: other prompts replaced it. */
static void
test_beliefs_age (void)
{
  struct fixture fixture;
  struct prompt prompt = prompt_of (1, 1);

  fixture_init (&fixture, 2);
  prefix_cache_record (&fixture.prefix_cache, 77, &prompt, fixture.now_ns);
  CU_ASSERT_EQUAL (prefix_cache_cached_tokens (&fixture.prefix_cache, 77,
                                               &prompt, 1000 * MS,
                                               fixture.now_ns + 1000 * MS),
                   SHARED + OWN);
  CU_ASSERT_EQUAL (prefix_cache_cached_tokens (&fixture.prefix_cache, 77,
                                               &prompt, 1000 * MS,
                                               fixture.now_ns + 1001 * MS),
                   0);
  prompt = prompt_of (1, 2);
  CU_ASSERT_EQUAL (prefix_cache_cached_tokens (&fixture.prefix_cache, 77,
                                               &prompt, 1000 * MS,
                                               fixture.now_ns),
                   SHARED);
  prompt = prompt_of (2, 1);
  CU_ASSERT_EQUAL (prefix_cache_cached_tokens (&fixture.prefix_cache, 77,
                                               &prompt, 1000 * MS,
                                               fixture.now_ns),
                   0);
  fixture_finish (&fixture);
}

/* The table of beliefs is bounded; the stalest goes first. */
static void
test_beliefs_are_bounded (void)
{
  struct fixture fixture;
  struct prompt prompt;
  uint64_t i;

  fixture_init (&fixture, 2);
  for (i = 0; i < PREFIX_CACHE_ENTRIES_MAX; i++)
    {
      prompt = prompt_of (i, 1000000 + i);
      prefix_cache_record (&fixture.prefix_cache, 1, &prompt, fixture.now_ns);
    }
  CU_ASSERT_EQUAL (fixture.prefix_cache.count, PREFIX_CACHE_ENTRIES_MAX);
  prompt = prompt_of (0, 1000000);
  CU_ASSERT_EQUAL (prefix_cache_cached_tokens (&fixture.prefix_cache, 1,
                                               &prompt, MS, fixture.now_ns),
                   0);
  prompt = prompt_of (PREFIX_CACHE_ENTRIES_MAX - 1, 1);
  CU_ASSERT_EQUAL (prefix_cache_cached_tokens (&fixture.prefix_cache, 1,
                                               &prompt, MS, fixture.now_ns),
                   SHARED);
  fixture_finish (&fixture);
}

/* An upstream that fails is left alone unless all do; one that was tried is
   not tried again. */
static void
test_failing_are_avoided (void)
{
  struct fixture fixture;
  struct prompt prompt = prompt_of (1, 1);
  struct choose_result result;
  uint64_t tried[ENGINES];
  struct registry_upstream *upstream;
  size_t i;

  fixture_init (&fixture, 3);
  result = choose (&fixture, &prompt, 1, NULL, 0);
  upstream = result.upstream;
  outlier_failure (&upstream->outlier, true, fixture.now_ns);
  CU_ASSERT_PTR_NOT_EQUAL (choose (&fixture, &prompt, 1, NULL, 0).upstream,
                           upstream);
  for (upstream = fixture.registry.upstreams; upstream != NULL;
       upstream = upstream->hh.next)
    outlier_failure (&upstream->outlier, true, fixture.now_ns);
  CU_ASSERT_PTR_NOT_NULL (choose (&fixture, &prompt, 1, NULL, 0).upstream);
  for (i = 0; i < 3; i++)
    tried[i] = choose (&fixture, &prompt, 1, tried, i).upstream->id;
  CU_ASSERT_NOT_EQUAL (tried[0], tried[1]);
  CU_ASSERT_NOT_EQUAL (tried[1], tried[2]);
  CU_ASSERT_PTR_NULL (choose (&fixture, &prompt, 1, tried, 3).upstream);
  fixture_finish (&fixture);
}

/* Plain requests go where most slots are free, as far as is known, and keep
   to their own zone when that is as good. */
static void
test_plain_requests_go_where_there_is_room (void)
{
  struct fixture fixture;
  struct registry_upstream *upstream;
  struct registry_upstream *near = NULL;
  unsigned int i;

  fixture_init (&fixture, 3);
  for (i = 0; i < 20; i++)
    {
      upstream = choose (&fixture, NULL, i, NULL, 0).upstream;
      CU_ASSERT_STRING_EQUAL (upstream->record.availability_zone, "a");
      near = upstream;
    }
  near->load.running = 1;
  for (i = 0; i < 20; i++)
    CU_ASSERT_PTR_NOT_EQUAL (choose (&fixture, NULL, i, NULL, 0).upstream,
                             near);
  near->load.running = 0;
  near->load.reported_waiting = 4;
  near->load.reported_ns = fixture.now_ns;
  CU_ASSERT_PTR_NOT_EQUAL (choose (&fixture, NULL, 1, NULL, 0).upstream, near);
  fixture.now_ns += 2000 * MS;
  CU_ASSERT_PTR_EQUAL (choose (&fixture, NULL, 1, NULL, 0).upstream, near);
  fixture_finish (&fixture);
}

static const struct suite_test tests[] = {
  { "common beginnings meet at one home", test_common_beginnings_meet },
  { "homes are spread", test_primaries_are_spread },
  { "homes stay when others leave", test_primaries_stay_when_others_leave },
  { "a hot beginning spreads", test_hot_beginning_spreads },
  { "beliefs age", test_beliefs_age },
  { "beliefs are bounded", test_beliefs_are_bounded },
  { "failing upstreams are avoided", test_failing_are_avoided },
  { "plain requests go where there is room",
    test_plain_requests_go_where_there_is_room },
};

SUITE_MAIN ("test_choose", tests)
