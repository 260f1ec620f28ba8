/**
 * @file plan.c
 * The plan of faults: one begins every few tenths of a second, of a kind and
 * at a place drawn from the seed; each ends after a while.  They overlap.
 */
#include "soak/soak.h"
#include "support/platscene.h"
#include <stdio.h>
#include <stdlib.h>
#include <utlist.h>

#define BETWEEN_MS 900  /* from one fault to the next, at most */
#define GRACE_MS   8000 /* of a gateway that is told to leave */
#define REAP_MS    1500 /* more than its grace */

enum plan_kind
{
  PLAN_KILL,
  PLAN_LEAVE,
  PLAN_FREEZE,
  PLAN_RELOAD,
  PLAN_HERD,
  PLAN_WORKER,
  PLAN_WORKER_LEAVES,
  PLAN_LINK,
  PLAN_STORE,
  PLAN_COMPACT,
  PLAN_KEY,
  PLAN_MAX
};

/** What ends a fault, or goes on with it. */
struct soak_pending
{
  uint64_t due_ns;
  void (*end) (struct soak *soak, uint32_t place);
  uint32_t place;
  uint32_t lifetime; /* of the gateway, when it is one */
  bool of_gateway;
  struct soak_pending *prev;
  struct soak_pending *next;
};

struct plan_entry
{
  uint32_t weight;
  void (*begin) (struct soak *soak);
};

static void begin_kill (struct soak *soak);
static void begin_leave (struct soak *soak);
static void begin_freeze (struct soak *soak);
static void begin_reload (struct soak *soak);
static void begin_herd (struct soak *soak);
static void begin_worker (struct soak *soak);
static void begin_worker_leaves (struct soak *soak);
static void begin_link (struct soak *soak);
static void begin_store (struct soak *soak);
static void begin_compact (struct soak *soak);
static void begin_key (struct soak *soak);
static void end_kill (struct soak *soak, uint32_t place);
static void end_leave (struct soak *soak, uint32_t place);
static void end_freeze (struct soak *soak, uint32_t place);
static void end_worker (struct soak *soak, uint32_t place);
static void end_worker_leaves (struct soak *soak, uint32_t place);
static void end_link (struct soak *soak, uint32_t place);
static void end_store (struct soak *soak, uint32_t place);
static void begin_one (struct soak *soak);
static void kill_one (struct soak *soak, uint32_t place, uint32_t down_ms);
static void later (struct soak *soak, uint32_t delay_ms,
                   void (*end) (struct soak *soak, uint32_t place),
                   uint32_t place, bool of_gateway);
static void trouble_ends (struct soak *soak, struct soak_trouble *trouble);
static void order (struct soak *soak, const char *what, uint32_t place,
                   const char *more);
static struct soak_trouble *trouble_of_link (struct soak *soak,
                                             uint32_t place);

static const struct plan_entry kinds[PLAN_MAX] = {
  [PLAN_KILL] = { 3, begin_kill },
  [PLAN_LEAVE] = { 2, begin_leave },
  [PLAN_FREEZE] = { 3, begin_freeze },
  [PLAN_RELOAD] = { 1, begin_reload },
  [PLAN_HERD] = { 1, begin_herd },
  [PLAN_WORKER] = { 6, begin_worker },
  [PLAN_WORKER_LEAVES] = { 3, begin_worker_leaves },
  [PLAN_LINK] = { 5, begin_link },
  [PLAN_STORE] = { 4, begin_store },
  [PLAN_COMPACT] = { 2, begin_compact },
  [PLAN_KEY] = { 3, begin_key },
};

void
soak_plan_set_up (struct soak *soak)
{
  uint32_t i;

  for (i = 0; i < SOAK_WORKERS; i++)
    platscene_announce (&soak->store, i, soak->links[SOAK_GATEWAYS + i],
                        "ready");
  platscene_configure (&soak->store, 1, "\"key-0\"", "s2");
}

void
soak_plan_run (struct soak *soak)
{
  uint64_t now_ns = soak_now (soak);
  struct soak_pending *pending;
  struct soak_pending *next;
  bool over = now_ns >= soak->calm_ns;

  for (pending = soak->pending; pending != NULL; pending = next)
    {
      next = pending->next;
      /* A gateway that leaves has its grace, whatever else ends. */
      if (pending->due_ns > now_ns && !(over && pending->end != end_leave))
        continue;
      DL_DELETE (soak->pending, pending);
      if (!pending->of_gateway
          || pending->lifetime == soak->gateways[pending->place].lifetime)
        pending->end (soak, pending->place);
      free (pending);
    }
  if (over || now_ns < soak->next_fault_ns)
    return;
  soak->next_fault_ns
      = now_ns + rng_below (&soak->plan_rng, BETWEEN_MS) * CLOCK_NS_PER_MS;
  begin_one (soak);
}

void
soak_plan_finish (struct soak *soak)
{
  struct soak_pending *pending;
  struct soak_pending *next;

  for (pending = soak->pending; pending != NULL; pending = next)
    {
      next = pending->next;
      free (pending);
    }
}

static void
begin_one (struct soak *soak)
{
  uint32_t all = 0;
  uint32_t drawn;
  uint32_t i;

  for (i = 0; i < PLAN_MAX; i++)
    all += kinds[i].weight;
  drawn = (uint32_t)rng_below (&soak->plan_rng, all);
  for (i = 0; drawn >= kinds[i].weight; i++)
    drawn -= kinds[i].weight;
  kinds[i].begin (soak);
}

static void
later (struct soak *soak, uint32_t delay_ms,
       void (*end) (struct soak *soak, uint32_t place), uint32_t place,
       bool of_gateway)
{
  struct soak_pending *pending = calloc (1, sizeof *pending);

  if (pending == NULL)
    abort ();
  pending->due_ns = soak_now (soak) + delay_ms * CLOCK_NS_PER_MS;
  pending->end = end;
  pending->place = place;
  pending->of_gateway = of_gateway;
  if (of_gateway)
    pending->lifetime = soak->gateways[place].lifetime;
  DL_APPEND (soak->pending, pending);
}

static void
trouble_ends (struct soak *soak, struct soak_trouble *trouble)
{
  trouble->ongoing--;
  trouble->last_ns = soak_now (soak);
}

static void
order (struct soak *soak, const char *what, uint32_t place, const char *more)
{
  fprintf (stderr, "%.3f s: %s %u %s\n",
           (double)(soak_now (soak) - soak->start_ns) / 1e9, what, place,
           more);
  printf ("%s %u %s\n", what, place, more);
  fflush (stdout);
}

/* Gateways. */

static void
kill_one (struct soak *soak, uint32_t place, uint32_t down_ms)
{
  struct soak_gateway *gateway = &soak->gateways[place];

  if (!gateway->up)
    return;
  order (soak, "kill", place, "");
  gateway->up = gateway->frozen = gateway->leaving = false;
  /* What else was to befall this process is void. */
  gateway->lifetime++;
  later (soak, down_ms, end_kill, place, true);
}

static void
begin_kill (struct soak *soak)
{
  kill_one (soak, (uint32_t)rng_below (&soak->plan_rng, SOAK_GATEWAYS),
            (uint32_t)rng_below (&soak->plan_rng, 2000));
}

static void
begin_herd (struct soak *soak)
{
  uint32_t i;

  for (i = 0; i < SOAK_GATEWAYS; i++)
    kill_one (soak, i, (uint32_t)rng_below (&soak->plan_rng, 500));
}

static void
end_kill (struct soak *soak, uint32_t place)
{
  struct soak_gateway *gateway = &soak->gateways[place];

  order (soak, "start", place, "");
  gateway->up = true;
  gateway->key_seen = 0;
  gateway->restarted_ns = soak_now (soak);
}

static void
begin_leave (struct soak *soak)
{
  uint32_t place = (uint32_t)rng_below (&soak->plan_rng, SOAK_GATEWAYS);
  struct soak_gateway *gateway = &soak->gateways[place];

  if (!gateway->up || gateway->frozen || gateway->leaving)
    return;
  order (soak, "term", place, "");
  gateway->leaving = true;
  later (soak, GRACE_MS + REAP_MS, end_leave, place, true);
}

static void
end_leave (struct soak *soak, uint32_t place)
{
  order (soak, "reap", place, "");
  soak->gateways[place].lifetime++;
  soak->gateways[place].leaving = false;
  end_kill (soak, place);
}

static void
begin_freeze (struct soak *soak)
{
  uint32_t place = (uint32_t)rng_below (&soak->plan_rng, SOAK_GATEWAYS);
  struct soak_gateway *gateway = &soak->gateways[place];

  if (!gateway->up || gateway->frozen || gateway->leaving)
    return;
  order (soak, "stop", place, "");
  gateway->frozen = true;
  later (soak, 50 + (uint32_t)rng_below (&soak->plan_rng, 3000), end_freeze,
         place, true);
}

static void
end_freeze (struct soak *soak, uint32_t place)
{
  order (soak, "cont", place, "");
  soak->gateways[place].frozen = false;
  soak->gateways[place].restarted_ns = soak_now (soak);
}

static void
begin_reload (struct soak *soak)
{
  uint32_t place = (uint32_t)rng_below (&soak->plan_rng, SOAK_GATEWAYS);

  if (soak->gateways[place].up)
    order (soak, "hup", place, "");
}

/* Workers. */

static void
begin_worker (struct soak *soak)
{
  static const enum platworker_act acts[]
      = { PLATWORKER_FULL, PLATWORKER_OTHER,   PLATWORKER_FAIL,
          PLATWORKER_HANG, PLATWORKER_FOREIGN, PLATWORKER_EXTRA,
          PLATWORKER_RESET };
  uint32_t place = (uint32_t)rng_below (&soak->plan_rng, SOAK_WORKERS);
  struct soak_worker *worker = &soak->workers[place];

  if (worker->permille > 0)
    return;
  worker->act
      = acts[rng_below (&soak->plan_rng, sizeof acts / sizeof acts[0])];
  worker->permille = 100 + (uint32_t)rng_below (&soak->plan_rng, 901);
  later (soak, 500 + (uint32_t)rng_below (&soak->plan_rng, 3000), end_worker,
         place, false);
}

static void
end_worker (struct soak *soak, uint32_t place)
{
  soak->workers[place].permille = 0;
}

/* It says so, or is gone from the store; then it is there again. */
static void
begin_worker_leaves (struct soak *soak)
{
  uint32_t place = (uint32_t)rng_below (&soak->plan_rng, SOAK_WORKERS);
  struct soak_worker *worker = &soak->workers[place];
  char key[32];

  if (worker->leaving_ns != 0)
    return;
  worker->leaving_ns = soak_now (soak);
  if (rng_below (&soak->plan_rng, 2) == 0)
    platscene_announce (&soak->store, place,
                        soak->links[SOAK_GATEWAYS + place], "draining");
  else
    {
      snprintf (key, sizeof key, "servers/w-%u", place);
      platstore_put (&soak->store, key, NULL);
    }
  later (soak, 500 + (uint32_t)rng_below (&soak->plan_rng, 6000),
         end_worker_leaves, place, false);
}

static void
end_worker_leaves (struct soak *soak, uint32_t place)
{
  soak->workers[place].leaving_ns = 0;
  platscene_announce (&soak->store, place, soak->links[SOAK_GATEWAYS + place],
                      "ready");
}

/* Links: of gateways to the store, then of all gateways to a worker. */

static struct soak_trouble *
trouble_of_link (struct soak *soak, uint32_t place)
{
  return place < SOAK_GATEWAYS ? &soak->gateways[place].trouble
                               : &soak->links_trouble;
}

static void
begin_link (struct soak *soak)
{
  static const char *const faults[] = { "partition", "one-way", "reset" };
  uint32_t place = (uint32_t)rng_below (&soak->plan_rng, SOAK_LINKS);

  if (soak->link_cut[place])
    return;
  soak->link_cut[place] = true;
  trouble_of_link (soak, place)->ongoing++;
  order (soak, "link", place, faults[rng_below (&soak->plan_rng, 3)]);
  later (soak, 50 + (uint32_t)rng_below (&soak->plan_rng, 4000), end_link,
         place, false);
}

static void
end_link (struct soak *soak, uint32_t place)
{
  soak->link_cut[place] = false;
  order (soak, "link", place, "none");
  trouble_ends (soak, trouble_of_link (soak, place));
}

/* The store. */

static void
begin_store (struct soak *soak)
{
  if (soak->store.fault != PLATSTORE_FINE)
    return;
  soak->store.fault = (enum platstore_fault) (
      1 + rng_below (&soak->plan_rng, PLATSTORE_FAULT_MAX - 1));
  soak->store_trouble.ongoing++;
  fprintf (stderr, "%.3f s: store %d\n",
           (double)(soak_now (soak) - soak->start_ns) / 1e9,
           (int)soak->store.fault);
  later (soak, 100 + (uint32_t)rng_below (&soak->plan_rng, 5000), end_store, 0,
         false);
}

static void
end_store (struct soak *soak, uint32_t place)
{
  (void)place;
  soak->store.fault = PLATSTORE_FINE;
  trouble_ends (soak, &soak->store_trouble);
}

static void
begin_compact (struct soak *soak)
{
  platstore_compact (&soak->store);
}

static void
begin_key (struct soak *soak)
{
  char keys[32];

  if (soak->key + 1 == SOAK_KEYS_MAX)
    return;
  soak->key++;
  soak->key_ns[soak->key] = soak_now (soak);
  snprintf (keys, sizeof keys, "\"key-%u\"", soak->key);
  platscene_configure (&soak->store, soak->key + 1, keys, "s2");
  fprintf (stderr, "%.3f s: key %u\n",
           (double)(soak_now (soak) - soak->start_ns) / 1e9, soak->key);
}
