/**
 * @file test_registry.c
 * Upstreams that register, drain, are removed, are lost in an outage of the
 * store and restart.
 */
#include "state/err.h"
#include "state/registry.h"
#include "support/positions.h"
#include "support/suite.h"
#include <stdio.h>

#define MS    1000000ULL /* nanoseconds */
#define GRACE (1200 * MS)

static uint64_t removed_count;

static void
on_removed (void *user, const struct registry_upstream *upstream)
{
  (void)user;
  (void)upstream;
  removed_count++;
}

static int
put (struct registry *registry, const char *identity, uint64_t start_ms,
     const struct store_position *position, bool draining)
{
  struct registry_record record = { .start_ms = start_ms,
                                    .service_id = 5,
                                    .slots = 4,
                                    .draining = draining,
                                    .position = *position };

  snprintf (record.identity, sizeof record.identity, "%s", identity);
  snprintf (record.address, sizeof record.address, "10.0.0.1:80");
  return registry_put (registry, &record);
}

static unsigned int
usable_count (const struct registry *registry)
{
  const struct registry_upstream *upstream;
  unsigned int count = 0;

  for (upstream = registry->upstreams; upstream != NULL;
       upstream = upstream->hh.next)
    if (registry_usable (upstream, 5))
      count++;
  return count;
}

static void
test_draining_and_removal (void)
{
  struct registry registry;

  registry_init (&registry);
  put (&registry, "a", 0, POSITION (0, 1), false);
  put (&registry, "b", 0, POSITION (0, 2), false);
  CU_ASSERT_EQUAL (usable_count (&registry), 2);
  put (&registry, "a", 0, POSITION (0, 3), true);
  CU_ASSERT_EQUAL (usable_count (&registry), 1);
  /* An older registration does not make it usable again. */
  CU_ASSERT_EQUAL (put (&registry, "a", 0, POSITION (0, 1), false), ERR_STALE);
  CU_ASSERT_EQUAL (usable_count (&registry), 1);
  registry_mark_missing (&registry, "b", POSITION (0, 4), 0, 0);
  CU_ASSERT_EQUAL (usable_count (&registry), 0);
  registry_finish (&registry);
}

/* An entry lost in an outage of the store stays usable for the grace period,
   and after it if the upstream was registered again.  One that was draining is
   removed at once. */
static void
test_outage_grace_period (void)
{
  struct registry registry;

  registry_init (&registry);
  put (&registry, "stays", 0, POSITION (0, 1), false);
  put (&registry, "lapsed", 0, POSITION (0, 2), false);
  put (&registry, "dead", 0, POSITION (0, 3), false);
  put (&registry, "leaving", 0, POSITION (0, 4), true);
  registry_listing_begin (&registry);
  put (&registry, "stays", 0, POSITION (0, 1), false);
  registry_listing_end (&registry, POSITION (0, 9), GRACE, 100 * MS);
  CU_ASSERT_EQUAL (usable_count (&registry), 3);
  CU_ASSERT_EQUAL (HASH_COUNT (registry.upstreams), 3);
  put (&registry, "lapsed", 0, POSITION (0, 10), false);
  registry_expire (&registry, 100 * MS + GRACE - 1);
  CU_ASSERT_EQUAL (usable_count (&registry), 3);
  registry_expire (&registry, 100 * MS + GRACE);
  CU_ASSERT_EQUAL (usable_count (&registry), 2);
  registry_expire (&registry, 900000 * MS);
  CU_ASSERT_EQUAL (usable_count (&registry), 2);
  registry_finish (&registry);
}

/* Without a grace period, an entry that the listing lacks is removed at
   once. */
static void
test_no_grace_period (void)
{
  struct registry registry;

  registry_init (&registry);
  put (&registry, "a", 0, POSITION (0, 1), false);
  put (&registry, "new", 0, POSITION (0, 12), false);
  registry_listing_begin (&registry);
  /* The entry "new" is newer than the listing and stays. */
  registry_listing_end (&registry, POSITION (0, 9), 0, 100 * MS);
  CU_ASSERT_EQUAL (usable_count (&registry), 1);
  registry_finish (&registry);
}

/* A restarted upstream gets a new id and none of the load of its previous
   incarnation. */
static void
test_new_incarnation (void)
{
  struct registry registry;
  uint64_t first;

  registry_init (&registry);
  registry.removed = on_removed;
  removed_count = 0;
  put (&registry, "a", 1000, POSITION (0, 1), false);
  first = registry.upstreams->id;
  registry.upstreams->load.running = 3;
  CU_ASSERT_EQUAL (put (&registry, "a", 1000, POSITION (0, 2), false), 0);
  CU_ASSERT_EQUAL (registry.upstreams->id, first);
  CU_ASSERT_EQUAL (registry.upstreams->load.running, 3);
  CU_ASSERT_EQUAL (put (&registry, "a", 2000, POSITION (0, 3), false),
                   REGISTRY_CHANGED);
  CU_ASSERT_NOT_EQUAL (registry.upstreams->id, first);
  CU_ASSERT_EQUAL (registry.upstreams->load.running, 0);
  CU_ASSERT_EQUAL (removed_count, 1);
  CU_ASSERT_PTR_NULL (registry_find (&registry, first));
  CU_ASSERT_PTR_EQUAL (registry_find (&registry, registry.upstreams->id),
                       registry.upstreams);
  registry_finish (&registry);
}

/* The entry of an upstream is removed and added again while a prompt is queued
   for it: subtracting the lost count stops at 0. */
static void
test_queued_tokens_of_readded_entry (void)
{
  struct registry registry;

  registry_init (&registry);
  put (&registry, "a", 1000, POSITION (0, 5), false);
  registry_add_queued (registry.upstreams, 700, 700);
  CU_ASSERT_EQUAL (registry.upstreams->load.queued_tokens, 700);
  registry_mark_missing (&registry, "a", POSITION (0, 6), 0, 0);
  CU_ASSERT_PTR_NULL (registry.upstreams);
  put (&registry, "a", 1000, POSITION (0, 7), false);
  registry_add_queued (registry.upstreams, 300, 300);
  registry_remove_queued (registry.upstreams, 700, 700);
  CU_ASSERT_EQUAL (registry.upstreams->load.queued_tokens, 0);
  registry_finish (&registry);
}

static bool
is_copy (struct registry *registry, const char *identity,
         const struct store_position *position, bool draining)
{
  struct registry_record record
      = { .service_id = 5, .draining = draining, .position = *position };

  snprintf (record.identity, sizeof record.identity, "%s", identity);
  return registry_is_copy (registry, &record);
}

/* A restored store has the upstreams as they were: one that has left since, or
   reported draining, is not used again unless it registers anew. */
static void
test_restored_store (void)
{
  struct registry registry;

  registry_init (&registry);
  put (&registry, "drains", 0, POSITION (1, 500), true);
  put (&registry, "left", 0, POSITION (1, 400), false);
  put (&registry, "stays", 0, POSITION (1, 300), false);
  registry_mark_missing (&registry, "left", POSITION (1, 510), 0, 0);
  registry_listing_begin (&registry);
  CU_ASSERT_TRUE (is_copy (&registry, "drains", POSITION (2, 40), false));
  CU_ASSERT_TRUE (is_copy (&registry, "left", POSITION (2, 30), false));
  CU_ASSERT_FALSE (is_copy (&registry, "stays", POSITION (2, 20), false));
  CU_ASSERT_EQUAL (put (&registry, "stays", 0, POSITION (2, 20), false), 0);
  registry_listing_end (&registry, POSITION (2, 45), GRACE, 0);
  CU_ASSERT_EQUAL (HASH_COUNT (registry.upstreams), 2);
  CU_ASSERT_EQUAL (usable_count (&registry), 1);
  /* The same copy, listed again. */
  CU_ASSERT_TRUE (is_copy (&registry, "left", POSITION (2, 30), false));
  CU_ASSERT_TRUE (is_copy (&registry, "drains", POSITION (2, 40), false));
  /* Written by a live upstream, and by one that is still draining. */
  CU_ASSERT_FALSE (is_copy (&registry, "left", POSITION (2, 60), false));
  CU_ASSERT_FALSE (is_copy (&registry, "drains", POSITION (2, 61), true));
  CU_ASSERT_EQUAL (put (&registry, "left", 0, POSITION (2, 60), false),
                   REGISTRY_CHANGED);
  /* A change of the era before arrives late. */
  CU_ASSERT_EQUAL (put (&registry, "stays", 0, POSITION (1, 900), true),
                   ERR_STALE);
  CU_ASSERT_EQUAL (usable_count (&registry), 2);
  registry_finish (&registry);
}

/* What an upstream said of itself, against its registrations. */
static void
test_notices (void)
{
  struct registry registry;
  struct registry_record record = { .start_ms = 1000, .service_id = 5 };
  struct registry_upstream *upstream;
  uint64_t generation;

  snprintf (record.identity, sizeof record.identity, "u-1");
  record.position = *POSITION (0, 1);
  registry_init (&registry);
  CU_ASSERT_EQUAL (registry_put (&registry, &record), REGISTRY_CHANGED);
  upstream = registry.upstreams;
  generation = registry.generation;
  CU_ASSERT_TRUE (registry_set_leaving (&registry, upstream));
  CU_ASSERT_FALSE (registry_set_leaving (&registry, upstream));
  CU_ASSERT_EQUAL (registry.generation, generation + 1);
  record.position = *POSITION (0, 2);
  registry_put (&registry, &record);
  CU_ASSERT_FALSE (registry_usable (registry.upstreams, 5));
  registry_mark_missing (&registry, "u-1", POSITION (0, 3), 0, 1);
  CU_ASSERT_PTR_NULL (registry.upstreams);
  record.position = *POSITION (0, 4);
  registry_put (&registry, &record);
  CU_ASSERT_FALSE (registry_usable (registry.upstreams, 5));
  record.start_ms = 2000;
  record.position = *POSITION (0, 5);
  registry_put (&registry, &record);
  upstream = registry.upstreams;
  CU_ASSERT_TRUE (registry_usable (upstream, 5));
  /* A pause is extended, not shortened. */
  CU_ASSERT_TRUE (registry_pause (upstream, 4000, 10000));
  CU_ASSERT_FALSE (registry_pause (upstream, 1000, 10100));
  CU_ASSERT_TRUE (registry_paused (upstream, 13999));
  CU_ASSERT_FALSE (registry_pause (upstream, 4000, 10200));
  CU_ASSERT_EQUAL (registry_pause_left_ns (&registry, 5, 14000), 200);
  CU_ASSERT_EQUAL (registry_pause_left_ns (&registry, 6, 14000), 0);
  CU_ASSERT_FALSE (registry_paused (upstream, 14200));
  CU_ASSERT_EQUAL (registry_pause_left_ns (&registry, 5, 14200), 0);
  registry_finish (&registry);
}

static const struct suite_test tests[] = {
  { "an upstream's own word", test_notices },
  { "restored store", test_restored_store },
  { "draining and removed upstreams", test_draining_and_removal },
  { "grace period for entries lost in an outage", test_outage_grace_period },
  { "missing entries without a grace period", test_no_grace_period },
  { "new incarnation of an identity", test_new_incarnation },
  { "queued tokens of an entry that was added again",
    test_queued_tokens_of_readded_entry },
};

SUITE_MAIN ("test_registry", tests)
