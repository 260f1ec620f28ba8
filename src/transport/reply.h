/**
 * @file reply.h
 * Passes an upstream's response on to a client.  A response of a known,
 * moderate length is held until it is whole, so that a failure in its middle
 * can still be retried or refused by word; others are streamed.
 */
#ifndef TRANSPORT_REPLY_H
#define TRANSPORT_REPLY_H

#include "transport/httpd.h"
#include "transport/upstream.h"
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** How the response is being passed on. */
enum reply_mode
{
  REPLY_NONE,
  REPLY_HELD,    /**< collected, sent once it is whole */
  REPLY_LENGTH,  /**< streamed under a Content-Length */
  REPLY_CHUNKED, /**< streamed in chunks */
  REPLY_OVER     /**< ended; libevhtp's request is not ours now */
};

/** Zero-initialise, then set `http`. */
struct reply
{
  evhtp_request_t *http; /**< NULL once the client is gone or answered */
  enum reply_mode mode;
  int status;
  uint64_t delivered_bytes; /**< response body bytes passed to the client */
};

struct reply_head
{
  int status;
  const struct upstream_header *headers;
  size_t count;
  bool (*passes) (const char *name); /**< headers that are passed on */
  size_t held_max_bytes;             /**< longest response to hold */
};

/** Starts with an upstream's status line and headers. */
void reply_start (struct reply *reply, const struct reply_head *head);
void reply_header (struct reply *reply, const char *name, const char *value);
/** Sends the head that reply_start prepared, unless it is held. */
void reply_send_head (struct reply *reply);
/** Forgets a held reply, so that another attempt may answer. */
void reply_reset (struct reply *reply);
/** Passes body bytes on and drains the buffer. */
void reply_body (struct reply *reply, struct evbuffer *data);
/** Ends it, and gives libevhtp's request back. @param last  the connection
    serves no further request. */
void reply_finish (struct reply *reply, bool last);
/** Gives libevhtp's request back once its response has been written. */
void reply_release (struct reply *reply, bool last);
void reply_abort (struct reply *reply);
/** True once the client has been sent bytes of the response. */
bool reply_started (const struct reply *reply);

#endif
