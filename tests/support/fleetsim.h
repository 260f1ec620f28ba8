/**
 * @file fleetsim.h
 * Fleet simulator: a few instances of the layers without I/O, connected by
 * in-memory links and served by simulated upstreams, on a clock that only the
 * test advances.  A fault is injected at a given step of an attempt;
 * invariants are checked at the end.  Every event and action is written to a
 * transcript, which tests compare with golden files byte for byte.
 */
#ifndef TESTS_SUPPORT_FLEETSIM_H
#define TESTS_SUPPORT_FLEETSIM_H

#include "coordination/confsync.h"
#include "coordination/fleet.h"
#include "state/dispatch.h"
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>

#define FLEETSIM_INSTANCES_MAX 4
#define FLEETSIM_REQUESTS_MAX  2048
#define FLEETSIM_MESSAGES_MAX  4096   /**< in flight on all links */
#define FLEETSIM_BODY_BYTES    50     /**< size of a response body */
#define FLEETSIM_CHUNK_BYTES   10     /**< of the body, per progress event */
#define FLEETSIM_INTERVAL_MS   100ULL /**< between exchanges of instances */
#define FLEETSIM_LEASE_MS      600ULL

/** Fault of an upstream. */
enum fleetsim_fault
{
  FLEETSIM_FAULT_NONE,
  FLEETSIM_FAULT_REFUSED,
  FLEETSIM_FAULT_RESET,
  FLEETSIM_FAULT_HALF_OPEN, /**< the attempt stops without a further event */
  FLEETSIM_FAULT_SLOW,
  FLEETSIM_FAULT_TRUNCATED,
  FLEETSIM_FAULT_LATE, /**< events continue after the attempt is cancelled */
  FLEETSIM_FAULT_WRONG_RESPONSE, /**< the response to another request */
  FLEETSIM_FAULT_REPEATED,       /**< every event is delivered twice */
  FLEETSIM_FAULT_DRAINING, /**< 503 from a draining upstream, not executed */
  FLEETSIM_FAULT_MAX
};

enum fleetsim_outcome
{
  FLEETSIM_PENDING,
  FLEETSIM_FINISHED,
  FLEETSIM_REFUSED,
  FLEETSIM_ABORTED,
  /** The client disconnected, or the instance crashed. */
  FLEETSIM_CLIENT_DISCONNECTED,
  FLEETSIM_OUTCOME_MAX
};

/** One attempt at a simulated upstream. */
struct fleetsim_attempt
{
  bool active;
  bool cancelled;
  uint32_t number;
  uint64_t upstream_id;
  enum attempt_step next; /**< the step that is run at `due_ns` */
  uint64_t due_ns;
  uint32_t offset_bytes; /**< position in the response body */
  bool prior_bytes_sent; /**< the request's bytes_sent before it */
  enum fleetsim_fault fault;
};

struct fleetsim_request
{
  bool used;
  char name[16];
  uint32_t instance; /**< number of the one it was submitted to */
  bool idempotent;
  uint32_t executions; /**< times that an upstream may have executed it */
  bool bytes_sent;     /**< a part of it was sent and not rejected */
  uint32_t delivered_bytes;
  bool corrupted; /**< client got a byte twice or out of order */
  enum fleetsim_outcome outcome;
  enum refusal refusal;
  enum verdict verdict;
  uint64_t ended_ns;
  struct fleetsim_attempt attempt;
};

struct fleetsim_instance
{
  bool running;
  bool paused;
  char name[16];
  uint64_t id;
  uint64_t incarnation;
  uint64_t max_index; /**< highest configuration index so far */
  struct catalog catalog;
  struct slots slots;
  struct ledger *ledger;
  struct dispatch *dispatch;
  struct confsync *confsync;
  struct fleet *fleet;
  struct fleetsim *sim;
};

struct fleetsim_message
{
  uint32_t from;   /**< number of the sending instance */
  uint32_t to;     /**< number of the receiving instance */
  uint64_t due_ns; /**< time of its delivery */
  struct message message;
};

struct fleetsim
{
  uint64_t now_ns;
  FILE *transcript; /**< NULL for none */
  uint32_t instance_count;
  struct fleetsim_instance instances[FLEETSIM_INSTANCES_MAX];
  bool cut[FLEETSIM_INSTANCES_MAX][FLEETSIM_INSTANCES_MAX]; /**< [from][to] */
  struct fleetsim_request requests[FLEETSIM_REQUESTS_MAX];
  uint32_t request_count;
  struct fleetsim_message messages[FLEETSIM_MESSAGES_MAX];
  uint32_t message_count;
  enum attempt_step fault_step;
  enum fleetsim_fault fault;
  uint32_t fault_attempts_left; /**< number of attempts still to fail */
  uint64_t service_ms;          /**< time between steps of an attempt */
  char violation[160]; /**< first violated invariant; empty for none */
  struct catalog_service services[2];
  uint32_t service_count;
  struct catalog_customer customers[4];
  uint32_t customer_count;
  struct catalog_profile profiles[8];
  uint32_t profile_count;
};

void fleetsim_init (struct fleetsim *sim, FILE *transcript);
void fleetsim_finish (struct fleetsim *sim);

/** These three add an object to the configuration that instances start with;
    call them before fleetsim_start. */
void fleetsim_add_service (struct fleetsim *sim, const char *name,
                           enum catalog_kind kind, uint32_t upstreams,
                           uint32_t slots);
void fleetsim_add_customer (struct fleetsim *sim, const char *name,
                            uint32_t weight, uint32_t waiting_max);
void fleetsim_add_profile (struct fleetsim *sim, const char *name,
                           const char *service,
                           enum catalog_class request_class, bool idempotent,
                           uint32_t deadline_ms, uint32_t attempts_max);

/** Starts an instance, or restarts it without its earlier state.
    @return the number of the instance. */
uint32_t fleetsim_start (struct fleetsim *sim, const char *name);
void fleetsim_crash (struct fleetsim *sim, uint32_t instance);
void fleetsim_set_paused (struct fleetsim *sim, uint32_t instance,
                          bool paused);
void fleetsim_set_link_cut (struct fleetsim *sim, uint32_t from, uint32_t to,
                            bool cut);
void fleetsim_drain (struct fleetsim *sim, uint32_t instance);

/** Submits a request to an instance. @return the number of the request. */
uint32_t fleetsim_submit (struct fleetsim *sim, uint32_t instance,
                          const char *name, const char *customer,
                          const char *profile);
void fleetsim_disconnect_client (struct fleetsim *sim, uint32_t request);
/** Injects the fault into the next `attempts` attempts that reach `step`. */
void fleetsim_set_fault (struct fleetsim *sim, enum attempt_step step,
                         enum fleetsim_fault fault, uint32_t attempts);

/** Runs the simulation for `duration_ms` in steps of 1 ms. */
void fleetsim_run (struct fleetsim *sim, uint64_t duration_ms);

/** Checks the invariants that hold once no request is open.
    @return whether all hold. */
bool fleetsim_check_invariants (struct fleetsim *sim);

const char *fleetsim_fault_name (enum fleetsim_fault fault);
const char *fleetsim_outcome_name (enum fleetsim_outcome outcome);

#endif
