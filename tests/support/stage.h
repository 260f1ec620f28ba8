/**
 * @file stage.h
 * Fleet simulator: a few instances of the layers without I/O, connected by
 * in-memory links and served by simulated upstreams, on a clock that only the
 * test advances.  A fault is injected at a given step of an attempt;
 * invariants are checked at the end.  Every event and action is written to a
 * transcript, which tests compare with golden files byte for byte.
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
#define STAGE_BODY_BYTES    50 /**< size of a response body */
#define STAGE_CHUNK_BYTES   10 /**< part of it per progress event */
#define STAGE_INTERVAL_MS   100ULL
#define STAGE_LEASE_MS      600ULL

/** Fault of an upstream. */
enum stage_fault
{
  STAGE_FAULT_NONE,
  STAGE_FAULT_REFUSED,
  STAGE_FAULT_RESET,
  STAGE_FAULT_HALF_OPEN, /**< the attempt stops without a further event */
  STAGE_FAULT_SLOW,
  STAGE_FAULT_TRUNCATED,
  STAGE_FAULT_LATE,     /**< events continue after the attempt is cancelled */
  STAGE_FAULT_CROSSED,  /**< the response belongs to another request */
  STAGE_FAULT_REPEATED, /**< every event is delivered twice */
  STAGE_FAULT_DRAINING, /**< 503 from a draining upstream, not executed */
  STAGE_FAULT_MAX
};

enum stage_outcome
{
  STAGE_PENDING,
  STAGE_FINISHED,
  STAGE_REFUSED,
  STAGE_ABORTED,
  STAGE_GONE, /**< the client disconnected or the instance crashed */
  STAGE_OUTCOME_MAX
};

/** One attempt at a simulated upstream. */
struct stage_attempt
{
  bool active;
  bool cancelled;
  uint32_t number;
  uint64_t upstream_id;
  enum attempt_step next;
  uint64_t due_ns;
  uint32_t offset_bytes; /**< position in the response body */
  bool prior_bytes_sent; /**< bytes_sent before the attempt */
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
  bool corrupted; /**< client got a byte twice or out of order */
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
  uint64_t index_seen; /**< highest configuration index so far */
  struct catalog catalog;
  struct slots slots;
  struct ledger *ledger;
  struct dispatch *dispatch;
  struct confsync *confsync;
  struct fleet *fleet;
  struct stage *sim;
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
  bool cut[STAGE_INSTANCES_MAX][STAGE_INSTANCES_MAX]; /**< [from][to] */
  struct stage_request requests[STAGE_REQUESTS_MAX];
  uint32_t request_count;
  struct stage_message messages[STAGE_MESSAGES_MAX];
  uint32_t message_count;
  enum attempt_step fault_step;
  enum stage_fault fault;
  uint32_t fault_uses; /**< number of attempts still to fail */
  uint64_t service_ms; /**< time between steps of an attempt */
  char violation[160]; /**< first violated invariant; empty for none */
  struct catalog_service services[2];
  uint32_t service_count;
  struct catalog_customer customers[4];
  uint32_t customer_count;
  struct catalog_profile profiles[8];
  uint32_t profile_count;
};

void stage_init (struct stage *sim, FILE *transcript);
void stage_finish (struct stage *sim);

/** Adds an object to the configuration that instances start with; call before
    stage_start. */
void stage_service (struct stage *sim, const char *name,
                    enum catalog_kind kind, uint32_t upstreams,
                    uint32_t slots);
void stage_customer (struct stage *sim, const char *name, uint32_t weight,
                     uint32_t waiting_max);
void stage_profile (struct stage *sim, const char *name, const char *service,
                    enum catalog_class request_class, bool idempotent,
                    uint32_t deadline_ms, uint32_t attempts_max);

/** Starts an instance, or restarts it without its earlier state.
    @return its number. */
uint32_t stage_start (struct stage *sim, const char *name);
void stage_crash (struct stage *sim, uint32_t instance);
void stage_pause (struct stage *sim, uint32_t instance, bool paused);
void stage_cut (struct stage *sim, uint32_t from, uint32_t to, bool cut);
void stage_drain (struct stage *sim, uint32_t instance);

/** Submits a request to an instance. @return its number. */
uint32_t stage_arrive (struct stage *sim, uint32_t instance, const char *name,
                       const char *customer, const char *profile);
void stage_client_gone (struct stage *sim, uint32_t request);
/** Injects the fault into the next `uses` attempts that reach `step`. */
void stage_fault (struct stage *sim, enum attempt_step step,
                  enum stage_fault fault, uint32_t uses);

/** Runs the simulation in steps of a millisecond. */
void stage_run (struct stage *sim, uint64_t duration_ms);

/** Checks the invariants that hold once no request is open.
    @return whether all hold. */
bool stage_check (struct stage *sim);

const char *stage_fault_name (enum stage_fault fault);
const char *stage_outcome_name (enum stage_outcome outcome);

#endif
