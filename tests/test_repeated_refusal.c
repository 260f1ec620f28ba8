/**
 * @file test_repeated_refusal.c
 * An upstream writes an earlier refusal once more on a kept connection, where
 * the response to the next request is due.  No client is told that its request
 * did not run, and none that may not be repeated runs twice.  A refusal with
 * another request's ID costs no client its own response.
 */
#include "state/rng.h"
#include "support/gatefixture.h"
#include "support/suite.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define HEADERS                                                               \
  "Host: shop.example\r\nX-Attempt-Id: id-1\r\n"                              \
  "X-Deadline-Remaining-Ms: 5000\r\nX-Credential: key-1\r\n"
#define FIRST                                                                 \
  "GET /again/x HTTP/1.1\r\n"                                                 \
  "Host: shop.example\r\nX-Attempt-Id: id-0\r\n"                              \
  "X-Deadline-Remaining-Ms: 5000\r\nX-Credential: key-1\r\n\r\n"
#define NON_IDEMPOTENT                                                        \
  "POST /once/x HTTP/1.1\r\n" HEADERS "Content-Length: 2\r\n\r\nhi"
#define IDEMPOTENT "GET /again/y HTTP/1.1\r\n" HEADERS "\r\n"
#define STREAMING                                                             \
  "POST /stream/z HTTP/1.1\r\n" HEADERS "Content-Length: 0\r\n\r\n"
#define RESUMABLE                                                             \
  "POST /resume/z HTTP/1.1\r\n" HEADERS "Content-Length: 0\r\n\r\n"

#define DRILL_REQUESTS 400
#define FIRST_MAX      50 /* requests until both upstreams have had one */
#define EMPTY          "Content-Length: 0\r\n\r\n"

/** A refusal that is written again. */
struct refusal_case
{
  const char *name;
  const char *text;
  bool has_id;
};

/** A request behind it. */
struct request_case
{
  const char *name;
  const char *text;
  bool is_stream;
  bool idempotent;
};

static const struct refusal_case refusals[] = {
  { "503 without id", "HTTP/1.1 503 Full\r\nX-Not-Executed: 1\r\n" EMPTY,
    false },
  { "429 without id", "HTTP/1.1 429 Many\r\nX-Not-Executed: 1\r\n" EMPTY,
    false },
  { "400 without id", "HTTP/1.1 400 Bad\r\nX-Not-Executed: 1\r\n" EMPTY,
    false },
  { "421 without id", "HTTP/1.1 421 Other\r\nX-Instance-Id: other\r\n" EMPTY,
    false },
  { "503 with the earlier id",
    "HTTP/1.1 503 Full\r\nX-Attempt-Id: id-0\r\nX-Not-Executed: 1\r\n" EMPTY,
    true },
  { "421 with the earlier id",
    "HTTP/1.1 421 Other\r\nX-Attempt-Id: id-0\r\n" EMPTY, true },
};

static const struct request_case requests[] = {
  { "once", NON_IDEMPOTENT, false, false },
  { "again", IDEMPOTENT, false, true },
  { "stream", STREAMING, true, false },
  { "resume", RESUMABLE, true, true },
};

static bool
got_status (const struct gatefixture *fixture, const char *status)
{
  return strncmp (fixture->client.got + strlen ("HTTP/1.1 "), status, 3) == 0;
}

static bool
is_refused (const struct gatefixture *fixture)
{
  return got_status (fixture, "408") || got_status (fixture, "421")
         || got_status (fixture, "429") || got_status (fixture, "503");
}

/* Keeps a connection to each upstream.
   @return the requests that reached an upstream. */
static unsigned int
keep_connections (struct gatefixture *fixture)
{
  struct upstreamserver *upstreams = fixture->upstreams;
  unsigned int i;

  for (i = 0; i < FIRST_MAX
              && (upstreams[0].requests == 0 || upstreams[1].requests == 0);
       i++)
    gatefixture_request (fixture, FIRST);
  CU_ASSERT (upstreams[0].requests > 0 && upstreams[1].requests > 0);
  return upstreams[0].requests + upstreams[1].requests;
}

static void
play (const struct refusal_case *refusal, const struct request_case *request)
{
  struct gatefixture fixture;
  struct upstreamserver *upstreams = fixture.upstreams;
  unsigned int runs;
  bool passed;

  gatefixture_init (&fixture, true);
  runs = keep_connections (&fixture);
  upstreams[0].repeated_response = upstreams[1].repeated_response
      = refusal->text;
  if (request->is_stream)
    upstreams[0].behaviour = upstreams[1].behaviour = UPSTREAMSERVER_STREAM;
  gatefixture_request (&fixture, request->text);
  CU_ASSERT (upstreams[0].repetitions + upstreams[1].repetitions > 0);
  runs = upstreams[0].requests + upstreams[1].requests - runs;
  passed = !is_refused (&fixture) && (request->idempotent || runs == 1)
           && (refusal->has_id ? got_status (&fixture, "200") && runs == 1
                               : got_status (&fixture, "502"));
  if (!passed)
    printf ("%s, %s: ran %u times, %.12s\n", refusal->name, request->name,
            runs, fixture.client.got);
  CU_ASSERT_TRUE (passed);
  gatefixture_finish (&fixture);
}

static void
test_repeated_on_kept_connection (void)
{
  size_t i;
  size_t k;

  for (i = 0; i < sizeof refusals / sizeof refusals[0]; i++)
    for (k = 0; k < sizeof requests / sizeof requests[0]; k++)
      play (&refusals[i], &requests[k]);
}

/* The refusal of the request itself counts, on a kept connection too. */
static void
test_own_refusal (void)
{
  struct gatefixture fixture;

  gatefixture_init (&fixture, true);
  keep_connections (&fixture);
  fixture.upstreams[0].behaviour = UPSTREAMSERVER_REJECT;
  fixture.upstreams[1].behaviour = UPSTREAMSERVER_REJECT;
  gatefixture_request (&fixture, NON_IDEMPOTENT);
  CU_ASSERT_TRUE (got_status (&fixture, "503"));
  CU_ASSERT_PTR_NOT_NULL (strstr (fixture.client.got, "not-run"));
  gatefixture_finish (&fixture);
}

/** Upstreams that refuse some requests, and write their own last refusal again
    before most other responses. */
struct drill
{
  struct rng rng;
  unsigned int runs[DRILL_REQUESTS];
  unsigned int refused; /* by an upstream */
  const struct upstreamserver *upstreams;
  char refusals[GATEFIXTURE_UPSTREAMS][256];
};

static void
on_drill_request (struct upstreamserver *server, const char *message)
{
  struct drill *drill = server->user;
  char *refusal = drill->refusals[server - drill->upstreams];
  char id[16] = "";
  unsigned long number;

  upstreamserver_get_header (message, "X-Attempt-Id", id, sizeof id);
  number = strtoul (id, NULL, 10);
  CU_ASSERT_FATAL (number < DRILL_REQUESTS);
  server->repeated_response
      = refusal[0] != '\0' && rng_below (&drill->rng, 4) > 0 ? refusal : NULL;
  if (rng_below (&drill->rng, 5) == 0)
    {
      server->behaviour = UPSTREAMSERVER_REJECT;
      server->repeated_response = NULL;
      drill->refused++;
      snprintf (refusal, sizeof drill->refusals[0],
                "HTTP/1.1 503 Full\r\n%s%s%sX-Not-Executed: 1\r\n" EMPTY,
                drill->refused % 4 == 0 ? "" : "X-Attempt-Id: ",
                drill->refused % 4 == 0 ? "" : id,
                drill->refused % 4 == 0 ? "" : "\r\n");
      return;
    }
  drill->runs[number]++;
  server->behaviour = strstr (message, "text/event-stream") != NULL
                          ? UPSTREAMSERVER_STREAM
                          : UPSTREAMSERVER_RESPOND;
}

static void
test_drill (void)
{
  static struct drill drill;
  struct gatefixture fixture;
  char request[512];
  unsigned int served = 0;
  unsigned int twice = 0;
  unsigned int falsely_refused = 0;
  unsigned int repetitions = 0;
  unsigned int i;

  memset (&drill, 0, sizeof drill);
  rng_init (&drill.rng, 1);
  gatefixture_init (&fixture, true);
  drill.upstreams = fixture.upstreams;
  for (i = 0; i < GATEFIXTURE_UPSTREAMS; i++)
    {
      fixture.upstreams[i].on_request = on_drill_request;
      fixture.upstreams[i].user = &drill;
    }
  for (i = 0; i < DRILL_REQUESTS; i++)
    {
      snprintf (request, sizeof request,
                "POST /%s/x HTTP/1.1\r\nHost: shop.example\r\n"
                "X-Attempt-Id: %u\r\nX-Credential: key-1\r\n%s" EMPTY,
                i % 2 == 0 ? "once" : "stream", i,
                i % 2 == 0 ? "" : "Accept: text/event-stream\r\n");
      gatefixture_request (&fixture, request);
      served += got_status (&fixture, "200");
      twice += drill.runs[i] > 1;
      falsely_refused += is_refused (&fixture) && drill.runs[i] > 0;
    }
  for (i = 0; i < GATEFIXTURE_UPSTREAMS; i++)
    repetitions += fixture.upstreams[i].repetitions;
  printf ("%u of %d served, %u refusals written again; ", served,
          DRILL_REQUESTS, repetitions);
  CU_ASSERT (repetitions > DRILL_REQUESTS / 4);
  CU_ASSERT_EQUAL (twice, 0);
  CU_ASSERT_EQUAL (falsely_refused, 0);
  CU_ASSERT (served > DRILL_REQUESTS / 2);
  gatefixture_finish (&fixture);
}

static const struct suite_test tests[] = {
  { "refusal repeated on a kept connection",
    test_repeated_on_kept_connection },
  { "a request's own refusal", test_own_refusal },
  { "upstreams that write earlier refusals again", test_drill },
};

SUITE_MAIN ("test_repeated_refusal", tests)
