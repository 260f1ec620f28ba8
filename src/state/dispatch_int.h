/**
 * @file dispatch_int.h
 * Internal interface of the dispatcher's source files.
 */
#ifndef STATE_DISPATCH_INT_H
#define STATE_DISPATCH_INT_H

#include "state/dispatch.h"

/** One request, queued or running. */
struct dispatch_request
{
  struct queue_node node; /**< first, so that a node can be cast to this */
  uint64_t handle;
  struct attempt attempt;
  struct dispatch_demand_entry *demand;
  struct dispatch_service *service;
  uint32_t weight;
  bool engine;
  bool running;
  bool client_started;
  bool out_of_turn;       /**< selected by quick credit, not by position */
  bool reserve_charged;   /**< set at the first attempt */
  uint32_t input_cost;    /**< cost units of an input token */
  uint32_t output_cost;   /**< cost units of an output token */
  uint64_t hint;          /**< cost hint of the profile, in cost units */
  uint64_t input_tokens;  /**< tokens */
  uint64_t output_tokens; /**< tokens received so far */
  uint64_t prefix_hash;
  uint64_t failed_upstream_id; /**< upstream of the last failed attempt */
  uint64_t charged;    /**< cost units charged so far, without the reserve */
  uint64_t reserved;   /**< cost units held in reserve until the end */
  uint64_t started_ns; /**< start of the current attempt */
  uint64_t slot_ns;    /**< time that earlier attempts held a slot */
  UT_hash_handle hh;
};

struct dispatch_demand_key
{
  uint64_t customer_id;
  uint64_t service_id;
};

/** Request counts of one (customer, service) pair. */
struct dispatch_demand_entry
{
  struct dispatch_demand_key key;
  uint32_t waiting;
  uint32_t running;
  uint32_t quick_waiting; /**< queued requests of class CATALOG_QUICK */
  UT_hash_handle hh;
};

/** Scheduling state of a service. */
struct dispatch_service
{
  uint64_t service_id;
  /** Virtual time: highest service received by a customer at the start of one
      of its requests, excluding requests started out of turn. */
  uint64_t virtual_position;
  uint32_t quick_waiting; /**< queued requests of class CATALOG_QUICK */
  /** Service that may still be given out of turn, in thousandths of a cost
      unit. */
  uint64_t quick_credit;
  uint64_t largest_cost;     /**< highest estimate so far, in cost units */
  uint64_t fill_step_end_ns; /**< end of the current fill step */
  uint32_t fill_step_busy;   /**< busy slots at the start of that step */
  UT_hash_handle hh;
};

/** An upstream that reported draining. */
struct dispatch_drained
{
  uint64_t upstream_id;
  uint64_t until_ns; /**< next attempt; UINT64_MAX if not draining */
  UT_hash_handle hh;
};

struct dispatch
{
  struct dispatch_config config;
  char availability_zone[CATALOG_NAME_SIZE];
  struct queue *queue;
  struct estimate_table estimates;
  struct reserve_table reserves;
  struct retry_budget_table budgets;
  struct dispatch_request *requests; /**< by handle */
  struct dispatch_demand_entry *demands;
  struct dispatch_service *services;
  struct dispatch_drained *drained;
  uint64_t generation; /**< catalog generation last processed */
  /** Lower bound of the deadlines of running requests. */
  uint64_t running_deadline_ns;
  uint64_t last_charge_ns; /**< when running requests were last charged */
  bool draining;
};

/** Context of one dispatch_handle() call. */
struct dispatch_context
{
  struct dispatch *dispatch;
  const struct dispatch_event *event;
  struct dispatch_request *request; /**< NULL for events without a request */
  uint64_t now_ns;
  struct dispatch_actions *actions;
};

/** Event handlers, in dispatch_run.c. */
int dispatch_on_connecting (struct dispatch_context *context);
int dispatch_on_sending (struct dispatch_context *context);
int dispatch_on_sent (struct dispatch_context *context);
int dispatch_on_responding (struct dispatch_context *context);
int dispatch_on_progress (struct dispatch_context *context);
int dispatch_on_completed (struct dispatch_context *context);
int dispatch_on_failed (struct dispatch_context *context);
int dispatch_on_client_disconnected (struct dispatch_context *context);
int dispatch_on_capacity (struct dispatch_context *context);
int dispatch_on_tick (struct dispatch_context *context);

/** Frees a request that is neither queued nor running. */
void dispatch_request_free (struct dispatch *dispatch,
                            struct dispatch_request *request);

/** Request counts of a pair; NULL if the pair is unknown. */
struct dispatch_demand_entry *
dispatch_demand_find (const struct dispatch *dispatch, uint64_t customer_id,
                      uint64_t service_id);

/** Queues a request at the tail or the head of its customer's queue.
    @return 0 or an error. */
int dispatch_enqueue (struct dispatch_context *context,
                      struct dispatch_request *request, bool first);
/** Removes a request from the queue; no effect if it is not queued. */
void dispatch_dequeue (struct dispatch *dispatch,
                       struct dispatch_request *request);

/** Whether another idle slot may be filled in the current step.  A slot freed
    by a finished request may be refilled immediately. */
bool dispatch_may_fill_slot (struct dispatch *dispatch, uint64_t service_id,
                             uint64_t now_ns);

/** Starts attempts while the service has a queued request and a free slot. */
int dispatch_start_queued (struct dispatch_context *context,
                           uint64_t service_id);
int dispatch_start_queued_all (struct dispatch_context *context);

/** Ends a request with a refusal: emits the response or abort to its client
    and frees it. */
int dispatch_refuse (struct dispatch_context *context,
                     struct dispatch_request *request, enum refusal refusal);

/** Appends an action. @return 0 or ERR_NO_MEMORY. */
int dispatch_emit (struct dispatch_context *context,
                   const struct dispatch_action *action);
int dispatch_emit_kind (struct dispatch_context *context, uint64_t handle,
                        enum dispatch_action_kind kind);

/** queue_position_fn that returns the ledger position, or 0 for every customer
    if `fcfs` is set, so that only the order of arrival counts.
    @param user struct dispatch. */
uint64_t dispatch_position (const void *user, uint64_t customer_id,
                            uint64_t service_id);

/** Selects the request to serve next: the one in turn, or a quick request out
    of turn if the service's quick credit covers its estimated cost.  NULL if
    none is queued. */
struct dispatch_request *dispatch_select_next (struct dispatch *dispatch,
                                               uint64_t service_id);

/** Raises the ledger floor of a customer that has just become backlogged, so
    that it gains no credit for the time in which it was idle.
    @return 0 or an error. */
int dispatch_raise_floor (struct dispatch *dispatch,
                          struct dispatch_request *request);

/** Charges the reserve at the start of the first attempt.
    @return 0 or an error. */
int dispatch_charge_reserve (struct dispatch *dispatch,
                             struct dispatch_request *request);

#define DISPATCH_CHARGE_MS 100 /**< interval of dispatch_charge_running() */

/** Charges running requests of plain services for their slot time so far.
    Requests to model engines are charged as output tokens arrive.
    @return 0 or an error. */
int dispatch_charge_running (struct dispatch *dispatch, uint64_t now_ns);

/** Charges the cost incurred since the last charge.
    @return 0 or an error. */
int dispatch_charge_progress (struct dispatch *dispatch,
                              struct dispatch_request *request,
                              uint64_t now_ns);

/** Corrects the charges of a request that has ended to its actual cost and
    refunds the reserve. */
void dispatch_settle (struct dispatch *dispatch,
                      struct dispatch_request *request, bool completed,
                      uint64_t now_ns);

/** Finds or creates the entry of a service; NULL if out of memory. */
struct dispatch_service *dispatch_service_entry (struct dispatch *dispatch,
                                                 uint64_t service_id);

/** Whether any upstream of a service accepts new requests. */
bool dispatch_service_usable (const struct dispatch *dispatch,
                              const struct catalog_service *service);

/** Records a failed attempt: starts a connect backoff, or marks the upstream
    as draining. */
void dispatch_record_failure (struct dispatch *dispatch, uint64_t upstream_id,
                              bool connected, bool draining, uint64_t now_ns);
/** Resets the connect backoff after a response. */
void dispatch_record_response (struct dispatch *dispatch,
                               uint64_t upstream_id);

/** Allows draining upstreams whose retry time has passed to be tried again. */
void dispatch_retry_drained (struct dispatch *dispatch, uint64_t now_ns);

#endif
