/**
 * @file test_model.c
 * Model checks: every interleaving, up to a stated depth, of what reaches the
 * two tables in which a mistake costs most: the lives of an upstream, as the
 * store and other instances tell of it, and the attempts of a request.
 */
#include "state/attempt.h"
#include "state/err.h"
#include "state/registry.h"
#include "support/suite.h"
#include <stdio.h>
#include <string.h>

/* Lives of an upstream. */

#define HISTORY 4 /* changes of one upstream in the store */
#define DEPTH   6 /* deliveries of a path; more find nothing new */

/** A change in the store. */
enum change
{
  CHANGE_READY,
  CHANGE_DRAINING,
  CHANGE_GONE,
  CHANGE_REBORN, /**< ready, as another life under the same identity */
  CHANGE_MAX
};

/** How news arrive, from two sources: the store and another instance, or two
    instances, of which one may lag. */
enum delivery
{
  DELIVERY_CHANGE,    /**< the newest change up to a revision */
  DELIVERY_LISTING,   /**< a whole listing */
  DELIVERY_PASSED_ON, /**< the other source: one change */
  DELIVERY_COPY,      /**< the other source: all that it holds */
  DELIVERY_MAX
};

struct step
{
  enum delivery delivery;
  uint64_t revision; /* that its source has reached */
};

struct world
{
  enum change history[HISTORY]; /* revision 1 and on */
  struct step path[DEPTH];
  uint64_t grace_ns; /* for entries that the store lost */
  uint64_t paths;
  uint64_t wrong;
};

static uint64_t
start_of (const struct world *world, uint64_t revision)
{
  uint64_t start_ms = 1000;
  uint64_t i;

  for (i = 0; i < revision; i++)
    if (world->history[i] == CHANGE_REBORN)
      start_ms = 1000 + i;
  return start_ms;
}

static void
tell (const struct world *world, struct registry *registry, uint64_t revision)
{
  struct registry_record record = { .identity = "a",
                                    .address = "10.0.0.1:80",
                                    .service_id = 5,
                                    .slots = 4,
                                    .revision = revision };
  enum change change = world->history[revision - 1];

  if (change == CHANGE_GONE)
    {
      registry_mark_missing (registry, "a", revision, world->grace_ns, 1);
      return;
    }
  record.draining = change == CHANGE_DRAINING;
  record.start_ms = start_of (world, revision);
  registry_put (registry, &record);
}

/* The upstream is one of those listed, unless it is gone by then. */
static void
list (const struct world *world, struct registry *registry, uint64_t revision)
{
  if (revision > 0 && world->history[revision - 1] != CHANGE_GONE)
    tell (world, registry, revision);
}

static void
deliver (const struct world *world, struct registry *registry,
         const struct step *step)
{
  switch (step->delivery)
    {
    case DELIVERY_CHANGE:
      tell (world, registry, step->revision);
      break;
    case DELIVERY_LISTING:
    case DELIVERY_COPY:
      registry_listing_begin (registry);
      list (world, registry, step->revision);
      registry_listing_end (registry, step->revision, world->grace_ns, 1);
      break;
    case DELIVERY_PASSED_ON:
      tell (world, registry, step->revision);
      break;
    case DELIVERY_MAX:
      break;
    }
}

/* The table is as of the newest revision that anyone has told. */
static bool
is_right (const struct world *world, const struct registry *registry,
          uint64_t newest)
{
  const struct registry_upstream *upstream = registry->upstreams;
  enum change change;

  if (newest == 0)
    return upstream == NULL;
  change = world->history[newest - 1];
  if (change == CHANGE_GONE)
    return upstream == NULL
           || (world->grace_ns > 0 && upstream->missing_ns != 0);
  return upstream != NULL && upstream->hh.next == NULL
         && upstream->missing_ns == 0
         && upstream->record.start_ms == start_of (world, newest)
         && registry_usable (upstream, 5) == (change != CHANGE_DRAINING);
}

static void
play (struct world *world, uint32_t length)
{
  struct registry registry;
  uint64_t newest = 0;
  uint32_t i;

  world->paths++;
  registry_init (&registry);
  for (i = 0; i < length; i++)
    {
      const struct step *step = &world->path[i];

      deliver (world, &registry, step);
      if (step->revision > newest)
        newest = step->revision;
    }
  if (!is_right (world, &registry, newest) && world->wrong++ < 3)
    {
      printf ("history");
      for (i = 0; i < HISTORY; i++)
        printf (" %d", (int)world->history[i]);
      printf (", path");
      for (i = 0; i < length; i++)
        printf (" %d@%d", (int)world->path[i].delivery,
                (int)world->path[i].revision);
      printf ("\n");
    }
  registry_finish (&registry);
}

/* All that can come next: each source only goes forward. */
static void
explore (struct world *world, uint32_t depth, uint64_t own, uint64_t others)
{
  struct step *step = &world->path[depth];
  uint64_t revision;

  play (world, depth);
  if (depth == DEPTH)
    return;
  for (revision = own + 1; revision <= HISTORY; revision++)
    {
      *step = (struct step){ DELIVERY_CHANGE, revision };
      explore (world, depth + 1, revision, others);
      *step = (struct step){ DELIVERY_LISTING, revision };
      explore (world, depth + 1, revision, others);
    }
  for (revision = others + 1; revision <= HISTORY; revision++)
    {
      *step = (struct step){ DELIVERY_PASSED_ON, revision };
      explore (world, depth + 1, own, revision);
      *step = (struct step){ DELIVERY_COPY, revision };
      explore (world, depth + 1, own, revision);
    }
}

static void
test_lives (void)
{
  struct world world = { .history = { CHANGE_READY } };
  uint32_t code;
  uint32_t i;

  /* All histories that begin with an upstream that is ready; what is gone
     comes back as another life. */
  for (code = 0; code < 64; code++)
    {
      bool possible = true;

      for (i = 1; i < HISTORY; i++)
        {
          world.history[i] = (enum change) ((code >> (2 * (i - 1))) & 3);
          if (world.history[i - 1] == CHANGE_GONE
              && world.history[i] != CHANGE_REBORN)
            possible = false;
        }
      if (!possible)
        continue;
      for (world.grace_ns = 0; world.grace_ns < 2; world.grace_ns++)
        explore (&world, 0, 0, 0);
    }
  printf ("%d paths ", (int)world.paths);
  CU_ASSERT (world.paths > 100000);
  CU_ASSERT_EQUAL (world.wrong, 0);
}

/* Attempts of a request. */

#define ACTIONS 9 /* of a path: three attempts that each go three steps */

enum action
{
  ACTION_START,
  ACTION_CONNECTING,
  ACTION_SENDING,
  ACTION_SENT,
  ACTION_RESPONDING,
  ACTION_DONE,
  ACTION_REFUSED, /**< the upstream said that it did not run it */
  ACTION_MAX
};

/** What an outsider knows of the request. */
struct truth
{
  bool open;      /* an attempt is under way */
  bool handed;    /* some upstream may have run it: bytes left, no refusal */
  bool current;   /* bytes of the current attempt left */
  bool finished;  /* a whole response is there */
  uint32_t begun; /* attempts */
};

struct attempts
{
  uint64_t paths;
  uint64_t wrong;
  bool idempotent;
};

static void
check_attempt (struct attempts *all, const struct attempt *attempt,
               const struct truth *truth)
{
  enum verdict verdict = attempt_verdict (attempt);
  bool may_retry = attempt_may_retry (attempt);

  all->paths++;
  if (truth->finished != (verdict == VERDICT_RAN)
      || (verdict == VERDICT_NOT_RUN && (truth->handed || truth->current))
      || (may_retry && !all->idempotent
          && (truth->handed || truth->current || truth->finished))
      || (may_retry && truth->begun >= attempt->attempts_max))
    all->wrong++;
}

static void
act_on (struct attempts *all, struct attempt attempt, struct truth truth,
        uint32_t depth)
{
  int action;

  check_attempt (all, &attempt, &truth);
  if (depth == ACTIONS)
    return;
  for (action = 0; action < ACTION_MAX; action++)
    {
      struct attempt next = attempt;
      struct truth then = truth;

      switch ((enum action)action)
        {
        case ACTION_START:
          if (attempt_start (&next, depth, 0) != 0)
            continue;
          then.handed |= then.current;
          then.current = false;
          then.open = true;
          then.begun++;
          break;
        case ACTION_REFUSED:
          if (!truth.open || truth.finished)
            continue;
          attempt_mark_rejected (&next);
          then.current = then.open = false;
          break;
        default:
          if (!truth.open
              || attempt_advance (&next,
                                  (enum attempt_step) (ATTEMPT_CONNECTING
                                                       + action
                                                       - ACTION_CONNECTING),
                                  0)
                     != 0)
            continue;
          then.current |= action >= ACTION_SENDING;
          then.finished = action == ACTION_DONE;
          then.open = !then.finished;
          break;
        }
      act_on (all, next, then, depth + 1);
    }
}

static void
test_attempts (void)
{
  struct attempts all = { 0 };
  struct attempt attempt;

  attempt_init (&attempt, false, 3);
  act_on (&all, attempt, (struct truth){ 0 }, 0);
  all.idempotent = true;
  attempt_init (&attempt, true, 3);
  act_on (&all, attempt, (struct truth){ 0 }, 0);
  printf ("%d paths ", (int)all.paths);
  CU_ASSERT (all.paths > 5000);
  CU_ASSERT_EQUAL (all.wrong, 0);
}

static const struct suite_test tests[] = {
  { "lives of an upstream, every interleaving of two sources", test_lives },
  { "attempts of a request, every order of events", test_attempts },
};

SUITE_MAIN ("test_model", tests)
