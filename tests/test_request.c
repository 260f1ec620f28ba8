/**
 * @file test_request.c
 * HTTP requests of clients on loopback through a complete router whose
 * upstream driver is a fake.
 */
#include "request_int.h"
#include "router.h"
#include "state/err.h"
#include "support/memory.h"
#include "support/suite.h"
#include "suspects.h"
#include <errno.h>
#include <event2/util.h>
#include <netinet/in.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define BUFFER_MAX       65536    /**< bytes; limits.response_buffer_bytes */
#define LOOP_TURNS_MAX   2000     /**< of the event loop, per condition */
#define POLL_INTERVAL_US 500      /**< sleep when a turn made no progress */
#define BODY_PART_BYTES  8192     /**< of the response to the slow client */
#define FLOOD_BYTES      33554432 /**< more than socket buffers hold */
#define RECEIVE_MAX      4096     /**< bytes of a response that are kept */
#define LONG_BYTES       131072   /**< more than response_buffer_bytes */
#define FULL_TURNS       20       /**< until a socket counts as full */
/* Of a body that waits for its end or its client: eight times its bytes. */
#define HELD_MAX_KB (8 * BUFFER_MAX / 1024)

#define KEY "key-of-ana-000000"
/** First headers of a request; the name of the profile follows. */
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

/** State of the fake driver and of its attempt in progress. */
struct fake_upstream
{
  struct upstream_attempt *handle; /**< NULL when there is none */
  const struct upstream_events *events;
  void *user;
  unsigned int started;
  unsigned int canceled;
  bool repeated; /**< see struct upstream_request */
  bool paused;
  char method[32]; /**< of the last attempt's request */
  size_t header_count;
};

struct fixture
{
  struct settings *settings;
  struct router router;
  struct fake_upstream fake;
  uint16_t port;
};

static struct upstream_attempt *
fake_start (void *driver, const struct upstream_request *request,
            const struct upstream_events *events, void *user)
{
  struct fake_upstream *fake = driver;

  snprintf (fake->method, sizeof (fake->method), "%s", request->method);
  fake->repeated = request->repeated;
  fake->header_count = request->header_count;
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
  struct fake_upstream *fake = (struct fake_upstream *)attempt;

  fake->canceled++;
  fake->handle = NULL;
}

static void
fake_pause (struct upstream_attempt *attempt, bool paused)
{
  ((struct fake_upstream *)attempt)->paused = paused;
}

static const struct upstream_driver fake_driver = {
  .name = "fake",
  .start = fake_start,
  .cancel = fake_cancel,
  .pause = fake_pause,
};

static void
fixture_init (struct fixture *fixture)
{
  char path[] = "/tmp/test_request.XXXXXX";
  int fd = mkstemp (path);

  memset (fixture, 0, sizeof (*fixture));
  CU_ASSERT_FATAL (fd >= 0);
  CU_ASSERT_EQUAL (write (fd, yaml, sizeof (yaml) - 1), sizeof (yaml) - 1);
  close (fd);
  CU_ASSERT_EQUAL_FATAL (settings_load (path, &fixture->settings, stdout), 0);
  CU_ASSERT_EQUAL_FATAL (settings_validate (fixture->settings, path, stdout),
                         0);
  unlink (path);
  CU_ASSERT_EQUAL_FATAL (router_init (&fixture->router, fixture->settings), 0);
  fixture->router.driver = &fake_driver;
  fixture->router.driver_state = &fixture->fake;
  fixture->port = httpd_port (fixture->router.httpd);
}

static void
fixture_finish (struct fixture *fixture)
{
  router_finish (&fixture->router);
  settings_free (fixture->settings);
}

/* Runs one turn of the event loop without waiting for events. */
static void
run_loop_once (struct fixture *fixture)
{
  event_base_loop (fixture->router.base, EVLOOP_NONBLOCK);
}

static int
client_connect (const struct fixture *fixture)
{
  struct sockaddr_in to = { .sin_family = AF_INET,
                            .sin_port = htons (fixture->port),
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

/* Runs the loop until `started` attempts have started in all. */
static void
wait_attempt (struct fixture *fixture, unsigned int started)
{
  int i;

  for (i = 0; i < LOOP_TURNS_MAX && fixture->fake.started < started; i++)
    {
      run_loop_once (fixture);
      usleep (POLL_INTERVAL_US);
    }
  CU_ASSERT_EQUAL (fixture->fake.started, started);
}

/** What a client has received. */
struct received
{
  char text[RECEIVE_MAX + 1];
  size_t size;
  bool ended; /**< the server closed the connection */
  bool reset;
};

/* Runs the loop until the client has received `until`, or, if that is NULL,
   until the connection has ended. */
static struct received
client_receive (struct fixture *fixture, int fd, const char *until)
{
  struct received in = { .size = 0 };
  ssize_t n;
  int i;

  for (i = 0; i < LOOP_TURNS_MAX && !in.ended && !in.reset; i++)
    {
      run_loop_once (fixture);
      n = recv (fd, in.text + in.size, RECEIVE_MAX - in.size, 0);
      if (n > 0)
        in.size += (size_t)n;
      in.ended = n == 0;
      in.reset = n < 0 && errno == ECONNRESET;
      in.text[in.size] = '\0';
      if (until != NULL && strstr (in.text, until) != NULL)
        return in;
      if (n < 0)
        usleep (POLL_INTERVAL_US);
    }
  return in;
}

/* HTTP request of the client that the current attempt belongs to. */
static const evhtp_request_t *
request_http (const struct fixture *fixture)
{
  return ((const struct request *)fixture->fake.user)->reply.http;
}

static void
respond_status (struct fixture *fixture, int status,
                const struct upstream_header *headers, size_t count)
{
  struct fake_upstream *fake = &fixture->fake;

  fake->events->sending (fake->user);
  fake->events->sent (fake->user);
  fake->events->responding (fake->user, status, headers, count);
}

static void
respond (struct fixture *fixture, const struct upstream_header *headers,
         size_t count)
{
  respond_status (fixture, 200, headers, count);
}

static void
respond_body (struct fixture *fixture, const char *bytes, size_t size)
{
  struct evbuffer *data = evbuffer_new ();

  evbuffer_add (data, bytes, size);
  fixture->fake.events->body (fixture->fake.user, data);
  evbuffer_free (data);
}

static void
respond_end (struct fixture *fixture, int error)
{
  struct fake_upstream *fake = &fixture->fake;

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
test_complete_response (void)
{
  struct fixture fixture;
  struct received in;
  int fd;

  fixture_init (&fixture);
  fd = client_connect (&fixture);
  client_send (fd, PLAIN_REQUEST);
  wait_attempt (&fixture, 1);
  respond (&fixture, length_5, 2);
  respond_body (&fixture, "hello", 5);
  respond_end (&fixture, 0);
  in = client_receive (&fixture, fd, "hello");
  CU_ASSERT_PTR_NOT_NULL (strstr (in.text, "HTTP/1.1 200 "));
  CU_ASSERT_PTR_NOT_NULL (strstr (in.text, "\r\nX-Own: yes\r\n"));
  CU_ASSERT_PTR_NOT_NULL (
      strstr (in.text, "\r\nCherrylanding-Request-Id: req-1\r\n"));
  CU_ASSERT_PTR_NOT_NULL (strstr (in.text, "\r\n\r\nhello"));
  /* The connection is kept alive for another request. */
  client_send (fd, PLAIN_REQUEST);
  wait_attempt (&fixture, 2);
  respond (&fixture, length_5, 2);
  respond_body (&fixture, "again", 5);
  respond_end (&fixture, 0);
  in = client_receive (&fixture, fd, "again");
  CU_ASSERT_PTR_NOT_NULL (strstr (in.text, "\r\n\r\nagain"));
  close (fd);
  fixture_finish (&fixture);
}

/* An upstream that has run a request may answer with such a status.  Guards
   against a verdict in it, which only the router may give. */
static void
test_refusal_of_upstream_has_no_verdict (void)
{
  static const struct upstream_header headers[]
      = { { "Content-Length", "5" }, { "Cherrylanding-Verdict", "not-run" } };
  static const int statuses[] = { 408, 421, 429, 503 };
  struct fixture fixture;
  struct received in;
  char status_line[32];
  unsigned int i;
  int fd;

  fixture_init (&fixture);
  for (i = 0; i < sizeof (statuses) / sizeof (statuses[0]); i++)
    {
      fd = client_connect (&fixture);
      client_send (fd, PLAIN_REQUEST);
      wait_attempt (&fixture, i + 1);
      respond_status (&fixture, statuses[i], headers, 2);
      respond_body (&fixture, "hello", 5);
      respond_end (&fixture, 0);
      in = client_receive (&fixture, fd, "hello");
      snprintf (status_line, sizeof (status_line), "HTTP/1.1 %d ",
                statuses[i]);
      CU_ASSERT_PTR_NOT_NULL (strstr (in.text, status_line));
      CU_ASSERT_PTR_NULL (strstr (in.text, "Cherrylanding-Verdict"));
      CU_ASSERT_PTR_NULL (strstr (in.text, "not-run"));
      close (fd);
    }
  fixture_finish (&fixture);
}

/* libevhtp has no name for these, or does not parse them. */
static const char *const unknown_methods[]
    = { "REPORT", "M-SEARCH", "get", "_", "CONNECT", "X'*!#$%&+.^`|~09" };

/* Each gets to the upstream as it was sent, on connections that are kept. */
static void
test_unknown_method (void)
{
  struct fixture fixture;
  struct received in;
  char text[256];
  unsigned int i;
  int fd;

  fixture_init (&fixture);
  fd = client_connect (&fixture);
  for (i = 0; i < sizeof (unknown_methods) / sizeof (unknown_methods[0]); i++)
    {
      snprintf (text, sizeof (text),
                "%s /services/farm/job HTTP/1.1\r\n" HEAD "once\r\n\r\n",
                unknown_methods[i]);
      client_send (fd, text);
      wait_attempt (&fixture, i + 1);
      CU_ASSERT_STRING_EQUAL (fixture.fake.method, unknown_methods[i]);
      CU_ASSERT_TRUE_FATAL (fixture.fake.started == i + 1);
      respond (&fixture, length_5, 2);
      respond_body (&fixture, "hello", 5);
      respond_end (&fixture, 0);
      in = client_receive (&fixture, fd, "hello");
      CU_ASSERT_PTR_NOT_NULL (strstr (in.text, "HTTP/1.1 200 "));
    }
  close (fd);
  fixture_finish (&fixture);
}

/* The digest of a request that crashes upstreams includes its method. */
static void
test_unknown_method_digest (void)
{
  struct fixture fixture;
  unsigned int i;
  int fd;

  fixture_init (&fixture);
  for (i = 0; i < 2; i++)
    {
      fd = client_connect (&fixture);
      client_send (fd, i == 0 ? "REPORT /services/farm/job HTTP/1.1\r\n" HEAD
                                "once\r\n\r\n"
                              : "SEARCH /services/farm/job HTTP/1.1\r\n" HEAD
                                "once\r\n\r\n");
      wait_attempt (&fixture, i + 1);
      fixture.fake.events->sending (fixture.fake.user);
      fixture.fake.events->sent (fixture.fake.user);
      respond_end (&fixture, ERR_RESET);
      client_receive (&fixture, fd, "}}");
      close (fd);
    }
  CU_ASSERT_EQUAL (fixture.router.quarantine.request_count, 2);
  fixture_finish (&fixture);
}

/* The refusal of an earlier attempt must not be taken for one of this attempt,
   which has the same ID. */
static void
test_refusal_of_earlier_attempt_is_believed (void)
{
  struct fixture fixture;
  struct received in;
  int fd;

  fixture_init (&fixture);
  fd = client_connect (&fixture);
  client_send (fd, PLAIN_REQUEST);
  wait_attempt (&fixture, 1);
  CU_ASSERT_FALSE (fixture.fake.repeated);
  fixture.fake.events->sending (fixture.fake.user);
  fixture.fake.events->sent (fixture.fake.user);
  respond_end (&fixture, ERR_UNAVAILABLE);
  wait_attempt (&fixture, 2);
  CU_ASSERT_TRUE (fixture.fake.repeated);
  respond (&fixture, length_5, 2);
  respond_body (&fixture, "hello", 5);
  respond_end (&fixture, 0);
  in = client_receive (&fixture, fd, "hello");
  CU_ASSERT_PTR_NOT_NULL (strstr (in.text, "HTTP/1.1 200 "));
  close (fd);
  fixture_finish (&fixture);
}

/* A buffered response that ends before its stated length is replaced by a
   refusal with the verdict. */
static void
test_truncated_buffered_response (void)
{
  struct fixture fixture;
  struct received in;
  int fd;

  fixture_init (&fixture);
  fd = client_connect (&fixture);
  client_send (fd, PLAIN_REQUEST);
  wait_attempt (&fixture, 1);
  respond (&fixture, length_5, 2);
  respond_body (&fixture, "hel", 3);
  respond_end (&fixture, ERR_TRUNCATED);
  in = client_receive (&fixture, fd, "}}");
  CU_ASSERT_PTR_NOT_NULL (strstr (in.text, "HTTP/1.1 502 "));
  CU_ASSERT_PTR_NOT_NULL (
      strstr (in.text, "\r\nCherrylanding-Verdict: may-have-run\r\n"));
  CU_ASSERT_PTR_NOT_NULL (strstr (in.text, "\r\nRetry-After: "));
  CU_ASSERT_PTR_NULL (strstr (in.text, "hel"));
  CU_ASSERT_PTR_NULL (strstr (in.text, "X-Own"));
  CU_ASSERT_EQUAL (fixture.fake.started, 1);
  close (fd);
  fixture_finish (&fixture);
}

/* A truncated chunked response must not look complete to the client: the
   connection is closed without a last chunk. */
static void
test_truncated_stream_closes_connection (void)
{
  struct fixture fixture;
  struct received in;
  int fd;

  fixture_init (&fixture);
  fd = client_connect (&fixture);
  client_send (fd, PLAIN_REQUEST);
  wait_attempt (&fixture, 1);
  respond (&fixture, chunked, 1);
  respond_body (&fixture, "hello", 5);
  in = client_receive (&fixture, fd, "hello");
  CU_ASSERT_PTR_NOT_NULL (strstr (in.text, "hello"));
  respond_end (&fixture, ERR_TRUNCATED);
  in = client_receive (&fixture, fd, NULL);
  CU_ASSERT_TRUE (in.ended);
  CU_ASSERT_FALSE (in.reset);
  CU_ASSERT_EQUAL (in.size, 0);
  close (fd);
  fixture_finish (&fixture);
}

static void
test_client_disconnect_cancels (void)
{
  struct fixture fixture;
  int fd;
  int i;

  fixture_init (&fixture);
  fd = client_connect (&fixture);
  client_send (fd, PLAIN_REQUEST);
  wait_attempt (&fixture, 1);
  close (fd);
  for (i = 0; i < LOOP_TURNS_MAX && fixture.fake.canceled == 0; i++)
    run_loop_once (&fixture);
  CU_ASSERT_EQUAL (fixture.fake.canceled, 1);
  CU_ASSERT_EQUAL (dispatch_total (fixture.router.dispatch), 0);
  CU_ASSERT_EQUAL (fixture.router.slots.entries->busy, 0);
  CU_ASSERT_EQUAL (httpd_connections (fixture.router.httpd), 0);
  fixture_finish (&fixture);
}

/* A client that does not read pauses its upstream, and the router buffers at
   most limits.response_buffer_bytes for it.  When the client reads again, the
   upstream is resumed. */
static void
test_slow_client (void)
{
  static const char part[BODY_PART_BYTES] = { 'x' };
  const char start[] = "POST /services/farm/job HTTP/1.1\r\n" HEAD "once\r\n"
                       "Content-Length: 0\r\n\r\n";
  struct fixture fixture;
  struct received in;
  size_t sent = 0;
  size_t pending = 0;
  int fd;
  int i;

  fixture_init (&fixture);
  fd = client_connect (&fixture);
  client_send (fd, start);
  wait_attempt (&fixture, 1);
  respond (&fixture, chunked, 1);
  while (!fixture.fake.paused && sent < FLOOD_BYTES)
    {
      respond_body (&fixture, part, sizeof (part));
      sent += sizeof (part);
      run_loop_once (&fixture);
      if (fixture.fake.paused)
        break;
    }
  CU_ASSERT_TRUE (fixture.fake.paused);
  /* The driver may still deliver data that it read before it was paused. */
  for (i = 0; i < BUFFER_MAX / 4 / BODY_PART_BYTES; i++)
    respond_body (&fixture, part, sizeof (part));
  pending = httpd_pending_bytes (request_http (&fixture));
  CU_ASSERT (pending > 0 && pending <= BUFFER_MAX);
  for (i = 0; i < LOOP_TURNS_MAX && fixture.fake.paused; i++)
    {
      in = client_receive (&fixture, fd, "x");
      CU_ASSERT (in.size > 0);
    }
  CU_ASSERT_FALSE (fixture.fake.paused);
  close (fd);
  fixture_finish (&fixture);
}

/* The client reads nothing, until its socket takes no more for some turns. */
static void
fill_socket (struct fixture *fixture)
{
  static const char part[BODY_PART_BYTES] = { 'x' };
  size_t sent = 0;
  int full = 0;

  while (full < FULL_TURNS && sent < FLOOD_BYTES)
    {
      run_loop_once (fixture);
      if (httpd_pending_bytes (request_http (fixture)) > 0)
        {
          full++;
          usleep (POLL_INTERVAL_US);
          continue;
        }
      full = 0;
      respond_body (fixture, part, sizeof (part));
      sent += sizeof (part);
    }
  CU_ASSERT_FALSE (fixture->fake.paused);
}

/* Bytes one by one, until the upstream is paused or there are as many as the
   buffer may hold, take little more memory than their number. */
static void
play_byte_by_byte (const struct upstream_header *header, size_t bytes,
                   bool streamed)
{
  const char start[] = "POST /services/farm/job HTTP/1.1\r\n" HEAD "once\r\n"
                       "Content-Length: 0\r\n\r\n";
  const int socket_bytes = 4096;
  struct fixture fixture;
  uint64_t before_kb;
  uint64_t held_kb;
  size_t sent;
  int fd;

  fixture_init (&fixture);
  fd = client_connect (&fixture);
  setsockopt (fd, SOL_SOCKET, SO_RCVBUF, &socket_bytes, sizeof socket_bytes);
  client_send (fd, start);
  wait_attempt (&fixture, 1);
  setsockopt (bufferevent_getfd (request_http (&fixture)->conn->bev),
              SOL_SOCKET, SO_SNDBUF, &socket_bytes, sizeof socket_bytes);
  respond (&fixture, header, 1);
  if (streamed)
    fill_socket (&fixture);
  before_kb = memory_kb ();
  for (sent = 0; sent < bytes && !fixture.fake.paused; sent++)
    respond_body (&fixture, "x", 1);
  CU_ASSERT_EQUAL (fixture.fake.paused, streamed);
  held_kb = memory_kb () - before_kb;
  if (held_kb >= HELD_MAX_KB)
    printf ("%s: %zu bytes one by one take %zu KB\n", header->value, sent,
            (size_t)held_kb);
  CU_ASSERT (held_kb < HELD_MAX_KB);
  close (fd);
  fixture_finish (&fixture);
}

static void
test_small_parts_of_buffered_body (void)
{
  const struct upstream_header length = { "Content-Length", "60000" };

  play_byte_by_byte (&length, 60000 - 1, false);
}

static void
test_small_parts_of_long_body (void)
{
  const struct upstream_header length = { "Content-Length", "1000000000" };

  play_byte_by_byte (&length, LONG_BYTES, true);
}

static void
test_small_parts_of_chunked_body (void)
{
  play_byte_by_byte (chunked, LONG_BYTES, true);
}

/** Refused input and the expected status. */
static const struct
{
  const char *name;
  const char *request;
  const char *status;
  bool closes; /**< the router closes the connection after its response */
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
  { "path of an engine service",
    "POST /v1/completions HTTP/1.1\r\n" HEAD "once\r\n\r\n", "404 ", false },
  { "invalid request id",
    "GET /services/farm/x HTTP/1.1\r\nCherrylanding-Request-Id: a "
    "b\r\n" HEAD "once\r\n\r\n",
    "400 ", false },
  { "HTTP/1.0", "GET /services/farm/x HTTP/1.0\r\n" HEAD "once\r\n\r\n",
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
  { "space before the colon of a length",
    "POST /services/farm/x HTTP/1.1\r\n" HEAD
    "once\r\nContent-Length : 2\r\n\r\nhi",
    "400 ", true },
  { "folded line",
    "POST /services/farm/x HTTP/1.1\r\n" HEAD "once\r\n X: a\r\n\r\n", "400 ",
    true },
  { "chunk size above 2^64",
    "POST /services/farm/x HTTP/1.1\r\n" HEAD
    "once\r\nTransfer-Encoding: chunked\r\n\r\n"
    "10000000000000002\r\nhi\r\n0\r\n\r\n",
    "400 ", true },
  { "not HTTP", "hello\r\n\r\n", "400 ", true },
  { "method that is no token",
    "GE(T /services/farm/x HTTP/1.1\r\n" HEAD "once\r\n\r\n", "400 ", true },
};

static void
test_refused_input (void)
{
  struct fixture fixture;
  struct received in;
  size_t i;
  int fd;

  fixture_init (&fixture);
  for (i = 0; i < sizeof (refused) / sizeof (refused[0]); i++)
    {
      fd = client_connect (&fixture);
      client_send (fd, refused[i].request);
      in = client_receive (&fixture, fd, refused[i].closes ? NULL : "}}");
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
  CU_ASSERT_EQUAL (fixture.fake.started, 0);
  fixture_finish (&fixture);
}

static void
test_header_limit (void)
{
  char line[600];
  struct fixture fixture;
  struct received in;
  int fd;
  int i;

  fixture_init (&fixture);
  fd = client_connect (&fixture);
  client_send (fd, "GET / HTTP/1.1\r\n");
  snprintf (line, sizeof (line), "X: %0*d\r\n", 550, 0);
  for (i = 0; i < 5; i++)
    client_send (fd, line);
  in = client_receive (&fixture, fd, NULL);
  CU_ASSERT_PTR_NOT_NULL (strstr (in.text, "HTTP/1.1 431 "));
  CU_ASSERT_PTR_NOT_NULL (strstr (in.text, "not-run"));
  CU_ASSERT_TRUE (in.ended);
  close (fd);
  fixture_finish (&fixture);
}

/* All headers of a request get to the upstream, or it is refused. */
static void
test_many_headers (void)
{
  const size_t own = HTTPD_HEADERS_MAX - 3; /* the others are in HEAD */
  struct fixture fixture;
  struct received in = { .size = 0 };
  unsigned int i;
  size_t count;
  int fd;

  fixture_init (&fixture);
  for (i = 0; i < 2; i++)
    {
      fd = client_connect (&fixture);
      client_send (fd, "GET /services/farm/job HTTP/1.1\r\n" HEAD "once\r\n");
      for (count = 0; count < own + i; count++)
        client_send (fd, "A:b\r\n");
      client_send (fd, "\r\n");
      if (i == 0)
        wait_attempt (&fixture, 1);
      else
        in = client_receive (&fixture, fd, NULL);
      close (fd);
    }
  CU_ASSERT (fixture.fake.header_count >= own);
  CU_ASSERT_EQUAL (fixture.fake.started, 1);
  CU_ASSERT_PTR_NOT_NULL (strstr (in.text, "HTTP/1.1 431 "));
  fixture_finish (&fixture);
}

static void
test_connection_limit (void)
{
  struct fixture fixture;
  struct received in;
  int fds[4];
  int i;

  fixture_init (&fixture);
  for (i = 0; i < 4; i++)
    fds[i] = client_connect (&fixture);
  client_send (fds[3], PLAIN_REQUEST);
  in = client_receive (&fixture, fds[3], NULL);
  CU_ASSERT_PTR_NOT_NULL (strstr (in.text, "HTTP/1.1 503 "));
  CU_ASSERT_PTR_NOT_NULL (strstr (in.text, "too_many_connections"));
  CU_ASSERT_PTR_NOT_NULL (strstr (in.text, "not-run"));
  client_send (fds[0], PLAIN_REQUEST);
  wait_attempt (&fixture, 1);
  for (i = 0; i < 4; i++)
    close (fds[i]);
  fixture_finish (&fixture);
}

static void
test_drain (void)
{
  struct fixture fixture;
  struct received in;
  int busy;
  int late;

  fixture_init (&fixture);
  busy = client_connect (&fixture);
  client_send (busy, PLAIN_REQUEST);
  wait_attempt (&fixture, 1);
  late = client_connect (&fixture);
  client_send (late, "GET /readyz HTTP/1.1\r\nHost: r\r\n\r\n");
  in = client_receive (&fixture, late, "ok");
  CU_ASSERT_PTR_NOT_NULL (strstr (in.text, "HTTP/1.1 200 "));
  close (late);
  router_drain (&fixture.router);
  CU_ASSERT_FALSE (router_ready (&fixture.router));
  late = client_connect (&fixture);
  client_send (late, "GET /readyz HTTP/1.1\r\nHost: r\r\n\r\n");
  in = client_receive (&fixture, late, "not ready");
  CU_ASSERT_PTR_NOT_NULL (strstr (in.text, "HTTP/1.1 503 "));
  close (late);
  late = client_connect (&fixture);
  client_send (late, PLAIN_REQUEST);
  in = client_receive (&fixture, late, "}}");
  CU_ASSERT_PTR_NOT_NULL (strstr (in.text, "\"draining\""));
  CU_ASSERT_PTR_NOT_NULL (strstr (in.text, "\"not-run\""));
  close (late);
  respond (&fixture, length_5, 2);
  respond_body (&fixture, "hello", 5);
  respond_end (&fixture, 0);
  in = client_receive (&fixture, busy, NULL);
  CU_ASSERT_PTR_NOT_NULL (strstr (in.text, "\r\nConnection: close\r\n"));
  CU_ASSERT_PTR_NOT_NULL (strstr (in.text, "\r\n\r\nhello"));
  CU_ASSERT_TRUE (in.ended);
  CU_ASSERT_EQUAL (router_run (&fixture.router), 0);
  close (busy);
  fixture_finish (&fixture);
}

/* Sends the request and lets the upstream crash under it. */
static void
crash_upstream (struct fixture *fixture, unsigned int started)
{
  struct received in;
  int fd = client_connect (fixture);

  client_send (fd, PLAIN_REQUEST);
  wait_attempt (fixture, started);
  fixture->fake.events->sending (fixture->fake.user);
  fixture->fake.events->sent (fixture->fake.user);
  respond_end (fixture, ERR_RESET);
  in = client_receive (fixture, fd, "}}");
  CU_ASSERT_PTR_NOT_NULL (strstr (in.text, "HTTP/1.1 502 "));
  close (fd);
}

/* Crashes here and at other instances count together; another request of the
   same customer is served. */
static void
test_crashing_request (void)
{
  struct fixture fixture;
  struct quarantine_row rows[2];
  const struct message_load load = { .suspects = rows, .suspect_count = 2 };
  struct quarantine *quarantine = &fixture.router.quarantine;
  struct received in;
  unsigned int i;
  int fd;

  fixture_init (&fixture);
  crash_upstream (&fixture, 1);
  CU_ASSERT_PTR_NOT_NULL_FATAL (quarantine->entries);
  for (i = 0; i < 2 && quarantine->entries != NULL; i++)
    rows[i] = (struct quarantine_row){ .key = quarantine->entries->key,
                                       .upstream_id = 7 + i,
                                       .crashes = 1 };
  suspects_receive (&fixture.router, &load, router_now_ns (&fixture.router));
  for (i = 0;
       i < LOOP_TURNS_MAX
       && quarantine_held_count (quarantine, router_now_ns (&fixture.router))
              == 0;
       i++)
    usleep (POLL_INTERVAL_US);
  fd = client_connect (&fixture);
  client_send (fd, PLAIN_REQUEST);
  in = client_receive (&fixture, fd, "}}");
  CU_ASSERT_PTR_NOT_NULL (strstr (in.text, "HTTP/1.1 503 "));
  CU_ASSERT_PTR_NOT_NULL (
      strstr (in.text, "\r\nCherrylanding-Verdict: not-run\r\n"));
  CU_ASSERT_PTR_NOT_NULL (strstr (in.text, "\r\nRetry-After: 60"));
  CU_ASSERT_EQUAL (fixture.fake.started, 1);
  close (fd);
  fd = client_connect (&fixture);
  client_send (fd, "POST /services/farm/job HTTP/1.1\r\n" HEAD
                   "once\r\nContent-Length: 2\r\n\r\nho");
  wait_attempt (&fixture, 2);
  respond (&fixture, length_5, 2);
  respond_body (&fixture, "hello", 5);
  respond_end (&fixture, 0);
  in = client_receive (&fixture, fd, "hello");
  CU_ASSERT_PTR_NOT_NULL (strstr (in.text, "HTTP/1.1 200 "));
  close (fd);
  fixture_finish (&fixture);
}

static const struct suite_test tests[] = {
  { "complete response", test_complete_response },
  { "refusal of an upstream has no verdict",
    test_refusal_of_upstream_has_no_verdict },
  { "refusal of an earlier attempt is believed",
    test_refusal_of_earlier_attempt_is_believed },
  { "a method that libevhtp has no name for ends the router",
    test_unknown_method },
  { "requests with methods that libevhtp has no name for count as one",
    test_unknown_method_digest },
  { "truncated buffered response", test_truncated_buffered_response },
  { "a truncated stream closes the connection",
    test_truncated_stream_closes_connection },
  { "client disconnect cancels the attempt", test_client_disconnect_cancels },
  { "slow client", test_slow_client },
  { "small parts of a buffered body", test_small_parts_of_buffered_body },
  { "small parts of a long body", test_small_parts_of_long_body },
  { "small parts of a chunked body", test_small_parts_of_chunked_body },
  { "refused input", test_refused_input },
  { "header limit", test_header_limit },
  { "headers above a number are dropped", test_many_headers },
  { "connection limit", test_connection_limit },
  { "drain", test_drain },
  { "request that crashes upstreams", test_crashing_request },
};

SUITE_MAIN ("test_request", tests)
