/**
 * @file peers.c
 * The fleet as a part of the runtime.
 */
#include "peers.h"
#include "coordination/fleet.h"
#include "state/err.h"
#include "transport/log.h"
#include "transport/peernet.h"
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define HANDSHAKE_MS 2000
/** A link is cut after this many heartbeats were missed; the member is gone
    by then. */
#define IDLE_INTERVALS (MEMBER_GONE_INTERVALS + 2)

struct peers
{
  struct router *router;
  struct fleet *fleet;
  struct peernet *net; /**< NULL for an instance that is alone */
  struct event *run;   /**< after a batch of messages */
  struct cpumeter cpu; /**< of an instance that is alone */
  uint64_t generation; /**< of the lessors, when last logged */
};

static int start (struct router *router);
static void finish (struct router *router);
static void run (struct router *router, uint64_t now_ns);
static void catalog_changed (struct router *router, uint64_t now_ns);
static void drain (struct router *router, uint64_t now_ns);
static int start_net (struct peers *peers);
static int start_fleet (struct peers *peers);
static void offer_seeds (struct peers *peers);
static struct peers *peers_of (const struct router *router);
static struct cpumeter *meter_of (struct peers *peers);
static void on_run (evutil_socket_t fd, short what, void *arg);
static void on_up (void *user, const struct message_hello *hello);
static void on_message (void *user, uint64_t instance_id,
                        const struct message *message);
static void on_down (void *user, uint64_t instance_id, int error);
static void on_rejected (void *user, const char *address, int error);
static void on_member_status (void *user, const struct member *member);
static int send_to_peer (void *user, uint64_t instance_id,
                         const struct message *message);
static const char *name_of (const struct peers *peers, uint64_t instance_id);
static void log_lessors (struct peers *peers);

const struct router_module peers_module = {
  .name = "peers",
  .start = start,
  .finish = finish,
  .run = run,
  .catalog_changed = catalog_changed,
  .drain = drain,
};

static const struct peernet_events net_events
    = { on_up, on_message, on_down, on_rejected };

int
peers_offer_address (struct router *router, const char *address)
{
  struct peers *peers = peers_of (router);

  if (peers == NULL || peers->net == NULL)
    return 0;
  return peernet_offer (peers->net, address, false);
}

const char *
peers_address (const struct router *router)
{
  const struct peers *peers = peers_of (router);

  return peers != NULL && peers->net != NULL ? peernet_address (peers->net)
                                             : NULL;
}

void
peers_set_confsync (struct router *router, struct confsync *confsync)
{
  fleet_set_confsync (peers_of (router)->fleet, confsync);
}

void
peers_config_changed (struct router *router)
{
  struct peers *peers = peers_of (router);

  fleet_config_changed (peers->fleet);
  event_active (peers->run, EV_TIMEOUT, 0);
}

struct fleet *
peers_fleet (const struct router *router)
{
  return peers_of (router)->fleet;
}

size_t
peers_traffic (const struct router *router, struct metrics_traffic *out)
{
  const struct peers *peers = peers_of (router);
  const struct peerlink_counters *counters;
  size_t kind;

  if (peers == NULL || peers->net == NULL)
    return 0;
  counters = peernet_counters (peers->net);
  for (kind = 0; kind < MESSAGE_KIND_MAX; kind++)
    out[kind] = (struct metrics_traffic){
      .kind = message_kind_name ((enum message_kind)kind),
      .messages_in = counters->frames_in[kind],
      .messages_out = counters->frames_out[kind],
      .bytes_in = counters->bytes_in[kind],
      .bytes_out = counters->bytes_out[kind],
    };
  return MESSAGE_KIND_MAX;
}

uint64_t
peers_cpu_ns (const struct router *router)
{
  struct peers *peers = peers_of (router);

  return peers != NULL ? meter_of (peers)->total_ns : 0;
}

size_t
peers_links (const struct router *router)
{
  const struct peers *peers = peers_of (router);

  return peers != NULL && peers->net != NULL ? peernet_links (peers->net) : 0;
}

static int
start (struct router *router)
{
  struct peers *peers = calloc (1, sizeof *peers);
  int rc = 0;

  if (peers == NULL)
    return ERR_NO_MEMORY;
  peers->router = router;
  router->module_state[ROUTER_PEERS] = peers;
  peers->run = event_new (router->base, -1, 0, on_run, peers);
  if (peers->run == NULL)
    return ERR_NO_MEMORY;
  if (router->settings->router->peer_address != NULL)
    rc = start_net (peers);
  if (rc == 0)
    rc = start_fleet (peers);
  if (rc == 0 && peers->net != NULL)
    offer_seeds (peers);
  return rc;
}

static void
finish (struct router *router)
{
  struct peers *peers = peers_of (router);

  if (peers == NULL)
    return;
  if (peers->net != NULL)
    peernet_free (peers->net);
  dispatch_set_fleet_backlog (router->dispatch, NULL, NULL);
  if (peers->fleet != NULL)
    fleet_free (peers->fleet);
  if (peers->run != NULL)
    event_free (peers->run);
  free (peers);
  router->module_state[ROUTER_PEERS] = NULL;
}

static int
start_net (struct peers *peers)
{
  struct router *router = peers->router;
  const struct settings_router *own = router->settings->router;
  struct peernet_config config = {
    .base = router->base,
    .clock = &router->clock,
    .listen_address = own->peer_address,
    .advertised_address = own->peer_advertised,
    .secret = own->peer_secret,
    .handshake_ms = HANDSHAKE_MS,
    .idle_ms = IDLE_INTERVALS * own->exchange_interval_ms,
    .events = &net_events,
    .user = peers,
  };
  int rc;

  config.self.incarnation = router->self.incarnation;
  snprintf (config.self.fleet, sizeof config.self.fleet, "%s", own->fleet);
  snprintf (config.self.instance, sizeof config.self.instance, "%s",
            router->self.instance);
  snprintf (config.self.availability_zone,
            sizeof config.self.availability_zone, "%s",
            router->self.availability_zone);
  rc = own->peer_secret == NULL ? ERR_INVALID
                                : peernet_new (&config, &peers->net);
  if (rc != 0)
    {
      LOG (LOG_LISTEN_FAILED, NULL, LOG_S ("address", own->peer_address),
           LOG_S ("error", err_name (rc)));
      return rc;
    }
  snprintf (router->self.address, sizeof router->self.address, "%s",
            peernet_address (peers->net));
  LOG (LOG_LISTENING, NULL, LOG_S ("for", "peers"),
       LOG_S ("address", router->self.address));
  return 0;
}

static int
start_fleet (struct peers *peers)
{
  struct router *router = peers->router;
  const struct settings_router *own = router->settings->router;
  const struct fleet_config config = {
    .self = router->self,
    .exchange_interval_ms = own->exchange_interval_ms,
    .lease_ms = own->lease_ms,
    .payback = own->payback,
    .members_expected = peers->net != NULL ? own->peers_count : 0,
    .policy = share_policy_find (own->share_policy),
    .catalog = &router->catalog,
    .ledger = router->ledger,
    .slots = &router->slots,
    .dispatch = router->dispatch,
    .link = { send_to_peer, peers },
    .observer = { on_member_status, peers },
  };

  peers->fleet = fleet_new (&config);
  if (peers->fleet == NULL)
    return ERR_NO_MEMORY;
  if (peers->net != NULL)
    dispatch_set_fleet_backlog (router->dispatch, fleet_backlog, peers->fleet);
  return 0;
}

static void
offer_seeds (struct peers *peers)
{
  const struct settings_router *own = peers->router->settings->router;
  uint32_t i;
  int rc;

  for (i = 0; i < own->peers_count; i++)
    {
      rc = peernet_offer (peers->net, own->peers[i], true);
      if (rc != 0)
        LOG (LOG_PEER_REJECTED, NULL, LOG_S ("address", own->peers[i]),
             LOG_S ("error", err_name (rc)));
    }
}

static void
run (struct router *router, uint64_t now_ns)
{
  struct peers *peers = peers_of (router);
  int rc;

  cpumeter_enter (meter_of (peers));
  rc = fleet_run (peers->fleet, now_ns);
  cpumeter_leave (meter_of (peers));
  log_lessors (peers);
  if (rc > 0)
    router_capacity_changed (router);
}

static void
catalog_changed (struct router *router, uint64_t now_ns)
{
  fleet_catalog_changed (peers_of (router)->fleet, now_ns);
  event_active (peers_of (router)->run, EV_TIMEOUT, 0);
}

static void
drain (struct router *router, uint64_t now_ns)
{
  fleet_drain (peers_of (router)->fleet, now_ns);
  event_active (peers_of (router)->run, EV_TIMEOUT, 0);
}

static struct peers *
peers_of (const struct router *router)
{
  return router->module_state[ROUTER_PEERS];
}

static struct cpumeter *
meter_of (struct peers *peers)
{
  return peers->net != NULL ? &peernet_counters (peers->net)->cpu
                            : &peers->cpu;
}

static void
on_run (evutil_socket_t fd, short what, void *arg)
{
  struct peers *peers = arg;

  (void)fd;
  (void)what;
  run (peers->router, router_now_ns (peers->router));
}

static void
on_up (void *user, const struct message_hello *hello)
{
  struct peers *peers = user;
  int rc = fleet_peer_up (peers->fleet, hello, router_now_ns (peers->router));

  if (rc != 0)
    LOG (LOG_PEER_REJECTED, NULL, LOG_S ("peer", hello->instance),
         LOG_S ("address", hello->address), LOG_S ("error", err_name (rc)));
  else
    LOG (LOG_PEER_UP, NULL, LOG_S ("peer", hello->instance),
         LOG_S ("address", hello->address),
         LOG_U ("incarnation", hello->incarnation));
}

static void
on_message (void *user, uint64_t instance_id, const struct message *message)
{
  struct peers *peers = user;

  fleet_receive (peers->fleet, instance_id, message,
                 router_now_ns (peers->router));
  /* One run for all messages of this turn of the loop. */
  event_active (peers->run, EV_TIMEOUT, 0);
}

static void
on_down (void *user, uint64_t instance_id, int error)
{
  struct peers *peers = user;

  LOG (LOG_PEER_DOWN, NULL, LOG_S ("peer", name_of (peers, instance_id)),
       LOG_S ("error", err_name (error)));
  fleet_peer_down (peers->fleet, instance_id, router_now_ns (peers->router));
}

static void
on_rejected (void *user, const char *address, int error)
{
  (void)user;
  /* Nobody listens there yet, or both sides dialed at once. */
  if (error == ERR_REFUSED || error == ERR_RESET)
    return;
  LOG (LOG_PEER_REJECTED, NULL, LOG_S ("address", address),
       LOG_S ("error", err_name (error)));
}

static void
on_member_status (void *user, const struct member *member)
{
  static const char *const names[MEMBER_STATUS_MAX] = {
    [MEMBER_ALIVE] = "alive",
    [MEMBER_SUSPECT] = "suspect",
    [MEMBER_GONE] = "gone",
  };

  (void)user;
  LOG (LOG_MEMBER_STATUS, NULL, LOG_S ("peer", member->instance),
       LOG_S ("status", names[member->status]));
}

static int
send_to_peer (void *user, uint64_t instance_id, const struct message *message)
{
  struct peers *peers = user;

  return peers->net != NULL ? peernet_send (peers->net, instance_id, message)
                            : ERR_NOT_FOUND;
}

static const char *
name_of (const struct peers *peers, uint64_t instance_id)
{
  const struct member *member
      = member_find (fleet_members (peers->fleet), instance_id);

  return member != NULL ? member->instance : "unknown";
}

static void
log_lessors (struct peers *peers)
{
  const struct member_table *members = fleet_members (peers->fleet);

  if (members->generation == peers->generation)
    return;
  peers->generation = members->generation;
  LOG (LOG_LESSOR_CHANGED, NULL,
       LOG_U ("members", HASH_COUNT (members->members)),
       LOG_U ("generation", members->generation));
}
