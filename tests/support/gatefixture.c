/**
 * @file gatefixture.c
 * Fixture for tests of a gateway.
 */
#include "support/gatefixture.h"
#include "../platform/adapter.h"
#include "../platform/store.h"
#include "support/storeseed.h"
#include "support/suite.h"
#include "transport/loop.h"
#include <stdio.h>
#include <string.h>

static bool is_ready (const struct gatefixture *fixture);
static bool is_answered (const struct gatefixture *fixture);
static void on_timeout (evutil_socket_t fd, short what, void *user);

void
gatefixture_init (struct gatefixture *fixture, bool configured)
{
  static const char *const signatures[] = { "sig-a", "sig-b" };
  struct gateway_settings settings = {
    .instance = "gate-1",
    .availability_zone = "za",
    .client_address = "127.0.0.1:0",
    .probe_address = "127.0.0.1:0",
    .peer_address = "127.0.0.1:0",
    .connections_max = 800,
    .memory_mb = 100,
    .grace_ms = 8000,
    .upstream_leave_ms = 2000,
    .contact_ms = 3000,
    .config_apply_ms = 2000,
    .lease_min_ms = 1000,
    .retry_permille = 200,
    .retry_allowance = 50,
    .retry_window_ms = 10000,
    .share_window_ms = 4000,
    .reread_window_ms = 10000,
  };
  char address[32];
  unsigned int i;

  memset (fixture, 0, sizeof *fixture);
  fixture->base = loop_new ();
  storeserver_init (&fixture->store, fixture->base);
  for (i = 0; i < GATEFIXTURE_UPSTREAMS; i++)
    {
      upstreamserver_init (&fixture->upstreams[i], fixture->base,
                           signatures[i]);
      gatefixture_register_upstream (fixture, i, "ready");
    }
  if (configured)
    gatefixture_configure (fixture, 1, "\"key-1\"", "s2");
  snprintf (address, sizeof address, "127.0.0.1:%u", fixture->store.port);
  CU_ASSERT_EQUAL_FATAL (gateway_init (&fixture->gateway, &settings,
                                       &platform_adapter, fixture->base,
                                       store_new (fixture->base, address)),
                         0);
  if (configured)
    CU_ASSERT_TRUE_FATAL (gatefixture_run_until (fixture, is_ready));
}

void
gatefixture_finish (struct gatefixture *fixture)
{
  gateway_finish (&fixture->gateway);
  gatefixture_finish_servers (fixture);
}

void
gatefixture_finish_servers (struct gatefixture *fixture)
{
  unsigned int i;

  platclient_finish (&fixture->client);
  for (i = 0; i < GATEFIXTURE_UPSTREAMS; i++)
    upstreamserver_finish (&fixture->upstreams[i]);
  storeserver_finish (&fixture->store);
  event_base_loop (fixture->base, EVLOOP_NONBLOCK);
  event_base_free (fixture->base);
}

void
gatefixture_register_upstream (struct gatefixture *fixture,
                               unsigned int upstream, const char *state)
{
  storeseed_register (&fixture->store, upstream,
                      fixture->upstreams[upstream].port, state);
}

void
gatefixture_configure (struct gatefixture *fixture, unsigned int version,
                       const char *keys, const char *service)
{
  storeseed_configure (&fixture->store, version, keys, service);
}

static bool
is_ready (const struct gatefixture *fixture)
{
  return gateway_ready (&fixture->gateway)
         && HASH_COUNT (fixture->gateway.registry.upstreams)
                == GATEFIXTURE_UPSTREAMS;
}

static bool
is_answered (const struct gatefixture *fixture)
{
  return fixture->client.closed || platclient_answered (&fixture->client);
}

static void
on_timeout (evutil_socket_t fd, short what, void *user)
{
  (void)fd;
  (void)what;
  *(bool *)user = true;
}

bool
gatefixture_run_until (struct gatefixture *fixture,
                       bool (*done) (const struct gatefixture *fixture))
{
  const struct timeval limit = { .tv_sec = 5 };
  bool timed_out = false;
  struct event *timer
      = event_new (fixture->base, -1, 0, on_timeout, &timed_out);

  event_add (timer, &limit);
  while (!done (fixture) && !timed_out)
    event_base_loop (fixture->base, EVLOOP_ONCE);
  event_free (timer);
  return done (fixture);
}

void
gatefixture_run (struct gatefixture *fixture, uint32_t duration_ms)
{
  const struct timeval limit = clock_timeval (duration_ms);
  bool timed_out = false;
  struct event *timer
      = event_new (fixture->base, -1, 0, on_timeout, &timed_out);

  event_add (timer, &limit);
  while (!timed_out)
    event_base_loop (fixture->base, EVLOOP_ONCE);
  event_free (timer);
}

void
gatefixture_request (struct gatefixture *fixture, const char *request)
{
  platclient_finish (&fixture->client);
  platclient_init (&fixture->client, fixture->base,
                   httpd_port (fixture->gateway.httpd));
  platclient_send (&fixture->client, request);
  gatefixture_run_until (fixture, is_answered);
}
