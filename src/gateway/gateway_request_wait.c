/**
 * @file gateway_request_wait.c
 * Requests that wait for an upstream with free capacity.
 */
#include "gateway/gateway_limits.h"
#include "gateway/gateway_peers_int.h"
#include "gateway/gateway_quarantine.h"
#include "gateway/gateway_request_int.h"
#include "state/admission.h"
#include "state/rng.h"
#include "transport/log.h"
#include <stdlib.h>

/* Retry-After of a refusal: this minimum, after which the queued requests have
   been served, plus a random part of the span, so that clients do not return
   all at once. */
#define RETRY_AFTER_MIN_MS  800
#define RETRY_AFTER_SPAN_MS 1600
/* The same for requests that would need a turn at a limited upstream, besides
   the time until it may have one. */
#define LIMITED_RETRY_MIN_MS 200
/* Maximum wait of a request that can no longer meet its objective. */
#define LATE_REQUEST_WAIT_MS 1500

/* A request may be refused at once when serving the queue takes this many
   times its remaining time; a shorter queue gives upstreams a choice of
   requests that they have capacity for. */
#define QUEUE_TIME_FACTOR_MAX 4
#define RATE_QUEUE_MIN        16 /* a shorter queue gives no reliable rate */
#define RANDOM_RESOLUTION     1000000 /* steps of a random number from 0 to 1 */
/* The pause between dispatches is this many times the duration of the last
   one, which limits them to a tenth of the CPU time. */
#define DISPATCH_REST_FACTOR 9
/* A dispatch or an expiry that takes longer leaves the rest of the queue to
   the next one: other events have to be handled. */
#define DISPATCH_SLICE_MS 10
/* Requests that have expired are refused this much late at most. */
#define EXPIRE_INTERVAL_MS 10

static bool is_prompt (const struct gateway_request *request);
static void wait_for_turn (struct gateway_request *request);
static void refuse_limited (struct gateway_request *request);
static enum gateway_hold find_hold (struct gateway_request *request,
                                    const struct choose_result *result);
static enum gateway_hold find_engine_hold (struct gateway_request *request,
                                           const struct choose_result *result);
static bool upstream_has_capacity (struct gateway_request *request,
                                   const struct choose_result *result);
static uint64_t permitted_backlog_tokens (struct gateway_request *request,
                                          const struct choose_result *result);
static void update_utilisation (struct gateway *gateway);
static void log_expired_wait (struct gateway_request *request,
                              uint64_t now_ns);
static enum wait_queue_answer try_send (void *user, void *owner);
static bool expire_waiting (void *user, void *owner);
static void dispatch_waiting (struct gateway *gateway);
static void wait_for_dispatch (struct gateway *gateway, uint64_t rest_ns);
static void refuse_full (struct gateway_request *request);
static void send_to (struct gateway_request *request,
                     const struct choose_result *result);
static void enqueue (struct gateway_request *request,
                     const struct choose_result *result);
static double usage_factor (struct gateway_request *request);
static void count_queued_tokens (struct gateway_request *request,
                                 const struct choose_result *result);
static uint32_t backlog_max_ms (const struct gateway *gateway,
                                const struct gateway_service *service);
static bool within_quota (struct gateway_request *request,
                          const struct choose_result *result);
static bool will_expire_in_queue (struct gateway_request *request);
static uint32_t retry_after_ms (struct gateway *gateway);

struct gateway_service *
gateway_request_service (struct gateway_request *request)
{
  struct gateway *gateway = request->gateway;
  const struct registry_upstream *upstream;
  struct gateway_service *service;
  uint32_t upstream_count = 0;

  HASH_FIND (hh, gateway->services, &request->service->id,
             sizeof request->service->id, service);
  if (service != NULL)
    return service;
  service = calloc (1, sizeof *service);
  if (service == NULL)
    return NULL;
  for (upstream = gateway->registry.upstreams; upstream != NULL;
       upstream = upstream->hh.next)
    if (upstream->record.service_id == request->service->id)
      upstream_count++;
  service->id = request->service->id;
  prefill_rate_init (&service->prefill_rate,
                     request->routing->limits.tokens_per_s, upstream_count);
  HASH_ADD (hh, gateway->services, id, sizeof service->id, service);
  return service;
}

void
gateway_request_try (struct gateway_request *request)
{
  struct choose_result result;

  if (gateway_request_end_if_client_left (request))
    return;
  if (gateway_quarantine_holds (request))
    {
      if (!gateway_quarantine_ask (request))
        gateway_request_give_up (request);
      return;
    }
  gateway_request_choose (request, &result);
  if (result.upstream == NULL)
    wait_for_turn (request);
  else if (!is_prompt (request) || request->attempt_state.number > 0)
    {
      /* A turn for the next one: only responses of a limited upstream can say
         that its limit has ended. */
      if (!is_prompt (request))
        gateway_limits_ask (request, false);
      gateway_request_start_attempt (request, &result);
    }
  else
    enqueue (request, &result);
}

static bool
is_prompt (const struct gateway_request *request)
{
  return request->parsed.prompt.part_count > 0;
}

/* No upstream may be used now.  If a limit is the only reason for some, the
   request is queued for a turn, unless none is expected in its time. */
static void
wait_for_turn (struct gateway_request *request)
{
  const struct choose_result none = { .upstream = NULL };
  uint64_t wait_ns = gateway_limits_wait_ns (request);

  if (wait_ns == UINT64_MAX || request->attempt_state.number > 0)
    gateway_request_give_up (request);
  else if (wait_ns > request->route->objective_ms * CLOCK_NS_PER_MS)
    refuse_limited (request);
  else
    enqueue (request, &none);
}

/* Refuses a request for lack of turns.  Its client comes back when there may
   be one, at a random time, as others do. */
static void
refuse_limited (struct gateway_request *request)
{
  struct gateway *gateway = request->gateway;
  uint64_t wait_ns = gateway_limits_wait_ns (request);

  gateway_request_refuse (
      request, REFUSAL_ROUTER_FULL,
      (uint32_t)(wait_ns / CLOCK_NS_PER_MS) + LIMITED_RETRY_MIN_MS
          + (uint32_t)rng_below (&gateway->rng, LIMITED_RETRY_MIN_MS));
}

uint32_t
gateway_request_recompute_permille (const struct gateway_request *request)
{
  const struct admission_wait wait = {
    .queued = request->queue_entry.queued,
    .waited_ns = gateway_now_ns (request->gateway) - request->arrival_ns,
    .total_ns = request->queue_entry.expiry_ns - request->arrival_ns,
    .propagation_ms = gateway_peers_propagation_ms (request->gateway->peers),
  };

  return admission_recompute_permille (&wait, request->gateway->utilisation);
}

/* Requests that could be sent at once are queued too, so that they do not
   overtake others.  One that would be offered first is not: passes over a long
   queue are rare. */
static void
enqueue (struct gateway_request *request, const struct choose_result *result)
{
  struct gateway *gateway = request->gateway;
  const struct prompt *prompt = &request->parsed.prompt;
  struct gateway_service *service
      = is_prompt (request) ? gateway_request_service (request) : NULL;
  uint64_t prefill_ns = service == NULL
                            ? 0
                            : prefill_rate_first_token_ns (
                                &service->prefill_rate,
                                prompt->parts[prompt->part_count - 1].tokens);
  /* A stream that is taken up had begun in time or not, whenever it goes on.
   */
  uint64_t waited_ns
      = request->parsed.last_event_id == NULL ? request->waited_ns : 0;
  uint64_t objective_ns
      = request->arrival_ns + request->route->objective_ms * CLOCK_NS_PER_MS;

  if (service != NULL)
    shortest_objective_observe (&service->shortest_objective,
                                request->route->objective_ms,
                                request->arrival_ns);
  request->queue_entry = (struct wait_queue_item){
    .customer_id = request->customer == NULL ? 0 : request->customer->id,
    .priority = request->customer != NULL && request->customer->has_priority
                    ? request->customer->priority
                    : request->route->priority,
    .arrival_ns = request->arrival_ns,
    .objective_ns = objective_ns > prefill_ns + waited_ns
                        ? objective_ns - prefill_ns - waited_ns
                        : 0,
    .owner = request,
  };
  request->queue_entry.expiry_ns
      = request->queue_entry.objective_ns > request->arrival_ns
            ? request->queue_entry.objective_ns
            : request->arrival_ns + LATE_REQUEST_WAIT_MS * CLOCK_NS_PER_MS;
  if (is_prompt (request) && will_expire_in_queue (request))
    {
      /* The queue waits for busy engines; this request's may have capacity. */
      if (upstream_has_capacity (request, result))
        send_to (request, result);
      else
        refuse_full (request);
      return;
    }
  if (is_prompt (request)
      && wait_queue_is_next (&gateway->wait_queue, &gateway->usage,
                             &request->queue_entry, request->arrival_ns)
      && upstream_has_capacity (request, result))
    {
      send_to (request, result);
      return;
    }
  if (wait_queue_add (&gateway->wait_queue, &gateway->usage,
                      &request->queue_entry)
      != 0)
    {
      gateway_request_refuse (request, REFUSAL_ROUTER_FULL,
                              RETRY_AFTER_MIN_MS);
      return;
    }
  if (result->upstream != NULL)
    count_queued_tokens (request, result);
  gateway_request_dispatch_waiting (-1, 0, gateway);
}

static double
usage_factor (struct gateway_request *request)
{
  struct gateway *gateway = request->gateway;

  return admission_usage_factor (
      usage_share_total (&gateway->usage, request->queue_entry.customer_id,
                         gateway_now_ns (gateway)),
      gateway->mean_usage_tokens, ENGINE_QUOTA_FACTOR_MAX);
}

/* Counts the request's tokens as waiting for an upstream, for the load reports
   to other gateways; customers with little recent usage weigh more. */
static void
count_queued_tokens (struct gateway_request *request,
                     const struct choose_result *result)
{
  struct gateway *gateway = request->gateway;
  double factor = usage_factor (request);

  request->queued_upstream_id = result->upstream->id;
  request->queued_tokens = result->prefill_tokens + 1;
  request->queued_weight = (uint32_t)(result->prefill_tokens * factor) + 1;
  registry_add_queued (result->upstream, request->queued_tokens,
                       request->queued_weight);
  gateway->queued_weight += request->queued_weight;
}

/* Refuses a request for lack of capacity. */
static void
refuse_full (struct gateway_request *request)
{
  struct gateway *gateway = request->gateway;

  usage_share_count_refused (&gateway->usage, request->queue_entry.customer_id,
                             gateway_now_ns (gateway));
  gateway_request_refuse (request, REFUSAL_ROUTER_FULL,
                          retry_after_ms (gateway));
}

static uint32_t
retry_after_ms (struct gateway *gateway)
{
  return RETRY_AFTER_MIN_MS
         + (uint32_t)rng_below (&gateway->rng, RETRY_AFTER_SPAN_MS);
}

/* Whether to refuse the request at once: serving the queue takes more than
   QUEUE_TIME_FACTOR_MAX times its remaining time, and its customer has had
   more than the mean usage of the waiting customers, so that others are served
   before it. */
static bool
will_expire_in_queue (struct gateway_request *request)
{
  struct gateway *gateway = request->gateway;
  uint64_t now_ns = gateway_now_ns (gateway);

  return gateway->wait_queue.count >= RATE_QUEUE_MIN
         && usage_share_total (&gateway->usage,
                               request->queue_entry.customer_id, now_ns)
                > usage_share_backlogged_mean (&gateway->usage, now_ns)
         && request->queue_entry.expiry_ns > now_ns
         && wait_queue_drain_ns (&gateway->wait_queue, now_ns)
                > (request->queue_entry.expiry_ns - now_ns)
                      * QUEUE_TIME_FACTOR_MAX;
}

void
gateway_request_dequeue (struct gateway_request *request)
{
  struct registry_upstream *upstream;

  if (!request->queue_entry.queued)
    return;
  wait_queue_remove (&request->gateway->wait_queue, &request->gateway->usage,
                     &request->queue_entry);
  request->gateway->queued_weight -= request->queued_weight;
  upstream = registry_find (&request->gateway->registry,
                            request->queued_upstream_id);
  if (upstream != NULL)
    registry_remove_queued (upstream, request->queued_tokens,
                            request->queued_weight);
}

/* Whether the request fits this instance's quota of the upstream's capacity.
   It competes with the requests queued for that upstream. */
static bool
within_quota (struct gateway_request *request,
              const struct choose_result *result)
{
  struct gateway *gateway = request->gateway;
  const struct gateway_service *service = gateway_request_service (request);
  struct registry_upstream *upstream = result->upstream;
  bool queued_here = request->queue_entry.queued
                     && request->queued_upstream_id == upstream->id;
  uint32_t interval_ms = gateway_peers_propagation_ms (gateway->peers);
  const struct engine_quota_request quota_request = {
    .interval = gateway_now_ns (gateway) / (interval_ms * CLOCK_NS_PER_MS),
    .capacity_tokens = service == NULL
                           ? 0
                           : admission_interval_tokens (
                               &service->prefill_rate,
                               backlog_max_ms (gateway, service), interval_ms),
    .backlog_tokens = result->backlog_tokens,
    .local_tokens = upstream->load.queued_tokens
                    + (queued_here ? 0 : result->prefill_tokens + 1),
    .local_weight = upstream->load.queued_weight
                    + (queued_here ? 0
                                   : (uint64_t)(result->prefill_tokens
                                                * usage_factor (request))
                                         + 1),
    .peer_tokens = upstream->load.peer_queued_tokens,
    .peer_weight = upstream->load.peer_queued_weight,
    .random
    = (double)rng_below (&gateway->rng, RANDOM_RESOLUTION) / RANDOM_RESOLUTION,
  };

  return engine_quota_allows (&upstream->quota, &quota_request,
                              result->prefill_tokens);
}

/* What keeps the request back from the chosen upstream now. */
static enum gateway_hold
find_hold (struct gateway_request *request, const struct choose_result *result)
{
  if (result->upstream == NULL)
    {
      gateway_limits_ask (request, false);
      return GATEWAY_HOLD_UPSTREAM;
    }
  return is_prompt (request) ? find_engine_hold (request, result)
                             : GATEWAY_HOLD_NONE;
}

static enum gateway_hold
find_engine_hold (struct gateway_request *request,
                  const struct choose_result *result)
{
  struct gateway *gateway = request->gateway;

  if (admission_above_cap (usage_share_total (&gateway->usage,
                                              request->queue_entry.customer_id,
                                              gateway_now_ns (gateway)),
                           gateway->usage_cap_tokens, gateway->utilisation))
    return GATEWAY_HOLD_CAP;
  /* Its prefix is cached at its primary engine. */
  if (gateway_limits_ask (request, true))
    return GATEWAY_HOLD_LIMIT;
  if (result->backlog_tokens > permitted_backlog_tokens (request, result))
    return GATEWAY_HOLD_BACKLOG;
  if (!registry_has_free_slot (result->upstream))
    return GATEWAY_HOLD_SLOTS;
  /* The turn is the quota. */
  return result->upstream->limit.limited || within_quota (request, result)
             ? GATEWAY_HOLD_NONE
             : GATEWAY_HOLD_QUOTA;
}

static bool
upstream_has_capacity (struct gateway_request *request,
                       const struct choose_result *result)
{
  struct gateway_dispatch_counters *counters
      = &request->gateway->counters.dispatch;
  enum gateway_hold hold = find_hold (request, result);

  counters->offered++;
  counters->held[hold]++;
  return hold == GATEWAY_HOLD_NONE;
}

static uint32_t
backlog_max_ms (const struct gateway *gateway,
                const struct gateway_service *service)
{
  return service == NULL ? 0
                         : shortest_objective_backlog_ms (
                             &service->shortest_objective,
                             gateway_peers_propagation_ms (gateway->peers));
}

/* Largest backlog of the chosen upstream at which it is sent the request. */
static uint64_t
permitted_backlog_tokens (struct gateway_request *request,
                          const struct choose_result *result)
{
  struct gateway *gateway = request->gateway;
  const struct gateway_service *service = gateway_request_service (request);
  const struct admission_request capacity_request = {
    .usage_tokens
    = usage_share_total (&gateway->usage, request->queue_entry.customer_id,
                         gateway_now_ns (gateway)),
    .mean_tokens = gateway->mean_usage_tokens,
    .utilisation = gateway->utilisation_with_waiting,
    .backlog_max_ms = backlog_max_ms (gateway, service),
    .fallback = !result->primary
                && gateway_request_recompute_permille (request)
                       == ADMISSION_RECOMPUTE_LOW_PERMILLE,
    .late = request->queue_entry.objective_ns < gateway_now_ns (gateway),
    .engine_utilisation = gateway->utilisation,
  };

  return service == NULL ? 0
                         : admission_capacity_tokens (&service->prefill_rate,
                                                      &capacity_request);
}

static void
update_utilisation (struct gateway *gateway)
{
  const struct gateway_service *service;
  struct admission_load load = { .backlog_tokens = 0 };

  for (service = gateway->services; service != NULL;
       service = service->hh.next)
    admission_add_engines (&load, &gateway->registry, service->id,
                           &service->prefill_rate,
                           backlog_max_ms (gateway, service));
  gateway->utilisation = admission_utilisation (&load);
  admission_add_queued (&load,
                        gateway->queued_weight + gateway->peer_queued_weight);
  gateway->utilisation_with_waiting = admission_utilisation (&load);
}

/* Callback of wait_queue_offer.  A request that ended since its client has
   left counts as taken. */
static enum wait_queue_answer
try_send (void *user, void *owner)
{
  struct gateway *gateway = user;
  struct gateway_request *request = owner;
  struct choose_result result;
  uint64_t now_ns = gateway_now_ns (gateway);

  /* The slice begins with the first offer, so that each pass makes one. */
  if (gateway->dispatch_start_ns == 0)
    gateway->dispatch_start_ns = now_ns;
  else if (now_ns - gateway->dispatch_start_ns
           >= DISPATCH_SLICE_MS * CLOCK_NS_PER_MS)
    {
      event_active (gateway->dispatch, EV_TIMEOUT, 0);
      return WAIT_QUEUE_STOP;
    }
  /* The next expiry refuses it. */
  if (request->queue_entry.expiry_ns <= now_ns)
    return WAIT_QUEUE_HELD;
  if (gateway_quarantine_holds (request))
    {
      gateway_request_dequeue (request);
      gateway_request_give_up (request);
      return WAIT_QUEUE_TAKEN;
    }
  gateway_request_choose (request, &result);
  if (!upstream_has_capacity (request, &result))
    return WAIT_QUEUE_HELD;
  if (gateway_request_end_if_client_left (request))
    return WAIT_QUEUE_TAKEN;
  gateway_request_dequeue (request);
  send_to (request, &result);
  gateway->dispatch_duration_ns -= gateway_now_ns (gateway) - now_ns;
  return WAIT_QUEUE_TAKEN;
}

static void
send_to (struct gateway_request *request, const struct choose_result *result)
{
  engine_quota_consume (&result->upstream->quota, result->prefill_tokens);
  gateway_request_start_attempt (request, result);
}

/* Logs why an expired request was not sent: the upstream that it would have
   used, the usage of its customer, and the mean usage. */
static void
log_expired_wait (struct gateway_request *request, uint64_t now_ns)
{
  struct gateway *gateway = request->gateway;
  struct choose_result result;

  if (!log_has_budget (LOG_REQUEST_WAITED))
    return;
  gateway_request_choose (request, &result);
  LOG (LOG_REQUEST_WAITED, request->parsed.id,
       LOG_S ("route", request->route->name),
       LOG_S ("customer",
              request->customer == NULL ? "" : request->customer->name),
       LOG_U ("waited_ms", (now_ns - request->arrival_ns) / CLOCK_NS_PER_MS),
       LOG_U ("in_line", gateway->wait_queue.count),
       LOG_S ("upstream", result.upstream == NULL
                              ? "none"
                              : result.upstream->record.identity),
       LOG_S ("home", result.primary ? "yes" : "no"),
       LOG_U ("ahead_tokens", result.backlog_tokens),
       LOG_U ("room_tokens", is_prompt (request)
                                 ? permitted_backlog_tokens (request, &result)
                                 : 0),
       LOG_U ("running", result.upstream == NULL
                             ? 0
                             : result.upstream->load.running
                                   + result.upstream->load.peer_running),
       LOG_U ("slots",
              result.upstream == NULL ? 0 : result.upstream->record.slots),
       LOG_U ("had_tokens",
              usage_share_total (&gateway->usage,
                                 request->queue_entry.customer_id, now_ns)),
       LOG_U ("others_had_tokens", gateway->mean_usage_tokens),
       LOG_U ("cap_tokens", gateway->usage_cap_tokens),
       LOG_U ("crowding_percent", (uint64_t)(gateway->utilisation * 100)));
}

void
gateway_request_capacity_changed (struct gateway *gateway)
{
  if (gateway->wait_queue.count > 0)
    event_active (gateway->dispatch, EV_TIMEOUT, 0);
}

/* Callback of wait_queue_expire. */
static bool
expire_waiting (void *user, void *owner)
{
  struct gateway *gateway = user;
  struct gateway_request *request = owner;

  if (gateway_now_ns (gateway) - gateway->expire_ns
      >= DISPATCH_SLICE_MS * CLOCK_NS_PER_MS)
    {
      event_active (gateway->dispatch, EV_TIMEOUT, 0);
      return false;
    }
  gateway->counters.dispatch.expired++;
  log_expired_wait (request, gateway->expire_ns);
  gateway_request_dequeue (request);
  if (is_prompt (request))
    refuse_full (request);
  else
    refuse_limited (request);
  return true;
}

void
gateway_request_turn_changed (struct gateway *gateway, uint32_t delay_ms)
{
  if (delay_ms == 0)
    gateway_request_capacity_changed (gateway);
  else if (gateway->wait_queue.count > 0)
    wait_for_dispatch (gateway, delay_ms * CLOCK_NS_PER_MS);
}

static void
wait_for_dispatch (struct gateway *gateway, uint64_t rest_ns)
{
  const struct timeval rest
      = clock_timeval ((uint32_t)(rest_ns / CLOCK_NS_PER_MS) + 1);

  if (!evtimer_pending (gateway->dispatch, NULL))
    event_add (gateway->dispatch, &rest);
}

void
gateway_request_dispatch_waiting (evutil_socket_t fd, short what, void *arg)
{
  struct gateway *gateway = arg;
  enum loop_work work;

  (void)fd;
  (void)what;
  if (gateway->wait_queue.count == 0)
    return;
  work = looptime_begin (&gateway->loop_time, LOOP_WORK_DISPATCH);
  dispatch_waiting (gateway);
  looptime_begin (&gateway->loop_time, work);
}

static void
dispatch_waiting (struct gateway *gateway)
{
  uint64_t now_ns = gateway_now_ns (gateway);
  uint64_t rest_ns = gateway->dispatch_duration_ns * DISPATCH_REST_FACTOR;

  if (now_ns - gateway->expire_ns >= EXPIRE_INTERVAL_MS * CLOCK_NS_PER_MS)
    {
      gateway->expire_ns = now_ns;
      wait_queue_expire (&gateway->wait_queue, now_ns, expire_waiting,
                         gateway);
      now_ns = gateway_now_ns (gateway);
    }
  /* With a long queue, a dispatch costs more than it gains. */
  if (now_ns - gateway->dispatch_end_ns < rest_ns)
    {
      wait_for_dispatch (gateway,
                         rest_ns - (now_ns - gateway->dispatch_end_ns));
      return;
    }
  gateway->load_generation++;
  gateway->mean_usage_tokens
      = usage_share_backlogged_mean (&gateway->usage, now_ns);
  update_utilisation (gateway);
  gateway->dispatch_start_ns = 0;
  gateway->dispatch_duration_ns = 0;
  wait_queue_offer (&gateway->wait_queue, &gateway->usage, now_ns, try_send,
                    gateway);
  gateway->dispatch_end_ns = gateway_now_ns (gateway);
  gateway->dispatch_duration_ns += gateway->dispatch_end_ns - now_ns;
  gateway->counters.dispatch.runs++;
  gateway->counters.dispatch.duration_ns += gateway->dispatch_end_ns - now_ns;
}
