/**
 * @file sse.h
 * Cuts a stream of events into whole events, so that a client never sees a
 * part of one, and knows after which event the stream may go on.
 */
#ifndef PROTOCOL_SSE_H
#define PROTOCOL_SSE_H

#include <event2/buffer.h>
#include <stdbool.h>
#include <stdint.h>

#define SSE_ID_SIZE   24    /**< bytes of an event's number with its NUL */
#define SSE_EVENT_MAX 65536 /**< bytes of one event */

struct sse
{
  struct evbuffer *partial; /**< start of an event whose end is to come */
  bool has_id;
  uint64_t last_id; /**< of the last whole event */
  uint32_t events;  /**< whole events passed on */
};

/** @return 0 or ERR_NO_MEMORY. */
int sse_init (struct sse *sse);
void sse_finish (struct sse *sse);

/** Moves what is whole from `data` to `out`; an event that was passed on
    before is dropped.  @return 0, ERR_TOO_LARGE or ERR_NO_MEMORY. */
int sse_feed (struct sse *sse, struct evbuffer *data, struct evbuffer *out);

/** Drops the start of an event that will not be ended. */
void sse_cut (struct sse *sse);
/** True between events. */
bool sse_between (const struct sse *sse);
/** The last event's number as text; NULL before the first. */
const char *sse_last_id (const struct sse *sse, char text[SSE_ID_SIZE]);

#endif
