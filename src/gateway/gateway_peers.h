/**
 * @file gateway_peers.h
 * Links to other gateways: finds them through the platform's store, exchanges
 * reports of load and of customers' usage with them, and forwards the store's
 * items to those that subscribe to this one (see coordination/hubs.h).
 */
#ifndef GATEWAY_GATEWAY_PEERS_H
#define GATEWAY_GATEWAY_PEERS_H

#include "gateway/gateway.h"

/** @return 0 or an error of peernet_new. */
int gateway_peers_start (struct gateway *gateway);
/** The store must be finished first. */
void gateway_peers_finish (struct gateway *gateway);

/** Number of other gateways with a working link. */
uint32_t gateway_peers_linked_count (const struct gateway *gateway);
/** Number of known gateways, including this one. */
uint32_t gateway_peers_fleet_size (const struct gateway *gateway);
/** The availability zone of this gateway, as far as known. */
void gateway_peers_zone (const struct gateway *gateway,
                         struct rotation_zone *zone);
/** Whether this gateway is a hub: watches the store and forwards its items. */
bool gateway_peers_is_hub (const struct gateway *gateway);

/** Renews the lease of this gateway's entry now, unless a call for it is
    pending or has failed.  It shows whether the store answers, at a tenth of
    the price of a read.
    @return whether there is a lease. */
bool gateway_peers_renew_lease (const struct gateway *gateway);
/** Start of the last grant or renewal that succeeded; 0: none. */
uint64_t gateway_peers_renewed_ns (const struct gateway *gateway);

/** Upper bound of the age of the view of the store received from a hub;
    UINT64_MAX without a hub. */
uint64_t gateway_peers_store_age_ns (const struct gateway *gateway);
/** What the other gateways knew at this time has reached this one, also if it
    was cut off or stood still meanwhile; now if there are no others, 0 if
    nothing is known of them. */
uint64_t gateway_peers_confirmed_ns (const struct gateway *gateway);
/** Stores an item for snapshots to future subscribers; sends it to current
    subscribers if it has changed. */
void gateway_peers_publish_item (struct gateway *gateway,
                                 const struct kvstore_item *item,
                                 bool changed);

#endif
