/**
 * @file gatefleet.h
 * Test fixture: a fleet of gateways with the platform's adapter, a store
 * server and scripted upstreams on one event loop and the real clock.
 */
#ifndef TESTS_SUPPORT_GATEFLEET_H
#define TESTS_SUPPORT_GATEFLEET_H

#include "gateway/gateway.h"
#include "support/cutnet.h"
#include "support/storeserver.h"
#include "support/upstreamserver.h"

#define GATEFLEET_GATEWAYS_MAX 14 /* has hubs */
#define GATEFLEET_UPSTREAMS    8

struct gatefleet
{
  struct event_base *base;
  struct storeserver store;
  unsigned int gateway_count;
  unsigned int upstream_count;
  uint32_t contact_ms;      /* of the settings; before gateways start */
  uint32_t config_apply_ms; /* the same */
  struct gateway gateways[GATEFLEET_GATEWAYS_MAX];
  struct upstreamserver upstreams[GATEFLEET_UPSTREAMS];
  unsigned int lives[GATEFLEET_UPSTREAMS]; /* incarnations before this one */
  const char *builds[GATEFLEET_UPSTREAMS]; /* as registered; NULL: v1 */
  /** Through which gateways reach each other and the store; NULL: directly. */
  struct cutnet *cutnet;
  /** Loops of gateways that may stand still; NULL: the common one. */
  struct event_base *own_bases[GATEFLEET_GATEWAYS_MAX];
  bool has_own_bases;
  bool stands_still[GATEFLEET_GATEWAYS_MAX];
  struct clock clock;
  uint64_t start_ms;
};

/** Starts the store and the upstreams, which are registered. */
void gatefleet_init (struct gatefleet *fleet);
/** The same with fewer upstreams. */
void gatefleet_init_upstreams (struct gatefleet *fleet,
                               unsigned int upstreams);
/** Puts relays between gateways, and before the store; before these start. */
void gatefleet_use_cutnet (struct gatefleet *fleet, struct cutnet *cutnet);
/** Gives a gateway a loop of its own; before it starts. */
void gatefleet_use_own_base (struct gatefleet *fleet, unsigned int index);
/** Starts all gateways and waits until they know all upstreams and each other;
    time counts from then on. */
void gatefleet_start (struct gatefleet *fleet, unsigned int gateways);
/** Starts one gateway, at first or again. */
void gatefleet_start_gateway (struct gatefleet *fleet, unsigned int index);
void gatefleet_wait_until_ready (struct gatefleet *fleet);
void gatefleet_finish (struct gatefleet *fleet);

/** Registers an upstream. */
void gatefleet_register (struct gatefleet *fleet, unsigned int index);
/** Removes its registration and registers it under a new identity. */
void gatefleet_renew (struct gatefleet *fleet, unsigned int index);

void gatefleet_run (struct gatefleet *fleet, uint32_t duration_ms);
/** Time since the start. */
uint64_t gatefleet_now_ms (const struct gatefleet *fleet);

#endif
