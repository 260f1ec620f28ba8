/**
 * @file lessor_plan.c
 * Distribution of slots over instances.  A full run reduces leases towards the
 * targets and increases others from free slots.  Between full runs, free slots
 * go to the waiting instance that is furthest below its target.
 */
#include "coordination/lessor_int.h"
#include "state/err.h"
#include <stdlib.h>
#include <string.h>

#define MILLISLOTS_PER_SLOT 1000

/* Targets of a service in a full run, and scratch space for the slots of one
   upstream. */
struct plan
{
  struct lessor *lessor;
  const struct lessor_service *service;
  struct demand_service *demand;
  uint32_t *desired; /* slots of the current upstream, per target */
  bool may_grant;    /* slots of the current upstream may be granted */
  int64_t *excess;   /* slots held above the share, per target */
};

static int compare_targets (const void *a, const void *b);
static size_t collect_targets (const struct lessor *lessor,
                               struct share_target *targets);
static bool may_keep_targets (const struct lessor_service *service,
                              const struct demand_service *demand,
                              const struct share_target *targets,
                              size_t count);
static int compute_targets (struct lessor *lessor,
                            struct lessor_service *service,
                            const struct demand_service *demand);
static bool has_reported (const struct lessor_upstream *upstream,
                          uint64_t instance_id);
static uint32_t desired_of (const struct plan *plan, uint64_t instance_id);
static void round_targets (struct plan *plan,
                           const struct lessor_upstream *upstream);
static void count_excess (struct plan *plan);
static int64_t *excess_of (const struct plan *plan, uint64_t instance_id);
static int reduce_leases (struct plan *plan, struct lessor_upstream *upstream);
static int resend_unconfirmed (struct lessor *lessor,
                               struct lessor_upstream *upstream);
static int increase_leases (struct plan *plan,
                            struct lessor_upstream *upstream, bool anywhere);
static int move_slots (struct plan *plan, uint64_t now_ns);
static int plan_service (struct lessor *lessor, struct lessor_service *service,
                         uint64_t now_ns);
static uint32_t granted_slots (const struct lessor *lessor,
                               uint64_t service_id, uint64_t instance_id);
static struct demand_instance *
furthest_below_target (const struct lessor *lessor,
                       const struct lessor_service *service,
                       const struct lessor_upstream *upstream,
                       const struct demand_service *demand);
static int grant_free_slots (struct lessor *lessor,
                             struct lessor_service *service,
                             struct lessor_upstream *upstream);

static int
compare_targets (const void *a, const void *b)
{
  const struct share_target *one = a;
  const struct share_target *other = b;

  return one->instance_id < other->instance_id   ? -1
         : one->instance_id > other->instance_id ? 1
                                                 : 0;
}

bool
lessor_plan_may_grant (const struct lessor *lessor,
                       const struct lessor_upstream *upstream, uint64_t now_ns)
{
  const struct member_table *members = lessor->config.members;
  const struct lessor_peer *peer;
  const struct member *member;
  uint64_t lease_ns = lessor_lease_timeout_ns (lessor);
  uint32_t expected = HASH_COUNT (members->members);

  if (lessor->config.peers_expected + 1 > expected)
    expected = lessor->config.peers_expected + 1;
  if (lessor->reachable_count < expected
      && now_ns < lessor->started_ns + lease_ns)
    return false;
  if (now_ns >= upstream->lessor_since_ns + lease_ns)
    return true;
  for (peer = lessor->peers; peer != NULL; peer = peer->hh.next)
    {
      member = member_find (members, peer->instance_id);
      if (peer->reachable && !has_reported (upstream, peer->instance_id))
        return false;
      if (!peer->reachable && !peer->link_closed && member != NULL
          && now_ns < (peer->unresponsive ? peer->unanswered_since_ns
                                          : member->last_heard_ns)
                          + lease_ns)
        return false;
    }
  return true;
}

static bool
has_reported (const struct lessor_upstream *upstream, uint64_t instance_id)
{
  const struct lessor_lease *lease = lessor_lease_find (upstream, instance_id);

  return lease != NULL && lease->reported;
}

/* Fills in the eligible instances in the order of their ids.  @return their
   number. */
static size_t
collect_targets (const struct lessor *lessor, struct share_target *targets)
{
  const struct lessor_peer *peer;
  size_t count = 0;

  for (peer = lessor->peers; peer != NULL; peer = peer->hh.next)
    if (peer->eligible)
      targets[count++].instance_id = peer->instance_id;
  if (count > 1)
    qsort (targets, count, sizeof *targets, compare_targets);
  return count;
}

/* Whether the current targets are kept although new ones were computed: when
   no target has changed by a slot or more, or when no requests wait and every
   current target is at least one slot. */
static bool
may_keep_targets (const struct lessor_service *service,
                  const struct demand_service *demand,
                  const struct share_target *targets, size_t count)
{
  bool all_within_slot = true;
  bool all_have_slot = true;
  bool waiting = false;
  size_t i;

  if (service->target_count != count)
    return false;
  for (i = 0; i < count; i++)
    {
      uint64_t old = service->targets[i].millislots;
      uint64_t new = targets[i].millislots;

      if (service->targets[i].instance_id != targets[i].instance_id)
        return false;
      if ((old > new ? old - new : new - old) >= MILLISLOTS_PER_SLOT)
        all_within_slot = false;
      if (old < MILLISLOTS_PER_SLOT)
        all_have_slot = false;
    }
  for (i = 0; demand != NULL && i < demand->instance_count; i++)
    if (demand->instances[i].waiting > 0)
      waiting = true;
  return all_within_slot || (all_have_slot && !waiting);
}

static int
compute_targets (struct lessor *lessor, struct lessor_service *service,
                 const struct demand_service *demand)
{
  size_t peers = HASH_COUNT (lessor->peers);
  size_t rows = demand == NULL ? 0 : demand->row_count;
  struct share_target *targets = calloc (peers + 1, sizeof *targets);
  struct share_demand *demands = calloc (rows + 1, sizeof *demands);
  size_t count;
  int result = ERR_NO_MEMORY;

  if (targets != NULL && demands != NULL)
    {
      count = collect_targets (lessor, targets);
      if (demand != NULL)
        rows = demand_fill_shares (demand, lessor->config.catalog,
                                   lessor->config.ledger, targets, count,
                                   demands);
      result = lessor->config.policy->compute (demands, rows, service->slots,
                                               lessor->config.payback, targets,
                                               count);
      if (result == 0 && !may_keep_targets (service, demand, targets, count))
        {
          free (service->targets);
          service->targets = targets;
          service->target_count = (uint32_t)count;
          targets = NULL;
        }
    }
  free (demands);
  free (targets);
  return result;
}

/* Number of slots of the current upstream that an instance should have; 0 for
   an instance that is no target. */
static uint32_t
desired_of (const struct plan *plan, uint64_t instance_id)
{
  uint32_t t;

  for (t = 0; t < plan->service->target_count; t++)
    if (plan->service->targets[t].instance_id == instance_id)
      return plan->desired[t];
  return 0;
}

static void
round_targets (struct plan *plan, const struct lessor_upstream *upstream)
{
  share_round_targets (plan->service->targets, plan->service->target_count,
                       plan->service->slots, upstream->first_slot,
                       upstream->slots, plan->desired);
}

/* Computes the slots that each instance holds above its share, over all
   upstreams of this lessor.  Only these are moved: shares do not depend on
   which upstreams the slots are at, and a slot is idle while it moves. */
static void
count_excess (struct plan *plan)
{
  const struct lessor *lessor = plan->lessor;
  const struct lessor_upstream *upstream;
  uint32_t t;

  for (upstream = lessor->upstreams; upstream != NULL;
       upstream = upstream->hh.next)
    {
      if (upstream->service_id != plan->service->id)
        continue;
      round_targets (plan, upstream);
      for (t = 0; t < plan->service->target_count; t++)
        {
          const struct lessor_lease *lease = lessor_lease_find (
              upstream, plan->service->targets[t].instance_id);

          plan->excess[t] -= plan->desired[t];
          if (lease != NULL && upstream->slots > 0)
            plan->excess[t] += lease->granted;
        }
    }
}

/* Entry of an instance in `excess`; NULL for an instance that is no target. */
static int64_t *
excess_of (const struct plan *plan, uint64_t instance_id)
{
  uint32_t t;

  for (t = 0; t < plan->service->target_count; t++)
    if (plan->service->targets[t].instance_id == instance_id)
      return &plan->excess[t];
  return NULL;
}

/* Reduces leases by the excess slots.  At an upstream that drains or is
   granted beyond its slots, and for an instance that is no target because it
   takes no slots any more, leases are reduced to the desired size whatever the
   excess. */
static int
reduce_leases (struct plan *plan, struct lessor_upstream *upstream)
{
  struct lessor *lessor = plan->lessor;
  uint32_t granted = 0;
  uint32_t i;
  int result = 0;

  for (i = 0; i < upstream->lease_count; i++)
    granted += upstream->leases[i].granted;
  for (i = 0; i < upstream->lease_count && result == 0; i++)
    {
      struct lessor_lease *lease = &upstream->leases[i];
      struct lessor_peer *peer = lessor_peer_find (lessor, lease->instance_id);
      uint32_t desired = desired_of (plan, lease->instance_id);
      int64_t *excess = excess_of (plan, lease->instance_id);
      uint32_t removed;

      if (peer == NULL || !peer->reachable || !lease->reported
          || lease->granted <= desired)
        continue;
      removed = lease->granted - desired;
      /* Slots that cannot be granted to others yet stay in use. */
      if (excess != NULL && granted <= upstream->slots && !plan->may_grant)
        continue;
      if (excess != NULL && granted <= upstream->slots && removed > *excess)
        removed = *excess > 0 ? (uint32_t)*excess : 0;
      if (removed == 0)
        continue;
      if (excess != NULL && upstream->slots > 0)
        *excess -= removed;
      result = lessor_lease_grant (lessor, upstream, peer, lease,
                                   lease->granted - removed);
    }
  return result;
}

/* Sends the unconfirmed grants again that were not sent in this full run. */
static int
resend_unconfirmed (struct lessor *lessor, struct lessor_upstream *upstream)
{
  uint32_t i;
  int result = 0;

  for (i = 0; i < upstream->lease_count && result == 0; i++)
    {
      struct lessor_lease *lease = &upstream->leases[i];
      struct lessor_peer *peer = lessor_peer_find (lessor, lease->instance_id);

      if (peer != NULL && peer->reachable && lease->reported
          && lease->confirmed_sequence < lease->sequence
          && lease->sent_full_run < lessor->full_run)
        result = lessor_lease_resend (lessor, upstream, peer, lease);
    }
  return result;
}

/* Grants free slots of an upstream to instances below their share: as many as
   share_round_targets assigned to them at this upstream or, if `anywhere`,
   regardless of that assignment. */
static int
increase_leases (struct plan *plan, struct lessor_upstream *upstream,
                 bool anywhere)
{
  struct lessor *lessor = plan->lessor;
  uint32_t free_slots = lessor_upstream_free_slots (upstream);
  uint32_t t;
  int result = 0;

  for (t = 0; t < plan->service->target_count && free_slots > 0 && result == 0;
       t++)
    {
      uint64_t id = plan->service->targets[t].instance_id;
      struct lessor_lease *lease = lessor_lease_find (upstream, id);
      struct demand_instance *instance;
      uint32_t added = plan->excess[t] < 0 ? (uint32_t)-plan->excess[t] : 0;

      if (lease == NULL || !lease->reported || added == 0
          || (!anywhere && lease->granted >= plan->desired[t]))
        continue;
      if (!anywhere && added > plan->desired[t] - lease->granted)
        added = plan->desired[t] - lease->granted;
      if (added > free_slots)
        added = free_slots;
      free_slots -= added;
      plan->excess[t] += added;
      instance = demand_instance_find (plan->demand, id);
      if (instance != NULL)
        instance->granted_since_report += added;
      result = lessor_lease_grant (lessor, upstream,
                                   lessor_peer_find (lessor, id), lease,
                                   lease->granted + added);
    }
  return result;
}

/* Passes over the upstreams: the first reduces leases, the second grants free
   slots as share_round_targets assigned them, the third grants the rest. */
static int
move_slots (struct plan *plan, uint64_t now_ns)
{
  struct lessor *lessor = plan->lessor;
  struct lessor_upstream *upstream;
  int pass;
  int result = 0;

  count_excess (plan);
  for (pass = 0; pass < 3; pass++)
    for (upstream = lessor->upstreams; upstream != NULL && result == 0;
         upstream = upstream->hh.next)
      {
        if (upstream->service_id != plan->service->id)
          continue;
        round_targets (plan, upstream);
        plan->may_grant = lessor_plan_may_grant (lessor, upstream, now_ns);
        if (pass == 0)
          result = reduce_leases (plan, upstream);
        else if (plan->may_grant)
          result = increase_leases (plan, upstream, pass == 2);
        if (result == 0 && pass == 2)
          result = resend_unconfirmed (lessor, upstream);
      }
  return result;
}

static int
plan_service (struct lessor *lessor, struct lessor_service *service,
              uint64_t now_ns)
{
  struct plan plan = { .lessor = lessor,
                       .service = service,
                       .demand = demand_find (&lessor->demand, service->id) };
  int result = compute_targets (lessor, service, plan.demand);

  plan.desired = calloc (service->target_count + 1, sizeof *plan.desired);
  plan.excess = calloc (service->target_count + 1, sizeof *plan.excess);
  if (plan.desired == NULL || plan.excess == NULL)
    result = ERR_NO_MEMORY;
  if (result == 0)
    result = move_slots (&plan, now_ns);
  free (plan.desired);
  free (plan.excess);
  return result;
}

int
lessor_plan_full (struct lessor *lessor, uint64_t now_ns)
{
  struct lessor_service *service;
  int result = 0;

  for (service = lessor->services; service != NULL && result == 0;
       service = service->hh.next)
    if (service->own_slots > 0)
      result = plan_service (lessor, service, now_ns);
  return result;
}

/* Slots of a service that this lessor has granted to an instance. */
static uint32_t
granted_slots (const struct lessor *lessor, uint64_t service_id,
               uint64_t instance_id)
{
  const struct lessor_upstream *upstream;
  const struct lessor_lease *lease;
  uint32_t slots = 0;

  for (upstream = lessor->upstreams; upstream != NULL;
       upstream = upstream->hh.next)
    {
      lease = lessor_lease_find (upstream, instance_id);
      if (upstream->service_id == service_id && lease != NULL)
        slots += lease->granted;
    }
  return slots;
}

/* The instance with waiting requests that is furthest below its target, or
   least above it; NULL when no instance has waiting requests.  The target is
   scaled by this lessor's part of the service's slots. */
static struct demand_instance *
furthest_below_target (const struct lessor *lessor,
                       const struct lessor_service *service,
                       const struct lessor_upstream *upstream,
                       const struct demand_service *demand)
{
  struct demand_instance *best = NULL;
  int64_t best_deficit = 0;
  uint32_t i;
  uint32_t t;

  for (i = 0; i < demand->instance_count; i++)
    {
      struct demand_instance *instance = &demand->instances[i];
      const struct lessor_peer *peer
          = lessor_peer_find (lessor, instance->instance_id);
      int64_t deficit = 0;

      if (instance->waiting <= instance->granted_since_report || peer == NULL
          || !peer->eligible
          || !has_reported (upstream, instance->instance_id))
        continue;
      for (t = 0; t < service->target_count; t++)
        if (service->targets[t].instance_id == instance->instance_id)
          deficit = (int64_t)(service->targets[t].millislots
                              * service->own_slots / service->slots);
      deficit -= (int64_t)MILLISLOTS_PER_SLOT
                 * granted_slots (lessor, service->id, instance->instance_id);
      if (best == NULL || deficit > best_deficit)
        {
          best = instance;
          best_deficit = deficit;
        }
    }
  return best;
}

static int
grant_free_slots (struct lessor *lessor, struct lessor_service *service,
                  struct lessor_upstream *upstream)
{
  struct demand_service *demand = demand_find (&lessor->demand, service->id);
  uint32_t free_slots = lessor_upstream_free_slots (upstream);
  int result = 0;

  if (demand == NULL)
    return 0;
  for (; free_slots > 0 && result == 0; free_slots--)
    {
      struct demand_instance *instance
          = furthest_below_target (lessor, service, upstream, demand);
      struct lessor_lease *lease;

      if (instance == NULL)
        break;
      lease = lessor_lease_find (upstream, instance->instance_id);
      instance->granted_since_report++;
      result = lessor_lease_grant (
          lessor, upstream, lessor_peer_find (lessor, instance->instance_id),
          lease, lease->granted + 1);
    }
  return result;
}

int
lessor_plan_free_slots (struct lessor *lessor, uint64_t now_ns)
{
  struct lessor_upstream *upstream;
  struct lessor_service *service;
  int result = 0;

  if (!lessor->config.policy->rebalances)
    return 0;
  for (upstream = lessor->upstreams; upstream != NULL && result == 0;
       upstream = upstream->hh.next)
    {
      HASH_FIND (hh, lessor->services, &upstream->service_id,
                 sizeof upstream->service_id, service);
      if (service != NULL && lessor_upstream_free_slots (upstream) > 0
          && lessor_plan_may_grant (lessor, upstream, now_ns))
        result = grant_free_slots (lessor, service, upstream);
    }
  return result;
}
