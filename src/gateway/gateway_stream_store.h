/**
 * @file gateway_stream_store.h
 * What a fleet that was lost as a whole has to know of streams: the store
 * keeps, for each service whose streams can be resumed, its single build or
 * that it has several (state/build_record); and, while it has several, which
 * streams began at which.
 *
 * Records are among the entries that gateways list at their start.  One hub
 * writes for the fleet: a record when it changes, and five times a second the
 * streams that have begun since, as one key that expires with a lease.
 */
#ifndef GATEWAY_GATEWAY_STREAM_STORE_H
#define GATEWAY_GATEWAY_STREAM_STORE_H

#include "gateway/gateway.h"

void gateway_stream_store_start (struct gateway *gateway);
/** Whether a key is that of a record. */
bool gateway_stream_store_owns_key (const struct gateway *gateway,
                                    const char *key);
/** Applies a record that was read from the store or forwarded by a hub. */
void gateway_stream_store_apply_item (struct gateway *gateway,
                                      const struct kvstore_item *item);
/** Whether this instance may still learn of streams that began before its
    start: it has not read the records, or what they refer to. */
bool gateway_stream_store_starting (const struct gateway *gateway);
/** Writes what has changed; to be called several times a second. */
void gateway_stream_store_tick (struct gateway *gateway);
/** The store must be finished first. */
void gateway_stream_store_finish (struct gateway *gateway);

#endif
