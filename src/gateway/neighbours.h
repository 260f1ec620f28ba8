/**
 * @file neighbours.h
 * Other gateways: finds them through the platform's store, tells them what
 * this one has in flight and has given customers, and lets those that hang on
 * it know what the store says (coordination/hubs.h).
 */
#ifndef GATEWAY_NEIGHBOURS_H
#define GATEWAY_NEIGHBOURS_H

#include "gateway/gateway.h"

/** @return 0 or an error of peernet_new. */
int neighbours_start (struct gateway *gateway);
/** After the platform is finished. */
void neighbours_finish (struct gateway *gateway);

/** Other gateways with a link that is up. */
uint32_t neighbours_linked (const struct gateway *gateway);
/** Gateways known, this one included. */
uint32_t neighbours_count (const struct gateway *gateway);
/** Whether this one follows the store for others. */
bool neighbours_hub (const struct gateway *gateway);

/** How old what a hub told of the store may be; UINT64_MAX without one. */
uint64_t neighbours_age_ns (const struct gateway *gateway);
/** Keeps an item for gateways that will hang on this one, and sends it to
    those that do when it is news. */
void neighbours_pass_on (struct gateway *gateway,
                         const struct platform_item *item, bool news);

#endif
