/**
 * @file main.c
 * `soak --seed N --seconds S --fronts FILE --links FILE`: runs the services
 * around the gateways, the clients, the faults and the checks.  Starts on
 * SIGUSR1 and prints the number of violations at the end.
 */
#include "soak/soak.h"
#include <argp.h>
#include <inttypes.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>

#define STEP_MS       2  /**< interval of clients and schedule */
#define LINKS_POLL_MS 10 /**< interval of polling for the file of links */
#define QUIET_MS      SOAK_RECOVER_MS /**< time without faults at the end */

struct options
{
  uint64_t seed;
  uint32_t seconds;
  const char *fronts;
  const char *links;
};

static error_t parse (int key, char *arg, struct argp_state *state);
static void print_counts (const struct soak *soak);
static int read_ports (const char *path, uint16_t *ports, uint32_t count);
static void on_links (evutil_socket_t fd, short what, void *user);
static void on_start (evutil_socket_t fd, short what, void *user);
static void on_step (evutil_socket_t fd, short what, void *user);
static void add_periodic (struct event *event, uint32_t interval_ms);
static int report (const struct soak *soak);

static const struct argp_option options[]
    = { { "seed", 's', "N", 0, "seed of faults and clients", 0 },
        { "seconds", 't', "S", 0, "duration of the faults", 0 },
        { "fronts", 'f', "FILE", 0, "ports of the gateways, one per line", 0 },
        { "links", 'l', "FILE", 0, "ports of the relays, one per line", 0 },
        { 0 } };

static struct options settings = { 1, 20, NULL, NULL };
static struct event *step_timer;
static struct event *links_timer;

int
main (int argc, char **argv)
{
  static const struct argp argp
      = { options, parse, NULL, "Soak test of gateways under random faults.",
          NULL,    NULL,  NULL };
  static struct soak soak;
  uint16_t fronts[SOAK_GATEWAYS];
  struct event *start;
  uint32_t i;
  int status;

  signal (SIGPIPE, SIG_IGN);
  if (argp_parse (&argp, argc, argv, 0, NULL, NULL) != 0)
    return 2;
  if (settings.fronts == NULL || settings.links == NULL
      || read_ports (settings.fronts, fronts, SOAK_GATEWAYS) != 0)
    {
      fprintf (stderr, "soak: --fronts or --links: missing file or ports\n");
      return 2;
    }
  soak.base = event_base_new ();
  clock_init_real (&soak.clock);
  rng_init (&soak.rng, settings.seed);
  rng_init (&soak.schedule_rng, ~settings.seed);
  rng_init (&soak.notice_rng, settings.seed << 32 | 1);
  rng_init (&soak.silence_rng, settings.seed << 32 | 2);
  storeserver_init (&soak.store, soak.base);
  for (i = 0; i < SOAK_GATEWAYS; i++)
    {
      soak.gateways[i].port = fronts[i];
      soak.gateways[i].up = true;
      printf ("target 127.0.0.1:%u\n", soak.store.port);
    }
  for (i = 0; i < SOAK_UPSTREAMS; i++)
    {
      upstreamserver_init (&soak.upstreams[i].server, soak.base, "sig-soak");
      soak.upstreams[i].server.on_request = soak_check_arrival;
      soak.upstreams[i].server.user = &soak;
      printf ("target 127.0.0.1:%u\n", soak.upstreams[i].server.port);
    }
  fflush (stdout);
  links_timer = event_new (soak.base, -1, EV_PERSIST, on_links, &soak);
  add_periodic (links_timer, LINKS_POLL_MS);
  step_timer = event_new (soak.base, -1, EV_PERSIST, on_step, &soak);
  start = evsignal_new (soak.base, SIGUSR1, on_start, &soak);
  event_add (start, NULL);
  event_base_dispatch (soak.base);
  soak_check_end (&soak);
  status = report (&soak);
  for (i = 0; i < SOAK_CLIENTS; i++)
    soak_client_close (&soak.clients[i]);
  soak_schedule_finish (&soak);
  event_free (start);
  event_free (step_timer);
  return status;
}

static error_t
parse (int key, char *arg, struct argp_state *state)
{
  (void)state;
  switch (key)
    {
    case 's':
      settings.seed = strtoull (arg, NULL, 10);
      return 0;
    case 't':
      settings.seconds = (uint32_t)strtoul (arg, NULL, 10);
      return 0;
    case 'f':
      settings.fronts = arg;
      return 0;
    case 'l':
      settings.links = arg;
      return 0;
    default:
      return ARGP_ERR_UNKNOWN;
    }
}

uint64_t
soak_now_ns (const struct soak *soak)
{
  return clock_now_ns (&soak->clock);
}

bool
soak_elapsed (const struct soak *soak, uint64_t moment_ns,
              uint32_t duration_ms)
{
  return soak_now_ns (soak) > moment_ns + duration_ms * CLOCK_NS_PER_MS;
}

bool
soak_undisturbed (const struct soak *soak,
                  const struct soak_disturbance *disturbance)
{
  return disturbance->active == 0
         && soak_elapsed (soak, disturbance->last_end_ns, SOAK_SETTLE_MS);
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
add_periodic (struct event *event, uint32_t interval_ms)
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
  if (read_ports (settings.links, soak->links, SOAK_LINKS) != 0)
    return;
  event_free (links_timer);
  soak_schedule_set_up (soak);
  printf ("ready\n");
  fflush (stdout);
}

static void
on_start (evutil_socket_t fd, short what, void *user)
{
  struct soak *soak = user;

  (void)fd;
  (void)what;
  soak->start_ns = soak_now_ns (soak);
  soak->faults_end_ns = soak->start_ns + settings.seconds * CLOCK_NS_PER_S;
  soak->end_ns = soak->faults_end_ns + QUIET_MS * CLOCK_NS_PER_MS;
  soak->second_count = settings.seconds + QUIET_MS / 1000;
  soak->seconds = calloc (soak->second_count, sizeof *soak->seconds);
  if (soak->seconds == NULL)
    abort ();
  add_periodic (step_timer, STEP_MS);
}

static void
on_step (evutil_socket_t fd, short what, void *user)
{
  struct soak *soak = user;
  uint32_t i;

  (void)fd;
  (void)what;
  if (soak_now_ns (soak) >= soak->end_ns)
    {
      event_base_loopbreak (soak->base);
      return;
    }
  soak_schedule_run (soak);
  for (i = 0; i < SOAK_CLIENTS; i++)
    soak_client_run (soak, &soak->clients[i]);
}

/* Prints the result as the last lines of the output, after all commands. */
static int
report (const struct soak *soak)
{
  uint32_t violations = 0;
  uint32_t i;

  for (i = 0; i < SOAK_INVARIANT_MAX; i++)
    {
      violations += soak->violations[i];
      if (soak->violations[i] > 0)
        printf ("broken %s: %u\n",
                soak_invariant_name ((enum soak_invariant)i),
                soak->violations[i]);
    }
  printf ("over seed %" PRIu64 " sent %" PRIu64 " answered %" PRIu64
          " served %" PRIu64 " changes %u broken %u\n",
          settings.seed, soak->sent, soak->answered, soak->served, soak->key,
          violations);
  print_counts (soak);
  return violations > 0 ? 1 : 0;
}

/* What the run has exercised. */
static void
print_counts (const struct soak *soak)
{
  const struct soak_form *form;
  struct soak_request *request;

  for (form = soak_forms; form < soak_forms + SOAK_FORMS; form++)
    {
      uint32_t sent = 0;
      uint32_t forwarded = 0;
      uint32_t served = 0;
      uint32_t invalid = 0;

      for (request = soak->requests; request != NULL;
           request = request->hh.next)
        {
          if (request->form != form)
            continue;
          sent++;
          forwarded += request->arrivals > 0;
          served += request->status == 200;
          invalid += request->status == 400;
        }
      printf ("count %s sent %u forwarded %u served %u invalid %u\n",
              form->name, sent, forwarded, served, invalid);
    }
  printf ("count unframed_resets %u silences %u\n", soak->unframed_resets,
          soak->silences);
}
