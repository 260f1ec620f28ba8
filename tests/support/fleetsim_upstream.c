/**
 * @file fleetsim_upstream.c
 * Requests of the fleet simulator: actions of the dispatcher, and simulated
 * upstreams that advance an attempt through its steps.
 */
#include "state/err.h"
#include "support/fleetsim_int.h"
#include <string.h>

static void perform (struct fleetsim *sim,
                     const struct dispatch_action *action);
static void attempt_open (struct fleetsim *sim,
                          struct fleetsim_request *request,
                          const struct dispatch_action *action);
static void attempt_run_step (struct fleetsim *sim, uint32_t number);
static void attempt_fail (struct fleetsim *sim, uint32_t number, int error);
static bool attempt_triggers_fault (struct fleetsim *sim,
                                    struct fleetsim_attempt *attempt);
static void attempt_apply_fault (struct fleetsim *sim, uint32_t number);
static void deliver_chunk (struct fleetsim *sim,
                           struct fleetsim_request *request);
static void emit_event (struct fleetsim *sim, uint32_t number,
                        enum dispatch_event_kind kind);
static const char *upstream_address (const struct fleetsim *sim, uint64_t id);

static const char *const event_names[DISPATCH_EVENT_MAX] = {
  [DISPATCH_ARRIVED] = "arrived",
  [DISPATCH_CONNECTING] = "connecting",
  [DISPATCH_SENDING] = "sending",
  [DISPATCH_SENT] = "sent",
  [DISPATCH_RESPONDING] = "responding",
  [DISPATCH_PROGRESS] = "progress",
  [DISPATCH_COMPLETED] = "completed",
  [DISPATCH_FAILED] = "failed",
  [DISPATCH_CLIENT_DISCONNECTED] = "client-gone",
  [DISPATCH_CAPACITY_CHANGED] = "capacity",
  [DISPATCH_TICK] = "tick",
  [DISPATCH_DRAIN] = "drain",
};

static const enum dispatch_event_kind step_events[ATTEMPT_STEP_MAX] = {
  [ATTEMPT_CONNECTING] = DISPATCH_CONNECTING,
  [ATTEMPT_SENDING] = DISPATCH_SENDING,
  [ATTEMPT_SENT] = DISPATCH_SENT,
  [ATTEMPT_RESPONDING] = DISPATCH_RESPONDING,
  [ATTEMPT_DONE] = DISPATCH_COMPLETED,
};

uint32_t
fleetsim_submit (struct fleetsim *sim, uint32_t instance, const char *name,
                 const char *customer, const char *profile)
{
  uint32_t number = sim->request_count++;
  struct fleetsim_request *request = &sim->requests[number];
  struct dispatch_event event = { .kind = DISPATCH_ARRIVED };
  const struct catalog_profile *found;

  snprintf (request->name, sizeof request->name, "%s", name);
  request->used = true;
  request->instance = instance;
  found = catalog_profile (&sim->instances[instance].catalog,
                           catalog_id (profile));
  request->idempotent = found->idempotent;
  event.request = number + 1;
  event.u.arrival.customer_id = catalog_id (customer);
  event.u.arrival.profile_id = found->id;
  event.u.arrival.input_tokens = 10;
  fleetsim_trace (sim, "%s arrive %s %s %s", sim->instances[instance].name,
                  name, customer, profile);
  fleetsim_handle_event (sim, instance, &event);
  return number;
}

void
fleetsim_disconnect_client (struct fleetsim *sim, uint32_t number)
{
  struct fleetsim_request *request = &sim->requests[number];

  if (request->outcome != FLEETSIM_PENDING)
    return;
  fleetsim_end_request (sim, request, FLEETSIM_CLIENT_DISCONNECTED);
  emit_event (sim, number, DISPATCH_CLIENT_DISCONNECTED);
}

void
fleetsim_set_fault (struct fleetsim *sim, enum attempt_step step,
                    enum fleetsim_fault fault, uint32_t attempts)
{
  sim->fault_step = step;
  sim->fault = fault;
  sim->fault_attempts_left = attempts;
}

int
fleetsim_handle_event (struct fleetsim *sim, uint32_t instance,
                       const struct dispatch_event *event)
{
  struct dispatch_actions actions = { 0 };
  size_t i;
  int error;

  error = dispatch_handle (sim->instances[instance].dispatch, event,
                           sim->now_ns, &actions);
  for (i = 0; i < actions.count; i++)
    perform (sim, &actions.items[i]);
  dispatch_actions_finish (&actions);
  return error;
}

void
fleetsim_capacity_changed (struct fleetsim *sim, uint32_t instance)
{
  struct dispatch_event event = { .kind = DISPATCH_CAPACITY_CHANGED };

  fleetsim_handle_event (sim, instance, &event);
}

void
fleetsim_end_request (struct fleetsim *sim, struct fleetsim_request *request,
                      enum fleetsim_outcome outcome)
{
  if (request->outcome != FLEETSIM_PENDING)
    fleetsim_record_violation (sim, "%s ended twice", request->name);
  request->outcome = outcome;
  request->ended_ns = sim->now_ns;
  fleetsim_trace (sim, "-> %s %s", request->name,
                  fleetsim_outcome_name (outcome));
}

void
fleetsim_advance_attempts (struct fleetsim *sim)
{
  uint32_t i;

  for (i = 0; i < sim->request_count; i++)
    {
      const struct fleetsim_request *request = &sim->requests[i];
      const struct fleetsim_instance *instance
          = &sim->instances[request->instance];

      if (request->attempt.active && instance->running && !instance->paused
          && request->attempt.due_ns <= sim->now_ns)
        attempt_run_step (sim, i);
    }
}

static void
perform (struct fleetsim *sim, const struct dispatch_action *action)
{
  struct fleetsim_request *request;

  if (action->kind == DISPATCH_SLOT_IDLE)
    return;
  request = &sim->requests[action->request - 1];
  switch (action->kind)
    {
    case DISPATCH_CONNECT:
      attempt_open (sim, request, action);
      break;
    case DISPATCH_CANCEL:
      fleetsim_trace (sim, "-> cancel %s attempt=%u", request->name,
                      action->attempt);
      request->attempt.cancelled = true;
      request->attempt.active = request->attempt.fault == FLEETSIM_FAULT_LATE;
      break;
    case DISPATCH_REFUSE:
      request->refusal = action->refusal;
      request->verdict = action->verdict;
      fleetsim_trace (sim, "-> refuse %s %u %s %s retry-after=%u",
                      request->name, refusal_info (action->refusal)->status,
                      refusal_info (action->refusal)->code,
                      verdict_name (action->verdict),
                      refusal_info (action->refusal)->retry_after_s);
      fleetsim_end_request (sim, request, FLEETSIM_REFUSED);
      break;
    case DISPATCH_ABORT:
      request->verdict = action->verdict;
      fleetsim_end_request (sim, request, FLEETSIM_ABORTED);
      break;
    case DISPATCH_FINISH:
      fleetsim_end_request (sim, request, FLEETSIM_FINISHED);
      break;
    default:
      break;
    }
}

static void
attempt_open (struct fleetsim *sim, struct fleetsim_request *request,
              const struct dispatch_action *action)
{
  struct fleetsim_attempt *attempt = &request->attempt;

  memset (attempt, 0, sizeof *attempt);
  attempt->active = true;
  attempt->number = action->attempt;
  attempt->upstream_id = action->upstream_id;
  attempt->next = ATTEMPT_CONNECTING;
  attempt->prior_bytes_sent = request->bytes_sent;
  attempt->offset_bytes = action->resume ? request->delivered_bytes : 0;
  attempt->due_ns = sim->now_ns + FLEETSIM_NS_PER_MS;
  fleetsim_trace (sim, "-> connect %s attempt=%u %s offset=%u", request->name,
                  action->attempt, upstream_address (sim, action->upstream_id),
                  attempt->offset_bytes);
}

static void
attempt_run_step (struct fleetsim *sim, uint32_t number)
{
  struct fleetsim_request *request = &sim->requests[number];
  struct fleetsim_attempt *attempt = &request->attempt;
  enum attempt_step step = attempt->next;
  uint64_t step_ms = sim->service_ms;

  if (attempt_triggers_fault (sim, attempt))
    {
      attempt_apply_fault (sim, number);
      if (!attempt->active || attempt->fault == FLEETSIM_FAULT_HALF_OPEN)
        return;
    }
  if (attempt->fault == FLEETSIM_FAULT_SLOW)
    step_ms *= 20;
  attempt->due_ns = sim->now_ns + step_ms * FLEETSIM_NS_PER_MS;
  if (step == ATTEMPT_SENDING && !attempt->cancelled)
    request->bytes_sent = true;
  if (step == ATTEMPT_SENT && !attempt->cancelled)
    request->executions++;
  if (step == ATTEMPT_DONE && attempt->offset_bytes < FLEETSIM_BODY_BYTES)
    {
      deliver_chunk (sim, request);
      emit_event (sim, number, DISPATCH_PROGRESS);
      return;
    }
  attempt->next = (enum attempt_step) (step + 1);
  attempt->active = step != ATTEMPT_DONE;
  emit_event (sim, number, step_events[step]);
}

static bool
attempt_triggers_fault (struct fleetsim *sim, struct fleetsim_attempt *attempt)
{
  if (sim->fault_attempts_left == 0 || attempt->next != sim->fault_step
      || attempt->fault != FLEETSIM_FAULT_NONE)
    return false;
  if (attempt->next == ATTEMPT_DONE && attempt->offset_bytes == 0)
    return false; /* only once part of the body is delivered */
  sim->fault_attempts_left--;
  attempt->fault = sim->fault;
  return true;
}

static void
attempt_apply_fault (struct fleetsim *sim, uint32_t number)
{
  struct fleetsim_request *request = &sim->requests[number];
  struct fleetsim_attempt *attempt = &request->attempt;

  fleetsim_trace (sim, "fault %s on %s before %s",
                  fleetsim_fault_name (attempt->fault), request->name,
                  attempt_step_name (attempt->next));
  switch (attempt->fault)
    {
    case FLEETSIM_FAULT_REFUSED:
      attempt_fail (sim, number, ERR_REFUSED);
      break;
    case FLEETSIM_FAULT_RESET:
      attempt_fail (sim, number, ERR_RESET);
      break;
    case FLEETSIM_FAULT_TRUNCATED:
      attempt_fail (sim, number, ERR_TRUNCATED);
      break;
    case FLEETSIM_FAULT_WRONG_RESPONSE:
      attempt_fail (sim, number, ERR_MISMATCH);
      break;
    case FLEETSIM_FAULT_DRAINING: /* states that it did not run it */
      request->executions--;
      request->bytes_sent = attempt->prior_bytes_sent;
      attempt_fail (sim, number, ERR_UNAVAILABLE);
      break;
    case FLEETSIM_FAULT_HALF_OPEN:
      request->executions += attempt->next == ATTEMPT_SENT;
      attempt->due_ns = UINT64_MAX;
      break;
    default:
      break;
    }
}

static void
attempt_fail (struct fleetsim *sim, uint32_t number, int error)
{
  struct fleetsim_request *request = &sim->requests[number];
  struct dispatch_event event = { .kind = DISPATCH_FAILED };

  request->attempt.active = false;
  if (request->attempt.next == ATTEMPT_SENT)
    request->executions++; /* it may have executed part of the request */
  event.request = number + 1;
  event.attempt = request->attempt.number;
  event.u.failure.error = error;
  event.u.failure.resumable = error != ERR_MISMATCH;
  event.u.failure.client_started = request->delivered_bytes > 0;
  event.u.failure.draining = error == ERR_UNAVAILABLE;
  fleetsim_trace (sim, "failed %s attempt=%u %s", request->name, event.attempt,
                  err_name (error));
  fleetsim_handle_event (sim, request->instance, &event);
}

static void
deliver_chunk (struct fleetsim *sim, struct fleetsim_request *request)
{
  struct fleetsim_attempt *attempt = &request->attempt;

  if (attempt->cancelled || request->outcome != FLEETSIM_PENDING)
    {
      attempt->offset_bytes += FLEETSIM_CHUNK_BYTES;
      return;
    }
  if (attempt->offset_bytes != request->delivered_bytes)
    request->corrupted = true;
  attempt->offset_bytes += FLEETSIM_CHUNK_BYTES;
  request->delivered_bytes += FLEETSIM_CHUNK_BYTES;
  (void)sim;
}

static void
emit_event (struct fleetsim *sim, uint32_t number,
            enum dispatch_event_kind kind)
{
  struct fleetsim_request *request = &sim->requests[number];
  struct dispatch_event event = { .kind = kind };
  uint32_t repeat = request->attempt.fault == FLEETSIM_FAULT_REPEATED ? 2 : 1;
  int error;

  event.request = number + 1;
  event.attempt = request->attempt.number;
  if (kind == DISPATCH_PROGRESS || kind == DISPATCH_COMPLETED)
    {
      event.u.progress.output_tokens = request->attempt.offset_bytes;
      event.u.progress.client_started = request->delivered_bytes > 0;
    }
  while (repeat-- > 0)
    {
      error = fleetsim_handle_event (sim, request->instance, &event);
      fleetsim_trace (sim, "%s %s%s%s", event_names[kind], request->name,
                      error != 0 ? " ignored: " : "",
                      error != 0 ? err_name (error) : "");
    }
}

static const char *
upstream_address (const struct fleetsim *sim, uint64_t id)
{
  uint32_t i;

  for (i = 0; i < sim->service_count; i++)
    {
      const struct catalog_upstream *upstream
          = catalog_upstream (&sim->services[i], id);

      if (upstream != NULL)
        return upstream->address;
    }
  return "unknown";
}
