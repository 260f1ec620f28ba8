/**
 * @file lessor_refresh.c
 * Brings the lessor's peers and upstreams in line with the members and the
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
static bool is_forgettable (const struct lessor *lessor,
                            struct lessor_peer *peer);
static void forget_peers (struct lessor *lessor);
static int refresh_service (struct lessor *lessor,
                            const struct catalog_service *service,
                            uint64_t now_ns);
static struct lessor_service *service_get (struct lessor *lessor, uint64_t id);
static int refresh_upstream (struct lessor *lessor,
                             const struct catalog_service *service,
                             const struct catalog_upstream *configured,
                             uint32_t first, uint64_t now_ns);
static void forget_upstreams (struct lessor *lessor);

static int
refresh_peer (struct lessor *lessor, const struct member *member,
              uint64_t now_ns)
{
  struct lessor_peer *peer = lessor_peer_find (lessor, member->instance_id);
  bool was_alive;

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
  /* A new incarnation proves that the old process, and its requests in
     flight, are no more. */
  if (peer->incarnation != member->incarnation)
    {
      lessor_lease_end (lessor, peer->instance_id);
      peer->incarnation = member->incarnation;
      peer->heartbeat_sequence = 0;
      peer->expires_ns = 0;
      peer->item_count = 0;
      peer->deaf = false;
      peer->unanswered_ns = 0;
    }
  was_alive = peer->alive;
  if (peer->unanswered_ns != 0 && !peer->deaf
      && now_ns - peer->unanswered_ns
             > LESSOR_NS_PER_MS * MEMBER_SUSPECT_INTERVALS
                   * lessor->config.members->interval_ms)
    {
      peer->deaf = true;
      if (peer->expires_ns > peer->unanswered_ns + lessor_lease_ns (lessor))
        peer->expires_ns = peer->unanswered_ns + lessor_lease_ns (lessor);
    }
  peer->alive = member->status == MEMBER_ALIVE && !peer->closed && !peer->deaf;
  peer->eligible = peer->alive && takes_slots (lessor, member);
  if (!peer->alive)
    peer->item_count = 0;
  if (peer->alive)
    lessor->alive_count++;
  if (peer->alive
      || (!peer->closed && member->state == MESSAGE_LIVE
          && now_ns < member->last_heard_ns
                          + LESSOR_RESTRAINT_MS * LESSOR_NS_PER_MS))
    lessor->known_count++;
  if (peer->alive && !was_alive)
    lessor->asking = true;
  return 0;
}

/* An instance that drains takes slots until its last waiting request, which
   it has accepted, has one. */
static bool
takes_slots (const struct lessor *lessor, const struct member *member)
{
  const struct demand_service *service;
  const struct demand_instance *instance;

  if (member->state != MESSAGE_DRAINING)
    return member->state == MESSAGE_LIVE;
  for (service = lessor->demand.services; service != NULL;
       service = service->hh.next)
    {
      instance = demand_instance_find (service, member->instance_id);
      if (instance != NULL && instance->waiting > 0)
        return true;
    }
  return false;
}

/* A peer that is no member any more, once its leases have ended. */
static bool
is_forgettable (const struct lessor *lessor, struct lessor_peer *peer)
{
  if (member_find (lessor->config.members, peer->instance_id) != NULL)
    return false;
  peer->alive = false;
  peer->eligible = false;
  peer->item_count = 0;
  return peer->expires_ns == 0;
}

static void
forget_peers (struct lessor *lessor)
{
  struct lessor_peer *peer = lessor->peers;
  struct lessor_peer *next;

  HASH_CLEAR (hh, lessor->peers);
  for (; peer != NULL; peer = next)
    {
      next = peer->hh.next;
      if (is_forgettable (lessor, peer))
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

  if (!lessor->restrained || lessor->known_count == 0)
    return (uint32_t)slots;
  if (slots * lessor->alive_count < lessor->known_count)
    return slots > 0 ? 1 : 0;
  return (uint32_t)(slots * lessor->alive_count / lessor->known_count);
}

static int
refresh_upstream (struct lessor *lessor, const struct catalog_service *service,
                  const struct catalog_upstream *configured, uint32_t first,
                  uint64_t now_ns)
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
      upstream->since_ns = now_ns;
      HASH_ADD (hh, lessor->upstreams, id, sizeof upstream->id, upstream);
      lessor->asking = true;
    }
  upstream->epoch = lessor->epoch;
  upstream->slots = usable_slots (lessor, configured);
  upstream->first = first;
  return 0;
}

static int
refresh_service (struct lessor *lessor, const struct catalog_service *service,
                 uint64_t now_ns)
{
  struct lessor_service *held = service_get (lessor, service->id);
  uint32_t slots = 0;
  uint32_t own_slots = 0;
  uint32_t i;
  int result = 0;

  if (held == NULL)
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
  held->slots = slots;
  held->own_slots = own_slots;
  held->target_count = 0;
  return result;
}

/* Drops the upstreams that this refresh did not find here. */
static void
forget_upstreams (struct lessor *lessor)
{
  struct lessor_upstream *upstream = lessor->upstreams;
  struct lessor_upstream *next;

  HASH_CLEAR (hh, lessor->upstreams);
  for (; upstream != NULL; upstream = next)
    {
      next = upstream->hh.next;
      if (upstream->epoch == lessor->epoch)
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
  uint32_t alive = lessor->alive_count;
  bool restrained;
  int result = 0;

  lessor->alive_count = 0;
  lessor->known_count = 0;
  for (member = members->members; member != NULL && result == 0;
       member = member->hh.next)
    result = refresh_peer (lessor, member, now_ns);
  forget_peers (lessor);
  restrained = 2 * lessor->alive_count <= lessor->known_count;
  if (result != 0
      || (restrained == lessor->restrained
          && (!restrained || alive == lessor->alive_count)
          && lessor->epoch != 0
          && lessor->member_generation == members->generation
          && lessor->catalog_generation == catalog->generation))
    return result;
  lessor->restrained = restrained;
  lessor->epoch++;
  lessor->member_generation = members->generation;
  lessor->catalog_generation = catalog->generation;
  for (service = catalog->services; service != NULL && result == 0;
       service = service->hh.next)
    result = refresh_service (lessor, service, now_ns);
  forget_upstreams (lessor);
  lessor->stirred = true;
  return result;
}
