/**
 * @file metrics.h
 * Counters of one instance.  They only grow; gauges are read from the tables
 * themselves when metrics are written.
 */
#ifndef STATE_METRICS_H
#define STATE_METRICS_H

#include "state/hist.h"
#include "state/refusal.h"
#include <stdint.h>
#include <uthash.h>

/** How a request ended. */
enum metrics_outcome
{
  METRICS_COMPLETED, /**< the client was sent the whole response */
  METRICS_REFUSED,   /**< the router itself responded */
  METRICS_ABORTED,   /**< the connection was aborted in mid-response */
  METRICS_CANCELED,  /**< the client went away */
  METRICS_OUTCOME_MAX
};

/** Counters of one (customer, service). */
struct metrics_pair
{
  uint64_t customer_id;
  uint64_t service_id;
  uint64_t accepted; /**< requests that were queued or dispatched */
  uint64_t outcomes[METRICS_OUTCOME_MAX];
  uint64_t attempts; /**< retries included */
  uint64_t retries;  /**< attempts after the first of a request */
  uint64_t response_bytes;
  uint64_t output_units; /**< output tokens */
  UT_hash_handle hh;
};

/** Times of one service's requests, from arrival. */
struct metrics_service
{
  uint64_t service_id;
  struct hist wait;           /**< to the first attempt */
  struct hist first_response; /**< to the first byte of the response body */
  struct hist total;          /**< to the end of the response */
  UT_hash_handle hh;
};

/** Zero-initialise. */
struct metrics
{
  struct metrics_pair *pairs;       /**< uthash; iterate only */
  struct metrics_service *services; /**< uthash; iterate only */
  uint64_t refused[REFUSAL_MAX];    /**< by reason */
};

/** Traffic of one kind of control message; sizes are those on the wire. */
struct metrics_traffic
{
  const char *kind;
  uint64_t messages_in;
  uint64_t messages_out;
  uint64_t bytes_in;
  uint64_t bytes_out;
};

void metrics_finish (struct metrics *metrics);

/** Counters of a pair; created on first use. NULL without memory. */
struct metrics_pair *metrics_pair (struct metrics *metrics,
                                   uint64_t customer_id, uint64_t service_id);

/** Times of a service; created on first use. NULL without memory. */
struct metrics_service *metrics_service (struct metrics *metrics,
                                         uint64_t service_id);

/** Counts the end of a request. */
void metrics_outcome (struct metrics *metrics, uint64_t customer_id,
                      uint64_t service_id, enum metrics_outcome outcome);

/** Counts a response of the router's own. */
void metrics_refused (struct metrics *metrics, enum refusal refusal);

/** Counts an attempt; `number` is 1 for a request's first. */
void metrics_attempt (struct metrics *metrics, uint64_t customer_id,
                      uint64_t service_id, uint32_t number);

/** Label of an outcome. */
const char *metrics_outcome_name (enum metrics_outcome outcome);

#endif
