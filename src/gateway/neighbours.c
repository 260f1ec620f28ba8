/**
 * @file neighbours.c
 * Membership through the store, and statements of load over links.
 */
#include "gateway/neighbours.h"
#include "coordination/message.h"
#include "gateway/flow.h"
#include "state/err.h"
#include "transport/log.h"
#include "transport/peernet.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <uthash.h>

#define STATEMENT_MS 100 /* between statements: a tenth of an objective */
#define HANDSHAKE_MS                                                          \
  1000                 /* of a link between near machines                     \
                        */
#define IDLE_MS  1500  /* without a statement, until a link is cut */
#define WATCH_MS 20000 /* members change rarely */
#define PACE_MS  500   /* between reads of members */
#define LEASE_MS 9000  /* an instance that died is forgotten after */
#define KEEP_MS  3000  /* a third of the lease */
#define RETRY_MS 1000  /* after a call for membership failed */
/* Links are opened on the platform's own network; the word keeps other
   programs that dial by mistake out, and hides nothing. */
#define FLEET        "gateway"
#define FLEET_SECRET "cherrylanding gateway fleet"

struct neighbour
{
  uint64_t instance_id;
  struct message_load load; /* what it said last */
  UT_hash_handle hh;
};

struct member_entry
{
  char key[GATEWAY_NAME_SIZE + 64];
  bool seen; /* in the listing being read */
  UT_hash_handle hh;
};

enum membership
{
  MEMBERSHIP_NONE,
  MEMBERSHIP_GRANTING,
  MEMBERSHIP_WRITING,
  MEMBERSHIP_HELD
};

struct neighbours
{
  struct gateway *gateway;
  struct peernet *net;
  struct feed feed;
  struct event *statement;
  struct event *membership_timer;
  enum membership membership;
  uint64_t lease;
  struct member_entry *members; /* entries in the store */
  char key[GATEWAY_NAME_SIZE + 64];
  struct neighbour *peers;
};

static void on_up (void *user, const struct message_hello *hello);
static void on_message (void *user, uint64_t instance_id,
                        const struct message *message);
static void on_down (void *user, uint64_t instance_id, int error);
static void on_rejected (void *user, const char *address, int error);
static void member_item (void *user, const struct platform_item *item);
static void member_listing (void *user);
static void member_gone (struct neighbours *neighbours, const char *key);
static int member_there (struct neighbours *neighbours, const char *key);
static void member_listed (void *user, uint64_t index);
static void feed_failed (void *user, int error);
static void feed_recovered (void *user, uint64_t outage_ns);
static void on_membership (evutil_socket_t fd, short what, void *arg);
static void on_granted (void *user, int error, uint64_t lease);
static void on_written (void *user, int error, uint64_t index);
static void on_kept (void *user, int error, uint64_t index);
static void schedule_membership (struct neighbours *neighbours,
                                 uint32_t delay_ms);
static void on_statement (evutil_socket_t fd, short what, void *arg);
static size_t compose (struct gateway *gateway,
                       struct message_load_item *items, size_t max);
static void apply (struct gateway *gateway, const struct message_load *load,
                   int sign);
static void replace (struct neighbours *neighbours, struct neighbour *peer,
                     const struct message_load *load);

static const struct peernet_events net_events
    = { on_up, on_message, on_down, on_rejected };

static const struct feed_events member_events = {
  .listing_begin = member_listing,
  .listing_end = member_listed,
  .item = member_item,
  .failed = feed_failed,
  .recovered = feed_recovered,
};

int
neighbours_start (struct gateway *gateway)
{
  struct neighbours *neighbours = calloc (1, sizeof *neighbours);
  const struct timeval interval = clock_timeval (STATEMENT_MS);
  struct peernet_config config = {
    .base = gateway->base,
    .clock = &gateway->clock,
    .listen_address = gateway->settings.peer_address,
    .secret = FLEET_SECRET,
    .handshake_ms = HANDSHAKE_MS,
    .idle_ms = IDLE_MS,
    .events = &net_events,
    .user = neighbours,
  };
  const struct feed_config feed = {
    .base = gateway->base,
    .clock = &gateway->clock,
    .platform = gateway->platform,
    .prefix = gateway->adapter->own_prefix,
    .pace_ms = PACE_MS,
    .wait_ms = WATCH_MS,
    .seed = catalog_id (gateway->settings.instance) + 1,
    .events = &member_events,
    .user = neighbours,
  };
  int error;

  if (neighbours == NULL)
    return ERR_NO_MEMORY;
  gateway->neighbours = neighbours;
  neighbours->gateway = gateway;
  snprintf (neighbours->key, sizeof neighbours->key, "%s%s",
            gateway->adapter->own_prefix, gateway->settings.instance);
  snprintf (config.self.fleet, sizeof config.self.fleet, FLEET);
  snprintf (config.self.instance, sizeof config.self.instance, "%.*s",
            (int)sizeof config.self.instance - 1, gateway->settings.instance);
  snprintf (config.self.availability_zone,
            sizeof config.self.availability_zone, "%.*s",
            (int)sizeof config.self.availability_zone - 1,
            gateway->settings.availability_zone);
  config.self.incarnation = clock_wall_ms (&gateway->clock);
  error = peernet_new (&config, &neighbours->net);
  if (error != 0)
    return error;
  neighbours->statement
      = event_new (gateway->base, -1, EV_PERSIST, on_statement, neighbours);
  neighbours->membership_timer
      = event_new (gateway->base, -1, 0, on_membership, neighbours);
  if (neighbours->statement == NULL || neighbours->membership_timer == NULL)
    return ERR_NO_MEMORY;
  event_add (neighbours->statement, &interval);
  schedule_membership (neighbours, 0);
  return feed_init (&neighbours->feed, &feed);
}

void
neighbours_finish (struct gateway *gateway)
{
  struct neighbours *neighbours = gateway->neighbours;
  struct neighbour *peer;
  struct neighbour *next;
  struct member_entry *entry;
  struct member_entry *next_entry;

  if (neighbours == NULL)
    return;
  feed_finish (&neighbours->feed);
  if (neighbours->net != NULL)
    peernet_free (neighbours->net);
  if (neighbours->statement != NULL)
    event_free (neighbours->statement);
  if (neighbours->membership_timer != NULL)
    event_free (neighbours->membership_timer);
  peer = neighbours->peers;
  HASH_CLEAR (hh, neighbours->peers);
  for (; peer != NULL; peer = next)
    {
      next = peer->hh.next;
      free (peer->load.items);
      free (peer);
    }
  entry = neighbours->members;
  HASH_CLEAR (hh, neighbours->members);
  for (; entry != NULL; entry = next_entry)
    {
      next_entry = entry->hh.next;
      free (entry);
    }
  free (neighbours);
  gateway->neighbours = NULL;
}

uint32_t
neighbours_linked (const struct gateway *gateway)
{
  return HASH_COUNT (gateway->neighbours->peers);
}

uint32_t
neighbours_count (const struct gateway *gateway)
{
  const struct neighbours *neighbours = gateway->neighbours;
  uint32_t linked = HASH_COUNT (neighbours->peers) + 1;
  uint32_t listed = HASH_COUNT (neighbours->members);

  return linked > listed ? linked : listed;
}

/* Membership: an entry that lives by a lease tells the others where to dial.
   Who is alive only links say. */

static void
schedule_membership (struct neighbours *neighbours, uint32_t delay_ms)
{
  const struct timeval delay = clock_timeval (delay_ms);

  event_add (neighbours->membership_timer, &delay);
}

static void
on_membership (evutil_socket_t fd, short what, void *arg)
{
  struct neighbours *neighbours = arg;
  struct platform *platform = neighbours->gateway->platform;
  int error;

  (void)fd;
  (void)what;
  if (neighbours->membership == MEMBERSHIP_HELD)
    error = platform->ops->keep (platform, neighbours->lease, on_kept,
                                 neighbours);
  else
    {
      neighbours->membership = MEMBERSHIP_GRANTING;
      error
          = platform->ops->grant (platform, LEASE_MS, on_granted, neighbours);
    }
  if (error != 0)
    schedule_membership (neighbours, RETRY_MS);
}

static void
on_granted (void *user, int error, uint64_t lease)
{
  struct neighbours *neighbours = user;
  struct platform *platform = neighbours->gateway->platform;
  const char *address = peernet_address (neighbours->net);
  const struct platform_item put = { .key = neighbours->key,
                                     .value = address,
                                     .value_size = strlen (address) };
  const struct platform_commit commit
      = { .puts = &put, .put_count = 1, .lease = lease };

  neighbours->lease = lease;
  neighbours->membership = MEMBERSHIP_WRITING;
  if (error == 0)
    error = platform->ops->commit (platform, &commit, on_written, neighbours);
  if (error != 0)
    {
      neighbours->membership = MEMBERSHIP_NONE;
      schedule_membership (neighbours, RETRY_MS);
    }
}

static void
on_written (void *user, int error, uint64_t index)
{
  struct neighbours *neighbours = user;

  (void)index;
  neighbours->membership = error == 0 ? MEMBERSHIP_HELD : MEMBERSHIP_NONE;
  schedule_membership (neighbours, error == 0 ? KEEP_MS : RETRY_MS);
}

static void
on_kept (void *user, int error, uint64_t index)
{
  struct neighbours *neighbours = user;

  (void)index;
  if (error == ERR_NOT_FOUND)
    neighbours->membership = MEMBERSHIP_NONE;
  schedule_membership (neighbours, error == 0 ? KEEP_MS : RETRY_MS);
}

static void
member_listing (void *user)
{
  struct neighbours *neighbours = user;
  struct member_entry *entry;

  for (entry = neighbours->members; entry != NULL; entry = entry->hh.next)
    entry->seen = false;
}

static void
member_listed (void *user, uint64_t index)
{
  struct neighbours *neighbours = user;
  struct member_entry *entry;
  struct member_entry *next;

  (void)index;
  HASH_ITER (hh, neighbours->members, entry, next)
    if (!entry->seen)
      member_gone (neighbours, entry->key);
}

static void
member_gone (struct neighbours *neighbours, const char *key)
{
  struct member_entry *entry;

  HASH_FIND_STR (neighbours->members, key, entry);
  if (entry == NULL)
    return;
  HASH_DEL (neighbours->members, entry);
  free (entry);
}

static int
member_there (struct neighbours *neighbours, const char *key)
{
  struct member_entry *entry;

  if (strlen (key) >= sizeof entry->key)
    return ERR_INVALID;
  HASH_FIND_STR (neighbours->members, key, entry);
  if (entry == NULL)
    {
      entry = calloc (1, sizeof *entry);
      if (entry == NULL)
        return ERR_NO_MEMORY;
      snprintf (entry->key, sizeof entry->key, "%s", key);
      HASH_ADD_STR (neighbours->members, key, entry);
    }
  entry->seen = true;
  return 0;
}

static void
member_item (void *user, const struct platform_item *item)
{
  struct neighbours *neighbours = user;
  char address[GATEWAY_ADDRESS_SIZE];
  int error;

  if (item->value == NULL)
    {
      member_gone (neighbours, item->key);
      return;
    }
  error = member_there (neighbours, item->key);
  if (strcmp (item->key, neighbours->key) == 0)
    return;
  if (item->value_size >= sizeof address)
    error = ERR_INVALID;
  if (error == 0)
    {
      memcpy (address, item->value, item->value_size);
      address[item->value_size] = '\0';
      error = peernet_offer (neighbours->net, address, false);
    }
  if (error != 0)
    LOG (LOG_PEER_REJECTED, NULL, LOG_S ("member", item->key),
         LOG_S ("error", err_name (error)));
}

static void
feed_failed (void *user, int error)
{
  (void)user;
  LOG (LOG_STORE_UNAVAILABLE, NULL, LOG_S ("for", "members"),
       LOG_S ("error", err_name (error)));
}

static void
feed_recovered (void *user, uint64_t outage_ns)
{
  (void)user;
  LOG (LOG_STORE_RECOVERED, NULL, LOG_S ("for", "members"),
       LOG_U ("outage_ms", outage_ns / CLOCK_NS_PER_MS));
}

/* Links. */

static void
on_up (void *user, const struct message_hello *hello)
{
  struct neighbours *neighbours = user;
  uint64_t instance_id = catalog_id (hello->instance);
  struct neighbour *peer;

  LOG (LOG_PEER_UP, NULL, LOG_S ("peer", hello->instance),
       LOG_S ("address", hello->address));
  HASH_FIND (hh, neighbours->peers, &instance_id, sizeof instance_id, peer);
  if (peer != NULL)
    return;
  peer = calloc (1, sizeof *peer);
  if (peer == NULL)
    return;
  peer->instance_id = instance_id;
  HASH_ADD (hh, neighbours->peers, instance_id, sizeof instance_id, peer);
  neighbours->gateway->retryshare.instances
      = neighbours_count (neighbours->gateway);
}

static void
on_message (void *user, uint64_t instance_id, const struct message *message)
{
  struct neighbours *neighbours = user;
  struct neighbour *peer;

  HASH_FIND (hh, neighbours->peers, &instance_id, sizeof instance_id, peer);
  if (peer == NULL || message->kind != MESSAGE_LOAD)
    return;
  replace (neighbours, peer, &message->u.load);
  flow_capacity_changed (neighbours->gateway);
}

static void
on_down (void *user, uint64_t instance_id, int error)
{
  struct neighbours *neighbours = user;
  struct neighbour *peer;

  HASH_FIND (hh, neighbours->peers, &instance_id, sizeof instance_id, peer);
  LOG (LOG_PEER_DOWN, NULL, LOG_S ("error", err_name (error)));
  if (peer == NULL)
    return;
  apply (neighbours->gateway, &peer->load, -1);
  HASH_DEL (neighbours->peers, peer);
  free (peer->load.items);
  free (peer);
}

static void
on_rejected (void *user, const char *address, int error)
{
  (void)user;
  LOG (LOG_PEER_REJECTED, NULL, LOG_S ("address", address),
       LOG_S ("error", err_name (error)));
}

/* Statements. */

static void
replace (struct neighbours *neighbours, struct neighbour *peer,
         const struct message_load *load)
{
  size_t size = load->item_count * sizeof *load->items;
  struct message_load_item *items = size == 0 ? NULL : malloc (size);

  if (size > 0 && items == NULL)
    return;
  apply (neighbours->gateway, &peer->load, -1);
  free (peer->load.items);
  if (size > 0)
    memcpy (items, load->items, size);
  peer->load.items = items;
  peer->load.item_count = load->item_count;
  apply (neighbours->gateway, &peer->load, 1);
}

static uint64_t
shift (uint64_t value, uint64_t by, int sign)
{
  if (sign > 0)
    return value + by;
  return value > by ? value - by : 0;
}

/* Adds what a peer said to the sums of all peers, or takes it back. */
static void
apply (struct gateway *gateway, const struct message_load *load, int sign)
{
  size_t i;

  for (i = 0; i < load->item_count; i++)
    {
      const struct message_load_item *item = &load->items[i];
      struct roster_upstream *upstream;
      struct usage_customer *customer;

      if (item->subject == MESSAGE_SUBJECT_UPSTREAM)
        {
          upstream = roster_find (&gateway->roster, item->id);
          if (upstream == NULL)
            continue;
          upstream->load.peer_running = (uint32_t)shift (
              upstream->load.peer_running, item->requests, sign);
          upstream->load.peer_unread_tokens
              = shift (upstream->load.peer_unread_tokens, item->tokens, sign);
          continue;
        }
      customer = usage_share_customer (&gateway->usage, item->id);
      if (customer == NULL)
        continue;
      customer->peer_tokens
          = shift (customer->peer_tokens, item->tokens, sign);
      customer->peer_waiting
          = (uint32_t)shift (customer->peer_waiting, item->requests, sign);
    }
}

static void
on_statement (evutil_socket_t fd, short what, void *arg)
{
  struct neighbours *neighbours = arg;
  struct gateway *gateway = neighbours->gateway;
  size_t max = HASH_COUNT (gateway->roster.upstreams)
               + HASH_COUNT (gateway->usage.customers);
  struct message message = { .kind = MESSAGE_LOAD };
  struct neighbour *peer;
  struct neighbour *next;

  (void)fd;
  (void)what;
  if (neighbours->peers == NULL)
    return;
  message.u.load.items = calloc (max + 1, sizeof *message.u.load.items);
  if (message.u.load.items == NULL)
    return;
  message.u.load.item_count = compose (gateway, message.u.load.items, max);
  /* A link that fails in sending is taken away within the loop. */
  for (peer = neighbours->peers; peer != NULL; peer = next)
    {
      next = peer->hh.next;
      peernet_send (neighbours->net, peer->instance_id, &message);
    }
  message_finish (&message);
}

static size_t
compose (struct gateway *gateway, struct message_load_item *items, size_t max)
{
  uint64_t now_ns = gateway_now_ns (gateway);
  const struct roster_upstream *upstream;
  struct usage_customer *customer;
  size_t count = 0;

  for (upstream = gateway->roster.upstreams; upstream != NULL && count < max;
       upstream = upstream->hh.next)
    if (upstream->load.running > 0 || upstream->load.unread_tokens > 0)
      items[count++] = (struct message_load_item){
        .id = upstream->id,
        .subject = MESSAGE_SUBJECT_UPSTREAM,
        .requests = upstream->load.running,
        .tokens = upstream->load.unread_tokens,
      };
  for (customer = gateway->usage.customers; customer != NULL && count < max;
       customer = customer->hh.next)
    {
      uint64_t tokens = usage_share_own (&gateway->usage, customer, now_ns);

      if (tokens > 0 || customer->waiting > 0)
        items[count++] = (struct message_load_item){
          .id = customer->customer_id,
          .subject = MESSAGE_SUBJECT_CUSTOMER,
          .requests = customer->waiting,
          .tokens = tokens,
        };
    }
  return count;
}
