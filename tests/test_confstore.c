/**
 * @file test_confstore.c
 * Configuration changes while the store is down, applies a write late, gets
 * concurrent writes, loses requests or responses, or is restored from an older
 * state.
 */
#include "confstore.h"
#include "confstore_module.h"
#include "state/err.h"
#include "support/fakestore.h"
#include "support/suite.h"
#include "transport/kvmem.h"
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
  uint32_t result_count;
  bool watches_store;
  bool peer_reported; /* a peer reported its newest index */
  uint64_t peer_newest_index;
};

static struct clock test_clock;
static struct fakestore store;
static struct instance instances[INSTANCES];

static bool
is_watcher (void *user)
{
  return ((const struct instance *)user)->watches_store;
}

static bool
newest_peer_index (void *user, uint64_t *index)
{
  const struct instance *instance = user;

  *index = instance->peer_newest_index;
  return instance->peer_reported;
}

static void
start_instance (struct instance *instance, bool peers_expected)
{
  const struct confstore_config config
      = { .kvstore = &store.kvstore,
          .catalog = &instance->catalog,
          .clock = &test_clock,
          .prefix = PREFIX,
          .watch_wait_ms = 30000,
          .seed = (uint64_t)(instance - instances) + 7,
          .peers_expected = peers_expected,
          .is_watcher = is_watcher,
          .newest_peer_index = newest_peer_index,
          .user = instance };

  memset (instance, 0, sizeof *instance);
  catalog_init (&instance->catalog);
  instance->watches_store = true;
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
  uint64_t elapsed_ms;
  size_t i;

  for (elapsed_ms = 0; elapsed_ms < duration_ms; elapsed_ms += STEP_MS)
    {
      for (i = 0; i < INSTANCES; i++)
        if (instances[i].confstore != NULL)
          confstore_run (instances[i].confstore);
      clock_advance_ms (&test_clock, STEP_MS);
    }
}

static void
set_up (void)
{
  size_t i;

  clock_init_manual (&test_clock, 1, 1000000);
  log_init (LOG_LEVEL_ERROR, &test_clock);
  fakestore_init (&store, &test_clock);
  for (i = 0; i < INSTANCES; i++)
    start_instance (&instances[i], false);
  run_ms (1000);
}

static void
tear_down (void)
{
  size_t i;

  for (i = 0; i < INSTANCES; i++)
    if (instances[i].confstore != NULL)
      stop_instance (&instances[i]);
  fakestore_finish (&store);
}

static void
record_result (void *user, const struct confstore_result *result)
{
  struct instance *instance = user;

  instance->result = *result;
  instance->result_count++;
}

/* A weight of 0 deletes the customer; a negative `if_match` writes without a
   condition. */
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
      struct object_error error_details;

      snprintf (text, sizeof text, "{\"weight\":%u}", weight);
      write.object = object_normalise (OBJECT_CUSTOMER, name, text,
                                       strlen (text), &error_details);
    }
  instance->result_count = 0;
  CU_ASSERT_EQUAL (
      confstore_write (instance->confstore, &write, record_result, instance),
      0);
  json_decref (write.object);
}

static int
write_and_wait (struct instance *instance, const char *name, uint32_t weight,
                int64_t if_match)
{
  begin_write (instance, name, weight, if_match);
  run_ms (CONFSTORE_WRITE_TIMEOUT_MS + 1000);
  CU_ASSERT_EQUAL (instance->result_count, 1);
  return instance->result.error;
}

static uint32_t
installed_weight (const struct instance *instance, const char *name)
{
  const struct catalog_customer *customer
      = catalog_customer (&instance->catalog, catalog_id (name));

  return customer == NULL ? 0 : customer->weight;
}

static uint64_t
installed_index (const struct instance *instance, const char *key)
{
  const struct message_object *object
      = confsync_find (confstore_confsync (instance->confstore), key);

  return object == NULL ? 0 : object->index;
}

/* Number of change records that `instance` holds for a key. */
static size_t
history_size (const struct instance *instance, const char *key)
{
  const struct message_object *object
      = confsync_find (confstore_confsync (instance->confstore), key);
  json_t *value = object == NULL
                      ? NULL
                      : object_parse_value (object->value, object->value_size);
  size_t size = json_array_size (object_history (value));

  json_decref (value);
  return size;
}

static void
test_write_reaches_all_instances (void)
{
  set_up ();
  CU_ASSERT (confstore_ready (instances[0].confstore));
  begin_write (&instances[0], "studio", 3, 0);
  CU_ASSERT_EQUAL (instances[0].result.error, 0);
  CU_ASSERT_EQUAL (instances[0].result.effect, CONFSTORE_CREATED);
  CU_ASSERT_EQUAL (installed_weight (&instances[0], "studio"), 3);
  run_ms (1000);
  CU_ASSERT_EQUAL (installed_weight (&instances[1], "studio"), 3);
  CU_ASSERT_EQUAL (write_and_wait (&instances[1], "studio", 3, -1), 0);
  CU_ASSERT_EQUAL (instances[1].result.effect, CONFSTORE_UNCHANGED);
  CU_ASSERT_EQUAL (store.write_count, 1);
  tear_down ();
}

static void
test_deletion_leaves_tombstone (void)
{
  uint64_t deleted;

  set_up ();
  CU_ASSERT_EQUAL (write_and_wait (&instances[0], "studio", 3, 0), 0);
  CU_ASSERT_EQUAL (write_and_wait (&instances[0], "studio", 0, -1), 0);
  CU_ASSERT_EQUAL (instances[0].result.effect, CONFSTORE_DELETED);
  deleted = instances[0].result.index;
  CU_ASSERT_EQUAL (installed_weight (&instances[1], "studio"), 0);
  CU_ASSERT_EQUAL (history_size (&instances[1], "customer/studio"), 2);
  CU_ASSERT_EQUAL (write_and_wait (&instances[1], "studio", 0, -1),
                   ERR_NOT_FOUND);
  CU_ASSERT_EQUAL (write_and_wait (&instances[1], "studio", 4, 0), 0);
  CU_ASSERT_EQUAL (instances[1].result.effect, CONFSTORE_CREATED);
  CU_ASSERT (instances[1].result.index > deleted);
  CU_ASSERT_EQUAL (history_size (&instances[0], "customer/studio"), 3);
  tear_down ();
}

static void
write_concurrently (void *user)
{
  struct instance *instance = user;

  begin_write (instance, "studio", 9, -1);
}

static void
test_concurrent_writes (void)
{
  uint64_t index;

  set_up ();
  CU_ASSERT_EQUAL (write_and_wait (&instances[0], "studio", 1, 0), 0);
  index = instances[0].result.index;
  store.before_write = write_concurrently;
  store.before_write_user = &instances[1];
  fakestore_add_fault (&store, FAKESTORE_RACE);
  CU_ASSERT_EQUAL (write_and_wait (&instances[0], "studio", 2, (int64_t)index),
                   ERR_CONFLICT);
  CU_ASSERT_STRING_EQUAL (instances[0].result.conflicting_operator,
                          "operator-1");
  CU_ASSERT_EQUAL (instances[0].result.index, instances[1].result.index);
  CU_ASSERT (instances[0].result.conflicting_time_ms > 0);
  CU_ASSERT_EQUAL (installed_weight (&instances[0], "studio"), 9);
  fakestore_add_fault (&store, FAKESTORE_RACE);
  store.before_write_user = &instances[1];
  CU_ASSERT_EQUAL (write_and_wait (&instances[0], "studio", 2, -1), 0);
  CU_ASSERT_EQUAL (installed_weight (&instances[1], "studio"), 2);
  tear_down ();
}

static void
test_lost_message_is_resolved (void)
{
  static const enum fakestore_fault faults[]
      = { FAKESTORE_LOSE_RESPONSE, FAKESTORE_LOSE_REQUEST,
          FAKESTORE_DELAY_REQUEST };
  size_t i;

  for (i = 0; i < sizeof faults / sizeof faults[0]; i++)
    {
      set_up ();
      CU_ASSERT_EQUAL (write_and_wait (&instances[0], "studio", 1, 0), 0);
      fakestore_add_fault (&store, faults[i]);
      CU_ASSERT_EQUAL (write_and_wait (&instances[0], "studio", 5, -1), 0);
      CU_ASSERT_EQUAL (instances[0].result.effect, CONFSTORE_CHANGED);
      CU_ASSERT_EQUAL (installed_weight (&instances[1], "studio"), 5);
      CU_ASSERT_EQUAL (history_size (&instances[1], "customer/studio"), 2);
      CU_ASSERT_EQUAL (store.write_count, 2);
      CU_ASSERT_EQUAL (instances[0].result.index,
                       installed_index (&instances[1], "customer/studio"));
      tear_down ();
    }
}

static void
test_delayed_write_is_rejected (void)
{
  set_up ();
  CU_ASSERT_EQUAL (write_and_wait (&instances[0], "studio", 1, 0), 0);
  fakestore_add_fault (&store, FAKESTORE_DELAY_REQUEST);
  CU_ASSERT_EQUAL (write_and_wait (&instances[0], "studio", 5, -1), 0);
  CU_ASSERT_EQUAL (write_and_wait (&instances[1], "studio", 6, -1), 0);
  CU_ASSERT_EQUAL (fakestore_deliver_delayed (&store), ERR_CONFLICT);
  run_ms (1000);
  CU_ASSERT_EQUAL (installed_weight (&instances[0], "studio"), 6);
  tear_down ();
}

static void
test_failed_write_outcome (void)
{
  set_up ();
  CU_ASSERT_EQUAL (write_and_wait (&instances[0], "studio", 1, 0), 0);
  fakestore_set_down (&store, true);
  CU_ASSERT_EQUAL (write_and_wait (&instances[0], "studio", 2, -1),
                   ERR_UNAVAILABLE);
  fakestore_set_down (&store, false);
  run_ms (60000);
  CU_ASSERT_EQUAL (installed_weight (&instances[1], "studio"), 1);
  CU_ASSERT_EQUAL (store.write_count, 1);

  /* The response is lost, and the store goes down before the outcome can be
     read from it. */
  fakestore_add_fault (&store, FAKESTORE_LOSE_RESPONSE);
  begin_write (&instances[0], "studio", 3, -1);
  store.down = true;
  run_ms (CONFSTORE_WRITE_TIMEOUT_MS + 1000);
  CU_ASSERT_EQUAL (instances[0].result.error, ERR_UNKNOWN_OUTCOME);
  CU_ASSERT_EQUAL (instances[0].result_count, 1);
  fakestore_set_down (&store, false);
  run_ms (60000);
  CU_ASSERT_EQUAL (installed_weight (&instances[1], "studio"), 3);
  tear_down ();
}

static void
test_store_down_for_an_hour (void)
{
  uint32_t calls;

  set_up ();
  CU_ASSERT_EQUAL (write_and_wait (&instances[0], "studio", 4, 0), 0);
  fakestore_set_down (&store, true);
  calls = store.calls;
  run_ms (3600000);
  CU_ASSERT_EQUAL (installed_weight (&instances[0], "studio"), 4);
  CU_ASSERT (confstore_ready (instances[0].confstore));
  CU_ASSERT (!confstore_store_up (instances[0].confstore));
  /* Each of the two instances waits at least half of the longest backoff
     between calls. */
  CU_ASSERT (store.calls - calls
             < 2 * 3600000 / (CONFSTORE_BACKOFF_MAX_MS / 2) + 20);
  fakestore_set_down (&store, false);
  run_ms (RECOVERY_MS);
  CU_ASSERT (confstore_store_up (instances[0].confstore));
  CU_ASSERT_EQUAL (write_and_wait (&instances[0], "studio", 5, -1), 0);
  CU_ASSERT_EQUAL (installed_weight (&instances[1], "studio"), 5);
  tear_down ();
}

/* A watch that waits for an index from before the restore gets no response.
   The complete index of the writing instance still covers its own change, so
   that its peers learn of it. */
static void
test_write_just_after_restore (void)
{
  set_up ();
  CU_ASSERT_EQUAL (write_and_wait (&instances[0], "studio", 1, 0), 0);
  CU_ASSERT_EQUAL (write_and_wait (&instances[0], "late", 8, 0), 0);
  store.mute_watches = true;
  fakestore_restore (&store, 1);
  CU_ASSERT_EQUAL (write_and_wait (&instances[0], "studio", 2, -1), 0);
  CU_ASSERT (
      confsync_complete_index (confstore_confsync (instances[0].confstore))
      >= instances[0].result.index);
  tear_down ();
}

static void
test_restored_store (void)
{
  uint64_t held_index;

  set_up ();
  CU_ASSERT_EQUAL (write_and_wait (&instances[0], "studio", 1, 0), 0);
  CU_ASSERT_EQUAL (write_and_wait (&instances[0], "other", 1, 0), 0);
  CU_ASSERT_EQUAL (write_and_wait (&instances[0], "studio", 7, -1), 0);
  CU_ASSERT_EQUAL (write_and_wait (&instances[0], "late", 8, 0), 0);
  held_index = installed_index (&instances[1], "customer/late");
  fakestore_restore (&store, 2);
  run_ms (60000);
  CU_ASSERT_EQUAL (installed_weight (&instances[1], "studio"), 7);
  CU_ASSERT_EQUAL (installed_weight (&instances[1], "late"), 8);
  CU_ASSERT_EQUAL (confstore_counters (instances[1].confstore)->store_reverts,
                   1);

  CU_ASSERT_EQUAL (write_and_wait (&instances[0], "other", 2, -1), 0);
  CU_ASSERT (instances[0].result.index > held_index);
  CU_ASSERT_EQUAL (installed_weight (&instances[1], "other"), 2);
  /* Writing the same object again restores it in the store, with its
     history. */
  CU_ASSERT_EQUAL (write_and_wait (&instances[1], "studio", 7, -1), 0);
  CU_ASSERT_EQUAL (instances[1].result.effect, CONFSTORE_CHANGED);
  CU_ASSERT_EQUAL (history_size (&instances[0], "customer/studio"), 3);
  CU_ASSERT (instances[1].result.index
             > installed_index (&instances[0], "customer/other"));
  tear_down ();
}

/* Guards against sums of indexes that pass the largest number that a value
   can hold, so that changes after a restore are rejected as older ones. */
static void
test_large_indexes (void)
{
  static const uint64_t first[]
      = { UINT64_C (1) << 53, UINT64_C (1) << 62, INT64_MAX - 1000 };
  uint64_t held_index;
  size_t i;

  for (i = 0; i < sizeof first / sizeof first[0]; i++)
    {
      set_up ();
      store.first_index = first[i];
      kvmem_set_index (store.kvmem, first[i]);
      CU_ASSERT_EQUAL (write_and_wait (&instances[0], "studio", 1, 0), 0);
      CU_ASSERT_EQUAL (write_and_wait (&instances[0], "other", 1, 0), 0);
      CU_ASSERT_EQUAL (write_and_wait (&instances[0], "late", 8, 0), 0);
      held_index = installed_index (&instances[1], "customer/late");
      CU_ASSERT_EQUAL (held_index, first[i] + 3);
      fakestore_restore (&store, 1);
      run_ms (60000);
      CU_ASSERT_EQUAL (installed_weight (&instances[1], "late"), 8);
      CU_ASSERT_EQUAL (write_and_wait (&instances[0], "studio", 2, -1), 0);
      CU_ASSERT (instances[0].result.index > held_index);
      CU_ASSERT (instances[0].result.index <= INT64_MAX);
      CU_ASSERT_EQUAL (installed_weight (&instances[1], "studio"), 2);
      CU_ASSERT_EQUAL (write_and_wait (&instances[1], "studio", 3, -1), 0);
      CU_ASSERT_EQUAL (installed_weight (&instances[0], "studio"), 3);
      CU_ASSERT_EQUAL (confstore_counters (instances[0].confstore)->rejected,
                       0);
      tear_down ();
    }
}

static void
test_cold_start_waits_for_newest_index (void)
{
  struct message_object object
      = { .key = "customer/studio", .index = 50, .value_size = 0 };
  static char value[]
      = "{\"object\":{\"name\":\"studio\",\"weight\":70},\"deleted\":false,"
        "\"history\":[]}";

  set_up ();
  CU_ASSERT_EQUAL (write_and_wait (&instances[0], "studio", 1, 0), 0);
  store.watch_count = 0;
  stop_instance (&instances[1]);
  start_instance (&instances[1], true);
  instances[1].peer_reported = true;
  instances[1].peer_newest_index = 50;
  run_ms (1000);
  CU_ASSERT (!confstore_ready (instances[1].confstore));
  object.value = value;
  object.value_size = strlen (value);
  CU_ASSERT_EQUAL (
      confsync_offer (confstore_confsync (instances[1].confstore), &object),
      1);
  confsync_mark_complete (confstore_confsync (instances[1].confstore), 50);
  run_ms (STEP_MS);
  CU_ASSERT (confstore_ready (instances[1].confstore));
  CU_ASSERT_EQUAL (installed_weight (&instances[1], "studio"), 70);
  tear_down ();
}

static void
test_cold_start_without_store_or_peers (void)
{
  set_up ();
  fakestore_set_down (&store, true);
  stop_instance (&instances[1]);
  start_instance (&instances[1], true);
  run_ms (600000);
  CU_ASSERT (!confstore_ready (instances[1].confstore));
  fakestore_set_down (&store, false);
  run_ms (RECOVERY_MS);
  CU_ASSERT (confstore_ready (instances[1].confstore));
  tear_down ();
}

static void
test_listing_rate_without_watch (void)
{
  uint32_t calls;

  set_up ();
  instances[0].watches_store = false;
  instances[1].watches_store = false;
  fakestore_answer_watches (&store);
  stop_instance (&instances[0]);
  run_ms (60000);
  calls = store.calls;
  run_ms (3600000);
  calls = store.calls - calls;
  CU_ASSERT (calls <= 3600000 / (CONFSTORE_LISTING_INTERVAL_MS / 2));
  CU_ASSERT (calls >= 3600000 / (2 * CONFSTORE_LISTING_INTERVAL_MS));
  tear_down ();
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
  member_receive_hello (table, &hello, 1);
  HASH_FIND (hh, table->members, &id, sizeof id, member);
  CU_ASSERT_PTR_NOT_NULL (member);
  if (member != NULL)
    member->status = status;
}

static uint32_t
count_watchers (const struct member_table *table, const char *zone)
{
  const struct member *member;
  uint32_t count = 0;

  for (member = table->members; member != NULL; member = member->hh.next)
    count += member->status == MEMBER_ALIVE
             && strcmp (member->availability_zone, zone) == 0
             && confstore_module_is_watcher (table, member->instance_id);
  return count;
}

static void
test_watchers_per_zone (void)
{
  struct member_table table;
  struct member self = { .instance = "r0", .availability_zone = "a" };
  uint32_t i;

  self.instance_id = catalog_id (self.instance);
  CU_ASSERT_EQUAL (member_init (&table, &self, 500), 0);
  for (i = 1; i < 40; i++)
    put_member (&table, i, i % 3 == 0 ? "a" : "b", MEMBER_ALIVE);
  put_member (&table, 40, "c", MEMBER_ALIVE);
  CU_ASSERT_EQUAL (count_watchers (&table, "a"), CONFSTORE_WATCHERS);
  CU_ASSERT_EQUAL (count_watchers (&table, "b"), CONFSTORE_WATCHERS);
  CU_ASSERT_EQUAL (count_watchers (&table, "c"), 1);
  for (i = 1; i < 30; i++)
    put_member (&table, i, i % 3 == 0 ? "a" : "b", MEMBER_GONE);
  CU_ASSERT_EQUAL (count_watchers (&table, "a"), CONFSTORE_WATCHERS);
  CU_ASSERT_EQUAL (count_watchers (&table, "b"), CONFSTORE_WATCHERS);
  member_finish (&table);
}

static const struct suite_test tests[] = {
  { "a write reaches all instances", test_write_reaches_all_instances },
  { "a deletion leaves a tombstone", test_deletion_leaves_tombstone },
  { "concurrent writes of two operators", test_concurrent_writes },
  { "the outcome of a lost request or response is found out",
    test_lost_message_is_resolved },
  { "a delayed write does not replace a newer one",
    test_delayed_write_is_rejected },
  { "a failed write says whether it may have been made",
    test_failed_write_outcome },
  { "the store is down for an hour", test_store_down_for_an_hour },
  { "a write just after the store was restored",
    test_write_just_after_restore },
  { "a store restored from an older state", test_restored_store },
  { "large indexes", test_large_indexes },
  { "a cold start waits for the newest index of peers",
    test_cold_start_waits_for_newest_index },
  { "a cold start without store or peers",
    test_cold_start_without_store_or_peers },
  { "listing rate without a watch", test_listing_rate_without_watch },
  { "two instances of each availability zone watch the store",
    test_watchers_per_zone },
};

SUITE_MAIN ("test_confstore", tests)
