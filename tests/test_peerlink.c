/**
 * @file test_peerlink.c
 * Handshake of peer links with valid, foreign and malicious peers, and the
 * limits on frames and output.
 */
#include "protocol/peercodec.h"
#include "state/err.h"
#include "support/memory.h"
#include "support/suite.h"
#include "transport/loop.h"
#include "transport/peerlink.h"
#include <arpa/inet.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define LOOP_TURNS_MAX 2000 /* of the event loop, to wait for a condition */
#define WIRE_BYTES_MAX 4096 /* bytes recorded of one direction */
#define HANDSHAKE_MS   200
/* A frame takes its own bytes and those that the buffer grows ahead. */
#define HELD_MAX_KB (3 * MESSAGE_FRAME_MAX / 1024)
#define FLOOD_BYTES 16777216 /* four frames */

/* One side of a link, and the callbacks that it has received. */
struct endpoint
{
  struct peerlink_config config;
  struct peerlink_counters counters;
  struct peerlink *link;
  int link_fd;
  bool up;
  bool down;
  int error;
  uint32_t messages;
};

static struct event_base *base;

static void
copy_name (char out[CATALOG_NAME_SIZE], const char *text)
{
  snprintf (out, CATALOG_NAME_SIZE, "%s", text);
}

static void
on_up (void *user, struct peerlink *link)
{
  struct endpoint *endpoint = user;

  (void)link;
  endpoint->up = true;
}

static void
on_message (void *user, struct peerlink *link, const struct message *message)
{
  struct endpoint *endpoint = user;

  (void)link;
  (void)message;
  endpoint->messages++;
}

static void
on_down (void *user, struct peerlink *link, int error)
{
  struct endpoint *endpoint = user;

  endpoint->down = true;
  endpoint->error = error;
  endpoint->link = NULL;
  peerlink_close (link);
}

static const struct peerlink_events events = { on_up, on_message, on_down };

static void
endpoint_init (struct endpoint *endpoint, const char *instance)
{
  memset (endpoint, 0, sizeof *endpoint);
  endpoint->config.base = base;
  copy_name (endpoint->config.self.fleet, "farm");
  copy_name (endpoint->config.self.instance, instance);
  copy_name (endpoint->config.self.address, "127.0.0.1:1");
  endpoint->config.self.incarnation = 7;
  endpoint->config.secret = "open sesame";
  endpoint->config.handshake_ms = HANDSHAKE_MS;
  endpoint->config.idle_ms = 60000;
  endpoint->config.output_bytes_max = 65536;
  endpoint->config.counters = &endpoint->counters;
  endpoint->config.events = &events;
  endpoint->config.user = endpoint;
}

static void
endpoint_finish (struct endpoint *endpoint)
{
  if (endpoint->link != NULL)
    peerlink_close (endpoint->link);
}

static void
open_pair (struct endpoint *dialer, struct endpoint *acceptor)
{
  int fds[2];

  CU_ASSERT_EQUAL_FATAL (
      socketpair (AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, fds), 0);
  dialer->link_fd = fds[0];
  dialer->link = peerlink_open (&dialer->config, fds[0], true);
  acceptor->link = peerlink_open (&acceptor->config, fds[1], false);
}

/* Opens a link and returns the raw socket of its peer. */
static int
open_raw (struct endpoint *endpoint, bool dialed)
{
  int fds[2];

  CU_ASSERT_EQUAL_FATAL (
      socketpair (AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, fds), 0);
  endpoint->link = peerlink_open (&endpoint->config, fds[0], dialed);
  return fds[1];
}

static void
run_until (const bool *condition)
{
  int turn;

  for (turn = 0; turn < LOOP_TURNS_MAX && !*condition; turn++)
    event_base_loop (base, EVLOOP_ONCE);
  CU_ASSERT_TRUE (*condition);
}

static void
run_pending (void)
{
  int turn;

  for (turn = 0; turn < 20; turn++)
    event_base_loop (base, EVLOOP_NONBLOCK);
}

/* The handshake fails on both sides, on the accepting side with `error`. */
static void
assert_handshake_fails (struct endpoint *dialer, struct endpoint *acceptor,
                        int error)
{
  open_pair (dialer, acceptor);
  run_until (&acceptor->down);
  run_until (&dialer->down);
  CU_ASSERT_EQUAL (acceptor->error, error);
  CU_ASSERT_FALSE (dialer->up);
  CU_ASSERT_FALSE (acceptor->up);
}

static void
test_link (void)
{
  const struct message message = { .kind = MESSAGE_CONFIG_REQUEST };
  struct endpoint a;
  struct endpoint b;

  endpoint_init (&a, "router-a");
  endpoint_init (&b, "router-b");
  open_pair (&a, &b);
  CU_ASSERT_EQUAL (peerlink_send (a.link, &message), ERR_RESET);
  run_until (&a.up);
  run_until (&b.up);
  CU_ASSERT_STRING_EQUAL (peerlink_hello (a.link)->instance, "router-b");
  CU_ASSERT_EQUAL (peerlink_send (a.link, &message), 0);
  CU_ASSERT_EQUAL (peerlink_send (a.link, &message), 0);
  run_pending ();
  CU_ASSERT_EQUAL (b.messages, 2);
  CU_ASSERT_EQUAL (a.counters.bytes_out[MESSAGE_CONFIG_REQUEST],
                   b.counters.bytes_in[MESSAGE_CONFIG_REQUEST]);
  CU_ASSERT_EQUAL (b.counters.frames_in[MESSAGE_CONFIG_REQUEST], 2);
  endpoint_finish (&a);
  run_until (&b.down);
  CU_ASSERT_EQUAL (b.error, ERR_RESET);
}

static void
test_rejected_peers (void)
{
  struct endpoint a;
  struct endpoint b;

  endpoint_init (&a, "router-a");
  endpoint_init (&b, "router-b");
  a.config.secret = "wrong secret";
  assert_handshake_fails (&a, &b, ERR_AUTH);

  endpoint_init (&a, "router-a");
  endpoint_init (&b, "router-b");
  copy_name (a.config.self.fleet, "mill");
  assert_handshake_fails (&a, &b, ERR_MISMATCH);

  endpoint_init (&a, "router-b");
  endpoint_init (&b, "router-b");
  assert_handshake_fails (&a, &b, ERR_EXISTS);

  endpoint_init (&a, "router-b");
  endpoint_init (&b, "router-b");
  a.config.self.incarnation++;
  assert_handshake_fails (&a, &b, ERR_CONFLICT);
}

static size_t
encode_frame (const struct message *message, uint8_t *wire)
{
  struct peercodec_encoder encoder = { 0 };
  struct peercodec_buffer buffer = { 0 };
  uint32_t prefix;
  size_t size;

  CU_ASSERT_EQUAL_FATAL (peercodec_encode (&encoder, message, &buffer), 0);
  prefix = htonl ((uint32_t)buffer.size);
  memcpy (wire, &prefix, sizeof prefix);
  memcpy (wire + sizeof prefix, buffer.data, buffer.size);
  size = sizeof prefix + buffer.size;
  peercodec_buffer_finish (&buffer);
  return size;
}

/* Writes raw bytes to the accepting side of a link, which must end with
   `error` before it is up. */
static void
assert_link_ends (const void *wire, size_t size, int error)
{
  struct endpoint endpoint;
  int fd;

  endpoint_init (&endpoint, "router-b");
  fd = open_raw (&endpoint, false);
  CU_ASSERT_EQUAL (write (fd, wire, size), (ssize_t)size);
  run_until (&endpoint.down);
  CU_ASSERT_EQUAL (endpoint.error, error);
  CU_ASSERT_FALSE (endpoint.up);
  close (fd);
}

static void
test_invalid_handshakes (void)
{
  struct endpoint endpoint;
  struct message hello = { .kind = MESSAGE_HELLO };
  const struct message early = { .kind = MESSAGE_CONFIG_REQUEST };
  const uint8_t large[] = { 0, 0, 4, 1 };
  const uint8_t empty[] = { 0, 0, 0, 0 };
  const uint8_t huge[] = { 255, 255, 255, 255 };
  uint8_t wire[WIRE_BYTES_MAX];
  size_t size;

  endpoint_init (&endpoint, "router-a");
  hello.u.hello = endpoint.config.self;
  hello.u.hello.version = MESSAGE_VERSION + 1;
  assert_link_ends (wire, encode_frame (&hello, wire), ERR_PROTOCOL);
  hello.u.hello.version = MESSAGE_VERSION;
  size = encode_frame (&hello, wire);
  size += encode_frame (&early, wire + size);
  assert_link_ends (wire, size, ERR_PROTOCOL);
  size = encode_frame (&hello, wire);
  size += encode_frame (&hello, wire + size);
  assert_link_ends (wire, size, ERR_PROTOCOL);
  assert_link_ends (wire, encode_frame (&early, wire), ERR_PROTOCOL);
  assert_link_ends (large, sizeof large, ERR_TOO_LARGE);
  assert_link_ends (huge, sizeof huge, ERR_TOO_LARGE);
  assert_link_ends (empty, sizeof empty, ERR_TOO_LARGE);
  /* A complete hello, and nothing after it. */
  assert_link_ends (wire, encode_frame (&hello, wire), ERR_TIMEOUT);
}

/* Forwards pending bytes between two raw sockets and appends them to
   `recorded`, which holds `size` bytes. Returns its new size. */
static size_t
relay (int from, int to, uint8_t *recorded, size_t size)
{
  ssize_t count = read (from, recorded + size, WIRE_BYTES_MAX - size);

  if (count <= 0)
    return size;
  CU_ASSERT_EQUAL (write (to, recorded + size, (size_t)count), count);
  return size + (size_t)count;
}

static void
test_replay (void)
{
  struct endpoint a;
  struct endpoint b;
  uint8_t sent[WIRE_BYTES_MAX];
  uint8_t answered[WIRE_BYTES_MAX];
  size_t sent_size = 0;
  size_t answered_size = 0;
  int raw_a;
  int raw_b;
  int turn;

  endpoint_init (&a, "router-a");
  endpoint_init (&b, "router-b");
  raw_a = open_raw (&a, true);
  raw_b = open_raw (&b, false);
  for (turn = 0; turn < LOOP_TURNS_MAX && !(a.up && b.up); turn++)
    {
      event_base_loop (base, EVLOOP_NONBLOCK);
      sent_size = relay (raw_a, raw_b, sent, sent_size);
      answered_size = relay (raw_b, raw_a, answered, answered_size);
    }
  CU_ASSERT_TRUE (a.up && b.up);
  close (raw_a);
  close (raw_b);
  run_until (&a.down);
  run_until (&b.down);
  /* The recorded proof of a is invalid: it covers the nonce in b's hello,
     which is new for each link. */
  assert_link_ends (sent, sent_size, ERR_AUTH);
}

/* A peer without the secret sends the dialer's own proof back to it. */
static void
test_reflection (void)
{
  struct endpoint a;
  struct message hello = { .kind = MESSAGE_HELLO };
  uint8_t wire[WIRE_BYTES_MAX];
  uint8_t own_hello[WIRE_BYTES_MAX];
  size_t size;
  ssize_t count;
  int raw;

  endpoint_init (&a, "router-a");
  raw = open_raw (&a, true);
  run_pending ();
  count = read (raw, own_hello, sizeof own_hello);
  CU_ASSERT (count > 0);
  hello.u.hello = a.config.self;
  hello.u.hello.version = MESSAGE_VERSION;
  copy_name (hello.u.hello.instance, "router-b");
  size = encode_frame (&hello, wire);
  CU_ASSERT_EQUAL (write (raw, wire, size), (ssize_t)size);
  run_pending ();
  count = read (raw, wire, sizeof wire);
  CU_ASSERT_FATAL (count > 0);
  CU_ASSERT_EQUAL (write (raw, wire, (size_t)count), count);
  run_until (&a.down);
  CU_ASSERT_EQUAL (a.error, ERR_AUTH);
  close (raw);
}

/* After the handshake frames may be larger, up to MESSAGE_FRAME_MAX. */
static void
test_oversized_frame (void)
{
  const uint32_t prefix = htonl (MESSAGE_FRAME_MAX + 1);
  struct endpoint a;
  struct endpoint b;
  uint8_t recorded[WIRE_BYTES_MAX];
  int raw_a;
  int raw_b;
  int turn;

  endpoint_init (&a, "router-a");
  endpoint_init (&b, "router-b");
  raw_a = open_raw (&a, true);
  raw_b = open_raw (&b, false);
  for (turn = 0; turn < LOOP_TURNS_MAX && !(a.up && b.up); turn++)
    {
      event_base_loop (base, EVLOOP_NONBLOCK);
      relay (raw_a, raw_b, recorded, 0);
      relay (raw_b, raw_a, recorded, 0);
    }
  CU_ASSERT_EQUAL (write (raw_b, &prefix, sizeof prefix), sizeof prefix);
  run_until (&b.down);
  CU_ASSERT_EQUAL (b.error, ERR_TOO_LARGE);
  endpoint_finish (&a);
  close (raw_a);
  close (raw_b);
}

/* Writes `part` to an established link, again and again, until the link ends
   or `FLOOD_BYTES` were written.
   @return the most memory that was allocated meanwhile, in KB. */
static uint64_t
flood (struct endpoint *endpoint, int fd, const uint8_t *part, size_t size)
{
  const uint64_t before_kb = memory_kb ();
  uint64_t most_kb = before_kb;
  size_t sent = 0;

  while (!endpoint->down && sent < FLOOD_BYTES)
    {
      const ssize_t count = send (fd, part, size, MSG_NOSIGNAL);

      if (count > 0)
        sent += (size_t)count;
      if (count < (ssize_t)size)
        event_base_loop (base, EVLOOP_ONCE | EVLOOP_NONBLOCK);
      if (memory_kb () > most_kb)
        most_kb = memory_kb ();
    }
  return most_kb - before_kb;
}

static void
play_flood (uint32_t prefix, const uint8_t *part, size_t size, bool ends)
{
  struct endpoint a;
  struct endpoint b;
  uint8_t recorded[WIRE_BYTES_MAX];
  int raw_a;
  int raw_b;
  int turn;

  prefix = htonl (prefix);
  endpoint_init (&a, "router-a");
  endpoint_init (&b, "router-b");
  raw_a = open_raw (&a, true);
  raw_b = open_raw (&b, false);
  for (turn = 0; turn < LOOP_TURNS_MAX && !(a.up && b.up); turn++)
    {
      event_base_loop (base, EVLOOP_NONBLOCK);
      relay (raw_a, raw_b, recorded, 0);
      relay (raw_b, raw_a, recorded, 0);
    }
  CU_ASSERT_TRUE_FATAL (a.up && b.up);
  CU_ASSERT_EQUAL (write (raw_b, &prefix, sizeof prefix), sizeof prefix);
  CU_ASSERT (flood (&b, raw_b, part, size) < HELD_MAX_KB);
  CU_ASSERT_EQUAL (b.down, ends);
  CU_ASSERT_EQUAL (b.messages, 0);
  endpoint_finish (&a);
  endpoint_finish (&b);
  close (raw_a);
  close (raw_b);
}

/* Of a peer that knows the secret: a frame that ends as no message, the same
   byte by byte, and empty frames. */
static void
test_frames_without_end (void)
{
  static const uint8_t letters[4096] = { 'x', 'x', 'x', 'x' };
  static const uint8_t zeros[4096];

  play_flood (MESSAGE_FRAME_MAX, letters, sizeof letters, true);
  play_flood (MESSAGE_FRAME_MAX, letters, 1, true);
  play_flood (0, zeros, sizeof zeros, false);
}

/* Output queued for a peer that does not read is bounded; the link ends when
   the bound is exceeded. */
static void
test_peer_that_does_not_read (void)
{
  struct message message = { .kind = MESSAGE_GRANT };
  struct endpoint a;
  struct endpoint b;
  int rc = 0;

  endpoint_init (&a, "router-a");
  endpoint_init (&b, "router-b");
  open_pair (&a, &b);
  run_until (&a.up);
  run_until (&b.up);
  message.u.grant.item_count = 1000;
  message.u.grant.items = calloc (1000, sizeof (struct message_grant_item));
  while (rc == 0)
    rc = peerlink_send (a.link, &message);
  CU_ASSERT_EQUAL (rc, ERR_FULL);
  CU_ASSERT_FALSE (a.down);
  run_until (&a.down);
  CU_ASSERT_EQUAL (a.error, ERR_FULL);
  message_finish (&message);
  run_until (&b.down);
}

#define IDLE_MS 100

/* The event loop is late, events of control have had their share of it, and a
   frame of the peer is in the socket when the idle time ends.  Guards against
   the loss of a peer that has sent in time. */
static void
test_idle_time_ends_with_input (void)
{
  static const char keep_alive[sizeof (uint32_t)];
  struct event_base *shared = base;
  struct loop_control control;
  struct clock clock;
  struct endpoint a;
  struct endpoint b;
  int fd;

  base = loop_new ();
  clock_init_manual (&clock, CLOCK_NS_PER_S, 0);
  loop_control_init (&control, &clock, NULL);
  time_share_take (&control.share, 0, CLOCK_NS_PER_S);
  endpoint_init (&a, "router-a");
  endpoint_init (&b, "router-b");
  b.config.control = &control;
  b.config.idle_ms = IDLE_MS;
  open_pair (&a, &b);
  fd = a.link_fd;
  run_until (&a.up);
  run_until (&b.up);
  CU_ASSERT_EQUAL (write (fd, keep_alive, sizeof keep_alive),
                   sizeof keep_alive);
  usleep (IDLE_MS * 2 * 1000);
  run_pending ();
  CU_ASSERT_FALSE (b.down);
  /* It stays silent. */
  if (!b.down)
    run_until (&b.down);
  CU_ASSERT_EQUAL (b.error, ERR_TIMEOUT);
  endpoint_finish (&a);
  loop_control_finish (&control);
  event_base_free (base);
  base = shared;
}

static const struct suite_test tests[] = {
  { "a link carries messages", test_link },
  { "wrong secret, fleet or instance name", test_rejected_peers },
  { "invalid handshakes", test_invalid_handshakes },
  { "replayed proof", test_replay },
  { "reflected proof", test_reflection },
  { "oversized frame", test_oversized_frame },
  { "frames without end", test_frames_without_end },
  { "peer that does not read", test_peer_that_does_not_read },
  { "idle time ends with input unread", test_idle_time_ends_with_input },
};

int
main (void)
{
  int rc;

  base = event_base_new ();
  rc = suite_run ("test_peerlink", tests, sizeof tests / sizeof tests[0]);
  event_base_free (base);
  return rc;
}
