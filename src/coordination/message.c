/**
 * @file message.c
 * Release of messages between instances, and the names of their kinds.
 */
#include "coordination/message.h"
#include <stdlib.h>

static void finish_config (struct message_config *config);

static const char *const message_kind_names[MESSAGE_KIND_MAX] = {
  [MESSAGE_HELLO] = "hello",
  [MESSAGE_PROOF] = "proof",
  [MESSAGE_HEARTBEAT] = "heartbeat",
  [MESSAGE_ACCOUNTS] = "accounts",
  [MESSAGE_GRANT] = "grant",
  [MESSAGE_HOLD] = "hold",
  [MESSAGE_CONFIG_REQUEST] = "config_request",
  [MESSAGE_CONFIG] = "config",
  [MESSAGE_ADDRESSES] = "addresses",
  [MESSAGE_LOAD] = "load",
  [MESSAGE_LIMIT] = "limit",
  [MESSAGE_STREAMS] = "streams",
};

void
message_finish (struct message *message)
{
  switch (message->kind)
    {
    case MESSAGE_HEARTBEAT:
      free (message->u.heartbeat.demands);
      message->u.heartbeat.demands = NULL;
      message->u.heartbeat.demand_count = 0;
      break;
    case MESSAGE_ACCOUNTS:
      free (message->u.accounts.entries);
      message->u.accounts.entries = NULL;
      message->u.accounts.entry_count = 0;
      break;
    case MESSAGE_GRANT:
      free (message->u.grant.items);
      message->u.grant.items = NULL;
      message->u.grant.item_count = 0;
      break;
    case MESSAGE_HOLD:
      free (message->u.hold.items);
      message->u.hold.items = NULL;
      message->u.hold.item_count = 0;
      break;
    case MESSAGE_CONFIG:
      finish_config (&message->u.config);
      break;
    case MESSAGE_ADDRESSES:
      free (message->u.addresses.items);
      message->u.addresses.items = NULL;
      message->u.addresses.count = 0;
      break;
    case MESSAGE_LOAD:
      free (message->u.load.items);
      free (message->u.load.suspects);
      message->u.load.suspects = NULL;
      message->u.load.suspect_count = 0;
      message->u.load.items = NULL;
      message->u.load.item_count = 0;
      break;
    case MESSAGE_STREAMS:
      free (message->u.streams.rows);
      message->u.streams.rows = NULL;
      message->u.streams.count = 0;
      break;
    default:
      break;
    }
}

const char *
message_kind_name (enum message_kind kind)
{
  return (unsigned int)kind < MESSAGE_KIND_MAX ? message_kind_names[kind]
                                               : "unknown";
}

static void
finish_config (struct message_config *config)
{
  size_t i;

  for (i = 0; i < config->object_count; i++)
    free (config->objects[i].value);
  free (config->objects);
  config->objects = NULL;
  config->object_count = 0;
}
