/**
 * @file kvhttp.h
 * The platform's key-value service over HTTP and JSON.  Calls are limited in
 * rate and time and counted; none is repeated here, for only the caller knows
 * whether it may be.
 */
#ifndef TRANSPORT_KVHTTP_H
#define TRANSPORT_KVHTTP_H

#include "protocol/platform.h"
#include "transport/clock.h"
#include <event2/event.h>

struct kvhttp_config
{
  struct event_base *base;
  const struct clock *clock;     /**< must outlive the store */
  const char *address;           /**< IP number and port */
  uint32_t timeout_ms;           /**< of a call; a watch waits longer */
  uint32_t calls_per_second_max; /**< and saved up for one second */
};

/** @return a store, released by its `finish` operation, or NULL without
    memory or for a bad address. */
struct platform *kvhttp_new (const struct kvhttp_config *config);

#endif
