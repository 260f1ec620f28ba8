/**
 * @file schedule.c
 * Fault schedule.  A fault starts every few tenths of a second; its kind,
 * target and duration are drawn from the seed.  Faults overlap.
 */
#include "soak/soak.h"
#include "support/storeseed.h"
#include <stdio.h>
#include <stdlib.h>
#include <utlist.h>

#define FAULT_INTERVAL_MAX_MS 900 /* between the starts of two faults */
/* Between what upstreams say of themselves; drawn apart, so that the faults of
   a seed stay the same. */
#define NOTICE_INTERVAL_MAX_MS 3000
#define GRACE_MS               8000 /* drain time of a gateway, as in soak.sh */
#define REAP_MARGIN_MS         1500 /* from GRACE_MS to the check of the exit */
/* Of the store, beside some of the changes. */
#define SILENCE_MS      500
#define SILENCE_PERCENT 50

enum schedule_kind
{
  SCHEDULE_KILL,
  SCHEDULE_DRAIN,
  SCHEDULE_SUSPEND,
  SCHEDULE_RELOAD,
  SCHEDULE_KILL_ALL,
  SCHEDULE_UPSTREAM_FAULT,
  SCHEDULE_WORKER_WITHDRAW,
  SCHEDULE_LINK_FAULT,
  SCHEDULE_STORE_FAULT,
  SCHEDULE_COMPACT,
  SCHEDULE_KEY_CHANGE,
  SCHEDULE_MAX
};

/** A scheduled end of a fault. */
struct soak_fault_end
{
  uint64_t due_ns;
  void (*end) (struct soak *soak, uint32_t target);
  uint32_t target;
  uint32_t incarnation; /* of the gateway; a mismatch cancels the end */
  bool for_gateway;     /* `target` is a gateway */
  struct soak_fault_end *prev;
  struct soak_fault_end *next;
};

struct schedule_entry
{
  uint32_t weight; /* probability, relative to the sum of all */
  void (*begin) (struct soak *soak);
};

static void begin_kill (struct soak *soak);
static void begin_drain (struct soak *soak);
static void begin_suspend (struct soak *soak);
static void begin_reload (struct soak *soak);
static void begin_kill_all (struct soak *soak);
static void begin_upstream_fault (struct soak *soak);
static void begin_withdraw (struct soak *soak);
static void begin_link_fault (struct soak *soak);
static void begin_store_fault (struct soak *soak);
static void begin_compact (struct soak *soak);
static void begin_key_change (struct soak *soak);
static void begin_notice (struct soak *soak);
static void place_silence (struct soak *soak);
static void begin_silence (struct soak *soak, uint32_t target);
static void start_gateway (struct soak *soak, uint32_t target);
static void end_drain (struct soak *soak, uint32_t target);
static void end_suspend (struct soak *soak, uint32_t target);
static void end_upstream_fault (struct soak *soak, uint32_t target);
static void end_withdraw (struct soak *soak, uint32_t target);
static void end_notice (struct soak *soak, uint32_t target);
static void end_link_fault (struct soak *soak, uint32_t target);
static void end_store_fault (struct soak *soak, uint32_t target);
static void end_silence (struct soak *soak, uint32_t target);
static void begin_random_fault (struct soak *soak);
static void kill_gateway (struct soak *soak, uint32_t target,
                          uint32_t down_ms);
static void schedule_end (struct soak *soak, uint32_t delay_ms,
                          void (*end) (struct soak *soak, uint32_t target),
                          uint32_t target, bool for_gateway);
static void disturbance_ends (struct soak *soak,
                              struct soak_disturbance *disturbance);
static void send_command (struct soak *soak, const char *command,
                          uint32_t target, const char *argument);
static struct soak_disturbance *link_disturbance (struct soak *soak,
                                                  uint32_t target);

static const struct schedule_entry entries[SCHEDULE_MAX] = {
  [SCHEDULE_KILL] = { 3, begin_kill },
  [SCHEDULE_DRAIN] = { 2, begin_drain },
  [SCHEDULE_SUSPEND] = { 3, begin_suspend },
  [SCHEDULE_RELOAD] = { 1, begin_reload },
  [SCHEDULE_KILL_ALL] = { 1, begin_kill_all },
  [SCHEDULE_UPSTREAM_FAULT] = { 6, begin_upstream_fault },
  [SCHEDULE_WORKER_WITHDRAW] = { 3, begin_withdraw },
  [SCHEDULE_LINK_FAULT] = { 5, begin_link_fault },
  [SCHEDULE_STORE_FAULT] = { 4, begin_store_fault },
  [SCHEDULE_COMPACT] = { 2, begin_compact },
  [SCHEDULE_KEY_CHANGE] = { 3, begin_key_change },
};

void
soak_schedule_set_up (struct soak *soak)
{
  uint32_t i;

  for (i = 0; i < SOAK_UPSTREAMS; i++)
    storeseed_register (&soak->store, i, soak->links[SOAK_GATEWAYS + i],
                        "ready");
  storeseed_configure (&soak->store, 1, "\"key-0\"", "s2");
}

void
soak_schedule_run (struct soak *soak)
{
  uint64_t now_ns = soak_now_ns (soak);
  struct soak_fault_end *fault_end;
  struct soak_fault_end *next;
  bool faults_over = now_ns >= soak->faults_end_ns;

  for (fault_end = soak->fault_ends; fault_end != NULL; fault_end = next)
    {
      next = fault_end->next;
      /* A draining gateway keeps its grace period after the last fault. */
      if (fault_end->due_ns > now_ns
          && !(faults_over && fault_end->end != end_drain))
        continue;
      DL_DELETE (soak->fault_ends, fault_end);
      if (!fault_end->for_gateway
          || fault_end->incarnation
                 == soak->gateways[fault_end->target].incarnation)
        fault_end->end (soak, fault_end->target);
      free (fault_end);
    }
  if (!faults_over && now_ns >= soak->next_notice_ns)
    {
      soak->next_notice_ns
          = now_ns
            + rng_below (&soak->notice_rng, NOTICE_INTERVAL_MAX_MS)
                  * CLOCK_NS_PER_MS;
      begin_notice (soak);
    }
  if (faults_over || now_ns < soak->next_fault_ns)
    return;
  soak->next_fault_ns
      = now_ns
        + rng_below (&soak->schedule_rng, FAULT_INTERVAL_MAX_MS)
              * CLOCK_NS_PER_MS;
  begin_random_fault (soak);
}

void
soak_schedule_finish (struct soak *soak)
{
  struct soak_fault_end *fault_end;
  struct soak_fault_end *next;

  for (fault_end = soak->fault_ends; fault_end != NULL; fault_end = next)
    {
      next = fault_end->next;
      free (fault_end);
    }
}

static void
begin_random_fault (struct soak *soak)
{
  uint32_t total_weight = 0;
  uint32_t drawn;
  uint32_t i;

  for (i = 0; i < SCHEDULE_MAX; i++)
    total_weight += entries[i].weight;
  drawn = (uint32_t)rng_below (&soak->schedule_rng, total_weight);
  for (i = 0; drawn >= entries[i].weight; i++)
    drawn -= entries[i].weight;
  entries[i].begin (soak);
}

static void
schedule_end (struct soak *soak, uint32_t delay_ms,
              void (*end) (struct soak *soak, uint32_t target),
              uint32_t target, bool for_gateway)
{
  struct soak_fault_end *fault_end = calloc (1, sizeof *fault_end);

  if (fault_end == NULL)
    abort ();
  fault_end->due_ns = soak_now_ns (soak) + delay_ms * CLOCK_NS_PER_MS;
  fault_end->end = end;
  fault_end->target = target;
  fault_end->for_gateway = for_gateway;
  if (for_gateway)
    fault_end->incarnation = soak->gateways[target].incarnation;
  DL_APPEND (soak->fault_ends, fault_end);
}

static void
disturbance_ends (struct soak *soak, struct soak_disturbance *disturbance)
{
  disturbance->active--;
  disturbance->last_end_ns = soak_now_ns (soak);
}

static void
send_command (struct soak *soak, const char *command, uint32_t target,
              const char *argument)
{
  fprintf (stderr, "%.3f s: %s %u %s\n",
           (double)(soak_now_ns (soak) - soak->start_ns) / 1e9, command,
           target, argument);
  printf ("%s %u %s\n", command, target, argument);
  fflush (stdout);
}

/* Gateways. */

static void
kill_gateway (struct soak *soak, uint32_t target, uint32_t down_ms)
{
  struct soak_gateway *gateway = &soak->gateways[target];

  if (!gateway->up)
    return;
  send_command (soak, "kill", target, "");
  gateway->up = gateway->suspended = gateway->draining = false;
  /* Cancels the scheduled fault ends of this process. */
  gateway->incarnation++;
  schedule_end (soak, down_ms, start_gateway, target, true);
}

static void
begin_kill (struct soak *soak)
{
  kill_gateway (soak, (uint32_t)rng_below (&soak->schedule_rng, SOAK_GATEWAYS),
                (uint32_t)rng_below (&soak->schedule_rng, 2000));
}

static void
begin_kill_all (struct soak *soak)
{
  uint32_t i;

  for (i = 0; i < SOAK_GATEWAYS; i++)
    kill_gateway (soak, i, (uint32_t)rng_below (&soak->schedule_rng, 500));
}

static void
start_gateway (struct soak *soak, uint32_t target)
{
  struct soak_gateway *gateway = &soak->gateways[target];

  send_command (soak, "start", target, "");
  gateway->up = true;
  gateway->key_seen = 0;
  gateway->restarted_ns = soak_now_ns (soak);
}

static void
begin_drain (struct soak *soak)
{
  uint32_t target = (uint32_t)rng_below (&soak->schedule_rng, SOAK_GATEWAYS);
  struct soak_gateway *gateway = &soak->gateways[target];

  if (!gateway->up || gateway->suspended || gateway->draining)
    return;
  send_command (soak, "term", target, "");
  gateway->draining = true;
  schedule_end (soak, GRACE_MS + REAP_MARGIN_MS, end_drain, target, true);
}

static void
end_drain (struct soak *soak, uint32_t target)
{
  send_command (soak, "reap", target, "");
  soak->gateways[target].incarnation++;
  soak->gateways[target].draining = false;
  start_gateway (soak, target);
}

static void
begin_suspend (struct soak *soak)
{
  uint32_t target = (uint32_t)rng_below (&soak->schedule_rng, SOAK_GATEWAYS);
  struct soak_gateway *gateway = &soak->gateways[target];

  if (!gateway->up || gateway->suspended || gateway->draining)
    return;
  send_command (soak, "stop", target, "");
  gateway->suspended = true;
  schedule_end (soak, 50 + (uint32_t)rng_below (&soak->schedule_rng, 3000),
                end_suspend, target, true);
}

static void
end_suspend (struct soak *soak, uint32_t target)
{
  send_command (soak, "cont", target, "");
  soak->gateways[target].suspended = false;
  soak->gateways[target].restarted_ns = soak_now_ns (soak);
}

static void
begin_reload (struct soak *soak)
{
  uint32_t target = (uint32_t)rng_below (&soak->schedule_rng, SOAK_GATEWAYS);

  if (soak->gateways[target].up)
    send_command (soak, "hup", target, "");
}

/* Upstreams. */

static void
begin_upstream_fault (struct soak *soak)
{
  static const enum upstreamserver_behaviour behaviours[]
      = { UPSTREAMSERVER_REJECT,        UPSTREAMSERVER_MISDIRECTED,
          UPSTREAMSERVER_FAIL,          UPSTREAMSERVER_HANG,
          UPSTREAMSERVER_WRONG_ATTEMPT, UPSTREAMSERVER_EXTRA_RESPONSE,
          UPSTREAMSERVER_RESET };
  uint32_t target = (uint32_t)rng_below (&soak->schedule_rng, SOAK_UPSTREAMS);
  struct soak_upstream *upstream = &soak->upstreams[target];

  if (upstream->permille > 0)
    return;
  upstream->behaviour = behaviours[rng_below (
      &soak->schedule_rng, sizeof behaviours / sizeof behaviours[0])];
  upstream->permille = 100 + (uint32_t)rng_below (&soak->schedule_rng, 901);
  fprintf (stderr, "%.3f s: upstream %u fault %d\n",
           (double)(soak_now_ns (soak) - soak->start_ns) / 1e9, target,
           (int)upstream->behaviour);
  schedule_end (soak, 500 + (uint32_t)rng_below (&soak->schedule_rng, 3000),
                end_upstream_fault, target, false);
}

static void
end_upstream_fault (struct soak *soak, uint32_t target)
{
  soak->upstreams[target].permille = 0;
}

/* The upstream names a limit, or wants nothing. */
static void
begin_notice (struct soak *soak)
{
  uint32_t target = (uint32_t)rng_below (&soak->notice_rng, SOAK_UPSTREAMS);
  uint32_t limit_per_s
      = (uint32_t)rng_below (&soak->notice_rng, SOAK_LIMIT_MAX + 1);
  struct soak_upstream *upstream = &soak->upstreams[target];
  struct soak_notice *notice = &upstream->notice;

  if (notice->begun_ns != 0)
    return;
  *notice = (struct soak_notice){ .begun_ns = soak_now_ns (soak),
                                  .limit_per_s = limit_per_s };
  if (limit_per_s > 0)
    snprintf (notice->header, sizeof notice->header, "Server-Limit: %u.0\r\n",
              limit_per_s);
  else
    snprintf (notice->header, sizeof notice->header, "Retry-After: %u\r\n",
              SOAK_PAUSE_MS / 1000);
  upstream->server.extra_headers = notice->header;
  schedule_end (soak, 3000 + (uint32_t)rng_below (&soak->notice_rng, 7000),
                end_notice, target, false);
}

static void
end_notice (struct soak *soak, uint32_t target)
{
  soak->upstreams[target].server.extra_headers = NULL;
  soak->upstreams[target].notice.begun_ns = 0;
}

/* Registers the upstream as draining or deletes it from the store; the end of
   the fault registers it as ready again. */
static void
begin_withdraw (struct soak *soak)
{
  uint32_t target = (uint32_t)rng_below (&soak->schedule_rng, SOAK_UPSTREAMS);
  struct soak_upstream *upstream = &soak->upstreams[target];
  char key[32];

  if (upstream->withdrawn_ns != 0)
    return;
  place_silence (soak);
  upstream->withdrawn_ns = soak_now_ns (soak);
  if (rng_below (&soak->schedule_rng, 2) == 0)
    storeseed_register (&soak->store, target,
                        soak->links[SOAK_GATEWAYS + target], "draining");
  else
    {
      snprintf (key, sizeof key, "servers/w-%u", target);
      storeserver_put (&soak->store, key, NULL);
    }
  schedule_end (soak, 500 + (uint32_t)rng_below (&soak->schedule_rng, 6000),
                end_withdraw, target, false);
}

static void
end_withdraw (struct soak *soak, uint32_t target)
{
  soak->upstreams[target].withdrawn_ns = 0;
  storeseed_register (&soak->store, target,
                      soak->links[SOAK_GATEWAYS + target], "ready");
}

/* Links, in the order of their numbers: one from each gateway to the store,
   then one from all gateways to each upstream. */

static struct soak_disturbance *
link_disturbance (struct soak *soak, uint32_t target)
{
  return target < SOAK_GATEWAYS ? &soak->gateways[target].disturbance
                                : &soak->links_disturbance;
}

static void
begin_link_fault (struct soak *soak)
{
  static const char *const faults[] = { "partition", "one-way", "reset" };
  uint32_t target = (uint32_t)rng_below (&soak->schedule_rng, SOAK_LINKS);

  if (soak->link_faulty[target])
    return;
  soak->link_faulty[target] = true;
  link_disturbance (soak, target)->active++;
  send_command (soak, "link", target,
                faults[rng_below (&soak->schedule_rng, 3)]);
  schedule_end (soak, 50 + (uint32_t)rng_below (&soak->schedule_rng, 4000),
                end_link_fault, target, false);
}

static void
end_link_fault (struct soak *soak, uint32_t target)
{
  soak->link_faulty[target] = false;
  send_command (soak, "link", target, "none");
  disturbance_ends (soak, link_disturbance (soak, target));
}

/* The store. */

static void
begin_store_fault (struct soak *soak)
{
  if (soak->store.fault != STORESERVER_FAULT_NONE)
    return;
  soak->store.fault = (enum storeserver_fault) (
      1 + rng_below (&soak->schedule_rng, STORESERVER_FAULT_MAX - 1));
  soak->store_disturbance.active++;
  fprintf (stderr, "%.3f s: store fault %d\n",
           (double)(soak_now_ns (soak) - soak->start_ns) / 1e9,
           (int)soak->store.fault);
  schedule_end (soak, 100 + (uint32_t)rng_below (&soak->schedule_rng, 5000),
                end_store_fault, 0, false);
}

static void
end_store_fault (struct soak *soak, uint32_t target)
{
  (void)target;
  soak->store.fault = STORESERVER_FAULT_NONE;
  disturbance_ends (soak, &soak->store_disturbance);
}

/* Called before a change: the silence begins before it, or up to its length
   after it. */
static void
place_silence (struct soak *soak)
{
  uint32_t delay_ms
      = (uint32_t)rng_below (&soak->silence_rng, 2ULL * SILENCE_MS);

  if (rng_below (&soak->silence_rng, 100) >= SILENCE_PERCENT)
    return;
  if (delay_ms < SILENCE_MS)
    begin_silence (soak, 0);
  else
    schedule_end (soak, delay_ms - SILENCE_MS, begin_silence, 0, false);
}

/* No disturbance: the promises hold despite it. */
static void
begin_silence (struct soak *soak, uint32_t target)
{
  (void)target;
  if (soak->store.silent)
    return;
  soak->store.silent = true;
  soak->silences++;
  fprintf (stderr, "%.3f s: store silent\n",
           (double)(soak_now_ns (soak) - soak->start_ns) / 1e9);
  schedule_end (soak, SILENCE_MS, end_silence, 0, false);
}

/* Changes that were not due yet count from the end of the silence. */
static void
end_silence (struct soak *soak, uint32_t target)
{
  uint64_t now_ns = soak_now_ns (soak);
  uint64_t *key_ns = &soak->key_ns[soak->key];
  uint32_t i;

  (void)target;
  soak->store.silent = false;
  if (soak->key > 0 && !soak_elapsed (soak, *key_ns, SOAK_CONFIG_MS))
    *key_ns = now_ns;
  for (i = 0; i < SOAK_UPSTREAMS; i++)
    {
      uint64_t *withdrawn_ns = &soak->upstreams[i].withdrawn_ns;

      if (*withdrawn_ns != 0
          && !soak_elapsed (soak, *withdrawn_ns, SOAK_WITHDRAW_MS))
        *withdrawn_ns = now_ns;
    }
}

static void
begin_compact (struct soak *soak)
{
  storeserver_compact (&soak->store);
}

static void
begin_key_change (struct soak *soak)
{
  char keys[32];

  if (soak->key + 1 == SOAK_KEYS_MAX)
    return;
  place_silence (soak);
  soak->key++;
  soak->key_ns[soak->key] = soak_now_ns (soak);
  snprintf (keys, sizeof keys, "\"key-%u\"", soak->key);
  storeseed_configure (&soak->store, soak->key + 1, keys, "s2");
  fprintf (stderr, "%.3f s: API key changed to %u\n",
           (double)(soak_now_ns (soak) - soak->start_ns) / 1e9, soak->key);
}
