/**
 * @file request_int.h
 * Private parts of requests: the record, and the reply to the client.
 */
#ifndef REQUEST_INT_H
#define REQUEST_INT_H

#include "protocol/client.h"
#include "protocol/usage.h"
#include "request.h"

/** How the response is being passed on. */
enum request_reply
{
  REQUEST_REPLY_NONE,
  REQUEST_REPLY_HELD,    /**< collected, sent once it is whole */
  REQUEST_REPLY_LENGTH,  /**< streamed under a Content-Length */
  REQUEST_REPLY_CHUNKED, /**< streamed in chunks */
  REQUEST_REPLY_OVER     /**< ended; libevhtp's request is not ours now */
};

struct request
{
  struct router *router;
  evhtp_request_t *http; /**< NULL once the client is gone or answered */
  char id[CLIENT_REQUEST_ID_SIZE];
  char customer[CATALOG_NAME_SIZE];
  char profile[CATALOG_NAME_SIZE];
  uint64_t customer_id;
  uint64_t service_id;
  char *path;       /**< at the upstream, with its query */
  const char *body; /**< in the request's input buffer */
  size_t body_size; /**< bytes */
  bool engine;
  bool idempotent;
  bool resumable;
  struct upstream_attempt *attempt; /**< NULL between attempts */
  uint32_t attempt_number;
  uint64_t upstream_id;
  bool upstream_draining;
  bool paused;
  enum request_reply reply;
  int status;
  uint64_t delivered_bytes; /**< response body bytes passed to the client */
  struct usage usage;
  uint64_t arrival_ns;
  uint64_t first_attempt_ns; /**< 0 before the first attempt */
  uint64_t first_body_ns;    /**< 0 before the first byte of a body */
};

/** Handle of a request in the dispatcher. */
uint64_t request_handle (const struct request *request);

/** Starts an attempt, as a DISPATCH_CONNECT says. */
void request_connect (struct request *request,
                      const struct dispatch_action *action);

/** Starts the reply with an upstream's status line and headers. */
void request_reply_start (struct request *request, int status,
                          const struct upstream_header *headers, size_t count);
/** Forgets a held reply, so that another attempt may answer. */
void request_reply_reset (struct request *request);
/** Passes body bytes on and drains the buffer. */
void request_reply_body (struct request *request, struct evbuffer *data);
void request_reply_finish (struct request *request);
/** Gives libevhtp's request back once its response has been written. */
void request_reply_release (struct request *request);
void request_reply_abort (struct request *request);
/** True once the client has been sent bytes of the response. */
bool request_reply_started (const struct request *request);

/** Replies with a refusal, in JSON. */
void request_reply_refuse (evhtp_request_t *http, const char *request_id,
                           enum refusal refusal, enum verdict verdict);

#endif
