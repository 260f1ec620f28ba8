/**
 * @file dispatch_cost.c
 * Charging of requests to customers: the actual cost as the response advances
 * and, while the request runs, a reserve for its remaining cost.
 */
#include "state/dispatch_int.h"
#include "state/err.h"

#define NS_PER_MS 1000000ULL
#define PERMILLE  1000

static uint64_t quick_position (const void *user, uint64_t customer_id,
                                uint64_t service_id);
static void update_quick_credit (struct dispatch *dispatch,
                                 struct dispatch_request *request,
                                 uint64_t cost);
static uint64_t request_estimate (const struct dispatch *dispatch,
                                  const struct dispatch_request *request);
static uint64_t cost_so_far (const struct dispatch_request *request,
                             uint64_t now_ns);
static int charge_more (struct dispatch *dispatch,
                        struct dispatch_request *request, uint64_t cost);
static uint64_t floor_target (struct dispatch *dispatch,
                              const struct dispatch_request *request,
                              const struct dispatch_peer_demand *others);
static void query_other_instances (struct dispatch *dispatch,
                                   const struct dispatch_request *request,
                                   struct dispatch_peer_demand *others);
static uint64_t request_reserve (struct dispatch *dispatch,
                                 const struct dispatch_request *request);
static uint64_t served_position (struct dispatch *dispatch,
                                 const struct dispatch_request *request,
                                 const struct dispatch_peer_demand *others,
                                 uint64_t reserve_divisor);

uint64_t
dispatch_position (const void *user, uint64_t customer_id, uint64_t service_id)
{
  const struct dispatch *dispatch = user;

  if (dispatch->config.fcfs)
    return 0;
  return ledger_position (dispatch->config.ledger, customer_id, service_id);
}

/* Like dispatch_position, but UINT64_MAX for a customer without queued quick
   requests, which sorts it last. */
static uint64_t
quick_position (const void *user, uint64_t customer_id, uint64_t service_id)
{
  const struct dispatch *dispatch = user;
  const struct dispatch_demand_entry *entry
      = dispatch_demand_find (dispatch, customer_id, service_id);

  if (entry == NULL || entry->quick_waiting == 0)
    return UINT64_MAX;
  return dispatch_position (user, customer_id, service_id);
}

struct dispatch_request *
dispatch_select_next (struct dispatch *dispatch, uint64_t service_id)
{
  struct dispatch_request *in_turn = (struct dispatch_request *)queue_next (
      dispatch->queue, service_id, dispatch_position, dispatch);
  struct dispatch_request *quick;

  if (in_turn == NULL || in_turn->node.request_class == CATALOG_QUICK
      || in_turn->service->quick_waiting == 0
      || in_turn->service->quick_credit == 0)
    return in_turn;
  quick = (struct dispatch_request *)queue_next (dispatch->queue, service_id,
                                                 quick_position, dispatch);
  if (quick == NULL || quick->node.request_class != CATALOG_QUICK)
    return in_turn;
  if (request_estimate (dispatch, quick) * PERMILLE
      > quick->service->quick_credit)
    return in_turn;
  quick->out_of_turn = true;
  return quick;
}

/* Service given in turn earns quick credit, quick_permille of its cost;
   service given out of turn spends it.  The credit is capped at the cost of
   one of the largest requests. */
static void
update_quick_credit (struct dispatch *dispatch,
                     struct dispatch_request *request, uint64_t cost)
{
  struct dispatch_service *service = request->service;
  uint64_t credit_max;

  if (cost > service->largest_cost)
    service->largest_cost = cost;
  if (request->out_of_turn)
    {
      service->quick_credit -= cost * PERMILLE < service->quick_credit
                                   ? cost * PERMILLE
                                   : service->quick_credit;
      return;
    }
  credit_max = service->largest_cost * PERMILLE;
  service->quick_credit += cost * dispatch->config.limits.quick_permille;
  if (service->quick_credit > credit_max)
    service->quick_credit = credit_max;
}

static uint64_t
request_estimate (const struct dispatch *dispatch,
                  const struct dispatch_request *request)
{
  uint64_t cost
      = estimate_cost (&dispatch->estimates, request->node.customer_id,
                       request->node.profile_id, request->hint);
  uint64_t input = request->input_tokens * request->input_cost;

  return cost < input ? input : cost;
}

int
dispatch_raise_floor (struct dispatch *dispatch,
                      struct dispatch_request *request)
{
  struct dispatch_peer_demand others = { .customer_waits = false };
  uint64_t target;
  uint64_t position;

  if (request->demand->waiting > 1)
    return 0;
  query_other_instances (dispatch, request, &others);
  if (others.customer_waits)
    return 0;
  target = floor_target (dispatch, request, &others);
  /* Leaves half of the running requests' reserve as credit.  Reports from
     other instances are delayed, and the floor can only rise: correcting each
     reporting error would ratchet it upwards. */
  position = served_position (dispatch, request, &others, 2);
  if (position >= target)
    return 0;
  return ledger_raise_floor (dispatch->config.ledger,
                             request->node.customer_id,
                             request->node.service_id, target - position);
}

static void
query_other_instances (struct dispatch *dispatch,
                       const struct dispatch_request *request,
                       struct dispatch_peer_demand *others)
{
  if (dispatch->config.peer_demand != NULL)
    dispatch->config.peer_demand (
        dispatch->config.fleet_user, request->node.customer_id,
        request->node.service_id, request_reserve (dispatch, request), others);
}

static uint64_t
request_reserve (struct dispatch *dispatch,
                 const struct dispatch_request *request)
{
  return reserve_cost (&dispatch->reserves, request->node.service_id,
                       request->hint);
}

/* Service that the request's customer has received: its position less
   1/reserve_divisor of the reserves of its running requests. */
static uint64_t
served_position (struct dispatch *dispatch,
                 const struct dispatch_request *request,
                 const struct dispatch_peer_demand *others,
                 uint64_t reserve_divisor)
{
  uint64_t running = request->demand->running + others->customer_running;

  return ledger_served (dispatch->config.ledger, request->node.customer_id,
                        request->node.service_id,
                        running * request_reserve (dispatch, request)
                            / reserve_divisor,
                        request->weight);
}

/* Smallest service received among the other backlogged customers; if there are
   none, the service's virtual position. */
static uint64_t
floor_target (struct dispatch *dispatch,
              const struct dispatch_request *request,
              const struct dispatch_peer_demand *others)
{
  const struct dispatch_demand_entry *entry;
  const struct catalog_customer *customer;
  uint64_t reserve = request_reserve (dispatch, request);
  uint64_t min_position = UINT64_MAX;
  uint64_t position;

  if (others->others_wait)
    min_position = others->min_position;
  for (entry = dispatch->demands; entry != NULL; entry = entry->hh.next)
    if (entry->key.service_id == request->node.service_id && entry->waiting > 0
        && entry->key.customer_id != request->node.customer_id)
      {
        customer = catalog_customer (dispatch->config.catalog,
                                     entry->key.customer_id);
        position
            = ledger_served (dispatch->config.ledger, entry->key.customer_id,
                             entry->key.service_id, reserve * entry->running,
                             customer == NULL ? 1 : customer->weight);
        min_position = position < min_position ? position : min_position;
      }
  if (min_position != UINT64_MAX)
    return min_position;
  return request->service->virtual_position;
}

int
dispatch_charge_reserve (struct dispatch *dispatch,
                         struct dispatch_request *request)
{
  struct dispatch_peer_demand others = { .customer_waits = false };
  struct dispatch_service *service = request->service;
  uint64_t position;

  if (request->reserve_charged)
    return 0;
  query_other_instances (dispatch, request, &others);
  position = served_position (dispatch, request, &others, 1);
  if (!request->out_of_turn && position > service->virtual_position)
    service->virtual_position = position;
  update_quick_credit (dispatch, request,
                       request_estimate (dispatch, request));
  request->reserved = request_reserve (dispatch, request);
  request->reserve_charged = true;
  return ledger_charge (dispatch->config.ledger, request->node.customer_id,
                        request->node.service_id, request->reserved,
                        request->weight);
}

int
dispatch_charge_progress (struct dispatch *dispatch,
                          struct dispatch_request *request, uint64_t now_ns)
{
  uint64_t cost = cost_so_far (request, now_ns);

  if (cost <= request->charged)
    return 0;
  return charge_more (dispatch, request, cost - request->charged);
}

int
dispatch_charge_running (struct dispatch *dispatch, uint64_t now_ns)
{
  struct dispatch_request *request;
  int error = 0;

  if (now_ns - dispatch->last_charge_ns < DISPATCH_CHARGE_MS * NS_PER_MS)
    return 0;
  dispatch->last_charge_ns = now_ns;
  for (request = dispatch->requests; request != NULL && error == 0;
       request = request->hh.next)
    if (request->running && !request->engine)
      error = dispatch_charge_progress (dispatch, request, now_ns);
  return error;
}

static int
charge_more (struct dispatch *dispatch, struct dispatch_request *request,
             uint64_t cost)
{
  int error
      = ledger_charge (dispatch->config.ledger, request->node.customer_id,
                       request->node.service_id, cost, request->weight);

  if (error == 0)
    request->charged += cost;
  return error;
}

void
dispatch_settle (struct dispatch *dispatch, struct dispatch_request *request,
                 bool completed, uint64_t now_ns)
{
  struct ledger *ledger = dispatch->config.ledger;
  uint64_t customer_id = request->node.customer_id;
  uint64_t service_id = request->node.service_id;
  uint64_t cost = cost_so_far (request, now_ns);

  if (!request->reserve_charged)
    return;
  if (cost > request->charged)
    charge_more (dispatch, request, cost - request->charged);
  else if (cost < request->charged)
    ledger_refund (ledger, customer_id, service_id, request->charged - cost,
                   request->weight);
  ledger_refund (ledger, customer_id, service_id, request->reserved,
                 request->weight);
  request->reserved = 0;
  ledger_settle (ledger, customer_id, service_id, cost);
  if (!completed)
    return;
  reserve_observe (&dispatch->reserves, service_id, cost);
  estimate_observe (&dispatch->estimates, customer_id,
                    request->node.profile_id, request->hint, cost);
}

/* A request costs nothing until its bytes are sent to an upstream, and nothing
   if every upstream rejected it without executing it. */
static uint64_t
cost_so_far (const struct dispatch_request *request, uint64_t now_ns)
{
  uint64_t slot_ns = request->slot_ns;

  if (request->attempt.furthest < ATTEMPT_SENDING)
    return 0;
  if (request->engine)
    return request->input_tokens * request->input_cost
           + request->output_tokens * request->output_cost;
  if (request->running)
    slot_ns += now_ns - request->started_ns;
  return (slot_ns + NS_PER_MS - 1) / NS_PER_MS;
}

struct dispatch_service *
dispatch_service_entry (struct dispatch *dispatch, uint64_t service_id)
{
  struct dispatch_service *entry;

  HASH_FIND (hh, dispatch->services, &service_id, sizeof (service_id), entry);
  if (entry != NULL)
    return entry;
  entry = calloc (1, sizeof (*entry));
  if (entry == NULL)
    return NULL;
  entry->service_id = service_id;
  HASH_ADD (hh, dispatch->services, service_id, sizeof (service_id), entry);
  return entry;
}
