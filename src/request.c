/**
 * @file request.c
 * Performs the actions of the dispatcher on client requests, and logs and
 * counts how requests end.
 */
#include "request.h"
#include "request_int.h"
#include "transport/log.h"
#include <stdlib.h>

static void refuse (struct request *request,
                    const struct dispatch_action *action);
static enum verdict current_verdict (const struct request *request);
static void record_end (struct request *request, enum metrics_outcome outcome,
                        enum verdict verdict, enum refusal refusal);
static void update_metrics (struct request *request,
                            enum metrics_outcome outcome);

static const enum log_message end_messages[METRICS_OUTCOME_MAX] = {
  [METRICS_COMPLETED] = LOG_REQUEST_DONE,
  [METRICS_REFUSED] = LOG_REQUEST_REFUSED,
  [METRICS_ABORTED] = LOG_REQUEST_ABORTED,
  [METRICS_CANCELED] = LOG_CLIENT_GONE,
};

uint64_t
request_handle (const struct request *request)
{
  return (uint64_t)(uintptr_t)request;
}

void
request_client_disconnected (void *user, void *request_user)
{
  struct request *request = request_user;

  request->reply.http = NULL;
  record_end (request, METRICS_CANCELED, current_verdict (request),
              REFUSAL_NONE);
  router_handle_event (user, &(struct dispatch_event){
                                 .kind = DISPATCH_CLIENT_DISCONNECTED,
                                 .request = request_handle (request),
                             });
}

void
request_output_drained (void *user, void *request_user)
{
  struct router *router = user;
  struct request *request = request_user;

  if (!request->paused || request->attempt == NULL)
    return;
  request->paused = false;
  router->driver->pause (request->attempt, false);
}

void
request_perform_action (struct router *router,
                        const struct dispatch_action *action)
{
  struct request *request = (struct request *)(uintptr_t)action->request;

  switch (action->kind)
    {
    case DISPATCH_CONNECT:
      request_start_attempt (request, action);
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
      record_end (request, METRICS_ABORTED, action->verdict, action->refusal);
      reply_abort (&request->reply);
      break;
    case DISPATCH_FINISH:
      record_end (request,
                  reply_finish (&request->reply, router->draining) == 0
                      ? METRICS_COMPLETED
                      : METRICS_ABORTED,
                  VERDICT_RAN, REFUSAL_NONE);
      break;
    case DISPATCH_RELEASE:
      request_free (request);
      break;
    case DISPATCH_SLOT_IDLE:
    case DISPATCH_ACTION_MAX:
      break;
    }
}

void
request_free (struct request *request)
{
  free (request->path);
  free (request);
}

static void
refuse (struct request *request, const struct dispatch_action *action)
{
  evhtp_request_t *http = request->reply.http;

  metrics_refused (&request->router->metrics, action->refusal);
  request->reply.status = refusal_info (action->refusal)->status;
  record_end (request, METRICS_REFUSED, action->verdict, action->refusal);
  request_reply_reset (request);
  request_reply_refuse (http, request->id, action->refusal, action->verdict);
  reply_release (&request->reply, request->router->draining);
}

static enum verdict
current_verdict (const struct request *request)
{
  const struct attempt *attempt
      = dispatch_attempt (request->router->dispatch, request_handle (request));

  return attempt == NULL ? VERDICT_NOT_RUN : attempt_verdict (attempt);
}

static void
record_end (struct request *request, enum metrics_outcome outcome,
            enum verdict verdict, enum refusal refusal)
{
  uint64_t now_ns = router_now_ns (request->router);
  uint64_t start_ns
      = request->first_attempt_ns == 0 ? now_ns : request->first_attempt_ns;

  update_metrics (request, outcome);
  LOG (end_messages[outcome], request->id,
       LOG_S ("customer", request->customer),
       LOG_S ("profile", request->profile),
       LOG_U ("status", (uint64_t)request->reply.status),
       LOG_S ("verdict", verdict_name (verdict)),
       LOG_S ("reason",
              refusal == REFUSAL_NONE ? "none" : refusal_info (refusal)->code),
       LOG_U ("attempts", request->attempt_number),
       LOG_U ("bytes", request->reply.delivered_bytes),
       LOG_U ("wait_ms", (start_ns - request->arrival_ns) / CLOCK_NS_PER_MS),
       LOG_U ("total_ms", (now_ns - request->arrival_ns) / CLOCK_NS_PER_MS));
}

static void
update_metrics (struct request *request, enum metrics_outcome outcome)
{
  struct metrics *metrics = &request->router->metrics;
  struct metrics_customer_service *counts = metrics_customer_service (
      metrics, request->customer_id, request->service_id);
  struct metrics_service *service
      = metrics_service (metrics, request->service_id);
  uint64_t now_ns = router_now_ns (request->router);

  metrics_outcome (metrics, request->customer_id, request->service_id,
                   outcome);
  if (counts == NULL || service == NULL)
    return;
  counts->response_bytes += request->reply.delivered_bytes;
  if (request->is_engine)
    counts->output_tokens += usage_output_tokens (&request->usage);
  if (request->first_attempt_ns != 0)
    hist_observe (&service->wait,
                  (request->first_attempt_ns - request->arrival_ns)
                      / CLOCK_NS_PER_US);
  if (request->first_body_ns != 0)
    hist_observe (&service->first_response,
                  (request->first_body_ns - request->arrival_ns)
                      / CLOCK_NS_PER_US);
  hist_observe (&service->total,
                (now_ns - request->arrival_ns) / CLOCK_NS_PER_US);
}
