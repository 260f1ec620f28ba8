/**
 * @file record.h
 * Counters of the stand-in upstreams of a process: usage per customer and
 * executions per request id.  The load generator reads them over HTTP.
 */
#ifndef TESTS_STANDIN_RECORD_H
#define TESTS_STANDIN_RECORD_H

#include <jansson.h>
#include <stdint.h>
#include <uthash.h>

#define RECORD_NAME_SIZE 64 /**< bytes, with the NUL */

/** Usage by one customer. */
struct record_customer
{
  char name[RECORD_NAME_SIZE];
  uint64_t started;
  uint64_t finished;
  uint64_t cancelled;
  uint64_t input_tokens;  /**< counted when a request starts */
  uint64_t output_tokens; /**< counted as they are produced */
  uint64_t cost;          /**< cost units */
  uint64_t slot_us;       /**< slot time of ended requests, microseconds */
  uint32_t running;
  uint32_t waiting; /**< accepted while no slot was free */
  UT_hash_handle hh;
};

struct record_execution
{
  char request_id[RECORD_NAME_SIZE];
  uint32_t count;
  UT_hash_handle hh;
};

struct record
{
  uint64_t requests;
  uint64_t duplicates; /**< executions beyond the first of a request id */
  uint64_t cancelled;
  uint64_t refused;
  uint64_t oversubscribed; /**< requests that arrived while no slot was free */
  uint64_t resumed;
  uint32_t slots;   /**< of all listeners of the process */
  uint32_t busy;    /**< slots in use */
  uint64_t busy_us; /**< slot time used until busy_changed_ns, microseconds */
  uint64_t busy_changed_ns;
  struct record_customer *customers;
  struct record_execution *executions;
};

void record_init (struct record *record, uint32_t slots);
void record_finish (struct record *record);

/** Finds or adds a customer; aborts the process if out of memory. */
struct record_customer *record_customer (struct record *record,
                                         const char *name);
/** Counts an execution of a request id. */
void record_add_execution (struct record *record, const char *request_id);
uint32_t record_executions (const struct record *record,
                            const char *request_id);

/** Adds `change` to the slots in use and updates `busy_us`. */
void record_add_busy (struct record *record, int32_t change);

/** @return a new reference to the counters as JSON. */
json_t *record_stats (struct record *record);

/** Monotonic time in nanoseconds. */
uint64_t record_now_ns (void);

#endif
