/**
 * @file test_early_responses.c
 * End-to-end tests of upstreams that answer while a long request is still
 * being written to them, without a length, and end the connection: only an
 * upstream that has had the whole request may have given a whole response.
 */
#include "support/gatefixture.h"
#include "support/storeseed.h"
#include "support/suite.h"
#include <netinet/in.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define COUNT(array) (sizeof (array) / sizeof ((array)[0]))

#define UPLOAD_BYTES 4000000
#define UPLOAD_MAX   4194304
#define PART_BYTES   440
#define WHOLE_BYTES  1100
#define ROUNDS       12 /* the order in which the sockets' events come varies */
#define HEAD_MAX     4096

/** What an upstream does once it has sent a part of its response. */
enum ending
{
  ENDING_CLOSE,      /**< with the rest of the request unread */
  ENDING_RESET,      /**< the same, by its own wish */
  ENDING_READ_CLOSE, /**< after it has read what has come */
  ENDING_HALF_CLOSE, /**< ends its own direction first */
  ENDING_WHOLE,      /**< reads all, sends the rest, closes */
  ENDING_MAX
};

struct early_server
{
  struct event_base *base;
  struct evconnlistener *listener;
  uint16_t port;
  enum ending ending;
  uint32_t pause_ms; /**< from the part to the end */
};

/** A connection to it. */
struct early_conn
{
  struct early_server *server;
  struct event *event; /**< a read, then the end */
  evutil_socket_t fd;
  char head[HEAD_MAX + 1];
  size_t size;
  size_t body_read;
  bool half_closed;
};

static void
conn_free (struct early_conn *conn)
{
  event_free (conn->event);
  close (conn->fd);
  free (conn);
}

static void
send_bytes (const struct early_conn *conn, size_t count)
{
  char bytes[WHOLE_BYTES];

  memset (bytes, 'x', sizeof bytes);
  CU_ASSERT_EQUAL (send (conn->fd, bytes, count, MSG_NOSIGNAL),
                   (ssize_t)count);
}

/* @return whether the gateway has not closed the connection. */
static bool
read_on (struct early_conn *conn)
{
  static char bytes[65536];
  ssize_t n;

  while ((n = recv (conn->fd, bytes, sizeof bytes, MSG_DONTWAIT)) > 0)
    conn->body_read += (size_t)n;
  return n != 0;
}

static void
on_rest (evutil_socket_t fd, short what, void *user)
{
  struct early_conn *conn = user;

  (void)fd;
  (void)what;
  if (read_on (conn) && conn->body_read < UPLOAD_BYTES)
    return;
  if (conn->body_read == UPLOAD_BYTES)
    send_bytes (conn, WHOLE_BYTES - PART_BYTES);
  conn_free (conn);
}

static void
on_end (evutil_socket_t fd, short what, void *user)
{
  const struct linger reset = { .l_onoff = 1, .l_linger = 0 };
  const struct timeval pause = clock_timeval (1);
  struct early_conn *conn = user;
  struct early_server *server = conn->server;

  (void)fd;
  (void)what;
  switch (server->ending)
    {
    case ENDING_RESET:
      setsockopt (conn->fd, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
      break;
    case ENDING_READ_CLOSE:
      read_on (conn);
      break;
    case ENDING_HALF_CLOSE:
      if (!conn->half_closed)
        {
          conn->half_closed = true;
          shutdown (conn->fd, SHUT_WR);
          event_add (conn->event, &pause);
          return;
        }
      break;
    case ENDING_WHOLE:
      event_free (conn->event);
      conn->event = event_new (server->base, conn->fd, EV_READ | EV_PERSIST,
                               on_rest, conn);
      event_add (conn->event, NULL);
      return;
    default:
      break;
    }
  conn_free (conn);
}

static void
on_head (evutil_socket_t fd, short what, void *user)
{
  static const char head[] = "HTTP/1.1 200 OK\r\nX-Attempt-Id: id-1\r\n"
                             "X-Worker-Signature: sig-a\r\n\r\n";
  struct early_conn *conn = user;
  const struct timeval pause = clock_timeval (conn->server->pause_ms);
  const char *end;
  ssize_t n = recv (fd, conn->head + conn->size, HEAD_MAX - conn->size, 0);

  (void)what;
  if (n <= 0)
    {
      conn_free (conn);
      return;
    }
  conn->size += (size_t)n;
  end = strstr (conn->head, "\r\n\r\n");
  if (end == NULL)
    return;
  conn->body_read = conn->size - (size_t)(end + 4 - conn->head);
  CU_ASSERT_EQUAL (send (fd, head, sizeof head - 1, MSG_NOSIGNAL),
                   (ssize_t)sizeof head - 1);
  send_bytes (conn, PART_BYTES);
  event_free (conn->event);
  conn->event = event_new (conn->server->base, -1, 0, on_end, conn);
  if (conn->server->pause_ms == 0)
    on_end (-1, 0, conn);
  else
    event_add (conn->event, &pause);
}

static void
on_accept (struct evconnlistener *listener, evutil_socket_t fd,
           struct sockaddr *address, int size, void *user)
{
  struct early_server *server = user;
  struct early_conn *conn = calloc (1, sizeof *conn);

  (void)listener;
  (void)address;
  (void)size;
  conn->server = server;
  conn->fd = fd;
  conn->event
      = event_new (server->base, fd, EV_READ | EV_PERSIST, on_head, conn);
  event_add (conn->event, NULL);
}

static void
early_server_init (struct early_server *server, struct event_base *base)
{
  struct sockaddr_in address
      = { .sin_family = AF_INET, .sin_addr = { htonl (INADDR_LOOPBACK) } };
  socklen_t size = sizeof address;

  memset (server, 0, sizeof *server);
  server->base = base;
  server->listener = evconnlistener_new_bind (
      base, on_accept, server, LEV_OPT_CLOSE_ON_FREE, 16,
      (struct sockaddr *)&address, sizeof address);
  getsockname (evconnlistener_get_fd (server->listener),
               (struct sockaddr *)&address, &size);
  server->port = ntohs (address.sin_port);
}

static bool
has_early_server (const struct gatefixture *fixture)
{
  return HASH_COUNT (fixture->gateway.registry.upstreams) == 1
         && fixture->gateway.routing->limits.body_bytes_max == UPLOAD_MAX;
}

/* The early server is the service's only upstream. */
static void
use_early_server (struct gatefixture *fixture, uint16_t port)
{
  char text[4096];
  const char *config;
  const char *rest;

  storeserver_put (&fixture->store, "servers/w-0", NULL);
  storeserver_put (&fixture->store, "servers/w-1", NULL);
  storeseed_register (&fixture->store, 7, port, "ready");
  gatefixture_configure (fixture, 2, "\"key-1\"", "s2");
  config = storeserver_get (&fixture->store, "op/config");
  rest = strstr (config, ",\"header_timeout_ms\"");
  snprintf (text, sizeof text,
            "{\"version\":3,\"limits\":{\"max_header_bytes\":4096,"
            "\"max_body_bytes\":%d%s",
            UPLOAD_MAX, rest);
  storeserver_put (&fixture->store, "op/config", text);
  CU_ASSERT_TRUE_FATAL (gatefixture_run_until (fixture, has_early_server));
}

static void
upload (struct gatefixture *fixture)
{
  static unsigned int number;
  char *text = malloc (UPLOAD_BYTES + 512);
  int head = snprintf (text, 512,
                       "POST /once/%u HTTP/1.1\r\nHost: shop.example\r\n"
                       "X-Attempt-Id: id-1\r\nX-Credential: key-1\r\n"
                       "X-Deadline-Remaining-Ms: 5000\r\n"
                       "Content-Length: %d\r\n\r\n",
                       number++, UPLOAD_BYTES);

  memset (text + head, 'u', UPLOAD_BYTES);
  text[head + UPLOAD_BYTES] = '\0';
  gatefixture_request (fixture, text);
  free (text);
}

/* Whether the client has a success that ends as if it were whole. */
static bool
looks_complete (const struct gatefixture *fixture)
{
  return strncmp (fixture->client.got, "HTTP/1.1 200 ", 13) == 0
         && platclient_answered (&fixture->client);
}

static void
check_ending (enum ending ending, uint32_t pause_ms)
{
  struct gatefixture fixture;
  struct early_server server;
  unsigned int complete = 0;
  unsigned int ended = 0;
  unsigned int i;

  gatefixture_init (&fixture, true);
  early_server_init (&server, fixture.base);
  use_early_server (&fixture, server.port);
  server.ending = ending;
  server.pause_ms = pause_ms;
  for (i = 0; i < ROUNDS; i++)
    {
      upload (&fixture);
      complete += looks_complete (&fixture);
      ended += fixture.client.closed || platclient_answered (&fixture.client);
    }
  printf ("ending %d after %u ms: %u of %d complete, %u ended\n", (int)ending,
          pause_ms, complete, ROUNDS, ended);
  CU_ASSERT_EQUAL (complete, ending == ENDING_WHOLE ? ROUNDS : 0);
  CU_ASSERT_EQUAL (ended, ROUNDS);
  /* The last connection ends. */
  gatefixture_run (&fixture, pause_ms + 20);
  evconnlistener_free (server.listener);
  gatefixture_finish (&fixture);
}

/* Guards against a part of a response that is framed as a whole one. */
static void
test_broken_early_response (void)
{
  static const uint32_t pauses_ms[] = { 0, 1, 20 };
  int ending;
  size_t i;

  for (ending = 0; ending < ENDING_WHOLE; ending++)
    for (i = 0; i < COUNT (pauses_ms); i++)
      check_ending ((enum ending)ending, pauses_ms[i]);
}

static void
test_whole_early_response (void)
{
  check_ending (ENDING_WHOLE, 0);
  check_ending (ENDING_WHOLE, 20);
}

static const struct suite_test tests[] = {
  { "part of an early response looks complete", test_broken_early_response },
  { "early response of an upstream that reads on", test_whole_early_response },
};

SUITE_MAIN ("test_early_responses", tests)
