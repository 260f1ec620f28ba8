/**
 * @file peers.h
 * Joins this instance to its fleet: peer links, heartbeats, leases.  A part
 * of the runtime; see router.h.
 */
#ifndef PEERS_H
#define PEERS_H

#include "coordination/confsync.h"
#include "router.h"
#include "state/metrics.h"
#include <stddef.h>
#include <stdint.h>

extern const struct router_module peers_module;

/** Notes an address of a peer, such as from the platform's list.
    @return 0, ERR_INVALID, ERR_FULL, ERR_NO_MEMORY. */
int peers_offer_address (struct router *router, const char *address);

/** Address that this instance accepts peers at; NULL when it has none. */
const char *peers_address (const struct router *router);

/** Sets the source of configuration that is replicated between peers. */
void peers_set_confsync (struct router *router, struct confsync *confsync);

/** Configuration here became newer: peers learn of it at once. */
void peers_config_changed (struct router *router);

/** The fleet, for status reports. */
struct fleet *peers_fleet (const struct router *router);

/** Traffic by kind of message; `out` has room for MESSAGE_KIND_MAX.
    @return number written. */
size_t peers_traffic (const struct router *router,
                      struct metrics_traffic *out);
/** Processor time spent on control messages. */
uint64_t peers_cpu_ns (const struct router *router);
/** Peers connected. */
size_t peers_links (const struct router *router);

#endif
