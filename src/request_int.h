/**
 * @file request_int.h
 * Declarations shared by the request files: struct request and the reply to
 * the client.
 */
#ifndef REQUEST_INT_H
#define REQUEST_INT_H

#include "protocol/client.h"
#include "protocol/usage.h"
#include "request.h"
#include "transport/reply.h"

struct request
{
  struct router *router;
  char id[CLIENT_REQUEST_ID_SIZE];
  char customer[CATALOG_NAME_SIZE];
  char profile[CATALOG_NAME_SIZE];
  uint64_t customer_id;
  uint64_t service_id;
  char *path;       /**< sent to the upstream, with the query */
  const char *body; /**< in the input buffer of the request */
  size_t body_size; /**< bytes */
  bool is_engine;   /**< the service is an inference engine */
  bool idempotent;
  bool resumable; /**< an upstream can continue a started response */
  struct upstream_attempt *attempt; /**< NULL between attempts */
  uint32_t attempt_number;
  uint64_t upstream_id;
  bool upstream_draining;
  uint64_t digest;    /**< see state/request_digest; 0: not computed yet */
  bool trial;         /**< it tries whether upstreams still crash under it */
  bool paused;        /**< reading from the upstream is paused */
  struct reply reply; /**< `http` is NULL once the client is gone */
  struct usage usage;
  uint64_t arrival_ns;
  uint64_t first_attempt_ns; /**< 0 before the first attempt */
  uint64_t first_body_ns;    /**< 0 before the first byte of a body */
};

/** Handle of a request in the dispatcher. */
uint64_t request_handle (const struct request *request);

void request_free (struct request *request);

/** Starts an attempt for the action DISPATCH_CONNECT. */
void request_start_attempt (struct request *request,
                            const struct dispatch_action *action);

/** Starts the reply with the status and headers of an upstream. */
void request_reply_start (struct request *request, int status,
                          const struct upstream_header *headers, size_t count);
/** Discards a buffered reply, so that another attempt can reply. */
void request_reply_reset (struct request *request);

/** Replies with a refusal, in JSON. */
void request_reply_refuse (evhtp_request_t *http, const char *request_id,
                           enum refusal refusal, enum verdict verdict);

#endif
