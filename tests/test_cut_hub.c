/**
 * @file test_cut_hub.c
 * A fleet with hubs, one of which ends, and the other one is cut off from the
 * store in silence while a key is taken away: the gateways that relied on it
 * must not go on with the old configuration.
 */
#include "gateway/gateway_peers.h"
#include "support/gatefleet.h"
#include "support/storeseed.h"
#include "support/suite.h"
#include <stdio.h>
#include <string.h>

#define GATEWAYS        GATEFLEET_GATEWAYS_MAX
#define HUBS            2
#define CONTACT_MS      4000
#define CONFIG_APPLY_MS 3000
#define HEARTBEAT_MS    100 /* of upstreams, between entries that they write */
#define CALM_MS         3000

struct scene
{
  struct gatefleet fleet;
  struct cutnet cutnet;
  unsigned int hubs[HUBS];
  bool heartbeats; /* upstreams write to the store all the time */
  bool ended[GATEWAYS];
};

static void
scene_init (struct scene *scene, bool heartbeats)
{
  unsigned int count = 0;
  unsigned int i;

  memset (scene, 0, sizeof *scene);
  scene->heartbeats = heartbeats;
  gatefleet_init (&scene->fleet);
  gatefleet_use_cutnet (&scene->fleet, &scene->cutnet);
  scene->fleet.contact_ms = CONTACT_MS;
  scene->fleet.config_apply_ms = CONFIG_APPLY_MS;
  gatefleet_start (&scene->fleet, GATEWAYS);
  gatefleet_run (&scene->fleet, 1500);
  for (i = 0; i < GATEWAYS; i++)
    if (gateway_peers_is_hub (&scene->fleet.gateways[i]))
      {
        CU_ASSERT_TRUE_FATAL (count < HUBS);
        scene->hubs[count++] = i;
      }
  CU_ASSERT_EQUAL_FATAL (count, HUBS);
}

static void
scene_finish (struct scene *scene)
{
  unsigned int i;

  for (i = 0; i < GATEWAYS; i++)
    {
      cutnet_set (&scene->cutnet, CUTNET_STORE, i, false);
      if (scene->ended[i])
        gatefleet_start_gateway (&scene->fleet, i);
    }
  gatefleet_finish (&scene->fleet);
}

static void
run (struct scene *scene, uint32_t duration_ms)
{
  uint32_t spent_ms;

  for (spent_ms = 0; spent_ms < duration_ms; spent_ms += HEARTBEAT_MS)
    {
      if (scene->heartbeats)
        gatefleet_register (&scene->fleet, 0);
      gatefleet_run (&scene->fleet, HEARTBEAT_MS);
    }
}

static void
end_gateway (struct scene *scene, unsigned int index)
{
  gateway_finish (&scene->fleet.gateways[index]);
  scene->ended[index] = true;
}

/* Gateways that have a version and are neither cut off nor ended. */
static unsigned int
count_with (const struct scene *scene, const char *version)
{
  unsigned int count = 0;
  unsigned int i;

  for (i = 0; i < GATEWAYS; i++)
    count
        += !scene->ended[i] && !scene->cutnet.cut[CUTNET_STORE][i]
           && strcmp (scene->fleet.gateways[i].routing->version, version) == 0;
  return count;
}

static unsigned int
count_watching (const struct scene *scene)
{
  unsigned int count = 0;
  unsigned int i;

  for (i = 0; i < GATEWAYS; i++)
    count += !scene->ended[i] && !scene->fleet.gateways[i].config_watch.paused;
  return count;
}

static void
play_cut (bool heartbeats)
{
  static struct scene scene;

  scene_init (&scene, heartbeats);
  end_gateway (&scene, scene.hubs[0]);
  run (&scene, 300);
  storeseed_configure (&scene.fleet.store, 2, "\"key-1\",\"key-2\"", "s2");
  run (&scene, 500);
  CU_ASSERT_EQUAL (count_with (&scene, "2"), GATEWAYS - 1);
  cutnet_set (&scene.cutnet, CUTNET_STORE, scene.hubs[1], true);
  run (&scene, 100);
  storeseed_configure (&scene.fleet.store, 3, "\"key-2\"", "s2");
  run (&scene, CONFIG_APPLY_MS);
  CU_ASSERT_EQUAL (count_with (&scene, "3"), GATEWAYS - HUBS);
  scene_finish (&scene);
}

/* Guards against a hub whose long poll is pending and that takes its view of
   the store for current. */
static void
test_cut_hub (void)
{
  play_cut (false);
}

static void
test_cut_hub_beside_heartbeats (void)
{
  play_cut (true);
}

/* Both hubs are cut off, and none has ended. */
static void
test_both_hubs_cut (void)
{
  static struct scene scene;
  unsigned int i;

  scene_init (&scene, true);
  for (i = 0; i < HUBS; i++)
    cutnet_set (&scene.cutnet, CUTNET_STORE, scene.hubs[i], true);
  run (&scene, 100);
  storeseed_configure (&scene.fleet.store, 2, "\"key-2\"", "s2");
  run (&scene, CONFIG_APPLY_MS);
  CU_ASSERT_EQUAL (count_with (&scene, "2"), GATEWAYS - HUBS);
  scene_finish (&scene);
}

/* Without a cut only hubs call the store, also when nothing changes there, and
   each of them asks it no more often than it needs to. */
static void
play_calm (bool heartbeats)
{
  static struct scene scene;
  unsigned int calls;

  scene_init (&scene, heartbeats);
  calls = scene.fleet.store.watch_calls;
  run (&scene, CALM_MS);
  CU_ASSERT_EQUAL (count_watching (&scene), HUBS);
  calls = scene.fleet.store.watch_calls - calls;
  if (!heartbeats)
    CU_ASSERT_TRUE (calls <= HUBS * (CALM_MS / (CONFIG_APPLY_MS / 4) + 2));
  scene_finish (&scene);
}

static void
test_calm (void)
{
  play_calm (false);
}

static void
test_calm_beside_heartbeats (void)
{
  play_calm (true);
}

static const struct suite_test tests[] = {
  { "hub that is cut off counts as current", test_cut_hub },
  { "hub that is cut off, beside heartbeats", test_cut_hub_beside_heartbeats },
  { "both hubs are cut off", test_both_hubs_cut },
  { "calm fleet", test_calm },
  { "calm fleet beside heartbeats", test_calm_beside_heartbeats },
};

SUITE_MAIN ("test_cut_hub", tests)
