/**
 * @file test_version_order.c
 * End-to-end tests of versions of the configuration, and of builds of
 * upstreams, whose numbers a double rounds to the same one.
 */
#include "../platform/entries.h"
#include "support/gatefixture.h"
#include "support/suite.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define COUNT(array) (sizeof (array) / sizeof ((array)[0]))

/** In rising order. */
static const char *const versions[] = {
  "2",
  "2.25",
  "2.5",
  "9007199254740992",
  "9007199254740993",
  "1765058400123456789",
  "1765058400123456850",
  "1765058400123456851",
  "9223372036854775807",
  "9223372036854775808",
  "18446744073709551615",
  "18446744073709551616",
  "20261207025452123456",
  "20261207025452123457",
  "1e25",
  "10000000000000000000000001",
};

static size_t current;

/* Writes a version with one key, "own-INDEX". */
static void
put_version (struct gatefixture *fixture, size_t index)
{
  static const char first[] = "{\"version\":1,";
  char key[32];
  char text[4096];
  const char *rest;

  snprintf (key, sizeof key, "\"own-%zu\"", index);
  gatefixture_configure (fixture, 1, key, "s2");
  rest = storeserver_get (&fixture->store, "op/config") + strlen (first);
  snprintf (text, sizeof text, "{\"version\":%s ,%s", versions[index], rest);
  storeserver_put (&fixture->store, "op/config", text);
}

static int
request_status (struct gatefixture *fixture, size_t index)
{
  char text[512];

  snprintf (text, sizeof text,
            "GET /again/ HTTP/1.1\r\nHost: shop.example\r\n"
            "X-Attempt-Id: id-1\r\nX-Credential: own-%zu\r\n\r\n",
            index);
  gatefixture_request (fixture, text);
  return atoi (fixture->client.got + strlen ("HTTP/1.1 "));
}

static bool
is_current (const struct gatefixture *fixture)
{
  return gateway_ready (&fixture->gateway)
         && strcmp (fixture->gateway.routing->version, versions[current]) == 0;
}

/* Guards against a version that is dropped as not newer, so that a key that
   it takes away goes on for good; and against an older one that comes back. */
static void
test_near_versions (void)
{
  struct gatefixture fixture;
  size_t i;

  gatefixture_init (&fixture, true);
  for (i = 1; i < COUNT (versions); i++)
    {
      current = i;
      put_version (&fixture, i);
      if (!gatefixture_run_until (&fixture, is_current)
          || request_status (&fixture, i) != 200
          || request_status (&fixture, i - 1) != 401)
        {
          printf ("%s after %s\n", versions[i], versions[i - 1]);
          CU_FAIL ("a newer version is not in effect");
        }
      put_version (&fixture, i - 1);
      gatefixture_run (&fixture, 50);
      CU_ASSERT_EQUAL (request_status (&fixture, i), 200);
    }
  gatefixture_finish (&fixture);
}

/* A gateway that starts while such a version is the newest one. */
static void
test_start_with_large_version (void)
{
  struct gatefixture fixture;
  size_t i;

  for (i = 1; i < COUNT (versions); i++)
    {
      gatefixture_init (&fixture, false);
      current = i;
      put_version (&fixture, i);
      CU_ASSERT_TRUE (gatefixture_run_until (&fixture, is_current));
      CU_ASSERT_EQUAL (request_status (&fixture, i), 200);
      gatefixture_finish (&fixture);
    }
}

static const char *const not_versions[]
    = { "-1", "\"7\"", "null", "[7]", "07", "7e", "1 2", "" };

static void
test_malformed_versions (void)
{
  char reason[ADAPTER_REASON_SIZE];
  struct routing *routing = NULL;
  char text[64];
  size_t i;

  for (i = 0; i < COUNT (not_versions); i++)
    {
      snprintf (text, sizeof text, "{\"version\":%s}", not_versions[i]);
      CU_ASSERT_NOT_EQUAL (
          entries_read_config (text, strlen (text), &routing, reason), 0);
      CU_ASSERT_PTR_NOT_NULL (strstr (reason, "version"));
    }
  CU_ASSERT_NOT_EQUAL (
      entries_read_config ("{\"version\":7\0}", 14, &routing, reason), 0);
}

/* Numbers that do not fit count as the largest one: the rest of the version
   is in order. */
static void
test_large_numbers (void)
{
  static const char text[]
      = "{\"version\":3,\"limits\":{\"tokens_per_s\":99999999999999999999,"
        "\"max_body_bytes\":1e30},\"services\":[{\"name\":\"s\","
        "\"engine\":{\"slots\":8,"
        "\"kv_capacity_tokens\":9007199254740993}},"
        "{\"name\":\"t\",\"max_connections\":99999999999999999999}],"
        "\"tenants\":[{\"name\":\"t\",\"api_keys\":[\"k\"],"
        "\"priority\":99999999999999999999}]}";
  char reason[ADAPTER_REASON_SIZE];
  struct routing *routing = NULL;

  CU_ASSERT_EQUAL_FATAL (
      entries_read_config (text, strlen (text), &routing, reason), 0);
  CU_ASSERT_EQUAL (routing->limits.tokens_per_s, INT64_MAX);
  CU_ASSERT_EQUAL (routing->limits.body_bytes_max, UINT32_MAX);
  CU_ASSERT_EQUAL (routing->services[1].connections_max, UINT32_MAX);
  CU_ASSERT_EQUAL (routing->services[0].kv_cache_tokens, 9007199254740993);
  CU_ASSERT_TRUE (routing->customers[0].has_priority);
  CU_ASSERT_EQUAL (routing->customers[0].priority, UINT32_MAX);
  routing_release (routing);
}

static const char *const builds[] = {
  "1765058400123456789",     "1765058400123456850",   "20261207025452123456",
  "20261207025452123457",    "1765058400.1234567891", "1765058400.1234567892",
  "\"1765058400123456789\"",
};

static void
read_build (const char *number, char build[REGISTRY_BUILD_SIZE])
{
  struct registry_record record;
  char reason[ADAPTER_REASON_SIZE];
  char text[512];

  snprintf (text, sizeof text,
            "{\"service\":\"s\",\"address\":\"127.0.0.1:9\",\"zone\":\"za\","
            "\"version\":%s ,\"slots\":8,\"state\":\"ready\",\"sequence\":1,"
            "\"born\":1760000000123}",
            number);
  CU_ASSERT_EQUAL (
      entries_read_upstream (text, strlen (text), &record, reason), 0);
  CU_ASSERT_EQUAL (record.start_ms, 1760000000123);
  memcpy (build, record.build, REGISTRY_BUILD_SIZE);
}

/* Guards against two builds that count as one, whose events may not be in one
   stream. */
static void
test_near_builds (void)
{
  char left[REGISTRY_BUILD_SIZE];
  char right[REGISTRY_BUILD_SIZE];
  size_t i;

  for (i = 0; i + 1 < COUNT (builds); i++)
    {
      read_build (builds[i], left);
      read_build (builds[i + 1], right);
      CU_ASSERT_STRING_NOT_EQUAL (left, right);
    }
}

static const struct suite_test tests[] = {
  { "newer version counts as not newer", test_near_versions },
  { "start with a large version", test_start_with_large_version },
  { "malformed versions", test_malformed_versions },
  { "numbers beyond 64 bits", test_large_numbers },
  { "two builds count as one", test_near_builds },
};

SUITE_MAIN ("test_version_order", tests)
