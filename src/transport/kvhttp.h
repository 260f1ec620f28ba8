/**
 * @file kvhttp.h
 * The platform's key-value store over HTTP and JSON.  Calls have a rate limit
 * and a timeout and are counted.  They are not retried here, since only the
 * caller knows whether a retry is safe.
 */
#ifndef TRANSPORT_KVHTTP_H
#define TRANSPORT_KVHTTP_H

#include "protocol/kvstore.h"
#include "transport/clock.h"
#include <event2/event.h>

struct kvhttp_config
{
  struct event_base *base;
  const struct clock *clock;     /**< must outlive the store */
  const char *address;           /**< "IP:PORT"; must outlive the store */
  uint32_t timeout_ms;           /**< of a call; a watch adds its wait time */
  uint32_t calls_per_second_max; /**< bursts of up to one second's calls */
};

/** Creates a store; its `finish` operation frees it.
    @return NULL if out of memory or if the address is malformed. */
struct kvstore *kvhttp_new (const struct kvhttp_config *config);

#endif
