/**
 * @file flow.h
 * Workload of the load generator: customers and their flows of requests,
 * parsed from arguments of the form KEY=VALUE[,KEY=VALUE...].
 */
#ifndef BENCH_FLOW_H
#define BENCH_FLOW_H

#include "series.h"
#include <stdbool.h>
#include <stdint.h>

#define FLOW_NAME_SIZE   48 /**< bytes, with the NUL */
#define FLOW_ROUTERS_MAX 64

enum flow_kind
{
  FLOW_ENGINE, /**< inference engine with an OpenAI-style API */
  FLOW_PLAIN,  /**< any other HTTP service */
  FLOW_KIND_MAX
};

/** How a request ended for the client. */
enum flow_outcome
{
  FLOW_COMPLETE,             /**< complete, every byte as expected */
  FLOW_REFUSED_NOT_RUN,      /**< error response with verdict not-run */
  FLOW_REFUSED_MAY_HAVE_RUN, /**< same, with verdict may-have-run */
  FLOW_REFUSED_RAN,          /**< same, with verdict ran */
  FLOW_TRUNCATED,            /**< response ended early */
  FLOW_NO_RESPONSE,          /**< no response, or no body byte of it */
  FLOW_MISMATCHED,           /**< wrong request id or wrong bytes */
  FLOW_REFUSED_NO_VERDICT,   /**< error response without a valid verdict */
  FLOW_OUTCOME_MAX
};

/** Totals of a customer over all its flows. */
struct flow_customer
{
  char name[FLOW_NAME_SIZE];
  uint32_t weight;
  bool has_kind[FLOW_KIND_MAX]; /**< has a flow of this kind */
  uint64_t sent;
  uint64_t outcomes[FLOW_OUTCOME_MAX];
  uint64_t lost_with_router;           /**< failed at the killed router */
  uint32_t outstanding[FLOW_KIND_MAX]; /**< requests in flight */
  struct series total_us;              /**< latency of the whole response */
  struct series first_byte_us;         /**< latency of the first body byte */
};

/** A pattern of requests of one customer. */
struct flow
{
  struct flow_customer *customer;
  char name[FLOW_NAME_SIZE];
  char key[FLOW_NAME_SIZE]; /**< API key */
  char profile[FLOW_NAME_SIZE];
  char service[FLOW_NAME_SIZE]; /**< name in the path of FLOW_PLAIN */
  enum flow_kind kind;
  uint32_t weight;        /**< of the customer */
  uint32_t concurrency;   /**< number of clients */
  uint32_t rate;          /**< requests/s of all clients; 0: closed loop */
  uint32_t limit;         /**< requests of each client; 0: no limit */
  uint32_t output_min;    /**< output tokens, lower bound */
  uint32_t output_max;    /**< output tokens, upper bound */
  uint32_t long_tokens;   /**< output tokens of long requests */
  uint32_t long_permille; /**< share of long requests */
  uint32_t prompt_bytes;
  uint32_t start_ms; /**< from the start of the run */
  uint32_t stop_ms;  /**< 0: end of the run */
  uint32_t on_ms;    /**< length of a burst; 0: no bursts */
  uint32_t off_ms;   /**< pause between bursts; 0: no bursts */
  uint32_t think_ms; /**< pause after a response, in a closed loop */
  bool streamed;
  bool chat; /**< chat completion; else text completion */
  bool idempotent;
  uint32_t routers[FLOW_ROUTERS_MAX]; /**< indices of load_options.routers */
  uint32_t router_count;              /**< 0: all */
};

/** Parses an argument. @return 0, or -1 with a message on stderr. */
int flow_parse (struct flow *flow, const char *argument);

/** Cost of the flow's largest request, in cost units.  `input_cost` and
    `output_cost` are the cost units of one input and one output token. */
uint64_t flow_largest_cost (const struct flow *flow, uint32_t input_cost,
                            uint32_t output_cost);

const char *flow_outcome_name (enum flow_outcome outcome);

#endif
