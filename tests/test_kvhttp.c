/**
 * @file test_kvhttp.c
 * The key-value store over HTTP: the error reported for each outcome of a
 * call, the rate limit and timeout of calls, and the decoding of JSON
 * responses.
 */
#include "protocol/kvstore_codec.h"
#include "state/err.h"
#include "support/suite.h"
#include "transport/kvhttp.h"
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <netinet/in.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define TIMEOUT_MS 200

/** What the server does with a request. */
enum server_behaviour
{
  BEHAVE_REPLY,
  BEHAVE_CLOSE, /**< closes the connection without a response */
  BEHAVE_HANG,  /**< never responds */
  BEHAVE_LATE,  /**< responds at once, then the loop stands still */
  BEHAVE_ABSENT /**< no server listens */
};

struct fixture
{
  struct event_base *base;
  struct evhttp *server;
  struct clock clock;
  struct kvstore *store;
  enum server_behaviour behaviour;
  int status;
  const char *body;
  const char *index_header;
  char last_request[256]; /**< method, path and query of the last request */
  int error;
  uint64_t index;
  uint32_t calls;
  size_t items;
  char value[64]; /**< of the first item */
};

static struct fixture fixture;

/* The client and the server are on the same loop. */
static void
respond_and_stall (struct evhttp_request *request)
{
  struct bufferevent *bev = evhttp_connection_get_bufferevent (
      evhttp_request_get_connection (request));
  char text[128];
  int size = snprintf (text, sizeof text,
                       "HTTP/1.1 %d status\r\nContent-Length: %zu\r\n"
                       "X-Index: 77\r\n\r\n%s",
                       fixture.status, strlen (fixture.body), fixture.body);

  CU_ASSERT_EQUAL (
      send (bufferevent_getfd (bev), text, (size_t)size, MSG_NOSIGNAL), size);
  usleep (TIMEOUT_MS * 3 / 2 * 1000);
}

static void
on_request (struct evhttp_request *request, void *user)
{
  struct evbuffer *body = evbuffer_new ();

  (void)user;
  snprintf (fixture.last_request, sizeof fixture.last_request, "%s %s",
            evhttp_request_get_command (request) == EVHTTP_REQ_PUT ? "PUT"
                                                                   : "GET",
            evhttp_request_get_uri (request));
  evhttp_add_header (evhttp_request_get_output_headers (request), "X-Index",
                     fixture.index_header);
  evbuffer_add (body, fixture.body, strlen (fixture.body));
  if (fixture.behaviour == BEHAVE_REPLY)
    evhttp_send_reply (request, fixture.status, "status", body);
  else if (fixture.behaviour == BEHAVE_CLOSE)
    evhttp_connection_free (evhttp_request_get_connection (request));
  else if (fixture.behaviour == BEHAVE_LATE)
    respond_and_stall (request);
  evbuffer_free (body);
}

static void
fixture_init (uint32_t calls_per_second_max)
{
  struct kvhttp_config config
      = { .clock = &fixture.clock,
          .timeout_ms = TIMEOUT_MS,
          .calls_per_second_max = calls_per_second_max };
  struct evhttp_bound_socket *bound;
  struct sockaddr_in address = { .sin_port = 0 };
  socklen_t size = sizeof address;
  static char text[32];

  memset (&fixture, 0, sizeof fixture);
  clock_init_manual (&fixture.clock, 1, 1);
  fixture.base = event_base_new ();
  fixture.index_header = "77";
  fixture.server = evhttp_new (fixture.base);
  evhttp_set_gencb (fixture.server, on_request, NULL);
  bound = evhttp_bind_socket_with_handle (fixture.server, "127.0.0.1", 0);
  getsockname (evhttp_bound_socket_get_fd (bound), (struct sockaddr *)&address,
               &size);
  snprintf (text, sizeof text, "127.0.0.1:%u", ntohs (address.sin_port));
  config.base = fixture.base;
  config.address = text;
  fixture.store = kvhttp_new (&config);
}

static void
fixture_finish (void)
{
  fixture.store->ops->finish (fixture.store);
  if (fixture.server != NULL)
    evhttp_free (fixture.server);
  event_base_free (fixture.base);
}

static void
on_written (void *user, int error, uint64_t index)
{
  (void)user;
  fixture.error = error;
  fixture.index = index;
  fixture.calls++;
  event_base_loopbreak (fixture.base);
}

static void
on_items (void *user, int error, uint64_t index,
          const struct kvstore_item *items, size_t count)
{
  on_written (user, error, index);
  fixture.items = count;
  if (count > 0)
    snprintf (fixture.value, sizeof fixture.value, "%s", items[0].value);
}

struct write_case
{
  enum server_behaviour behaviour;
  int status;
  const char *body;
  int error;
};

static void
test_write_outcomes (void)
{
  static const struct write_case cases[] = {
    { BEHAVE_REPLY, 200, "true", 0 },
    { BEHAVE_REPLY, 200, "false\n", ERR_CONFLICT },
    { BEHAVE_REPLY, 200, "maybe", ERR_UNKNOWN_OUTCOME },
    { BEHAVE_REPLY, 500, "", ERR_UNKNOWN_OUTCOME },
    { BEHAVE_REPLY, 429, "", ERR_RATE_LIMITED },
    /* It is in the socket when the time of the call ends. */
    { BEHAVE_LATE, 200, "true", 0 },
    { BEHAVE_CLOSE, 0, "", ERR_UNKNOWN_OUTCOME },
    { BEHAVE_HANG, 0, "", ERR_UNKNOWN_OUTCOME },
    { BEHAVE_ABSENT, 0, "", ERR_UNAVAILABLE },
  };
  size_t i;

  for (i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      fixture_init (10);
      fixture.behaviour = cases[i].behaviour;
      fixture.status = cases[i].status;
      fixture.body = cases[i].body;
      if (cases[i].behaviour == BEHAVE_ABSENT)
        {
          evhttp_free (fixture.server);
          fixture.server = NULL;
        }
      CU_ASSERT_EQUAL (fixture.store->ops->cas (fixture.store, "a/b c", "v", 1,
                                                12, on_written, NULL),
                       0);
      event_base_dispatch (fixture.base);
      CU_ASSERT_EQUAL (fixture.calls, 1);
      CU_ASSERT_EQUAL (fixture.error, cases[i].error);
      if (cases[i].behaviour != BEHAVE_ABSENT)
        CU_ASSERT_STRING_EQUAL (fixture.last_request,
                                "PUT /v1/kv/a/b%20c?cas=12");
      fixture_finish ();
    }
}

static void
read_and_wait (int status, const char *body, bool watch)
{
  int error;

  fixture.status = status;
  fixture.body = body;
  fixture.items = 0;
  error = watch
              ? fixture.store->ops->watch (fixture.store, "p/", 9, 500,
                                           on_items, NULL)
              : fixture.store->ops->get (fixture.store, "p/k", on_items, NULL);
  CU_ASSERT_EQUAL (error, 0);
  event_base_dispatch (fixture.base);
}

static void
test_reads (void)
{
  fixture_init (100);
  read_and_wait (200,
                 "[{\"Key\":\"p/k\",\"Value\":\"aGVsbG8=\","
                 "\"ModifyIndex\":5}]",
                 false);
  CU_ASSERT_EQUAL (fixture.error, 0);
  CU_ASSERT_EQUAL (fixture.index, 77);
  CU_ASSERT_EQUAL (fixture.items, 1);
  CU_ASSERT_STRING_EQUAL (fixture.value, "hello");
  CU_ASSERT_STRING_EQUAL (fixture.last_request, "GET /v1/kv/p/k");
  read_and_wait (404, "", false);
  CU_ASSERT_EQUAL (fixture.error, ERR_NOT_FOUND);
  read_and_wait (500, "", false);
  CU_ASSERT_EQUAL (fixture.error, ERR_UNAVAILABLE);
  read_and_wait (404, "", true);
  CU_ASSERT_EQUAL (fixture.error, 0);
  CU_ASSERT_EQUAL (fixture.items, 0);
  CU_ASSERT_STRING_EQUAL (fixture.last_request,
                          "GET /v1/kv/p/?recurse=true&index=9&wait=500ms");
  fixture_finish ();
}

/* Guards against an index that is no number, or out of range, and is read as
   another one. */
static void
test_index_header (void)
{
  static const char *const unreadable[] = { "",
                                            "-1",
                                            "soon",
                                            "7x",
                                            "9223372036854775808",
                                            "18446744073709551616",
                                            "99999999999999999999999" };
  static const char body[] = "[{\"Key\":\"p/k\",\"Value\":\"aGVsbG8=\","
                             "\"ModifyIndex\":4611686018427387904}]";
  size_t i;

  fixture_init (100);
  fixture.index_header = "9223372036854775807";
  read_and_wait (200, body, true);
  CU_ASSERT_EQUAL (fixture.error, 0);
  CU_ASSERT_EQUAL (fixture.index, INT64_MAX);
  CU_ASSERT_EQUAL (fixture.store->counters.unreadable, 0);
  for (i = 0; i < sizeof unreadable / sizeof unreadable[0]; i++)
    {
      fixture.index_header = unreadable[i];
      read_and_wait (200, body, i % 2 == 0);
      CU_ASSERT_EQUAL (fixture.error, ERR_PROTOCOL);
      CU_ASSERT_EQUAL (fixture.index, 0);
      CU_ASSERT_EQUAL (fixture.items, 0);
      CU_ASSERT_EQUAL (fixture.store->counters.unreadable, i + 1);
    }
  fixture_finish ();
}

/* The decoder names the malformed field and its value. */
static void
test_unreadable_item (void)
{
  static const char *const bad[][3] = {
    { "[{\"Key\":\"k\",\"ModifyIndex\":-4}]", "ModifyIndex", "-4" },
    { "[{\"Key\":7,\"ModifyIndex\":1}]", "Key", "7" },
    { "[{\"Key\":\"k\",\"Value\":5,\"ModifyIndex\":1}]", "Value", "5" },
    { "{\"Key\":1}", "body", "{\"Key\":1}" },
    { "[{\"Key\":\"k\",\"ModifyIndex\":9223372036854775808}]", "body",
      "too big integer near '9223372036854775808'" },
  };
  struct kvstore_codec_items items;
  size_t i;

  for (i = 0; i < sizeof bad / sizeof bad[0]; i++)
    {
      CU_ASSERT_EQUAL (
          kvstore_codec_decode (bad[i][0], strlen (bad[i][0]), &items),
          ERR_PROTOCOL);
      CU_ASSERT_STRING_EQUAL (items.bad_field, bad[i][1]);
      CU_ASSERT_STRING_EQUAL (items.bad_value, bad[i][2]);
    }
}

static void
test_malformed_json_is_rejected (void)
{
  static const char *const malformed[]
      = { "",
          "{}",
          "[1]",
          "[{\"Key\":\"k\",\"ModifyIndex\":0}]",
          "[{\"Key\":\"k\",\"ModifyIndex\":-4}]",
          "[{\"Value\":\"aGVsbG8=\",\"ModifyIndex\":1}]",
          "[{\"Key\":\"k\",\"Value\":5,\"ModifyIndex\":1}]",
          "[{\"Key\":\"k\",\"Value\":\"abc\",\"ModifyIndex\":1}]",
          "[{\"Key\":\"k\",\"Value\":\"a!c=\",\"ModifyIndex\":1}]",
          "[{\"Key\":\"k\",\"Value\":\"\",\"ModifyIndex\":1},{}]" };
  struct kvstore_codec_items items;
  size_t i;

  for (i = 0; i < sizeof malformed / sizeof malformed[0]; i++)
    CU_ASSERT_EQUAL (
        kvstore_codec_decode (malformed[i], strlen (malformed[i]), &items),
        ERR_PROTOCOL);
}

static void
test_rate_limit (void)
{
  uint32_t allowed = 0;
  uint32_t i;

  fixture_init (5);
  fixture.status = 200;
  fixture.body = "true";
  for (i = 0; i < 20; i++)
    allowed += fixture.store->ops->cas (fixture.store, "k", "v", 1, 0,
                                        on_written, NULL)
               == 0;
  CU_ASSERT_EQUAL (allowed, 5);
  CU_ASSERT_EQUAL (fixture.store->counters.rate_limited, 15);
  CU_ASSERT_EQUAL (fixture.store->counters.writes, 5);
  clock_advance_ms (&fixture.clock, 400);
  for (i = 0; i < 20; i++)
    allowed += fixture.store->ops->cas (fixture.store, "k", "v", 1, 0,
                                        on_written, NULL)
               == 0;
  CU_ASSERT_EQUAL (allowed, 7);
  fixture_finish ();
}

static void
test_leases (void)
{
  fixture_init (100);
  fixture.status = 200;
  fixture.body = "{\"ID\":\"s-1\"}";
  CU_ASSERT_EQUAL (
      fixture.store->ops->renew (fixture.store, "k", "r1", on_written, NULL),
      ERR_NOT_FOUND);
  /* The server answers the acquire with the same JSON as the session request;
     that is not a boolean, so the outcome of the lease is unknown. */
  CU_ASSERT_EQUAL (fixture.store->ops->acquire (fixture.store, "k", "r1", 5000,
                                                on_written, NULL),
                   0);
  event_base_dispatch (fixture.base);
  CU_ASSERT_EQUAL (fixture.error, ERR_UNKNOWN_OUTCOME);
  CU_ASSERT_STRING_EQUAL (fixture.last_request, "PUT /v1/kv/k?acquire=s-1");
  fixture_finish ();
}

static const struct suite_test tests[] = {
  { "outcomes of writes", test_write_outcomes },
  { "reads", test_reads },
  { "index of a response", test_index_header },
  { "item that cannot be read", test_unreadable_item },
  { "malformed JSON is rejected", test_malformed_json_is_rejected },
  { "rate limit", test_rate_limit },
  { "leases", test_leases },
};

SUITE_MAIN ("test_kvhttp", tests)
