/**
 * @file kvmem.h
 * The platform's key-value service in memory: for one router, and for tests.
 */
#ifndef TRANSPORT_KVMEM_H
#define TRANSPORT_KVMEM_H

#include "protocol/platform.h"
#include "transport/clock.h"
#include <event2/event.h>

/**
 * Makes an empty store; released by its `finish` operation.
 * @param base  for the end of watches; NULL when they end by writes only.
 * @param clock for leases; must outlive the store.
 * @return NULL without memory.
 */
struct platform *kvmem_new (struct event_base *base,
                            const struct clock *clock);

#endif
