/**
 * @file lessor.c
 * Lessor: messages, and the expiry of leases.
 */
#include "coordination/lessor.h"
#include "coordination/lessor_int.h"
#include "state/err.h"
#include <stdlib.h>

#define RENEWALS_PER_LEASE 4
/* A gap between runs of more than a lease time divided by this is a pause. */
#define PAUSE_LEASE_DIVISOR 2

static uint64_t own_incarnation (const struct lessor *lessor);
static void end_expired_leases (struct lessor *lessor, uint64_t now_ns);
static int apply_hold_item (struct lessor *lessor, struct lessor_peer *peer,
                            const struct message_hold_item *item);
static bool may_renew (const struct lessor *lessor,
                       const struct lessor_peer *peer, uint64_t now_ns);
static void send_grants (struct lessor *lessor, struct lessor_peer *peer,
                         uint64_t now_ns, const struct message_sender *sender);
static bool send_query (struct lessor *lessor, const struct lessor_peer *peer,
                        const struct message_sender *sender);
static void send_queries (struct lessor *lessor,
                          const struct message_sender *sender);
static void update_fleet_ratios (struct lessor *lessor);

struct lessor *
lessor_new (const struct lessor_config *config)
{
  struct lessor *lessor = calloc (1, sizeof *lessor);

  if (lessor == NULL)
    return NULL;
  lessor->config = *config;
  if (lessor->config.policy == NULL)
    lessor->config.policy = &share_fleet;
  return lessor;
}

void
lessor_free (struct lessor *lessor)
{
  struct lessor_upstream *upstream;
  struct lessor_service *service;
  struct lessor_peer *peer;
  void *next;

  if (lessor == NULL)
    return;
  upstream = lessor->upstreams;
  HASH_CLEAR (hh, lessor->upstreams);
  for (; upstream != NULL; upstream = next)
    {
      next = upstream->hh.next;
      free (upstream->leases);
      free (upstream);
    }
  service = lessor->services;
  HASH_CLEAR (hh, lessor->services);
  for (; service != NULL; service = next)
    {
      next = service->hh.next;
      free (service->targets);
      free (service);
    }
  peer = lessor->peers;
  HASH_CLEAR (hh, lessor->peers);
  for (; peer != NULL; peer = next)
    {
      next = peer->hh.next;
      free (peer->items);
      free (peer);
    }
  demand_finish (&lessor->demand);
  free (lessor);
}

struct lessor_peer *
lessor_peer_find (const struct lessor *lessor, uint64_t instance_id)
{
  struct lessor_peer *peer;

  HASH_FIND (hh, lessor->peers, &instance_id, sizeof instance_id, peer);
  return peer;
}

static uint64_t
own_incarnation (const struct lessor *lessor)
{
  const struct member *self
      = member_find (lessor->config.members, lessor->config.members->self_id);

  return self == NULL ? 0 : self->incarnation;
}

int
lessor_receive_heartbeat (struct lessor *lessor, uint64_t instance_id,
                          const struct message_heartbeat *heartbeat)
{
  struct lessor_peer *peer = lessor_peer_find (lessor, instance_id);

  if (peer != NULL && heartbeat->sequence > peer->heartbeat_sequence)
    peer->heartbeat_sequence = heartbeat->sequence;
  if (peer != NULL)
    peer->link_closed = false;
  if (heartbeat->demand_count > 0 || heartbeat->full)
    lessor->plan_due = true;
  return demand_apply (&lessor->demand, instance_id, heartbeat);
}

void
lessor_link_down (struct lessor *lessor, uint64_t instance_id, uint64_t now_ns)
{
  struct lessor_peer *peer = lessor_peer_find (lessor, instance_id);
  uint64_t expires_ns = now_ns + lessor->config.grace_ms * LESSOR_NS_PER_MS;

  if (peer == NULL)
    return;
  peer->link_closed = true;
  if (peer->expires_ns > expires_ns)
    peer->expires_ns = expires_ns;
}

void
lessor_instance_gone (struct lessor *lessor, uint64_t instance_id)
{
  demand_remove_instance (&lessor->demand, instance_id);
}

/* Applies a hold item.  The first one of a lessee is granted unchanged, so
   that slots that a previous lessor granted stay leased.  Zero slots are
   granted too: the previous lessor may grant some until the lessee also sees
   the change of lessor. */
static int
apply_hold_item (struct lessor *lessor, struct lessor_peer *peer,
                 const struct message_hold_item *item)
{
  struct lessor_upstream *upstream;
  struct lessor_lease *lease;
  bool was_reported;

  HASH_FIND (hh, lessor->upstreams, &item->upstream_id,
             sizeof item->upstream_id, upstream);
  if (upstream == NULL)
    return 0;
  lease = lessor_lease_get (upstream, peer->instance_id);
  if (lease == NULL)
    return ERR_NO_MEMORY;
  was_reported = lease->reported;
  if (lessor_lease_apply_hold (lease, item))
    lessor->plan_due = true;
  if (was_reported)
    return 0;
  return lessor_lease_grant (lessor, upstream, peer, lease, lease->capacity);
}

int
lessor_receive_hold (struct lessor *lessor, uint64_t instance_id,
                     const struct message_hold *hold, uint64_t now_ns)
{
  struct lessor_peer *peer = lessor_peer_find (lessor, instance_id);
  size_t i;
  int result = 0;

  if (hold->lessor_incarnation != own_incarnation (lessor))
    return ERR_STALE;
  if (peer == NULL)
    return ERR_NOT_FOUND;
  peer->unanswered_since_ns = 0;
  peer->unresponsive = false;
  if (peer->expires_ns == 0)
    peer->expires_ns = now_ns + lessor_lease_timeout_ns (lessor);
  for (i = 0; i < hold->item_count && result == 0; i++)
    result = apply_hold_item (lessor, peer, &hold->items[i]);
  return result;
}

static void
end_expired_leases (struct lessor *lessor, uint64_t now_ns)
{
  struct lessor_peer *peer;

  for (peer = lessor->peers; peer != NULL; peer = peer->hh.next)
    if (peer->expires_ns != 0 && now_ns >= peer->expires_ns)
      {
        lessor_lease_end_all (lessor, peer->instance_id);
        peer->expires_ns = 0;
        peer->item_count = 0;
        lessor->query_due = true;
      }
}

static bool
may_renew (const struct lessor *lessor, const struct lessor_peer *peer,
           uint64_t now_ns)
{
  return peer->expires_ns != 0
         && now_ns - peer->last_grant_ns >= lessor->config.lease_ms
                                                * LESSOR_NS_PER_MS
                                                / RENEWALS_PER_LEASE;
}

/* The lease of the lessee starts when it sent the heartbeat that the grant
   names.  This instance received that heartbeat no later than
   last_heard_ns. */
static void
send_grants (struct lessor *lessor, struct lessor_peer *peer, uint64_t now_ns,
             const struct message_sender *sender)
{
  const struct member *member
      = member_find (lessor->config.members, peer->instance_id);
  uint64_t start_ns = now_ns;
  uint64_t expires_ns;
  struct message message
      = { .kind = MESSAGE_GRANT,
          .u.grant = { .lessor_incarnation = own_incarnation (lessor),
                       .lease_ms = lessor->config.lease_ms,
                       .item_count = peer->item_count,
                       .items = peer->items,
                       .heartbeat_sequence = peer->heartbeat_sequence } };

  if (member != NULL && peer->heartbeat_sequence != 0
      && peer->instance_id != lessor->config.members->self_id)
    start_ns = member->last_heard_ns;
  expires_ns = start_ns + lessor_lease_timeout_ns (lessor);
  if (expires_ns > peer->expires_ns)
    peer->expires_ns = expires_ns;
  peer->last_grant_ns = now_ns;
  if (peer->item_count > 0)
    lessor_peer_expect_answer (peer, now_ns);
  sender->send (sender->user, peer->instance_id, &message);
  peer->item_count = 0;
}

/* Queries what an instance holds at the upstreams for which it has not
   reported.
   @return true when it was queried, or when out of memory. */
static bool
send_query (struct lessor *lessor, const struct lessor_peer *peer,
            const struct message_sender *sender)
{
  struct message message
      = { .kind = MESSAGE_GRANT,
          .u.grant = { .lessor_incarnation = own_incarnation (lessor) } };
  struct message_grant *grant = &message.u.grant;
  struct lessor_upstream *upstream;
  const struct lessor_lease *lease;

  grant->items
      = calloc (HASH_COUNT (lessor->upstreams) + 1, sizeof *grant->items);
  if (grant->items == NULL)
    return true;
  for (upstream = lessor->upstreams; upstream != NULL;
       upstream = upstream->hh.next)
    {
      lease = lessor_lease_find (upstream, peer->instance_id);
      if (lease == NULL || !lease->reported)
        grant->items[grant->item_count++].upstream_id = upstream->id;
    }
  if (grant->item_count > 0)
    sender->send (sender->user, peer->instance_id, &message);
  free (grant->items);
  return grant->item_count > 0;
}

static void
send_queries (struct lessor *lessor, const struct message_sender *sender)
{
  struct lessor_peer *peer;

  lessor->query_due = false;
  for (peer = lessor->peers; peer != NULL; peer = peer->hh.next)
    if (peer->reachable || peer->unresponsive)
      {
        if (send_query (lessor, peer, sender))
          lessor_peer_expect_answer (peer, lessor->last_run_ns);
        else if (!lessor_peer_has_unconfirmed (lessor, peer))
          {
            peer->unanswered_since_ns = 0;
            peer->unresponsive = false;
          }
      }
}

static void
update_fleet_ratios (struct lessor *lessor)
{
  const struct demand_service *service;

  for (service = lessor->demand.services; service != NULL;
       service = service->hh.next)
    demand_update_fleet_ratio (service, lessor->config.members->self_id,
                               lessor->config.ledger);
}

int
lessor_run (struct lessor *lessor, uint64_t now_ns, bool full,
            const struct message_sender *sender)
{
  struct lessor_peer *peer;
  int result;

  /* After a pause other instances may have leased out slots that this lessor
     no longer accounts for. */
  if (lessor->last_run_ns == 0
      || now_ns - lessor->last_run_ns > lessor->config.lease_ms
                                            * LESSOR_NS_PER_MS
                                            / PAUSE_LEASE_DIVISOR)
    lessor->started_ns = now_ns;
  lessor->last_run_ns = now_ns;
  result = lessor_refresh (lessor, now_ns);
  end_expired_leases (lessor, now_ns);
  if (result == 0 && (full || lessor->plan_due)
      && lessor->config.policy->exchanges_ledgers)
    {
      if (full)
        ledger_start_interval (lessor->config.ledger);
      update_fleet_ratios (lessor);
    }
  if (result == 0 && full)
    {
      lessor->full_run++;
      result = lessor_plan_full (lessor, now_ns);
    }
  if (result == 0 && lessor->plan_due)
    result = lessor_plan_free_slots (lessor, now_ns);
  lessor->plan_due = false;
  if (full || lessor->query_due)
    send_queries (lessor, sender);
  for (peer = lessor->peers; peer != NULL; peer = peer->hh.next)
    if (peer->reachable
        && (peer->item_count > 0
            || (full && may_renew (lessor, peer, now_ns))))
      send_grants (lessor, peer, now_ns, sender);
  return result;
}

bool
lessor_is_isolated (const struct lessor *lessor)
{
  return lessor->reachable_count == 1 && lessor->recent_count > 1;
}

uint32_t
lessor_reserved (const struct lessor *lessor, uint64_t upstream_id)
{
  const struct lessor_upstream *upstream;
  uint32_t reserved = 0;
  uint32_t i;

  HASH_FIND (hh, lessor->upstreams, &upstream_id, sizeof upstream_id,
             upstream);
  if (upstream == NULL)
    return 0;
  for (i = 0; i < upstream->lease_count; i++)
    reserved += lessor_lease_reserved (&upstream->leases[i]);
  return reserved;
}

uint32_t
lessor_fleet_waiting (const struct lessor *lessor, uint64_t service_id)
{
  const struct demand_service *service
      = demand_find (&lessor->demand, service_id);
  uint32_t waiting = 0;
  uint32_t i;

  for (i = 0; service != NULL && i < service->instance_count; i++)
    {
      const struct lessor_peer *peer
          = lessor_peer_find (lessor, service->instances[i].instance_id);

      if (peer != NULL && peer->eligible)
        waiting += service->instances[i].waiting;
    }
  return waiting;
}
