/**
 * @file neighbours.c
 * Links to other gateways: who hangs on whom, and what the store says passed
 * on to those that do.
 */
#include "gateway/neighbours.h"
#include "gateway/directory.h"
#include "gateway/flow.h"
#include "gateway/neighbours_int.h"
#include "state/err.h"
#include "transport/log.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define HANDSHAKE_MS 1000 /* of a link between near machines */
#define IDLE_MS      1500 /* without a statement, until a link is cut */
/* A hub's view of the store is followed while it is so fresh, and without one
   an instance follows the store itself after a while, not all at once. */
#define FRESH_MS        1000
#define ALONE_MS        600
#define ALONE_SPREAD_MS 400
#define STATEMENT_TICKS (NEIGHBOURS_STATEMENT_MS / NEIGHBOURS_NEAR_MS)
#define STARTS_MS       3000 /* a hub's first listing of the store */
#define LAG_MS          1200 /* others' view of the store, ahead for so long */
/* Links are opened on the platform's own network; the word keeps other
   programs that dial by mistake out, and hides nothing. */
#define FLEET        "gateway"
#define FLEET_SECRET "cherrylanding gateway fleet"

static void on_up (void *user, const struct message_hello *hello);
static void on_message (void *user, uint64_t instance_id,
                        const struct message *message);
static void on_down (void *user, uint64_t instance_id, int error);
static void on_rejected (void *user, const char *address, int error);
static void on_statement (evutil_socket_t fd, short what, void *arg);
static int start_net (struct neighbours *neighbours);
static struct neighbour *find_peer (const struct neighbours *neighbours,
                                    uint64_t instance_id);
static bool peer_is_hub (const struct neighbours *neighbours,
                         uint64_t instance_id);
static void hang_on (struct neighbours *neighbours, uint64_t instance_id);
static void send_owed (struct neighbours *neighbours);
static void send_copy (struct neighbours *neighbours,
                       const struct neighbour *peer);
static void take_items (struct neighbours *neighbours,
                        const struct message_config *config);
static bool hub_starts (const struct neighbours *neighbours, uint64_t now_ns);
static void follow_or_not (struct neighbours *neighbours, uint64_t now_ns);
static void check_lag (struct neighbours *neighbours, uint64_t now_ns);

static const struct peernet_events net_events
    = { on_up, on_message, on_down, on_rejected };

int
neighbours_start (struct gateway *gateway)
{
  struct neighbours *neighbours = calloc (1, sizeof *neighbours);
  const struct timeval interval = clock_timeval (NEIGHBOURS_NEAR_MS);
  int error;

  if (neighbours == NULL)
    return ERR_NO_MEMORY;
  gateway->neighbours = neighbours;
  neighbours->gateway = gateway;
  neighbours->start_ns = neighbours->fresh_ns = gateway_now_ns (gateway);
  neighbours->self_id = catalog_id (gateway->settings.instance);
  neighbours->zone_id = catalog_id (gateway->settings.availability_zone);
  error = start_net (neighbours);
  if (error != 0)
    return error;
  neighbours->statement
      = event_new (gateway->base, -1, EV_PERSIST, on_statement, neighbours);
  if (neighbours->statement == NULL)
    return ERR_NO_MEMORY;
  event_add (neighbours->statement, &interval);
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
    .handshake_ms = HANDSHAKE_MS,
    .idle_ms = IDLE_MS,
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
  if (neighbours->statement != NULL)
    event_free (neighbours->statement);
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
on_up (void *user, const struct message_hello *hello)
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
  peer->hangs = false;
  peer->owed = false;
  if (!neighbours->hub && peer_is_hub (neighbours, instance_id))
    hang_on (neighbours, instance_id);
}

/* Asks a hub for what the store says, from now on. */
static void
hang_on (struct neighbours *neighbours, uint64_t instance_id)
{
  const struct message request = { .kind = MESSAGE_CONFIG_REQUEST };

  peernet_send (neighbours->net, instance_id, &request);
}

static void
on_message (void *user, uint64_t instance_id, const struct message *message)
{
  struct neighbours *neighbours = user;
  struct neighbour *peer = find_peer (neighbours, instance_id);

  if (peer == NULL)
    return;
  switch (message->kind)
    {
    case MESSAGE_LOAD:
      peer->heard_ns = gateway_now_ns (neighbours->gateway);
      neighbours_hear (neighbours, peer, &message->u.load);
      flow_capacity_changed (neighbours->gateway);
      break;
    case MESSAGE_CONFIG_REQUEST:
      peer->hangs = true;
      peer->owed = true;
      send_owed (neighbours);
      break;
    case MESSAGE_CONFIG:
      take_items (neighbours, &message->u.config);
      break;
    default:
      break;
    }
}

static void
on_down (void *user, uint64_t instance_id, int error)
{
  struct neighbours *neighbours = user;
  struct neighbour *peer = find_peer (neighbours, instance_id);

  LOG (LOG_PEER_DOWN, NULL, LOG_S ("error", err_name (error)));
  if (peer == NULL)
    return;
  neighbours_hear (neighbours, peer, NULL);
  HASH_DEL (neighbours->peers, peer);
  free (peer);
}

static void
on_rejected (void *user, const char *address, int error)
{
  (void)user;
  LOG (LOG_PEER_REJECTED, NULL, LOG_S ("address", address),
       LOG_S ("error", err_name (error)));
}

/* What the store says. */

/* What has not been read whole would be taken for all that there is. */
static void
send_owed (struct neighbours *neighbours)
{
  const struct gateway *gateway = neighbours->gateway;
  struct neighbour *peer;
  struct neighbour *next;

  if (!gateway->upstreams_held || gateway->routing == NULL
      || !neighbours->listed)
    return;
  for (peer = neighbours->peers; peer != NULL; peer = next)
    {
      next = peer->hh.next;
      if (!peer->owed)
        continue;
      peer->owed = false;
      send_copy (neighbours, peer);
    }
}

static void
send_copy (struct neighbours *neighbours, const struct neighbour *peer)
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
  config->newest_index = neighbours->gateway->upstream_feed.index;
  config->complete = true;
  peernet_send (neighbours->net, peer->instance_id, &message);
  free (config->objects);
}

void
neighbours_pass_on (struct gateway *gateway, const struct platform_item *item,
                    bool news)
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
      || !news)
    return;
  memcpy (object.key, item->key, strlen (item->key) + 1);
  object.value = (char *)item->value;
  object.value_size = item->value_size;
  for (peer = neighbours->peers; peer != NULL; peer = next)
    {
      next = peer->hh.next;
      if (peer->hangs)
        peernet_send (neighbours->net, peer->instance_id, &message);
    }
}

static void
take_items (struct neighbours *neighbours, const struct message_config *config)
{
  struct gateway *gateway = neighbours->gateway;
  size_t prefix = strlen (gateway->adapter->own_prefix);
  size_t i;

  /* Who follows the store has it from there. */
  if (!gateway->upstream_feed.paused)
    return;
  if (config->complete)
    {
      directory_copy_begin (gateway);
      neighbours_members_begin (neighbours);
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
        neighbours_member_item (neighbours, &item);
      else
        directory_take (gateway, &item);
    }
  if (config->complete)
    {
      directory_copy_end (gateway, config->newest_index);
      neighbours_members_end (neighbours);
    }
}

uint64_t
neighbours_age_ns (const struct gateway *gateway)
{
  const struct neighbours *neighbours = gateway->neighbours;
  uint64_t now_ns = gateway_now_ns (gateway);
  uint64_t least = UINT64_MAX;
  const struct neighbour *peer;
  uint64_t age_ns;

  for (peer = neighbours == NULL ? NULL : neighbours->peers; peer != NULL;
       peer = peer->hh.next)
    {
      if (peer->heard_ns == 0 || peer->hangs)
        continue;
      age_ns = now_ns - peer->heard_ns + peer->load.age_ms * CLOCK_NS_PER_MS;
      if (age_ns < least)
        least = age_ns;
    }
  return least;
}

/* The beat. */

static void
on_statement (evutil_socket_t fd, short what, void *arg)
{
  struct neighbours *neighbours = arg;
  uint64_t now_ns = gateway_now_ns (neighbours->gateway);
  bool far = neighbours->statements % STATEMENT_TICKS == 0;

  (void)fd;
  (void)what;
  neighbours->statements++;
  if (!far)
    {
      neighbours_state (neighbours, far);
      return;
    }
  if (neighbours->members_changed)
    neighbours_assign (neighbours);
  neighbours->gateway->retryshare.instances
      = neighbours_count (neighbours->gateway);
  check_lag (neighbours, now_ns);
  follow_or_not (neighbours, now_ns);
  send_owed (neighbours);
  neighbours_state (neighbours, far);
}

/* Others have read more of the store for a while: this one's calls hang, and
   nobody is to rely on what it knows. */
static void
check_lag (struct neighbours *neighbours, uint64_t now_ns)
{
  const struct feed *feed = &neighbours->gateway->upstream_feed;
  const struct neighbour *peer;
  uint64_t newest = 0;

  for (peer = neighbours->peers; peer != NULL; peer = peer->hh.next)
    if (peer->load.store_index > newest)
      newest = peer->load.store_index;
  if (feed->paused || feed->index >= neighbours->aim_index)
    {
      neighbours->lags = false;
      neighbours->aim_index = newest;
      neighbours->aim_ns = now_ns;
    }
  else if (now_ns - neighbours->aim_ns > LAG_MS * CLOCK_NS_PER_MS)
    neighbours->lags = true;
}

/* A hub that reads the store for the first time is waited for: with many
   upstreams that takes seconds, and all reading at once would take longer. */
static bool
hub_starts (const struct neighbours *neighbours, uint64_t now_ns)
{
  const struct neighbour *peer;

  for (peer = neighbours->peers; peer != NULL; peer = peer->hh.next)
    if (!peer->hangs && peer->load.store_index == 0
        && now_ns - peer->heard_ns < FRESH_MS * CLOCK_NS_PER_MS
        && peer_is_hub (neighbours, peer->instance_id))
      return true;
  return false;
}

/* Hubs follow the store; others do while no hub is fresh. */
static void
follow_or_not (struct neighbours *neighbours, uint64_t now_ns)
{
  struct gateway *gateway = neighbours->gateway;
  uint64_t patience_ms
      = (hub_starts (neighbours, now_ns) ? STARTS_MS : ALONE_MS)
        + neighbours->self_id % ALONE_SPREAD_MS;

  if (neighbours->hub)
    {
      directory_follow (gateway, true);
      return;
    }
  if (neighbours_age_ns (gateway) < FRESH_MS * CLOCK_NS_PER_MS
      && gateway->upstreams_held)
    {
      neighbours->fresh_ns = now_ns;
      if (!gateway->upstream_feed.paused)
        directory_follow (gateway, false);
    }
  else if (neighbours->listed
           && now_ns - neighbours->fresh_ns > patience_ms * CLOCK_NS_PER_MS)
    directory_follow (gateway, true);
}
