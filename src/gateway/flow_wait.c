/**
 * @file flow_wait.c
 * Requests that wait for an upstream to have room.
 */
#include "gateway/flow_int.h"
#include "state/admit.h"
#include "state/rng.h"
#include "transport/log.h"
#include <stdlib.h>

/* A client that was refused comes back within this span: by then what was in
   line has been served, and all do not come at once. */
#define RETRY_AFTER_MIN_MS  800
#define RETRY_AFTER_SPAN_MS 1600
/* A request that cannot meet its objective any more waits for room so long. */
#define LATE_HOLD_MS 1500

/* A line so many times as long as a request's time is past hope; a shorter one
   offers engines a choice of requests that they have room for. */
#define HOPELESS_TIMES 4
#define LINE_MIN       16 /* a shorter line says little of how fast it moves */
/* Word of what was sent is everywhere by then: two statements within a zone
   and one between zones. */
#define TURN_MS 150
/* A customer that has had next to nothing goes before so many requests of
   others, all but first. */
#define NEED_MAX   64.0
#define DRAW_STEPS 1000000 /* that a chance is drawn in */
/* Passes rest so many times as long as the last one took: they get a tenth of
   the processor at most. */
#define PASS_REST 9
static bool admissible (struct flow *flow, const struct choose_result *result);
static uint64_t room_tokens (struct flow *flow,
                             const struct choose_result *result);
static void count_room (struct gateway *gateway);
static void log_wait (struct flow *flow, uint64_t now_ns);
static bool take (void *user, void *owner);
static void wait_in_line (struct flow *flow,
                          const struct choose_result *result);
static void want (struct flow *flow, const struct choose_result *result);
static bool portioned (struct flow *flow, const struct choose_result *result);
static bool hopeless (struct flow *flow);
static uint32_t retry_after_ms (struct gateway *gateway);

struct gateway_service *
flow_service (struct flow *flow)
{
  struct gateway *gateway = flow->gateway;
  const struct roster_upstream *upstream;
  struct gateway_service *service;
  uint32_t engines = 0;

  HASH_FIND (hh, gateway->services, &flow->service->id,
             sizeof flow->service->id, service);
  if (service != NULL)
    return service;
  service = calloc (1, sizeof *service);
  if (service == NULL)
    return NULL;
  for (upstream = gateway->roster.upstreams; upstream != NULL;
       upstream = upstream->hh.next)
    if (upstream->record.service_id == flow->service->id)
      engines++;
  service->id = flow->service->id;
  pace_init (&service->pace, flow->routing->limits.tokens_per_s, engines);
  HASH_ADD (hh, gateway->services, id, sizeof service->id, service);
  return service;
}

void
flow_try (struct flow *flow)
{
  struct choose_result result;

  flow_choose (flow, &result);
  if (result.upstream == NULL)
    flow_give_up (flow);
  else if (flow->ask.prompt.part_count == 0 || flow->record.number > 0)
    flow_start (flow, &result);
  else
    wait_in_line (flow, &result);
}

uint32_t
flow_patience (const struct flow *flow)
{
  return admit_patience_permille (
      flow->wait.waits, gateway_now_ns (flow->gateway) - flow->arrival_ns,
      flow->wait.expiry_ns - flow->arrival_ns, flow->gateway->crowding);
}

/* Even a request that could begin at once goes through the line, so that it
   does not overtake others. */
static void
wait_in_line (struct flow *flow, const struct choose_result *result)
{
  struct gateway *gateway = flow->gateway;
  const struct prompt *prompt = &flow->ask.prompt;
  struct gateway_service *service = flow_service (flow);
  uint64_t begin_ns
      = service == NULL
            ? 0
            : pace_begin_ns (&service->pace,
                             prompt->parts[prompt->part_count - 1].tokens);
  uint64_t objective_ns
      = flow->arrival_ns + flow->route->objective_ms * CLOCK_NS_PER_MS;

  flow->wait = (struct waitline_item){
    .customer_id = flow->customer == NULL ? 0 : flow->customer->id,
    .priority = flow->customer != NULL && flow->customer->ranked
                    ? flow->customer->priority
                    : flow->route->priority,
    .objective_ns = objective_ns > begin_ns ? objective_ns - begin_ns : 0,
    .owner = flow,
  };
  flow->wait.expiry_ns
      = flow->wait.objective_ns > flow->arrival_ns
            ? flow->wait.objective_ns
            : flow->arrival_ns + LATE_HOLD_MS * CLOCK_NS_PER_MS;
  if (hopeless (flow))
    {
      flow_refuse (flow, REFUSAL_ROUTER_FULL, retry_after_ms (gateway));
      return;
    }
  if (waitline_add (&gateway->waitline, &gateway->usage, &flow->wait) != 0)
    {
      flow_refuse (flow, REFUSAL_ROUTER_FULL, RETRY_AFTER_MIN_MS);
      return;
    }
  want (flow, result);
  flow_pass (-1, 0, gateway);
}

/* Other gateways are told what waits for an upstream, by the need of its
   customers. */
static void
want (struct flow *flow, const struct choose_result *result)
{
  struct gateway *gateway = flow->gateway;
  double need
      = admit_part (usage_share_used (&gateway->usage, flow->wait.customer_id,
                                      gateway_now_ns (gateway)),
                    gateway->level_tokens, NEED_MAX);

  flow->wanted_id = result->upstream->id;
  flow->wanted_tokens = (uint32_t)(result->unread_tokens * need) + 1;
  roster_want (result->upstream, flow->wanted_tokens);
  gateway->wanted_tokens += flow->wanted_tokens;
}

static uint32_t
retry_after_ms (struct gateway *gateway)
{
  return RETRY_AFTER_MIN_MS
         + (uint32_t)rng_below (&gateway->rng, RETRY_AFTER_SPAN_MS);
}

/* More wait than will be taken before its time is over, and its customer has
   had more than those that wait, so that it is not among the first. */
static bool
hopeless (struct flow *flow)
{
  struct gateway *gateway = flow->gateway;
  uint64_t now_ns = gateway_now_ns (gateway);

  return gateway->waitline.count >= LINE_MIN
         && usage_share_used (&gateway->usage, flow->wait.customer_id, now_ns)
                > usage_share_level (&gateway->usage, now_ns)
         && flow->wait.expiry_ns > now_ns
         && waitline_ahead_ns (&gateway->waitline, now_ns)
                > (flow->wait.expiry_ns - now_ns) * HOPELESS_TIMES;
}

void
flow_unwait (struct flow *flow)
{
  struct roster_upstream *upstream;

  if (!flow->wait.waits)
    return;
  waitline_remove (&flow->gateway->waitline, &flow->gateway->usage,
                   &flow->wait);
  flow->gateway->wanted_tokens -= flow->wanted_tokens;
  upstream = roster_find (&flow->gateway->roster, flow->wanted_id);
  if (upstream != NULL)
    roster_unwant (upstream, flow->wanted_tokens);
}

/* At another engine than its home, a prompt competes with all that wait. */
static bool
portioned (struct flow *flow, const struct choose_result *result)
{
  struct gateway *gateway = flow->gateway;
  const struct gateway_service *service = flow_service (flow);
  struct roster_upstream *upstream = result->upstream;
  bool wanted = flow->wanted_id == upstream->id;
  const struct portion_request request = {
    .turn = gateway_now_ns (gateway) / (TURN_MS * CLOCK_NS_PER_MS),
    .room_tokens
    = service == NULL ? 0 : admit_turn_tokens (&service->pace, TURN_MS),
    .ahead_tokens = result->ahead_tokens,
    .own_tokens
    = wanted ? upstream->load.wanted_tokens : gateway->wanted_tokens,
    .peer_tokens
    = wanted ? upstream->load.peer_wanted_tokens : gateway->peer_wanted_tokens,
    .draw = (double)rng_below (&gateway->rng, DRAW_STEPS) / DRAW_STEPS,
  };

  return portion_allows (&upstream->portion, &request, result->unread_tokens);
}

static bool
admissible (struct flow *flow, const struct choose_result *result)
{
  const struct roster_load *load;

  if (result->upstream == NULL)
    return false;
  load = &result->upstream->load;
  return result->ahead_tokens <= room_tokens (flow, result)
         && load->running + load->peer_running < result->upstream->record.slots
         && portioned (flow, result);
}

static uint64_t
room_tokens (struct flow *flow, const struct choose_result *result)
{
  struct gateway *gateway = flow->gateway;
  const struct gateway_service *service = flow_service (flow);
  const struct admit_request request = {
    .had_tokens = usage_share_used (&gateway->usage, flow->wait.customer_id,
                                    gateway_now_ns (gateway)),
    .others_had_tokens = gateway->level_tokens,
    .crowding = gateway->contention,
    .away = !result->home && flow_patience (flow) == ADMIT_IMPATIENT_PERMILLE,
  };

  return service == NULL ? 0 : admit_room_tokens (&service->pace, &request);
}

static void
count_room (struct gateway *gateway)
{
  const struct gateway_service *service;
  struct admit_room room = { .taken_tokens = 0 };

  for (service = gateway->services; service != NULL;
       service = service->hh.next)
    admit_count (&room, &gateway->roster, service->id, &service->pace);
  gateway->crowding = admit_crowding (&room);
  admit_wait (&room, gateway->wanted_tokens + gateway->peer_wanted_tokens);
  gateway->contention = admit_crowding (&room);
}

static bool
take (void *user, void *owner)
{
  struct flow *flow = owner;
  struct choose_result result;

  (void)user;
  flow_choose (flow, &result);
  if (!admissible (flow, &result))
    return false;
  flow_unwait (flow);
  portion_take (&result.upstream->portion, result.unread_tokens);
  flow_start (flow, &result);
  return true;
}

/* What had it wait: the engine that it would have gone to, and its customer
   against the others. */
static void
log_wait (struct flow *flow, uint64_t now_ns)
{
  struct gateway *gateway = flow->gateway;
  struct choose_result result;

  flow_choose (flow, &result);
  LOG (LOG_REQUEST_WAITED, flow->ask.id, LOG_S ("route", flow->route->name),
       LOG_S ("customer", flow->customer == NULL ? "" : flow->customer->name),
       LOG_U ("waited_ms", (now_ns - flow->arrival_ns) / CLOCK_NS_PER_MS),
       LOG_U ("in_line", gateway->waitline.count),
       LOG_S ("upstream", result.upstream == NULL
                              ? "none"
                              : result.upstream->record.identity),
       LOG_S ("home", result.home ? "yes" : "no"),
       LOG_U ("ahead_tokens", result.ahead_tokens),
       LOG_U ("room_tokens", room_tokens (flow, &result)),
       LOG_U ("had_tokens", usage_share_used (&gateway->usage,
                                              flow->wait.customer_id, now_ns)),
       LOG_U ("others_had_tokens", gateway->level_tokens),
       LOG_U ("crowding_percent", (uint64_t)(gateway->crowding * 100)));
}

void
flow_capacity_changed (struct gateway *gateway)
{
  if (gateway->waitline.count > 0)
    event_active (gateway->pass, EV_TIMEOUT, 0);
}

void
flow_pass (evutil_socket_t fd, short what, void *arg)
{
  struct gateway *gateway = arg;
  uint64_t now_ns = gateway_now_ns (gateway);
  struct waitline_item *item;

  (void)fd;
  (void)what;
  if (gateway->waitline.count == 0)
    return;
  /* With a long line a pass costs more than what it finds is worth. */
  if (now_ns - gateway->pass_end_ns < gateway->pass_cost_ns * PASS_REST)
    return;
  gateway->passes++;
  gateway->level_tokens = usage_share_level (&gateway->usage, now_ns);
  count_room (gateway);
  waitline_pass (&gateway->waitline, &gateway->usage, now_ns, take, gateway);
  while ((item = waitline_expired (&gateway->waitline, now_ns)) != NULL)
    {
      log_wait (item->owner, now_ns);
      flow_unwait (item->owner);
      flow_refuse (item->owner, REFUSAL_ROUTER_FULL, retry_after_ms (gateway));
    }
  gateway->pass_end_ns = gateway_now_ns (gateway);
  gateway->pass_cost_ns = gateway->pass_end_ns - now_ns;
}
