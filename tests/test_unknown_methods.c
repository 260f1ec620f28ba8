/**
 * @file test_unknown_methods.c
 * End-to-end tests of requests whose method libevhtp has no name for: such a
 * request ended the gateway.
 */
#include "support/gatefixture.h"
#include "support/suite.h"
#include <stdio.h>
#include <string.h>

#define HEADERS                                                               \
  "Host: shop.example\r\nX-Attempt-Id: id-1\r\n"                              \
  "X-Deadline-Remaining-Ms: 5000\r\nX-Credential: key-1\r\n"

/* Not in libevhtp's list, not of the letters that it takes, or with a parser
   of its own. */
static const char *const methods[] = {
  "REPORT",  "QUERY",           "PURGE", "M-SEARCH",  "get",     "_",
  "CONNECT", "VERSION-CONTROL", "HEAd",  "X'*!#$%&+", "0.^`|~9",
};

static const char *const no_tokens[]
    = { "", "(", "GE(T", "GET:", "G\x01T", "G\tT", "\"GET\"", "GET\x80" };

static char last_request[UPSTREAMSERVER_MESSAGE_SIZE];

/* Of either upstream. */
static void
keep_request (struct upstreamserver *server, const char *message)
{
  (void)server;
  snprintf (last_request, sizeof last_request, "%s", message);
}

static void
test_forwarded (void)
{
  struct gatefixture fixture;
  char text[512];
  char line[128];
  size_t i;

  gatefixture_init (&fixture, true);
  fixture.upstreams[0].on_request = keep_request;
  fixture.upstreams[1].on_request = keep_request;
  for (i = 0; i < sizeof methods / sizeof methods[0]; i++)
    {
      snprintf (text, sizeof text,
                "%s /again/y?a HTTP/1.1\r\n" HEADERS
                "Content-Length: 2\r\n\r\nhi",
                methods[i]);
      snprintf (line, sizeof line, "%s /again/y?a HTTP/1.1\r\n", methods[i]);
      gatefixture_request (&fixture, text);
      CU_ASSERT_PTR_NOT_NULL (strstr (fixture.client.got, "HTTP/1.1 200 "));
      CU_ASSERT_PTR_NOT_NULL (strstr (fixture.client.got, "\r\n\r\nhi"));
      CU_ASSERT_NSTRING_EQUAL (last_request, line, strlen (line));
    }
  gatefixture_finish (&fixture);
}

/* The method counts in the digest of a request under which upstreams crash:
   one method's crashes are not another's. */
static void
test_digest (void)
{
  struct gatefixture fixture;

  gatefixture_init (&fixture, true);
  fixture.upstreams[0].behaviour = UPSTREAMSERVER_RESET;
  fixture.upstreams[1].behaviour = UPSTREAMSERVER_RESET;
  gatefixture_request (&fixture, "REPORT /once/x HTTP/1.1\r\n" HEADERS "\r\n");
  CU_ASSERT_EQUAL (fixture.gateway.quarantine.request_count, 1);
  gatefixture_request (&fixture, "SEARCH /once/x HTTP/1.1\r\n" HEADERS "\r\n");
  CU_ASSERT_EQUAL (fixture.gateway.quarantine.request_count, 2);
  gatefixture_finish (&fixture);
}

static void
test_refused (void)
{
  struct gatefixture fixture;
  char text[512];
  size_t i;

  gatefixture_init (&fixture, true);
  for (i = 0; i < sizeof no_tokens / sizeof no_tokens[0]; i++)
    {
      snprintf (text, sizeof text, "%s /again/y HTTP/1.1\r\n" HEADERS "\r\n",
                no_tokens[i]);
      gatefixture_request (&fixture, text);
      CU_ASSERT_PTR_NOT_NULL (strstr (fixture.client.got, "HTTP/1.1 400 "));
      CU_ASSERT_EQUAL (
          fixture.upstreams[0].requests + fixture.upstreams[1].requests, 0);
    }
  gatefixture_finish (&fixture);
}

static const struct suite_test tests[] = {
  { "a method that libevhtp has no name for ends the gateway",
    test_forwarded },
  { "requests with methods that libevhtp has no name for count as one",
    test_digest },
  { "a method that is no token", test_refused },
};

SUITE_MAIN ("test_unknown_methods", tests)
