/**
 * @file peers.c
 * Router module that connects this instance to its fleet.
 */
#include "peers.h"
#include "coordination/fleet.h"
#include "state/err.h"
#include "suspects.h"
#include "transport/log.h"
#include "transport/loop.h"
#include "transport/peernet.h"
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define HANDSHAKE_TIMEOUT_MS 2000
/** A connection is closed after this many missed heartbeats; the member
    already counts as gone by then. */
#define IDLE_TIMEOUT_INTERVALS (MEMBER_GONE_INTERVALS + 2)

struct peers
{
  struct router *router;
  struct fleet *fleet;
  struct peernet *net;     /**< NULL without a peer address */
  struct event *run_event; /**< activated by received messages and changes */
  struct cpumeter cpu;     /**< used when `net` is NULL */
  uint64_t logged_generation; /**< of the membership table, when a change of
                                 lessors was last logged */
};

static int start (struct router *router);
static void finish (struct router *router);
static void run (struct router *router, uint64_t now_ns);
static void catalog_changed (struct router *router, uint64_t now_ns);
static void drain (struct router *router, uint64_t now_ns);
static int start_net (struct peers *peers);
static int start_fleet (struct peers *peers);
static void add_configured_peers (struct peers *peers);
static struct peers *peers_of (const struct router *router);
static struct cpumeter *cpu_meter_of (struct peers *peers);
static void on_run_event (evutil_socket_t fd, short what, void *arg);
static void on_peer_up (void *user, const struct message_hello *hello);
static void on_message (void *user, uint64_t instance_id,
                        const struct message *message);
static void on_peer_down (void *user, uint64_t instance_id, int error);
static void on_peer_rejected (void *user, const char *address, int error);
static void on_member_status (void *user, const struct member *member);
static int send_to_peer (void *user, uint64_t instance_id,
                         const struct message *message);
static const char *instance_name_of (const struct peers *peers,
                                     uint64_t instance_id);
static void log_lessor_change (struct peers *peers);

const struct router_module peers_module = {
  .name = "peers",
  .start = start,
  .finish = finish,
  .run = run,
  .catalog_changed = catalog_changed,
  .drain = drain,
};

static const struct peernet_events net_events
    = { on_peer_up, on_message, on_peer_down, on_peer_rejected };

int
peers_add_address (struct router *router, const char *address)
{
  struct peers *peers = peers_of (router);

  if (peers == NULL || peers->net == NULL)
    return 0;
  return peernet_add_address (peers->net, address, false);
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
  event_active (peers->run_event, EV_TIMEOUT, 0);
}

bool
peers_owns (const struct router *router, uint64_t subject)
{
  const struct member_table *members
      = fleet_members (peers_of (router)->fleet);

  return member_lessor (members, subject) == members->self_id;
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

  return peers != NULL ? cpu_meter_of (peers)->total_ns : 0;
}

size_t
peers_link_count (const struct router *router)
{
  const struct peers *peers = peers_of (router);

  return peers != NULL && peers->net != NULL ? peernet_link_count (peers->net)
                                             : 0;
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
  peers->run_event = event_new (router->base, -1, 0, on_run_event, peers);
  if (peers->run_event == NULL)
    return ERR_NO_MEMORY;
  loop_set_control (peers->run_event);
  if (router->settings->router->peer_address != NULL)
    rc = start_net (peers);
  if (rc == 0)
    rc = start_fleet (peers);
  if (rc == 0 && peers->net != NULL)
    add_configured_peers (peers);
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
  dispatch_set_peer_demand (router->dispatch, NULL, NULL);
  if (peers->fleet != NULL)
    fleet_free (peers->fleet);
  if (peers->run_event != NULL)
    event_free (peers->run_event);
  free (peers);
  router->module_state[ROUTER_PEERS] = NULL;
}

static int
start_net (struct peers *peers)
{
  struct router *router = peers->router;
  const struct settings_router *settings = router->settings->router;
  struct peernet_config config = {
    .base = router->base,
    .clock = &router->clock,
    .listen_address = settings->peer_address,
    .advertised_address = settings->peer_advertised,
    .secret = settings->peer_secret,
    .handshake_ms = HANDSHAKE_TIMEOUT_MS,
    .idle_ms = IDLE_TIMEOUT_INTERVALS * settings->exchange_interval_ms,
    .events = &net_events,
    .user = peers,
  };
  int rc;

  config.self.incarnation = router->self.incarnation;
  snprintf (config.self.fleet, sizeof config.self.fleet, "%s",
            settings->fleet);
  snprintf (config.self.instance, sizeof config.self.instance, "%s",
            router->self.instance);
  snprintf (config.self.availability_zone,
            sizeof config.self.availability_zone, "%s",
            router->self.availability_zone);
  rc = settings->peer_secret == NULL ? ERR_INVALID
                                     : peernet_new (&config, &peers->net);
  if (rc != 0)
    {
      LOG (LOG_LISTEN_FAILED, NULL, LOG_S ("address", settings->peer_address),
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
  const struct settings_router *settings = router->settings->router;
  const struct fleet_config config = {
    .self = router->self,
    .exchange_interval_ms = settings->exchange_interval_ms,
    .lease_ms = settings->lease_ms,
    .payback = settings->payback,
    .peers_expected = peers->net != NULL ? settings->peers_count : 0,
    .policy = share_policy_find (settings->share_policy),
    .catalog = &router->catalog,
    .ledger = router->ledger,
    .slots = &router->slots,
    .dispatch = router->dispatch,
    .sender = { send_to_peer, peers },
    .observer = { on_member_status, peers },
  };

  peers->fleet = fleet_new (&config);
  if (peers->fleet == NULL)
    return ERR_NO_MEMORY;
  if (peers->net != NULL)
    dispatch_set_peer_demand (router->dispatch, fleet_peer_demand,
                              peers->fleet);
  return 0;
}

static void
add_configured_peers (struct peers *peers)
{
  const struct settings_router *settings = peers->router->settings->router;
  uint32_t i;
  int rc;

  for (i = 0; i < settings->peers_count; i++)
    {
      rc = peernet_add_address (peers->net, settings->peers[i], true);
      if (rc != 0)
        LOG (LOG_PEER_REJECTED, NULL, LOG_S ("address", settings->peers[i]),
             LOG_S ("error", err_name (rc)));
    }
}

static void
run (struct router *router, uint64_t now_ns)
{
  struct peers *peers = peers_of (router);
  int rc;

  cpumeter_enter (cpu_meter_of (peers));
  rc = fleet_run (peers->fleet, now_ns);
  suspects_exchange (router, peers->fleet, now_ns);
  cpumeter_leave (cpu_meter_of (peers));
  log_lessor_change (peers);
  if (rc > 0)
    router_capacity_changed (router);
}

static void
catalog_changed (struct router *router, uint64_t now_ns)
{
  fleet_catalog_changed (peers_of (router)->fleet, now_ns);
  event_active (peers_of (router)->run_event, EV_TIMEOUT, 0);
}

static void
drain (struct router *router, uint64_t now_ns)
{
  fleet_drain (peers_of (router)->fleet, now_ns);
  event_active (peers_of (router)->run_event, EV_TIMEOUT, 0);
}

static struct peers *
peers_of (const struct router *router)
{
  return router->module_state[ROUTER_PEERS];
}

static struct cpumeter *
cpu_meter_of (struct peers *peers)
{
  return peers->net != NULL ? &peernet_counters (peers->net)->cpu
                            : &peers->cpu;
}

static void
on_run_event (evutil_socket_t fd, short what, void *arg)
{
  struct peers *peers = arg;

  (void)fd;
  (void)what;
  run (peers->router, router_now_ns (peers->router));
}

static void
on_peer_up (void *user, const struct message_hello *hello)
{
  struct peers *peers = user;
  int rc = fleet_peer_up (peers->fleet, hello, router_now_ns (peers->router));

  /* The new peer has none of the rows; others merge them once more. */
  peers->router->suspects_sent = 0;
  peers->router->suspects_new_until = peers->router->quarantine.sequence;
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

  if (message->kind == MESSAGE_LOAD)
    suspects_receive (peers->router, &message->u.load,
                      router_now_ns (peers->router));
  else
    fleet_receive (peers->fleet, instance_id, message,
                   router_now_ns (peers->router));
  /* One run handles all messages of this iteration of the event loop. */
  event_active (peers->run_event, EV_TIMEOUT, 0);
}

static void
on_peer_down (void *user, uint64_t instance_id, int error)
{
  struct peers *peers = user;

  LOG (LOG_PEER_DOWN, NULL,
       LOG_S ("peer", instance_name_of (peers, instance_id)),
       LOG_S ("error", err_name (error)));
  fleet_peer_down (peers->fleet, instance_id, router_now_ns (peers->router));
}

static void
on_peer_rejected (void *user, const char *address, int error)
{
  (void)user;
  /* Expected: the peer does not listen yet, or both sides connected at the
     same time. */
  if (error == ERR_REFUSED || error == ERR_RESET)
    return;
  LOG (LOG_PEER_REJECTED, NULL, LOG_S ("address", address),
       LOG_S ("error", err_name (error)));
}

static void
on_member_status (void *user, const struct member *member)
{
  static const char *const status_names[MEMBER_STATUS_MAX] = {
    [MEMBER_ALIVE] = "alive",
    [MEMBER_SUSPECT] = "suspect",
    [MEMBER_GONE] = "gone",
  };

  (void)user;
  LOG (LOG_MEMBER_STATUS, NULL, LOG_S ("peer", member->instance),
       LOG_S ("status", status_names[member->status]));
}

static int
send_to_peer (void *user, uint64_t instance_id, const struct message *message)
{
  struct peers *peers = user;

  return peers->net != NULL ? peernet_send (peers->net, instance_id, message)
                            : ERR_NOT_FOUND;
}

static const char *
instance_name_of (const struct peers *peers, uint64_t instance_id)
{
  const struct member *member
      = member_find (fleet_members (peers->fleet), instance_id);

  return member != NULL ? member->instance : "unknown";
}

static void
log_lessor_change (struct peers *peers)
{
  const struct member_table *members = fleet_members (peers->fleet);

  if (members->generation == peers->logged_generation)
    return;
  peers->logged_generation = members->generation;
  LOG (LOG_LESSOR_CHANGED, NULL,
       LOG_U ("members", HASH_COUNT (members->members)),
       LOG_U ("generation", members->generation));
}
