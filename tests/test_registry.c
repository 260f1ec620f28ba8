/**
 * @file test_registry.c
 * Upstreams that come, leave, vanish in an outage and start again.
 */
#include "state/err.h"
#include "state/registry.h"
#include "support/suite.h"
#include <stdio.h>

#define MS    1000000ULL /* nanoseconds */
#define GRACE (1200 * MS)

static uint64_t removed_count;

static void
on_removed (void *user, const struct roster_upstream *upstream)
{
  (void)user;
  (void)upstream;
  removed_count++;
}

static int
put (struct roster *roster, const char *identity, uint64_t born_ms,
     uint64_t revision, bool draining)
{
  struct roster_record record = { .born_ms = born_ms,
                                  .service_id = 5,
                                  .slots = 4,
                                  .draining = draining,
                                  .revision = revision };

  snprintf (record.identity, sizeof record.identity, "%s", identity);
  snprintf (record.address, sizeof record.address, "10.0.0.1:80");
  return roster_put (roster, &record);
}

static unsigned int
usable (const struct roster *roster)
{
  const struct roster_upstream *upstream;
  unsigned int count = 0;

  for (upstream = roster->upstreams; upstream != NULL;
       upstream = upstream->hh.next)
    if (roster_usable (upstream, 5))
      count++;
  return count;
}

static void
test_leaving (void)
{
  struct roster roster;

  roster_init (&roster);
  put (&roster, "a", 0, 1, false);
  put (&roster, "b", 0, 2, false);
  CU_ASSERT_EQUAL (usable (&roster), 2);
  put (&roster, "a", 0, 3, true);
  CU_ASSERT_EQUAL (usable (&roster), 1);
  /* What it said before does not bring it back. */
  CU_ASSERT_EQUAL (put (&roster, "a", 0, 1, false), ERR_STALE);
  CU_ASSERT_EQUAL (usable (&roster), 1);
  roster_drop (&roster, "b", 4, 0, 0);
  CU_ASSERT_EQUAL (usable (&roster), 0);
  roster_finish (&roster);
}

/* An entry lost in an outage of the store is used a while; one that was
   draining is not, nor one that does not come back. */
static void
test_outage_grace (void)
{
  struct roster roster;

  roster_init (&roster);
  put (&roster, "stays", 0, 1, false);
  put (&roster, "lapsed", 0, 2, false);
  put (&roster, "dead", 0, 3, false);
  put (&roster, "leaving", 0, 4, true);
  roster_listing_begin (&roster);
  put (&roster, "stays", 0, 1, false);
  roster_listing_end (&roster, 9, GRACE, 100 * MS);
  CU_ASSERT_EQUAL (usable (&roster), 3);
  CU_ASSERT_EQUAL (HASH_COUNT (roster.upstreams), 3);
  put (&roster, "lapsed", 0, 10, false);
  roster_age (&roster, 100 * MS + GRACE - 1);
  CU_ASSERT_EQUAL (usable (&roster), 3);
  roster_age (&roster, 100 * MS + GRACE);
  CU_ASSERT_EQUAL (usable (&roster), 2);
  roster_age (&roster, 900000 * MS);
  CU_ASSERT_EQUAL (usable (&roster), 2);
  roster_finish (&roster);
}

/* Without an outage what the store lacks is gone at once. */
static void
test_no_grace (void)
{
  struct roster roster;

  roster_init (&roster);
  put (&roster, "a", 0, 1, false);
  put (&roster, "new", 0, 12, false);
  roster_listing_begin (&roster);
  /* The listing is older than this entry. */
  roster_listing_end (&roster, 9, 0, 100 * MS);
  CU_ASSERT_EQUAL (usable (&roster), 1);
  roster_finish (&roster);
}

/* The same identity born anew holds and knows nothing of before. */
static void
test_new_life (void)
{
  struct roster roster;
  uint64_t first;

  roster_init (&roster);
  roster.removed = on_removed;
  removed_count = 0;
  put (&roster, "a", 1000, 1, false);
  first = roster.upstreams->id;
  roster.upstreams->load.running = 3;
  CU_ASSERT_EQUAL (put (&roster, "a", 1000, 2, false), 0);
  CU_ASSERT_EQUAL (roster.upstreams->id, first);
  CU_ASSERT_EQUAL (roster.upstreams->load.running, 3);
  CU_ASSERT_EQUAL (put (&roster, "a", 2000, 3, false), ROSTER_CHANGED);
  CU_ASSERT_NOT_EQUAL (roster.upstreams->id, first);
  CU_ASSERT_EQUAL (roster.upstreams->load.running, 0);
  CU_ASSERT_EQUAL (removed_count, 1);
  CU_ASSERT_PTR_NULL (roster_find (&roster, first));
  CU_ASSERT_PTR_EQUAL (roster_find (&roster, roster.upstreams->id),
                       roster.upstreams);
  roster_finish (&roster);
}

/* A prompt waits for an upstream whose entry goes and comes back meanwhile. */
static void
test_wanted_across_a_gap (void)
{
  struct roster roster;

  roster_init (&roster);
  put (&roster, "a", 1000, 5, false);
  roster_want (roster.upstreams, 700);
  CU_ASSERT_EQUAL (roster.upstreams->load.wanted_tokens, 700);
  roster_drop (&roster, "a", 6, 0, 0);
  CU_ASSERT_PTR_NULL (roster.upstreams);
  put (&roster, "a", 1000, 7, false);
  roster_want (roster.upstreams, 300);
  roster_unwant (roster.upstreams, 700);
  CU_ASSERT_EQUAL (roster.upstreams->load.wanted_tokens, 0);
  roster_finish (&roster);
}

static const struct suite_test tests[] = {
  { "upstreams that leave", test_leaving },
  { "entries lost in an outage", test_outage_grace },
  { "entries lost without one", test_no_grace },
  { "a new life under an old identity", test_new_life },
  { "what waits for an upstream that went and came back",
    test_wanted_across_a_gap },
};

SUITE_MAIN ("test_roster", tests)
