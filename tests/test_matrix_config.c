/**
 * @file test_matrix_config.c
 * Fault matrix of a configuration change: what becomes of the write, by when
 * something else fails, by what fails, twice in a row.  Two instances watch
 * the store and exchange objects as peers do.
 */
#include "confstore.h"
#include "state/err.h"
#include "support/fakestore.h"
#include "support/suite.h"
#include "transport/log.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define INSTANCES    2
#define KEY          "customer/studio"
#define STEP_MS      50
#define EXCHANGE_MS  500
#define SETTLE_MS    60000ULL
#define SHORT_MS     1000ULL
#define LONG_MS      3600000ULL /* an hour */
#define LONG_STEP_MS 1000

/** When the event comes. */
enum moment
{
  MOMENT_BEFORE,  /**< just before the write is asked for */
  MOMENT_PENDING, /**< once the write was sent */
  MOMENT_AFTER,   /**< once its outcome is known */
  MOMENT_SPREAD,  /**< once both instances hold it */
  MOMENT_MAX
};

enum event
{
  EVENT_NONE,
  EVENT_STORE_DOWN_SHORT,
  EVENT_STORE_DOWN_HOUR,
  EVENT_STORE_REVERTED,
  EVENT_RESTART_WRITER,
  EVENT_RESTART_OTHER,
  EVENT_LATE_ARRIVAL, /**< a delayed write arrives */
  EVENT_RACE,         /**< another operator writes at the other instance */
  EVENT_MAX
};

struct instance
{
  struct catalog catalog;
  struct confstore *confstore;
  struct confstore_result result;
  uint32_t results;
  uint64_t index_seen;
};

struct cell
{
  enum moment moment;
  enum event events[2];
  enum fakestore_fault fault;
};

static struct clock manual;
static struct fakestore store;
static struct instance instances[INSTANCES];
static char violation[128];

static void start (struct instance *instance);
static void stop (struct instance *instance);
static void run (uint64_t duration_ms, uint64_t step_ms);
static void exchange (void);
static int offer (void *user, const struct message_object *object);
static void watch_indexes (void);
static void write_weight (struct instance *instance, uint32_t weight);
static void note_result (void *user, const struct confstore_result *result);
static void race (void *user);
static void happen (enum event event);
static bool held_change (const struct instance *instance, const char *id);
static uint32_t weight_at (const struct instance *instance);
static void run_cell (const struct cell *cell);
static void check_cell (void);
static const char *impossible (const struct cell *cell);
static void test_cells (void);

static const char *const moment_names[MOMENT_MAX] = {
  [MOMENT_BEFORE] = "before",
  [MOMENT_PENDING] = "pending",
  [MOMENT_AFTER] = "after",
  [MOMENT_SPREAD] = "spread",
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
  { "a change under every fault at every step", test_cells },
};

SUITE_MAIN ("test_matrix_config", tests)

static void
test_cells (void)
{
  uint32_t cells = 0;
  uint32_t excluded = 0;
  uint32_t failed = 0;
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
          excluded++;
          continue;
        }
      run_cell (&cell);
      cells++;
      if (violation[0] == '\0')
        continue;
      failed++;
      printf ("FAILED write=%d moment=%s events=%s,%s: %s\n", (int)cell.fault,
              moment_names[cell.moment], event_names[cell.events[0]],
              event_names[cell.events[1]], violation);
    }
  printf ("cells run %u, impossible %u, failed %u\n", cells, excluded, failed);
  CU_ASSERT (cells > 0);
  CU_ASSERT_EQUAL (failed, 0);
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

  violation[0] = '\0';
  clock_init_manual (&manual, 1, 1000000);
  log_init (LOG_LEVEL_MAX, &manual);
  fakestore_init (&store, &manual);
  for (i = 0; i < INSTANCES; i++)
    start (&instances[i]);
  run (SHORT_MS, STEP_MS);
  write_weight (&instances[0], 1);
  run (SHORT_MS, STEP_MS);
  write_weight (&instances[1], 2);
  run (SHORT_MS, STEP_MS);
  store.race = race;
  if (cell->moment == MOMENT_BEFORE)
    for (i = 0; i < 2; i++)
      happen (cell->events[i]);
  if (cell->fault != FAKESTORE_NONE)
    fakestore_fault (&store, cell->fault);
  if (instances[0].confstore != NULL)
    write_weight (&instances[0], 5);
  if (cell->moment == MOMENT_AFTER)
    run (CONFSTORE_WRITE_LIMIT_MS + SHORT_MS, STEP_MS);
  if (cell->moment == MOMENT_SPREAD)
    run (SETTLE_MS, LONG_STEP_MS);
  if (cell->moment != MOMENT_BEFORE)
    for (i = 0; i < 2; i++)
      happen (cell->events[i]);
  run (SETTLE_MS, STEP_MS);
  check_cell ();
  for (i = 0; i < INSTANCES; i++)
    stop (&instances[i]);
  fakestore_finish (&store);
}

static void
happen (enum event event)
{
  switch (event)
    {
    case EVENT_STORE_DOWN_SHORT:
      fakestore_down (&store, true);
      run (SHORT_MS, STEP_MS);
      fakestore_down (&store, false);
      break;
    case EVENT_STORE_DOWN_HOUR:
      fakestore_down (&store, true);
      run (CONFSTORE_WRITE_LIMIT_MS + SHORT_MS, STEP_MS);
      run (LONG_MS, LONG_STEP_MS);
      fakestore_down (&store, false);
      break;
    case EVENT_STORE_REVERTED:
      fakestore_restore (&store, 1);
      fakestore_wake (&store);
      run (SHORT_MS, STEP_MS);
      break;
    case EVENT_RESTART_WRITER:
    case EVENT_RESTART_OTHER:
      {
        struct instance *instance = &instances[event == EVENT_RESTART_OTHER];

        fakestore_wake (&store); /* a closed watch answers nobody */
        stop (instance);
        start (instance);
        run (SHORT_MS, STEP_MS);
        break;
      }
    case EVENT_LATE_ARRIVAL:
      if (store.delayed.key != NULL)
        fakestore_arrive (&store);
      run (SHORT_MS, STEP_MS);
      break;
    case EVENT_RACE:
      write_weight (&instances[1], 9);
      run (SHORT_MS, STEP_MS);
      break;
    default:
      break;
    }
}

static void
check_cell (void)
{
  const struct instance *writer = &instances[0];
  int i;

  if (weight_at (&instances[0]) != weight_at (&instances[1])
      || instances[0].index_seen != instances[1].index_seen)
    snprintf (violation, sizeof violation, "weights %u and %u at the end",
              weight_at (&instances[0]), weight_at (&instances[1]));
  if (writer->results > 1)
    snprintf (violation, sizeof violation, "%u results", writer->results);
  if (writer->results == 0)
    return;
  for (i = 0; i < INSTANCES; i++)
    {
      bool held = held_change (&instances[i], writer->result.change_id);

      if (writer->result.error == 0 && !held)
        snprintf (violation, sizeof violation,
                  "an accepted change is not in force at %d", i);
      if ((writer->result.error == ERR_CONFLICT
           || writer->result.error == ERR_UNAVAILABLE)
          && held)
        snprintf (violation, sizeof violation,
                  "a change refused as not made is in force at %d", i);
    }
}

static void
start (struct instance *instance)
{
  const struct confstore_config config
      = { .platform = &store.platform,
          .catalog = &instance->catalog,
          .clock = &manual,
          .prefix = "cherrylanding/",
          .watch_wait_ms = 30000,
          .seed = (uint64_t)(instance - instances) + 7,
          .user = instance };

  memset (instance, 0, sizeof *instance);
  catalog_init (&instance->catalog);
  instance->confstore = confstore_new (&config);
}

static void
stop (struct instance *instance)
{
  confstore_free (instance->confstore);
  catalog_finish (&instance->catalog);
  instance->confstore = NULL;
}

static void
run (uint64_t duration_ms, uint64_t step_ms)
{
  uint64_t passed;
  int i;

  for (passed = 0; passed < duration_ms; passed += step_ms)
    {
      for (i = 0; i < INSTANCES; i++)
        confstore_run (instances[i].confstore);
      if (passed % EXCHANGE_MS == 0)
        exchange ();
      watch_indexes ();
      clock_advance_ms (&manual, step_ms);
    }
}

static void
exchange (void)
{
  int i;

  for (i = 0; i < INSTANCES; i++)
    confsync_visit (confstore_sync (instances[i].confstore), offer,
                    confstore_sync (instances[1 - i].confstore));
}

static int
offer (void *user, const struct message_object *object)
{
  confsync_offer (user, object);
  return 0;
}

static void
watch_indexes (void)
{
  int i;

  for (i = 0; i < INSTANCES; i++)
    {
      const struct message_object *object
          = confsync_find (confstore_sync (instances[i].confstore), KEY);

      if (object == NULL)
        continue;
      if (object->index < instances[i].index_seen)
        snprintf (violation, sizeof violation, "index went down at %d", i);
      instances[i].index_seen = object->index;
    }
}

static void
write_weight (struct instance *instance, uint32_t weight)
{
  struct confstore_write write = { .kind = OBJECT_CUSTOMER };
  struct object_fault fault;
  char text[64];

  snprintf (write.name, sizeof write.name, "studio");
  snprintf (write.operator_name, sizeof write.operator_name, "operator-%d",
            (int)(instance - instances));
  snprintf (text, sizeof text, "{\"weight\":%u}", weight);
  write.object = object_normalise (OBJECT_CUSTOMER, "studio", text,
                                   strlen (text), &fault);
  instance->results = 0;
  confstore_write (instance->confstore, &write, note_result, instance);
  json_decref (write.object);
}

static void
note_result (void *user, const struct confstore_result *result)
{
  struct instance *instance = user;

  instance->result = *result;
  instance->results++;
}

static void
race (void *user)
{
  (void)user;
  write_weight (&instances[1], 7);
}

static bool
held_change (const struct instance *instance, const char *id)
{
  const struct message_object *object
      = confsync_find (confstore_sync (instance->confstore), KEY);
  json_t *value = object == NULL
                      ? NULL
                      : object_parse_value (object->value, object->value_size);
  bool found = object_has_change (value, id);

  json_decref (value);
  return found;
}

static uint32_t
weight_at (const struct instance *instance)
{
  const struct catalog_customer *customer
      = catalog_customer (&instance->catalog, catalog_id ("studio"));

  return customer == NULL ? 0 : customer->weight;
}
