/**
 * @file flow_attempt.c
 * Attempts of a request at upstreams: choice, sending, what comes back, and
 * whether another attempt may follow.
 */
#include "gateway/flow_int.h"
#include "state/err.h"
#include "transport/log.h"
#include <string.h>

#define PENDING_MAX                                                           \
  262144               /* bytes that a client has not taken, until the        \
                          upstream is read no further */
#define HELD_MAX 65536 /* bytes of a response that is held until whole */
/* A refused client comes back after that when nothing says more. */
#define RETRY_AFTER_MS   250
#define OUTPUT_WEIGHT    2.0   /* of a token generated, against one read */
#define UPSTREAM_IDLE_MS 30000 /* kept open so long when it does not say */

static void charge (struct flow *flow, struct roster_upstream *upstream);
static uint64_t idlest (struct flow *flow);
static void discharge (struct flow *flow);
static void began (struct flow *flow);
static void observe (struct flow *flow);
static void settle (struct flow *flow, int error);
static bool repeatable_failure (const struct flow *flow, int status);
static void pass_on (struct flow *flow, struct evbuffer *data);
static void pause_if_behind (struct flow *flow);
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

/* Found once a pass: of many engines that are idle, any will do. */
static uint64_t
idlest (struct flow *flow)
{
  struct gateway *gateway = flow->gateway;
  struct gateway_service *service;

  if (flow->ask.prompt.part_count == 0)
    return 0;
  service = flow_service (flow);
  if (service == NULL)
    return 0;
  if (service->idlest_pass != gateway->passes)
    {
      service->idlest_pass = gateway->passes;
      service->idlest_id = choose_idlest (&gateway->roster, service->id,
                                          gateway_now_ns (gateway));
    }
  return service->idlest_id;
}

void
flow_choose (struct flow *flow, struct choose_result *result)
{
  struct gateway *gateway = flow->gateway;
  const struct choose_request request = {
    .service_id = flow->service->id,
    .homes = &flow->homes,
    .idlest_id = idlest (flow),
    .prompt = &flow->ask.prompt,
    .availability_zone = gateway->settings.availability_zone,
    .avoid = flow->tried,
    .avoid_count = flow->tried_count,
    .draw = catalog_id (flow->ask.id),
    .reread_permille = flow_patience (flow),
    .now_ns = gateway_now_ns (gateway),
  };

  choose_upstream (&gateway->roster, &gateway->prefixes, &request, result);
}

void
flow_start (struct flow *flow, const struct choose_result *result)
{
  struct gateway *gateway = flow->gateway;
  struct roster_upstream *upstream = result->upstream;
  uint64_t now_ns = gateway_now_ns (gateway);
  uint64_t end_ns = flow->timeout_ns < flow->deadline_ns ? flow->timeout_ns
                                                         : flow->deadline_ns;
  char event_id[SSE_ID_SIZE];
  char text[ADAPTER_TEXT_SIZE];
  struct upstream_header headers[ADAPTER_HEADERS_MAX];
  const char *resume = sse_last_id (&flow->sse, event_id);
  const struct adapter_attempt attempt = {
    .customer = flow->customer == NULL ? NULL : flow->customer->name,
    .expected = upstream->record.identity,
    .remaining_ms = end_ns > now_ns ? (end_ns - now_ns) / CLOCK_NS_PER_MS : 0,
    .resume = resume == NULL ? flow->ask.resume : resume,
  };
  struct upstream_request request = {
    .request_id = flow->ask.id,
    .method = htparser_get_methodstr_m (flow->reply.http->method),
    .path = flow->path,
    .headers = headers,
    .body = flow->body,
    .body_size = flow->body_size,
    .idempotent = flow->record.idempotent,
    .upstream_id = upstream->id,
    .address = upstream->record.address,
    .host = flow->ask.host,
    .idle_timeout_ms = UPSTREAM_IDLE_MS,
  };

  request.header_count = gateway->adapter->write_attempt (
      flow->reply.http, &attempt, headers, text);
  attempt_start (&flow->record, upstream->id, now_ns);
  attempt_advance (&flow->record, ATTEMPT_CONNECTING, now_ns);
  flow->upstream_id = upstream->id;
  flow->unread_tokens = result->unread_tokens;
  flow->begin_tokens = result->ahead_tokens + result->unread_tokens;
  gateway->passes++;
  flow->start_ns = now_ns;
  flow->began = flow->discard = flow->paused = false;
  if (flow->tried_count < CHOOSE_AVOID_MAX)
    flow->tried[flow->tried_count++] = upstream->id;
  gateway->counters.attempts++;
  outlier_attempt (&upstream->outlier, now_ns);
  charge (flow, upstream);
  LOG (LOG_ATTEMPT_STARTED, flow->ask.id,
       LOG_U ("attempt", flow->record.number),
       LOG_S ("upstream", upstream->record.identity),
       LOG_U ("unread_tokens", flow->unread_tokens),
       LOG_U ("ahead_tokens", result->ahead_tokens),
       LOG_S ("home", result->home ? "yes" : "no"),
       LOG_U ("remaining_ms", attempt.remaining_ms));
  flow->attempt
      = upstream_http_driver.start (gateway->http, &request, &events, flow);
  if (flow->attempt == NULL)
    settle (flow, ERR_REFUSED);
}

/* The load is counted at once, before the upstream tells of it. */
static void
charge (struct flow *flow, struct roster_upstream *upstream)
{
  upstream->load.running++;
  upstream->load.unread_tokens += flow->unread_tokens;
  if (flow->customer != NULL)
    usage_share_give (&flow->gateway->usage, flow->customer->id,
                      flow->ask.prompt.input_tokens
                          + OUTPUT_WEIGHT * flow->ask.prompt.output_tokens,
                      gateway_now_ns (flow->gateway));
  if (flow->ask.prompt.part_count > 0)
    prefixes_note (&flow->gateway->prefixes, upstream->id, &flow->ask.prompt,
                   gateway_now_ns (flow->gateway));
}

static void
discharge (struct flow *flow)
{
  struct roster_upstream *upstream
      = roster_find (&flow->gateway->roster, flow->upstream_id);

  began (flow);
  if (upstream != NULL && upstream->load.running > 0)
    upstream->load.running--;
  flow_capacity_changed (flow->gateway);
}

/* The upstream has read the prompt. */
static void
began (struct flow *flow)
{
  struct roster_upstream *upstream
      = roster_find (&flow->gateway->roster, flow->upstream_id);

  if (upstream != NULL)
    upstream->load.unread_tokens
        -= upstream->load.unread_tokens < flow->unread_tokens
               ? upstream->load.unread_tokens
               : flow->unread_tokens;
  flow->unread_tokens = 0;
}

/* How long a prompt took to begin tells how fast engines read. */
static void
observe (struct flow *flow)
{
  struct gateway_service *service = flow_service (flow);

  if (service != NULL && flow->ask.prompt.part_count > 0)
    pace_observe (&service->pace, flow->begin_tokens,
                  gateway_now_ns (flow->gateway) - flow->start_ns);
}

void
flow_cancel (struct flow *flow)
{
  if (flow->attempt == NULL)
    return;
  upstream_http_driver.cancel (flow->attempt);
  flow->attempt = NULL;
  discharge (flow);
}

bool
flow_may_repeat (struct flow *flow)
{
  struct gateway *gateway = flow->gateway;
  uint64_t now_ns = gateway_now_ns (gateway);

  if (!attempt_may_retry (&flow->record) || now_ns >= flow->deadline_ns
      || now_ns >= flow->timeout_ns)
    return false;
  if (flow->sends == 0)
    return true;
  if (flow->sends >= flow->route->attempts_max
      || retryshare_take (&gateway->retryshare, flow->service->id, now_ns)
             != 0)
    return false;
  gateway->counters.repeats++;
  return true;
}

/* What follows an attempt that failed. */
static void
settle (struct flow *flow, int error)
{
  struct gateway *gateway = flow->gateway;
  struct roster_upstream *upstream
      = roster_find (&gateway->roster, flow->upstream_id);
  bool again;

  flow->attempt = NULL;
  discharge (flow);
  if (error == ERR_UNAVAILABLE)
    attempt_refused (&flow->record);
  if (upstream != NULL)
    outlier_failure (&upstream->outlier,
                     error == ERR_REFUSED || error == ERR_TIMEOUT,
                     gateway_now_ns (gateway));
  LOG (LOG_ATTEMPT_FAILED, flow->ask.id,
       LOG_U ("attempt", flow->record.number),
       LOG_S ("error", err_name (error)),
       LOG_S ("upstream",
              upstream == NULL ? "gone" : upstream->record.identity),
       LOG_S ("verdict", verdict_name (attempt_verdict (&flow->record))));
  if (flow->streams)
    sse_cut (&flow->sse);
  again = flow->granted || flow_may_repeat (flow);
  flow->granted = false;
  if (reply_started (&flow->reply))
    {
      if (again && flow->streams && flow->sse.has_id)
        flow_try (flow);
      else
        flow_abort (flow);
      return;
    }
  reply_reset (&flow->reply);
  if (again)
    flow_try (flow);
  else
    flow_give_up (flow);
}

void
flow_give_up (struct flow *flow)
{
  if (reply_started (&flow->reply))
    flow_abort (flow);
  else if (attempt_verdict (&flow->record) == VERDICT_NOT_RUN)
    flow_refuse (flow, REFUSAL_NO_UPSTREAM, RETRY_AFTER_MS);
  else
    flow_refuse (flow, REFUSAL_UPSTREAM_FAILED, 0);
}

/* Progress. */

static void
on_sending (void *user)
{
  struct flow *flow = user;

  flow->sends++;
  attempt_advance (&flow->record, ATTEMPT_SENDING,
                   gateway_now_ns (flow->gateway));
}

static void
on_sent (void *user)
{
  struct flow *flow = user;

  attempt_advance (&flow->record, ATTEMPT_SENT,
                   gateway_now_ns (flow->gateway));
}

static void
on_draining (void *user)
{
  (void)user;
}

/* An upstream that ran a request and failed it may do better elsewhere. */
static bool
repeatable_failure (const struct flow *flow, int status)
{
  return status >= 500 && flow->record.idempotent
         && !reply_started (&flow->reply);
}

static void
on_responding (void *user, int status, const struct upstream_header *headers,
               size_t count)
{
  struct flow *flow = user;
  struct gateway *gateway = flow->gateway;
  struct roster_upstream *upstream
      = roster_find (&gateway->roster, flow->upstream_id);
  const struct reply_head head = {
    .status = status,
    .headers = headers,
    .count = count,
    .passes = gateway->adapter->response_passes,
    .held_max_bytes = flow->streams ? 0 : HELD_MAX,
  };
  struct adapter_told told;

  attempt_advance (&flow->record, ATTEMPT_RESPONDING,
                   gateway_now_ns (gateway));
  observe (flow);
  began (flow);
  flow->began = true;
  flow_capacity_changed (gateway);
  gateway->adapter->read_response (headers, count, &told);
  if (upstream != NULL && told.has_load)
    {
      upstream->load.told_running = told.running;
      upstream->load.told_waiting = told.waiting;
      upstream->load.told_ns = gateway_now_ns (gateway);
    }
  /* A success that no upstream vouches for is none. */
  flow->granted = repeatable_failure (flow, status) && flow_may_repeat (flow);
  flow->discard = flow->granted || (!told.has_signature && status < 300)
                  || (reply_started (&flow->reply) && status != 200);
  if (flow->discard || reply_started (&flow->reply))
    return;
  if (status >= 300)
    flow->streams = false;
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
    pass_on (flow, data);
}

static void
pass_on (struct flow *flow, struct evbuffer *data)
{
  struct evbuffer *whole;

  if (flow->first_ns == 0)
    flow->first_ns = gateway_now_ns (flow->gateway);
  if (!flow->streams)
    {
      reply_body (&flow->reply, data);
      pause_if_behind (flow);
      return;
    }
  whole = evbuffer_new ();
  if (whole == NULL || sse_feed (&flow->sse, data, whole) != 0)
    {
      if (whole != NULL)
        evbuffer_free (whole);
      flow_cancel (flow);
      flow_abort (flow);
      return;
    }
  if (evbuffer_get_length (whole) > 0)
    reply_body (&flow->reply, whole);
  evbuffer_free (whole);
  pause_if_behind (flow);
}

static void
pause_if_behind (struct flow *flow)
{
  if (flow->paused || !reply_started (&flow->reply)
      || httpd_pending_bytes (flow->reply.http) <= PENDING_MAX)
    return;
  flow->paused = true;
  upstream_http_driver.pause (flow->attempt, true);
}

static void
on_completed (void *user)
{
  struct flow *flow = user;
  struct gateway *gateway = flow->gateway;
  struct roster_upstream *upstream
      = roster_find (&gateway->roster, flow->upstream_id);

  if (flow->streams && !flow->discard && !sse_between (&flow->sse))
    {
      /* It ends within an event: cut, though its connection says nothing. */
      settle (flow, ERR_TRUNCATED);
      return;
    }
  flow->attempt = NULL;
  if (flow->discard)
    {
      settle (flow, ERR_PROTOCOL);
      return;
    }
  discharge (flow);
  attempt_advance (&flow->record, ATTEMPT_DONE, gateway_now_ns (gateway));
  if (upstream != NULL)
    {
      if (flow->reply.status < 500)
        outlier_success (&upstream->outlier);
      else
        outlier_failure (&upstream->outlier, false, gateway_now_ns (gateway));
    }
  reply_finish (&flow->reply, gateway->draining);
  flow_free (flow);
}

static void
on_failed (void *user, int error)
{
  settle (user, error);
}
