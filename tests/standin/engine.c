/**
 * @file engine.c
 * Stand-in model engines: many workers on one event loop.  A worker simulates
 * continuous batching: at each tick every request that holds a slot produces
 * its next tokens.  Requests beyond the number of slots wait in a FIFO queue.
 */
#include "standin/engine_int.h"
#include "standin/interval.h"
#include <event2/buffer.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <utlist.h>

static int worker_init (struct engine *engine, struct server_listener *l);
static void on_first_tick (evutil_socket_t fd, short events, void *user);
static void on_tick (evutil_socket_t fd, short events, void *user);
static void on_load_timer (evutil_socket_t fd, short events, void *user);
static void on_delay_timer (evutil_socket_t fd, short events, void *user);
static void on_request (struct server_listener *listener,
                        struct evhttp_request *request);
static void on_abort (void *user);
static void refuse_job (struct engine_job *job, int status,
                        const char *reason);
static void admit_job (struct engine_job *job);
static void start_job (struct engine_job *job);
static void start_response (struct engine_job *job);
static void produce_tokens (struct engine_job *job);
static void stream_tokens (struct engine_job *job, uint32_t count);
static void finish_job (struct engine_job *job);
static void release_job (struct engine_job *job);

static const struct server_handler handler = { on_request, NULL, NULL };

int
engine_init (struct server *server, const struct standin_options *options)
{
  const struct timeval lag = interval_ms (options->load_lag_ms);
  struct engine *engine;
  uint32_t i;

  if (server_init (server, options->listen, options->workers, options->control,
                   options->slots, &handler)
      != 0)
    return -1;
  engine = calloc (1, sizeof (*engine));
  engine->options = *options;
  engine->server = server;
  server->data = engine;
  engine->scratch = evbuffer_new ();
  for (i = 0; i < server->listener_count; i++)
    if (worker_init (engine, &server->listeners[i]) != 0)
      return -1;
  engine->load_timer
      = event_new (server->base, -1, EV_PERSIST, on_load_timer, engine);
  return event_add (engine->load_timer, &lag);
}

void
engine_finish (struct server *server)
{
  struct engine *engine = server->data;
  uint32_t i;

  for (i = 0; i < server->listener_count; i++)
    {
      struct engine_worker *worker = server->listeners[i].data;

      evhttp_free (server->listeners[i].http);
      server->listeners[i].http = evhttp_new (server->base);
      event_free (worker->tick);
      free (worker);
    }
  event_free (engine->load_timer);
  evbuffer_free (engine->scratch);
  free (engine);
  server_finish (server);
}

/* Spreads the ticks of the workers evenly over the tick interval. */
static int
worker_init (struct engine *engine, struct server_listener *listener)
{
  struct engine_worker *worker = calloc (1, sizeof (*worker));
  uint64_t phase_us = (uint64_t)engine->options.token_ms * 1000
                      * listener->index / engine->server->listener_count;
  const struct timeval phase = interval_us (phase_us);

  worker->engine = engine;
  worker->listener = listener;
  listener->data = worker;
  worker->tick
      = event_new (engine->server->base, -1, 0, on_first_tick, worker);
  return event_add (worker->tick, &phase);
}

static void
on_first_tick (evutil_socket_t fd, short events, void *user)
{
  struct engine_worker *worker = user;
  const struct timeval interval
      = interval_ms (worker->engine->options.token_ms);

  (void)fd;
  (void)events;
  event_free (worker->tick);
  worker->tick = event_new (worker->engine->server->base, -1, EV_PERSIST,
                            on_tick, worker);
  event_add (worker->tick, &interval);
}

static void
on_tick (evutil_socket_t fd, short events, void *user)
{
  struct engine_worker *worker = user;
  const struct fault *fault = &worker->listener->fault;
  struct engine_job *job;
  struct engine_job *next;

  (void)fd;
  (void)events;
  if (fault->kind == FAULT_SLOW && fault->value > 0
      && ++worker->skipped_ticks < fault->value)
    return;
  worker->skipped_ticks = 0;
  for (job = worker->running; job != NULL; job = next)
    {
      next = job->next;
      produce_tokens (job);
    }
}

static void
on_load_timer (evutil_socket_t fd, short events, void *user)
{
  struct engine *engine = user;
  uint32_t i;

  (void)fd;
  (void)events;
  for (i = 0; i < engine->server->listener_count; i++)
    {
      struct engine_worker *worker = engine->server->listeners[i].data;

      worker->reported_running = worker->busy;
    }
}

static void
on_request (struct server_listener *listener, struct evhttp_request *request)
{
  struct engine_worker *worker = listener->data;
  struct engine_job *job = calloc (1, sizeof (*job));
  struct timeval delay;
  const char *customer;

  job->worker = worker;
  exchange_init (&job->exchange, listener->server->base, request,
                 fault_take (&listener->fault), on_abort, job);
  customer = exchange_header (&job->exchange, "Cherrylanding-Customer");
  job->customer = record_customer (&listener->server->record,
                                   customer == NULL ? "-" : customer);
  if (job->exchange.fault.kind == FAULT_UNTRUE_NOT_RUN)
    record_add_execution (&listener->server->record, job->exchange.request_id);
  if (job->exchange.fault.kind == FAULT_NOT_RUN
      || job->exchange.fault.kind == FAULT_UNTRUE_NOT_RUN)
    {
      exchange_add_header (&job->exchange, "Cherrylanding-Verdict", "not-run");
      refuse_job (job, HTTP_SERVUNAVAIL, "not-run");
      return;
    }
  if (engine_parse (job, request) != 0)
    {
      refuse_job (job, HTTP_BADREQUEST, "bad request");
      return;
    }
  if (job->exchange.fault.kind != FAULT_DELAY)
    {
      admit_job (job);
      return;
    }
  delay = interval_ms (job->exchange.fault.value);
  job->delay_timer = evtimer_new (listener->server->base, on_delay_timer, job);
  evtimer_add (job->delay_timer, &delay);
}

static void
on_delay_timer (evutil_socket_t fd, short events, void *user)
{
  (void)fd;
  (void)events;
  admit_job (user);
}

static void
refuse_job (struct engine_job *job, int status, const char *reason)
{
  struct evbuffer *body = evbuffer_new ();

  job->worker->listener->server->record.refused++;
  exchange_add_header (&job->exchange, "Cherrylanding-Request-Id",
                       job->exchange.request_id);
  evbuffer_add_printf (body, "{\"error\":{\"message\":\"%s\"}}\n", reason);
  exchange_reply (&job->exchange, status, "application/json", body);
  evbuffer_free (body);
  free (job);
}

static void
admit_job (struct engine_job *job)
{
  struct engine_worker *worker = job->worker;
  struct record *record = &worker->listener->server->record;

  record_add_execution (record, job->exchange.request_id);
  if (job->exchange.fault.kind == FAULT_DOUBLE)
    record_add_execution (record, job->exchange.request_id);
  if (job->resumed_bytes > 0)
    record->resumed++;
  if (worker->busy < worker->engine->options.slots)
    {
      start_job (job);
      return;
    }
  record->oversubscribed++;
  job->customer->waiting++;
  job->state = ENGINE_JOB_WAITING;
  DL_APPEND (worker->waiting, job);
}

static void
start_job (struct engine_job *job)
{
  struct engine_worker *worker = job->worker;
  const struct standin_options *options = &worker->engine->options;

  job->state = ENGINE_JOB_RUNNING;
  job->started_ns = record_now_ns ();
  worker->busy++;
  record_add_busy (&worker->listener->server->record, 1);
  DL_APPEND (worker->running, job);
  job->customer->running++;
  job->customer->started++;
  job->customer->input_tokens += job->body.input_tokens;
  job->customer->cost
      += (uint64_t)job->body.input_tokens * options->input_cost;
  if (job->streamed)
    start_response (job);
  if (options->instant)
    produce_tokens (job);
}

static void
start_response (struct engine_job *job)
{
  struct exchange *exchange = &job->exchange;
  enum fault_kind fault = exchange->fault.kind;
  char number[32];

  exchange_add_header (exchange, "Cherrylanding-Request-Id",
                       fault == FAULT_WRONG_ID ? "another-request"
                                               : exchange->request_id);
  snprintf (number, sizeof (number), "%" PRIu32,
            job->worker->reported_running);
  exchange_add_header (exchange, "Cherrylanding-Upstream-Load", number);
  if (fault == FAULT_DRAINING)
    exchange_add_header (exchange, "Cherrylanding-Upstream-State", "draining");
  if (fault == FAULT_CROSSED)
    job->body.seed++;
  if (job->resumed_bytes > 0)
    {
      snprintf (number, sizeof (number), "%" PRIu64, job->resumed_bytes);
      exchange_add_header (exchange, "Cherrylanding-Resumed", number);
    }
  if (job->streamed)
    exchange_start (exchange, HTTP_OK, "text/event-stream");
}

static void
produce_tokens (struct engine_job *job)
{
  const struct standin_options *options = &job->worker->engine->options;
  uint32_t left = job->body.output_tokens - job->produced;
  uint32_t count = options->tokens < left ? options->tokens : left;

  job->customer->output_tokens += count;
  job->customer->cost += (uint64_t)count * options->output_cost;
  if (job->streamed)
    stream_tokens (job, count);
  job->produced += count;
  if (job->produced == job->body.output_tokens)
    finish_job (job);
}

static void
stream_tokens (struct engine_job *job, uint32_t count)
{
  struct evbuffer *data = job->worker->engine->scratch;
  uint32_t i;

  for (i = 0; i < count; i++)
    body_add_event (&job->body, job->produced + i, data);
  if (job->produced + count == job->body.output_tokens)
    body_add_final_events (&job->body, data);
  if (job->skip_bytes > 0)
    {
      evbuffer_drain (data, job->skip_bytes);
      job->skip_bytes = 0;
    }
  if (evbuffer_get_length (data) > 0)
    exchange_write (&job->exchange, data);
  evbuffer_drain (data, evbuffer_get_length (data));
}

static void
finish_job (struct engine_job *job)
{
  struct evbuffer *body = job->worker->engine->scratch;

  if (job->exchange.close_timer != NULL)
    return;
  job->customer->finished++;
  if (job->streamed)
    exchange_end (&job->exchange);
  else
    {
      start_response (job);
      body_add_json (&job->body, body);
      exchange_reply (&job->exchange, HTTP_OK, "application/json", body);
      evbuffer_drain (body, evbuffer_get_length (body));
    }
  /* A fault may keep the exchange open until the connection is closed. */
  if (job->exchange.request == NULL)
    release_job (job);
}

static void
on_abort (void *user)
{
  struct engine_job *job = user;
  struct server *server = job->worker->listener->server;

  server->record.cancelled++;
  job->customer->cancelled++;
  release_job (job);
}

/* Ends a job and starts the next waiting one in its slot. */
static void
release_job (struct engine_job *job)
{
  struct engine_worker *worker = job->worker;
  struct engine_job *next;

  if (job->state == ENGINE_JOB_RUNNING)
    {
      DL_DELETE (worker->running, job);
      worker->busy--;
      record_add_busy (&worker->listener->server->record, -1);
      job->customer->running--;
      job->customer->slot_us += (record_now_ns () - job->started_ns) / 1000;
    }
  else if (job->state == ENGINE_JOB_WAITING)
    {
      DL_DELETE (worker->waiting, job);
      job->customer->waiting--;
    }
  if (job->delay_timer != NULL)
    event_free (job->delay_timer);
  free (job);
  next = worker->waiting;
  if (next == NULL || worker->busy >= worker->engine->options.slots)
    return;
  DL_DELETE (worker->waiting, next);
  next->customer->waiting--;
  start_job (next);
}
