/**
 * @file main.c
 * Stand-ins for the services around the router, for tests: `standin
 * engine|plain|store|relay|platform`.  `standin ports --workers N` prints N
 * free TCP ports.
 */
#include "standin/standin.h"
#include <argp.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum option_key
{
  OPTION_LISTEN = 'l',
  OPTION_CONTROL = 'c',
  OPTION_TARGET = 't',
  OPTION_WORKERS = 'w',
  OPTION_SLOTS = 's',
  OPTION_TOKEN_MS = 0x100,
  OPTION_TOKENS,
  OPTION_LOAD_LAG_MS,
  OPTION_INPUT_COST,
  OPTION_OUTPUT_COST,
  OPTION_SERVICE_MS,
  OPTION_INSTANT,
  OPTION_REVISION,
  OPTION_ERA
};

struct role
{
  const char *name;
  int (*init) (struct server *server, const struct standin_options *options);
  void (*finish) (struct server *server);
};

struct arguments
{
  const struct role *role;
  struct standin_options options;
};

static error_t parse (int key, char *arg, struct argp_state *state);
static void on_signal (evutil_socket_t signal, short events, void *user);

static const struct role roles[] = {
  { "engine", engine_init, engine_finish },
  { "plain", plain_init, plain_finish },
  { "store", store_init, store_finish },
  { "relay", relay_init, relay_finish },
  { "platform", platform_init, platform_finish },
  { "ports", ports_init, NULL },
};

static const struct argp_option options[] = {
  { "listen", OPTION_LISTEN, "HOST:PORT[,...]", 0, "addresses to listen on",
    0 },
  { "control", OPTION_CONTROL, "HOST:PORT", 0, "control endpoint", 0 },
  { "target", OPTION_TARGET, "HOST:PORT", 0, "relay: connect to", 0 },
  { "workers", OPTION_WORKERS, "N", 0, "listeners if one address is given",
    0 },
  { "slots", OPTION_SLOTS, "N", 0, "slots of a listener", 0 },
  { "token-ms", OPTION_TOKEN_MS, "MS", 0, "engine: interval between ticks",
    0 },
  { "tokens", OPTION_TOKENS, "N", 0, "engine: tokens per request and tick",
    0 },
  { "load-lag-ms", OPTION_LOAD_LAG_MS, "MS", 0,
    "engine: interval of load reports", 0 },
  { "input-cost", OPTION_INPUT_COST, "N", 0, "cost of an input token", 0 },
  { "output-cost", OPTION_OUTPUT_COST, "N", 0, "cost of an output token", 0 },
  { "service-ms", OPTION_SERVICE_MS, "MS", 0, "plain: processing time", 0 },
  { "instant", OPTION_INSTANT, NULL, 0, "engine: first tokens without delay",
    0 },
  { "revision", OPTION_REVISION, "N", 0,
    "platform: revision of the store at the start", 0 },
  { "era", OPTION_ERA, "N", 0, "platform: era of the store", 0 },
  { 0 }
};

int
main (int argc, char **argv)
{
  static const struct argp argp
      = { options,
          parse,
          "engine|plain|store|relay|platform|ports",
          "Stand-ins for upstreams and the platform's services.",
          NULL,
          NULL,
          NULL };
  struct arguments arguments = { NULL,
                                 { .listen = "127.0.0.1:0",
                                   .control = "127.0.0.1:0",
                                   .workers = 1,
                                   .slots = 16,
                                   .token_ms = 20,
                                   .tokens = 1,
                                   .load_lag_ms = 500,
                                   .input_cost = 1,
                                   .output_cost = 2,
                                   .revision = 10 } };
  struct server server;
  struct event *stops[2];
  int status;

  signal (SIGPIPE, SIG_IGN);
  if (argp_parse (&argp, argc, argv, 0, NULL, &arguments) != 0)
    return 2;
  status = arguments.role->init (&server, &arguments.options);
  if (status != 0)
    return status == STANDIN_DONE ? 0 : 1;
  stops[0] = evsignal_new (server.base, SIGTERM, on_signal, server.base);
  stops[1] = evsignal_new (server.base, SIGINT, on_signal, server.base);
  event_add (stops[0], NULL);
  event_add (stops[1], NULL);
  event_base_dispatch (server.base);
  event_free (stops[0]);
  event_free (stops[1]);
  arguments.role->finish (&server);
  return 0;
}

static error_t
parse (int key, char *arg, struct argp_state *state)
{
  struct arguments *arguments = state->input;
  struct standin_options *o = &arguments->options;
  size_t i;

  switch (key)
    {
    case OPTION_LISTEN:
      o->listen = arg;
      return 0;
    case OPTION_CONTROL:
      o->control = arg;
      return 0;
    case OPTION_TARGET:
      o->target = arg;
      return 0;
    case OPTION_WORKERS:
      o->workers = (uint32_t)strtoul (arg, NULL, 10);
      return 0;
    case OPTION_SLOTS:
      o->slots = (uint32_t)strtoul (arg, NULL, 10);
      return 0;
    case OPTION_TOKEN_MS:
      o->token_ms = (uint32_t)strtoul (arg, NULL, 10);
      return 0;
    case OPTION_TOKENS:
      o->tokens = (uint32_t)strtoul (arg, NULL, 10);
      return 0;
    case OPTION_LOAD_LAG_MS:
      o->load_lag_ms = (uint32_t)strtoul (arg, NULL, 10);
      return 0;
    case OPTION_INPUT_COST:
      o->input_cost = (uint32_t)strtoul (arg, NULL, 10);
      return 0;
    case OPTION_OUTPUT_COST:
      o->output_cost = (uint32_t)strtoul (arg, NULL, 10);
      return 0;
    case OPTION_SERVICE_MS:
      o->service_ms = (uint32_t)strtoul (arg, NULL, 10);
      return 0;
    case OPTION_INSTANT:
      o->instant = true;
      return 0;
    case OPTION_REVISION:
      o->revision = strtoull (arg, NULL, 10);
      return 0;
    case OPTION_ERA:
      o->era = strtoull (arg, NULL, 10);
      return 0;
    case ARGP_KEY_ARG:
      for (i = 0; i < sizeof (roles) / sizeof (roles[0]); i++)
        if (strcmp (arg, roles[i].name) == 0)
          arguments->role = &roles[i];
      if (arguments->role == NULL)
        argp_error (state, "unknown role %s", arg);
      return 0;
    case ARGP_KEY_END:
      if (arguments->role == NULL)
        argp_usage (state);
      return 0;
    default:
      return ARGP_ERR_UNKNOWN;
    }
}

static void
on_signal (evutil_socket_t signal, short events, void *user)
{
  (void)signal;
  (void)events;
  event_base_loopbreak (user);
}
