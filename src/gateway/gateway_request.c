/**
 * @file gateway_request.c
 * Client requests: validation on arrival, time limits, completion, refusals.
 */
#include "gateway/gateway_request.h"
#include "gateway/discovery.h"
#include "gateway/gateway_config.h"
#include "gateway/gateway_quarantine.h"
#include "gateway/gateway_request_int.h"
#include "gateway/gateway_streams.h"
#include "protocol/client.h"
#include "state/err.h"
#include "state/request_digest.h"
#include "transport/log.h"
#include "transport/upstream_http.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <utlist.h>

/* Assumed for clients that do not state how long they wait. */
#define DEFAULT_CLIENT_WAIT_MS 60000

/* The event loop counts as lagging when a probe that waits its turn among the
   clients' events has waited for this long: requests then wait unread in
   sockets for as long. */
#define LOOP_LAG_MAX_MS 150

/* Retry-After of a stream that cannot go on: a build that is unknown, or has
   gone, will be so for as long as its client waits. */
#define NO_BUILD_RETRY_AFTER_MS 60000
/* The same while this instance may be about to learn what it lacks: its
   configuration, a key, what others know of a stream. */
#define NOT_READY_RETRY_AFTER_MS 300
/* For a response that is in its socket when the request's time ends. */
#define UNREAD_RESPONSE_MS 100

/** Result of validating a request, before its gateway_request is allocated. */
struct request_validation
{
  struct adapter_request request;
  const struct route *route;
  const struct routing_customer *customer;
};

static void handle_arrived (struct gateway *gateway, evhtp_request_t *http);
static enum refusal check_request (struct gateway *gateway,
                                   evhtp_request_t *http,
                                   struct request_validation *validation);
static enum refusal identify_request (const struct gateway *gateway,
                                      evhtp_request_t *http,
                                      struct request_validation *validation);
static uint64_t customer_id (const struct request_validation *validation);
static uint32_t retry_after_ms (enum refusal refusal);
static enum refusal refuse_unknown (const struct gateway *gateway,
                                    enum refusal refusal);
static bool event_loop_lagging (const struct gateway *gateway);
static bool exceeds_grace_period (const struct gateway *gateway,
                                  const struct route *route);
static struct gateway_request *
gateway_request_new (struct gateway *gateway, evhtp_request_t *http,
                     const struct request_validation *validation);
static uint32_t client_waited_ms (struct gateway *gateway,
                                  const struct route *route,
                                  uint32_t remaining_ms);
static const char *first_id (const struct adapter_request *request);
static char *copy_path (const evhtp_request_t *http);
static int start_timer (struct gateway_request *request);
static void on_timer (evutil_socket_t fd, short what, void *arg);
static void expire_request (struct gateway_request *request);
static void count_stream_times (struct gateway_stream_times *counters,
                                const struct event_times *times);
static void log_end (const struct gateway_request *request,
                     enum log_message message);
static void destroy_request (struct gateway_request *request);

void
gateway_request_arrived (void *user, evhtp_request_t *http)
{
  struct gateway *gateway = user;
  enum loop_work work
      = looptime_begin (&gateway->loop_time, LOOP_WORK_REQUEST);

  handle_arrived (gateway, http);
  looptime_begin (&gateway->loop_time, work);
}

static void
handle_arrived (struct gateway *gateway, evhtp_request_t *http)
{
  struct request_validation validation = { .route = NULL };
  struct gateway_request *request = NULL;
  enum refusal refusal;

  gateway->counters.arrived++;
  gateway_check_control (gateway);
  refusal = check_request (gateway, http, &validation);
  if (refusal == REFUSAL_NONE)
    refusal = httpd_hold (http, customer_id (&validation));
  if (refusal == REFUSAL_NONE)
    request = gateway_request_new (gateway, http, &validation);
  if (request == NULL)
    {
      gateway_request_send_refusal (
          gateway, http, validation.request.id,
          refusal == REFUSAL_NONE ? REFUSAL_ROUTER_FULL : refusal,
          VERDICT_NOT_RUN, retry_after_ms (refusal));
      return;
    }
  httpd_set_request_user (http, request);
  httpd_pause (http);
  fleet_retry_budget_count_request (&gateway->fleet_retry_budget,
                                    request->service->id, request->arrival_ns);
  gateway_request_begin (request);
}

void
gateway_request_begin (struct gateway_request *request)
{
  enum refusal refusal = gateway_streams_bind (request);

  if (request->awaits_peers)
    return;
  if (refusal == REFUSAL_NONE)
    gateway_request_try (request);
  else
    gateway_request_refuse (request, refusal,
                            refusal == REFUSAL_NO_BUILD
                                ? NO_BUILD_RETRY_AFTER_MS
                                : NOT_READY_RETRY_AFTER_MS);
}

/* Memory is expected when the incomplete requests that hold it are given
   up. */
static uint32_t
retry_after_ms (enum refusal refusal)
{
  switch (refusal)
    {
    case REFUSAL_NOT_READY:
      return NOT_READY_RETRY_AFTER_MS;
    case REFUSAL_MEMORY:
    case REFUSAL_CUSTOMER_MEMORY:
      return MEMORY_ACCOUNT_ARRIVAL_MS;
    default:
      return 0;
    }
}

enum refusal
gateway_request_check_head (void *user, evhtp_request_t *http,
                            uint64_t *customer)
{
  struct gateway *gateway = user;
  struct request_validation validation = { .route = NULL };
  enum refusal refusal = identify_request (gateway, http, &validation);

  *customer = customer_id (&validation);
  /* What this instance lacks may be here before the body is. */
  return refusal == REFUSAL_NOT_READY ? REFUSAL_NONE : refusal;
}

static uint64_t
customer_id (const struct request_validation *validation)
{
  return validation->customer == NULL ? 0 : validation->customer->id;
}

static enum refusal
check_request (struct gateway *gateway, evhtp_request_t *http,
               struct request_validation *validation)
{
  const uint64_t now_ns = gateway_now_ns (gateway);
  enum refusal refusal = identify_request (gateway, http, validation);

  if (refusal != REFUSAL_NONE)
    return refusal;
  usage_share_count_arrived (&gateway->usage, customer_id (validation),
                             now_ns);
  if (event_loop_lagging (gateway))
    {
      usage_share_count_refused (&gateway->usage, customer_id (validation),
                                 now_ns);
      return REFUSAL_CONNECTIONS;
    }
  return exceeds_grace_period (gateway, validation->route) ? REFUSAL_DRAINING
                                                           : REFUSAL_NONE;
}

/* Finds the route and the customer of a request, by its head. */
static enum refusal
identify_request (const struct gateway *gateway, evhtp_request_t *http,
                  struct request_validation *validation)
{
  const struct routing *routing = gateway->routing;

  if (gateway->adapter->read_request (http, &validation->request) != 0)
    return REFUSAL_BAD_REQUEST;
  if (routing == NULL)
    return REFUSAL_NOT_READY;
  if (http->proto != EVHTP_PROTO_11)
    return REFUSAL_HTTP_VERSION;
  if (validation->request.id[0] == '\0' || validation->request.host == NULL)
    return REFUSAL_BAD_REQUEST;
  validation->route = routing_match (routing, validation->request.host,
                                     http->uri->path->full);
  if (validation->route == NULL)
    return refuse_unknown (gateway, REFUSAL_NO_SERVICE);
  if (!validation->route->without_api_key && validation->request.key != NULL)
    validation->customer = routing_customer (routing, validation->request.key);
  if (!validation->route->without_api_key && validation->customer == NULL)
    return refuse_unknown (gateway, REFUSAL_NO_KEY);
  return REFUSAL_NONE;
}

/* The event loop is overloaded: further requests would be late, and other
   instances have capacity. */
static bool
event_loop_lagging (const struct gateway *gateway)
{
  return looplag_pending_ns (&gateway->loop_lag)
         > LOOP_LAG_MAX_MS * CLOCK_NS_PER_MS;
}

/* Whether the request might not complete before this instance exits. */
static bool
exceeds_grace_period (const struct gateway *gateway, const struct route *route)
{
  uint64_t spent_ms
      = (gateway_now_ns (gateway) - gateway->drain_ns) / CLOCK_NS_PER_MS;
  uint64_t needs_ms = route->kind == ROUTE_STREAMING ? route->timeout_ms
                                                     : route->objective_ms * 4;

  if (!gateway->draining || spent_ms < GATEWAY_UNREADY_DELAY_MS)
    return false;
  return spent_ms + needs_ms + GATEWAY_FINAL_RESPONSE_MARGIN_MS
         > gateway->settings.grace_ms;
}

/* An unknown key or route may have been added since the configuration was
   read. */
static enum refusal
refuse_unknown (const struct gateway *gateway, enum refusal refusal)
{
  return discovery_config_stale (gateway) || gateway_config_pending (gateway)
             ? REFUSAL_NOT_READY
             : refusal;
}

static struct gateway_request *
gateway_request_new (struct gateway *gateway, evhtp_request_t *http,
                     const struct request_validation *validation)
{
  struct gateway_request *request = calloc (1, sizeof (*request));
  const struct route *route = validation->route;
  uint32_t client_wait_ms = validation->request.has_remaining
                                ? validation->request.remaining_ms
                                : DEFAULT_CLIENT_WAIT_MS;

  if (request == NULL)
    return NULL;
  request->gateway = gateway;
  request->reply.http = http;
  request->parsed = validation->request;
  request->routing = routing_retain (gateway->routing);
  request->route = route;
  request->customer = validation->customer;
  request->service = routing_select_service (
      request->routing, route, catalog_id (first_id (&validation->request)));
  request->path = copy_path (http);
  request->body_size = evbuffer_get_length (http->buffer_in);
  request->body = request->body_size == 0
                      ? ""
                      : (const char *)evbuffer_pullup (http->buffer_in, -1);
  request->arrival_ns = gateway_now_ns (gateway);
  if (validation->request.has_remaining)
    request->waited_ns
        = client_waited_ms (gateway, route, client_wait_ms) * CLOCK_NS_PER_MS;
  request->deadline_ns
      = request->arrival_ns + client_wait_ms * CLOCK_NS_PER_MS;
  request->timeout_ns
      = request->arrival_ns + route->timeout_ms * CLOCK_NS_PER_MS;
  request->is_stream = route->kind == ROUTE_STREAMING;
  attempt_init (&request->attempt_state,
                route->kind == ROUTE_IDEMPOTENT
                    || (request->is_stream && route->resumable),
                route->attempts_max + GATEWAY_REQUEST_FAILED_CONNECTS_MAX);
  DL_APPEND (gateway->requests, request);
  gateway->request_count++;
  if (request->path != NULL && request->body != NULL
      && sse_init (&request->sse) == 0 && start_timer (request) == 0)
    return request;
  destroy_request (request);
  return NULL;
}

static uint32_t
client_waited_ms (struct gateway *gateway, const struct route *route,
                  uint32_t remaining_ms)
{
  uint64_t id = catalog_id (route->name);
  struct gateway_route *entry;

  HASH_FIND (hh, gateway->routes, &id, sizeof id, entry);
  if (entry == NULL)
    {
      entry = calloc (1, sizeof *entry);
      if (entry == NULL)
        return 0;
      entry->id = id;
      HASH_ADD (hh, gateway->routes, id, sizeof entry->id, entry);
    }
  return client_budget_waited_ms (&entry->client_budget, remaining_ms);
}

/* Of a stream that is taken up, the request that began it: it goes on at the
   service that was drawn by that one's id. */
static const char *
first_id (const struct adapter_request *request)
{
  return request->last_event_id != NULL && request->resumes[0] != '\0'
             ? request->resumes
             : request->id;
}

static char *
copy_path (const evhtp_request_t *http)
{
  const evhtp_uri_t *uri = http->uri;
  const char *query = (const char *)uri->query_raw;
  const char *fragment = (const char *)uri->fragment;
  char *path = NULL;
  int size = asprintf (&path, "%s%s%s%s%s", uri->path->full,
                       query == NULL ? "" : "?", query == NULL ? "" : query,
                       fragment == NULL ? "" : "#",
                       fragment == NULL ? "" : fragment);

  return size < 0 ? NULL : path;
}

uint64_t
gateway_request_digest (struct gateway_request *request)
{
  const struct prompt *prompt = &request->parsed.prompt;
  const struct request_digest_input input = {
    .method = httpd_method (request->reply.http),
    .host = request->parsed.host,
    .path = request->path,
    .customer_id = request->customer == NULL ? 0 : request->customer->id,
    .body = request->body,
    .body_size = request->body_size,
    .model = request->parsed.model,
    .part_ids = prompt->ids,
    .part_count = prompt->id_count,
  };

  if (request->digest == 0)
    request->digest = request_digest (&input);
  return request->digest;
}

static int
start_timer (struct gateway_request *request)
{
  uint64_t end_ns = request->timeout_ns < request->deadline_ns
                        ? request->timeout_ns
                        : request->deadline_ns;
  const struct timeval delay = clock_timeval (
      (uint32_t)((end_ns - request->arrival_ns) / CLOCK_NS_PER_MS));

  request->timer
      = event_new (request->gateway->base, -1, 0, on_timer, request);
  if (request->timer == NULL)
    return ERR_NO_MEMORY;
  return event_add (request->timer, &delay) == 0 ? 0 : ERR_NO_MEMORY;
}

/* The deadline of the client or the timeout of the route has passed. */
static void
on_timer (evutil_socket_t fd, short what, void *arg)
{
  struct gateway_request *request = arg;
  const struct timeval extension = clock_timeval (UNREAD_RESPONSE_MS);

  (void)fd;
  (void)what;
  /* The loop is late, and will read the response next. */
  if (!request->time_extended && request->attempt != NULL
      && !reply_started (&request->reply)
      && upstream_http_has_unread (request->attempt))
    {
      request->time_extended = true;
      event_add (request->timer, &extension);
      return;
    }
  expire_request (request);
}

void
gateway_request_refuse_unanswered (struct gateway *gateway)
{
  struct gateway_request *request;
  struct gateway_request *next;

  DL_FOREACH_SAFE (gateway->requests, request, next)
    if (!reply_started (&request->reply))
      expire_request (request);
}

static void
expire_request (struct gateway_request *request)
{
  gateway_request_cancel_attempt (request);
  gateway_request_dequeue (request);
  if (reply_started (&request->reply))
    gateway_request_abort (request);
  else
    gateway_request_refuse (request,
                            attempt_verdict (&request->attempt_state)
                                    == VERDICT_NOT_RUN
                                ? REFUSAL_ROUTER_FULL
                                : REFUSAL_DEADLINE,
                            0);
}

void
gateway_request_client_disconnected (void *user, void *request_user)
{
  struct gateway *gateway = user;
  struct gateway_request *request = request_user;

  gateway->counters.canceled++;
  request->reply.http = NULL;
  gateway_request_cancel_attempt (request);
  gateway_request_dequeue (request);
  log_end (request, LOG_CLIENT_GONE);
  destroy_request (request);
}

bool
gateway_request_end_if_client_left (struct gateway_request *request)
{
  evhtp_request_t *http = request->reply.http;

  if (!httpd_client_left (http))
    return false;
  httpd_set_request_user (http, NULL);
  gateway_request_client_disconnected (request->gateway, request);
  return true;
}

void
gateway_request_output_drained (void *user, void *request_user)
{
  struct gateway_request *request = request_user;

  (void)user;
  if (!request->paused || request->attempt == NULL)
    return;
  request->paused = false;
  request->gateway->output_bytes -= request->output_bytes;
  request->output_bytes = 0;
  upstream_http_driver.pause (request->attempt, false);
}

void
gateway_request_abort (struct gateway_request *request)
{
  request->gateway->counters.aborted++;
  log_end (request, LOG_REQUEST_ABORTED);
  reply_abort (&request->reply);
  destroy_request (request);
}

void
gateway_request_complete (struct gateway_request *request)
{
  struct gateway *gateway = request->gateway;
  struct gateway_times *times = &gateway->counters.times[request->route->kind];
  uint64_t now_ns = gateway_now_ns (gateway);

  gateway->counters.completed++;
  hist_observe (&times->total,
                (now_ns - request->arrival_ns) / CLOCK_NS_PER_US);
  if (request->first_byte_ns != 0)
    hist_observe (&times->first_byte,
                  (request->first_byte_ns - request->arrival_ns)
                      / CLOCK_NS_PER_US);
  if (request->event_times.forecast_ns != 0
      && request->event_times.first_ns != 0)
    count_stream_times (&gateway->counters.stream_times,
                        &request->event_times);
  log_end (request, LOG_REQUEST_DONE);
  destroy_request (request);
}

static void
count_stream_times (struct gateway_stream_times *counters,
                    const struct event_times *times)
{
  uint64_t first_ns = event_times_to_first_ns (times);

  if (first_ns < times->forecast_ns)
    hist_observe (&counters->early,
                  (times->forecast_ns - first_ns) / CLOCK_NS_PER_US);
  else
    hist_observe (&counters->late,
                  (first_ns - times->forecast_ns) / CLOCK_NS_PER_US);
  hist_observe (&counters->longest_gap,
                times->longest_gap_ns / CLOCK_NS_PER_US);
}

static void
log_end (const struct gateway_request *request, enum log_message message)
{
  uint64_t now_ns = gateway_now_ns (request->gateway);
  uint64_t start_ns
      = request->attempt_start_ns == 0 ? now_ns : request->attempt_start_ns;

  LOG (message, request->parsed.id, LOG_S ("route", request->route->name),
       LOG_S ("customer",
              request->customer == NULL ? "" : request->customer->name),
       LOG_S ("config", request->routing->version),
       LOG_U ("status", (uint64_t)request->reply.status),
       LOG_S ("verdict",
              verdict_name (attempt_verdict (&request->attempt_state))),
       LOG_U ("attempts", request->attempt_state.number),
       LOG_U ("bytes", request->reply.delivered_bytes),
       LOG_U ("waited_ms", (start_ns - request->arrival_ns) / CLOCK_NS_PER_MS),
       LOG_U ("client_waited_ms", request->waited_ns / CLOCK_NS_PER_MS),
       LOG_U ("prompt_tokens", request->parsed.prompt.input_tokens),
       LOG_U ("forecast_ms",
              request->event_times.forecast_ns / CLOCK_NS_PER_MS),
       LOG_U ("first_ms", event_times_to_first_ns (&request->event_times)
                              / CLOCK_NS_PER_MS),
       LOG_U ("longest_gap_ms",
              request->event_times.longest_gap_ns / CLOCK_NS_PER_MS),
       LOG_U ("total_ms", (now_ns - request->arrival_ns) / CLOCK_NS_PER_MS));
}

static void
destroy_request (struct gateway_request *request)
{
  gateway_quarantine_ended (request);
  DL_DELETE (request->gateway->requests, request);
  request->gateway->request_count--;
  request->gateway->output_bytes -= request->output_bytes;
  if (request->timer != NULL)
    event_free (request->timer);
  sse_finish (&request->sse);
  routing_release (request->routing);
  free ((char *)request->path);
  free (request);
}

/* Refusals. */

void
gateway_request_refuse (struct gateway_request *request, enum refusal refusal,
                        uint32_t retry_after_ms)
{
  struct gateway *gateway = request->gateway;
  evhtp_request_t *http = request->reply.http;

  reply_reset (&request->reply);
  gateway_request_send_refusal (gateway, http, request->parsed.id, refusal,
                                attempt_verdict (&request->attempt_state),
                                retry_after_ms);
  reply_release (&request->reply, gateway->draining);
  destroy_request (request);
}

void
gateway_request_send_refusal (struct gateway *gateway, evhtp_request_t *http,
                              const char *id, enum refusal refusal,
                              enum verdict verdict, uint32_t retry_after_ms)
{
  const struct refusal_info *info = refusal_info (refusal);
  struct reply reply = { .http = http };
  char *body = client_refusal_body (refusal, verdict, id);
  char seconds[16];

  gateway->counters.refused++;
  gateway->counters.reasons[refusal]++;
  reply_add_header (&reply, "Content-Type", "application/json");
  reply_add_header (&reply, CLIENT_HEADER_VERDICT, verdict_name (verdict));
  if (id[0] != '\0')
    reply_add_header (&reply, gateway->adapter->dialect->id_header, id);
  if (retry_after_ms > 0)
    {
      snprintf (seconds, sizeof (seconds), "%u.%03u", retry_after_ms / 1000,
                retry_after_ms % 1000);
      reply_add_header (&reply, "Retry-After", seconds);
    }
  if (body != NULL)
    evbuffer_add (http->buffer_out, body, strlen (body));
  free (body);
  /* Closes the connection, so that the client reconnects to another
     instance. */
  if (gateway->draining || refusal == REFUSAL_CONNECTIONS)
    evhtp_request_disable_flag (http, EVHTP_REQ_FLAG_KEEPALIVE);
  evhtp_send_reply (http, info->status);
  LOG (LOG_REQUEST_REFUSED, id, LOG_S ("reason", info->code),
       LOG_U ("status", info->status),
       LOG_S ("verdict", verdict_name (verdict)),
       LOG_U ("retry_after_ms", retry_after_ms),
       LOG_S ("config",
              gateway->routing == NULL ? "0" : gateway->routing->version),
       LOG_U ("config_age_ms", discovery_age_ns (gateway) / CLOCK_NS_PER_MS));
}

void
gateway_request_refuse_unparsed (void *user, enum refusal refusal,
                                 const char *request_id, struct evbuffer *out)
{
  struct gateway *gateway = user;

  gateway->counters.refused++;
  gateway->counters.reasons[refusal]++;
  if (request_id == NULL || !client_request_id_valid (request_id))
    request_id = "none";
  client_refusal_response (out, refusal, request_id);
  LOG (LOG_REQUEST_REFUSED, request_id,
       LOG_S ("reason", refusal_info (refusal)->code),
       LOG_U ("status", refusal_info (refusal)->status),
       LOG_S ("verdict", verdict_name (VERDICT_NOT_RUN)));
}
