/**
 * @file test_stream_builds.c
 * Streams of a service whose upstreams have two builds: clients leave midway
 * and take their streams up at other gateways, upstreams break off, gateways
 * are lost.  No stream holds events of two builds, and streams go on.
 */
#include "state/rng.h"
#include "support/gatefleet.h"
#include "support/storeseed.h"
#include "support/suite.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define UPSTREAMS   GATEFLEET_UPSTREAMS
#define STREAMS     128 /* at a time, in turn */
#define STEP_MS     20  /* from one stream to the next */
#define EVENTS      12  /* of a stream */
#define INTERVAL_MS 25
#define DURATION_MS 5000
#define TRIES_MAX   3 /* of a client */
#define MIXED_MAX   2
#define BUILDS      2
#define PREFIXES    32 /* of prompts */

/* Of a fleet whose gateways are all lost at once. */
#define HERD_INTERVAL_MS 120 /* between the events of a stream */
#define HERD_KILL_MS     5000
#define HERD_DOWN_MS     1500
#define HERD_RETURN_MS   3000 /* during which clients retry */
#define HERD_RETRY_MS    300
#define NEVER_MS         (UINT64_MAX - 1)
#define ENTRIES          400 /* many pages of a listing */

static const char *const builds[BUILDS] = { "v1", "v1.1" };

struct plan
{
  unsigned int gateways;
  bool resets;  /* upstreams break one stream in ten off */
  bool kill;    /* a gateway is lost at half-time */
  bool restart; /* one starts again at half-time */
  bool late;    /* the second build appears at half-time */
  bool store_down;
};

/* When all gateways are lost. */
struct herd_plan
{
  unsigned int gateways;
  uint32_t second_ms;       /* when the second build appears; 0: never */
  uint32_t older_leaves_ms; /* when the first one leaves; 0: never */
  bool replaced; /* the second takes its place while there is no gateway */
  /* Entries of no use before the records of builds: reading these takes longer
     than reading the upstreams. */
  unsigned int entries;
  bool obeys; /* clients come back when they are told to, or not at all */
};

struct scene;

/* A client with one stream, which it takes up after leaving. */
struct stream
{
  struct scene *scene;
  struct platclient client;
  bool used;
  unsigned int number;
  unsigned int gateway;
  unsigned int tries;
  unsigned int first_try; /* that brought the first event; 0: none */
  unsigned int events;    /* received, over all tries */
  unsigned int leave_at;  /* events of the next break; 0: none */
  int build;              /* of the first event */
  bool mixed;
  bool broken;                 /* by the loss of all gateways */
  unsigned int events_at_kill; /* of such a stream */
  uint64_t retry_ms;           /* next try of its client */
};

struct scene
{
  bool resets; /* see struct plan */
  struct gatefleet fleet;
  struct stream streams[STREAMS];
  struct rng rng;
  unsigned int sent;
  unsigned int begun;
  unsigned int taken_up;
  unsigned int went_on;
  unsigned int mixed;
  bool killed;
  char identity[32]; /* that the last request at an upstream named */
};

static void
on_request (struct upstreamserver *server, const char *message)
{
  struct scene *scene = server->user;

  upstreamserver_get_header (message, "X-Expect-Instance", scene->identity,
                             sizeof scene->identity);
  server->behaviour = UPSTREAMSERVER_STREAM_TIMED;
  server->reset_event = scene->resets && rng_below (&scene->rng, 10) == 0
                            ? 1 + (unsigned int)rng_below (&scene->rng, EVENTS)
                            : 0;
}

static int
build_index (const char *text)
{
  int i;

  for (i = BUILDS - 1; i >= 0; i--)
    if (strncmp (text, builds[i], strlen (builds[i])) == 0)
      return i;
  return BUILDS;
}

/* Events of the answer so far; counts those that are new to the client. */
static void
read_events (struct stream *stream)
{
  char text[32];
  const char *event;
  int build;

  for (;;)
    {
      snprintf (text, sizeof text, "\nid: %u\ndata: ", stream->events + 1);
      event = strstr (stream->client.got, text);
      if (event == NULL || strchr (event + strlen (text), '\n') == NULL)
        return;
      build = build_index (event + strlen (text));
      if (stream->events == 0)
        {
          stream->first_try = stream->tries;
          stream->build = build;
          stream->scene->begun++;
        }
      stream->mixed = stream->mixed || build != stream->build;
      stream->events++;
    }
}

static void
send_try (struct stream *stream)
{
  struct scene *scene = stream->scene;
  unsigned int count = scene->fleet.gateway_count;
  char request[512];
  char prompt[96] = "";
  char resume[128] = "";

  /* Every other stream is for an engine. */
  if (stream->number % 2 == 0)
    snprintf (prompt, sizeof prompt,
              "X-Token-Usage: 350,20\r\nX-Prompt-Prefix: a%u:100,f%x:50\r\n",
              stream->number % PREFIXES, stream->number);
  stream->gateway
      = (stream->gateway + 1 + (unsigned int)rng_below (&scene->rng, count))
        % count;
  if (scene->killed && stream->gateway == 0)
    stream->gateway = 1;
  stream->tries++;
  if (stream->events > 0)
    snprintf (resume, sizeof resume,
              "Resumes: s-%u-%u\r\nLast-Event-Id: %u\r\n", stream->number,
              stream->first_try, stream->events);
  snprintf (request, sizeof request,
            "POST /resume/%u HTTP/1.1\r\nHost: shop.example\r\n"
            "X-Attempt-Id: s-%u-%u\r\nX-Credential: key-1\r\n"
            "%s%sX-Deadline-Remaining-Ms: 2000\r\nContent-Length: 0\r\n\r\n",
            stream->number, stream->number, stream->tries, prompt, resume);
  platclient_init (&stream->client, scene->fleet.base,
                   httpd_port (scene->fleet.gateways[stream->gateway].httpd));
  platclient_send (&stream->client, request);
}

static void
finish_stream (struct stream *stream)
{
  if (!stream->used)
    return;
  stream->used = false;
  platclient_finish (&stream->client);
  stream->scene->mixed += stream->mixed;
}

static void
start_stream (struct scene *scene)
{
  struct stream *stream = &scene->streams[scene->sent % STREAMS];

  finish_stream (stream);
  memset (stream, 0, sizeof *stream);
  stream->scene = scene;
  stream->used = true;
  stream->number = scene->sent++;
  stream->leave_at = rng_below (&scene->rng, 2) == 0
                         ? 1 + (unsigned int)rng_below (&scene->rng, 6)
                         : 0;
  send_try (stream);
}

/* Reads what has come; a client that leaves, or whose answer has broken off,
   comes back at another gateway. */
static void
advance_stream (struct stream *stream)
{
  struct scene *scene = stream->scene;
  unsigned int had = stream->events;

  if (!stream->used)
    return;
  read_events (stream);
  if (stream->tries > 1 && had < stream->events
      && stream->first_try < stream->tries
      && strstr (stream->client.got, "\nid: ") != NULL
      && stream->leave_at == EVENTS + 1)
    {
      scene->went_on++;
      stream->leave_at = 0;
    }
  if (stream->events >= EVENTS || stream->tries >= TRIES_MAX
      || stream->events == 0)
    return;
  if (stream->client.closed
      || (stream->leave_at != 0 && stream->events >= stream->leave_at))
    {
      platclient_finish (&stream->client);
      send_try (stream);
      scene->taken_up++;
      /* Any further event shows that it goes on. */
      stream->leave_at = EVENTS + 1;
    }
}

static void
scene_init (struct scene *scene, uint32_t interval_ms)
{
  unsigned int i;

  memset (scene, 0, sizeof *scene);
  rng_init (&scene->rng, 1);
  gatefleet_init (&scene->fleet);
  for (i = 0; i < UPSTREAMS; i++)
    {
      scene->fleet.upstreams[i].on_request = on_request;
      scene->fleet.upstreams[i].user = scene;
      scene->fleet.upstreams[i].timed_events = EVENTS;
      scene->fleet.upstreams[i].event_interval_ms = interval_ms;
      scene->fleet.upstreams[i].signature = builds[0];
      scene->fleet.upstreams[i].checks_identity = true;
    }
}

/* Upstreams start again as the second build. */
static void
replace_upstreams (struct scene *scene, unsigned int first, unsigned int end)
{
  unsigned int i;

  for (i = first; i < end; i++)
    {
      upstreamserver_finish (&scene->fleet.upstreams[i]);
      scene->fleet.upstreams[i].signature = builds[1];
      scene->fleet.builds[i] = builds[1];
      upstreamserver_revive (&scene->fleet.upstreams[i]);
      gatefleet_renew (&scene->fleet, i);
    }
}

static void
start_second_build (struct scene *scene)
{
  replace_upstreams (scene, UPSTREAMS / 2, UPSTREAMS);
}

static void
scene_finish (struct scene *scene)
{
  unsigned int i;

  for (i = 0; i < STREAMS; i++)
    finish_stream (&scene->streams[i]);
  if (scene->killed)
    {
      gatefleet_start_gateway (&scene->fleet, 0);
      gatefleet_run (&scene->fleet, STEP_MS);
    }
  gatefleet_finish (&scene->fleet);
}

static void
play (const struct plan *plan)
{
  static struct scene scene;
  bool halved = false;
  unsigned int i;

  scene_init (&scene, INTERVAL_MS);
  scene.resets = plan->resets;
  if (!plan->late)
    start_second_build (&scene);
  gatefleet_start (&scene.fleet, plan->gateways);
  if (plan->store_down)
    scene.fleet.store.fault = STORESERVER_FAULT_503;
  while (gatefleet_now_ms (&scene.fleet) < DURATION_MS)
    {
      start_stream (&scene);
      gatefleet_run (&scene.fleet, STEP_MS);
      for (i = 0; i < STREAMS; i++)
        advance_stream (&scene.streams[i]);
      if (halved || gatefleet_now_ms (&scene.fleet) < DURATION_MS / 2)
        continue;
      halved = true;
      if (plan->late)
        start_second_build (&scene);
      if (plan->kill)
        {
          gateway_finish (&scene.fleet.gateways[0]);
          scene.killed = true;
        }
      if (plan->restart)
        {
          gateway_finish (&scene.fleet.gateways[0]);
          gatefleet_start_gateway (&scene.fleet, 0);
          while (!gateway_ready (&scene.fleet.gateways[0]))
            gatefleet_run (&scene.fleet, 1);
        }
    }
  scene_finish (&scene);
  printf ("streams %u, begun %u, taken up %u, went on %u, mixed %u\n",
          scene.sent, scene.begun, scene.taken_up, scene.went_on, scene.mixed);
  CU_ASSERT (scene.begun * 10 >= scene.sent * 9);
  CU_ASSERT (scene.taken_up >= 50);
  CU_ASSERT (scene.went_on * 2 >= scene.taken_up);
  CU_ASSERT (scene.mixed <= MIXED_MAX);
}

static void
test_two_builds (void)
{
  play (&(struct plan){ .gateways = 3 });
}

static void
test_resets (void)
{
  play (&(struct plan){ .gateways = 3, .resets = true });
}

static void
test_lost_gateway (void)
{
  play (&(struct plan){ .gateways = 3, .resets = true, .kill = true });
}

static void
test_gateway_restarts (void)
{
  play (&(struct plan){ .gateways = 3, .resets = true, .restart = true });
}

static void
test_second_build_appears (void)
{
  play (&(struct plan){ .gateways = 3, .late = true });
}

static void
test_fleet_with_hubs (void)
{
  play (&(struct plan){
      .gateways = GATEFLEET_GATEWAYS_MAX, .resets = true, .kill = true });
}

static void
test_store_down (void)
{
  play (&(struct plan){ .gateways = 3, .resets = true, .store_down = true });
}

/* All gateways are lost at once.  Clients of streams that were in progress
   retry until these go on. */

static void
lose_all_gateways (struct scene *scene)
{
  struct stream *stream;
  unsigned int i;

  for (i = 0; i < STREAMS; i++)
    {
      stream = &scene->streams[i];
      if (!stream->used)
        continue;
      read_events (stream);
      stream->broken = stream->events > 0 && stream->events < EVENTS;
      stream->events_at_kill = stream->events;
      if (stream->broken)
        platclient_finish (&stream->client);
      else
        finish_stream (stream);
    }
  for (i = 0; i < scene->fleet.gateway_count; i++)
    gateway_finish (&scene->fleet.gateways[i]);
}

/* Time that a refused client waits before it comes back; 0: it does not. */
static uint64_t
wait_ms (const struct stream *stream, const struct herd_plan *plan)
{
  char seconds[32];

  if (!plan->obeys)
    return HERD_RETRY_MS;
  upstreamserver_get_header (stream->client.got, "Retry-After", seconds,
                             sizeof seconds);
  return (uint64_t)(strtod (seconds, NULL) * 1000);
}

static void
take_up_broken (struct scene *scene, const struct herd_plan *plan)
{
  struct stream *stream;
  uint64_t now_ms = gatefleet_now_ms (&scene->fleet);
  uint64_t pause_ms;
  bool ended;
  unsigned int i;

  for (i = 0; i < STREAMS; i++)
    {
      stream = &scene->streams[i];
      if (!stream->used || !stream->broken || stream->events >= EVENTS)
        continue;
      if (stream->retry_ms == 0)
        {
          send_try (stream);
          stream->retry_ms = UINT64_MAX;
          continue;
        }
      if (stream->retry_ms == UINT64_MAX)
        {
          read_events (stream);
          ended = stream->client.closed
                  || strncmp (stream->client.got, "HTTP/1.1 503", 12) == 0;
          if (!ended || stream->events >= EVENTS)
            continue;
          pause_ms = wait_ms (stream, plan);
          platclient_finish (&stream->client);
          stream->retry_ms = pause_ms == 0 ? NEVER_MS : now_ms + pause_ms;
        }
      else if (now_ms >= stream->retry_ms)
        {
          send_try (stream);
          stream->retry_ms = UINT64_MAX;
        }
    }
}

/* Counts broken streams whose build still serves, and those that went on. */
static void
count_broken (struct scene *scene, bool older_serves)
{
  struct stream *stream;
  unsigned int i;

  for (i = 0; i < STREAMS; i++)
    {
      stream = &scene->streams[i];
      if (!stream->used || !stream->broken)
        continue;
      if (stream->retry_ms != 0 && stream->retry_ms != UINT64_MAX)
        stream->used = false; /* its client is finished */
      scene->mixed += stream->used ? 0 : stream->mixed;
      if (stream->build == 0 && !older_serves)
        continue;
      scene->taken_up++;
      scene->went_on += stream->events > stream->events_at_kill;
    }
}

static void
put_useless_entries (struct scene *scene, unsigned int count)
{
  char key[64];
  unsigned int i;

  for (i = 0; i < count; i++)
    {
      snprintf (key, sizeof key, "cherrylanding/za/x-%04u", i);
      storeserver_put (&scene->fleet.store, key, "-");
    }
}

static void
play_herd (const struct herd_plan *plan)
{
  static struct scene scene;
  bool second = false;
  bool older_left = false;
  uint64_t now_ms = 0;
  unsigned int i;

  scene_init (&scene, HERD_INTERVAL_MS);
  put_useless_entries (&scene, plan->entries);
  gatefleet_start (&scene.fleet, plan->gateways);
  while (now_ms < HERD_KILL_MS)
    {
      start_stream (&scene);
      scene.streams[(scene.sent - 1) % STREAMS].leave_at = 0;
      gatefleet_run (&scene.fleet, STEP_MS);
      now_ms = gatefleet_now_ms (&scene.fleet);
      for (i = 0; i < STREAMS; i++)
        if (scene.streams[i].used)
          read_events (&scene.streams[i]);
      if (plan->second_ms != 0 && !second && now_ms >= plan->second_ms)
        {
          second = true;
          start_second_build (&scene);
        }
      if (plan->older_leaves_ms != 0 && !older_left
          && now_ms >= plan->older_leaves_ms)
        {
          older_left = true;
          replace_upstreams (&scene, 0, UPSTREAMS / 2);
        }
    }
  lose_all_gateways (&scene);
  if (plan->replaced)
    replace_upstreams (&scene, 0, UPSTREAMS);
  gatefleet_run (&scene.fleet, HERD_DOWN_MS);
  for (i = 0; i < plan->gateways; i++)
    gatefleet_start_gateway (&scene.fleet, i);
  while (now_ms < HERD_KILL_MS + HERD_DOWN_MS + HERD_RETURN_MS)
    {
      take_up_broken (&scene, plan);
      gatefleet_run (&scene.fleet, STEP_MS);
      now_ms = gatefleet_now_ms (&scene.fleet);
    }
  count_broken (&scene, !older_left && !plan->replaced);
  scene_finish (&scene);
  printf ("streams %u, taken up %u, went on %u, mixed %u\n", scene.sent,
          scene.taken_up, scene.went_on, scene.mixed);
  CU_ASSERT (plan->replaced || scene.taken_up >= 10);
  CU_ASSERT (scene.went_on * 2 >= scene.taken_up);
  CU_ASSERT (scene.mixed <= MIXED_MAX);
}

static void
test_herd_one_build (void)
{
  play_herd (&(struct herd_plan){ .gateways = 3 });
  play_herd (&(struct herd_plan){ .gateways = 9 });
  play_herd (&(struct herd_plan){ .gateways = GATEFLEET_GATEWAYS_MAX });
}

static void
test_herd_two_builds (void)
{
  play_herd (&(struct herd_plan){ .gateways = 3, .second_ms = 2000 });
  play_herd (&(struct herd_plan){ .gateways = 9, .second_ms = 2000 });
  play_herd (&(struct herd_plan){ .gateways = GATEFLEET_GATEWAYS_MAX,
                                  .second_ms = 2000 });
}

/* Clients reach gateways that have not read their configuration yet. */
static void
test_herd_not_told_to_return (void)
{
  play_herd (&(struct herd_plan){ .gateways = 3, .obeys = true });
  play_herd (&(struct herd_plan){ .gateways = GATEFLEET_GATEWAYS_MAX,
                                  .obeys = true });
  play_herd (
      &(struct herd_plan){ .gateways = 3, .second_ms = 2000, .obeys = true });
}

/* A hub sees two builds itself before it reads the record of them. */
static void
test_herd_record_read_late (void)
{
  play_herd (&(struct herd_plan){ .gateways = GATEFLEET_GATEWAYS_MAX,
                                  .second_ms = 2000,
                                  .entries = ENTRIES });
}

/* One build serves, another one has left seconds ago, or just now. */
static void
test_herd_older_left (void)
{
  play_herd (&(struct herd_plan){
      .gateways = 3, .second_ms = 1000, .older_leaves_ms = 2000 });
  play_herd (&(struct herd_plan){
      .gateways = 3, .second_ms = 2000, .older_leaves_ms = 4500 });
  play_herd (&(struct herd_plan){
      .gateways = 9, .second_ms = 2000, .older_leaves_ms = 4500 });
}

/* No gateway has seen both builds. */
static void
test_herd_replaced (void)
{
  play_herd (&(struct herd_plan){ .gateways = 3, .replaced = true });
}

/* The answer of one gateway to a stream that begins or is taken up.
   @param headers  its headers, with the request's id. */
static void
expect_from (struct gatefleet *fleet, unsigned int gateway,
             const char *headers, const char *status)
{
  struct platclient client;
  char request[512];

  snprintf (request, sizeof request,
            "POST /resume/x HTTP/1.1\r\nHost: shop.example\r\n%s"
            "X-Deadline-Remaining-Ms: 2000\r\nContent-Length: 0\r\n\r\n",
            headers);
  platclient_init (&client, fleet->base,
                   httpd_port (fleet->gateways[gateway].httpd));
  platclient_send (&client, request);
  gatefleet_run (fleet, 500);
  CU_ASSERT_EQUAL (strncmp (client.got, status, strlen (status)), 0);
  platclient_finish (&client);
}

static void
expect (struct gatefleet *fleet, unsigned int gateway, const char *headers,
        const char *status)
{
  char text[256];

  snprintf (text, sizeof text, "X-Attempt-Id: again\r\n%s", headers);
  expect_from (fleet, gateway, text, status);
}

/* Streams that no gateway knows, or that are another customer's, are refused
   as not run; with a single build they go on, and are bound to it. */
static void
test_unknown_streams (void)
{
  static struct scene scene;
  const char *refused = "HTTP/1.1 503";
  unsigned int i;

  scene_init (&scene, INTERVAL_MS);
  storeseed_configure (&scene.fleet.store, 2,
                       "\"key-1\"]},{\"name\":\"bea\",\"api_keys\":["
                       "\"key-2\"",
                       "s2");
  gatefleet_start (&scene.fleet, 2);
  expect (&scene.fleet, 0,
          "X-Credential: key-1\r\nResumes: nobody\r\nLast-Event-Id: 3\r\n",
          "HTTP/1.1 200");
  start_second_build (&scene);
  gatefleet_run (&scene.fleet, 2000);
  expect (&scene.fleet, 1,
          "X-Credential: key-1\r\nResumes: nobody\r\nLast-Event-Id: 5\r\n",
          "HTTP/1.1 200");
  expect (&scene.fleet, 0, "X-Credential: key-1\r\n", "HTTP/1.1 200");
  expect (&scene.fleet, 1,
          "X-Credential: key-1\r\nResumes: again\r\nLast-Event-Id: 3\r\n",
          "HTTP/1.1 200");
  expect (&scene.fleet, 0,
          "X-Credential: key-2\r\nResumes: again\r\nLast-Event-Id: 3\r\n",
          refused);
  expect (&scene.fleet, 0,
          "X-Credential: key-1\r\nResumes: stranger\r\nLast-Event-Id: 3\r\n",
          refused);
  expect (&scene.fleet, 0, "X-Credential: key-1\r\nLast-Event-Id: 3\r\n",
          refused);
  expect (&scene.fleet, 0,
          "X-Credential: key-1\r\nResumes: again\r\nResumes: again\r\n"
          "Last-Event-Id: 3\r\n",
          refused);
  expect (&scene.fleet, 0, "X-Credential: key-1\r\nResumes: again\r\n",
          "HTTP/1.1 200");
  /* The last upstreams of the build that began a stream leave. */
  for (i = 0; i < UPSTREAMS / 2; i++)
    {
      scene.fleet.builds[i] = builds[1];
      gatefleet_renew (&scene.fleet, i);
    }
  gatefleet_run (&scene.fleet, 2000);
  expect (&scene.fleet, 1,
          "X-Credential: key-1\r\nResumes: nobody\r\nLast-Event-Id: 7\r\n",
          refused);
  expect (&scene.fleet, 1, "X-Credential: key-1\r\n", "HTTP/1.1 200");
  scene_finish (&scene);
}

/* A route whose traffic is split between two services: a stream is taken up
   at the service that began it. */
static void
test_split_route (void)
{
  static struct scene scene;
  char headers[128];
  char value[256];
  char first;
  unsigned int i;

  scene_init (&scene, INTERVAL_MS);
  /* One upstream serves under two identities. */
  scene.fleet.upstreams[0].checks_identity = false;
  storeseed_configure (
      &scene.fleet.store, 2, "\"key-1\"",
      "s2\",\"traffic_split\":[{\"service\":\"s2\",\"weight\":1},"
      "{\"service\":\"s3\",\"weight\":1}],\"note\":\"");
  snprintf (value, sizeof value,
            "{\"service\":\"s3\",\"address\":\"127.0.0.1:%u\","
            "\"zone\":\"za\",\"version\":\"v1\",\"slots\":8,"
            "\"state\":\"ready\",\"cold_remaining_ms\":0,"
            "\"sequence\":1,\"born\":1000}",
            scene.fleet.upstreams[0].port);
  storeserver_put (&scene.fleet.store, "servers/t-0", value);
  gatefleet_start (&scene.fleet, 1);
  for (i = 0; i < 8; i++)
    {
      snprintf (headers, sizeof headers,
                "X-Attempt-Id: s-%u\r\nX-Credential: key-1\r\n", i);
      expect_from (&scene.fleet, 0, headers, "HTTP/1.1 200");
      first = scene.identity[0];
      snprintf (headers, sizeof headers,
                "X-Attempt-Id: again-%u\r\nX-Credential: key-1\r\n"
                "Resumes: s-%u\r\nLast-Event-Id: 3\r\n",
                i, i);
      expect_from (&scene.fleet, 0, headers, "HTTP/1.1 200");
      CU_ASSERT_EQUAL (scene.identity[0], first);
    }
  scene_finish (&scene);
}

static const struct suite_test tests[] = {
  { "two builds", test_two_builds },
  { "streams that break off", test_resets },
  { "gateway lost", test_lost_gateway },
  { "gateway starts again", test_gateway_restarts },
  { "second build appears", test_second_build_appears },
  { "fleet with hubs", test_fleet_with_hubs },
  { "store down", test_store_down },
  { "unknown streams", test_unknown_streams },
  { "split route", test_split_route },
  { "all gateways lost, one build", test_herd_one_build },
  { "all gateways lost, two builds", test_herd_two_builds },
  { "all gateways lost, builds seen before their record",
    test_herd_record_read_late },
  { "all gateways lost, clients are not told to return",
    test_herd_not_told_to_return },
  { "all gateways lost, older build left", test_herd_older_left },
  { "all gateways lost, build replaced", test_herd_replaced },
};

SUITE_MAIN ("test_stream_builds", tests)
