/**
 * @file stage.h
 * A few instances of the pure layers, joined by an in-memory link and served
 * by fake upstreams, under a clock that only the test advances.  Faults are
 * set by step; invariants are checked at the end.  Every event and action
 * goes into a transcript, which golden files compare byte for byte.
 */
#ifndef TESTS_SUPPORT_STAGE_H
#define TESTS_SUPPORT_STAGE_H

#include "coordination/confsync.h"
#include "coordination/fleet.h"
#include "state/dispatch.h"
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>

#define STAGE_INSTANCES_MAX 4
#define STAGE_REQUESTS_MAX  2048
#define STAGE_MESSAGES_MAX  4096
#define STAGE_BODY_BYTES    50 /**< of a response */
#define STAGE_CHUNK_BYTES   10 /**< of one progress event */
#define STAGE_INTERVAL_MS   100ULL
#define STAGE_LEASE_MS      600ULL

/** What goes wrong at an upstream. */
enum stage_fault
{
  STAGE_FAULT_NONE,
  STAGE_FAULT_REFUSED,
  STAGE_FAULT_RESET,
  STAGE_FAULT_HALF_OPEN, /**< nothing more is heard of the attempt */
  STAGE_FAULT_SLOW,
  STAGE_FAULT_TRUNCATED,
  STAGE_FAULT_LATE,     /**< steps go on after the attempt was cancelled */
  STAGE_FAULT_CROSSED,  /**< response of another request */
  STAGE_FAULT_REPEATED, /**< every event comes twice */
  STAGE_FAULT_DRAINING, /**< 503, not run, draining */
  STAGE_FAULT_MAX
};

enum stage_outcome
{
  STAGE_PENDING,
  STAGE_FINISHED,
  STAGE_REFUSED,
  STAGE_ABORTED,
  STAGE_GONE, /**< client or its router went away */
  STAGE_OUTCOME_MAX
};

/** One attempt at a fake upstream. */
struct stage_attempt
{
  bool active;
  bool cancelled;
  uint32_t number;
  uint64_t upstream_id;
  enum attempt_step next;
  uint64_t due_ns;
  uint32_t offset_bytes; /**< of the response body */
  bool sent_before;      /**< an earlier attempt handed bytes on */
  enum stage_fault fault;
};

struct stage_request
{
  bool used;
  char name[16];
  uint32_t instance;
  bool idempotent;
  uint32_t executions;
  bool bytes_sent;
  uint32_t delivered_bytes;
  bool corrupted; /**< the client saw a byte twice or out of place */
  enum stage_outcome outcome;
  enum refusal refusal;
  enum verdict verdict;
  uint64_t ended_ns;
  struct stage_attempt attempt;
};

struct stage_instance
{
  bool running;
  bool paused;
  char name[16];
  uint64_t id;
  uint64_t incarnation;
  uint64_t index_seen; /**< largest configuration index so far */
  struct catalog catalog;
  struct slots slots;
  struct ledger *ledger;
  struct dispatch *dispatch;
  struct confsync *confsync;
  struct fleet *fleet;
  struct stage *stage;
};

struct stage_message
{
  uint32_t from;
  uint32_t to;
  uint64_t due_ns;
  struct message message;
};

struct stage
{
  uint64_t now_ns;
  FILE *transcript; /**< NULL for none */
  uint32_t instance_count;
  struct stage_instance instances[STAGE_INSTANCES_MAX];
  bool cut[STAGE_INSTANCES_MAX][STAGE_INSTANCES_MAX]; /**< from, to */
  struct stage_request requests[STAGE_REQUESTS_MAX];
  uint32_t request_count;
  struct stage_message messages[STAGE_MESSAGES_MAX];
  uint32_t message_count;
  enum attempt_step fault_step;
  enum stage_fault fault;
  uint32_t fault_uses; /**< attempts that the fault still hits */
  uint64_t service_ms; /**< time between steps of an upstream */
  char violation[160]; /**< first invariant broken; empty for none */
  struct catalog_service services[2];
  uint32_t service_count;
  struct catalog_customer customers[4];
  uint32_t customer_count;
  struct catalog_profile profiles[8];
  uint32_t profile_count;
};

void stage_init (struct stage *stage, FILE *transcript);
void stage_finish (struct stage *stage);

/** Objects every instance starts with; call before stage_start. */
void stage_service (struct stage *stage, const char *name,
                    enum catalog_kind kind, uint32_t upstreams,
                    uint32_t slots);
void stage_customer (struct stage *stage, const char *name, uint32_t weight,
                     uint32_t waiting_max);
void stage_profile (struct stage *stage, const char *name, const char *service,
                    enum catalog_class request_class, bool idempotent,
                    uint32_t deadline_ms, uint32_t attempts_max);

/** Starts (or restarts cold) an instance. @return its number. */
uint32_t stage_start (struct stage *stage, const char *name);
void stage_crash (struct stage *stage, uint32_t instance);
void stage_pause (struct stage *stage, uint32_t instance, bool paused);
void stage_cut (struct stage *stage, uint32_t from, uint32_t to, bool cut);
void stage_drain (struct stage *stage, uint32_t instance);

/** Sends a request. @return its number. */
uint32_t stage_arrive (struct stage *stage, uint32_t instance,
                       const char *name, const char *customer,
                       const char *profile);
void stage_client_gone (struct stage *stage, uint32_t request);
/** The next `uses` attempts that reach `step` meet the fault there. */
void stage_fault (struct stage *stage, enum attempt_step step,
                  enum stage_fault fault, uint32_t uses);

/** Advances the clock in steps of a millisecond. */
void stage_run (struct stage *stage, uint64_t duration_ms);

/** Checks the invariants that hold at rest. @return true when all hold. */
bool stage_check (struct stage *stage);

const char *stage_fault_name (enum stage_fault fault);
const char *stage_outcome_name (enum stage_outcome outcome);

#endif
