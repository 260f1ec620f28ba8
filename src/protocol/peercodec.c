/**
 * @file peercodec.c
 * Encoding of messages between instances.
 */
#include "protocol/peercodec.h"
#include "protocol/peer.pb-c.h"
#include "state/err.h"
#include <stdlib.h>

/** A frame under construction; the items live in one block. */
struct encoding
{
  Peer__Frame frame;
  union
  {
    Peer__Hello hello;
    Peer__Proof proof;
    Peer__Heartbeat heartbeat;
    Peer__Accounts accounts;
    Peer__Grant grant;
    Peer__Hold hold;
    Peer__ConfigRequest config_request;
    Peer__Config config;
  } body;
  void **block; /**< pointers to items, then the items */
};

static int encode_hello (const struct message *message, struct encoding *out);
static int encode_proof (const struct message *message, struct encoding *out);
static int encode_heartbeat (const struct message *message,
                             struct encoding *out);
static int encode_accounts (const struct message *message,
                            struct encoding *out);
static int encode_grant (const struct message *message, struct encoding *out);
static int encode_hold (const struct message *message, struct encoding *out);
static int encode_config_request (const struct message *message,
                                  struct encoding *out);
static int encode_config (const struct message *message, struct encoding *out);
static void *items_new (struct encoding *out, size_t count, size_t size);
static int pack (const Peer__Frame *frame, struct peercodec_buffer *buffer);

static int (*const encoders[MESSAGE_KIND_MAX]) (const struct message *message,
                                                struct encoding *out)
    = {
        [MESSAGE_HELLO] = encode_hello,
        [MESSAGE_PROOF] = encode_proof,
        [MESSAGE_HEARTBEAT] = encode_heartbeat,
        [MESSAGE_ACCOUNTS] = encode_accounts,
        [MESSAGE_GRANT] = encode_grant,
        [MESSAGE_HOLD] = encode_hold,
        [MESSAGE_CONFIG_REQUEST] = encode_config_request,
        [MESSAGE_CONFIG] = encode_config,
      };

void
peercodec_buffer_finish (struct peercodec_buffer *buffer)
{
  free (buffer->data);
  buffer->data = NULL;
  buffer->size = 0;
  buffer->capacity = 0;
}

int
peercodec_encode (const struct message *message,
                  struct peercodec_buffer *buffer)
{
  struct encoding encoding = { .frame = PEER__FRAME__INIT };
  int rc;

  if ((unsigned int)message->kind >= MESSAGE_KIND_MAX)
    return ERR_INVALID;
  rc = encoders[message->kind](message, &encoding);
  if (rc == 0)
    rc = pack (&encoding.frame, buffer);
  free (encoding.block);
  return rc;
}

static int
pack (const Peer__Frame *frame, struct peercodec_buffer *buffer)
{
  size_t size = peer__frame__get_packed_size (frame);
  uint8_t *data;

  if (size > MESSAGE_FRAME_MAX)
    return ERR_TOO_LARGE;
  if (size > buffer->capacity)
    {
      data = realloc (buffer->data, size);
      if (data == NULL)
        return ERR_NO_MEMORY;
      buffer->data = data;
      buffer->capacity = size;
    }
  buffer->size = peer__frame__pack (frame, buffer->data);
  return 0;
}

/** Allocates `count` items and the array that points to them. */
static void *
items_new (struct encoding *out, size_t count, size_t size)
{
  uint8_t *items;
  size_t i;

  if (count > PEERCODEC_ITEMS_MAX)
    return NULL;
  out->block = calloc (count + 1, sizeof (void *) + size);
  if (out->block == NULL)
    return NULL;
  items = (uint8_t *)(out->block + count + 1);
  for (i = 0; i < count; i++)
    out->block[i] = items + i * size;
  return items;
}

static int
encode_hello (const struct message *message, struct encoding *out)
{
  const struct message_hello *hello = &message->u.hello;
  Peer__Hello *wire = &out->body.hello;

  peer__hello__init (wire);
  wire->version = hello->version;
  wire->fleet = (char *)hello->fleet;
  wire->instance = (char *)hello->instance;
  wire->availability_zone = (char *)hello->availability_zone;
  wire->address = (char *)hello->address;
  wire->incarnation = hello->incarnation;
  wire->nonce.data = (uint8_t *)hello->nonce;
  wire->nonce.len = sizeof hello->nonce;
  out->frame.body_case = PEER__FRAME__BODY_HELLO;
  out->frame.hello = wire;
  return 0;
}

static int
encode_proof (const struct message *message, struct encoding *out)
{
  Peer__Proof *wire = &out->body.proof;

  peer__proof__init (wire);
  wire->hmac.data = (uint8_t *)message->u.proof;
  wire->hmac.len = sizeof message->u.proof;
  out->frame.body_case = PEER__FRAME__BODY_PROOF;
  out->frame.proof = wire;
  return 0;
}

static int
encode_heartbeat (const struct message *message, struct encoding *out)
{
  const struct message_heartbeat *heartbeat = &message->u.heartbeat;
  Peer__Heartbeat *wire = &out->body.heartbeat;
  Peer__Demand *items
      = items_new (out, heartbeat->demand_count, sizeof *items);
  size_t i;

  if (items == NULL)
    return ERR_NO_MEMORY;
  for (i = 0; i < heartbeat->demand_count; i++)
    {
      peer__demand__init (&items[i]);
      items[i].customer_id = heartbeat->demands[i].customer_id;
      items[i].service_id = heartbeat->demands[i].service_id;
      items[i].waiting = heartbeat->demands[i].waiting;
      items[i].running = heartbeat->demands[i].running;
    }
  peer__heartbeat__init (wire);
  wire->sequence = heartbeat->sequence;
  wire->state = heartbeat->state;
  wire->config_index = heartbeat->config_index;
  wire->full = heartbeat->full;
  wire->n_demands = heartbeat->demand_count;
  wire->demands = (Peer__Demand **)out->block;
  out->frame.body_case = PEER__FRAME__BODY_HEARTBEAT;
  out->frame.heartbeat = wire;
  return 0;
}

static int
encode_accounts (const struct message *message, struct encoding *out)
{
  const struct message_accounts *accounts = &message->u.accounts;
  Peer__Accounts *wire = &out->body.accounts;
  Peer__Account *items = items_new (out, accounts->entry_count, sizeof *items);
  size_t i;

  if (items == NULL)
    return ERR_NO_MEMORY;
  for (i = 0; i < accounts->entry_count; i++)
    {
      peer__account__init (&items[i]);
      items[i].customer_id = accounts->entries[i].customer_id;
      items[i].service_id = accounts->entries[i].service_id;
      items[i].charged = accounts->entries[i].charged;
      items[i].refunded = accounts->entries[i].refunded;
      items[i].floor = accounts->entries[i].floor;
      items[i].cost = accounts->entries[i].cost;
    }
  peer__accounts__init (wire);
  wire->origin_instance_id = accounts->origin.instance_id;
  wire->origin_incarnation = accounts->origin.incarnation;
  wire->n_entries = accounts->entry_count;
  wire->entries = (Peer__Account **)out->block;
  out->frame.body_case = PEER__FRAME__BODY_ACCOUNTS;
  out->frame.accounts = wire;
  return 0;
}

static int
encode_grant (const struct message *message, struct encoding *out)
{
  const struct message_grant *grant = &message->u.grant;
  Peer__Grant *wire = &out->body.grant;
  Peer__GrantItem *items = items_new (out, grant->item_count, sizeof *items);
  size_t i;

  if (items == NULL)
    return ERR_NO_MEMORY;
  for (i = 0; i < grant->item_count; i++)
    {
      peer__grant_item__init (&items[i]);
      items[i].upstream_id = grant->items[i].upstream_id;
      items[i].sequence = grant->items[i].sequence;
      items[i].slots = grant->items[i].slots;
    }
  peer__grant__init (wire);
  wire->lessor_incarnation = grant->lessor_incarnation;
  wire->lease_ms = grant->lease_ms;
  wire->heartbeat_sequence = grant->heartbeat_sequence;
  wire->n_items = grant->item_count;
  wire->items = (Peer__GrantItem **)out->block;
  out->frame.body_case = PEER__FRAME__BODY_GRANT;
  out->frame.grant = wire;
  return 0;
}

static int
encode_hold (const struct message *message, struct encoding *out)
{
  const struct message_hold *hold = &message->u.hold;
  Peer__Hold *wire = &out->body.hold;
  Peer__HoldItem *items = items_new (out, hold->item_count, sizeof *items);
  size_t i;

  if (items == NULL)
    return ERR_NO_MEMORY;
  for (i = 0; i < hold->item_count; i++)
    {
      peer__hold_item__init (&items[i]);
      items[i].upstream_id = hold->items[i].upstream_id;
      items[i].sequence = hold->items[i].sequence;
      items[i].capacity = hold->items[i].capacity;
      items[i].busy = hold->items[i].busy;
    }
  peer__hold__init (wire);
  wire->lessor_incarnation = hold->lessor_incarnation;
  wire->n_items = hold->item_count;
  wire->items = (Peer__HoldItem **)out->block;
  out->frame.body_case = PEER__FRAME__BODY_HOLD;
  out->frame.hold = wire;
  return 0;
}

static int
encode_config_request (const struct message *message, struct encoding *out)
{
  Peer__ConfigRequest *wire = &out->body.config_request;

  peer__config_request__init (wire);
  wire->since_index = message->u.config_request.since_index;
  out->frame.body_case = PEER__FRAME__BODY_CONFIG_REQUEST;
  out->frame.config_request = wire;
  return 0;
}

static int
encode_config (const struct message *message, struct encoding *out)
{
  const struct message_config *config = &message->u.config;
  Peer__Config *wire = &out->body.config;
  Peer__Object *items = items_new (out, config->object_count, sizeof *items);
  size_t i;

  if (items == NULL)
    return ERR_NO_MEMORY;
  for (i = 0; i < config->object_count; i++)
    {
      peer__object__init (&items[i]);
      items[i].key = config->objects[i].key;
      items[i].index = config->objects[i].index;
      items[i].deleted = config->objects[i].deleted;
      items[i].value.data = (uint8_t *)config->objects[i].value;
      items[i].value.len = config->objects[i].value_size;
    }
  peer__config__init (wire);
  wire->newest_index = config->newest_index;
  wire->complete = config->complete;
  wire->n_objects = config->object_count;
  wire->objects = (Peer__Object **)out->block;
  out->frame.body_case = PEER__FRAME__BODY_CONFIG;
  out->frame.config = wire;
  return 0;
}
