/**
 * @file test_smuggled_requests.c
 * End-to-end tests of requests that two readers take for different ones: the
 * gateway refuses them before an upstream sees anything of them.
 */
#include "support/gatefixture.h"
#include "support/suite.h"
#include <stdio.h>
#include <string.h>

#define COUNT(array) (sizeof (array) / sizeof ((array)[0]))

#define HEADERS                                                               \
  "Host: shop.example\r\nX-Attempt-Id: id-1\r\n"                              \
  "X-Deadline-Remaining-Ms: 5000\r\nX-Credential: key-1\r\n"
#define POST    "POST /once/note HTTP/1.1\r\n" HEADERS
#define CHUNKED POST "Transfer-Encoding: chunked\r\n"
#define INNER                                                                 \
  "POST /once/pay HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: inner\r\n"  \
  "X-Deadline-Remaining-Ms: 5000\r\nX-Credential: key-1\r\n"                  \
  "Content-Length: 0\r\n\r\n"
#define INNER_SIZE "144"
_Static_assert(sizeof INNER == 1 + 139, "INNER_SIZE");
#define OWN_HEADERS 4 /**< in HEADERS */

static const struct
{
  const char *name;
  const char *request;
} refused[] = {
  { "space before the colon of a length",
    POST "Content-Length : " INNER_SIZE "\r\n\r\n" INNER },
  { "tab before the colon of a length",
    POST "Content-Length\t: " INNER_SIZE "\r\n\r\n" INNER },
  { "space before the colon of a coding",
    POST "Transfer-Encoding : chunked\r\n\r\n0\r\n\r\n" },
  { "tab before a coding",
    POST "Transfer-Encoding:\tchunked\r\n\r\n90\r\n" INNER "\r\n0\r\n\r\n" },
  { "folded length", POST "X-A: b\r\n Content-Length: 3\r\n\r\n" INNER },
  { "folded line", POST "X-A: b\r\n c: d\r\n\r\n" },
  { "folded with a tab", POST "X-A: b\r\n\tc: d\r\n\r\n" },
  { "folded first line", "GET /again/ HTTP/1.1\r\n X: a\r\n" HEADERS "\r\n" },
  { "customer with a space", POST "X-Tenant : other\r\n\r\n" },
  { "hold with a space", POST "X-Hold : 1\r\n\r\n" },
  { "host with a space", POST "Host : other\r\n\r\n" },
  { "two hosts", POST "Host: other\r\n\r\n" },
  { "name with parentheses", POST "X-(a): b\r\n\r\n" },
  { "name with a high byte", POST "X-\x80: b\r\n\r\n" },
  { "no name", POST ": b\r\n\r\n" },
  { "no colon", POST "X-A\r\n\r\n" },
  { "control character in a value", POST "X-A: b\x01\r\n\r\n" },
  { "delete in a value", POST "X-A: b\x7f\r\n\r\n" },
  { "carriage return in a value",
    POST "X-A: b\rContent-Length: 3\r\n\r\nabc" },
  { "line feed alone", POST "X-A: b\nX-B: c\r\n\r\n" },
  { "line feed alone at the end", POST "X-A: b\r\n\n" },
  { "two lengths, equal",
    POST "Content-Length: 3\r\nContent-Length: 3\r\n\r\nabc" },
  { "two lengths in a line", POST "Content-Length: 3, 3\r\n\r\nabc" },
  { "length and chunks",
    POST "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" },
  { "chunks and length",
    CHUNKED "Content-Length: " INNER_SIZE "\r\n\r\n0\r\n\r\n" INNER },
  { "two codings", CHUNKED "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n" },
  { "another coding", POST "Transfer-Encoding: gzip, chunked\r\n\r\n" },
  { "identity", POST "Transfer-Encoding: identity\r\n\r\n" },
  { "empty length", POST "Content-Length: \r\n\r\n" INNER },
  { "signed length", POST "Content-Length: +3\r\n\r\nabc" },
  { "hexadecimal length", POST "Content-Length: 0x3\r\n\r\nabc" },
  { "length above 2^64",
    POST "Content-Length: 18446744073709551619\r\n\r\nabc" },
  { "chunk size above 2^64",
    CHUNKED "\r\n10000000000000003\r\nabc\r\n0\r\n\r\n" },
  { "chunk size of 2^64", CHUNKED "\r\n10000000000000000\r\n\r\n" INNER },
  { "chunk size with a space", CHUNKED "\r\n 3\r\nabc\r\n0\r\n\r\n" },
  { "chunk size with a space behind", CHUNKED "\r\n3 \r\nabc\r\n0\r\n\r\n" },
  { "chunk size with a sign", CHUNKED "\r\n+3\r\nabc\r\n0\r\n\r\n" },
  { "chunk size with a prefix", CHUNKED "\r\n0x3\r\nabc\r\n0\r\n\r\n" },
  { "no chunk size", CHUNKED "\r\n\r\nabc\r\n0\r\n\r\n" },
  { "chunk size and line feed alone", CHUNKED "\r\n3\nabc\r\n0\r\n\r\n" },
  { "chunk longer than its size", CHUNKED "\r\n3\r\nabcd\r\n0\r\n\r\n" },
  { "trailer that is none", CHUNKED "\r\n0\r\nX-A : b\r\n\r\n" },
  { "extension with a line feed", CHUNKED "\r\n3;a\nabc\r\n0\r\n\r\n" },
  { "two spaces before the path", "GET  /again/ HTTP/1.1\r\n" HEADERS "\r\n" },
  { "two spaces before the version",
    "GET /again/  HTTP/1.1\r\n" HEADERS "\r\n" },
  { "space behind the version", "GET /again/ HTTP/1.1 \r\n" HEADERS "\r\n" },
  { "tabs", "GET\t/again/\tHTTP/1.1\r\n" HEADERS "\r\n" },
  { "no version", "GET /again/\r\n" HEADERS "\r\n" },
  { "long version", "GET /again/ HTTP/1.10\r\n" HEADERS "\r\n" },
  { "control character in the path",
    "GET /again/\x01 HTTP/1.1\r\n" HEADERS "\r\n" },
};

static unsigned int
upstream_requests (const struct gatefixture *fixture)
{
  return fixture->upstreams[0].requests + fixture->upstreams[1].requests;
}

static bool
is_closed (const struct gatefixture *fixture)
{
  return fixture->client.closed;
}

static unsigned int
count_text (const char *text, const char *part)
{
  unsigned int count = 0;

  for (; (text = strstr (text, part)) != NULL; text++)
    count++;
  return count;
}

static void
test_refused (void)
{
  struct gatefixture fixture;
  size_t i;

  gatefixture_init (&fixture, true);
  for (i = 0; i < COUNT (refused); i++)
    {
      gatefixture_request (&fixture, refused[i].request);
      if (!gatefixture_run_until (&fixture, is_closed)
          || strncmp (fixture.client.got, "HTTP/1.1 400 ", 13) != 0
          || count_text (fixture.client.got, "HTTP/1.1 ") != 1
          || strstr (fixture.client.got,
                     "\r\nCherrylanding-Request-Id: id-1\r\n")
                 == NULL
          || upstream_requests (&fixture) != 0)
        {
          printf ("%s: %u requests: %s\n", refused[i].name,
                  upstream_requests (&fixture), fixture.client.got);
          CU_FAIL ("expected one 400 on a connection that is closed");
          fixture.upstreams[0].requests = 0;
          fixture.upstreams[1].requests = 0;
        }
    }
  gatefixture_finish (&fixture);
}

static char last_request[UPSTREAMSERVER_MESSAGE_SIZE];

/* Of either upstream. */
static void
keep_request (struct upstreamserver *server, const char *message)
{
  (void)server;
  snprintf (last_request, sizeof last_request, "%s", message);
}

static void
begin (struct gatefixture *fixture)
{
  gatefixture_init (fixture, true);
  fixture->upstreams[0].on_request = keep_request;
  fixture->upstreams[1].on_request = keep_request;
  last_request[0] = '\0';
}

/* Writes a request with a number of headers, of which the last is X-Model. */
static void
write_headers (char *out, size_t size, unsigned int count)
{
  int used = snprintf (out, size, "GET /again/ HTTP/1.1\r\n" HEADERS);
  unsigned int i;

  for (i = OWN_HEADERS; i < count - 1; i++)
    used += snprintf (out + used, size - (size_t)used, "X-%u: %u\r\n", i, i);
  snprintf (out + used, size - (size_t)used, "X-Model: m\r\n\r\n");
}

static void
test_many_headers (void)
{
  struct gatefixture fixture;
  char text[8192];
  char line[32];
  unsigned int i;

  begin (&fixture);
  write_headers (text, sizeof text, HTTPD_HEADERS_MAX);
  gatefixture_request (&fixture, text);
  CU_ASSERT_NSTRING_EQUAL (fixture.client.got, "HTTP/1.1 200 ", 13);
  for (i = OWN_HEADERS; i < HTTPD_HEADERS_MAX - 1; i++)
    {
      snprintf (line, sizeof line, "\r\nX-%u: %u\r\n", i, i);
      CU_ASSERT_PTR_NOT_NULL (strstr (last_request, line));
    }
  CU_ASSERT_PTR_NOT_NULL (strstr (last_request, "\r\nX-Model: m\r\n"));
  CU_ASSERT_EQUAL (upstream_requests (&fixture), 1);
  write_headers (text, sizeof text, HTTPD_HEADERS_MAX + 1);
  gatefixture_request (&fixture, text);
  CU_ASSERT_NSTRING_EQUAL (fixture.client.got, "HTTP/1.1 431 ", 13);
  CU_ASSERT_TRUE (gatefixture_run_until (&fixture, is_closed));
  CU_ASSERT_EQUAL (upstream_requests (&fixture), 1);
  gatefixture_finish (&fixture);
}

/* libevhtp waits for ever behind the one, and leaves the value of the other
   NULL. */
static void
test_extensions_and_trailers (void)
{
  static const char *const requests[] = {
    CHUNKED "\r\n3;a=b\r\nabc\r\n0\r\n\r\n",
    CHUNKED "\r\n3 ; a=\"b;\"\r\nabc\r\n0;last\r\n\r\n",
    CHUNKED "\r\n3\r\nabc\r\n0\r\nX-Own: b\r\nX-Tenant: c\r\n\r\n",
    CHUNKED "\r\n3\r\nabc\r\n0\r\nX-Resumes: b\r\nX-Model: c\r\n\r\n",
    CHUNKED "\r\n0003;a\r\nabc\r\n000;b\r\nX-Resumes:\r\n\r\n",
  };
  struct gatefixture fixture;
  size_t i;

  begin (&fixture);
  platclient_init (&fixture.client, fixture.base,
                   httpd_port (fixture.gateway.httpd));
  for (i = 0; i < COUNT (requests); i++)
    {
      gatefixture_request (&fixture, requests[i]);
      CU_ASSERT_PTR_NOT_NULL (strstr (fixture.client.got, "HTTP/1.1 200 "));
      CU_ASSERT_PTR_NOT_NULL (strstr (last_request, "\r\n\r\nabc"));
      CU_ASSERT_PTR_NULL (strstr (last_request, "X-Own"));
      CU_ASSERT_PTR_NULL (strstr (last_request, "X-Model"));
      CU_ASSERT_PTR_NULL (strstr (last_request, "X-Resumes"));
      CU_ASSERT_PTR_NULL (strstr (last_request, "X-Tenant: c"));
      CU_ASSERT_EQUAL (upstream_requests (&fixture), i + 1);
    }
  gatefixture_finish (&fixture);
}

static bool
is_answered (const struct gatefixture *fixture)
{
  return fixture->client.closed || platclient_answered (&fixture->client);
}

/* Sends a request in two parts on the connection that is open. */
static void
send_parts (struct gatefixture *fixture, const char *request, size_t size)
{
  char part[1024];

  platclient_reset (&fixture->client);
  snprintf (part, sizeof part, "%.*s", (int)size, request);
  platclient_send (&fixture->client, part);
  gatefixture_run (fixture, 1);
  platclient_send (&fixture->client, request + size);
  gatefixture_run_until (fixture, is_answered);
}

static void
test_cut_anywhere (void)
{
  static const char *const requests[] = {
    "X-METHOD /once/note?a=b HTTP/1.1\r\n" HEADERS
    "X-Own: 1\r\nContent-Length: 5\r\n\r\nhello",
    "X-METHOD /once/note?a=b HTTP/1.1\r\n" HEADERS
    "X-Own: 1\r\nTransfer-Encoding: chunked\r\n\r\n3;a=b\r\nhel\r\n2\r\nlo\r\n"
    "0\r\nX-A: b\r\n\r\n",
  };
  struct gatefixture fixture;
  unsigned int sent = 0;
  size_t size;
  size_t i;

  begin (&fixture);
  platclient_init (&fixture.client, fixture.base,
                   httpd_port (fixture.gateway.httpd));
  for (i = 0; i < COUNT (requests); i++)
    for (size = 1; size < strlen (requests[i]); size++)
      {
        send_parts (&fixture, requests[i], size);
        CU_ASSERT_NSTRING_EQUAL (fixture.client.got, "HTTP/1.1 200 ", 13);
        CU_ASSERT_NSTRING_EQUAL (last_request,
                                 "X-METHOD /once/note?a=b HTTP/1.1\r\n", 34);
        CU_ASSERT_PTR_NOT_NULL (strstr (last_request, "\r\nX-Own: 1\r\n"));
        CU_ASSERT_PTR_NOT_NULL (strstr (last_request, "\r\n\r\nhello"));
        CU_ASSERT_PTR_NULL (strstr (last_request, "X-A: b"));
        CU_ASSERT_EQUAL (upstream_requests (&fixture), ++sent);
      }
  gatefixture_finish (&fixture);
}

static bool
is_answered_twice (const struct gatefixture *fixture)
{
  const char *got = fixture->client.got;

  return fixture->client.closed
         || (count_text (got, "HTTP/1.1 ") == 2
             && strstr (got, "\r\n\r\n") != NULL);
}

/* The request behind one that is answered at once gets the same checks. */
static void
test_behind_another (void)
{
  static const char first[] = "GET /nowhere/ HTTP/1.1\r\n" HEADERS "\r\n";
  static const struct
  {
    const char *request;
    const char *status;
  } seconds[] = {
    { "X-METHOD /again/ HTTP/1.1\r\n" HEADERS "\r\n", "HTTP/1.1 200 " },
    { "GET /again/ HTTP/1.1\r\n" HEADERS "X-Tenant : b\r\n\r\n",
      "HTTP/1.1 400 " },
    { POST "Content-Length : " INNER_SIZE "\r\n\r\n" INNER, "HTTP/1.1 400 " },
  };
  struct gatefixture fixture;
  char text[1024];
  size_t i;

  begin (&fixture);
  for (i = 0; i < COUNT (seconds); i++)
    {
      platclient_finish (&fixture.client);
      platclient_init (&fixture.client, fixture.base,
                       httpd_port (fixture.gateway.httpd));
      snprintf (text, sizeof text, "%s%s", first, seconds[i].request);
      platclient_send (&fixture.client, text);
      CU_ASSERT_TRUE (gatefixture_run_until (&fixture, is_answered_twice));
      CU_ASSERT_NSTRING_EQUAL (fixture.client.got, "HTTP/1.1 404 ", 13);
      CU_ASSERT_PTR_NOT_NULL (strstr (fixture.client.got, seconds[i].status));
      CU_ASSERT_EQUAL (count_text (fixture.client.got, "HTTP/1.1 "), 2);
    }
  CU_ASSERT_EQUAL (upstream_requests (&fixture), 1);
  gatefixture_finish (&fixture);
}

static const struct suite_test tests[] = {
  { "a request inside another one's body is run", test_refused },
  { "headers above a number are dropped", test_many_headers },
  { "trailers of chunks are null pointers", test_extensions_and_trailers },
  { "requests in two parts, cut at each byte", test_cut_anywhere },
  { "a request behind another is not checked", test_behind_another },
};

SUITE_MAIN ("test_smuggled_requests", tests)
