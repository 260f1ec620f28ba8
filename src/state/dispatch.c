/**
 * @file dispatch.c
 * Lifecycle of the dispatcher, event handling, admission of requests and the
 * action buffer.
 */
#include "state/dispatch_int.h"
#include "state/err.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define NS_PER_MS            1000000ULL
#define ACTIONS_CAPACITY_MIN 16 /**< initial capacity of an action buffer */

static void free_tables (struct dispatch *dispatch);
static int on_arrived (struct dispatch_context *context);
static int on_drain (struct dispatch_context *context);

static int admit (struct dispatch_context *context, enum refusal *refusal);
static enum refusal check_arrival (struct dispatch_context *context,
                                   const struct catalog_customer **customer,
                                   const struct catalog_profile **profile,
                                   const struct catalog_service **service);
static struct dispatch_request *
request_new (struct dispatch_context *context,
             const struct catalog_customer *customer,
             const struct catalog_profile *profile,
             const struct catalog_service *service);
static struct dispatch_request *request_find (const struct dispatch *dispatch,
                                              uint64_t handle);
static struct dispatch_demand_entry *demand_entry (struct dispatch *dispatch,
                                                   uint64_t customer_id,
                                                   uint64_t service_id);
static void adjust_quick_counts (struct dispatch_request *request, int change);
static enum refusal check_limits (struct dispatch_context *context,
                                  const struct dispatch_request *request);
static int shed_disposable (struct dispatch_context *context,
                            struct dispatch_request *request);

static int (*const handlers[DISPATCH_EVENT_MAX]) (struct dispatch_context *)
    = {
        [DISPATCH_ARRIVED] = on_arrived,
        [DISPATCH_CONNECTING] = dispatch_on_connecting,
        [DISPATCH_SENDING] = dispatch_on_sending,
        [DISPATCH_SENT] = dispatch_on_sent,
        [DISPATCH_RESPONDING] = dispatch_on_responding,
        [DISPATCH_PROGRESS] = dispatch_on_progress,
        [DISPATCH_COMPLETED] = dispatch_on_completed,
        [DISPATCH_FAILED] = dispatch_on_failed,
        [DISPATCH_CLIENT_DISCONNECTED] = dispatch_on_client_disconnected,
        [DISPATCH_CAPACITY_CHANGED] = dispatch_on_capacity,
        [DISPATCH_TICK] = dispatch_on_tick,
        [DISPATCH_DRAIN] = on_drain,
      };

struct dispatch *
dispatch_new (const struct dispatch_config *config)
{
  struct dispatch *dispatch = calloc (1, sizeof (*dispatch));

  if (dispatch == NULL)
    return NULL;
  dispatch->config = *config;
  snprintf (
      dispatch->availability_zone, sizeof (dispatch->availability_zone), "%s",
      config->availability_zone == NULL ? "" : config->availability_zone);
  dispatch->running_deadline_ns = UINT64_MAX;
  dispatch->queue = queue_new ();
  estimate_init (&dispatch->estimates);
  reserve_init (&dispatch->reserves);
  retry_budget_init (&dispatch->budgets);
  if (dispatch->queue == NULL)
    {
      dispatch_free (dispatch);
      return NULL;
    }
  return dispatch;
}

void
dispatch_free (struct dispatch *dispatch)
{
  struct dispatch_request *request;
  struct dispatch_request *next;
  struct dispatch_demand_entry *demand;
  struct dispatch_demand_entry *next_demand;

  request = dispatch->requests;
  HASH_CLEAR (hh, dispatch->requests);
  for (; request != NULL; request = next)
    {
      next = request->hh.next;
      dispatch_dequeue (dispatch, request);
      free (request);
    }
  demand = dispatch->demands;
  HASH_CLEAR (hh, dispatch->demands);
  for (; demand != NULL; demand = next_demand)
    {
      next_demand = demand->hh.next;
      free (demand);
    }
  free_tables (dispatch);
  if (dispatch->queue != NULL)
    queue_free (dispatch->queue);
  estimate_finish (&dispatch->estimates);
  reserve_finish (&dispatch->reserves);
  retry_budget_finish (&dispatch->budgets);
  free (dispatch);
}

static void
free_tables (struct dispatch *dispatch)
{
  struct dispatch_service *service = dispatch->services;
  struct dispatch_service *next_service;
  struct dispatch_drained *drained = dispatch->drained;
  struct dispatch_drained *next_drained;

  HASH_CLEAR (hh, dispatch->services);
  for (; service != NULL; service = next_service)
    {
      next_service = service->hh.next;
      free (service);
    }
  HASH_CLEAR (hh, dispatch->drained);
  for (; drained != NULL; drained = next_drained)
    {
      next_drained = drained->hh.next;
      free (drained);
    }
}

void
dispatch_actions_finish (struct dispatch_actions *actions)
{
  free (actions->items);
  *actions = (struct dispatch_actions){ .items = NULL };
}

void
dispatch_set_peer_demand (
    struct dispatch *dispatch,
    void (*peer_demand) (const void *user, uint64_t customer_id,
                         uint64_t service_id, uint64_t reserve,
                         struct dispatch_peer_demand *out),
    const void *user)
{
  dispatch->config.peer_demand = peer_demand;
  dispatch->config.fleet_user = user;
}

int
dispatch_handle (struct dispatch *dispatch, const struct dispatch_event *event,
                 uint64_t now_ns, struct dispatch_actions *actions)
{
  struct dispatch_context context = { dispatch, event, NULL, now_ns, actions };

  if (event->kind < 0 || event->kind >= DISPATCH_EVENT_MAX)
    return ERR_INVALID;
  if (event->kind < DISPATCH_CAPACITY_CHANGED)
    {
      context.request = request_find (dispatch, event->request);
      if (event->kind == DISPATCH_ARRIVED)
        return context.request == NULL ? on_arrived (&context) : ERR_EXISTS;
      if (context.request == NULL)
        return ERR_NOT_FOUND;
      /* Ignores events of an attempt that has ended. */
      if (event->kind != DISPATCH_CLIENT_DISCONNECTED
          && (!context.request->running
              || event->attempt != context.request->attempt.number))
        return 0;
    }
  return handlers[event->kind](&context);
}

const struct attempt *
dispatch_attempt (const struct dispatch *dispatch, uint64_t handle)
{
  const struct dispatch_request *request = request_find (dispatch, handle);

  return request == NULL ? NULL : &request->attempt;
}

size_t
dispatch_list_demands (const struct dispatch *dispatch,
                       struct dispatch_demand *out, size_t capacity)
{
  const struct dispatch_demand_entry *entry;
  size_t count = 0;

  for (entry = dispatch->demands; entry != NULL && count < capacity;
       entry = entry->hh.next)
    if (entry->waiting + entry->running > 0)
      out[count++] = (struct dispatch_demand){
        .customer_id = entry->key.customer_id,
        .service_id = entry->key.service_id,
        .waiting = entry->waiting,
        .running = entry->running,
      };
  return count;
}

uint32_t
dispatch_total (const struct dispatch *dispatch)
{
  return HASH_COUNT (dispatch->requests);
}

uint32_t
dispatch_waiting (const struct dispatch *dispatch)
{
  return queue_total (dispatch->queue);
}

uint32_t
dispatch_waiting_service (const struct dispatch *dispatch, uint64_t service_id)
{
  return queue_waiting_service (dispatch->queue, service_id);
}

/* Admission. */

static int
on_arrived (struct dispatch_context *context)
{
  struct dispatch_action refuse = { .kind = DISPATCH_REFUSE,
                                    .request = context->event->request,
                                    .verdict = VERDICT_NOT_RUN };
  int error = admit (context, &refuse.refusal);

  if (error != 0 || refuse.refusal == REFUSAL_NONE)
    return error;
  error = dispatch_emit (context, &refuse);
  if (error != 0)
    return error;
  return dispatch_emit_kind (context, refuse.request, DISPATCH_RELEASE);
}

static int
admit (struct dispatch_context *context, enum refusal *refusal)
{
  struct dispatch *dispatch = context->dispatch;
  const struct catalog_customer *customer;
  const struct catalog_profile *profile;
  const struct catalog_service *service;
  struct dispatch_request *request;
  int error;

  *refusal = check_arrival (context, &customer, &profile, &service);
  if (*refusal != REFUSAL_NONE)
    return 0;
  request = request_new (context, customer, profile, service);
  if (request == NULL)
    {
      *refusal = REFUSAL_ROUTER_FULL;
      return 0;
    }
  error = dispatch_enqueue (context, request, false);
  if (error == 0)
    error = dispatch_raise_floor (dispatch, request);
  if (error == 0)
    error = dispatch_start_queued (context, request->node.service_id);
  if (error != 0 && !request->running)
    {
      /* Out of memory: reject the request rather than keep it half set up. */
      dispatch_dequeue (dispatch, request);
      dispatch_request_free (dispatch, request);
      *refusal = REFUSAL_ROUTER_FULL;
      return 0;
    }
  /* The queue limits do not apply to a request that started at once. */
  if (!request->node.queued)
    return 0;
  *refusal = check_limits (context, request);
  if (*refusal == REFUSAL_ROUTER_FULL)
    {
      error = shed_disposable (context, request);
      if (error != ERR_FULL)
        {
          *refusal = REFUSAL_NONE;
          return error;
        }
    }
  if (*refusal == REFUSAL_NONE)
    return 0;
  dispatch_dequeue (dispatch, request);
  dispatch_request_free (dispatch, request);
  return 0;
}

static enum refusal
check_arrival (struct dispatch_context *context,
               const struct catalog_customer **customer,
               const struct catalog_profile **profile,
               const struct catalog_service **service)
{
  const struct dispatch_arrival *arrival = &context->event->u.arrival;
  const struct catalog *catalog = context->dispatch->config.catalog;

  if (context->dispatch->draining)
    return REFUSAL_DRAINING;
  *customer = catalog_customer (catalog, arrival->customer_id);
  if (*customer == NULL)
    return REFUSAL_NO_KEY;
  *profile = catalog_profile (catalog, arrival->profile_id);
  if (*profile == NULL)
    return REFUSAL_NO_PROFILE;
  *service = catalog_service (catalog, (*profile)->service_id);
  if (*service == NULL)
    return REFUSAL_NO_SERVICE;
  if (!dispatch_service_usable (context->dispatch, *service))
    return REFUSAL_NO_UPSTREAM;
  return REFUSAL_NONE;
}

static enum refusal
check_limits (struct dispatch_context *context,
              const struct dispatch_request *request)
{
  const struct dispatch *dispatch = context->dispatch;
  const struct queue_node *node = &request->node;
  const struct catalog_customer *customer
      = catalog_customer (dispatch->config.catalog, node->customer_id);
  const struct catalog_profile *profile
      = catalog_profile (dispatch->config.catalog, node->profile_id);

  if (queue_waiting_customer (dispatch->queue, node->customer_id)
      > customer->waiting_max)
    return REFUSAL_CUSTOMER_LIMIT;
  if (queue_waiting_profile (dispatch->queue, node->profile_id)
      > profile->queue_limit)
    return REFUSAL_PROFILE_LIMIT;
  if (queue_total (dispatch->queue) > dispatch->config.limits.waiting_max)
    return REFUSAL_ROUTER_FULL;
  return REFUSAL_NONE;
}

/* Sheds the newest disposable request; ERR_FULL if there is none other than
   the new request itself. */
static int
shed_disposable (struct dispatch_context *context,
                 struct dispatch_request *request)
{
  struct queue_node *node = queue_newest_disposable (context->dispatch->queue);

  if (node == NULL || node == &request->node)
    return ERR_FULL;
  return dispatch_refuse (context, (struct dispatch_request *)node,
                          REFUSAL_SHED);
}

static struct dispatch_request *
request_new (struct dispatch_context *context,
             const struct catalog_customer *customer,
             const struct catalog_profile *profile,
             const struct catalog_service *service)
{
  const struct dispatch_arrival *arrival = &context->event->u.arrival;
  struct dispatch_request *request = calloc (1, sizeof (*request));

  if (request == NULL)
    return NULL;
  request->demand
      = demand_entry (context->dispatch, customer->id, service->id);
  request->service = dispatch_service_entry (context->dispatch, service->id);
  if (request->demand == NULL || request->service == NULL)
    {
      free (request);
      return NULL;
    }
  request->handle = context->event->request;
  request->node.customer_id = customer->id;
  request->node.service_id = service->id;
  request->node.profile_id = profile->id;
  request->node.request_class = profile->request_class;
  request->node.arrival_ns = context->now_ns;
  request->node.deadline_ns
      = context->now_ns + profile->deadline_ms * NS_PER_MS;
  attempt_init (&request->attempt, profile->idempotent, profile->attempts_max);
  request->weight = customer->weight;
  request->engine = service->kind == CATALOG_ENGINE;
  request->input_cost = service->input_cost;
  request->output_cost = service->output_cost;
  request->hint = profile->cost_hint;
  request->input_tokens = request->engine ? arrival->input_tokens : 0;
  request->prefix_hash = arrival->prefix_hash;
  HASH_ADD (hh, context->dispatch->requests, handle, sizeof (request->handle),
            request);
  return request;
}

static struct dispatch_request *
request_find (const struct dispatch *dispatch, uint64_t handle)
{
  struct dispatch_request *request;

  HASH_FIND (hh, dispatch->requests, &handle, sizeof (handle), request);
  return request;
}

void
dispatch_request_free (struct dispatch *dispatch,
                       struct dispatch_request *request)
{
  HASH_DEL (dispatch->requests, request);
  free (request);
}

struct dispatch_demand_entry *
dispatch_demand_find (const struct dispatch *dispatch, uint64_t customer_id,
                      uint64_t service_id)
{
  struct dispatch_demand_key key;
  struct dispatch_demand_entry *entry;

  memset (&key, 0, sizeof (key));
  key.customer_id = customer_id;
  key.service_id = service_id;
  HASH_FIND (hh, dispatch->demands, &key, sizeof (key), entry);
  return entry;
}

static struct dispatch_demand_entry *
demand_entry (struct dispatch *dispatch, uint64_t customer_id,
              uint64_t service_id)
{
  struct dispatch_demand_entry *entry
      = dispatch_demand_find (dispatch, customer_id, service_id);

  if (entry != NULL)
    return entry;
  entry = calloc (1, sizeof (*entry));
  if (entry == NULL)
    return NULL;
  entry->key.customer_id = customer_id;
  entry->key.service_id = service_id;
  HASH_ADD (hh, dispatch->demands, key, sizeof (entry->key), entry);
  return entry;
}

int
dispatch_enqueue (struct dispatch_context *context,
                  struct dispatch_request *request, bool first)
{
  struct queue *queue = context->dispatch->queue;
  int error = first ? queue_push_front (queue, &request->node)
                    : queue_push (queue, &request->node);

  if (error != 0)
    return error;
  request->demand->waiting++;
  adjust_quick_counts (request, 1);
  return 0;
}

void
dispatch_dequeue (struct dispatch *dispatch, struct dispatch_request *request)
{
  if (!request->node.queued)
    return;
  queue_remove (dispatch->queue, &request->node);
  request->demand->waiting--;
  adjust_quick_counts (request, -1);
}

static void
adjust_quick_counts (struct dispatch_request *request, int change)
{
  if (request->node.request_class != CATALOG_QUICK)
    return;
  request->demand->quick_waiting += (uint32_t)change;
  request->service->quick_waiting += (uint32_t)change;
}

static int
on_drain (struct dispatch_context *context)
{
  context->dispatch->draining = true;
  return 0;
}

/* Actions. */

int
dispatch_emit_kind (struct dispatch_context *context, uint64_t handle,
                    enum dispatch_action_kind kind)
{
  return dispatch_emit (
      context, &(struct dispatch_action){ .kind = kind, .request = handle });
}

int
dispatch_emit (struct dispatch_context *context,
               const struct dispatch_action *action)
{
  struct dispatch_actions *actions = context->actions;
  struct dispatch_action *items;
  size_t capacity;

  if (actions->count == actions->capacity)
    {
      capacity = actions->capacity == 0 ? ACTIONS_CAPACITY_MIN
                                        : actions->capacity * 2;
      items = realloc (actions->items, capacity * sizeof (*items));
      if (items == NULL)
        return ERR_NO_MEMORY;
      actions->items = items;
      actions->capacity = capacity;
    }
  actions->items[actions->count++] = *action;
  return 0;
}
