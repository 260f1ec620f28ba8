/**
 * @file upstream_http.h
 * HTTP/1.1 driver for upstream.h, with a connection pool per upstream.
 */
#ifndef TRANSPORT_UPSTREAM_HTTP_H
#define TRANSPORT_UPSTREAM_HTTP_H

#include "transport/clock.h"
#include "transport/upstream.h"
#include <event2/event.h>
#include <stdint.h>

/** Longest idle time of a connection that is reused for a request which is not
    idempotent; after that the upstream may be about to close it. */
#define UPSTREAM_HTTP_REUSE_MAX_MS 1000

struct upstream_http_config
{
  struct event_base *base;
  const struct clock *clock;
  const struct upstream_dialect *dialect; /**< NULL: the default one */
  uint32_t connect_timeout_ms;
  uint32_t dead_peer_ms;   /**< time to detect a dead peer; 0: disabled */
  uint32_t read_max_bytes; /**< bytes per read, and buffered while paused */
  /** Bytes that the kernel may hold of a response; 0: as many as it likes. */
  uint32_t receive_buffer_bytes;
};

extern const struct upstream_driver upstream_http_driver;

struct upstream_http;

/** @return the driver state to pass to `start`; NULL if out of memory. */
struct upstream_http *
upstream_http_new (const struct upstream_http_config *config);

/** Frees the driver state; all attempts must have ended. */
void upstream_http_free (struct upstream_http *http);

/** Closes connections whose idle time has reached its limit: half of the
    upstream's idle timeout, or the limit from a Keep-Alive header.  Call about
    once a second. */
void upstream_http_close_idle (struct upstream_http *http);

/** Closes the idle connections of an upstream that was removed.  Its pool is
    freed with its last connection. */
void upstream_http_remove_upstream (struct upstream_http *http,
                                    uint64_t upstream_id);

/** Whether something of the response waits in the socket of an attempt. */
bool upstream_http_has_unread (const struct upstream_attempt *attempt);

/** @return the number of open connections, including idle ones. */
uint32_t upstream_http_connections (const struct upstream_http *http);

#endif
