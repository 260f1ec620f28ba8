/**
 * @file test_planned_stop.c
 * End-to-end tests of requests that arrive during the grace period of a
 * planned stop: each gets an answer.
 */
#include "support/gatefixture.h"
#include "support/suite.h"
#include <signal.h>
#include <stdio.h>
#include <string.h>

#define COUNT(array) (sizeof (array) / sizeof ((array)[0]))

#define HEADERS                                                               \
  "Host: shop.example\r\nX-Attempt-Id: id-1\r\n"                              \
  "X-Deadline-Remaining-Ms: 9000\r\nX-Credential: key-1\r\n"                  \
  "Content-Length: 0\r\n\r\n"
#define ONCE   "POST /once/x HTTP/1.1\r\n" HEADERS
#define AGAIN  "GET /again/x HTTP/1.1\r\n" HEADERS
#define STREAM "POST /stream/x HTTP/1.1\r\n" HEADERS
#define RESUME "POST /resume/x HTTP/1.1\r\n" HEADERS

#define TICKS_MS   250 /**< of two ticks, in which drains go on */
#define FINAL_MS   350 /**< before the end; the final response has been sent */
#define KILL_MS    50  /**< before the end; the process has exited */
#define SIGNALS_MS 900 /**< the loop is late by this when a signal comes */
/** Too short for a stream of the time that the configuration gives it. */
#define GRACE_MS 3400

/** When a request is sent, in milliseconds of the grace period. */
static const uint32_t sent_ms[]
    = { 0, 2400, 2600, 4000, 6000, 6500, 7000, 7500 };
static const char *const requests[] = { ONCE, AGAIN, STREAM, RESUME };

/* The gateway's clock stands still until it is set. */
static void
fixture_init (struct gatefixture *fixture,
              enum upstreamserver_behaviour behaviour)
{
  unsigned int i;

  gatefixture_init (fixture, true);
  clock_init_manual (&fixture->gateway.clock,
                     gateway_now_ns (&fixture->gateway), 0);
  for (i = 0; i < GATEFIXTURE_UPSTREAMS; i++)
    fixture->upstreams[i].behaviour = behaviour;
}

static void
send_request (struct gatefixture *fixture, const char *request)
{
  platclient_init (&fixture->client, fixture->base,
                   httpd_port (fixture->gateway.httpd));
  platclient_send (&fixture->client, request);
  gatefixture_run (fixture, 30);
}

static unsigned int
requests_run (const struct gatefixture *fixture)
{
  return fixture->upstreams[0].requests + fixture->upstreams[1].requests;
}

/* Requests that arrive late in the grace period, in calm, before upstreams
   that never answer.  Guards against requests that are passed on and cut with
   no answer when the process ends. */
static void
check_late_request (uint32_t arrival_ms, const char *request)
{
  struct gatefixture fixture;
  struct clock *clock = &fixture.gateway.clock;
  uint64_t start_ns;

  fixture_init (&fixture, UPSTREAMSERVER_HANG);
  gateway_drain (&fixture.gateway);
  start_ns = clock->manual_ns;
  clock_advance_ms (clock, arrival_ms);
  send_request (&fixture, request);
  clock->manual_ns
      = start_ns
        + (fixture.gateway.settings.grace_ms - FINAL_MS) * CLOCK_NS_PER_MS;
  gatefixture_run (&fixture, TICKS_MS);
  clock->manual_ns
      = start_ns
        + (fixture.gateway.settings.grace_ms - KILL_MS) * CLOCK_NS_PER_MS;
  gateway_finish (&fixture.gateway);
  gatefixture_run (&fixture, 20);
  if (!platclient_answered (&fixture.client))
    {
      printf ("sent at %u ms: %.20s: got %s\n", arrival_ms, request,
              fixture.client.got);
      CU_FAIL ("a request was cut without an answer");
    }
  gatefixture_finish_servers (&fixture);
}

static void
test_late_requests (void)
{
  size_t i;
  size_t k;

  for (i = 0; i < COUNT (sent_ms); i++)
    for (k = 0; k < COUNT (requests); k++)
      check_late_request (sent_ms[i], requests[k]);
}

/* The grace period begins when the signal comes.  Guards against a process
   that takes streams which it cannot end, and is killed before its final
   responses, as its loop was late when the signal came. */
static void
test_signal_while_late (void)
{
  struct gatefixture fixture;
  struct clock *clock = &fixture.gateway.clock;
  uint64_t start_ns;

  fixture_init (&fixture, UPSTREAMSERVER_STREAM);
  fixture.gateway.settings.grace_ms = GRACE_MS;
  start_ns = clock->manual_ns;
  raise (SIGTERM);
  clock_advance_ms (clock, SIGNALS_MS);
  gatefixture_run (&fixture, 10);
  CU_ASSERT_TRUE (fixture.gateway.draining);
  CU_ASSERT_EQUAL (fixture.gateway.drain_ns, start_ns);
  clock->manual_ns
      = start_ns + (GATEWAY_UNREADY_DELAY_MS + 10) * CLOCK_NS_PER_MS;
  send_request (&fixture, STREAM);
  CU_ASSERT_EQUAL (requests_run (&fixture), 0);
  CU_ASSERT_EQUAL (strncmp (fixture.client.got, "HTTP/1.1 503", 12), 0);
  gatefixture_finish (&fixture);
}

static const struct suite_test tests[] = {
  { "requests late in the grace period", test_late_requests },
  { "signal while the loop is late", test_signal_while_late },
};

SUITE_MAIN ("test_planned_stop", tests)
