/**
 * @file gatefleet.c
 * A fleet of gateways for tests.
 */
#include "support/gatefleet.h"
#include "../platform/adapter.h"
#include "../platform/store.h"
#include "support/storeseed.h"
#include "support/suite.h"
#include "transport/loop.h"
#include <stdio.h>
#include <string.h>
#include <time.h>

#define RESPONSE_MS   30
#define LOOP_PAUSE_NS 200000

void
gatefleet_init (struct gatefleet *fleet)
{
  gatefleet_init_upstreams (fleet, GATEFLEET_UPSTREAMS);
}

void
gatefleet_init_upstreams (struct gatefleet *fleet, unsigned int upstreams)
{
  unsigned int i;

  memset (fleet, 0, sizeof *fleet);
  fleet->base = loop_new ();
  clock_init_real (&fleet->clock);
  storeserver_init (&fleet->store, fleet->base);
  fleet->upstream_count = upstreams;
  fleet->contact_ms = 3000;
  fleet->config_apply_ms = 2000;
  for (i = 0; i < upstreams; i++)
    {
      upstreamserver_init (&fleet->upstreams[i], fleet->base, "sig");
      fleet->upstreams[i].response_delay_ms = RESPONSE_MS;
      gatefleet_register (fleet, i);
    }
  storeseed_configure (&fleet->store, 1, "\"key-1\"", "s2");
}

void
gatefleet_start (struct gatefleet *fleet, unsigned int gateways)
{
  unsigned int i;

  fleet->gateway_count = gateways;
  for (i = 0; i < gateways; i++)
    gatefleet_start_gateway (fleet, i);
  gatefleet_wait_until_ready (fleet);
  fleet->start_ms = clock_now_ns (&fleet->clock) / CLOCK_NS_PER_MS;
}

uint64_t
gatefleet_now_ms (const struct gatefleet *fleet)
{
  return clock_now_ns (&fleet->clock) / CLOCK_NS_PER_MS - fleet->start_ms;
}

static void
upstream_key (const struct gatefleet *fleet, unsigned int index, char key[32])
{
  snprintf (key, 32, "servers/w-%u-%u", index, fleet->lives[index]);
}

void
gatefleet_register (struct gatefleet *fleet, unsigned int index)
{
  char key[32];
  char value[256];

  upstream_key (fleet, index, key);
  snprintf (fleet->upstreams[index].identity,
            sizeof fleet->upstreams[index].identity, "%s",
            key + strlen ("servers/"));
  snprintf (value, sizeof value,
            "{\"service\":\"s2\",\"address\":\"127.0.0.1:%u\",\"zone\":\"za\","
            "\"version\":\"%s\",\"slots\":8,\"state\":\"ready\","
            "\"cold_remaining_ms\":0,\"sequence\":1,\"born\":1000}",
            fleet->upstreams[index].port,
            fleet->builds[index] == NULL ? "v1" : fleet->builds[index]);
  storeserver_put (&fleet->store, key, value);
}

void
gatefleet_renew (struct gatefleet *fleet, unsigned int index)
{
  char key[32];

  upstream_key (fleet, index, key);
  storeserver_put (&fleet->store, key, NULL);
  fleet->lives[index]++;
  gatefleet_register (fleet, index);
}

void
gatefleet_start_gateway (struct gatefleet *fleet, unsigned int index)
{
  struct gateway_settings settings = {
    .availability_zone = "za",
    .client_address = "127.0.0.1:0",
    .probe_address = "127.0.0.1:0",
    .peer_address = "127.0.0.1:0",
    .connections_max = 200,
    .cpu_permille = 250,
    .memory_mb = 100,
    .grace_ms = 8000,
    .upstream_leave_ms = 2000,
    .contact_ms = fleet->contact_ms,
    .config_apply_ms = fleet->config_apply_ms,
    .lease_min_ms = 1000,
    .retry_permille = 200,
    .retry_allowance = 50,
    .retry_window_ms = 10000,
    .share_window_ms = 4000,
    .reread_window_ms = 10000,
  };
  struct event_base *base = fleet->own_bases[index] == NULL
                                ? fleet->base
                                : fleet->own_bases[index];
  char address[32];

  snprintf (settings.instance, sizeof settings.instance, "g-%u", index);
  snprintf (address, sizeof address, "127.0.0.1:%u",
            fleet->cutnet == NULL
                ? fleet->store.port
                : fleet->cutnet->ports[CUTNET_STORE][index].port);
  CU_ASSERT_EQUAL_FATAL (gateway_init (&fleet->gateways[index], &settings,
                                       &platform_adapter, base,
                                       store_new (base, address)),
                         0);
}

void
gatefleet_use_cutnet (struct gatefleet *fleet, struct cutnet *cutnet)
{
  fleet->cutnet = cutnet;
  cutnet_init (cutnet, fleet->base, fleet->store.port);
  fleet->store.edit = cutnet_edit_entry;
  fleet->store.edit_user = cutnet;
}

void
gatefleet_use_own_base (struct gatefleet *fleet, unsigned int index)
{
  fleet->own_bases[index] = loop_new ();
  fleet->has_own_bases = true;
}

/* Each loop for what is ready. */
static void
run_loops (struct gatefleet *fleet)
{
  const struct timespec pause = { .tv_nsec = LOOP_PAUSE_NS };
  unsigned int i;

  event_base_loop (fleet->base, EVLOOP_NONBLOCK);
  for (i = 0; i < GATEFLEET_GATEWAYS_MAX; i++)
    if (fleet->own_bases[i] != NULL && !fleet->stands_still[i])
      event_base_loop (fleet->own_bases[i], EVLOOP_NONBLOCK);
  nanosleep (&pause, NULL);
}

void
gatefleet_run (struct gatefleet *fleet, uint32_t duration_ms)
{
  const struct timeval duration = clock_timeval (duration_ms);
  uint64_t end_ns
      = clock_now_ns (&fleet->clock) + duration_ms * CLOCK_NS_PER_MS;

  if (fleet->has_own_bases)
    {
      while (clock_now_ns (&fleet->clock) < end_ns)
        run_loops (fleet);
      return;
    }
  event_base_loopexit (fleet->base, &duration);
  event_base_dispatch (fleet->base);
}

static bool
all_ready (const struct gatefleet *fleet)
{
  unsigned int i;

  for (i = 0; i < fleet->gateway_count; i++)
    if (!gateway_ready (&fleet->gateways[i])
        || HASH_COUNT (fleet->gateways[i].registry.upstreams)
               < fleet->upstream_count)
      return false;
  return true;
}

void
gatefleet_wait_until_ready (struct gatefleet *fleet)
{
  unsigned int rounds;

  for (rounds = 0; rounds < 500 && !all_ready (fleet); rounds++)
    gatefleet_run (fleet, 10);
  CU_ASSERT_TRUE_FATAL (all_ready (fleet));
  /* Links between gateways are up soon after. */
  gatefleet_run (fleet, 1000);
}

void
gatefleet_finish (struct gatefleet *fleet)
{
  unsigned int i;

  for (i = 0; i < fleet->gateway_count; i++)
    gateway_finish (&fleet->gateways[i]);
  for (i = 0; i < fleet->upstream_count; i++)
    upstreamserver_finish (&fleet->upstreams[i]);
  if (fleet->cutnet != NULL)
    cutnet_finish (fleet->cutnet);
  storeserver_finish (&fleet->store);
  event_base_loop (fleet->base, EVLOOP_NONBLOCK);
  for (i = 0; i < GATEFLEET_GATEWAYS_MAX; i++)
    if (fleet->own_bases[i] != NULL)
      event_base_free (fleet->own_bases[i]);
  event_base_free (fleet->base);
}
