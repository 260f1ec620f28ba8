/**
 * @file neighbours.c
 * Links to other gateways: subscriptions to hubs, and forwarding of the
 * store's items to subscribers.
 */
#include "gateway/neighbours.h"
#include "gateway/discovery.h"
#include "gateway/flow.h"
#include "gateway/neighbours_int.h"
#include "state/err.h"
#include "transport/log.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define HANDSHAKE_TIMEOUT_MS                                                  \
  1000 /* network latency between instances is low */
#define LINK_IDLE_TIMEOUT_MS                                                  \
  1500 /* a link without a load report for this long is closed */
/* An instance relies on a hub's view of the store up to this age.  Without
   such a hub it watches the store itself after a delay, with jitter so that
   not all instances start at once. */
#define HUB_VIEW_AGE_MAX_MS      1000
#define WATCH_FALLBACK_MS        600
#define WATCH_FALLBACK_JITTER_MS 400
/* Ticks of the report timer from one report to other hubs to the next. */
#define REPORT_TICKS (NEIGHBOURS_REPORT_MS / NEIGHBOURS_ZONE_REPORT_MS)
#define HUB_STARTUP_MS                                                        \
  3000 /* allowed for a hub's first listing of the store */
#define STORE_LAG_MAX_MS 1200 /* peers' views may be ahead for this long */
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
static int start_net (struct neighbours *neighbours);
static struct neighbour *find_peer (const struct neighbours *neighbours,
                                    uint64_t instance_id);
static bool peer_is_hub (const struct neighbours *neighbours,
                         uint64_t instance_id);
static void subscribe (struct neighbours *neighbours, uint64_t instance_id);
static void send_pending_snapshots (struct neighbours *neighbours);
static void send_snapshot (struct neighbours *neighbours,
                           const struct neighbour *peer);
static void apply_items (struct neighbours *neighbours,
                         const struct message_config *config);
static bool hub_starting (const struct neighbours *neighbours,
                          uint64_t now_ns);
static void update_watching (struct neighbours *neighbours, uint64_t now_ns);
static void check_store_lag (struct neighbours *neighbours, uint64_t now_ns);

static const struct peernet_events net_events
    = { on_peer_up, on_peer_message, on_peer_down, on_peer_rejected };

int
neighbours_start (struct gateway *gateway)
{
  struct neighbours *neighbours = calloc (1, sizeof *neighbours);
  const struct timeval interval = clock_timeval (NEIGHBOURS_ZONE_REPORT_MS);
  int error;

  if (neighbours == NULL)
    return ERR_NO_MEMORY;
  gateway->neighbours = neighbours;
  neighbours->gateway = gateway;
  neighbours->start_ns = neighbours->hub_fresh_ns = gateway_now_ns (gateway);
  neighbours->self_id = catalog_id (gateway->settings.instance);
  neighbours->zone_id = catalog_id (gateway->settings.availability_zone);
  error = start_net (neighbours);
  if (error != 0)
    return error;
  neighbours->report_timer
      = event_new (gateway->base, -1, EV_PERSIST, on_report_timer, neighbours);
  if (neighbours->report_timer == NULL)
    return ERR_NO_MEMORY;
  event_add (neighbours->report_timer, &interval);
  return neighbours_members_start (neighbours);
}

static int
start_net (struct neighbours *neighbours)
{
  struct gateway *gateway = neighbours->gateway;
  struct peernet_config config = {
    .base = gateway->base,
    .clock = &gateway->clock,
    .listen_address = gateway->settings.peer_address,
    .offered_only = true,
    .secret = FLEET_SECRET,
    .handshake_ms = HANDSHAKE_TIMEOUT_MS,
    .idle_ms = LINK_IDLE_TIMEOUT_MS,
    .events = &net_events,
    .user = neighbours,
  };

  snprintf (config.self.fleet, sizeof config.self.fleet, FLEET);
  snprintf (config.self.instance, sizeof config.self.instance, "%.*s",
            (int)sizeof config.self.instance - 1, gateway->settings.instance);
  snprintf (config.self.availability_zone,
            sizeof config.self.availability_zone, "%.*s",
            (int)sizeof config.self.availability_zone - 1,
            gateway->settings.availability_zone);
  config.self.incarnation = clock_wall_ms (&gateway->clock);
  return peernet_new (&config, &neighbours->net);
}

void
neighbours_finish (struct gateway *gateway)
{
  struct neighbours *neighbours = gateway->neighbours;
  struct neighbour *peer;
  struct neighbour *next;

  if (neighbours == NULL)
    return;
  gateway->neighbours = NULL;
  neighbours_members_finish (neighbours);
  if (neighbours->net != NULL)
    peernet_free (neighbours->net);
  if (neighbours->report_timer != NULL)
    event_free (neighbours->report_timer);
  peer = neighbours->peers;
  HASH_CLEAR (hh, neighbours->peers);
  for (; peer != NULL; peer = next)
    {
      next = peer->hh.next;
      free (peer->load.items);
      free (peer);
    }
  mirror_finish (&neighbours->mirror);
  free (neighbours);
}

uint32_t
neighbours_linked (const struct gateway *gateway)
{
  return HASH_COUNT (gateway->neighbours->peers);
}

uint32_t
neighbours_count (const struct gateway *gateway)
{
  uint32_t linked = neighbours_linked (gateway) + 1;
  uint32_t listed = HASH_COUNT (gateway->neighbours->members);

  return linked > listed ? linked : listed;
}

bool
neighbours_hub (const struct gateway *gateway)
{
  return gateway->neighbours->hub;
}

/* Links. */

static struct neighbour *
find_peer (const struct neighbours *neighbours, uint64_t instance_id)
{
  struct neighbour *peer;

  HASH_FIND (hh, neighbours->peers, &instance_id, sizeof instance_id, peer);
  return peer;
}

static bool
peer_is_hub (const struct neighbours *neighbours, uint64_t instance_id)
{
  const struct member_entry *entry;

  for (entry = neighbours->members; entry != NULL; entry = entry->hh.next)
    if (entry->id == instance_id)
      return entry->hub;
  return false;
}

static void
on_peer_up (void *user, const struct message_hello *hello)
{
  struct neighbours *neighbours = user;
  uint64_t instance_id = catalog_id (hello->instance);
  struct neighbour *peer = find_peer (neighbours, instance_id);

  LOG (LOG_PEER_UP, NULL, LOG_S ("peer", hello->instance),
       LOG_S ("address", hello->address));
  if (peer == NULL)
    {
      peer = calloc (1, sizeof *peer);
      if (peer == NULL)
        return;
      peer->instance_id = instance_id;
      HASH_ADD (hh, neighbours->peers, instance_id, sizeof instance_id, peer);
    }
  peer->subscribed = false;
  peer->snapshot_pending = false;
  if (!neighbours->hub && peer_is_hub (neighbours, instance_id))
    subscribe (neighbours, instance_id);
}

/* Requests a snapshot of a hub's view of the store, and further changes. */
static void
subscribe (struct neighbours *neighbours, uint64_t instance_id)
{
  const struct message request = { .kind = MESSAGE_CONFIG_REQUEST };

  peernet_send (neighbours->net, instance_id, &request);
}

static void
on_peer_message (void *user, uint64_t instance_id,
                 const struct message *message)
{
  struct neighbours *neighbours = user;
  struct neighbour *peer = find_peer (neighbours, instance_id);

  if (peer == NULL)
    return;
  switch (message->kind)
    {
    case MESSAGE_LOAD:
      peer->report_ns = gateway_now_ns (neighbours->gateway);
      neighbours_set_report (neighbours, peer, &message->u.load);
      flow_capacity_changed (neighbours->gateway);
      break;
    case MESSAGE_CONFIG_REQUEST:
      peer->subscribed = true;
      peer->snapshot_pending = true;
      send_pending_snapshots (neighbours);
      break;
    case MESSAGE_CONFIG:
      apply_items (neighbours, &message->u.config);
      break;
    default:
      break;
    }
}

static void
on_peer_down (void *user, uint64_t instance_id, int error)
{
  struct neighbours *neighbours = user;
  struct neighbour *peer = find_peer (neighbours, instance_id);

  LOG (LOG_PEER_DOWN, NULL, LOG_S ("error", err_name (error)));
  if (peer == NULL)
    return;
  neighbours_set_report (neighbours, peer, NULL);
  HASH_DEL (neighbours->peers, peer);
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
send_pending_snapshots (struct neighbours *neighbours)
{
  const struct gateway *gateway = neighbours->gateway;
  struct neighbour *peer;
  struct neighbour *next;

  if (!gateway->upstreams_loaded || gateway->routing == NULL
      || !neighbours->members_listed)
    return;
  for (peer = neighbours->peers; peer != NULL; peer = next)
    {
      next = peer->hh.next;
      if (!peer->snapshot_pending)
        continue;
      peer->snapshot_pending = false;
      send_snapshot (neighbours, peer);
    }
}

static void
send_snapshot (struct neighbours *neighbours, const struct neighbour *peer)
{
  const struct mirror_item *item;
  struct message message = { .kind = MESSAGE_CONFIG };
  struct message_config *config = &message.u.config;
  size_t count = HASH_COUNT (neighbours->mirror.items);

  config->objects = calloc (count + 1, sizeof *config->objects);
  if (config->objects == NULL)
    return;
  for (item = neighbours->mirror.items; item != NULL; item = item->hh.next)
    config->objects[config->object_count++] = item->object;
  config->newest_index = neighbours->gateway->upstream_watch.index;
  config->complete = true;
  peernet_send (neighbours->net, peer->instance_id, &message);
  free (config->objects);
}

void
neighbours_publish_item (struct gateway *gateway,
                         const struct platform_item *item, bool changed)
{
  struct neighbours *neighbours = gateway->neighbours;
  struct message_object object
      = { .index = item->index, .deleted = item->value == NULL };
  const struct message message = { .kind = MESSAGE_CONFIG,
                                   .u.config = { .newest_index = item->index,
                                                 .object_count = 1,
                                                 .objects = &object } };
  struct neighbour *peer;
  struct neighbour *next;

  if (neighbours == NULL || mirror_put (&neighbours->mirror, item) != 0
      || !changed)
    return;
  memcpy (object.key, item->key, strlen (item->key) + 1);
  object.value = (char *)item->value;
  object.value_size = item->value_size;
  for (peer = neighbours->peers; peer != NULL; peer = next)
    {
      next = peer->hh.next;
      if (peer->subscribed)
        peernet_send (neighbours->net, peer->instance_id, &message);
    }
}

static void
apply_items (struct neighbours *neighbours,
             const struct message_config *config)
{
  struct gateway *gateway = neighbours->gateway;
  size_t prefix = strlen (gateway->adapter->own_prefix);
  size_t i;

  /* An instance that watches the store itself ignores forwarded items. */
  if (!gateway->upstream_watch.paused)
    return;
  if (config->complete)
    {
      discovery_snapshot_begin (gateway);
      neighbours_listing_begin (neighbours);
    }
  for (i = 0; i < config->object_count; i++)
    {
      const struct message_object *object = &config->objects[i];
      const struct platform_item item
          = { .key = object->key,
              .value = object->deleted ? NULL : object->value,
              .value_size = object->value_size,
              .index = object->index };

      if (strncmp (item.key, gateway->adapter->own_prefix, prefix) == 0)
        neighbours_apply_member (neighbours, &item);
      else
        discovery_apply_item (gateway, &item);
    }
  if (config->complete)
    {
      discovery_snapshot_end (gateway, config->newest_index);
      neighbours_listing_end (neighbours);
    }
}

uint64_t
neighbours_store_age_ns (const struct gateway *gateway)
{
  const struct neighbours *neighbours = gateway->neighbours;
  uint64_t now_ns = gateway_now_ns (gateway);
  uint64_t lowest = UINT64_MAX;
  const struct neighbour *peer;
  uint64_t age_ns;

  for (peer = neighbours == NULL ? NULL : neighbours->peers; peer != NULL;
       peer = peer->hh.next)
    {
      if (peer->report_ns == 0 || peer->subscribed)
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
  struct neighbours *neighbours = arg;
  uint64_t now_ns = gateway_now_ns (neighbours->gateway);
  bool to_hubs = neighbours->report_ticks % REPORT_TICKS == 0;

  (void)fd;
  (void)what;
  neighbours->report_ticks++;
  if (!to_hubs)
    {
      neighbours_send_reports (neighbours, to_hubs);
      return;
    }
  if (neighbours->members_changed)
    neighbours_assign_hubs (neighbours);
  neighbours->gateway->fleet_retry_budget.instances
      = neighbours_count (neighbours->gateway);
  check_store_lag (neighbours, now_ns);
  update_watching (neighbours, now_ns);
  send_pending_snapshots (neighbours);
  neighbours_send_reports (neighbours, to_hubs);
}

/* If peers have had a newer view of the store for a while, this instance's
   calls to the store hang, and others must not rely on its view. */
static void
check_store_lag (struct neighbours *neighbours, uint64_t now_ns)
{
  const struct store_watch *watch = &neighbours->gateway->upstream_watch;
  const struct neighbour *peer;
  uint64_t newest = 0;

  for (peer = neighbours->peers; peer != NULL; peer = peer->hh.next)
    if (peer->load.store_index > newest)
      newest = peer->load.store_index;
  if (watch->paused || watch->index >= neighbours->peer_store_index)
    {
      neighbours->store_lags = false;
      neighbours->peer_store_index = newest;
      neighbours->peer_store_index_ns = now_ns;
    }
  else if (now_ns - neighbours->peer_store_index_ns
           > STORE_LAG_MAX_MS * CLOCK_NS_PER_MS)
    neighbours->store_lags = true;
}

/* Whether a hub is reading the store for the first time.  With many upstreams
   this takes seconds; it would take longer if all instances read at once, so
   the others wait. */
static bool
hub_starting (const struct neighbours *neighbours, uint64_t now_ns)
{
  const struct neighbour *peer;

  for (peer = neighbours->peers; peer != NULL; peer = peer->hh.next)
    if (!peer->subscribed && peer->load.store_index == 0
        && now_ns - peer->report_ns < HUB_VIEW_AGE_MAX_MS * CLOCK_NS_PER_MS
        && peer_is_hub (neighbours, peer->instance_id))
      return true;
  return false;
}

/* Hubs watch the store; other instances only while no hub has a fresh view. */
static void
update_watching (struct neighbours *neighbours, uint64_t now_ns)
{
  struct gateway *gateway = neighbours->gateway;
  uint64_t fallback_ms
      = (hub_starting (neighbours, now_ns) ? HUB_STARTUP_MS
                                           : WATCH_FALLBACK_MS)
        + neighbours->self_id % WATCH_FALLBACK_JITTER_MS;

  if (neighbours->hub)
    {
      discovery_set_watching (gateway, true);
      return;
    }
  if (neighbours_store_age_ns (gateway) < HUB_VIEW_AGE_MAX_MS * CLOCK_NS_PER_MS
      && gateway->upstreams_loaded)
    {
      neighbours->hub_fresh_ns = now_ns;
      if (!gateway->upstream_watch.paused)
        discovery_set_watching (gateway, false);
    }
  else if (neighbours->members_listed
           && now_ns - neighbours->hub_fresh_ns
                  > fallback_ms * CLOCK_NS_PER_MS)
    discovery_set_watching (gateway, true);
}
