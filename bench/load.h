/**
 * @file load.h
 * State of a run of the load generator, and the report at its end.
 */
#ifndef BENCH_LOAD_H
#define BENCH_LOAD_H

#include "flow.h"
#include "sample.h"
#include "verify.h"
#include <event2/event.h>
#include <stdbool.h>
#include <stdint.h>

#define LOAD_FLOWS_MAX     2048
#define LOAD_CUSTOMERS_MAX 1024
#define LOAD_ROUTERS_MAX   64

struct load_options
{
  const char *routers[LOAD_ROUTERS_MAX]; /**< HOST:PORT for clients */
  uint32_t router_count;
  const char *control_addresses[FLOW_KIND_MAX]; /**< of stand-ins; or NULL */
  uint32_t seconds;
  uint32_t warmup_ms; /**< excluded from the latencies */
  uint32_t drain_ms;  /**< allowed for requests in flight at the end */
  uint32_t sample_ms; /**< interval of samples */
  uint32_t seed;
  uint32_t slots;    /**< total of all engines */
  uint32_t token_ms; /**< tick of the engines */
  uint32_t tokens_per_tick;
  uint32_t input_cost;  /**< cost units of an input token */
  uint32_t output_cost; /**< cost units of an output token */
  uint32_t exchange_ms; /**< exchange_interval_ms of the routers */
  uint32_t fault_ms;    /**< from the start of the run; 0: no fault */
  uint32_t lost_router; /**< index of the killed router; UINT32_MAX: none */
  uint32_t retry_ms;    /**< pause of a client after an error response */
  bool no_verify;       /**< skip the query of executions after the run */
  bool table;           /**< print a table of customers */
};

struct load
{
  struct load_options options;
  struct event_base *base;
  struct flow flows[LOAD_FLOWS_MAX];
  uint32_t flow_count;
  struct flow_customer customers[LOAD_CUSTOMERS_MAX];
  uint32_t customer_count;
  struct client **clients;
  uint32_t client_count;
  uint64_t start_ns;
  uint64_t random_state; /**< of load_random() */
  uint64_t next_id;      /**< last part of request ids */
  /** Longest wait of the head of a queue (see sample.h), and its router. */
  uint64_t longest_head_wait_us[LOAD_CUSTOMERS_MAX];
  uint32_t longest_head_wait_router[LOAD_CUSTOMERS_MAX];
  bool stopping; /**< send no more requests */
  bool was_idle; /**< no request was in flight at the last check */
  struct event *end_timer;
  struct sample_log samples;
  struct verify verify;
};

/** Finds or adds a customer.
    @return NULL if there are already LOAD_CUSTOMERS_MAX. */
struct flow_customer *load_get_customer (struct load *load, const char *name,
                                         uint32_t weight);

/** Milliseconds since the start of the run. */
uint64_t load_elapsed_ms (const struct load *load);

/** Next number of the seeded pseudo-random generator. */
uint64_t load_random (struct load *load);

/** Prints the results of a finished run.
    @return 0, or -1 if a response was missing, truncated or wrong, an error
    response had no valid verdict, no request completed, or the executions
    reported by the stand-ins contradict an outcome or could not be read. */
int report_print (struct load *load);
/** Prints the bound of the fairness gap, which depends on options only. */
void report_print_bound (const struct load *load);
/** Upper bound of the fairness gap in cost units: two of the largest requests
    for each slot, plus what all slots process in one exchange interval. */
uint64_t report_gap_bound (const struct load *load);
/** Duration of the longest request at an engine, after which every slot has
    been released at least once ("fair turn"). */
uint64_t report_fair_turn_ms (const struct load *load);
/** Cost of the largest request at an engine, in cost units. */
uint64_t report_largest_cost (const struct load *load);

#endif
