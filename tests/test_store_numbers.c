/**
 * @file test_store_numbers.c
 * End-to-end tests of gateways before a store whose revisions and eras have
 * any size, or cannot be read.
 */
#include "support/gatefixture.h"
#include "support/gatefleet.h"
#include "support/logpipe.h"
#include "support/storeseed.h"
#include "support/suite.h"
#include <stdio.h>
#include <string.h>

#define COUNT(array) (sizeof (array) / sizeof ((array)[0]))
#define UPSTREAMS    2
#define IN_FORCE_MS  2000 /* config_apply_ms of the fixture */
#define OUTAGE_MS    1500

/** Where the numbers of a store begin. */
struct start
{
  const char *name;
  uint64_t revision;
  const char *revision_lead;
  uint64_t era;
  const char *era_lead;
  uint64_t restored_era; /* 0: the one after `era` */
};

static const struct start revisions[] = {
  { .name = "passes 2^40", .revision = (UINT64_C (1) << 40) - 8 },
  { .name = "time in ms", .revision = 1765000000000 },
  { .name = "passes 2^53", .revision = (UINT64_C (1) << 53) - 8 },
  { .name = "2^62", .revision = UINT64_C (1) << 62 },
  { .name = "passes 2^63", .revision = (UINT64_C (1) << 63) - 8 },
  { .name = "64 bits", .revision = UINT64_MAX - 100 },
  { .name = "another digit", .revision = 9999999999999992 },
  { .name = "40 digits", .revision_lead = "202612080129251234567" },
};

static const struct start eras[] = {
  { .name = "era 2^24", .revision = 10, .era = (1 << 24) - 1 },
  { .name = "era 20000000", .revision = 10, .era = 20000000 },
  { .name = "era of 64 bits", .revision = 10, .era = UINT64_MAX - 1 },
  { .name = "era of 30 digits", .revision = 10, .era_lead = "20261208012" },
};

static const struct start both[] = {
  { .name = "2^62, era 2^62",
    .revision = UINT64_C (1) << 62,
    .era = UINT64_C (1) << 62 },
  { .name = "passes 2^40, era 20000000",
    .revision = (UINT64_C (1) << 40) - 30,
    .era = 20000000 },
  /* Packed into 64 bits, the second era is below the first. */
  { .name = "no era, then a time in seconds",
    .revision = 10,
    .restored_era = 1765000000 + (1 << 23) },
  { .name = "40 and 30 digits",
    .revision_lead = "202612080129251234567",
    .era_lead = "20261208012" },
};

static void
set_numbers (struct gatefleet *fleet, const struct start *start)
{
  unsigned int i;

  fleet->store.revision = fleet->store.oldest_revision = start->revision;
  fleet->store.revision_lead = start->revision_lead;
  fleet->store.era = start->era;
  fleet->store.era_lead = start->era_lead;
  for (i = 0; i < fleet->upstream_count; i++)
    gatefleet_register (fleet, i);
  storeseed_configure (&fleet->store, 1, "\"key-1\"", "s2");
}

/* Whether a gateway has the version, and knows the newest incarnations of all
   upstreams and no others. */
static bool
is_current (const struct gatefleet *fleet, unsigned int index,
            const char *version)
{
  const struct gateway *gateway = &fleet->gateways[index];
  const struct registry_upstream *upstream;
  unsigned int known = 0;
  unsigned int i;

  for (upstream = gateway->registry.upstreams; upstream != NULL;
       upstream = upstream->hh.next)
    for (i = 0; i < fleet->upstream_count; i++)
      known += strcmp (upstream->record.identity, fleet->upstreams[i].identity)
               == 0;
  return gateway_ready (gateway)
         && strcmp (gateway->routing->version, version) == 0
         && known == fleet->upstream_count
         && HASH_COUNT (gateway->registry.upstreams) == fleet->upstream_count;
}

static unsigned int
count_current (const struct gatefleet *fleet, const char *version)
{
  unsigned int count = 0;
  unsigned int i;

  for (i = 0; i < fleet->gateway_count; i++)
    count += is_current (fleet, i, version);
  return count;
}

/* The operator writes a version and an upstream is replaced by another one:
   all gateways know it in time. */
static void
change (struct gatefleet *fleet, unsigned int version)
{
  char text[16];
  unsigned int rounds;

  snprintf (text, sizeof text, "%u", version);
  storeseed_configure (&fleet->store, version, "\"key-2\"", "s2");
  gatefleet_renew (fleet, 0);
  for (rounds = 0; rounds < IN_FORCE_MS / 20
                   && count_current (fleet, text) < fleet->gateway_count;
       rounds++)
    gatefleet_run (fleet, 20);
  CU_ASSERT_EQUAL (count_current (fleet, text), fleet->gateway_count);
}

static uint64_t
links_lost (const struct gatefleet *fleet)
{
  uint64_t count = 0;
  unsigned int i;

  for (i = 0; i < fleet->gateway_count; i++)
    count += fleet->gateways[i].counters.links_lost;
  return count;
}

static void
check_counters (const struct gatefleet *fleet)
{
  unsigned int i;

  for (i = 0; i < fleet->gateway_count; i++)
    {
      CU_ASSERT_EQUAL (fleet->gateways[i].store->counters.unreadable, 0);
      CU_ASSERT_EQUAL (fleet->gateways[i].store->counters.rejected, 0);
    }
}

static void
play (const struct start *start, unsigned int gateways, bool restore)
{
  static struct gatefleet fleet;
  uint64_t lost;

  puts (start->name);
  gatefleet_init_upstreams (&fleet, UPSTREAMS);
  set_numbers (&fleet, start);
  gatefleet_start (&fleet, gateways);
  /* Two that dial each other at the start keep one link. */
  lost = links_lost (&fleet);
  change (&fleet, 2);
  change (&fleet, 3);
  if (restore)
    {
      storeserver_save (&fleet.store);
      change (&fleet, 4);
      storeserver_restore (&fleet.store);
      if (start->restored_era != 0)
        fleet.store.era = start->restored_era;
      gatefleet_run (&fleet, OUTAGE_MS);
      CU_ASSERT_EQUAL (count_current (&fleet, "4"), gateways);
      gatefleet_register (&fleet, 0);
      change (&fleet, 5);
    }
  check_counters (&fleet);
  CU_ASSERT_EQUAL (links_lost (&fleet), lost);
  gatefleet_finish (&fleet);
}

/* Guards against gateways that are never ready, or take nothing more from the
   store, as a revision does not fit the number that is kept of it. */
static void
test_revisions (void)
{
  size_t i;

  for (i = 0; i < COUNT (revisions); i++)
    play (&revisions[i], 3, false);
}

/* The same for an era. */
static void
test_eras (void)
{
  size_t i;

  for (i = 0; i < COUNT (eras); i++)
    play (&eras[i], 3, true);
}

static void
test_both (void)
{
  size_t i;

  for (i = 0; i < COUNT (both); i++)
    play (&both[i], 3, true);
}

/* Guards against hubs that forward less of a position than they have read:
   most gateways know the store from them alone. */
static void
test_hubs_forward (void)
{
  size_t i;

  for (i = 0; i < COUNT (both); i++)
    play (&both[i], GATEFLEET_GATEWAYS_MAX, true);
}

/* What cannot be read, and the field and value that the log names. */
struct unreadable
{
  const char *odd_revision;
  const char *odd_era;
  const char *logged;
};

static const struct unreadable unreadables[] = {
  { .odd_revision = "-5", .logged = "field=at value=-5" },
  { .odd_revision = "7.5", .logged = "field=at value=7.5" },
  { .odd_revision = "[12]", .logged = "field=at value=[12]" },
  { .odd_revision = "null", .logged = "field=at value=null" },
  { .odd_revision = "1000000000000000000000000000000000000000000000000000000"
                    "00000000000",
    .logged = "field=at value=100000000000000" },
  { .odd_era = "era-5", .logged = "field=Store-Era value=era-5" },
  { .odd_era = "-1", .logged = "field=Store-Era value=-1" },
};

/* Guards against a malformed response that is reported as an outage.  Its
   field and value are logged, and retries back off as in an outage. */
static void
test_unreadable (void)
{
  struct gatefixture fixture;
  struct logpipe logpipe;
  uint64_t before;
  uint64_t unreadable;
  unsigned int calls;
  size_t i;

  for (i = 0; i < COUNT (unreadables); i++)
    {
      gatefixture_init (&fixture, true);
      logpipe_init (&logpipe);
      before = fixture.gateway.store->counters.unreadable;
      calls = fixture.store.list_calls + fixture.store.watch_calls;
      fixture.store.odd_revision = unreadables[i].odd_revision;
      fixture.store.odd_era = unreadables[i].odd_era;
      gatefixture_configure (&fixture, 2, "\"key-2\"", "s2");
      gatefixture_run (&fixture, OUTAGE_MS);
      unreadable = fixture.gateway.store->counters.unreadable - before;
      calls = fixture.store.list_calls + fixture.store.watch_calls - calls;
      fixture.store.odd_revision = fixture.store.odd_era = NULL;
      CU_ASSERT_TRUE (unreadable >= 2);
      /* Three watches, each at least 50 ms apart and soon 400 ms. */
      CU_ASSERT_TRUE (calls <= 3 * 8);
      gatefixture_run (&fixture, 1000);
      CU_ASSERT_STRING_EQUAL (fixture.gateway.routing->version, "2");
      logpipe_finish (&logpipe);
      if (strstr (logpipe.text, unreadables[i].logged) == NULL)
        puts (logpipe.text);
      CU_ASSERT_PTR_NOT_NULL (strstr (logpipe.text, unreadables[i].logged));
      CU_ASSERT_PTR_NOT_NULL (
          strstr (logpipe.text, "response of the store cannot be read"));
      CU_ASSERT_PTR_NULL (strstr (logpipe.text, "store unavailable"));
      gatefixture_finish (&fixture);
    }
}

/* An item whose own revision cannot be read is rejected alone, and logged. */
static void
test_unreadable_item (void)
{
  struct gatefixture fixture;
  struct logpipe logpipe;

  gatefixture_init (&fixture, true);
  logpipe_init (&logpipe);
  storeserver_put_members (&fixture.store, "op/config",
                           "{\"revision\":\"soon\"}");
  gatefixture_configure (&fixture, 2, "\"key-2\"", "s2");
  storeserver_put_members (&fixture.store, "servers/odd", "{\"revision\":-3}");
  gatefixture_run (&fixture, 1000);
  logpipe_finish (&logpipe);
  CU_ASSERT_STRING_EQUAL (fixture.gateway.routing->version, "2");
  CU_ASSERT_TRUE (fixture.gateway.store->counters.rejected >= 1);
  CU_ASSERT_PTR_NOT_NULL (
      strstr (logpipe.text, "key=servers/odd revision=-3"));
  gatefixture_finish (&fixture);
}

static const struct suite_test tests[] = {
  { "revisions of any size", test_revisions },
  { "eras of any size", test_eras },
  { "revisions and eras of any size", test_both },
  { "hubs forward numbers of any size", test_hubs_forward },
  { "response that cannot be read", test_unreadable },
  { "item that cannot be read", test_unreadable_item },
};

SUITE_MAIN ("test_store_numbers", tests)
