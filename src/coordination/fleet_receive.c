/**
 * @file fleet_receive.c
 * Messages received from peers.
 */
#include "coordination/fleet_int.h"
#include "state/err.h"

static int receive_heartbeat (struct fleet *fleet, struct fleet_peer *peer,
                              const struct message *message);
static int receive_accounts (struct fleet *fleet, struct fleet_peer *peer,
                             const struct message *message);
static int receive_grant (struct fleet *fleet, struct fleet_peer *peer,
                          const struct message *message);
static int receive_hold (struct fleet *fleet, struct fleet_peer *peer,
                         const struct message *message);
static int receive_config_request (struct fleet *fleet,
                                   struct fleet_peer *peer,
                                   const struct message *message);
static int receive_config (struct fleet *fleet, struct fleet_peer *peer,
                           const struct message *message);

static int (*const receivers[MESSAGE_KIND_MAX]) (struct fleet *fleet,
                                                 struct fleet_peer *peer,
                                                 const struct message *message)
    = {
        [MESSAGE_HEARTBEAT] = receive_heartbeat,
        [MESSAGE_ACCOUNTS] = receive_accounts,
        [MESSAGE_GRANT] = receive_grant,
        [MESSAGE_HOLD] = receive_hold,
        [MESSAGE_CONFIG_REQUEST] = receive_config_request,
        [MESSAGE_CONFIG] = receive_config,
      };

int
fleet_receive (struct fleet *fleet, uint64_t instance_id,
               const struct message *message, uint64_t now_ns)
{
  struct fleet_peer *peer = NULL;

  fleet->now_ns = now_ns;
  HASH_FIND (hh, fleet->peers, &instance_id, sizeof instance_id, peer);
  if (peer == NULL)
    return ERR_NOT_FOUND;
  if (receivers[message->kind] == NULL)
    return ERR_PROTOCOL;
  return receivers[message->kind](fleet, peer, message);
}

static int
receive_heartbeat (struct fleet *fleet, struct fleet_peer *peer,
                   const struct message *message)
{
  const struct message_heartbeat *heartbeat = &message->u.heartbeat;
  const struct member *member
      = member_find (&fleet->members, peer->instance_id);
  enum member_status status = member->status;
  int rc;

  if (heartbeat->sequence <= peer->sequence)
    return 0;
  peer->sequence = heartbeat->sequence;
  rc = member_receive_heartbeat (&fleet->members, peer->instance_id, heartbeat,
                                 fleet->now_ns);
  if (rc == 0 && status != member->status
      && fleet->config.observer.member_status != NULL)
    fleet->config.observer.member_status (fleet->config.observer.user, member);
  if (rc == 0)
    rc = peer_demand_apply (&fleet->demand_of_peers, peer->instance_id,
                            heartbeat);
  if (rc == 0)
    rc = lessor_receive_heartbeat (fleet->lessor, peer->instance_id,
                                   heartbeat);
  fleet->lessor_due = true;
  fleet_request_config (fleet, peer->instance_id, heartbeat->config_index);
  return rc;
}

static int
receive_accounts (struct fleet *fleet, struct fleet_peer *peer,
                  const struct message *message)
{
  const struct message_accounts *accounts = &message->u.accounts;
  size_t i;
  int rc;

  (void)peer;
  for (i = 0; i < accounts->entry_count; i++)
    {
      rc = ledger_merge (fleet->config.ledger, accounts->origin,
                         &accounts->entries[i]);
      if (rc < 0)
        return rc;
    }
  return 0;
}

static int
receive_grant (struct fleet *fleet, struct fleet_peer *peer,
               const struct message *message)
{
  int rc = lessee_receive_grant (fleet->lessee, peer->instance_id,
                                 &message->u.grant, fleet->now_ns);

  fleet->slots_changed = fleet->slots_changed || rc > 0;
  return rc;
}

static int
receive_hold (struct fleet *fleet, struct fleet_peer *peer,
              const struct message *message)
{
  fleet->lessor_due = true;
  return lessor_receive_hold (fleet->lessor, peer->instance_id,
                              &message->u.hold, fleet->now_ns);
}

static int
receive_config_request (struct fleet *fleet, struct fleet_peer *peer,
                        const struct message *message)
{
  if (fleet->config.confsync == NULL)
    return 0;
  return confsync_respond (fleet->config.confsync, peer->instance_id,
                           message->u.config_request.since_index,
                           &fleet->config.sender);
}

static int
receive_config (struct fleet *fleet, struct fleet_peer *peer,
                const struct message *message)
{
  const struct message_config *config = &message->u.config;
  size_t i;

  (void)peer;
  if (fleet->config.confsync == NULL)
    return 0;
  /* An object that cannot be used does not prevent the use of the others. */
  for (i = 0; i < config->object_count; i++)
    confsync_offer (fleet->config.confsync, &config->objects[i]);
  if (!config->complete)
    return 0;
  confsync_mark_complete (fleet->config.confsync, config->newest_index);
  fleet->next_config_ns = 0;
  return 0;
}
