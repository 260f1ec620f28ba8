/**
 * @file test_upstream_notices.c
 * What an upstream says of itself in its responses: that it leaves, and that
 * it wants no requests for a while.  Its registration stays ready.
 */
#include "support/gatefixture.h"
#include "support/storeseed.h"
#include "support/suite.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define REQUESTS 6
#define LEAVING  "Server-Leaving: 1\r\n"
#define HEADERS                                                               \
  "Host: shop.example\r\nX-Attempt-Id: id-1\r\n"                              \
  "X-Deadline-Remaining-Ms: 5000\r\nX-Credential: key-1\r\n"
#define PLAIN "GET /again/y HTTP/1.1\r\n" HEADERS "\r\n"
#define STREAM                                                                \
  "POST /stream/z HTTP/1.1\r\n" HEADERS "Content-Length: 0\r\n\r\n"
#define PAUSE_MS 600

/* Sends requests, and returns how many reached an upstream. */
static unsigned int
reached (struct gatefixture *fixture, unsigned int upstream,
         const char *request)
{
  unsigned int before = fixture->upstreams[upstream].requests;
  unsigned int i;

  for (i = 0; i < REQUESTS; i++)
    gatefixture_request (fixture, request);
  return fixture->upstreams[upstream].requests - before;
}

static bool
got_status (const struct gatefixture *fixture, const char *status)
{
  return strncmp (fixture->client.got + 9, status, 3) == 0;
}

/* Writes the registration of an upstream anew, with the time of its start. */
static void
register_start (struct gatefixture *fixture, unsigned int upstream,
                unsigned int born)
{
  char key[32];
  char value[256];

  snprintf (key, sizeof key, "servers/w-%u", upstream);
  snprintf (value, sizeof value,
            "{\"service\":\"s2\",\"address\":\"127.0.0.1:%u\",\"zone\":"
            "\"z%c\",\"version\":\"v1\",\"slots\":8,\"state\":\"ready\","
            "\"cold_remaining_ms\":0,\"sequence\":2,\"born\":%u}",
            fixture->upstreams[upstream].port, 'a' + (char)upstream, born);
  storeserver_put (&fixture->store, key, value);
  gatefixture_run (fixture, 700);
}

static void
test_leaving (void)
{
  struct gatefixture fixture;

  gatefixture_init (&fixture, true);
  fixture.upstreams[0].extra_headers = LEAVING;
  CU_ASSERT_EQUAL (reached (&fixture, 0, PLAIN), 1);
  CU_ASSERT_TRUE (got_status (&fixture, "200"));
  /* Its registration does not take that back. */
  register_start (&fixture, 0, 1000);
  CU_ASSERT_EQUAL (reached (&fixture, 0, PLAIN), 0);
  /* Neither does a registration that was removed and written again. */
  storeserver_put (&fixture.store, "servers/w-0", NULL);
  gatefixture_run (&fixture, 1500);
  register_start (&fixture, 0, 1000);
  CU_ASSERT_EQUAL (reached (&fixture, 0, PLAIN), 0);
  /* A new start under the same identity does. */
  fixture.upstreams[0].extra_headers = NULL;
  register_start (&fixture, 0, 2000);
  CU_ASSERT (reached (&fixture, 0, PLAIN) > 0);
  gatefixture_finish (&fixture);
}

static void
test_leaving_in_other_responses (void)
{
  static const enum upstreamserver_behaviour behaviours[]
      = { UPSTREAMSERVER_REJECT, UPSTREAMSERVER_FAIL, UPSTREAMSERVER_STREAM };
  struct gatefixture fixture;
  unsigned int i;

  for (i = 0; i < sizeof behaviours / sizeof behaviours[0]; i++)
    {
      gatefixture_init (&fixture, true);
      fixture.upstreams[0].behaviour = behaviours[i];
      fixture.upstreams[1].behaviour = UPSTREAMSERVER_STREAM;
      fixture.upstreams[0].extra_headers = LEAVING;
      CU_ASSERT_EQUAL (reached (&fixture, 0, STREAM), 1);
      CU_ASSERT_TRUE (got_status (&fixture, "200"));
      gatefixture_finish (&fixture);
    }
}

static void
test_all_leave (void)
{
  struct gatefixture fixture;
  unsigned int before;

  gatefixture_init (&fixture, true);
  fixture.upstreams[0].extra_headers = LEAVING;
  fixture.upstreams[1].extra_headers = LEAVING;
  reached (&fixture, 0, PLAIN);
  before = fixture.upstreams[0].requests + fixture.upstreams[1].requests;
  CU_ASSERT_EQUAL (before, 2);
  reached (&fixture, 0, PLAIN);
  CU_ASSERT_EQUAL (
      fixture.upstreams[0].requests + fixture.upstreams[1].requests, before);
  CU_ASSERT_TRUE (got_status (&fixture, "503"));
  gatefixture_finish (&fixture);
}

static void
test_pause (void)
{
  struct gatefixture fixture;

  gatefixture_init (&fixture, true);
  fixture.upstreams[0].behaviour = UPSTREAMSERVER_REJECT;
  fixture.upstreams[0].extra_headers = "Retry-After: 0.6\r\n";
  CU_ASSERT_EQUAL (reached (&fixture, 0, PLAIN), 1);
  CU_ASSERT_TRUE (got_status (&fixture, "200"));
  fixture.upstreams[0].behaviour = UPSTREAMSERVER_RESPOND;
  fixture.upstreams[0].extra_headers = NULL;
  CU_ASSERT_EQUAL (reached (&fixture, 0, PLAIN), 0);
  gatefixture_run (&fixture, PAUSE_MS * 2);
  CU_ASSERT (reached (&fixture, 0, PLAIN) > 0);
  gatefixture_finish (&fixture);
}

static void
test_all_pause (void)
{
  struct gatefixture fixture;
  char retry_after[32];
  unsigned int before;
  unsigned int i;

  gatefixture_init (&fixture, true);
  for (i = 0; i < GATEFIXTURE_UPSTREAMS; i++)
    {
      fixture.upstreams[i].behaviour = UPSTREAMSERVER_REJECT;
      fixture.upstreams[i].extra_headers = "Retry-After: 3\r\n";
    }
  gatefixture_request (&fixture, PLAIN);
  before = fixture.upstreams[0].requests + fixture.upstreams[1].requests;
  CU_ASSERT_EQUAL (before, 2);
  reached (&fixture, 0, PLAIN);
  CU_ASSERT_EQUAL (
      fixture.upstreams[0].requests + fixture.upstreams[1].requests, before);
  CU_ASSERT_TRUE (got_status (&fixture, "503"));
  upstreamserver_get_header (fixture.client.got, "Retry-After", retry_after,
                             sizeof retry_after);
  CU_ASSERT (strtod (retry_after, NULL) > 2);
  CU_ASSERT (strtod (retry_after, NULL) <= 5);
  gatefixture_finish (&fixture);
}

/* Values that are no time within an hour are taken as absent. */
static void
test_invalid_pauses (void)
{
  static const char *const values[]
      = { "Retry-After: -5\r\n",  "Retry-After: soon\r\n",
          "Retry-After: 1e3\r\n", "Retry-After: 100000\r\n",
          "Retry-After: \r\n",    "Retry-After: 5 s\r\n" };
  struct gatefixture fixture;
  unsigned int i;

  for (i = 0; i < sizeof values / sizeof values[0]; i++)
    {
      gatefixture_init (&fixture, true);
      fixture.upstreams[0].behaviour = UPSTREAMSERVER_REJECT;
      fixture.upstreams[0].extra_headers = values[i];
      gatefixture_request (&fixture, PLAIN);
      fixture.upstreams[0].behaviour = UPSTREAMSERVER_RESPOND;
      fixture.upstreams[0].extra_headers = NULL;
      CU_ASSERT (reached (&fixture, 0, PLAIN) > 0);
      gatefixture_finish (&fixture);
    }
}

static bool
is_limited (const struct gatefixture *fixture)
{
  const struct registry_upstream *upstream;

  for (upstream = fixture->gateway.registry.upstreams; upstream != NULL;
       upstream = upstream->hh.next)
    if (upstream->limit.limited)
      return true;
  return false;
}

/* A limit is a decimal number; other values are taken as absent.  The header
   is not passed on. */
static void
test_values_of_limits (void)
{
  static const struct
  {
    const char *header;
    bool valid;
  } values[] = {
    { "Server-Limit: 0.4\r\n", true },    { "Server-Limit: 12\r\n", true },
    { "Server-Limit: 0\r\n", true },      { "Server-Limit: -1\r\n", false },
    { "Server-Limit: nan\r\n", false },   { "Server-Limit: inf\r\n", false },
    { "Server-Limit: 0x10\r\n", false },  { "Server-Limit: 1e3\r\n", false },
    { "Server-Limit: 3, 4\r\n", false },  { "Server-Limit: \r\n", false },
    { "Server-Limit: 1.2.3\r\n", false }, { "Server-Limit: .5\r\n", false },
  };
  struct gatefixture fixture;
  unsigned int i;

  for (i = 0; i < sizeof values / sizeof values[0]; i++)
    {
      gatefixture_init (&fixture, true);
      fixture.upstreams[0].extra_headers = values[i].header;
      gatefixture_request (&fixture, PLAIN);
      CU_ASSERT_EQUAL (is_limited (&fixture), values[i].valid);
      CU_ASSERT_PTR_NULL (strstr (fixture.client.got, "Server-Limit"));
      gatefixture_finish (&fixture);
    }
}

/* A rejected request also says so, another upstream at the address does not.
 */
static void
test_limits_in_other_responses (void)
{
  static const enum upstreamserver_behaviour behaviours[]
      = { UPSTREAMSERVER_REJECT, UPSTREAMSERVER_FAIL, UPSTREAMSERVER_STREAM,
          UPSTREAMSERVER_MISDIRECTED };
  struct gatefixture fixture;
  unsigned int i;

  for (i = 0; i < sizeof behaviours / sizeof behaviours[0]; i++)
    {
      gatefixture_init (&fixture, true);
      fixture.upstreams[0].behaviour = behaviours[i];
      fixture.upstreams[0].extra_headers = "Server-Limit: 2\r\n";
      gatefixture_request (&fixture, PLAIN);
      CU_ASSERT_EQUAL (is_limited (&fixture),
                       behaviours[i] != UPSTREAMSERVER_MISDIRECTED);
      gatefixture_finish (&fixture);
    }
}

static const struct suite_test tests[] = {
  { "upstream that leaves", test_leaving },
  { "leaving in other responses", test_leaving_in_other_responses },
  { "all upstreams leave", test_all_leave },
  { "upstream that wants no requests", test_pause },
  { "none wants requests", test_all_pause },
  { "invalid pauses", test_invalid_pauses },
  { "values of limits", test_values_of_limits },
  { "limits in other responses", test_limits_in_other_responses },
};

SUITE_MAIN ("test_upstream_notices", tests)
