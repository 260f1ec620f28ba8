/**
 * @file test_unfounded_refusals.c
 * End-to-end tests of upstreams that have run a request and answer with a
 * status that means that it has not run: its client would send it again.
 */
#include "state/verdict.h"
#include "support/gatefixture.h"
#include "support/suite.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define COUNT(array) (sizeof (array) / sizeof ((array)[0]))

#define RESPONSE_SIZE 512

#define ID        "X-Attempt-Id: id-1\r\n"
#define SIGNATURE "X-Worker-Signature: sig-a\r\n"
#define NOT_RUN   "X-Not-Executed: 1\r\n"
#define BODY      "Content-Length: 6\r\n\r\nbooked"

static const struct
{
  const char *status;
  bool is_not_run; /* what clients take it for */
} statuses[] = {
  { "408 Request Timeout", true },   { "421 Misdirected Request", true },
  { "429 Too Many Requests", true }, { "503 Service Unavailable", true },
  { "400 Bad Request", false },      { "409 Conflict", false },
  { "425 Too Early", false },        { "500 Internal Server Error", false },
  { "502 Bad Gateway", false },      { "504 Gateway Timeout", false },
};

static const struct
{
  const char *prefix;
  bool repeatable;
} routes[] = {
  { "/once/", false },
  { "/stream/", false },
  { "/again/", true },
  { "/resume/", true },
};

static void
set_response (struct upstreamserver *upstream, char response[RESPONSE_SIZE],
              const char *status, const char *headers)
{
  snprintf (response, RESPONSE_SIZE, "HTTP/1.1 %s\r\n%s" BODY, status,
            headers);
  upstream->behaviour = UPSTREAMSERVER_SCRIPT;
  upstream->script = response;
  upstream->script_size = strlen (response);
}

/* @return the status that the client got; 0: none. */
static int
request (struct gatefixture *fixture, const char *prefix)
{
  static unsigned int number;
  char text[512];

  snprintf (text, sizeof text,
            "POST %s%u HTTP/1.1\r\nHost: shop.example\r\n" ID
            "X-Deadline-Remaining-Ms: 5000\r\nX-Credential: key-1\r\n"
            "Content-Length: 0\r\n\r\n",
            prefix, number++);
  gatefixture_request (fixture, text);
  return fixture->client.size < strlen ("HTTP/1.1 200")
             ? 0
             : atoi (fixture->client.got + strlen ("HTTP/1.1 "));
}

/* A request that has run must not look as if it had not.  Other statuses are
   the upstream's to give. */
static void
check_status (size_t route, size_t i)
{
  struct gatefixture fixture;
  char response[RESPONSE_SIZE];
  bool is_signed;
  int status;

  gatefixture_init (&fixture, true);
  set_response (&fixture.upstreams[0], response, statuses[i].status,
                ID SIGNATURE);
  fixture.upstreams[1].behaviour = UPSTREAMSERVER_SCRIPT;
  fixture.upstreams[1].script = response;
  fixture.upstreams[1].script_size = strlen (response);
  status = request (&fixture, routes[route].prefix);
  is_signed = strstr (fixture.client.got, "X-Worker-Signature") != NULL;
  CU_ASSERT_EQUAL (verdict_status_is_not_run (status), false);
  CU_ASSERT_EQUAL (is_signed, !statuses[i].is_not_run);
  if (statuses[i].is_not_run)
    {
      CU_ASSERT_EQUAL (status, 502);
      CU_ASSERT_PTR_NOT_NULL (strstr (fixture.client.got, "may-have-run"));
      CU_ASSERT_PTR_NULL (strstr (fixture.client.got, "Retry-After"));
    }
  else
    CU_ASSERT_EQUAL (status, atoi (statuses[i].status));
  if (!routes[route].repeatable)
    CU_ASSERT_EQUAL (
        fixture.upstreams[0].requests + fixture.upstreams[1].requests, 1);
  if (verdict_status_is_not_run (status))
    printf ("%s answered with %s: %s\n", routes[route].prefix,
            statuses[i].status, fixture.client.got);
  gatefixture_finish (&fixture);
}

static void
test_run_and_refused (void)
{
  size_t route;
  size_t i;

  for (route = 0; route < COUNT (routes); route++)
    for (i = 0; i < COUNT (statuses); i++)
      check_status (route, i);
}

/* A refusal of the next upstream does not stand for the one that may have run
   the request before. */
static void
test_refused_after_run (void)
{
  struct gatefixture fixture;
  char response[RESPONSE_SIZE];

  gatefixture_init (&fixture, true);
  set_response (&fixture.upstreams[0], response, "503 Service Unavailable",
                ID SIGNATURE);
  fixture.upstreams[1].behaviour = UPSTREAMSERVER_REJECT;
  CU_ASSERT_EQUAL (request (&fixture, "/again/"), 502);
  CU_ASSERT_EQUAL (fixture.upstreams[0].requests, 1);
  CU_ASSERT_EQUAL (fixture.upstreams[1].requests, 1);
  gatefixture_finish (&fixture);
}

/* An upstream that says that it has not run the request is believed, whatever
   its status. */
static void
test_not_run (void)
{
  struct gatefixture fixture;
  char response[RESPONSE_SIZE];
  size_t i;

  for (i = 0; i < COUNT (statuses); i++)
    {
      gatefixture_init (&fixture, true);
      set_response (&fixture.upstreams[0], response, statuses[i].status,
                    ID NOT_RUN);
      CU_ASSERT_EQUAL (request (&fixture, "/once/"), 200);
      CU_ASSERT_EQUAL (fixture.upstreams[1].requests, 1);
      fixture.upstreams[1].behaviour = UPSTREAMSERVER_REJECT;
      CU_ASSERT_EQUAL (request (&fixture, "/once/"), 503);
      CU_ASSERT_PTR_NOT_NULL (strstr (fixture.client.got, "not-run"));
      gatefixture_finish (&fixture);
    }
}

static const struct suite_test tests[] = {
  { "request that has run is answered as not run", test_run_and_refused },
  { "refusal after another upstream may have run it", test_refused_after_run },
  { "upstream says that it has not run", test_not_run },
};

SUITE_MAIN ("test_unfounded_refusals", tests)
