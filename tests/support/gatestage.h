/**
 * @file gatestage.h
 * Test fixture: a gateway with the platform's adapter, a store server and
 * scripted upstreams on one event loop.
 */
#ifndef TESTS_SUPPORT_GATESTAGE_H
#define TESTS_SUPPORT_GATESTAGE_H

#include "gateway/gateway.h"
#include "support/platstore.h"
#include "support/platworker.h"

#define GATESTAGE_WORKERS 2

struct gatestage
{
  struct event_base *base;
  struct platstore store;
  struct platworker workers[GATESTAGE_WORKERS];
  struct gateway gateway;
  struct platclient client;
};

/** Starts the store server, the upstreams and the gateway.  The first upstream
    is in the gateway's availability zone, so plain requests prefer it.
    @param configured  writes a configuration and waits for the gateway to be
    ready. */
void gatestage_init (struct gatestage *fixture, bool configured);
void gatestage_finish (struct gatestage *fixture);

/** Announces an upstream in a state, such as "ready". */
void gatestage_announce (struct gatestage *fixture, unsigned int upstream,
                         const char *state);
/** Writes a configuration.
    @param keys  API keys of the customer, as JSON strings. */
void gatestage_configure (struct gatestage *fixture, unsigned int version,
                          const char *keys, const char *service);

/** Runs the loop until `done` is true, for 5 s at most.
    @return whether it is. */
bool gatestage_until (struct gatestage *fixture,
                      bool (*done) (const struct gatestage *fixture));
/** Runs the loop for a time. */
void gatestage_run (struct gatestage *fixture, uint32_t duration_ms);

/** Sends a request on a new client connection, and waits until the response
    is complete or the connection is closed. */
void gatestage_ask (struct gatestage *fixture, const char *request);

#endif
