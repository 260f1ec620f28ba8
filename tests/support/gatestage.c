/**
 * @file gatestage.c
 * The stage of a gateway.
 */
#include "support/gatestage.h"
#include "../platform/adapter.h"
#include "../platform/store.h"
#include "support/platscene.h"
#include "support/suite.h"
#include <stdio.h>
#include <string.h>

static bool ready (const struct gatestage *stage);
static bool answered (const struct gatestage *stage);
static void on_limit (evutil_socket_t fd, short what, void *user);

void
gatestage_init (struct gatestage *stage, bool configured)
{
  static const char *const signatures[] = { "sig-a", "sig-b" };
  struct gateway_settings settings = {
    .instance = "gate-1",
    .availability_zone = "za",
    .client_address = "127.0.0.1:0",
    .probe_address = "127.0.0.1:0",
    .peer_address = "127.0.0.1:0",
    .connections_max = 400,
    .memory_mb = 100,
    .grace_ms = 8000,
    .upstream_leave_ms = 2000,
    .lease_min_ms = 1000,
    .retry_permille = 200,
    .retry_allowance = 50,
    .retry_window_ms = 10000,
    .share_window_ms = 4000,
    .reread_window_ms = 10000,
  };
  char address[32];
  unsigned int i;

  memset (stage, 0, sizeof *stage);
  stage->base = event_base_new ();
  platstore_init (&stage->store, stage->base);
  for (i = 0; i < GATESTAGE_WORKERS; i++)
    {
      platworker_init (&stage->workers[i], stage->base, signatures[i]);
      gatestage_announce (stage, i, "ready");
    }
  if (configured)
    gatestage_configure (stage, 1, "\"key-1\"", "s2");
  snprintf (address, sizeof address, "127.0.0.1:%u", stage->store.port);
  CU_ASSERT_EQUAL_FATAL (gateway_init (&stage->gateway, &settings,
                                       &platform_adapter, stage->base,
                                       store_new (stage->base, address)),
                         0);
  if (configured)
    CU_ASSERT_TRUE_FATAL (gatestage_until (stage, ready));
}

void
gatestage_finish (struct gatestage *stage)
{
  unsigned int i;

  platclient_finish (&stage->client);
  gateway_finish (&stage->gateway);
  for (i = 0; i < GATESTAGE_WORKERS; i++)
    platworker_finish (&stage->workers[i]);
  platstore_finish (&stage->store);
  event_base_loop (stage->base, EVLOOP_NONBLOCK);
  event_base_free (stage->base);
}

void
gatestage_announce (struct gatestage *stage, unsigned int worker,
                    const char *state)
{
  platscene_announce (&stage->store, worker, stage->workers[worker].port,
                      state);
}

void
gatestage_configure (struct gatestage *stage, unsigned int version,
                     const char *keys, const char *service)
{
  platscene_configure (&stage->store, version, keys, service);
}

static bool
ready (const struct gatestage *stage)
{
  return gateway_ready (&stage->gateway)
         && HASH_COUNT (stage->gateway.registry.upstreams)
                == GATESTAGE_WORKERS;
}

static bool
answered (const struct gatestage *stage)
{
  return stage->client.closed || platclient_answered (&stage->client);
}

static void
on_limit (evutil_socket_t fd, short what, void *user)
{
  (void)fd;
  (void)what;
  *(bool *)user = true;
}

bool
gatestage_until (struct gatestage *stage,
                 bool (*done) (const struct gatestage *stage))
{
  const struct timeval limit = { .tv_sec = 5 };
  bool late = false;
  struct event *timer = event_new (stage->base, -1, 0, on_limit, &late);

  event_add (timer, &limit);
  while (!done (stage) && !late)
    event_base_loop (stage->base, EVLOOP_ONCE);
  event_free (timer);
  return done (stage);
}

void
gatestage_run (struct gatestage *stage, uint32_t duration_ms)
{
  const struct timeval limit = clock_timeval (duration_ms);
  bool late = false;
  struct event *timer = event_new (stage->base, -1, 0, on_limit, &late);

  event_add (timer, &limit);
  while (!late)
    event_base_loop (stage->base, EVLOOP_ONCE);
  event_free (timer);
}

void
gatestage_ask (struct gatestage *stage, const char *request)
{
  platclient_finish (&stage->client);
  platclient_init (&stage->client, stage->base,
                   httpd_port (stage->gateway.httpd));
  platclient_send (&stage->client, request);
  gatestage_until (stage, answered);
}
