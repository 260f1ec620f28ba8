/**
 * @file sample.h
 * Periodic samples of the statistics of the stand-in upstreams and of the
 * requests in flight at the clients, and the fairness results computed from
 * them.  Nothing is read from the routers, so that the results do not depend
 * on their own accounting.
 */
#ifndef BENCH_SAMPLE_H
#define BENCH_SAMPLE_H

#include "flow.h"
#include <event2/http.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

struct load;

struct sample_customer
{
  uint64_t cost;        /**< cost units processed so far */
  uint64_t started;     /**< requests started */
  uint32_t running;     /**< requests running at the engines */
  uint32_t outstanding; /**< requests in flight at the clients */
};

struct sample
{
  uint64_t time_us;                  /**< since the start of the run */
  uint64_t busy_us;                  /**< time integral of busy slots */
  bool contended;                    /**< a request was waiting */
  struct sample_customer *customers; /**< by index in struct load */
};

/** Streamed requests of one customer that wait at one router: sent, and no
    body byte received yet. */
struct sample_queue
{
  uint32_t waiting;       /**< number of requests */
  uint64_t head_since_ns; /**< since when its oldest request has been the
                               oldest, the head */
};

struct sample_log
{
  struct sample *samples;
  size_t count;
  size_t capacity;
  struct evhttp_connection *connections[FLOW_KIND_MAX];
  bool polling[FLOW_KIND_MAX];   /**< a request for statistics is in flight */
  json_t *latest[FLOW_KIND_MAX]; /**< latest statistics; NULL: none yet */
  struct event *timer;
  struct sample_queue *queues; /**< customer x router */
};

/**
 * Fairness results of a run.  The gap is the difference between two customers
 * in the service received (cost units divided by weight) over an interval in
 * which both had requests waiting.
 */
struct sample_result
{
  double gap_worst;             /**< largest gap */
  double gap_settled;           /**< largest gap after the first fair turn */
  const char *gap_customers[2]; /**< the two with gap_worst */
  uint64_t gap_from_ms;         /**< interval of gap_worst */
  uint64_t gap_to_ms;
  double utilisation;             /**< of slots while a request waited */
  double utilisation_after_fault; /**< same, up to 5 s after the fault;
                                       -1: no fault or no samples */
  double contended_s;             /**< time during which a request waited */
  uint32_t backlogged_customers;  /**< with requests waiting at any time */
  uint32_t starved_customers; /**< that waited for over STARVATION_TURNS fair
                                 turns, or longer if their fair share is
                                 less than one slot */
  uint64_t head_wait_ms;      /**< longest wait of the head of a queue */
  const char *head_wait_customer;
};

int sample_start (struct load *load);
void sample_stop (struct load *load);
void sample_finish (struct load *load);

/** Updates the queue of a streamed request: it was sent, received its first
    body byte, or ended before that. */
void sample_request_sent (struct load *load, struct flow_customer *customer,
                          uint32_t router);
void sample_request_started (struct load *load, struct flow_customer *customer,
                             uint32_t router);
void sample_request_failed (struct load *load, struct flow_customer *customer,
                            uint32_t router);

void sample_evaluate (struct load *load, struct sample_result *result);

/** A number of the latest statistics; 0 if absent. */
uint64_t sample_stat (const struct load *load, enum flow_kind kind,
                      const char *name);
/** Same, of one customer. */
uint64_t sample_customer_stat (const struct load *load, enum flow_kind kind,
                               const char *customer, const char *name);

#endif
