/**
 * @file reply.h
 * Forwards an upstream's response to a client.  A response whose length is
 * known and small enough is buffered until it is complete, so that a failure
 * before its end can still be retried or answered with an error response;
 * others are streamed.
 */
#ifndef TRANSPORT_REPLY_H
#define TRANSPORT_REPLY_H

#include "transport/httpd.h"
#include "transport/upstream.h"
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** How the response is forwarded. */
enum reply_mode
{
  REPLY_NONE,
  REPLY_BUFFERED, /**< buffered, sent once it is complete */
  REPLY_LENGTH,   /**< streamed with a Content-Length */
  REPLY_CHUNKED,  /**< streamed with chunked transfer coding */
  REPLY_ENDED     /**< ended; the libevhtp request was given back */
};

/** Zero-initialise, then set `http`. */
struct reply
{
  evhtp_request_t *http; /**< NULL after the response or a disconnect */
  enum reply_mode mode;
  int status;
  uint64_t delivered_bytes; /**< response body bytes forwarded to the client */
  uint64_t length;          /**< of the body, with REPLY_LENGTH */
  bool overrun;             /**< there were more bytes than that */
  bool head_sent;           /**< of a response that is not buffered */
};

struct reply_head
{
  int status;
  const struct upstream_header *headers;
  size_t count;
  bool (*is_forwarded) (const char *name); /**< true for headers to forward */
  size_t buffered_max_bytes;               /**< longest response to buffer */
};

/** Chooses the mode and prepares the response headers from the upstream's
    status line and headers. */
void reply_start (struct reply *reply, const struct reply_head *head);
void reply_add_header (struct reply *reply, const char *name,
                       const char *value);
/** Sends the status line and headers that reply_start prepared, unless the
    response is buffered; otherwise the first body bytes do, or the end. */
void reply_send_head (struct reply *reply);
/** Discards a reply that has not started, so that another attempt can
    respond. */
void reply_reset (struct reply *reply);
/** Forwards body bytes and drains the buffer.
    @return 0, or ERR_TOO_LARGE if the body gets longer than `length`; then
    nothing is forwarded, and reply_finish() aborts the response. */
int reply_send_body (struct reply *reply, struct evbuffer *data);
/** Whether the body is complete by `length`; true without one.  The parts of a
    resumed response may add up to another length. */
bool reply_length_kept (const struct reply *reply);
/** Ends the response and gives the request back to libevhtp.
    @param last close the connection after this response.
    @return 0, or ERR_TRUNCATED if it was aborted for its length. */
int reply_finish (struct reply *reply, bool last);
/** Gives the request back to libevhtp after its response was written. */
void reply_release (struct reply *reply, bool last);
/** Ends an incomplete response by closing the client's connection. */
void reply_abort (struct reply *reply);
/** True if a part of the response was sent, so that another one cannot take
    its place. */
bool reply_started (const struct reply *reply);

#endif
