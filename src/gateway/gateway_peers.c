/**
 * @file gateway_peers.c
 * Links to other gateways: subscriptions to hubs, and forwarding of the
 * store's items to subscribers.
 */
#include "gateway/gateway_peers.h"
#include "gateway/discovery.h"
#include "gateway/gateway_limits.h"
#include "gateway/gateway_peers_int.h"
#include "gateway/gateway_request.h"
#include "gateway/gateway_streams.h"
#include "state/err.h"
#include "transport/log.h"
#include "transport/loop.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define HANDSHAKE_TIMEOUT_MS                                                  \
  1000 /* network latency between instances is low */
#define LINK_IDLE_TIMEOUT_MS                                                  \
  1500 /* a link without a load report for this long is closed */
/* An instance that has not had the view of a hub yet watches the store itself
   after a delay.  Jitter, so that not all instances start at once. */
#define WATCH_FALLBACK_MS        600
#define WATCH_FALLBACK_JITTER_MS 400
/* Jitter once the view is too old; a percentage of config_apply_ms. */
#define VIEW_JITTER_PERCENT 15
/* A hub with an older report may have ended. */
#define HUB_REPORT_AGE_MAX_MS 1000
/* Ticks of the report timer between other work. */
#define REPORT_TICKS (GATEWAY_PEERS_REPORT_MS / GATEWAY_PEERS_ZONE_REPORT_MS)
#define HUB_STARTUP_MS                                                        \
  3000 /* allowed for a hub's first listing of the store */
#define STORE_LAG_MAX_MS 1200 /* peers' views may be ahead for this long */
/* Index in a request that ends a subscription. */
#define NO_FURTHER_ITEMS UINT64_MAX
/* Links run on the platform's own network.  The fixed secret only rejects
   programs that connect by mistake; it provides no security. */
#define FLEET        "gateway"
#define FLEET_SECRET "cherrylanding gateway fleet"

static void on_peer_up (void *user, const struct message_hello *hello);
static void on_peer_message (void *user, uint64_t instance_id,
                             const struct message *message);
static void on_peer_down (void *user, uint64_t instance_id, int error);
static void on_peer_rejected (void *user, const char *address, int error);
static void on_report_timer (evutil_socket_t fd, short what, void *arg);
static uint32_t report_interval_ms (const struct gateway_peers *peers);
static void handle_report_tick (struct gateway_peers *peers);
static int start_net (struct gateway_peers *peers);
static void update_subscription (struct gateway_peers *peers,
                                 struct gateway_peer *peer);
static void send_pending_snapshots (struct gateway_peers *peers);
static void send_snapshot (struct gateway_peers *peers,
                           const struct gateway_peer *peer);
static void apply_items (struct gateway_peers *peers,
                         const struct message_config *config);
static bool hub_starting (const struct gateway_peers *peers, uint64_t now_ns);
static void rely_on_hubs (struct gateway_peers *peers);
static bool view_lost (const struct gateway_peers *peers, uint64_t now_ns);
static void update_watching (struct gateway_peers *peers, uint64_t now_ns);
static void check_store_lag (struct gateway_peers *peers, uint64_t now_ns);

static const struct peernet_events net_events
    = { on_peer_up, on_peer_message, on_peer_down, on_peer_rejected };

int
gateway_peers_start (struct gateway *gateway)
{
  struct gateway_peers *peers = calloc (1, sizeof *peers);
  const struct timeval interval = clock_timeval (GATEWAY_PEERS_ZONE_REPORT_MS);
  int error;

  if (peers == NULL)
    return ERR_NO_MEMORY;
  gateway->peers = peers;
  peers->gateway = gateway;
  peers->start_ns = peers->hub_expected_ns = gateway_now_ns (gateway);
  peers->self_id = catalog_id (gateway->settings.instance);
  peers->zone_id = catalog_id (gateway->settings.availability_zone);
  error = start_net (peers);
  if (error != 0)
    return error;
  peers->report_timer
      = event_new (gateway->base, -1, EV_PERSIST, on_report_timer, peers);
  if (peers->report_timer == NULL)
    return ERR_NO_MEMORY;
  loop_set_control (peers->report_timer);
  event_add (peers->report_timer, &interval);
  return gateway_peers_members_start (peers);
}

static int
start_net (struct gateway_peers *peers)
{
  struct gateway *gateway = peers->gateway;
  struct peernet_config config = {
    .base = gateway->base,
    .clock = &gateway->clock,
    .listen_address = gateway->settings.peer_address,
    .added_addresses_only = true,
    .secret = FLEET_SECRET,
    .handshake_ms = HANDSHAKE_TIMEOUT_MS,
    .idle_ms = LINK_IDLE_TIMEOUT_MS,
    .control = &gateway->loop_control,
    .events = &net_events,
    .user = peers,
  };

  snprintf (config.self.fleet, sizeof config.self.fleet, FLEET);
  snprintf (config.self.instance, sizeof config.self.instance, "%.*s",
            (int)sizeof config.self.instance - 1, gateway->settings.instance);
  snprintf (config.self.availability_zone,
            sizeof config.self.availability_zone, "%.*s",
            (int)sizeof config.self.availability_zone - 1,
            gateway->settings.availability_zone);
  config.self.incarnation = clock_wall_ms (&gateway->clock);
  return peernet_new (&config, &peers->net);
}

void
gateway_peers_finish (struct gateway *gateway)
{
  struct gateway_peers *peers = gateway->peers;
  struct gateway_peer *peer;
  struct gateway_peer *next;

  if (peers == NULL)
    return;
  gateway->peers = NULL;
  gateway_peers_members_finish (peers);
  if (peers->net != NULL)
    peernet_free (peers->net);
  if (peers->report_timer != NULL)
    event_free (peers->report_timer);
  peer = peers->linked_peers;
  HASH_CLEAR (hh, peers->linked_peers);
  for (; peer != NULL; peer = next)
    {
      next = peer->hh.next;
      free (peer->load.items);
      free (peer);
    }
  mirror_finish (&peers->mirror);
  free (peers);
}

uint32_t
gateway_peers_linked_count (const struct gateway *gateway)
{
  return HASH_COUNT (gateway->peers->linked_peers);
}

uint32_t
gateway_peers_fleet_size (const struct gateway *gateway)
{
  uint32_t linked = gateway_peers_linked_count (gateway) + 1;
  uint32_t listed = HASH_COUNT (gateway->peers->members);

  return linked > listed ? linked : listed;
}

void
gateway_peers_zone (const struct gateway *gateway, struct rotation_zone *zone)
{
  const struct gateway_peers *peers = gateway->peers;
  const struct gateway_peers_member *member;

  zone->instances = 0;
  zone->others_out = peers->zone_out_count;
  for (member = peers->members; member != NULL; member = member->hh.next)
    zone->instances += member->zone_id == peers->zone_id && !member->missing;
}

bool
gateway_peers_is_hub (const struct gateway *gateway)
{
  return gateway->peers->hub;
}

/* Links. */

struct gateway_peer *
gateway_peers_find (const struct gateway_peers *peers, uint64_t instance_id)
{
  struct gateway_peer *peer;

  HASH_FIND (hh, peers->linked_peers, &instance_id, sizeof instance_id, peer);
  return peer;
}

bool
gateway_peers_knows_hub (const struct gateway_peers *peers,
                         uint64_t instance_id)
{
  const struct gateway_peers_member *member;

  for (member = peers->members; member != NULL; member = member->hh.next)
    if (member->id == instance_id)
      return member->hub;
  return false;
}

static void
on_peer_up (void *user, const struct message_hello *hello)
{
  struct gateway_peers *peers = user;
  uint64_t instance_id = catalog_id (hello->instance);
  struct gateway_peer *peer = gateway_peers_find (peers, instance_id);

  LOG (LOG_PEER_UP, NULL, LOG_S ("peer", hello->instance),
       LOG_S ("address", hello->address));
  if (peer == NULL)
    {
      peer = calloc (1, sizeof *peer);
      if (peer == NULL)
        return;
      peer->instance_id = instance_id;
      memcpy (peer->instance, hello->instance, sizeof peer->instance);
      HASH_ADD (hh, peers->linked_peers, instance_id, sizeof instance_id,
                peer);
    }
  peer->requested = peer->subscribed = peer->snapshot_pending = false;
  gateway_peers_confirm_reset (peer);
  peer->suspects_sent = peer->streams_sent = 0;
  peer->suspects_new_until = peers->gateway->quarantine.sequence;
  peer->streams_new_until = peers->gateway->streams.sequence;
  update_subscription (peers, peer);
  gateway_limits_send_all (peers, peer);
  gateway_streams_send (peers, peer);
}

void
gateway_peers_update_subscriptions (struct gateway_peers *peers)
{
  struct gateway_peer *peer;
  struct gateway_peer *next;

  for (peer = peers->linked_peers; peer != NULL; peer = next)
    {
      next = peer->hh.next;
      update_subscription (peers, peer);
    }
}

/* Requests a snapshot of a hub's view of the store, and further changes. Roles
   change while links stay, so a subscriber that becomes a hub ends that. */
static void
update_subscription (struct gateway_peers *peers, struct gateway_peer *peer)
{
  bool wanted
      = !peers->hub && gateway_peers_knows_hub (peers, peer->instance_id);
  const struct message request
      = { .kind = MESSAGE_CONFIG_REQUEST,
          .u.config_request.since_index = wanted ? 0 : NO_FURTHER_ITEMS };

  if (wanted == peer->requested)
    return;
  peer->requested = wanted;
  peernet_send (peers->net, peer->instance_id, &request);
}

static void
on_peer_message (void *user, uint64_t instance_id,
                 const struct message *message)
{
  struct gateway_peers *peers = user;
  struct gateway_peer *peer = gateway_peers_find (peers, instance_id);

  if (peer == NULL)
    return;
  switch (message->kind)
    {
    case MESSAGE_LOAD:
      peer->report_ns = gateway_now_ns (peers->gateway);
      gateway_peers_confirm_receive (peers, peer, &message->u.load);
      gateway_peers_set_report (peers, peer, &message->u.load);
      gateway_streams_decide (peers->gateway);
      gateway_request_capacity_changed (peers->gateway);
      break;
    case MESSAGE_CONFIG_REQUEST:
      peer->subscribed
          = message->u.config_request.since_index != NO_FURTHER_ITEMS;
      peer->snapshot_pending = peer->subscribed;
      send_pending_snapshots (peers);
      break;
    case MESSAGE_STREAMS:
      gateway_streams_receive (peers, peer, &message->u.streams);
      break;
    case MESSAGE_LIMIT:
      gateway_limits_receive (peers, peer, &message->u.limit);
      break;
    case MESSAGE_CONFIG:
      apply_items (peers, &message->u.config);
      break;
    default:
      break;
    }
}

static void
on_peer_down (void *user, uint64_t instance_id, int error)
{
  struct gateway_peers *peers = user;
  struct gateway_peer *peer = gateway_peers_find (peers, instance_id);

  peers->gateway->counters.links_lost++;
  LOG (LOG_PEER_DOWN, NULL, LOG_S ("peer", peer == NULL ? "" : peer->instance),
       LOG_S ("error", err_name (error)));
  if (peer == NULL)
    return;
  gateway_peers_set_report (peers, peer, NULL);
  HASH_DEL (peers->linked_peers, peer);
  free (peer);
}

static void
on_peer_rejected (void *user, const char *address, int error)
{
  (void)user;
  LOG (LOG_PEER_REJECTED, NULL, LOG_S ("address", address),
       LOG_S ("error", err_name (error)));
}

/* Items of the store. */

/* Receivers treat a snapshot as complete, so it is sent only after everything
   has been read. */
static void
send_pending_snapshots (struct gateway_peers *peers)
{
  const struct gateway *gateway = peers->gateway;
  struct gateway_peer *peer;
  struct gateway_peer *next;

  if (!gateway->upstreams_loaded || gateway->routing == NULL
      || !peers->members_listed)
    return;
  for (peer = peers->linked_peers; peer != NULL; peer = next)
    {
      next = peer->hh.next;
      if (!peer->snapshot_pending)
        continue;
      peer->snapshot_pending = false;
      send_snapshot (peers, peer);
      /* Of upstreams that it has not known until now. */
      gateway_limits_send_all (peers, peer);
    }
}

static void
send_snapshot (struct gateway_peers *peers, const struct gateway_peer *peer)
{
  const struct mirror_item *item;
  struct message message = { .kind = MESSAGE_CONFIG };
  struct message_config *config = &message.u.config;
  size_t count = HASH_COUNT (peers->mirror.items);

  config->objects = calloc (count + 1, sizeof *config->objects);
  if (config->objects == NULL)
    return;
  for (item = peers->mirror.items; item != NULL; item = item->hh.next)
    config->objects[config->object_count++] = item->object;
  config->newest_position = peers->gateway->upstream_watch.position;
  config->complete = true;
  peernet_send (peers->net, peer->instance_id, &message);
  free (config->objects);
}

void
gateway_peers_publish_item (struct gateway *gateway,
                            const struct kvstore_item *item, bool changed)
{
  struct gateway_peers *peers = gateway->peers;
  struct message_object object
      = { .position = item->position, .deleted = item->value == NULL };
  const struct message message
      = { .kind = MESSAGE_CONFIG,
          .u.config = { .newest_position = item->position,
                        .object_count = 1,
                        .objects = &object } };
  struct gateway_peer *peer;
  struct gateway_peer *next;

  if (peers == NULL || mirror_put (&peers->mirror, item) != 0 || !changed)
    return;
  memcpy (object.key, item->key, strlen (item->key) + 1);
  object.value = (char *)item->value;
  object.value_size = item->value_size;
  for (peer = peers->linked_peers; peer != NULL; peer = next)
    {
      next = peer->hh.next;
      if (peer->subscribed)
        peernet_send (peers->net, peer->instance_id, &message);
    }
}

static void
apply_items (struct gateway_peers *peers, const struct message_config *config)
{
  struct gateway *gateway = peers->gateway;
  size_t prefix = strlen (gateway->adapter->gateway_prefix);
  size_t i;

  /* An instance that watches the store itself ignores forwarded items. */
  if (!gateway->upstream_watch.paused)
    return;
  if (config->complete)
    {
      discovery_snapshot_begin (gateway);
      gateway_peers_listing_begin (peers);
    }
  for (i = 0; i < config->object_count; i++)
    {
      const struct message_object *object = &config->objects[i];
      const struct kvstore_item item
          = { .key = object->key,
              .value = object->deleted ? NULL : object->value,
              .value_size = object->value_size,
              .position = object->position };

      if (strncmp (item.key, gateway->adapter->gateway_prefix, prefix) == 0)
        gateway_peers_apply_member (peers, &item);
      else
        discovery_apply_item (gateway, &item);
    }
  if (config->complete)
    {
      discovery_snapshot_end (gateway, &config->newest_position);
      gateway_peers_listing_end (peers);
    }
}

uint64_t
gateway_peers_store_age_ns (const struct gateway *gateway)
{
  const struct gateway_peers *peers = gateway->peers;
  uint64_t now_ns = gateway_now_ns (gateway);
  uint64_t lowest = UINT64_MAX;
  const struct gateway_peer *peer;
  uint64_t age_ns;

  for (peer = peers == NULL ? NULL : peers->linked_peers; peer != NULL;
       peer = peer->hh.next)
    {
      if (peer->report_ns == 0 || !peer->requested)
        continue;
      age_ns = now_ns - peer->report_ns + peer->load.age_ms * CLOCK_NS_PER_MS;
      if (age_ns < lowest)
        lowest = age_ns;
    }
  return lowest;
}

/* Periodic work. */

static void
on_report_timer (evutil_socket_t fd, short what, void *arg)
{
  struct gateway_peers *peers = arg;

  (void)fd;
  (void)what;
  loop_control_begin (&peers->gateway->loop_control, peers->report_timer);
  handle_report_tick (peers);
  loop_control_end (&peers->gateway->loop_control);
}

static uint32_t
report_interval_ms (const struct gateway_peers *peers)
{
  return HASH_COUNT (peers->members) <= HUBS_MESH_MAX
             ? GATEWAY_PEERS_MESH_REPORT_MS
             : GATEWAY_PEERS_REPORT_MS;
}

/* Between zones it takes one report of a hub more than within one. */
uint32_t
gateway_peers_propagation_ms (const struct gateway_peers *peers)
{
  uint32_t zone_ms = GATEWAY_PEERS_ZONE_REPORT_MS;

  return report_interval_ms (peers)
         + (HASH_COUNT (peers->members) <= HUBS_MESH_MAX ? zone_ms
                                                         : 2 * zone_ms);
}

static void
handle_report_tick (struct gateway_peers *peers)
{
  uint64_t now_ns = gateway_now_ns (peers->gateway);
  uint32_t report_ticks
      = report_interval_ms (peers) / GATEWAY_PEERS_ZONE_REPORT_MS;
  bool to_hubs = peers->report_ticks % report_ticks == 0;
  bool is_round = peers->report_ticks % REPORT_TICKS == 0;

  peers->report_ticks++;
  to_hubs = gateway_peers_confirm_begin (peers, to_hubs);
  gateway_streams_send_all (peers);
  gateway_streams_decide (peers->gateway);
  if (!is_round)
    {
      gateway_peers_send_reports (peers, to_hubs);
      return;
    }
  gateway_peers_expire_members (peers);
  if (peers->members_changed)
    gateway_peers_assign_hubs (peers);
  peers->gateway->fleet_retry_budget.instances
      = gateway_peers_fleet_size (peers->gateway);
  check_store_lag (peers, now_ns);
  update_watching (peers, now_ns);
  discovery_confirm (peers->gateway);
  send_pending_snapshots (peers);
  gateway_peers_send_reports (peers, to_hubs);
}

/* If peers have had a newer view of the store for a while, this instance's
   calls to the store hang, and others must not rely on its view. */
static void
check_store_lag (struct gateway_peers *peers, uint64_t now_ns)
{
  const struct store_watch *watch = &peers->gateway->upstream_watch;
  const struct gateway_peer *peer;
  struct store_position newest = { .packed = false };

  for (peer = peers->linked_peers; peer != NULL; peer = peer->hh.next)
    if (store_position_compare (&peer->load.store_position, &newest) > 0)
      newest = peer->load.store_position;
  if (watch->paused
      || store_position_compare (&watch->position, &peers->peer_position) >= 0)
    {
      peers->store_lags = false;
      peers->peer_position = newest;
      peers->peer_position_ns = now_ns;
    }
  else if (now_ns - peers->peer_position_ns
           > STORE_LAG_MAX_MS * CLOCK_NS_PER_MS)
    peers->store_lags = true;
}

/* Whether a hub is reading the store for the first time.  With many upstreams
   this takes seconds; it would take longer if all instances read at once, so
   the others wait. */
static bool
hub_starting (const struct gateway_peers *peers, uint64_t now_ns)
{
  const struct gateway_peer *peer;

  for (peer = peers->linked_peers; peer != NULL; peer = peer->hh.next)
    if (!peer->subscribed
        && store_position_is_none (&peer->load.store_position)
        && now_ns - peer->report_ns < HUB_REPORT_AGE_MAX_MS * CLOCK_NS_PER_MS
        && gateway_peers_knows_hub (peers, peer->instance_id))
      return true;
  return false;
}

/* What hubs forwarded while this instance watched the store was ignored, and
   the watch may not have reported it yet, so snapshots are requested again. */
static void
rely_on_hubs (struct gateway_peers *peers)
{
  struct gateway_peer *peer;

  discovery_stop_watching (peers->gateway);
  store_watch_pause (&peers->member_watch);
  for (peer = peers->linked_peers; peer != NULL; peer = peer->hh.next)
    peer->requested = false;
  gateway_peers_update_subscriptions (peers);
}

/* Whether the newest view of the hubs is too old, or none has come in time
   after the start. */
static bool
view_lost (const struct gateway_peers *peers, uint64_t now_ns)
{
  const struct gateway *gateway = peers->gateway;
  const uint64_t jitter_ms = (uint64_t)gateway->settings.config_apply_ms
                             * VIEW_JITTER_PERCENT / 100;
  uint64_t limit_ms;

  if (peers->view_ns != 0)
    {
      limit_ms = discovery_age_max_ms (gateway)
                 + (jitter_ms == 0 ? 0 : peers->self_id % jitter_ms);
      return now_ns - peers->view_ns > limit_ms * CLOCK_NS_PER_MS;
    }
  limit_ms
      = (hub_starting (peers, now_ns) ? HUB_STARTUP_MS : WATCH_FALLBACK_MS)
        + peers->self_id % WATCH_FALLBACK_JITTER_MS;
  return peers->zone_listed
         && now_ns - peers->hub_expected_ns > limit_ms * CLOCK_NS_PER_MS;
}

/* Hubs watch the store; other instances only while no hub has a fresh view. */
static void
update_watching (struct gateway_peers *peers, uint64_t now_ns)
{
  struct gateway *gateway = peers->gateway;
  const uint64_t age_ns = gateway_peers_store_age_ns (gateway);

  if (peers->hub)
    {
      discovery_watch (gateway);
      return;
    }
  if (age_ns < discovery_age_max_ms (gateway) * CLOCK_NS_PER_MS
      && gateway->upstreams_loaded)
    {
      if (now_ns - age_ns > peers->view_ns)
        peers->view_ns = now_ns - age_ns;
      if (!gateway->config_watch.paused)
        rely_on_hubs (peers);
    }
  else if (view_lost (peers, now_ns))
    {
      discovery_watch_if_store_answers (gateway);
      /* The hubs may be lost for good: others follow once their entries
         expire. */
      if (!gateway->upstream_watch.paused)
        gateway_peers_watch_members (peers);
    }
}
