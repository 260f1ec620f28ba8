/**
 * @file test_late_deadline.c
 * The time of a request ends while its response lies unread in the upstream's
 * socket, as the event loop is late.
 */
#include "support/gatefixture.h"
#include "support/suite.h"
#include <string.h>
#include <unistd.h>

#define REQUEST                                                               \
  "GET /again/y HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: id-1\r\n"     \
  "X-Deadline-Remaining-Ms: 5000\r\nX-Credential: key-1\r\n\r\n"
#define STALL_MS 700 /* longer than the route's time */

static void
on_stall (evutil_socket_t fd, short what, void *user)
{
  (void)fd;
  (void)what;
  (void)user;
  usleep (STALL_MS * 1000);
}

/* The response is served: its request was answered in time. */
static void
test_response_unread_at_deadline (void)
{
  const struct timeval soon = { 0, 60000 };
  struct gatefixture fixture;
  struct event *event;

  gatefixture_init (&fixture, true);
  fixture.upstreams[0].response_delay_ms = 40;
  platclient_init (&fixture.client, fixture.base,
                   httpd_port (fixture.gateway.httpd));
  event = event_new (fixture.base, -1, 0, on_stall, NULL);
  platclient_send (&fixture.client, REQUEST);
  gatefixture_run (&fixture, 20);
  /* The upstream, on the same loop, answers in this turn. */
  event_add (event, &soon);
  usleep (70000);
  gatefixture_run (&fixture, 300);
  /* The first run has ended with the stall. */
  gatefixture_run (&fixture, 300);
  CU_ASSERT_PTR_NOT_NULL (strstr (fixture.client.got, "HTTP/1.1 200"));
  event_free (event);
  gatefixture_finish (&fixture);
}

static const struct suite_test tests[] = {
  { "deadline with the response unread", test_response_unread_at_deadline },
};

SUITE_MAIN ("test_late_deadline", tests)
