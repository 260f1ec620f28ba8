/**
 * @file dispatch.h
 * The pure core of an entry instance: admission, queueing, the choice of the
 * next request and upstream, attempts, retries and deadlines.  It does no I/O
 * and reads no clock: events go in with the time, actions come out into a
 * buffer that the caller owns.
 */
#ifndef STATE_DISPATCH_H
#define STATE_DISPATCH_H

#include "state/attempt.h"
#include "state/budget.h"
#include "state/catalog.h"
#include "state/estimate.h"
#include "state/ledger.h"
#include "state/place.h"
#include "state/queue.h"
#include "state/refusal.h"
#include "state/reserve.h"
#include "state/slots.h"
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** What happened. */
enum dispatch_event_kind
{
  DISPATCH_ARRIVED,     /**< a whole, authenticated request */
  DISPATCH_CONNECTING,  /**< connection attempt started */
  DISPATCH_SENDING,     /**< first request byte handed to the socket */
  DISPATCH_SENT,        /**< last request byte handed to the socket */
  DISPATCH_RESPONDING,  /**< response status line received */
  DISPATCH_PROGRESS,    /**< response advanced */
  DISPATCH_COMPLETED,   /**< whole response received */
  DISPATCH_FAILED,      /**< the current attempt failed */
  DISPATCH_CLIENT_GONE, /**< client closed its connection */
  DISPATCH_CAPACITY,    /**< slots or catalog changed */
  DISPATCH_TICK,        /**< time passed */
  DISPATCH_DRAIN,       /**< take no more requests */
  DISPATCH_EVENT_MAX
};

/** A request as it arrives. */
struct dispatch_arrival
{
  uint64_t customer_id;
  uint64_t profile_id;
  uint64_t input_units; /**< input tokens; 0 for plain services */
  uint64_t prefix_hash; /**< of the prompt's start; 0 for none */
};

struct dispatch_event
{
  enum dispatch_event_kind kind;
  uint64_t request; /**< caller's handle of the request */
  uint32_t attempt; /**< attempt number; stale numbers are ignored */
  union
  {
    struct dispatch_arrival arrival; /**< DISPATCH_ARRIVED */
    struct
    {
      uint64_t output_units; /**< output tokens so far, or 0 */
      bool client_started;   /**< client has been sent response bytes */
      bool draining;         /**< upstream said that it is draining */
    } progress;              /**< DISPATCH_PROGRESS, _COMPLETED */
    struct
    {
      /** enum err; ERR_UNAVAILABLE: the upstream refused before running */
      int error;
      bool resumable;      /**< offset is exact; engine can resume there */
      bool client_started; /**< client has been sent response bytes */
      bool draining;       /**< upstream said that it is draining */
    } failure;             /**< DISPATCH_FAILED */
  } u;
};

/** What to do. */
enum dispatch_action_kind
{
  DISPATCH_CONNECT, /**< start attempt `attempt` at `upstream_id` */
  DISPATCH_CANCEL,  /**< end attempt `attempt`; close its connection */
  DISPATCH_REFUSE,  /**< answer the client with `refusal` and `verdict` */
  DISPATCH_ABORT,   /**< response already started: abort the connection */
  DISPATCH_FINISH,  /**< end the client's response cleanly */
  DISPATCH_FORGET,  /**< nothing refers to the request any more */
  DISPATCH_IDLE,    /**< slot at `upstream_id` is free and no request waits */
  DISPATCH_ACTION_MAX
};

struct dispatch_action
{
  enum dispatch_action_kind kind;
  uint64_t request;
  uint32_t attempt;
  uint64_t upstream_id;
  bool resume;          /**< DISPATCH_CONNECT: continue at the offset */
  enum refusal refusal; /**< DISPATCH_REFUSE */
  enum verdict verdict; /**< DISPATCH_REFUSE, DISPATCH_ABORT */
};

/** Actions of one event.  Zero-initialise; grows as needed. */
struct dispatch_actions
{
  struct dispatch_action *items;
  size_t count;
  size_t capacity;
};

void dispatch_actions_finish (struct dispatch_actions *actions);

struct dispatch_limits
{
  uint32_t waiting_max;    /**< requests waiting at this instance */
  uint32_t quick_permille; /**< bound on service ahead of turn for `quick` */
};

/** What the rest of the fleet has waiting at a service. */
struct dispatch_backlog
{
  bool customer_waits;       /**< the customer itself waits elsewhere */
  uint32_t customer_running; /**< its requests that run elsewhere */
  bool others_wait;          /**< some other customer waits elsewhere */
  uint64_t least_position;   /**< least that those others were served */
};

struct dispatch_config
{
  const char *availability_zone;
  /** Asked when a customer becomes backlogged here, with the cost units
      reserved for each running request; NULL when alone. */
  void (*fleet_backlog) (const void *user, uint64_t customer_id,
                         uint64_t service_id, uint64_t reserve,
                         struct dispatch_backlog *out);
  const void *fleet_user;
  bool by_arrival; /**< serve in order of arrival; a baseline */
  struct dispatch_limits limits;
  const struct place_policy *placement;
  struct catalog *catalog; /**< not owned; must outlive the dispatcher */
  struct ledger *ledger;   /**< not owned */
  struct slots *slots;     /**< not owned; capacity is set by the lessee */
};

/** Running and waiting requests of one (customer, service) here. */
struct dispatch_demand
{
  uint64_t customer_id;
  uint64_t service_id;
  uint32_t waiting;
  uint32_t running;
};

struct dispatch;

#define DISPATCH_BACKOFF_MIN_MS 100   /**< after a first failure to connect */
#define DISPATCH_BACKOFF_MAX_MS 5000  /**< after many */
#define DISPATCH_REJOIN_MS      30000 /**< until a drained upstream is tried */

#define DISPATCH_PACE_MS   10 /**< between steps that fill idle slots */
#define DISPATCH_PACE_PART 8  /**< of the slots filled in a step */
#define DISPATCH_PACE_MIN  4  /**< slots filled in a step, at least */

struct dispatch *dispatch_new (const struct dispatch_config *config);
void dispatch_free (struct dispatch *dispatch);

/**
 * Handles one event; appends the actions it causes, in order.
 * @return 0, ERR_INVALID for an event out of order, ERR_NOT_FOUND for an
 *         unknown request, ERR_NO_MEMORY.  ERR_EXISTS: handle in use.
 */
int dispatch_handle (struct dispatch *dispatch,
                     const struct dispatch_event *event, uint64_t now_ns,
                     struct dispatch_actions *actions);

/** Sets the view of the fleet of an existing dispatcher. */
void dispatch_set_fleet (struct dispatch *dispatch,
                         void (*fleet_backlog) (const void *user,
                                                uint64_t customer_id,
                                                uint64_t service_id,
                                                uint64_t reserve,
                                                struct dispatch_backlog *out),
                         const void *user);

/** Attempt record of a request; NULL when unknown. */
const struct attempt *dispatch_attempt (const struct dispatch *dispatch,
                                        uint64_t request);

/** Demand here, by customer and service. @return number written. */
size_t dispatch_demands (const struct dispatch *dispatch,
                         struct dispatch_demand *out, size_t capacity);

/** Requests known, waiting or running. */
uint32_t dispatch_total (const struct dispatch *dispatch);
uint32_t dispatch_waiting (const struct dispatch *dispatch);
/** Requests waiting at one service. */
uint32_t dispatch_waiting_service (const struct dispatch *dispatch,
                                   uint64_t service_id);

#endif
