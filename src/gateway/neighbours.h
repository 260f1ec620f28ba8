/**
 * @file neighbours.h
 * Other gateways: finds them through the platform's store, and exchanges with
 * them what each has in flight at upstreams and has given customers.
 */
#ifndef GATEWAY_NEIGHBOURS_H
#define GATEWAY_NEIGHBOURS_H

#include "gateway/gateway.h"

/** @return 0 or an error of peernet_new. */
int neighbours_start (struct gateway *gateway);
/** Before the platform is finished. */
void neighbours_finish (struct gateway *gateway);

/** Other gateways with a link that is up. */
uint32_t neighbours_linked (const struct gateway *gateway);
/** Gateways known, this one included. */
uint32_t neighbours_count (const struct gateway *gateway);

#endif
