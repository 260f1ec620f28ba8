/**
 * @file neighbours_load.c
 * Statements of load.  To another hub an instance says what it has in flight
 * and what those have that hang on it; to one that hangs on it, what all
 * others have.  Each statement replaces the one before.
 */
#include "gateway/directory.h"
#include "gateway/neighbours_int.h"
#include <stdlib.h>
#include <string.h>

#define AGE_MAX_MS 60000 /* told for a view that nobody is to rely on */
#define HEARD_MS   500   /* a statement counts so long */

/** One subject in the sums of a statement. */
struct sum
{
  struct
  {
    uint64_t id;
    uint64_t subject;
  } key;
  int64_t requests;
  int64_t tokens;
  UT_hash_handle hh;
};

struct sums
{
  struct sum *table; /* uthash */
  struct sum *pool;
  size_t used;
  size_t size;
};

static void apply (struct gateway *gateway, const struct message_load *load,
                   int sign);
static uint64_t shift (uint64_t value, uint64_t by, int sign);
static size_t subjects (const struct neighbours *neighbours);
static void add_own (struct neighbours *neighbours, struct sums *sums);
static void add_load (struct sums *sums, const struct message_load *load,
                      int sign);
static void add (struct sums *sums, uint64_t id, enum message_subject subject,
                 int64_t requests, int64_t tokens);
static void send_sums (struct neighbours *neighbours,
                       const struct neighbour *peer, const struct sums *sums);
static bool any_hangs (const struct neighbours *neighbours);
static const struct neighbour *primary (const struct neighbours *neighbours);
static bool counts (const struct neighbours *neighbours,
                    const struct neighbour *peer);

void
neighbours_hear (struct neighbours *neighbours, struct neighbour *peer,
                 const struct message_load *load)
{
  size_t size = load == NULL ? 0 : load->item_count * sizeof *load->items;
  struct message_load_item *items = size == 0 ? NULL : malloc (size);

  apply (neighbours->gateway, &peer->load, -1);
  free (peer->load.items);
  peer->load = (struct message_load){ .item_count = 0 };
  if (load == NULL || (size > 0 && items == NULL))
    return;
  if (size > 0)
    memcpy (items, load->items, size);
  peer->load = *load;
  peer->load.items = items;
  if (!counts (neighbours, peer))
    peer->load.item_count = 0;
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
      if (item->subject == MESSAGE_SUBJECT_WANTED)
        {
          gateway->peer_wanted_tokens
              = shift (gateway->peer_wanted_tokens, item->tokens, sign);
          upstream = roster_find (&gateway->roster, item->id);
          if (upstream != NULL)
            upstream->load.peer_wanted_tokens = shift (
                upstream->load.peer_wanted_tokens, item->tokens, sign);
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

/* Composing. */

void
neighbours_state (struct neighbours *neighbours, bool far)
{
  uint64_t now_ns = gateway_now_ns (neighbours->gateway);
  struct sums sums = { .size = subjects (neighbours) };
  const struct neighbour *hub = neighbours->hub ? NULL : primary (neighbours);
  struct neighbour *peer;
  struct neighbour *next;

  if (neighbours->peers == NULL
      || (!far && neighbours->hub && !any_hangs (neighbours)))
    return;
  sums.pool = calloc (sums.size, sizeof *sums.pool);
  if (sums.pool == NULL)
    return;
  add_own (neighbours, &sums);
  for (peer = neighbours->peers; peer != NULL; peer = peer->hh.next)
    {
      if (peer->hangs && now_ns - peer->heard_ns > HEARD_MS * CLOCK_NS_PER_MS)
        neighbours_hear (neighbours, peer, NULL);
      if (peer->hangs)
        add_load (&sums, &peer->load, 1);
    }
  for (peer = neighbours->peers; peer != NULL; peer = next)
    {
      next = peer->hh.next;
      if (!peer->hangs && (neighbours->hub ? far : peer == hub))
        send_sums (neighbours, peer, &sums);
    }
  for (peer = neighbours->peers; peer != NULL; peer = peer->hh.next)
    if (!peer->hangs)
      add_load (&sums, &peer->load, 1);
  for (peer = neighbours->peers; peer != NULL; peer = next)
    {
      next = peer->hh.next;
      if (!peer->hangs)
        continue;
      add_load (&sums, &peer->load, -1);
      send_sums (neighbours, peer, &sums);
      add_load (&sums, &peer->load, 1);
    }
  HASH_CLEAR (hh, sums.table);
  free (sums.pool);
}

static bool
any_hangs (const struct neighbours *neighbours)
{
  const struct neighbour *peer;

  for (peer = neighbours->peers; peer != NULL; peer = peer->hh.next)
    if (peer->hangs)
      return true;
  return false;
}

/* The hub that this instance states its load to: one only, or it would be
   counted twice. */
static const struct neighbour *
primary (const struct neighbours *neighbours)
{
  const struct neighbour *first = NULL;
  const struct neighbour *peer;

  for (peer = neighbours->peers; peer != NULL; peer = peer->hh.next)
    if (!peer->hangs
        && (first == NULL || peer->instance_id < first->instance_id))
      first = peer;
  return first;
}

/* What all others have is told by each hub, and taken from one. */
static bool
counts (const struct neighbours *neighbours, const struct neighbour *peer)
{
  return neighbours->hub || peer->hangs || peer == primary (neighbours);
}

static size_t
subjects (const struct neighbours *neighbours)
{
  const struct gateway *gateway = neighbours->gateway;
  const struct neighbour *peer;
  size_t count = 2 * HASH_COUNT (gateway->roster.upstreams)
                 + HASH_COUNT (gateway->usage.customers) + 1;

  for (peer = neighbours->peers; peer != NULL; peer = peer->hh.next)
    count += peer->load.item_count;
  return count;
}

static void
add (struct sums *sums, uint64_t id, enum message_subject subject,
     int64_t requests, int64_t tokens)
{
  struct sum *sum = NULL;
  struct sum wanted;

  memset (&wanted, 0, sizeof wanted);
  wanted.key.id = id;
  wanted.key.subject = subject;
  HASH_FIND (hh, sums->table, &wanted.key, sizeof wanted.key, sum);
  if (sum == NULL)
    {
      if (sums->used == sums->size)
        return;
      sum = &sums->pool[sums->used++];
      sum->key = wanted.key;
      HASH_ADD (hh, sums->table, key, sizeof sum->key, sum);
    }
  sum->requests += requests;
  sum->tokens += tokens;
}

static void
add_own (struct neighbours *neighbours, struct sums *sums)
{
  struct gateway *gateway = neighbours->gateway;
  uint64_t now_ns = gateway_now_ns (gateway);
  const struct roster_upstream *upstream;
  struct usage_customer *customer;
  uint64_t tokens;

  for (upstream = gateway->roster.upstreams; upstream != NULL;
       upstream = upstream->hh.next)
    {
      if (upstream->load.running > 0 || upstream->load.unread_tokens > 0)
        add (sums, upstream->id, MESSAGE_SUBJECT_UPSTREAM,
             upstream->load.running, (int64_t)upstream->load.unread_tokens);
      if (upstream->load.wanted_tokens > 0)
        add (sums, upstream->id, MESSAGE_SUBJECT_WANTED, 0,
             (int64_t)upstream->load.wanted_tokens);
    }
  for (customer = gateway->usage.customers; customer != NULL;
       customer = customer->hh.next)
    {
      tokens = usage_share_own (&gateway->usage, customer, now_ns);
      if (tokens > 0 || customer->waiting > 0)
        add (sums, customer->customer_id, MESSAGE_SUBJECT_CUSTOMER,
             customer->waiting, (int64_t)tokens);
    }
}

static void
add_load (struct sums *sums, const struct message_load *load, int sign)
{
  int64_t requests;
  int64_t tokens;
  size_t i;

  for (i = 0; i < load->item_count; i++)
    {
      requests = (int64_t)load->items[i].requests;
      tokens = (int64_t)load->items[i].tokens;
      add (sums, load->items[i].id, load->items[i].subject,
           sign > 0 ? requests : -requests, sign > 0 ? tokens : -tokens);
    }
}

static void
send_sums (struct neighbours *neighbours, const struct neighbour *peer,
           const struct sums *sums)
{
  struct gateway *gateway = neighbours->gateway;
  uint64_t age_ms = directory_age_ns (gateway) / CLOCK_NS_PER_MS;
  struct message message = { .kind = MESSAGE_LOAD };
  struct message_load *load = &message.u.load;
  size_t i;

  load->items = calloc (sums->used + 1, sizeof *load->items);
  if (load->items == NULL)
    return;
  load->store_index
      = gateway->upstream_feed.paused ? 0 : gateway->upstream_feed.index;
  load->age_ms
      = neighbours->lags || age_ms > AGE_MAX_MS || !gateway->upstreams_held
            ? AGE_MAX_MS
            : (uint32_t)age_ms;
  for (i = 0; i < sums->used; i++)
    if (sums->pool[i].requests > 0 || sums->pool[i].tokens > 0)
      load->items[load->item_count++] = (struct message_load_item){
        .id = sums->pool[i].key.id,
        .subject = (enum message_subject)sums->pool[i].key.subject,
        .requests
        = (uint32_t)(sums->pool[i].requests > 0 ? sums->pool[i].requests : 0),
        .tokens
        = (uint64_t)(sums->pool[i].tokens > 0 ? sums->pool[i].tokens : 0),
      };
  peernet_send (neighbours->net, peer->instance_id, &message);
  message_finish (&message);
}
