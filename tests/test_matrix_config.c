/**
 * @file test_matrix_config.c
 * Fault matrix of a configuration change: every fault of the write, together
 * with up to two successive events at each stage of the change.  Two instances
 * watch the store and exchange objects as peers do.
 */
#include "state/err.h"
#include "support/confstage.h"
#include "support/suite.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define STEP_MS        CONFSTAGE_STEP_MS
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

static struct confstage stage;

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
      if (stage.violation[0] == '\0')
        continue;
      failed_count++;
      printf ("FAILED fault=%d moment=%s events=%s,%s: %s\n", (int)cell.fault,
              moment_names[cell.moment], event_names[cell.events[0]],
              event_names[cell.events[1]], stage.violation);
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

  confstage_init (&stage);
  confstage_run (&stage, SHORT_MS, STEP_MS);
  confstage_write (&stage, 0, 1);
  confstage_run (&stage, SHORT_MS, STEP_MS);
  confstage_write (&stage, 1, 2);
  confstage_run (&stage, SHORT_MS, STEP_MS);
  stage.store.race = write_concurrently;
  if (cell->moment == MOMENT_BEFORE)
    for (i = 0; i < 2; i++)
      trigger_event (cell->events[i]);
  if (cell->fault != FAKESTORE_NONE)
    fakestore_fault (&stage.store, cell->fault);
  confstage_write (&stage, 0, 5);
  if (cell->moment == MOMENT_AFTER)
    confstage_run (&stage, CONFSTORE_WRITE_TIMEOUT_MS + SHORT_MS, STEP_MS);
  if (cell->moment == MOMENT_REPLICATED)
    confstage_run (&stage, SETTLE_MS, COARSE_STEP_MS);
  if (cell->moment != MOMENT_BEFORE)
    for (i = 0; i < 2; i++)
      trigger_event (cell->events[i]);
  confstage_run (&stage, SETTLE_MS, STEP_MS);
  check_cell ();
  confstage_finish (&stage);
}

static void
trigger_event (enum event event)
{
  switch (event)
    {
    case EVENT_STORE_DOWN_SHORT:
      fakestore_down (&stage.store, true);
      confstage_run (&stage, SHORT_MS, STEP_MS);
      fakestore_down (&stage.store, false);
      break;
    case EVENT_STORE_DOWN_HOUR:
      fakestore_down (&stage.store, true);
      confstage_run (&stage, CONFSTORE_WRITE_TIMEOUT_MS + SHORT_MS, STEP_MS);
      confstage_run (&stage, HOUR_MS, COARSE_STEP_MS);
      fakestore_down (&stage.store, false);
      break;
    case EVENT_STORE_REVERTED:
      fakestore_restore (&stage.store, 1);
      fakestore_wake (&stage.store);
      confstage_run (&stage, SHORT_MS, STEP_MS);
      break;
    case EVENT_RESTART_WRITER:
    case EVENT_RESTART_OTHER:
      {
        int number = event == EVENT_RESTART_OTHER;

        confstage_stop (&stage, number);
        confstage_start (&stage, number);
        confstage_run (&stage, SHORT_MS, STEP_MS);
        break;
      }
    case EVENT_LATE_ARRIVAL:
      if (stage.store.delayed.key != NULL)
        fakestore_arrive (&stage.store);
      confstage_run (&stage, SHORT_MS, STEP_MS);
      break;
    case EVENT_RACE:
      confstage_write (&stage, 1, 9);
      confstage_run (&stage, SHORT_MS, STEP_MS);
      break;
    default:
      break;
    }
}

static void
check_cell (void)
{
  const struct confstage_instance *writer = &stage.instances[0];
  int i;

  if (confstage_weight (&stage, 0) != confstage_weight (&stage, 1)
      || stage.instances[0].index_seen != stage.instances[1].index_seen)
    snprintf (stage.violation, sizeof stage.violation,
              "instances differ at the end: weights %u and %u",
              confstage_weight (&stage, 0), confstage_weight (&stage, 1));
  if (writer->results > 1)
    snprintf (stage.violation, sizeof stage.violation,
              "%u results of one write", writer->results);
  if (writer->results == 0)
    return;
  for (i = 0; i < CONFSTAGE_INSTANCES; i++)
    {
      bool is_held = confstage_held (&stage, i, writer->result.change_id);

      if (writer->result.error == 0 && !is_held)
        snprintf (stage.violation, sizeof stage.violation,
                  "an accepted change is missing at instance %d", i);
      if ((writer->result.error == ERR_CONFLICT
           || writer->result.error == ERR_UNAVAILABLE)
          && is_held)
        snprintf (stage.violation, sizeof stage.violation,
                  "a rejected change is held by instance %d", i);
    }
}

static void
write_concurrently (void *user)
{
  (void)user;
  confstage_write (&stage, 1, 7);
}
