/**
 * @file gateway_limits.c
 * Limits that upstreams name, and turns at them.
 */
#include "gateway/gateway_limits.h"
#include "transport/log.h"
#include <xxhash.h>

/* Time for which a request waits for a turn at its primary upstream before it
   goes to another one, which would take longer to recompute its prefix. */
#define TURN_WAIT_MS 300

/* Usage up to which a customer is preferred, in thousandths of the mean: when
   limits cut the capacity, usages are those of the time before. */
#define PREFERRED_PERMILLE 1500

static void set_known (struct gateway *gateway,
                       const struct registry_upstream *upstream,
                       const struct gateway_peer *from, const char *source);
static void send_known (struct gateway_peers *peers,
                        const struct gateway_peer *peer,
                        const struct registry_upstream *upstream);
static void send_limit (struct gateway_peers *peers, uint64_t instance_id,
                        const struct message_limit *limit);
static bool ask (struct gateway_request *request,
                 struct registry_upstream *upstream);
static uint64_t turn_wait_end_ns (const struct gateway_request *request);
static bool is_preferred (struct gateway_request *request);
static void send_question (struct gateway_peers *peers,
                           const struct registry_upstream *upstream,
                           bool preferred);
static void send_to_account (struct gateway_peers *peers,
                             const struct message_limit *message);
static bool ask_plain (struct gateway_request *request);
static uint64_t account_owner (const struct gateway_peers *peers,
                               uint64_t upstream_id);
static void handle_question (struct gateway_peers *peers,
                             const struct gateway_peer *from,
                             const struct message_limit *question);
static void handle_answer (struct gateway_peers *peers,
                           const struct message_limit *answer);

/* What is known. */

void
gateway_limits_read (struct gateway_request *request,
                     enum upstream_limit limit, uint32_t permille)
{
  struct gateway *gateway = request->gateway;
  struct registry_upstream *upstream
      = registry_find (&gateway->registry, request->upstream_id);
  bool changed;

  if (upstream == NULL)
    return;
  changed
      = limit == UPSTREAM_LIMIT_NAMED
            ? rate_limit_named (&upstream->limit, permille,
                                request->attempt_start_ns,
                                gateway_now_ns (gateway))
            : rate_limit_absent (&upstream->limit, request->attempt_start_ns);
  if (changed)
    set_known (gateway, upstream, NULL, "response");
}

/* Sends a change to all peers but the one that it came from. */
static void
set_known (struct gateway *gateway, const struct registry_upstream *upstream,
           const struct gateway_peer *from, const char *source)
{
  struct gateway_peers *peers = gateway->peers;
  struct gateway_peer *peer;
  struct gateway_peer *next;

  LOG (LOG_UPSTREAM_LIMITED, NULL,
       LOG_S ("upstream", upstream->record.identity),
       LOG_S ("limited", upstream->limit.limited ? "yes" : "no"),
       LOG_U ("permille", upstream->limit.permille), LOG_S ("from", source));
  for (peer = peers->linked_peers; peer != NULL; peer = next)
    {
      next = peer->hh.next;
      if (peer != from)
        send_known (peers, peer, upstream);
    }
  gateway_request_capacity_changed (gateway);
}

static void
send_known (struct gateway_peers *peers, const struct gateway_peer *peer,
            const struct registry_upstream *upstream)
{
  const struct rate_limit *limit = &upstream->limit;
  uint64_t age_ns = gateway_now_ns (peers->gateway)
                    - (limit->limited ? limit->named_ns : limit->ended_ns);
  const struct message_limit known = {
    .kind = MESSAGE_LIMIT_KNOWN,
    .upstream_id = upstream->id,
    .permille = limit->limited ? limit->permille : 0,
    .ms = (uint32_t)(age_ns / CLOCK_NS_PER_MS),
  };

  send_limit (peers, peer->instance_id, &known);
}

void
gateway_limits_send_all (struct gateway_peers *peers,
                         const struct gateway_peer *peer)
{
  const struct registry_upstream *upstream;

  for (upstream = peers->gateway->registry.upstreams; upstream != NULL;
       upstream = upstream->hh.next)
    if (upstream->limit.limited)
      send_known (peers, peer, upstream);
}

static void
send_limit (struct gateway_peers *peers, uint64_t instance_id,
            const struct message_limit *limit)
{
  const struct message message = { .kind = MESSAGE_LIMIT, .u.limit = *limit };

  peernet_send (peers->net, instance_id, &message);
}

/* Turns. */

bool
gateway_limits_ask (struct gateway_request *request, bool primary_only)
{
  struct gateway *gateway = request->gateway;
  const struct choose_candidates *candidates = &request->candidates;
  struct registry_upstream *upstream;
  uint32_t i;

  if (request->parsed.prompt.part_count == 0)
    return ask_plain (request);
  for (i = 0; i < candidates->count && (i == 0 || !primary_only); i++)
    {
      upstream = registry_find (&gateway->registry, candidates->ids[i]);
      if (upstream != NULL && ask (request, upstream))
        return true;
    }
  return false;
}

/* Any upstream will do: one at random. */
static bool
ask_plain (struct gateway_request *request)
{
  struct gateway *gateway = request->gateway;
  uint64_t now_ns = gateway_now_ns (gateway);
  struct registry_upstream *upstream;
  struct registry_upstream *chosen = NULL;
  uint32_t count = 0;

  for (upstream = gateway->registry.upstreams; upstream != NULL;
       upstream = upstream->hh.next)
    if (registry_usable (upstream, request->service->id)
        && (request->build == 0 || upstream->build == request->build)
        && rate_limit_may_ask (&upstream->limit, now_ns)
        && rng_below (&gateway->rng, ++count) == 0)
      chosen = upstream;
  return chosen != NULL && ask (request, chosen);
}

/* @return whether the request waits for the answer, or for its turn. */
static bool
ask (struct gateway_request *request, struct registry_upstream *upstream)
{
  struct gateway *gateway = request->gateway;
  struct rate_limit *limit = &upstream->limit;
  uint64_t now_ns = gateway_now_ns (gateway);

  if (registry_paused (upstream, now_ns) || upstream->record.draining
      || upstream->leaving)
    return false;
  if (rate_limit_may_ask (limit, now_ns))
    {
      rate_limit_asked (limit, now_ns);
      gateway->counters.dispatch.turns_asked++;
      send_question (gateway->peers, upstream, is_preferred (request));
    }
  return now_ns < turn_wait_end_ns (request)
         && rate_limit_answer_due (limit, now_ns);
}

/* Until then a request waits for a turn: for half of its time at most, as it
   has to be served elsewhere afterwards. */
static uint64_t
turn_wait_end_ns (const struct gateway_request *request)
{
  uint64_t half_ns
      = (request->queue_entry.expiry_ns - request->arrival_ns) / 2;

  return request->arrival_ns
         + (half_ns < TURN_WAIT_MS * CLOCK_NS_PER_MS
                ? half_ns
                : TURN_WAIT_MS * CLOCK_NS_PER_MS);
}

/* Customers that have had much more than the mean of those that wait come
   after the others. */
static bool
is_preferred (struct gateway_request *request)
{
  struct gateway *gateway = request->gateway;
  uint64_t mean_tokens = gateway->mean_usage_tokens;

  return request->customer == NULL
         || usage_share_total (&gateway->usage, request->customer->id,
                               gateway_now_ns (gateway))
                <= (mean_tokens > UINT64_MAX / PREFERRED_PERMILLE
                        ? UINT64_MAX
                        : mean_tokens * PREFERRED_PERMILLE / 1000);
}

static void
send_question (struct gateway_peers *peers,
               const struct registry_upstream *upstream, bool preferred)
{
  const struct message_limit question = {
    .kind = MESSAGE_LIMIT_ASK,
    .upstream_id = upstream->id,
    .instance_id = peers->self_id,
    .permille = upstream->limit.permille,
    .preferred = preferred,
  };

  send_to_account (peers, &question);
}

static void
send_to_account (struct gateway_peers *peers,
                 const struct message_limit *message)
{
  const struct gateway_peer *hub
      = peers->hub ? NULL : gateway_peers_report_hub (peers);

  if (hub != NULL)
    send_limit (peers, hub->instance_id, message);
  else
    handle_question (peers, NULL, message);
}

void
gateway_limits_tick (struct gateway *gateway)
{
  struct registry_upstream *upstream;
  uint64_t now_ns = gateway_now_ns (gateway);

  for (upstream = gateway->registry.upstreams; upstream != NULL;
       upstream = upstream->hh.next)
    if (rate_limit_give_back (&upstream->limit, now_ns))
      {
        const struct message_limit returned = {
          .kind = MESSAGE_LIMIT_RETURNED,
          .upstream_id = upstream->id,
          .instance_id = gateway->peers->self_id,
        };

        gateway->counters.dispatch.turns_returned++;
        send_to_account (gateway->peers, &returned);
      }
}

uint64_t
gateway_limits_wait_ns (const struct gateway_request *request)
{
  const struct gateway *gateway = request->gateway;
  uint64_t now_ns = gateway_now_ns (gateway);
  const struct registry_upstream *upstream;
  uint64_t least_ns = UINT64_MAX;
  uint64_t wait_ns;

  for (upstream = gateway->registry.upstreams; upstream != NULL;
       upstream = upstream->hh.next)
    {
      if (!upstream->limit.limited
          || !registry_usable (upstream, request->service->id)
          || (request->build != 0 && upstream->build != request->build)
          || registry_paused (upstream, now_ns))
        continue;
      wait_ns = rate_limit_wait_ns (&upstream->limit, now_ns);
      least_ns = wait_ns < least_ns ? wait_ns : least_ns;
    }
  return least_ns;
}

/* The hub that keeps the account, among this instance and those linked. */
static uint64_t
account_owner (const struct gateway_peers *peers, uint64_t upstream_id)
{
  const struct gateway_peer *peer;
  uint64_t pair[2] = { peers->self_id, upstream_id };
  uint64_t owner = peers->self_id;
  uint64_t highest = XXH3_64bits (pair, sizeof pair);
  uint64_t hash;

  for (peer = peers->linked_peers; peer != NULL; peer = peer->hh.next)
    {
      if (peer->subscribed
          || !gateway_peers_knows_hub (peers, peer->instance_id))
        continue;
      pair[0] = peer->instance_id;
      hash = XXH3_64bits (pair, sizeof pair);
      if (hash <= highest)
        continue;
      highest = hash;
      owner = peer->instance_id;
    }
  return owner;
}

/* Answers a question, or takes a turn back, or forwards it to the owner of the
   account.  One that
   was forwarded already is answered: views of the hubs differ for a while. */
static void
handle_question (struct gateway_peers *peers, const struct gateway_peer *from,
                 const struct message_limit *question)
{
  struct gateway *gateway = peers->gateway;
  bool forwarded = from != NULL && !from->subscribed;
  uint64_t owner = forwarded || !peers->hub
                       ? peers->self_id
                       : account_owner (peers, question->upstream_id);
  struct message_limit answer = *question;
  uint64_t delay_ns;

  if (owner != peers->self_id)
    {
      send_limit (peers, owner, question);
      return;
    }
  if (question->kind == MESSAGE_LIMIT_RETURNED)
    {
      turns_return (&gateway->turns, question->upstream_id,
                    gateway_now_ns (gateway));
      return;
    }
  answer.kind
      = turns_take (&gateway->turns, question->upstream_id, question->permille,
                    question->preferred, gateway_now_ns (gateway), &delay_ns)
            ? MESSAGE_LIMIT_GRANTED
            : MESSAGE_LIMIT_DENIED;
  answer.ms = (uint32_t)(delay_ns / CLOCK_NS_PER_MS);
  if (from == NULL)
    handle_answer (peers, &answer);
  else
    send_limit (peers, from->instance_id, &answer);
}

static void
handle_answer (struct gateway_peers *peers, const struct message_limit *answer)
{
  struct gateway *gateway = peers->gateway;
  struct registry_upstream *upstream;

  if (answer->instance_id != peers->self_id)
    {
      send_limit (peers, answer->instance_id, answer);
      return;
    }
  upstream = registry_find (&gateway->registry, answer->upstream_id);
  if (upstream == NULL)
    return;
  if (answer->kind == MESSAGE_LIMIT_GRANTED)
    gateway->counters.dispatch.turns_given++;
  rate_limit_answered (&upstream->limit, answer->kind == MESSAGE_LIMIT_GRANTED,
                       answer->ms * CLOCK_NS_PER_MS, gateway_now_ns (gateway));
  gateway_request_turn_changed (
      gateway, answer->kind == MESSAGE_LIMIT_GRANTED ? answer->ms : 0);
}

void
gateway_limits_receive (struct gateway_peers *peers, struct gateway_peer *from,
                        const struct message_limit *message)
{
  struct gateway *gateway = peers->gateway;
  struct registry_upstream *upstream;
  uint64_t now_ns = gateway_now_ns (gateway);
  uint64_t age_ns = message->ms * CLOCK_NS_PER_MS;

  switch (message->kind)
    {
    case MESSAGE_LIMIT_KNOWN:
      upstream = registry_find (&gateway->registry, message->upstream_id);
      if (upstream != NULL
          && rate_limit_merge (&upstream->limit, message->permille > 0,
                               message->permille,
                               age_ns < now_ns ? now_ns - age_ns : 1))
        set_known (gateway, upstream, from, from->instance);
      break;
    case MESSAGE_LIMIT_ASK:
    case MESSAGE_LIMIT_RETURNED:
      handle_question (peers, from, message);
      break;
    default:
      handle_answer (peers, message);
      break;
    }
}
