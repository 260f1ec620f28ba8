/**
 * @file test_confstore.c
 * Configuration through a store that is down, slow to take effect, contended,
 * silent after taking effect, or restored to an older state.
 */
#include "confstore.h"
#include "confstore_module.h"
#include "state/err.h"
#include "support/fakestore.h"
#include "support/suite.h"
#include "transport/log.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define INSTANCES   2
#define PREFIX      "cherrylanding/"
#define STEP_MS     50
#define RECOVERY_MS (2ULL * CONFSTORE_BACKOFF_MAX_MS)

struct instance
{
  struct catalog catalog;
  struct confstore *confstore;
  struct confstore_result result; /* of the last write */
  uint32_t results;
  bool watcher;
  bool peers_heard;
  uint64_t peers_index;
};

static struct clock manual;
static struct fakestore store;
static struct instance instances[INSTANCES];

static bool
is_watcher (void *user)
{
  return ((const struct instance *)user)->watcher;
}

static bool
peers_index (void *user, uint64_t *index)
{
  const struct instance *instance = user;

  *index = instance->peers_index;
  return instance->peers_heard;
}

static void
start_instance (struct instance *instance, bool peers_expected)
{
  const struct confstore_config config
      = { .platform = &store.platform,
          .catalog = &instance->catalog,
          .clock = &manual,
          .prefix = PREFIX,
          .watch_wait_ms = 30000,
          .seed = (uint64_t)(instance - instances) + 7,
          .peers_expected = peers_expected,
          .watcher = is_watcher,
          .peers_index = peers_index,
          .user = instance };

  memset (instance, 0, sizeof *instance);
  catalog_init (&instance->catalog);
  instance->watcher = true;
  instance->confstore = confstore_new (&config);
}

static void
stop_instance (struct instance *instance)
{
  confstore_free (instance->confstore);
  catalog_finish (&instance->catalog);
  instance->confstore = NULL;
}

static void
run_ms (uint64_t duration_ms)
{
  uint64_t passed;
  size_t i;

  for (passed = 0; passed < duration_ms; passed += STEP_MS)
    {
      for (i = 0; i < INSTANCES; i++)
        if (instances[i].confstore != NULL)
          confstore_run (instances[i].confstore);
      clock_advance_ms (&manual, STEP_MS);
    }
}

static void
start (void)
{
  size_t i;

  clock_init_manual (&manual, 1, 1000000);
  log_init (LOG_LEVEL_ERROR, &manual);
  fakestore_init (&store, &manual);
  for (i = 0; i < INSTANCES; i++)
    start_instance (&instances[i], false);
  run_ms (1000);
}

static void
stop (void)
{
  size_t i;

  for (i = 0; i < INSTANCES; i++)
    if (instances[i].confstore != NULL)
      stop_instance (&instances[i]);
  fakestore_finish (&store);
}

static void
note_result (void *user, const struct confstore_result *result)
{
  struct instance *instance = user;

  instance->result = *result;
  instance->results++;
}

/* Weight 0 deletes; `if_match` below 0 is unconditional. */
static void
begin_write (struct instance *instance, const char *name, uint32_t weight,
             int64_t if_match)
{
  struct confstore_write write = { .kind = OBJECT_CUSTOMER,
                                   .conditional = if_match >= 0,
                                   .if_match = (uint64_t)if_match };

  snprintf (write.name, sizeof write.name, "%s", name);
  snprintf (write.operator_name, sizeof write.operator_name, "operator-%d",
            (int)(instance - instances));
  if (weight > 0)
    {
      char text[64];
      struct object_fault fault;

      snprintf (text, sizeof text, "{\"weight\":%u}", weight);
      write.object = object_normalise (OBJECT_CUSTOMER, name, text,
                                       strlen (text), &fault);
    }
  instance->results = 0;
  CU_ASSERT_EQUAL (
      confstore_write (instance->confstore, &write, note_result, instance), 0);
  json_decref (write.object);
}

static int
write_weight (struct instance *instance, const char *name, uint32_t weight,
              int64_t if_match)
{
  begin_write (instance, name, weight, if_match);
  run_ms (CONFSTORE_WRITE_LIMIT_MS + 1000);
  CU_ASSERT_EQUAL (instance->results, 1);
  return instance->result.error;
}

static uint32_t
weight_at (const struct instance *instance, const char *name)
{
  const struct catalog_customer *customer
      = catalog_customer (&instance->catalog, catalog_id (name));

  return customer == NULL ? 0 : customer->weight;
}

static uint64_t
index_at (const struct instance *instance, const char *key)
{
  const struct message_object *object
      = confsync_find (confstore_sync (instance->confstore), key);

  return object == NULL ? 0 : object->index;
}

/* Change records of a key that `instance` holds. */
static size_t
history_at (const struct instance *instance, const char *key)
{
  const struct message_object *object
      = confsync_find (confstore_sync (instance->confstore), key);
  json_t *value = object == NULL
                      ? NULL
                      : object_parse_value (object->value, object->value_size);
  size_t size = json_array_size (object_history (value));

  json_decref (value);
  return size;
}

static void
test_a_write_is_in_force_everywhere (void)
{
  start ();
  CU_ASSERT (confstore_ready (instances[0].confstore));
  begin_write (&instances[0], "studio", 3, 0);
  CU_ASSERT_EQUAL (instances[0].result.error, 0);
  CU_ASSERT_EQUAL (instances[0].result.effect, CONFSTORE_CREATED);
  CU_ASSERT_EQUAL (weight_at (&instances[0], "studio"), 3);
  run_ms (1000);
  CU_ASSERT_EQUAL (weight_at (&instances[1], "studio"), 3);
  CU_ASSERT_EQUAL (write_weight (&instances[1], "studio", 3, -1), 0);
  CU_ASSERT_EQUAL (instances[1].result.effect, CONFSTORE_UNCHANGED);
  CU_ASSERT_EQUAL (store.write_count, 1);
  stop ();
}

static void
test_deletion_is_a_tombstone (void)
{
  uint64_t deleted;

  start ();
  CU_ASSERT_EQUAL (write_weight (&instances[0], "studio", 3, 0), 0);
  CU_ASSERT_EQUAL (write_weight (&instances[0], "studio", 0, -1), 0);
  CU_ASSERT_EQUAL (instances[0].result.effect, CONFSTORE_DELETED);
  deleted = instances[0].result.index;
  CU_ASSERT_EQUAL (weight_at (&instances[1], "studio"), 0);
  CU_ASSERT_EQUAL (history_at (&instances[1], "customer/studio"), 2);
  CU_ASSERT_EQUAL (write_weight (&instances[1], "studio", 0, -1),
                   ERR_NOT_FOUND);
  CU_ASSERT_EQUAL (write_weight (&instances[1], "studio", 4, 0), 0);
  CU_ASSERT_EQUAL (instances[1].result.effect, CONFSTORE_CREATED);
  CU_ASSERT (instances[1].result.index > deleted);
  CU_ASSERT_EQUAL (history_at (&instances[0], "customer/studio"), 3);
  stop ();
}

static void
race_write (void *user)
{
  struct instance *instance = user;

  begin_write (instance, "studio", 9, -1);
}

static void
test_operators_racing (void)
{
  uint64_t index;

  start ();
  CU_ASSERT_EQUAL (write_weight (&instances[0], "studio", 1, 0), 0);
  index = instances[0].result.index;
  store.race = race_write;
  store.race_user = &instances[1];
  fakestore_fault (&store, FAKESTORE_RACE);
  CU_ASSERT_EQUAL (write_weight (&instances[0], "studio", 2, (int64_t)index),
                   ERR_CONFLICT);
  CU_ASSERT_STRING_EQUAL (instances[0].result.other_operator, "operator-1");
  CU_ASSERT_EQUAL (instances[0].result.index, instances[1].result.index);
  CU_ASSERT (instances[0].result.other_time_ms > 0);
  CU_ASSERT_EQUAL (weight_at (&instances[0], "studio"), 9);
  fakestore_fault (&store, FAKESTORE_RACE);
  store.race_user = &instances[1];
  CU_ASSERT_EQUAL (write_weight (&instances[0], "studio", 2, -1), 0);
  CU_ASSERT_EQUAL (weight_at (&instances[1], "studio"), 2);
  stop ();
}

static void
test_lost_answers_are_resolved (void)
{
  static const enum fakestore_fault faults[]
      = { FAKESTORE_LOSE_ANSWER, FAKESTORE_LOSE_REQUEST,
          FAKESTORE_DELAY_REQUEST };
  size_t i;

  for (i = 0; i < sizeof faults / sizeof faults[0]; i++)
    {
      start ();
      CU_ASSERT_EQUAL (write_weight (&instances[0], "studio", 1, 0), 0);
      fakestore_fault (&store, faults[i]);
      CU_ASSERT_EQUAL (write_weight (&instances[0], "studio", 5, -1), 0);
      CU_ASSERT_EQUAL (instances[0].result.effect, CONFSTORE_CHANGED);
      CU_ASSERT_EQUAL (weight_at (&instances[1], "studio"), 5);
      CU_ASSERT_EQUAL (history_at (&instances[1], "customer/studio"), 2);
      CU_ASSERT_EQUAL (store.write_count, 2);
      CU_ASSERT_EQUAL (instances[0].result.index,
                       index_at (&instances[1], "customer/studio"));
      stop ();
    }
}

static void
test_a_late_write_never_reverts (void)
{
  start ();
  CU_ASSERT_EQUAL (write_weight (&instances[0], "studio", 1, 0), 0);
  fakestore_fault (&store, FAKESTORE_DELAY_REQUEST);
  CU_ASSERT_EQUAL (write_weight (&instances[0], "studio", 5, -1), 0);
  CU_ASSERT_EQUAL (write_weight (&instances[1], "studio", 6, -1), 0);
  CU_ASSERT_EQUAL (fakestore_arrive (&store), ERR_CONFLICT);
  run_ms (1000);
  CU_ASSERT_EQUAL (weight_at (&instances[0], "studio"), 6);
  stop ();
}

static void
test_refusals_are_truthful (void)
{
  start ();
  CU_ASSERT_EQUAL (write_weight (&instances[0], "studio", 1, 0), 0);
  fakestore_down (&store, true);
  CU_ASSERT_EQUAL (write_weight (&instances[0], "studio", 2, -1),
                   ERR_UNAVAILABLE);
  fakestore_down (&store, false);
  run_ms (60000);
  CU_ASSERT_EQUAL (weight_at (&instances[1], "studio"), 1);
  CU_ASSERT_EQUAL (store.write_count, 1);

  /* The request is lost, and the store goes down before it can be asked. */
  fakestore_fault (&store, FAKESTORE_LOSE_ANSWER);
  begin_write (&instances[0], "studio", 3, -1);
  store.down = true;
  run_ms (CONFSTORE_WRITE_LIMIT_MS + 1000);
  CU_ASSERT_EQUAL (instances[0].result.error, ERR_UNKNOWN_OUTCOME);
  CU_ASSERT_EQUAL (instances[0].results, 1);
  fakestore_down (&store, false);
  run_ms (60000);
  CU_ASSERT_EQUAL (weight_at (&instances[1], "studio"), 3);
  stop ();
}

static void
test_an_hour_without_the_store (void)
{
  uint32_t calls;

  start ();
  CU_ASSERT_EQUAL (write_weight (&instances[0], "studio", 4, 0), 0);
  fakestore_down (&store, true);
  calls = store.calls;
  run_ms (3600000);
  CU_ASSERT_EQUAL (weight_at (&instances[0], "studio"), 4);
  CU_ASSERT (confstore_ready (instances[0].confstore));
  CU_ASSERT (!confstore_store_up (instances[0].confstore));
  /* Two instances, at least half of the longest backoff between calls. */
  CU_ASSERT (store.calls - calls
             < 2 * 3600000 / (CONFSTORE_BACKOFF_MAX_MS / 2) + 20);
  fakestore_down (&store, false);
  run_ms (RECOVERY_MS);
  CU_ASSERT (confstore_store_up (instances[0].confstore));
  CU_ASSERT_EQUAL (write_weight (&instances[0], "studio", 5, -1), 0);
  CU_ASSERT_EQUAL (weight_at (&instances[1], "studio"), 5);
  stop ();
}

/* Watches that wait for an index which the store had before it went back do
   not answer; the writer tells its peers all the same. */
static void
test_a_change_soon_after_the_store_went_back (void)
{
  start ();
  CU_ASSERT_EQUAL (write_weight (&instances[0], "studio", 1, 0), 0);
  CU_ASSERT_EQUAL (write_weight (&instances[0], "late", 8, 0), 0);
  store.mute = true;
  fakestore_restore (&store, 1);
  CU_ASSERT_EQUAL (write_weight (&instances[0], "studio", 2, -1), 0);
  CU_ASSERT (confsync_index (confstore_sync (instances[0].confstore))
             >= instances[0].result.index);
  stop ();
}

static void
test_a_store_that_went_back (void)
{
  uint64_t held;

  start ();
  CU_ASSERT_EQUAL (write_weight (&instances[0], "studio", 1, 0), 0);
  CU_ASSERT_EQUAL (write_weight (&instances[0], "other", 1, 0), 0);
  CU_ASSERT_EQUAL (write_weight (&instances[0], "studio", 7, -1), 0);
  CU_ASSERT_EQUAL (write_weight (&instances[0], "late", 8, 0), 0);
  held = index_at (&instances[1], "customer/late");
  fakestore_restore (&store, 2);
  run_ms (60000);
  CU_ASSERT_EQUAL (weight_at (&instances[1], "studio"), 7);
  CU_ASSERT_EQUAL (weight_at (&instances[1], "late"), 8);
  CU_ASSERT_EQUAL (confstore_counters (instances[1].confstore)->reverted, 1);

  CU_ASSERT_EQUAL (write_weight (&instances[0], "other", 2, -1), 0);
  CU_ASSERT (instances[0].result.index > held);
  CU_ASSERT_EQUAL (weight_at (&instances[1], "other"), 2);
  /* The same object again repairs the store, and keeps its history. */
  CU_ASSERT_EQUAL (write_weight (&instances[1], "studio", 7, -1), 0);
  CU_ASSERT_EQUAL (instances[1].result.effect, CONFSTORE_CHANGED);
  CU_ASSERT_EQUAL (history_at (&instances[0], "customer/studio"), 3);
  CU_ASSERT (instances[1].result.index
             > index_at (&instances[0], "customer/other"));
  stop ();
}

static void
test_cold_start_waits_for_the_newest (void)
{
  struct message_object object
      = { .key = "customer/studio", .index = 50, .value_size = 0 };
  static char value[]
      = "{\"object\":{\"name\":\"studio\",\"weight\":70},\"deleted\":false,"
        "\"history\":[]}";

  start ();
  CU_ASSERT_EQUAL (write_weight (&instances[0], "studio", 1, 0), 0);
  store.waiter_count = 0;
  stop_instance (&instances[1]);
  start_instance (&instances[1], true);
  instances[1].peers_heard = true;
  instances[1].peers_index = 50;
  run_ms (1000);
  CU_ASSERT (!confstore_ready (instances[1].confstore));
  object.value = value;
  object.value_size = strlen (value);
  CU_ASSERT_EQUAL (
      confsync_offer (confstore_sync (instances[1].confstore), &object), 1);
  confsync_complete (confstore_sync (instances[1].confstore), 50);
  run_ms (STEP_MS);
  CU_ASSERT (confstore_ready (instances[1].confstore));
  CU_ASSERT_EQUAL (weight_at (&instances[1], "studio"), 70);
  stop ();
}

static void
test_cold_start_without_store_or_peers (void)
{
  start ();
  fakestore_down (&store, true);
  stop_instance (&instances[1]);
  start_instance (&instances[1], true);
  run_ms (600000);
  CU_ASSERT (!confstore_ready (instances[1].confstore));
  fakestore_down (&store, false);
  run_ms (RECOVERY_MS);
  CU_ASSERT (confstore_ready (instances[1].confstore));
  stop ();
}

static void
test_load_without_watching (void)
{
  uint32_t calls;

  start ();
  instances[0].watcher = false;
  instances[1].watcher = false;
  fakestore_wake (&store);
  stop_instance (&instances[0]);
  run_ms (60000);
  calls = store.calls;
  run_ms (3600000);
  calls = store.calls - calls;
  CU_ASSERT (calls <= 3600000 / (CONFSTORE_LISTING_MS / 2));
  CU_ASSERT (calls >= 3600000 / (2 * CONFSTORE_LISTING_MS));
  stop ();
}

/* Adds a member, or changes its status. */
static void
put_member (struct member_table *table, uint32_t number, const char *zone,
            enum member_status status)
{
  struct message_hello hello
      = { .version = MESSAGE_VERSION, .incarnation = 1 };
  uint64_t id;
  struct member *member;

  snprintf (hello.instance, sizeof hello.instance, "r%u", number);
  snprintf (hello.availability_zone, sizeof hello.availability_zone, "%s",
            zone);
  id = catalog_id (hello.instance);
  member_hello (table, &hello, 1);
  HASH_FIND (hh, table->members, &id, sizeof id, member);
  CU_ASSERT_PTR_NOT_NULL (member);
  if (member != NULL)
    member->status = status;
}

static uint32_t
watchers_of (const struct member_table *table, const char *zone)
{
  const struct member *member;
  uint32_t count = 0;

  for (member = table->members; member != NULL; member = member->hh.next)
    count += member->status == MEMBER_ALIVE
             && strcmp (member->availability_zone, zone) == 0
             && confstore_module_watches (table, member->instance_id);
  return count;
}

static void
test_two_watch_in_each_zone (void)
{
  struct member_table table;
  struct member self = { .instance = "r0", .availability_zone = "a" };
  uint32_t i;

  self.instance_id = catalog_id (self.instance);
  CU_ASSERT_EQUAL (member_init (&table, &self, 500), 0);
  for (i = 1; i < 40; i++)
    put_member (&table, i, i % 3 == 0 ? "a" : "b", MEMBER_ALIVE);
  put_member (&table, 40, "c", MEMBER_ALIVE);
  CU_ASSERT_EQUAL (watchers_of (&table, "a"), CONFSTORE_WATCHERS);
  CU_ASSERT_EQUAL (watchers_of (&table, "b"), CONFSTORE_WATCHERS);
  CU_ASSERT_EQUAL (watchers_of (&table, "c"), 1);
  for (i = 1; i < 30; i++)
    put_member (&table, i, i % 3 == 0 ? "a" : "b", MEMBER_GONE);
  CU_ASSERT_EQUAL (watchers_of (&table, "a"), CONFSTORE_WATCHERS);
  CU_ASSERT_EQUAL (watchers_of (&table, "b"), CONFSTORE_WATCHERS);
  member_finish (&table);
}

static const struct suite_test tests[] = {
  { "a write is in force everywhere", test_a_write_is_in_force_everywhere },
  { "deletion is a tombstone", test_deletion_is_a_tombstone },
  { "operators racing", test_operators_racing },
  { "lost answers are resolved", test_lost_answers_are_resolved },
  { "a late write never reverts", test_a_late_write_never_reverts },
  { "refusals are truthful", test_refusals_are_truthful },
  { "an hour without the store", test_an_hour_without_the_store },
  { "a change soon after the store went back",
    test_a_change_soon_after_the_store_went_back },
  { "a store that went back", test_a_store_that_went_back },
  { "cold start waits for the newest", test_cold_start_waits_for_the_newest },
  { "cold start without store or peers",
    test_cold_start_without_store_or_peers },
  { "load without watching", test_load_without_watching },
  { "two watch in each zone", test_two_watch_in_each_zone },
};

SUITE_MAIN ("test_confstore", tests)
