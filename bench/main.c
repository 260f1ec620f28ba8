/**
 * @file main.c
 * Load generator with many clients, in closed or open loop, with all choices
 * derived from a seed.  It checks every response byte for byte and measures
 * fairness from the statistics of the upstreams.
 */
#include "client.h"
#include "load.h"
#include "standin/interval.h"
#include "standin/record.h"
#include <argp.h>
#include <signal.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define RANDOM_STEP 0x9e3779b97f4a7c15ULL /**< increment of splitmix64 */

enum option_key
{
  OPTION_ROUTER = 'r',
  OPTION_FLOW = 'f',
  OPTION_TABLE = 't',
  OPTION_ENGINE = 0x100,
  OPTION_PLAIN,
  OPTION_NO_VERIFY,
  OPTION_NUMERIC /**< first of those in numeric_members */
};

static error_t parse_option (int key, char *arg, struct argp_state *state);
static int add_flow (struct load *load, const char *arg);
static int start_run (struct load *load);
static void on_run_end (evutil_socket_t fd, short events, void *user);
static void on_drain_timer (evutil_socket_t fd, short events, void *user);
static void add_timer (struct event *timer, uint64_t delay_ms);
static void free_load (struct load *load);

static const struct argp_option options[] = {
  { "router", OPTION_ROUTER, "HOST:PORT", 0, "address of a router; repeatable",
    0 },
  { "flow", OPTION_FLOW, "KEY=VALUE,...", 0, "a flow of requests; repeatable",
    0 },
  { "engine", OPTION_ENGINE, "HOST:PORT", 0,
    "control address of the stand-in engines", 0 },
  { "plain", OPTION_PLAIN, "HOST:PORT", 0,
    "control address of the plain services", 0 },
  { "table", OPTION_TABLE, NULL, 0, "print a table of customers", 0 },
  { "no-verify", OPTION_NO_VERIFY, NULL, 0, "skip the check of executions",
    0 },
  { "seconds", OPTION_NUMERIC, "S", 0, "duration of the load", 0 },
  { "warmup-ms", OPTION_NUMERIC + 1, "MS", 0, "excluded from the latencies",
    0 },
  { "drain-ms", OPTION_NUMERIC + 2, "MS", 0,
    "limit for requests in flight at the end", 0 },
  { "sample-ms", OPTION_NUMERIC + 3, "MS", 0, "interval of samples", 0 },
  { "seed", OPTION_NUMERIC + 4, "N", 0, "of the random number generator", 0 },
  { "slots", OPTION_NUMERIC + 5, "N", 0, "total of all engines", 0 },
  { "token-ms", OPTION_NUMERIC + 6, "MS", 0, "tick of the engines", 0 },
  { "tokens", OPTION_NUMERIC + 7, "N", 0, "tokens per tick", 0 },
  { "input-cost", OPTION_NUMERIC + 8, "N", 0, "cost of an input token", 0 },
  { "output-cost", OPTION_NUMERIC + 9, "N", 0, "cost of an output token", 0 },
  { "exchange-ms", OPTION_NUMERIC + 10, "MS", 0,
    "exchange interval of the routers", 0 },
  { "fault-ms", OPTION_NUMERIC + 11, "MS", 0, "time of the fault; 0: none",
    0 },
  { "lost-router", OPTION_NUMERIC + 12, "N", 0,
    "index of the router that is killed", 0 },
  { "retry-ms", OPTION_NUMERIC + 13, "MS", 0, "pause after an error response",
    0 },
  { 0 }
};

/** Members set by the options from OPTION_NUMERIC on, in their order. */
static const size_t numeric_members[] = {
  offsetof (struct load_options, seconds),
  offsetof (struct load_options, warmup_ms),
  offsetof (struct load_options, drain_ms),
  offsetof (struct load_options, sample_ms),
  offsetof (struct load_options, seed),
  offsetof (struct load_options, slots),
  offsetof (struct load_options, token_ms),
  offsetof (struct load_options, tokens_per_tick),
  offsetof (struct load_options, input_cost),
  offsetof (struct load_options, output_cost),
  offsetof (struct load_options, exchange_ms),
  offsetof (struct load_options, fault_ms),
  offsetof (struct load_options, lost_router),
  offsetof (struct load_options, retry_ms),
};

static const struct load_options defaults = { .seconds = 10,
                                              .drain_ms = 30000,
                                              .sample_ms = 200,
                                              .seed = 1,
                                              .slots = 16,
                                              .token_ms = 20,
                                              .tokens_per_tick = 1,
                                              .input_cost = 1,
                                              .output_cost = 2,
                                              .exchange_ms = 100,
                                              .lost_router = UINT32_MAX,
                                              .retry_ms = 100 };

int
main (int argc, char **argv)
{
  static const struct argp argp
      = { options, parse_option, NULL, "Load generator of the benchmarks.",
          NULL,    NULL,         NULL };
  struct load *load = calloc (1, sizeof (*load));
  int status;

  signal (SIGPIPE, SIG_IGN);
  load->options = defaults;
  if (argp_parse (&argp, argc, argv, 0, NULL, load) != 0)
    return 2;
  load->base = event_base_new ();
  if (load->options.control_addresses[FLOW_ENGINE] != NULL)
    report_print_bound (load);
  if (start_run (load) != 0)
    return 2;
  event_base_dispatch (load->base);
  status = report_print (load) == 0 ? 0 : 1;
  free_load (load);
  return status;
}

struct flow_customer *
load_get_customer (struct load *load, const char *name, uint32_t weight)
{
  struct flow_customer *customer;
  uint32_t i;

  for (i = 0; i < load->customer_count; i++)
    if (strcmp (load->customers[i].name, name) == 0)
      return &load->customers[i];
  if (load->customer_count == LOAD_CUSTOMERS_MAX)
    return NULL;
  customer = &load->customers[load->customer_count++];
  snprintf (customer->name, sizeof (customer->name), "%s", name);
  customer->weight = weight;
  return customer;
}

uint64_t
load_elapsed_ms (const struct load *load)
{
  return (record_now_ns () - load->start_ns) / 1000000;
}

/* splitmix64. */
uint64_t
load_random (struct load *load)
{
  uint64_t value = load->random_state += RANDOM_STEP;

  value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9ULL;
  value = (value ^ (value >> 27)) * 0x94d049bb133111ebULL;
  return value ^ (value >> 31);
}

static error_t
parse_option (int key, char *arg, struct argp_state *state)
{
  struct load *load = state->input;
  struct load_options *o = &load->options;
  size_t index = (size_t)key - OPTION_NUMERIC;

  if (key >= OPTION_NUMERIC
      && index < sizeof (numeric_members) / sizeof (numeric_members[0]))
    {
      *(uint32_t *)(void *)((char *)o + numeric_members[index])
          = (uint32_t)strtoul (arg, NULL, 10);
      return 0;
    }
  switch (key)
    {
    case OPTION_ROUTER:
      if (o->router_count == LOAD_ROUTERS_MAX)
        argp_error (state, "too many routers");
      o->routers[o->router_count++] = arg;
      return 0;
    case OPTION_FLOW:
      if (add_flow (load, arg) != 0)
        argp_error (state, "invalid flow");
      return 0;
    case OPTION_ENGINE:
      o->control_addresses[FLOW_ENGINE] = arg;
      return 0;
    case OPTION_PLAIN:
      o->control_addresses[FLOW_PLAIN] = arg;
      return 0;
    case OPTION_TABLE:
      o->table = true;
      return 0;
    case OPTION_NO_VERIFY:
      o->no_verify = true;
      return 0;
    case ARGP_KEY_END:
      if (o->router_count == 0 || load->flow_count == 0)
        argp_error (state, "--router and --flow are required");
      return 0;
    default:
      return ARGP_ERR_UNKNOWN;
    }
}

static int
add_flow (struct load *load, const char *arg)
{
  struct flow *flow;

  if (load->flow_count == LOAD_FLOWS_MAX)
    return -1;
  flow = &load->flows[load->flow_count++];
  if (flow_parse (flow, arg) != 0)
    return -1;
  flow->customer = load_get_customer (load, flow->name, flow->weight);
  if (flow->customer == NULL)
    return -1;
  flow->customer->has_kind[flow->kind] = true;
  return 0;
}

static int
start_run (struct load *load)
{
  uint32_t i;
  uint32_t j;

  load->start_ns = record_now_ns ();
  load->random_state = load->options.seed;
  if (sample_start (load) != 0)
    return -1;
  for (i = 0; i < load->flow_count; i++)
    load->client_count += load->flows[i].concurrency;
  load->clients = calloc (load->client_count, sizeof (struct client *));
  load->client_count = 0;
  for (i = 0; i < load->flow_count; i++)
    for (j = 0; j < load->flows[i].concurrency; j++)
      {
        load->clients[load->client_count]
            = client_new (load, &load->flows[i], j);
        client_start (load->clients[load->client_count++]);
      }
  load->end_timer = evtimer_new (load->base, on_run_end, load);
  add_timer (load->end_timer, (uint64_t)load->options.seconds * 1000);
  return 0;
}

static void
on_run_end (evutil_socket_t fd, short events, void *user)
{
  struct load *load = user;

  (void)fd;
  (void)events;
  load->stopping = true;
  event_free (load->end_timer);
  load->end_timer
      = event_new (load->base, -1, EV_PERSIST, on_drain_timer, load);
  add_timer (load->end_timer, load->options.sample_ms);
}

/* Ends the run once no request is in flight at two checks in a row, so that
   a last sample is taken after the last response, or at the drain limit. */
static void
on_drain_timer (evutil_socket_t fd, short events, void *user)
{
  struct load *load = user;
  uint64_t limit_ms
      = (uint64_t)load->options.seconds * 1000 + load->options.drain_ms;
  uint32_t busy = 0;
  uint32_t i;

  (void)fd;
  (void)events;
  for (i = 0; i < load->client_count; i++)
    if (client_is_busy (load->clients[i]))
      busy++;
  if (busy > 0 && load_elapsed_ms (load) < limit_ms)
    {
      load->was_idle = false;
      return;
    }
  if (busy == 0 && !load->was_idle)
    {
      load->was_idle = true;
      return;
    }
  for (i = 0; i < load->client_count; i++)
    client_abandon_request (load->clients[i]);
  sample_stop (load);
  event_base_loopbreak (load->base);
}

static void
add_timer (struct event *timer, uint64_t delay_ms)
{
  const struct timeval delay = interval_ms (delay_ms);

  evtimer_add (timer, &delay);
}

static void
free_load (struct load *load)
{
  uint32_t i;

  for (i = 0; i < load->client_count; i++)
    client_free (load->clients[i]);
  for (i = 0; i < load->customer_count; i++)
    {
      series_finish (&load->customers[i].total_us);
      series_finish (&load->customers[i].first_byte_us);
    }
  free (load->clients);
  sample_finish (load);
  verify_finish (&load->verify);
  event_free (load->end_timer);
  event_base_free (load->base);
  free (load);
}
