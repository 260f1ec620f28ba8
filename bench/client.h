/**
 * @file client.h
 * One client of a flow: a connection to a router with at most one request in
 * flight.
 */
#ifndef BENCH_CLIENT_H
#define BENCH_CLIENT_H

#include "flow.h"
#include <stdint.h>

struct load;
struct client;

struct client *client_new (struct load *load, const struct flow *flow,
                           uint32_t index);
void client_free (struct client *client);

/** True while a request is in flight. */
int client_is_busy (const struct client *client);

/** Schedules the first request, at or after the start time of the flow. */
void client_start (struct client *client);

/** Counts the request that is still in flight at the end of the run, if
    any, as FLOW_NO_RESPONSE. */
void client_abandon_request (struct client *client);

#endif
