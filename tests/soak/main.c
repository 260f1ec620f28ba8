/**
 * @file main.c
 * `soak --seed N --seconds S --fronts FILE --links FILE`: sets up what stands
 * around the gateways, and runs clients, faults and checks.  Begins on
 * SIGUSR1; ends with a count of broken promises.
 */
#include "soak/soak.h"
#include <argp.h>
#include <inttypes.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>

#define STEP_MS  2  /**< clients and plan are looked at so often */
#define LINK_MS  10 /**< the file of links is looked for so often */
#define QUIET_MS SOAK_RECOVER_MS

struct options
{
  uint64_t seed;
  uint32_t seconds;
  const char *fronts;
  const char *links;
};

static error_t parse (int key, char *arg, struct argp_state *state);
static int read_ports (const char *path, uint16_t *ports, uint32_t count);
static void on_links (evutil_socket_t fd, short what, void *user);
static void on_begin (evutil_socket_t fd, short what, void *user);
static void on_step (evutil_socket_t fd, short what, void *user);
static void every (struct event *event, uint32_t interval_ms);
static int report (const struct soak *soak);

static const struct argp_option options[]
    = { { "seed", 's', "N", 0, "of faults and clients", 0 },
        { "seconds", 't', "S", 0, "with faults", 0 },
        { "fronts", 'f', "FILE", 0, "ports of the gateways, one a line", 0 },
        { "links", 'l', "FILE", 0, "ports of the relays, one a line", 0 },
        { 0 } };

static struct options chosen = { 1, 20, NULL, NULL };
static struct event *step;
static struct event *waiting;

int
main (int argc, char **argv)
{
  static const struct argp argp
      = { options, parse, NULL, "Fault soak of gateways.", NULL, NULL, NULL };
  static struct soak soak;
  uint16_t fronts[SOAK_GATEWAYS];
  struct event *begin;
  uint32_t i;
  int status;

  signal (SIGPIPE, SIG_IGN);
  if (argp_parse (&argp, argc, argv, 0, NULL, NULL) != 0)
    return 2;
  if (chosen.fronts == NULL || chosen.links == NULL
      || read_ports (chosen.fronts, fronts, SOAK_GATEWAYS) != 0)
    {
      fprintf (stderr, "soak: --fronts or --links: no such ports\n");
      return 2;
    }
  soak.base = event_base_new ();
  clock_init_real (&soak.clock);
  rng_init (&soak.rng, chosen.seed);
  rng_init (&soak.plan_rng, ~chosen.seed);
  platstore_init (&soak.store, soak.base);
  for (i = 0; i < SOAK_GATEWAYS; i++)
    {
      soak.gateways[i].port = fronts[i];
      soak.gateways[i].up = true;
      printf ("target 127.0.0.1:%u\n", soak.store.port);
    }
  for (i = 0; i < SOAK_WORKERS; i++)
    {
      platworker_init (&soak.workers[i].server, soak.base, "sig-soak");
      soak.workers[i].server.on_request = soak_check_arrival;
      soak.workers[i].server.user = &soak;
      printf ("target 127.0.0.1:%u\n", soak.workers[i].server.port);
    }
  fflush (stdout);
  waiting = event_new (soak.base, -1, EV_PERSIST, on_links, &soak);
  every (waiting, LINK_MS);
  step = event_new (soak.base, -1, EV_PERSIST, on_step, &soak);
  begin = evsignal_new (soak.base, SIGUSR1, on_begin, &soak);
  event_add (begin, NULL);
  event_base_dispatch (soak.base);
  soak_check_end (&soak);
  status = report (&soak);
  for (i = 0; i < SOAK_CLIENTS; i++)
    soak_client_close (&soak.clients[i]);
  soak_plan_finish (&soak);
  event_free (begin);
  event_free (step);
  return status;
}

static error_t
parse (int key, char *arg, struct argp_state *state)
{
  (void)state;
  switch (key)
    {
    case 's':
      chosen.seed = strtoull (arg, NULL, 10);
      return 0;
    case 't':
      chosen.seconds = (uint32_t)strtoul (arg, NULL, 10);
      return 0;
    case 'f':
      chosen.fronts = arg;
      return 0;
    case 'l':
      chosen.links = arg;
      return 0;
    default:
      return ARGP_ERR_UNKNOWN;
    }
}

uint64_t
soak_now (const struct soak *soak)
{
  return clock_now_ns (&soak->clock);
}

bool
soak_past (const struct soak *soak, uint64_t moment_ns, uint32_t duration_ms)
{
  return soak_now (soak) > moment_ns + duration_ms * CLOCK_NS_PER_MS;
}

bool
soak_calm (const struct soak *soak, const struct soak_trouble *trouble)
{
  return trouble->ongoing == 0
         && soak_past (soak, trouble->last_ns, SOAK_CONTACT_MS);
}

static int
read_ports (const char *path, uint16_t *ports, uint32_t count)
{
  FILE *file = fopen (path, "r");
  uint32_t i;

  if (file == NULL)
    return -1;
  for (i = 0; i < count && fscanf (file, "%hu", &ports[i]) == 1; i++)
    continue;
  fclose (file);
  return i == count ? 0 : -1;
}

static void
every (struct event *event, uint32_t interval_ms)
{
  const struct timeval interval = clock_timeval (interval_ms);

  event_add (event, &interval);
}

static void
on_links (evutil_socket_t fd, short what, void *user)
{
  struct soak *soak = user;

  (void)fd;
  (void)what;
  if (read_ports (chosen.links, soak->links, SOAK_LINKS) != 0)
    return;
  event_free (waiting);
  soak_plan_set_up (soak);
  printf ("ready\n");
  fflush (stdout);
}

static void
on_begin (evutil_socket_t fd, short what, void *user)
{
  struct soak *soak = user;

  (void)fd;
  (void)what;
  soak->start_ns = soak_now (soak);
  soak->calm_ns = soak->start_ns + chosen.seconds * CLOCK_NS_PER_S;
  soak->end_ns = soak->calm_ns + QUIET_MS * CLOCK_NS_PER_MS;
  soak->second_count = chosen.seconds + QUIET_MS / 1000;
  soak->seconds = calloc (soak->second_count, sizeof *soak->seconds);
  if (soak->seconds == NULL)
    abort ();
  every (step, STEP_MS);
}

static void
on_step (evutil_socket_t fd, short what, void *user)
{
  struct soak *soak = user;
  uint32_t i;

  (void)fd;
  (void)what;
  if (soak_now (soak) >= soak->end_ns)
    {
      event_base_loopbreak (soak->base);
      return;
    }
  soak_plan_run (soak);
  for (i = 0; i < SOAK_CLIENTS; i++)
    soak_client_run (soak, &soak->clients[i]);
}

/* The last line of what is printed; the orders are over. */
static int
report (const struct soak *soak)
{
  uint32_t broken = 0;
  uint32_t i;

  for (i = 0; i < SOAK_PROMISE_MAX; i++)
    {
      broken += soak->broken[i];
      if (soak->broken[i] > 0)
        printf ("broken %s: %u\n", soak_promise_name ((enum soak_promise)i),
                soak->broken[i]);
    }
  printf ("over seed %" PRIu64 " sent %" PRIu64 " answered %" PRIu64
          " served %" PRIu64 " changes %u broken %u\n",
          chosen.seed, soak->sent, soak->answered, soak->served, soak->key,
          broken);
  return broken > 0 ? 1 : 0;
}
