/**
 * @file dispatch_int.h
 * Private parts of the dispatcher.
 */
#ifndef STATE_DISPATCH_INT_H
#define STATE_DISPATCH_INT_H

#include "state/dispatch.h"

/** One request, waiting or running. */
struct dispatch_request
{
  struct queue_node node; /**< first member: found back from the queue */
  uint64_t handle;
  struct attempt attempt;
  struct dispatch_demand_entry *demand;
  struct dispatch_service *service;
  uint32_t weight;
  bool engine;
  bool running;
  bool client_started;
  bool ahead;            /**< chosen out of turn */
  bool charged_once;     /**< the reserve has been charged */
  uint32_t input_cost;   /**< cost units of an input token */
  uint32_t output_cost;  /**< cost units of an output token */
  uint64_t hint;         /**< cost units */
  uint64_t input_units;  /**< tokens */
  uint64_t output_units; /**< tokens so far */
  uint64_t prefix_hash;
  uint64_t avoid_upstream_id; /**< where the last attempt failed */
  uint64_t charged;           /**< cost units charged so far */
  uint64_t reserved;          /**< cost units charged besides, until the end */
  uint64_t started_ns;        /**< of the current attempt */
  uint64_t slot_ns;           /**< slot time of earlier attempts */
  UT_hash_handle hh;
};

struct dispatch_demand_key
{
  uint64_t customer_id;
  uint64_t service_id;
};

/** Counts of one (customer, service). */
struct dispatch_demand_entry
{
  struct dispatch_demand_key key;
  uint32_t waiting;
  uint32_t running;
  uint32_t quick_waiting; /**< of class CATALOG_QUICK */
  UT_hash_handle hh;
};

/** What is kept of a service. */
struct dispatch_service
{
  uint64_t service_id;
  uint64_t virtual_position; /**< of the customer served last; never falls */
  uint32_t quick_waiting;    /**< of class CATALOG_QUICK */
  uint64_t
      quick_credit; /**< thousandths of cost units, served ahead of turn */
  uint64_t largest_cost; /**< largest estimate charged, in cost units */
  uint64_t pace_ns;      /**< end of the step in which slots are filled */
  uint32_t pace_busy;    /**< slots in use at its start */
  UT_hash_handle hh;
};

/** An upstream that said it is draining, until it is tried again. */
struct dispatch_drained
{
  uint64_t upstream_id;
  uint64_t until_ns; /**< UINT64_MAX when not drained */
  UT_hash_handle hh;
};

struct dispatch
{
  struct dispatch_config config;
  char availability_zone[CATALOG_NAME_SIZE];
  struct queue *queue;
  struct estimate_table estimates;
  struct reserve_table reserves;
  struct budget_table budgets;
  struct dispatch_request *requests; /**< by handle */
  struct dispatch_demand_entry *demands;
  struct dispatch_service *services;
  struct dispatch_drained *drained;
  uint64_t generation; /**< of the catalog when last looked at */
  /** No running request's deadline lies before this. */
  uint64_t running_deadline_ns;
  uint64_t charge_ns; /**< when running requests were last charged */
  bool draining;
};

/** What one event is handled with. */
struct dispatch_context
{
  struct dispatch *dispatch;
  const struct dispatch_event *event;
  struct dispatch_request *request; /**< NULL for events of no request */
  uint64_t now_ns;
  struct dispatch_actions *actions;
};

/** Handlers of events, in dispatch_run.c. */
int dispatch_on_connecting (struct dispatch_context *context);
int dispatch_on_sending (struct dispatch_context *context);
int dispatch_on_sent (struct dispatch_context *context);
int dispatch_on_responding (struct dispatch_context *context);
int dispatch_on_progress (struct dispatch_context *context);
int dispatch_on_completed (struct dispatch_context *context);
int dispatch_on_failed (struct dispatch_context *context);
int dispatch_on_client_gone (struct dispatch_context *context);
int dispatch_on_capacity (struct dispatch_context *context);
int dispatch_on_tick (struct dispatch_context *context);

/** Releases a request that is neither queued nor running. */
void dispatch_request_free (struct dispatch *dispatch,
                            struct dispatch_request *request);

/** Counts of a pair; NULL when there are none. */
struct dispatch_demand_entry *
dispatch_demand_find (const struct dispatch *dispatch, uint64_t customer_id,
                      uint64_t service_id);

/** Queues a request, in turn or first. @return 0 or an error. */
int dispatch_wait (struct dispatch_context *context,
                   struct dispatch_request *request, bool first);
/** Takes a request out of the queue if it is there. */
void dispatch_leave (struct dispatch *dispatch,
                     struct dispatch_request *request);

/** Whether another idle slot may be filled now.  Slots that become free are
    filled again at once. */
bool dispatch_pace (struct dispatch *dispatch, uint64_t service_id,
                    uint64_t now_ns);

/** Starts attempts while there are a request and a slot. */
int dispatch_pump (struct dispatch_context *context, uint64_t service_id);
int dispatch_pump_all (struct dispatch_context *context);

/** Gives a request up and frees it: its client is told at once. */
int dispatch_end (struct dispatch_context *context,
                  struct dispatch_request *request, enum refusal refusal);

/** Appends an action. @return 0 or ERR_NO_MEMORY. */
int dispatch_emit (struct dispatch_context *context,
                   const struct dispatch_action *action);
int dispatch_emit_kind (struct dispatch_context *context, uint64_t handle,
                        enum dispatch_action_kind kind);

/** Position of a customer for queue_next. @param user struct dispatch. */
uint64_t dispatch_position (const void *user, uint64_t customer_id,
                            uint64_t service_id);

/** The request to serve next: in turn, or a quick one ahead of its turn when
    the service's quick credit covers it. NULL when none waits. */
struct dispatch_request *dispatch_next (struct dispatch *dispatch,
                                        uint64_t service_id);

/** Lifts a customer that had nothing waiting and now has, so that the time it
    was idle earns it nothing. @return 0 or an error. */
int dispatch_lift (struct dispatch *dispatch,
                   struct dispatch_request *request);

/** Charges the reserve at the start of the first attempt. @return 0 or an
 * error. */
int dispatch_charge (struct dispatch *dispatch,
                     struct dispatch_request *request);

#define DISPATCH_CHARGE_MS 100 /**< between charges of running requests */

/** Charges plain requests as they run; engines' are charged as their
    responses advance. @return 0 or an error. */
int dispatch_charge_running (struct dispatch *dispatch, uint64_t now_ns);

/** Charges what has been produced since. @return 0 or an error. */
int dispatch_charge_progress (struct dispatch *dispatch,
                              struct dispatch_request *request,
                              uint64_t now_ns);

/** Settles the account of a request that has ended. */
void dispatch_settle (struct dispatch *dispatch,
                      struct dispatch_request *request, bool completed,
                      uint64_t now_ns);

/** Entry of a service, made when absent. NULL without memory. */
struct dispatch_service *dispatch_service_entry (struct dispatch *dispatch,
                                                 uint64_t service_id);

/** Whether new work may be sent to some upstream of a service. */
bool dispatch_usable (const struct dispatch *dispatch,
                      const struct catalog_service *service);

/** Notes how an attempt at an upstream ended, for backoff and draining. */
void dispatch_note_failure (struct dispatch *dispatch, uint64_t upstream_id,
                            bool connected, bool draining, uint64_t now_ns);
void dispatch_note_response (struct dispatch *dispatch, uint64_t upstream_id);

/** Lets drained upstreams be tried again when their time has come. */
void dispatch_rejoin (struct dispatch *dispatch, uint64_t now_ns);

#endif
