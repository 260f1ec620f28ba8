/**
 * @file test_gateway.c
 * A gateway on the platform's wire, from end to end: golden sessions of
 * clients and upstreams, and what the store makes of it.  `--rewrite` writes
 * the sessions anew.
 */
#include "../platform/store.h"
#include "gateway/probe.h"
#include "support/gatestage.h"
#include "support/suite.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define GOLDEN_FOLDER "tests/golden_gateway"
#define TEXT_SIZE     16384 /* bytes of a session */

#define HEAD                                                                  \
  "Host: shop.example\r\nX-Attempt-Id: id-1\r\n"                              \
  "X-Deadline-Remaining-Ms: 5000\r\nX-Credential: key-1\r\n"
#define ONCE   "POST /once/x?a=1 HTTP/1.1\r\n" HEAD "Content-Length: 2\r\n\r\nhi"
#define AGAIN  "GET /again/y HTTP/1.1\r\n" HEAD "\r\n"
#define STREAM "POST /stream/z HTTP/1.1\r\n" HEAD "Content-Length: 0\r\n\r\n"
#define RESUME "POST /resume/z HTTP/1.1\r\n" HEAD "Content-Length: 0\r\n\r\n"

/** A session: what the workers do, what a client sends. */
struct session
{
  const char *name;
  const char *request;
  enum platworker_act first;  /* of the worker that is chosen first */
  enum platworker_act second; /* of the other */
};

static const struct session sessions[] = {
  { "once_answered", ONCE, PLATWORKER_ANSWER, PLATWORKER_ANSWER },
  { "once_reset", ONCE, PLATWORKER_RESET, PLATWORKER_ANSWER },
  { "once_failed", ONCE, PLATWORKER_FAIL, PLATWORKER_ANSWER },
  { "once_full_elsewhere", ONCE, PLATWORKER_FULL, PLATWORKER_ANSWER },
  { "once_other_instance", ONCE, PLATWORKER_OTHER, PLATWORKER_ANSWER },
  { "once_full_everywhere", ONCE, PLATWORKER_FULL, PLATWORKER_FULL },
  { "once_foreign_answer", ONCE, PLATWORKER_FOREIGN, PLATWORKER_ANSWER },
  { "once_unsigned", ONCE, PLATWORKER_UNSIGNED, PLATWORKER_ANSWER },
  { "once_extra_bytes", ONCE, PLATWORKER_EXTRA, PLATWORKER_ANSWER },
  { "once_hanging", ONCE, PLATWORKER_HANG, PLATWORKER_ANSWER },
  { "again_reset", AGAIN, PLATWORKER_RESET, PLATWORKER_ANSWER },
  { "again_failed", AGAIN, PLATWORKER_FAIL, PLATWORKER_ANSWER },
  { "again_failed_everywhere", AGAIN, PLATWORKER_FAIL, PLATWORKER_FAIL },
  { "stream_whole", STREAM, PLATWORKER_STREAM, PLATWORKER_STREAM },
  { "stream_unframed", STREAM, PLATWORKER_UNFRAMED, PLATWORKER_STREAM },
  { "stream_cut", STREAM, PLATWORKER_CUT, PLATWORKER_STREAM },
  { "resume_cut", RESUME, PLATWORKER_CUT, PLATWORKER_STREAM },
  { "resume_failed", RESUME, PLATWORKER_CUT, PLATWORKER_FAIL },
  { "forged_headers",
    "POST /once/ HTTP/1.1\r\n" HEAD
    "X-Tenant: other\r\nX-Hold: 7\r\nX-Pin-Ms: 9\r\nX-Kv-Backup: 1.2.3.4:5\r\n"
    "Kv-From: 1.2.3.4:5/6\r\nKv-Fetch: 1.2.3.4:5\r\n"
    "X-Expect-Instance: other\r\nX-Own: kept\r\nConnection: close\r\n"
    "Content-Length: 0\r\n\r\n",
    PLATWORKER_ANSWER, PLATWORKER_ANSWER },
  { "chunked_body",
    "POST /once/ HTTP/1.1\r\n" HEAD
    "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n",
    PLATWORKER_ANSWER, PLATWORKER_ANSWER },
  { "two_lengths",
    "POST /once/ HTTP/1.1\r\n" HEAD
    "Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
    PLATWORKER_ANSWER, PLATWORKER_ANSWER },
  { "unknown_key",
    "GET /again/ HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: id-1\r\n"
    "X-Credential: key-9\r\n\r\n",
    PLATWORKER_ANSWER, PLATWORKER_ANSWER },
  { "unknown_route", "GET /nowhere/ HTTP/1.1\r\n" HEAD "\r\n",
    PLATWORKER_ANSWER, PLATWORKER_ANSWER },
  { "no_id",
    "GET /again/ HTTP/1.1\r\nHost: shop.example\r\nX-Credential: key-1\r\n"
    "\r\n",
    PLATWORKER_ANSWER, PLATWORKER_ANSWER },
  { "header_too_large",
    "GET /again/ HTTP/1.1\r\n" HEAD "X-Long: "
    "0123456789012345678901234567890123456789012345678901234567890123456789"
    "\r\n\r\n",
    PLATWORKER_ANSWER, PLATWORKER_ANSWER },
};

static bool rewrite;

/* Replaces the number behind a name by a star. */
static void
mask (char *text, const char *name)
{
  char *at = strstr (text, name);
  char *end;

  if (at == NULL)
    return;
  at += strlen (name);
  end = at + strspn (at, "0123456789.");
  if (end == at)
    return;
  *at = '*';
  memmove (at + 1, end, strlen (end) + 1);
}

static void
add_part (char *out, const char *title, char *text)
{
  size_t used = strlen (out);
  const char *c;

  mask (text, "X-Deadline-Remaining-Ms: ");
  mask (text, "Retry-After: ");
  used += (size_t)snprintf (out + used, TEXT_SIZE - used, "== %s\n", title);
  for (c = text; *c != '\0' && used < TEXT_SIZE - 2; c++)
    if (*c != '\r')
      out[used++] = *c;
  if (used > 0 && out[used - 1] != '\n')
    out[used++] = '\n';
  out[used] = '\0';
}

static void
play (const struct session *session, char *out)
{
  struct gatestage stage;
  char title[64];
  unsigned int i;

  out[0] = '\0';
  gatestage_init (&stage, true);
  stage.workers[0].act = session->first;
  stage.workers[1].act = session->second;
  if (strcmp (session->name, "header_too_large") == 0)
    {
      struct httpd_limits limits = { .header_bytes_max = 150,
                                     .body_bytes_max = 100,
                                     .connections_max = 10,
                                     .idle_timeout_ms = 1000,
                                     .read_timeout_ms = 1000,
                                     .write_timeout_ms = 1000,
                                     .low_water_bytes = 1000 };

      httpd_set_limits (stage.gateway.httpd, &limits);
    }
  gatestage_ask (&stage, session->request);
  for (i = 0; i < GATESTAGE_WORKERS; i++)
    {
      snprintf (title, sizeof title, "worker %u, requests %u", i,
                stage.workers[i].requests);
      add_part (out, title, stage.workers[i].seen);
    }
  snprintf (title, sizeof title, "client%s",
            stage.client.reset    ? ", reset"
            : stage.client.closed ? ", closed"
                                  : "");
  add_part (out, title, stage.client.got);
  gatestage_finish (&stage);
}

static void
test_golden (void)
{
  static char got[TEXT_SIZE];
  static char wanted[TEXT_SIZE];
  char path[128];
  size_t size;
  FILE *file;
  size_t i;

  for (i = 0; i < sizeof sessions / sizeof sessions[0]; i++)
    {
      play (&sessions[i], got);
      snprintf (path, sizeof path, GOLDEN_FOLDER "/%s.txt", sessions[i].name);
      if (rewrite)
        {
          file = fopen (path, "w");
          CU_ASSERT_PTR_NOT_NULL_FATAL (file);
          fputs (got, file);
          fclose (file);
          continue;
        }
      file = fopen (path, "r");
      CU_ASSERT_PTR_NOT_NULL_FATAL (file);
      size = fread (wanted, 1, sizeof wanted - 1, file);
      wanted[size] = '\0';
      fclose (file);
      if (strcmp (got, wanted) != 0)
        {
          printf ("%s: wanted\n%s\ngot\n%s\n", path, wanted, got);
          CU_FAIL ("session differs");
        }
    }
}

/* What the store says. */

static bool
one_upstream (const struct gatestage *stage)
{
  const struct registry_upstream *upstream;
  unsigned int count = 0;

  for (upstream = stage->gateway.registry.upstreams; upstream != NULL;
       upstream = upstream->hh.next)
    count += !upstream->record.draining;
  return count == 1;
}

static bool
version_two (const struct gatestage *stage)
{
  return stage->gateway.routing->version == 2;
}

static bool
outage_seen (const struct gatestage *stage)
{
  return stage->gateway.config_watch.failed_ns != 0
         && stage->gateway.upstream_watch.failed_ns != 0;
}

static bool
outage_over (const struct gatestage *stage)
{
  return stage->gateway.config_watch.failed_ns == 0
         && stage->gateway.upstream_watch.failed_ns == 0;
}

static void
assert_status (const struct gatestage *stage, const char *status)
{
  if (strncmp (stage->client.got + strlen ("HTTP/1.1 "), status, 3) != 0)
    {
      printf ("wanted %s, got %s\n", status, stage->client.got);
      CU_FAIL ("unexpected status");
    }
}

/* Before the first configuration everything is refused, truly. */
static void
test_not_ready (void)
{
  struct gatestage stage;

  gatestage_init (&stage, false);
  CU_ASSERT_FALSE (gateway_ready (&stage.gateway));
  gatestage_ask (&stage, ONCE);
  assert_status (&stage, "503");
  CU_ASSERT_PTR_NOT_NULL (strstr (stage.client.got, "not-run"));
  gatestage_configure (&stage, 2, "\"key-1\"", "s2");
  gatestage_run (&stage, 300);
  CU_ASSERT_TRUE (gateway_ready (&stage.gateway));
  gatestage_ask (&stage, ONCE);
  assert_status (&stage, "200");
  gatestage_finish (&stage);
}

static void
test_upstreams_leave (void)
{
  struct gatestage stage;

  gatestage_init (&stage, true);
  gatestage_announce (&stage, 0, "draining");
  CU_ASSERT_TRUE (gatestage_until (&stage, one_upstream));
  gatestage_ask (&stage, ONCE);
  assert_status (&stage, "200");
  CU_ASSERT_EQUAL (stage.workers[0].requests, 0);
  gatestage_announce (&stage, 0, "ready");
  platstore_put (&stage.store, "servers/w-1", NULL);
  CU_ASSERT_TRUE (gatestage_until (&stage, one_upstream));
  gatestage_run (&stage, 600);
  gatestage_ask (&stage, ONCE);
  assert_status (&stage, "200");
  CU_ASSERT_EQUAL (stage.workers[0].requests, 1);
  CU_ASSERT_EQUAL (stage.workers[1].requests, 1);
  gatestage_finish (&stage);
}

/* An entry that cannot be read names no upstream; the others hold. */
static void
test_malformed_entries (void)
{
  struct gatestage stage;

  gatestage_init (&stage, true);
  platstore_put (&stage.store, "servers/w-0", "{\"service\":");
  platstore_put (&stage.store, "servers/w-9", "[]");
  CU_ASSERT_TRUE (gatestage_until (&stage, one_upstream));
  gatestage_ask (&stage, ONCE);
  assert_status (&stage, "200");
  CU_ASSERT_EQUAL (stage.workers[1].requests, 1);
  gatestage_finish (&stage);
}

/* A configuration that cannot be read changes nothing; an older one neither;
   a newer one takes a key away from open connections, too. */
static void
test_configurations (void)
{
  struct gatestage stage;

  gatestage_init (&stage, true);
  gatestage_ask (&stage, AGAIN);
  assert_status (&stage, "200");
  platstore_put (&stage.store, "op/config", "{\"version\":9,\"routes\":7}");
  gatestage_run (&stage, 200);
  CU_ASSERT_EQUAL (stage.gateway.routing->version, 1);
  gatestage_configure (&stage, 2, "\"key-2\"", "s2");
  CU_ASSERT_TRUE (gatestage_until (&stage, version_two));
  platclient_reset (&stage.client);
  platclient_send (&stage.client, AGAIN);
  gatestage_run (&stage, 200);
  assert_status (&stage, "401");
  gatestage_configure (&stage, 1, "\"key-1\"", "s2");
  gatestage_run (&stage, 200);
  CU_ASSERT_EQUAL (stage.gateway.routing->version, 2);
  gatestage_finish (&stage);
}

/* The store is away, refuses, answers nonsense, forgets: requests are served
   on, and what changed meanwhile is known soon after. */
static void
test_store_outages (void)
{
  static const enum platstore_fault faults[]
      = { PLATSTORE_BUSY, PLATSTORE_MANY, PLATSTORE_CUT, PLATSTORE_GARBAGE };
  struct gatestage stage;
  size_t i;

  for (i = 0; i < sizeof faults / sizeof faults[0]; i++)
    {
      gatestage_init (&stage, true);
      stage.store.fault = faults[i];
      platstore_compact (&stage.store);
      CU_ASSERT_TRUE (gatestage_until (&stage, outage_seen));
      gatestage_ask (&stage, ONCE);
      assert_status (&stage, "200");
      gatestage_configure (&stage, 2, "\"key-2\"", "s2");
      platstore_put (&stage.store, "servers/w-0", NULL);
      platstore_compact (&stage.store);
      CU_ASSERT_EQUAL (stage.gateway.routing->version, 1);
      stage.store.fault = PLATSTORE_FINE;
      CU_ASSERT_TRUE (gatestage_until (&stage, outage_over));
      CU_ASSERT_TRUE (gatestage_until (&stage, version_two));
      /* Its entry may have lapsed in the outage: it is used a while yet. */
      CU_ASSERT_TRUE (gatestage_until (&stage, one_upstream));
      gatestage_finish (&stage);
    }
}

/* A key that is unknown while the configuration is old may be new. */
static void
test_unsure (void)
{
  struct gatestage stage;

  gatestage_init (&stage, true);
  stage.store.fault = PLATSTORE_BUSY;
  platstore_compact (&stage.store);
  CU_ASSERT_TRUE (gatestage_until (&stage, outage_seen));
  gatestage_run (&stage, 700);
  gatestage_ask (&stage, "GET /again/ HTTP/1.1\r\nHost: shop.example\r\n"
                         "X-Attempt-Id: id-1\r\nX-Credential: key-9\r\n\r\n");
  assert_status (&stage, "503");
  gatestage_finish (&stage);
}

static bool
upstream_closed (const struct gatestage *stage)
{
  return stage->workers[0].closed > 0;
}

static bool
request_seen (const struct gatestage *stage)
{
  return stage->workers[0].requests > 0;
}

/* The upstream's work ends with the client's connection. */
static void
test_client_leaves (void)
{
  struct gatestage stage;

  gatestage_init (&stage, true);
  stage.workers[0].act = PLATWORKER_HANG;
  platclient_init (&stage.client, stage.base,
                   httpd_port (stage.gateway.httpd));
  platclient_send (&stage.client, ONCE);
  CU_ASSERT_TRUE (gatestage_until (&stage, request_seen));
  platclient_finish (&stage.client);
  CU_ASSERT_TRUE (gatestage_until (&stage, upstream_closed));
  CU_ASSERT_EQUAL (stage.gateway.request_count, 0);
  gatestage_finish (&stage);
}

/* Membership stands in the store, by a lease; when that ends, by a new one. */
static void
test_membership (void)
{
  struct gatestage stage;

  gatestage_init (&stage, true);
  gatestage_run (&stage, 200);
  CU_ASSERT_PTR_NOT_NULL (
      platstore_get (&stage.store, "cherrylanding/gate-1"));
  gatestage_finish (&stage);
}

/* Stopping: not ready at once, but requests are served on, each the last of
   its connection. */
static void
test_drain (void)
{
  struct gatestage stage;

  gatestage_init (&stage, true);
  gateway_drain (&stage.gateway);
  CU_ASSERT_FALSE (gateway_ready (&stage.gateway));
  gatestage_ask (&stage, ONCE);
  assert_status (&stage, "200");
  CU_ASSERT_PTR_NOT_NULL (strstr (stage.client.got, "Connection: close"));
  gatestage_finish (&stage);
}

static bool
scraped (const struct gatestage *stage)
{
  return strstr (stage->client.got, "client_connections ") != NULL;
}

/* Metrics answer while requests are served, with what these did. */
static void
test_metrics (void)
{
  struct gatestage stage;

  gatestage_init (&stage, true);
  stage.workers[0].act = PLATWORKER_FULL;
  stage.workers[1].act = PLATWORKER_FULL;
  gatestage_ask (&stage, ONCE);
  assert_status (&stage, "503");
  stage.workers[0].act = PLATWORKER_ANSWER;
  stage.workers[1].act = PLATWORKER_ANSWER;
  gatestage_ask (&stage, ONCE);
  assert_status (&stage, "200");
  platclient_finish (&stage.client);
  platclient_init (&stage.client, stage.base, probe_port (&stage.gateway));
  platclient_send (&stage.client, "GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n");
  CU_ASSERT_TRUE (gatestage_until (&stage, scraped));
  CU_ASSERT_PTR_NOT_NULL (
      strstr (stage.client.got, "gateway_requests_total 2\n"));
  CU_ASSERT_PTR_NOT_NULL (
      strstr (stage.client.got, "gateway_completed_total 1\n"));
  CU_ASSERT_PTR_NOT_NULL (
      strstr (stage.client.got, "refusals_total{reason=\"no_upstream\"} 1\n"));
  CU_ASSERT_PTR_NOT_NULL (strstr (stage.client.got, "gateway_upstreams 2\n"));
  CU_ASSERT_PTR_NOT_NULL (
      strstr (stage.client.got, "gateway_config_version 1\n"));
  gatestage_finish (&stage);
}

/* Settings that change take effect without a restart where they can. */
static void
test_reload (void)
{
  struct gateway_settings settings;
  struct gatestage stage;

  gatestage_init (&stage, true);
  settings = stage.gateway.settings;
  settings.retry_permille = 0;
  settings.retry_allowance = 0;
  gateway_reload (&stage.gateway, &settings);
  stage.workers[0].act = PLATWORKER_FULL;
  gatestage_ask (&stage, ONCE);
  assert_status (&stage, "503");
  CU_ASSERT_EQUAL (stage.workers[1].requests, 0);
  gatestage_finish (&stage);
}

/* Two gateways meet through the store and tell each other their load. */
static bool
met (const struct gatestage *stage)
{
  return stage->gateway.fleet_retry_budget.instances == 2;
}

static void
test_gateway_peers (void)
{
  struct gatestage stage;
  struct gatestage other;

  gatestage_init (&stage, true);
  memset (&other, 0, sizeof other);
  other.base = stage.base;
  {
    struct gateway_settings settings = stage.gateway.settings;
    char address[32];

    snprintf (settings.instance, sizeof settings.instance, "gate-2");
    snprintf (address, sizeof address, "127.0.0.1:%u", stage.store.port);
    CU_ASSERT_EQUAL_FATAL (gateway_init (&other.gateway, &settings,
                                         stage.gateway.adapter, stage.base,
                                         store_new (stage.base, address)),
                           0);
  }
  CU_ASSERT_TRUE (gatestage_until (&stage, met));
  gateway_finish (&other.gateway);
  gatestage_finish (&stage);
}

static bool
answered (const struct gatestage *stage)
{
  return platclient_answered (&stage->client) || stage->client.closed;
}

/* A request that an instance which leaves has passed on, and whose upstream
   is silent, is answered before the instance goes. */
static void
test_drain_ends_with_answers (void)
{
  struct gatestage stage;
  uint64_t spent_ms;

  gatestage_init (&stage, true);
  stage.workers[0].act = stage.workers[1].act = PLATWORKER_HANG;
  stage.gateway.settings.grace_ms = 2900;
  gateway_drain (&stage.gateway);
  gatestage_run (&stage, 2450);
  platclient_init (&stage.client, stage.base,
                   httpd_port (stage.gateway.httpd));
  platclient_send (&stage.client, ONCE);
  gatestage_until (&stage, answered);
  spent_ms = (gateway_now_ns (&stage.gateway) - stage.gateway.drain_ns)
             / CLOCK_NS_PER_MS;
  CU_ASSERT (spent_ms < stage.gateway.settings.grace_ms);
  assert_status (&stage, "504");
  CU_ASSERT_EQUAL (stage.workers[0].requests + stage.workers[1].requests, 1);
  gatestage_finish (&stage);
}

static const struct suite_test tests[] = {
  { "golden sessions", test_golden },
  { "not ready before a configuration", test_not_ready },
  { "upstreams leave", test_upstreams_leave },
  { "malformed entries", test_malformed_entries },
  { "configurations", test_configurations },
  { "outages of the store", test_store_outages },
  { "unsure of a key", test_unsure },
  { "a client leaves", test_client_leaves },
  { "membership", test_membership },
  { "drain", test_drain },
  { "a drain ends with answers", test_drain_ends_with_answers },
  { "metrics", test_metrics },
  { "reload", test_reload },
  { "neighbours", test_gateway_peers },
};

int
main (int argc, char **argv)
{
  rewrite = argc > 1 && strcmp (argv[1], "--rewrite") == 0;
  return suite_run ("test_gateway", tests, sizeof tests / sizeof tests[0]);
}
