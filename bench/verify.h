/**
 * @file verify.h
 * Verification after a run: queries the stand-in upstreams for the number of
 * executions of each request id and compares it with the outcome.
 */
#ifndef BENCH_VERIFY_H
#define BENCH_VERIFY_H

#include "flow.h"
#include "standin/record.h"
#include <event2/event.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

struct verify_entry
{
  char request_id[RECORD_NAME_SIZE];
  enum flow_kind kind;
  enum flow_outcome outcome;
  bool idempotent;
};

struct verify
{
  struct verify_entry *entries;
  size_t count;
  size_t capacity;
};

/** Numbers of executions that contradict the outcome at the client. */
struct verify_result
{
  uint64_t checked;        /**< request ids */
  uint64_t repeated;       /**< not idempotent, but ran more than once */
  uint64_t false_not_run;  /**< verdict not-run, but ran */
  uint64_t never_run;      /**< complete response, but never ran */
  uint64_t failed_queries; /**< without a complete answer */
};

void verify_add (struct verify *verify, const char *request_id,
                 enum flow_kind kind, enum flow_outcome outcome,
                 bool idempotent);
void verify_run (struct verify *verify, struct event_base *base,
                 const char *const control[FLOW_KIND_MAX],
                 struct verify_result *result);
void verify_finish (struct verify *verify);

#endif
