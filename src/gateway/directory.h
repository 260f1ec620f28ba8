/**
 * @file directory.h
 * Applies configuration and upstream registrations from the store, read
 * directly or through another gateway, to the gateway's routing and registry.
 */
#ifndef GATEWAY_DIRECTORY_H
#define GATEWAY_DIRECTORY_H

#include "gateway/gateway.h"

/** Creates the watches of configuration and upstreams, paused.
    @return 0 or ERR_NO_MEMORY. */
int directory_start (struct gateway *gateway);
void directory_finish (struct gateway *gateway);

/** Starts or stops watching the store.  While stopped, other gateways supply
    its items. */
void directory_set_watching (struct gateway *gateway, bool watching);
/** Upper bound of the age of this gateway's view of the store. */
uint64_t directory_age_ns (const struct gateway *gateway);
/** Bracket a complete snapshot of the store's items from another instance. */
void directory_snapshot_begin (struct gateway *gateway);
void directory_snapshot_end (struct gateway *gateway, uint64_t index);
/** Applies an item of the store that another instance forwarded. */
void directory_apply_item (struct gateway *gateway,
                           const struct platform_item *item);
/** Tells other gateways that an upstream was removed from the registry. */
void directory_upstream_removed (struct gateway *gateway,
                                 const struct registry_upstream *upstream);

/** Whether the configuration is so old that an unknown key or route may have
    been added since. */
bool directory_config_stale (const struct gateway *gateway);

#endif
