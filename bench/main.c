/**
 * @file main.c
 * Load program: many clients, seeded, closed or open loop; checks every
 * response and measures fairness from outside.
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

#define RANDOM_STEP 0x9e3779b97f4a7c15ULL /**< of splitmix64 */

enum option_key
{
  OPTION_ROUTER = 'r',
  OPTION_FLOW = 'f',
  OPTION_TABLE = 't',
  OPTION_ENGINE = 0x100,
  OPTION_PLAIN,
  OPTION_NO_VERIFY,
  OPTION_NUMBER /**< first of the numbers, in the order of `numbers` */
};

static error_t parse (int key, char *arg, struct argp_state *state);
static int add_flow (struct load *load, const char *arg);
static int start (struct load *load);
static void on_end (evutil_socket_t fd, short events, void *user);
static void on_drain (evutil_socket_t fd, short events, void *user);
static void add_timer (struct event *timer, uint64_t delay_ms);
static void finish (struct load *load);

static const struct argp_option options[] = {
  { "router", OPTION_ROUTER, "HOST:PORT", 0, "a router; repeatable", 0 },
  { "flow", OPTION_FLOW, "KEY=VALUE,...", 0, "requests; repeatable", 0 },
  { "engine", OPTION_ENGINE, "HOST:PORT", 0, "control of the engines", 0 },
  { "plain", OPTION_PLAIN, "HOST:PORT", 0, "control of plain services", 0 },
  { "table", OPTION_TABLE, NULL, 0, "print a table of customers", 0 },
  { "no-verify", OPTION_NO_VERIFY, NULL, 0, "ask for no executions", 0 },
  { "seconds", OPTION_NUMBER, "S", 0, "length of the run", 0 },
  { "warmup-ms", OPTION_NUMBER + 1, "MS", 0, "left out of latencies", 0 },
  { "drain-ms", OPTION_NUMBER + 2, "MS", 0, "for what is in flight", 0 },
  { "sample-ms", OPTION_NUMBER + 3, "MS", 0, "time between samples", 0 },
  { "seed", OPTION_NUMBER + 4, "N", 0, "of all choices", 0 },
  { "slots", OPTION_NUMBER + 5, "N", 0, "of the engines, together", 0 },
  { "token-ms", OPTION_NUMBER + 6, "MS", 0, "engines' tick", 0 },
  { "tokens", OPTION_NUMBER + 7, "N", 0, "tokens in a tick", 0 },
  { "input-cost", OPTION_NUMBER + 8, "N", 0, "cost of an input token", 0 },
  { "output-cost", OPTION_NUMBER + 9, "N", 0, "cost of an output token", 0 },
  { "exchange-ms", OPTION_NUMBER + 10, "MS", 0, "routers' interval", 0 },
  { "fault-ms", OPTION_NUMBER + 11, "MS", 0, "time of a fault", 0 },
  { "lost-router", OPTION_NUMBER + 12, "N", 0, "router that ends", 0 },
  { "retry-ms", OPTION_NUMBER + 13, "MS", 0, "pause after a refusal", 0 },
  { 0 }
};

/** Members of struct load_options set by the options from OPTION_NUMBER. */
static const size_t numbers[] = {
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
      = { options, parse, NULL, "Load program of the benches.",
          NULL,    NULL,  NULL };
  struct load *load = calloc (1, sizeof (*load));
  int status;

  signal (SIGPIPE, SIG_IGN);
  load->options = defaults;
  if (argp_parse (&argp, argc, argv, 0, NULL, load) != 0)
    return 2;
  load->base = event_base_new ();
  if (load->options.control[FLOW_ENGINE] != NULL)
    report_bound (load);
  if (start (load) != 0)
    return 2;
  event_base_dispatch (load->base);
  status = report_print (load) == 0 ? 0 : 1;
  finish (load);
  return status;
}

struct flow_customer *
load_customer (struct load *load, const char *name, uint32_t weight)
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

/* The generator is splitmix64. */
uint64_t
load_random (struct load *load)
{
  uint64_t value = load->random += RANDOM_STEP;

  value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9ULL;
  value = (value ^ (value >> 27)) * 0x94d049bb133111ebULL;
  return value ^ (value >> 31);
}

static error_t
parse (int key, char *arg, struct argp_state *state)
{
  struct load *load = state->input;
  struct load_options *o = &load->options;
  size_t number = (size_t)key - OPTION_NUMBER;

  if (key >= OPTION_NUMBER && number < sizeof (numbers) / sizeof (numbers[0]))
    {
      *(uint32_t *)(void *)((char *)o + numbers[number])
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
        argp_error (state, "bad flow");
      return 0;
    case OPTION_ENGINE:
      o->control[FLOW_ENGINE] = arg;
      return 0;
    case OPTION_PLAIN:
      o->control[FLOW_PLAIN] = arg;
      return 0;
    case OPTION_TABLE:
      o->table = true;
      return 0;
    case OPTION_NO_VERIFY:
      o->no_verify = true;
      return 0;
    case ARGP_KEY_END:
      if (o->router_count == 0 || load->flow_count == 0)
        argp_error (state, "no router or no flow");
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
  flow->customer = load_customer (load, flow->name, flow->weight);
  if (flow->customer == NULL)
    return -1;
  flow->customer->has_kind[flow->kind] = true;
  return 0;
}

static int
start (struct load *load)
{
  uint32_t i;
  uint32_t j;

  load->start_ns = record_now_ns ();
  load->random = load->options.seed;
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
  load->end = evtimer_new (load->base, on_end, load);
  add_timer (load->end, (uint64_t)load->options.seconds * 1000);
  return 0;
}

static void
on_end (evutil_socket_t fd, short events, void *user)
{
  struct load *load = user;

  (void)fd;
  (void)events;
  load->stopping = true;
  event_free (load->end);
  load->end = event_new (load->base, -1, EV_PERSIST, on_drain, load);
  add_timer (load->end, load->options.sample_ms);
}

/* Ends once nothing is in flight, with a last sample taken after that. */
static void
on_drain (evutil_socket_t fd, short events, void *user)
{
  struct load *load = user;
  uint64_t limit_ms
      = (uint64_t)load->options.seconds * 1000 + load->options.drain_ms;
  uint32_t busy = 0;
  uint32_t i;

  (void)fd;
  (void)events;
  for (i = 0; i < load->client_count; i++)
    if (client_busy (load->clients[i]))
      busy++;
  if (busy > 0 && load_elapsed_ms (load) < limit_ms)
    {
      load->quiet = false;
      return;
    }
  if (busy == 0 && !load->quiet)
    {
      load->quiet = true;
      return;
    }
  for (i = 0; i < load->client_count; i++)
    client_give_up (load->clients[i]);
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
finish (struct load *load)
{
  uint32_t i;

  for (i = 0; i < load->client_count; i++)
    client_free (load->clients[i]);
  for (i = 0; i < load->customer_count; i++)
    {
      series_finish (&load->customers[i].total_us);
      series_finish (&load->customers[i].first_us);
    }
  free (load->clients);
  sample_finish (load);
  verify_finish (&load->verify);
  event_free (load->end);
  event_base_free (load->base);
  free (load);
}
