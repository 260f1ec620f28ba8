/**
 * @file test_crashing_prompts.c
 * Upstreams crash under each request with a certain part in its prompt.  The
 * requests reach random gateways of a fleet, no two are alike, and others
 * share their remaining parts and their customer.
 */
#include "state/rng.h"
#include "support/gatefleet.h"
#include "support/suite.h"
#include <stdio.h>
#include <string.h>

#define GATEWAYS_MAX GATEFLEET_GATEWAYS_MAX
#define UPSTREAMS    GATEFLEET_UPSTREAMS
#define CLIENTS      64 /* connections open at a time, reused in turn */
#define CULPRITS_MAX 2

#define STEP_MS       10 /* from one request to the next */
#define CULPRIT_STEPS 4  /* on average, from one culprit to the next */
#define DOWN_MS       400
#define FREE_CRASHES  5 /* of each culprit, before requests are counted */
/* Time after the last of these in which requests are not counted. */
#define NOTICE_MS 1000
#define FURTHER_MAX                                                           \
  3 /* requests with a culprit that reach upstreams later                     \
     */
#define DURATION_MS    6000
#define SOUND_PREFIXES 3

/** What happens in a test. */
struct scene_plan
{
  unsigned int gateways;
  unsigned int culprits;
  unsigned int position; /* of the culprit among the shared parts */
  enum upstreamserver_behaviour crash;
  const char *route;
  bool new_identity; /* crashed upstreams register a new identity */
  bool store_down;   /* while they crash */
  bool restart;      /* all gateways restart at half-time */
  bool kills;        /* upstreams are killed without a culprit */
};

struct scene;

struct scene_client
{
  struct scene *scene;
  struct platclient client;
  bool used;
  bool sound;
  bool late; /* sent when the crashes should have ended */
};

struct scene
{
  const struct scene_plan *plan;
  struct gatefleet fleet;
  uint64_t revive_ms[UPSTREAMS]; /* 0: it runs */
  struct scene_client clients[CLIENTS];
  struct rng rng;
  unsigned int sent;
  unsigned int crashes[CULPRITS_MAX];
  uint64_t noticed_ms[CULPRITS_MAX]; /* end of the time allowed; 0: not yet */
  unsigned int further[CULPRITS_MAX];
  unsigned int sound_sent;   /* late ones only */
  unsigned int sound_served; /* of these */
};

static uint64_t
now_ms (const struct scene *scene)
{
  return gatefleet_now_ms (&scene->fleet);
}

static void
culprit_id (unsigned int culprit, char text[16])
{
  snprintf (text, 16, "dead%u:", culprit);
}

static void
on_request (struct upstreamserver *server, const char *message)
{
  struct scene *scene = server->user;
  char parts[256];
  char id[16];
  unsigned int i;

  server->behaviour = strstr (message, "/again/") == NULL
                          ? UPSTREAMSERVER_STREAM
                          : UPSTREAMSERVER_RESPOND;
  upstreamserver_get_header (message, "X-Prompt-Prefix", parts, sizeof parts);
  for (i = 0; i < scene->plan->culprits; i++)
    {
      culprit_id (i, id);
      if (strstr (parts, id) == NULL)
        continue;
      server->behaviour = scene->plan->crash;
      if (scene->noticed_ms[i] != 0 && now_ms (scene) > scene->noticed_ms[i])
        scene->further[i]++;
      if (++scene->crashes[i] == FREE_CRASHES)
        scene->noticed_ms[i] = now_ms (scene) + NOTICE_MS;
    }
}

static void
on_crash (struct upstreamserver *server)
{
  struct scene *scene = server->user;

  scene->revive_ms[server - scene->fleet.upstreams] = now_ms (scene) + DOWN_MS;
}

static void
revive_upstreams (struct scene *scene)
{
  unsigned int i;

  for (i = 0; i < UPSTREAMS; i++)
    {
      if (scene->revive_ms[i] == 0 || scene->revive_ms[i] > now_ms (scene))
        continue;
      scene->revive_ms[i] = 0;
      upstreamserver_revive (&scene->fleet.upstreams[i]);
      if (scene->plan->new_identity)
        gatefleet_renew (&scene->fleet, i);
    }
}

static void
scene_init (struct scene *scene, const struct scene_plan *plan)
{
  unsigned int i;

  memset (scene, 0, sizeof *scene);
  scene->plan = plan;
  rng_init (&scene->rng, 1);
  gatefleet_init (&scene->fleet);
  for (i = 0; i < UPSTREAMS; i++)
    {
      scene->fleet.upstreams[i].on_request = on_request;
      scene->fleet.upstreams[i].on_crash = on_crash;
      scene->fleet.upstreams[i].user = scene;
    }
  gatefleet_start (&scene->fleet, plan->gateways);
}

static void
finish_client (struct scene_client *client)
{
  if (!client->used)
    return;
  if (client->sound && client->late)
    {
      client->scene->sound_sent++;
      client->scene->sound_served
          += strncmp (client->client.got, "HTTP/1.1 200", 12) == 0
             && platclient_answered (&client->client);
    }
  platclient_finish (&client->client);
  client->used = false;
}

static void
scene_finish (struct scene *scene)
{
  unsigned int i;

  for (i = 0; i < CLIENTS; i++)
    finish_client (&scene->clients[i]);
  for (i = 0; i < UPSTREAMS; i++)
    scene->fleet.upstreams[i].on_crash = NULL;
  gatefleet_finish (&scene->fleet);
}

/* Parts of the next prompt: shared ones, perhaps a culprit among them, and one
   of its own. */
static void
write_parts (struct scene *scene, bool sound, char text[256])
{
  const struct scene_plan *plan = scene->plan;
  char culprit[16];
  size_t used = 0;
  unsigned int i;

  culprit_id (scene->sent % (plan->culprits == 0 ? 1 : plan->culprits),
              culprit);
  text[0] = '\0';
  for (i = 0; i < 3; i++)
    {
      if (!sound && i == plan->position)
        used += (size_t)snprintf (text + used, 256 - used, "%s100,", culprit);
      if (i < 2)
        used += (size_t)snprintf (
            text + used, 256 - used, "%x%x:100,", 0xa0 + i,
            (unsigned int)rng_below (&scene->rng,
                                     i == 0 ? 1 : SOUND_PREFIXES));
    }
  snprintf (text + used, 256 - used, "f00d%x:50", scene->sent);
}

static void
send_request (struct scene *scene)
{
  const struct scene_plan *plan = scene->plan;
  struct scene_client *client = &scene->clients[scene->sent % CLIENTS];
  unsigned int gateway = (unsigned int)rng_below (&scene->rng, plan->gateways);
  char parts[256];
  char request[1024];
  unsigned int i;

  finish_client (client);
  client->scene = scene;
  client->used = true;
  client->sound
      = plan->culprits == 0 || rng_below (&scene->rng, CULPRIT_STEPS) != 0;
  client->late = now_ms (scene) > DURATION_MS / 2;
  for (i = 0; i < plan->culprits; i++)
    client->late
        = client->late && now_ms (scene) > scene->noticed_ms[i] + NOTICE_MS;
  write_parts (scene, client->sound, parts);
  snprintf (request, sizeof request,
            "POST /%s/x HTTP/1.1\r\nHost: shop.example\r\n"
            "X-Attempt-Id: id-%u\r\nX-Credential: key-1\r\n"
            "X-Token-Usage: 350,20\r\nX-Prompt-Prefix: %s\r\n"
            "X-Deadline-Remaining-Ms: 2000\r\nContent-Length: 0\r\n\r\n",
            plan->route, scene->sent, parts);
  platclient_init (&client->client, scene->fleet.base,
                   httpd_port (scene->fleet.gateways[gateway].httpd));
  platclient_send (&client->client, request);
  scene->sent++;
}

static void
restart_gateways (struct scene *scene)
{
  unsigned int i;

  for (i = 0; i < scene->plan->gateways; i++)
    gateway_finish (&scene->fleet.gateways[i]);
  for (i = 0; i < scene->plan->gateways; i++)
    gatefleet_start_gateway (&scene->fleet, i);
  gatefleet_wait_until_ready (&scene->fleet);
}

static void
play (const struct scene_plan *plan)
{
  static struct scene scene;
  bool restarted = false;
  unsigned int i;

  scene_init (&scene, plan);
  if (plan->store_down)
    scene.fleet.store.fault = STORESERVER_FAULT_503;
  while (now_ms (&scene) < DURATION_MS)
    {
      send_request (&scene);
      gatefleet_run (&scene.fleet, STEP_MS);
      revive_upstreams (&scene);
      if (plan->kills && now_ms (&scene) < DURATION_MS / 2
          && scene.sent % 20 == 0
          && scene.fleet.upstreams[scene.sent / 20 % UPSTREAMS].listener
                 != NULL)
        upstreamserver_crash (
            &scene.fleet.upstreams[scene.sent / 20 % UPSTREAMS]);
      if (plan->restart && !restarted && now_ms (&scene) > DURATION_MS / 2)
        {
          restart_gateways (&scene);
          restarted = true;
        }
    }
  gatefleet_run (&scene.fleet, 700);
  scene_finish (&scene);
  for (i = 0; i < plan->culprits; i++)
    {
      CU_ASSERT (scene.crashes[i] >= FREE_CRASHES - 1);
      CU_ASSERT (scene.further[i] <= FURTHER_MAX);
    }
  CU_ASSERT (scene.sound_sent > 0);
  CU_ASSERT (scene.sound_served * 2 >= scene.sound_sent);
  printf ("crashes %u, %u; further %u, %u; sound %u of %u\n", scene.crashes[0],
          scene.crashes[1], scene.further[0], scene.further[1],
          scene.sound_served, scene.sound_sent);
}

/* Makes trials due at all gateways. */
static void
make_trials_due (struct scene *scene)
{
  struct quarantine_entry *part;
  unsigned int i;

  for (i = 0; i < scene->plan->gateways; i++)
    for (part = scene->fleet.gateways[i].quarantine.entries; part != NULL;
         part = part->hh.next)
      part->trial_ns = 0;
}

static void
send_for (struct scene *scene, uint32_t duration_ms)
{
  uint64_t end_ms = now_ms (scene) + duration_ms;

  while (now_ms (scene) < end_ms)
    {
      send_request (scene);
      gatefleet_run (&scene->fleet, STEP_MS);
      revive_upstreams (scene);
    }
}

/* A held part is tried by one request of the whole fleet.  While it crashes
   upstreams, it stays held; when they are mended, it is released. */
static void
test_trial (void)
{
  static struct scene scene;
  const struct scene_plan plan = { .gateways = 3,
                                   .culprits = 1,
                                   .position = 1,
                                   .crash = UPSTREAMSERVER_CRASH,
                                   .route = "again",
                                   .new_identity = true };
  unsigned int crashes;
  unsigned int i;

  scene_init (&scene, &plan);
  send_for (&scene, 3000);
  crashes = scene.crashes[0];
  send_for (&scene, 1000);
  CU_ASSERT_EQUAL (scene.crashes[0], crashes);
  make_trials_due (&scene);
  send_for (&scene, 1500);
  CU_ASSERT_EQUAL (scene.crashes[0], crashes + 1);
  for (i = 0; i < UPSTREAMS; i++)
    scene.fleet.upstreams[i].on_request = NULL;
  make_trials_due (&scene);
  send_for (&scene, 5000);
  for (i = 0; i < plan.gateways; i++)
    CU_ASSERT_EQUAL (
        quarantine_held_count (&scene.fleet.gateways[i].quarantine,
                               gateway_now_ns (&scene.fleet.gateways[i])),
        0);
  CU_ASSERT_EQUAL (
      storeserver_count (&scene.fleet.store, "cherrylanding/~quarantine/"), 0);
  scene_finish (&scene);
}

static void
test_first_part (void)
{
  play (&(struct scene_plan){ .gateways = 3,
                              .culprits = 1,
                              .position = 0,
                              .crash = UPSTREAMSERVER_CRASH_IN_EVENT,
                              .route = "resume",
                              .new_identity = true });
}

static void
test_middle_part (void)
{
  play (&(struct scene_plan){ .gateways = 3,
                              .culprits = 1,
                              .position = 1,
                              .crash = UPSTREAMSERVER_CRASH_IN_HEAD,
                              .route = "again" });
}

static void
test_last_shared_part (void)
{
  play (&(struct scene_plan){ .gateways = 3,
                              .culprits = 1,
                              .position = 2,
                              .crash = UPSTREAMSERVER_CRASH,
                              .route = "stream",
                              .new_identity = true });
}

static void
test_two_culprits (void)
{
  play (&(struct scene_plan){ .gateways = 3,
                              .culprits = 2,
                              .position = 1,
                              .crash = UPSTREAMSERVER_CRASH_IN_EVENT,
                              .route = "resume",
                              .new_identity = true });
}

static void
test_fleet_with_hubs (void)
{
  play (&(struct scene_plan){ .gateways = GATEWAYS_MAX,
                              .culprits = 1,
                              .position = 1,
                              .crash = UPSTREAMSERVER_CRASH_IN_EVENT,
                              .route = "resume",
                              .new_identity = true });
}

static void
test_store_down (void)
{
  play (&(struct scene_plan){ .gateways = 3,
                              .culprits = 1,
                              .position = 1,
                              .crash = UPSTREAMSERVER_CRASH,
                              .route = "again",
                              .store_down = true });
}

static void
test_restart_of_fleet (void)
{
  play (&(struct scene_plan){ .gateways = 3,
                              .culprits = 1,
                              .position = 1,
                              .crash = UPSTREAMSERVER_CRASH,
                              .route = "again",
                              .new_identity = true,
                              .restart = true });
}

/* A part of many prompts is there by chance when upstreams are killed. */
static void
test_kills_without_culprit (void)
{
  play (&(struct scene_plan){
      .gateways = 3, .route = "resume", .new_identity = true, .kills = true });
}

static const struct suite_test tests[] = {
  { "first part of the prompt", test_first_part },
  { "middle part", test_middle_part },
  { "last shared part", test_last_shared_part },
  { "two culprits at once", test_two_culprits },
  { "fleet with hubs", test_fleet_with_hubs },
  { "store down", test_store_down },
  { "restart of the fleet", test_restart_of_fleet },
  { "trial of a held part", test_trial },
  { "upstreams killed without a culprit", test_kills_without_culprit },
};

SUITE_MAIN ("test_crashing_prompts", tests)
