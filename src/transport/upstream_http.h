/**
 * @file upstream_http.h
 * The HTTP/1.1 driver of upstream.h, with a pool of connections per upstream.
 */
#ifndef TRANSPORT_UPSTREAM_HTTP_H
#define TRANSPORT_UPSTREAM_HTTP_H

#include "transport/clock.h"
#include "transport/upstream.h"
#include <event2/event.h>
#include <stdint.h>

/** A connection is not used again for a request that is not idempotent when
    it has been idle for longer; the upstream may be about to close it. */
#define UPSTREAM_HTTP_FRESH_MS 1000

struct upstream_http_config
{
  struct event_base *base;
  const struct clock *clock;
  const struct upstream_dialect *dialect; /**< NULL: the product's own */
  uint32_t connect_timeout_ms;
  uint32_t silence_ms;     /**< until a dead peer is noticed; 0: never */
  uint32_t read_max_bytes; /**< read at once, and ahead of a paused attempt */
};

extern const struct upstream_driver upstream_http_driver;

struct upstream_http;

/** @return the state to hand to the driver's start; NULL without memory. */
struct upstream_http *
upstream_http_new (const struct upstream_http_config *config);

/** All attempts must have ended. */
void upstream_http_free (struct upstream_http *http);

/** Closes connections that have been idle for half of their upstream's idle
    timeout.  Call about once a second. */
void upstream_http_sweep (struct upstream_http *http);

/** An upstream is gone: closes its idle connections. */
void upstream_http_forget (struct upstream_http *http, uint64_t upstream_id);

/** Connections open, idle ones too. */
uint32_t upstream_http_connections (const struct upstream_http *http);

#endif
