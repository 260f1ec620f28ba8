/**
 * @file sample.c
 * Polls the statistics of the stand-in upstreams and stores the samples.
 */
#include "sample.h"
#include "load.h"
#include "standin/address.h"
#include "standin/interval.h"
#include "standin/record.h"
#include <event2/buffer.h>
#include <stdlib.h>
#include <string.h>

#define SAMPLES_CAPACITY_MIN 256

/** A request for statistics in flight. */
struct poll
{
  struct load *load;
  enum flow_kind kind;
};

static void on_timer (evutil_socket_t fd, short events, void *user);
static void poll_stats (struct load *load, enum flow_kind kind);
static void on_stats (struct evhttp_request *request, void *user);
static void append_sample (struct load *load, const json_t *stats);
static struct sample_queue *find_queue (struct load *load,
                                        const struct flow_customer *customer,
                                        uint32_t router);
static void update_longest_wait (struct load *load,
                                 const struct flow_customer *customer,
                                 uint32_t router);

int
sample_start (struct load *load)
{
  struct sample_log *log = &load->samples;
  const struct timeval interval = interval_ms (load->options.sample_ms);
  char host[ADDRESS_HOST_SIZE];
  uint16_t port;
  int kind;

  log->queues = calloc ((size_t)LOAD_CUSTOMERS_MAX * LOAD_ROUTERS_MAX,
                        sizeof (*log->queues));
  for (kind = 0; kind < FLOW_KIND_MAX; kind++)
    {
      if (load->options.control_addresses[kind] == NULL)
        continue;
      if (address_parse (load->options.control_addresses[kind], host, &port)
          != 0)
        return -1;
      log->connections[kind]
          = evhttp_connection_base_new (load->base, NULL, host, port);
    }
  log->timer = event_new (load->base, -1, EV_PERSIST, on_timer, load);
  event_add (log->timer, &interval);
  on_timer (-1, 0, load);
  return 0;
}

void
sample_stop (struct load *load)
{
  event_del (load->samples.timer);
}

void
sample_finish (struct load *load)
{
  struct sample_log *log = &load->samples;
  size_t i;
  int kind;

  for (kind = 0; kind < FLOW_KIND_MAX; kind++)
    {
      if (log->connections[kind] != NULL)
        evhttp_connection_free (log->connections[kind]);
      json_decref (log->latest[kind]);
    }
  for (i = 0; i < log->count; i++)
    free (log->samples[i].customers);
  free (log->samples);
  free (log->queues);
  event_free (log->timer);
}

void
sample_request_sent (struct load *load, struct flow_customer *customer,
                     uint32_t router)
{
  struct sample_queue *queue = find_queue (load, customer, router);

  if (queue->waiting++ == 0)
    queue->head_since_ns = record_now_ns ();
}

void
sample_request_started (struct load *load, struct flow_customer *customer,
                        uint32_t router)
{
  struct sample_queue *queue = find_queue (load, customer, router);

  update_longest_wait (load, customer, router);
  queue->waiting--;
  queue->head_since_ns = record_now_ns ();
}

void
sample_request_failed (struct load *load, struct flow_customer *customer,
                       uint32_t router)
{
  struct sample_queue *queue = find_queue (load, customer, router);

  update_longest_wait (load, customer, router);
  queue->waiting--;
}

uint64_t
sample_stat (const struct load *load, enum flow_kind kind, const char *name)
{
  return (uint64_t)json_integer_value (
      json_object_get (load->samples.latest[kind], name));
}

uint64_t
sample_customer_stat (const struct load *load, enum flow_kind kind,
                      const char *customer, const char *name)
{
  const json_t *customers
      = json_object_get (load->samples.latest[kind], "customers");

  return (uint64_t)json_integer_value (
      json_object_get (json_object_get (customers, customer), name));
}

static void
on_timer (evutil_socket_t fd, short events, void *user)
{
  struct load *load = user;
  int kind;

  (void)fd;
  (void)events;
  for (kind = 0; kind < FLOW_KIND_MAX; kind++)
    if (load->samples.connections[kind] != NULL)
      poll_stats (load, (enum flow_kind)kind);
}

static void
poll_stats (struct load *load, enum flow_kind kind)
{
  struct sample_log *log = &load->samples;
  struct evhttp_request *request;
  struct poll *poll;

  if (log->polling[kind])
    return;
  poll = malloc (sizeof (*poll));
  poll->load = load;
  poll->kind = kind;
  log->polling[kind] = true;
  request = evhttp_request_new (on_stats, poll);
  evhttp_add_header (evhttp_request_get_output_headers (request), "Host",
                     "localhost");
  evhttp_make_request (log->connections[kind], request, EVHTTP_REQ_GET,
                       "/_standin/stats");
}

static void
on_stats (struct evhttp_request *request, void *user)
{
  struct poll *poll = user;
  struct load *load = poll->load;
  enum flow_kind kind = poll->kind;
  struct evbuffer *body;
  json_t *stats;

  free (poll);
  load->samples.polling[kind] = false;
  if (request == NULL || evhttp_request_get_response_code (request) != HTTP_OK)
    return;
  body = evhttp_request_get_input_buffer (request);
  stats = json_loadb ((const char *)evbuffer_pullup (body, -1),
                      evbuffer_get_length (body), 0, NULL);
  if (stats == NULL)
    return;
  json_decref (load->samples.latest[kind]);
  load->samples.latest[kind] = stats;
  if (kind == FLOW_ENGINE && !load->stopping)
    append_sample (load, stats);
}

static void
append_sample (struct load *load, const json_t *stats)
{
  struct sample_log *log = &load->samples;
  struct sample *sample;
  struct sample_customer *entry;
  const json_t *customers = json_object_get (stats, "customers");
  const json_t *values;
  uint32_t i;

  if (log->count == log->capacity)
    {
      log->capacity
          = log->capacity == 0 ? SAMPLES_CAPACITY_MIN : log->capacity * 2;
      log->samples
          = realloc (log->samples, log->capacity * sizeof (*log->samples));
    }
  sample = &log->samples[log->count++];
  sample->time_us
      = (uint64_t)json_integer_value (json_object_get (stats, "time_us"))
        - load->start_ns / 1000;
  sample->busy_us
      = (uint64_t)json_integer_value (json_object_get (stats, "busy_us"));
  sample->contended = false;
  sample->customers
      = calloc (load->customer_count, sizeof (*sample->customers));
  for (i = 0; i < load->customer_count; i++)
    {
      entry = &sample->customers[i];
      values = json_object_get (customers, load->customers[i].name);
      entry->cost
          = (uint64_t)json_integer_value (json_object_get (values, "cost"));
      entry->started
          = (uint64_t)json_integer_value (json_object_get (values, "started"));
      entry->running
          = (uint32_t)json_integer_value (json_object_get (values, "running"));
      entry->outstanding = load->customers[i].outstanding[FLOW_ENGINE];
      if (entry->outstanding > entry->running)
        sample->contended = true;
    }
}

static struct sample_queue *
find_queue (struct load *load, const struct flow_customer *customer,
            uint32_t router)
{
  size_t index = (size_t)(customer - load->customers);

  return &load->samples.queues[index * LOAD_ROUTERS_MAX + router];
}

static void
update_longest_wait (struct load *load, const struct flow_customer *customer,
                     uint32_t router)
{
  const struct sample_queue *queue = find_queue (load, customer, router);
  uint64_t wait_us = (record_now_ns () - queue->head_since_ns) / 1000;
  uint64_t *longest = &load->longest_head_wait_us[customer - load->customers];

  if (wait_us <= *longest)
    return;
  *longest = wait_us;
  load->longest_head_wait_router[customer - load->customers] = router;
}
