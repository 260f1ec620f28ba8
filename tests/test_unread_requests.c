/**
 * @file test_unread_requests.c
 * Requests and responses that the event loop has not handled yet when it
 * closes their connection: the loop is late, or the process ends.
 */
#include "gateway/discovery.h"
#include "gateway/gateway_request.h"
#include "support/gatefixture.h"
#include "support/positions.h"
#include "support/suite.h"
#include "transport/linger.h"
#include "transport/turnaway.h"
#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <stdio.h>
#include <string.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#define HEADERS                                                               \
  "Host: shop.example\r\nX-Attempt-Id: id-1\r\n"                              \
  "X-Deadline-Remaining-Ms: 5000\r\nX-Credential: key-1\r\n"
#define REQUEST "GET /again/y HTTP/1.1\r\n" HEADERS "\r\n"
#define STREAM  "GET /stream/y HTTP/1.1\r\n" HEADERS "\r\n"
#define SECOND                                                                \
  "GET /again/z HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: id-2\r\n"     \
  "X-Deadline-Remaining-Ms: 5000\r\nX-Credential: key-1\r\n\r\n"
#define TOO_LARGE                                                             \
  "POST /again/y HTTP/1.1\r\n" HEADERS "Content-Length: 9999999\r\n\r\n"
#define IDLE_MS 200
#define DONE_MS 1000

struct raw_client
{
  int fd;
  char got[UPSTREAMSERVER_MESSAGE_SIZE];
  size_t size;
  bool ended;
  int error;
};

static void
client_connect (struct raw_client *client, const struct gatefixture *fixture)
{
  const struct sockaddr_in to
      = { .sin_family = AF_INET,
          .sin_port = htons (httpd_port (fixture->gateway.httpd)),
          .sin_addr = { htonl (INADDR_LOOPBACK) } };

  memset (client, 0, sizeof *client);
  client->fd = socket (AF_INET, SOCK_STREAM, 0);
  CU_ASSERT_EQUAL_FATAL (
      connect (client->fd, (const struct sockaddr *)&to, sizeof to), 0);
}

static void
client_send (const struct raw_client *client, const char *text)
{
  CU_ASSERT_EQUAL (send (client->fd, text, strlen (text), MSG_NOSIGNAL),
                   (ssize_t)strlen (text));
}

static void
client_receive (struct raw_client *client)
{
  ssize_t n;

  client->size = 0;
  client->ended = false;
  client->error = 0;
  while ((n = recv (client->fd, client->got + client->size,
                    sizeof client->got - 1 - client->size, MSG_DONTWAIT))
         > 0)
    client->size += (size_t)n;
  client->got[client->size] = '\0';
  client->ended = n == 0;
  client->error = n < 0 && errno != EAGAIN ? errno : 0;
}

static void
set_connections_max (struct gatefixture *fixture, uint32_t connections_max,
                     uint32_t idle_ms)
{
  httpd_set_limits (fixture->gateway.httpd,
                    &(struct httpd_limits){ .header_bytes_max = 16384,
                                            .body_bytes_max = 65536,
                                            .connections_max = connections_max,
                                            .idle_timeout_ms = idle_ms,
                                            .read_timeout_ms = IDLE_MS,
                                            .write_timeout_ms = DONE_MS * 15,
                                            .low_water_bytes = 1024 });
}

static void
set_limits (struct gatefixture *fixture, uint32_t idle_ms)
{
  set_connections_max (fixture, 100, idle_ms);
}

struct stall_after_refusal
{
  struct httpd *httpd;
  struct event *event;
  uint32_t duration_ms;
  int client; /* sends more meanwhile; 0: none */
  bool done;
};

/* Between any two events of the loop: stands still once the connection is no
   longer the server's. */
static void
on_between_refusal (evutil_socket_t fd, short what, void *user)
{
  struct stall_after_refusal *stall = user;

  (void)fd;
  (void)what;
  if (stall->done)
    return;
  event_active (stall->event, EV_TIMEOUT, 0);
  if (httpd_connections (stall->httpd) > 0)
    return;
  stall->done = true;
  if (stall->client != 0)
    CU_ASSERT_EQUAL (send (stall->client, HEADERS, strlen (HEADERS), 0),
                     (ssize_t)strlen (HEADERS));
  usleep (stall->duration_ms * 1000);
}

/* Two requests at once on a kept connection: both are answered. */
static void
test_pipelined (void)
{
  struct gatefixture fixture;
  struct raw_client client;

  gatefixture_init (&fixture, true);
  set_limits (&fixture, IDLE_MS);
  client_connect (&client, &fixture);
  client_send (&client, REQUEST SECOND);
  gatefixture_run (&fixture, IDLE_MS / 2);
  client_receive (&client);
  CU_ASSERT_PTR_NOT_NULL (strstr (client.got, "id-1"));
  CU_ASSERT_PTR_NOT_NULL (strstr (client.got, "id-2"));
  gatefixture_run (&fixture, IDLE_MS * 8);
  client_receive (&client);
  CU_ASSERT_TRUE (client.ended);
  CU_ASSERT_EQUAL (httpd_connections (fixture.gateway.httpd), 0);
  close (client.fd);
  gatefixture_finish (&fixture);
}

/* The second one comes while the first is in progress. */
static void
test_pipelined_later (void)
{
  struct gatefixture fixture;
  struct raw_client client;

  gatefixture_init (&fixture, true);
  set_limits (&fixture, IDLE_MS);
  fixture.upstreams[0].response_delay_ms = 80;
  client_connect (&client, &fixture);
  client_send (&client, REQUEST);
  gatefixture_run (&fixture, 30);
  client_send (&client, SECOND);
  gatefixture_run (&fixture, 300);
  client_receive (&client);
  CU_ASSERT_PTR_NOT_NULL (strstr (client.got, "id-1"));
  CU_ASSERT_PTR_NOT_NULL (strstr (client.got, "id-2"));
  gatefixture_run (&fixture, IDLE_MS * 8);
  client_receive (&client);
  CU_ASSERT_TRUE (client.ended);
  CU_ASSERT_EQUAL (httpd_connections (fixture.gateway.httpd), 0);
  close (client.fd);
  gatefixture_finish (&fixture);
}

/* The first line of a request that is sent behind another one arrives in two
   parts, one before and one after the first response: it is forwarded as it
   was sent. */
static void
test_line_in_parts (void)
{
  static const char line[] = "GET /again/z?page=26&sort=new HTTP/1.1\r\n";
  struct gatefixture fixture;
  struct raw_client client;
  char text[512];
  unsigned int changed = 0;
  size_t cut;

  snprintf (text, sizeof text, "%s" HEADERS "\r\n", line);
  for (cut = 1; cut < sizeof line; cut++)
    {
      gatefixture_init (&fixture, true);
      fixture.upstreams[0].response_delay_ms = 20;
      client_connect (&client, &fixture);
      client_send (&client, REQUEST);
      gatefixture_run (&fixture, 10);
      CU_ASSERT_EQUAL (send (client.fd, text, cut, MSG_NOSIGNAL),
                       (ssize_t)cut);
      gatefixture_run (&fixture, 30);
      client_send (&client, text + cut);
      gatefixture_run (&fixture, 50);
      /* Either upstream may get the second request. */
      if (strstr (fixture.upstreams[0].last_request, line) == NULL
          && strstr (fixture.upstreams[1].last_request, line) == NULL)
        changed++;
      close (client.fd);
      gatefixture_finish (&fixture);
    }
  CU_ASSERT_EQUAL (changed, 0);
}

static void
stream_begin (struct gatefixture *fixture, struct raw_client *client)
{
  gatefixture_init (fixture, true);
  set_limits (fixture, DONE_MS * 15);
  fixture->upstreams[0].behaviour = UPSTREAMSERVER_STREAM_TIMED;
  fixture->upstreams[0].timed_events = 3;
  fixture->upstreams[0].event_interval_ms = 40;
  client_connect (client, fixture);
  client_send (client, STREAM);
}

/* A stream begins before a drain and ends in it.  Its head promised a kept
   connection, so the client's next request is answered. */
static void
test_stream_ends_in_drain (void)
{
  struct gatefixture fixture;
  struct raw_client client;

  stream_begin (&fixture, &client);
  gatefixture_run (&fixture, 20);
  client_receive (&client);
  CU_ASSERT_PTR_NOT_NULL (strstr (client.got, "HTTP/1.1 200"));
  CU_ASSERT_PTR_NULL (strstr (client.got, "Connection: close"));
  gateway_drain (&fixture.gateway);
  fixture.upstreams[0].behaviour = UPSTREAMSERVER_RESPOND;
  client_send (&client, SECOND);
  gatefixture_run (&fixture, 400);
  client_receive (&client);
  CU_ASSERT_PTR_NOT_NULL (strstr (client.got, "\r\n0\r\n\r\n"));
  CU_ASSERT_PTR_NOT_NULL (strstr (client.got, "id-2"));
  close (client.fd);
  gatefixture_finish (&fixture);
}

struct late_loop
{
  struct raw_client *client;
  struct event *event;
  bool whole;
  bool sent;
};

/* Between any two events of the loop: once the client has the whole response,
   it sends its next request, unless it sees a close meanwhile. */
static void
on_between (evutil_socket_t fd, short what, void *user)
{
  struct late_loop *late = user;
  char got[UPSTREAMSERVER_MESSAGE_SIZE];
  ssize_t n;

  (void)fd;
  (void)what;
  n = recv (late->client->fd, got, sizeof got - 1, MSG_PEEK | MSG_DONTWAIT);
  got[n < 0 ? 0 : n] = '\0';
  late->whole = strstr (got, "\r\n0\r\n\r\n") != NULL;
  if (!late->whole)
    {
      event_active (late->event, EV_TIMEOUT, 0);
      return;
    }
  usleep (250000);
  client_receive (late->client);
  if (late->client->ended || strstr (late->client->got, "Connection: close"))
    return;
  client_send (late->client, SECOND);
  late->sent = true;
}

/* The same without pipelining: the client has the whole response, whose head
   promised a kept connection, and sees no close for a while, as the loop is
   late.  The request that it sends then is answered. */
static void
check_stream_end (bool drain)
{
  struct gatefixture fixture;
  struct raw_client client;
  struct late_loop late = { .client = &client };

  stream_begin (&fixture, &client);
  gatefixture_run (&fixture, 20);
  if (drain)
    gateway_drain (&fixture.gateway);
  fixture.upstreams[0].behaviour = UPSTREAMSERVER_RESPOND;
  late.event = event_new (fixture.base, -1, 0, on_between, &late);
  event_active (late.event, EV_TIMEOUT, 0);
  gatefixture_run (&fixture, 300);
  event_free (late.event);
  gatefixture_run (&fixture, 300);
  CU_ASSERT_TRUE (late.whole);
  if (!drain)
    CU_ASSERT_TRUE (late.sent);
  if (late.sent)
    {
      client_receive (&client);
      CU_ASSERT_PTR_NOT_NULL (strstr (client.got, "id-2"));
    }
  close (client.fd);
  gatefixture_finish (&fixture);
}

static void
test_stream_ends_in_drain_late (void)
{
  check_stream_end (true);
}

static void
test_stream_ends_late (void)
{
  check_stream_end (false);
}

static void
on_limit (evutil_socket_t fd, short what, void *user)
{
  struct event_base *base = user;

  (void)fd;
  (void)what;
  event_base_loopbreak (base);
}

/* As the process does it: the loop runs until the drain ends it. */
static void
run_to_end (struct gatefixture *fixture)
{
  const struct timeval limit = clock_timeval (DONE_MS);
  struct event *timer
      = event_new (fixture->base, -1, 0, on_limit, fixture->base);

  event_add (timer, &limit);
  event_base_dispatch (fixture->base);
  event_free (timer);
}

/* A request is refused without having been read whole, as the drain ends: its
   client gets the response. */
static void
test_refused_at_drain_end (void)
{
  struct gatefixture fixture;
  struct raw_client client;
  struct stall_after_refusal stall = { .duration_ms = 150 };

  gatefixture_init (&fixture, true);
  set_limits (&fixture, DONE_MS * 15);
  client_connect (&client, &fixture);
  gateway_drain (&fixture.gateway);
  gatefixture_run (&fixture, GATEWAY_UNREADY_DELAY_MS - 50);
  stall.httpd = fixture.gateway.httpd;
  stall.event = event_new (fixture.base, -1, 0, on_between_refusal, &stall);
  client_send (&client, TOO_LARGE);
  event_active (stall.event, EV_TIMEOUT, 0);
  run_to_end (&fixture);
  CU_ASSERT_TRUE (stall.done);
  event_free (stall.event);
  gateway_finish (&fixture.gateway);
  client_receive (&client);
  CU_ASSERT_PTR_NOT_NULL (strstr (client.got, "HTTP/1.1 413"));
  close (client.fd);
  gatefixture_finish_servers (&fixture);
}

/* A connection that is accepted as the drain ends gets its response, and no
   reset. */
static void
test_unaccepted_at_drain_end (void)
{
  struct gatefixture fixture;
  struct raw_client client;

  gatefixture_init (&fixture, true);
  gateway_drain (&fixture.gateway);
  gatefixture_run (&fixture, GATEWAY_UNREADY_DELAY_MS - 150);
  client_connect (&client, &fixture);
  client_send (&client, REQUEST);
  usleep (300000);
  run_to_end (&fixture);
  gateway_finish (&fixture.gateway);
  client_receive (&client);
  CU_ASSERT_PTR_NOT_NULL (strstr (client.got, "HTTP/1.1 "));
  CU_ASSERT_EQUAL (client.error, 0);
  close (client.fd);
  gatefixture_finish_servers (&fixture);
}

/* The grace period ends while the loop is late: a request in progress gets its
   final response. */
static void
test_final_response_late (void)
{
  static const char config[]
      = "{\"version\":2,\"limits\":{\"max_header_bytes\":4096,"
        "\"max_body_bytes\":65536,\"header_timeout_ms\":3000,"
        "\"idle_timeout_ms\":15000},\"services\":[{\"name\":\"s2\","
        "\"health_path\":\"/h\",\"max_connections\":96}],\"routes\":["
        "{\"name\":\"again\",\"host\":\"shop.example\",\"prefix\":\"/again/\","
        "\"route_type\":\"idempotent\",\"timeout_ms\":6000,"
        "\"target_latency_ms\":50,\"priority\":1,\"service\":\"s2\","
        "\"max_attempts\":2,\"auth_exempt\":false,\"resumable\":false}],"
        "\"tenants\":[{\"name\":\"ana\",\"api_keys\":[\"key-1\"]}]}";
  struct gatefixture fixture;
  struct raw_client client;

  gatefixture_init (&fixture, true);
  storeserver_put (&fixture.store, "op/config", config);
  gatefixture_run (&fixture, 200);
  CU_ASSERT_STRING_EQUAL (fixture.gateway.routing->version, "2");
  fixture.gateway.settings.grace_ms = 3000;
  fixture.upstreams[0].behaviour = UPSTREAMSERVER_HANG;
  fixture.upstreams[1].behaviour = UPSTREAMSERVER_HANG;
  client_connect (&client, &fixture);
  client_send (&client, REQUEST);
  gatefixture_run (&fixture, 50);
  gateway_drain (&fixture.gateway);
  gatefixture_run (&fixture, 2530);
  usleep (350000);
  run_to_end (&fixture);
  gateway_finish (&fixture.gateway);
  client_receive (&client);
  CU_ASSERT_PTR_NOT_NULL (strstr (client.got, "HTTP/1.1 5"));
  close (client.fd);
  gatefixture_finish_servers (&fixture);
}

/* The configuration lets connections be idle for longer.  Guards against the
   close of one that went idle before, while its client may still use it. */
static void
test_idle_limit_grows (void)
{
  struct gatefixture fixture;
  struct raw_client client;

  gatefixture_init (&fixture, true);
  set_limits (&fixture, IDLE_MS);
  client_connect (&client, &fixture);
  client_send (&client, REQUEST);
  gatefixture_run (&fixture, IDLE_MS / 2);
  set_limits (&fixture, DONE_MS);
  gatefixture_run (&fixture, IDLE_MS);
  client_receive (&client);
  CU_ASSERT_FALSE (client.ended);
  client_send (&client, SECOND);
  gatefixture_run (&fixture, IDLE_MS / 2);
  client_receive (&client);
  CU_ASSERT_PTR_NOT_NULL (strstr (client.got, "id-2"));
  close (client.fd);
  gatefixture_finish (&fixture);
}

#define WAITING       (TURNAWAY_SOCKETS_MAX + 50)
#define LONG_REQUESTS 20

/* A listening socket, and clients that are turned away there. */
struct flood
{
  struct clock clock;
  struct turnaway turnaway;
  struct evbuffer *response;
  struct sockaddr_in address;
  int listener;
  int clients[WAITING];
};

static void
flood_init (struct flood *flood)
{
  socklen_t size = sizeof flood->address;

  memset (flood, 0, sizeof *flood);
  clock_init_manual (&flood->clock, CLOCK_NS_PER_S, 0);
  turnaway_init (&flood->turnaway, &flood->clock);
  flood->address.sin_family = AF_INET;
  flood->address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  flood->response = evbuffer_new ();
  evbuffer_add (flood->response, "response", 8);
  flood->listener = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
  CU_ASSERT_EQUAL_FATAL (
      bind (flood->listener, (struct sockaddr *)&flood->address, size), 0);
  CU_ASSERT_EQUAL_FATAL (listen (flood->listener, WAITING), 0);
  getsockname (flood->listener, (struct sockaddr *)&flood->address, &size);
}

static void
flood_connect (struct flood *flood, size_t first, size_t end)
{
  size_t i;

  for (i = first; i < end; i++)
    {
      flood->clients[i] = socket (AF_INET, SOCK_STREAM, 0);
      CU_ASSERT_EQUAL_FATAL (connect (flood->clients[i],
                                      (struct sockaddr *)&flood->address,
                                      sizeof flood->address),
                             0);
    }
}

/* What the server does every TURNAWAY_INTERVAL_MS.
   @return the number of connections that were turned away. */
static size_t
flood_turn_away (struct flood *flood)
{
  bool none_waits;

  turnaway_close (&flood->turnaway);
  return turnaway_waiting (&flood->turnaway, flood->listener, flood->response,
                           &none_waits);
}

/* A client that has not sent its request yet does so, and goes on sending: it
   gets the response, not a reset. */
static void
flood_check_told (const struct flood *flood, size_t client)
{
  const int fd = flood->clients[client];
  char got[16];
  size_t i;

  for (i = 0; i < 2; i++)
    CU_ASSERT_EQUAL (send (fd, REQUEST, strlen (REQUEST), MSG_NOSIGNAL),
                     (ssize_t)strlen (REQUEST));
  CU_ASSERT_EQUAL (recv (fd, got, sizeof got, 0), 8);
  CU_ASSERT_EQUAL (recv (fd, got, sizeof got, 0), 0);
}

static void
flood_finish (struct flood *flood)
{
  size_t i;

  for (i = 0; i < WAITING; i++)
    if (flood->clients[i] > 0)
      close (flood->clients[i]);
  turnaway_finish (&flood->turnaway);
  close (flood->listener);
  evbuffer_free (flood->response);
}

/* More are turned away than are kept open, while one client has not sent its
   request yet.  Guards against its reset: those whose clients have left make
   room first. */
static void
test_turned_away_beyond_limit (void)
{
  static struct flood flood;
  size_t i;

  flood_init (&flood);
  flood_connect (&flood, 0, TURNAWAY_SOCKETS_MAX);
  flood_turn_away (&flood);
  CU_ASSERT_EQUAL (flood.turnaway.count, TURNAWAY_SOCKETS_MAX);
  for (i = 1; i < TURNAWAY_SOCKETS_MAX; i++)
    {
      close (flood.clients[i]);
      flood.clients[i] = -1;
    }
  flood_connect (&flood, TURNAWAY_SOCKETS_MAX, WAITING);
  clock_advance_ms (&flood.clock, TURNAWAY_INTERVAL_MS);
  CU_ASSERT_EQUAL (flood_turn_away (&flood), WAITING - TURNAWAY_SOCKETS_MAX);
  clock_advance_ms (&flood.clock, TURNAWAY_LOOK_MS);
  flood_turn_away (&flood);
  CU_ASSERT_EQUAL (flood.turnaway.count, WAITING - TURNAWAY_SOCKETS_MAX + 1);
  flood_check_told (&flood, 0);
  flood_finish (&flood);
}

/* More are turned away than are kept open, and no client has left yet.
   Guards against the reset of the oldest: the others wait until it has had
   time to read its response. */
static void
test_turned_away_none_left (void)
{
  static struct flood flood;
  uint32_t spent_ms;

  flood_init (&flood);
  flood_connect (&flood, 0, WAITING);
  CU_ASSERT_EQUAL (flood_turn_away (&flood), TURNAWAY_SOCKETS_MAX);
  for (spent_ms = TURNAWAY_INTERVAL_MS; spent_ms < TURNAWAY_LINGER_MS;
       spent_ms += TURNAWAY_INTERVAL_MS)
    {
      clock_advance_ms (&flood.clock, TURNAWAY_INTERVAL_MS);
      CU_ASSERT_EQUAL (flood_turn_away (&flood), 0);
    }
  flood_check_told (&flood, 0);
  clock_advance_ms (&flood.clock, TURNAWAY_INTERVAL_MS);
  CU_ASSERT_EQUAL (flood_turn_away (&flood), WAITING - TURNAWAY_SOCKETS_MAX);
  flood_finish (&flood);
}

/* There is room for all, and a client takes long to send its request.  Guards
   against its reset as soon as others have read their response. */
static void
test_turned_away_slow (void)
{
  static struct flood flood;
  uint32_t spent_ms;

  flood_init (&flood);
  flood_connect (&flood, 0, 2);
  flood_turn_away (&flood);
  for (spent_ms = TURNAWAY_INTERVAL_MS; spent_ms < TURNAWAY_LINGER_MS;
       spent_ms += TURNAWAY_INTERVAL_MS)
    {
      clock_advance_ms (&flood.clock, TURNAWAY_INTERVAL_MS);
      flood_turn_away (&flood);
    }
  flood_check_told (&flood, 0);
  CU_ASSERT_EQUAL (flood.turnaway.count, 2);
  clock_advance_ms (&flood.clock, TURNAWAY_LOOK_MS);
  flood_turn_away (&flood);
  CU_ASSERT_EQUAL (flood.turnaway.count, 1);
  CU_ASSERT_EQUAL (flood.turnaway.expired, 1);
  clock_advance_ms (&flood.clock, TURNAWAY_LINGER_MS);
  flood_turn_away (&flood);
  CU_ASSERT_EQUAL (flood.turnaway.count, 0);
  CU_ASSERT_EQUAL (flood.turnaway.expired, 2);
  flood_finish (&flood);
}

/* A client goes on sending for longer than the window: its request is read on,
   and it gets its response.  Guards against a connection that is closed, and
   so reset, while its client sends. */
static void
test_turned_away_long_request (void)
{
  static char part[65536];
  static struct flood flood;
  uint32_t spent_ms;
  char got[16];
  size_t i;

  flood_init (&flood);
  flood_connect (&flood, 0, WAITING);
  flood_turn_away (&flood);
  for (spent_ms = 0; spent_ms < TURNAWAY_LINGER_MS * 2;
       spent_ms += TURNAWAY_LOOK_MS)
    {
      for (i = 0; i < LONG_REQUESTS; i++)
        CU_ASSERT (send (flood.clients[i], part, sizeof part,
                         MSG_NOSIGNAL | MSG_DONTWAIT)
                   > 0);
      clock_advance_ms (&flood.clock, TURNAWAY_LOOK_MS);
      flood_turn_away (&flood);
    }
  for (i = 0; i < LONG_REQUESTS; i++)
    CU_ASSERT_EQUAL (recv (flood.clients[i], got, sizeof got, 0), 8);
  /* One that never ends is closed all the same. */
  for (; spent_ms <= TURNAWAY_SENDING_MS; spent_ms += TURNAWAY_LOOK_MS)
    {
      for (i = 0; i < LONG_REQUESTS; i++)
        send (flood.clients[i], part, sizeof part,
              MSG_NOSIGNAL | MSG_DONTWAIT);
      clock_advance_ms (&flood.clock, TURNAWAY_LOOK_MS);
      flood_turn_away (&flood);
    }
  CU_ASSERT_EQUAL (flood.turnaway.count, 0);
  flood_finish (&flood);
}

/* A whole request has arrived: its client gets the response, not a reset, and
   the connection, which would cost looks, does not stay open. */
static void
test_turned_away_whole_request (void)
{
  static struct flood flood;
  char got[16];

  flood_init (&flood);
  flood_connect (&flood, 0, 2);
  CU_ASSERT_EQUAL (send (flood.clients[0], REQUEST, strlen (REQUEST), 0),
                   (ssize_t)strlen (REQUEST));
  CU_ASSERT_EQUAL (send (flood.clients[1], REQUEST, strlen (REQUEST) - 1, 0),
                   (ssize_t)strlen (REQUEST) - 1);
  CU_ASSERT_EQUAL (flood_turn_away (&flood), 2);
  CU_ASSERT_EQUAL (flood.turnaway.count, 1);
  CU_ASSERT_EQUAL (recv (flood.clients[0], got, sizeof got, 0), 8);
  CU_ASSERT_EQUAL (recv (flood.clients[0], got, sizeof got, 0), 0);
  flood_check_told (&flood, 1);
  flood_finish (&flood);
}

#define PART      "POST /again/y HTTP/1.1\r\n" HEADERS "Content-Length: 9\r\n\r\nab"
#define PART_REST "cdefghi"
#define PAUSE_MS  300

/* Clients pause while they send their requests, and others wait for room.
   Guards against a reset of one whose request is known not to be whole; it is
   closed when it is. */
static void
test_turned_away_pause (void)
{
  static struct flood flood;
  uint32_t spent_ms;
  char got[16];
  size_t i;

  flood_init (&flood);
  flood_connect (&flood, 0, WAITING);
  for (i = 0; i < TURNAWAY_SOCKETS_MAX; i++)
    client_send (&(struct raw_client){ .fd = flood.clients[i] }, PART);
  CU_ASSERT_EQUAL (flood_turn_away (&flood), TURNAWAY_SOCKETS_MAX);
  for (spent_ms = 0; spent_ms < PAUSE_MS; spent_ms += TURNAWAY_LOOK_MS)
    {
      clock_advance_ms (&flood.clock, TURNAWAY_LOOK_MS);
      CU_ASSERT_EQUAL (flood_turn_away (&flood), 0);
    }
  for (i = 0; i < TURNAWAY_SOCKETS_MAX; i++)
    client_send (&(struct raw_client){ .fd = flood.clients[i] }, PART_REST);
  clock_advance_ms (&flood.clock, TURNAWAY_LOOK_MS);
  CU_ASSERT_EQUAL (flood_turn_away (&flood), WAITING - TURNAWAY_SOCKETS_MAX);
  CU_ASSERT_EQUAL (flood.turnaway.count, WAITING - TURNAWAY_SOCKETS_MAX);
  CU_ASSERT_EQUAL (flood.turnaway.left, TURNAWAY_SOCKETS_MAX);
  CU_ASSERT_EQUAL (flood.turnaway.expired, 0);
  for (i = 0; i < TURNAWAY_SOCKETS_MAX; i++)
    {
      CU_ASSERT_EQUAL (recv (flood.clients[i], got, sizeof got, 0), 8);
      CU_ASSERT_EQUAL (recv (flood.clients[i], got, sizeof got, 0), 0);
    }
  flood_finish (&flood);
}

/* More are turned away than are kept open, and the loop is late for longer
   than they are kept open: the others get their response in the next turn. */
static void
test_turned_away_late (void)
{
  static struct flood flood;
  size_t told = 0;
  char got[16];
  size_t i;

  flood_init (&flood);
  flood_connect (&flood, 0, WAITING);
  flood_turn_away (&flood);
  for (i = 0; i < 3; i++)
    {
      clock_advance_ms (&flood.clock, 3ULL * TURNAWAY_LINGER_MS);
      flood_turn_away (&flood);
    }
  for (i = 0; i < WAITING; i++)
    if (recv (flood.clients[i], got, sizeof got, MSG_DONTWAIT) == 8)
      told++;
  CU_ASSERT_EQUAL (told, WAITING);
  flood_finish (&flood);
}

/* The process ends: the client of a connection that has had no request learns
   it at once, not after everything else was freed. */
static void
test_free_closes_at_once (void)
{
  struct gatefixture fixture;
  struct raw_client client;

  gatefixture_init (&fixture, true);
  client_connect (&client, &fixture);
  gatefixture_run (&fixture, 50);
  gateway_drain (&fixture.gateway);
  gatefixture_run (&fixture, 50);
  httpd_free (fixture.gateway.httpd);
  fixture.gateway.httpd = NULL;
  client_receive (&client);
  CU_ASSERT_TRUE (client.ended);
  close (client.fd);
  gatefixture_finish (&fixture);
}

/* A request is refused, and the loop is late for longer than the linger time
   before it can write: the client gets the response. */
static void
test_linger_late (void)
{
  struct gatefixture fixture;
  struct raw_client client;
  struct stall_after_refusal stall = { .duration_ms = 1100 };

  gatefixture_init (&fixture, true);
  set_limits (&fixture, DONE_MS * 15);
  client_connect (&client, &fixture);
  gatefixture_run (&fixture, 50);
  stall.httpd = fixture.gateway.httpd;
  stall.event = event_new (fixture.base, -1, 0, on_between_refusal, &stall);
  client_send (&client, TOO_LARGE);
  event_active (stall.event, EV_TIMEOUT, 0);
  gatefixture_run (&fixture, 1500);
  gatefixture_run (&fixture, 300);
  CU_ASSERT_TRUE (stall.done);
  client_receive (&client);
  CU_ASSERT_PTR_NOT_NULL (strstr (client.got, "HTTP/1.1 413"));
  event_free (stall.event);
  close (client.fd);
  gatefixture_finish (&fixture);
}

/* The same, and the client sends more of its request meanwhile: its connection
   is not reset. */
static void
test_linger_late_unread (void)
{
  struct gatefixture fixture;
  struct raw_client client;
  struct stall_after_refusal stall = { .duration_ms = 1100 };

  gatefixture_init (&fixture, true);
  set_limits (&fixture, DONE_MS * 15);
  client_connect (&client, &fixture);
  gatefixture_run (&fixture, 50);
  stall.httpd = fixture.gateway.httpd;
  stall.client = client.fd;
  stall.event = event_new (fixture.base, -1, 0, on_between_refusal, &stall);
  client_send (&client, TOO_LARGE);
  event_active (stall.event, EV_TIMEOUT, 0);
  gatefixture_run (&fixture, 1500);
  CU_ASSERT_TRUE (stall.done);
  client_receive (&client);
  CU_ASSERT_PTR_NOT_NULL (strstr (client.got, "HTTP/1.1 413"));
  CU_ASSERT_TRUE (client.ended);
  CU_ASSERT_EQUAL (client.error, 0);
  event_free (stall.event);
  close (client.fd);
  gatefixture_finish (&fixture);
}

struct stall_in_attempt
{
  const struct gateway *gateway;
  struct event *event;
  bool done;
};

/* Between any two events of the loop: stands still once an attempt began. */
static void
on_between_attempt (evutil_socket_t fd, short what, void *user)
{
  struct stall_in_attempt *stall = user;

  (void)fd;
  (void)what;
  if (stall->done)
    return;
  event_active (stall->event, EV_TIMEOUT, 0);
  if (stall->gateway->counters.attempts == 0)
    return;
  stall->done = true;
  usleep (1100 * 1000);
}

/* An upstream has accepted a connection at once, and the loop is late for
   longer than a connection may take: the attempt goes on. */
static void
test_connect_late (void)
{
  struct gatefixture fixture;
  struct raw_client client;
  struct stall_in_attempt stall = { .done = false };
  const char *text
      = "{\"version\":2,\"tenants\":[{\"name\":\"ana\",\"api_keys\":"
        "[\"key-1\"]}],\"routes\":[{\"name\":\"again\",\"host\":"
        "\"shop.example\",\"prefix\":\"/again/\",\"route_type\":"
        "\"idempotent\",\"service\":\"s2\",\"timeout_ms\":5000}],"
        "\"services\":[{\"name\":\"s2\",\"health_path\":\"/h\"}]}";
  struct kvstore_item item = { .value = text, .value_size = strlen (text) };

  gatefixture_init (&fixture, true);
  item.key = fixture.gateway.adapter->config_key;
  item.position = *POSITION (
      0, digits_low64 (&fixture.gateway.config.position.revision) + 1000);
  discovery_apply_item (&fixture.gateway, &item);
  client_connect (&client, &fixture);
  gatefixture_run (&fixture, 50);
  stall.gateway = &fixture.gateway;
  stall.event = event_new (fixture.base, -1, 0, on_between_attempt, &stall);
  client_send (&client, REQUEST);
  event_active (stall.event, EV_TIMEOUT, 0);
  gatefixture_run (&fixture, 1500);
  CU_ASSERT_TRUE (stall.done);
  client_receive (&client);
  CU_ASSERT_PTR_NOT_NULL (strstr (client.got, "HTTP/1.1 200"));
  CU_ASSERT_EQUAL (fixture.gateway.counters.attempts, 1);
  event_free (stall.event);
  close (client.fd);
  gatefixture_finish (&fixture);
}

/* The rest of a request is in the socket when its time ends: it is served. */
static void
test_read_timer (void)
{
  struct gatefixture fixture;
  struct raw_client client;

  gatefixture_init (&fixture, true);
  set_limits (&fixture, DONE_MS * 15);
  client_connect (&client, &fixture);
  client_send (&client, "GET /again/y HTTP/1.1\r\n");
  gatefixture_run (&fixture, IDLE_MS / 2);
  client_send (&client, HEADERS "\r\n");
  usleep (IDLE_MS * 1000);
  gatefixture_run (&fixture, 100);
  client_receive (&client);
  CU_ASSERT_PTR_NOT_NULL (strstr (client.got, "HTTP/1.1 200"));
  close (client.fd);
  gatefixture_finish (&fixture);
}

/* Half a request line, or bytes without end, behind a request: the connection
   does not stay open for ever. */
static void
check_leftover (size_t size, uint32_t response_delay_ms)
{
  static char junk[300000];
  struct gatefixture fixture;
  struct raw_client client;

  gatefixture_init (&fixture, true);
  set_limits (&fixture, IDLE_MS);
  fixture.upstreams[0].response_delay_ms = response_delay_ms;
  fixture.upstreams[1].response_delay_ms = response_delay_ms;
  memset (junk, 'G', size);
  client_connect (&client, &fixture);
  client_send (&client, REQUEST);
  if (response_delay_ms > 0)
    gatefixture_run (&fixture, response_delay_ms / 2);
  send (client.fd, junk, size, MSG_NOSIGNAL | MSG_DONTWAIT);
  gatefixture_run (&fixture, response_delay_ms + IDLE_MS * 12);
  client_receive (&client);
  CU_ASSERT_PTR_NOT_NULL (strstr (client.got, "id-1"));
  CU_ASSERT_EQUAL (httpd_connections (fixture.gateway.httpd), 0);
  CU_ASSERT_EQUAL (httpd_active_connections (fixture.gateway.httpd), 0);
  close (client.fd);
  gatefixture_finish (&fixture);
}

static void
test_leftovers (void)
{
  check_leftover (3, 0);
  check_leftover (3, 80);
  check_leftover (3000, 80);
  check_leftover (300000, 0);
  check_leftover (300000, 80);
}

/* A drain ends although a client sends empty lines now and then. */
static void
test_drain_ends_with_junk (void)
{
  struct gatefixture fixture;
  struct raw_client client;
  int i;

  gatefixture_init (&fixture, true);
  set_limits (&fixture, DONE_MS * 15);
  client_connect (&client, &fixture);
  client_send (&client, REQUEST);
  gatefixture_run (&fixture, 50);
  client_send (&client, "\r\n");
  for (i = 0; i < 20; i++)
    {
      gatefixture_run (&fixture, IDLE_MS / 2);
      send (client.fd, "\r\n", 2, MSG_NOSIGNAL);
    }
  CU_ASSERT_EQUAL (httpd_connections (fixture.gateway.httpd), 0);
  close (client.fd);
  gatefixture_finish (&fixture);
}

/* Time passes that the event loop spends on something else. */
static void
stand_still (uint32_t duration_ms)
{
  usleep (duration_ms * 1000);
}

static bool
client_got_200 (struct raw_client *client)
{
  client_receive (client);
  return strncmp (client->got, "HTTP/1.1 200", 12) == 0;
}

/* Starts a gateway whose connections may be idle for IDLE_MS, and serves a
   client's first request. */
static void
begin_idle (struct gatefixture *fixture, struct raw_client *client)
{
  gatefixture_init (fixture, true);
  set_limits (fixture, IDLE_MS);
  client_connect (client, fixture);
  client_send (client, REQUEST);
  gatefixture_run (fixture, IDLE_MS / 2);
  CU_ASSERT_TRUE (client_got_200 (client));
}

/* The idle time of a connection ends while its next request is in the socket:
   the request is served. */
static void
test_idle_timer (void)
{
  struct gatefixture fixture;
  struct raw_client client;

  begin_idle (&fixture, &client);
  client_send (&client, REQUEST);
  stand_still (IDLE_MS * 2);
  gatefixture_run (&fixture, IDLE_MS / 2);
  CU_ASSERT_TRUE (client_got_200 (&client));
  /* One that stays idle is closed. */
  gatefixture_run (&fixture, IDLE_MS * 2);
  CU_ASSERT_EQUAL (recv (client.fd, client.got, 1, MSG_DONTWAIT), 0);
  close (client.fd);
  gatefixture_finish (&fixture);
}

static void
on_look (evutil_socket_t fd, short what, void *user)
{
  struct raw_client *client = user;

  (void)fd;
  (void)what;
  client->ended = recv (client->fd, client->got, 1, MSG_DONTWAIT) == 0;
}

/* The idle time of a connection ends while the loop has more to do: the client
   learns it at once, before it sends a request that nobody would read. */
static void
test_idle_close_at_once (void)
{
  const struct timeval later = clock_timeval (IDLE_MS);
  struct gatefixture fixture;
  struct raw_client client;
  struct event *look;

  begin_idle (&fixture, &client);
  /* After the connection's timer, in the same turn of the loop. */
  look = event_new (fixture.base, -1, 0, on_look, &client);
  event_add (look, &later);
  stand_still (IDLE_MS * 2);
  gatefixture_run (&fixture, 1);
  CU_ASSERT_TRUE (client.ended);
  event_free (look);
  close (client.fd);
  gatefixture_finish (&fixture);
}

/* Runs a drain up to the time from which on it ends when nothing is in
   progress. */
static void
drain_until_idle_exit (struct gatefixture *fixture)
{
  gateway_drain (&fixture->gateway);
  gatefixture_run (fixture, GATEWAY_UNREADY_DELAY_MS - 150);
}

/* A drain is about to end while a request is in the socket of a kept
   connection: the request is served first. */
static void
test_drain_end (void)
{
  struct gatefixture fixture;
  struct raw_client client;

  gatefixture_init (&fixture, true);
  client_connect (&client, &fixture);
  client_send (&client, REQUEST);
  gatefixture_run (&fixture, 50);
  CU_ASSERT_TRUE (client_got_200 (&client));
  drain_until_idle_exit (&fixture);
  client_send (&client, REQUEST);
  stand_still (300);
  run_to_end (&fixture);
  CU_ASSERT_TRUE (client_got_200 (&client));
  close (client.fd);
  gatefixture_finish (&fixture);
}

/* The same for a connection that waits to be accepted. */
static void
test_drain_end_unaccepted (void)
{
  struct gatefixture fixture;
  struct raw_client client;

  gatefixture_init (&fixture, true);
  drain_until_idle_exit (&fixture);
  client_connect (&client, &fixture);
  client_send (&client, REQUEST);
  stand_still (300);
  run_to_end (&fixture);
  /* Served or turned away. */
  client_got_200 (&client);
  CU_ASSERT_EQUAL (strncmp (client.got, "HTTP/1.1 ", 9), 0);
  close (client.fd);
  gatefixture_finish (&fixture);
}

/* Number of clients that read the response that all are sent, before their
   connection is reset. */
static size_t
count_told (const struct flood *flood)
{
  socklen_t size = sizeof (int);
  char got[16];
  size_t told = 0;
  int error;
  size_t i;

  for (i = 0; i < WAITING; i++)
    if (recv (flood->clients[i], got, sizeof got, MSG_DONTWAIT) == 8
        && memcmp (got, "response", 8) == 0
        && getsockopt (flood->clients[i], SOL_SOCKET, SO_ERROR, &error, &size)
               == 0
        && error == 0)
      told++;
  return told;
}

/* More connections are turned away at once than are kept open for their
   clients to read the response: each client gets it. */
static void
test_turned_away (void)
{
  static struct flood flood;
  size_t accepted = 0;
  size_t told = 0;
  size_t i;

  flood_init (&flood);
  flood_connect (&flood, 0, WAITING);
  for (i = 0; i < WAITING; i++)
    client_send (&(struct raw_client){ .fd = flood.clients[i] }, REQUEST);
  for (i = 0; i < DONE_MS / TURNAWAY_INTERVAL_MS && told < WAITING; i++)
    {
      accepted += flood_turn_away (&flood);
      told += count_told (&flood);
      clock_advance_ms (&flood.clock, TURNAWAY_INTERVAL_MS);
    }
  CU_ASSERT_EQUAL (accepted, WAITING);
  CU_ASSERT_EQUAL (told, WAITING);
  flood_finish (&flood);
}

/* More clients connect than there may be connections.  Guards against a close
   without a response: each of them gets one, and the next one is served. */
static void
test_connections_above_limit (void)
{
  static struct raw_client clients[WAITING];
  struct gatefixture fixture;
  size_t told = 0;
  size_t i;

  gatefixture_init (&fixture, true);
  set_connections_max (&fixture, 1, DONE_MS * 15);
  for (i = 0; i < WAITING / 4; i++)
    {
      client_connect (&clients[i], &fixture);
      client_send (&clients[i], REQUEST);
    }
  gatefixture_run (&fixture, DONE_MS / 2);
  for (i = 0; i < WAITING / 4; i++)
    {
      client_receive (&clients[i]);
      if (strncmp (clients[i].got, "HTTP/1.1 ", 9) == 0)
        told++;
      close (clients[i].fd);
    }
  CU_ASSERT_EQUAL (told, WAITING / 4);
  gatefixture_run (&fixture, DONE_MS / 2);
  client_connect (&clients[0], &fixture);
  client_send (&clients[0], REQUEST);
  gatefixture_run (&fixture, DONE_MS / 2);
  client_receive (&clients[0]);
  CU_ASSERT_EQUAL (strncmp (clients[0].got, "HTTP/1.1 200", 12), 0);
  close (clients[0].fd);
  gatefixture_finish (&fixture);
}

#define NO_DESCRIPTOR_CLIENTS 4
#define NO_DESCRIPTOR_MS      500
#define NO_DESCRIPTOR_CPU_MS  250

/* No descriptor is left while connections wait.  Guards against a listener
   that is tried again in each round of the loop.  The connections are accepted
   when there are descriptors again. */
static void
test_no_descriptors (void)
{
  struct raw_client clients[NO_DESCRIPTOR_CLIENTS];
  struct gatefixture fixture;
  struct rlimit limit;
  rlim_t limit_before;
  clock_t cpu;
  int first_free;
  size_t i;

  gatefixture_init (&fixture, true);
  for (i = 0; i < NO_DESCRIPTOR_CLIENTS; i++)
    {
      client_connect (&clients[i], &fixture);
      client_send (&clients[i], REQUEST);
    }
  CU_ASSERT_EQUAL_FATAL (getrlimit (RLIMIT_NOFILE, &limit), 0);
  limit_before = limit.rlim_cur;
  first_free = dup (STDOUT_FILENO);
  close (first_free);
  limit.rlim_cur = (rlim_t)first_free;
  CU_ASSERT_EQUAL (setrlimit (RLIMIT_NOFILE, &limit), 0);
  cpu = clock ();
  gatefixture_run (&fixture, NO_DESCRIPTOR_MS);
  limit.rlim_cur = limit_before;
  CU_ASSERT_EQUAL (setrlimit (RLIMIT_NOFILE, &limit), 0);
  CU_ASSERT ((clock () - cpu) / (CLOCKS_PER_SEC / 1000)
             <= NO_DESCRIPTOR_CPU_MS);
  gatefixture_run (&fixture, DONE_MS);
  for (i = 0; i < NO_DESCRIPTOR_CLIENTS; i++)
    {
      client_receive (&clients[i]);
      CU_ASSERT_EQUAL (strncmp (clients[i].got, "HTTP/1.1 200", 12), 0);
      close (clients[i].fd);
    }
  gatefixture_finish (&fixture);
}

#define STALL_CLIENTS 20
#define STALL_MS      90 /* of an instance with a tenth of a processor */

/* The process is not run for a while between two connections that it accepts,
   and has little to do otherwise.  Guards against requests that are refused
   though the loop is not late by itself. */
static void
test_stall_while_accepting (void)
{
  struct raw_client clients[STALL_CLIENTS];
  struct gatefixture fixture;
  size_t served = 0;
  size_t i;

  gatefixture_init (&fixture, true);
  for (i = 0; i < STALL_CLIENTS; i++)
    {
      client_connect (&clients[i], &fixture);
      client_send (&clients[i], REQUEST);
    }
  while (httpd_connections (fixture.gateway.httpd) == 0)
    event_base_loop (fixture.base, EVLOOP_ONCE);
  usleep (STALL_MS * 1000);
  gatefixture_run (&fixture, DONE_MS);
  for (i = 0; i < STALL_CLIENTS; i++)
    {
      client_receive (&clients[i]);
      served += strncmp (clients[i].got, "HTTP/1.1 200", 12) == 0;
      close (clients[i].fd);
    }
  CU_ASSERT_EQUAL (served, STALL_CLIENTS);
  gatefixture_finish (&fixture);
}

#define PAUSE_CLIENTS 9
#define PAUSE_MS      300 /* a tick of the gateway is due in it */

/* The process is not run for a while, and its clients connect meanwhile.
   Guards against a single late measurement of the loop that refuses them. */
static void
test_pause_while_connecting (void)
{
  struct raw_client clients[PAUSE_CLIENTS];
  struct gatefixture fixture;
  size_t served = 0;
  size_t i;

  gatefixture_init (&fixture, true);
  gatefixture_run (&fixture, DONE_MS);
  for (i = 0; i < PAUSE_CLIENTS; i++)
    {
      client_connect (&clients[i], &fixture);
      client_send (&clients[i], REQUEST);
    }
  usleep (PAUSE_MS * 1000);
  gatefixture_run (&fixture, DONE_MS);
  for (i = 0; i < PAUSE_CLIENTS; i++)
    {
      client_receive (&clients[i]);
      served += strncmp (clients[i].got, "HTTP/1.1 200", 12) == 0;
      close (clients[i].fd);
    }
  CU_ASSERT_EQUAL (served, PAUSE_CLIENTS);
  gatefixture_finish (&fixture);
}

#define LATE_CLIENTS 40
#define LATE_TURN_MS 120
#define LATE_TURNS   10

struct late_turns
{
  struct event *event;
  int left;
};

static void
on_late_turn (evutil_socket_t fd, short what, void *arg)
{
  const struct timeval now = { 0, 0 };
  struct late_turns *late = arg;

  (void)fd;
  (void)what;
  usleep (LATE_TURN_MS * 1000);
  if (--late->left > 0)
    event_add (late->event, &now);
}

/* Every turn of the loop is late.  Guards against an overload that is taken
   for a pause. */
static void
test_every_turn_late (void)
{
  struct raw_client clients[LATE_CLIENTS];
  struct gatefixture fixture;
  struct late_turns late = { .left = LATE_TURNS };
  size_t i;

  gatefixture_init (&fixture, true);
  gatefixture_run (&fixture, DONE_MS);
  late.event = event_new (fixture.base, -1, 0, on_late_turn, &late);
  for (i = 0; i < LATE_CLIENTS; i++)
    {
      client_connect (&clients[i], &fixture);
      client_send (&clients[i], REQUEST);
    }
  event_active (late.event, EV_TIMEOUT, 0);
  gatefixture_run (&fixture, LATE_TURNS * LATE_TURN_MS);
  CU_ASSERT (httpd_shed_count (fixture.gateway.httpd) > 0);
  for (i = 0; i < LATE_CLIENTS; i++)
    close (clients[i].fd);
  event_free (late.event);
  gatefixture_finish (&fixture);
}

#define ACCEPT_WAITING 9 /**< one more than are accepted in a turn */

/* Connections wait for a turn of the loop once, and are accepted.  Guards
   against later ones that are turned away though none had to wait. */
static void
test_waited_for_accept_before (void)
{
  struct raw_client clients[ACCEPT_WAITING];
  struct gatefixture fixture;
  size_t i;

  gatefixture_init (&fixture, true);
  for (i = 0; i < ACCEPT_WAITING; i++)
    client_connect (&clients[i], &fixture);
  gatefixture_run (&fixture, DONE_MS);
  for (i = 0; i < ACCEPT_WAITING; i++)
    close (clients[i].fd);
  gatefixture_run (&fixture, DONE_MS);
  for (i = 0; i < 2; i++)
    {
      client_connect (&clients[i], &fixture);
      client_send (&clients[i], REQUEST);
    }
  gatefixture_run (&fixture, DONE_MS);
  for (i = 0; i < 2; i++)
    {
      client_receive (&clients[i]);
      CU_ASSERT_EQUAL (strncmp (clients[i].got, "HTTP/1.1 200", 12), 0);
      close (clients[i].fd);
    }
  gatefixture_finish (&fixture);
}

/* A client whose request is refused goes on sending without end.  Guards
   against a connection that stays open, and a drain that waits for it. */
static void
test_linger_endless (void)
{
  struct gatefixture fixture;
  struct raw_client client;
  uint32_t spent_ms;

  gatefixture_init (&fixture, true);
  client_connect (&client, &fixture);
  client_send (&client, TOO_LARGE);
  for (spent_ms = 0; spent_ms < LINGER_MAX_MS + DONE_MS; spent_ms += IDLE_MS)
    {
      gatefixture_run (&fixture, IDLE_MS);
      send (client.fd, HEADERS, strlen (HEADERS), MSG_NOSIGNAL);
    }
  client_receive (&client);
  CU_ASSERT_PTR_NOT_NULL (strstr (client.got, "HTTP/1.1 413"));
  CU_ASSERT_EQUAL (httpd_active_connections (fixture.gateway.httpd), 0);
  close (client.fd);
  gatefixture_finish (&fixture);
}

/* A client sends more behind a request whose response announces a close.
   Guards against a reset, which may take that response with it. */
static void
check_sent_behind_last (size_t size, uint32_t response_delay_ms)
{
  static char more[300000];
  struct gatefixture fixture;
  struct raw_client client;

  gatefixture_init (&fixture, true);
  set_connections_max (&fixture, 1, DONE_MS * 15);
  fixture.upstreams[0].response_delay_ms = response_delay_ms;
  fixture.upstreams[1].response_delay_ms = response_delay_ms;
  memset (more, 'G', size);
  client_connect (&client, &fixture);
  client_send (&client, REQUEST);
  if (response_delay_ms > 0)
    gatefixture_run (&fixture, response_delay_ms / 2);
  send (client.fd, more, size, MSG_NOSIGNAL | MSG_DONTWAIT);
  gatefixture_run (&fixture, response_delay_ms + IDLE_MS);
  CU_ASSERT_EQUAL (send (client.fd, more, 1, MSG_NOSIGNAL | MSG_DONTWAIT), 1);
  client_receive (&client);
  CU_ASSERT_PTR_NOT_NULL (strstr (client.got, "id-1"));
  CU_ASSERT_PTR_NOT_NULL (strstr (client.got, "Connection: close"));
  CU_ASSERT_TRUE (client.ended);
  CU_ASSERT_EQUAL (client.error, 0);
  close (client.fd);
  gatefixture_run (&fixture, IDLE_MS);
  CU_ASSERT_EQUAL (httpd_active_connections (fixture.gateway.httpd), 0);
  gatefixture_finish (&fixture);
}

static void
test_sent_behind_last (void)
{
  check_sent_behind_last (3, 0);
  check_sent_behind_last (3, 80);
  check_sent_behind_last (300000, 0);
  check_sent_behind_last (300000, 80);
}

#define BURST_CLIENTS 40
#define STEADY_CLIENTS                                                        \
  100 /**< one in a millisecond of the gateway's clock                        \
       */

struct steady_clients
{
  struct gatefixture *fixture;
  struct event *event;
  struct raw_client clients[BURST_CLIENTS + STEADY_CLIENTS];
  size_t count;
};

static void
connect_next (struct steady_clients *steady)
{
  struct raw_client *client = &steady->clients[steady->count++];

  client_connect (client, steady->fixture);
  client_send (client, REQUEST);
}

/* In each round of the loop, after connections are accepted, and before other
   events without a delay. */
static void
on_steady (evutil_socket_t fd, short what, void *user)
{
  struct steady_clients *steady = user;

  const struct timeval before = { -1, 999999 };

  (void)fd;
  (void)what;
  event_add (steady->event, &before);
  clock_advance_ms (&steady->fixture->gateway.clock, 1);
  if (steady->count < BURST_CLIENTS + STEADY_CLIENTS)
    connect_next (steady);
}

/* Some connections wait at once, and then one comes in each round of the loop,
   for longer than a connection may wait.  Guards against refusals though each
   is accepted in the next round. */
static void
test_steady_connections (void)
{
  static struct steady_clients steady;
  struct gatefixture fixture;
  size_t served = 0;
  size_t i;

  gatefixture_init (&fixture, true);
  memset (&steady, 0, sizeof steady);
  steady.fixture = &fixture;
  clock_init_manual (&fixture.gateway.clock,
                     clock_now_ns (&fixture.gateway.clock),
                     clock_wall_ms (&fixture.gateway.clock));
  for (i = 0; i < BURST_CLIENTS; i++)
    connect_next (&steady);
  steady.event = event_new (fixture.base, -1, 0, on_steady, &steady);
  event_active (steady.event, EV_TIMEOUT, 0);
  while (steady.count < BURST_CLIENTS + STEADY_CLIENTS)
    gatefixture_run (&fixture, 10);
  event_free (steady.event);
  gatefixture_run (&fixture, DONE_MS);
  for (i = 0; i < steady.count; i++)
    {
      client_receive (&steady.clients[i]);
      served += strncmp (steady.clients[i].got, "HTTP/1.1 200", 12) == 0;
      close (steady.clients[i].fd);
    }
  CU_ASSERT_EQUAL (served, steady.count);
  CU_ASSERT_EQUAL (httpd_shed_count (fixture.gateway.httpd), 0);
  gatefixture_finish (&fixture);
}

static const struct suite_test tests[] = {
  { "more turned away than are kept open", test_turned_away },
  { "idle time ends with a request unread", test_idle_timer },
  { "idle connection closed while the loop is late", test_idle_close_at_once },
  { "drain ends with a request unread", test_drain_end },
  { "drain ends with a connection not accepted", test_drain_end_unaccepted },
  { "two requests at once", test_pipelined },
  { "second request while the first is in progress", test_pipelined_later },
  { "line of a second request in two parts", test_line_in_parts },
  { "stream ends in a drain, next request unread", test_stream_ends_in_drain },
  { "stream ends in a drain, next request after it",
    test_stream_ends_in_drain_late },
  { "stream ends without a drain", test_stream_ends_late },
  { "connections of an ending process", test_free_closes_at_once },
  { "refusal while the loop is late", test_linger_late },
  { "refusal while the loop is late and the client sends",
    test_linger_late_unread },
  { "refused client sends without end", test_linger_endless },
  { "connected while the loop is late", test_connect_late },
  { "read time ends with the rest unread", test_read_timer },
  { "bytes behind a request", test_leftovers },
  { "bytes behind the last request", test_sent_behind_last },
  { "empty lines", test_drain_ends_with_junk },
  { "refused as the drain ends", test_refused_at_drain_end },
  { "accepted as the drain ends", test_unaccepted_at_drain_end },
  { "final response while the loop is late", test_final_response_late },
  { "idle limit grows", test_idle_limit_grows },
  { "turned away while the loop is late", test_turned_away_late },
  { "turned away beyond those that are kept", test_turned_away_beyond_limit },
  { "turned away, none of those that are kept has left",
    test_turned_away_none_left },
  { "turned away, slow client", test_turned_away_slow },
  { "turned away, whole request", test_turned_away_whole_request },
  { "turned away, long request", test_turned_away_long_request },
  { "turned away, pause in a request", test_turned_away_pause },
  { "more connections than there may be", test_connections_above_limit },
  { "connections that waited to be accepted before",
    test_waited_for_accept_before },
  { "no descriptors while connections wait", test_no_descriptors },
  { "stall while connections are accepted", test_stall_while_accepting },
  { "pause while clients connect", test_pause_while_connecting },
  { "every turn of the loop is late", test_every_turn_late },
  { "a connection waits in each round", test_steady_connections },
};

SUITE_MAIN ("test_unread_requests", tests)
