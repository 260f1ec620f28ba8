/**
 * @file lessor_lease.c
 * Accounts of one lease.  For one grant a lessee's capacity only falls, so
 * holds that come late, twice or out of order change nothing.
 */
#include "coordination/lessor_int.h"
#include "state/err.h"
#include <stdlib.h>
#include <string.h>

#define ITEMS_MIN 8 /* items of a message at first */

static int peer_queue (struct lessor_peer *peer, uint64_t upstream_id,
                       const struct lessor_lease *lease);

struct lessor_lease *
lessor_lease_find (const struct lessor_upstream *upstream,
                   uint64_t instance_id)
{
  uint32_t i;

  for (i = 0; i < upstream->lease_count; i++)
    if (upstream->leases[i].instance_id == instance_id)
      return &upstream->leases[i];
  return NULL;
}

struct lessor_lease *
lessor_lease_get (struct lessor_upstream *upstream, uint64_t instance_id)
{
  struct lessor_lease *lease = lessor_lease_find (upstream, instance_id);

  if (lease != NULL)
    return lease;
  lease = realloc (upstream->leases,
                   (upstream->lease_count + 1) * sizeof *lease);
  if (lease == NULL)
    return NULL;
  upstream->leases = lease;
  lease += upstream->lease_count++;
  memset (lease, 0, sizeof *lease);
  lease->instance_id = instance_id;
  return lease;
}

uint32_t
lessor_lease_reserved (const struct lessor_lease *lease)
{
  return lease->capacity > lease->unsettled ? lease->capacity
                                            : lease->unsettled;
}

void
lessor_peer_sent (struct lessor_peer *peer, uint64_t now_ns)
{
  if (peer->unanswered_ns == 0)
    peer->unanswered_ns = now_ns;
}

bool
lessor_peer_owes (const struct lessor *lessor, const struct lessor_peer *peer)
{
  const struct lessor_upstream *upstream;
  const struct lessor_lease *lease;

  for (upstream = lessor->upstreams; upstream != NULL;
       upstream = upstream->hh.next)
    {
      lease = lessor_lease_find (upstream, peer->instance_id);
      if (lease != NULL && lease->known && lease->confirmed < lease->sequence)
        return true;
    }
  return false;
}

uint32_t
lessor_upstream_free (const struct lessor_upstream *upstream)
{
  uint32_t reserved = 0;
  uint32_t i;

  for (i = 0; i < upstream->lease_count; i++)
    reserved += lessor_lease_reserved (&upstream->leases[i]);
  return reserved < upstream->slots ? upstream->slots - reserved : 0;
}

bool
lessor_lease_hold (struct lessor_lease *lease,
                   const struct message_hold_item *item)
{
  uint32_t before = lessor_lease_reserved (lease);

  if (!lease->known)
    {
      lease->known = true;
      lease->capacity = item->capacity;
      lease->granted = item->capacity;
      lease->unsettled = 0;
      lease->confirmed = item->sequence;
      lease->sequence = item->sequence;
      return true;
    }
  if (item->sequence < lease->confirmed || item->sequence > lease->sequence)
    return false;
  if (item->sequence > lease->confirmed || item->capacity < lease->capacity)
    lease->capacity = item->capacity;
  lease->confirmed = item->sequence;
  if (item->sequence == lease->sequence)
    {
      lease->unsettled = 0;
      if (lease->capacity < lease->granted)
        lease->granted = lease->capacity;
    }
  return lessor_lease_reserved (lease) < before;
}

static int
peer_queue (struct lessor_peer *peer, uint64_t upstream_id,
            const struct lessor_lease *lease)
{
  struct message_grant_item *item;

  if (peer->item_count == peer->item_capacity)
    {
      uint32_t capacity
          = peer->item_capacity == 0 ? ITEMS_MIN : peer->item_capacity * 2;

      item = realloc (peer->items, capacity * sizeof *item);
      if (item == NULL)
        return ERR_NO_MEMORY;
      peer->items = item;
      peer->item_capacity = capacity;
    }
  item = &peer->items[peer->item_count++];
  item->upstream_id = upstream_id;
  item->sequence = lease->sequence;
  item->slots = lease->granted;
  return 0;
}

int
lessor_lease_grant (struct lessor *lessor, struct lessor_upstream *upstream,
                    struct lessor_peer *peer, struct lessor_lease *lease,
                    uint32_t slots)
{
  if (slots > lease->unsettled || lease->confirmed == lease->sequence)
    lease->unsettled = slots;
  lease->sequence = ++lessor->sequence;
  lease->granted = slots;
  lease->sent_turn = lessor->turn;
  return peer_queue (peer, upstream->id, lease);
}

int
lessor_lease_repeat (struct lessor *lessor,
                     const struct lessor_upstream *upstream,
                     struct lessor_peer *peer, struct lessor_lease *lease)
{
  lease->sent_turn = lessor->turn;
  return peer_queue (peer, upstream->id, lease);
}

uint64_t
lessor_lease_ns (const struct lessor *lessor)
{
  return ((uint64_t)lessor->config.lease_ms + lessor->config.grace_ms)
         * LESSOR_NS_PER_MS;
}

void
lessor_lease_end (struct lessor *lessor, uint64_t instance_id)
{
  struct lessor_upstream *upstream;
  struct lessor_lease *lease;

  for (upstream = lessor->upstreams; upstream != NULL;
       upstream = upstream->hh.next)
    {
      lease = lessor_lease_find (upstream, instance_id);
      if (lease != NULL)
        *lease = upstream->leases[--upstream->lease_count];
    }
  lessor->stirred = true;
}
