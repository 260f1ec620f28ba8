/**
 * @file test_crashing_requests.c
 * One request, known by its path, customer and body, crashes each upstream of
 * a small service that runs it.  It comes again and again, at any gateway,
 * beside others that share all but one of these.
 */
#include "state/rng.h"
#include "support/gatefleet.h"
#include "support/storeseed.h"
#include "support/suite.h"
#include <stdio.h>
#include <string.h>

#define UPSTREAMS     3
#define CLIENTS       64 /* connections open at a time, reused in turn */
#define STEP_MS       25 /* from one request to the next */
#define CULPRIT_STEPS 10 /* from one culprit to the next */
#define DOWN_MIN_MS   1000
#define DOWN_SPAN_MS  1500
#define FREE_CRASHES  3    /* before requests are counted */
#define CONTACT_MS    3000 /* from the last of these until they are counted */
#define FURTHER_MAX   3    /* culprits that reach upstreams later */
#define SETTLED_MS    6000 /* from then on the others are served as before */
#define DURATION_MS   10000

/** What a request has in common with the culprit. */
enum kind
{
  KIND_CULPRIT,
  KIND_OTHER_BODY,
  KIND_OTHER_CUSTOMER,
  KIND_OTHER_PATH,
  KIND_POLLED, /* its customer; sent again and again, as it is */
  KIND_MAX
};

struct scene_plan
{
  unsigned int gateways;
  enum upstreamserver_behaviour crash;
  const char *route;
  bool store_down;
  bool restart; /* all gateways restart after the crashes */
  bool kills;   /* upstreams are killed; there is no culprit */
};

struct scene;

struct scene_client
{
  struct scene *scene;
  struct platclient client;
  bool used;
  enum kind kind;
  uint64_t sent_ms;
};

struct scene
{
  const struct scene_plan *plan;
  struct gatefleet fleet;
  uint64_t revive_ms[UPSTREAMS]; /* 0: it runs */
  struct scene_client clients[CLIENTS];
  struct rng rng;
  unsigned int sent;
  unsigned int crashes;
  uint64_t last_free_ms; /* time of the last free crash; 0: not yet */
  unsigned int further;
  unsigned int settled_sent[KIND_MAX];
  unsigned int settled_served[KIND_MAX]; /* of these */
};

static uint64_t
now_ms (const struct scene *scene)
{
  return gatefleet_now_ms (&scene->fleet);
}

/* Whether a message is the culprit; its body may come in a chunk. */
static bool
is_culprit (const struct scene *scene, const char *message)
{
  const char *body = strstr (message, "\r\n\r\n");
  char customer[32];

  upstreamserver_get_header (message, "X-Tenant", customer, sizeof customer);
  return !scene->plan->kills && strstr (message, "/x?q=1 ") != NULL
         && strcmp (customer, "ana") == 0 && strstr (body, "deadly") != NULL;
}

static void
on_request (struct upstreamserver *server, const char *message)
{
  struct scene *scene = server->user;

  server->behaviour = strncmp (message, "POST /stream/", 13) == 0
                          ? UPSTREAMSERVER_STREAM
                          : UPSTREAMSERVER_RESPOND;
  if (!is_culprit (scene, message))
    return;
  server->behaviour = scene->plan->crash;
  if (scene->last_free_ms != 0
      && now_ms (scene) > scene->last_free_ms + CONTACT_MS)
    scene->further++;
}

static void
on_crash (struct upstreamserver *server)
{
  struct scene *scene = server->user;

  if (++scene->crashes == FREE_CRASHES)
    scene->last_free_ms = now_ms (scene);
  scene->revive_ms[server - scene->fleet.upstreams]
      = now_ms (scene) + DOWN_MIN_MS
        + (uint64_t)rng_below (&scene->rng, DOWN_SPAN_MS);
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
      gatefleet_renew (&scene->fleet, i);
    }
}

static void
finish_client (struct scene_client *client)
{
  struct scene *scene = client->scene;

  if (!client->used)
    return;
  client->used = false;
  if (scene->last_free_ms != 0
      && client->sent_ms > scene->last_free_ms + SETTLED_MS)
    {
      scene->settled_sent[client->kind]++;
      scene->settled_served[client->kind]
          += strncmp (client->client.got, "HTTP/1.1 200", 12) == 0
             && platclient_answered (&client->client);
    }
  platclient_finish (&client->client);
}

static void
send_request (struct scene *scene)
{
  struct scene_client *client = &scene->clients[scene->sent % CLIENTS];
  unsigned int gateway
      = (unsigned int)rng_below (&scene->rng, scene->plan->gateways);
  enum kind kind
      = scene->sent % CULPRIT_STEPS == 0
            ? KIND_CULPRIT
            : KIND_OTHER_BODY + scene->sent % (KIND_MAX - KIND_OTHER_BODY);
  char body[32] = "deadly";
  char request[512];
  size_t size;

  if (kind == KIND_OTHER_BODY)
    snprintf (body, sizeof body, "sound-%u", scene->sent);
  else if (kind == KIND_POLLED)
    snprintf (body, sizeof body, "polled");
  finish_client (client);
  client->scene = scene;
  client->used = true;
  client->kind = kind;
  client->sent_ms = now_ms (scene);
  size = (size_t)snprintf (
      request, sizeof request,
      "POST /%s/x?q=%u HTTP/1.1\r\nHost: shop.example\r\n"
      "X-Attempt-Id: id-%u\r\nX-Credential: %s\r\n"
      "X-Deadline-Remaining-Ms: 1000\r\n",
      scene->plan->route, kind == KIND_OTHER_PATH ? 2 + scene->sent : 1,
      scene->sent, kind == KIND_OTHER_CUSTOMER ? "key-2" : "key-1");
  if (rng_below (&scene->rng, 2) == 0)
    snprintf (request + size, sizeof request - size,
              "Content-Length: %zu\r\n\r\n%s", strlen (body), body);
  else
    snprintf (request + size, sizeof request - size,
              "Transfer-Encoding: chunked\r\n\r\n%zx\r\n%s\r\n0\r\n\r\n",
              strlen (body), body);
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
  for (i = 0; i < scene->plan->gateways; i++)
    while (!gateway_ready (&scene->fleet.gateways[i]))
      gatefleet_run (&scene->fleet, STEP_MS);
}

static void
scene_init (struct scene *scene, const struct scene_plan *plan)
{
  unsigned int i;

  memset (scene, 0, sizeof *scene);
  scene->plan = plan;
  rng_init (&scene->rng, 1);
  gatefleet_init_upstreams (&scene->fleet, UPSTREAMS);
  /* Two customers. */
  storeseed_configure (&scene->fleet.store, 2,
                       "\"key-1\"]},{\"name\":\"bea\",\"api_keys\":["
                       "\"key-2\"",
                       "s2");
  for (i = 0; i < UPSTREAMS; i++)
    {
      scene->fleet.upstreams[i].on_request = on_request;
      scene->fleet.upstreams[i].on_crash = on_crash;
      scene->fleet.upstreams[i].user = scene;
    }
  gatefleet_start (&scene->fleet, plan->gateways);
  if (plan->store_down)
    scene->fleet.store.fault = STORESERVER_FAULT_503;
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

/* Kills the upstreams that run, four times within the first seconds. */
static void
kill_upstreams (struct scene *scene)
{
  unsigned int i;

  if (scene->sent % 40 != 0 || scene->sent > 160)
    return;
  for (i = 0; i < UPSTREAMS; i++)
    if (scene->fleet.upstreams[i].listener != NULL)
      upstreamserver_crash (&scene->fleet.upstreams[i]);
}

static void
play (const struct scene_plan *plan)
{
  static struct scene scene;
  bool restarted = false;
  unsigned int kind;

  scene_init (&scene, plan);
  while (now_ms (&scene) < DURATION_MS)
    {
      send_request (&scene);
      gatefleet_run (&scene.fleet, STEP_MS);
      revive_upstreams (&scene);
      if (plan->kills)
        kill_upstreams (&scene);
      if (plan->restart && !restarted && scene.last_free_ms != 0
          && now_ms (&scene) > scene.last_free_ms + CONTACT_MS)
        {
          restart_gateways (&scene);
          restarted = true;
        }
    }
  gatefleet_run (&scene.fleet, 700);
  scene_finish (&scene);
  printf ("crashes %u, further %u; served", scene.crashes, scene.further);
  for (kind = KIND_OTHER_BODY; kind < KIND_MAX; kind++)
    printf (" %u of %u", scene.settled_served[kind], scene.settled_sent[kind]);
  printf ("\n");
  CU_ASSERT (scene.crashes >= FREE_CRASHES);
  CU_ASSERT (scene.further <= FURTHER_MAX);
  for (kind = KIND_OTHER_BODY; kind < KIND_MAX; kind++)
    {
      CU_ASSERT (scene.settled_sent[kind] > 0);
      CU_ASSERT (scene.settled_served[kind] * 10
                 >= scene.settled_sent[kind] * 9);
    }
}

static void
test_idempotent (void)
{
  play (&(struct scene_plan){
      .gateways = 3, .crash = UPSTREAMSERVER_CRASH, .route = "again" });
}

static void
test_not_idempotent (void)
{
  play (&(struct scene_plan){
      .gateways = 3, .crash = UPSTREAMSERVER_CRASH_IN_HEAD, .route = "once" });
}

static void
test_stream (void)
{
  play (&(struct scene_plan){ .gateways = 3,
                              .crash = UPSTREAMSERVER_CRASH_IN_EVENT,
                              .route = "stream" });
}

static void
test_fleet_with_hubs (void)
{
  play (&(struct scene_plan){ .gateways = GATEFLEET_GATEWAYS_MAX,
                              .crash = UPSTREAMSERVER_CRASH,
                              .route = "again" });
}

static void
test_store_down (void)
{
  play (&(struct scene_plan){ .gateways = 3,
                              .crash = UPSTREAMSERVER_CRASH,
                              .route = "again",
                              .store_down = true });
}

static void
test_restart_of_fleet (void)
{
  play (&(struct scene_plan){ .gateways = 3,
                              .crash = UPSTREAMSERVER_CRASH,
                              .route = "again",
                              .restart = true });
}

/* A request that is sent again and again is there by chance. */
static void
test_kills_without_culprit (void)
{
  play (
      &(struct scene_plan){ .gateways = 3, .route = "again", .kills = true });
}

static const struct suite_test tests[] = {
  { "idempotent request", test_idempotent },
  { "request that is not idempotent", test_not_idempotent },
  { "stream", test_stream },
  { "fleet with hubs", test_fleet_with_hubs },
  { "store down", test_store_down },
  { "restart of the fleet", test_restart_of_fleet },
  { "upstreams killed without a culprit", test_kills_without_culprit },
};

SUITE_MAIN ("test_crashing_requests", tests)
