/**
 * @file test_gateways.c
 * A fleet of gateways, larger than a mesh, on one loop with a stand-in store:
 * hubs follow the store for the others, load is counted once everywhere, and
 * the loss of hubs is borne.
 */
#include "../platform/adapter.h"
#include "../platform/store.h"
#include "gateway/discovery.h"
#include "gateway/gateway_peers.h"
#include "support/platstore.h"
#include "support/suite.h"
#include <stdio.h>
#include <string.h>

#define GATEWAYS 16
#define ZONES    2
#define BUSY     5 /* requests that one gateway has at an upstream */

struct fleet_stage
{
  struct event_base *base;
  struct platstore store;
  struct gateway gateways[GATEWAYS];
  bool up[GATEWAYS];
  unsigned int version;
  unsigned int upstreams;
};

static void
put_upstream (struct fleet_stage *stage, unsigned int number)
{
  char key[32];
  char value[256];

  snprintf (key, sizeof key, "servers/u-%u", number);
  snprintf (value, sizeof value,
            "{\"service\":\"s\",\"address\":\"127.0.0.1:%u\",\"zone\":\"z0\","
            "\"version\":\"v\",\"slots\":8,\"state\":\"ready\","
            "\"cold_remaining_ms\":0,\"sequence\":1}",
            9000 + number);
  platstore_put (&stage->store, key, value);
  stage->upstreams++;
}

static void
put_config (struct fleet_stage *stage)
{
  char value[512];

  stage->version++;
  snprintf (value, sizeof value,
            "{\"version\":%u,\"limits\":{},\"routes\":[],\"services\":["
            "{\"name\":\"s\",\"health_path\":\"/h\"}],\"tenants\":[]}",
            stage->version);
  platstore_put (&stage->store, "op/config", value);
}

static void
start (struct fleet_stage *stage, unsigned int number, bool bootstrap)
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
    .lease_min_ms = 1000,
    .retry_window_ms = 10000,
    .share_window_ms = 4000,
    .reread_window_ms = 10000,
  };
  char address[32];

  snprintf (settings.instance, sizeof settings.instance, "g-%u", number);
  snprintf (settings.availability_zone, sizeof settings.availability_zone,
            "z%u", number % ZONES);
  snprintf (address, sizeof address, "127.0.0.1:%u", stage->store.port);
  CU_ASSERT_EQUAL_FATAL (gateway_init (&stage->gateways[number], &settings,
                                       &platform_adapter, stage->base,
                                       store_new (stage->base, address)),
                         0);
  stage->up[number] = true;
}

static void
on_limit (evutil_socket_t fd, short what, void *user)
{
  (void)fd;
  (void)what;
  *(bool *)user = true;
}

static bool
until (struct fleet_stage *stage, uint32_t limit_ms,
       bool (*done) (const struct fleet_stage *stage))
{
  const struct timeval limit = clock_timeval (limit_ms);
  bool late = false;
  struct event *timer = event_new (stage->base, -1, 0, on_limit, &late);

  event_add (timer, &limit);
  while (!done (stage) && !late)
    event_base_loop (stage->base, EVLOOP_ONCE);
  event_free (timer);
  return done (stage);
}

static bool
never (const struct fleet_stage *stage)
{
  (void)stage;
  return false;
}

static unsigned int
followers (const struct fleet_stage *stage)
{
  unsigned int count = 0;
  unsigned int i;

  for (i = 0; i < GATEWAYS; i++)
    count += stage->up[i] && !stage->gateways[i].upstream_watch.paused;
  return count;
}

/* All know what the store says. */
static bool
all_know (const struct fleet_stage *stage)
{
  unsigned int i;

  for (i = 0; i < GATEWAYS; i++)
    if (stage->up[i]
        && (!gateway_ready (&stage->gateways[i])
            || stage->gateways[i].routing->version != stage->version
            || HASH_COUNT (stage->gateways[i].registry.upstreams)
                   != stage->upstreams))
      return false;
  return true;
}

static bool
settled (const struct fleet_stage *stage)
{
  unsigned int hubs = 0;
  unsigned int i;

  for (i = 0; i < GATEWAYS; i++)
    {
      if (!stage->up[i])
        continue;
      hubs += gateway_peers_is_hub (&stage->gateways[i]);
      if (gateway_peers_linked_count (&stage->gateways[i]) == 0)
        return false;
    }
  return all_know (stage) && hubs == ZONES * 2 && followers (stage) == hubs;
}

/* All but the busy one see its requests, once. */
static bool
load_known (const struct fleet_stage *stage)
{
  unsigned int i;

  for (i = 1; i < GATEWAYS; i++)
    if (stage->up[i]
        && stage->gateways[i].registry.upstreams->load.peer_running != BUSY)
      return false;
  return stage->gateways[0].registry.upstreams->load.peer_running == 0;
}

static void
stage_init (struct fleet_stage *stage)
{
  unsigned int i;

  memset (stage, 0, sizeof *stage);
  stage->base = event_base_new ();
  platstore_init (&stage->store, stage->base);
  put_upstream (stage, 0);
  put_config (stage);
  for (i = 0; i < GATEWAYS; i++)
    start (stage, i, true);
}

static void
stage_finish (struct fleet_stage *stage)
{
  unsigned int i;

  for (i = 0; i < GATEWAYS; i++)
    if (stage->up[i])
      gateway_finish (&stage->gateways[i]);
  platstore_finish (&stage->store);
  event_base_loop (stage->base, EVLOOP_NONBLOCK);
  event_base_free (stage->base);
}

static void
test_fleet (void)
{
  static struct fleet_stage stage;
  unsigned int calls;
  unsigned int lost = 0;
  unsigned int i;

  stage_init (&stage);
  CU_ASSERT_TRUE (until (&stage, 10000, settled));
  /* What the store tells reaches all, through four of sixteen. */
  calls = stage.store.ranges + stage.store.watch_calls;
  put_upstream (&stage, 1);
  put_config (&stage);
  CU_ASSERT_TRUE (until (&stage, 3000, all_know));
  until (&stage, 500, never);
  CU_ASSERT_TRUE (stage.store.ranges + stage.store.watch_calls - calls
                  <= 4 * 3 * 3);
  /* Load is counted once, whatever the way it comes. */
  stage.gateways[0].registry.upstreams->load.running = BUSY;
  CU_ASSERT_TRUE (until (&stage, 3000, load_known));
  for (i = 0; i < 20; i++)
    {
      until (&stage, 37, never);
      CU_ASSERT_TRUE (load_known (&stage));
    }
  /* One hub of each zone is lost: the others hang on the second. */
  for (i = 1; i < GATEWAYS && lost < ZONES; i++)
    if (gateway_peers_is_hub (&stage.gateways[i]) && i % ZONES == lost)
      {
        gateway_finish (&stage.gateways[i]);
        stage.up[i] = false;
        lost++;
      }
  CU_ASSERT_EQUAL (lost, ZONES);
  put_upstream (&stage, 2);
  put_config (&stage);
  CU_ASSERT_TRUE (until (&stage, 4000, all_know));
  CU_ASSERT_TRUE (until (&stage, 4000, load_known));
  stage_finish (&stage);
}

/* All hubs are lost at once: the others follow the store themselves. */
static void
test_loss_of_all_hubs (void)
{
  static struct fleet_stage stage;
  unsigned int i;

  stage_init (&stage);
  CU_ASSERT_TRUE (until (&stage, 10000, settled));
  for (i = 0; i < GATEWAYS; i++)
    if (gateway_peers_is_hub (&stage.gateways[i]))
      {
        gateway_finish (&stage.gateways[i]);
        stage.up[i] = false;
      }
  put_upstream (&stage, 1);
  put_config (&stage);
  CU_ASSERT_TRUE (until (&stage, 4000, all_know));
  stage_finish (&stage);
}

/* All are lost and start again, one after the other, while the store lists
   them from before: a hub that has read nothing yet gives nobody a copy of
   nothing, and all serve soon. */
static void
test_restart_of_all (void)
{
  static struct fleet_stage stage;
  unsigned int i;

  stage_init (&stage);
  for (i = 1; i < 40; i++)
    put_upstream (&stage, i);
  CU_ASSERT_TRUE (until (&stage, 10000, settled));
  for (i = 0; i < GATEWAYS; i++)
    {
      gateway_finish (&stage.gateways[i]);
      stage.up[i] = false;
    }
  until (&stage, 300, never);
  for (i = 0; i < GATEWAYS; i++)
    start (&stage, i, false);
  CU_ASSERT_TRUE (until (&stage, 2500, all_know));
  CU_ASSERT_TRUE (until (&stage, 5000, settled));
  stage_finish (&stage);
}

static const struct suite_test tests[] = {
  { "restart of all", test_restart_of_all },
  { "a fleet with hubs", test_fleet },
  { "loss of all hubs", test_loss_of_all_hubs },
};

SUITE_MAIN ("test_gateways", tests)
