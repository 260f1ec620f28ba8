/**
 * @file fleet.c
 * Fleet coordination: construction, and timing of the periodic work.
 */
#include "coordination/fleet_int.h"
#include "state/err.h"
#include <stdlib.h>

#define ROUNDS_MAX 4 /**< rounds of lessor and lessee in one call */

static enum own_demand_scope exchange_scope (struct fleet *fleet);
static int exchange (struct fleet *fleet);
static int check_demand (struct fleet *fleet);
static void release_idle (struct fleet *fleet);
static int run_leases (struct fleet *fleet, bool full);
static void update_members (struct fleet *fleet);
static void remove_demand (struct fleet *fleet, const struct member *member);
static void enter_live_state (struct fleet *fleet);
static void add_old_incarnation (struct fleet *fleet,
                                 struct ledger_origin origin);
static void aggregate_old_incarnations (struct fleet *fleet);
static uint64_t interval_ns (const struct fleet *fleet);

struct fleet *
fleet_new (const struct fleet_config *config)
{
  struct fleet *fleet = calloc (1, sizeof *fleet);
  struct lessor_config lessor = {
    .lease_ms = config->lease_ms,
    .grace_ms = config->lease_ms / FLEET_LEASE_GRACE_DIV,
    .payback = config->payback,
    .peers_expected = config->peers_expected,
    .policy = config->policy,
    .catalog = config->catalog,
    .ledger = config->ledger,
  };

  if (fleet == NULL)
    return NULL;
  fleet->config = *config;
  if (fleet->config.policy == NULL)
    fleet->config.policy = &share_fleet;
  fleet->sender = (struct message_sender){ fleet_send_or_deliver, fleet };
  fleet->config.self.state = MESSAGE_INSTANCE_STARTING;
  if (member_init (&fleet->members, &fleet->config.self,
                   config->exchange_interval_ms)
      != 0)
    {
      free (fleet);
      return NULL;
    }
  lessor.members = &fleet->members;
  fleet->lessor = lessor_new (&lessor);
  fleet->lessee = lessee_new (config->slots, config->catalog, &fleet->members);
  if (fleet->lessor != NULL && fleet->lessee != NULL)
    return fleet;
  fleet_free (fleet);
  return NULL;
}

void
fleet_free (struct fleet *fleet)
{
  struct fleet_peer *peer = fleet->peers;
  struct fleet_peer *next_peer;
  struct fleet_incarnation *old = fleet->old_incarnations;
  struct fleet_incarnation *next_old;

  HASH_CLEAR (hh, fleet->peers);
  for (; peer != NULL; peer = next_peer)
    {
      next_peer = peer->hh.next;
      free (peer);
    }
  for (; old != NULL; old = next_old)
    {
      next_old = old->next;
      free (old);
    }
  if (fleet->lessor != NULL)
    lessor_free (fleet->lessor);
  if (fleet->lessee != NULL)
    lessee_free (fleet->lessee);
  own_demand_finish (&fleet->own_demand);
  peer_demand_finish (&fleet->demand_of_peers);
  member_finish (&fleet->members);
  free (fleet);
}

int
fleet_peer_up (struct fleet *fleet, const struct message_hello *hello,
               uint64_t now_ns)
{
  const uint64_t id = catalog_id (hello->instance);
  const struct member *known = member_find (&fleet->members, id);
  uint64_t old_incarnation = known != NULL ? known->incarnation : 0;
  struct fleet_peer *peer = NULL;
  int rc = member_receive_hello (&fleet->members, hello, now_ns);

  fleet->now_ns = now_ns;
  if (rc != 0)
    return rc;
  if (old_incarnation != 0 && old_incarnation != hello->incarnation)
    {
      lessor_instance_gone (fleet->lessor, id);
      peer_demand_remove_instance (&fleet->demand_of_peers, id);
      add_old_incarnation (fleet,
                           (struct ledger_origin){ id, old_incarnation });
    }
  HASH_FIND (hh, fleet->peers, &id, sizeof id, peer);
  if (peer == NULL)
    {
      peer = calloc (1, sizeof *peer);
      if (peer == NULL)
        return ERR_NO_MEMORY;
      peer->instance_id = id;
      HASH_ADD (hh, fleet->peers, instance_id, sizeof peer->instance_id, peer);
    }
  peer->sequence = 0;
  lessee_link_up (fleet->lessee, id);
  return fleet_send_snapshot (fleet, id);
}

void
fleet_peer_down (struct fleet *fleet, uint64_t instance_id, uint64_t now_ns)
{
  struct fleet_peer *peer = NULL;

  fleet->now_ns = now_ns;
  HASH_FIND (hh, fleet->peers, &instance_id, sizeof instance_id, peer);
  if (peer == NULL)
    return;
  HASH_DEL (fleet->peers, peer);
  free (peer);
  member_link_down (&fleet->members, instance_id);
  lessor_link_down (fleet->lessor, instance_id, now_ns);
  fleet->lessor_due = true;
}

int
fleet_run (struct fleet *fleet, uint64_t now_ns)
{
  bool full = now_ns >= fleet->next_exchange_ns;
  bool changed;
  int rc = 0;

  fleet->now_ns = now_ns;
  if (full)
    rc = exchange (fleet);
  else if (now_ns >= fleet->next_check_ns)
    rc = check_demand (fleet);
  if (rc == 0)
    rc = run_leases (fleet, full);
  if (rc < 0)
    return rc;
  changed = fleet->slots_changed;
  fleet->slots_changed = false;
  return changed ? 1 : 0;
}

void
fleet_drain (struct fleet *fleet, uint64_t now_ns)
{
  fleet->now_ns = now_ns;
  fleet->draining = true;
  member_set_state (&fleet->members, MESSAGE_INSTANCE_DRAINING);
  fleet->next_exchange_ns = now_ns;
}

void
fleet_catalog_changed (struct fleet *fleet, uint64_t now_ns)
{
  fleet->now_ns = now_ns;
  fleet->next_exchange_ns = now_ns;
}

void
fleet_config_changed (struct fleet *fleet)
{
  fleet->next_exchange_ns = 0;
}

void
fleet_set_confsync (struct fleet *fleet, struct confsync *confsync)
{
  fleet->config.confsync = confsync;
}

void
fleet_peer_demand (const void *user, uint64_t customer_id, uint64_t service_id,
                   uint64_t reserve, struct dispatch_peer_demand *out)
{
  const struct fleet *fleet = user;

  *out = (struct dispatch_peer_demand){ .customer_waits = false };
  if (fleet->config.policy->exchanges_ledgers)
    peer_demand_query (&fleet->demand_of_peers, fleet->config.ledger,
                       fleet->config.catalog, customer_id, service_id, reserve,
                       out);
}

const struct lessor *
fleet_lessor (const struct fleet *fleet)
{
  return fleet->lessor;
}

const struct member_table *
fleet_members (const struct fleet *fleet)
{
  return &fleet->members;
}

/** Scope of the next regular heartbeat. */
static enum own_demand_scope
exchange_scope (struct fleet *fleet)
{
  if (fleet->now_ns >= fleet->next_full_ns)
    {
      fleet->next_full_ns = fleet->now_ns + FLEET_FULL_MS * FLEET_NS_PER_MS;
      return OWN_DEMAND_FULL;
    }
  if (fleet->now_ns < fleet->next_fine_ns)
    return OWN_DEMAND_COARSE_CHANGES;
  fleet->next_fine_ns = fleet->now_ns + FLEET_FINE_MS * FLEET_NS_PER_MS;
  return OWN_DEMAND_FINE_CHANGES;
}

/** Regular exchange with all peers. */
static int
exchange (struct fleet *fleet)
{
  enum own_demand_scope scope = exchange_scope (fleet);
  bool accounts = fleet->now_ns >= fleet->next_accounts_ns;
  int rc;

  fleet->next_exchange_ns = fleet->now_ns + interval_ns (fleet);
  fleet->next_check_ns = fleet->now_ns + FLEET_CHECK_MS * FLEET_NS_PER_MS;
  if (accounts)
    fleet->next_accounts_ns
        = fleet->now_ns + FLEET_ACCOUNTS_MS * FLEET_NS_PER_MS;
  enter_live_state (fleet);
  update_members (fleet);
  aggregate_old_incarnations (fleet);
  rc = own_demand_refresh (&fleet->own_demand, fleet->config.dispatch);
  if (rc == 0)
    rc = fleet_send_heartbeat (fleet, scope);
  if (rc == 0 && fleet->config.policy->exchanges_ledgers)
    rc = fleet_send_accounts (fleet, accounts);
  release_idle (fleet);
  fleet->lessor_due = true;
  return rc;
}

/** Sends, between exchanges, what cannot wait for the next one. */
static int
check_demand (struct fleet *fleet)
{
  int rc;

  fleet->next_check_ns = fleet->now_ns + FLEET_CHECK_MS * FLEET_NS_PER_MS;
  if (!fleet->config.policy->rebalances)
    return 0;
  release_idle (fleet);
  if (dispatch_waiting (fleet->config.dispatch) == 0
      || fleet->now_ns < fleet->next_urgent_ns)
    return 0;
  rc = own_demand_refresh (&fleet->own_demand, fleet->config.dispatch);
  if (rc != 0
      || !own_demand_urgent (&fleet->own_demand, fleet->config.dispatch))
    return rc;
  fleet->next_urgent_ns = fleet->now_ns + FLEET_URGENT_MS * FLEET_NS_PER_MS;
  return fleet_send_heartbeat (fleet, OWN_DEMAND_URGENT);
}

/** Releases idle slots of services that have requests waiting only at other
    instances. */
static void
release_idle (struct fleet *fleet)
{
  const struct catalog_service *service;
  uint32_t wanted;

  if (fleet->draining && dispatch_waiting (fleet->config.dispatch) == 0)
    {
      lessee_drain (fleet->lessee);
      return;
    }
  if (!fleet->config.policy->rebalances)
    return;
  for (service = fleet->config.catalog->services; service != NULL;
       service = service->hh.next)
    {
      wanted = peer_demand_waiting (&fleet->demand_of_peers, service->id);
      if (wanted > 0
          && dispatch_waiting_service (fleet->config.dispatch, service->id)
                 == 0)
        lessee_release (fleet->lessee, service->id, wanted, fleet->now_ns);
    }
}

/** Runs lessor and lessee in turn until neither has work: grants to this
    instance itself cause holds, which may cause grants. */
static int
run_leases (struct fleet *fleet, bool full)
{
  int round;
  int rc = 0;

  for (round = 0; rc >= 0 && round < ROUNDS_MAX; round++)
    {
      if (fleet->lessor_due)
        {
          fleet->lessor_due = false;
          rc = lessor_run (fleet->lessor, fleet->now_ns, full && round == 0,
                           &fleet->sender);
        }
      if (rc >= 0)
        rc = lessee_run (fleet->lessee, fleet->now_ns, &fleet->sender);
      if (!fleet->lessor_due)
        break;
    }
  return rc;
}

static void
update_members (struct fleet *fleet)
{
  const struct fleet_observer *observer = &fleet->config.observer;
  const struct member *member;
  const struct member *next;
  enum member_status status;

  for (member = fleet->members.members; member != NULL; member = next)
    {
      next = member->hh.next;
      status = member->status;
      if (member_update_status (&fleet->members, member->instance_id,
                                fleet->now_ns))
        {
          if (observer->member_status != NULL)
            observer->member_status (observer->user, member);
          if (member->status == MEMBER_GONE)
            remove_demand (fleet, member);
        }
      else if (status == MEMBER_GONE
               && fleet->now_ns - member->last_heard_ns
                      > FLEET_FORGET_MS * FLEET_NS_PER_MS)
        member_remove (&fleet->members, member->instance_id);
    }
}

static void
remove_demand (struct fleet *fleet, const struct member *member)
{
  lessor_instance_gone (fleet->lessor, member->instance_id);
  peer_demand_remove_instance (&fleet->demand_of_peers, member->instance_id);
}

/** Enters MESSAGE_INSTANCE_LIVE once the configuration is complete. */
static void
enter_live_state (struct fleet *fleet)
{
  const struct member *self
      = member_find (&fleet->members, fleet->members.self_id);

  if (self->state == MESSAGE_INSTANCE_STARTING
      && (fleet->config.confsync == NULL
          || confsync_ready (fleet->config.confsync)))
    member_set_state (&fleet->members, MESSAGE_INSTANCE_LIVE);
}

static void
add_old_incarnation (struct fleet *fleet, struct ledger_origin origin)
{
  struct fleet_incarnation *old = calloc (1, sizeof *old);

  if (old == NULL)
    return;
  old->origin = origin;
  old->aggregate_ns = fleet->now_ns + FLEET_AGGREGATE_MS * FLEET_NS_PER_MS;
  old->next = fleet->old_incarnations;
  fleet->old_incarnations = old;
}

static void
aggregate_old_incarnations (struct fleet *fleet)
{
  struct fleet_incarnation **pointer = &fleet->old_incarnations;
  struct fleet_incarnation *old;

  while (*pointer != NULL)
    {
      old = *pointer;
      if (fleet->now_ns < old->aggregate_ns
          || ledger_aggregate (fleet->config.ledger, old->origin) != 0)
        {
          pointer = &old->next;
          continue;
        }
      *pointer = old->next;
      free (old);
    }
}

static uint64_t
interval_ns (const struct fleet *fleet)
{
  return fleet->config.exchange_interval_ms * FLEET_NS_PER_MS;
}
