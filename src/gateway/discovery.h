/**
 * @file discovery.h
 * Applies configuration and upstream registrations from the store, read
 * directly or through another gateway, to the gateway's routing and registry.
 */
#ifndef GATEWAY_DISCOVERY_H
#define GATEWAY_DISCOVERY_H

#include "gateway/gateway.h"

/** Creates the watches of configuration and upstreams, paused.
    @return 0 or ERR_NO_MEMORY. */
int discovery_start (struct gateway *gateway);
void discovery_finish (struct gateway *gateway);

/** Watches the store. */
void discovery_watch (struct gateway *gateway);
/** Watches the configuration, and the upstreams too once the store answers; to
    be called again until then. */
void discovery_watch_if_store_answers (struct gateway *gateway);
/** Stops watching the store: other gateways supply its items. */
void discovery_stop_watching (struct gateway *gateway);
/** Upper bound of the age of this gateway's view of the store. */
uint64_t discovery_age_ns (const struct gateway *gateway);
/** Age from which a view of the store is not relied on: what is written until
    then can still be read elsewhere in time. */
uint32_t discovery_age_max_ms (const struct gateway *gateway);
/** Asks the store whether the view is current, if nothing has shown it for a
    while; to be called periodically. */
void discovery_confirm (struct gateway *gateway);
/** Bracket a complete snapshot of the store's items from another instance. */
void discovery_snapshot_begin (struct gateway *gateway);
void discovery_snapshot_end (struct gateway *gateway,
                             const struct store_position *position);
/** Applies an item of the store that another instance forwarded. */
void discovery_apply_item (struct gateway *gateway,
                           const struct kvstore_item *item);
/** Tells other gateways that an upstream was removed from the registry. */
void discovery_upstream_removed (struct gateway *gateway,
                                 const struct registry_upstream *upstream);

/** Whether the configuration is so old that an unknown key or route may have
    been added since. */
bool discovery_config_stale (const struct gateway *gateway);

#endif
