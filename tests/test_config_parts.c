/**
 * @file test_config_parts.c
 * Large versions of the configuration: clients are served while one is read,
 * and the newest that has come takes effect.
 */
#include "gateway/discovery.h"
#include "gateway/gateway_config.h"
#include "support/gatefixture.h"
#include "support/positions.h"
#include "support/suite.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define ROUTES     4250
#define ROUTE_SIZE 160
#define INDEX      1000
#define HEADERS                                                               \
  "Host: shop.example\r\nX-Attempt-Id: id-1\r\n"                              \
  "X-Deadline-Remaining-Ms: 5000\r\n"
#define REQUEST                                                               \
  "GET /again/y HTTP/1.1\r\n" HEADERS "X-Credential: key-1\r\n\r\n"
#define UNKNOWN_KEY                                                           \
  "GET /again/y HTTP/1.1\r\n" HEADERS "X-Credential: key-2\r\n\r\n"

/* A version of many routes, with the key key-VERSION besides key-1, to
   free(). */
static char *
large_version (unsigned int version)
{
  char *text = malloc ((size_t)ROUTE_SIZE * (ROUTES + 10));
  char *end = text;
  unsigned int i;

  end += sprintf (end,
                  "{\"version\":%u,\"tenants\":[{\"name\":\"ana\","
                  "\"api_keys\":[\"key-1\",\"key-%u\"]}],\"routes\":["
                  "{\"name\":\"again\",\"host\":\"shop.example\","
                  "\"prefix\":\"/again/\",\"route_type\":\"idempotent\","
                  "\"service\":\"s2\"}",
                  version, version);
  for (i = 0; i < ROUTES; i++)
    end += sprintf (end,
                    ",{\"name\":\"r%u\",\"host\":\"shop.example\","
                    "\"prefix\":\"/r%u/\",\"route_type\":\"idempotent\","
                    "\"service\":\"s2\",\"timeout_ms\":2000}",
                    i, i);
  sprintf (end, "],\"services\":[{\"name\":\"s2\",\"health_path\":\"/h\"}]}");
  return text;
}

static void
apply_version (struct gatefixture *fixture, unsigned int version,
               const char *text)
{
  const struct kvstore_item item
      = { .key = fixture->gateway.adapter->config_key,
          .value = text,
          .value_size = strlen (text),
          .position = *POSITION (0, INDEX + version) };

  discovery_apply_item (&fixture->gateway, &item);
}

static void
apply_large_version (struct gatefixture *fixture, unsigned int version)
{
  char *text = large_version (version);

  apply_version (fixture, version, text);
  free (text);
}

static bool
nothing_pending (const struct gatefixture *fixture)
{
  return !gateway_config_pending (&fixture->gateway);
}

static bool
got_status (const struct gatefixture *fixture, const char *status)
{
  return strncmp (fixture->client.got, "HTTP/1.1 ", 9) == 0
         && strncmp (fixture->client.got + 9, status, 3) == 0;
}

struct between_parts
{
  struct event *event;     /**< of traffic */
  struct event *next_part; /**< of the version that is read */
  struct timeval due;      /**< of the last part seen */
  unsigned int turns;      /**< parts that it had a turn before */
};

static void
on_between_parts (evutil_socket_t fd, short what, void *user)
{
  const struct timeval now = { 0, 0 };
  struct between_parts *between = user;
  struct timeval due;

  (void)fd;
  (void)what;
  if (event_pending (between->next_part, EV_TIMEOUT, &due)
      && (due.tv_sec != between->due.tv_sec
          || due.tv_usec != between->due.tv_usec))
    {
      between->due = due;
      between->turns++;
    }
  event_add (between->event, &now);
}

/* A version of thousands of routes comes.  Guards against a gateway that
   stands still while it reads it: events of traffic are handled between its
   parts. */
static void
test_served_meanwhile (void)
{
  struct gatefixture fixture;
  struct between_parts between = { .turns = 0 };

  gatefixture_init (&fixture, true);
  apply_large_version (&fixture, 2);
  CU_ASSERT_STRING_EQUAL (fixture.gateway.routing->version, "1");
  between.next_part = fixture.gateway.config.next_part;
  between.event = event_new (fixture.base, -1, 0, on_between_parts, &between);
  event_active (between.event, EV_TIMEOUT, 0);
  CU_ASSERT_TRUE (gatefixture_run_until (&fixture, nothing_pending));
  event_free (between.event);
  CU_ASSERT (between.turns >= 20);
  CU_ASSERT_STRING_EQUAL (fixture.gateway.routing->version, "2");
  CU_ASSERT_EQUAL (fixture.gateway.routing->route_count, ROUTES + 1);
  gatefixture_request (&fixture, REQUEST);
  CU_ASSERT_TRUE (got_status (&fixture, "200"));
  gatefixture_finish (&fixture);
}

/* Clients' requests are answered before the version is in force.  One that
   the older version does not allow is to come again, as the new one may. */
static void
test_request_meanwhile (void)
{
  struct gatefixture fixture;

  gatefixture_init (&fixture, true);
  gatefixture_request (&fixture, UNKNOWN_KEY);
  CU_ASSERT_TRUE (got_status (&fixture, "401"));
  apply_large_version (&fixture, 2);
  gatefixture_request (&fixture, UNKNOWN_KEY);
  CU_ASSERT_TRUE (got_status (&fixture, "503"));
  CU_ASSERT_STRING_EQUAL (fixture.gateway.routing->version, "1");
  CU_ASSERT_TRUE (gatefixture_run_until (&fixture, nothing_pending));
  gatefixture_request (&fixture, UNKNOWN_KEY);
  CU_ASSERT_TRUE (got_status (&fixture, "200"));
  gatefixture_finish (&fixture);
}

/* Versions come while one is read, an older one last, and each twice, as from
   two hubs: the newest takes effect, and those between are not read. */
static void
test_newest_waits (void)
{
  struct gatefixture fixture;
  uint64_t rejected;
  int hub;

  gatefixture_init (&fixture, true);
  rejected = fixture.gateway.counters.entries_rejected;
  for (hub = 0; hub < 2; hub++)
    {
      apply_large_version (&fixture, 3);
      apply_large_version (&fixture, 4);
      apply_large_version (&fixture, 6);
      apply_large_version (&fixture, 5);
    }
  CU_ASSERT_TRUE (gatefixture_run_until (&fixture, nothing_pending));
  CU_ASSERT_STRING_EQUAL (fixture.gateway.routing->version, "6");
  CU_ASSERT_EQUAL (fixture.gateway.counters.entries_rejected, rejected);
  apply_large_version (&fixture, 6);
  CU_ASSERT_TRUE (nothing_pending (&fixture));
  gatefixture_finish (&fixture);
}

/* A large version that is malformed at its end is rejected as a whole, and
   the next one is read. */
static void
test_malformed_end (void)
{
  struct gatefixture fixture;
  char *text = large_version (2);

  text[strlen (text) - 3] = ',';
  gatefixture_init (&fixture, true);
  apply_version (&fixture, 2, text);
  CU_ASSERT_TRUE (gatefixture_run_until (&fixture, nothing_pending));
  CU_ASSERT_STRING_EQUAL (fixture.gateway.routing->version, "1");
  apply_large_version (&fixture, 3);
  CU_ASSERT_TRUE (gatefixture_run_until (&fixture, nothing_pending));
  CU_ASSERT_STRING_EQUAL (fixture.gateway.routing->version, "3");
  free (text);
  gatefixture_finish (&fixture);
}

/* Malformed versions come while one is read, and a good one before or after
   each: the newest that can be read takes effect, as if each had been read as
   it came. */
static void
test_malformed_waits (void)
{
  struct gatefixture fixture;

  gatefixture_init (&fixture, true);
  apply_large_version (&fixture, 2);
  apply_large_version (&fixture, 3);
  apply_version (&fixture, 4, "{\"version\":4,\"routes\":[");
  CU_ASSERT_TRUE (gatefixture_run_until (&fixture, nothing_pending));
  CU_ASSERT_STRING_EQUAL (fixture.gateway.routing->version, "3");
  apply_large_version (&fixture, 5);
  apply_version (&fixture, 7, "{\"version\":7,\"routes\":[");
  apply_large_version (&fixture, 6);
  CU_ASSERT_TRUE (gatefixture_run_until (&fixture, nothing_pending));
  CU_ASSERT_STRING_EQUAL (fixture.gateway.routing->version, "6");
  gatefixture_finish (&fixture);
}

/* The store was restored while a version is read: it sends an older version
   with a higher index. One that waits is not lost. */
static void
test_restored_waits (void)
{
  struct gatefixture fixture;
  char *text = large_version (2);
  struct kvstore_item item;

  gatefixture_init (&fixture, true);
  apply_large_version (&fixture, 2);
  apply_large_version (&fixture, 3);
  item = (struct kvstore_item){ .key = fixture.gateway.adapter->config_key,
                                .value = text,
                                .value_size = strlen (text),
                                .position = *POSITION (0, 2ULL * INDEX) };
  discovery_apply_item (&fixture.gateway, &item);
  CU_ASSERT_TRUE (gatefixture_run_until (&fixture, nothing_pending));
  CU_ASSERT_STRING_EQUAL (fixture.gateway.routing->version, "3");
  free (text);
  gatefixture_finish (&fixture);
}

/* The process ends while a version is read and another one waits. */
static void
test_end_meanwhile (void)
{
  struct gatefixture fixture;

  gatefixture_init (&fixture, true);
  apply_large_version (&fixture, 2);
  apply_large_version (&fixture, 3);
  CU_ASSERT_TRUE (gateway_config_pending (&fixture.gateway));
  gatefixture_finish (&fixture);
}

static const struct suite_test tests[] = {
  { "events are handled between parts", test_served_meanwhile },
  { "requests while a version is read", test_request_meanwhile },
  { "newest of several versions", test_newest_waits },
  { "malformed at its end", test_malformed_end },
  { "malformed one waits", test_malformed_waits },
  { "older one of a restored store waits", test_restored_waits },
  { "process ends while a version is read", test_end_meanwhile },
};

SUITE_MAIN ("test_config_parts", tests)
