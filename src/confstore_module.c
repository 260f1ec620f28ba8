/**
 * @file confstore_module.c
 * Router module that starts the configuration store and connects it to the
 * peers.
 */
#include "confstore_module.h"
#include "coordination/fleet.h"
#include "peers.h"
#include "state/err.h"
#include "transport/kvhttp.h"
#include "transport/kvmem.h"
#include "transport/log.h"
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

struct state
{
  struct kvstore *store;
  struct confstore *confstore;
};

static int start (struct router *router);
static void finish (struct router *router);
static void run (struct router *router, uint64_t now_ns);
static bool drained (const struct router *router);
static bool ready (const struct router *router);
static struct kvstore *make_store (struct router *router);
static void on_changed (void *user);
static bool is_watcher (void *user);
static bool newest_peer_index (void *user, uint64_t *index);
static const struct member_table *members_of (const struct router *router);
static uint64_t score (uint64_t instance_id);

const struct router_module confstore_module = { .name = "confstore",
                                                .start = start,
                                                .finish = finish,
                                                .run = run,
                                                .drained = drained,
                                                .ready = ready };

static int
start (struct router *router)
{
  const struct settings_router *settings = router->settings->router;
  struct state *state = calloc (1, sizeof *state);
  struct confstore_config config
      = { .catalog = &router->catalog,
          .clock = &router->clock,
          .prefix = settings->platform.prefix,
          .watch_wait_ms = settings->platform.watch_wait_ms,
          .seed = router->self.instance_id ^ router->self.incarnation,
          .peers_expected = settings->peers_count > 0,
          .private_store = settings->platform.kind == SETTINGS_PLATFORM_MEMORY,
          .on_changed = on_changed,
          .is_watcher = is_watcher,
          .newest_peer_index = newest_peer_index,
          .user = router };
  int error = 0;

  if (state == NULL)
    return ERR_NO_MEMORY;
  router->module_state[ROUTER_CONFSTORE] = state;
  state->store = make_store (router);
  config.kvstore = state->store;
  if (state->store != NULL)
    state->confstore = confstore_new (&config);
  if (state->confstore == NULL)
    return ERR_NO_MEMORY;
  if (config.private_store)
    error = confstore_seed (state->confstore, router->settings);
  if (router->module_state[ROUTER_PEERS] != NULL)
    peers_set_confsync (router, confstore_confsync (state->confstore));
  return error;
}

static struct kvstore *
make_store (struct router *router)
{
  const struct settings_platform *settings
      = &router->settings->router->platform;
  struct kvhttp_config config
      = { .base = router->base,
          .clock = &router->clock,
          .address = settings->address,
          .timeout_ms = settings->timeout_ms,
          .calls_per_second_max = settings->calls_per_second_max };

  if (settings->kind == SETTINGS_PLATFORM_HTTP)
    return kvhttp_new (&config);
  return kvmem_new (router->base, &router->clock);
}

static void
finish (struct router *router)
{
  struct state *state = router->module_state[ROUTER_CONFSTORE];

  if (state == NULL)
    return;
  if (router->module_state[ROUTER_PEERS] != NULL)
    peers_set_confsync (router, NULL);
  if (state->store != NULL)
    state->store->ops->finish (state->store);
  confstore_free (state->confstore);
  free (state);
  router->module_state[ROUTER_CONFSTORE] = NULL;
}

static void
run (struct router *router, uint64_t now_ns)
{
  (void)now_ns;
  confstore_run (confstore_module_get (router));
}

static bool
drained (const struct router *router)
{
  return confstore_pending_writes (confstore_module_get (router)) == 0;
}

static bool
ready (const struct router *router)
{
  return confstore_ready (confstore_module_get (router));
}

struct confstore *
confstore_module_get (const struct router *router)
{
  const struct state *state = router->module_state[ROUTER_CONFSTORE];

  return state->confstore;
}

const struct kvstore *
confstore_module_store (const struct router *router)
{
  const struct state *state = router->module_state[ROUTER_CONFSTORE];

  return state->store;
}

static void
on_changed (void *user)
{
  struct router *router = user;

  router_catalog_changed (router);
  if (router->module_state[ROUTER_PEERS] != NULL)
    peers_config_changed (router);
}

static bool
is_watcher (void *user)
{
  const struct router *router = user;

  return confstore_module_is_watcher (members_of (router),
                                      router->self.instance_id);
}

bool
confstore_module_is_watcher (const struct member_table *members,
                             uint64_t self_id)
{
  const struct member *self
      = members == NULL ? NULL : member_find (members, self_id);
  const struct member *member;
  uint32_t lower_scores = 0;

  if (self == NULL)
    return true;
  for (member = members->members; member != NULL; member = member->hh.next)
    lower_scores
        += member->instance_id != self_id && member->status == MEMBER_ALIVE
           && member->state != MESSAGE_INSTANCE_DRAINING
           && strcmp (member->availability_zone, self->availability_zone) == 0
           && score (member->instance_id) < score (self_id);
  return lower_scores < CONFSTORE_WATCHERS;
}

static uint64_t
score (uint64_t instance_id)
{
  return XXH3_64bits (&instance_id, sizeof instance_id);
}

static bool
newest_peer_index (void *user, uint64_t *index)
{
  const struct router *router = user;
  const struct member_table *members = members_of (router);
  const struct member *member;
  bool announced = false;

  *index = 0;
  for (member = members == NULL ? NULL : members->members; member != NULL;
       member = member->hh.next)
    {
      if (member->instance_id == router->self.instance_id
          || member->status != MEMBER_ALIVE
          || member->state == MESSAGE_INSTANCE_STARTING)
        continue;
      announced = true;
      if (member->config_index > *index)
        *index = member->config_index;
    }
  return announced;
}

static const struct member_table *
members_of (const struct router *router)
{
  if (router->module_state[ROUTER_PEERS] == NULL)
    return NULL;
  return fleet_members (peers_fleet (router));
}
