/**
 * @file peercodec.c
 * Encoder of messages between instances.
 */
#include "protocol/peercodec.h"
#include "protocol/peer.pb-c.h"
#include "state/err.h"
#include "state/hash.h"
#include <stdbool.h>
#include <stdlib.h>

/* Columns of a row, including the pair's index. */
#define HEARTBEAT_COLUMNS 3
#define ACCOUNT_COLUMNS   4 /* without the pair's index */
#define GRANT_COLUMNS     3
#define HOLD_COLUMNS      4
#define LOAD_COLUMNS      3
#define SUSPECT_COLUMNS   5
#define STREAM_COLUMNS    5

/** Key of the dictionary: a pair of identifiers, as in proto/peer.proto. */
struct peercodec_key
{
  uint64_t first_id;
  uint64_t second_id;
};

/** A dictionary entry, with the counters last sent for it as the sender's own
    account. */
struct peercodec_encoder_pair
{
  struct peercodec_key key;
  uint32_t index;
  uint64_t charged;
  uint64_t refunded;
  uint64_t floor;
  uint64_t cost;
  UT_hash_handle hh;
};

/** A frame being built. */
struct frame_builder
{
  struct peercodec_encoder *encoder;
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
    Peer__Addresses addresses;
    Peer__Load load;
    Peer__Limit limit;
    Peer__Streams streams;
  } body;
  uint64_t *new_ids; /**< identifiers of new pairs, flattened */
  size_t new_id_count;
  uint64_t *items; /**< rows, flattened */
  size_t item_count;
  void **objects; /**< array of pointers, followed by the config objects */
  uint64_t *suspects;
  uint64_t *streams;
};

static int encode_hello (const struct message *message,
                         struct frame_builder *out);
static int encode_proof (const struct message *message,
                         struct frame_builder *out);
static int encode_heartbeat (const struct message *message,
                             struct frame_builder *out);
static int encode_accounts (const struct message *message,
                            struct frame_builder *out);
static int encode_grant (const struct message *message,
                         struct frame_builder *out);
static int encode_hold (const struct message *message,
                        struct frame_builder *out);
static int encode_config_request (const struct message *message,
                                  struct frame_builder *out);
static void encode_position (const struct store_position *position,
                             uint64_t *packed, char **era, char **revision,
                             protobuf_c_boolean *exact);
static int encode_config (const struct message *message,
                          struct frame_builder *out);
static int encode_addresses (const struct message *message,
                             struct frame_builder *out);
static int encode_load (const struct message *message,
                        struct frame_builder *out);
static int encode_streams (const struct message *message,
                           struct frame_builder *out);
static int encode_suspects (const struct message_load *load,
                            struct frame_builder *out);
static int encode_limit (const struct message *message,
                         struct frame_builder *out);
static int allocate_rows (struct frame_builder *out, size_t count,
                          size_t columns);
static struct peercodec_encoder_pair *
start_row (struct frame_builder *out, uint64_t first_id, uint64_t second_id);
static void add_cell (struct frame_builder *out, uint64_t value);
static uint64_t take_increase (uint64_t *last, uint64_t value);
static void compute_account_values (struct peercodec_encoder_pair *pair,
                                    const struct ledger_entry *entry, bool own,
                                    uint64_t values[ACCOUNT_COLUMNS]);
static uint32_t drop_zero_columns (struct frame_builder *out);
static int pack (const Peer__Frame *frame, struct peercodec_buffer *buffer);

static int (*const encoders[MESSAGE_KIND_MAX]) (const struct message *message,
                                                struct frame_builder *out)
    = {
        [MESSAGE_HELLO] = encode_hello,
        [MESSAGE_PROOF] = encode_proof,
        [MESSAGE_HEARTBEAT] = encode_heartbeat,
        [MESSAGE_ACCOUNTS] = encode_accounts,
        [MESSAGE_GRANT] = encode_grant,
        [MESSAGE_HOLD] = encode_hold,
        [MESSAGE_CONFIG_REQUEST] = encode_config_request,
        [MESSAGE_CONFIG] = encode_config,
        [MESSAGE_ADDRESSES] = encode_addresses,
        [MESSAGE_LOAD] = encode_load,
        [MESSAGE_LIMIT] = encode_limit,
        [MESSAGE_STREAMS] = encode_streams,
      };

void
peercodec_buffer_finish (struct peercodec_buffer *buffer)
{
  free (buffer->data);
  buffer->data = NULL;
  buffer->size = 0;
  buffer->capacity = 0;
}

void
peercodec_encoder_finish (struct peercodec_encoder *encoder)
{
  struct peercodec_encoder_pair *pair = encoder->pairs;
  struct peercodec_encoder_pair *next;

  HASH_CLEAR (hh, encoder->pairs);
  for (; pair != NULL; pair = next)
    {
      next = pair->hh.next;
      free (pair);
    }
}

int
peercodec_encode (struct peercodec_encoder *encoder,
                  const struct message *message,
                  struct peercodec_buffer *buffer)
{
  struct frame_builder builder
      = { .encoder = encoder, .frame = PEER__FRAME__INIT };
  int rc;

  if ((unsigned int)message->kind >= MESSAGE_KIND_MAX)
    return ERR_INVALID;
  rc = encoders[message->kind](message, &builder);
  if (rc == 0)
    rc = pack (&builder.frame, buffer);
  free (builder.new_ids);
  free (builder.items);
  free (builder.objects);
  free (builder.suspects);
  free (builder.streams);
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

/** Allocates rows, and room for one new pair in each. */
static int
allocate_rows (struct frame_builder *out, size_t count, size_t columns)
{
  if (count > PEERCODEC_ITEMS_MAX)
    return ERR_TOO_LARGE;
  out->new_ids = calloc (2 * count + 1, sizeof *out->new_ids);
  out->items = calloc (columns * count + 1, sizeof *out->items);
  return out->new_ids != NULL && out->items != NULL ? 0 : ERR_NO_MEMORY;
}

/** Starts a row with the index of a pair, and adds the pair to the dictionary
    if it is new.  @return the entry, or NULL when the dictionary is full or
    memory runs out. */
static struct peercodec_encoder_pair *
start_row (struct frame_builder *out, uint64_t first_id, uint64_t second_id)
{
  const struct peercodec_key key = { first_id, second_id };
  struct peercodec_encoder *encoder = out->encoder;
  struct peercodec_encoder_pair *pair = NULL;

  HASH_FIND (hh, encoder->pairs, &key, sizeof key, pair);
  if (pair == NULL && HASH_COUNT (encoder->pairs) < PEERCODEC_PAIRS_MAX)
    {
      pair = calloc (1, sizeof *pair);
      if (pair == NULL)
        return NULL;
      pair->key = key;
      pair->index = HASH_COUNT (encoder->pairs);
      HASH_ADD (hh, encoder->pairs, key, sizeof pair->key, pair);
      out->new_ids[out->new_id_count++] = first_id;
      out->new_ids[out->new_id_count++] = second_id;
    }
  if (pair != NULL)
    add_cell (out, pair->index);
  return pair;
}

static void
add_cell (struct frame_builder *out, uint64_t value)
{
  out->items[out->item_count++] = value;
}

/** Returns the increase since the last value sent and records it; 0 when the
    value went down. */
static uint64_t
take_increase (uint64_t *last, uint64_t value)
{
  uint64_t increment = value > *last ? value - *last : 0;

  *last += increment;
  return increment;
}

static int
encode_hello (const struct message *message, struct frame_builder *out)
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
encode_proof (const struct message *message, struct frame_builder *out)
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
encode_heartbeat (const struct message *message, struct frame_builder *out)
{
  const struct message_heartbeat *heartbeat = &message->u.heartbeat;
  Peer__Heartbeat *wire = &out->body.heartbeat;
  size_t i;
  int rc = allocate_rows (out, heartbeat->demand_count, HEARTBEAT_COLUMNS);

  for (i = 0; rc == 0 && i < heartbeat->demand_count; i++)
    {
      if (start_row (out, heartbeat->demands[i].customer_id,
                     heartbeat->demands[i].service_id)
          == NULL)
        return ERR_FULL;
      add_cell (out, heartbeat->demands[i].waiting);
      add_cell (out, heartbeat->demands[i].running);
    }
  peer__heartbeat__init (wire);
  wire->sequence = heartbeat->sequence;
  wire->state = heartbeat->state;
  wire->config_index = heartbeat->config_index;
  wire->full = heartbeat->full;
  wire->n_names = out->new_id_count;
  wire->names = out->new_ids;
  wire->n_items = out->item_count;
  wire->items = out->items;
  out->frame.body_case = PEER__FRAME__BODY_HEARTBEAT;
  out->frame.heartbeat = wire;
  return rc;
}

/** Computes the values of a row: increments for the sender's own accounts,
    totals for others. */
static void
compute_account_values (struct peercodec_encoder_pair *pair,
                        const struct ledger_entry *entry, bool own,
                        uint64_t values[ACCOUNT_COLUMNS])
{
  struct peercodec_encoder_pair zero = { .index = 0 };
  struct peercodec_encoder_pair *last = own ? pair : &zero;

  values[0] = take_increase (&last->charged, entry->charged);
  values[1] = take_increase (&last->refunded, entry->refunded);
  values[2] = take_increase (&last->floor, entry->floor);
  values[3] = take_increase (&last->cost, entry->cost);
}

/** Removes the columns that are zero in all rows.
    @return bit mask of the remaining columns. */
static uint32_t
drop_zero_columns (struct frame_builder *out)
{
  const size_t width = ACCOUNT_COLUMNS + 1;
  size_t count = out->item_count;
  uint32_t columns = 0;
  size_t i;

  for (i = 0; i < count; i++)
    if (i % width != 0 && out->items[i] != 0)
      columns |= 1U << (i % width - 1);
  out->item_count = 0;
  for (i = 0; i < count; i++)
    if (i % width == 0 || (columns & 1U << (i % width - 1)) != 0)
      add_cell (out, out->items[i]);
  return columns;
}

static int
encode_accounts (const struct message *message, struct frame_builder *out)
{
  const struct message_accounts *accounts = &message->u.accounts;
  const struct ledger_origin *sender = &out->encoder->sender;
  Peer__Accounts *wire = &out->body.accounts;
  bool own = accounts->origin.instance_id == sender->instance_id
             && accounts->origin.incarnation == sender->incarnation;
  struct peercodec_encoder_pair *pair;
  uint64_t values[ACCOUNT_COLUMNS];
  size_t column;
  size_t i;
  int rc = allocate_rows (out, accounts->entry_count, ACCOUNT_COLUMNS + 1);

  for (i = 0; rc == 0 && i < accounts->entry_count; i++)
    {
      pair = start_row (out, accounts->entries[i].customer_id,
                        accounts->entries[i].service_id);
      if (pair == NULL)
        return ERR_FULL;
      compute_account_values (pair, &accounts->entries[i], own, values);
      for (column = 0; column < ACCOUNT_COLUMNS; column++)
        add_cell (out, values[column]);
    }
  peer__accounts__init (wire);
  wire->origin_instance_id = own ? 0 : accounts->origin.instance_id;
  wire->origin_incarnation = own ? 0 : accounts->origin.incarnation;
  wire->columns = rc == 0 ? drop_zero_columns (out) : 0;
  wire->n_names = out->new_id_count;
  wire->names = out->new_ids;
  wire->n_items = out->item_count;
  wire->items = out->items;
  out->frame.body_case = PEER__FRAME__BODY_ACCOUNTS;
  out->frame.accounts = wire;
  return rc;
}

static int
encode_grant (const struct message *message, struct frame_builder *out)
{
  const struct message_grant *grant = &message->u.grant;
  Peer__Grant *wire = &out->body.grant;
  size_t i;
  int rc = allocate_rows (out, grant->item_count, GRANT_COLUMNS);

  for (i = 0; rc == 0 && i < grant->item_count; i++)
    {
      if (start_row (out, grant->items[i].upstream_id, 0) == NULL)
        return ERR_FULL;
      add_cell (out, grant->items[i].sequence);
      add_cell (out, grant->items[i].slots);
    }
  peer__grant__init (wire);
  if (grant->lessor_incarnation != out->encoder->sender.incarnation)
    wire->lessor_incarnation = grant->lessor_incarnation;
  wire->lease_ms = grant->lease_ms;
  wire->heartbeat_sequence = grant->heartbeat_sequence;
  wire->n_names = out->new_id_count;
  wire->names = out->new_ids;
  wire->n_items = out->item_count;
  wire->items = out->items;
  out->frame.body_case = PEER__FRAME__BODY_GRANT;
  out->frame.grant = wire;
  return rc;
}

static int
encode_hold (const struct message *message, struct frame_builder *out)
{
  const struct message_hold *hold = &message->u.hold;
  Peer__Hold *wire = &out->body.hold;
  size_t i;
  int rc = allocate_rows (out, hold->item_count, HOLD_COLUMNS);

  for (i = 0; rc == 0 && i < hold->item_count; i++)
    {
      if (start_row (out, hold->items[i].upstream_id, 0) == NULL)
        return ERR_FULL;
      add_cell (out, hold->items[i].sequence);
      add_cell (out, hold->items[i].capacity);
      add_cell (out, hold->items[i].busy);
    }
  peer__hold__init (wire);
  if (hold->lessor_incarnation != out->encoder->receiver_incarnation)
    wire->lessor_incarnation = hold->lessor_incarnation;
  wire->n_names = out->new_id_count;
  wire->names = out->new_ids;
  wire->n_items = out->item_count;
  wire->items = out->items;
  out->frame.body_case = PEER__FRAME__BODY_HOLD;
  out->frame.hold = wire;
  return rc;
}

static int
encode_config_request (const struct message *message,
                       struct frame_builder *out)
{
  Peer__ConfigRequest *wire = &out->body.config_request;

  peer__config_request__init (wire);
  wire->since_index = message->u.config_request.since_index;
  out->frame.body_case = PEER__FRAME__BODY_CONFIG_REQUEST;
  out->frame.config_request = wire;
  return 0;
}

/* A position that is known in packed form only is relayed as it came. */
static void
encode_position (const struct store_position *position, uint64_t *packed,
                 char **era, char **revision, protobuf_c_boolean *exact)
{
  if (store_position_is_none (position))
    return;
  *packed = store_position_pack (position);
  if (position->packed)
    return;
  *exact = store_position_fits (position);
  if (*exact)
    return;
  *era = (char *)digits_text (&position->era);
  *revision = (char *)digits_text (&position->revision);
}

static int
encode_config (const struct message *message, struct frame_builder *out)
{
  const struct message_config *config = &message->u.config;
  Peer__Config *wire = &out->body.config;
  Peer__Object *items;
  size_t i;

  if (config->object_count > PEERCODEC_ITEMS_MAX)
    return ERR_TOO_LARGE;
  out->objects
      = calloc (config->object_count + 1, sizeof (void *) + sizeof *items);
  if (out->objects == NULL)
    return ERR_NO_MEMORY;
  items = (Peer__Object *)(out->objects + config->object_count + 1);
  for (i = 0; i < config->object_count; i++)
    {
      peer__object__init (&items[i]);
      items[i].key = config->objects[i].key;
      items[i].index = config->objects[i].index;
      encode_position (&config->objects[i].position, &items[i].index,
                       &items[i].store_era, &items[i].store_revision,
                       &items[i].store_exact);
      items[i].deleted = config->objects[i].deleted;
      items[i].value.data = (uint8_t *)config->objects[i].value;
      items[i].value.len = config->objects[i].value_size;
      out->objects[i] = &items[i];
    }
  peer__config__init (wire);
  wire->newest_index = config->newest_index;
  encode_position (&config->newest_position, &wire->newest_index,
                   &wire->store_era, &wire->store_revision,
                   &wire->store_exact);
  wire->complete = config->complete;
  wire->n_objects = config->object_count;
  wire->objects = (Peer__Object **)out->objects;
  out->frame.body_case = PEER__FRAME__BODY_CONFIG;
  out->frame.config = wire;
  return 0;
}

static int
encode_addresses (const struct message *message, struct frame_builder *out)
{
  const struct message_addresses *addresses = &message->u.addresses;
  Peer__Addresses *wire = &out->body.addresses;
  size_t i;

  if (addresses->count > PEERCODEC_ITEMS_MAX)
    return ERR_TOO_LARGE;
  out->objects = calloc (addresses->count + 1, sizeof (void *));
  if (out->objects == NULL)
    return ERR_NO_MEMORY;
  for (i = 0; i < addresses->count; i++)
    out->objects[i] = addresses->items[i];
  peer__addresses__init (wire);
  wire->n_addresses = addresses->count;
  wire->addresses = (char **)out->objects;
  out->frame.body_case = PEER__FRAME__BODY_ADDRESSES;
  out->frame.addresses = wire;
  return 0;
}

static int
encode_limit (const struct message *message, struct frame_builder *out)
{
  const struct message_limit *limit = &message->u.limit;
  Peer__Limit *wire = &out->body.limit;

  peer__limit__init (wire);
  wire->kind = limit->kind;
  wire->upstream_id = limit->upstream_id;
  wire->instance_id = limit->instance_id;
  wire->permille = limit->permille;
  wire->preferred = limit->preferred;
  wire->ms = limit->ms;
  out->frame.body_case = PEER__FRAME__BODY_LIMIT;
  out->frame.limit = wire;
  return 0;
}

/* Suspects are rare and have identifiers that no other rows use, so they are
   sent without the dictionary. */
static int
encode_suspects (const struct message_load *load, struct frame_builder *out)
{
  uint64_t *cells;
  size_t i;

  if (load->suspect_count > PEERCODEC_ITEMS_MAX)
    return ERR_TOO_LARGE;
  out->suspects
      = calloc (SUSPECT_COLUMNS * load->suspect_count + 1, sizeof *cells);
  if (out->suspects == NULL)
    return ERR_NO_MEMORY;
  cells = out->suspects;
  for (i = 0; i < load->suspect_count; i++)
    {
      const struct quarantine_row *row = &load->suspects[i];

      *cells++ = row->key.service_id;
      *cells++ = row->key.subject;
      *cells++ = (uint64_t)row->generation << 32 | row->trials;
      *cells++ = row->upstream_id;
      *cells++ = row->crashes;
    }
  out->body.load.n_suspects = SUSPECT_COLUMNS * load->suspect_count;
  out->body.load.suspects = out->suspects;
  return 0;
}

static int
encode_streams (const struct message *message, struct frame_builder *out)
{
  const struct message_streams *streams = &message->u.streams;
  Peer__Streams *wire = &out->body.streams;
  uint64_t *cells;
  size_t i;

  if (streams->count > PEERCODEC_ITEMS_MAX)
    return ERR_TOO_LARGE;
  out->streams = calloc (STREAM_COLUMNS * streams->count + 1, sizeof *cells);
  if (out->streams == NULL)
    return ERR_NO_MEMORY;
  cells = out->streams;
  for (i = 0; i < streams->count; i++)
    {
      *cells++ = streams->rows[i].key;
      *cells++ = streams->rows[i].service_id;
      *cells++ = streams->rows[i].build;
      *cells++ = streams->rows[i].upstream_id;
      *cells++ = streams->rows[i].ttl_ms;
    }
  peer__streams__init (wire);
  wire->n_rows = STREAM_COLUMNS * streams->count;
  wire->rows = out->streams;
  out->frame.body_case = PEER__FRAME__BODY_STREAMS;
  out->frame.streams = wire;
  return 0;
}

/* Adds the rows of a subject of which instances are counted.  Their pairs are
   those of loads, as earlier versions know no other subject. */
static int
add_counts (const struct message_load *load, enum message_subject subject,
            struct frame_builder *out)
{
  size_t i;

  for (i = 0; i < load->item_count; i++)
    {
      if (load->items[i].subject != subject)
        continue;
      if (start_row (out, load->items[i].id, MESSAGE_SUBJECT_UPSTREAM) == NULL)
        return ERR_FULL;
      add_cell (out, load->items[i].requests);
    }
  return 0;
}

static int
encode_load (const struct message *message, struct frame_builder *out)
{
  const struct message_load *load = &message->u.load;
  Peer__Load *wire = &out->body.load;
  size_t load_cells;
  size_t ejected_cells;
  size_t i;
  int rc = allocate_rows (out, load->item_count, LOAD_COLUMNS);

  for (i = 0; rc == 0 && i < load->item_count; i++)
    {
      if (load->items[i].subject >= MESSAGE_SUBJECT_EJECTED)
        continue;
      if (start_row (out, load->items[i].id, load->items[i].subject) == NULL)
        return ERR_FULL;
      add_cell (out, load->items[i].requests);
      add_cell (out, load->items[i].tokens);
    }
  load_cells = out->item_count;
  if (rc == 0)
    rc = add_counts (load, MESSAGE_SUBJECT_EJECTED, out);
  ejected_cells = out->item_count;
  if (rc == 0)
    rc = add_counts (load, MESSAGE_SUBJECT_OUT, out);
  peer__load__init (wire);
  encode_position (&load->store_position, &wire->store_index, &wire->store_era,
                   &wire->store_revision, &wire->store_exact);
  wire->age_ms = load->age_ms;
  wire->sent_ms = load->sent_ms;
  wire->echo_ms = load->echo_ms;
  wire->asks = load->asks;
  wire->n_names = out->new_id_count;
  wire->names = out->new_ids;
  wire->n_items = load_cells;
  wire->items = out->items;
  wire->n_ejected = ejected_cells - load_cells;
  wire->ejected = out->items + load_cells;
  wire->n_out_of_rotation = out->item_count - ejected_cells;
  wire->out_of_rotation = out->items + ejected_cells;
  out->frame.body_case = PEER__FRAME__BODY_LOAD;
  out->frame.load = wire;
  return rc == 0 ? encode_suspects (load, out) : rc;
}
