/**
 * @file test_gateways.c
 * A fleet too large for a full mesh, on one event loop with a store server:
 * hubs watch the store for the others, load is counted exactly once, and the
 * fleet works on when hubs are lost.
 */
#include "../platform/adapter.h"
#include "../platform/store.h"
#include "gateway/discovery.h"
#include "gateway/gateway_peers.h"
#include "support/storeserver.h"
#include "support/suite.h"
#include "transport/loop.h"
#include <stdio.h>
#include <string.h>

#define GATEWAYS 16
#define ZONES    2
#define LOAD     5 /* requests of gateway 0 in progress at an upstream */

struct gateway_fleet
{
  struct event_base *base;
  struct storeserver store;
  struct gateway gateways[GATEWAYS];
  bool started[GATEWAYS];
  unsigned int config_version;
  unsigned int upstream_count;
};

static void
write_upstream (struct gateway_fleet *fleet, unsigned int index,
                const char *state)
{
  char key[32];
  char value[256];

  snprintf (key, sizeof key, "servers/u-%u", index);
  snprintf (value, sizeof value,
            "{\"service\":\"s\",\"address\":\"127.0.0.1:%u\",\"zone\":\"z0\","
            "\"version\":\"v\",\"slots\":8,\"state\":\"%s\","
            "\"cold_remaining_ms\":0,\"sequence\":1}",
            9000 + index, state);
  storeserver_put (&fleet->store, key, value);
}

static void
put_upstream (struct gateway_fleet *fleet, unsigned int index)
{
  write_upstream (fleet, index, "ready");
  fleet->upstream_count++;
}

static void
write_config (struct gateway_fleet *fleet)
{
  char value[512];

  snprintf (value, sizeof value,
            "{\"version\":%u,\"limits\":{},\"routes\":[],\"services\":["
            "{\"name\":\"s\",\"health_path\":\"/h\"}],\"tenants\":[]}",
            fleet->config_version);
  storeserver_put (&fleet->store, "op/config", value);
}

static void
put_config (struct gateway_fleet *fleet)
{
  fleet->config_version++;
  write_config (fleet);
}

static void
start_gateway (struct gateway_fleet *fleet, unsigned int index, bool bootstrap)
{
  struct gateway_settings settings = {
    .client_address = "127.0.0.1:0",
    .probe_address = "127.0.0.1:0",
    .peer_address = "127.0.0.1:0",
    .bootstrap = bootstrap,
    .connections_max = 100,
    .cpu_permille = 120,
    .memory_mb = 100,
    .grace_ms = 8000,
    .upstream_leave_ms = 2000,
    .contact_ms = 3000,
    .config_apply_ms = 2000,
    .lease_min_ms = 1000,
    .retry_window_ms = 10000,
    .share_window_ms = 4000,
    .reread_window_ms = 10000,
  };
  char address[32];

  snprintf (settings.instance, sizeof settings.instance, "g-%u", index);
  snprintf (settings.availability_zone, sizeof settings.availability_zone,
            "z%u", index % ZONES);
  snprintf (address, sizeof address, "127.0.0.1:%u", fleet->store.port);
  CU_ASSERT_EQUAL_FATAL (gateway_init (&fleet->gateways[index], &settings,
                                       &platform_adapter, fleet->base,
                                       store_new (fleet->base, address)),
                         0);
  fleet->started[index] = true;
}

static void
on_limit (evutil_socket_t fd, short what, void *user)
{
  (void)fd;
  (void)what;
  *(bool *)user = true;
}

static bool
run_until (struct gateway_fleet *fleet, uint32_t limit_ms,
           bool (*done) (const struct gateway_fleet *fleet))
{
  const struct timeval limit = clock_timeval (limit_ms);
  bool late = false;
  struct event *timer = event_new (fleet->base, -1, 0, on_limit, &late);

  event_add (timer, &limit);
  while (!done (fleet) && !late)
    event_base_loop (fleet->base, EVLOOP_ONCE);
  event_free (timer);
  return done (fleet);
}

static bool
never (const struct gateway_fleet *fleet)
{
  (void)fleet;
  return false;
}

static unsigned int
watchers (const struct gateway_fleet *fleet)
{
  unsigned int count = 0;
  unsigned int i;

  for (i = 0; i < GATEWAYS; i++)
    count += fleet->started[i] && !fleet->gateways[i].upstream_watch.paused;
  return count;
}

/* Whether every gateway has the current configuration and all upstreams. */
static bool
all_current (const struct gateway_fleet *fleet)
{
  unsigned int i;

  for (i = 0; i < GATEWAYS; i++)
    if (fleet->started[i]
        && (!gateway_ready (&fleet->gateways[i])
            || strtoull (fleet->gateways[i].routing->version, NULL, 10)
                   != fleet->config_version
            || HASH_COUNT (fleet->gateways[i].registry.upstreams)
                   != fleet->upstream_count))
      return false;
  return true;
}

static bool
settled (const struct gateway_fleet *fleet)
{
  unsigned int hubs = 0;
  unsigned int i;

  for (i = 0; i < GATEWAYS; i++)
    {
      if (!fleet->started[i])
        continue;
      hubs += gateway_peers_is_hub (&fleet->gateways[i]);
      if (gateway_peers_linked_count (&fleet->gateways[i]) == 0)
        return false;
    }
  return all_current (fleet) && hubs == ZONES * 2 && watchers (fleet) == hubs;
}

/* Whether all gateways but gateway 0 count its requests, each once. */
static bool
load_counted_once (const struct gateway_fleet *fleet)
{
  unsigned int i;

  for (i = 1; i < GATEWAYS; i++)
    if (fleet->started[i]
        && fleet->gateways[i].registry.upstreams->load.peer_running != LOAD)
      return false;
  return fleet->gateways[0].registry.upstreams->load.peer_running == 0;
}

static void
fleet_init (struct gateway_fleet *fleet)
{
  unsigned int i;

  memset (fleet, 0, sizeof *fleet);
  fleet->base = loop_new ();
  storeserver_init (&fleet->store, fleet->base);
  put_upstream (fleet, 0);
  put_config (fleet);
  for (i = 0; i < GATEWAYS; i++)
    start_gateway (fleet, i, true);
}

static void
fleet_finish (struct gateway_fleet *fleet)
{
  unsigned int i;

  for (i = 0; i < GATEWAYS; i++)
    if (fleet->started[i])
      gateway_finish (&fleet->gateways[i]);
  storeserver_finish (&fleet->store);
  event_base_loop (fleet->base, EVLOOP_NONBLOCK);
  event_base_free (fleet->base);
}

/* Key of a gateway's own entry in the store. */
static void
entry_key (unsigned int index, char *key, size_t size)
{
  snprintf (key, size, "cherrylanding/z%u/g-%u", index % ZONES, index);
}

static void
test_fleet_with_hubs (void)
{
  static struct gateway_fleet fleet;
  unsigned int calls_before;
  unsigned int lost_hubs = 0;
  unsigned int i;

  fleet_init (&fleet);
  CU_ASSERT_TRUE (run_until (&fleet, 10000, settled));
  /* Changes in the store reach all 16 gateways; only 4 of them watch it. */
  calls_before = fleet.store.list_calls + fleet.store.watch_calls;
  put_upstream (&fleet, 1);
  put_config (&fleet);
  CU_ASSERT_TRUE (run_until (&fleet, 3000, all_current));
  run_until (&fleet, 500, never);
  CU_ASSERT_TRUE (fleet.store.list_calls + fleet.store.watch_calls
                      - calls_before
                  <= 4 * 3 * 3); /* hubs, watches of each, calls of each */
  /* Load is counted once, by whatever route it is reported. */
  fleet.gateways[0].registry.upstreams->load.running = LOAD;
  CU_ASSERT_TRUE (run_until (&fleet, 3000, load_counted_once));
  for (i = 0; i < 20; i++)
    {
      run_until (&fleet, 37, never);
      CU_ASSERT_TRUE (load_counted_once (&fleet));
    }
  /* One hub of each zone is lost; the others use the second one. */
  for (i = 1; i < GATEWAYS && lost_hubs < ZONES; i++)
    if (gateway_peers_is_hub (&fleet.gateways[i]) && i % ZONES == lost_hubs)
      {
        gateway_finish (&fleet.gateways[i]);
        fleet.started[i] = false;
        lost_hubs++;
      }
  CU_ASSERT_EQUAL (lost_hubs, ZONES);
  put_upstream (&fleet, 2);
  put_config (&fleet);
  CU_ASSERT_TRUE (run_until (&fleet, 4000, all_current));
  CU_ASSERT_TRUE (run_until (&fleet, 4000, load_counted_once));
  fleet_finish (&fleet);
}

static bool
all_hubs (const struct gateway_fleet *fleet)
{
  unsigned int i;

  for (i = 0; i < GATEWAYS; i++)
    if (fleet->started[i]
        && (!gateway_peers_is_hub (&fleet->gateways[i])
            || gateway_peers_fleet_size (&fleet->gateways[i])
                   != GATEWAYS - 2 * ZONES))
      return false;
  return all_current (fleet);
}

/* When all hubs are lost at once, the other gateways watch the store. */
static void
test_loss_of_all_hubs (void)
{
  static struct gateway_fleet fleet;
  char key[64];
  unsigned int i;

  fleet_init (&fleet);
  CU_ASSERT_TRUE (run_until (&fleet, 10000, settled));
  for (i = 0; i < GATEWAYS; i++)
    if (gateway_peers_is_hub (&fleet.gateways[i]))
      {
        gateway_finish (&fleet.gateways[i]);
        fleet.started[i] = false;
      }
  put_upstream (&fleet, 1);
  put_config (&fleet);
  CU_ASSERT_TRUE (run_until (&fleet, 4000, all_current));
  /* The leases of the lost ones end: the others, few enough now, are all hubs.
   */
  for (i = 0; i < GATEWAYS; i++)
    if (!fleet.started[i])
      {
        entry_key (i, key, sizeof key);
        storeserver_put (&fleet.store, key, NULL);
      }
  CU_ASSERT_TRUE (run_until (&fleet, 5000, all_hubs));
  fleet_finish (&fleet);
}

/* All gateways stop and start again while the store still has their
   earlier registrations.  Guards against a hub that sends an empty snapshot
   before it has read the store; all gateways must be ready soon. */
static void
test_restart_of_fleet (void)
{
  static struct gateway_fleet fleet;
  unsigned int i;

  fleet_init (&fleet);
  for (i = 1; i < 40; i++)
    put_upstream (&fleet, i);
  CU_ASSERT_TRUE (run_until (&fleet, 10000, settled));
  for (i = 0; i < GATEWAYS; i++)
    {
      gateway_finish (&fleet.gateways[i]);
      fleet.started[i] = false;
    }
  run_until (&fleet, 300, never);
  for (i = 0; i < GATEWAYS; i++)
    start_gateway (&fleet, i, false);
  CU_ASSERT_TRUE (run_until (&fleet, 2500, all_current));
  CU_ASSERT_TRUE (run_until (&fleet, 5000, settled));
  fleet_finish (&fleet);
}

static unsigned int
hub_count (const struct gateway_fleet *fleet)
{
  unsigned int count = 0;
  unsigned int i;

  for (i = 0; i < GATEWAYS; i++)
    count += fleet->started[i] && gateway_peers_is_hub (&fleet->gateways[i]);
  return count;
}

/* Upstreams that a gateway may send requests to. */
static unsigned int
usable_at (const struct gateway_fleet *fleet, unsigned int index)
{
  const struct registry_upstream *upstream;
  unsigned int count = 0;

  for (upstream = fleet->gateways[index].registry.upstreams; upstream != NULL;
       upstream = upstream->hh.next)
    count += registry_usable (upstream, catalog_id ("s"));
  return count;
}

/* Upstreams that every gateway may send requests to. */
static unsigned int
usable_everywhere (const struct gateway_fleet *fleet)
{
  unsigned int lowest = UINT32_MAX;
  unsigned int count;
  unsigned int i;

  for (i = 0; i < GATEWAYS; i++)
    {
      count = usable_at (fleet, i);
      lowest = count < lowest ? count : lowest;
    }
  return lowest;
}

static bool
all_entries_written (const struct gateway_fleet *fleet)
{
  char key[64];
  unsigned int i;

  for (i = 0; i < GATEWAYS; i++)
    {
      entry_key (i, key, sizeof key);
      if (storeserver_get (&fleet->store, key) == NULL)
        return false;
    }
  return true;
}

static bool
new_upstream_known (const struct gateway_fleet *fleet)
{
  return usable_everywhere (fleet) == 3;
}

/* Whether no gateway sends requests to upstream 0, and all to another one. */
static bool
only_leaving_unused (const struct gateway_fleet *fleet)
{
  return usable_everywhere (fleet) == 1;
}

/* The store comes back from a copy: what was written since is gone, with all
   leases, and its revisions are assigned again.  What the gateways know stays
   in use, a configuration does not go back, an upstream that reported draining
   is not used again, and what is written anew counts though its revision is
   lower than what was read before. */
static void
test_restored_store (void)
{
  static struct gateway_fleet fleet;
  const struct timeval slice = { 0, 50000 };
  unsigned int slices;
  unsigned int i;

  fleet_init (&fleet);
  CU_ASSERT_TRUE (run_until (&fleet, 10000, settled));
  storeserver_save (&fleet.store);
  put_upstream (&fleet, 1);
  write_upstream (&fleet, 0, "draining");
  put_config (&fleet);
  for (i = 0; i < 100; i++)
    write_upstream (&fleet, 1, "ready");
  CU_ASSERT_TRUE (run_until (&fleet, 3000, only_leaving_unused));
  CU_ASSERT_TRUE (run_until (&fleet, 3000, all_current));
  storeserver_restore (&fleet.store);
  for (slices = 0; slices < 20; slices++)
    {
      event_base_loopexit (fleet.base, &slice);
      event_base_dispatch (fleet.base);
      CU_ASSERT_TRUE (all_current (&fleet));
      CU_ASSERT_EQUAL (usable_everywhere (&fleet), 1);
      CU_ASSERT_EQUAL (hub_count (&fleet), ZONES * 2);
    }
  /* Operator and upstreams write again what they had written. */
  write_config (&fleet);
  write_upstream (&fleet, 0, "draining");
  write_upstream (&fleet, 1, "ready");
  put_upstream (&fleet, 2);
  put_upstream (&fleet, 3);
  CU_ASSERT_TRUE (run_until (&fleet, 2000, new_upstream_known));
  CU_ASSERT_TRUE (all_current (&fleet));
  write_upstream (&fleet, 1, "draining");
  write_upstream (&fleet, 3, "draining");
  CU_ASSERT_TRUE (run_until (&fleet, 2000, only_leaving_unused));
  CU_ASSERT_TRUE (run_until (&fleet, 5000, all_entries_written));
  CU_ASSERT_TRUE (run_until (&fleet, 5000, settled));
  fleet_finish (&fleet);
}

/* Whether all gateways have the configuration, and none sends requests to the
   upstream that leaves. */
static bool
changes_in_force (const struct gateway_fleet *fleet)
{
  unsigned int i;

  for (i = 0; i < GATEWAYS; i++)
    if (usable_at (fleet, i) != 1)
      return false;
  return all_current (fleet);
}

/* An upstream leaves and the configuration changes in a silence of the store
   that is over before any call has timed out: the responses are lost, and
   nothing else will come on those connections.  Guards against watches that
   wait for them: both are in force 3 s after the silence. */
static void
test_responses_lost_in_silence (void)
{
  static struct gateway_fleet fleet;

  fleet_init (&fleet);
  put_upstream (&fleet, 1);
  CU_ASSERT_TRUE (run_until (&fleet, 10000, settled));
  run_until (&fleet, 1200, never);
  fleet.store.silent = true;
  write_upstream (&fleet, 0, "draining");
  put_config (&fleet);
  run_until (&fleet, 600, never);
  fleet.store.silent = false;
  CU_ASSERT_FALSE (changes_in_force (&fleet));
  CU_ASSERT_TRUE (run_until (&fleet, 3000, changes_in_force));
  fleet_finish (&fleet);
}

static const struct suite_test tests[] = {
  { "store restored from a copy", test_restored_store },
  { "restart of the whole fleet", test_restart_of_fleet },
  { "a fleet with hubs", test_fleet_with_hubs },
  { "loss of all hubs", test_loss_of_all_hubs },
  { "responses lost in a silence", test_responses_lost_in_silence },
};

SUITE_MAIN ("test_gateways", tests)
