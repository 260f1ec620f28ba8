/**
 * @file test_peercodec.c
 * Encoding and decoding of peer frames: round trips of every kind, and damaged
 * or invalid frames.
 */
#include "protocol/peer.pb-c.h"
#include "protocol/peercodec.h"
#include "state/err.h"
#include "support/memory.h"
#include "support/positions.h"
#include "support/suite.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/resource.h>

#define RANDOM_FRAMES    20000
#define RANDOM_BYTES_MAX 96
/* An eighth of the smallest gateway's memory, for one frame while it is
   decoded; three times that with the sanitizers, which take some 40 bytes more
   for each allocation and keep freed ones for a while. */
#ifdef __SANITIZE_ADDRESS__
static const long peak_max_kb = 3 * MEMORY_GATEWAY_KB / 8;
#else
static const long peak_max_kb = MEMORY_GATEWAY_KB / 8;
#endif

#define DIGITS(text)                                                          \
  {                                                                           \
    text, sizeof (text) - 1                                                   \
  }
#define PACKED(digits)                                                        \
  {                                                                           \
    .revision = DIGITS (digits), .packed = true                               \
  }

static struct message_demand demands[]
    = { { 1, 2, 3, 4 }, { UINT64_MAX, UINT64_MAX, UINT32_MAX, UINT32_MAX } };
static struct ledger_entry entries[]
    = { { 1, 2, 30, 20, 10, 5 },
        { 7, 8, UINT64_MAX, UINT64_MAX, UINT64_MAX, UINT64_MAX } };
static struct message_grant_item grants[] = { { 1, 2, 3 }, { 9, 9, 0 } };
static struct message_hold_item holds[] = { { 1, 2, 3, 3 }, { 9, 9, 4, 0 } };
static struct message_object objects[]
    = { { .key = "customer/ana",
          .index = 12,
          .value_size = 2,
          .value = (char *)"{}" },
        { .key = "service/model", .index = 13, .deleted = true } };

static char addresses[][CATALOG_ADDRESS_SIZE]
    = { "127.0.0.1:7000", "[::1]:7001" };
static struct message_load_item loads[]
    = { { 1, MESSAGE_SUBJECT_UPSTREAM, 3, 4000 },
        { 1, MESSAGE_SUBJECT_CUSTOMER, 0, UINT64_MAX },
        { 2, MESSAGE_SUBJECT_EJECTED, 5, 0 } };
static struct quarantine_row suspects[]
    = { { { 1, UINT64_MAX }, 2, 1, 0, 0 },
        { { 1, UINT64_MAX }, 2, 1, 7, UINT32_MAX } };
static struct stream_builds_row streams[]
    = { { 1, 2, 3, UINT64_MAX, 60000 }, { 2, 2, 0, 0, UINT32_MAX } };
static const struct ledger_origin sender = { 3, 4 };

static const struct message samples[] = {
  { .kind = MESSAGE_HELLO,
    .u.hello = { MESSAGE_VERSION,
                 "farm",
                 "router-1",
                 "a",
                 "127.0.0.1:7000",
                 77,
                 { 1, 2, 0, 3 } } },
  { .kind = MESSAGE_PROOF, .u.proof = { 9, 8, 0, 7 } },
  { .kind = MESSAGE_HEARTBEAT,
    .u.heartbeat = { 5, MESSAGE_INSTANCE_DRAINING, 99, true, 2, demands } },
  { .kind = MESSAGE_HEARTBEAT,
    .u.heartbeat = { 0, MESSAGE_INSTANCE_STARTING, 0, false, 0, NULL } },
  { .kind = MESSAGE_ACCOUNTS, .u.accounts = { { 3, 4 }, 2, entries } },
  { .kind = MESSAGE_ACCOUNTS, .u.accounts = { { 5, 6 }, 2, entries } },
  { .kind = MESSAGE_GRANT, .u.grant = { 4, 2000, 2, grants, 77 } },
  { .kind = MESSAGE_HOLD, .u.hold = { 4, 2, holds } },
  { .kind = MESSAGE_CONFIG_REQUEST, .u.config_request = { 41 } },
  { .kind = MESSAGE_CONFIG,
    .u.config = { .newest_index = 50,
                  .complete = true,
                  .object_count = 2,
                  .objects = objects } },
  { .kind = MESSAGE_ADDRESSES, .u.addresses = { 2, addresses } },
  { .kind = MESSAGE_LOAD,
    .u.load = { PACKED ("88"), 7, 3, loads, 2, suspects, 91, 90, true } },
  { .kind = MESSAGE_LOAD, .u.load = { .asks = false } },
  { .kind = MESSAGE_LIMIT,
    .u.limit = { MESSAGE_LIMIT_GRANTED, UINT64_MAX, 12, true, 3400, 250 } },
  { .kind = MESSAGE_STREAMS, .u.streams = { 2, streams } },
};
#define SAMPLE_COUNT (sizeof samples / sizeof samples[0])

/* One direction of a link. */
struct direction
{
  struct peercodec_encoder encoder;
  struct peercodec_decoder decoder;
  struct peercodec_buffer buffer;
};

static void
direction_init (struct direction *direction)
{
  memset (direction, 0, sizeof *direction);
  direction->encoder.sender = sender;
  direction->encoder.receiver_incarnation = 9;
  direction->decoder.sender = sender;
  direction->decoder.receiver_incarnation = 9;
}

static void
direction_finish (struct direction *direction)
{
  peercodec_encoder_finish (&direction->encoder);
  peercodec_decoder_finish (&direction->decoder);
  peercodec_buffer_finish (&direction->buffer);
}

/* Encodes as the first message of a direction. */
static void
encode_first (const struct message *message, struct peercodec_buffer *buffer)
{
  struct direction direction;

  direction_init (&direction);
  CU_ASSERT_EQUAL_FATAL (
      peercodec_encode (&direction.encoder, message, buffer), 0);
  direction_finish (&direction);
}

/* Decodes as the first message of a direction. */
static int
decode_first (const uint8_t *data, size_t size, struct message *message)
{
  struct direction direction;
  int rc;

  direction_init (&direction);
  rc = peercodec_decode (&direction.decoder, data, size, message);
  direction_finish (&direction);
  return rc;
}

static void
assert_same_content (const struct message *a, const struct message *b)
{
  switch (a->kind)
    {
    case MESSAGE_HEARTBEAT:
      CU_ASSERT_EQUAL (a->u.heartbeat.state, b->u.heartbeat.state);
      CU_ASSERT_EQUAL (a->u.heartbeat.full, b->u.heartbeat.full);
      CU_ASSERT_EQUAL_FATAL (a->u.heartbeat.demand_count,
                             b->u.heartbeat.demand_count);
      if (a->u.heartbeat.demand_count > 0)
        CU_ASSERT_EQUAL (memcmp (a->u.heartbeat.demands,
                                 b->u.heartbeat.demands, sizeof demands),
                         0);
      break;
    case MESSAGE_ACCOUNTS:
      CU_ASSERT_EQUAL (a->u.accounts.origin.incarnation,
                       b->u.accounts.origin.incarnation);
      CU_ASSERT_EQUAL_FATAL (b->u.accounts.entry_count, 2);
      CU_ASSERT_EQUAL (memcmp (entries, b->u.accounts.entries, sizeof entries),
                       0);
      break;
    case MESSAGE_CONFIG:
      CU_ASSERT_EQUAL (b->u.config.newest_index, 50);
      CU_ASSERT_TRUE (b->u.config.complete);
      CU_ASSERT_EQUAL_FATAL (b->u.config.object_count, 2);
      CU_ASSERT_STRING_EQUAL (b->u.config.objects[0].key, "customer/ana");
      CU_ASSERT_STRING_EQUAL (b->u.config.objects[0].value, "{}");
      CU_ASSERT_TRUE (b->u.config.objects[1].deleted);
      CU_ASSERT_PTR_NULL (b->u.config.objects[1].value);
      break;
    default:
      break;
    }
}

/* Encoding a decoded message yields the same bytes again. */
static void
test_round_trip (void)
{
  struct peercodec_buffer first = { 0 };
  struct peercodec_buffer second = { 0 };
  struct message message;
  size_t i;

  for (i = 0; i < SAMPLE_COUNT; i++)
    {
      encode_first (&samples[i], &first);
      CU_ASSERT_EQUAL_FATAL (decode_first (first.data, first.size, &message),
                             0);
      CU_ASSERT_EQUAL_FATAL (message.kind, samples[i].kind);
      assert_same_content (&samples[i], &message);
      encode_first (&message, &second);
      CU_ASSERT_EQUAL_FATAL (first.size, second.size);
      CU_ASSERT_EQUAL (memcmp (first.data, second.data, first.size), 0);
      message_finish (&message);
    }
  peercodec_buffer_finish (&first);
  peercodec_buffer_finish (&second);
}

/* After the first message, the sender's own accounts are sent as increments
   and identifier pairs as dictionary indexes.  The decoder restores the full
   values. */
static void
test_dictionary (void)
{
  struct ledger_entry account = { 1, 2, 1000000, 500000, 7000000, 4000 };
  struct message message
      = { .kind = MESSAGE_ACCOUNTS, .u.accounts = { sender, 1, &account } };
  struct direction direction;
  struct message got;
  size_t first_size;
  int round;

  direction_init (&direction);
  for (round = 0; round < 3; round++)
    {
      CU_ASSERT_EQUAL_FATAL (
          peercodec_encode (&direction.encoder, &message, &direction.buffer),
          0);
      if (round == 0)
        first_size = direction.buffer.size;
      else
        CU_ASSERT (direction.buffer.size < first_size / 2);
      CU_ASSERT_EQUAL_FATAL (peercodec_decode (&direction.decoder,
                                               direction.buffer.data,
                                               direction.buffer.size, &got),
                             0);
      CU_ASSERT_EQUAL (got.u.accounts.origin.incarnation, sender.incarnation);
      CU_ASSERT_EQUAL (
          memcmp (got.u.accounts.entries, &account, sizeof account), 0);
      message_finish (&got);
      account.charged += 300;
      account.refunded += 20;
    }
  direction_finish (&direction);
}

/* The second message refers to dictionary entries that only the first, which
   is not decoded, has defined. */
static void
test_unknown_dictionary_index (void)
{
  struct direction direction;
  struct message message = { .kind = MESSAGE_GRANT };
  struct message got;

  message.u.grant = (struct message_grant){ 4, 2000, 2, grants, 1 };
  direction_init (&direction);
  CU_ASSERT_EQUAL_FATAL (
      peercodec_encode (&direction.encoder, &message, &direction.buffer), 0);
  CU_ASSERT_EQUAL_FATAL (
      peercodec_encode (&direction.encoder, &message, &direction.buffer), 0);
  CU_ASSERT_EQUAL (peercodec_decode (&direction.decoder, direction.buffer.data,
                                     direction.buffer.size, &got),
                   ERR_PROTOCOL);
  direction_finish (&direction);
}

static void
test_truncation (void)
{
  struct peercodec_buffer buffer = { 0 };
  struct message message;
  uint8_t *part;
  size_t size;
  size_t i;

  for (i = 0; i < SAMPLE_COUNT; i++)
    {
      encode_first (&samples[i], &buffer);
      for (size = 0; size < buffer.size; size++)
        {
          part = malloc (size + 1);
          memcpy (part, buffer.data, size);
          CU_ASSERT (decode_first (part, size, &message) < 0);
          free (part);
        }
    }
  peercodec_buffer_finish (&buffer);
}

/* Decodes damaged bytes.  It must be possible to encode a message that the
   decoder accepts. */
static void
decode_damaged (const uint8_t *data, size_t size)
{
  struct peercodec_buffer encoded = { 0 };
  struct message message;

  if (decode_first (data, size, &message) == 0)
    {
      encode_first (&message, &encoded);
      message_finish (&message);
    }
  peercodec_buffer_finish (&encoded);
}

static void
test_every_byte_replaced (void)
{
  struct peercodec_buffer buffer = { 0 };
  uint8_t original;
  size_t offset;
  size_t i;
  int value;

  for (i = 0; i < SAMPLE_COUNT; i++)
    {
      encode_first (&samples[i], &buffer);
      for (offset = 0; offset < buffer.size; offset++)
        {
          original = buffer.data[offset];
          for (value = 0; value < 256; value++)
            {
              buffer.data[offset] = (uint8_t)value;
              decode_damaged (buffer.data, buffer.size);
            }
          buffer.data[offset] = original;
        }
    }
  peercodec_buffer_finish (&buffer);
}

static void
test_random_bytes (void)
{
  uint8_t data[RANDOM_BYTES_MAX];
  unsigned int seed = 1;
  size_t size;
  size_t i;
  int round;

  for (round = 0; round < RANDOM_FRAMES; round++)
    {
      size = (size_t)rand_r (&seed) % sizeof data;
      for (i = 0; i < size; i++)
        data[i] = (uint8_t)rand_r (&seed);
      decode_damaged (data, size);
    }
}

static struct store_position
position_of (const char *era, const char *revision)
{
  struct store_position position = { .packed = false };

  CU_ASSERT_EQUAL (digits_parse (&position.era, era, strlen (era)), 0);
  CU_ASSERT_EQUAL (
      digits_parse (&position.revision, revision, strlen (revision)), 0);
  return position;
}

/* Positions of any size survive a round trip. */
static void
test_store_positions (void)
{
  const struct store_position positions[] = {
    position_of ("0", "1099511627776"),
    position_of ("20000000", "7"),
    position_of ("4611686018427387904", "9007199254740993"),
    position_of ("20261208012925123456", "20261208012925123457"),
  };
  struct message_object object
      = { .key = "servers/w-1", .value_size = 2, .value = (char *)"{}" };
  struct message config
      = { .kind = MESSAGE_CONFIG,
          .u.config = { .object_count = 1, .objects = &object } };
  struct message load = { .kind = MESSAGE_LOAD };
  struct peercodec_buffer buffer = { 0 };
  struct message message;
  size_t i;

  for (i = 0; i < sizeof positions / sizeof positions[0]; i++)
    {
      object.position = positions[i];
      config.u.config.newest_position = positions[i];
      encode_first (&config, &buffer);
      CU_ASSERT_EQUAL (decode_first (buffer.data, buffer.size, &message), 0);
      CU_ASSERT_FALSE (message.u.config.objects[0].position.packed);
      CU_ASSERT_EQUAL (
          store_position_compare (&message.u.config.objects[0].position,
                                  &positions[i]),
          0);
      CU_ASSERT_EQUAL (store_position_compare (
                           &message.u.config.newest_position, &positions[i]),
                       0);
      message_finish (&message);
      load.u.load.store_position = positions[i];
      encode_first (&load, &buffer);
      CU_ASSERT_EQUAL (decode_first (buffer.data, buffer.size, &message), 0);
      CU_ASSERT_FALSE (message.u.load.store_position.packed);
      CU_ASSERT_EQUAL (store_position_compare (&message.u.load.store_position,
                                               &positions[i]),
                       0);
      message_finish (&message);
    }
  peercodec_buffer_finish (&buffer);
}

/* Frames of a program that has 64 bits for a position.  Those of this one have
   a mark more where 64 bits are enough, which that program skips. */
static void
test_older_program (void)
{
  /* Load reports up to era 3, revision 5. */
  static const uint8_t older_load[]
      = { 0x52, 0x09, 0x18, 0x85, 0x80, 0x80, 0x80, 0x80, 0x60, 0x20, 0x07 };
  static const uint8_t newer_load[]
      = { 0x52, 0x0b, 0x18, 0x85, 0x80, 0x80, 0x80,
          0x80, 0x60, 0x20, 0x07, 0x68, 0x01 };
  /* An object "k" with the value "{}", at era 3, revision 6. */
  static const uint8_t older_config[]
      = { 0x42, 0x17, 0x08, 0x86, 0x80, 0x80, 0x80, 0x80, 0x60,
          0x1a, 0x0e, 0x0a, 0x01, 'k',  0x10, 0x86, 0x80, 0x80,
          0x80, 0x80, 0x60, 0x22, 0x02, '{',  '}' };
  static const uint8_t newer_config[]
      = { 0x42, 0x1b, 0x08, 0x86, 0x80, 0x80, 0x80, 0x80, 0x60, 0x1a,
          0x10, 0x0a, 0x01, 'k',  0x10, 0x86, 0x80, 0x80, 0x80, 0x80,
          0x60, 0x22, 0x02, '{',  '}',  0x38, 0x01, 0x30, 0x01 };
  struct message_object object = { .key = "k",
                                   .position = *POSITION (3, 6),
                                   .value_size = 2,
                                   .value = (char *)"{}" };
  const struct message config
      = { .kind = MESSAGE_CONFIG,
          .u.config = { .newest_position = *POSITION (3, 6),
                        .object_count = 1,
                        .objects = &object } };
  const struct message load
      = { .kind = MESSAGE_LOAD,
          .u.load = { .store_position = *POSITION (3, 5), .age_ms = 7 } };
  struct peercodec_buffer buffer = { 0 };
  struct message message;

  CU_ASSERT_EQUAL (decode_first (older_load, sizeof older_load, &message), 0);
  CU_ASSERT_TRUE (position_is (&message.u.load.store_position, 3, 5));
  CU_ASSERT_TRUE (message.u.load.store_position.packed);
  message_finish (&message);
  encode_first (&load, &buffer);
  CU_ASSERT_EQUAL_FATAL (buffer.size, sizeof newer_load);
  CU_ASSERT_EQUAL (memcmp (buffer.data, newer_load, buffer.size), 0);
  CU_ASSERT_EQUAL (decode_first (buffer.data, buffer.size, &message), 0);
  CU_ASSERT_TRUE (position_is (&message.u.load.store_position, 3, 5));
  CU_ASSERT_FALSE (message.u.load.store_position.packed);
  message_finish (&message);
  CU_ASSERT_EQUAL_FATAL (
      decode_first (older_config, sizeof older_config, &message), 0);
  CU_ASSERT_TRUE (position_is (&message.u.config.objects[0].position, 3, 6));
  CU_ASSERT_TRUE (message.u.config.objects[0].position.packed);
  message_finish (&message);
  encode_first (&config, &buffer);
  CU_ASSERT_EQUAL_FATAL (buffer.size, sizeof newer_config);
  CU_ASSERT_EQUAL (memcmp (buffer.data, newer_config, buffer.size), 0);
  peercodec_buffer_finish (&buffer);
}

/* Each message is well-formed protobuf with one value out of range. */
static void
test_values_out_of_range (void)
{
  static struct message_hold_item busy_above_capacity[] = { { 1, 1, 2, 3 } };
  static struct ledger_entry refunded_above_charged[]
      = { { 1, 1, 1, 2, 0, 0 } };
  static struct message_object without_value[]
      = { { .key = "customer/ana", .index = 1 } };
  static struct message_object space_in_key[]
      = { { .key = "a b", .index = 1, .deleted = true } };
  const struct message bad[] = {
    { .kind = MESSAGE_HEARTBEAT,
      .u.heartbeat = { 1, MESSAGE_INSTANCE_STATE_MAX, 0, false, 0, NULL } },
    { .kind = MESSAGE_HOLD, .u.hold = { 1, 1, busy_above_capacity } },
    { .kind = MESSAGE_ACCOUNTS,
      .u.accounts = { { 1, 1 }, 1, refunded_above_charged } },
    { .kind = MESSAGE_GRANT,
      .u.grant = { 1, PEERCODEC_LEASE_MS_MAX + 1, 0, NULL, 0 } },
    { .kind = MESSAGE_HELLO, .u.hello = { 1, "", "r", "a", "x:1", 1, { 0 } } },
    { .kind = MESSAGE_HELLO, .u.hello = { 1, "f", "", "a", "x:1", 1, { 0 } } },
    { .kind = MESSAGE_HELLO,
      .u.hello = { 1, "f", "r\n", "a", "x:1", 1, { 0 } } },
    { .kind = MESSAGE_HELLO, .u.hello = { 1, "f", "r", "a", "", 1, { 0 } } },
    { .kind = MESSAGE_HELLO,
      .u.hello = { 1, "f", "r", "a", "x:1", 0, { 0 } } },
    { .kind = MESSAGE_CONFIG,
      .u.config = { .newest_index = 1,
                    .complete = true,
                    .object_count = 1,
                    .objects = without_value } },
    { .kind = MESSAGE_CONFIG,
      .u.config = { .newest_index = 1,
                    .complete = true,
                    .object_count = 1,
                    .objects = space_in_key } },
  };
  struct peercodec_buffer buffer = { 0 };
  struct message message;
  size_t i;

  for (i = 0; i < sizeof bad / sizeof bad[0]; i++)
    {
      encode_first (&bad[i], &buffer);
      CU_ASSERT_EQUAL (decode_first (buffer.data, buffer.size, &message),
                       ERR_PROTOCOL);
    }
  peercodec_buffer_finish (&buffer);
}

static void
test_sizes_out_of_range (void)
{
  const size_t count = PEERCODEC_ITEMS_MAX + 1;
  struct direction direction;
  struct message message = { .kind = MESSAGE_GRANT };
  char name[CATALOG_NAME_SIZE + 1];
  Peer__Hello hello = PEER__HELLO__INIT;
  Peer__Frame frame = PEER__FRAME__INIT;
  uint8_t wire[512];

  message.u.grant.item_count = count;
  message.u.grant.items = calloc (count, sizeof (struct message_grant_item));
  direction_init (&direction);
  CU_ASSERT (peercodec_encode (&direction.encoder, &message, &direction.buffer)
             < 0);
  message_finish (&message);
  direction_finish (&direction);

  memset (name, 'n', sizeof name);
  name[CATALOG_NAME_SIZE] = '\0';
  hello.version = 1;
  hello.fleet = name;
  hello.instance = (char *)"r";
  hello.address = (char *)"x:1";
  hello.incarnation = 1;
  hello.nonce.len = MESSAGE_NONCE_SIZE;
  hello.nonce.data = (uint8_t *)name;
  frame.body_case = PEER__FRAME__BODY_HELLO;
  frame.hello = &hello;
  CU_ASSERT_EQUAL (
      decode_first (wire, peer__frame__pack (&frame, wire), &message),
      ERR_PROTOCOL);
  hello.fleet = (char *)"farm";
  hello.nonce.len = MESSAGE_NONCE_SIZE - 1;
  CU_ASSERT_EQUAL (
      decode_first (wire, peer__frame__pack (&frame, wire), &message),
      ERR_PROTOCOL);
}

static size_t
put_varint (uint8_t *out, size_t value)
{
  size_t size = 0;

  for (; value >= 0x80; value >>= 7)
    out[size++] = (uint8_t)(value | 0x80);
  out[size++] = (uint8_t)value;
  return size;
}

static long
peak_kb (void)
{
  struct rusage usage;

  getrusage (RUSAGE_SELF, &usage);
  return usage.ru_maxrss;
}

/* A frame of one body that is full of empty entries of one field. */
static void
assert_refused_in_little_memory (unsigned int body, unsigned int field)
{
  static uint8_t wire[MESSAGE_FRAME_MAX];
  struct message message;
  const size_t count = (MESSAGE_FRAME_MAX - 16) / 2;
  long before_kb;
  long peak;
  size_t size = 0;
  size_t i;

  wire[size++] = (uint8_t)(body << 3 | 2);
  size += put_varint (wire + size, 2 * count);
  for (i = 0; i < count; i++)
    {
      wire[size++] = (uint8_t)(field << 3 | 2);
      wire[size++] = 0;
    }
  before_kb = peak_kb ();
  CU_ASSERT (decode_first (wire, size, &message) < 0);
  peak = peak_kb () - before_kb;
  if (peak >= peak_max_kb)
    printf ("body %u: %ld KB\n", body, peak);
  CU_ASSERT (peak < peak_max_kb);
}

static void
test_frame_of_empty_entries (void)
{
  assert_refused_in_little_memory (PEER__FRAME__BODY_ADDRESSES, 1);
  assert_refused_in_little_memory (PEER__FRAME__BODY_CONFIG, 3);
}

/* As many objects as one message may have. */
static void
test_largest_config (void)
{
  struct message message = { .kind = MESSAGE_CONFIG };
  struct message_config *config = &message.u.config;
  struct peercodec_buffer buffer = { 0 };
  struct message decoded;
  size_t i;

  config->newest_index = 1;
  config->object_count = PEERCODEC_ITEMS_MAX;
  config->objects = calloc (PEERCODEC_ITEMS_MAX, sizeof *config->objects);
  for (i = 0; i < PEERCODEC_ITEMS_MAX; i++)
    {
      struct message_object *object = &config->objects[i];

      snprintf (object->key, sizeof object->key, "customer/customer-%zu", i);
      object->index = 1;
      object->value = (char *)"{\"weight\":1,\"keys\":[]}";
      object->value_size = strlen (object->value);
    }
  encode_first (&message, &buffer);
  CU_ASSERT_EQUAL_FATAL (decode_first (buffer.data, buffer.size, &decoded), 0);
  CU_ASSERT_EQUAL (decoded.u.config.object_count, PEERCODEC_ITEMS_MAX);
  message_finish (&decoded);
  free (config->objects);
  peercodec_buffer_finish (&buffer);
}

static const struct suite_test tests[] = {
  { "round trip of every kind", test_round_trip },
  { "dictionary and increments", test_dictionary },
  { "unknown dictionary index", test_unknown_dictionary_index },
  { "every truncation is rejected", test_truncation },
  { "every byte replaced by every value", test_every_byte_replaced },
  { "random bytes", test_random_bytes },
  { "positions of any size", test_store_positions },
  { "messages of an older program", test_older_program },
  { "values out of range are rejected", test_values_out_of_range },
  { "sizes out of range are rejected", test_sizes_out_of_range },
  { "frame of empty entries", test_frame_of_empty_entries },
  { "largest configuration", test_largest_config },
};

SUITE_MAIN ("test_peercodec", tests)
