/**
 * @file lessor_plan.c
 * Which slots go where.  A full run shrinks leases towards the targets and
 * raises others into what is free; between full runs free slots go to the
 * waiting instance that is furthest below its target.
 */
#include "coordination/lessor_int.h"
#include "state/err.h"
#include <stdlib.h>
#include <string.h>

#define TARGET_STEP 1000 /* millislots; a smaller change moves no slot */

/* A service's targets in a full run, and room for one upstream's slots. */
struct plan
{
  struct lessor *lessor;
  const struct lessor_service *service;
  struct demand_service *demand;
  uint32_t *desired; /* of one upstream's slots, by target */
  bool ready;        /* the upstream at hand may be granted from */
  int64_t *excess;   /* slots held above the share here, by target */
};

static int compare_targets (const void *a, const void *b);
static size_t collect_targets (const struct lessor *lessor,
                               struct share_target *targets);
static bool is_settled (const struct lessor_service *service,
                        const struct demand_service *demand,
                        const struct share_target *targets, size_t count);
static int compute_targets (struct lessor *lessor,
                            struct lessor_service *service,
                            const struct demand_service *demand);
static bool is_known (const struct lessor_upstream *upstream,
                      uint64_t instance_id);
static uint32_t desired_of (const struct plan *plan, uint64_t instance_id);
static void round_targets (struct plan *plan,
                           const struct lessor_upstream *upstream);
static void count_excess (struct plan *plan);
static int64_t *excess_of (const struct plan *plan, uint64_t instance_id);
static int shrink (struct plan *plan, struct lessor_upstream *upstream);
static int repeat_unconfirmed (struct lessor *lessor,
                               struct lessor_upstream *upstream);
static int raise_shares (struct plan *plan, struct lessor_upstream *upstream,
                         bool anywhere);
static int move_slots (struct plan *plan, uint64_t now_ns);
static int plan_service (struct lessor *lessor, struct lessor_service *service,
                         uint64_t now_ns);
static uint32_t held (const struct lessor *lessor, uint64_t service_id,
                      uint64_t instance_id);
static struct demand_instance *
neediest (const struct lessor *lessor, const struct lessor_service *service,
          const struct lessor_upstream *upstream,
          const struct demand_service *demand);
static int hand_out (struct lessor *lessor, struct lessor_service *service,
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
lessor_plan_ready (const struct lessor *lessor,
                   const struct lessor_upstream *upstream, uint64_t now_ns)
{
  const struct member_table *members = lessor->config.members;
  const struct lessor_peer *peer;
  const struct member *member;
  uint64_t lease_ns = lessor_lease_ns (lessor);
  uint32_t expected = HASH_COUNT (members->members);

  if (lessor->config.members_expected + 1 > expected)
    expected = lessor->config.members_expected + 1;
  if (lessor->alive_count < expected && now_ns < lessor->started_ns + lease_ns)
    return false;
  if (now_ns >= upstream->since_ns + lease_ns)
    return true;
  for (peer = lessor->peers; peer != NULL; peer = peer->hh.next)
    {
      member = member_find (members, peer->instance_id);
      if (peer->alive && !is_known (upstream, peer->instance_id))
        return false;
      if (!peer->alive && !peer->closed && member != NULL
          && now_ns
                 < (peer->deaf ? peer->unanswered_ns : member->last_heard_ns)
                       + lease_ns)
        return false;
    }
  return true;
}

static bool
is_known (const struct lessor_upstream *upstream, uint64_t instance_id)
{
  const struct lessor_lease *lease = lessor_lease_find (upstream, instance_id);

  return lease != NULL && lease->known;
}

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

/* Whether the targets in force may stay: no instance's has changed by a slot,
   or nobody waits and every instance has some. */
static bool
is_settled (const struct lessor_service *service,
            const struct demand_service *demand,
            const struct share_target *targets, size_t count)
{
  bool close = true;
  bool some = true;
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
      if ((old > new ? old - new : new - old) >= TARGET_STEP)
        close = false;
      if (old < TARGET_STEP)
        some = false;
    }
  for (i = 0; demand != NULL && i < demand->instance_count; i++)
    if (demand->instances[i].waiting > 0)
      waiting = true;
  return close || (some && !waiting);
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
      if (result == 0 && !is_settled (service, demand, targets, count))
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

/* How many of an upstream's slots an instance should have. */
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
  share_round (plan->service->targets, plan->service->target_count,
               plan->service->slots, upstream->first, upstream->slots,
               plan->desired);
}

/* What each instance holds above its share, over all upstreams here.  Only
   this is moved: which of them it holds its slots at makes no difference to
   shares, and moving a slot costs its idle time. */
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

static int64_t *
excess_of (const struct plan *plan, uint64_t instance_id)
{
  uint32_t t;

  for (t = 0; t < plan->service->target_count; t++)
    if (plan->service->targets[t].instance_id == instance_id)
      return &plan->excess[t];
  return NULL;
}

/* Takes back excess slots; of an upstream that drains or is granted beyond
   its slots, and from instances that take no requests, whatever is too much
   there. */
static int
shrink (struct plan *plan, struct lessor_upstream *upstream)
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
      uint32_t cut;

      if (peer == NULL || !peer->alive || !lease->known
          || lease->granted <= desired)
        continue;
      cut = lease->granted - desired;
      /* What cannot be raised elsewhere yet is better kept in use. */
      if (excess != NULL && granted <= upstream->slots && !plan->ready)
        continue;
      if (excess != NULL && granted <= upstream->slots && cut > *excess)
        cut = *excess > 0 ? (uint32_t)*excess : 0;
      if (cut == 0)
        continue;
      if (excess != NULL && upstream->slots > 0)
        *excess -= cut;
      result = lessor_lease_grant (lessor, upstream, peer, lease,
                                   lease->granted - cut);
    }
  return result;
}

static int
repeat_unconfirmed (struct lessor *lessor, struct lessor_upstream *upstream)
{
  uint32_t i;
  int result = 0;

  for (i = 0; i < upstream->lease_count && result == 0; i++)
    {
      struct lessor_lease *lease = &upstream->leases[i];
      struct lessor_peer *peer = lessor_peer_find (lessor, lease->instance_id);

      if (peer != NULL && peer->alive && lease->known
          && lease->confirmed < lease->sequence
          && lease->sent_turn < lessor->turn)
        result = lessor_lease_repeat (lessor, upstream, peer, lease);
    }
  return result;
}

/* Gives instances that are below their share free slots, first where the
   rounding puts them, then anywhere. */
static int
raise_shares (struct plan *plan, struct lessor_upstream *upstream,
              bool anywhere)
{
  struct lessor *lessor = plan->lessor;
  uint32_t unused = lessor_upstream_free (upstream);
  uint32_t t;
  int result = 0;

  for (t = 0; t < plan->service->target_count && unused > 0 && result == 0;
       t++)
    {
      uint64_t id = plan->service->targets[t].instance_id;
      struct lessor_lease *lease = lessor_lease_find (upstream, id);
      struct demand_instance *instance;
      uint32_t more = plan->excess[t] < 0 ? (uint32_t)-plan->excess[t] : 0;

      if (lease == NULL || !lease->known || more == 0
          || (!anywhere && lease->granted >= plan->desired[t]))
        continue;
      if (!anywhere && more > plan->desired[t] - lease->granted)
        more = plan->desired[t] - lease->granted;
      if (more > unused)
        more = unused;
      unused -= more;
      plan->excess[t] += more;
      instance = demand_instance_find (plan->demand, id);
      if (instance != NULL)
        instance->granted_since_report += more;
      result = lessor_lease_grant (lessor, upstream,
                                   lessor_peer_find (lessor, id), lease,
                                   lease->granted + more);
    }
  return result;
}

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
        plan->ready = lessor_plan_ready (lessor, upstream, now_ns);
        if (pass == 0)
          result = shrink (plan, upstream);
        else if (plan->ready)
          result = raise_shares (plan, upstream, pass == 2);
        if (result == 0 && pass == 2)
          result = repeat_unconfirmed (lessor, upstream);
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

/* Slots of a service that an instance has from this lessor. */
static uint32_t
held (const struct lessor *lessor, uint64_t service_id, uint64_t instance_id)
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

/* The waiting instance that is furthest below its target here. */
static struct demand_instance *
neediest (const struct lessor *lessor, const struct lessor_service *service,
          const struct lessor_upstream *upstream,
          const struct demand_service *demand)
{
  struct demand_instance *best = NULL;
  int64_t best_lack = 0;
  uint32_t i;
  uint32_t t;

  for (i = 0; i < demand->instance_count; i++)
    {
      struct demand_instance *instance = &demand->instances[i];
      const struct lessor_peer *peer
          = lessor_peer_find (lessor, instance->instance_id);
      int64_t lack = 0;

      if (instance->waiting <= instance->granted_since_report || peer == NULL
          || !peer->eligible || !is_known (upstream, instance->instance_id))
        continue;
      for (t = 0; t < service->target_count; t++)
        if (service->targets[t].instance_id == instance->instance_id)
          lack = (int64_t)(service->targets[t].millislots * service->own_slots
                           / service->slots);
      lack -= (int64_t)TARGET_STEP
              * held (lessor, service->id, instance->instance_id);
      if (best == NULL || lack > best_lack)
        {
          best = instance;
          best_lack = lack;
        }
    }
  return best;
}

static int
hand_out (struct lessor *lessor, struct lessor_service *service,
          struct lessor_upstream *upstream)
{
  struct demand_service *demand = demand_find (&lessor->demand, service->id);
  uint32_t unused = lessor_upstream_free (upstream);
  int result = 0;

  if (demand == NULL)
    return 0;
  for (; unused > 0 && result == 0; unused--)
    {
      struct demand_instance *instance
          = neediest (lessor, service, upstream, demand);
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
lessor_plan_free (struct lessor *lessor, uint64_t now_ns)
{
  struct lessor_upstream *upstream;
  struct lessor_service *service;
  int result = 0;

  if (!lessor->config.policy->moves)
    return 0;
  for (upstream = lessor->upstreams; upstream != NULL && result == 0;
       upstream = upstream->hh.next)
    {
      HASH_FIND (hh, lessor->services, &upstream->service_id,
                 sizeof upstream->service_id, service);
      if (service != NULL && lessor_upstream_free (upstream) > 0
          && lessor_plan_ready (lessor, upstream, now_ns))
        result = hand_out (lessor, service, upstream);
    }
  return result;
}
