/**
 * @file flow_attempt.c
 * Attempts of a request at upstreams: selection, sending, forwarding of the
 * response, retries.
 */
#include "gateway/flow_int.h"
#include "state/err.h"
#include "transport/log.h"
#include <string.h>

#define PENDING_OUTPUT_MAX                                                    \
  262144 /* bytes unsent to the client, above which reading                   \
            from the upstream pauses */
#define BUFFERED_BODY_MAX                                                     \
  65536 /* bytes of a response that are buffered until complete */
/* Retry-After when no upstream is usable. */
#define DEFAULT_RETRY_AFTER_MS 250
#define OUTPUT_TOKEN_COST                                                     \
  2.0 /* cost of an output token relative to an input token */
#define UPSTREAM_IDLE_TIMEOUT_MS                                              \
  30000 /* for upstreams that do not state their timeout */

static void add_upstream_load (struct flow *flow,
                               struct registry_upstream *upstream);
static uint64_t least_loaded_upstream_id (struct flow *flow);
static void remove_upstream_load (struct flow *flow);
static void remove_prefill_load (struct flow *flow);
static void record_prefill_time (struct flow *flow);
static void handle_attempt_failure (struct flow *flow, int error);
static bool retryable_status (const struct flow *flow, int status);
static void forward_body (struct flow *flow, struct evbuffer *data);
static void pause_if_client_slow (struct flow *flow);
static void on_sending (void *user);
static void on_sent (void *user);
static void on_responding (void *user, int status,
                           const struct upstream_header *headers,
                           size_t count);
static void on_body (void *user, struct evbuffer *data);
static void on_completed (void *user);
static void on_failed (void *user, int error);
static void on_draining (void *user);

static const struct upstream_events events = {
  .sending = on_sending,
  .sent = on_sent,
  .responding = on_responding,
  .body = on_body,
  .completed = on_completed,
  .failed = on_failed,
  .draining = on_draining,
};

/* Cached until the known load changes: of several idle upstreams any is good
   enough. */
static uint64_t
least_loaded_upstream_id (struct flow *flow)
{
  struct gateway *gateway = flow->gateway;
  struct gateway_service *service;

  if (flow->request.prompt.part_count == 0)
    return 0;
  service = flow_service (flow);
  if (service == NULL)
    return 0;
  if (service->least_loaded_generation != gateway->load_generation)
    {
      service->least_loaded_generation = gateway->load_generation;
      service->least_loaded_id = choose_least_loaded (
          &gateway->registry, service->id, gateway_now_ns (gateway));
    }
  return service->least_loaded_id;
}

void
flow_choose (struct flow *flow, struct choose_result *result)
{
  struct gateway *gateway = flow->gateway;
  const struct choose_request request = {
    .service_id = flow->service->id,
    .candidates = &flow->candidates,
    .least_loaded_id = least_loaded_upstream_id (flow),
    .prompt = &flow->request.prompt,
    .availability_zone = gateway->settings.availability_zone,
    .excluded = flow->tried_ids,
    .excluded_count = flow->tried_count,
    .tie_break = catalog_id (flow->request.id),
    .recompute_permille = flow_patience_permille (flow),
    .now_ns = gateway_now_ns (gateway),
  };

  choose_upstream (&gateway->registry, &gateway->prefix_cache, &request,
                   result);
}

void
flow_start (struct flow *flow, const struct choose_result *result)
{
  struct gateway *gateway = flow->gateway;
  struct registry_upstream *upstream = result->upstream;
  uint64_t now_ns = gateway_now_ns (gateway);
  uint64_t end_ns = flow->timeout_ns < flow->deadline_ns ? flow->timeout_ns
                                                         : flow->deadline_ns;
  char event_id[SSE_ID_SIZE];
  char header_text[ADAPTER_TEXT_SIZE];
  struct upstream_header headers[ADAPTER_HEADERS_MAX];
  const char *last_event_id = sse_last_id (&flow->sse, event_id);
  const struct adapter_attempt attempt = {
    .customer = flow->customer == NULL ? NULL : flow->customer->name,
    .expected = upstream->record.identity,
    .remaining_ms = end_ns > now_ns ? (end_ns - now_ns) / CLOCK_NS_PER_MS : 0,
    .resume = last_event_id == NULL ? flow->request.resume : last_event_id,
  };
  struct upstream_request request = {
    .request_id = flow->request.id,
    .method = htparser_get_methodstr_m (flow->reply.http->method),
    .path = flow->path,
    .headers = headers,
    .body = flow->body,
    .body_size = flow->body_size,
    .idempotent = flow->attempt_state.idempotent,
    .upstream_id = upstream->id,
    .address = upstream->record.address,
    .host = flow->request.host,
    .idle_timeout_ms = UPSTREAM_IDLE_TIMEOUT_MS,
  };

  request.header_count = gateway->adapter->write_attempt (
      flow->reply.http, &attempt, headers, header_text);
  attempt_start (&flow->attempt_state, upstream->id, now_ns);
  attempt_advance (&flow->attempt_state, ATTEMPT_CONNECTING, now_ns);
  flow->upstream_id = upstream->id;
  flow->prefill_tokens = result->prefill_tokens;
  flow->tokens_before_response
      = result->backlog_tokens + result->prefill_tokens;
  gateway->load_generation++;
  flow->attempt_start_ns = now_ns;
  flow->response_begun = flow->discard = flow->paused = false;
  if (flow->tried_count < CHOOSE_EXCLUDED_MAX)
    flow->tried_ids[flow->tried_count++] = upstream->id;
  gateway->counters.attempts++;
  outlier_attempt_started (&upstream->outlier, now_ns);
  add_upstream_load (flow, upstream);
  LOG (LOG_ATTEMPT_STARTED, flow->request.id,
       LOG_U ("attempt", flow->attempt_state.number),
       LOG_S ("upstream", upstream->record.identity),
       LOG_U ("unread_tokens", flow->prefill_tokens),
       LOG_U ("ahead_tokens", result->backlog_tokens),
       LOG_S ("home", result->primary ? "yes" : "no"),
       LOG_U ("remaining_ms", attempt.remaining_ms));
  flow->attempt
      = upstream_http_driver.start (gateway->http, &request, &events, flow);
  if (flow->attempt == NULL)
    handle_attempt_failure (flow, ERR_REFUSED);
}

/* Counts the request as load at once, before the upstream reports it. */
static void
add_upstream_load (struct flow *flow, struct registry_upstream *upstream)
{
  upstream->load.running++;
  upstream->load.prefill_tokens += flow->prefill_tokens;
  if (flow->customer != NULL)
    usage_share_charge (&flow->gateway->usage, flow->customer->id,
                        flow->request.prompt.input_tokens
                            + OUTPUT_TOKEN_COST
                                  * flow->request.prompt.output_tokens,
                        gateway_now_ns (flow->gateway));
  if (flow->request.prompt.part_count > 0)
    prefix_cache_record (&flow->gateway->prefix_cache, upstream->id,
                         &flow->request.prompt,
                         gateway_now_ns (flow->gateway));
}

static void
remove_upstream_load (struct flow *flow)
{
  struct registry_upstream *upstream
      = registry_find (&flow->gateway->registry, flow->upstream_id);

  remove_prefill_load (flow);
  if (upstream != NULL && upstream->load.running > 0)
    upstream->load.running--;
  flow_capacity_changed (flow->gateway);
}

/* The upstream has prefilled the prompt: its tokens no longer count as load.
 */
static void
remove_prefill_load (struct flow *flow)
{
  struct registry_upstream *upstream
      = registry_find (&flow->gateway->registry, flow->upstream_id);

  if (upstream != NULL)
    upstream->load.prefill_tokens
        -= upstream->load.prefill_tokens < flow->prefill_tokens
               ? upstream->load.prefill_tokens
               : flow->prefill_tokens;
  flow->prefill_tokens = 0;
}

/* The time until the response began is a sample of the prefill speed. */
static void
record_prefill_time (struct flow *flow)
{
  struct gateway_service *service = flow_service (flow);

  if (service != NULL && flow->request.prompt.part_count > 0)
    prefill_rate_observe (&service->prefill_rate, flow->tokens_before_response,
                          gateway_now_ns (flow->gateway)
                              - flow->attempt_start_ns);
}

void
flow_cancel (struct flow *flow)
{
  if (flow->attempt == NULL)
    return;
  upstream_http_driver.cancel (flow->attempt);
  flow->attempt = NULL;
  remove_upstream_load (flow);
}

bool
flow_may_retry (struct flow *flow)
{
  struct gateway *gateway = flow->gateway;
  uint64_t now_ns = gateway_now_ns (gateway);

  if (!attempt_may_retry (&flow->attempt_state) || now_ns >= flow->deadline_ns
      || now_ns >= flow->timeout_ns)
    return false;
  if (flow->sent_attempts == 0)
    return true;
  if (flow->sent_attempts >= flow->route->attempts_max
      || fleet_retry_budget_take (&gateway->fleet_retry_budget,
                                  flow->service->id, now_ns)
             != 0)
    return false;
  gateway->counters.retries++;
  return true;
}

/* Ends a failed attempt: retries, refuses or aborts the request. */
static void
handle_attempt_failure (struct flow *flow, int error)
{
  struct gateway *gateway = flow->gateway;
  struct registry_upstream *upstream
      = registry_find (&gateway->registry, flow->upstream_id);
  bool retry;

  flow->attempt = NULL;
  remove_upstream_load (flow);
  if (error == ERR_UNAVAILABLE)
    attempt_mark_rejected (&flow->attempt_state);
  if (upstream != NULL)
    outlier_failure (&upstream->outlier,
                     error == ERR_REFUSED || error == ERR_TIMEOUT,
                     gateway_now_ns (gateway));
  LOG (LOG_ATTEMPT_FAILED, flow->request.id,
       LOG_U ("attempt", flow->attempt_state.number),
       LOG_S ("error", err_name (error)),
       LOG_S ("upstream",
              upstream == NULL ? "gone" : upstream->record.identity),
       LOG_S ("verdict",
              verdict_name (attempt_verdict (&flow->attempt_state))));
  if (flow->is_stream)
    sse_cut (&flow->sse);
  retry = flow->retry_granted || flow_may_retry (flow);
  flow->retry_granted = false;
  if (reply_started (&flow->reply))
    {
      if (retry && flow->is_stream && flow->sse.has_id)
        flow_try (flow);
      else
        flow_abort (flow);
      return;
    }
  reply_reset (&flow->reply);
  if (retry)
    flow_try (flow);
  else
    flow_give_up (flow);
}

void
flow_give_up (struct flow *flow)
{
  if (reply_started (&flow->reply))
    flow_abort (flow);
  else if (attempt_verdict (&flow->attempt_state) == VERDICT_NOT_RUN)
    flow_refuse (flow, REFUSAL_NO_UPSTREAM, DEFAULT_RETRY_AFTER_MS);
  else
    flow_refuse (flow, REFUSAL_UPSTREAM_FAILED, 0);
}

/* Progress. */

static void
on_sending (void *user)
{
  struct flow *flow = user;

  flow->sent_attempts++;
  attempt_advance (&flow->attempt_state, ATTEMPT_SENDING,
                   gateway_now_ns (flow->gateway));
}

static void
on_sent (void *user)
{
  struct flow *flow = user;

  attempt_advance (&flow->attempt_state, ATTEMPT_SENT,
                   gateway_now_ns (flow->gateway));
}

static void
on_draining (void *user)
{
  (void)user;
}

/* A request that failed at one upstream may succeed at another one. */
static bool
retryable_status (const struct flow *flow, int status)
{
  return status >= 500 && flow->attempt_state.idempotent
         && !reply_started (&flow->reply);
}

static void
on_responding (void *user, int status, const struct upstream_header *headers,
               size_t count)
{
  struct flow *flow = user;
  struct gateway *gateway = flow->gateway;
  struct registry_upstream *upstream
      = registry_find (&gateway->registry, flow->upstream_id);
  const struct reply_head head = {
    .status = status,
    .headers = headers,
    .count = count,
    .passes = gateway->adapter->response_passes,
    .held_max_bytes = flow->is_stream ? 0 : BUFFERED_BODY_MAX,
  };
  struct adapter_told state;

  attempt_advance (&flow->attempt_state, ATTEMPT_RESPONDING,
                   gateway_now_ns (gateway));
  record_prefill_time (flow);
  remove_prefill_load (flow);
  flow->response_begun = true;
  flow_capacity_changed (gateway);
  gateway->adapter->read_response (headers, count, &state);
  if (upstream != NULL && state.has_load)
    {
      upstream->load.reported_running = state.running;
      upstream->load.reported_waiting = state.waiting;
      upstream->load.reported_ns = gateway_now_ns (gateway);
    }
  /* A success without an upstream's signature is not trusted. */
  flow->retry_granted
      = retryable_status (flow, status) && flow_may_retry (flow);
  flow->discard = flow->retry_granted || (!state.has_signature && status < 300)
                  || (reply_started (&flow->reply) && status != 200);
  if (flow->discard || reply_started (&flow->reply))
    return;
  if (status >= 300)
    flow->is_stream = false;
  if (gateway->draining)
    evhtp_request_disable_flag (flow->reply.http, EVHTP_REQ_FLAG_KEEPALIVE);
  reply_start (&flow->reply, &head);
  reply_send_head (&flow->reply);
}

static void
on_body (void *user, struct evbuffer *data)
{
  struct flow *flow = user;

  if (flow->discard)
    evbuffer_drain (data, evbuffer_get_length (data));
  else
    forward_body (flow, data);
}

static void
forward_body (struct flow *flow, struct evbuffer *data)
{
  struct evbuffer *complete_events;

  if (flow->first_byte_ns == 0)
    flow->first_byte_ns = gateway_now_ns (flow->gateway);
  if (!flow->is_stream)
    {
      reply_body (&flow->reply, data);
      pause_if_client_slow (flow);
      return;
    }
  complete_events = evbuffer_new ();
  if (complete_events == NULL
      || sse_feed (&flow->sse, data, complete_events) != 0)
    {
      if (complete_events != NULL)
        evbuffer_free (complete_events);
      flow_cancel (flow);
      flow_abort (flow);
      return;
    }
  if (evbuffer_get_length (complete_events) > 0)
    reply_body (&flow->reply, complete_events);
  evbuffer_free (complete_events);
  pause_if_client_slow (flow);
}

static void
pause_if_client_slow (struct flow *flow)
{
  if (flow->paused || !reply_started (&flow->reply)
      || httpd_pending_bytes (flow->reply.http) <= PENDING_OUTPUT_MAX)
    return;
  flow->paused = true;
  upstream_http_driver.pause (flow->attempt, true);
}

static void
on_completed (void *user)
{
  struct flow *flow = user;
  struct gateway *gateway = flow->gateway;
  struct registry_upstream *upstream
      = registry_find (&gateway->registry, flow->upstream_id);

  if (flow->is_stream && !flow->discard && !sse_between (&flow->sse))
    {
      /* The stream ended within an event: it was truncated, although the
         connection closed normally. */
      handle_attempt_failure (flow, ERR_TRUNCATED);
      return;
    }
  flow->attempt = NULL;
  if (flow->discard)
    {
      handle_attempt_failure (flow, ERR_PROTOCOL);
      return;
    }
  remove_upstream_load (flow);
  attempt_advance (&flow->attempt_state, ATTEMPT_DONE,
                   gateway_now_ns (gateway));
  if (upstream != NULL)
    {
      if (flow->reply.status < 500)
        outlier_success (&upstream->outlier);
      else
        outlier_failure (&upstream->outlier, false, gateway_now_ns (gateway));
    }
  reply_finish (&flow->reply, gateway->draining);
  flow_complete (flow);
}

static void
on_failed (void *user, int error)
{
  handle_attempt_failure (user, error);
}
