/**
 * @file test_request_end.c
 * How much of a request that is not parsed is missing.
 */
#include "support/suite.h"
#include "transport/request_end.h"
#include <stdbool.h>
#include <stdio.h>
#include <string.h>

#define HEAD "POST /a HTTP/1.1\r\nHost: a\r\n"

static bool
is_whole (const char *text)
{
  return request_end_missing (text, strlen (text)) == 0;
}

/* No prefix of a request is whole, and none with more behind it. */
static void
test_parts (void)
{
  static const char *const requests[] = {
    "GET /a HTTP/1.1\r\nHost: a\r\n\r\n",
    HEAD "Content-Length: 5\r\n\r\nabcde",
    HEAD "content-length:\t5 \r\nX-A: b\r\n\r\n\r\n\r\n\r",
    HEAD "Content-Length: 0\r\n\r\n",
  };
  char more[128];
  size_t size;
  size_t i;

  for (i = 0; i < sizeof requests / sizeof *requests; i++)
    {
      CU_ASSERT_TRUE (is_whole (requests[i]));
      for (size = 0; size < strlen (requests[i]); size++)
        CU_ASSERT_NOT_EQUAL (request_end_missing (requests[i], size), 0);
      snprintf (more, sizeof more, "%sG", requests[i]);
      CU_ASSERT_FALSE (is_whole (more));
    }
}

/* Bytes whose end is not certain are never whole. */
static void
test_uncertain (void)
{
  static const char *const requests[] = {
    HEAD "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
    HEAD "transfer-encoding:x\r\nContent-Length: 0\r\n\r\n",
    HEAD "Content-Length: 1\r\nContent-Length: 1\r\n\r\na",
    HEAD "Content-Length: 1, 1\r\n\r\na",
    HEAD "Content-Length: -1\r\n\r\na",
    HEAD "Content-Length:\r\n\r\n",
    HEAD "Content-Length: 18446744073709551617\r\n\r\na",
    "GET /a HTTP/1.1\nHost: a\n\n",
    "\r\n\r",
    "\r\n\r\n",
    "",
  };
  size_t i;

  for (i = 0; i < sizeof requests / sizeof *requests; i++)
    CU_ASSERT_EQUAL (request_end_missing (requests[i], strlen (requests[i])),
                     REQUEST_END_UNKNOWN);
}

/* The head has arrived, and a part of the body. */
static void
test_missing (void)
{
  static const char head[] = HEAD "Content-Length: 100000\r\n\r\n";
  static const char part[] = HEAD "Content-Length: 100000\r\n\r\nabc";

  CU_ASSERT_EQUAL (request_end_missing (head, sizeof head - 1), 100000);
  CU_ASSERT_EQUAL (request_end_missing (part, sizeof part - 1), 99997);
  CU_ASSERT_EQUAL (request_end_missing (head, sizeof head - 2),
                   REQUEST_END_UNKNOWN);
}

static const struct suite_test tests[] = {
  { "parts", test_parts },
  { "uncertain", test_uncertain },
  { "missing", test_missing },
};

SUITE_MAIN ("test_request_end", tests)
