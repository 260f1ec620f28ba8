/**
 * @file peercodec_decode.c
 * Decoder of messages between instances.
 */
#include "protocol/kvstore.h"
#include "protocol/peer.pb-c.h"
#include "protocol/peercodec.h"
#include "state/err.h"
#include <stdlib.h>
#include <string.h>

/* Columns of a row, including the pair's index. */
#define HEARTBEAT_COLUMNS  3
#define ACCOUNT_COLUMNS    4 /* without the pair's index */
#define GRANT_COLUMNS      3
#define HOLD_COLUMNS       4
#define SUSPECT_COLUMNS    5
#define STREAM_COLUMNS     5
#define LOAD_COLUMNS       3
#define LOAD_COUNT_COLUMNS 2
#define PAIRS_MIN          64 /* initial capacity of a dictionary */
/* Bytes that protobuf-c may allocate for a frame.  An empty entry takes two
   bytes of the frame and a hundred times as much when it is unpacked; the
   largest configuration takes three quarters of this. */
#define UNPACKED_MAX (4 * (size_t)MESSAGE_FRAME_MAX)

/** A dictionary entry, with the counters last received for it as the sender's
    own account. */
struct peercodec_decoder_pair
{
  uint64_t first_id;
  uint64_t second_id;
  uint64_t charged;
  uint64_t refunded;
  uint64_t floor;
  uint64_t cost;
};

/** Rows of a message, which are flattened on the wire. */
struct rows
{
  struct peercodec_decoder *decoder;
  const uint64_t *items;
  size_t columns;
  size_t count;
};

typedef int (*decode_fn) (struct peercodec_decoder *decoder,
                          const Peer__Frame *frame, struct message *message);

static void *allocate_unpacked (void *left, size_t size);
static void free_unpacked (void *left, void *pointer);
static int decode_hello (struct peercodec_decoder *decoder,
                         const Peer__Frame *frame, struct message *message);
static int decode_proof (struct peercodec_decoder *decoder,
                         const Peer__Frame *frame, struct message *message);
static int decode_heartbeat (struct peercodec_decoder *decoder,
                             const Peer__Frame *frame,
                             struct message *message);
static int decode_accounts (struct peercodec_decoder *decoder,
                            const Peer__Frame *frame, struct message *message);
static int decode_grant (struct peercodec_decoder *decoder,
                         const Peer__Frame *frame, struct message *message);
static int decode_hold (struct peercodec_decoder *decoder,
                        const Peer__Frame *frame, struct message *message);
static int decode_position (uint64_t packed, bool exact, const char *era,
                            const char *revision,
                            struct store_position *position);
static int decode_config_request (struct peercodec_decoder *decoder,
                                  const Peer__Frame *frame,
                                  struct message *message);
static int decode_config (struct peercodec_decoder *decoder,
                          const Peer__Frame *frame, struct message *message);
static int decode_addresses (struct peercodec_decoder *decoder,
                             const Peer__Frame *frame,
                             struct message *message);
static int decode_load (struct peercodec_decoder *decoder,
                        const Peer__Frame *frame, struct message *message);
static int decode_suspects (const Peer__Load *wire, struct message_load *load);
static int decode_streams (struct peercodec_decoder *decoder,
                           const Peer__Frame *frame, struct message *message);
static int decode_limit (struct peercodec_decoder *decoder,
                         const Peer__Frame *frame, struct message *message);
static int decode_object (const Peer__Object *wire,
                          struct message_object *object);
static int copy_printable (char *out, size_t size, const char *text,
                           size_t size_min);
static int allocate_items (void **out, size_t count, size_t size);
static int add_pairs (struct peercodec_decoder *decoder, const uint64_t *ids,
                      size_t count);
static int rows_init (struct rows *rows, struct peercodec_decoder *decoder,
                      const uint64_t *items, size_t count, size_t columns);
static struct peercodec_decoder_pair *row_pair (const struct rows *rows,
                                                size_t row);
static uint64_t cell (const struct rows *rows, size_t row, size_t column);
static int cell_u32 (const struct rows *rows, size_t row, size_t column,
                     uint32_t *out);
static int account_row (const struct rows *rows, size_t row, uint32_t columns,
                        bool own, struct ledger_entry *entry);
static int add_increment (uint64_t *last, uint64_t increment);

static const struct
{
  enum message_kind kind;
  decode_fn decode;
} decoders[] = {
  [PEER__FRAME__BODY_HELLO] = { MESSAGE_HELLO, decode_hello },
  [PEER__FRAME__BODY_PROOF] = { MESSAGE_PROOF, decode_proof },
  [PEER__FRAME__BODY_HEARTBEAT] = { MESSAGE_HEARTBEAT, decode_heartbeat },
  [PEER__FRAME__BODY_ACCOUNTS] = { MESSAGE_ACCOUNTS, decode_accounts },
  [PEER__FRAME__BODY_GRANT] = { MESSAGE_GRANT, decode_grant },
  [PEER__FRAME__BODY_HOLD] = { MESSAGE_HOLD, decode_hold },
  [PEER__FRAME__BODY_CONFIG_REQUEST]
  = { MESSAGE_CONFIG_REQUEST, decode_config_request },
  [PEER__FRAME__BODY_CONFIG] = { MESSAGE_CONFIG, decode_config },
  [PEER__FRAME__BODY_ADDRESSES] = { MESSAGE_ADDRESSES, decode_addresses },
  [PEER__FRAME__BODY_LOAD] = { MESSAGE_LOAD, decode_load },
  [PEER__FRAME__BODY_LIMIT] = { MESSAGE_LIMIT, decode_limit },
  [PEER__FRAME__BODY_STREAMS] = { MESSAGE_STREAMS, decode_streams },
};

void
peercodec_decoder_finish (struct peercodec_decoder *decoder)
{
  free (decoder->pairs);
}

int
peercodec_decode (struct peercodec_decoder *decoder, const uint8_t *data,
                  size_t size, struct message *message)
{
  size_t left = UNPACKED_MAX;
  ProtobufCAllocator allocator = { .alloc = allocate_unpacked,
                                   .free = free_unpacked,
                                   .allocator_data = &left };
  Peer__Frame *frame;
  int rc = ERR_PROTOCOL;

  if (size > MESSAGE_FRAME_MAX)
    return ERR_TOO_LARGE;
  frame = peer__frame__unpack (&allocator, size, data);
  if (frame == NULL)
    return ERR_PROTOCOL;
  memset (message, 0, sizeof *message);
  if (frame->body_case > PEER__FRAME__BODY__NOT_SET
      && (size_t)frame->body_case < sizeof decoders / sizeof decoders[0])
    {
      message->kind = decoders[frame->body_case].kind;
      rc = decoders[frame->body_case].decode (decoder, frame, message);
    }
  peer__frame__free_unpacked (frame, &allocator);
  if (rc != 0)
    message_finish (message);
  return rc;
}

static void *
allocate_unpacked (void *left, size_t size)
{
  if (size > *(size_t *)left)
    return NULL;
  *(size_t *)left -= size;
  return malloc (size);
}

static void
free_unpacked (void *left, void *pointer)
{
  (void)left;
  free (pointer);
}

/** Allocates an array; leaves `out` NULL when it is empty. */
static int
allocate_items (void **out, size_t count, size_t size)
{
  if (count == 0)
    return 0;
  if (count > PEERCODEC_ITEMS_MAX)
    return ERR_TOO_LARGE;
  *out = calloc (count, size);
  return *out != NULL ? 0 : ERR_NO_MEMORY;
}

/** Appends pairs, flattened in `ids`, to the dictionary. */
static int
add_pairs (struct peercodec_decoder *decoder, const uint64_t *ids,
           size_t count)
{
  const size_t total = decoder->pair_count + count / 2;
  struct peercodec_decoder_pair *pairs;
  size_t capacity = decoder->pair_capacity;
  size_t i;

  if (count % 2 != 0 || count / 2 > PEERCODEC_PAIRS_MAX
      || total > PEERCODEC_PAIRS_MAX)
    return ERR_PROTOCOL;
  while (capacity < total)
    capacity = capacity == 0 ? PAIRS_MIN : 2 * capacity;
  if (capacity > decoder->pair_capacity)
    {
      pairs = realloc (decoder->pairs, capacity * sizeof *pairs);
      if (pairs == NULL)
        return ERR_NO_MEMORY;
      decoder->pairs = pairs;
      decoder->pair_capacity = capacity;
    }
  for (i = 0; i < count; i += 2)
    decoder->pairs[decoder->pair_count++]
        = (struct peercodec_decoder_pair){ .first_id = ids[i],
                                           .second_id = ids[i + 1] };
  return 0;
}

static int
rows_init (struct rows *rows, struct peercodec_decoder *decoder,
           const uint64_t *items, size_t count, size_t columns)
{
  rows->decoder = decoder;
  rows->items = items;
  rows->columns = columns;
  rows->count = count / columns;
  if (count % columns != 0 || rows->count > PEERCODEC_ITEMS_MAX)
    return ERR_PROTOCOL;
  return 0;
}

/** @return the dictionary entry of a row; NULL when its index is invalid. */
static struct peercodec_decoder_pair *
row_pair (const struct rows *rows, size_t row)
{
  uint64_t index = cell (rows, row, 0);

  return index < rows->decoder->pair_count ? &rows->decoder->pairs[index]
                                           : NULL;
}

static uint64_t
cell (const struct rows *rows, size_t row, size_t column)
{
  return rows->items[row * rows->columns + column];
}

/** Reads a cell; fails when it does not fit 32 bits. */
static int
cell_u32 (const struct rows *rows, size_t row, size_t column, uint32_t *out)
{
  uint64_t value = cell (rows, row, column);

  *out = (uint32_t)value;
  return value <= UINT32_MAX ? 0 : ERR_PROTOCOL;
}

/** Copies a text that must be printable ASCII without spaces. */
static int
copy_printable (char *out, size_t size, const char *text, size_t size_min)
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
decode_hello (struct peercodec_decoder *decoder, const Peer__Frame *frame,
              struct message *message)
{
  const Peer__Hello *wire = frame->hello;
  struct message_hello *hello = &message->u.hello;

  (void)decoder;
  if (wire->nonce.len != sizeof hello->nonce || wire->incarnation == 0)
    return ERR_PROTOCOL;
  hello->version = wire->version;
  hello->incarnation = wire->incarnation;
  memcpy (hello->nonce, wire->nonce.data, sizeof hello->nonce);
  if (copy_printable (hello->fleet, sizeof hello->fleet, wire->fleet, 1) != 0
      || copy_printable (hello->instance, sizeof hello->instance,
                         wire->instance, 1)
             != 0
      || copy_printable (hello->availability_zone,
                         sizeof hello->availability_zone,
                         wire->availability_zone, 0)
             != 0
      || copy_printable (hello->address, sizeof hello->address, wire->address,
                         1)
             != 0)
    return ERR_PROTOCOL;
  return 0;
}

static int
decode_proof (struct peercodec_decoder *decoder, const Peer__Frame *frame,
              struct message *message)
{
  const Peer__Proof *wire = frame->proof;

  (void)decoder;
  if (wire->hmac.len != sizeof message->u.proof)
    return ERR_PROTOCOL;
  memcpy (message->u.proof, wire->hmac.data, sizeof message->u.proof);
  return 0;
}

static int
decode_heartbeat (struct peercodec_decoder *decoder, const Peer__Frame *frame,
                  struct message *message)
{
  const Peer__Heartbeat *wire = frame->heartbeat;
  struct message_heartbeat *heartbeat = &message->u.heartbeat;
  const struct peercodec_decoder_pair *pair;
  struct message_demand *demand;
  struct rows rows;
  size_t i;
  int rc = add_pairs (decoder, wire->names, wire->n_names);

  if (rc == 0)
    rc = rows_init (&rows, decoder, wire->items, wire->n_items,
                    HEARTBEAT_COLUMNS);
  if (rc != 0 || wire->state >= MESSAGE_INSTANCE_STATE_MAX)
    return rc != 0 ? rc : ERR_PROTOCOL;
  heartbeat->sequence = wire->sequence;
  heartbeat->state = (enum message_instance_state)wire->state;
  heartbeat->config_index = wire->config_index;
  heartbeat->full = wire->full != 0;
  rc = allocate_items ((void **)&heartbeat->demands, rows.count,
                       sizeof *demand);
  heartbeat->demand_count = rc == 0 ? rows.count : 0;
  for (i = 0; rc == 0 && i < rows.count; i++)
    {
      pair = row_pair (&rows, i);
      demand = &heartbeat->demands[i];
      if (pair == NULL || cell_u32 (&rows, i, 1, &demand->waiting) != 0
          || cell_u32 (&rows, i, 2, &demand->running) != 0)
        return ERR_PROTOCOL;
      demand->customer_id = pair->first_id;
      demand->service_id = pair->second_id;
    }
  return rc;
}

static int
decode_accounts (struct peercodec_decoder *decoder, const Peer__Frame *frame,
                 struct message *message)
{
  const Peer__Accounts *wire = frame->accounts;
  struct message_accounts *accounts = &message->u.accounts;
  bool own = wire->origin_instance_id == 0;
  struct rows rows;
  size_t i;
  int rc = add_pairs (decoder, wire->names, wire->n_names);

  if (rc == 0)
    rc = rows_init (&rows, decoder, wire->items, wire->n_items,
                    1 + (size_t)__builtin_popcount (wire->columns));
  if (rc != 0 || wire->columns >= 1U << ACCOUNT_COLUMNS)
    return rc != 0 ? rc : ERR_PROTOCOL;
  accounts->origin.instance_id
      = own ? decoder->sender.instance_id : wire->origin_instance_id;
  accounts->origin.incarnation
      = own ? decoder->sender.incarnation : wire->origin_incarnation;
  rc = allocate_items ((void **)&accounts->entries, rows.count,
                       sizeof *accounts->entries);
  accounts->entry_count = rc == 0 ? rows.count : 0;
  for (i = 0; rc == 0 && i < rows.count; i++)
    rc = account_row (&rows, i, wire->columns, own, &accounts->entries[i]);
  return rc;
}

/** @param columns  bit mask of the columns on the wire. */
static int
account_row (const struct rows *rows, size_t row, uint32_t columns, bool own,
             struct ledger_entry *entry)
{
  struct peercodec_decoder_pair *pair = row_pair (rows, row);
  struct peercodec_decoder_pair values = { 0 };
  uint64_t *const fields[ACCOUNT_COLUMNS] = {
    &values.charged,
    &values.refunded,
    &values.floor,
    &values.cost,
  };
  size_t column = 1;
  size_t i;

  if (pair == NULL)
    return ERR_PROTOCOL;
  if (own)
    values = *pair;
  for (i = 0; i < ACCOUNT_COLUMNS; i++)
    if ((columns & 1U << i) != 0
        && add_increment (fields[i], cell (rows, row, column++)) != 0)
      return ERR_PROTOCOL;
  if (values.refunded > values.charged)
    return ERR_PROTOCOL;
  if (own)
    *pair = values;
  *entry = (struct ledger_entry){ .customer_id = pair->first_id,
                                  .service_id = pair->second_id,
                                  .charged = values.charged,
                                  .refunded = values.refunded,
                                  .floor = values.floor,
                                  .cost = values.cost };
  return 0;
}

static int
add_increment (uint64_t *last, uint64_t increment)
{
  return __builtin_add_overflow (*last, increment, last) ? ERR_PROTOCOL : 0;
}

static int
decode_grant (struct peercodec_decoder *decoder, const Peer__Frame *frame,
              struct message *message)
{
  const Peer__Grant *wire = frame->grant;
  struct message_grant *grant = &message->u.grant;
  const struct peercodec_decoder_pair *pair;
  struct rows rows;
  size_t i;
  int rc = add_pairs (decoder, wire->names, wire->n_names);

  if (rc == 0)
    rc = rows_init (&rows, decoder, wire->items, wire->n_items, GRANT_COLUMNS);
  if (rc != 0 || wire->lease_ms > PEERCODEC_LEASE_MS_MAX)
    return rc != 0 ? rc : ERR_PROTOCOL;
  grant->lessor_incarnation = wire->lessor_incarnation != 0
                                  ? wire->lessor_incarnation
                                  : decoder->sender.incarnation;
  grant->lease_ms = wire->lease_ms;
  grant->heartbeat_sequence = wire->heartbeat_sequence;
  rc = allocate_items ((void **)&grant->items, rows.count,
                       sizeof *grant->items);
  grant->item_count = rc == 0 ? rows.count : 0;
  for (i = 0; rc == 0 && i < rows.count; i++)
    {
      pair = row_pair (&rows, i);
      if (pair == NULL || cell_u32 (&rows, i, 2, &grant->items[i].slots))
        return ERR_PROTOCOL;
      grant->items[i].upstream_id = pair->first_id;
      grant->items[i].sequence = cell (&rows, i, 1);
    }
  return rc;
}

static int
decode_hold (struct peercodec_decoder *decoder, const Peer__Frame *frame,
             struct message *message)
{
  const Peer__Hold *wire = frame->hold;
  struct message_hold *hold = &message->u.hold;
  const struct peercodec_decoder_pair *pair;
  struct message_hold_item *item;
  struct rows rows;
  size_t i;
  int rc = add_pairs (decoder, wire->names, wire->n_names);

  if (rc == 0)
    rc = rows_init (&rows, decoder, wire->items, wire->n_items, HOLD_COLUMNS);
  if (rc != 0)
    return rc;
  hold->lessor_incarnation = wire->lessor_incarnation != 0
                                 ? wire->lessor_incarnation
                                 : decoder->receiver_incarnation;
  rc = allocate_items ((void **)&hold->items, rows.count, sizeof *item);
  hold->item_count = rc == 0 ? rows.count : 0;
  for (i = 0; rc == 0 && i < rows.count; i++)
    {
      pair = row_pair (&rows, i);
      item = &hold->items[i];
      if (pair == NULL || cell_u32 (&rows, i, 2, &item->capacity) != 0
          || cell_u32 (&rows, i, 3, &item->busy) != 0
          || item->busy > item->capacity)
        return ERR_PROTOCOL;
      item->upstream_id = pair->first_id;
      item->sequence = cell (&rows, i, 1);
    }
  return rc;
}

/* Reads the rows of a subject of which instances are counted. */
static int
decode_counts (struct rows *rows, enum message_subject subject,
               struct message_load_item *items)
{
  const struct peercodec_decoder_pair *pair;
  size_t i;

  for (i = 0; i < rows->count; i++)
    {
      pair = row_pair (rows, i);
      if (pair == NULL || cell_u32 (rows, i, 1, &items[i].requests) != 0)
        return ERR_PROTOCOL;
      items[i].id = pair->first_id;
      items[i].subject = subject;
    }
  return 0;
}

static int
decode_load (struct peercodec_decoder *decoder, const Peer__Frame *frame,
             struct message *message)
{
  const Peer__Load *wire = frame->load;
  struct message_load *load = &message->u.load;
  const struct peercodec_decoder_pair *pair;
  struct message_load_item *item;
  struct rows rows;
  struct rows ejected;
  struct rows out;
  size_t count;
  size_t i;
  int rc = add_pairs (decoder, wire->names, wire->n_names);

  if (rc == 0)
    rc = rows_init (&rows, decoder, wire->items, wire->n_items, LOAD_COLUMNS);
  if (rc == 0)
    rc = rows_init (&ejected, decoder, wire->ejected, wire->n_ejected,
                    LOAD_COUNT_COLUMNS);
  if (rc == 0)
    rc = rows_init (&out, decoder, wire->out_of_rotation,
                    wire->n_out_of_rotation, LOAD_COUNT_COLUMNS);
  if (rc != 0)
    return rc;
  rc = decode_position (wire->store_index, wire->store_exact != 0,
                        wire->store_era, wire->store_revision,
                        &load->store_position);
  if (rc != 0)
    return rc;
  load->age_ms = wire->age_ms;
  load->sent_ms = wire->sent_ms;
  load->echo_ms = wire->echo_ms;
  load->asks = wire->asks;
  count = rows.count + ejected.count + out.count;
  rc = allocate_items ((void **)&load->items, count, sizeof *item);
  load->item_count = rc == 0 ? count : 0;
  for (i = 0; rc == 0 && i < rows.count; i++)
    {
      pair = row_pair (&rows, i);
      item = &load->items[i];
      if (pair == NULL || pair->second_id >= MESSAGE_SUBJECT_EJECTED
          || cell_u32 (&rows, i, 1, &item->requests) != 0)
        return ERR_PROTOCOL;
      item->id = pair->first_id;
      item->subject = (enum message_subject)pair->second_id;
      item->tokens = cell (&rows, i, 2);
    }
  if (rc == 0)
    rc = decode_counts (&ejected, MESSAGE_SUBJECT_EJECTED,
                        load->items + rows.count);
  if (rc == 0)
    rc = decode_counts (&out, MESSAGE_SUBJECT_OUT,
                        load->items + rows.count + ejected.count);
  return rc == 0 ? decode_suspects (wire, load) : rc;
}

static int
decode_streams (struct peercodec_decoder *decoder, const Peer__Frame *frame,
                struct message *message)
{
  const Peer__Streams *wire = frame->streams;
  struct message_streams *streams = &message->u.streams;
  const size_t count = wire->n_rows / STREAM_COLUMNS;
  const uint64_t *cells = wire->rows;
  size_t i;
  int rc;

  (void)decoder;
  if (wire->n_rows % STREAM_COLUMNS != 0)
    return ERR_PROTOCOL;
  rc = allocate_items ((void **)&streams->rows, count, sizeof *streams->rows);
  if (rc != 0)
    return rc;
  streams->count = count;
  for (i = 0; i < count; i++, cells += STREAM_COLUMNS)
    {
      if (cells[4] > UINT32_MAX)
        return ERR_PROTOCOL;
      streams->rows[i]
          = (struct stream_builds_row){ .key = cells[0],
                                        .service_id = cells[1],
                                        .build = cells[2],
                                        .upstream_id = cells[3],
                                        .ttl_ms = (uint32_t)cells[4] };
    }
  return 0;
}

static int
decode_suspects (const Peer__Load *wire, struct message_load *load)
{
  const size_t count = wire->n_suspects / SUSPECT_COLUMNS;
  const uint64_t *cells = wire->suspects;
  size_t i;
  int rc;

  if (wire->n_suspects % SUSPECT_COLUMNS != 0)
    return ERR_PROTOCOL;
  rc = allocate_items ((void **)&load->suspects, count,
                       sizeof *load->suspects);
  if (rc != 0)
    return rc;
  load->suspect_count = count;
  for (i = 0; i < count; i++, cells += SUSPECT_COLUMNS)
    {
      if (cells[4] > UINT32_MAX)
        return ERR_PROTOCOL;
      load->suspects[i] = (struct quarantine_row){
        .key = { cells[0], cells[1] },
        .generation = (uint32_t)(cells[2] >> 32),
        .trials = (uint32_t)cells[2],
        .upstream_id = cells[3],
        .crashes = (uint32_t)cells[4],
      };
    }
  return 0;
}

static int
decode_limit (struct peercodec_decoder *decoder, const Peer__Frame *frame,
              struct message *message)
{
  const Peer__Limit *wire = frame->limit;

  (void)decoder;
  /* A question without a limit could not be answered. */
  if (wire->kind >= MESSAGE_LIMIT_KIND_MAX
      || (wire->kind == MESSAGE_LIMIT_ASK && wire->permille == 0))
    return ERR_PROTOCOL;
  message->u.limit = (struct message_limit){
    .kind = (enum message_limit_kind)wire->kind,
    .upstream_id = wire->upstream_id,
    .instance_id = wire->instance_id,
    .permille = wire->permille,
    .preferred = wire->preferred != 0,
    .ms = wire->ms,
  };
  return 0;
}

/* @return 0 or ERR_PROTOCOL. */
static int
decode_position (uint64_t packed, bool exact, const char *era,
                 const char *revision, struct store_position *position)
{
  if (*era == '\0' && *revision == '\0')
    {
      *position = store_position_unpack (packed);
      position->packed = !exact;
      return 0;
    }
  memset (position, 0, sizeof *position);
  return digits_parse (&position->era, era, strlen (era)) == 0
                 && digits_parse (&position->revision, revision,
                                  strlen (revision))
                        == 0
             ? 0
             : ERR_PROTOCOL;
}

static int
decode_config_request (struct peercodec_decoder *decoder,
                       const Peer__Frame *frame, struct message *message)
{
  (void)decoder;
  message->u.config_request.since_index = frame->config_request->since_index;
  return 0;
}

static int
decode_config (struct peercodec_decoder *decoder, const Peer__Frame *frame,
               struct message *message)
{
  const Peer__Config *wire = frame->config;
  struct message_config *config = &message->u.config;
  size_t i;
  int rc;

  (void)decoder;
  config->newest_index = wire->newest_index;
  config->complete = wire->complete != 0;
  rc = decode_position (wire->newest_index, wire->store_exact != 0,
                        wire->store_era, wire->store_revision,
                        &config->newest_position);
  if (rc == 0)
    rc = allocate_items ((void **)&config->objects, wire->n_objects,
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
  if (copy_printable (object->key, sizeof object->key, wire->key, 1) != 0
      || wire->value.len > KVSTORE_VALUE_MAX
      || (wire->deleted == 0 && wire->value.len == 0))
    return ERR_PROTOCOL;
  object->index = wire->index;
  if (decode_position (wire->index, wire->store_exact != 0, wire->store_era,
                       wire->store_revision, &object->position)
      != 0)
    return ERR_PROTOCOL;
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

static int
decode_addresses (struct peercodec_decoder *decoder, const Peer__Frame *frame,
                  struct message *message)
{
  const Peer__Addresses *wire = frame->addresses;
  struct message_addresses *addresses = &message->u.addresses;
  size_t i;
  int rc;

  (void)decoder;
  rc = allocate_items ((void **)&addresses->items, wire->n_addresses,
                       sizeof *addresses->items);
  addresses->count = rc == 0 ? wire->n_addresses : 0;
  for (i = 0; rc == 0 && i < addresses->count; i++)
    rc = copy_printable (addresses->items[i], sizeof *addresses->items,
                         wire->addresses[i], 1);
  return rc;
}
