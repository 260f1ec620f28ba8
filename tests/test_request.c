/**
 * @file test_request.c
 * Requests of real clients on loopback through a whole router, with upstreams
 * faked behind the driver's table.
 */
#include "request_int.h"
#include "router.h"
#include "state/err.h"
#include "support/suite.h"
#include <errno.h>
#include <event2/util.h>
#include <netinet/in.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define BUFFER_MAX  65536    /**< bytes; limits.response_buffer_bytes */
#define ROUNDS_MAX  2000     /**< turns of the loop to wait for something */
#define TURN_US     500      /**< rest when nothing has happened */
#define BLOCK_BYTES 8192     /**< of a body that floods the client */
#define FLOOD_BYTES 33554432 /**< more than sockets hold */
#define RECEIVE_MAX 4096     /**< bytes of a response that are looked at */

#define KEY "key-of-ana-000000"
#define HEAD                                                                  \
  "Host: r\r\nAuthorization: Bearer " KEY "\r\nCherrylanding-Profile: "
#define PLAIN_REQUEST                                                         \
  "POST /services/farm/job HTTP/1.1\r\n" HEAD "once\r\n"                      \
  "Cherrylanding-Request-Id: req-1\r\nContent-Length: 2\r\n\r\nhi"

static const char yaml[]
    = "router:\n"
      "  instance: r1\n"
      "  fleet: test\n"
      "  availability_zone: a\n"
      "  client_address: 127.0.0.1:0\n"
      "  admin_address: 127.0.0.1:0\n"
      "  log_level: error\n"
      "  limits:\n"
      "    header_bytes_max: 2048\n"
      "    body_bytes_max: 1000\n"
      "    connections_max: 3\n"
      "    response_buffer_bytes: 65536\n"
      "customers:\n"
      "  - { name: ana, weight: 1, keys: [" KEY "] }\n"
      "profiles:\n"
      "  - { name: once, service: farm, class: quick, idempotent: false,"
      " deadline_ms: 60000 }\n"
      "services:\n"
      "  - name: farm\n"
      "    kind: plain\n"
      "    upstreams:\n"
      "      - { address: 127.0.0.1:1, availability_zone: a, slots: 2 }\n";

/** The faked attempt in progress. */
struct fake
{
  struct upstream_attempt *handle; /**< NULL when there is none */
  const struct upstream_events *events;
  void *user;
  unsigned int started;
  unsigned int canceled;
  bool paused;
};

struct world
{
  struct settings *settings;
  struct router router;
  struct fake fake;
  uint16_t port;
};

static struct upstream_attempt *
fake_start (void *driver, const struct upstream_request *request,
            const struct upstream_events *events, void *user)
{
  struct fake *fake = driver;

  (void)request;
  fake->events = events;
  fake->user = user;
  fake->started++;
  fake->paused = false;
  fake->handle = (struct upstream_attempt *)fake;
  return fake->handle;
}

static void
fake_cancel (struct upstream_attempt *attempt)
{
  struct fake *fake = (struct fake *)attempt;

  fake->canceled++;
  fake->handle = NULL;
}

static void
fake_pause (struct upstream_attempt *attempt, bool paused)
{
  ((struct fake *)attempt)->paused = paused;
}

static const struct upstream_driver fake_driver = {
  .name = "fake",
  .start = fake_start,
  .cancel = fake_cancel,
  .pause = fake_pause,
};

static void
world_init (struct world *world)
{
  char path[] = "/tmp/test_request.XXXXXX";
  int fd = mkstemp (path);

  memset (world, 0, sizeof (*world));
  CU_ASSERT_FATAL (fd >= 0);
  CU_ASSERT_EQUAL (write (fd, yaml, sizeof (yaml) - 1), sizeof (yaml) - 1);
  close (fd);
  CU_ASSERT_EQUAL_FATAL (settings_load (path, &world->settings, stdout), 0);
  CU_ASSERT_EQUAL_FATAL (settings_validate (world->settings, path, stdout), 0);
  unlink (path);
  CU_ASSERT_EQUAL_FATAL (router_init (&world->router, world->settings), 0);
  world->router.driver = &fake_driver;
  world->router.driver_state = &world->fake;
  world->port = httpd_port (world->router.httpd);
}

static void
world_finish (struct world *world)
{
  router_finish (&world->router);
  settings_free (world->settings);
}

/* One turn of the loop, without the router's own timers. */
static void
turn (struct world *world)
{
  event_base_loop (world->router.base, EVLOOP_NONBLOCK);
}

static int
client_connect (const struct world *world)
{
  struct sockaddr_in to = { .sin_family = AF_INET,
                            .sin_port = htons (world->port),
                            .sin_addr = { htonl (INADDR_LOOPBACK) } };
  int fd = socket (AF_INET, SOCK_STREAM, 0);

  CU_ASSERT_EQUAL_FATAL (connect (fd, (struct sockaddr *)&to, sizeof (to)), 0);
  evutil_make_socket_nonblocking (fd);
  return fd;
}

static void
client_send (int fd, const char *text)
{
  CU_ASSERT_EQUAL (send (fd, text, strlen (text), MSG_NOSIGNAL),
                   (ssize_t)strlen (text));
}

/* Runs the loop until an attempt has started. */
static void
wait_attempt (struct world *world, unsigned int started)
{
  int i;

  for (i = 0; i < ROUNDS_MAX && world->fake.started < started; i++)
    {
      turn (world);
      usleep (TURN_US);
    }
  CU_ASSERT_EQUAL (world->fake.started, started);
}

/** What a client has received. */
struct received
{
  char text[RECEIVE_MAX + 1];
  size_t size;
  bool ended; /**< orderly end of the connection */
  bool reset;
};

/* Runs the loop until the client has received `until`, or the connection has
   ended. */
static struct received
client_receive (struct world *world, int fd, const char *until)
{
  struct received in = { .size = 0 };
  ssize_t n;
  int i;

  for (i = 0; i < ROUNDS_MAX && !in.ended && !in.reset; i++)
    {
      turn (world);
      n = recv (fd, in.text + in.size, RECEIVE_MAX - in.size, 0);
      if (n > 0)
        in.size += (size_t)n;
      in.ended = n == 0;
      in.reset = n < 0 && errno == ECONNRESET;
      in.text[in.size] = '\0';
      if (until != NULL && strstr (in.text, until) != NULL)
        return in;
      if (n < 0)
        usleep (TURN_US);
    }
  return in;
}

/* The server's side of the request that the fake attempt belongs to. */
static const evhtp_request_t *
request_http (const struct world *world)
{
  return ((const struct request *)world->fake.user)->reply.http;
}

static void
respond (struct world *world, const struct upstream_header *headers,
         size_t count)
{
  struct fake *fake = &world->fake;

  fake->events->sending (fake->user);
  fake->events->sent (fake->user);
  fake->events->responding (fake->user, 200, headers, count);
}

static void
respond_body (struct world *world, const char *bytes, size_t size)
{
  struct evbuffer *data = evbuffer_new ();

  evbuffer_add (data, bytes, size);
  world->fake.events->body (world->fake.user, data);
  evbuffer_free (data);
}

static void
respond_end (struct world *world, int error)
{
  struct fake *fake = &world->fake;

  fake->handle = NULL;
  if (error == 0)
    fake->events->completed (fake->user);
  else
    fake->events->failed (fake->user, error);
}

static const struct upstream_header length_5[]
    = { { "Content-Length", "5" }, { "X-Own", "yes" } };
static const struct upstream_header chunked[]
    = { { "Transfer-Encoding", "chunked" } };

static void
test_whole_response (void)
{
  struct world world;
  struct received in;
  int fd;

  world_init (&world);
  fd = client_connect (&world);
  client_send (fd, PLAIN_REQUEST);
  wait_attempt (&world, 1);
  respond (&world, length_5, 2);
  respond_body (&world, "hello", 5);
  respond_end (&world, 0);
  in = client_receive (&world, fd, "hello");
  CU_ASSERT_PTR_NOT_NULL (strstr (in.text, "HTTP/1.1 200 "));
  CU_ASSERT_PTR_NOT_NULL (strstr (in.text, "\r\nX-Own: yes\r\n"));
  CU_ASSERT_PTR_NOT_NULL (
      strstr (in.text, "\r\nCherrylanding-Request-Id: req-1\r\n"));
  CU_ASSERT_PTR_NOT_NULL (strstr (in.text, "\r\n\r\nhello"));
  /* The connection serves another request. */
  client_send (fd, PLAIN_REQUEST);
  wait_attempt (&world, 2);
  respond (&world, length_5, 2);
  respond_body (&world, "again", 5);
  respond_end (&world, 0);
  in = client_receive (&world, fd, "again");
  CU_ASSERT_PTR_NOT_NULL (strstr (in.text, "\r\n\r\nagain"));
  close (fd);
  world_finish (&world);
}

/* A held response that was cut is refused by word, with its verdict. */
static void
test_cut_response_of_known_length (void)
{
  struct world world;
  struct received in;
  int fd;

  world_init (&world);
  fd = client_connect (&world);
  client_send (fd, PLAIN_REQUEST);
  wait_attempt (&world, 1);
  respond (&world, length_5, 2);
  respond_body (&world, "hel", 3);
  respond_end (&world, ERR_TRUNCATED);
  in = client_receive (&world, fd, "}}");
  CU_ASSERT_PTR_NOT_NULL (strstr (in.text, "HTTP/1.1 502 "));
  CU_ASSERT_PTR_NOT_NULL (
      strstr (in.text, "\r\nCherrylanding-Verdict: may-have-run\r\n"));
  CU_ASSERT_PTR_NOT_NULL (strstr (in.text, "\r\nRetry-After: "));
  CU_ASSERT_PTR_NULL (strstr (in.text, "hel"));
  CU_ASSERT_PTR_NULL (strstr (in.text, "X-Own"));
  CU_ASSERT_EQUAL (world.fake.started, 1);
  close (fd);
  world_finish (&world);
}

static void
test_cut_stream_never_ends_cleanly (void)
{
  struct world world;
  struct received in;
  int fd;

  world_init (&world);
  fd = client_connect (&world);
  client_send (fd, PLAIN_REQUEST);
  wait_attempt (&world, 1);
  respond (&world, chunked, 1);
  respond_body (&world, "hello", 5);
  in = client_receive (&world, fd, "hello");
  CU_ASSERT_PTR_NOT_NULL (strstr (in.text, "hello"));
  respond_end (&world, ERR_TRUNCATED);
  in = client_receive (&world, fd, NULL);
  CU_ASSERT_TRUE (in.reset);
  CU_ASSERT_EQUAL (in.size, 0);
  close (fd);
  world_finish (&world);
}

static void
test_client_gone_cancels (void)
{
  struct world world;
  int fd;
  int i;

  world_init (&world);
  fd = client_connect (&world);
  client_send (fd, PLAIN_REQUEST);
  wait_attempt (&world, 1);
  close (fd);
  for (i = 0; i < ROUNDS_MAX && world.fake.canceled == 0; i++)
    turn (&world);
  CU_ASSERT_EQUAL (world.fake.canceled, 1);
  CU_ASSERT_EQUAL (dispatch_total (world.router.dispatch), 0);
  CU_ASSERT_EQUAL (world.router.slots.entries->busy, 0);
  CU_ASSERT_EQUAL (httpd_connections (world.router.httpd), 0);
  world_finish (&world);
}

/* A client that reads nothing stops the upstream, and holds no more in the
   router than the limit says; when it reads, the upstream goes on. */
static void
test_slow_client (void)
{
  static const char block[BLOCK_BYTES] = { 'x' };
  const char start[] = "POST /services/farm/job HTTP/1.1\r\n" HEAD "once\r\n"
                       "Content-Length: 0\r\n\r\n";
  struct world world;
  struct received in;
  size_t sent = 0;
  size_t pending = 0;
  int fd;
  int i;

  world_init (&world);
  fd = client_connect (&world);
  client_send (fd, start);
  wait_attempt (&world, 1);
  respond (&world, chunked, 1);
  while (!world.fake.paused && sent < FLOOD_BYTES)
    {
      respond_body (&world, block, sizeof (block));
      sent += sizeof (block);
      turn (&world);
      if (world.fake.paused)
        break;
    }
  CU_ASSERT_TRUE (world.fake.paused);
  /* The driver may hold another part, read before it was paused. */
  for (i = 0; i < BUFFER_MAX / 4 / BLOCK_BYTES; i++)
    respond_body (&world, block, sizeof (block));
  pending = httpd_pending_bytes (request_http (&world));
  CU_ASSERT (pending > 0 && pending <= BUFFER_MAX);
  for (i = 0; i < ROUNDS_MAX && world.fake.paused; i++)
    {
      in = client_receive (&world, fd, "x");
      CU_ASSERT (in.size > 0);
    }
  CU_ASSERT_FALSE (world.fake.paused);
  close (fd);
  world_finish (&world);
}

/** Input that is refused, and by which status. */
static const struct
{
  const char *name;
  const char *request;
  const char *status;
  bool closes;
} refused[] = {
  { "no key", "GET /services/farm/x HTTP/1.1\r\nHost: r\r\n\r\n", "401 ",
    false },
  { "wrong key",
    "GET /services/farm/x HTTP/1.1\r\nAuthorization: Bearer no\r\n\r\n",
    "401 ", false },
  { "no profile",
    "GET /services/farm/x HTTP/1.1\r\nAuthorization: Bearer " KEY "\r\n\r\n",
    "400 ", false },
  { "unknown profile", "GET /services/farm/x HTTP/1.1\r\n" HEAD "none\r\n\r\n",
    "404 ", false },
  { "another service",
    "GET /services/wallet/x HTTP/1.1\r\n" HEAD "once\r\n\r\n", "404 ", false },
  { "engine's path", "POST /v1/completions HTTP/1.1\r\n" HEAD "once\r\n\r\n",
    "404 ", false },
  { "invalid id",
    "GET /services/farm/x HTTP/1.1\r\nCherrylanding-Request-Id: a b\r\n" HEAD
    "once\r\n\r\n",
    "400 ", false },
  { "old version", "GET /services/farm/x HTTP/1.0\r\n" HEAD "once\r\n\r\n",
    "505 ", true },
  { "large body",
    "POST /services/farm/x HTTP/1.1\r\n" HEAD
    "once\r\nContent-Length: 1001\r\n\r\n",
    "413 ", true },
  { "two lengths",
    "POST /services/farm/x HTTP/1.1\r\n" HEAD
    "once\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n",
    "400 ", true },
  { "length and chunks",
    "POST /services/farm/x HTTP/1.1\r\n" HEAD
    "once\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n",
    "400 ", true },
  { "not HTTP", "hello\r\n\r\n", "400 ", true },
};

static void
test_refused_input (void)
{
  struct world world;
  struct received in;
  size_t i;
  int fd;

  world_init (&world);
  for (i = 0; i < sizeof (refused) / sizeof (refused[0]); i++)
    {
      fd = client_connect (&world);
      client_send (fd, refused[i].request);
      in = client_receive (&world, fd, refused[i].closes ? NULL : "}}");
      if (strncmp (in.text + strlen ("HTTP/1.x "), refused[i].status,
                   strlen (refused[i].status))
              != 0
          || strstr (in.text, "\r\nCherrylanding-Verdict: not-run\r\n") == NULL
          || strstr (in.text, "\"verdict\":\"not-run\"") == NULL
          || in.ended != refused[i].closes)
        {
          printf ("%s: %s\n", refused[i].name, in.text);
          CU_FAIL ("unexpected response");
        }
      close (fd);
    }
  CU_ASSERT_EQUAL (world.fake.started, 0);
  world_finish (&world);
}

static void
test_header_limit (void)
{
  char line[600];
  struct world world;
  struct received in;
  int fd;
  int i;

  world_init (&world);
  fd = client_connect (&world);
  client_send (fd, "GET / HTTP/1.1\r\n");
  snprintf (line, sizeof (line), "X: %0*d\r\n", 550, 0);
  for (i = 0; i < 5; i++)
    client_send (fd, line);
  in = client_receive (&world, fd, NULL);
  CU_ASSERT_PTR_NOT_NULL (strstr (in.text, "HTTP/1.1 431 "));
  CU_ASSERT_PTR_NOT_NULL (strstr (in.text, "not-run"));
  CU_ASSERT_TRUE (in.ended);
  close (fd);
  world_finish (&world);
}

static void
test_connection_limit (void)
{
  struct world world;
  struct received in;
  int fds[4];
  int i;

  world_init (&world);
  for (i = 0; i < 4; i++)
    fds[i] = client_connect (&world);
  client_send (fds[3], PLAIN_REQUEST);
  in = client_receive (&world, fds[3], NULL);
  CU_ASSERT_PTR_NOT_NULL (strstr (in.text, "HTTP/1.1 503 "));
  CU_ASSERT_PTR_NOT_NULL (strstr (in.text, "too_many_connections"));
  CU_ASSERT_PTR_NOT_NULL (strstr (in.text, "not-run"));
  client_send (fds[0], PLAIN_REQUEST);
  wait_attempt (&world, 1);
  for (i = 0; i < 4; i++)
    close (fds[i]);
  world_finish (&world);
}

static void
test_drain (void)
{
  struct world world;
  struct received in;
  int busy;
  int late;

  world_init (&world);
  busy = client_connect (&world);
  client_send (busy, PLAIN_REQUEST);
  wait_attempt (&world, 1);
  late = client_connect (&world);
  client_send (late, "GET /readyz HTTP/1.1\r\nHost: r\r\n\r\n");
  in = client_receive (&world, late, "ok");
  CU_ASSERT_PTR_NOT_NULL (strstr (in.text, "HTTP/1.1 200 "));
  close (late);
  router_drain (&world.router);
  CU_ASSERT_FALSE (router_ready (&world.router));
  late = client_connect (&world);
  client_send (late, "GET /readyz HTTP/1.1\r\nHost: r\r\n\r\n");
  in = client_receive (&world, late, "not ready");
  CU_ASSERT_PTR_NOT_NULL (strstr (in.text, "HTTP/1.1 503 "));
  close (late);
  late = client_connect (&world);
  client_send (late, PLAIN_REQUEST);
  in = client_receive (&world, late, "}}");
  CU_ASSERT_PTR_NOT_NULL (strstr (in.text, "\"draining\""));
  CU_ASSERT_PTR_NOT_NULL (strstr (in.text, "\"not-run\""));
  close (late);
  respond (&world, length_5, 2);
  respond_body (&world, "hello", 5);
  respond_end (&world, 0);
  in = client_receive (&world, busy, NULL);
  CU_ASSERT_PTR_NOT_NULL (strstr (in.text, "\r\nConnection: close\r\n"));
  CU_ASSERT_PTR_NOT_NULL (strstr (in.text, "\r\n\r\nhello"));
  CU_ASSERT_TRUE (in.ended);
  CU_ASSERT_EQUAL (router_run (&world.router), 0);
  close (busy);
  world_finish (&world);
}

static const struct suite_test tests[] = {
  { "whole response", test_whole_response },
  { "cut response of known length", test_cut_response_of_known_length },
  { "a cut stream never ends cleanly", test_cut_stream_never_ends_cleanly },
  { "client gone cancels", test_client_gone_cancels },
  { "slow client", test_slow_client },
  { "refused input", test_refused_input },
  { "header limit", test_header_limit },
  { "connection limit", test_connection_limit },
  { "drain", test_drain },
};

SUITE_MAIN ("test_request", tests)
