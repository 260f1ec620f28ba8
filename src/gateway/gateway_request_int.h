/**
 * @file gateway_request_int.h
 * Internals of client requests: the request structure, upstream attempts,
 * refusals.
 */
#ifndef GATEWAY_GATEWAY_REQUEST_INT_H
#define GATEWAY_GATEWAY_REQUEST_INT_H

#include "gateway/gateway_request.h"
#include "protocol/sse.h"
#include "state/attempt.h"
#include "state/choose.h"
#include "state/event_times.h"
#include "state/wait_queue.h"
#include "transport/reply.h"

#define GATEWAY_REQUEST_FAILED_CONNECTS_MAX                                   \
  4 /**< failed connections allowed beyond the route's attempts */

struct gateway_request
{
  struct gateway *gateway;
  struct gateway_request *prev;
  struct gateway_request *next;
  struct reply reply;
  struct adapter_request parsed;
  struct routing *routing; /**< configuration at arrival */
  const struct route *route;
  const struct routing_service *service;
  const struct routing_customer *customer; /**< NULL on a route without keys */
  const char *path;                        /**< with the query; owned */
  const char *body;
  size_t body_size;
  uint64_t arrival_ns;
  uint64_t waited_ns;   /**< time that its client had waited before that */
  uint64_t deadline_ns; /**< when the client gives up */
  uint64_t timeout_ns;  /**< limit set by the route */
  struct event *timer;  /**< fires at the earlier of both */
  struct attempt attempt_state;
  struct upstream_attempt *attempt; /**< NULL between attempts */
  uint64_t upstream_id;             /**< upstream of the attempt */
  uint32_t sent_attempts;           /**< attempts that sent at least a byte */
  bool response_begun; /**< response headers of the attempt arrived */
  /** The response is not forwarded: a retry follows, the upstream's signature
      is missing, or it cannot continue a started reply. */
  bool discard;
  /** A retry after this response was allowed, and is already counted in the
      retry budget. */
  bool retry_granted;
  bool paused; /**< reading from the upstream is paused: the client is slow */
  size_t output_bytes; /**< unsent to the client, as last seen */
  struct wait_queue_item queue_entry;
  uint64_t queued_upstream_id; /**< upstream that the request waits for */
  /** Counted as waiting for that upstream: tokens to prefill, and these times
      the customer's admission_usage_factor(). */
  uint32_t queued_tokens;
  uint32_t queued_weight;
  struct choose_candidates candidates;
  uint32_t prefill_tokens; /**< prompt tokens counted as the upstream's load
                             until it responds */
  /** Tokens that the upstream prefills before it responds: its backlog at the
      start of the attempt, and this prompt. */
  uint64_t tokens_before_response;
  /** Charged to the customer for the attempt; refunded if it does not run. */
  double charged_tokens;
  uint64_t attempt_start_ns;
  uint64_t digest; /**< see gateway_request_digest(); 0: not computed yet */
  uint32_t crashed_attempts; /**< ended by a crash of their upstream */
  bool responded;            /**< see gateway_quarantine_responded() */
  bool trial; /**< it tries a held entry, see state/quarantine.h */
  struct quarantine_key trial_key; /**< of that entry */
  bool awaits_trial;               /**< waits for the decision on a trial */
  uint64_t tried_ids[CHOOSE_EXCLUDED_MAX];
  size_t tried_count;
  bool awaits_peers;       /**< a stream whose build peers may know */
  uint64_t build;          /**< that the stream is bound to; 0: to none */
  uint64_t upstream_build; /**< of the upstream of the attempt */
  bool time_extended;      /**< for a response that was unread */
  bool is_stream; /**< the response is a stream of server-sent events */
  struct sse sse;
  struct event_times event_times;
  uint64_t first_byte_ns; /**< first response byte to the client; 0: none */
};

/** Begins with a request that has arrived, unless it waits for peers. */
void gateway_request_begin (struct gateway_request *request);
/** Sends the request to the best upstream, queues it, or refuses it. */
void gateway_request_try (struct gateway_request *request);
/** Ends and frees the request if its client has closed the connection.
    @return whether it did. */
bool gateway_request_end_if_client_left (struct gateway_request *request);
/** Digest by which a request that is sent again is recognised; see
    state/request_digest. */
uint64_t gateway_request_digest (struct gateway_request *request);
/** Removes the request from the queue, if it waits. */
void gateway_request_dequeue (struct gateway_request *request);
/** Measured state of the request's service, created on first use; NULL when
    out of memory. */
struct gateway_service *
gateway_request_service (struct gateway_request *request);
/** Weight, in thousandths, of prefix tokens that another upstream would have
    to recompute; see admission_recompute_permille(). */
uint32_t
gateway_request_recompute_permille (const struct gateway_request *request);
/** Selects the best upstream at this time. */
void gateway_request_choose (struct gateway_request *request,
                             struct choose_result *result);
/** Starts an attempt at the selected upstream. */
void gateway_request_start_attempt (struct gateway_request *request,
                                    const struct choose_result *result);
/** Refuses the request, or aborts a started response, when no further attempt
    is possible. */
void gateway_request_give_up (struct gateway_request *request);
/** Cancels the attempt in progress, if any. */
void gateway_request_cancel_attempt (struct gateway_request *request);
/** Whether another attempt is allowed; if it counts as a retry, it is taken
    from the retry budget. */
bool gateway_request_may_retry (struct gateway_request *request);

/** Sends a refusal, and frees the request. */
void gateway_request_refuse (struct gateway_request *request,
                             enum refusal refusal, uint32_t retry_after_ms);
/** Records a request whose response is complete, and frees it. */
void gateway_request_complete (struct gateway_request *request);
/** Aborts a started response, and frees the request. */
void gateway_request_abort (struct gateway_request *request);
/** Sends a refusal to a client. */
void gateway_request_send_refusal (struct gateway *gateway,
                                   evhtp_request_t *http, const char *id,
                                   enum refusal refusal, enum verdict verdict,
                                   uint32_t retry_after_ms);

#endif
