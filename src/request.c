/**
 * @file request.c
 * The life of one client request.
 */
#include "request.h"
#include "request_int.h"
#include "state/err.h"
#include "transport/log.h"
#include "transport/upstream_http.h"
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#define FORWARDED_MAX 64 /**< headers passed on to an upstream */
#define NS_PER_US     1000ULL
#define LOAD_HEADER   "Cherrylanding-Upstream-Load"

/** What a request is checked into before it is queued. */
struct intake
{
  const struct catalog_customer *customer;
  const struct catalog_profile *profile;
  const struct catalog_service *service;
  struct client_path path;
  struct client_prompt prompt;
  const char *body;
  size_t body_size;
};

static enum refusal take_in (struct router *router, evhtp_request_t *http,
                             struct intake *intake);
static enum refusal check_service (struct router *router,
                                   evhtp_request_t *http,
                                   struct intake *intake);
static void answer_probe (struct router *router, evhtp_request_t *http,
                          enum client_target target);
static void choose_id (struct router *router, evhtp_request_t *http,
                       char id[CLIENT_REQUEST_ID_SIZE]);
static struct request *request_new (struct router *router,
                                    evhtp_request_t *http, const char *id,
                                    const struct intake *intake);
static void request_free (struct request *request);
static char *upstream_path (evhtp_request_t *http,
                            const struct client_path *path);
static void connect_upstream (struct request *request,
                              const struct dispatch_action *action);
static size_t forward_headers (const struct request *request,
                               struct upstream_header *out, size_t count);
static void raise_event (struct request *request,
                         enum dispatch_event_kind kind);
static void raise_progress (struct request *request,
                            enum dispatch_event_kind kind);
static void raise_failure (struct request *request, int error);
static void refuse (struct request *request,
                    const struct dispatch_action *action);
static void count_end (struct request *request, enum log_message message);
static void log_end (struct request *request, enum log_message message,
                     enum verdict verdict, enum refusal refusal);
static enum verdict verdict_now (const struct request *request);

static void note_load (struct request *request,
                       const struct upstream_header *headers, size_t count);

static void on_sending (void *user);
static void on_sent (void *user);
static void on_responding (void *user, int status,
                           const struct upstream_header *headers,
                           size_t count);
static void on_body (void *user, struct evbuffer *data);
static void on_completed (void *user);
static void on_failed (void *user, int error);
static void on_draining (void *user);

static const struct upstream_events upstream_events = {
  .sending = on_sending,
  .sent = on_sent,
  .responding = on_responding,
  .body = on_body,
  .completed = on_completed,
  .failed = on_failed,
  .draining = on_draining,
};

uint64_t
request_handle (const struct request *request)
{
  return (uint64_t)(uintptr_t)request;
}

/* From the client. */

void
request_arrived (void *user, evhtp_request_t *http)
{
  struct router *router = user;
  struct intake intake = { .customer = NULL };
  char id[CLIENT_REQUEST_ID_SIZE];
  struct request *request = NULL;
  enum refusal refusal;

  client_parse_path (http->uri->path->full, &intake.path);
  if (intake.path.target == CLIENT_HEALTHZ
      || intake.path.target == CLIENT_READYZ)
    {
      answer_probe (router, http, intake.path.target);
      return;
    }
  choose_id (router, http, id);
  refusal = take_in (router, http, &intake);
  if (refusal == REFUSAL_NONE)
    request = request_new (router, http, id, &intake);
  if (request == NULL)
    {
      refusal = refusal == REFUSAL_NONE ? REFUSAL_ROUTER_FULL : refusal;
      router->refused[refusal]++;
      request_reply_refuse (http, id, refusal, VERDICT_NOT_RUN);
      LOG (LOG_REQUEST_REFUSED, id,
           LOG_S ("reason", refusal_info (refusal)->code),
           LOG_U ("status", refusal_info (refusal)->status),
           LOG_S ("verdict", verdict_name (VERDICT_NOT_RUN)));
      return;
    }
  httpd_bind (http, request);
  httpd_hold (http);
  router_handle (router,
                 &(struct dispatch_event){
                     .kind = DISPATCH_ARRIVED,
                     .request = request_handle (request),
                     .u.arrival = { .customer_id = intake.customer->id,
                                    .profile_id = intake.profile->id,
                                    .input_units = intake.prompt.input_units,
                                    .prefix_hash = intake.prompt.prefix_hash },
                 });
}

static void
answer_probe (struct router *router, evhtp_request_t *http,
              enum client_target target)
{
  bool up = target == CLIENT_HEALTHZ || router_ready (router);

  evbuffer_add_printf (http->buffer_out, "%s\n", up ? "ok" : "not ready");
  evhtp_send_reply (http, up ? 200 : 503);
}

static void
choose_id (struct router *router, evhtp_request_t *http,
           char id[CLIENT_REQUEST_ID_SIZE])
{
  const char *given
      = evhtp_header_find (http->headers_in, CLIENT_HEADER_REQUEST_ID);

  if (given != NULL && client_request_id_valid (given))
    snprintf (id, CLIENT_REQUEST_ID_SIZE, "%s", given);
  else
    snprintf (id, CLIENT_REQUEST_ID_SIZE, "%016llx-%llx-%llx",
              (unsigned long long)router->self.instance_id,
              (unsigned long long)router->self.incarnation,
              (unsigned long long)++router->request_sequence);
}

static enum refusal
take_in (struct router *router, evhtp_request_t *http, struct intake *intake)
{
  const char *given
      = evhtp_header_find (http->headers_in, CLIENT_HEADER_REQUEST_ID);
  const char *profile
      = evhtp_header_find (http->headers_in, CLIENT_HEADER_PROFILE);
  uint8_t digest[CATALOG_KEY_HASH_SIZE];

  if (router->draining)
    return REFUSAL_DRAINING;
  if (!router_ready (router))
    return REFUSAL_NOT_READY;
  if (client_key_digest (evhtp_header_find (http->headers_in, "Authorization"),
                         digest)
      != 0)
    return REFUSAL_NO_KEY;
  intake->customer = catalog_customer_by_key (&router->catalog, digest);
  if (intake->customer == NULL)
    return REFUSAL_NO_KEY;
  if (given != NULL && !client_request_id_valid (given))
    return REFUSAL_BAD_REQUEST;
  if (intake->path.target == CLIENT_UNKNOWN)
    return REFUSAL_NO_SERVICE;
  if (profile == NULL)
    return REFUSAL_BAD_REQUEST;
  intake->profile = catalog_profile (&router->catalog, catalog_id (profile));
  if (intake->profile == NULL)
    return REFUSAL_NO_PROFILE;
  intake->service
      = catalog_service (&router->catalog, intake->profile->service_id);
  if (intake->service == NULL)
    return REFUSAL_NO_SERVICE;
  return check_service (router, http, intake);
}

/* The path must ask for what the profile's service is, and an engine's body
   must be an object. */
static enum refusal
check_service (struct router *router, evhtp_request_t *http,
               struct intake *intake)
{
  size_t size = evbuffer_get_length (http->buffer_in);

  (void)router;
  intake->body_size = size;
  intake->body
      = size == 0 ? "" : (const char *)evbuffer_pullup (http->buffer_in, -1);
  if (intake->body == NULL)
    return REFUSAL_ROUTER_FULL;
  if (intake->path.target == CLIENT_PLAIN)
    return intake->service->kind == CATALOG_PLAIN
                   && strcmp (intake->path.service, intake->service->name) == 0
               ? REFUSAL_NONE
               : REFUSAL_NO_SERVICE;
  if (intake->service->kind != CATALOG_ENGINE)
    return REFUSAL_NO_SERVICE;
  if (http->method != htp_method_POST
      || client_parse_prompt (intake->body, size, &intake->prompt) != 0)
    return REFUSAL_BAD_REQUEST;
  return REFUSAL_NONE;
}

static struct request *
request_new (struct router *router, evhtp_request_t *http, const char *id,
             const struct intake *intake)
{
  struct request *request = calloc (1, sizeof (*request));
  struct router_counter *counter
      = router_counter (router, intake->customer->id, intake->service->id);

  if (request == NULL || counter == NULL)
    {
      free (request);
      return NULL;
    }
  request->router = router;
  request->http = http;
  memcpy (request->id, id, sizeof (request->id));
  memcpy (request->customer, intake->customer->name,
          sizeof (request->customer));
  memcpy (request->profile, intake->profile->name, sizeof (request->profile));
  request->customer_id = intake->customer->id;
  request->service_id = intake->service->id;
  request->body = intake->body;
  request->body_size = intake->body_size;
  request->engine = intake->service->kind == CATALOG_ENGINE;
  request->idempotent = intake->profile->idempotent;
  request->resumable = request->engine && intake->service->resumable;
  request->arrival_ns = router_now_ns (router);
  request->path = upstream_path (http, &intake->path);
  if (request->path == NULL)
    {
      free (request);
      return NULL;
    }
  counter->accepted++;
  return request;
}

static void
request_free (struct request *request)
{
  free (request->path);
  free (request);
}

static char *
upstream_path (evhtp_request_t *http, const struct client_path *path)
{
  const unsigned char *query = http->uri->query_raw;
  char *out = NULL;

  if (asprintf (&out, "%s%s%s", path->rest,
                query != NULL && *query != '\0' ? "?" : "",
                query != NULL ? (const char *)query : "")
      < 0)
    return NULL;
  return out;
}

void
request_gone (void *user, void *request_user)
{
  struct request *request = request_user;

  request->http = NULL;
  log_end (request, LOG_CLIENT_GONE, verdict_now (request), REFUSAL_NONE);
  router_handle (user, &(struct dispatch_event){
                           .kind = DISPATCH_CLIENT_GONE,
                           .request = request_handle (request),
                       });
}

void
request_drained (void *user, void *request_user)
{
  struct router *router = user;
  struct request *request = request_user;

  if (!request->paused || request->attempt == NULL)
    return;
  request->paused = false;
  router->driver->pause (request->attempt, false);
}

void
request_refuse_raw (void *user, enum refusal refusal, const char *request_id,
                    struct evbuffer *out)
{
  struct router *router = user;

  if (request_id == NULL || !client_request_id_valid (request_id))
    request_id = "none";
  router->refused[refusal]++;
  client_refusal_response (out, refusal, request_id);
  LOG (LOG_REQUEST_REFUSED, request_id,
       LOG_S ("reason", refusal_info (refusal)->code),
       LOG_U ("status", refusal_info (refusal)->status),
       LOG_S ("verdict", verdict_name (VERDICT_NOT_RUN)));
}

/* From the dispatcher. */

void
request_perform (struct router *router, const struct dispatch_action *action)
{
  struct request *request = (struct request *)(uintptr_t)action->request;

  switch (action->kind)
    {
    case DISPATCH_CONNECT:
      connect_upstream (request, action);
      break;
    case DISPATCH_CANCEL:
      if (request->attempt != NULL)
        router->driver->cancel (request->attempt);
      request->attempt = NULL;
      break;
    case DISPATCH_REFUSE:
      refuse (request, action);
      break;
    case DISPATCH_ABORT:
      log_end (request, LOG_REQUEST_ABORTED, action->verdict, action->refusal);
      request_reply_abort (request);
      break;
    case DISPATCH_FINISH:
      request_reply_finish (request);
      log_end (request, LOG_REQUEST_DONE, VERDICT_RAN, REFUSAL_NONE);
      break;
    case DISPATCH_FORGET:
      request_free (request);
      break;
    case DISPATCH_IDLE:
    case DISPATCH_ACTION_MAX:
      break;
    }
}

static void
connect_upstream (struct request *request,
                  const struct dispatch_action *action)
{
  struct router *router = request->router;
  const struct catalog_service *service
      = catalog_service (&router->catalog, request->service_id);
  const struct catalog_upstream *upstream
      = service == NULL ? NULL
                        : catalog_upstream (service, action->upstream_id);
  struct upstream_header headers[FORWARDED_MAX + 2];
  char number[12];
  struct upstream_request start = {
    .request_id = request->id,
    .method = htparser_get_methodstr_m (request->http->method),
    .path = request->path,
    .headers = headers,
    .body = request->body,
    .body_size = request->body_size,
    .idempotent = request->idempotent,
    .resume_offset = action->resume ? request->delivered_bytes : 0,
    .service = service,
    .upstream = upstream,
  };

  request->attempt_number = action->attempt;
  request->upstream_id = action->upstream_id;
  request->upstream_draining = false;
  request->paused = false;
  if (request->first_attempt_ns == 0)
    request->first_attempt_ns = router_now_ns (router);
  snprintf (number, sizeof (number), "%u", action->attempt);
  headers[0] = (struct upstream_header){ "Cherrylanding-Customer",
                                         request->customer };
  headers[1] = (struct upstream_header){ "Cherrylanding-Attempt", number };
  start.header_count = forward_headers (request, headers, 2);
  if (upstream != NULL)
    request->attempt = router->driver->start (router->driver_state, &start,
                                              &upstream_events, request);
  LOG (LOG_ATTEMPT_STARTED, request->id, LOG_U ("attempt", action->attempt),
       LOG_S ("upstream", upstream == NULL ? "" : upstream->address));
  if (request->attempt == NULL)
    raise_failure (request, ERR_REFUSED);
  else
    raise_event (request, DISPATCH_CONNECTING);
}

static size_t
forward_headers (const struct request *request, struct upstream_header *out,
                 size_t count)
{
  const evhtp_header_t *header;
  size_t end = count + FORWARDED_MAX;

  TAILQ_FOREACH (header, request->http->headers_in, next)
  {
    if (count < end && client_header_passes (header->key))
      out[count++] = (struct upstream_header){ header->key, header->val };
  }
  return count;
}

static void
refuse (struct request *request, const struct dispatch_action *action)
{
  evhtp_request_t *http = request->http;

  request->router->refused[action->refusal]++;
  request->status = refusal_info (action->refusal)->status;
  log_end (request, LOG_REQUEST_REFUSED, action->verdict, action->refusal);
  request_reply_reset (request);
  request->http = NULL;
  request->reply = REQUEST_REPLY_OVER;
  request_reply_refuse (http, request->id, action->refusal, action->verdict);
  httpd_bind (http, NULL);
  httpd_release (http);
}

/* From the upstream. */

static void
raise_event (struct request *request, enum dispatch_event_kind kind)
{
  router_handle (request->router, &(struct dispatch_event){
                                      .kind = kind,
                                      .request = request_handle (request),
                                      .attempt = request->attempt_number,
                                  });
}

static void
raise_progress (struct request *request, enum dispatch_event_kind kind)
{
  router_handle (
      request->router,
      &(struct dispatch_event){
          .kind = kind,
          .request = request_handle (request),
          .attempt = request->attempt_number,
          .u.progress
          = { .output_units
              = request->engine ? usage_output (&request->usage) : 0,
              .client_started = request_reply_started (request),
              .draining = request->upstream_draining },
      });
}

static void
raise_failure (struct request *request, int error)
{
  router_handle (
      request->router,
      &(struct dispatch_event){
          .kind = DISPATCH_FAILED,
          .request = request_handle (request),
          .attempt = request->attempt_number,
          .u.failure
          = { .error = error,
              .resumable = request->resumable && request->delivered_bytes > 0,
              .client_started = request_reply_started (request),
              .draining = request->upstream_draining },
      });
}

static void
on_sending (void *user)
{
  raise_event (user, DISPATCH_SENDING);
}

static void
on_sent (void *user)
{
  raise_event (user, DISPATCH_SENT);
}

static void
on_draining (void *user)
{
  struct request *request = user;

  LOG (LOG_UPSTREAM_DRAINING, request->id,
       LOG_U ("upstream_id", request->upstream_id));
  request->upstream_draining = true;
  raise_progress (request, DISPATCH_PROGRESS);
}

static void
note_load (struct request *request, const struct upstream_header *headers,
           size_t count)
{
  struct slots_entry *entry
      = slots_find (&request->router->slots, request->upstream_id);
  size_t i;

  for (i = 0; i < count && entry != NULL; i++)
    if (strcasecmp (headers[i].name, LOAD_HEADER) == 0)
      {
        entry->reported_load = (uint32_t)strtoul (headers[i].value, NULL, 10);
        entry->reported_ns = router_now_ns (request->router);
        return;
      }
}

static void
on_responding (void *user, int status, const struct upstream_header *headers,
               size_t count)
{
  struct request *request = user;
  size_t i;

  note_load (request, headers, count);
  raise_event (request, DISPATCH_RESPONDING);
  /* A resumed response goes on where the last attempt's stopped. */
  if (request_reply_started (request))
    return;
  for (i = 0; i < count; i++)
    if (strcasecmp (headers[i].name, "Content-Type") == 0)
      request->usage.event_stream
          = strncasecmp (headers[i].value, "text/event-stream", 17) == 0;
  request_reply_start (request, status, headers, count);
}

static void
on_body (void *user, struct evbuffer *data)
{
  struct request *request = user;
  struct router *router = request->router;
  size_t limit = router->settings->router->limits.response_buffer_bytes;
  size_t size = evbuffer_get_length (data);

  if (request->engine)
    usage_feed (&request->usage, (const char *)evbuffer_pullup (data, -1),
                size);
  request_reply_body (request, data);
  if (request_reply_started (request) && !request->paused
      && httpd_pending_bytes (request->http) + UPSTREAM_HTTP_READ_MAX > limit)
    {
      request->paused = true;
      router->driver->pause (request->attempt, true);
    }
  if (request->engine)
    raise_progress (request, DISPATCH_PROGRESS);
}

static void
on_completed (void *user)
{
  struct request *request = user;

  request->attempt = NULL;
  raise_progress (request, DISPATCH_COMPLETED);
}

static void
on_failed (void *user, int error)
{
  struct request *request = user;

  request->attempt = NULL;
  LOG (error == ERR_MISMATCH ? LOG_UPSTREAM_MISMATCH : LOG_ATTEMPT_FAILED,
       request->id, LOG_U ("attempt", request->attempt_number),
       LOG_S ("error", err_name (error)));
  request_reply_reset (request);
  raise_failure (request, error);
}

/* The end. */

static enum verdict
verdict_now (const struct request *request)
{
  const struct attempt *attempt
      = dispatch_attempt (request->router->dispatch, request_handle (request));

  return attempt == NULL ? VERDICT_NOT_RUN : attempt_verdict (attempt);
}

static void
log_end (struct request *request, enum log_message message,
         enum verdict verdict, enum refusal refusal)
{
  uint64_t now_ns = router_now_ns (request->router);
  uint64_t start_ns
      = request->first_attempt_ns == 0 ? now_ns : request->first_attempt_ns;

  count_end (request, message);
  LOG (message, request->id, LOG_S ("customer", request->customer),
       LOG_S ("profile", request->profile),
       LOG_U ("status", (uint64_t)request->status),
       LOG_S ("verdict", verdict_name (verdict)),
       LOG_S ("reason",
              refusal == REFUSAL_NONE ? "none" : refusal_info (refusal)->code),
       LOG_U ("attempts", request->attempt_number),
       LOG_U ("bytes", request->delivered_bytes),
       LOG_U ("wait_ms", (start_ns - request->arrival_ns) / CLOCK_NS_PER_MS),
       LOG_U ("total_ms", (now_ns - request->arrival_ns) / CLOCK_NS_PER_MS));
}

static void
count_end (struct request *request, enum log_message message)
{
  struct router_counter *counter = router_counter (
      request->router, request->customer_id, request->service_id);
  uint64_t now_ns = router_now_ns (request->router);

  if (counter == NULL)
    return;
  counter->completed += message == LOG_REQUEST_DONE;
  counter->refused += message == LOG_REQUEST_REFUSED;
  counter->aborted += message == LOG_REQUEST_ABORTED;
  counter->canceled += message == LOG_CLIENT_GONE;
  counter->attempts += request->attempt_number;
  counter->response_bytes += request->delivered_bytes;
  counter->output_units
      += request->engine ? usage_output (&request->usage) : 0;
  if (request->first_attempt_ns != 0)
    counter->wait_us
        += (request->first_attempt_ns - request->arrival_ns) / NS_PER_US;
  counter->total_us += (now_ns - request->arrival_ns) / NS_PER_US;
}
