/**
 * @file dispatch_run.c
 * Path of a request from the queue to its end: selection, attempts, retries
 * and deadlines.
 */
#include "state/dispatch_int.h"
#include "state/err.h"

static int start_attempt (struct dispatch_context *context,
                          struct dispatch_request *request,
                          uint64_t upstream_id);
static int release_slot (struct dispatch_context *context,
                         struct dispatch_request *request);
static int retry (struct dispatch_context *context,
                  struct dispatch_request *request);
static enum refusal check_retry (struct dispatch_context *context,
                                 const struct dispatch_request *request);
static int advance_attempt (struct dispatch_context *context,
                            enum attempt_step step);
static int reuse_slot (struct dispatch_context *context, uint64_t service_id,
                       uint64_t upstream_id);
static void lower_running_deadline (struct dispatch *dispatch,
                                    const struct dispatch_request *request);
static int expire_running (struct dispatch_context *context);
static int refuse_unservable (struct dispatch_context *context);

/* Dispatch. */

int
dispatch_start_queued (struct dispatch_context *context, uint64_t service_id)
{
  struct dispatch *dispatch = context->dispatch;
  struct placement_request placement = {
    .service = catalog_service (dispatch->config.catalog, service_id),
    .availability_zone = dispatch->availability_zone,
    .now_ns = context->now_ns,
  };
  struct dispatch_request *request;
  uint64_t upstream_id;
  int error;

  if (placement.service == NULL)
    return 0;
  for (;;)
    {
      request = dispatch_select_next (dispatch, service_id);
      if (request == NULL)
        return 0;
      placement.prefix_hash = request->prefix_hash;
      placement.failed_upstream_id = request->failed_upstream_id;
      upstream_id = 0;
      if (dispatch_may_fill_slot (dispatch, service_id, context->now_ns))
        upstream_id = dispatch->config.placement->choose (
            dispatch->config.slots, &placement);
      if (upstream_id == 0)
        {
          request->out_of_turn = false;
          return 0;
        }
      error = start_attempt (context, request, upstream_id);
      if (error != 0)
        return error;
    }
}

int
dispatch_start_queued_all (struct dispatch_context *context)
{
  const struct catalog_service *service
      = context->dispatch->config.catalog->services;
  int error = 0;

  for (; service != NULL && error == 0; service = service->hh.next)
    error = dispatch_start_queued (context, service->id);
  return error;
}

static int
start_attempt (struct dispatch_context *context,
               struct dispatch_request *request, uint64_t upstream_id)
{
  struct dispatch *dispatch = context->dispatch;
  int error
      = slots_acquire (dispatch->config.slots, upstream_id, context->now_ns);

  if (error != 0)
    return error;
  dispatch_dequeue (dispatch, request);
  error = attempt_start (&request->attempt, upstream_id, context->now_ns);
  if (error == 0)
    error = dispatch_charge_reserve (dispatch, request);
  if (error == 0 && request->attempt.number == 1)
    error = retry_budget_earn (&dispatch->budgets, request->node.customer_id);
  if (error != 0)
    {
      slots_release (dispatch->config.slots, upstream_id);
      dispatch_enqueue (context, request, true);
      return error;
    }
  request->running = true;
  request->demand->running++;
  request->started_ns = context->now_ns;
  lower_running_deadline (dispatch, request);
  return dispatch_emit (context, &(struct dispatch_action){
                                     .kind = DISPATCH_CONNECT,
                                     .request = request->handle,
                                     .attempt = request->attempt.number,
                                     .upstream_id = upstream_id,
                                     .resume = request->client_started,
                                 });
}

/* Ends the running state of a request and releases its slot. */
static int
release_slot (struct dispatch_context *context,
              struct dispatch_request *request)
{
  struct slots *slots = context->dispatch->config.slots;
  uint64_t upstream_id = request->attempt.upstream_id;

  if (!request->running)
    return 0;
  request->running = false;
  request->demand->running--;
  request->slot_ns += context->now_ns - request->started_ns;
  slots_release (slots, upstream_id);
  return 0;
}

/* Uses a released slot: starts the next request, or reports the slot idle. */
static int
reuse_slot (struct dispatch_context *context, uint64_t service_id,
            uint64_t upstream_id)
{
  const struct slots_entry *entry;
  int error = dispatch_start_queued (context, service_id);

  if (error != 0)
    return error;
  entry = slots_find (context->dispatch->config.slots, upstream_id);
  if (entry == NULL || slots_free (entry, context->now_ns) == 0
      || queue_waiting_service (context->dispatch->queue, service_id) > 0)
    return 0;
  return dispatch_emit (context, &(struct dispatch_action){
                                     .kind = DISPATCH_SLOT_IDLE,
                                     .upstream_id = upstream_id,
                                 });
}

/* Attempts. */

static int
advance_attempt (struct dispatch_context *context, enum attempt_step step)
{
  return attempt_advance (&context->request->attempt, step, context->now_ns);
}

int
dispatch_on_connecting (struct dispatch_context *context)
{
  return advance_attempt (context, ATTEMPT_CONNECTING);
}

int
dispatch_on_sending (struct dispatch_context *context)
{
  return advance_attempt (context, ATTEMPT_SENDING);
}

int
dispatch_on_sent (struct dispatch_context *context)
{
  return advance_attempt (context, ATTEMPT_SENT);
}

int
dispatch_on_responding (struct dispatch_context *context)
{
  dispatch_record_response (context->dispatch,
                            context->request->attempt.upstream_id);
  return advance_attempt (context, ATTEMPT_RESPONDING);
}

int
dispatch_on_progress (struct dispatch_context *context)
{
  struct dispatch_request *request = context->request;

  request->client_started |= context->event->u.progress.client_started;
  if (context->event->u.progress.output_tokens > request->output_tokens)
    request->output_tokens = context->event->u.progress.output_tokens;
  if (context->event->u.progress.draining)
    dispatch_record_failure (context->dispatch, request->attempt.upstream_id,
                             true, true, context->now_ns);
  return dispatch_charge_progress (context->dispatch, request,
                                   context->now_ns);
}

int
dispatch_on_completed (struct dispatch_context *context)
{
  struct dispatch_request *request = context->request;
  uint64_t upstream_id = request->attempt.upstream_id;
  uint64_t service_id = request->node.service_id;
  uint64_t handle = request->handle;
  int error = advance_attempt (context, ATTEMPT_DONE);

  if (error != 0)
    return error;
  if (context->event->u.progress.output_tokens > request->output_tokens)
    request->output_tokens = context->event->u.progress.output_tokens;
  release_slot (context, request);
  dispatch_settle (context->dispatch, request, true, context->now_ns);
  dispatch_request_free (context->dispatch, request);
  error = dispatch_emit_kind (context, handle, DISPATCH_FINISH);
  if (error == 0)
    error = dispatch_emit_kind (context, handle, DISPATCH_RELEASE);
  if (error != 0)
    return error;
  return reuse_slot (context, service_id, upstream_id);
}

int
dispatch_on_failed (struct dispatch_context *context)
{
  struct dispatch_request *request = context->request;
  uint64_t upstream_id = request->attempt.upstream_id;
  uint64_t service_id = request->node.service_id;
  int error;

  request->client_started |= context->event->u.failure.client_started;
  dispatch_record_failure (
      context->dispatch, upstream_id, request->attempt.step >= ATTEMPT_SENDING,
      context->event->u.failure.draining, context->now_ns);
  if (context->event->u.failure.error == ERR_UNAVAILABLE
      && !request->client_started)
    attempt_mark_rejected (&request->attempt);
  release_slot (context, request);
  request->failed_upstream_id = upstream_id;
  error = retry (context, request);
  if (error != 0)
    return error;
  return reuse_slot (context, service_id, upstream_id);
}

static int
retry (struct dispatch_context *context, struct dispatch_request *request)
{
  enum refusal refusal = check_retry (context, request);

  if (refusal != REFUSAL_NONE)
    return dispatch_refuse (context, request, refusal);
  if (!request->client_started)
    request->output_tokens = 0;
  return dispatch_enqueue (context, request, true);
}

static enum refusal
check_retry (struct dispatch_context *context,
             const struct dispatch_request *request)
{
  const struct catalog_service *service = catalog_service (
      context->dispatch->config.catalog, request->node.service_id);

  if (request->node.deadline_ns <= context->now_ns)
    return REFUSAL_DEADLINE;
  if (!attempt_may_retry (&request->attempt) || context->event->u.failure.final
      || (request->client_started && !context->event->u.failure.resumable))
    return REFUSAL_UPSTREAM_FAILED;
  if (service == NULL || !dispatch_service_usable (context->dispatch, service))
    return REFUSAL_NO_UPSTREAM;
  /* A retry caused by draining is exempt from the retry budget: an upstream
     drains only once, so it cannot start a retry storm. */
  if (!context->event->u.failure.draining
      && retry_budget_spend (&context->dispatch->budgets,
                             request->node.customer_id)
             != 0)
    return REFUSAL_RETRY_BUDGET;
  return REFUSAL_NONE;
}

/* End of a request. */

int
dispatch_refuse (struct dispatch_context *context,
                 struct dispatch_request *request, enum refusal refusal)
{
  struct dispatch *dispatch = context->dispatch;
  struct dispatch_action action = {
    .kind = request->client_started ? DISPATCH_ABORT : DISPATCH_REFUSE,
    .request = request->handle,
    .attempt = request->attempt.number,
    .refusal = refusal,
    .verdict = attempt_verdict (&request->attempt),
  };
  int error;

  dispatch_dequeue (dispatch, request);
  release_slot (context, request);
  dispatch_settle (dispatch, request, false, context->now_ns);
  dispatch_request_free (dispatch, request);
  error = dispatch_emit (context, &action);
  if (error != 0)
    return error;
  return dispatch_emit_kind (context, action.request, DISPATCH_RELEASE);
}

int
dispatch_on_client_disconnected (struct dispatch_context *context)
{
  struct dispatch_request *request = context->request;
  uint64_t upstream_id = request->attempt.upstream_id;
  uint64_t service_id = request->node.service_id;
  uint64_t handle = request->handle;
  bool running = request->running;
  int error = 0;

  if (running)
    error = dispatch_emit (context, &(struct dispatch_action){
                                        .kind = DISPATCH_CANCEL,
                                        .request = handle,
                                        .attempt = request->attempt.number,
                                    });
  dispatch_dequeue (context->dispatch, request);
  release_slot (context, request);
  dispatch_settle (context->dispatch, request, false, context->now_ns);
  dispatch_request_free (context->dispatch, request);
  if (error == 0)
    error = dispatch_emit_kind (context, handle, DISPATCH_RELEASE);
  if (error != 0 || !running)
    return error;
  return reuse_slot (context, service_id, upstream_id);
}

int
dispatch_on_capacity (struct dispatch_context *context)
{
  struct dispatch *dispatch = context->dispatch;
  int error = 0;

  if (dispatch->generation != dispatch->config.catalog->generation)
    {
      dispatch->generation = dispatch->config.catalog->generation;
      error = refuse_unservable (context);
    }
  return error != 0 ? error : dispatch_start_queued_all (context);
}

/* Rejects the queued requests of services without a usable upstream, rather
   than let them wait for their deadlines. */
static int
refuse_unservable (struct dispatch_context *context)
{
  struct dispatch_request *request;
  struct dispatch_request *next;
  const struct catalog_service *service;
  int error;

  for (request = context->dispatch->requests; request != NULL; request = next)
    {
      next = request->hh.next;
      if (!request->node.queued)
        continue;
      service = catalog_service (context->dispatch->config.catalog,
                                 request->node.service_id);
      if (service != NULL
          && dispatch_service_usable (context->dispatch, service))
        continue;
      error = dispatch_refuse (context, request, REFUSAL_NO_UPSTREAM);
      if (error != 0)
        return error;
    }
  return 0;
}

int
dispatch_on_tick (struct dispatch_context *context)
{
  struct dispatch *dispatch = context->dispatch;
  struct queue_node *node;
  int error = 0;

  while (error == 0
         && (node = queue_expired (dispatch->queue, context->now_ns)) != NULL)
    error = dispatch_refuse (context, (struct dispatch_request *)node,
                             REFUSAL_DEADLINE);
  if (error == 0 && dispatch->running_deadline_ns <= context->now_ns)
    error = expire_running (context);
  dispatch_retry_drained (dispatch, context->now_ns);
  if (error == 0)
    error = dispatch_charge_running (dispatch, context->now_ns);
  /* No event reports the end of a backoff or a lease. */
  if (error == 0 && queue_total (dispatch->queue) > 0)
    error = dispatch_start_queued_all (context);
  return error;
}

static int
expire_running (struct dispatch_context *context)
{
  struct dispatch *dispatch = context->dispatch;
  struct dispatch_request *request;
  struct dispatch_request *next;
  uint64_t service_id;
  uint64_t upstream_id;
  int error;

  dispatch->running_deadline_ns = UINT64_MAX;
  for (request = dispatch->requests; request != NULL; request = next)
    {
      next = request->hh.next;
      if (!request->running)
        continue;
      if (request->node.deadline_ns > context->now_ns)
        {
          lower_running_deadline (dispatch, request);
          continue;
        }
      service_id = request->node.service_id;
      upstream_id = request->attempt.upstream_id;
      error = dispatch_emit (context, &(struct dispatch_action){
                                          .kind = DISPATCH_CANCEL,
                                          .request = request->handle,
                                          .attempt = request->attempt.number,
                                      });
      if (error == 0)
        error = dispatch_refuse (context, request, REFUSAL_DEADLINE);
      if (error == 0)
        error = reuse_slot (context, service_id, upstream_id);
      if (error != 0)
        return error;
    }
  return 0;
}

static void
lower_running_deadline (struct dispatch *dispatch,
                        const struct dispatch_request *request)
{
  if (request->node.deadline_ns < dispatch->running_deadline_ns)
    dispatch->running_deadline_ns = request->node.deadline_ns;
}
