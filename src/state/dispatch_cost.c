/**
 * @file dispatch_cost.c
 * What a request costs its customer: its true cost as the response advances
 * and, while it runs, a reserve for what is still to come.
 */
#include "state/dispatch_int.h"
#include "state/err.h"

#define NS_PER_MS 1000000ULL /**< nanoseconds */
#define PERMILLE  1000

static uint64_t quick_position (const void *user, uint64_t customer_id,
                                uint64_t service_id);
static void account_quick (struct dispatch *dispatch,
                           struct dispatch_request *request, uint64_t cost);
static uint64_t estimate (const struct dispatch *dispatch,
                          const struct dispatch_request *request);
static uint64_t cost_so_far (const struct dispatch_request *request,
                             uint64_t now_ns);
static int charge_more (struct dispatch *dispatch,
                        struct dispatch_request *request, uint64_t cost);
static uint64_t lift_target (struct dispatch *dispatch,
                             const struct dispatch_request *request,
                             const struct dispatch_backlog *elsewhere);
static void look_elsewhere (struct dispatch *dispatch,
                            const struct dispatch_request *request,
                            struct dispatch_backlog *elsewhere);
static uint64_t reserve_of (struct dispatch *dispatch,
                            const struct dispatch_request *request);
static uint64_t served (struct dispatch *dispatch,
                        const struct dispatch_request *request,
                        const struct dispatch_backlog *elsewhere,
                        uint64_t part);

uint64_t
dispatch_position (const void *user, uint64_t customer_id, uint64_t service_id)
{
  const struct dispatch *dispatch = user;

  if (dispatch->config.by_arrival)
    return 0;
  return ledger_position (dispatch->config.ledger, customer_id, service_id);
}

/* Like dispatch_position, last for customers with no quick request. */
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
dispatch_next (struct dispatch *dispatch, uint64_t service_id)
{
  struct dispatch_request *turn = (struct dispatch_request *)queue_next (
      dispatch->queue, service_id, dispatch_position, dispatch);
  struct dispatch_request *quick;

  if (turn == NULL || turn->node.request_class == CATALOG_QUICK
      || turn->service->quick_waiting == 0 || turn->service->quick_credit == 0)
    return turn;
  quick = (struct dispatch_request *)queue_next (dispatch->queue, service_id,
                                                 quick_position, dispatch);
  if (quick == NULL || quick->node.request_class != CATALOG_QUICK)
    return turn;
  if (estimate (dispatch, quick) * PERMILLE > quick->service->quick_credit)
    return turn;
  quick->ahead = true;
  return quick;
}

/* Service out of turn is paid from a share of the service in turn, which
   saves up to no more than one of the largest requests. */
static void
account_quick (struct dispatch *dispatch, struct dispatch_request *request,
               uint64_t cost)
{
  struct dispatch_service *service = request->service;
  uint64_t most;

  if (cost > service->largest_cost)
    service->largest_cost = cost;
  if (request->ahead)
    {
      service->quick_credit -= cost * PERMILLE < service->quick_credit
                                   ? cost * PERMILLE
                                   : service->quick_credit;
      return;
    }
  most = service->largest_cost * PERMILLE;
  service->quick_credit += cost * dispatch->config.limits.quick_permille;
  if (service->quick_credit > most)
    service->quick_credit = most;
}

static uint64_t
estimate (const struct dispatch *dispatch,
          const struct dispatch_request *request)
{
  uint64_t cost
      = estimate_cost (&dispatch->estimates, request->node.customer_id,
                       request->node.profile_id, request->hint);
  uint64_t input = request->input_units * request->input_cost;

  return cost < input ? input : cost;
}

int
dispatch_lift (struct dispatch *dispatch, struct dispatch_request *request)
{
  struct dispatch_backlog elsewhere = { .customer_waits = false };
  uint64_t target;
  uint64_t now;

  if (request->demand->waiting > 1)
    return 0;
  look_elsewhere (dispatch, request, &elsewhere);
  if (elsewhere.customer_waits)
    return 0;
  target = lift_target (dispatch, request, &elsewhere);
  /* Half of its running requests' reserve is left as credit: reports are
     late, and lifting on each of their errors would only ever lift. */
  now = served (dispatch, request, &elsewhere, 2);
  if (now >= target)
    return 0;
  return ledger_lift (dispatch->config.ledger, request->node.customer_id,
                      request->node.service_id, target - now);
}

static void
look_elsewhere (struct dispatch *dispatch,
                const struct dispatch_request *request,
                struct dispatch_backlog *elsewhere)
{
  if (dispatch->config.fleet_backlog != NULL)
    dispatch->config.fleet_backlog (
        dispatch->config.fleet_user, request->node.customer_id,
        request->node.service_id, reserve_of (dispatch, request), elsewhere);
}

static uint64_t
reserve_of (struct dispatch *dispatch, const struct dispatch_request *request)
{
  return reserve_cost (&dispatch->reserves, request->node.service_id,
                       request->hint);
}

/* What the request's customer has been served, without the share `1/part` of
   reserves. */
static uint64_t
served (struct dispatch *dispatch, const struct dispatch_request *request,
        const struct dispatch_backlog *elsewhere, uint64_t part)
{
  uint64_t running = request->demand->running + elsewhere->customer_running;

  return ledger_served (dispatch->config.ledger, request->node.customer_id,
                        request->node.service_id,
                        running * reserve_of (dispatch, request) / part,
                        request->weight);
}

/* The least that those already waiting were served; when none waits, the most
   that any customer had been served when a request of it started. */
static uint64_t
lift_target (struct dispatch *dispatch, const struct dispatch_request *request,
             const struct dispatch_backlog *elsewhere)
{
  const struct dispatch_demand_entry *entry;
  const struct catalog_customer *customer;
  uint64_t reserve = reserve_of (dispatch, request);
  uint64_t least = UINT64_MAX;
  uint64_t here;

  if (elsewhere->others_wait)
    least = elsewhere->least_position;
  for (entry = dispatch->demands; entry != NULL; entry = entry->hh.next)
    if (entry->key.service_id == request->node.service_id && entry->waiting > 0
        && entry->key.customer_id != request->node.customer_id)
      {
        customer = catalog_customer (dispatch->config.catalog,
                                     entry->key.customer_id);
        here = ledger_served (dispatch->config.ledger, entry->key.customer_id,
                              entry->key.service_id, reserve * entry->running,
                              customer == NULL ? 1 : customer->weight);
        least = here < least ? here : least;
      }
  if (least != UINT64_MAX)
    return least;
  return request->service->virtual_position;
}

int
dispatch_charge (struct dispatch *dispatch, struct dispatch_request *request)
{
  struct dispatch_backlog elsewhere = { .customer_waits = false };
  struct dispatch_service *service = request->service;
  uint64_t position;

  if (request->charged_once)
    return 0;
  look_elsewhere (dispatch, request, &elsewhere);
  position = served (dispatch, request, &elsewhere, 1);
  if (!request->ahead && position > service->virtual_position)
    service->virtual_position = position;
  account_quick (dispatch, request, estimate (dispatch, request));
  request->reserved = reserve_of (dispatch, request);
  request->charged_once = true;
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

  if (now_ns - dispatch->charge_ns < DISPATCH_CHARGE_MS * NS_PER_MS)
    return 0;
  dispatch->charge_ns = now_ns;
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

  if (!request->charged_once)
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

/* A request that no upstream began to run has cost nothing. */
static uint64_t
cost_so_far (const struct dispatch_request *request, uint64_t now_ns)
{
  uint64_t slot_ns = request->slot_ns;

  if (request->attempt.furthest < ATTEMPT_SENDING)
    return 0;
  if (request->engine)
    return request->input_units * request->input_cost
           + request->output_units * request->output_cost;
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
