/**
 * @file test_server_limit.c
 * Upstreams name a limit of requests a second for all gateways of a fleet
 * together.  Many more requests come than that.
 */
#include "state/rng.h"
#include "support/gatefleet.h"
#include "support/suite.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define UPSTREAMS    GATEFLEET_UPSTREAMS
#define CLIENTS      64   /* connections open at a time, reused in turn */
#define STEP_MS      10   /* from one request to the next */
#define ARRIVALS_MAX 2000 /* at one upstream */
#define DURATION_MS  6500
#define CHANGE_MS    2500 /* when a limit changes, or a gateway is lost */
/* Time after the first response with a limit, or a change, in which requests
   are not counted.  The bench allows 3 s and more. */
#define NOTICE_MS 1000
#define WINDOW_MS 4000
/* In a window: one and a half times what the limit allows, and these. */
#define BURST         5
#define USED_PERMILLE 700 /* of a limit, while more is asked */
#define SESSIONS      40  /* prefixes of prompts */

/** What happens in a test. */
struct limit_plan
{
  unsigned int gateways;
  unsigned int limited; /* upstreams */
  const char *limit;
  const char *later_limit; /* from CHANGE_MS on; NULL: the same */
  bool lifted;             /* no limit from CHANGE_MS on */
  bool prompts;
  bool one_gateway; /* gets all requests */
  bool gateway_lost;
  bool gateway_added;
  bool store_down;
  uint32_t step_ms; /* from one request to the next; 0: STEP_MS */
};

struct limit_client
{
  struct platclient client;
  bool used;
};

struct limit_scene
{
  const struct limit_plan *plan;
  struct gatefleet fleet;
  struct rng rng;
  struct limit_client clients[CLIENTS];
  unsigned int sent;
  unsigned int served;
  unsigned int refused; /* with a time to come back */
  unsigned int arrived[UPSTREAMS];
  uint64_t arrivals_ms[UPSTREAMS][ARRIVALS_MAX];
  uint64_t named_ms[UPSTREAMS];
  char header[2][64];
};

static bool
changed (const struct limit_scene *scene)
{
  return gatefleet_now_ms (&scene->fleet) >= CHANGE_MS;
}

static void
on_request (struct upstreamserver *server, const char *message)
{
  struct limit_scene *scene = server->user;
  const struct limit_plan *plan = scene->plan;
  size_t index = (size_t)(server - scene->fleet.upstreams);
  unsigned int *count = &scene->arrived[index];

  server->behaviour = strstr (message, "/stream/") == NULL
                          ? UPSTREAMSERVER_RESPOND
                          : UPSTREAMSERVER_STREAM;
  server->extra_headers
      = index >= plan->limited || (plan->lifted && changed (scene))
            ? NULL
            : scene->header[changed (scene)];
  if (*count == 0)
    scene->named_ms[index] = gatefleet_now_ms (&scene->fleet);
  if (*count < ARRIVALS_MAX)
    scene->arrivals_ms[index][(*count)++] = gatefleet_now_ms (&scene->fleet);
}

static void
finish_client (struct limit_scene *scene, struct limit_client *client)
{
  if (!client->used)
    return;
  scene->served += strncmp (client->client.got, "HTTP/1.1 200", 12) == 0;
  scene->refused += strncmp (client->client.got, "HTTP/1.1 503", 12) == 0
                    && strstr (client->client.got, "Retry-After: ") != NULL;
  platclient_finish (&client->client);
  client->used = false;
}

static void
send_request (struct limit_scene *scene)
{
  const struct limit_plan *plan = scene->plan;
  struct limit_client *client = &scene->clients[scene->sent % CLIENTS];
  unsigned int gateway
      = (unsigned int)rng_below (&scene->rng, scene->fleet.gateway_count);
  char prompt[128] = "";
  char request[1024];

  if (plan->one_gateway)
    gateway = 0;
  finish_client (scene, client);
  client->used = true;
  if (plan->prompts)
    snprintf (prompt, sizeof prompt,
              "X-Token-Usage: 350,20\r\n"
              "X-Prompt-Prefix: a%x:300,f00d%x:50\r\n",
              (unsigned int)rng_below (&scene->rng, SESSIONS), scene->sent);
  snprintf (request, sizeof request,
            "POST /%s/x HTTP/1.1\r\nHost: shop.example\r\n"
            "X-Attempt-Id: id-%u\r\nX-Credential: key-1\r\n%s"
            "X-Deadline-Remaining-Ms: 2000\r\nContent-Length: 0\r\n\r\n",
            plan->prompts ? "stream" : "again", scene->sent, prompt);
  platclient_init (&client->client, scene->fleet.base,
                   httpd_port (scene->fleet.gateways[gateway].httpd));
  platclient_send (&client->client, request);
  scene->sent++;
}

/* Most arrivals in a window that begins after a time. */
static unsigned int
most_in_window (const struct limit_scene *scene, unsigned int upstream,
                uint64_t from_ms)
{
  const uint64_t *times = scene->arrivals_ms[upstream];
  unsigned int most = 0;
  unsigned int i;
  unsigned int j;

  for (i = 0; i < scene->arrived[upstream]; i++)
    {
      if (times[i] < from_ms)
        continue;
      for (j = i;
           j < scene->arrived[upstream] && times[j] < times[i] + WINDOW_MS;
           j++)
        continue;
      most = j - i > most ? j - i : most;
    }
  return most;
}

static unsigned int
arrived_since (const struct limit_scene *scene, unsigned int upstream,
               uint64_t from_ms)
{
  unsigned int count = 0;
  unsigned int i;

  for (i = 0; i < scene->arrived[upstream]; i++)
    count += scene->arrivals_ms[upstream][i] >= from_ms;
  return count;
}

static void
check (const struct limit_scene *scene)
{
  const struct limit_plan *plan = scene->plan;
  const bool changes
      = plan->lifted || plan->later_limit != NULL || plan->gateway_lost;
  const double limit = strtod (
      plan->later_limit == NULL ? plan->limit : plan->later_limit, NULL);
  unsigned int used = 0;
  uint64_t from_ms;
  unsigned int most;
  unsigned int i;

  for (i = 0; i < plan->limited; i++)
    {
      CU_ASSERT (scene->arrived[i] > 0);
      from_ms = (changes ? CHANGE_MS : scene->named_ms[i]) + NOTICE_MS;
      most = most_in_window (scene, i, from_ms);
      used += arrived_since (scene, i, from_ms);
      if (plan->lifted)
        continue;
      CU_ASSERT (most <= limit * WINDOW_MS / 1000 * 1.5 + BURST);
      if (most > limit * WINDOW_MS / 1000 * 1.5 + BURST)
        printf ("upstream %u: %u requests in a window\n", i, most);
    }
  from_ms = (changes ? CHANGE_MS : 0) + NOTICE_MS;
  printf ("%u sent, %u served, %u refused; limited upstreams: %u of %.0f\n",
          scene->sent, scene->served, scene->refused, used,
          limit * plan->limited * (double)(DURATION_MS - from_ms) / 1000);
  if (plan->limited < UPSTREAMS)
    {
      /* The others take what the limits leave. */
      CU_ASSERT (scene->served * 10 >= scene->sent * 9);
      return;
    }
  CU_ASSERT (used * 1000.0 >= limit * plan->limited
                                  * (double)(DURATION_MS - from_ms) / 1000
                                  * USED_PERMILLE);
  /* What can't be served is told when to come back. */
  if (!plan->lifted)
    CU_ASSERT ((scene->served + scene->refused) * 10 >= scene->sent * 9);
}

static unsigned int
limited_count (const struct gateway *gateway)
{
  const struct registry_upstream *upstream;
  unsigned int count = 0;

  for (upstream = gateway->registry.upstreams; upstream != NULL;
       upstream = upstream->hh.next)
    count += upstream->limit.limited;
  return count;
}

static void
play (const struct limit_plan *plan)
{
  static struct limit_scene scene;
  bool lost = false;
  unsigned int i;

  memset (&scene, 0, sizeof scene);
  scene.plan = plan;
  rng_init (&scene.rng, 1);
  snprintf (scene.header[0], sizeof scene.header[0], "Server-Limit: %s\r\n",
            plan->limit);
  snprintf (scene.header[1], sizeof scene.header[1], "Server-Limit: %s\r\n",
            plan->later_limit == NULL ? plan->limit : plan->later_limit);
  gatefleet_init (&scene.fleet);
  for (i = 0; i < UPSTREAMS; i++)
    {
      scene.fleet.upstreams[i].on_request = on_request;
      scene.fleet.upstreams[i].user = &scene;
    }
  gatefleet_start (&scene.fleet, plan->gateways);
  while (gatefleet_now_ms (&scene.fleet) < DURATION_MS)
    {
      send_request (&scene);
      gatefleet_run (&scene.fleet,
                     plan->step_ms == 0 ? STEP_MS : plan->step_ms);
      if (!changed (&scene) || lost)
        continue;
      lost = true;
      if (plan->store_down)
        scene.fleet.store.fault = STORESERVER_FAULT_503;
      if (plan->gateway_added)
        gatefleet_start_gateway (&scene.fleet, scene.fleet.gateway_count);
      if (plan->gateway_lost)
        gateway_finish (&scene.fleet.gateways[--scene.fleet.gateway_count]);
    }
  for (i = 0; i < CLIENTS; i++)
    finish_client (&scene, &scene.clients[i]);
  if (plan->gateway_added)
    {
      CU_ASSERT_EQUAL (
          limited_count (&scene.fleet.gateways[scene.fleet.gateway_count]),
          plan->limited);
      scene.fleet.gateway_count++;
    }
  gatefleet_finish (&scene.fleet);
  check (&scene);
}

static void
test_one_limited (void)
{
  play (&(struct limit_plan){ .gateways = 3, .limited = 1, .limit = "3" });
}

static void
test_some_limited (void)
{
  play (&(struct limit_plan){ .gateways = GATEFLEET_GATEWAYS_MAX,
                              .limited = 4,
                              .limit = "2.5",
                              .prompts = true });
}

static void
test_all_limited (void)
{
  play (&(struct limit_plan){ .gateways = GATEFLEET_GATEWAYS_MAX,
                              .limited = UPSTREAMS,
                              .limit = "3.0",
                              .prompts = true });
}

static void
test_below_one_a_second (void)
{
  play (&(struct limit_plan){ .gateways = GATEFLEET_GATEWAYS_MAX,
                              .limited = UPSTREAMS,
                              .limit = "0.4" });
}

static void
test_demand_at_one_gateway (void)
{
  play (&(struct limit_plan){ .gateways = 3,
                              .limited = UPSTREAMS,
                              .limit = "6",
                              .one_gateway = true });
}

static void
test_lone_gateway (void)
{
  play (&(struct limit_plan){
      .gateways = 1, .limited = UPSTREAMS, .limit = "5", .prompts = true });
}

static void
test_limit_lowered (void)
{
  play (&(struct limit_plan){ .gateways = 3,
                              .limited = UPSTREAMS,
                              .limit = "8",
                              .later_limit = "2",
                              .store_down = true });
}

/* The limit no longer holds: each upstream gets its part of all requests. */
static void
test_limit_lifted (void)
{
  play (&(struct limit_plan){ .gateways = GATEFLEET_GATEWAYS_MAX,
                              .limited = UPSTREAMS,
                              .limit = "2",
                              .later_limit = "10",
                              .lifted = true });
}

static void
test_gateway_lost (void)
{
  play (&(struct limit_plan){ .gateways = GATEFLEET_GATEWAYS_MAX,
                              .limited = UPSTREAMS,
                              .limit = "3",
                              .gateway_lost = true });
}

/* A gateway that joins gets no request, and knows the limits from others. */
static void
test_gateway_added (void)
{
  play (&(struct limit_plan){ .gateways = GATEFLEET_GATEWAYS_MAX - 1,
                              .limited = UPSTREAMS,
                              .limit = "3",
                              .gateway_added = true });
}

/* Little more is asked than the limits allow, at many gateways. */
static void
test_little_more_asked (void)
{
  play (&(struct limit_plan){ .gateways = GATEFLEET_GATEWAYS_MAX,
                              .limited = UPSTREAMS,
                              .limit = "3",
                              .step_ms = 25 });
}

static void
test_little_more_asked_of_engines (void)
{
  play (&(struct limit_plan){ .gateways = GATEFLEET_GATEWAYS_MAX,
                              .limited = UPSTREAMS,
                              .limit = "3",
                              .step_ms = 25,
                              .prompts = true });
}

static const struct suite_test tests[] = {
  { "one limited upstream", test_one_limited },
  { "some limited upstreams", test_some_limited },
  { "all upstreams limited", test_all_limited },
  { "below one request a second", test_below_one_a_second },
  { "demand at one gateway", test_demand_at_one_gateway },
  { "lone gateway", test_lone_gateway },
  { "limit lowered, store down", test_limit_lowered },
  { "limit lifted", test_limit_lifted },
  { "gateway lost", test_gateway_lost },
  { "little more is asked", test_little_more_asked },
  { "little more is asked of engines", test_little_more_asked_of_engines },
  { "gateway added", test_gateway_added },
};

SUITE_MAIN ("test_server_limit", tests)
