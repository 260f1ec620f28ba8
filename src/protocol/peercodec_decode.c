/**
 * @file peercodec_decode.c
 * Decoding and checking of messages between instances.
 */
#include "protocol/peer.pb-c.h"
#include "protocol/peercodec.h"
#include "protocol/platform.h"
#include "state/err.h"
#include <stdlib.h>
#include <string.h>

static int decode_hello (const Peer__Frame *frame, struct message *message);
static int decode_proof (const Peer__Frame *frame, struct message *message);
static int decode_heartbeat (const Peer__Frame *frame,
                             struct message *message);
static int decode_accounts (const Peer__Frame *frame, struct message *message);
static int decode_grant (const Peer__Frame *frame, struct message *message);
static int decode_hold (const Peer__Frame *frame, struct message *message);
static int decode_config_request (const Peer__Frame *frame,
                                  struct message *message);
static int decode_config (const Peer__Frame *frame, struct message *message);
static int decode_object (const Peer__Object *wire,
                          struct message_object *object);
static int copy_name (char *out, size_t size, const char *text,
                      size_t size_min);
static int items_new (void **out, size_t count, size_t size);

struct decoder
{
  enum message_kind kind;
  int (*decode) (const Peer__Frame *frame, struct message *message);
};

static const struct decoder decoders[] = {
  [PEER__FRAME__BODY_HELLO] = { MESSAGE_HELLO, decode_hello },
  [PEER__FRAME__BODY_PROOF] = { MESSAGE_PROOF, decode_proof },
  [PEER__FRAME__BODY_HEARTBEAT] = { MESSAGE_HEARTBEAT, decode_heartbeat },
  [PEER__FRAME__BODY_ACCOUNTS] = { MESSAGE_ACCOUNTS, decode_accounts },
  [PEER__FRAME__BODY_GRANT] = { MESSAGE_GRANT, decode_grant },
  [PEER__FRAME__BODY_HOLD] = { MESSAGE_HOLD, decode_hold },
  [PEER__FRAME__BODY_CONFIG_REQUEST]
  = { MESSAGE_CONFIG_REQUEST, decode_config_request },
  [PEER__FRAME__BODY_CONFIG] = { MESSAGE_CONFIG, decode_config },
};

int
peercodec_decode (const uint8_t *data, size_t size, struct message *message)
{
  Peer__Frame *frame;
  int rc = ERR_PROTOCOL;

  if (size > MESSAGE_FRAME_MAX)
    return ERR_TOO_LARGE;
  frame = peer__frame__unpack (NULL, size, data);
  if (frame == NULL)
    return ERR_PROTOCOL;
  memset (message, 0, sizeof *message);
  if (frame->body_case > PEER__FRAME__BODY__NOT_SET
      && (size_t)frame->body_case < sizeof decoders / sizeof decoders[0])
    {
      message->kind = decoders[frame->body_case].kind;
      rc = decoders[frame->body_case].decode (frame, message);
    }
  peer__frame__free_unpacked (frame, NULL);
  if (rc != 0)
    message_finish (message);
  return rc;
}

/** Allocates an array; an empty one stays NULL. */
static int
items_new (void **out, size_t count, size_t size)
{
  if (count == 0)
    return 0;
  if (count > PEERCODEC_ITEMS_MAX)
    return ERR_TOO_LARGE;
  *out = calloc (count, size);
  return *out != NULL ? 0 : ERR_NO_MEMORY;
}

/** Copies printable text without spaces. */
static int
copy_name (char *out, size_t size, const char *text, size_t size_min)
{
  size_t length = strlen (text);
  size_t i;

  if (length < size_min || length >= size)
    return ERR_PROTOCOL;
  for (i = 0; i < length; i++)
    if (text[i] <= ' ' || text[i] > '~')
      return ERR_PROTOCOL;
  memcpy (out, text, length + 1);
  return 0;
}

static int
decode_hello (const Peer__Frame *frame, struct message *message)
{
  const Peer__Hello *wire = frame->hello;
  struct message_hello *hello = &message->u.hello;

  if (wire->nonce.len != sizeof hello->nonce || wire->incarnation == 0)
    return ERR_PROTOCOL;
  hello->version = wire->version;
  hello->incarnation = wire->incarnation;
  memcpy (hello->nonce, wire->nonce.data, sizeof hello->nonce);
  if (copy_name (hello->fleet, sizeof hello->fleet, wire->fleet, 1) != 0
      || copy_name (hello->instance, sizeof hello->instance, wire->instance, 1)
             != 0
      || copy_name (hello->availability_zone, sizeof hello->availability_zone,
                    wire->availability_zone, 0)
             != 0
      || copy_name (hello->address, sizeof hello->address, wire->address, 1)
             != 0)
    return ERR_PROTOCOL;
  return 0;
}

static int
decode_proof (const Peer__Frame *frame, struct message *message)
{
  const Peer__Proof *wire = frame->proof;

  if (wire->hmac.len != sizeof message->u.proof)
    return ERR_PROTOCOL;
  memcpy (message->u.proof, wire->hmac.data, sizeof message->u.proof);
  return 0;
}

static int
decode_heartbeat (const Peer__Frame *frame, struct message *message)
{
  const Peer__Heartbeat *wire = frame->heartbeat;
  struct message_heartbeat *heartbeat = &message->u.heartbeat;
  size_t i;
  int rc;

  if (wire->state >= MESSAGE_STATE_MAX)
    return ERR_PROTOCOL;
  heartbeat->sequence = wire->sequence;
  heartbeat->state = (enum message_state)wire->state;
  heartbeat->config_index = wire->config_index;
  heartbeat->full = wire->full != 0;
  rc = items_new ((void **)&heartbeat->demands, wire->n_demands,
                  sizeof *heartbeat->demands);
  if (rc != 0)
    return rc;
  heartbeat->demand_count = wire->n_demands;
  for (i = 0; i < wire->n_demands; i++)
    {
      heartbeat->demands[i].customer_id = wire->demands[i]->customer_id;
      heartbeat->demands[i].service_id = wire->demands[i]->service_id;
      heartbeat->demands[i].waiting = wire->demands[i]->waiting;
      heartbeat->demands[i].running = wire->demands[i]->running;
    }
  return 0;
}

static int
decode_accounts (const Peer__Frame *frame, struct message *message)
{
  const Peer__Accounts *wire = frame->accounts;
  struct message_accounts *accounts = &message->u.accounts;
  const Peer__Account *item;
  size_t i;
  int rc;

  if (wire->origin_instance_id == 0)
    return ERR_PROTOCOL;
  accounts->origin.instance_id = wire->origin_instance_id;
  accounts->origin.incarnation = wire->origin_incarnation;
  rc = items_new ((void **)&accounts->entries, wire->n_entries,
                  sizeof *accounts->entries);
  if (rc != 0)
    return rc;
  accounts->entry_count = wire->n_entries;
  for (i = 0; i < wire->n_entries; i++)
    {
      item = wire->entries[i];
      if (item->refunded > item->charged)
        return ERR_PROTOCOL;
      accounts->entries[i].customer_id = item->customer_id;
      accounts->entries[i].service_id = item->service_id;
      accounts->entries[i].charged = item->charged;
      accounts->entries[i].refunded = item->refunded;
      accounts->entries[i].floor = item->floor;
      accounts->entries[i].cost = item->cost;
    }
  return 0;
}

static int
decode_grant (const Peer__Frame *frame, struct message *message)
{
  const Peer__Grant *wire = frame->grant;
  struct message_grant *grant = &message->u.grant;
  size_t i;
  int rc;

  if (wire->lease_ms > PEERCODEC_LEASE_MS_MAX)
    return ERR_PROTOCOL;
  grant->lessor_incarnation = wire->lessor_incarnation;
  grant->lease_ms = wire->lease_ms;
  grant->heartbeat_sequence = wire->heartbeat_sequence;
  rc = items_new ((void **)&grant->items, wire->n_items, sizeof *grant->items);
  if (rc != 0)
    return rc;
  grant->item_count = wire->n_items;
  for (i = 0; i < wire->n_items; i++)
    {
      grant->items[i].upstream_id = wire->items[i]->upstream_id;
      grant->items[i].sequence = wire->items[i]->sequence;
      grant->items[i].slots = wire->items[i]->slots;
    }
  return 0;
}

static int
decode_hold (const Peer__Frame *frame, struct message *message)
{
  const Peer__Hold *wire = frame->hold;
  struct message_hold *hold = &message->u.hold;
  size_t i;
  int rc;

  hold->lessor_incarnation = wire->lessor_incarnation;
  rc = items_new ((void **)&hold->items, wire->n_items, sizeof *hold->items);
  if (rc != 0)
    return rc;
  hold->item_count = wire->n_items;
  for (i = 0; i < wire->n_items; i++)
    {
      if (wire->items[i]->busy > wire->items[i]->capacity)
        return ERR_PROTOCOL;
      hold->items[i].upstream_id = wire->items[i]->upstream_id;
      hold->items[i].sequence = wire->items[i]->sequence;
      hold->items[i].capacity = wire->items[i]->capacity;
      hold->items[i].busy = wire->items[i]->busy;
    }
  return 0;
}

static int
decode_config_request (const Peer__Frame *frame, struct message *message)
{
  message->u.config_request.since_index = frame->config_request->since_index;
  return 0;
}

static int
decode_config (const Peer__Frame *frame, struct message *message)
{
  const Peer__Config *wire = frame->config;
  struct message_config *config = &message->u.config;
  size_t i;
  int rc;

  config->newest_index = wire->newest_index;
  config->complete = wire->complete != 0;
  rc = items_new ((void **)&config->objects, wire->n_objects,
                  sizeof *config->objects);
  if (rc != 0)
    return rc;
  config->object_count = wire->n_objects;
  for (i = 0; rc == 0 && i < wire->n_objects; i++)
    rc = decode_object (wire->objects[i], &config->objects[i]);
  return rc;
}

static int
decode_object (const Peer__Object *wire, struct message_object *object)
{
  if (copy_name (object->key, sizeof object->key, wire->key, 1) != 0
      || wire->value.len > PLATFORM_VALUE_MAX
      || (wire->deleted == 0 && wire->value.len == 0))
    return ERR_PROTOCOL;
  object->index = wire->index;
  object->deleted = wire->deleted != 0;
  if (wire->value.len == 0 || wire->value.data == NULL)
    return 0;
  if (memchr (wire->value.data, '\0', wire->value.len) != NULL)
    return ERR_PROTOCOL;
  object->value = malloc (wire->value.len + 1);
  if (object->value == NULL)
    return ERR_NO_MEMORY;
  memcpy (object->value, wire->value.data, wire->value.len);
  object->value[wire->value.len] = '\0';
  object->value_size = wire->value.len;
  return 0;
}
