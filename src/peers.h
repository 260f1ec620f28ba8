/**
 * @file peers.h
 * Router module that connects this instance to its fleet: connections to
 * peers, heartbeats and leases; see router.h.
 */
#ifndef PEERS_H
#define PEERS_H

#include "coordination/confsync.h"
#include "router.h"
#include "state/metrics.h"
#include <stddef.h>
#include <stdint.h>

extern const struct router_module peers_module;

/** Adds the address of a peer, such as one that the platform listed.
    @return 0, ERR_INVALID, ERR_FULL, ERR_NO_MEMORY. */
int peers_add_address (struct router *router, const char *address);

/** Address on which this instance accepts peers; NULL when it has none. */
const char *peers_address (const struct router *router);

/** Sets the configuration objects that are replicated between peers. */
void peers_set_confsync (struct router *router, struct confsync *confsync);

/** Announces newer configuration of this instance to the peers at once. */
void peers_config_changed (struct router *router);

/** The fleet, for status reports. */
/** Whether this instance is the one among the fleet that decides about a
    subject, by its hash. */
bool peers_owns (const struct router *router, uint64_t subject);

struct fleet *peers_fleet (const struct router *router);

/** Writes the traffic per kind of message to `out`, which has
    MESSAGE_KIND_MAX entries. @return number of entries written. */
size_t peers_traffic (const struct router *router,
                      struct metrics_traffic *out);
/** CPU time spent on control messages. */
uint64_t peers_cpu_ns (const struct router *router);
/** Number of connected peers. */
size_t peers_link_count (const struct router *router);

#endif
