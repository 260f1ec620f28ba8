/**
 * @file test_gateway.c
 * End-to-end tests of one gateway with the platform's adapter: compares what
 * upstreams and clients receive with golden transcripts, and changes the
 * contents of the store or makes its calls fail.  `--rewrite` rewrites the
 * golden transcripts.
 */
#include "../platform/store.h"
#include "gateway/discovery.h"
#include "gateway/probe.h"
#include "support/gatefixture.h"
#include "support/positions.h"
#include "support/suite.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define GOLDEN_DIRECTORY "tests/golden_gateway"
#define TRANSCRIPT_SIZE  16384 /* of a transcript, in bytes */
#define CONFIG_INDEX     1000  /* newer than all that the fixture writes */

#define HEADERS                                                               \
  "Host: shop.example\r\nX-Attempt-Id: id-1\r\n"                              \
  "X-Deadline-Remaining-Ms: 5000\r\nX-Credential: key-1\r\n"
#define NON_IDEMPOTENT                                                        \
  "POST /once/x?a=1 HTTP/1.1\r\n" HEADERS "Content-Length: 2\r\n\r\nhi"
#define IDEMPOTENT "GET /again/y HTTP/1.1\r\n" HEADERS "\r\n"
#define STREAMING                                                             \
  "POST /stream/z HTTP/1.1\r\n" HEADERS "Content-Length: 0\r\n\r\n"
#define RESUMABLE                                                             \
  "POST /resume/z HTTP/1.1\r\n" HEADERS "Content-Length: 0\r\n\r\n"

/** A request of a client, and how each of two upstreams handles it. */
struct golden_case
{
  const char *name;
  const char *request;
  /* Of the upstream in the gateway's zone, which is chosen first. */
  enum upstreamserver_behaviour first_behaviour;
  enum upstreamserver_behaviour second_behaviour; /* of the other upstream */
};

static const struct golden_case golden_cases[] = {
  { "once_answered", NON_IDEMPOTENT, UPSTREAMSERVER_RESPOND,
    UPSTREAMSERVER_RESPOND },
  { "once_reset", NON_IDEMPOTENT, UPSTREAMSERVER_RESET,
    UPSTREAMSERVER_RESPOND },
  { "once_failed", NON_IDEMPOTENT, UPSTREAMSERVER_FAIL,
    UPSTREAMSERVER_RESPOND },
  { "once_full_elsewhere", NON_IDEMPOTENT, UPSTREAMSERVER_REJECT,
    UPSTREAMSERVER_RESPOND },
  { "once_other_instance", NON_IDEMPOTENT, UPSTREAMSERVER_MISDIRECTED,
    UPSTREAMSERVER_RESPOND },
  { "once_full_everywhere", NON_IDEMPOTENT, UPSTREAMSERVER_REJECT,
    UPSTREAMSERVER_REJECT },
  { "once_foreign_answer", NON_IDEMPOTENT, UPSTREAMSERVER_WRONG_ATTEMPT,
    UPSTREAMSERVER_RESPOND },
  { "once_unsigned", NON_IDEMPOTENT, UPSTREAMSERVER_UNSIGNED,
    UPSTREAMSERVER_RESPOND },
  { "once_extra_bytes", NON_IDEMPOTENT, UPSTREAMSERVER_EXTRA_RESPONSE,
    UPSTREAMSERVER_RESPOND },
  { "once_hanging", NON_IDEMPOTENT, UPSTREAMSERVER_HANG,
    UPSTREAMSERVER_RESPOND },
  { "again_reset", IDEMPOTENT, UPSTREAMSERVER_RESET, UPSTREAMSERVER_RESPOND },
  { "again_failed", IDEMPOTENT, UPSTREAMSERVER_FAIL, UPSTREAMSERVER_RESPOND },
  { "again_failed_everywhere", IDEMPOTENT, UPSTREAMSERVER_FAIL,
    UPSTREAMSERVER_FAIL },
  { "stream_whole", STREAMING, UPSTREAMSERVER_STREAM, UPSTREAMSERVER_STREAM },
  { "stream_unframed", STREAMING, UPSTREAMSERVER_STREAM_CLOSE_DELIMITED,
    UPSTREAMSERVER_STREAM },
  { "stream_cut", STREAMING, UPSTREAMSERVER_STREAM_RESET,
    UPSTREAMSERVER_STREAM },
  { "resume_cut", RESUMABLE, UPSTREAMSERVER_STREAM_RESET,
    UPSTREAMSERVER_STREAM },
  { "resume_failed", RESUMABLE, UPSTREAMSERVER_STREAM_RESET,
    UPSTREAMSERVER_FAIL },
  { "forged_headers",
    "POST /once/ HTTP/1.1\r\n" HEADERS
    "X-Tenant: other\r\nX-Hold: 7\r\nX-Pin-Ms: 9\r\nX-Kv-Backup: 1.2.3.4:5\r\n"
    "Kv-From: 1.2.3.4:5/6\r\nKv-Fetch: 1.2.3.4:5\r\n"
    "X-Expect-Instance: other\r\nX-Own: kept\r\nConnection: close\r\n"
    "Content-Length: 0\r\n\r\n",
    UPSTREAMSERVER_RESPOND, UPSTREAMSERVER_RESPOND },
  { "chunked_body",
    "POST /once/ HTTP/1.1\r\n" HEADERS
    "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n",
    UPSTREAMSERVER_RESPOND, UPSTREAMSERVER_RESPOND },
  { "two_lengths",
    "POST /once/ HTTP/1.1\r\n" HEADERS
    "Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
    UPSTREAMSERVER_RESPOND, UPSTREAMSERVER_RESPOND },
  { "unknown_key",
    "GET /again/ HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: id-1\r\n"
    "X-Credential: key-9\r\n\r\n",
    UPSTREAMSERVER_RESPOND, UPSTREAMSERVER_RESPOND },
  { "unknown_route", "GET /nowhere/ HTTP/1.1\r\n" HEADERS "\r\n",
    UPSTREAMSERVER_RESPOND, UPSTREAMSERVER_RESPOND },
  { "no_id",
    "GET /again/ HTTP/1.1\r\nHost: shop.example\r\nX-Credential: key-1\r\n"
    "\r\n",
    UPSTREAMSERVER_RESPOND, UPSTREAMSERVER_RESPOND },
  { "header_too_large",
    "GET /again/ HTTP/1.1\r\n" HEADERS "X-Long: "
    "0123456789012345678901234567890123456789012345678901234567890123456789"
    "\r\n\r\n",
    UPSTREAMSERVER_RESPOND, UPSTREAMSERVER_RESPOND },
};

static bool rewrite;

/* Replaces the number that follows `name` with an asterisk: it depends on the
   time that the test takes. */
static void
mask_number (char *text, const char *name)
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
append_section (char *out, const char *title, char *text)
{
  size_t used = strlen (out);
  const char *c;

  mask_number (text, "X-Deadline-Remaining-Ms: ");
  mask_number (text, "Retry-After: ");
  used += (size_t)snprintf (out + used, TRANSCRIPT_SIZE - used, "== %s\n",
                            title);
  for (c = text; *c != '\0' && used < TRANSCRIPT_SIZE - 2; c++)
    if (*c != '\r')
      out[used++] = *c;
  if (used > 0 && out[used - 1] != '\n')
    out[used++] = '\n';
  out[used] = '\0';
}

static void
run_golden_case (const struct golden_case *golden, char *out)
{
  struct gatefixture fixture;
  char title[64];
  unsigned int i;

  out[0] = '\0';
  gatefixture_init (&fixture, true);
  fixture.upstreams[0].behaviour = golden->first_behaviour;
  fixture.upstreams[1].behaviour = golden->second_behaviour;
  if (strcmp (golden->name, "header_too_large") == 0)
    {
      struct httpd_limits limits = { .header_bytes_max = 150,
                                     .body_bytes_max = 100,
                                     .connections_max = 10,
                                     .idle_timeout_ms = 1000,
                                     .read_timeout_ms = 1000,
                                     .write_timeout_ms = 1000,
                                     .low_water_bytes = 1000 };

      httpd_set_limits (fixture.gateway.httpd, &limits);
    }
  gatefixture_request (&fixture, golden->request);
  for (i = 0; i < GATEFIXTURE_UPSTREAMS; i++)
    {
      snprintf (title, sizeof title, "worker %u, requests %u", i,
                fixture.upstreams[i].requests);
      append_section (out, title, fixture.upstreams[i].last_request);
    }
  snprintf (title, sizeof title, "client%s",
            fixture.client.reset    ? ", reset"
            : fixture.client.closed ? ", closed"
                                    : "");
  append_section (out, title, fixture.client.got);
  gatefixture_finish (&fixture);
}

static void
test_golden (void)
{
  static char actual[TRANSCRIPT_SIZE];
  static char expected[TRANSCRIPT_SIZE];
  char path[128];
  size_t size;
  FILE *file;
  size_t i;

  for (i = 0; i < sizeof golden_cases / sizeof golden_cases[0]; i++)
    {
      run_golden_case (&golden_cases[i], actual);
      snprintf (path, sizeof path, GOLDEN_DIRECTORY "/%s.txt",
                golden_cases[i].name);
      if (rewrite)
        {
          file = fopen (path, "w");
          CU_ASSERT_PTR_NOT_NULL_FATAL (file);
          fputs (actual, file);
          fclose (file);
          continue;
        }
      file = fopen (path, "r");
      CU_ASSERT_PTR_NOT_NULL_FATAL (file);
      size = fread (expected, 1, sizeof expected - 1, file);
      expected[size] = '\0';
      fclose (file);
      if (strcmp (actual, expected) != 0)
        {
          printf ("%s: expected\n%s\nactual\n%s\n", path, expected, actual);
          CU_FAIL ("transcript differs from the golden file");
        }
    }
}

/* Changes in the store. */

static bool
one_upstream_in_use (const struct gatefixture *fixture)
{
  const struct registry_upstream *upstream;
  unsigned int count = 0;

  for (upstream = fixture->gateway.registry.upstreams; upstream != NULL;
       upstream = upstream->hh.next)
    count += !upstream->record.draining;
  return count == 1;
}

static bool
config_version_is_2 (const struct gatefixture *fixture)
{
  return strcmp (fixture->gateway.routing->version, "2") == 0;
}

static bool
store_failures_seen (const struct gatefixture *fixture)
{
  return fixture->gateway.config_watch.failed_ns != 0
         && fixture->gateway.upstream_watch.failed_ns != 0;
}

static bool
store_recovered (const struct gatefixture *fixture)
{
  return fixture->gateway.config_watch.failed_ns == 0
         && fixture->gateway.upstream_watch.failed_ns == 0;
}

static void
assert_status (const struct gatefixture *fixture, const char *status)
{
  if (strncmp (fixture->client.got + strlen ("HTTP/1.1 "), status, 3) != 0)
    {
      printf ("expected status %s, response: %s\n", status,
              fixture->client.got);
      CU_FAIL ("unexpected status");
    }
}

/* Before its first configuration the gateway refuses every request, and the
   response says that the request was not executed. */
static void
test_not_ready (void)
{
  struct gatefixture fixture;

  gatefixture_init (&fixture, false);
  CU_ASSERT_FALSE (gateway_ready (&fixture.gateway));
  gatefixture_request (&fixture, NON_IDEMPOTENT);
  assert_status (&fixture, "503");
  CU_ASSERT_PTR_NOT_NULL (strstr (fixture.client.got, "not-run"));
  gatefixture_configure (&fixture, 2, "\"key-1\"", "s2");
  gatefixture_run (&fixture, 300);
  CU_ASSERT_TRUE (gateway_ready (&fixture.gateway));
  gatefixture_request (&fixture, NON_IDEMPOTENT);
  assert_status (&fixture, "200");
  gatefixture_finish (&fixture);
}

static void
test_upstreams_leave (void)
{
  struct gatefixture fixture;

  gatefixture_init (&fixture, true);
  gatefixture_register_upstream (&fixture, 0, "draining");
  CU_ASSERT_TRUE (gatefixture_run_until (&fixture, one_upstream_in_use));
  gatefixture_request (&fixture, NON_IDEMPOTENT);
  assert_status (&fixture, "200");
  CU_ASSERT_EQUAL (fixture.upstreams[0].requests, 0);
  gatefixture_register_upstream (&fixture, 0, "ready");
  storeserver_put (&fixture.store, "servers/w-1", NULL);
  CU_ASSERT_TRUE (gatefixture_run_until (&fixture, one_upstream_in_use));
  gatefixture_run (&fixture, 600);
  gatefixture_request (&fixture, NON_IDEMPOTENT);
  assert_status (&fixture, "200");
  CU_ASSERT_EQUAL (fixture.upstreams[0].requests, 1);
  CU_ASSERT_EQUAL (fixture.upstreams[1].requests, 1);
  gatefixture_finish (&fixture);
}

/* A registration that cannot be parsed registers no upstream and does not
   affect the others. */
static void
test_malformed_registrations (void)
{
  struct gatefixture fixture;

  gatefixture_init (&fixture, true);
  storeserver_put (&fixture.store, "servers/w-0", "{\"service\":");
  storeserver_put (&fixture.store, "servers/w-9", "[]");
  CU_ASSERT_TRUE (gatefixture_run_until (&fixture, one_upstream_in_use));
  gatefixture_request (&fixture, NON_IDEMPOTENT);
  assert_status (&fixture, "200");
  CU_ASSERT_EQUAL (fixture.upstreams[1].requests, 1);
  gatefixture_finish (&fixture);
}

/* A malformed configuration and an older one are ignored.  A newer one that
   removes an API key also applies to connections that are already open. */
static void
test_configurations (void)
{
  struct gatefixture fixture;

  gatefixture_init (&fixture, true);
  gatefixture_request (&fixture, IDEMPOTENT);
  assert_status (&fixture, "200");
  storeserver_put (&fixture.store, "op/config",
                   "{\"version\":9,\"routes\":7}");
  gatefixture_run (&fixture, 200);
  CU_ASSERT_STRING_EQUAL (fixture.gateway.routing->version, "1");
  gatefixture_configure (&fixture, 2, "\"key-2\"", "s2");
  CU_ASSERT_TRUE (gatefixture_run_until (&fixture, config_version_is_2));
  platclient_reset (&fixture.client);
  platclient_send (&fixture.client, IDEMPOTENT);
  gatefixture_run (&fixture, 200);
  assert_status (&fixture, "401");
  gatefixture_configure (&fixture, 1, "\"key-1\"", "s2");
  gatefixture_run (&fixture, 200);
  CU_ASSERT_STRING_EQUAL (fixture.gateway.routing->version, "2");
  gatefixture_finish (&fixture);
}

static const struct gateway_adapter *real_adapter;
static unsigned int config_reads;

static struct adapter_config *
count_config_read (const char *text, size_t size)
{
  config_reads++;
  return real_adapter->config_new (text, size);
}

/* A configuration that comes from each hub of the zone is decoded once. */
static void
test_config_of_both_hubs (void)
{
  static const char value[] = "{\"version\":2,\"routes\":[],\"services\":[]}";
  struct gatefixture fixture;
  struct gateway_adapter adapter;
  struct kvstore_item item = { .value = value,
                               .value_size = sizeof value - 1,
                               .position = *POSITION (0, CONFIG_INDEX) };

  gatefixture_init (&fixture, true);
  real_adapter = fixture.gateway.adapter;
  adapter = *real_adapter;
  adapter.config_new = count_config_read;
  fixture.gateway.adapter = &adapter;
  item.key = adapter.config_key;
  config_reads = 0;
  discovery_apply_item (&fixture.gateway, &item);
  discovery_apply_item (&fixture.gateway, &item);
  CU_ASSERT_EQUAL (config_reads, 1);
  CU_ASSERT_STRING_EQUAL (fixture.gateway.routing->version, "2");
  item.position = *POSITION (0, CONFIG_INDEX + 1);
  discovery_apply_item (&fixture.gateway, &item);
  CU_ASSERT_EQUAL (config_reads, 2);
  fixture.gateway.adapter = real_adapter;
  gatefixture_finish (&fixture);
}

/* While the store refuses calls, closes connections or sends invalid JSON, and
   when it has discarded its change history, requests are still served.  After
   the outage the gateway applies what changed during it. */
static void
test_store_outages (void)
{
  static const enum storeserver_fault faults[]
      = { STORESERVER_FAULT_503, STORESERVER_FAULT_429,
          STORESERVER_FAULT_CLOSE, STORESERVER_FAULT_INVALID_JSON };
  struct gatefixture fixture;
  size_t i;

  for (i = 0; i < sizeof faults / sizeof faults[0]; i++)
    {
      gatefixture_init (&fixture, true);
      fixture.store.fault = faults[i];
      storeserver_compact (&fixture.store);
      CU_ASSERT_TRUE (gatefixture_run_until (&fixture, store_failures_seen));
      gatefixture_request (&fixture, NON_IDEMPOTENT);
      assert_status (&fixture, "200");
      gatefixture_configure (&fixture, 2, "\"key-2\"", "s2");
      storeserver_put (&fixture.store, "servers/w-0", NULL);
      storeserver_compact (&fixture.store);
      CU_ASSERT_STRING_EQUAL (fixture.gateway.routing->version, "1");
      fixture.store.fault = STORESERVER_FAULT_NONE;
      CU_ASSERT_TRUE (gatefixture_run_until (&fixture, store_recovered));
      CU_ASSERT_TRUE (gatefixture_run_until (&fixture, config_version_is_2));
      /* The registration may have expired only because of the outage, so the
         upstream stays in use for a grace period. */
      CU_ASSERT_TRUE (gatefixture_run_until (&fixture, one_upstream_in_use));
      gatefixture_finish (&fixture);
    }
}

/* While the configuration may be stale, an unknown API key may have been added
   since, so the request gets 503 instead of 401. */
static void
test_stale_config (void)
{
  struct gatefixture fixture;

  gatefixture_init (&fixture, true);
  fixture.store.fault = STORESERVER_FAULT_503;
  storeserver_compact (&fixture.store);
  CU_ASSERT_TRUE (gatefixture_run_until (&fixture, store_failures_seen));
  gatefixture_run (&fixture, 700);
  gatefixture_request (&fixture,
                       "GET /again/ HTTP/1.1\r\nHost: shop.example\r\n"
                       "X-Attempt-Id: id-1\r\nX-Credential: key-9\r\n\r\n");
  assert_status (&fixture, "503");
  gatefixture_finish (&fixture);
}

static bool
upstream_connection_closed (const struct gatefixture *fixture)
{
  return fixture->upstreams[0].closed_connections > 0;
}

static bool
request_seen (const struct gatefixture *fixture)
{
  return fixture->upstreams[0].requests > 0;
}

/* When a client disconnects, the gateway closes the connection of its request
   to the upstream, so that the upstream stops working on it. */
static void
test_client_disconnects (void)
{
  struct gatefixture fixture;

  gatefixture_init (&fixture, true);
  fixture.upstreams[0].behaviour = UPSTREAMSERVER_HANG;
  platclient_init (&fixture.client, fixture.base,
                   httpd_port (fixture.gateway.httpd));
  platclient_send (&fixture.client, NON_IDEMPOTENT);
  CU_ASSERT_TRUE (gatefixture_run_until (&fixture, request_seen));
  platclient_finish (&fixture.client);
  CU_ASSERT_TRUE (
      gatefixture_run_until (&fixture, upstream_connection_closed));
  CU_ASSERT_EQUAL (fixture.gateway.request_count, 0);
  gatefixture_finish (&fixture);
}

/* The gateway registers itself in the store. */
static void
test_own_registration (void)
{
  struct gatefixture fixture;

  gatefixture_init (&fixture, true);
  gatefixture_run (&fixture, 200);
  CU_ASSERT_PTR_NOT_NULL (
      storeserver_get (&fixture.store, "cherrylanding/za/gate-1"));
  gatefixture_finish (&fixture);
}

/* A draining gateway reports at once that it is not ready, but still serves
   requests; each response closes its connection. */
static void
test_drain (void)
{
  struct gatefixture fixture;

  gatefixture_init (&fixture, true);
  gateway_drain (&fixture.gateway);
  CU_ASSERT_FALSE (gateway_ready (&fixture.gateway));
  gatefixture_request (&fixture, NON_IDEMPOTENT);
  assert_status (&fixture, "200");
  CU_ASSERT_PTR_NOT_NULL (strstr (fixture.client.got, "Connection: close"));
  gatefixture_finish (&fixture);
}

static bool
metrics_received (const struct gatefixture *fixture)
{
  return strstr (fixture->client.got, "client_connections ") != NULL;
}

/* The metrics count the requests, their outcomes and the upstreams. */
static void
test_metrics (void)
{
  struct gatefixture fixture;

  gatefixture_init (&fixture, true);
  fixture.upstreams[0].behaviour = UPSTREAMSERVER_REJECT;
  fixture.upstreams[1].behaviour = UPSTREAMSERVER_REJECT;
  gatefixture_request (&fixture, NON_IDEMPOTENT);
  assert_status (&fixture, "503");
  fixture.upstreams[0].behaviour = UPSTREAMSERVER_RESPOND;
  fixture.upstreams[1].behaviour = UPSTREAMSERVER_RESPOND;
  gatefixture_request (&fixture, NON_IDEMPOTENT);
  assert_status (&fixture, "200");
  platclient_finish (&fixture.client);
  platclient_init (&fixture.client, fixture.base,
                   probe_port (&fixture.gateway));
  platclient_send (&fixture.client,
                   "GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n");
  CU_ASSERT_TRUE (gatefixture_run_until (&fixture, metrics_received));
  CU_ASSERT_PTR_NOT_NULL (
      strstr (fixture.client.got, "gateway_requests_total 2\n"));
  CU_ASSERT_PTR_NOT_NULL (
      strstr (fixture.client.got, "gateway_completed_total 1\n"));
  CU_ASSERT_PTR_NOT_NULL (
      strstr (fixture.client.got, "gateway_links_lost_total 0\n"));
  CU_ASSERT_PTR_NOT_NULL (strstr (
      fixture.client.got, "refusals_total{reason=\"no_upstream\"} 1\n"));
  CU_ASSERT_PTR_NOT_NULL (
      strstr (fixture.client.got, "gateway_upstreams 2\n"));
  CU_ASSERT_PTR_NOT_NULL (
      strstr (fixture.client.got, "gateway_config_version 1\n"));
  gatefixture_finish (&fixture);
}

/* Reloaded retry settings take effect without a restart: with a retry budget
   of 0, the request is not sent to the second upstream. */
static void
test_reload (void)
{
  struct gateway_settings settings;
  struct gatefixture fixture;

  gatefixture_init (&fixture, true);
  settings = fixture.gateway.settings;
  settings.retry_permille = 0;
  settings.retry_allowance = 0;
  gateway_reload (&fixture.gateway, &settings);
  fixture.upstreams[0].behaviour = UPSTREAMSERVER_REJECT;
  gatefixture_request (&fixture, NON_IDEMPOTENT);
  assert_status (&fixture, "503");
  CU_ASSERT_EQUAL (fixture.upstreams[1].requests, 0);
  gatefixture_finish (&fixture);
}

static bool
both_instances_counted (const struct gatefixture *fixture)
{
  return fixture->gateway.fleet_retry_budget.instances == 2;
}

/* Two gateways find each other through the store and exchange load reports. */
static void
test_gateway_peers (void)
{
  struct gatefixture fixture;
  struct gatefixture other;

  gatefixture_init (&fixture, true);
  memset (&other, 0, sizeof other);
  other.base = fixture.base;
  {
    struct gateway_settings settings = fixture.gateway.settings;
    char address[32];

    snprintf (settings.instance, sizeof settings.instance, "gate-2");
    snprintf (address, sizeof address, "127.0.0.1:%u", fixture.store.port);
    CU_ASSERT_EQUAL_FATAL (gateway_init (&other.gateway, &settings,
                                         fixture.gateway.adapter, fixture.base,
                                         store_new (fixture.base, address)),
                           0);
  }
  CU_ASSERT_TRUE (gatefixture_run_until (&fixture, both_instances_counted));
  gateway_finish (&other.gateway);
  gatefixture_finish (&fixture);
}

static bool
answered (const struct gatefixture *fixture)
{
  return platclient_answered (&fixture->client) || fixture->client.closed;
}

/* A draining instance answers a request before it exits, even if the upstream
   does not respond. */
static void
test_drain_answers_requests (void)
{
  struct gatefixture fixture;
  uint64_t spent_ms;

  gatefixture_init (&fixture, true);
  fixture.upstreams[0].behaviour = fixture.upstreams[1].behaviour
      = UPSTREAMSERVER_HANG;
  fixture.gateway.settings.grace_ms = 2900;
  gateway_drain (&fixture.gateway);
  /* Requests that arrive before GATEWAY_UNREADY_DELAY_MS (2500) are not
     refused, however little of the grace period is left. */
  gatefixture_run (&fixture, 2450);
  platclient_init (&fixture.client, fixture.base,
                   httpd_port (fixture.gateway.httpd));
  platclient_send (&fixture.client, NON_IDEMPOTENT);
  gatefixture_run_until (&fixture, answered);
  spent_ms = (gateway_now_ns (&fixture.gateway) - fixture.gateway.drain_ns)
             / CLOCK_NS_PER_MS;
  CU_ASSERT (spent_ms < fixture.gateway.settings.grace_ms);
  assert_status (&fixture, "504");
  CU_ASSERT_EQUAL (
      fixture.upstreams[0].requests + fixture.upstreams[1].requests, 1);
  gatefixture_finish (&fixture);
}

/* The target of a request is forwarded as the client sent it. */
static void
test_request_targets (void)
{
  static const char *const targets[] = {
    "/once/",          "/once/a/b",     "/once/?",        "/once/a?",
    "/once/?q",        "/once/?q=",     "/once/?q=1&&r=", "/once/a?q=%2F",
    "/once/a%2Fb",     "/once/a%2fb/",  "/once/a;p=1",    "/once/a;p?q",
    "/once//a",        "/once/./a",     "/once/b/../a",   "/once/a+b",
    "/once/a%20b",     "/once/a?q?r",   "/once/a?q#f",    "/once/a#f",
    "/once/~a!$'()*,", "/once/@a:b",    "/once/a?/b/?c",  "/once/a%",
    "/once/a?q=a+b%2", "/once/\"a\"",   "/once/a?=&;",    "/once/a.b-c_d",
    "/once/a?%3f",     "/once/%2e%2e/", "/once/a&b=c",    "/once/a|b",
  };
  const struct upstreamserver *upstream;
  struct gatefixture fixture;
  char request[512];
  char expected[256];
  size_t i;

  gatefixture_init (&fixture, true);
  for (i = 0; i < sizeof targets / sizeof targets[0]; i++)
    {
      snprintf (request, sizeof request,
                "POST %s HTTP/1.1\r\n" HEADERS "Content-Length: 0\r\n\r\n",
                targets[i]);
      snprintf (expected, sizeof expected, "POST %s HTTP/1.1\r\n", targets[i]);
      fixture.upstreams[0].last_request[0] = '\0';
      fixture.upstreams[1].last_request[0] = '\0';
      gatefixture_request (&fixture, request);
      upstream
          = &fixture.upstreams[fixture.upstreams[0].last_request[0] == '\0'];
      if (strncmp (upstream->last_request, expected, strlen (expected)) != 0)
        {
          printf ("%s: %.80s\n", targets[i], upstream->last_request);
          CU_FAIL ("changed target");
        }
    }
  gatefixture_finish (&fixture);
}

/* A request that arrives in two parts, cut anywhere in its head, is forwarded
   as if it had arrived whole. */
static void
test_split_requests (void)
{
  static const char request[]
      = "POST /once/5352a5?page=26&sort=new&q=%2f HTTP/1.1\r\n" HEADERS
        "X-Own: kept\r\nTransfer-Encoding: "
        "chunked\r\n\r\n1\r\na\r\n00b\r\nbcdefghijkl\r\n0\r\n\r\n";
  struct gatefixture fixture;
  struct upstreamserver *upstream;
  char part[sizeof request];
  char header[64];
  size_t cut;

  gatefixture_init (&fixture, true);
  for (cut = 1; cut < sizeof request - 1; cut++)
    {
      memcpy (part, request, cut);
      part[cut] = '\0';
      fixture.upstreams[0].last_request[0] = '\0';
      fixture.upstreams[1].last_request[0] = '\0';
      platclient_init (&fixture.client, fixture.base,
                       httpd_port (fixture.gateway.httpd));
      platclient_send (&fixture.client, part);
      gatefixture_run (&fixture, 2);
      platclient_send (&fixture.client, request + cut);
      CU_ASSERT_TRUE (gatefixture_run_until (&fixture, answered));
      upstream
          = &fixture.upstreams[fixture.upstreams[0].last_request[0] == '\0'];
      upstreamserver_get_header (upstream->last_request, "X-Own", header,
                                 sizeof header);
      if (strncmp (upstream->last_request, request, strcspn (request, "\r"))
              != 0
          || strcmp (header, "kept") != 0)
        {
          printf ("cut at %zu, %.10s: %.80s\n", cut, request + cut,
                  upstream->last_request);
          CU_FAIL ("changed request");
        }
      platclient_finish (&fixture.client);
    }
  memset (&fixture.client, 0, sizeof fixture.client);
  gatefixture_finish (&fixture);
}

/* Requests that will be refused are refused at their heads, and the upstreams
   get nothing of them. */
static void
test_refused_at_the_head (void)
{
  static const struct
  {
    const char *path;
    const char *key;
    const char *framing;
    const char *status;
  } cases[] = {
    { "/once/a", "nobody", "Content-Length: 60000", "HTTP/1.1 401 " },
    { "/once/a", "nobody", "Transfer-Encoding: chunked", "HTTP/1.1 401 " },
    { "/none/a", "key-1", "Content-Length: 60000", "HTTP/1.1 404 " },
    { "/once/a", "key-1", "Content-Length: 70000", "HTTP/1.1 413 " },
  };
  struct gatefixture fixture;
  char request[512];
  size_t i;

  gatefixture_init (&fixture, true);
  for (i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      snprintf (request, sizeof request,
                "POST %s HTTP/1.1\r\nHost: shop.example\r\n"
                "X-Attempt-Id: id-1\r\nX-Credential: %s\r\n%s\r\n\r\n",
                cases[i].path, cases[i].key, cases[i].framing);
      gatefixture_request (&fixture, request);
      CU_ASSERT_EQUAL (strncmp (fixture.client.got, cases[i].status,
                                strlen (cases[i].status)),
                       0);
      CU_ASSERT_PTR_NOT_NULL (strstr (fixture.client.got, "not-run"));
    }
  CU_ASSERT_EQUAL (fixture.upstreams[0].requests, 0);
  CU_ASSERT_EQUAL (fixture.upstreams[1].requests, 0);
  CU_ASSERT_EQUAL (fixture.gateway.memory.held_bytes, 0);
  gatefixture_finish (&fixture);
}

static const struct suite_test tests[] = {
  { "golden transcripts", test_golden },
  { "requests in two parts", test_split_requests },
  { "request targets", test_request_targets },
  { "refused at the head", test_refused_at_the_head },
  { "not ready before the first configuration", test_not_ready },
  { "upstreams drain and leave", test_upstreams_leave },
  { "malformed registrations", test_malformed_registrations },
  { "malformed, old and new configurations", test_configurations },
  { "configuration of both hubs", test_config_of_both_hubs },
  { "store outages", test_store_outages },
  { "unknown key while the configuration may be stale", test_stale_config },
  { "client disconnects", test_client_disconnects },
  { "registration in the store", test_own_registration },
  { "drain", test_drain },
  { "requests are answered before a drain ends", test_drain_answers_requests },
  { "metrics", test_metrics },
  { "reload", test_reload },
  { "gateway peers", test_gateway_peers },
};

int
main (int argc, char **argv)
{
  rewrite = argc > 1 && strcmp (argv[1], "--rewrite") == 0;
  return suite_run ("test_gateway", tests, sizeof tests / sizeof tests[0]);
}
