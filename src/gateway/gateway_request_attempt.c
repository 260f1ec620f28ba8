/**
 * @file gateway_request_attempt.c
 * Attempts of a request at upstreams: selection, sending, forwarding of the
 * response, retries.
 */
#include "gateway/gateway_limits.h"
#include "gateway/gateway_quarantine.h"
#include "gateway/gateway_request_int.h"
#include "gateway/gateway_streams.h"
#include "state/err.h"
#include "transport/log.h"
#include <inttypes.h>
#include <stdio.h>
#include <string.h>
#include <strings.h>

#define PENDING_OUTPUT_MAX                                                    \
  262144 /* bytes unsent to the client, above which reading                   \
            from the upstream pauses */
/* The same while all requests together have more than this unsent. */
#define PENDING_OUTPUT_MIN 16384
#define OUTPUT_TOTAL_MAX   16777216
#define BUFFERED_BODY_MAX                                                     \
  65536 /* bytes of a response that are buffered until complete */
/* The same while little memory is left for clients. */
#define BUFFERED_BODY_MIN 4096
/* Retry-After when no upstream is usable. */
#define DEFAULT_RETRY_AFTER_MS 250
/* An upstream's pause is extended by a random time up to this part of it. */
#define PAUSE_SPREAD 4
#define OUTPUT_TOKEN_COST                                                     \
  2.0 /* cost of an output token relative to an input token */
#define PARTS_TEXT_SIZE   160 /* holds the identifiers of nine parts */
#define DIGEST_TEXT_SIZE  17  /* of 64 bits in hexadecimal */
#define EVENT_STREAM_TYPE "text/event-stream"
#define UPSTREAM_IDLE_TIMEOUT_MS                                              \
  30000 /* for upstreams that do not state their timeout */

static void log_attempt (const struct gateway_request *request,
                         const struct choose_result *result,
                         const struct adapter_upstream_request *header_values);
static uint64_t forecast_first_ns (struct gateway_request *request);
static void add_upstream_load (struct gateway_request *request,
                               struct registry_upstream *upstream);
static uint64_t least_loaded_upstream_id (struct gateway_request *request);
static void remove_upstream_load (struct gateway_request *request);
static void refund_usage (struct gateway_request *request);
static void remove_prefill_load (struct gateway_request *request);
static void record_prefill_time (struct gateway_request *request);
static void format_shared_parts (const struct prompt *prompt,
                                 char text[PARTS_TEXT_SIZE]);
static void handle_attempt_failure (struct gateway_request *request,
                                    int error);
static bool retryable_status (const struct gateway_request *request,
                              int status);
static bool continues_stream (int status,
                              const struct upstream_header *headers,
                              size_t count);
static void forward_body (struct gateway_request *request,
                          struct evbuffer *data);
static void pause_if_client_slow (struct gateway_request *request);
static void on_sending (void *user);
static void on_sent (void *user);
static void on_responding (void *user, int status,
                           const struct upstream_header *headers,
                           size_t count);
static void on_body (void *user, struct evbuffer *data);
static void on_completed (void *user);
static void on_failed (void *user, int error);
static void complete_attempt (struct gateway_request *request);
static void on_draining (void *user);
static void on_paused (void *user, uint32_t pause_ms);
static void on_limit (void *user, enum upstream_limit limit,
                      uint32_t permille);

static const struct upstream_events events = {
  .sending = on_sending,
  .sent = on_sent,
  .responding = on_responding,
  .body = on_body,
  .completed = on_completed,
  .failed = on_failed,
  .draining = on_draining,
  .paused = on_paused,
  .limit = on_limit,
};

/* Cached until the known load changes: of several idle upstreams any is good
   enough. */
static uint64_t
least_loaded_upstream_id (struct gateway_request *request)
{
  struct gateway *gateway = request->gateway;
  struct gateway_service *service;

  if (request->parsed.prompt.part_count == 0)
    return 0;
  service = gateway_request_service (request);
  if (service == NULL)
    return 0;
  if (service->least_loaded_generation != gateway->load_generation)
    {
      service->least_loaded_generation = gateway->load_generation;
      service->least_loaded_id
          = choose_least_loaded (&gateway->registry, service->id,
                                 gateway_now_ns (gateway), &gateway->rng);
    }
  return service->least_loaded_id;
}

void
gateway_request_choose (struct gateway_request *request,
                        struct choose_result *result)
{
  struct gateway *gateway = request->gateway;
  const struct choose_request selection = {
    .service_id = request->service->id,
    .candidates = &request->candidates,
    .least_loaded_id = least_loaded_upstream_id (request),
    .prompt = &request->parsed.prompt,
    .availability_zone = gateway->settings.availability_zone,
    .excluded = request->tried_ids,
    .excluded_count = request->tried_count,
    .build = request->build,
    .tie_break = catalog_id (request->parsed.id),
    .recompute_permille = gateway_request_recompute_permille (request),
    .now_ns = gateway_now_ns (gateway),
  };

  choose_upstream (&gateway->registry, &gateway->prefix_cache, &selection,
                   result);
}

void
gateway_request_start_attempt (struct gateway_request *request,
                               const struct choose_result *result)
{
  struct gateway *gateway = request->gateway;
  struct registry_upstream *upstream = result->upstream;
  uint64_t now_ns = gateway_now_ns (gateway);
  uint64_t end_ns = request->timeout_ns < request->deadline_ns
                        ? request->timeout_ns
                        : request->deadline_ns;
  char event_id[SSE_ID_SIZE];
  char header_text[ADAPTER_TEXT_SIZE];
  struct upstream_header headers[ADAPTER_HEADERS_MAX];
  const char *last_event_id = sse_last_id (&request->sse, event_id);
  const struct adapter_upstream_request header_values = {
    .customer = request->customer == NULL ? NULL : request->customer->name,
    .expected_identity = upstream->record.identity,
    .remaining_ms = end_ns > now_ns ? (end_ns - now_ns) / CLOCK_NS_PER_MS : 0,
    .last_event_id
    = last_event_id == NULL ? request->parsed.last_event_id : last_event_id,
  };
  enum loop_work work;
  struct upstream_request http_request = {
    .request_id = request->parsed.id,
    .method = httpd_method (request->reply.http),
    .path = request->path,
    .headers = headers,
    .body = request->body,
    .body_size = request->body_size,
    .idempotent = request->attempt_state.idempotent,
    /* Upstreams beyond the list may be chosen again. */
    .repeated = request->tried_count == CHOOSE_EXCLUDED_MAX,
    .upstream_id = upstream->id,
    .address = upstream->record.address,
    .host = request->parsed.host,
    .idle_timeout_ms = UPSTREAM_IDLE_TIMEOUT_MS,
  };

  http_request.header_count = gateway->adapter->write_request_headers (
      request->reply.http, &header_values, headers, header_text);
  attempt_start (&request->attempt_state, upstream->id, now_ns);
  attempt_advance (&request->attempt_state, ATTEMPT_CONNECTING, now_ns);
  request->upstream_id = upstream->id;
  request->upstream_build = upstream->build;
  request->prefill_tokens = result->prefill_tokens;
  request->tokens_before_response
      = result->backlog_tokens + result->prefill_tokens;
  gateway->load_generation++;
  request->attempt_start_ns = now_ns;
  event_times_sent (&request->event_times, now_ns,
                    forecast_first_ns (request));
  request->response_begun = request->discard = request->paused = false;
  if (!reply_started (&request->reply))
    request->is_stream = request->route->kind == ROUTE_STREAMING;
  if (request->tried_count < CHOOSE_EXCLUDED_MAX)
    request->tried_ids[request->tried_count++] = upstream->id;
  gateway->counters.attempts++;
  outlier_attempt_started (&upstream->outlier, now_ns);
  if (rate_limit_use (&upstream->limit))
    gateway->counters.dispatch.turns_used++;
  add_upstream_load (request, upstream);
  log_attempt (request, result, &header_values);
  work = looptime_begin (&gateway->loop_time, LOOP_WORK_SEND);
  request->attempt = upstream_http_driver.start (
      gateway->upstream_client, &http_request, &events, request);
  looptime_begin (&gateway->loop_time, work);
  if (request->attempt == NULL)
    handle_attempt_failure (request, ERR_REFUSED);
}

static void
log_attempt (const struct gateway_request *request,
             const struct choose_result *result,
             const struct adapter_upstream_request *header_values)
{
  const struct registry_record *record = &result->upstream->record;

  LOG (LOG_ATTEMPT_STARTED, request->parsed.id,
       LOG_U ("attempt", request->attempt_state.number),
       LOG_S ("upstream", record->identity),
       LOG_U ("unread_tokens", request->prefill_tokens),
       LOG_U ("ahead_tokens", result->backlog_tokens),
       LOG_S ("home", result->primary ? "yes" : "no"),
       LOG_S ("build", record->build),
       LOG_S ("resumes", request->parsed.resumes),
       LOG_S ("after_event", header_values->last_event_id == NULL
                                 ? ""
                                 : header_values->last_event_id),
       LOG_U ("remaining_ms", header_values->remaining_ms));
}

/* Expected time until the first event of a prompt; 0 for other requests. */
static uint64_t
forecast_first_ns (struct gateway_request *request)
{
  const struct gateway_service *service
      = request->parsed.prompt.part_count == 0
            ? NULL
            : gateway_request_service (request);

  return service == NULL
             ? 0
             : prefill_rate_first_token_ns (&service->prefill_rate,
                                            request->tokens_before_response);
}

/* Counts the request as load at once, before the upstream reports it. */
static void
add_upstream_load (struct gateway_request *request,
                   struct registry_upstream *upstream)
{
  upstream->load.running++;
  upstream->load.prefill_tokens += request->prefill_tokens;
  if (request->customer != NULL)
    {
      request->charged_tokens
          = request->parsed.prompt.input_tokens
            + OUTPUT_TOKEN_COST * request->parsed.prompt.output_tokens;
      usage_share_charge (&request->gateway->usage, request->customer->id,
                          request->charged_tokens,
                          gateway_now_ns (request->gateway));
    }
  if (request->parsed.prompt.part_count > 0)
    prefix_cache_record (&request->gateway->prefix_cache, upstream->id,
                         &request->parsed.prompt,
                         gateway_now_ns (request->gateway));
}

static void
remove_upstream_load (struct gateway_request *request)
{
  struct registry_upstream *upstream
      = registry_find (&request->gateway->registry, request->upstream_id);

  remove_prefill_load (request);
  if (upstream != NULL && upstream->load.running > 0)
    upstream->load.running--;
  gateway_request_capacity_changed (request->gateway);
}

/* The attempt did not run: it is no usage of the customer. */
static void
refund_usage (struct gateway_request *request)
{
  if (request->customer != NULL)
    usage_share_charge (&request->gateway->usage, request->customer->id,
                        -request->charged_tokens,
                        gateway_now_ns (request->gateway));
  request->charged_tokens = 0;
}

/* The upstream has prefilled the prompt: its tokens no longer count as load.
 */
static void
remove_prefill_load (struct gateway_request *request)
{
  struct registry_upstream *upstream
      = registry_find (&request->gateway->registry, request->upstream_id);

  if (upstream != NULL)
    upstream->load.prefill_tokens
        -= upstream->load.prefill_tokens < request->prefill_tokens
               ? upstream->load.prefill_tokens
               : request->prefill_tokens;
  request->prefill_tokens = 0;
}

/* The time until the response began is a sample of the prefill speed. */
static void
record_prefill_time (struct gateway_request *request)
{
  struct gateway_service *service;

  if (request->parsed.prompt.part_count == 0)
    return;
  service = gateway_request_service (request);
  if (service != NULL)
    prefill_rate_observe (
        &service->prefill_rate, request->tokens_before_response,
        gateway_now_ns (request->gateway) - request->attempt_start_ns);
}

void
gateway_request_cancel_attempt (struct gateway_request *request)
{
  if (request->attempt == NULL)
    return;
  upstream_http_driver.cancel (request->attempt);
  request->attempt = NULL;
  remove_upstream_load (request);
}

bool
gateway_request_may_retry (struct gateway_request *request)
{
  struct gateway *gateway = request->gateway;
  uint64_t now_ns = gateway_now_ns (gateway);

  if (!attempt_may_retry (&request->attempt_state)
      || !gateway_quarantine_may_retry (request)
      || now_ns >= request->deadline_ns || now_ns >= request->timeout_ns)
    return false;
  if (request->sent_attempts == 0)
    return true;
  if (request->sent_attempts >= request->route->attempts_max
      || fleet_retry_budget_take (&gateway->fleet_retry_budget,
                                  request->service->id, now_ns)
             != 0)
    return false;
  gateway->counters.retries++;
  return true;
}

/* Writes the identifiers of the parts that other prompts may share, as far as
   they fit. */
static void
format_shared_parts (const struct prompt *prompt, char text[PARTS_TEXT_SIZE])
{
  uint32_t count = prompt_shared_id_count (prompt);
  size_t used = 0;
  uint32_t i;
  int size;

  text[0] = '\0';
  for (i = 0; i < count && used < PARTS_TEXT_SIZE; i++)
    {
      size = snprintf (text + used, PARTS_TEXT_SIZE - used, "%s%" PRIx64,
                       i == 0 ? "" : ",", prompt->ids[i]);
      used += size < 0 ? PARTS_TEXT_SIZE : (size_t)size;
    }
}

/* Ends a failed attempt: retries, refuses or aborts the request. */
static void
handle_attempt_failure (struct gateway_request *request, int error)
{
  struct gateway *gateway = request->gateway;
  struct registry_upstream *upstream
      = registry_find (&gateway->registry, request->upstream_id);
  char parts[PARTS_TEXT_SIZE];
  char digest[DIGEST_TEXT_SIZE];
  bool retry;

  request->attempt = NULL;
  remove_upstream_load (request);
  if (error == ERR_UNAVAILABLE
      || request->attempt_state.step < ATTEMPT_SENDING)
    refund_usage (request);
  if (error == ERR_UNAVAILABLE)
    attempt_mark_rejected (&request->attempt_state);
  if (upstream != NULL)
    outlier_failure (&upstream->outlier,
                     error == ERR_REFUSED || error == ERR_TIMEOUT,
                     gateway_now_ns (gateway));
  gateway_quarantine_attempt_failed (request, error);
  format_shared_parts (&request->parsed.prompt, parts);
  snprintf (digest, sizeof digest, "%016" PRIx64,
            gateway_request_digest (request));
  LOG (LOG_ATTEMPT_FAILED, request->parsed.id,
       LOG_U ("attempt", request->attempt_state.number),
       LOG_S ("error", err_name (error)),
       LOG_S ("upstream",
              upstream == NULL ? "gone" : upstream->record.identity),
       LOG_S ("verdict",
              verdict_name (attempt_verdict (&request->attempt_state))),
       LOG_U ("events", request->sse.events), LOG_S ("parts", parts),
       LOG_S ("digest", digest));
  if (request->is_stream)
    sse_discard_partial (&request->sse);
  retry = request->retry_granted || gateway_request_may_retry (request);
  request->retry_granted = false;
  if (reply_started (&request->reply))
    {
      if (retry && request->is_stream && request->sse.has_id)
        gateway_request_try (request);
      else
        gateway_request_abort (request);
      return;
    }
  reply_reset (&request->reply);
  if (retry)
    gateway_request_try (request);
  else
    gateway_request_give_up (request);
}

void
gateway_request_give_up (struct gateway_request *request)
{
  struct gateway *gateway = request->gateway;
  uint64_t pause_ns;

  if (reply_started (&request->reply))
    gateway_request_abort (request);
  else if (attempt_verdict (&request->attempt_state) != VERDICT_NOT_RUN)
    gateway_request_refuse (request, REFUSAL_UPSTREAM_FAILED, 0);
  else if (gateway_quarantine_holds (request))
    gateway_request_refuse (request, REFUSAL_QUARANTINED,
                            GATEWAY_QUARANTINE_RETRY_AFTER_MS);
  else
    {
      pause_ns = registry_pause_left_ns (
          &gateway->registry, request->service->id, gateway_now_ns (gateway));
      gateway_request_refuse (
          request, REFUSAL_NO_UPSTREAM,
          pause_ns == 0 ? DEFAULT_RETRY_AFTER_MS
                        : (uint32_t)(pause_ns / CLOCK_NS_PER_MS) + 1);
    }
}

/* Progress. */

static void
on_sending (void *user)
{
  struct gateway_request *request = user;
  struct gateway *gateway = request->gateway;
  uint64_t now_ns = gateway_now_ns (gateway);

  request->sent_attempts++;
  hist_observe (&gateway->counters.send_delay,
                (now_ns - request->attempt_start_ns) / CLOCK_NS_PER_US);
  attempt_advance (&request->attempt_state, ATTEMPT_SENDING, now_ns);
}

static void
on_sent (void *user)
{
  struct gateway_request *request = user;

  attempt_advance (&request->attempt_state, ATTEMPT_SENT,
                   gateway_now_ns (request->gateway));
}

static void
on_draining (void *user)
{
  struct gateway_request *request = user;
  struct gateway *gateway = request->gateway;
  struct registry_upstream *upstream
      = registry_find (&gateway->registry, request->upstream_id);

  if (upstream != NULL && registry_set_leaving (&gateway->registry, upstream))
    LOG (LOG_UPSTREAM_DRAINING, request->parsed.id,
         LOG_S ("upstream", upstream->record.identity),
         LOG_S ("from", "response"));
}

static void
on_paused (void *user, uint32_t pause_ms)
{
  struct gateway_request *request = user;
  struct gateway *gateway = request->gateway;
  struct registry_upstream *upstream
      = registry_find (&gateway->registry, request->upstream_id);
  /* Spreads the end of the pause over the instances. */
  uint64_t spread_ms = rng_below (&gateway->rng, pause_ms / PAUSE_SPREAD + 1);

  if (upstream != NULL
      && registry_pause (upstream, (pause_ms + spread_ms) * CLOCK_NS_PER_MS,
                         gateway_now_ns (gateway)))
    LOG (LOG_UPSTREAM_PAUSED, request->parsed.id,
         LOG_S ("upstream", upstream->record.identity),
         LOG_U ("ms", pause_ms));
}

static void
on_limit (void *user, enum upstream_limit limit, uint32_t permille)
{
  gateway_limits_read (user, limit, permille);
}

/* A request that failed at one upstream may succeed at another one. */
static bool
retryable_status (const struct gateway_request *request, int status)
{
  return status >= 500 && request->attempt_state.idempotent
         && !reply_started (&request->reply);
}

/* Whether a response may go on with a stream that broke off. */
static bool
continues_stream (int status, const struct upstream_header *headers,
                  size_t count)
{
  const char *type = upstream_header_find (headers, count, "Content-Type");

  return status == 200 && type != NULL
         && strncasecmp (type, EVENT_STREAM_TYPE, strlen (EVENT_STREAM_TYPE))
                == 0;
}

static void
on_responding (void *user, int status, const struct upstream_header *headers,
               size_t count)
{
  struct gateway_request *request = user;
  struct gateway *gateway = request->gateway;
  struct registry_upstream *upstream
      = registry_find (&gateway->registry, request->upstream_id);
  const struct reply_head head = {
    .status = status,
    .headers = headers,
    .count = count,
    .is_forwarded = gateway->adapter->response_is_forwarded,
    .buffered_max_bytes = request->is_stream ? 0
                          : memory_account_short (&gateway->memory)
                              ? BUFFERED_BODY_MIN
                              : BUFFERED_BODY_MAX,
  };
  struct adapter_response state;
  bool unfounded;

  attempt_advance (&request->attempt_state, ATTEMPT_RESPONDING,
                   gateway_now_ns (gateway));
  record_prefill_time (request);
  remove_prefill_load (request);
  request->response_begun = true;
  gateway_request_capacity_changed (gateway);
  gateway->adapter->read_response_headers (headers, count, &state);
  if (upstream != NULL && state.has_load)
    {
      upstream->load.reported_running = state.running;
      upstream->load.reported_waiting = state.waiting;
      upstream->load.reported_ns = gateway_now_ns (gateway);
    }
  /* A success without an upstream's signature is not trusted.  A response that
     states that the request has not run does not come here: one with a status
     that says the same would have it sent again, though it may have run. */
  unfounded = verdict_status_is_not_run (status);
  if (unfounded)
    LOG (LOG_STATUS_WITHHELD, request->parsed.id,
         LOG_U ("status", (uint64_t)status),
         LOG_S ("upstream",
                upstream == NULL ? "gone" : upstream->record.identity));
  request->retry_granted = retryable_status (request, status)
                           && gateway_request_may_retry (request);
  request->discard = request->retry_granted
                     || (!state.has_signature && status < 300) || unfounded
                     || (reply_started (&request->reply)
                         && !continues_stream (status, headers, count));
  if (request->discard || reply_started (&request->reply))
    return;
  if (status >= 300)
    request->is_stream = false;
  if (gateway->draining)
    evhtp_request_disable_flag (request->reply.http, EVHTP_REQ_FLAG_KEEPALIVE);
  /* The head goes with the first event, so that another upstream, or an error,
     can take the place of a response that breaks off before. */
  reply_start (&request->reply, &head);
}

static void
on_body (void *user, struct evbuffer *data)
{
  struct gateway_request *request = user;
  struct looptime *time = &request->gateway->loop_time;
  enum loop_work work = looptime_begin (time, LOOP_WORK_RESPONSE);

  if (request->discard)
    evbuffer_drain (data, evbuffer_get_length (data));
  else
    forward_body (request, data);
  looptime_begin (time, work);
}

static void
forward_body (struct gateway_request *request, struct evbuffer *data)
{
  struct evbuffer *complete_events;
  int error = 0;

  if (request->first_byte_ns == 0)
    request->first_byte_ns = gateway_now_ns (request->gateway);
  if (!request->is_stream)
    {
      reply_send_body (&request->reply, data);
      pause_if_client_slow (request);
      return;
    }
  complete_events = evbuffer_new ();
  if (complete_events == NULL
      || sse_feed (&request->sse, data, complete_events) != 0)
    {
      if (complete_events != NULL)
        evbuffer_free (complete_events);
      gateway_request_cancel_attempt (request);
      gateway_request_give_up (request);
      return;
    }
  if (evbuffer_get_length (complete_events) > 0)
    {
      if (request->sse.events > 0)
        gateway_streams_event (request);
      event_times_arrived (&request->event_times,
                           gateway_now_ns (request->gateway));
      error = reply_send_body (&request->reply, complete_events);
    }
  evbuffer_free (complete_events);
  if (error != 0)
    {
      /* The stream goes on with more than its head said. */
      gateway_request_cancel_attempt (request);
      gateway_request_abort (request);
      return;
    }
  gateway_quarantine_responded (request);
  pause_if_client_slow (request);
}

static void
pause_if_client_slow (struct gateway_request *request)
{
  struct gateway *gateway = request->gateway;
  const size_t total_before = gateway->output_bytes - request->output_bytes;
  size_t pending;

  if (request->paused || !reply_started (&request->reply))
    return;
  pending = httpd_pending_bytes (request->reply.http);
  request->output_bytes = pending;
  gateway->output_bytes = total_before + pending;
  if (pending <= (gateway->output_bytes > OUTPUT_TOTAL_MAX
                          || memory_account_short (&gateway->memory)
                      ? PENDING_OUTPUT_MIN
                      : PENDING_OUTPUT_MAX))
    return;
  request->paused = true;
  upstream_http_driver.pause (request->attempt, true);
}

static void
on_completed (void *user)
{
  struct gateway_request *request = user;
  struct looptime *time = &request->gateway->loop_time;
  enum loop_work work = looptime_begin (time, LOOP_WORK_RESPONSE);

  complete_attempt (request);
  looptime_begin (time, work);
}

static void
complete_attempt (struct gateway_request *request)
{
  struct gateway *gateway = request->gateway;
  struct registry_upstream *upstream
      = registry_find (&gateway->registry, request->upstream_id);

  if (!request->discard
      && ((request->is_stream && !sse_at_event_boundary (&request->sse))
          || !reply_length_kept (&request->reply)))
    {
      /* The stream ended within an event, or goes on with less than its head
         said: it was truncated, although the connection closed normally. */
      handle_attempt_failure (request, ERR_TRUNCATED);
      return;
    }
  request->attempt = NULL;
  if (request->discard)
    {
      handle_attempt_failure (request, ERR_PROTOCOL);
      return;
    }
  remove_upstream_load (request);
  attempt_advance (&request->attempt_state, ATTEMPT_DONE,
                   gateway_now_ns (gateway));
  if (request->reply.status < 300)
    gateway_quarantine_responded (request);
  gateway_quarantine_completed (request);
  if (upstream != NULL)
    {
      if (request->reply.status < 500)
        outlier_success (&upstream->outlier, gateway_now_ns (gateway));
      else
        outlier_failure (&upstream->outlier, false, gateway_now_ns (gateway));
    }
  reply_finish (&request->reply, gateway->draining);
  gateway_request_complete (request);
}

static void
on_failed (void *user, int error)
{
  handle_attempt_failure (user, error);
}
