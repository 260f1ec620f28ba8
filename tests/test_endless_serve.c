/**
 * @file test_endless_serve.c
 * A router in front of an upstream that sends bytes until the connection is
 * closed: requests end in their time, the router's memory stays bounded, and
 * others are served meanwhile.
 */
#include "router.h"
#include "support/memory.h"
#include "support/suite.h"
#include "support/upstreamserver.h"
#include "transport/loop.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define KEY "key-of-ana-000000"
#define REQUEST(service)                                                      \
  "GET /services/" service "/x HTTP/1.1\r\nHost: r\r\n"                       \
  "Authorization: Bearer " KEY "\r\nCherrylanding-Profile: " service "\r\n"   \
  "Cherrylanding-Request-Id: id-1\r\n\r\n"
#define PROMPT                                                                \
  "POST /v1/completions HTTP/1.1\r\nHost: r\r\n"                              \
  "Authorization: Bearer " KEY "\r\nCherrylanding-Profile: farm\r\n"          \
  "Cherrylanding-Request-Id: id-1\r\nContent-Length: 14\r\n\r\n"              \
  "{\"prompt\":\"x\"}"
#define SCRIPT_HEAD    "HTTP/1.1 200 OK\r\nCherrylanding-Request-Id: id-1\r\n"
#define SCRIPT_CHUNKED SCRIPT_HEAD "Transfer-Encoding: chunked\r\n\r\n"
#define SCRIPT_STREAM                                                         \
  SCRIPT_HEAD "Content-Type: text/event-stream\r\n"                           \
              "Transfer-Encoding: chunked\r\n\r\n"
#define SCRIPT_LONG SCRIPT_HEAD "Content-Length: 60000\r\n\r\n"
#define SERVED      SCRIPT_HEAD "Content-Length: 2\r\n\r\nok"
#define DEADLINE_MS 600
/* The deadline, and half a second that the client allows beyond it. */
#define ANSWER_MAX_MS   (DEADLINE_MS + 500)
#define ENDLESS_CLIENTS 4
#define OTHERS          20
#define RUN_MS          100
/* Twice the response buffers of all endless clients, and a block that the
   upstream holds for each, in the same process. */
#define GROWTH_MAX_KB 2560

static const char yaml[]
    = "router:\n"
      "  instance: r1\n"
      "  fleet: test\n"
      "  availability_zone: a\n"
      "  client_address: 127.0.0.1:0\n"
      "  admin_address: 127.0.0.1:0\n"
      "  log_level: error\n"
      "  limits:\n"
      "    response_buffer_bytes: 262144\n"
      "customers:\n"
      "  - { name: ana, weight: 1, keys: [" KEY "] }\n"
      "profiles:\n"
      "  - { name: plain, service: plain, class: quick, idempotent: false,"
      " deadline_ms: 600 }\n"
      "  - { name: farm, service: farm, class: quick, idempotent: false,"
      " deadline_ms: 600 }\n"
      "  - { name: sound, service: sound, class: quick, idempotent: false,"
      " deadline_ms: 600 }\n"
      "services:\n"
      "  - name: plain\n"
      "    kind: plain\n"
      "    upstreams:\n"
      "      - { address: 127.0.0.1:%1$u, availability_zone: a, slots: 8 }\n"
      "  - name: farm\n"
      "    kind: engine\n"
      "    upstreams:\n"
      "      - { address: 127.0.0.1:%2$u, availability_zone: a, slots: 8 }\n"
      "  - name: sound\n"
      "    kind: plain\n"
      "    upstreams:\n"
      "      - { address: 127.0.0.1:%3$u, availability_zone: a, slots: 8 }\n";

/** Services of the same names. */
enum server
{
  SERVER_PLAIN,
  SERVER_FARM,
  SERVER_SOUND,
  SERVER_MAX
};

struct fixture
{
  struct settings *settings;
  struct router router;
  struct event_base *base; /**< of the upstreams and clients */
  struct upstreamserver servers[SERVER_MAX];
};

/** One kind of response without end. */
struct endless_case
{
  enum server server;
  const char *script;
  const char *part; /**< of it without end; NULL: bytes of a line */
  bool single;      /**< one part at a time */
};

static void
write_settings (const struct fixture *fixture, char *path)
{
  char text[sizeof yaml + 64];
  int fd = mkstemp (path);
  int size = snprintf (
      text, sizeof text, yaml, fixture->servers[SERVER_PLAIN].port,
      fixture->servers[SERVER_FARM].port, fixture->servers[SERVER_SOUND].port);

  CU_ASSERT_FATAL (fd >= 0 && size > 0);
  CU_ASSERT_EQUAL (write (fd, text, (size_t)size), size);
  close (fd);
}

static void
fixture_init (struct fixture *fixture, const struct endless_case *endless)
{
  char path[] = "/tmp/test_endless_serve.XXXXXX";
  unsigned int i;

  memset (fixture, 0, sizeof *fixture);
  fixture->base = loop_new ();
  for (i = 0; i < SERVER_MAX; i++)
    {
      struct upstreamserver *server = &fixture->servers[i];

      upstreamserver_init (server, fixture->base, "sig");
      server->behaviour = i == SERVER_SOUND ? UPSTREAMSERVER_SCRIPT
                                            : UPSTREAMSERVER_ENDLESS_SCRIPT;
      server->script = i == SERVER_SOUND ? SERVED : endless->script;
      server->script_size = strlen (server->script);
      server->endless_part = endless->part;
      server->endless_single = endless->single;
    }
  write_settings (fixture, path);
  CU_ASSERT_EQUAL_FATAL (settings_load (path, &fixture->settings, stdout), 0);
  CU_ASSERT_EQUAL_FATAL (settings_validate (fixture->settings, path, stdout),
                         0);
  unlink (path);
  CU_ASSERT_EQUAL_FATAL (router_init (&fixture->router, fixture->settings), 0);
}

static void
fixture_finish (struct fixture *fixture)
{
  unsigned int i;

  router_finish (&fixture->router);
  settings_free (fixture->settings);
  for (i = 0; i < SERVER_MAX; i++)
    upstreamserver_finish (&fixture->servers[i]);
  event_base_loop (fixture->base, EVLOOP_NONBLOCK);
  event_base_free (fixture->base);
}

static uint64_t
now_ms (const struct fixture *fixture)
{
  return router_now_ns (&fixture->router) / CLOCK_NS_PER_MS;
}

/* Two loops in one thread: one turn each, and neither waits. */
static void
run_loops (struct fixture *fixture)
{
  event_base_loop (fixture->router.base, EVLOOP_ONCE | EVLOOP_NONBLOCK);
  event_base_loop (fixture->base, EVLOOP_ONCE | EVLOOP_NONBLOCK);
}

static bool
is_ended (const struct platclient *clients)
{
  unsigned int i;

  for (i = 0; i < ENDLESS_CLIENTS; i++)
    if (!clients[i].closed && !platclient_answered (&clients[i]))
      return false;
  return true;
}

static void
send_others (struct fixture *fixture)
{
  struct platclient client;
  uint64_t start_ms;
  unsigned int i;

  for (i = 0; i < OTHERS; i++)
    {
      start_ms = now_ms (fixture);
      platclient_init (&client, fixture->base,
                       httpd_port (fixture->router.httpd));
      platclient_send (&client, REQUEST ("sound"));
      while (!client.closed && !platclient_answered (&client)
             && now_ms (fixture) - start_ms < ANSWER_MAX_MS)
        run_loops (fixture);
      CU_ASSERT (strncmp (client.got + 9, "200", 3) == 0);
      platclient_finish (&client);
    }
}

/* Clients that read nothing begin to when the deadline is over: what they get
   has to come to an end, by a complete response or a closed connection. */
static void
play_clients (const struct endless_case *endless, bool reads)
{
  struct platclient clients[ENDLESS_CLIENTS];
  struct fixture fixture;
  uint64_t before_kb;
  uint64_t most_kb = 0;
  uint64_t start_ms;
  unsigned int i;

  fixture_init (&fixture, endless);
  before_kb = memory_kb ();
  start_ms = now_ms (&fixture);
  for (i = 0; i < ENDLESS_CLIENTS; i++)
    {
      platclient_init (&clients[i], fixture.base,
                       httpd_port (fixture.router.httpd));
      if (!reads)
        bufferevent_disable (clients[i].bev, EV_READ);
      platclient_send (&clients[i], endless->server == SERVER_FARM
                                        ? PROMPT
                                        : REQUEST ("plain"));
    }
  while (now_ms (&fixture) - start_ms < RUN_MS)
    {
      run_loops (&fixture);
      if (memory_kb () > most_kb)
        most_kb = memory_kb ();
    }
  CU_ASSERT (fixture.servers[endless->server].endless_bytes > 0);
  send_others (&fixture);
  while (now_ms (&fixture) - start_ms < DEADLINE_MS)
    {
      run_loops (&fixture);
      if (memory_kb () > most_kb)
        most_kb = memory_kb ();
    }
  CU_ASSERT (most_kb < before_kb + GROWTH_MAX_KB);
  for (i = 0; i < ENDLESS_CLIENTS; i++)
    bufferevent_enable (clients[i].bev, EV_READ);
  while (!is_ended (clients) && now_ms (&fixture) - start_ms < ANSWER_MAX_MS)
    run_loops (&fixture);
  CU_ASSERT_TRUE (is_ended (clients));
  for (i = 0; i < ENDLESS_CLIENTS; i++)
    platclient_finish (&clients[i]);
  fixture_finish (&fixture);
}

static void
play (enum server server, const char *script, const char *part, bool single)
{
  const struct endless_case endless
      = { .server = server, .script = script, .part = part, .single = single };

  play_clients (&endless, false);
  play_clients (&endless, true);
}

static void
test_head (void)
{
  play (SERVER_PLAIN, SCRIPT_HEAD "A: ", NULL, false);
}

static void
test_header_lines (void)
{
  play (SERVER_PLAIN, SCRIPT_HEAD, "A: b\r\n", false);
}

static void
test_interim (void)
{
  play (SERVER_PLAIN, "", "HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n", false);
}

static void
test_body (void)
{
  play (SERVER_PLAIN, SCRIPT_CHUNKED, "4\r\nbody\r\n", false);
}

static void
test_chunk_size (void)
{
  play (SERVER_PLAIN, SCRIPT_CHUNKED, "0", false);
}

static void
test_chunk_extension (void)
{
  play (SERVER_PLAIN, SCRIPT_CHUNKED "1;", "a=b;", false);
}

static void
test_trailers (void)
{
  play (SERVER_PLAIN, SCRIPT_CHUNKED "0\r\n", "A: b\r\n", false);
}

static void
test_extra_bytes (void)
{
  play (SERVER_PLAIN, SERVED, NULL, false);
}

static void
test_single_bytes_of_head (void)
{
  play (SERVER_PLAIN, SCRIPT_HEAD "A: ", NULL, true);
}

static void
test_single_bytes_of_buffered_body (void)
{
  play (SERVER_PLAIN, SCRIPT_LONG, NULL, true);
}

static void
test_small_chunks (void)
{
  play (SERVER_PLAIN, SCRIPT_CHUNKED, "1\r\nx\r\n", true);
}

static void
test_stream (void)
{
  play (SERVER_FARM, SCRIPT_STREAM, "9\r\ndata: x\n\n\r\n", false);
}

static void
test_event (void)
{
  play (SERVER_FARM, SCRIPT_STREAM "9\r\ndata: xxx\r\n", "4\r\nxxxx\r\n",
        false);
}

static void
test_comments (void)
{
  play (SERVER_FARM, SCRIPT_STREAM, "5\r\n: x\n\n\r\n", false);
}

static const struct suite_test tests[] = {
  { "head without end", test_head },
  { "header lines without end", test_header_lines },
  { "interim responses without end", test_interim },
  { "body without end", test_body },
  { "chunk size without end", test_chunk_size },
  { "chunk extension without end", test_chunk_extension },
  { "trailers without end", test_trailers },
  { "bytes after a response without end", test_extra_bytes },
  { "head without end, byte by byte", test_single_bytes_of_head },
  { "buffered body, byte by byte", test_single_bytes_of_buffered_body },
  { "small chunks without end, one by one", test_small_chunks },
  { "stream without end", test_stream },
  { "event without end", test_event },
  { "comments without end", test_comments },
};

SUITE_MAIN ("test_endless_serve", tests)
