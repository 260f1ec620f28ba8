/**
 * @file request_upstream.c
 * Starts the attempts of a request at upstreams and handles their events.
 */
#include "request_int.h"
#include "state/err.h"
#include "suspects.h"
#include "transport/log.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

/** 1 / READ_AHEAD_DIVISOR of the response buffer is kept free. */
#define READ_AHEAD_DIVISOR 2
#define LOAD_HEADER        "Cherrylanding-Upstream-Load"
#define OWN_HEADERS_MAX    2 /**< headers that are added to the client's */

static size_t forward_headers (const struct request *request,
                               struct upstream_header *out, size_t count);
static void raise_event (struct request *request,
                         enum dispatch_event_kind kind);
static void raise_progress (struct request *request,
                            enum dispatch_event_kind kind);
static void raise_failure (struct request *request, int error);
static void on_sending (void *user);
static void on_sent (void *user);
static void on_draining (void *user);
static void record_reported_load (struct request *request,
                                  const struct upstream_header *headers,
                                  size_t count);
static void on_responding (void *user, int status,
                           const struct upstream_header *headers,
                           size_t count);
static void pause_if_client_slow (struct request *request);
static void on_body (void *user, struct evbuffer *data);
static void on_completed (void *user);
static void on_failed (void *user, int error);

static const struct upstream_events upstream_events = {
  .sending = on_sending,
  .sent = on_sent,
  .responding = on_responding,
  .body = on_body,
  .completed = on_completed,
  .failed = on_failed,
  .draining = on_draining,
};

void
request_start_attempt (struct request *request,
                       const struct dispatch_action *action)
{
  struct router *router = request->router;
  const struct catalog_service *service
      = catalog_service (&router->catalog, request->service_id);
  const struct catalog_upstream *upstream
      = service == NULL ? NULL
                        : catalog_upstream (service, action->upstream_id);
  struct upstream_header headers[HTTPD_HEADERS_MAX + OWN_HEADERS_MAX];
  char attempt_text[12];
  struct upstream_request outgoing = {
    .request_id = request->id,
    .method = httpd_method (request->reply.http),
    .path = request->path,
    .headers = headers,
    .body = request->body,
    .body_size = request->body_size,
    .idempotent = request->idempotent,
    .repeated = action->attempt > 1,
    .resume_after = action->resume ? request->reply.delivered_bytes : 0,
    .upstream_id = action->upstream_id,
    .address = upstream == NULL ? NULL : upstream->address,
    .idle_timeout_ms = service == NULL ? 0 : service->idle_timeout_ms,
  };

  request->attempt_number = action->attempt;
  request->upstream_id = action->upstream_id;
  request->upstream_draining = false;
  request->paused = false;
  if (request->first_attempt_ns == 0)
    request->first_attempt_ns = router_now_ns (router);
  metrics_attempt (&router->metrics, request->customer_id, request->service_id,
                   action->attempt);
  snprintf (attempt_text, sizeof (attempt_text), "%u", action->attempt);
  headers[0] = (struct upstream_header){ "Cherrylanding-Customer",
                                         request->customer };
  headers[1]
      = (struct upstream_header){ "Cherrylanding-Attempt", attempt_text };
  outgoing.header_count = forward_headers (request, headers, 2);
  raise_event (request, DISPATCH_CONNECTING);
  if (upstream != NULL)
    request->attempt = router->driver->start (router->driver_state, &outgoing,
                                              &upstream_events, request);
  LOG (LOG_ATTEMPT_STARTED, request->id, LOG_U ("attempt", action->attempt),
       LOG_S ("upstream", upstream == NULL ? "" : upstream->address));
  if (request->attempt == NULL)
    raise_failure (request, ERR_REFUSED);
}

static size_t
forward_headers (const struct request *request, struct upstream_header *out,
                 size_t count)
{
  const evhtp_header_t *header;

  TAILQ_FOREACH (header, request->reply.http->headers_in, next)
  {
    if (count < HTTPD_HEADERS_MAX + OWN_HEADERS_MAX
        && client_header_is_forwarded (header->key))
      out[count++] = (struct upstream_header){ header->key, header->val };
  }
  return count;
}

static void
raise_event (struct request *request, enum dispatch_event_kind kind)
{
  router_handle_event (request->router,
                       &(struct dispatch_event){
                           .kind = kind,
                           .request = request_handle (request),
                           .attempt = request->attempt_number,
                       });
}

static void
raise_progress (struct request *request, enum dispatch_event_kind kind)
{
  router_handle_event (
      request->router,
      &(struct dispatch_event){
          .kind = kind,
          .request = request_handle (request),
          .attempt = request->attempt_number,
          .u.progress
          = { .output_tokens
              = request->is_engine ? usage_output_tokens (&request->usage) : 0,
              .client_started = reply_started (&request->reply),
              .draining = request->upstream_draining },
      });
}

static void
raise_failure (struct request *request, int error)
{
  router_handle_event (
      request->router,
      &(struct dispatch_event){
          .kind = DISPATCH_FAILED,
          .request = request_handle (request),
          .attempt = request->attempt_number,
          .u.failure = { .error = error,
                         .resumable = request->resumable
                                      && request->reply.delivered_bytes > 0,
                         .client_started = reply_started (&request->reply),
                         .draining = request->upstream_draining,
                         .final = !suspects_attempt_failed (request, error) },
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
record_reported_load (struct request *request,
                      const struct upstream_header *headers, size_t count)
{
  struct slots_entry *entry
      = slots_find (&request->router->slots, request->upstream_id);
  size_t i;

  for (i = 0; i < count && entry != NULL; i++)
    if (strcasecmp (headers[i].name, LOAD_HEADER) == 0)
      {
        entry->reported_running
            = (uint32_t)strtoul (headers[i].value, NULL, 10);
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

  record_reported_load (request, headers, count);
  raise_event (request, DISPATCH_RESPONDING);
  /* A resumed attempt continues the response that was already started. */
  if (reply_started (&request->reply))
    return;
  for (i = 0; i < count; i++)
    if (strcasecmp (headers[i].name, "Content-Type") == 0)
      request->usage.event_stream
          = strncasecmp (headers[i].value, "text/event-stream", 17) == 0;
  request_reply_start (request, status, headers, count);
  /* From now on the client gets no other response. */
  if (reply_started (&request->reply))
    raise_progress (request, DISPATCH_PROGRESS);
}

/* Pauses reading from the upstream while the client is slow.  A part of the
   buffer stays free for what the driver may have read already. */
static void
pause_if_client_slow (struct request *request)
{
  struct router *router = request->router;
  const size_t limit = router_response_bytes (router);
  size_t pending;

  if (!reply_started (&request->reply) || request->paused)
    return;
  pending = httpd_pending_bytes (request->reply.http);
  if (pending == 0 || pending <= limit - limit / READ_AHEAD_DIVISOR)
    return;
  request->paused = true;
  router->driver->pause (request->attempt, true);
}

static void
on_body (void *user, struct evbuffer *data)
{
  struct request *request = user;
  size_t size = evbuffer_get_length (data);

  if (request->first_body_ns == 0)
    request->first_body_ns = router_now_ns (request->router);
  if (request->is_engine)
    usage_feed (&request->usage, (const char *)evbuffer_pullup (data, -1),
                size);
  reply_send_body (&request->reply, data);
  pause_if_client_slow (request);
  if (request->is_engine)
    raise_progress (request, DISPATCH_PROGRESS);
}

static void
on_completed (void *user)
{
  struct request *request = user;

  request->attempt = NULL;
  suspects_completed (request);
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
