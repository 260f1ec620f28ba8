/**
 * @file verify.h
 * After a run, asks the stand-ins how often each request id ran.
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

/** Breaches of the promises, counted. */
struct verify_result
{
  uint64_t checked;
  uint64_t repeated;    /**< not idempotent, and ran more than once */
  uint64_t untrue;      /**< refused as not run, and ran */
  uint64_t unaccounted; /**< answered, and never ran */
  uint64_t unanswered;  /**< questions that got no answer */
};

void verify_add (struct verify *verify, const char *request_id,
                 enum flow_kind kind, enum flow_outcome outcome,
                 bool idempotent);
void verify_run (struct verify *verify, struct event_base *base,
                 const char *const control[FLOW_KIND_MAX],
                 struct verify_result *result);
void verify_finish (struct verify *verify);

#endif
