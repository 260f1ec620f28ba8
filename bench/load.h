/**
 * @file load.h
 * One run of the load program.
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
  const char *routers[LOAD_ROUTERS_MAX]; /**< HOST:PORT of clients' side */
  uint32_t router_count;
  const char *control[FLOW_KIND_MAX]; /**< of the stand-ins; NULL: none */
  uint32_t seconds;
  uint32_t warmup_ms; /**< left out of the latencies */
  uint32_t drain_ms;  /**< given to requests in flight at the end */
  uint32_t sample_ms;
  uint32_t seed;
  uint32_t slots; /**< of the engines, over the fleet */
  uint32_t token_ms;
  uint32_t tokens_per_tick;
  uint32_t input_cost;
  uint32_t output_cost;
  uint32_t exchange_ms;
  uint32_t fault_ms;    /**< time of the fault from the start; 0: none */
  uint32_t lost_router; /**< its failures are told apart; UINT32_MAX: none */
  uint32_t retry_ms;    /**< pause of a client after a refusal */
  bool no_verify;
  bool table;
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
  uint64_t random; /**< state of the generator */
  uint64_t next_id;
  uint64_t head_wait_us[LOAD_CUSTOMERS_MAX]; /**< longest, of a queue's head */
  uint32_t head_wait_router[LOAD_CUSTOMERS_MAX]; /**< and where */
  bool stopping;                                 /**< no new requests */
  bool quiet; /**< nothing was in flight at the last look */
  struct event *end;
  struct sample_log samples;
  struct verify verify;
};

/** Finds or adds. @return NULL when there are too many. */
struct flow_customer *load_customer (struct load *load, const char *name,
                                     uint32_t weight);

/** Milliseconds since the start of the run. */
uint64_t load_elapsed_ms (const struct load *load);

/** Next number of the seeded generator. */
uint64_t load_random (struct load *load);

/** Prints the figures of a finished run. @return 0, or -1 when a response
    was missing, cut or another's, or a request ran more often than it may. */
int report_print (struct load *load);
/** Prints the bound of the fairness gap, which settings alone decide. */
void report_bound (const struct load *load);
uint64_t report_gap_bound (const struct load *load);
/** Time in which all slots turn over once, in milliseconds. */
uint64_t report_fair_turn_ms (const struct load *load);
uint64_t report_largest_cost (const struct load *load);

#endif
