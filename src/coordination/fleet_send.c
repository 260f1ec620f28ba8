/**
 * @file fleet_send.c
 * Messages sent to peers.
 */
#include "coordination/fleet_int.h"
#include "state/err.h"
#include <string.h>

/** Accounts of one origin, collected until the origin changes or the message
    is full. */
struct snapshot
{
  struct fleet *fleet;
  uint64_t instance_id;
  struct message message;
  struct ledger_entry entries[FLEET_ACCOUNTS_MAX];
};

static int send_to (struct fleet *fleet, uint64_t instance_id,
                    const struct message *message);
static void fill_heartbeat (struct fleet *fleet,
                            struct message_heartbeat *heartbeat);
static int add_entry (void *user, struct ledger_origin origin,
                      const struct ledger_entry *entry);
static int flush (struct snapshot *snapshot);

int
fleet_send_heartbeat (struct fleet *fleet, enum own_demand_scope scope)
{
  struct message message = { .kind = MESSAGE_HEARTBEAT };
  int rc = own_demand_write (&fleet->own_demand, scope, &message.u.heartbeat);

  if (rc != 0)
    return rc;
  fill_heartbeat (fleet, &message.u.heartbeat);
  fleet_broadcast (fleet, &message);
  rc = lessor_receive_heartbeat (fleet->lessor, fleet->members.self_id,
                                 &message.u.heartbeat);
  fleet->lessor_due = true;
  message_finish (&message);
  return rc;
}

int
fleet_send_accounts (struct fleet *fleet, bool full)
{
  struct ledger_entry entries[FLEET_ACCOUNTS_MAX];
  struct message message = { .kind = MESSAGE_ACCOUNTS };
  struct message_accounts *accounts = &message.u.accounts;
  size_t i;

  accounts->origin.instance_id = fleet->members.self_id;
  accounts->origin.incarnation = fleet->config.self.incarnation;
  accounts->entries = entries;
  if (full)
    fleet->ledger_cursor = 0;
  do
    {
      accounts->entry_count
          = ledger_changes (fleet->config.ledger, &fleet->ledger_cursor,
                            entries, FLEET_ACCOUNTS_MAX);
      /* Plain costs affect no decision.  Receivers keep the maximum, so 0
         means no change. */
      for (i = 0; !full && i < accounts->entry_count; i++)
        entries[i].cost = 0;
      if (accounts->entry_count > 0)
        fleet_broadcast (fleet, &message);
    }
  while (accounts->entry_count == FLEET_ACCOUNTS_MAX);
  return 0;
}

int
fleet_send_snapshot (struct fleet *fleet, uint64_t instance_id)
{
  struct message message = { .kind = MESSAGE_HEARTBEAT };
  struct snapshot snapshot = { .fleet = fleet, .instance_id = instance_id };
  int rc = own_demand_write (&fleet->own_demand, OWN_DEMAND_SNAPSHOT,
                             &message.u.heartbeat);

  if (rc != 0)
    return rc;
  fill_heartbeat (fleet, &message.u.heartbeat);
  rc = send_to (fleet, instance_id, &message);
  message_finish (&message);
  if (rc != 0)
    return rc;
  snapshot.message.kind = MESSAGE_ACCOUNTS;
  snapshot.message.u.accounts.entries = snapshot.entries;
  ledger_visit (fleet->config.ledger, add_entry, &snapshot);
  return flush (&snapshot);
}

void
fleet_request_config (struct fleet *fleet, uint64_t instance_id,
                      uint64_t config_index)
{
  struct confsync *confsync = fleet->config.confsync;
  struct message message = { .kind = MESSAGE_CONFIG_REQUEST };

  if (confsync == NULL || config_index <= confsync_complete_index (confsync)
      || fleet->now_ns < fleet->next_config_ns)
    return;
  fleet->next_config_ns
      = fleet->now_ns + FLEET_CONFIG_RETRY_MS * FLEET_NS_PER_MS;
  message.u.config_request.since_index = confsync_complete_index (confsync);
  send_to (fleet, instance_id, &message);
}

int
fleet_send_or_deliver (void *user, uint64_t instance_id,
                       const struct message *message)
{
  struct fleet *fleet = user;
  int rc;

  if (instance_id != fleet->members.self_id)
    return send_to (fleet, instance_id, message);
  if (message->kind == MESSAGE_GRANT)
    {
      rc = lessee_receive_grant (fleet->lessee, instance_id, &message->u.grant,
                                 fleet->now_ns);
      fleet->slots_changed = fleet->slots_changed || rc > 0;
      return rc < 0 ? rc : 0;
    }
  if (message->kind != MESSAGE_HOLD)
    return ERR_INVALID;
  fleet->lessor_due = true;
  return lessor_receive_hold (fleet->lessor, instance_id, &message->u.hold,
                              fleet->now_ns);
}

void
fleet_broadcast (struct fleet *fleet, const struct message *message)
{
  const struct fleet_peer *peer;

  /* Errors are ignored: a peer that cannot be sent to loses its link, and
     receives the full state when the link is up again. */
  for (peer = fleet->peers; peer != NULL; peer = peer->hh.next)
    send_to (fleet, peer->instance_id, message);
}

static int
send_to (struct fleet *fleet, uint64_t instance_id,
         const struct message *message)
{
  return fleet->config.sender.send (fleet->config.sender.user, instance_id,
                                    message);
}

static void
fill_heartbeat (struct fleet *fleet, struct message_heartbeat *heartbeat)
{
  const struct member *self
      = member_find (&fleet->members, fleet->members.self_id);

  heartbeat->sequence = ++fleet->sequence;
  heartbeat->state = self->state;
  if (self->state == MESSAGE_INSTANCE_LIVE
      && lessor_is_isolated (fleet->lessor))
    heartbeat->state = MESSAGE_INSTANCE_STARTING;
  if (fleet->config.confsync != NULL)
    heartbeat->config_index = confsync_complete_index (fleet->config.confsync);
  lessee_heartbeat_sent (fleet->lessee, heartbeat->sequence, fleet->now_ns);
}

/** ledger_visitor: adds an entry to the snapshot. */
static int
add_entry (void *user, struct ledger_origin origin,
           const struct ledger_entry *entry)
{
  struct snapshot *snapshot = user;
  struct message_accounts *accounts = &snapshot->message.u.accounts;

  if (accounts->entry_count == FLEET_ACCOUNTS_MAX
      || origin.instance_id != accounts->origin.instance_id
      || origin.incarnation != accounts->origin.incarnation)
    {
      if (flush (snapshot) != 0)
        return ERR_RESET;
      accounts->origin = origin;
    }
  snapshot->entries[accounts->entry_count++] = *entry;
  return 0;
}

static int
flush (struct snapshot *snapshot)
{
  struct message_accounts *accounts = &snapshot->message.u.accounts;
  int rc = 0;

  if (accounts->entry_count > 0)
    rc = send_to (snapshot->fleet, snapshot->instance_id, &snapshot->message);
  accounts->entry_count = 0;
  return rc;
}
