/**
 * @file test_subscription.c
 * A gateway whose role changes while its links stay.
 */
#include "../platform/store.h"
#include "gateway/discovery.h"
#include "gateway/gateway_peers.h"
#include "support/gatefixture.h"
#include "support/suite.h"
#include <stdio.h>
#include <string.h>

#define OTHERS           14 /* enough that not every gateway is a hub */
#define SMALL_CPU        100
#define LARGE_CPU        4000
#define UNREACHABLE_PORT 9 /* nothing listens there */

/** A gateway that becomes a subscriber, and one that stays a hub. */
struct pair
{
  struct gatefixture fixture; /* without its own gateway */
  struct gateway subscriber;
  struct gateway hub;
};

static struct pair pair;

static void
start_gateway (struct gateway *gateway, const char *instance,
               uint32_t cpu_permille)
{
  struct gateway_settings settings = pair.fixture.gateway.settings;
  char address[32];

  snprintf (settings.instance, sizeof settings.instance, "%s", instance);
  settings.cpu_permille = cpu_permille;
  snprintf (address, sizeof address, "127.0.0.1:%u", pair.fixture.store.port);
  CU_ASSERT_EQUAL_FATAL (
      gateway_init (gateway, &settings, pair.fixture.gateway.adapter,
                    pair.fixture.base, store_new (pair.fixture.base, address)),
      0);
}

/* The peers' tie-break keeps the link that the lower identifier dialed, and
   the subscriber is to keep the one that it dialed. */
static void
start_pair (void)
{
  bool a_is_lower = catalog_id ("gate-a") < catalog_id ("gate-b");

  memset (&pair, 0, sizeof pair);
  gatefixture_init (&pair.fixture, true);
  gateway_finish (&pair.fixture.gateway);
  storeserver_put (&pair.fixture.store, "cherrylanding/za/gate-1", NULL);
  start_gateway (&pair.subscriber, a_is_lower ? "gate-a" : "gate-b",
                 SMALL_CPU);
  start_gateway (&pair.hub, a_is_lower ? "gate-b" : "gate-a", LARGE_CPU);
}

static void
finish_pair (void)
{
  gateway_finish (&pair.subscriber);
  gateway_finish (&pair.hub);
  gatefixture_finish_servers (&pair.fixture);
}

static bool
linked (const struct gatefixture *fixture)
{
  (void)fixture;
  return gateway_ready (&pair.subscriber) && gateway_ready (&pair.hub)
         && gateway_peers_linked_count (&pair.subscriber) == 1
         && gateway_peers_linked_count (&pair.hub) == 1;
}

static bool
roles_changed (const struct gatefixture *fixture)
{
  (void)fixture;
  return pair.subscriber.upstream_watch.paused
         && !gateway_peers_is_hub (&pair.subscriber)
         && gateway_peers_is_hub (&pair.hub);
}

static bool
drain_known (const struct gatefixture *fixture)
{
  const struct registry_upstream *upstream;

  (void)fixture;
  for (upstream = pair.subscriber.registry.upstreams; upstream != NULL;
       upstream = upstream->hh.next)
    if (upstream->record.draining)
      return true;
  return false;
}

/* Registers gateways that do not run: another zone's, and a second hub for the
   zone of the pair. */
static void
register_others (void)
{
  char key[64];
  char value[64];
  int i;

  for (i = 0; i < OTHERS; i++)
    {
      snprintf (key, sizeof key, "cherrylanding/other-%d", i);
      snprintf (value, sizeof value, "127.0.0.1:%d %s %d", UNREACHABLE_PORT,
                i == 0 ? "za" : "zb", LARGE_CPU / 2);
      storeserver_put (&pair.fixture.store, key, value);
    }
}

static void
change_roles (void)
{
  uint64_t lost;

  start_pair ();
  CU_ASSERT_TRUE (gatefixture_run_until (&pair.fixture, linked));
  gatefixture_run (&pair.fixture, 300);
  lost = pair.subscriber.counters.links_lost;
  register_others ();
  CU_ASSERT_TRUE (gatefixture_run_until (&pair.fixture, roles_changed));
  CU_ASSERT_EQUAL (pair.subscriber.counters.links_lost, lost);
}

/* A gateway that stops being a hub subscribes on the links that it has. */
static void
test_news_after_role_change (void)
{
  change_roles ();
  gatefixture_register_upstream (&pair.fixture, 0, "draining");
  CU_ASSERT_TRUE (gatefixture_run_until (&pair.fixture, drain_known));
  finish_pair ();
}

static bool
store_listed (const struct gatefixture *fixture)
{
  (void)fixture;
  return pair.subscriber.upstream_watch.phase == STORE_WATCH_WATCHING;
}

/* A gateway that has watched the store itself for a short time has seen
   neither what its hub told meanwhile nor what its next call would have. */
static void
test_news_while_watching_store (void)
{
  change_roles ();
  /* Ends the call of the time when it was a hub. */
  gatefixture_register_upstream (&pair.fixture, 1, "ready");
  gatefixture_run (&pair.fixture, 100);
  discovery_watch (&pair.subscriber);
  CU_ASSERT_TRUE (gatefixture_run_until (&pair.fixture, store_listed));
  CU_ASSERT_FALSE (pair.subscriber.upstream_watch.paused);
  gatefixture_register_upstream (&pair.fixture, 0, "draining");
  CU_ASSERT_TRUE (gatefixture_run_until (&pair.fixture, drain_known));
  finish_pair ();
}

static const struct suite_test tests[] = {
  { "news of a draining upstream after a change of roles",
    test_news_after_role_change },
  { "news of a draining upstream while watching the store",
    test_news_while_watching_store },
};

SUITE_MAIN ("test_subscription", tests)
