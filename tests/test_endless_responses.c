/**
 * @file test_endless_responses.c
 * Upstreams that send bytes until the connection is closed: in a head, in a
 * body without a length, in one event.  The client is answered in time, the
 * gateway's memory stays bounded, and other requests are as fast as before.
 */
#include "support/gatefixture.h"
#include "support/memory.h"
#include "support/suite.h"
#include <netinet/in.h>
#include <stdio.h>
#include <string.h>
#include <sys/select.h>
#include <sys/socket.h>

#define HEADERS                                                               \
  "Host: shop.example\r\nX-Attempt-Id: id-1\r\n"                              \
  "X-Deadline-Remaining-Ms: 5000\r\nX-Credential: key-1\r\n"
#define PLAIN "GET /again/y HTTP/1.1\r\n" HEADERS "\r\n"
#define STREAM                                                                \
  "POST /stream/z HTTP/1.1\r\n" HEADERS "Content-Length: 0\r\n\r\n"
/* The route's time, and half a second that the client allows beyond it. */
#define ANSWER_MAX_MS (600 + 500)
/* An eighth of the smallest gateway's memory. */
#define GROWTH_MAX_KB   (MEMORY_GATEWAY_KB / 8)
#define OTHERS          20
#define OTHERS_MAX_MS   100 /* a third of the route's objective */
#define ENDLESS_CLIENTS 4

#define SCRIPT_HEAD                                                           \
  "HTTP/1.1 200 OK\r\nX-Attempt-Id: id-1\r\nX-Worker-Signature: sig-a\r\n"
#define SCRIPT_CHUNKED SCRIPT_HEAD "Transfer-Encoding: chunked\r\n\r\n"
#define SCRIPT_STREAM  SCRIPT_HEAD "Content-Type: text/event-stream\r\n\r\n"
#define LONG_LENGTH                                                           \
  "POST /again/y HTTP/1.1\r\n" HEADERS "Content-Length: 60000\r\n\r\n"
/* Three quarters of the smallest gateway's memory, for everything that one
   gateway holds of responses. */
#define MANY_GROWTH_MAX_KB (MEMORY_GATEWAY_KB * 3 / 4)
#define MANY_CLIENTS       600
#define MANY_ROUTE_MS      "3000"
#define MANY_ANSWER_MAX_MS (3000 + 500)
#define SOCKET_BYTES       4096 /* the platform's windows are small */
#define MANY_AT_ONCE       50   /* below the test server's backlog */
/* Half of those that are sent at once: heads and events end at their limit. */
#define MANY_OPEN_MIN (MANY_AT_ONCE / 2)

/** One kind of response without end. */
struct endless_case
{
  enum upstreamserver_behaviour behaviour;
  const char *request;
  const char *script; /**< of UPSTREAMSERVER_ENDLESS_SCRIPT */
  const char *part;   /**< of it without end; NULL: bytes of a line */
  bool single;        /**< one part at a time */
  bool reads;         /**< the client does */
};

static uint64_t
now_ms (const struct gatefixture *fixture)
{
  return gateway_now_ns (&fixture->gateway) / CLOCK_NS_PER_MS;
}

static bool
no_request_left (const struct gatefixture *fixture)
{
  return fixture->gateway.request_count == 0;
}

static void
begin_endless (struct gatefixture *fixture, const struct endless_case *endless)
{
  unsigned int i;

  for (i = 0; i < GATEFIXTURE_UPSTREAMS; i++)
    {
      struct upstreamserver *upstream = &fixture->upstreams[i];

      upstream->behaviour = endless->behaviour;
      upstream->script = endless->script;
      upstream->script_size
          = endless->script == NULL ? 0 : strlen (endless->script);
      upstream->endless_part = endless->part;
      upstream->endless_single = endless->single;
    }
}

static void
send_others (struct gatefixture *fixture)
{
  unsigned int i;

  for (i = 0; i < OTHERS; i++)
    {
      uint64_t sent_ms = now_ms (fixture);

      gatefixture_request (fixture, PLAIN);
      CU_ASSERT (strncmp (fixture->client.got + 9, "200", 3) == 0);
      CU_ASSERT (now_ms (fixture) - sent_ms <= OTHERS_MAX_MS);
    }
}

static void
play (const struct endless_case *endless)
{
  struct gatefixture fixture;
  struct platclient clients[ENDLESS_CLIENTS];
  uint64_t start_ms;
  uint64_t before_kb;
  uint64_t resident_kb;
  unsigned int i;

  gatefixture_init (&fixture, true);
  begin_endless (&fixture, endless);
  before_kb = memory_kb ();
  resident_kb = memory_resident_kb ();
  start_ms = now_ms (&fixture);
  for (i = 0; i < ENDLESS_CLIENTS; i++)
    {
      platclient_init (&clients[i], fixture.base,
                       httpd_port (fixture.gateway.httpd));
      if (!endless->reads)
        bufferevent_disable (clients[i].bev, EV_READ);
      platclient_send (&clients[i], endless->request);
    }
  gatefixture_run (&fixture, 100);
  CU_ASSERT (memory_kb () < before_kb + GROWTH_MAX_KB);
  CU_ASSERT (memory_resident_kb () < resident_kb + GROWTH_MAX_KB);
  /* Others meanwhile. */
  fixture.upstreams[0].behaviour = fixture.upstreams[1].behaviour
      = UPSTREAMSERVER_RESPOND;
  send_others (&fixture);
  CU_ASSERT_TRUE (gatefixture_run_until (&fixture, no_request_left));
  CU_ASSERT (now_ms (&fixture) - start_ms <= ANSWER_MAX_MS);
  CU_ASSERT (memory_kb () < before_kb + GROWTH_MAX_KB);
  CU_ASSERT (memory_resident_kb () < resident_kb + GROWTH_MAX_KB);
  for (i = 0; i < ENDLESS_CLIENTS; i++)
    platclient_finish (&clients[i]);
  gatefixture_finish (&fixture);
}

static void
test_head (void)
{
  play (&(struct endless_case){ .behaviour = UPSTREAMSERVER_ENDLESS_HEAD,
                                .request = PLAIN });
}

static void
test_body (void)
{
  play (&(struct endless_case){ .behaviour = UPSTREAMSERVER_ENDLESS_BODY,
                                .request = PLAIN });
}

static void
test_stream_body (void)
{
  play (&(struct endless_case){ .behaviour = UPSTREAMSERVER_ENDLESS_BODY,
                                .request = STREAM });
}

static void
test_event (void)
{
  play (&(struct endless_case){ .behaviour = UPSTREAMSERVER_ENDLESS_EVENT,
                                .request = STREAM });
}

static void
play_script (const char *request, const char *script, const char *part,
             bool single)
{
  struct endless_case endless = { .behaviour = UPSTREAMSERVER_ENDLESS_SCRIPT,
                                  .request = request,
                                  .script = script,
                                  .part = part,
                                  .single = single };

  play (&endless);
  endless.reads = true;
  play (&endless);
}

static void
test_interim (void)
{
  play_script (PLAIN, "", "HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n", false);
}

static void
test_interim_head (void)
{
  play_script (PLAIN, "HTTP/1.1 103 Early Hints\r\n", "A: b\r\n", false);
}

static void
test_header_lines (void)
{
  play_script (PLAIN, SCRIPT_HEAD, "A: b\r\n", false);
}

static void
test_chunk_size (void)
{
  play_script (PLAIN, SCRIPT_CHUNKED, "0", false);
}

static void
test_chunk_extension (void)
{
  play_script (PLAIN, SCRIPT_CHUNKED "1;", "a=b;", false);
}

static void
test_small_chunks (void)
{
  play_script (PLAIN, SCRIPT_CHUNKED, "1;a=b\r\nx\r\n", false);
}

static void
test_trailers (void)
{
  play_script (PLAIN, SCRIPT_CHUNKED "0\r\n", "A: b\r\n", false);
}

static void
test_comments (void)
{
  play_script (STREAM, SCRIPT_STREAM, ": x\n", false);
}

static void
test_comment_events (void)
{
  play_script (STREAM, SCRIPT_STREAM, ": x\n\n", false);
}

static void
test_empty_events (void)
{
  play_script (STREAM, SCRIPT_STREAM, "\n", false);
}

static void
test_extra_bytes (void)
{
  play_script (PLAIN, SCRIPT_HEAD "Content-Length: 0\r\n\r\n", NULL, false);
}

static void
test_early_response (void)
{
  play_script (LONG_LENGTH, SCRIPT_HEAD "\r\n", NULL, false);
}

static void
test_single_bytes_of_head (void)
{
  play_script (PLAIN, SCRIPT_HEAD "A: ", NULL, true);
}

static void
test_single_bytes_of_body (void)
{
  play_script (PLAIN, SCRIPT_HEAD "\r\n", NULL, true);
}

static void
test_single_bytes_of_event (void)
{
  play_script (STREAM, SCRIPT_STREAM "data: ", NULL, true);
}

/* Replaces each occurrence. */
static void
replace (char *text, size_t size, const char *from, const char *to)
{
  char rest[4096];
  char *at = text;

  while ((at = strstr (at, from)) != NULL)
    {
      snprintf (rest, sizeof rest, "%s", at + strlen (from));
      snprintf (at, size - (size_t)(at - text), "%s%s", to, rest);
      at += strlen (to);
    }
}

static bool
is_configured (const struct gatefixture *fixture)
{
  return fixture->gateway.routing != NULL
         && strcmp (fixture->gateway.routing->version, "2") == 0;
}

/* Lets all requests through to upstreams, for a longer time. */
static void
widen_service (struct gatefixture *fixture)
{
  char text[4096];

  snprintf (text, sizeof text, "%s",
            storeserver_get (&fixture->store, "op/config"));
  replace (text, sizeof text, "\"version\":1", "\"version\":2");
  replace (text, sizeof text, "_connections\":96", "_connections\":400");
  replace (text, sizeof text, "\"timeout_ms\":600",
           "\"timeout_ms\":" MANY_ROUTE_MS);
  storeserver_put (&fixture->store, "op/config", text);
  CU_ASSERT_TRUE_FATAL (gatefixture_run_until (fixture, is_configured));
}

/* Of the connections that the gateway accepts from now on. */
static void
shrink_output (uint16_t port)
{
  const int size = SOCKET_BYTES;
  struct sockaddr_in address = { .sin_port = 0 };
  int fd;

  for (fd = 0; fd < FD_SETSIZE; fd++)
    {
      socklen_t address_size = sizeof address;
      socklen_t flag_size = sizeof (int);
      int listens = 0;

      if (getsockopt (fd, SOL_SOCKET, SO_ACCEPTCONN, &listens, &flag_size) == 0
          && listens != 0
          && getsockname (fd, (struct sockaddr *)&address, &address_size) == 0
          && ntohs (address.sin_port) == port)
        setsockopt (fd, SOL_SOCKET, SO_SNDBUF, &size, sizeof size);
    }
}

static void
shrink_input (struct platclient *client)
{
  const int size = SOCKET_BYTES;

  setsockopt (bufferevent_getfd (client->bev), SOL_SOCKET, SO_RCVBUF, &size,
              sizeof size);
}

/* The upstreams hold a block of each response too, in the same process. */
static void
play_many (const struct endless_case *endless)
{
  static struct platclient clients[MANY_CLIENTS];
  struct gatefixture fixture;
  uint64_t before_kb;
  uint64_t most_kb = 0;
  uint64_t last_ms;
  uint32_t most_open = 0;
  unsigned int i;

  gatefixture_init (&fixture, true);
  widen_service (&fixture);
  shrink_output (httpd_port (fixture.gateway.httpd));
  before_kb = memory_kb ();
  for (i = 0; i < MANY_CLIENTS; i++)
    {
      begin_endless (&fixture, endless);
      platclient_init (&clients[i], fixture.base,
                       httpd_port (fixture.gateway.httpd));
      if (!endless->reads)
        bufferevent_disable (clients[i].bev, EV_READ);
      shrink_input (&clients[i]);
      platclient_send (&clients[i], endless->request);
      if (i % MANY_AT_ONCE == 0)
        gatefixture_run (&fixture, 10);
      if (memory_kb () > most_kb)
        most_kb = memory_kb ();
      if (upstream_http_connections (fixture.gateway.upstream_client)
          > most_open)
        most_open
            = upstream_http_connections (fixture.gateway.upstream_client);
    }
  last_ms = now_ms (&fixture);
  while (fixture.gateway.request_count > 0
         && now_ms (&fixture) < last_ms + MANY_ANSWER_MAX_MS)
    {
      gatefixture_run (&fixture, 10);
      if (memory_kb () > most_kb)
        most_kb = memory_kb ();
      if (upstream_http_connections (fixture.gateway.upstream_client)
          > most_open)
        most_open
            = upstream_http_connections (fixture.gateway.upstream_client);
    }
  CU_ASSERT (most_open >= MANY_OPEN_MIN);
  CU_ASSERT (most_kb < before_kb + MANY_GROWTH_MAX_KB);
  CU_ASSERT_EQUAL (fixture.gateway.request_count, 0);
  fixture.upstreams[0].behaviour = fixture.upstreams[1].behaviour
      = UPSTREAMSERVER_RESPOND;
  send_others (&fixture);
  for (i = 0; i < MANY_CLIENTS; i++)
    platclient_finish (&clients[i]);
  gatefixture_finish (&fixture);
}

static void
test_many_heads (void)
{
  play_many (&(struct endless_case){ .behaviour = UPSTREAMSERVER_ENDLESS_HEAD,
                                     .request = PLAIN });
}

static void
test_many_bodies (void)
{
  play_many (&(struct endless_case){ .behaviour = UPSTREAMSERVER_ENDLESS_BODY,
                                     .request = PLAIN });
}

static void
test_many_streams (void)
{
  play_many (
      &(struct endless_case){ .behaviour = UPSTREAMSERVER_ENDLESS_SCRIPT,
                              .request = STREAM,
                              .script = SCRIPT_STREAM,
                              .part = "data: x\n\n" });
}

static void
test_many_events (void)
{
  play_many (&(struct endless_case){ .behaviour = UPSTREAMSERVER_ENDLESS_EVENT,
                                     .request = STREAM });
}

static const struct suite_test tests[] = {
  { "head without end", test_head },
  { "body without end", test_body },
  { "body of a stream without end", test_stream_body },
  { "event without end", test_event },
  { "interim responses without end", test_interim },
  { "head of an interim response without end", test_interim_head },
  { "header lines without end", test_header_lines },
  { "chunk size without end", test_chunk_size },
  { "chunk extension without end", test_chunk_extension },
  { "small chunks without end", test_small_chunks },
  { "trailers without end", test_trailers },
  { "lines of comments without end", test_comments },
  { "comments without end", test_comment_events },
  { "empty events without end", test_empty_events },
  { "bytes after a response without end", test_extra_bytes },
  { "early response without end", test_early_response },
  { "head without end, byte by byte", test_single_bytes_of_head },
  { "body without end, byte by byte", test_single_bytes_of_body },
  { "event without end, byte by byte", test_single_bytes_of_event },
  { "many heads without end", test_many_heads },
  { "many bodies without end", test_many_bodies },
  { "many streams without end", test_many_streams },
  { "many events without end", test_many_events },
};

SUITE_MAIN ("test_endless_responses", tests)
