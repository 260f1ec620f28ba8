/**
 * @file gatefixture.h
 * Test fixture: a gateway with the platform's adapter, a store server and
 * scripted upstreams on one event loop.
 */
#ifndef TESTS_SUPPORT_GATEFIXTURE_H
#define TESTS_SUPPORT_GATEFIXTURE_H

#include "gateway/gateway.h"
#include "support/storeserver.h"
#include "support/upstreamserver.h"

#define GATEFIXTURE_UPSTREAMS 2

struct gatefixture
{
  struct event_base *base;
  struct storeserver store;
  struct upstreamserver upstreams[GATEFIXTURE_UPSTREAMS];
  struct gateway gateway;
  struct platclient client;
};

/** Starts the store server, the upstreams and the gateway.  The first upstream
    is in the gateway's availability zone, so plain requests prefer it.
    @param configured  writes a configuration and waits for the gateway to be
    ready. */
void gatefixture_init (struct gatefixture *fixture, bool configured);
void gatefixture_finish (struct gatefixture *fixture);
/** The same after gateway_finish() for the fixture's gateway. */
void gatefixture_finish_servers (struct gatefixture *fixture);

/** Registers an upstream in a state, such as "ready". */
void gatefixture_register_upstream (struct gatefixture *fixture,
                                    unsigned int upstream, const char *state);
/** Writes a configuration.
    @param keys  API keys of the customer, as JSON strings. */
void gatefixture_configure (struct gatefixture *fixture, unsigned int version,
                            const char *keys, const char *service);

/** Runs the loop until `done` is true, for 5 s at most.
    @return whether it is. */
bool gatefixture_run_until (struct gatefixture *fixture,
                            bool (*done) (const struct gatefixture *fixture));
/** Runs the loop for a time. */
void gatefixture_run (struct gatefixture *fixture, uint32_t duration_ms);

/** Sends a request on a new client connection, and waits until the response
    is complete or the connection is closed. */
void gatefixture_request (struct gatefixture *fixture, const char *request);

#endif
