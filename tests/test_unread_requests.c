/**
 * @file test_unread_requests.c
 * Requests that are in a socket, unread, when the event loop handles something
 * that closes their connection.
 */
#include "gateway/gateway_request.h"
#include "support/gatefixture.h"
#include "support/suite.h"
#include "transport/turnaway.h"
#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define HEADERS                                                               \
  "Host: shop.example\r\nX-Attempt-Id: id-1\r\n"                              \
  "X-Deadline-Remaining-Ms: 5000\r\nX-Credential: key-1\r\n"
#define REQUEST "GET /again/y HTTP/1.1\r\n" HEADERS "\r\n"
#define IDLE_MS 200
#define DONE_MS 1000 /* for a response, or the end of a drain */

/** A client that bypasses the event loop. */
struct raw_client
{
  int fd;
  char got[UPSTREAMSERVER_MESSAGE_SIZE];
  size_t size;
  bool ended; /**< set by on_look() */
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
client_send (const struct raw_client *client)
{
  CU_ASSERT_EQUAL (
      send (client->fd, REQUEST, sizeof REQUEST - 1, MSG_NOSIGNAL),
      (ssize_t)sizeof REQUEST - 1);
}

/* Discards what was received before. */
static bool
client_got_200 (struct raw_client *client)
{
  ssize_t n;

  client->size = 0;
  while ((n = recv (client->fd, client->got + client->size,
                    sizeof client->got - 1 - client->size, MSG_DONTWAIT))
         > 0)
    client->size += (size_t)n;
  client->got[client->size] = '\0';
  return strncmp (client->got, "HTTP/1.1 200", 12) == 0;
}

/* Time passes that the event loop spends on something else. */
static void
stand_still (uint32_t duration_ms)
{
  usleep (duration_ms * 1000);
}

/* Starts a gateway whose connections may be idle for IDLE_MS, and serves a
   client's first request. */
static void
begin_idle (struct gatefixture *fixture, struct raw_client *client)
{
  gatefixture_init (fixture, true);
  httpd_set_limits (fixture->gateway.httpd,
                    &(struct httpd_limits){ .header_bytes_max = 16384,
                                            .body_bytes_max = 65536,
                                            .connections_max = 100,
                                            .idle_timeout_ms = IDLE_MS,
                                            .read_timeout_ms = DONE_MS,
                                            .write_timeout_ms = DONE_MS,
                                            .low_water_bytes = 1024 });
  client_connect (client, fixture);
  client_send (client);
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
  client_send (&client);
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

static void
on_timeout (evutil_socket_t fd, short what, void *user)
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
      = event_new (fixture->base, -1, 0, on_timeout, fixture->base);

  event_add (timer, &limit);
  event_base_dispatch (fixture->base);
  event_free (timer);
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
  client_send (&client);
  gatefixture_run (&fixture, 50);
  CU_ASSERT_TRUE (client_got_200 (&client));
  drain_until_idle_exit (&fixture);
  client_send (&client);
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
  client_send (&client);
  stand_still (300);
  run_to_end (&fixture);
  /* Served or turned away. */
  client_got_200 (&client);
  CU_ASSERT_EQUAL (strncmp (client.got, "HTTP/1.1 ", 9), 0);
  close (client.fd);
  gatefixture_finish (&fixture);
}

#define TURNED_AWAY (TURNAWAY_SOCKETS_MAX + 50)

/* Number of clients that read the response that all are sent, before their
   connection is reset. */
static size_t
count_told (const int clients[TURNED_AWAY], const char *response)
{
  socklen_t size = sizeof (int);
  char got[16];
  size_t told = 0;
  int error;
  size_t i;

  for (i = 0; i < TURNED_AWAY; i++)
    {
      memset (got, 0, sizeof got);
      if (recv (clients[i], got, sizeof got - 1, MSG_DONTWAIT) > 0
          && strcmp (got, response) == 0
          && getsockopt (clients[i], SOL_SOCKET, SO_ERROR, &error, &size) == 0
          && error == 0)
        told++;
    }
  return told;
}

/* More connections are turned away at once than are kept open for their
   clients to read the response: each client gets it. */
static void
test_turned_away (void)
{
  static const char response[] = "response";
  static struct turnaway turnaway;
  struct sockaddr_in address
      = { .sin_family = AF_INET, .sin_addr = { htonl (INADDR_LOOPBACK) } };
  socklen_t size = sizeof address;
  struct evbuffer *text = evbuffer_new ();
  int listener = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
  int clients[TURNED_AWAY];
  size_t accepted = 0;
  size_t told = 0;
  size_t i;

  memset (&turnaway, 0, sizeof turnaway);
  evbuffer_add (text, response, sizeof response - 1);
  CU_ASSERT_EQUAL_FATAL (
      bind (listener, (struct sockaddr *)&address, sizeof address), 0);
  CU_ASSERT_EQUAL_FATAL (listen (listener, TURNED_AWAY), 0);
  getsockname (listener, (struct sockaddr *)&address, &size);
  for (i = 0; i < TURNED_AWAY; i++)
    {
      clients[i] = socket (AF_INET, SOCK_STREAM, 0);
      CU_ASSERT_EQUAL_FATAL (
          connect (clients[i], (struct sockaddr *)&address, sizeof address),
          0);
      CU_ASSERT_EQUAL (
          send (clients[i], REQUEST, sizeof REQUEST - 1, MSG_NOSIGNAL),
          (ssize_t)sizeof REQUEST - 1);
    }
  for (i = 0; i < DONE_MS / TURNAWAY_INTERVAL_MS && told < TURNED_AWAY; i++)
    {
      turnaway_close (&turnaway);
      accepted += turnaway_waiting (&turnaway, listener, text);
      told += count_told (clients, response);
      usleep (TURNAWAY_INTERVAL_MS * 1000);
    }
  CU_ASSERT_EQUAL (accepted, TURNED_AWAY);
  CU_ASSERT_EQUAL (told, TURNED_AWAY);
  turnaway_finish (&turnaway);
  for (i = 0; i < TURNED_AWAY; i++)
    close (clients[i]);
  close (listener);
  evbuffer_free (text);
}

static const struct suite_test tests[] = {
  { "more turned away than are kept open", test_turned_away },
  { "idle time ends with a request unread", test_idle_timer },
  { "idle connection closed while the loop is late", test_idle_close_at_once },
  { "drain ends with a request unread", test_drain_end },
  { "drain ends with a connection not accepted", test_drain_end_unaccepted },
};

SUITE_MAIN ("test_unread_requests", tests)
