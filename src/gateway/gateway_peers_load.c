/**
 * @file gateway_peers_load.c
 * Load reports.  A report to another hub covers this instance and its
 * subscribers; a report to a subscriber covers all other instances.  Each
 * report replaces the previous one.
 */
#include "gateway/discovery.h"
#include "gateway/gateway_peers_int.h"
#include <stdlib.h>
#include <string.h>

#define AGE_MAX_MS      60000 /* reported for an unusable view of the store */
#define REPORT_VALID_MS 500   /* a subscriber's report expires after this */
#define SUSPECTS_MAX    256   /* quarantine rows in a report; others follow */

/** Summed load of one subject of a report. */
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

static void apply_report (struct gateway *gateway,
                          const struct message_load *load, int sign);
static uint64_t add_or_subtract (uint64_t value, uint64_t amount, int sign);
static size_t subjects_max (const struct gateway_peers *peers);
static void add_own_load (struct gateway_peers *peers, struct sums *sums);
static void add_report (struct sums *sums, const struct message_load *load,
                        int sign);
static void add (struct sums *sums, uint64_t id, enum message_subject subject,
                 int64_t requests, int64_t tokens);
static void send_report (struct gateway_peers *peers,
                         struct gateway_peer *peer, const struct sums *sums);
static bool has_subscribers (const struct gateway_peers *peers);
static bool peer_is_counted (const struct gateway_peers *peers,
                             const struct gateway_peer *peer);

void
gateway_peers_set_report (struct gateway_peers *peers,
                          struct gateway_peer *peer,
                          const struct message_load *load)
{
  size_t size = load == NULL ? 0 : load->item_count * sizeof *load->items;
  struct message_load_item *items = size == 0 ? NULL : malloc (size);
  size_t i;

  apply_report (peers->gateway, &peer->load, -1);
  free (peer->load.items);
  peer->load = (struct message_load){ .item_count = 0 };
  if (load == NULL || (size > 0 && items == NULL))
    return;
  if (size > 0)
    memcpy (items, load->items, size);
  for (i = 0; i < load->suspect_count; i++)
    quarantine_merge (&peers->gateway->quarantine, &load->suspects[i],
                      !peer->subscribed, gateway_now_ns (peers->gateway));
  peer->load = *load;
  peer->load.items = items;
  peer->load.suspects = NULL;
  peer->load.suspect_count = 0;
  if (!peer_is_counted (peers, peer))
    peer->load.item_count = 0;
  apply_report (peers->gateway, &peer->load, 1);
}

static uint64_t
add_or_subtract (uint64_t value, uint64_t amount, int sign)
{
  if (sign > 0)
    return value + amount;
  return value > amount ? value - amount : 0;
}

/* Adds a peer's report to the sums over all peers, or subtracts it. */
static void
apply_report (struct gateway *gateway, const struct message_load *load,
              int sign)
{
  size_t i;

  for (i = 0; i < load->item_count; i++)
    {
      const struct message_load_item *item = &load->items[i];
      struct registry_upstream *upstream;
      struct usage_share_entry *customer;

      if (item->subject == MESSAGE_SUBJECT_UPSTREAM)
        {
          upstream = registry_find (&gateway->registry, item->id);
          if (upstream == NULL)
            continue;
          upstream->load.peer_running = (uint32_t)add_or_subtract (
              upstream->load.peer_running, item->requests, sign);
          upstream->load.peer_prefill_tokens = add_or_subtract (
              upstream->load.peer_prefill_tokens, item->tokens, sign);
          continue;
        }
      if (item->subject == MESSAGE_SUBJECT_QUEUED)
        {
          gateway->peer_queued_weight = add_or_subtract (
              gateway->peer_queued_weight, item->tokens, sign);
          upstream = registry_find (&gateway->registry, item->id);
          if (upstream == NULL)
            continue;
          upstream->load.peer_queued_tokens = add_or_subtract (
              upstream->load.peer_queued_tokens, item->requests, sign);
          upstream->load.peer_queued_weight = add_or_subtract (
              upstream->load.peer_queued_weight, item->tokens, sign);
          continue;
        }
      if (item->subject == MESSAGE_SUBJECT_EJECTED)
        {
          upstream = registry_find (&gateway->registry, item->id);
          if (upstream != NULL)
            upstream->load.peer_ejections = (uint32_t)add_or_subtract (
                upstream->load.peer_ejections, item->requests, sign);
          continue;
        }
      if (item->subject == MESSAGE_SUBJECT_OUT)
        {
          if (item->id == gateway->peers->zone_id)
            gateway->peers->zone_out_count = (uint32_t)add_or_subtract (
                gateway->peers->zone_out_count, item->requests, sign);
          continue;
        }
      customer = usage_share_customer (&gateway->usage, item->id);
      if (customer == NULL)
        continue;
      customer->peer_tokens
          = add_or_subtract (customer->peer_tokens, item->tokens, sign);
      customer->peer_waiting = (uint32_t)add_or_subtract (
          customer->peer_waiting, item->requests, sign);
    }
}

/* Sending. */

void
gateway_peers_send_reports (struct gateway_peers *peers, bool to_hubs)
{
  uint64_t now_ns = gateway_now_ns (peers->gateway);
  struct sums sums = { .size = subjects_max (peers) };
  const struct gateway_peer *hub
      = peers->hub ? NULL : gateway_peers_report_hub (peers);
  struct gateway_peer *peer;
  struct gateway_peer *next;

  if (peers->linked_peers == NULL
      || (!to_hubs && peers->hub && !has_subscribers (peers)))
    return;
  sums.pool = calloc (sums.size, sizeof *sums.pool);
  if (sums.pool == NULL)
    return;
  add_own_load (peers, &sums);
  for (peer = peers->linked_peers; peer != NULL; peer = peer->hh.next)
    {
      if (peer->subscribed
          && now_ns - peer->report_ns > REPORT_VALID_MS * CLOCK_NS_PER_MS)
        gateway_peers_set_report (peers, peer, NULL);
      if (peer->subscribed)
        add_report (&sums, &peer->load, 1);
    }
  for (peer = peers->linked_peers; peer != NULL; peer = next)
    {
      next = peer->hh.next;
      if (!peer->subscribed && (peers->hub ? to_hubs : peer == hub))
        send_report (peers, peer, &sums);
    }
  for (peer = peers->linked_peers; peer != NULL; peer = peer->hh.next)
    if (!peer->subscribed)
      add_report (&sums, &peer->load, 1);
  for (peer = peers->linked_peers; peer != NULL; peer = next)
    {
      next = peer->hh.next;
      if (!peer->subscribed)
        continue;
      add_report (&sums, &peer->load, -1);
      send_report (peers, peer, &sums);
      add_report (&sums, &peer->load, 1);
    }
  HASH_CLEAR (hh, sums.table);
  free (sums.pool);
}

static bool
has_subscribers (const struct gateway_peers *peers)
{
  const struct gateway_peer *peer;

  for (peer = peers->linked_peers; peer != NULL; peer = peer->hh.next)
    if (peer->subscribed)
      return true;
  return false;
}

/* The hub that this instance reports its load to: only one, or the load would
   be counted twice. */
const struct gateway_peer *
gateway_peers_report_hub (const struct gateway_peers *peers)
{
  const struct gateway_peer *first = NULL;
  const struct gateway_peer *peer;

  for (peer = peers->linked_peers; peer != NULL; peer = peer->hh.next)
    if (!peer->subscribed
        && (first == NULL || peer->instance_id < first->instance_id))
      first = peer;
  return first;
}

/* Every hub reports the load of all other instances; only one hub's report is
   counted. */
static bool
peer_is_counted (const struct gateway_peers *peers,
                 const struct gateway_peer *peer)
{
  return peers->hub || peer->subscribed
         || peer == gateway_peers_report_hub (peers);
}

static size_t
subjects_max (const struct gateway_peers *peers)
{
  const struct gateway *gateway = peers->gateway;
  const struct gateway_peer *peer;
  size_t count = 3 * HASH_COUNT (gateway->registry.upstreams)
                 + HASH_COUNT (gateway->usage.customers) + 2;

  for (peer = peers->linked_peers; peer != NULL; peer = peer->hh.next)
    count += peer->load.item_count;
  return count;
}

static void
add (struct sums *sums, uint64_t id, enum message_subject subject,
     int64_t requests, int64_t tokens)
{
  struct sum *sum = NULL;
  struct sum lookup;

  memset (&lookup, 0, sizeof lookup);
  lookup.key.id = id;
  lookup.key.subject = subject;
  HASH_FIND (hh, sums->table, &lookup.key, sizeof lookup.key, sum);
  if (sum == NULL)
    {
      if (sums->used == sums->size)
        return;
      sum = &sums->pool[sums->used++];
      sum->key = lookup.key;
      HASH_ADD (hh, sums->table, key, sizeof sum->key, sum);
    }
  sum->requests += requests;
  sum->tokens += tokens;
}

static void
add_own_load (struct gateway_peers *peers, struct sums *sums)
{
  struct gateway *gateway = peers->gateway;
  uint64_t now_ns = gateway_now_ns (gateway);
  const struct registry_upstream *upstream;
  struct usage_share_entry *customer;
  uint64_t tokens;
  uint32_t waiting;

  for (upstream = gateway->registry.upstreams; upstream != NULL;
       upstream = upstream->hh.next)
    {
      if (upstream->load.running > 0 || upstream->load.prefill_tokens > 0)
        add (sums, upstream->id, MESSAGE_SUBJECT_UPSTREAM,
             upstream->load.running, (int64_t)upstream->load.prefill_tokens);
      if (upstream->load.queued_tokens > 0)
        add (sums, upstream->id, MESSAGE_SUBJECT_QUEUED,
             (int64_t)upstream->load.queued_tokens,
             (int64_t)upstream->load.queued_weight);
      if (outlier_ejected (&upstream->outlier, now_ns))
        add (sums, upstream->id, MESSAGE_SUBJECT_EJECTED, 1, 0);
    }
  if (gateway->rotation.out)
    add (sums, peers->zone_id, MESSAGE_SUBJECT_OUT, 1, 0);
  for (customer = gateway->usage.customers; customer != NULL;
       customer = customer->hh.next)
    {
      tokens = usage_share_local (&gateway->usage, customer, now_ns);
      waiting = usage_share_waiting (customer, now_ns);
      if (tokens > 0 || waiting > 0)
        add (sums, customer->customer_id, MESSAGE_SUBJECT_CUSTOMER, waiting,
             (int64_t)tokens);
    }
}

static void
add_report (struct sums *sums, const struct message_load *load, int sign)
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
send_report (struct gateway_peers *peers, struct gateway_peer *peer,
             const struct sums *sums)
{
  struct gateway *gateway = peers->gateway;
  uint64_t age_ms = discovery_age_ns (gateway) / CLOCK_NS_PER_MS;
  struct message message = { .kind = MESSAGE_LOAD };
  struct message_load *load = &message.u.load;
  uint64_t suspects_sent = peer->suspects_sent;
  size_t i;

  load->items = calloc (sums->used + 1, sizeof *load->items);
  if (load->items == NULL)
    return;
  if (!gateway->upstream_watch.paused)
    load->store_position = gateway->upstream_watch.position;
  load->age_ms
      = peers->store_lags || age_ms > AGE_MAX_MS || !gateway->upstreams_loaded
            ? AGE_MAX_MS
            : (uint32_t)age_ms;
  gateway_peers_confirm_send (peers, peer, load);
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
  if (suspects_sent != gateway->quarantine.sequence)
    load->suspects = calloc (SUSPECTS_MAX, sizeof *load->suspects);
  if (load->suspects != NULL)
    load->suspect_count = quarantine_rows (
        &gateway->quarantine,
        !peer->subscribed && suspects_sent >= peer->suspects_new_until,
        &suspects_sent, load->suspects, SUSPECTS_MAX);
  if (peernet_send (peers->net, peer->instance_id, &message) == 0)
    peer->suspects_sent = suspects_sent;
  message_finish (&message);
}
