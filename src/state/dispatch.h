/**
 * @file dispatch.h
 * Request scheduler of an instance: admission, queueing, selection of the next
 * request and its upstream, attempts, retries and deadlines.  It does no I/O
 * and reads no clock: the caller passes events with the current time and
 * receives actions in a buffer that it owns.
 */
#ifndef STATE_DISPATCH_H
#define STATE_DISPATCH_H

#include "state/attempt.h"
#include "state/catalog.h"
#include "state/estimate.h"
#include "state/ledger.h"
#include "state/placement.h"
#include "state/queue.h"
#include "state/refusal.h"
#include "state/reserve.h"
#include "state/retry_budget.h"
#include "state/slots.h"
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** Events reported by the caller. */
enum dispatch_event_kind
{
  DISPATCH_ARRIVED,             /**< complete, authenticated request */
  DISPATCH_CONNECTING,          /**< connection attempt started */
  DISPATCH_SENDING,             /**< first request byte handed to the socket */
  DISPATCH_SENT,                /**< last request byte handed to the socket */
  DISPATCH_RESPONDING,          /**< response status line received */
  DISPATCH_PROGRESS,            /**< more of the response received */
  DISPATCH_COMPLETED,           /**< complete response received */
  DISPATCH_FAILED,              /**< the current attempt failed */
  DISPATCH_CLIENT_DISCONNECTED, /**< client closed its connection */
  DISPATCH_CAPACITY_CHANGED,    /**< slots or catalog changed */
  DISPATCH_TICK,                /**< time passed */
  DISPATCH_DRAIN,               /**< admit no new requests */
  DISPATCH_EVENT_MAX
};

/** A new request. */
struct dispatch_arrival
{
  uint64_t customer_id;
  uint64_t profile_id;
  uint64_t input_tokens; /**< input tokens; 0 if not a model engine */
  uint64_t prefix_hash;  /**< of the prompt prefix; 0 for none */
};

struct dispatch_event
{
  enum dispatch_event_kind kind;
  uint64_t request; /**< request handle chosen by the caller */
  uint32_t attempt; /**< events of earlier attempts are ignored */
  union
  {
    struct dispatch_arrival arrival; /**< DISPATCH_ARRIVED */
    struct
    {
      uint64_t output_tokens; /**< output tokens so far, or 0 */
      bool client_started;    /**< response bytes were sent to the client */
      bool draining;          /**< the upstream reported that it is draining */
    } progress;               /**< DISPATCH_PROGRESS, _COMPLETED */
    struct
    {
      /** enum err; ERR_UNAVAILABLE: the upstream rejected the request
          without executing it */
      int error;
      bool resumable;      /**< engine can resume at the exact byte offset */
      bool client_started; /**< response bytes were sent to the client */
      bool draining;       /**< the upstream reported that it is draining */
      bool final;          /**< the request must not be sent again */
    } failure;             /**< DISPATCH_FAILED */
  } u;
};

/** Actions that the caller carries out. */
enum dispatch_action_kind
{
  DISPATCH_CONNECT, /**< start attempt `attempt` at `upstream_id` */
  DISPATCH_CANCEL,  /**< abort attempt `attempt`; close its connection */
  DISPATCH_REFUSE,  /**< respond to the client with `refusal` and `verdict` */
  DISPATCH_ABORT,   /**< response has started: abort the client connection */
  DISPATCH_FINISH,  /**< complete the response to the client */
  DISPATCH_RELEASE, /**< release the request; no later action names it */
  DISPATCH_SLOT_IDLE, /**< slot at `upstream_id` is free; no request is queued
                       */
  DISPATCH_ACTION_MAX
};

struct dispatch_action
{
  enum dispatch_action_kind kind;
  uint64_t request;
  uint32_t attempt;
  uint64_t upstream_id;
  bool resume;          /**< DISPATCH_CONNECT: resume at the byte offset */
  enum refusal refusal; /**< DISPATCH_REFUSE */
  enum verdict verdict; /**< DISPATCH_REFUSE, DISPATCH_ABORT */
};

/** Growable action buffer.  Zero-initialise. */
struct dispatch_actions
{
  struct dispatch_action *items;
  size_t count;
  size_t capacity;
};

void dispatch_actions_finish (struct dispatch_actions *actions);

struct dispatch_limits
{
  uint32_t waiting_max; /**< limit on queued requests at this instance */
  /** Service that `quick` requests may receive ahead of their customer's
      turn, in thousandths of the service given in turn. */
  uint32_t quick_permille;
};

/** Requests queued or running for a service at the other instances. */
struct dispatch_peer_demand
{
  bool customer_waits;       /**< the customer has requests queued there */
  uint32_t customer_running; /**< the customer's requests running there */
  bool others_wait;          /**< other customers have requests queued there */
  uint64_t min_position;     /**< smallest ledger_served() of these others */
};

struct dispatch_config
{
  const char *availability_zone;
  /** Queries the demand of the other instances when a customer becomes
      backlogged here or starts a request; `reserve` is the cost units
      reserved for each running request.  NULL for a single instance. */
  void (*peer_demand) (const void *user, uint64_t customer_id,
                       uint64_t service_id, uint64_t reserve,
                       struct dispatch_peer_demand *out);
  const void *fleet_user;
  bool fcfs; /**< first come, first served; baseline for benchmarks */
  struct dispatch_limits limits;
  const struct placement_policy *placement;
  struct catalog *catalog; /**< not owned; must outlive the dispatcher */
  struct ledger *ledger;   /**< not owned */
  struct slots *slots;     /**< not owned; capacity is set from the leases */
};

/** Queued and running requests of one (customer, service) pair at this
    instance. */
struct dispatch_demand
{
  uint64_t customer_id;
  uint64_t service_id;
  uint32_t waiting;
  uint32_t running;
};

struct dispatch;

#define DISPATCH_BACKOFF_MIN_MS 100  /**< after the first connect failure */
#define DISPATCH_BACKOFF_MAX_MS 5000 /**< upper bound of the backoff */
/** Time until an upstream that reported draining is tried again. */
#define DISPATCH_DRAIN_RETRY_MS 30000

/** Filling of idle slots, see dispatch_fill.c: in each step of
    DISPATCH_FILL_STEP_MS at most 1 / DISPATCH_FILL_STEP_DIVISOR of the
   capacity, but at least DISPATCH_FILL_SLOTS_MIN slots. */
#define DISPATCH_FILL_STEP_MS      10
#define DISPATCH_FILL_STEP_DIVISOR 8
#define DISPATCH_FILL_SLOTS_MIN    4

struct dispatch *dispatch_new (const struct dispatch_config *config);
void dispatch_free (struct dispatch *dispatch);

/**
 * Handles one event and appends the resulting actions in order.
 * @return 0, ERR_INVALID for an event out of sequence, ERR_NOT_FOUND for an
 *         unknown request, ERR_EXISTS for a handle in use, or ERR_NO_MEMORY.
 */
int dispatch_handle (struct dispatch *dispatch,
                     const struct dispatch_event *event, uint64_t now_ns,
                     struct dispatch_actions *actions);

/** Sets the callback that queries the demand of the other instances. */
void dispatch_set_peer_demand (
    struct dispatch *dispatch,
    void (*peer_demand) (const void *user, uint64_t customer_id,
                         uint64_t service_id, uint64_t reserve,
                         struct dispatch_peer_demand *out),
    const void *user);

/** Attempt record of a request; NULL if the request is unknown. */
const struct attempt *dispatch_attempt (const struct dispatch *dispatch,
                                        uint64_t request);

/** Writes the demand of each (customer, service) pair at this instance.
    @return number of entries written. */
size_t dispatch_list_demands (const struct dispatch *dispatch,
                              struct dispatch_demand *out, size_t capacity);

/** Number of requests queued or running. */
uint32_t dispatch_total (const struct dispatch *dispatch);
/** Number of requests queued. */
uint32_t dispatch_waiting (const struct dispatch *dispatch);
/** Number of requests queued for one service. */
uint32_t dispatch_waiting_service (const struct dispatch *dispatch,
                                   uint64_t service_id);

#endif
