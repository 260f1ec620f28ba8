/**
 * @file test_model.c
 * Model checks: every sequence of events, up to a given length, for the two
 * state machines in which a fault does the most harm: the incarnations of an
 * upstream, as the store and peers report them, and the attempts of a
 * request.
 */
#include "state/attempt.h"
#include "state/err.h"
#include "state/registry.h"
#include "support/positions.h"
#include "support/suite.h"
#include <stdio.h>
#include <string.h>

/* Incarnations of an upstream. */

#define HISTORY_LENGTH 4 /* changes of one upstream in the store */
#define DEPTH          6 /* deliveries in a path; more find no new faults */

/** A change of the upstream in the store. */
enum change
{
  CHANGE_READY,
  CHANGE_DRAINING,
  CHANGE_REMOVED,
  CHANGE_RESTARTED, /**< ready, as a new incarnation with the same identity */
  CHANGE_MAX
};

/** How changes are delivered.  There are two sources, the store and a peer or
    two peers, and either may lag behind the other. */
enum delivery
{
  DELIVERY_CHANGE,       /**< first source: the change of a revision */
  DELIVERY_LISTING,      /**< first source: a complete listing */
  DELIVERY_PEER_CHANGE,  /**< second source: the change of a revision */
  DELIVERY_PEER_LISTING, /**< second source: a complete listing */
  DELIVERY_MAX
};

struct step
{
  enum delivery delivery;
  uint64_t revision; /* store revision of the change or listing */
};

struct registry_model
{
  enum change history[HISTORY_LENGTH]; /* the first has revision 1 */
  struct step path[DEPTH];
  uint64_t grace_ns; /* grace period for missing entries */
  uint64_t paths;
  uint64_t failures;
};

static uint64_t
start_ms_of (const struct registry_model *registry_model, uint64_t revision)
{
  uint64_t start_ms = 1000;
  uint64_t i;

  for (i = 0; i < revision; i++)
    if (registry_model->history[i] == CHANGE_RESTARTED)
      start_ms = 1000 + i;
  return start_ms;
}

static void
apply_change (const struct registry_model *registry_model,
              struct registry *registry, uint64_t revision)
{
  struct registry_record record = { .identity = "a",
                                    .address = "10.0.0.1:80",
                                    .service_id = 5,
                                    .slots = 4,
                                    .position = *POSITION (0, revision) };
  enum change change = registry_model->history[revision - 1];

  if (change == CHANGE_REMOVED)
    {
      registry_mark_missing (registry, "a", POSITION (0, revision),
                             registry_model->grace_ns, 1);
      return;
    }
  record.draining = change == CHANGE_DRAINING;
  record.start_ms = start_ms_of (registry_model, revision);
  registry_put (registry, &record);
}

/* Puts the upstream if a listing of this revision contains it. */
static void
apply_listing_entry (const struct registry_model *registry_model,
                     struct registry *registry, uint64_t revision)
{
  if (revision > 0 && registry_model->history[revision - 1] != CHANGE_REMOVED)
    apply_change (registry_model, registry, revision);
}

static void
deliver (const struct registry_model *registry_model,
         struct registry *registry, const struct step *step)
{
  switch (step->delivery)
    {
    case DELIVERY_CHANGE:
      apply_change (registry_model, registry, step->revision);
      break;
    case DELIVERY_LISTING:
    case DELIVERY_PEER_LISTING:
      registry_listing_begin (registry);
      apply_listing_entry (registry_model, registry, step->revision);
      registry_listing_end (registry, POSITION (0, step->revision),
                            registry_model->grace_ns, 1);
      break;
    case DELIVERY_PEER_CHANGE:
      apply_change (registry_model, registry, step->revision);
      break;
    case DELIVERY_MAX:
      break;
    }
}

/* Whether the registry matches the newest revision that was delivered. */
static bool
is_correct (const struct registry_model *registry_model,
            const struct registry *registry, uint64_t newest)
{
  const struct registry_upstream *upstream = registry->upstreams;
  enum change change;

  if (newest == 0)
    return upstream == NULL;
  change = registry_model->history[newest - 1];
  if (change == CHANGE_REMOVED)
    return upstream == NULL
           || (registry_model->grace_ns > 0 && upstream->missing_ns != 0);
  return upstream != NULL && upstream->hh.next == NULL
         && upstream->missing_ns == 0
         && upstream->record.start_ms == start_ms_of (registry_model, newest)
         && registry_usable (upstream, 5) == (change != CHANGE_DRAINING);
}

static void
check_path (struct registry_model *registry_model, uint32_t length)
{
  struct registry registry;
  uint64_t newest = 0;
  uint32_t i;

  registry_model->paths++;
  registry_init (&registry);
  for (i = 0; i < length; i++)
    {
      const struct step *step = &registry_model->path[i];

      deliver (registry_model, &registry, step);
      if (step->revision > newest)
        newest = step->revision;
    }
  if (!is_correct (registry_model, &registry, newest)
      && registry_model->failures++ < 3)
    {
      printf ("history");
      for (i = 0; i < HISTORY_LENGTH; i++)
        printf (" %d", (int)registry_model->history[i]);
      printf (", path");
      for (i = 0; i < length; i++)
        printf (" %d@%d", (int)registry_model->path[i].delivery,
                (int)registry_model->path[i].revision);
      printf ("\n");
    }
  registry_finish (&registry);
}

/* Explores all next deliveries; the revisions of each source only increase. */
static void
explore (struct registry_model *registry_model, uint32_t depth,
         uint64_t store_revision, uint64_t peer_revision)
{
  struct step *step = &registry_model->path[depth];
  uint64_t revision;

  check_path (registry_model, depth);
  if (depth == DEPTH)
    return;
  for (revision = store_revision + 1; revision <= HISTORY_LENGTH; revision++)
    {
      *step = (struct step){ DELIVERY_CHANGE, revision };
      explore (registry_model, depth + 1, revision, peer_revision);
      *step = (struct step){ DELIVERY_LISTING, revision };
      explore (registry_model, depth + 1, revision, peer_revision);
    }
  for (revision = peer_revision + 1; revision <= HISTORY_LENGTH; revision++)
    {
      *step = (struct step){ DELIVERY_PEER_CHANGE, revision };
      explore (registry_model, depth + 1, store_revision, revision);
      *step = (struct step){ DELIVERY_PEER_LISTING, revision };
      explore (registry_model, depth + 1, store_revision, revision);
    }
}

static void
test_incarnations (void)
{
  struct registry_model registry_model = { .history = { CHANGE_READY } };
  uint32_t history_code;
  uint32_t i;

  /* All histories that begin with a ready upstream; one that was removed can
     only return as a new incarnation. */
  for (history_code = 0; history_code < 64; history_code++)
    {
      bool possible = true;

      for (i = 1; i < HISTORY_LENGTH; i++)
        {
          registry_model.history[i]
              = (enum change) ((history_code >> (2 * (i - 1))) & 3);
          if (registry_model.history[i - 1] == CHANGE_REMOVED
              && registry_model.history[i] != CHANGE_RESTARTED)
            possible = false;
        }
      if (!possible)
        continue;
      for (registry_model.grace_ns = 0; registry_model.grace_ns < 2;
           registry_model.grace_ns++)
        explore (&registry_model, 0, 0, 0);
    }
  printf ("%d paths ", (int)registry_model.paths);
  CU_ASSERT (registry_model.paths > 100000);
  CU_ASSERT_EQUAL (registry_model.failures, 0);
}

/* Attempts of a request. */

#define ACTIONS 9 /* in a path: three attempts with three steps each */

enum action
{
  ACTION_START,
  ACTION_CONNECTING,
  ACTION_SENDING,
  ACTION_SENT,
  ACTION_RESPONDING,
  ACTION_DONE,
  ACTION_REJECTED, /**< the upstream rejected it without executing it */
  ACTION_MAX
};

/** Reference state of the request, from the actions alone. */
struct reference
{
  bool in_progress;  /* an attempt is in progress */
  bool earlier_sent; /* an earlier attempt sent bytes and was not rejected */
  bool current_sent; /* the current attempt has sent bytes */
  bool finished;     /* a complete response was received */
  uint32_t started;  /* number of attempts */
};

struct attempt_model
{
  uint64_t paths;
  uint64_t failures;
  bool idempotent;
};

static void
check_attempt (struct attempt_model *model, const struct attempt *attempt,
               const struct reference *reference)
{
  enum verdict verdict = attempt_verdict (attempt);
  bool may_retry = attempt_may_retry (attempt);

  model->paths++;
  if (reference->finished != (verdict == VERDICT_RAN)
      || (verdict == VERDICT_NOT_RUN
          && (reference->earlier_sent || reference->current_sent))
      || (may_retry && !model->idempotent
          && (reference->earlier_sent || reference->current_sent
              || reference->finished))
      || (may_retry && reference->started >= attempt->attempts_max))
    model->failures++;
}

static void
explore_attempts (struct attempt_model *model, struct attempt attempt,
                  struct reference reference, uint32_t depth)
{
  int action;

  check_attempt (model, &attempt, &reference);
  if (depth == ACTIONS)
    return;
  for (action = 0; action < ACTION_MAX; action++)
    {
      struct attempt next = attempt;
      struct reference next_reference = reference;

      switch ((enum action)action)
        {
        case ACTION_START:
          if (attempt_start (&next, depth, 0) != 0)
            continue;
          next_reference.earlier_sent |= next_reference.current_sent;
          next_reference.current_sent = false;
          next_reference.in_progress = true;
          next_reference.started++;
          break;
        case ACTION_REJECTED:
          if (!reference.in_progress || reference.finished)
            continue;
          attempt_mark_rejected (&next);
          next_reference.current_sent = next_reference.in_progress = false;
          break;
        default:
          if (!reference.in_progress
              || attempt_advance (&next,
                                  (enum attempt_step) (ATTEMPT_CONNECTING
                                                       + action
                                                       - ACTION_CONNECTING),
                                  0)
                     != 0)
            continue;
          next_reference.current_sent |= action >= ACTION_SENDING;
          next_reference.finished = action == ACTION_DONE;
          next_reference.in_progress = !next_reference.finished;
          break;
        }
      explore_attempts (model, next, next_reference, depth + 1);
    }
}

static void
test_attempts (void)
{
  struct attempt_model model = { 0 };
  struct attempt attempt;

  attempt_init (&attempt, false, 3);
  explore_attempts (&model, attempt, (struct reference){ 0 }, 0);
  model.idempotent = true;
  attempt_init (&attempt, true, 3);
  explore_attempts (&model, attempt, (struct reference){ 0 }, 0);
  printf ("%d paths ", (int)model.paths);
  CU_ASSERT (model.paths > 5000);
  CU_ASSERT_EQUAL (model.failures, 0);
}

static const struct suite_test tests[] = {
  { "incarnations of an upstream, every interleaving of two sources",
    test_incarnations },
  { "attempts of a request, every sequence of events", test_attempts },
};

SUITE_MAIN ("test_model", tests)
