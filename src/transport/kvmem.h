/**
 * @file kvmem.h
 * The platform's key-value store in memory, for a single router and for
 * tests.
 */
#ifndef TRANSPORT_KVMEM_H
#define TRANSPORT_KVMEM_H

#include "protocol/kvstore.h"
#include "transport/clock.h"
#include <event2/event.h>

/**
 * Creates an empty store; its `finish` operation frees it.
 * @param base  for the timeouts of watches; NULL if only writes end them.
 * @param clock for the expiry of locks; must outlive the store.
 * @return NULL if out of memory.
 */
struct kvstore *kvmem_new (struct event_base *base, const struct clock *clock);

/** Continues with the modify index after `index`. */
void kvmem_set_index (struct kvstore *kvstore, uint64_t index);

#endif
