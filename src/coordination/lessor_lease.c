/**
 * @file lessor_lease.c
 * State of one lease.  Under one grant the capacity of a lessee only
 * decreases, so hold messages that arrive late, twice or out of order have no
 * effect.
 */
#include "coordination/lessor_int.h"
#include "state/err.h"
#include <stdlib.h>
#include <string.h>

#define ITEMS_MIN 8 /* initial capacity of the item array */

static int queue_item (struct lessor_peer *peer, uint64_t upstream_id,
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
  return lease->capacity > lease->unconfirmed_max ? lease->capacity
                                                  : lease->unconfirmed_max;
}

void
lessor_peer_expect_answer (struct lessor_peer *peer, uint64_t now_ns)
{
  if (peer->unanswered_since_ns == 0)
    peer->unanswered_since_ns = now_ns;
}

bool
lessor_peer_has_unconfirmed (const struct lessor *lessor,
                             const struct lessor_peer *peer)
{
  const struct lessor_upstream *upstream;
  const struct lessor_lease *lease;

  for (upstream = lessor->upstreams; upstream != NULL;
       upstream = upstream->hh.next)
    {
      lease = lessor_lease_find (upstream, peer->instance_id);
      if (lease != NULL && lease->reported
          && lease->confirmed_sequence < lease->sequence)
        return true;
    }
  return false;
}

uint32_t
lessor_upstream_free_slots (const struct lessor_upstream *upstream)
{
  uint32_t reserved = 0;
  uint32_t i;

  for (i = 0; i < upstream->lease_count; i++)
    reserved += lessor_lease_reserved (&upstream->leases[i]);
  return reserved < upstream->slots ? upstream->slots - reserved : 0;
}

bool
lessor_lease_apply_hold (struct lessor_lease *lease,
                         const struct message_hold_item *item)
{
  uint32_t reserved_before = lessor_lease_reserved (lease);

  if (!lease->reported)
    {
      lease->reported = true;
      lease->capacity = item->capacity;
      lease->granted = item->capacity;
      lease->unconfirmed_max = 0;
      lease->confirmed_sequence = item->sequence;
      lease->sequence = item->sequence;
      return true;
    }
  if (item->sequence < lease->confirmed_sequence
      || item->sequence > lease->sequence)
    return false;
  if (item->sequence > lease->confirmed_sequence
      || item->capacity < lease->capacity)
    lease->capacity = item->capacity;
  lease->confirmed_sequence = item->sequence;
  if (item->sequence == lease->sequence)
    {
      lease->unconfirmed_max = 0;
      if (lease->capacity < lease->granted)
        lease->granted = lease->capacity;
    }
  return lessor_lease_reserved (lease) < reserved_before;
}

static int
queue_item (struct lessor_peer *peer, uint64_t upstream_id,
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
  if (slots > lease->unconfirmed_max
      || lease->confirmed_sequence == lease->sequence)
    lease->unconfirmed_max = slots;
  lease->sequence = ++lessor->sequence;
  lease->granted = slots;
  lease->sent_full_run = lessor->full_run;
  return queue_item (peer, upstream->id, lease);
}

int
lessor_lease_resend (struct lessor *lessor,
                     const struct lessor_upstream *upstream,
                     struct lessor_peer *peer, struct lessor_lease *lease)
{
  lease->sent_full_run = lessor->full_run;
  return queue_item (peer, upstream->id, lease);
}

uint64_t
lessor_lease_timeout_ns (const struct lessor *lessor)
{
  return ((uint64_t)lessor->config.lease_ms + lessor->config.grace_ms)
         * LESSOR_NS_PER_MS;
}

void
lessor_lease_end_all (struct lessor *lessor, uint64_t instance_id)
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
  lessor->plan_due = true;
}
