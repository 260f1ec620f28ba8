/**
 * @file plain.c
 * Stand-in for a plain HTTP service; counts the executions per request id.
 */
#include "standin/body.h"
#include "standin/interval.h"
#include "standin/standin.h"
#include <event2/buffer.h>
#include <event2/event.h>
#include <stdlib.h>

struct plain
{
  struct standin_options options;
};

/** A request being served. */
struct plain_job
{
  struct exchange exchange;
  struct server *server;
  struct record_customer *customer;
  struct event *timer;
  struct evbuffer *body; /**< response body */
  uint64_t started_ns;
};

static void on_request (struct server_listener *listener,
                        struct evhttp_request *request);
static void execute (struct plain_job *job, struct evhttp_request *request);
static void on_service_timer (evutil_socket_t fd, short events, void *user);
static void respond (struct plain_job *job);
static void on_abort (void *user);
static void free_job (struct plain_job *job);
static const char *method_name (enum evhttp_cmd_type command);

static const struct server_handler handler = { on_request, NULL, NULL };

int
plain_init (struct server *server, const struct standin_options *options)
{
  struct plain *plain;

  if (server_init (server, options->listen, options->workers, options->control,
                   options->slots, &handler)
      != 0)
    return -1;
  plain = calloc (1, sizeof (*plain));
  plain->options = *options;
  server->data = plain;
  return 0;
}

void
plain_finish (struct server *server)
{
  free (server->data);
  server_finish (server);
}

static void
on_request (struct server_listener *listener, struct evhttp_request *request)
{
  struct server *server = listener->server;
  const struct plain *plain = server->data;
  struct plain_job *job = calloc (1, sizeof (*job));
  uint32_t service_ms = plain->options.service_ms;
  const struct fault *fault = &job->exchange.fault;
  const char *customer;
  struct timeval delay;

  job->server = server;
  job->body = evbuffer_new ();
  job->started_ns = record_now_ns ();
  exchange_init (&job->exchange, server->base, request,
                 fault_take (&listener->fault), on_abort, job);
  customer = exchange_header (&job->exchange, "Cherrylanding-Customer");
  job->customer
      = record_customer (&server->record, customer == NULL ? "-" : customer);
  record_add_busy (&server->record, 1);
  job->customer->running++;
  execute (job, request);
  if (fault->kind == FAULT_DELAY)
    service_ms += (uint32_t)fault->value;
  if (fault->kind == FAULT_SLOW)
    service_ms *= (uint32_t)fault->value;
  if (service_ms == 0 || fault->kind == FAULT_NOT_RUN)
    {
      respond (job);
      return;
    }
  delay = interval_ms (service_ms);
  job->timer = evtimer_new (server->base, on_service_timer, job);
  evtimer_add (job->timer, &delay);
}

static void
execute (struct plain_job *job, struct evhttp_request *request)
{
  struct evbuffer *input = evhttp_request_get_input_buffer (request);
  struct exchange *exchange = &job->exchange;
  size_t size = evbuffer_get_length (input);

  if (exchange->fault.kind == FAULT_NOT_RUN)
    {
      job->server->record.refused++;
      return;
    }
  record_add_execution (&job->server->record, exchange->request_id);
  if (exchange->fault.kind == FAULT_DOUBLE)
    record_add_execution (&job->server->record, exchange->request_id);
  job->customer->started++;
  body_add_plain (exchange->fault.kind == FAULT_CROSSED ? "another-request"
                                                        : exchange->request_id,
                  method_name (evhttp_request_get_command (request)),
                  evhttp_request_get_uri (request),
                  evbuffer_pullup (input, -1), size, job->body);
}

static void
on_service_timer (evutil_socket_t fd, short events, void *user)
{
  (void)fd;
  (void)events;
  respond (user);
}

static void
respond (struct plain_job *job)
{
  struct exchange *exchange = &job->exchange;
  int status = HTTP_OK;

  exchange_add_header (exchange, "Cherrylanding-Request-Id",
                       exchange->fault.kind == FAULT_WRONG_ID
                           ? "another-request"
                           : exchange->request_id);
  if (exchange->fault.kind == FAULT_DRAINING)
    exchange_add_header (exchange, "Cherrylanding-Upstream-State", "draining");
  if (exchange->fault.kind == FAULT_NOT_RUN
      || exchange->fault.kind == FAULT_UNTRUE_NOT_RUN)
    {
      exchange_add_header (exchange, "Cherrylanding-Verdict", "not-run");
      status = HTTP_SERVUNAVAIL;
    }
  else
    job->customer->finished++;
  exchange_reply (exchange, status, "application/json", job->body);
  if (exchange->request == NULL)
    free_job (job);
}

static void
on_abort (void *user)
{
  struct plain_job *job = user;

  job->server->record.cancelled++;
  job->customer->cancelled++;
  free_job (job);
}

static void
free_job (struct plain_job *job)
{
  uint64_t slot_us = (record_now_ns () - job->started_ns) / 1000;

  record_add_busy (&job->server->record, -1);
  job->customer->running--;
  job->customer->slot_us += slot_us;
  job->customer->cost += slot_us / 1000;
  if (job->timer != NULL)
    event_free (job->timer);
  evbuffer_free (job->body);
  free (job);
}

static const char *
method_name (enum evhttp_cmd_type command)
{
  switch (command)
    {
    case EVHTTP_REQ_POST:
      return "POST";
    case EVHTTP_REQ_PUT:
      return "PUT";
    case EVHTTP_REQ_DELETE:
      return "DELETE";
    case EVHTTP_REQ_HEAD:
      return "HEAD";
    case EVHTTP_REQ_PATCH:
      return "PATCH";
    case EVHTTP_REQ_OPTIONS:
      return "OPTIONS";
    default:
      return "GET";
    }
}
