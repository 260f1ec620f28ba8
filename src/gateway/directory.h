/**
 * @file directory.h
 * Takes configuration and upstreams from the feeds into the tables in force.
 */
#ifndef GATEWAY_DIRECTORY_H
#define GATEWAY_DIRECTORY_H

#include "gateway/gateway.h"

/** Starts both feeds. @return 0 or ERR_NO_MEMORY. */
int directory_start (struct gateway *gateway);
void directory_finish (struct gateway *gateway);

/** Follows the store from now on, or leaves that to others. */
void directory_follow (struct gateway *gateway, bool follow);
/** How old what is known of the store may be. */
uint64_t directory_age_ns (const struct gateway *gateway);
/** Around a whole copy of the store's items that another instance sends. */
void directory_copy_begin (struct gateway *gateway);
void directory_copy_end (struct gateway *gateway, uint64_t index);
/** An item that another instance read. */
void directory_take (struct gateway *gateway,
                     const struct platform_item *item);
/** An upstream has gone from the roster. */
void directory_removed (struct gateway *gateway,
                        const struct roster_upstream *upstream);

/** True when a key or route that is not found may be new: what is known of
    the configuration is old. */
bool directory_unsure (const struct gateway *gateway);

#endif
