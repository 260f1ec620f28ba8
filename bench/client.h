/**
 * @file client.h
 * One client: a connection to a router over which a flow sends requests, one
 * at a time.
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

/** True while a request is out. */
int client_busy (const struct client *client);

/** Starts at the flow's time. */
void client_start (struct client *client);

/** Counts a request still out at the end of the run. */
void client_give_up (struct client *client);

#endif
