/**
 * @file test_broken_responses.c
 * End-to-end tests of upstreams whose responses break off or are malformed:
 * what a client gets does not look complete, and holds nothing else.
 */
#include "support/gatefixture.h"
#include "support/suite.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#define COUNT(array) (sizeof (array) / sizeof ((array)[0]))

#define ROUTE_TIMEOUT_MS 600 /* of the fixture's routes */

#define REQUEST_HEADERS                                                       \
  "Host: shop.example\r\nX-Attempt-Id: id-1\r\n"                              \
  "X-Deadline-Remaining-Ms: 5000\r\nX-Credential: key-1\r\n"                  \
  "Content-Length: 0\r\n\r\n"
#define RESUMABLE "POST /resume/z HTTP/1.1\r\n" REQUEST_HEADERS

/* Of responses. */
#define HEADERS "X-Attempt-Id: id-1\r\nX-Worker-Signature: sig-b\r\n"
#define OK      "HTTP/1.1 200 OK\r\n" HEADERS
#define STREAM  OK "Content-Type: text/event-stream\r\n"
#define CHUNKED "Transfer-Encoding: chunked\r\n\r\n"
#define BODY    "hello"

/** What a client has got. */
struct received
{
  int status; /**< 0: no complete head */
  bool complete;
  char body[UPSTREAMSERVER_MESSAGE_SIZE];
  size_t size; /**< of the body */
};

/* Reads chunks.  @return whether the last one has come, and nothing after
   it. */
static bool
read_chunks (const char *text, const char *end, struct received *received)
{
  char *data;
  size_t size;

  while (text < end)
    {
      size = strtoul (text, &data, 16);
      if (data == text || data + 2 > end || strncmp (data, "\r\n", 2) != 0)
        return false;
      data += 2;
      if (size == 0)
        return data + 2 == end && strncmp (data, "\r\n", 2) == 0;
      if (size + 2 > (size_t)(end - data))
        return false;
      memcpy (received->body + received->size, data, size);
      received->size += size;
      text = data + size + 2;
    }
  return false;
}

static void
read_received (const struct platclient *client, struct received *received)
{
  const char *end = client->got + client->size;
  const char *body = strstr (client->got, "\r\n\r\n");
  char length[32];

  memset (received, 0, sizeof *received);
  if (body == NULL)
    return;
  body += 4;
  received->status = atoi (client->got + strlen ("HTTP/1.1 "));
  upstreamserver_get_header (client->got, "Content-Length", length,
                             sizeof length);
  if (length[0] == '\0')
    {
      received->complete = read_chunks (body, end, received);
      return;
    }
  received->size = (size_t)(end - body);
  memcpy (received->body, body, received->size);
  received->complete = received->size == strtoul (length, NULL, 10);
}

/* A fixture whose second upstream does not take part. */
static void
fixture_init (struct gatefixture *fixture)
{
  gatefixture_init (fixture, true);
  fixture->upstreams[0].behaviour = UPSTREAMSERVER_SCRIPT;
  fixture->upstreams[1].behaviour = UPSTREAMSERVER_REJECT;
}

/* Each request has another path: the gateway holds back a request that breaks
   upstreams. */
static void
request_script (struct gatefixture *fixture, const char *prefix,
                const char *script, size_t size, enum upstreamserver_end end,
                struct received *received)
{
  static unsigned int number;
  struct upstreamserver *upstream = &fixture->upstreams[0];
  unsigned int requests = upstream->requests;
  char request[512];

  upstream->script = script;
  upstream->script_size = size;
  upstream->script_end = end;
  snprintf (request, sizeof request, "POST %s%u HTTP/1.1\r\n" REQUEST_HEADERS,
            prefix, number++);
  gatefixture_request (fixture, request);
  CU_ASSERT_EQUAL (upstream->requests, requests + 1);
  read_received (&fixture->client, received);
}

static const struct
{
  const char *name;
  const char *prefix;
  const char *response;
  const char *body;
} framings[] = {
  { "length", "/once/", OK "Content-Length: 5\r\n\r\n" BODY, BODY },
  { "chunks", "/once/", OK CHUNKED "2\r\nhe\r\n3\r\nllo\r\n0\r\n\r\n", BODY },
  { "long length", "/stream/",
    STREAM "Content-Length: 16\r\n\r\nid: 1\ndata: e1\n\n",
    "id: 1\ndata: e1\n\n" },
  { "stream", "/stream/",
    STREAM CHUNKED "10\r\nid: 1\ndata: e1\n\n\r\n0\r\n\r\n",
    "id: 1\ndata: e1\n\n" },
  { "close", "/once/", OK "\r\n" BODY, BODY },
};

/* An upstream stops at some byte of its response, and closes or resets the
   connection.  Guards against a 200 with an empty or a short body that is
   framed as whole. */
static void
check_cut (struct gatefixture *fixture, size_t i, size_t cut,
           enum upstreamserver_end end)
{
  const char *response = framings[i].response;
  const char *body = strstr (response, "\r\n\r\n") + 4;
  const bool in_head = cut < (size_t)(body - response);
  const bool close_delimited = strcmp (framings[i].name, "close") == 0;
  /* Only the close tells where such a body ends. */
  const bool may_be_whole
      = close_delimited && !in_head && end == UPSTREAMSERVER_END_CLOSE;
  struct received received;

  request_script (fixture, framings[i].prefix, response, cut, end, &received);
  if ((in_head && received.status / 100 == 2)
      || (received.status / 100 == 2 && received.complete && !may_be_whole))
    {
      printf ("%s cut at %zu, end %d: %s\n", framings[i].name, cut, (int)end,
              fixture->client.got);
      CU_FAIL ("a response that broke off looks complete");
    }
  if (received.status / 100 == 2)
    CU_ASSERT_EQUAL (strncmp (received.body, framings[i].body, received.size),
                     0);
}

static void
test_cut_responses (void)
{
  struct gatefixture fixture;
  size_t i;
  size_t cut;

  fixture_init (&fixture);
  for (i = 0; i < COUNT (framings); i++)
    for (cut = 0; cut < strlen (framings[i].response); cut++)
      {
        check_cut (&fixture, i, cut, UPSTREAMSERVER_END_CLOSE);
        check_cut (&fixture, i, cut, UPSTREAMSERVER_END_RESET);
      }
  gatefixture_finish (&fixture);
}

/* The same responses whole. */
static void
test_whole_responses (void)
{
  struct gatefixture fixture;
  struct received received;
  size_t i;

  fixture_init (&fixture);
  for (i = 0; i < COUNT (framings); i++)
    {
      request_script (&fixture, framings[i].prefix, framings[i].response,
                      strlen (framings[i].response), UPSTREAMSERVER_END_CLOSE,
                      &received);
      CU_ASSERT_EQUAL (received.status, 200);
      CU_ASSERT_TRUE (received.complete);
      CU_ASSERT_STRING_EQUAL (received.body, framings[i].body);
    }
  gatefixture_finish (&fixture);
}

/** Heads that two readers may take for different ones. */
static const struct
{
  const char *name;
  const char *response;
} malformed[] = {
  { "coding with a space beside a length",
    OK "Transfer-Encoding : chunked\r\nContent-Length: 5\r\n\r\n" BODY },
  { "folded length", OK "X-A: b\r\n Content-Length: 2\r\n\r\nhello" },
  { "folded line beside a length",
    OK "X-A: b\r\n c: d\r\nContent-Length: 5\r\n\r\n" BODY },
  { "folded first line",
    "HTTP/1.1 200 OK\r\n X: a\r\n" HEADERS "Content-Length: 5\r\n\r\n" BODY },
  { "name with parentheses", OK "X-(a): b\r\nContent-Length: 5\r\n\r\n" BODY },
  { "name with a high byte",
    OK "X-\x80: b\r\nContent-Length: 5\r\n\r\n" BODY },
  { "no name", OK ": b\r\nContent-Length: 5\r\n\r\n" BODY },
  { "no colon", OK "X-A\r\nContent-Length: 5\r\n\r\n" BODY },
  { "control character in a value",
    OK "X-A: b\x01\r\nContent-Length: 5\r\n\r\n" BODY },
  { "carriage return in a value",
    OK "X-A: b\rX-B: c\r\nContent-Length: 5\r\n\r\n" BODY },
  { "line feed alone", OK "X-A: b\nX-B: c\r\nContent-Length: 5\r\n\r\n" BODY },
  { "line feed alone at the end", OK "Content-Length: 5\r\n\n" BODY },
  { "two lengths", OK "Content-Length: 2\r\nContent-Length: 5\r\n\r\n" BODY },
  { "length and chunks",
    OK "Content-Length: 5\r\n" CHUNKED "5\r\n" BODY "\r\n0\r\n\r\n" },
  { "length with a sign", OK "Content-Length: +5\r\n\r\n" BODY },
  { "length that overflows",
    OK "Content-Length: 18446744073709551621\r\n\r\n" BODY },
  { "another coding",
    OK "Transfer-Encoding: gzip, chunked\r\n\r\n5\r\n" BODY "\r\n0\r\n\r\n" },
  { "chunk size that overflows",
    OK CHUNKED "2\r\nhe\r\n10000000000000000\r\n\r\n" },
  { "chunk size with a sign", OK CHUNKED "+5\r\n" BODY "\r\n0\r\n\r\n" },
  { "chunk size without digits", OK CHUNKED "2\r\nhe\r\n\r\n\r\n" },
  { "chunk longer than its size", OK CHUNKED "2\r\nhello\r\n0\r\n\r\n" },
  { "no status", "HTTP/1.1  OK\r\n" HEADERS "Content-Length: 5\r\n\r\n" BODY },
  { "status of four digits",
    "HTTP/1.1 2000 OK\r\n" HEADERS "Content-Length: 5\r\n\r\n" BODY },
  { "another protocol",
    "ICY/1.1 200 OK\r\n" HEADERS "Content-Length: 5\r\n\r\n" BODY },
};

/* With these a client would wait until its deadline, or get a status that is
   none. */
static const char *const bad_statuses[] = {
  "000",  "001",  "099",  "600",  "700", "999", "1000", "1010",
  "1030", "1999", "0100", "0200", "10",  "1",   "",     "+20",
  "-20",  "0x1",  "1 0",  "20x",  "10x", "1e2",
};

/* A status that is no status must end the request at once, as failed, on both
   interfaces to upstreams. */
static void
test_bad_statuses (void)
{
  struct gatefixture fixture;
  struct received received;
  char script[512];
  uint64_t start_ns;
  size_t i;

  for (i = 0; i < COUNT (bad_statuses); i++)
    {
      fixture_init (&fixture);
      snprintf (script, sizeof script,
                "HTTP/1.1 %s OK\r\n" HEADERS "Content-Length: 5\r\n\r\n" BODY,
                bad_statuses[i]);
      start_ns = gateway_now_ns (&fixture.gateway);
      request_script (&fixture, "/once/", script, strlen (script),
                      UPSTREAMSERVER_END_OPEN, &received);
      if (received.status != 502
          || strstr (fixture.client.got, "X-Worker-Signature") != NULL
          || gateway_now_ns (&fixture.gateway) - start_ns
                 > ROUTE_TIMEOUT_MS * CLOCK_NS_PER_MS)
        {
          printf ("status %s: %s\n", bad_statuses[i], fixture.client.got);
          CU_FAIL ("a status that is none was taken for one");
        }
      gatefixture_finish (&fixture);
    }
}

#define INTERIM "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n"
#define WHOLE   OK "Content-Length: 5\r\n\r\n" BODY

/** Interim responses before the final one. */
static const struct
{
  const char *script;
  bool valid;
} interims[] = {
  { INTERIM WHOLE, true },
  { "HTTP/1.1 100 Continue\r\n\r\n" INTERIM WHOLE, true },
  { "HTTP/1.1 100\r\n\r\n" WHOLE, true },
  { "HTTP/1.1 199 Odd\r\n\r\n" WHOLE, true },
  { "HTTP/1.1 101 Switching\r\n\r\n" WHOLE, false },
  { "HTTP/1.1 1000 Odd\r\n\r\n" WHOLE, false },
  { "HTTP/1.1 100Continue\r\n\r\n" WHOLE, false },
  { "HTTP/1.1 103 Early\nLink: a\r\n\r\n" WHOLE, false },
  { "HTTP/1.1 103 Early\r\nno header\r\n\r\n" WHOLE, false },
  { "HTTP/1.1 103 Early\r\n\r\n\r\n" WHOLE, false },
};

/* They are read as strictly as final ones, in parts of any size. */
static void
test_interim_responses (void)
{
  struct gatefixture fixture;
  struct received received;
  size_t size;
  size_t i;

  for (i = 0; i < COUNT (interims); i++)
    {
      size = strlen (interims[i].script);
      gatefixture_init (&fixture, true);
      fixture.upstreams[0].behaviour = UPSTREAMSERVER_SCRIPT;
      fixture.upstreams[1].behaviour = UPSTREAMSERVER_REJECT;
      for (fixture.upstreams[0].script_pause = 0;
           fixture.upstreams[0].script_pause < size;
           fixture.upstreams[0].script_pause += 3)
        {
          request_script (&fixture, "/once/", interims[i].script, size,
                          UPSTREAMSERVER_END_CLOSE, &received);
          if (received.status != (interims[i].valid ? 200 : 502))
            {
              printf ("%s: %s\n", interims[i].script, fixture.client.got);
              CU_FAIL ("an interim response was misread");
            }
        }
      gatefixture_finish (&fixture);
    }
}

/* The same cause as that of a request inside another one's body, on the way
   back: a header that one reader knows and the next one does not. */
static void
test_malformed_responses (void)
{
  struct gatefixture fixture;
  struct received received;
  size_t i;

  for (i = 0; i < COUNT (malformed); i++)
    {
      fixture_init (&fixture);
      request_script (&fixture, "/once/", malformed[i].response,
                      strlen (malformed[i].response), UPSTREAMSERVER_END_CLOSE,
                      &received);
      if (received.status / 100 == 2 && received.complete)
        {
          printf ("%s: %s\n", malformed[i].name, fixture.client.got);
          CU_FAIL ("a malformed response was forwarded as complete");
        }
      gatefixture_finish (&fixture);
    }
}

/** Heads with white space before a colon, and the body that they frame. */
static const struct
{
  const char *name;
  const char *response;
  const char *body;
} spaced[] = {
  { "space before the colon of a length", OK "Content-Length : 2\r\n\r\nhello",
    "he" },
  { "tab before the colon of a length", OK "Content-Length\t: 2\r\n\r\nhello",
    "he" },
  { "space before the colon of a coding",
    OK "Transfer-Encoding : chunked\r\n\r\n2\r\nhe\r\n0\r\n\r\n", "he" },
  { "space before another colon",
    OK "X-A \t : b\r\nContent-Length: 2\r\n\r\nhe", "he" },
};

/* Such a header counts as the one that it names, and does not reach the client
   as it is. */
static void
test_spaces_before_colon (void)
{
  struct gatefixture fixture;
  struct received received;
  size_t i;

  for (i = 0; i < COUNT (spaced); i++)
    {
      fixture_init (&fixture);
      request_script (&fixture, "/once/", spaced[i].response,
                      strlen (spaced[i].response), UPSTREAMSERVER_END_CLOSE,
                      &received);
      CU_ASSERT_EQUAL (received.status, 200);
      CU_ASSERT_TRUE (received.complete);
      CU_ASSERT_STRING_EQUAL (received.body, spaced[i].body);
      CU_ASSERT_PTR_NULL (strstr (fixture.client.got, " :"));
      CU_ASSERT_PTR_NULL (strstr (fixture.client.got, "\t:"));
      gatefixture_finish (&fixture);
    }
}

/** How another upstream answers a stream that is to go on after event 2. */
static const struct
{
  const char *name;
  const char *response;
} continuations[] = {
  { "error with a length",
    "HTTP/1.1 500 Failed\r\n" HEADERS "Content-Length: 8\r\n\r\nfailed\n\n" },
  { "error in chunks",
    "HTTP/1.1 500 Failed\r\n" HEADERS CHUNKED "8\r\nfailed\n\n\r\n0\r\n\r\n" },
  { "error until the end",
    "HTTP/1.1 500 Failed\r\n" HEADERS "\r\nfailed\n\n" },
  { "error without a body",
    "HTTP/1.1 500 Failed\r\n" HEADERS "Content-Length: 0\r\n\r\n" },
  { "not found",
    "HTTP/1.1 404 No\r\n" HEADERS "Content-Length: 8\r\n\r\nfailed\n\n" },
  { "refusal", "HTTP/1.1 503 Full\r\n" HEADERS "X-Not-Executed: 1\r\n"
               "Content-Length: 8\r\n\r\nfailed\n\n" },
  { "no content", "HTTP/1.1 204 No\r\n" HEADERS "\r\n" },
  { "not modified", "HTTP/1.1 304 No\r\n" HEADERS "\r\n" },
  { "moved",
    "HTTP/1.1 302 Moved\r\n" HEADERS "Content-Length: 8\r\n\r\nfailed\n\n" },
  { "another content type",
    OK "Content-Type: text/html\r\nContent-Length: 8\r\n\r\nfailed\n\n" },
  { "no content type", OK "Content-Length: 8\r\n\r\nfailed\n\n" },
  { "no signature",
    "HTTP/1.1 200 OK\r\nX-Attempt-Id: id-1\r\n"
    "Content-Type: text/event-stream\r\nContent-Length: 8\r\n\r\nfailed\n\n" },
  { "head cut", "HTTP/1.1 500 Failed\r\n" HEADERS "Content-Le" },
  { "status line cut", "HTTP/1.1 500 Fai" },
  { "malformed head", "failed\n\n" },
  { "error cut",
    "HTTP/1.1 500 Failed\r\n" HEADERS "Content-Length: 80\r\n\r\nfailed\n\n" },
};

#define FIRST_EVENTS "id: 1\ndata: e1\n\nid: 2\ndata: e2\n\n"

/* A stream breaks off, and the next upstream answers with an error.  Guards
   against the error's text in the middle of the stream, and against a stream
   that ends as if it were complete. */
static void
test_continued_with_error (void)
{
  struct gatefixture fixture;
  struct received received;
  size_t i;

  for (i = 0; i < COUNT (continuations); i++)
    {
      gatefixture_init (&fixture, true);
      fixture.upstreams[0].behaviour = UPSTREAMSERVER_STREAM_RESET;
      fixture.upstreams[1].behaviour = UPSTREAMSERVER_SCRIPT;
      fixture.upstreams[1].script = continuations[i].response;
      fixture.upstreams[1].script_size = strlen (continuations[i].response);
      fixture.upstreams[1].script_end = UPSTREAMSERVER_END_CLOSE;
      gatefixture_request (&fixture, RESUMABLE);
      CU_ASSERT_EQUAL (fixture.upstreams[1].requests, 1);
      read_received (&fixture.client, &received);
      if (received.complete || !fixture.client.closed
          || strcmp (received.body, FIRST_EVENTS) != 0
          || strstr (fixture.client.got, "failed") != NULL)
        {
          printf ("%s: %s\n", continuations[i].name, fixture.client.got);
          CU_FAIL ("an error was forwarded as a part of the stream");
        }
      gatefixture_finish (&fixture);
    }
}

#define THIRD_EVENT "id: 3\ndata: e3\n\n"

/** A stream with a length of 64 bytes, as of events 1 to 4, that goes on with
    another one's length. */
static const struct
{
  const char *name;
  const char *continuation;
  bool complete;
} lengths[] = {
  { "as promised", "id: 3\ndata: e3\n\nid: 4\ndata: e4\n\n", true },
  { "shorter", THIRD_EVENT, false },
  { "longer", "id: 3\ndata: e3\n\nid: 4\ndata: e4\n\nid: 5\ndata: e5\n\n",
    false },
};

/* Guards against a stream whose parts are not as long as its head says: bytes
   that belong to no response, or a client that waits for the rest. */
static void
test_continued_length (void)
{
  struct gatefixture fixture;
  struct received received;
  char second[512];
  size_t i;

  for (i = 0; i < COUNT (lengths); i++)
    {
      gatefixture_init (&fixture, true);
      fixture.upstreams[0].behaviour = UPSTREAMSERVER_SCRIPT;
      fixture.upstreams[0].script
          = STREAM "Content-Length: 64\r\n\r\n" FIRST_EVENTS "id: 3";
      fixture.upstreams[0].script_size = strlen (fixture.upstreams[0].script);
      fixture.upstreams[0].script_end = UPSTREAMSERVER_END_CLOSE;
      snprintf (second, sizeof second, STREAM "Content-Length: %zu\r\n\r\n%s",
                strlen (lengths[i].continuation), lengths[i].continuation);
      fixture.upstreams[1].behaviour = UPSTREAMSERVER_SCRIPT;
      fixture.upstreams[1].script = second;
      fixture.upstreams[1].script_size = strlen (second);
      gatefixture_request (&fixture, RESUMABLE);
      gatefixture_run (&fixture, 50);
      CU_ASSERT_EQUAL (fixture.upstreams[1].requests, 1);
      read_received (&fixture.client, &received);
      if (received.complete != lengths[i].complete || received.size > 64
          || (!lengths[i].complete && !fixture.client.closed))
        {
          printf ("%s: %s\n", lengths[i].name, fixture.client.got);
          CU_FAIL ("a stream is not as long as its head says");
        }
      gatefixture_finish (&fixture);
    }
}

/* A stream breaks off behind its head, or within its first event: nothing of
   it is of use to the client.  Guards against a connection that is closed with
   no response; a stream that may go on elsewhere begins there. */
static void
test_broken_before_first_event (void)
{
  static const char *const scripts[] = {
    STREAM CHUNKED,
    STREAM CHUNKED "5\r\nid: 1\r\n",
    STREAM "Content-Length: 16\r\n\r\n",
    STREAM "Content-Length: 16\r\n\r\nid: 1\nda",
  };
  static const enum upstreamserver_end ends[]
      = { UPSTREAMSERVER_END_CLOSE, UPSTREAMSERVER_END_RESET };
  struct gatefixture fixture;
  struct received received;
  size_t i;
  size_t end;

  for (i = 0; i < COUNT (scripts); i++)
    for (end = 0; end < COUNT (ends); end++)
      {
        fixture_init (&fixture);
        request_script (&fixture, "/stream/", scripts[i], strlen (scripts[i]),
                        ends[end], &received);
        CU_ASSERT_EQUAL (received.status, 502);
        CU_ASSERT_TRUE (received.complete);
        gatefixture_finish (&fixture);

        fixture_init (&fixture);
        fixture.upstreams[1].behaviour = UPSTREAMSERVER_STREAM;
        request_script (&fixture, "/resume/", scripts[i], strlen (scripts[i]),
                        ends[end], &received);
        CU_ASSERT_EQUAL (received.status, 200);
        CU_ASSERT_TRUE (received.complete);
        CU_ASSERT_PTR_NOT_NULL (strstr (received.body, "id: 4"));
        gatefixture_finish (&fixture);
      }
}

/* Bytes of a stream that the client has not read yet when the stream breaks
   off: it gets them, and sees that the response is incomplete. */
static void
test_broken_keeps_events (void)
{
  static const char script[] = STREAM CHUNKED "10\r\nid: 1\ndata: e1\n\n\r\n";
  struct gatefixture fixture;
  struct received received;

  fixture_init (&fixture);
  request_script (&fixture, "/stream/", script, strlen (script),
                  UPSTREAMSERVER_END_RESET, &received);
  CU_ASSERT_EQUAL (received.status, 200);
  CU_ASSERT_STRING_EQUAL (received.body, "id: 1\ndata: e1\n\n");
  CU_ASSERT_FALSE (received.complete);
  CU_ASSERT_TRUE (fixture.client.closed);
  CU_ASSERT_FALSE (fixture.client.reset);
  gatefixture_finish (&fixture);
}

static const struct suite_test tests[] = {
  { "whole responses", test_whole_responses },
  { "responses that break off", test_cut_responses },
  { "malformed responses", test_malformed_responses },
  { "status that is none", test_bad_statuses },
  { "interim responses", test_interim_responses },
  { "white space before a colon", test_spaces_before_colon },
  { "streams that go on with an error", test_continued_with_error },
  { "streams that go on with another length", test_continued_length },
  { "broken before the first event", test_broken_before_first_event },
  { "events before a break", test_broken_keeps_events },
};

SUITE_MAIN ("test_broken_responses", tests)
