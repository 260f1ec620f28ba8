/**
 * @file test_upstream.c
 * The HTTP upstream driver against a scripted server on loopback: which
 * callbacks an attempt makes, which responses count as complete, and which
 * connections are reused.
 */
#include "state/err.h"
#include "state/verdict.h"
#include "support/suite.h"
#include "transport/upstream_http.h"
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <event2/util.h>
#include <netinet/in.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#define LARGE_BODY        8388608 /**< bytes; more than socket buffers hold */
#define IDLE_TIMEOUT_MS   10000
#define RESET_ROUNDS      12
#define RESET_TURNS       20 /**< of the loop, until a reset has arrived */
#define REQUEST_ID_HEADER "Cherrylanding-Request-Id: req-1\r\n"

/** What the server does with the connection after its reply. */
enum after_reply
{
  AFTER_REPLY_KEEP_OPEN,
  AFTER_REPLY_CLOSE,
  AFTER_REPLY_RESET
};

struct script
{
  const char *reply; /**< sent for the first request bytes; NULL: none */
  enum after_reply after;
};

/** A scripted server and the driver under test, on one event loop. */
struct fixture
{
  struct event_base *base;
  struct clock clock;
  struct upstream_http *http;
  struct evconnlistener *listener;
  uint64_t upstream_id;
  char address[32];
  struct script script;
  struct bufferevent *server; /**< connection accepted last */
  unsigned int accepted;
  bool server_replied;
  bool server_closed;
  /* Reported by the driver. */
  struct upstream_attempt *attempt;
  bool sending;
  bool sent;
  bool draining;
  int status;
  int error;
  bool ended;
  bool cancel_in_body;
  char body[256];
  size_t body_size;
};

static void
on_server_event (struct bufferevent *bev, short what, void *user)
{
  struct fixture *fixture = user;

  (void)what;
  fixture->server_closed = true;
  bufferevent_free (bev);
  fixture->server = NULL;
}

static void
server_after_reply (struct fixture *fixture)
{
  const struct linger reset = { .l_onoff = 1, .l_linger = 0 };

  if (fixture->script.after == AFTER_REPLY_KEEP_OPEN)
    return;
  if (fixture->script.after == AFTER_REPLY_RESET)
    setsockopt (bufferevent_getfd (fixture->server), SOL_SOCKET, SO_LINGER,
                &reset, sizeof (reset));
  bufferevent_free (fixture->server);
  fixture->server = NULL;
}

static void
on_server_written (struct bufferevent *bev, void *user)
{
  struct fixture *fixture = user;

  (void)bev;
  if (fixture->server_replied)
    server_after_reply (fixture);
}

static void
on_server_read (struct bufferevent *bev, void *user)
{
  struct fixture *fixture = user;
  struct evbuffer *input = bufferevent_get_input (bev);

  evbuffer_drain (input, evbuffer_get_length (input));
  if (fixture->script.reply == NULL)
    server_after_reply (fixture);
  else
    {
      bufferevent_write (bev, fixture->script.reply,
                         strlen (fixture->script.reply));
      fixture->server_replied = true;
    }
}

static void
on_accept (struct evconnlistener *listener, evutil_socket_t fd,
           struct sockaddr *address, int size, void *user)
{
  struct fixture *fixture = user;

  (void)listener;
  (void)address;
  (void)size;
  fixture->accepted++;
  fixture->server_replied = false;
  fixture->server
      = bufferevent_socket_new (fixture->base, fd, BEV_OPT_CLOSE_ON_FREE);
  bufferevent_setcb (fixture->server, on_server_read, on_server_written,
                     on_server_event, fixture);
  bufferevent_setwatermark (fixture->server, EV_READ, 0, 4096);
  bufferevent_enable (fixture->server, EV_READ | EV_WRITE);
}

static void
on_sending (void *user)
{
  ((struct fixture *)user)->sending = true;
}

static void
on_sent (void *user)
{
  ((struct fixture *)user)->sent = true;
}

static void
on_responding (void *user, int status, const struct upstream_header *headers,
               size_t count)
{
  (void)headers;
  (void)count;
  ((struct fixture *)user)->status = status;
}

static void
on_body (void *user, struct evbuffer *data)
{
  struct fixture *fixture = user;
  int n = evbuffer_remove (data, fixture->body + fixture->body_size,
                           sizeof (fixture->body) - 1 - fixture->body_size);

  fixture->body_size += n > 0 ? (size_t)n : 0;
  if (fixture->cancel_in_body)
    {
      upstream_http_driver.cancel (fixture->attempt);
      fixture->ended = true;
    }
}

static void
on_completed (void *user)
{
  struct fixture *fixture = user;

  CU_ASSERT_FALSE (fixture->ended);
  fixture->ended = true;
}

static void
on_failed (void *user, int error)
{
  struct fixture *fixture = user;

  CU_ASSERT_FALSE (fixture->ended);
  fixture->error = error;
  fixture->ended = true;
}

static void
on_draining (void *user)
{
  ((struct fixture *)user)->draining = true;
}

static const struct upstream_events events = {
  .sending = on_sending,
  .sent = on_sent,
  .responding = on_responding,
  .body = on_body,
  .completed = on_completed,
  .failed = on_failed,
  .draining = on_draining,
};

/** Dialect that fixture_init() configures; NULL: the default one. */
static const struct upstream_dialect *dialect;

static void
fixture_init (struct fixture *fixture)
{
  struct sockaddr_in any
      = { .sin_family = AF_INET, .sin_addr = { htonl (INADDR_LOOPBACK) } };
  socklen_t size = sizeof (any);
  struct upstream_http_config config;

  memset (fixture, 0, sizeof (*fixture));
  fixture->base = event_base_new ();
  clock_init_manual (&fixture->clock, 0, 0);
  config = (struct upstream_http_config){ .base = fixture->base,
                                          .clock = &fixture->clock,
                                          .dialect = dialect,
                                          .connect_timeout_ms = 1000,
                                          .read_max_bytes = 65536 };
  fixture->http = upstream_http_new (&config);
  fixture->listener = evconnlistener_new_bind (
      fixture->base, on_accept, fixture, LEV_OPT_CLOSE_ON_FREE, 8,
      (struct sockaddr *)&any, sizeof (any));
  getsockname (evconnlistener_get_fd (fixture->listener),
               (struct sockaddr *)&any, &size);
  fixture->upstream_id = 1;
  snprintf (fixture->address, sizeof (fixture->address), "127.0.0.1:%u",
            ntohs (any.sin_port));
}

static void
fixture_finish (struct fixture *fixture)
{
  if (!fixture->ended)
    upstream_http_driver.cancel (fixture->attempt);
  upstream_http_free (fixture->http);
  if (fixture->server != NULL)
    bufferevent_free (fixture->server);
  if (fixture->listener != NULL)
    evconnlistener_free (fixture->listener);
  /* libevent frees bufferevents in a later turn of the loop. */
  event_base_loop (fixture->base, EVLOOP_NONBLOCK);
  event_base_free (fixture->base);
}

static void
start_attempt (struct fixture *fixture, struct upstream_request *request)
{
  fixture->sending = fixture->sent = fixture->ended = fixture->draining
      = false;
  fixture->error = fixture->status = 0;
  fixture->body_size = 0;
  memset (fixture->body, 0, sizeof (fixture->body));
  request->request_id = "req-1";
  if (request->method == NULL)
    request->method = "POST";
  request->path = "/x";
  request->upstream_id = fixture->upstream_id;
  request->address = fixture->address;
  request->idle_timeout_ms = IDLE_TIMEOUT_MS;
  fixture->attempt
      = upstream_http_driver.start (fixture->http, request, &events, fixture);
  CU_ASSERT_PTR_NOT_NULL_FATAL (fixture->attempt);
  CU_ASSERT_FALSE (fixture->ended);
}

/* Runs the loop until `*done` is set; the time limit makes a missing event
   fail the test instead of hanging it. */
static void
run_until (struct fixture *fixture, const bool *done)
{
  const struct timeval limit = { .tv_sec = 5 };

  event_base_loopexit (fixture->base, &limit);
  while (!*done && !event_base_got_exit (fixture->base))
    event_base_loop (fixture->base, EVLOOP_ONCE);
  CU_ASSERT_TRUE (*done);
}

static void
run_attempt (struct fixture *fixture, struct upstream_request *request,
             const struct script *script)
{
  fixture->script = *script;
  start_attempt (fixture, request);
  run_until (fixture, &fixture->ended);
}

static void
test_refused_connection_sends_nothing (void)
{
  struct fixture fixture;
  struct upstream_request request = { .idempotent = false };
  const struct script script = { NULL, AFTER_REPLY_KEEP_OPEN };

  fixture_init (&fixture);
  evconnlistener_free (fixture.listener);
  fixture.listener = NULL;
  run_attempt (&fixture, &request, &script);
  CU_ASSERT_EQUAL (fixture.error, ERR_REFUSED);
  CU_ASSERT_FALSE (fixture.sending);
  fixture_finish (&fixture);
}

static void
test_reset_after_first_byte (void)
{
  struct fixture fixture;
  struct upstream_request request = { .body = "hello", .body_size = 5 };
  const struct script script = { NULL, AFTER_REPLY_RESET };

  fixture_init (&fixture);
  run_attempt (&fixture, &request, &script);
  CU_ASSERT_EQUAL (fixture.error, ERR_RESET);
  CU_ASSERT_TRUE (fixture.sending);
  CU_ASSERT_TRUE (fixture.sent);
  fixture_finish (&fixture);
}

static bool
server_sees_close (const struct fixture *fixture)
{
  char byte;

  return recv (bufferevent_getfd (fixture->server), &byte, 1,
               MSG_PEEK | MSG_DONTWAIT)
         == 0;
}

/* An upstream works on for a canceled request until it sees the close, which
   must not wait for a busy event loop. */
static void
test_canceled_attempt_runs_on (void)
{
  struct fixture fixture;
  struct upstream_request request = { .method = "GET" };
  int turn;

  fixture_init (&fixture);
  start_attempt (&fixture, &request);
  run_until (&fixture, &fixture.sent);
  for (turn = 0; turn < 5; turn++)
    event_base_loop (fixture.base, EVLOOP_NONBLOCK);
  CU_ASSERT_PTR_NOT_NULL_FATAL (fixture.server);
  CU_ASSERT_FALSE (server_sees_close (&fixture));
  upstream_http_driver.cancel (fixture.attempt);
  fixture.ended = true;
  CU_ASSERT_TRUE (server_sees_close (&fixture));
  fixture_finish (&fixture);
}

/** A response of the server and the expected outcome of the attempt. */
struct response_case
{
  const char *name;
  const char *reply;
  enum after_reply after;
  int error;
  int status;
  const char *body;
  uint64_t resume_after;
  const char *method;
};

#define OK_HEADERS    "HTTP/1.1 200 OK\r\n" REQUEST_ID_HEADER
#define CHUNKED_HELLO "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n"

static const struct response_case response_cases[] = {
  { "complete", OK_HEADERS "Content-Length: 5\r\n\r\nhello", AFTER_REPLY_CLOSE,
    0, 200, "hello", 0, NULL },
  { "empty", OK_HEADERS "Content-Length: 0\r\n\r\n", AFTER_REPLY_CLOSE, 0, 200,
    "", 0, NULL },
  { "chunked", OK_HEADERS CHUNKED_HELLO "0\r\n\r\n", AFTER_REPLY_CLOSE, 0, 200,
    "hello", 0, NULL },
  { "after 100 Continue",
    "HTTP/1.1 100 Continue\r\n\r\n" OK_HEADERS CHUNKED_HELLO "0\r\n\r\n",
    AFTER_REPLY_KEEP_OPEN, 0, 200, "hello", 0, NULL },
  { "101 Switching Protocols", "HTTP/1.1 101 Switching\r\n\r\n",
    AFTER_REPLY_KEEP_OPEN, ERR_PROTOCOL, 0, "", 0, NULL },
  { "204 No Content", "HTTP/1.1 204 No Content\r\n" REQUEST_ID_HEADER "\r\n",
    AFTER_REPLY_KEEP_OPEN, 0, 204, "", 0, NULL },
  { "response to HEAD", OK_HEADERS "Content-Length: 5\r\n\r\n",
    AFTER_REPLY_KEEP_OPEN, 0, 200, "", 0, "HEAD" },
  { "truncated body", OK_HEADERS "Content-Length: 5\r\n\r\nhell",
    AFTER_REPLY_CLOSE, ERR_TRUNCATED, 200, "hell", 0, NULL },
  { "truncated chunks", OK_HEADERS CHUNKED_HELLO, AFTER_REPLY_CLOSE,
    ERR_TRUNCATED, 200, "hello", 0, NULL },
  { "truncated headers", OK_HEADERS "Content-Le", AFTER_REPLY_CLOSE, ERR_RESET,
    0, "", 0, NULL },
  { "no length", OK_HEADERS "\r\nhello", AFTER_REPLY_CLOSE, ERR_PROTOCOL, 0,
    "", 0, NULL },
  { "two lengths",
    OK_HEADERS "Content-Length: 5\r\nContent-Length: 6\r\n\r\nhello",
    AFTER_REPLY_CLOSE, ERR_PROTOCOL, 0, "", 0, NULL },
  { "length and chunks",
    OK_HEADERS "Content-Length: 5\r\n" CHUNKED_HELLO "0\r\n\r\n",
    AFTER_REPLY_CLOSE, ERR_PROTOCOL, 0, "", 0, NULL },
  { "not HTTP", "hello\r\n\r\n", AFTER_REPLY_KEEP_OPEN, ERR_PROTOCOL, 0, "", 0,
    NULL },
  { "another request's id",
    "HTTP/1.1 200 OK\r\nCherrylanding-Request-Id: req-2\r\n"
    "Content-Length: 5\r\n\r\nhello",
    AFTER_REPLY_KEEP_OPEN, ERR_MISMATCH, 0, "", 0, NULL },
  { "no request id", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello",
    AFTER_REPLY_KEEP_OPEN, ERR_MISMATCH, 0, "", 0, NULL },
  { "503 with verdict not-run",
    "HTTP/1.1 503 Busy\r\n" REQUEST_ID_HEADER
    "Cherrylanding-Verdict: not-run\r\nContent-Length: 0\r\n\r\n",
    AFTER_REPLY_KEEP_OPEN, ERR_UNAVAILABLE, 0, "", 0, NULL },
  { "503 without verdict",
    "HTTP/1.1 503 Busy\r\n" REQUEST_ID_HEADER "Content-Length: 0\r\n\r\n",
    AFTER_REPLY_KEEP_OPEN, 0, 503, "", 0, NULL },
  { "resumed",
    OK_HEADERS "Cherrylanding-Resumed: 7\r\n" CHUNKED_HELLO "0\r\n\r\n",
    AFTER_REPLY_KEEP_OPEN, 0, 200, "hello", 7, NULL },
  { "resumed at another offset",
    OK_HEADERS "Cherrylanding-Resumed: 70\r\n" CHUNKED_HELLO "0\r\n\r\n",
    AFTER_REPLY_KEEP_OPEN, ERR_PROTOCOL, 0, "", 7, NULL },
  { "not resumed", OK_HEADERS CHUNKED_HELLO "0\r\n\r\n", AFTER_REPLY_KEEP_OPEN,
    ERR_PROTOCOL, 0, "", 7, NULL },
};

static void
test_responses (void)
{
  const struct response_case *c;
  struct fixture fixture;
  struct script script;
  size_t i;

  for (i = 0; i < sizeof (response_cases) / sizeof (response_cases[0]); i++)
    {
      struct upstream_request request = { .idempotent = true };

      c = &response_cases[i];
      request.resume_after = c->resume_after;
      request.method = c->method;
      script = (struct script){ c->reply, c->after };
      fixture_init (&fixture);
      run_attempt (&fixture, &request, &script);
      if (fixture.error != c->error || fixture.status != c->status
          || strcmp (fixture.body, c->body) != 0)
        {
          printf ("%s: error %s, status %d, body '%s'\n", c->name,
                  err_name (fixture.error), fixture.status, fixture.body);
          CU_FAIL ("unexpected outcome");
        }
      fixture_finish (&fixture);
    }
}

/* A complete response is delivered even if more bytes follow it.  These are
   discarded, and the connection is not reused. */
static void
test_bytes_after_response (void)
{
  static const struct response_case cases[] = {
    { "too long", OK_HEADERS "Content-Length: 4\r\n\r\nhello",
      AFTER_REPLY_KEEP_OPEN, 0, 200, "hell", 0, NULL },
    { "second response", OK_HEADERS CHUNKED_HELLO "0\r\n\r\n" OK_HEADERS,
      AFTER_REPLY_KEEP_OPEN, 0, 200, "hello", 0, NULL },
    { "second response, complete",
      OK_HEADERS CHUNKED_HELLO "0\r\n\r\n" OK_HEADERS CHUNKED_HELLO
                               "0\r\n\r\n",
      AFTER_REPLY_CLOSE, 0, 200, "hello", 0, NULL },
  };
  struct fixture fixture;
  size_t i;

  for (i = 0; i < sizeof (cases) / sizeof (cases[0]); i++)
    {
      struct upstream_request request = { .idempotent = true };
      const struct script script = { cases[i].reply, cases[i].after };

      fixture_init (&fixture);
      run_attempt (&fixture, &request, &script);
      CU_ASSERT_EQUAL (fixture.error, 0);
      CU_ASSERT_EQUAL (fixture.status, 200);
      CU_ASSERT_STRING_EQUAL (fixture.body, cases[i].body);
      CU_ASSERT_EQUAL (upstream_http_connections (fixture.http), 0);
      fixture_finish (&fixture);
    }
}

/* A close-delimited response is complete if the connection was closed and
   truncated if it was reset. */
static void
test_close_delimited_responses (void)
{
  static const struct response_case cases[] = {
    { "closed", OK_HEADERS "\r\nhello", AFTER_REPLY_CLOSE, 0, 200, "hello", 0,
      NULL },
    { "empty", OK_HEADERS "\r\n", AFTER_REPLY_CLOSE, 0, 200, "", 0, NULL },
    { "reset", OK_HEADERS "\r\nhello", AFTER_REPLY_RESET, ERR_TRUNCATED, 200,
      NULL, 0, NULL },
  };
  struct upstream_dialect close_delimited = upstream_default_dialect;
  struct fixture fixture;
  size_t i;

  close_delimited.allow_close_delimited = true;
  dialect = &close_delimited;
  for (i = 0; i < sizeof (cases) / sizeof (cases[0]); i++)
    {
      struct upstream_request request = { .idempotent = true };
      const struct script script = { cases[i].reply, cases[i].after };

      fixture_init (&fixture);
      run_attempt (&fixture, &request, &script);
      CU_ASSERT_EQUAL (fixture.error, cases[i].error);
      /* A reset discards data that has not been read yet. */
      if (cases[i].body != NULL)
        CU_ASSERT_STRING_EQUAL (fixture.body, cases[i].body);
      CU_ASSERT_EQUAL (upstream_http_connections (fixture.http), 0);
      fixture_finish (&fixture);
    }
  dialect = NULL;
}

/* A router of `serve' has the default dialect.  Guards against a status that
   is none, or a part of an early response, that is taken for a response: each
   ends the attempt while the connection is still open. */
static void
test_default_dialect_rejects (void)
{
  static const char *const replies[] = {
    "HTTP/1.1 000 OK\r\n" REQUEST_ID_HEADER "Content-Length: 5\r\n\r\nhello",
    "HTTP/1.1 099 OK\r\n" REQUEST_ID_HEADER "Content-Length: 5\r\n\r\nhello",
    "HTTP/1.1 600 OK\r\n" REQUEST_ID_HEADER "Content-Length: 5\r\n\r\nhello",
    "HTTP/1.1 1000 OK\r\n" REQUEST_ID_HEADER "Content-Length: 5\r\n\r\nhello",
    "HTTP/1.1 10 OK\r\n" REQUEST_ID_HEADER "Content-Length: 5\r\n\r\nhello",
    "HTTP/1.1 200 OK\r\n" REQUEST_ID_HEADER "\r\nhello",
  };
  struct fixture fixture;
  size_t i;

  for (i = 0; i < sizeof (replies) / sizeof (replies[0]); i++)
    {
      struct upstream_request request = { .idempotent = true };
      const struct script script = { replies[i], AFTER_REPLY_KEEP_OPEN };

      fixture_init (&fixture);
      run_attempt (&fixture, &request, &script);
      CU_ASSERT_EQUAL (fixture.error, ERR_PROTOCOL);
      CU_ASSERT_EQUAL (fixture.status, 0);
      fixture_finish (&fixture);
    }
}

/* Starts an attempt with a body that stays unsent in part, and waits for the
   first bytes of a response without a length. */
static void
start_early_response (struct fixture *fixture,
                      struct upstream_request *request, enum after_reply after)
{
  fixture->script = (struct script){ OK_HEADERS "\r\nhello", after };
  start_attempt (fixture, request);
  while (fixture->body_size == 0 && !fixture->ended)
    event_base_loop (fixture->base, EVLOOP_ONCE);
}

/** What meets a reset first. */
enum reset_meets
{
  RESET_MEETS_WRITE, /**< reading is paused meanwhile */
  RESET_MEETS_NEXT_WRITE,
  RESET_MEETS_BOTH, /**< the upstream had stopped to read */
  RESET_MEETS_MAX
};

static void
turn_loop (struct fixture *fixture)
{
  unsigned int turn;

  for (turn = 0; turn < RESET_TURNS; turn++)
    event_base_loop (fixture->base, EVLOOP_NONBLOCK);
}

/* While part of the request is unsent, a write may meet the reset; what is
   read then looks like the end of a connection that was closed in order. */
static void
test_reset_response_looks_complete (void)
{
  struct upstream_dialect close_delimited = upstream_default_dialect;
  char *large = calloc (1, LARGE_BODY);
  struct upstream_request request
      = { .body = large, .body_size = LARGE_BODY, .idempotent = true };
  struct fixture fixture;
  unsigned int round;

  close_delimited.allow_close_delimited = true;
  dialect = &close_delimited;
  for (round = 0; round < RESET_ROUNDS; round++)
    {
      fixture_init (&fixture);
      start_early_response (&fixture, &request, AFTER_REPLY_KEEP_OPEN);
      CU_ASSERT_FALSE_FATAL (fixture.ended);
      if (round % RESET_MEETS_MAX == RESET_MEETS_WRITE)
        upstream_http_driver.pause (fixture.attempt, true);
      if (round % RESET_MEETS_MAX == RESET_MEETS_BOTH)
        {
          bufferevent_disable (fixture.server, EV_READ);
          turn_loop (&fixture);
        }
      CU_ASSERT_FALSE (fixture.sent);
      fixture.script.after = AFTER_REPLY_RESET;
      server_after_reply (&fixture);
      if (round % RESET_MEETS_MAX == RESET_MEETS_WRITE)
        {
          turn_loop (&fixture);
          upstream_http_driver.pause (fixture.attempt, false);
        }
      run_until (&fixture, &fixture.ended);
      CU_ASSERT_EQUAL (fixture.error, ERR_TRUNCATED);
      if (fixture.ended)
        CU_ASSERT_EQUAL (upstream_http_connections (fixture.http), 0);
      fixture_finish (&fixture);
    }
  dialect = NULL;
  free (large);
}

/* Removing an upstream closes its idle connections; its pool is freed with the
   last of them. */
static void
test_removed_upstream (void)
{
  struct fixture fixture;
  struct upstream_request request = { .idempotent = true };
  const struct script script
      = { OK_HEADERS "Content-Length: 5\r\n\r\nhello", AFTER_REPLY_KEEP_OPEN };

  fixture_init (&fixture);
  run_attempt (&fixture, &request, &script);
  CU_ASSERT_EQUAL (upstream_http_connections (fixture.http), 1);
  upstream_http_remove_upstream (fixture.http, fixture.upstream_id);
  CU_ASSERT_EQUAL (upstream_http_connections (fixture.http), 0);
  run_attempt (&fixture, &request, &script);
  CU_ASSERT_EQUAL (fixture.accepted, 2);
  fixture_finish (&fixture);
}

static void
test_early_response_to_unsent_body (void)
{
  struct fixture fixture;
  char *large = calloc (1, LARGE_BODY);
  struct upstream_request request
      = { .body = large, .body_size = LARGE_BODY, .idempotent = true };
  const struct script script = { "HTTP/1.1 413 Large\r\n" REQUEST_ID_HEADER
                                 "Content-Length: 2\r\n\r\nno",
                                 AFTER_REPLY_KEEP_OPEN };

  fixture_init (&fixture);
  run_attempt (&fixture, &request, &script);
  CU_ASSERT_EQUAL (fixture.error, 0);
  CU_ASSERT_EQUAL (fixture.status, 413);
  CU_ASSERT_FALSE (fixture.sent);
  /* On a reused connection the server would read the rest of this body as the
     next request. */
  CU_ASSERT_EQUAL (upstream_http_connections (fixture.http), 0);
  fixture_finish (&fixture);
  free (large);
}

static void
test_draining_is_reported (void)
{
  struct fixture fixture;
  struct upstream_request request = { .idempotent = true };
  const struct script script
      = { OK_HEADERS "Cherrylanding-Upstream-State: draining\r\n" CHUNKED_HELLO
                     "0\r\n\r\n",
          AFTER_REPLY_KEEP_OPEN };

  fixture_init (&fixture);
  run_attempt (&fixture, &request, &script);
  CU_ASSERT_EQUAL (fixture.error, 0);
  CU_ASSERT_TRUE (fixture.draining);
  fixture_finish (&fixture);
}

static void
test_connection_reuse (void)
{
  struct fixture fixture;
  struct upstream_request idempotent = { .idempotent = true };
  struct upstream_request non_idempotent = { .idempotent = false };
  const struct script script
      = { OK_HEADERS "Content-Length: 5\r\n\r\nhello", AFTER_REPLY_KEEP_OPEN };

  fixture_init (&fixture);
  run_attempt (&fixture, &non_idempotent, &script);
  run_attempt (&fixture, &non_idempotent, &script);
  CU_ASSERT_EQUAL (fixture.accepted, 1);
  /* Idle for too long for a request that is not idempotent, but not for one
     that is. */
  clock_advance_ms (&fixture.clock, UPSTREAM_HTTP_REUSE_MAX_MS);
  run_attempt (&fixture, &idempotent, &script);
  CU_ASSERT_EQUAL (fixture.accepted, 1);
  clock_advance_ms (&fixture.clock, UPSTREAM_HTTP_REUSE_MAX_MS);
  run_attempt (&fixture, &non_idempotent, &script);
  CU_ASSERT_EQUAL (fixture.accepted, 2);
  /* After half of the upstream's idle timeout no connection is reused. */
  clock_advance_ms (&fixture.clock, IDLE_TIMEOUT_MS / 2);
  run_attempt (&fixture, &idempotent, &script);
  CU_ASSERT_EQUAL (fixture.accepted, 3);
  upstream_http_close_idle (fixture.http);
  CU_ASSERT_EQUAL (upstream_http_connections (fixture.http), 1);
  fixture_finish (&fixture);
}

/* A dialect in which responses without an ID may say that the request did not
   run. */
static int
check_refusal (const char *request_id, uint64_t resume_after, int status,
               const struct upstream_header *headers, size_t count)
{
  const char *id = upstream_header_find (headers, count,
                                         upstream_default_dialect.id_header);

  (void)resume_after;
  if (id != NULL && strcmp (id, request_id) != 0)
    return ERR_MISMATCH;
  if (status == 421 || status == 503)
    return ERR_UNAVAILABLE;
  return id == NULL ? ERR_PROTOCOL : 0;
}

static const char *const refusals_without_id[] = {
  "HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n",
  "HTTP/1.1 421 Misdirected\r\nContent-Length: 0\r\n\r\n",
};

/* On a connection that was used before, a refusal without an ID may be that of
   an earlier request, written again. */
static void
test_repeated_refusal_is_believed (void)
{
  const struct script ok
      = { OK_HEADERS "Content-Length: 5\r\n\r\nhello", AFTER_REPLY_KEEP_OPEN };
  char *large = calloc (1, LARGE_BODY);
  struct upstream_dialect refusing = upstream_default_dialect;
  struct fixture fixture;
  size_t i;

  refusing.check_response = check_refusal;
  dialect = &refusing;
  for (i = 0;
       i < sizeof (refusals_without_id) / sizeof (refusals_without_id[0]); i++)
    {
      const struct script refusal
          = { refusals_without_id[i], AFTER_REPLY_KEEP_OPEN };
      struct upstream_request request = { .method = "POST" };
      struct upstream_request unsent
          = { .method = "POST", .body = large, .body_size = LARGE_BODY };

      fixture_init (&fixture);
      run_attempt (&fixture, &request, &refusal);
      CU_ASSERT_EQUAL (fixture.error, ERR_UNAVAILABLE);
      run_attempt (&fixture, &request, &ok);
      CU_ASSERT_EQUAL (fixture.error, 0);
      run_attempt (&fixture, &request, &refusal);
      CU_ASSERT_EQUAL (fixture.accepted, 2);
      CU_ASSERT_EQUAL (fixture.error, ERR_PROTOCOL);
      CU_ASSERT_TRUE (fixture.sent);
      CU_ASSERT_EQUAL (upstream_http_connections (fixture.http), 0);
      /* It comes before the request is sent in whole. */
      run_attempt (&fixture, &request, &ok);
      run_attempt (&fixture, &unsent, &refusal);
      CU_ASSERT_EQUAL (fixture.accepted, 3);
      CU_ASSERT_EQUAL (fixture.error, ERR_PROTOCOL);
      CU_ASSERT_FALSE (fixture.sent);
      /* It comes while the connection is idle. */
      run_attempt (&fixture, &request, &ok);
      CU_ASSERT_EQUAL (upstream_http_connections (fixture.http), 1);
      fixture.server_closed = false;
      bufferevent_write (fixture.server, refusal.reply,
                         strlen (refusal.reply));
      run_until (&fixture, &fixture.server_closed);
      CU_ASSERT_EQUAL (upstream_http_connections (fixture.http), 0);
      fixture_finish (&fixture);
    }
  dialect = NULL;
  free (large);
}

#define FOREIGN_HEADERS                                                       \
  "HTTP/1.1 503 Busy\r\nCherrylanding-Request-Id: req-0\r\n"                  \
  "Cherrylanding-Verdict: not-run\r\n"
#define FOREIGN     FOREIGN_HEADERS "Content-Length: 0\r\n\r\n"
#define OWN         OK_HEADERS CHUNKED_HELLO "0\r\n\r\n"
#define FOUR(text)  text text text text
#define EIGHT(text) FOUR (text) FOUR (text)

/** What a server sends on a connection that was used before. */
static const struct response_case foreign_cases[] = {
  { "empty", FOREIGN OWN, AFTER_REPLY_KEEP_OPEN, 0, 200, "hello", 0, NULL },
  { "length", FOREIGN_HEADERS "Content-Length: 4\r\n\r\nbusy" OWN,
    AFTER_REPLY_KEEP_OPEN, 0, 200, "hello", 0, NULL },
  { "chunks", FOREIGN_HEADERS CHUNKED_HELLO "0\r\n\r\n" OWN,
    AFTER_REPLY_KEEP_OPEN, 0, 200, "hello", 0, NULL },
  { "eight", EIGHT (FOREIGN) OWN, AFTER_REPLY_KEEP_OPEN, 0, 200, "hello", 0,
    NULL },
  { "nine", EIGHT (FOREIGN) FOREIGN OWN, AFTER_REPLY_KEEP_OPEN, ERR_MISMATCH,
    0, "", 0, NULL },
  { "then 100 Continue", FOREIGN "HTTP/1.1 100 Continue\r\n\r\n" OWN,
    AFTER_REPLY_KEEP_OPEN, 0, 200, "hello", 0, NULL },
  { "then the refusal of this request",
    FOREIGN "HTTP/1.1 503 Busy\r\n" REQUEST_ID_HEADER
            "Cherrylanding-Verdict: not-run\r\nContent-Length: 0\r\n\r\n",
    AFTER_REPLY_KEEP_OPEN, ERR_UNAVAILABLE, 0, "", 0, NULL },
  { "then no id", FOREIGN "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n" OWN,
    AFTER_REPLY_KEEP_OPEN, ERR_MISMATCH, 0, "", 0, NULL },
  { "then no response", FOREIGN "hello\r\n\r\n", AFTER_REPLY_KEEP_OPEN,
    ERR_PROTOCOL, 0, "", 0, NULL },
  { "then the end", FOREIGN, AFTER_REPLY_CLOSE, ERR_MISMATCH, 0, "", 0, NULL },
  { "truncated", FOREIGN_HEADERS "Content-Length: 4\r\n\r\nbu",
    AFTER_REPLY_CLOSE, ERR_MISMATCH, 0, "", 0, NULL },
  { "too long", FOREIGN_HEADERS "Content-Length: 3\r\n\r\nbusy" OWN,
    AFTER_REPLY_KEEP_OPEN, ERR_PROTOCOL, 0, "", 0, NULL },
  { "without an end", FOREIGN_HEADERS "\r\nbusy" OWN, AFTER_REPLY_KEEP_OPEN,
    ERR_PROTOCOL, 0, "", 0, NULL },
  { "no body by its status",
    "HTTP/1.1 204 No Content\r\nCherrylanding-Request-Id: req-0\r\n\r\n" OWN,
    AFTER_REPLY_KEEP_OPEN, ERR_MISMATCH, 0, "", 0, NULL },
  { "to HEAD", FOREIGN OWN, AFTER_REPLY_KEEP_OPEN, ERR_MISMATCH, 0, "", 0,
    "HEAD" },
};

/* Runs a case on a connection that was used before.
   @param parts  what the server sends at a time, in bytes; 0: all. */
static void
play_foreign (const struct response_case *c, size_t parts)
{
  struct upstream_request first = { .idempotent = true };
  struct upstream_request request = { .method = c->method };
  size_t size = strlen (c->reply);
  struct fixture fixture;
  size_t sent;
  size_t part;

  fixture_init (&fixture);
  run_attempt (&fixture, &first,
               &(struct script){ OWN, AFTER_REPLY_KEEP_OPEN });
  fixture.server_replied = false;
  fixture.script = (struct script){ parts == 0 ? c->reply : NULL, c->after };
  if (parts > 0)
    fixture.script.after = AFTER_REPLY_KEEP_OPEN;
  start_attempt (&fixture, &request);
  run_until (&fixture, &fixture.sent);
  for (sent = 0; parts > 0 && sent < size && !fixture.ended; sent += part)
    {
      part = size - sent < parts ? size - sent : parts;
      CU_ASSERT_EQUAL (send (bufferevent_getfd (fixture.server),
                             c->reply + sent, part, MSG_NOSIGNAL),
                       (ssize_t)part);
      event_base_loop (fixture.base, EVLOOP_NONBLOCK);
      event_base_loop (fixture.base, EVLOOP_NONBLOCK);
    }
  if (parts > 0 && fixture.server != NULL)
    {
      fixture.script.after = c->after;
      server_after_reply (&fixture);
    }
  run_until (&fixture, &fixture.ended);
  CU_ASSERT_EQUAL (fixture.accepted, 1);
  if (fixture.error != c->error || fixture.status != c->status
      || strcmp (fixture.body, c->body) != 0)
    {
      printf ("%s, parts of %zu: error %s, status %d, body '%s'\n", c->name,
              parts, err_name (fixture.error), fixture.status, fixture.body);
      CU_FAIL ("unexpected outcome");
    }
  CU_ASSERT_EQUAL (upstream_http_connections (fixture.http), 0);
  fixture_finish (&fixture);
}

/* An extra response to an earlier request costs this one its own response. */
static void
test_own_response_behind_foreign_one (void)
{
  size_t i;

  for (i = 0; i < sizeof (foreign_cases) / sizeof (foreign_cases[0]); i++)
    {
      play_foreign (&foreign_cases[i], 0);
      play_foreign (&foreign_cases[i], 1);
      play_foreign (&foreign_cases[i], 7);
    }
}

/* Responses to other requests are dropped up to a number of bytes. */
static void
test_foreign_response_without_end (void)
{
  struct upstream_request request = { .idempotent = true };
  struct fixture fixture;
  char *large = malloc (LARGE_BODY + 1);

  memset (large, 'x', LARGE_BODY);
  large[LARGE_BODY] = '\0';
  memcpy (large, FOREIGN_HEADERS "Content-Length: 99999999\r\n\r\n",
          strlen (FOREIGN_HEADERS "Content-Length: 99999999\r\n\r\n"));
  fixture_init (&fixture);
  run_attempt (&fixture, &request,
               &(struct script){ OWN, AFTER_REPLY_KEEP_OPEN });
  run_attempt (&fixture, &request,
               &(struct script){ large, AFTER_REPLY_KEEP_OPEN });
  CU_ASSERT_EQUAL (fixture.accepted, 1);
  CU_ASSERT_EQUAL (fixture.error, ERR_MISMATCH);
  CU_ASSERT_EQUAL (fixture.body_size, 0);
  fixture_finish (&fixture);
  free (large);
}

/* A refusal of an earlier attempt has the ID of the request. */
static void
test_refusal_of_earlier_attempt_is_believed (void)
{
  const struct script ok
      = { OK_HEADERS "Content-Length: 5\r\n\r\nhello", AFTER_REPLY_KEEP_OPEN };
  struct upstream_request first = { .idempotent = true };
  struct upstream_request again = { .idempotent = true, .repeated = true };
  struct fixture fixture;

  fixture_init (&fixture);
  run_attempt (&fixture, &first, &ok);
  run_attempt (&fixture, &again, &ok);
  CU_ASSERT_EQUAL (fixture.accepted, 2);
  CU_ASSERT_EQUAL (fixture.error, 0);
  fixture_finish (&fixture);
}

static void
test_unsolicited_bytes_prevent_reuse (void)
{
  struct fixture fixture;
  struct upstream_request request = { .idempotent = true };
  const struct script script
      = { OK_HEADERS "Content-Length: 5\r\n\r\nhello", AFTER_REPLY_KEEP_OPEN };

  fixture_init (&fixture);
  run_attempt (&fixture, &request, &script);
  /* The start of a second response arrives on the idle connection, and the
     next request starts before the event loop has read it. */
  CU_ASSERT_EQUAL (
      send (bufferevent_getfd (fixture.server), script.reply, 20, 0), 20);
  run_attempt (&fixture, &request, &script);
  CU_ASSERT_EQUAL (fixture.error, 0);
  CU_ASSERT_STRING_EQUAL (fixture.body, "hello");
  CU_ASSERT_EQUAL (fixture.accepted, 2);
  fixture_finish (&fixture);
}

static void
test_cancel_closes_connection (void)
{
  struct fixture fixture;
  struct upstream_request request = { .idempotent = true };
  const struct script script
      = { OK_HEADERS CHUNKED_HELLO, AFTER_REPLY_KEEP_OPEN };

  fixture_init (&fixture);
  fixture.cancel_in_body = true;
  run_attempt (&fixture, &request, &script);
  CU_ASSERT_EQUAL (upstream_http_connections (fixture.http), 0);
  run_until (&fixture, &fixture.server_closed);
  fixture_finish (&fixture);
}

static void
test_pause_withholds_body (void)
{
  struct fixture fixture;
  struct upstream_request request = { .idempotent = true };
  int i;

  fixture_init (&fixture);
  fixture.script = (struct script){ OK_HEADERS CHUNKED_HELLO "0\r\n\r\n",
                                    AFTER_REPLY_KEEP_OPEN };
  start_attempt (&fixture, &request);
  upstream_http_driver.pause (fixture.attempt, true);
  for (i = 0; i < 200; i++)
    event_base_loop (fixture.base, EVLOOP_NONBLOCK);
  CU_ASSERT_EQUAL (fixture.accepted, 1);
  CU_ASSERT_TRUE (fixture.sent);
  CU_ASSERT_EQUAL (fixture.body_size, 0);
  upstream_http_driver.pause (fixture.attempt, false);
  run_until (&fixture, &fixture.ended);
  CU_ASSERT_EQUAL (fixture.error, 0);
  CU_ASSERT_STRING_EQUAL (fixture.body, "hello");
  fixture_finish (&fixture);
}

/* An upstream is removed while it serves a request: the response is delivered,
   and the connection is closed rather than returned to the removed pool. */
static void
test_upstream_removed_during_request (void)
{
  struct fixture fixture;
  struct upstream_request request = { .idempotent = true };

  fixture_init (&fixture);
  fixture.script = (struct script){ OK_HEADERS "Content-Length: 5\r\n\r\nhe",
                                    AFTER_REPLY_KEEP_OPEN };
  start_attempt (&fixture, &request);
  while (fixture.body_size == 0)
    event_base_loop (fixture.base, EVLOOP_ONCE);
  upstream_http_remove_upstream (fixture.http, fixture.upstream_id);
  bufferevent_write (fixture.server, "llo", 3);
  run_until (&fixture, &fixture.ended);
  CU_ASSERT_EQUAL (fixture.error, 0);
  CU_ASSERT_STRING_EQUAL (fixture.body, "hello");
  CU_ASSERT_EQUAL (upstream_http_connections (fixture.http), 0);
  clock_advance_ms (&fixture.clock, IDLE_TIMEOUT_MS);
  upstream_http_close_idle (fixture.http);
  fixture_finish (&fixture);
}

static const struct suite_test tests[] = {
  { "upstream removed during a request",
    test_upstream_removed_during_request },
  { "bytes after a complete response", test_bytes_after_response },
  { "close-delimited responses", test_close_delimited_responses },
  { "default dialect takes what is no response for one",
    test_default_dialect_rejects },
  { "reset response looks complete", test_reset_response_looks_complete },
  { "removed upstream", test_removed_upstream },
  { "a refused connection sends nothing",
    test_refused_connection_sends_nothing },
  { "a reset after the first byte", test_reset_after_first_byte },
  { "responses", test_responses },
  { "early response to an unsent body", test_early_response_to_unsent_body },
  { "draining is reported", test_draining_is_reported },
  { "connection reuse", test_connection_reuse },
  { "repeated refusal is believed", test_repeated_refusal_is_believed },
  { "own response behind another request's",
    test_own_response_behind_foreign_one },
  { "another request's response without end",
    test_foreign_response_without_end },
  { "refusal of an earlier attempt is believed",
    test_refusal_of_earlier_attempt_is_believed },
  { "unsolicited bytes prevent reuse", test_unsolicited_bytes_prevent_reuse },
  { "cancel closes the connection", test_cancel_closes_connection },
  { "pause withholds the body", test_pause_withholds_body },
  { "canceled attempt runs on", test_canceled_attempt_runs_on },
};

SUITE_MAIN ("test_upstream", tests)
