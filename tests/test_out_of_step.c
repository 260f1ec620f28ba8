/**
 * @file test_out_of_step.c
 * A gateway is cut off or stands still while upstreams of a second build join;
 * streams that others began are taken up at it, meanwhile and at once after.
 * It must not take the one build that it knows for theirs.
 */
#include "gateway/gateway_peers.h"
#include "state/rng.h"
#include "support/gatefleet.h"
#include "support/suite.h"
#include <stdio.h>
#include <string.h>

#define UPSTREAMS   GATEFLEET_UPSTREAMS
#define STREAMS     256
#define STEP_MS     10 /* from one stream to the next */
#define EVENTS      12
#define INTERVAL_MS 20 /* between the events of a stream */
#define LEAVE_MAX   2  /* events after which its client leaves */
#define RETRY_MS    100
#define CALM_MS     300 /* before the fault */
#define AFTER_MS    1500
#define END_MS      1000 /* in which no streams begin */
#define SETTLE_MS   1500 /* after the start, until hubs have their links */
#define TICK_MS     100  /* of a gateway */
#define WAKE_MS     30   /* from its first event to those of links and store */
#define BEGUN_MIN   20   /* streams of the second build, for a play to count */

static const char *const builds[] = { "v1", "v1.1" };

enum fault
{
  FAULT_NONE,
  FAULT_CUT_OFF, /* from peers and the store */
  FAULT_CUT_FROM_PEERS,
  FAULT_CUT_FROM_STORE,
  FAULT_STANDS_STILL, /* and hears of clients first when it wakes */
  FAULT_MAX
};

/* Streams are taken up at gateway 0, or, of a fleet with hubs, at one that is
   a hub or not. */
struct plan
{
  unsigned int gateways;
  bool hub;
  bool pair; /* another gateway is cut off together with it */
  enum fault fault;
  uint32_t fault_ms;
  uint32_t second_ms; /* when the second build joins; 0: never */
  bool stays;         /* clients do not take streams up */
  bool no_ticks;      /* of its companion, while the fault lasts */
  bool heartbeats;    /* upstreams write to the store all the time */
};

struct scene;

struct stream
{
  struct scene *scene;
  struct platclient client;
  bool used;
  bool taken_up;
  unsigned int number;
  unsigned int gateway;
  unsigned int tries;
  unsigned int events;
  unsigned int events_at_leave;
  unsigned int leave_at;
  uint64_t retry_ms; /* 0: a try is in progress */
  int build;
  bool mixed;
};

struct scene
{
  const struct plan *plan;
  struct gatefleet fleet;
  struct cutnet cutnet;
  struct stream streams[STREAMS];
  struct rng rng;
  unsigned int odd; /* the gateway that is out of step */
  unsigned int sent;
  unsigned int begun[2]; /* by build */
  unsigned int taken_up;
  unsigned int went_on;
  unsigned int refused; /* tries */
  unsigned int mixed;
  unsigned int store_calls; /* after the start */
};

static void run_until (struct scene *scene, uint64_t end_ms, bool start);

static void
on_request (struct upstreamserver *server, const char *message)
{
  (void)message;
  server->behaviour = UPSTREAMSERVER_STREAM_TIMED;
}

static void
scene_init (struct scene *scene, const struct plan *plan)
{
  unsigned int i;

  memset (scene, 0, sizeof *scene);
  scene->plan = plan;
  rng_init (&scene->rng, 1);
  gatefleet_init (&scene->fleet);
  gatefleet_use_cutnet (&scene->fleet, &scene->cutnet);
  for (i = 0; i < UPSTREAMS; i++)
    {
      scene->fleet.upstreams[i].on_request = on_request;
      scene->fleet.upstreams[i].timed_events = EVENTS;
      scene->fleet.upstreams[i].event_interval_ms = INTERVAL_MS;
      scene->fleet.upstreams[i].signature = builds[0];
      scene->fleet.upstreams[i].checks_identity = true;
    }
  if (plan->fault == FAULT_STANDS_STILL)
    for (i = 0; i < plan->gateways; i++)
      gatefleet_use_own_base (&scene->fleet, i);
  gatefleet_start (&scene->fleet, plan->gateways);
  gatefleet_run (&scene->fleet, SETTLE_MS);
  scene->fleet.start_ms = clock_now_ns (&scene->fleet.clock) / CLOCK_NS_PER_MS;
  while (scene->odd + 1 < plan->gateways
         && gateway_peers_is_hub (&scene->fleet.gateways[scene->odd])
                != plan->hub)
    scene->odd++;
  CU_ASSERT_EQUAL_FATAL (
      gateway_peers_is_hub (&scene->fleet.gateways[scene->odd]), plan->hub);
}

static void
start_second_build (struct scene *scene)
{
  unsigned int i;

  for (i = UPSTREAMS / 2; i < UPSTREAMS; i++)
    {
      upstreamserver_finish (&scene->fleet.upstreams[i]);
      scene->fleet.upstreams[i].signature = builds[1];
      scene->fleet.builds[i] = builds[1];
      upstreamserver_revive (&scene->fleet.upstreams[i]);
      gatefleet_renew (&scene->fleet, i);
    }
}

/* The gateway that is cut off together with the odd one. */
static unsigned int
companion (const struct scene *scene)
{
  return scene->odd + 1 < scene->plan->gateways ? scene->odd + 1 : 0;
}

static void
set_fault (struct scene *scene, bool on)
{
  const struct plan *plan = scene->plan;
  const struct timeval tick = clock_timeval (TICK_MS);
  bool peers
      = plan->fault != FAULT_NONE && plan->fault != FAULT_CUT_FROM_STORE;
  bool store
      = plan->fault != FAULT_NONE && plan->fault != FAULT_CUT_FROM_PEERS;
  unsigned int i;

  scene->fleet.stands_still[scene->odd]
      = on && plan->fault == FAULT_STANDS_STILL;
  if (plan->fault == FAULT_STANDS_STILL && !on)
    run_until (scene, gatefleet_now_ms (&scene->fleet) + WAKE_MS, true);
  if (store)
    cutnet_set (&scene->cutnet, CUTNET_STORE, scene->odd, on);
  if (store && plan->pair)
    cutnet_set (&scene->cutnet, CUTNET_STORE, companion (scene), on);
  for (i = 0; peers && plan->pair && i < plan->gateways; i++)
    if (i != scene->odd && i != companion (scene))
      cutnet_set (&scene->cutnet, CUTNET_PEERS, i, on);
  if (peers && !plan->pair)
    cutnet_set (&scene->cutnet, CUTNET_PEERS, scene->odd, on);
  if (plan->no_ticks && on)
    event_del (scene->fleet.gateways[companion (scene)].tick);
  else if (plan->no_ticks)
    event_add (scene->fleet.gateways[companion (scene)].tick, &tick);
}

static void
send_try (struct stream *stream)
{
  struct scene *scene = stream->scene;
  char request[512];
  char resume[128] = "";

  stream->tries++;
  stream->retry_ms = 0;
  if (stream->events > 0)
    snprintf (resume, sizeof resume,
              "Resumes: s-%u-1\r\nLast-Event-Id: %u\r\n", stream->number,
              stream->events);
  snprintf (request, sizeof request,
            "POST /resume/%u HTTP/1.1\r\nHost: shop.example\r\n"
            "X-Attempt-Id: s-%u-%u\r\nX-Credential: key-1\r\n"
            "%sX-Deadline-Remaining-Ms: 5000\r\nContent-Length: 0\r\n\r\n",
            stream->number, stream->number, stream->tries, resume);
  platclient_init (&stream->client, scene->fleet.base,
                   httpd_port (scene->fleet.gateways[stream->gateway].httpd));
  platclient_send (&stream->client, request);
}

/* At any gateway but the odd one, and its companion. */
static void
start_stream (struct scene *scene)
{
  struct stream *stream = &scene->streams[scene->sent % STREAMS];

  if (stream->used)
    return;
  *stream = (struct stream){
    .scene = scene,
    .used = true,
    .number = scene->sent++,
    .leave_at = 1 + (unsigned int)rng_below (&scene->rng, LEAVE_MAX),
  };
  do
    stream->gateway
        = (unsigned int)rng_below (&scene->rng, scene->plan->gateways);
  while (stream->gateway == scene->odd
         || (scene->plan->pair && stream->gateway == companion (scene)));
  send_try (stream);
}

static void
read_events (struct stream *stream)
{
  struct scene *scene = stream->scene;
  char text[32];
  const char *event;
  int build;

  for (;;)
    {
      snprintf (text, sizeof text, "\nid: %u\ndata: ", stream->events + 1);
      event = strstr (stream->client.got, text);
      if (event == NULL || strchr (event + strlen (text), '\n') == NULL)
        return;
      build = strncmp (event + strlen (text), builds[1], strlen (builds[1]))
              == 0;
      if (stream->events == 0)
        {
          stream->build = build;
          scene->begun[build]++;
        }
      stream->mixed = stream->mixed || build != stream->build;
      stream->events++;
    }
}

static void
finish_stream (struct stream *stream)
{
  if (!stream->used)
    return;
  if (stream->retry_ms == 0)
    platclient_finish (&stream->client);
  stream->used = false;
  stream->scene->mixed += stream->mixed;
  stream->scene->went_on
      += stream->taken_up && stream->events > stream->events_at_leave;
}

static void
advance_stream (struct stream *stream)
{
  struct scene *scene = stream->scene;
  uint64_t now_ms;

  if (!stream->used)
    return;
  now_ms = gatefleet_now_ms (&scene->fleet);
  if (stream->retry_ms != 0)
    {
      if (now_ms >= stream->retry_ms)
        send_try (stream);
      return;
    }
  read_events (stream);
  if (stream->events >= EVENTS
      || (stream->events == 0 && stream->client.closed))
    finish_stream (stream);
  else if (!stream->taken_up && !scene->plan->stays
           && stream->events >= stream->leave_at)
    {
      platclient_finish (&stream->client);
      stream->taken_up = true;
      stream->events_at_leave = stream->events;
      stream->gateway = scene->odd;
      scene->taken_up++;
      send_try (stream);
    }
  else if (stream->taken_up
           && strncmp (stream->client.got, "HTTP/1.1 503", 12) == 0)
    {
      scene->refused++;
      platclient_finish (&stream->client);
      stream->retry_ms = now_ms + RETRY_MS;
    }
}

static void
run_until (struct scene *scene, uint64_t end_ms, bool start)
{
  unsigned int i;

  while (gatefleet_now_ms (&scene->fleet) < end_ms)
    {
      if (start)
        start_stream (scene);
      if (scene->plan->heartbeats)
        gatefleet_register (&scene->fleet, 0);
      gatefleet_run (&scene->fleet, STEP_MS);
      for (i = 0; i < STREAMS; i++)
        advance_stream (&scene->streams[i]);
    }
}

static unsigned int
count_store_calls (const struct scene *scene)
{
  const struct storeserver *store = &scene->fleet.store;

  return store->list_calls + store->watch_calls + store->txn_calls;
}

static void
play (struct scene *scene, const struct plan *plan)
{
  uint64_t fault_end_ms = CALM_MS + plan->fault_ms;
  unsigned int i;

  scene_init (scene, plan);
  scene->store_calls = 0 - count_store_calls (scene);
  run_until (scene,
             plan->second_ms != 0 && plan->second_ms < CALM_MS
                 ? plan->second_ms
                 : CALM_MS,
             true);
  if (plan->second_ms != 0 && plan->second_ms < CALM_MS)
    {
      start_second_build (scene);
      run_until (scene, CALM_MS, true);
    }
  set_fault (scene, true);
  if (plan->second_ms >= CALM_MS)
    {
      run_until (scene, plan->second_ms, true);
      start_second_build (scene);
    }
  run_until (scene, fault_end_ms, true);
  set_fault (scene, false);
  run_until (scene, fault_end_ms + AFTER_MS, true);
  run_until (scene, fault_end_ms + AFTER_MS + END_MS, false);
  scene->store_calls += count_store_calls (scene);
  for (i = 0; i < STREAMS; i++)
    finish_stream (&scene->streams[i]);
  gatefleet_finish (&scene->fleet);
  printf ("gateways %u, begun %u and %u, taken up %u, went on %u, refused %u, "
          "mixed %u, store calls %u\n",
          plan->gateways, scene->begun[0], scene->begun[1], scene->taken_up,
          scene->went_on, scene->refused, scene->mixed, scene->store_calls);
}

static void
play_fault (const struct plan *plan)
{
  static struct scene scene;

  play (&scene, plan);
  CU_ASSERT (scene.begun[1] >= BEGUN_MIN);
  CU_ASSERT (scene.went_on >= BEGUN_MIN);
  CU_ASSERT_EQUAL (scene.mixed, 0);
}

static void
test_cut_off (void)
{
  play_fault (&(struct plan){ .gateways = 3,
                              .hub = true,
                              .fault = FAULT_CUT_OFF,
                              .fault_ms = 2500,
                              .second_ms = CALM_MS });
  play_fault (&(struct plan){ .gateways = 3,
                              .hub = true,
                              .fault = FAULT_CUT_OFF,
                              .fault_ms = 1000,
                              .second_ms = CALM_MS - 200 });
}

static void
test_cut_off_with_hubs (void)
{
  play_fault (&(struct plan){ .gateways = GATEFLEET_GATEWAYS_MAX,
                              .fault = FAULT_CUT_OFF,
                              .fault_ms = 2500,
                              .second_ms = CALM_MS });
  play_fault (&(struct plan){ .gateways = GATEFLEET_GATEWAYS_MAX,
                              .hub = true,
                              .fault = FAULT_CUT_OFF,
                              .fault_ms = 2500,
                              .second_ms = CALM_MS });
}

static void
test_pair_cut_off (void)
{
  play_fault (&(struct plan){ .gateways = 5,
                              .hub = true,
                              .pair = true,
                              .fault = FAULT_CUT_OFF,
                              .fault_ms = 2500,
                              .second_ms = CALM_MS });
}

/* The store answered until just before.  Guards against a gateway that takes
   what it has read for current for a time after it was cut off. */
static void
test_pair_cut_off_beside_heartbeats (void)
{
  play_fault (&(struct plan){ .gateways = 5,
                              .hub = true,
                              .pair = true,
                              .heartbeats = true,
                              .fault = FAULT_CUT_OFF,
                              .fault_ms = 2500,
                              .second_ms = CALM_MS });
}

static void
test_cut_from_peers (void)
{
  play_fault (&(struct plan){ .gateways = 3,
                              .hub = true,
                              .fault = FAULT_CUT_FROM_PEERS,
                              .fault_ms = 2500,
                              .second_ms = CALM_MS });
  play_fault (&(struct plan){ .gateways = GATEFLEET_GATEWAYS_MAX,
                              .fault = FAULT_CUT_FROM_PEERS,
                              .fault_ms = 2500,
                              .second_ms = CALM_MS });
}

static void
test_cut_from_store (void)
{
  play_fault (&(struct plan){ .gateways = 3,
                              .hub = true,
                              .fault = FAULT_CUT_FROM_STORE,
                              .fault_ms = 2500,
                              .second_ms = CALM_MS });
  play_fault (&(struct plan){ .gateways = GATEFLEET_GATEWAYS_MAX,
                              .hub = true,
                              .fault = FAULT_CUT_FROM_STORE,
                              .fault_ms = 2500,
                              .second_ms = CALM_MS });
}

/* The gateway that begins streams has seen the second build since its last
   tick. */
static void
test_not_marked_yet (void)
{
  play_fault (&(struct plan){ .gateways = 2,
                              .hub = true,
                              .fault = FAULT_CUT_FROM_STORE,
                              .fault_ms = 2000,
                              .second_ms = CALM_MS,
                              .no_ticks = true });
}

static void
test_stands_still (void)
{
  play_fault (&(struct plan){ .gateways = 3,
                              .hub = true,
                              .fault = FAULT_STANDS_STILL,
                              .fault_ms = 800,
                              .second_ms = CALM_MS });
  play_fault (&(struct plan){ .gateways = 3,
                              .hub = true,
                              .fault = FAULT_STANDS_STILL,
                              .fault_ms = 3000,
                              .second_ms = CALM_MS });
  play_fault (&(struct plan){ .gateways = GATEFLEET_GATEWAYS_MAX,
                              .fault = FAULT_STANDS_STILL,
                              .fault_ms = 3000,
                              .second_ms = CALM_MS });
}

/* Nothing is unsure: nothing is refused, and the store is not asked more. */
static void
test_calm (void)
{
  static struct scene scene;
  static const unsigned int sizes[] = { 3, GATEFLEET_GATEWAYS_MAX };
  struct plan plan = { .fault_ms = 1000 };
  unsigned int calls;
  unsigned int i;

  for (i = 0; i < sizeof sizes / sizeof sizes[0]; i++)
    {
      plan.gateways = sizes[i];
      plan.hub = sizes[i] == 3;
      plan.stays = true;
      play (&scene, &plan);
      calls = scene.store_calls;
      plan.stays = false;
      play (&scene, &plan);
      CU_ASSERT (scene.taken_up >= 100);
      CU_ASSERT_EQUAL (scene.refused, 0);
      CU_ASSERT_EQUAL (scene.went_on, scene.taken_up);
      CU_ASSERT (scene.store_calls <= calls + plan.gateways);
    }
}

static const struct suite_test tests[] = {
  { "streams are joined while a gateway is cut off", test_cut_off },
  { "streams are joined while one is cut off from hubs",
    test_cut_off_with_hubs },
  { "streams are joined while two are cut off together", test_pair_cut_off },
  { "streams are joined while two are cut off beside heartbeats",
    test_pair_cut_off_beside_heartbeats },
  { "streams are joined without peers", test_cut_from_peers },
  { "streams are joined without the store", test_cut_from_store },
  { "streams are joined before a tick marks their service",
    test_not_marked_yet },
  { "streams are joined when a gateway stood still", test_stands_still },
  { "streams are refused though nothing is unsure", test_calm },
};

SUITE_MAIN ("test_out_of_step", tests)
