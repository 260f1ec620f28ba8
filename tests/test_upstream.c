/**
 * @file test_upstream.c
 * The HTTP driver against a scripted server on loopback: what is handed over,
 * what counts as whole, and which connections are used again.
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

#define LARGE_BODY      8388608 /**< bytes; more than sockets hold */
#define IDLE_TIMEOUT_MS 10000
#define ID              "Cherrylanding-Request-Id: req-1\r\n"

/** What the server does with a connection after its reply. */
enum after
{
  AFTER_HOLD,
  AFTER_CLOSE,
  AFTER_RESET
};

struct script
{
  const char *reply; /**< sent at the first request bytes; NULL: nothing */
  enum after after;
};

/** One server and one client on one loop. */
struct world
{
  struct event_base *base;
  struct clock clock;
  struct upstream_http *http;
  struct evconnlistener *listener;
  uint64_t upstream_id;
  char address[32];
  struct script script;
  struct bufferevent *server; /**< last accepted connection */
  unsigned int accepted;
  bool server_replied;
  bool server_closed;
  /* What the driver reported. */
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
  struct world *world = user;

  (void)what;
  world->server_closed = true;
  bufferevent_free (bev);
  world->server = NULL;
}

static void
server_finish (struct world *world)
{
  const struct linger reset = { .l_onoff = 1, .l_linger = 0 };

  if (world->script.after == AFTER_HOLD)
    return;
  if (world->script.after == AFTER_RESET)
    setsockopt (bufferevent_getfd (world->server), SOL_SOCKET, SO_LINGER,
                &reset, sizeof (reset));
  bufferevent_free (world->server);
  world->server = NULL;
}

static void
on_server_written (struct bufferevent *bev, void *user)
{
  struct world *world = user;

  (void)bev;
  if (world->server_replied)
    server_finish (world);
}

static void
on_server_read (struct bufferevent *bev, void *user)
{
  struct world *world = user;
  struct evbuffer *input = bufferevent_get_input (bev);

  evbuffer_drain (input, evbuffer_get_length (input));
  if (world->script.reply == NULL)
    server_finish (world);
  else
    {
      bufferevent_write (bev, world->script.reply,
                         strlen (world->script.reply));
      world->server_replied = true;
    }
}

static void
on_accept (struct evconnlistener *listener, evutil_socket_t fd,
           struct sockaddr *address, int size, void *user)
{
  struct world *world = user;

  (void)listener;
  (void)address;
  (void)size;
  world->accepted++;
  world->server_replied = false;
  world->server
      = bufferevent_socket_new (world->base, fd, BEV_OPT_CLOSE_ON_FREE);
  bufferevent_setcb (world->server, on_server_read, on_server_written,
                     on_server_event, world);
  bufferevent_setwatermark (world->server, EV_READ, 0, 4096);
  bufferevent_enable (world->server, EV_READ | EV_WRITE);
}

static void
on_sending (void *user)
{
  ((struct world *)user)->sending = true;
}

static void
on_sent (void *user)
{
  ((struct world *)user)->sent = true;
}

static void
on_responding (void *user, int status, const struct upstream_header *headers,
               size_t count)
{
  (void)headers;
  (void)count;
  ((struct world *)user)->status = status;
}

static void
on_body (void *user, struct evbuffer *data)
{
  struct world *world = user;
  int n = evbuffer_remove (data, world->body + world->body_size,
                           sizeof (world->body) - 1 - world->body_size);

  world->body_size += n > 0 ? (size_t)n : 0;
  if (world->cancel_in_body)
    {
      upstream_http_driver.cancel (world->attempt);
      world->ended = true;
    }
}

static void
on_completed (void *user)
{
  struct world *world = user;

  CU_ASSERT_FALSE (world->ended);
  world->ended = true;
}

static void
on_failed (void *user, int error)
{
  struct world *world = user;

  CU_ASSERT_FALSE (world->ended);
  world->error = error;
  world->ended = true;
}

static void
on_draining (void *user)
{
  ((struct world *)user)->draining = true;
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

static const struct upstream_dialect *dialect; /**< NULL: the product's own */

static void
world_init (struct world *world)
{
  struct sockaddr_in any
      = { .sin_family = AF_INET, .sin_addr = { htonl (INADDR_LOOPBACK) } };
  socklen_t size = sizeof (any);
  struct upstream_http_config config;

  memset (world, 0, sizeof (*world));
  world->base = event_base_new ();
  clock_init_manual (&world->clock, 0, 0);
  config = (struct upstream_http_config){ .base = world->base,
                                          .clock = &world->clock,
                                          .dialect = dialect,
                                          .connect_timeout_ms = 1000,
                                          .read_max_bytes = 65536 };
  world->http = upstream_http_new (&config);
  world->listener = evconnlistener_new_bind (
      world->base, on_accept, world, LEV_OPT_CLOSE_ON_FREE, 8,
      (struct sockaddr *)&any, sizeof (any));
  getsockname (evconnlistener_get_fd (world->listener),
               (struct sockaddr *)&any, &size);
  world->upstream_id = 1;
  snprintf (world->address, sizeof (world->address), "127.0.0.1:%u",
            ntohs (any.sin_port));
}

static void
world_finish (struct world *world)
{
  if (!world->ended)
    upstream_http_driver.cancel (world->attempt);
  upstream_http_free (world->http);
  if (world->server != NULL)
    bufferevent_free (world->server);
  if (world->listener != NULL)
    evconnlistener_free (world->listener);
  /* libevent frees bufferevents from the loop. */
  event_base_loop (world->base, EVLOOP_NONBLOCK);
  event_base_free (world->base);
}

static void
start (struct world *world, struct upstream_request *request)
{
  world->sending = world->sent = world->ended = world->draining = false;
  world->error = world->status = 0;
  world->body_size = 0;
  memset (world->body, 0, sizeof (world->body));
  request->request_id = "req-1";
  if (request->method == NULL)
    request->method = "POST";
  request->path = "/x";
  request->upstream_id = world->upstream_id;
  request->address = world->address;
  request->idle_timeout_ms = IDLE_TIMEOUT_MS;
  world->attempt
      = upstream_http_driver.start (world->http, request, &events, world);
  CU_ASSERT_PTR_NOT_NULL_FATAL (world->attempt);
  CU_ASSERT_FALSE (world->ended);
}

/* Runs the loop until `*done`; bounded, so that a fault fails and not hangs.
 */
static void
run_until (struct world *world, const bool *done)
{
  const struct timeval limit = { .tv_sec = 5 };

  event_base_loopexit (world->base, &limit);
  while (!*done && !event_base_got_exit (world->base))
    event_base_loop (world->base, EVLOOP_ONCE);
  CU_ASSERT_TRUE (*done);
}

static void
run (struct world *world, struct upstream_request *request,
     const struct script *script)
{
  world->script = *script;
  start (world, request);
  run_until (world, &world->ended);
}

static void
test_refused_hands_over_nothing (void)
{
  struct world world;
  struct upstream_request request = { .idempotent = false };
  const struct script script = { NULL, AFTER_HOLD };

  world_init (&world);
  evconnlistener_free (world.listener);
  world.listener = NULL;
  run (&world, &request, &script);
  CU_ASSERT_EQUAL (world.error, ERR_REFUSED);
  CU_ASSERT_FALSE (world.sending);
  world_finish (&world);
}

static void
test_reset_after_first_byte (void)
{
  struct world world;
  struct upstream_request request = { .body = "hello", .body_size = 5 };
  const struct script script = { NULL, AFTER_RESET };

  world_init (&world);
  run (&world, &request, &script);
  CU_ASSERT_EQUAL (world.error, ERR_RESET);
  CU_ASSERT_TRUE (world.sending);
  CU_ASSERT_TRUE (world.sent);
  world_finish (&world);
}

/** A response, and what must become of it. */
struct response_case
{
  const char *name;
  const char *reply;
  enum after after;
  int error;
  int status;
  const char *body;
  uint64_t resume_after;
  const char *method;
};

#define OK    "HTTP/1.1 200 OK\r\n" ID
#define CHUNK "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n"

static const struct response_case response_cases[] = {
  { "whole", OK "Content-Length: 5\r\n\r\nhello", AFTER_CLOSE, 0, 200, "hello",
    0, NULL },
  { "empty", OK "Content-Length: 0\r\n\r\n", AFTER_CLOSE, 0, 200, "", 0,
    NULL },
  { "chunked", OK CHUNK "0\r\n\r\n", AFTER_CLOSE, 0, 200, "hello", 0, NULL },
  { "after 100", "HTTP/1.1 100 Continue\r\n\r\n" OK CHUNK "0\r\n\r\n",
    AFTER_HOLD, 0, 200, "hello", 0, NULL },
  { "switched", "HTTP/1.1 101 Switching\r\n\r\n", AFTER_HOLD, ERR_PROTOCOL, 0,
    "", 0, NULL },
  { "no content", "HTTP/1.1 204 No Content\r\n" ID "\r\n", AFTER_HOLD, 0, 204,
    "", 0, NULL },
  { "head", OK "Content-Length: 5\r\n\r\n", AFTER_HOLD, 0, 200, "", 0,
    "HEAD" },
  { "short", OK "Content-Length: 5\r\n\r\nhell", AFTER_CLOSE, ERR_TRUNCATED,
    200, "hell", 0, NULL },
  { "cut chunks", OK CHUNK, AFTER_CLOSE, ERR_TRUNCATED, 200, "hello", 0,
    NULL },
  { "cut headers", OK "Content-Le", AFTER_CLOSE, ERR_RESET, 0, "", 0, NULL },
  { "no length", OK "\r\nhello", AFTER_CLOSE, ERR_PROTOCOL, 0, "", 0, NULL },
  { "two lengths", OK "Content-Length: 5\r\nContent-Length: 6\r\n\r\nhello",
    AFTER_CLOSE, ERR_PROTOCOL, 0, "", 0, NULL },
  { "length and chunks", OK "Content-Length: 5\r\n" CHUNK "0\r\n\r\n",
    AFTER_CLOSE, ERR_PROTOCOL, 0, "", 0, NULL },
  { "not HTTP", "hello\r\n\r\n", AFTER_HOLD, ERR_PROTOCOL, 0, "", 0, NULL },
  { "another's",
    "HTTP/1.1 200 OK\r\nCherrylanding-Request-Id: req-2\r\n"
    "Content-Length: 5\r\n\r\nhello",
    AFTER_HOLD, ERR_MISMATCH, 0, "", 0, NULL },
  { "nobody's", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello",
    AFTER_HOLD, ERR_MISMATCH, 0, "", 0, NULL },
  { "refused before it ran",
    "HTTP/1.1 503 Busy\r\n" ID
    "Cherrylanding-Verdict: not-run\r\nContent-Length: 0\r\n\r\n",
    AFTER_HOLD, ERR_UNAVAILABLE, 0, "", 0, NULL },
  { "failed by its own word",
    "HTTP/1.1 503 Busy\r\n" ID "Content-Length: 0\r\n\r\n", AFTER_HOLD, 0, 503,
    "", 0, NULL },
  { "resumed", OK "Cherrylanding-Resumed: 7\r\n" CHUNK "0\r\n\r\n", AFTER_HOLD,
    0, 200, "hello", 7, NULL },
  { "resumed elsewhere", OK "Cherrylanding-Resumed: 70\r\n" CHUNK "0\r\n\r\n",
    AFTER_HOLD, ERR_PROTOCOL, 0, "", 7, NULL },
  { "not resumed", OK CHUNK "0\r\n\r\n", AFTER_HOLD, ERR_PROTOCOL, 0, "", 7,
    NULL },
};

static void
test_responses (void)
{
  const struct response_case *c;
  struct world world;
  struct script script;
  size_t i;

  for (i = 0; i < sizeof (response_cases) / sizeof (response_cases[0]); i++)
    {
      struct upstream_request request = { .idempotent = true };

      c = &response_cases[i];
      request.resume_after = c->resume_after;
      request.method = c->method;
      script = (struct script){ c->reply, c->after };
      world_init (&world);
      run (&world, &request, &script);
      if (world.error != c->error || world.status != c->status
          || strcmp (world.body, c->body) != 0)
        {
          printf ("%s: error %s, status %d, body '%s'\n", c->name,
                  err_name (world.error), world.status, world.body);
          CU_FAIL ("unexpected outcome");
        }
      world_finish (&world);
    }
}

/* A whole response is delivered whatever follows it; what follows belongs to
   nobody, and its connection serves no further request. */
static void
test_extra_bytes (void)
{
  static const struct response_case cases[] = {
    { "too long", OK "Content-Length: 4\r\n\r\nhello", AFTER_HOLD, 0, 200,
      "hell", 0, NULL },
    { "second response", OK CHUNK "0\r\n\r\n" OK, AFTER_HOLD, 0, 200, "hello",
      0, NULL },
    { "second response, whole", OK CHUNK "0\r\n\r\n" OK CHUNK "0\r\n\r\n",
      AFTER_CLOSE, 0, 200, "hello", 0, NULL },
  };
  struct world world;
  size_t i;

  for (i = 0; i < sizeof (cases) / sizeof (cases[0]); i++)
    {
      struct upstream_request request = { .idempotent = true };
      const struct script script = { cases[i].reply, cases[i].after };

      world_init (&world);
      run (&world, &request, &script);
      CU_ASSERT_EQUAL (world.error, 0);
      CU_ASSERT_EQUAL (world.status, 200);
      CU_ASSERT_STRING_EQUAL (world.body, cases[i].body);
      CU_ASSERT_EQUAL (upstream_http_connections (world.http), 0);
      world_finish (&world);
    }
}

/* A response that ends with its connection is whole when that was closed, and
   not when it was reset. */
static void
test_unframed_responses (void)
{
  static const struct response_case cases[] = {
    { "closed", OK "\r\nhello", AFTER_CLOSE, 0, 200, "hello", 0, NULL },
    { "empty", OK "\r\n", AFTER_CLOSE, 0, 200, "", 0, NULL },
    { "reset", OK "\r\nhello", AFTER_RESET, ERR_TRUNCATED, 200, NULL, 0,
      NULL },
  };
  struct upstream_dialect unframed = upstream_own_dialect;
  struct world world;
  size_t i;

  unframed.unframed = true;
  dialect = &unframed;
  for (i = 0; i < sizeof (cases) / sizeof (cases[0]); i++)
    {
      struct upstream_request request = { .idempotent = true };
      const struct script script = { cases[i].reply, cases[i].after };

      world_init (&world);
      run (&world, &request, &script);
      CU_ASSERT_EQUAL (world.error, cases[i].error);
      /* What a reset overtakes is lost. */
      if (cases[i].body != NULL)
        CU_ASSERT_STRING_EQUAL (world.body, cases[i].body);
      CU_ASSERT_EQUAL (upstream_http_connections (world.http), 0);
      world_finish (&world);
    }
  dialect = NULL;
}

/* Connections to an upstream that is gone are closed, and its pool goes with
   the last of them. */
static void
test_forgotten_upstream (void)
{
  struct world world;
  struct upstream_request request = { .idempotent = true };
  const struct script script
      = { OK "Content-Length: 5\r\n\r\nhello", AFTER_HOLD };

  world_init (&world);
  run (&world, &request, &script);
  CU_ASSERT_EQUAL (upstream_http_connections (world.http), 1);
  upstream_http_forget (world.http, world.upstream_id);
  CU_ASSERT_EQUAL (upstream_http_connections (world.http), 0);
  run (&world, &request, &script);
  CU_ASSERT_EQUAL (world.accepted, 2);
  world_finish (&world);
}

static void
test_early_response_to_unsent_body (void)
{
  struct world world;
  char *large = calloc (1, LARGE_BODY);
  struct upstream_request request
      = { .body = large, .body_size = LARGE_BODY, .idempotent = true };
  const struct script script
      = { "HTTP/1.1 413 Large\r\n" ID "Content-Length: 2\r\n\r\nno",
          AFTER_HOLD };

  world_init (&world);
  run (&world, &request, &script);
  CU_ASSERT_EQUAL (world.error, 0);
  CU_ASSERT_EQUAL (world.status, 413);
  CU_ASSERT_FALSE (world.sent);
  /* The rest of the body must not be taken for the next request. */
  CU_ASSERT_EQUAL (upstream_http_connections (world.http), 0);
  world_finish (&world);
  free (large);
}

static void
test_draining_is_told (void)
{
  struct world world;
  struct upstream_request request = { .idempotent = true };
  const struct script script
      = { OK "Cherrylanding-Upstream-State: draining\r\n" CHUNK "0\r\n\r\n",
          AFTER_HOLD };

  world_init (&world);
  run (&world, &request, &script);
  CU_ASSERT_EQUAL (world.error, 0);
  CU_ASSERT_TRUE (world.draining);
  world_finish (&world);
}

static void
test_connections_used_again (void)
{
  struct world world;
  struct upstream_request idempotent = { .idempotent = true };
  struct upstream_request once = { .idempotent = false };
  const struct script script
      = { OK "Content-Length: 5\r\n\r\nhello", AFTER_HOLD };

  world_init (&world);
  run (&world, &once, &script);
  run (&world, &once, &script);
  CU_ASSERT_EQUAL (world.accepted, 1);
  /* Idle for too long for what must not run twice, not for the rest. */
  clock_advance_ms (&world.clock, UPSTREAM_HTTP_FRESH_MS);
  run (&world, &idempotent, &script);
  CU_ASSERT_EQUAL (world.accepted, 1);
  clock_advance_ms (&world.clock, UPSTREAM_HTTP_FRESH_MS);
  run (&world, &once, &script);
  CU_ASSERT_EQUAL (world.accepted, 2);
  /* At half of the upstream's idle timeout no connection is used again. */
  clock_advance_ms (&world.clock, IDLE_TIMEOUT_MS / 2);
  run (&world, &idempotent, &script);
  CU_ASSERT_EQUAL (world.accepted, 3);
  upstream_http_sweep (world.http);
  CU_ASSERT_EQUAL (upstream_http_connections (world.http), 1);
  world_finish (&world);
}

static void
test_unasked_bytes_spoil_a_connection (void)
{
  struct world world;
  struct upstream_request request = { .idempotent = true };
  const struct script script
      = { OK "Content-Length: 5\r\n\r\nhello", AFTER_HOLD };

  world_init (&world);
  run (&world, &request, &script);
  /* Sent at once, and before the loop sees it: a late second response. */
  CU_ASSERT_EQUAL (
      send (bufferevent_getfd (world.server), script.reply, 20, 0), 20);
  run (&world, &request, &script);
  CU_ASSERT_EQUAL (world.error, 0);
  CU_ASSERT_STRING_EQUAL (world.body, "hello");
  CU_ASSERT_EQUAL (world.accepted, 2);
  world_finish (&world);
}

static void
test_cancel_closes (void)
{
  struct world world;
  struct upstream_request request = { .idempotent = true };
  const struct script script = { OK CHUNK, AFTER_HOLD };

  world_init (&world);
  world.cancel_in_body = true;
  run (&world, &request, &script);
  CU_ASSERT_EQUAL (upstream_http_connections (world.http), 0);
  run_until (&world, &world.server_closed);
  world_finish (&world);
}

static void
test_pause_holds_the_body_back (void)
{
  struct world world;
  struct upstream_request request = { .idempotent = true };
  int i;

  world_init (&world);
  world.script = (struct script){ OK CHUNK "0\r\n\r\n", AFTER_HOLD };
  start (&world, &request);
  upstream_http_driver.pause (world.attempt, true);
  for (i = 0; i < 200; i++)
    event_base_loop (world.base, EVLOOP_NONBLOCK);
  CU_ASSERT_EQUAL (world.accepted, 1);
  CU_ASSERT_TRUE (world.sent);
  CU_ASSERT_EQUAL (world.body_size, 0);
  upstream_http_driver.pause (world.attempt, false);
  run_until (&world, &world.ended);
  CU_ASSERT_EQUAL (world.error, 0);
  CU_ASSERT_STRING_EQUAL (world.body, "hello");
  world_finish (&world);
}

/* The upstream goes while a request runs there: its response is passed on, and
   its connection is not kept for a pool that is gone. */
static void
test_forgotten_while_busy (void)
{
  struct world world;
  struct upstream_request request = { .idempotent = true };

  world_init (&world);
  world.script
      = (struct script){ OK "Content-Length: 5\r\n\r\nhe", AFTER_HOLD };
  start (&world, &request);
  while (world.body_size == 0)
    event_base_loop (world.base, EVLOOP_ONCE);
  upstream_http_forget (world.http, world.upstream_id);
  bufferevent_write (world.server, "llo", 3);
  run_until (&world, &world.ended);
  CU_ASSERT_EQUAL (world.error, 0);
  CU_ASSERT_STRING_EQUAL (world.body, "hello");
  CU_ASSERT_EQUAL (upstream_http_connections (world.http), 0);
  clock_advance_ms (&world.clock, IDLE_TIMEOUT_MS);
  upstream_http_sweep (world.http);
  world_finish (&world);
}

static const struct suite_test tests[] = {
  { "an upstream that goes while busy", test_forgotten_while_busy },
  { "extra bytes after a response", test_extra_bytes },
  { "responses that end with their connection", test_unframed_responses },
  { "an upstream that is gone is forgotten", test_forgotten_upstream },
  { "a refused connection hands over nothing",
    test_refused_hands_over_nothing },
  { "a reset after the first byte", test_reset_after_first_byte },
  { "responses", test_responses },
  { "early response to an unsent body", test_early_response_to_unsent_body },
  { "draining is told", test_draining_is_told },
  { "connections used again", test_connections_used_again },
  { "unasked bytes spoil a connection",
    test_unasked_bytes_spoil_a_connection },
  { "cancel closes the connection", test_cancel_closes },
  { "pause holds the body back", test_pause_holds_the_body_back },
};

SUITE_MAIN ("test_upstream", tests)
