/**
 * @file test_choose.c
 * Choice of upstreams under various loads: common and frequently used prompt
 * prefixes, upstreams that are added, removed, failing or busy.
 */
#include "state/choose.h"
#include "state/rng.h"
#include "support/positions.h"
#include "support/suite.h"
#include <stdio.h>
#include <string.h>

#define MS                 1000000ULL /* nanoseconds */
#define ENGINES            18
#define RECOMPUTE_PERMILLE 6000   /* thousandths */
#define PREFIX_TOKENS      13000U /* tokens of the shared prefix */
#define SUFFIX_TOKENS      3700   /* tokens of the rest of a prompt */
#define SERVICE            5

struct fixture
{
  struct registry registry;
  struct prefix_cache prefix_cache;
  struct rng rng;
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
      struct registry_record record = { .service_id = SERVICE,
                                        .slots = 6,
                                        .position = *POSITION (0, i + 1) };

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
make_prompt (uint64_t prefix_id, uint64_t request)
{
  struct prompt prompt = { .input_tokens = PREFIX_TOKENS + SUFFIX_TOKENS };

  prompt_add (&prompt, prefix_id, PREFIX_TOKENS);
  prompt_add (&prompt, request, SUFFIX_TOKENS);
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
    .least_loaded_id = choose_least_loaded (&fixture->registry, SERVICE,
                                            fixture->now_ns, &fixture->rng),
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

/* Two instances that do not communicate receive ten prompts with each of 300
   prefixes: each prefix is prefilled at one engine only. */
static void
test_common_prefix (void)
{
  struct fixture one;
  struct fixture two;
  uint64_t primaries[300] = { 0 };
  unsigned int mismatches = 0;
  unsigned int i;

  fixture_init (&one, ENGINES);
  fixture_init (&two, ENGINES);
  for (i = 0; i < 3000; i++)
    {
      struct prompt prompt = make_prompt (i % 300, 100000 + i);
      struct fixture *fixture = i % 2 == 0 ? &one : &two;
      uint64_t id = choose (fixture, &prompt, i, NULL, 0).upstream->id;

      if (primaries[i % 300] != 0 && primaries[i % 300] != id)
        mismatches++;
      primaries[i % 300] = id;
    }
  CU_ASSERT_EQUAL (mismatches, 0);
  fixture_finish (&one);
  fixture_finish (&two);
}

/* Primary engines are evenly distributed: no engine has more than twice its
   part. */
static void
test_primary_distribution (void)
{
  struct fixture fixture;
  unsigned int counts[ENGINES] = { 0 };
  unsigned int highest_count = 0;
  unsigned int i;

  fixture_init (&fixture, ENGINES);
  for (i = 0; i < 900; i++)
    {
      struct prompt prompt = make_prompt (i, i);
      struct choose_result result = choose (&fixture, &prompt, i, NULL, 0);
      unsigned int engine = 0;

      sscanf (result.upstream->record.identity, "engine-%u", &engine);
      counts[engine]++;
    }
  for (i = 0; i < ENGINES; i++)
    highest_count = counts[i] > highest_count ? counts[i] : highest_count;
  CU_ASSERT_TRUE (highest_count < 2 * 900 / ENGINES);
  fixture_finish (&fixture);
}

/* When an engine is removed, the primary engine changes only for the prompts
   whose primary engine it was. */
static void
test_primary_stability (void)
{
  struct fixture fixture;
  uint64_t before[300];
  uint64_t removed_id;
  unsigned int moved_count = 0;
  unsigned int i;

  fixture_init (&fixture, ENGINES);
  for (i = 0; i < 300; i++)
    {
      struct prompt prompt = make_prompt (i, i);

      before[i] = choose (&fixture, &prompt, i, NULL, 0).upstream->id;
    }
  removed_id = fixture.registry.upstreams->id;
  registry_mark_missing (&fixture.registry,
                         fixture.registry.upstreams->record.identity,
                         POSITION (0, 1000), 0, fixture.now_ns);
  for (i = 0; i < 300; i++)
    {
      struct prompt prompt = make_prompt (i, i);

      if (before[i] != removed_id
          && choose (&fixture, &prompt, i, NULL, 0).upstream->id != before[i])
        moved_count++;
    }
  CU_ASSERT_EQUAL (moved_count, 0);
  fixture_finish (&fixture);
}

/* A frequent prefix spills over from its overloaded primary engine to the next
   candidate, which has it cached from then on and is preferred like the
   primary engine. */
static void
test_spillover (void)
{
  struct fixture fixture;
  struct prompt prompt = make_prompt (1, 1);
  struct choose_result primary;
  struct choose_result second;
  struct choose_result third;

  fixture_init (&fixture, ENGINES);
  primary = choose (&fixture, &prompt, 1, NULL, 0);
  CU_ASSERT_TRUE (primary.primary);
  CU_ASSERT_EQUAL (primary.prefill_tokens, SUFFIX_TOKENS);
  primary.upstream->load.prefill_tokens = (uint64_t)PREFIX_TOKENS * 2;
  CU_ASSERT_PTR_EQUAL (choose (&fixture, &prompt, 1, NULL, 0).upstream,
                       primary.upstream);
  primary.upstream->load.peer_prefill_tokens = (uint64_t)PREFIX_TOKENS * 6;
  second = choose (&fixture, &prompt, 1, NULL, 0);
  CU_ASSERT_PTR_NOT_EQUAL (second.upstream, primary.upstream);
  CU_ASSERT_FALSE (second.primary);
  CU_ASSERT_EQUAL (second.prefill_tokens, PREFIX_TOKENS + SUFFIX_TOKENS);
  prefix_cache_record (&fixture.prefix_cache, second.upstream->id, &prompt,
                       fixture.now_ns);
  primary.upstream->load.peer_prefill_tokens = 0;
  prompt = make_prompt (1, 2);
  third = choose (&fixture, &prompt, 2, NULL, 0);
  CU_ASSERT_PTR_EQUAL (third.upstream, second.upstream);
  CU_ASSERT_EQUAL (third.prefill_tokens, SUFFIX_TOKENS);
  fixture_finish (&fixture);
}

/* A prefix sent longer ago than the TTL is assumed to be evicted, since other
   prompts have replaced it. */
static void
test_cache_expiry (void)
{
  struct fixture fixture;
  struct prompt prompt = make_prompt (1, 1);

  fixture_init (&fixture, 2);
  prefix_cache_record (&fixture.prefix_cache, 77, &prompt, fixture.now_ns);
  CU_ASSERT_EQUAL (prefix_cache_cached_tokens (&fixture.prefix_cache, 77,
                                               &prompt, 1000 * MS,
                                               fixture.now_ns + 1000 * MS),
                   PREFIX_TOKENS + SUFFIX_TOKENS);
  CU_ASSERT_EQUAL (prefix_cache_cached_tokens (&fixture.prefix_cache, 77,
                                               &prompt, 1000 * MS,
                                               fixture.now_ns + 1001 * MS),
                   0);
  prompt = make_prompt (1, 2);
  CU_ASSERT_EQUAL (prefix_cache_cached_tokens (&fixture.prefix_cache, 77,
                                               &prompt, 1000 * MS,
                                               fixture.now_ns),
                   PREFIX_TOKENS);
  prompt = make_prompt (2, 1);
  CU_ASSERT_EQUAL (prefix_cache_cached_tokens (&fixture.prefix_cache, 77,
                                               &prompt, 1000 * MS,
                                               fixture.now_ns),
                   0);
  fixture_finish (&fixture);
}

/* The table is bounded; the least recently used entry is evicted first. */
static void
test_cache_bound (void)
{
  struct fixture fixture;
  struct prompt prompt;
  uint64_t i;

  fixture_init (&fixture, 2);
  for (i = 0; i < PREFIX_CACHE_ENTRIES_MAX; i++)
    {
      prompt = make_prompt (i, 1000000 + i);
      prefix_cache_record (&fixture.prefix_cache, 1, &prompt, fixture.now_ns);
    }
  CU_ASSERT_EQUAL (fixture.prefix_cache.count, PREFIX_CACHE_ENTRIES_MAX);
  prompt = make_prompt (0, 1000000);
  CU_ASSERT_EQUAL (prefix_cache_cached_tokens (&fixture.prefix_cache, 1,
                                               &prompt, MS, fixture.now_ns),
                   0);
  prompt = make_prompt (PREFIX_CACHE_ENTRIES_MAX - 1, 1);
  CU_ASSERT_EQUAL (prefix_cache_cached_tokens (&fixture.prefix_cache, 1,
                                               &prompt, MS, fixture.now_ns),
                   PREFIX_TOKENS);
  fixture_finish (&fixture);
}

/* An ejected upstream is chosen only if all are ejected.  An upstream already
   tried is not chosen again. */
static void
test_ejected_and_excluded (void)
{
  struct fixture fixture;
  struct prompt prompt = make_prompt (1, 1);
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

/* Plain requests go to the upstream with the smallest known utilisation and,
   among equals, to one in the availability zone of the instance. */
static void
test_plain_requests (void)
{
  struct fixture fixture;
  struct registry_upstream *upstream;
  struct registry_upstream *local = NULL;
  unsigned int i;

  fixture_init (&fixture, 3);
  for (i = 0; i < 20; i++)
    {
      upstream = choose (&fixture, NULL, i, NULL, 0).upstream;
      CU_ASSERT_STRING_EQUAL (upstream->record.availability_zone, "a");
      local = upstream;
    }
  local->load.running = 1;
  for (i = 0; i < 20; i++)
    CU_ASSERT_PTR_NOT_EQUAL (choose (&fixture, NULL, i, NULL, 0).upstream,
                             local);
  local->load.running = 0;
  local->load.reported_waiting = 4;
  local->load.reported_ns = fixture.now_ns;
  CU_ASSERT_PTR_NOT_EQUAL (choose (&fixture, NULL, 1, NULL, 0).upstream,
                           local);
  fixture.now_ns += 2000 * MS;
  CU_ASSERT_PTR_EQUAL (choose (&fixture, NULL, 1, NULL, 0).upstream, local);
  fixture_finish (&fixture);
}

/* An engine that others have ejected is avoided, unless this instance knows
   better: it was served there, or has ejected it itself and tries again. */
static void
test_ejected_by_others (void)
{
  struct fixture fixture;
  struct registry_upstream *upstream;
  struct prompt prompt = make_prompt (1, 1);
  struct choose_result first;
  uint32_t chosen = 0;
  uint64_t i;

  fixture_init (&fixture, 12);
  first = choose (&fixture, &prompt, 1, NULL, 0);
  upstream = registry_find (&fixture.registry, first.upstream->id);
  upstream->load.peer_ejections = 2;
  for (i = 0; i < 160; i++)
    chosen += choose (&fixture, &prompt, i, NULL, 0).upstream == upstream;
  CU_ASSERT (chosen > 0);
  CU_ASSERT (chosen < 40);
  outlier_success (&upstream->outlier, fixture.now_ns);
  CU_ASSERT_PTR_EQUAL (choose (&fixture, &prompt, 1, NULL, 0).upstream,
                       upstream);
  upstream->outlier = (struct outlier){ .ejection_end_ns = 1 };
  CU_ASSERT_PTR_EQUAL (choose (&fixture, &prompt, 1, NULL, 0).upstream,
                       upstream);
  fixture_finish (&fixture);
}

/* An engine that names a limit is passed over without a turn, and its prefixes
   have another engine meanwhile; with a turn they go there. */
static void
test_limited_engine (void)
{
  struct fixture fixture;
  struct prompt prompt = make_prompt (1, 1);
  struct registry_upstream *primary;
  struct choose_result result;

  fixture_init (&fixture, 12);
  primary = choose (&fixture, &prompt, 1, NULL, 0).upstream;
  primary->limit = (struct rate_limit){ .limited = true, .permille = 1000 };
  result = choose (&fixture, &prompt, 1, NULL, 0);
  CU_ASSERT_PTR_NOT_EQUAL (result.upstream, primary);
  CU_ASSERT_TRUE (result.primary);
  primary->limit.turn_ns = fixture.now_ns;
  result = choose (&fixture, &prompt, 1, NULL, 0);
  CU_ASSERT_PTR_EQUAL (result.upstream, primary);
  CU_ASSERT_TRUE (result.primary);
  fixture_finish (&fixture);
}

/* Upstreams that fail are not used for want of a turn at a sound one. */
static void
test_limited_among_ejected (void)
{
  struct fixture fixture;
  struct prompt prompt = make_prompt (1, 1);
  struct registry_upstream *upstream;
  struct registry_upstream *limited;

  fixture_init (&fixture, 3);
  limited = choose (&fixture, &prompt, 1, NULL, 0).upstream;
  for (upstream = fixture.registry.upstreams; upstream != NULL;
       upstream = upstream->hh.next)
    if (upstream != limited)
      upstream->outlier.ejection_end_ns = fixture.now_ns + 1000 * MS;
  limited->limit = (struct rate_limit){ .limited = true, .permille = 1000 };
  CU_ASSERT_PTR_NULL (choose (&fixture, &prompt, 1, NULL, 0).upstream);
  CU_ASSERT_PTR_NULL (choose (&fixture, NULL, 1, NULL, 0).upstream);
  limited->limit.turn_ns = fixture.now_ns;
  CU_ASSERT_PTR_EQUAL (choose (&fixture, &prompt, 1, NULL, 0).upstream,
                       limited);
  CU_ASSERT_PTR_EQUAL (choose (&fixture, NULL, 1, NULL, 0).upstream, limited);
  fixture_finish (&fixture);
}

static const struct suite_test tests[] = {
  { "limited engine", test_limited_engine },
  { "limited upstream among ejected ones", test_limited_among_ejected },
  { "ejected by others", test_ejected_by_others },
  { "prompts with a common prefix share a primary engine",
    test_common_prefix },
  { "primary engines are evenly distributed", test_primary_distribution },
  { "removal of an engine leaves other primary engines",
    test_primary_stability },
  { "a frequent prefix spills over", test_spillover },
  { "cached prefixes expire", test_cache_expiry },
  { "cached prefixes are bounded", test_cache_bound },
  { "ejected and excluded upstreams", test_ejected_and_excluded },
  { "plain requests go to the least utilised upstream", test_plain_requests },
};

SUITE_MAIN ("test_choose", tests)
