/**
 * @file gatestage.h
 * A gateway with the platform's adapter, a stand-in store and stand-in
 * upstreams on one loop.
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

/** The first worker is in the gateway's zone and so the first choice of plain
    requests. @param configured  writes the first configuration. */
void gatestage_init (struct gatestage *stage, bool configured);
void gatestage_finish (struct gatestage *stage);

/** Announces a worker. @param more  fields before the usual ones, which they
    replace, or "". */
void gatestage_announce (struct gatestage *stage, unsigned int worker,
                         const char *state);
/** Writes a configuration. @param keys  of the customer, as JSON. */
void gatestage_configure (struct gatestage *stage, unsigned int version,
                          const char *keys, const char *service);

/** Runs the loop until `done`, 5 s at most. @return whether it is. */
bool gatestage_until (struct gatestage *stage,
                      bool (*done) (const struct gatestage *stage));
/** Runs the loop for a while. */
void gatestage_run (struct gatestage *stage, uint32_t duration_ms);

/** Sends a request from a client on a new connection, and waits for its
    response or its end. */
void gatestage_ask (struct gatestage *stage, const char *request);

#endif
