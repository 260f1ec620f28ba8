/**
 * @file lessor_refresh.c
 * Updates the peers and upstreams of the lessor from the members and the
 * catalog.
 */
#include "coordination/lessor_int.h"
#include "state/err.h"
#include <stdlib.h>

static int refresh_peer (struct lessor *lessor, const struct member *member,
                         uint64_t now_ns);
static uint32_t usable_slots (const struct lessor *lessor,
                              const struct catalog_upstream *upstream);
static bool takes_slots (const struct lessor *lessor,
                         const struct member *member);
static bool is_removable (const struct lessor *lessor,
                          struct lessor_peer *peer);
static void remove_peers (struct lessor *lessor);
static int refresh_service (struct lessor *lessor,
                            const struct catalog_service *service,
                            uint64_t now_ns);
static struct lessor_service *service_get (struct lessor *lessor, uint64_t id);
static int refresh_upstream (struct lessor *lessor,
                             const struct catalog_service *service,
                             const struct catalog_upstream *configured,
                             uint32_t first_slot, uint64_t now_ns);
static void remove_stale_upstreams (struct lessor *lessor);

static int
refresh_peer (struct lessor *lessor, const struct member *member,
              uint64_t now_ns)
{
  struct lessor_peer *peer = lessor_peer_find (lessor, member->instance_id);
  bool was_reachable;

  if (peer == NULL)
    {
      peer = calloc (1, sizeof *peer);
      if (peer == NULL)
        return ERR_NO_MEMORY;
      peer->instance_id = member->instance_id;
      peer->incarnation = member->incarnation;
      HASH_ADD (hh, lessor->peers, instance_id, sizeof peer->instance_id,
                peer);
    }
  /* A new incarnation proves that the old process has ended, and its requests
     in flight with it. */
  if (peer->incarnation != member->incarnation)
    {
      lessor_lease_end_all (lessor, peer->instance_id);
      peer->incarnation = member->incarnation;
      peer->heartbeat_sequence = 0;
      peer->expires_ns = 0;
      peer->item_count = 0;
      peer->unresponsive = false;
      peer->unanswered_since_ns = 0;
    }
  was_reachable = peer->reachable;
  if (peer->unanswered_since_ns != 0 && !peer->unresponsive
      && now_ns - peer->unanswered_since_ns
             > LESSOR_NS_PER_MS * MEMBER_SUSPECT_INTERVALS
                   * lessor->config.members->interval_ms)
    {
      peer->unresponsive = true;
      if (peer->expires_ns
          > peer->unanswered_since_ns + lessor_lease_timeout_ns (lessor))
        peer->expires_ns
            = peer->unanswered_since_ns + lessor_lease_timeout_ns (lessor);
    }
  peer->reachable = member->status == MEMBER_ALIVE && !peer->link_closed
                    && !peer->unresponsive;
  peer->eligible = peer->reachable && takes_slots (lessor, member);
  if (!peer->reachable)
    peer->item_count = 0;
  if (peer->reachable)
    lessor->reachable_count++;
  if (peer->reachable
      || (!peer->link_closed && member->state == MESSAGE_INSTANCE_LIVE
          && now_ns < member->last_heard_ns
                          + LESSOR_PARTITION_MS * LESSOR_NS_PER_MS))
    lessor->recent_count++;
  if (peer->reachable && !was_reachable)
    lessor->query_due = true;
  return 0;
}

/* A draining instance takes slots until none of the requests that it has
   accepted waits any more. */
static bool
takes_slots (const struct lessor *lessor, const struct member *member)
{
  const struct demand_service *service;
  const struct demand_instance *instance;

  if (member->state != MESSAGE_INSTANCE_DRAINING)
    return member->state == MESSAGE_INSTANCE_LIVE;
  for (service = lessor->demand.services; service != NULL;
       service = service->hh.next)
    {
      instance = demand_instance_find (service, member->instance_id);
      if (instance != NULL && instance->waiting > 0)
        return true;
    }
  return false;
}

/* Whether a peer can be removed: it is not a member any more, and its leases
   have ended.  A peer that is not a member is marked unreachable. */
static bool
is_removable (const struct lessor *lessor, struct lessor_peer *peer)
{
  if (member_find (lessor->config.members, peer->instance_id) != NULL)
    return false;
  peer->reachable = false;
  peer->eligible = false;
  peer->item_count = 0;
  return peer->expires_ns == 0;
}

static void
remove_peers (struct lessor *lessor)
{
  struct lessor_peer *peer = lessor->peers;
  struct lessor_peer *next;

  HASH_CLEAR (hh, lessor->peers);
  for (; peer != NULL; peer = next)
    {
      next = peer->hh.next;
      if (is_removable (lessor, peer))
        {
          free (peer->items);
          free (peer);
        }
      else
        HASH_ADD (hh, lessor->peers, instance_id, sizeof peer->instance_id,
                  peer);
    }
}

static struct lessor_service *
service_get (struct lessor *lessor, uint64_t id)
{
  struct lessor_service *service;

  HASH_FIND (hh, lessor->services, &id, sizeof id, service);
  if (service != NULL)
    return service;
  service = calloc (1, sizeof *service);
  if (service == NULL)
    return NULL;
  service->id = id;
  HASH_ADD (hh, lessor->services, id, sizeof service->id, service);
  return service;
}

static uint32_t
usable_slots (const struct lessor *lessor,
              const struct catalog_upstream *upstream)
{
  uint64_t slots = upstream->draining ? 0 : upstream->slots;

  if (!lessor->in_minority || lessor->recent_count == 0)
    return (uint32_t)slots;
  if (slots * lessor->reachable_count < lessor->recent_count)
    return slots > 0 ? 1 : 0;
  return (uint32_t)(slots * lessor->reachable_count / lessor->recent_count);
}

static int
refresh_upstream (struct lessor *lessor, const struct catalog_service *service,
                  const struct catalog_upstream *configured,
                  uint32_t first_slot, uint64_t now_ns)
{
  struct lessor_upstream *upstream;

  HASH_FIND (hh, lessor->upstreams, &configured->id, sizeof configured->id,
             upstream);
  if (upstream == NULL)
    {
      upstream = calloc (1, sizeof *upstream);
      if (upstream == NULL)
        return ERR_NO_MEMORY;
      upstream->id = configured->id;
      upstream->service_id = service->id;
      upstream->lessor_since_ns = now_ns;
      HASH_ADD (hh, lessor->upstreams, id, sizeof upstream->id, upstream);
      lessor->query_due = true;
    }
  upstream->last_refresh = lessor->refresh;
  upstream->slots = usable_slots (lessor, configured);
  upstream->first_slot = first_slot;
  return 0;
}

static int
refresh_service (struct lessor *lessor, const struct catalog_service *service,
                 uint64_t now_ns)
{
  struct lessor_service *planned = service_get (lessor, service->id);
  uint32_t slots = 0;
  uint32_t own_slots = 0;
  uint32_t i;
  int result = 0;

  if (planned == NULL)
    return ERR_NO_MEMORY;
  for (i = 0; i < service->upstream_count && result == 0; i++)
    {
      const struct catalog_upstream *upstream = &service->upstreams[i];
      uint32_t usable = usable_slots (lessor, upstream);

      if (member_lessor (lessor->config.members, upstream->id)
          == lessor->config.members->self_id)
        {
          result = refresh_upstream (lessor, service, upstream, slots, now_ns);
          own_slots += usable;
        }
      slots += usable;
    }
  planned->slots = slots;
  planned->own_slots = own_slots;
  planned->target_count = 0;
  return result;
}

/* Removes the upstreams that the current refresh did not find. */
static void
remove_stale_upstreams (struct lessor *lessor)
{
  struct lessor_upstream *upstream = lessor->upstreams;
  struct lessor_upstream *next;

  HASH_CLEAR (hh, lessor->upstreams);
  for (; upstream != NULL; upstream = next)
    {
      next = upstream->hh.next;
      if (upstream->last_refresh == lessor->refresh)
        {
          HASH_ADD (hh, lessor->upstreams, id, sizeof upstream->id, upstream);
          continue;
        }
      free (upstream->leases);
      free (upstream);
    }
}

int
lessor_refresh (struct lessor *lessor, uint64_t now_ns)
{
  const struct member_table *members = lessor->config.members;
  const struct catalog *catalog = lessor->config.catalog;
  const struct member *member;
  const struct catalog_service *service;
  uint32_t reachable_before = lessor->reachable_count;
  bool in_minority;
  int result = 0;

  lessor->reachable_count = 0;
  lessor->recent_count = 0;
  for (member = members->members; member != NULL && result == 0;
       member = member->hh.next)
    result = refresh_peer (lessor, member, now_ns);
  remove_peers (lessor);
  in_minority = 2 * lessor->reachable_count <= lessor->recent_count;
  if (result != 0
      || (in_minority == lessor->in_minority
          && (!in_minority || reachable_before == lessor->reachable_count)
          && lessor->refresh != 0
          && lessor->member_generation == members->generation
          && lessor->catalog_generation == catalog->generation))
    return result;
  lessor->in_minority = in_minority;
  lessor->refresh++;
  lessor->member_generation = members->generation;
  lessor->catalog_generation = catalog->generation;
  for (service = catalog->services; service != NULL && result == 0;
       service = service->hh.next)
    result = refresh_service (lessor, service, now_ns);
  remove_stale_upstreams (lessor);
  lessor->plan_due = true;
  return result;
}
