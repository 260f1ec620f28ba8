/**
 * @file test_stream_table.c
 * Table of streams and the builds that began them: who is told what and when,
 * and choice of upstreams within a build.
 */
#include "state/choose.h"
#include "state/stream_builds.h"
#include "support/positions.h"
#include "support/suite.h"
#include <stdio.h>
#include <string.h>

#define S       UINT64_C (1000000000) /* nanoseconds */
#define NOW     (100 * S)
#define SERVICE 5
#define ROWS    64

static void
put (struct stream_builds *table, uint64_t key, uint64_t build,
     enum stream_builds_source source, uint64_t source_id)
{
  const struct stream_builds_row row = { .key = key,
                                         .service_id = SERVICE,
                                         .build = build,
                                         .upstream_id = 9,
                                         .ttl_ms = 60000 };

  stream_builds_put (table, &row, source, source_id, NOW);
}

static size_t
rows_for (const struct stream_builds *table, uint64_t instance_id,
          bool subscriber, bool everything, uint64_t *sequence)
{
  const struct stream_builds_peer peer
      = { instance_id, subscriber, everything };
  struct stream_builds_row rows[ROWS];

  return stream_builds_rows (table, &peer, sequence, rows, ROWS, NOW);
}

/* Nothing is told while a service has one build; then also what began before.
 */
static void
test_told_with_several_builds (void)
{
  struct stream_builds table;
  uint64_t sent = 0;

  stream_builds_init (&table);
  put (&table, 1001, 7, STREAM_BUILDS_OWN, 0);
  put (&table, 1002, 7, STREAM_BUILDS_OWN, 0);
  CU_ASSERT_EQUAL (rows_for (&table, 1, false, false, &sent), 0);
  put (&table, SERVICE, 0, STREAM_BUILDS_OWN, 0);
  CU_ASSERT_EQUAL (rows_for (&table, 1, false, false, &sent), 1);
  stream_builds_touch (&table, SERVICE);
  CU_ASSERT_EQUAL (rows_for (&table, 1, false, false, &sent), 2);
  CU_ASSERT_EQUAL (rows_for (&table, 1, false, false, &sent), 0);
  put (&table, 1003, 8, STREAM_BUILDS_OWN, 0);
  CU_ASSERT_EQUAL (rows_for (&table, 1, false, false, &sent), 1);
  CU_ASSERT_EQUAL (stream_builds_find (&table, 1003, NOW), 8);
  CU_ASSERT_EQUAL (stream_builds_find (&table, 1003, NOW + 61 * S), 0);
  CU_ASSERT_FALSE (stream_builds_several (&table, SERVICE, NOW + 61 * S));
  stream_builds_expire (&table, NOW + 61 * S);
  CU_ASSERT_EQUAL (HASH_COUNT (table.entries), 0);
  stream_builds_finish (&table);
}

/* Hubs tell each other what began in their zones; each row reaches each
   instance once, and a new peer is told everything. */
static void
test_told_once (void)
{
  struct stream_builds table;
  uint64_t sent;

  stream_builds_init (&table);
  put (&table, SERVICE, 0, STREAM_BUILDS_OWN, 0);
  put (&table, 1001, 7, STREAM_BUILDS_OWN, 0);
  put (&table, 1002, 7, STREAM_BUILDS_SUBSCRIBER, 1);
  put (&table, 1003, 7, STREAM_BUILDS_HUB, 2);
  sent = 1;
  CU_ASSERT_EQUAL (rows_for (&table, 3, false, false, &sent), 2);
  sent = 1;
  CU_ASSERT_EQUAL (rows_for (&table, 1, true, false, &sent), 2);
  sent = 1;
  CU_ASSERT_EQUAL (rows_for (&table, 3, false, true, &sent), 3);
  /* A stream keeps the build that it is known to have. */
  put (&table, 1003, 8, STREAM_BUILDS_OWN, 0);
  CU_ASSERT_EQUAL (stream_builds_find (&table, 1003, NOW), 7);
  stream_builds_finish (&table);
}

/* An upstream has started again as another build. */
static void
test_forget (void)
{
  struct stream_builds table;

  stream_builds_init (&table);
  put (&table, 1001, 7, STREAM_BUILDS_OWN, 0);
  stream_builds_forget (&table, 9, NOW + S);
  CU_ASSERT_EQUAL (stream_builds_find (&table, 1001, NOW), 7);
  stream_builds_forget (&table, 9, NOW - S);
  CU_ASSERT_EQUAL (stream_builds_find (&table, 1001, NOW), 0);
  stream_builds_finish (&table);
}

static void
test_bounded (void)
{
  struct stream_builds table;
  uint64_t key;

  stream_builds_init (&table);
  for (key = 1000; key < 1100 + STREAM_BUILDS_MAX; key++)
    put (&table, key, 7, STREAM_BUILDS_OWN, 0);
  CU_ASSERT_EQUAL (HASH_COUNT (table.entries), STREAM_BUILDS_MAX);
  CU_ASSERT_EQUAL (stream_builds_find (&table, 1000, NOW), 0);
  CU_ASSERT_EQUAL (stream_builds_find (&table, key - 1, NOW), 7);
  stream_builds_finish (&table);
}

static void
on_rebuilt (void *user, const struct registry_upstream *upstream)
{
  (void)upstream;
  ++*(unsigned int *)user;
}

static uint64_t
build_of (const struct registry *registry, const char *identity)
{
  const struct registry_upstream *upstream = registry->upstreams;

  while (strcmp (upstream->record.identity, identity) != 0)
    upstream = upstream->hh.next;
  return upstream->build;
}

/* Plain requests and prompts go to upstreams of their build only. */
static void
test_choice_within_build (void)
{
  struct registry registry;
  struct prefix_cache cache;
  struct choose_candidates candidates = { .count = 0 };
  struct choose_result result;
  struct prompt prompt = { .input_tokens = 150 };
  struct choose_request request
      = { .service_id = SERVICE, .availability_zone = "", .now_ns = NOW };
  struct registry_record record = { .service_id = SERVICE, .slots = 6 };
  unsigned int rebuilt = 0;
  unsigned int i;

  registry_init (&registry);
  registry.rebuilt = on_rebuilt;
  registry.user = &rebuilt;
  prefix_cache_init (&cache);
  for (i = 0; i < 20; i++)
    {
      snprintf (record.identity, sizeof record.identity, "e-%u", i);
      snprintf (record.build, sizeof record.build, i == 13 ? "v2" : "v1");
      record.position = *POSITION (0, i + 1);
      registry_put (&registry, &record);
    }
  CU_ASSERT_EQUAL (registry_single_build (&registry, SERVICE), 0);
  CU_ASSERT_EQUAL (registry_single_build (&registry, SERVICE + 1), 0);
  prompt_add (&prompt, 1, 100);
  prompt_add (&prompt, 2, 50);
  snprintf (record.identity, sizeof record.identity, "e-13");
  for (i = 0; i < 2; i++)
    {
      request.prompt = i == 0 ? NULL : &prompt;
      request.candidates = &candidates;
      choose_upstream (&registry, &cache, &request, &result);
      CU_ASSERT_PTR_NOT_NULL_FATAL (result.upstream);
      request.build = registry_find (&registry, result.upstream->id)->build;
      CU_ASSERT_TRUE (registry_has_build (&registry, SERVICE, request.build));
      request.build ^= 1;
      choose_upstream (&registry, &cache, &request, &result);
      CU_ASSERT_PTR_NULL (result.upstream);
      request.build = build_of (&registry, "e-13");
      choose_upstream (&registry, &cache, &request, &result);
      CU_ASSERT_PTR_NOT_NULL_FATAL (result.upstream);
      CU_ASSERT_STRING_EQUAL (result.upstream->record.identity, "e-13");
      request.build = 0;
    }
  snprintf (record.build, sizeof record.build, "v1");
  record.position = *POSITION (0, 100);
  registry_put (&registry, &record);
  CU_ASSERT_EQUAL (rebuilt, 1);
  CU_ASSERT_NOT_EQUAL (registry_single_build (&registry, SERVICE), 0);
  registry_finish (&registry);
  prefix_cache_finish (&cache);
}

static const struct suite_test tests[] = {
  { "told with several builds", test_told_with_several_builds },
  { "told once", test_told_once },
  { "upstream that started again", test_forget },
  { "bounded table", test_bounded },
  { "choice within a build", test_choice_within_build },
};

SUITE_MAIN ("test_stream_table", tests)
