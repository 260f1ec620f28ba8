/**
 * @file test_matrix_config.c
 * Fault matrix of a configuration change: every fault of the write, together
 * with up to two successive events at each stage of the change.  Two instances
 * watch the store and exchange objects as peers do.
 */
#include "state/err.h"
#include "support/confsim.h"
#include "support/suite.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define STEP_MS        CONFSIM_STEP_MS
#define SETTLE_MS      60000ULL
#define SHORT_MS       1000ULL
#define HOUR_MS        3600000ULL
#define COARSE_STEP_MS 1000

/** When the events happen. */
enum moment
{
  MOMENT_BEFORE,     /**< just before the write starts */
  MOMENT_PENDING,    /**< after the write has started */
  MOMENT_AFTER,      /**< after its outcome is known */
  MOMENT_REPLICATED, /**< after both instances hold it */
  MOMENT_MAX
};

enum event
{
  EVENT_NONE,
  EVENT_STORE_DOWN_SHORT,
  EVENT_STORE_DOWN_HOUR,
  EVENT_STORE_REVERTED, /**< the store is restored to its state after
                             the first write */
  EVENT_RESTART_WRITER,
  EVENT_RESTART_OTHER,
  EVENT_LATE_ARRIVAL, /**< the delayed write reaches the store */
  EVENT_RACE,         /**< another operator writes at the other instance */
  EVENT_MAX
};

struct cell
{
  enum moment moment;
  enum event events[2];
  enum fakestore_fault fault;
};

static struct confsim sim;

static void write_concurrently (void *user);
static void trigger_event (enum event event);
static void run_cell (const struct cell *cell);
static void check_cell (void);
static const char *impossible (const struct cell *cell);
static void test_cells (void);

static const char *const moment_names[MOMENT_MAX] = {
  [MOMENT_BEFORE] = "before",
  [MOMENT_PENDING] = "pending",
  [MOMENT_AFTER] = "after",
  [MOMENT_REPLICATED] = "replicated",
};

static const char *const event_names[EVENT_MAX] = {
  [EVENT_NONE] = "none",
  [EVENT_STORE_DOWN_SHORT] = "store-down-short",
  [EVENT_STORE_DOWN_HOUR] = "store-down-hour",
  [EVENT_STORE_REVERTED] = "store-reverted",
  [EVENT_RESTART_WRITER] = "restart-writer",
  [EVENT_RESTART_OTHER] = "restart-other",
  [EVENT_LATE_ARRIVAL] = "late-arrival",
  [EVENT_RACE] = "race",
};

static const struct suite_test tests[] = {
  { "a change with every fault at every stage", test_cells },
};

SUITE_MAIN ("test_matrix_config", tests)

static void
test_cells (void)
{
  uint32_t run_count = 0;
  uint32_t impossible_count = 0;
  uint32_t failed_count = 0;
  uint32_t number;

  for (number = 0;
       number < MOMENT_MAX * EVENT_MAX * EVENT_MAX * (FAKESTORE_RACE + 1);
       number++)
    {
      const struct cell cell = {
        .moment = (enum moment) (number % MOMENT_MAX),
        .events
        = { (enum event) (number / MOMENT_MAX % EVENT_MAX),
            (enum event) (number / MOMENT_MAX / EVENT_MAX % EVENT_MAX) },
        .fault
        = (enum fakestore_fault) (number / MOMENT_MAX / EVENT_MAX / EVENT_MAX),
      };

      if (impossible (&cell) != NULL)
        {
          impossible_count++;
          continue;
        }
      run_cell (&cell);
      run_count++;
      if (sim.violation[0] == '\0')
        continue;
      failed_count++;
      printf ("FAILED fault=%d moment=%s events=%s,%s: %s\n", (int)cell.fault,
              moment_names[cell.moment], event_names[cell.events[0]],
              event_names[cell.events[1]], sim.violation);
    }
  printf ("cells run %u, impossible %u, failed %u\n", run_count,
          impossible_count, failed_count);
  CU_ASSERT (run_count > 0);
  CU_ASSERT_EQUAL (failed_count, 0);
}

static const char *
impossible (const struct cell *cell)
{
  int i;

  if (cell->events[0] == EVENT_NONE && cell->events[1] != EVENT_NONE)
    return "the same as the event alone";
  for (i = 0; i < 2; i++)
    if (cell->events[i] == EVENT_LATE_ARRIVAL
        && (cell->fault != FAKESTORE_DELAY_REQUEST
            || cell->moment == MOMENT_BEFORE))
      return "no write was delayed";
  return NULL;
}

static void
run_cell (const struct cell *cell)
{
  int i;

  confsim_init (&sim);
  confsim_run (&sim, SHORT_MS, STEP_MS);
  confsim_write (&sim, 0, 1);
  confsim_run (&sim, SHORT_MS, STEP_MS);
  confsim_write (&sim, 1, 2);
  confsim_run (&sim, SHORT_MS, STEP_MS);
  sim.store.before_write = write_concurrently;
  if (cell->moment == MOMENT_BEFORE)
    for (i = 0; i < 2; i++)
      trigger_event (cell->events[i]);
  if (cell->fault != FAKESTORE_FAULT_NONE)
    fakestore_add_fault (&sim.store, cell->fault);
  confsim_write (&sim, 0, 5);
  if (cell->moment == MOMENT_AFTER)
    confsim_run (&sim, CONFSTORE_WRITE_TIMEOUT_MS + SHORT_MS, STEP_MS);
  if (cell->moment == MOMENT_REPLICATED)
    confsim_run (&sim, SETTLE_MS, COARSE_STEP_MS);
  if (cell->moment != MOMENT_BEFORE)
    for (i = 0; i < 2; i++)
      trigger_event (cell->events[i]);
  confsim_run (&sim, SETTLE_MS, STEP_MS);
  check_cell ();
  confsim_finish (&sim);
}

static void
trigger_event (enum event event)
{
  switch (event)
    {
    case EVENT_STORE_DOWN_SHORT:
      fakestore_set_down (&sim.store, true);
      confsim_run (&sim, SHORT_MS, STEP_MS);
      fakestore_set_down (&sim.store, false);
      break;
    case EVENT_STORE_DOWN_HOUR:
      fakestore_set_down (&sim.store, true);
      confsim_run (&sim, CONFSTORE_WRITE_TIMEOUT_MS + SHORT_MS, STEP_MS);
      confsim_run (&sim, HOUR_MS, COARSE_STEP_MS);
      fakestore_set_down (&sim.store, false);
      break;
    case EVENT_STORE_REVERTED:
      fakestore_restore (&sim.store, 1);
      fakestore_answer_watches (&sim.store);
      confsim_run (&sim, SHORT_MS, STEP_MS);
      break;
    case EVENT_RESTART_WRITER:
    case EVENT_RESTART_OTHER:
      {
        int number = event == EVENT_RESTART_OTHER;

        confsim_stop (&sim, number);
        confsim_start (&sim, number);
        confsim_run (&sim, SHORT_MS, STEP_MS);
        break;
      }
    case EVENT_LATE_ARRIVAL:
      if (sim.store.delayed.key != NULL)
        fakestore_deliver_delayed (&sim.store);
      confsim_run (&sim, SHORT_MS, STEP_MS);
      break;
    case EVENT_RACE:
      confsim_write (&sim, 1, 9);
      confsim_run (&sim, SHORT_MS, STEP_MS);
      break;
    default:
      break;
    }
}

static void
check_cell (void)
{
  const struct confsim_instance *writer = &sim.instances[0];
  int i;

  if (confsim_weight (&sim, 0) != confsim_weight (&sim, 1)
      || sim.instances[0].max_index != sim.instances[1].max_index)
    snprintf (sim.violation, sizeof sim.violation,
              "instances differ at the end: weights %u and %u",
              confsim_weight (&sim, 0), confsim_weight (&sim, 1));
  if (writer->result_count > 1)
    snprintf (sim.violation, sizeof sim.violation, "%u results of one write",
              writer->result_count);
  if (writer->result_count == 0)
    return;
  for (i = 0; i < CONFSIM_INSTANCES; i++)
    {
      bool is_held = confsim_has_change (&sim, i, writer->result.change_id);

      if (writer->result.error == 0 && !is_held)
        snprintf (sim.violation, sizeof sim.violation,
                  "an accepted change is missing at instance %d", i);
      if ((writer->result.error == ERR_CONFLICT
           || writer->result.error == ERR_UNAVAILABLE)
          && is_held)
        snprintf (sim.violation, sizeof sim.violation,
                  "a rejected change is held by instance %d", i);
    }
}

static void
write_concurrently (void *user)
{
  (void)user;
  confsim_write (&sim, 1, 7);
}
