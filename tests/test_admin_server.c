/**
 * @file test_admin_server.c
 * Responses of the admin API while a router drains.
 */
#include "admin_server.h"
#include "support/suite.h"
#include <event2/event.h>
#include <event2/util.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define RECEIVE_MAX 4096 /**< bytes of a response that are kept */
#define GIVE_UP_S   5    /**< until a run of the loop counts as stuck */
#define DRAIN_REQUEST                                                         \
  "POST /admin/v1/drain HTTP/1.1\r\nHost: r\r\n"                              \
  "Authorization: Bearer token-of-ana\r\nContent-Length: 2\r\n\r\n{}"

static const char yaml[]
    = "router:\n"
      "  instance: r1\n"
      "  fleet: test\n"
      "  availability_zone: a\n"
      "  client_address: 127.0.0.1:0\n"
      "  admin_address: 127.0.0.1:0\n"
      "  log_level: error\n"
      "  tokens:\n"
      "    - operator: ana\n"
      "      role: write\n"
      "      token_sha256: "
      "c1f2eb9b29ea47f3d0de75a25751647c97542f10e667666a89e4a2d0e849f15f\n";

struct fixture
{
  struct settings *settings;
  struct router router;
  struct event *pass;    /**< active until the router drains */
  struct event *give_up; /**< ends a loop that is stuck */
  bool stuck;
};

static void
on_pass (evutil_socket_t fd, short what, void *arg)
{
  struct fixture *fixture = arg;

  (void)fd;
  (void)what;
  if (fixture->router.draining)
    event_base_loopbreak (fixture->router.base);
  else
    event_active (fixture->pass, EV_TIMEOUT, 0);
}

static void
on_give_up (evutil_socket_t fd, short what, void *arg)
{
  struct fixture *fixture = arg;

  (void)fd;
  (void)what;
  fixture->stuck = true;
  event_base_loopbreak (fixture->router.base);
}

static void
fixture_init (struct fixture *fixture)
{
  static const struct timeval give_up = { GIVE_UP_S, 0 };
  char path[] = "/tmp/test_admin_server.XXXXXX";
  int fd = mkstemp (path);

  memset (fixture, 0, sizeof *fixture);
  CU_ASSERT_FATAL (fd >= 0);
  CU_ASSERT_EQUAL (write (fd, yaml, sizeof yaml - 1), sizeof yaml - 1);
  close (fd);
  CU_ASSERT_EQUAL_FATAL (settings_load (path, &fixture->settings, stdout), 0);
  CU_ASSERT_EQUAL_FATAL (settings_validate (fixture->settings, path, stdout),
                         0);
  unlink (path);
  CU_ASSERT_EQUAL_FATAL (router_init (&fixture->router, fixture->settings), 0);
  fixture->pass = event_new (fixture->router.base, -1, 0, on_pass, fixture);
  fixture->give_up
      = event_new (fixture->router.base, -1, 0, on_give_up, fixture);
  event_add (fixture->give_up, &give_up);
}

static void
fixture_finish (struct fixture *fixture)
{
  event_free (fixture->pass);
  event_free (fixture->give_up);
  router_finish (&fixture->router);
  settings_free (fixture->settings);
}

static int
client_connect (const struct fixture *fixture)
{
  struct sockaddr_storage to;
  int size = sizeof to;
  int fd;

  CU_ASSERT_EQUAL_FATAL (
      evutil_parse_sockaddr_port (admin_server_address (&fixture->router),
                                  (struct sockaddr *)&to, &size),
      0);
  fd = socket (AF_INET, SOCK_STREAM, 0);
  CU_ASSERT_EQUAL_FATAL (connect (fd, (struct sockaddr *)&to, (socklen_t)size),
                         0);
  return fd;
}

/* Sends a request to drain.  Returns when it has been handled, before anything
   has been written, and the next tick is due. */
static void
start_drain (struct fixture *fixture, int fd)
{
  CU_ASSERT_EQUAL (
      send (fd, DRAIN_REQUEST, sizeof DRAIN_REQUEST - 1, MSG_NOSIGNAL),
      sizeof DRAIN_REQUEST - 1);
  event_active (fixture->pass, EV_TIMEOUT, 0);
  event_base_dispatch (fixture->router.base);
  CU_ASSERT_TRUE_FATAL (fixture->router.draining);
  CU_ASSERT_EQUAL (recv (fd, &(char){ 0 }, 1, MSG_PEEK | MSG_DONTWAIT), -1);
  usleep (2 * ROUTER_TICK_MS * 1000);
}

static void
test_response_to_drain (void)
{
  struct fixture fixture;
  char text[RECEIVE_MAX + 1];
  size_t size = 0;
  ssize_t n;
  int fd;

  fixture_init (&fixture);
  fd = client_connect (&fixture);
  start_drain (&fixture, fd);
  CU_ASSERT_EQUAL (router_run (&fixture.router), 0);
  CU_ASSERT_FALSE (fixture.stuck);
  fixture_finish (&fixture);
  while ((n = recv (fd, text + size, RECEIVE_MAX - size, 0)) > 0)
    size += (size_t)n;
  text[size] = '\0';
  CU_ASSERT_EQUAL (n, 0);
  CU_ASSERT_EQUAL (strncmp (text, "HTTP/1.1 202 ", 13), 0);
  CU_ASSERT_PTR_NOT_NULL (strstr (text, "\r\n\r\n{\"state\":\"draining\"}"));
  close (fd);
}

/* A client that has left does not delay the end of the drain. */
static void
test_client_left (void)
{
  static const struct linger reset = { .l_onoff = 1, .l_linger = 0 };
  struct fixture fixture;
  int fd;

  fixture_init (&fixture);
  fd = client_connect (&fixture);
  start_drain (&fixture, fd);
  setsockopt (fd, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
  close (fd);
  CU_ASSERT_EQUAL (router_run (&fixture.router), 0);
  CU_ASSERT_FALSE (fixture.stuck);
  fixture_finish (&fixture);
}

/* Nor does one that keeps its connection open after its response. */
static void
test_idle_connection (void)
{
  static const char request[] = "GET /healthz HTTP/1.1\r\nHost: r\r\n\r\n";
  struct fixture fixture;
  char text[RECEIVE_MAX];
  int idle;
  int fd;
  int i;

  fixture_init (&fixture);
  idle = client_connect (&fixture);
  for (i = 0; i < 2; i++)
    {
      CU_ASSERT_EQUAL (send (idle, request, sizeof request - 1, MSG_NOSIGNAL),
                       sizeof request - 1);
      while (recv (idle, text, sizeof text, MSG_DONTWAIT) <= 0
             && !fixture.stuck)
        event_base_loop (fixture.router.base, EVLOOP_ONCE);
    }
  fd = client_connect (&fixture);
  start_drain (&fixture, fd);
  CU_ASSERT_EQUAL (router_run (&fixture.router), 0);
  CU_ASSERT_FALSE (fixture.stuck);
  close (fd);
  close (idle);
  fixture_finish (&fixture);
}

/* A router that ends at once closes the connection of a response that it has
   not written. */
static void
test_end_at_once (void)
{
  struct fixture fixture;
  int fd;

  fixture_init (&fixture);
  fd = client_connect (&fixture);
  start_drain (&fixture, fd);
  fixture_finish (&fixture);
  CU_ASSERT_EQUAL (recv (fd, &(char){ 0 }, 1, 0), 0);
  close (fd);
}

static const struct suite_test tests[] = {
  { "response to a request to drain", test_response_to_drain },
  { "client that left before the response", test_client_left },
  { "idle connection", test_idle_connection },
  { "end with a response unwritten", test_end_at_once },
};

SUITE_MAIN ("test_admin_server", tests)
