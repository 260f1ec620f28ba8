/**
 * @file flow_int.h
 * Private parts of requests: the record, attempts and replies.
 */
#ifndef GATEWAY_FLOW_INT_H
#define GATEWAY_FLOW_INT_H

#include "gateway/flow.h"
#include "protocol/sse.h"
#include "state/attempt.h"
#include "state/choose.h"
#include "state/waitline.h"
#include "transport/reply.h"

#define FLOW_CONNECTS_MAX                                                     \
  4 /**< tries beside those that the route allows:                            \
         connections that could not be made */

struct flow
{
  struct gateway *gateway;
  struct flow *prev;
  struct flow *next;
  struct reply reply;
  struct adapter_ask ask;
  struct routing *routing; /**< the version that it arrived under */
  const struct route *route;
  const struct routing_service *service;
  const struct routing_customer *customer; /**< NULL when keyless */
  const char *path;                        /**< with its query; owned */
  const char *body;
  size_t body_size; /**< bytes */
  uint64_t arrival_ns;
  uint64_t deadline_ns; /**< the client waits no longer */
  uint64_t timeout_ns;  /**< the operator lets it wait no longer */
  struct event *timer;  /**< at the earlier of both */
  struct attempt record;
  struct upstream_attempt *attempt; /**< NULL between attempts */
  uint64_t upstream_id;             /**< of the attempt */
  uint32_t sends; /**< attempts of which an upstream was handed a byte */
  bool began;     /**< the upstream has answered this attempt */
  bool discard;   /**< the answer is a failure that is tried again */
  bool granted;   /**< that trial was drawn from the budget */
  bool paused;
  struct waitline_item wait;
  uint64_t wanted_id;     /**< upstream that it waits for */
  uint32_t wanted_tokens; /**< that it would have to read */
  struct choose_homes homes;
  uint32_t unread_tokens; /**< charged to the upstream until it begins */
  uint64_t begin_tokens;  /**< that it reads until this request begins */
  uint64_t start_ns;      /**< of the attempt */
  uint64_t tried[CHOOSE_AVOID_MAX];
  size_t tried_count;
  bool streams; /**< the answer is a stream of events */
  struct sse sse;
  uint64_t first_ns; /**< when the client was sent the first bytes */
};

/** Sends the request to the best upstream, has it wait, or refuses it. */
void flow_try (struct flow *flow);
/** Takes it out of the line, if it waits. */
void flow_unwait (struct flow *flow);
/** What is learned of its service; NULL without memory. */
struct gateway_service *flow_service (struct flow *flow);
/** Thousandths of what would be read again that it rather waits for. */
uint32_t flow_patience (const struct flow *flow);
/** The upstream that it would go to now. */
void flow_choose (struct flow *flow, struct choose_result *result);
/** Starts an attempt there. */
void flow_start (struct flow *flow, const struct choose_result *result);
/** No upstream is left to try: refuses it, or breaks it off. */
void flow_give_up (struct flow *flow);
/** Ends the attempt in progress, if any. */
void flow_cancel (struct flow *flow);
/** Whether the request may be handed to one more upstream; draws on the
    budget of repeats when it may. */
bool flow_may_repeat (struct flow *flow);

/** Answers with a refusal, and ends the request. */
void flow_refuse (struct flow *flow, enum refusal refusal,
                  uint32_t retry_after_ms);
/** Ends a request whose reply is over. */
void flow_free (struct flow *flow);
/** Breaks the response off, and ends the request. */
void flow_abort (struct flow *flow);
/** Answers a request that is not taken in. */
void flow_answer (struct gateway *gateway, evhtp_request_t *http,
                  const char *id, enum refusal refusal, enum verdict verdict,
                  uint32_t retry_after_ms);

#endif
