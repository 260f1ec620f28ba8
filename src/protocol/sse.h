/**
 * @file sse.h
 * Splits a server-sent event stream into complete events, so that a client
 * never receives part of one, and records the id of the last event, after
 * which the stream can be resumed.
 */
#ifndef PROTOCOL_SSE_H
#define PROTOCOL_SSE_H

#include <event2/buffer.h>
#include <stdbool.h>
#include <stdint.h>

#define SSE_ID_SIZE   24    /**< bytes of an event id, with NUL */
#define SSE_EVENT_MAX 65536 /**< maximum bytes of one event */

struct sse
{
  struct evbuffer *partial; /**< start of an incomplete event */
  bool has_id;
  uint64_t last_id; /**< of the last complete event */
  uint32_t events;  /**< complete events forwarded */
};

/** @return 0 or ERR_NO_MEMORY. */
int sse_init (struct sse *sse);
void sse_finish (struct sse *sse);

/** Moves complete events from `data` to `out` and buffers the rest.  Events
    whose id is not above that of the last event are dropped as duplicates.
    @return 0, ERR_TOO_LARGE or ERR_NO_MEMORY. */
int sse_feed (struct sse *sse, struct evbuffer *data, struct evbuffer *out);

/** Discards a buffered incomplete event. */
void sse_discard_partial (struct sse *sse);
/** True when no incomplete event is buffered. */
bool sse_at_event_boundary (const struct sse *sse);
/** Id of the last event as text; NULL before the first event with an id. */
const char *sse_last_id (const struct sse *sse, char text[SSE_ID_SIZE]);

#endif
