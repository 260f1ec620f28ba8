/**
 * @file sample.h
 * What the stand-in engines report at intervals, beside what the clients
 * have out, and the fairness figures worked out from it: seen from outside
 * only, without a word from the routers.
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
  uint64_t cost;        /**< cost units, as produced so far */
  uint64_t started;     /**< requests */
  uint32_t running;     /**< at the engines */
  uint32_t outstanding; /**< at the clients */
};

struct sample
{
  uint64_t time_us;                  /**< since the start of the run */
  uint64_t busy_us;                  /**< time integral of busy slots */
  bool waiting;                      /**< some request waited */
  struct sample_customer *customers; /**< by index in struct load */
};

/** Waiting streams of one customer at one router. */
struct sample_head
{
  uint32_t waiting;
  uint64_t since_ns; /**< when the present head became one */
};

struct sample_log
{
  struct sample *samples;
  size_t count;
  size_t capacity;
  struct evhttp_connection *connections[FLOW_KIND_MAX];
  bool polling[FLOW_KIND_MAX];
  json_t *last[FLOW_KIND_MAX]; /**< newest statistics; NULL: none yet */
  struct event *timer;
  struct sample_head *heads; /**< customer x router */
};

/** Figures of a run. */
struct sample_result
{
  double gap_worst;   /**< cost units for weight 1 */
  double gap_settled; /**< likewise, after the first fair turn */
  const char *gap_pair[2];
  uint64_t gap_from_ms;
  uint64_t gap_to_ms;
  double utilisation;             /**< while any request waited */
  double utilisation_after_fault; /**< likewise, for 5 s; -1: no fault */
  double contended_s;             /**< time in which some request waited */
  uint32_t backlogged;            /**< customers backlogged at any time */
  uint32_t starved;
  uint64_t head_wait_ms; /**< longest */
  const char *head_customer;
};

int sample_start (struct load *load);
void sample_stop (struct load *load);
void sample_finish (struct load *load);

/** A streamed request was sent, got its first byte, or ended without. */
void sample_head_sent (struct load *load, struct flow_customer *customer,
                       uint32_t router);
void sample_head_start (struct load *load, struct flow_customer *customer,
                        uint32_t router);
void sample_head_gone (struct load *load, struct flow_customer *customer,
                       uint32_t router);

void sample_evaluate (struct load *load, struct sample_result *result);

/** A number of the newest statistics; 0 when absent. */
uint64_t sample_total (const struct load *load, enum flow_kind kind,
                       const char *name);
/** Likewise of one customer. */
uint64_t sample_customer_total (const struct load *load, enum flow_kind kind,
                                const char *customer, const char *name);

#endif
