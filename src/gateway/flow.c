/**
 * @file flow.c
 * The life of one request: intake, waiting, time limits, end.
 */
#include "gateway/flow.h"
#include "gateway/directory.h"
#include "gateway/flow_int.h"
#include "protocol/client.h"
#include "state/err.h"
#include "transport/log.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <utlist.h>

/* Time that a client without a limit of its own is taken to wait. */
#define WAIT_USUAL_MS 60000

/* The loop's beat is 20 ms; so late, requests lie unread for as long. */
#define LAG_MS 150

/** What a request is checked into before it is taken in. */
struct intake
{
  struct adapter_ask ask;
  const struct route *route;
  const struct routing_customer *customer;
};

static enum refusal take_in (struct gateway *gateway, evhtp_request_t *http,
                             struct intake *intake);
static enum refusal unknown (const struct gateway *gateway,
                             enum refusal refusal);
static bool lagging (const struct gateway *gateway);
static bool too_late (const struct gateway *gateway,
                      const struct route *route);
static struct flow *flow_new (struct gateway *gateway, evhtp_request_t *http,
                              const struct intake *intake);
static char *copy_path (const evhtp_request_t *http);
static int start_timer (struct flow *flow);
static void on_timer (evutil_socket_t fd, short what, void *arg);
static void end_flow (struct flow *flow);
static void log_end (const struct flow *flow, enum log_message message);
static void release (struct flow *flow);

void
flow_arrived (void *user, evhtp_request_t *http)
{
  struct gateway *gateway = user;
  struct intake intake = { .route = NULL };
  struct flow *flow = NULL;
  enum refusal refusal;

  gateway->counters.arrived++;
  refusal = take_in (gateway, http, &intake);
  if (refusal == REFUSAL_NONE)
    flow = flow_new (gateway, http, &intake);
  if (flow == NULL)
    {
      flow_answer (gateway, http, intake.ask.id,
                   refusal == REFUSAL_NONE ? REFUSAL_ROUTER_FULL : refusal,
                   VERDICT_NOT_RUN, 0);
      return;
    }
  httpd_bind (http, flow);
  httpd_hold (http);
  retryshare_request (&gateway->retryshare, flow->service->id,
                      flow->arrival_ns);
  flow_try (flow);
}

static enum refusal
take_in (struct gateway *gateway, evhtp_request_t *http, struct intake *intake)
{
  const struct routing *routing = gateway->routing;

  if (gateway->adapter->read_request (http, &intake->ask) != 0)
    return REFUSAL_BAD_REQUEST;
  if (routing == NULL)
    return REFUSAL_NOT_READY;
  if (http->proto != EVHTP_PROTO_11)
    return REFUSAL_HTTP_VERSION;
  if (intake->ask.id[0] == '\0' || intake->ask.host == NULL)
    return REFUSAL_BAD_REQUEST;
  intake->route
      = routing_match (routing, intake->ask.host, http->uri->path->full);
  if (intake->route == NULL)
    return unknown (gateway, REFUSAL_NO_SERVICE);
  if (!intake->route->keyless && intake->ask.key != NULL)
    intake->customer = routing_customer (routing, intake->ask.key);
  if (!intake->route->keyless && intake->customer == NULL)
    return unknown (gateway, REFUSAL_NO_KEY);
  if (lagging (gateway))
    return REFUSAL_CONNECTIONS;
  return too_late (gateway, intake->route) ? REFUSAL_DRAINING : REFUSAL_NONE;
}

/* This instance is behind with what has arrived: what it takes in besides
   would be late, and others have room. */
static bool
lagging (const struct gateway *gateway)
{
  return gateway_now_ns (gateway) - gateway->tick_ns
         > LAG_MS * CLOCK_NS_PER_MS;
}

/* A request that might not end before this instance does is sent away. */
static bool
too_late (const struct gateway *gateway, const struct route *route)
{
  uint64_t spent_ms
      = (gateway_now_ns (gateway) - gateway->drain_ns) / CLOCK_NS_PER_MS;
  uint64_t needs_ms = route->kind == ROUTE_STREAM ? route->timeout_ms
                                                  : route->objective_ms * 4;

  if (!gateway->draining || spent_ms < GATEWAY_NOTICE_MS)
    return false;
  return spent_ms + needs_ms + GATEWAY_END_SPARE_MS
         > gateway->settings.grace_ms;
}

/* What is not known may be newer than the configuration held. */
static enum refusal
unknown (const struct gateway *gateway, enum refusal refusal)
{
  return directory_unsure (gateway) ? REFUSAL_NOT_READY : refusal;
}

static struct flow *
flow_new (struct gateway *gateway, evhtp_request_t *http,
          const struct intake *intake)
{
  struct flow *flow = calloc (1, sizeof (*flow));
  const struct route *route = intake->route;
  uint32_t wait_ms
      = intake->ask.has_remaining ? intake->ask.remaining_ms : WAIT_USUAL_MS;

  if (flow == NULL)
    return NULL;
  flow->gateway = gateway;
  flow->reply.http = http;
  flow->ask = intake->ask;
  flow->routing = routing_hold (gateway->routing);
  flow->route = route;
  flow->customer = intake->customer;
  flow->service
      = routing_split (flow->routing, route, catalog_id (intake->ask.id));
  flow->path = copy_path (http);
  flow->body_size = evbuffer_get_length (http->buffer_in);
  flow->body = flow->body_size == 0
                   ? ""
                   : (const char *)evbuffer_pullup (http->buffer_in, -1);
  flow->arrival_ns = gateway_now_ns (gateway);
  flow->deadline_ns = flow->arrival_ns + wait_ms * CLOCK_NS_PER_MS;
  flow->timeout_ns = flow->arrival_ns + route->timeout_ms * CLOCK_NS_PER_MS;
  flow->streams = route->kind == ROUTE_STREAM;
  attempt_init (&flow->record,
                route->kind == ROUTE_IDEMPOTENT
                    || (flow->streams && route->resumable),
                route->attempts_max + FLOW_CONNECTS_MAX);
  DL_APPEND (gateway->flows, flow);
  gateway->flow_count++;
  if (flow->path != NULL && flow->body != NULL && sse_init (&flow->sse) == 0
      && start_timer (flow) == 0)
    return flow;
  release (flow);
  return NULL;
}

static char *
copy_path (const evhtp_request_t *http)
{
  const evhtp_uri_t *uri = http->uri;
  char *path = NULL;
  int size;

  if (uri->query_raw != NULL)
    size = asprintf (&path, "%s?%s", uri->path->full,
                     (const char *)uri->query_raw);
  else
    size = asprintf (&path, "%s", uri->path->full);
  return size < 0 ? NULL : path;
}

static int
start_timer (struct flow *flow)
{
  uint64_t end_ns = flow->timeout_ns < flow->deadline_ns ? flow->timeout_ns
                                                         : flow->deadline_ns;
  const struct timeval delay = clock_timeval (
      (uint32_t)((end_ns - flow->arrival_ns) / CLOCK_NS_PER_MS));

  flow->timer = event_new (flow->gateway->base, -1, 0, on_timer, flow);
  if (flow->timer == NULL)
    return ERR_NO_MEMORY;
  return event_add (flow->timer, &delay) == 0 ? 0 : ERR_NO_MEMORY;
}

/* Nobody waits for an answer any longer. */
static void
on_timer (evutil_socket_t fd, short what, void *arg)
{
  (void)fd;
  (void)what;
  end_flow (arg);
}

void
flow_end_all (struct gateway *gateway)
{
  struct flow *flow;
  struct flow *next;

  DL_FOREACH_SAFE (gateway->flows, flow, next)
    if (!reply_started (&flow->reply))
      end_flow (flow);
}

static void
end_flow (struct flow *flow)
{
  flow_cancel (flow);
  flow_unwait (flow);
  if (reply_started (&flow->reply))
    flow_abort (flow);
  else
    flow_refuse (flow,
                 attempt_verdict (&flow->record) == VERDICT_NOT_RUN
                     ? REFUSAL_ROUTER_FULL
                     : REFUSAL_DEADLINE,
                 0);
}

void
flow_gone (void *user, void *request_user)
{
  struct gateway *gateway = user;
  struct flow *flow = request_user;

  gateway->counters.canceled++;
  flow->reply.http = NULL;
  flow_cancel (flow);
  flow_unwait (flow);
  log_end (flow, LOG_CLIENT_GONE);
  release (flow);
}

void
flow_drained (void *user, void *request_user)
{
  struct flow *flow = request_user;

  (void)user;
  if (!flow->paused || flow->attempt == NULL)
    return;
  flow->paused = false;
  upstream_http_driver.pause (flow->attempt, false);
}

void
flow_abort (struct flow *flow)
{
  flow->gateway->counters.aborted++;
  log_end (flow, LOG_REQUEST_ABORTED);
  reply_abort (&flow->reply);
  release (flow);
}

void
flow_free (struct flow *flow)
{
  struct gateway *gateway = flow->gateway;
  struct gateway_times *times = &gateway->counters.times[flow->route->kind];
  uint64_t now_ns = gateway_now_ns (gateway);

  gateway->counters.completed++;
  hist_observe (&times->total, (now_ns - flow->arrival_ns) / CLOCK_NS_PER_US);
  if (flow->first_ns != 0)
    hist_observe (&times->first,
                  (flow->first_ns - flow->arrival_ns) / CLOCK_NS_PER_US);
  log_end (flow, LOG_REQUEST_DONE);
  release (flow);
}

static void
log_end (const struct flow *flow, enum log_message message)
{
  uint64_t now_ns = gateway_now_ns (flow->gateway);
  uint64_t start_ns = flow->start_ns == 0 ? now_ns : flow->start_ns;

  LOG (message, flow->ask.id, LOG_S ("route", flow->route->name),
       LOG_S ("customer", flow->customer == NULL ? "" : flow->customer->name),
       LOG_U ("config", flow->routing->version),
       LOG_U ("status", (uint64_t)flow->reply.status),
       LOG_S ("verdict", verdict_name (attempt_verdict (&flow->record))),
       LOG_U ("attempts", flow->record.number),
       LOG_U ("bytes", flow->reply.delivered_bytes),
       LOG_U ("waited_ms", (start_ns - flow->arrival_ns) / CLOCK_NS_PER_MS),
       LOG_U ("total_ms", (now_ns - flow->arrival_ns) / CLOCK_NS_PER_MS));
}

static void
release (struct flow *flow)
{
  DL_DELETE (flow->gateway->flows, flow);
  flow->gateway->flow_count--;
  if (flow->timer != NULL)
    event_free (flow->timer);
  sse_finish (&flow->sse);
  routing_release (flow->routing);
  free ((char *)flow->path);
  free (flow);
}

/* Refusals. */

void
flow_refuse (struct flow *flow, enum refusal refusal, uint32_t retry_after_ms)
{
  struct gateway *gateway = flow->gateway;
  evhtp_request_t *http = flow->reply.http;

  reply_reset (&flow->reply);
  flow_answer (gateway, http, flow->ask.id, refusal,
               attempt_verdict (&flow->record), retry_after_ms);
  reply_release (&flow->reply, gateway->draining);
  release (flow);
}

void
flow_answer (struct gateway *gateway, evhtp_request_t *http, const char *id,
             enum refusal refusal, enum verdict verdict,
             uint32_t retry_after_ms)
{
  const struct refusal_info *info = refusal_info (refusal);
  struct reply reply = { .http = http };
  char *body = client_refusal_body (refusal, verdict, id);
  char seconds[16];

  gateway->counters.refused++;
  gateway->counters.reasons[refusal]++;
  reply_header (&reply, "Content-Type", "application/json");
  reply_header (&reply, CLIENT_HEADER_VERDICT, verdict_name (verdict));
  if (id[0] != '\0')
    reply_header (&reply, gateway->adapter->dialect->request_id, id);
  if (retry_after_ms > 0)
    {
      snprintf (seconds, sizeof (seconds), "%u.%03u", retry_after_ms / 1000,
                retry_after_ms % 1000);
      reply_header (&reply, "Retry-After", seconds);
    }
  if (body != NULL)
    evbuffer_add (http->buffer_out, body, strlen (body));
  free (body);
  /* A new connection leads to another instance. */
  if (gateway->draining || refusal == REFUSAL_CONNECTIONS)
    evhtp_request_disable_flag (http, EVHTP_REQ_FLAG_KEEPALIVE);
  evhtp_send_reply (http, info->status);
  LOG (LOG_REQUEST_REFUSED, id, LOG_S ("reason", info->code),
       LOG_U ("status", info->status),
       LOG_S ("verdict", verdict_name (verdict)),
       LOG_U ("retry_after_ms", retry_after_ms),
       LOG_U ("config",
              gateway->routing == NULL ? 0 : gateway->routing->version),
       LOG_U ("config_age_ms", directory_age_ns (gateway) / CLOCK_NS_PER_MS));
}

void
flow_refuse_raw (void *user, enum refusal refusal, const char *request_id,
                 struct evbuffer *out)
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
