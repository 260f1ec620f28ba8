/**
 * @file test_confsync.c
 * Replication of configuration objects: whatever the order of the offers, no
 * index decreases and all instances end with the same objects.
 */
#include "coordination/confsync.h"
#include "state/err.h"
#include "support/suite.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define INSTANCES 6
#define KEYS      5
#define VERSIONS  40 /* versions of objects that are written */
#define OFFERS    2000
#define SEEDS     20

struct instance
{
  struct confsync *confsync;
  uint64_t indexes[KEYS]; /* greatest held so far */
  uint32_t part_count;    /* messages received */
  uint32_t complete_part_count;
};

static struct instance instances[INSTANCES];
static struct message_object written[VERSIONS];

static uint64_t
next_random (uint64_t *state)
{
  *state ^= *state << 13;
  *state ^= *state >> 7;
  *state ^= *state << 17;
  return *state;
}

/* Rejects values that start with '!'. */
static int
apply_object (void *user, const char *key, const char *value,
              size_t value_size)
{
  (void)user;
  (void)key;
  (void)value_size;
  return value != NULL && value[0] == '!' ? ERR_INVALID : 0;
}

static int
deliver (void *user, uint64_t instance_id, const struct message *message)
{
  struct instance *instance = &instances[instance_id];
  const struct message_config *config = &message->u.config;
  size_t i;

  (void)user;
  CU_ASSERT_EQUAL (message->kind, MESSAGE_CONFIG);
  for (i = 0; i < config->object_count; i++)
    confsync_offer (instance->confsync, &config->objects[i]);
  instance->part_count++;
  if (config->complete)
    {
      instance->complete_part_count++;
      confsync_mark_complete (instance->confsync, config->newest_index);
    }
  return 0;
}

static const struct message_sender direct_sender = { .send = deliver };

static void
set_up (void)
{
  const struct confsync_sink sink = { .apply = apply_object };
  size_t i;

  memset (instances, 0, sizeof instances);
  for (i = 0; i < INSTANCES; i++)
    instances[i].confsync = confsync_new (&sink);
}

static void
tear_down (void)
{
  size_t i;

  for (i = 0; i < INSTANCES; i++)
    confsync_free (instances[i].confsync);
  for (i = 0; i < VERSIONS; i++)
    {
      free (written[i].value);
      written[i].value = NULL;
    }
}

/* The last two versions have the same index but different values, as when two
   writers raise the index base at the same time. */
static void
write_versions (uint64_t *state)
{
  size_t i;

  for (i = 0; i < VERSIONS; i++)
    {
      struct message_object *object = &written[i];
      bool same_index = i >= VERSIONS - 2;
      char text[64];

      memset (object, 0, sizeof *object);
      snprintf (object->key, sizeof object->key, "profile/p%u",
                (unsigned int)(same_index ? 0 : next_random (state) % KEYS));
      object->index = same_index ? VERSIONS : i + 1;
      object->deleted = !same_index && next_random (state) % 5 == 0;
      snprintf (text, sizeof text, "text %zu", i);
      if (!object->deleted || next_random (state) % 2 == 0)
        object->value = strdup (text);
      object->value_size = object->value == NULL ? 0 : strlen (object->value);
    }
}

static void
check_no_index_decreased (struct instance *instance)
{
  size_t i;

  for (i = 0; i < KEYS; i++)
    {
      const struct message_object *object;
      char key[MESSAGE_KEY_SIZE];

      snprintf (key, sizeof key, "profile/p%zu", i);
      object = confsync_find (instance->confsync, key);
      if (object == NULL)
        {
          CU_ASSERT_EQUAL (instance->indexes[i], 0);
          continue;
        }
      CU_ASSERT (object->index >= instance->indexes[i]);
      instance->indexes[i] = object->index;
    }
}

static int
compare_with_first (void *user, const struct message_object *object)
{
  const struct message_object *other
      = confsync_find (instances[0].confsync, object->key);

  (void)user;
  CU_ASSERT_PTR_NOT_NULL (other);
  if (other == NULL)
    return -1;
  CU_ASSERT_EQUAL (other->index, object->index);
  CU_ASSERT_EQUAL (other->deleted, object->deleted);
  CU_ASSERT_EQUAL (other->value_size, object->value_size);
  CU_ASSERT_EQUAL (memcmp (other->value == NULL ? "" : other->value,
                           object->value == NULL ? "" : object->value,
                           object->value_size),
                   0);
  return 0;
}

static void
run_seed (uint64_t seed)
{
  uint64_t state = seed;
  size_t i;

  set_up ();
  write_versions (&state);
  for (i = 0; i < OFFERS; i++)
    {
      size_t to = next_random (&state) % INSTANCES;
      size_t from = next_random (&state) % INSTANCES;

      if (next_random (&state) % 4 == 0)
        confsync_respond (instances[from].confsync, to,
                          next_random (&state) % VERSIONS, &direct_sender);
      else
        confsync_offer (instances[to].confsync,
                        &written[next_random (&state) % VERSIONS]);
      check_no_index_decreased (&instances[to]);
    }
  for (i = 1; i < INSTANCES; i++)
    confsync_respond (instances[i].confsync, 0, 0, &direct_sender);
  for (i = 1; i < INSTANCES; i++)
    confsync_respond (instances[0].confsync, i, 0, &direct_sender);
  for (i = 1; i < INSTANCES; i++)
    confsync_visit (instances[i].confsync, compare_with_first, NULL);
  tear_down ();
}

static void
test_instances_converge (void)
{
  uint64_t seed;

  for (seed = 1; seed <= SEEDS; seed++)
    run_seed (seed);
}

static void
offer (struct confsync *confsync, const char *key, uint64_t index,
       const char *value, int expected)
{
  struct message_object object = { .index = index, .deleted = value == NULL };

  snprintf (object.key, sizeof object.key, "%s", key);
  object.value = value == NULL ? NULL : strdup (value);
  object.value_size = value == NULL ? 0 : strlen (value);
  CU_ASSERT_EQUAL (confsync_offer (confsync, &object), expected);
  free (object.value);
}

static void
test_offers (void)
{
  struct confsync *confsync;

  set_up ();
  confsync = instances[0].confsync;
  offer (confsync, "profile/a", 5, "new", 1);
  offer (confsync, "profile/a", 5, "new", 0);
  offer (confsync, "profile/a", 4, "old", ERR_STALE);
  offer (confsync, "profile/a", 6, "!refused", ERR_INVALID);
  offer (confsync, "profile/a", 0, "none", ERR_INVALID);
  CU_ASSERT_STRING_EQUAL (confsync_find (confsync, "profile/a")->value, "new");
  offer (confsync, "profile/a", 7, NULL, 1);
  offer (confsync, "profile/a", 5, "new", ERR_STALE);
  CU_ASSERT (confsync_find (confsync, "profile/a")->deleted);
  CU_ASSERT_EQUAL (confsync_newest_index (confsync), 7);
  CU_ASSERT_EQUAL (confsync_complete_index (confsync), 0);
  tear_down ();
}

static void
test_incomplete_instance_completes_no_peer (void)
{
  set_up ();
  offer (instances[0].confsync, "profile/a", 5, "text", 1);
  confsync_respond (instances[0].confsync, 1, 0, &direct_sender);
  CU_ASSERT_EQUAL (instances[1].part_count, 1);
  CU_ASSERT (!confsync_ready (instances[1].confsync));
  confsync_mark_complete (instances[0].confsync, 5);
  confsync_respond (instances[0].confsync, 1, 5, &direct_sender);
  CU_ASSERT (confsync_ready (instances[1].confsync));
  CU_ASSERT_EQUAL (confsync_complete_index (instances[1].confsync), 5);
  confsync_mark_complete (instances[1].confsync, 3);
  CU_ASSERT_EQUAL (confsync_complete_index (instances[1].confsync), 5);
  tear_down ();
}

static void
test_large_response_is_split (void)
{
  static char text[CONFSYNC_PART_BYTES / 2 + 1];
  char key[MESSAGE_KEY_SIZE];
  uint64_t i;

  memset (text, 'x', CONFSYNC_PART_BYTES / 2);
  text[CONFSYNC_PART_BYTES / 2] = '\0';
  set_up ();
  for (i = 1; i <= 5; i++)
    {
      snprintf (key, sizeof key, "profile/%u", (unsigned int)i);
      offer (instances[0].confsync, key, i, text, 1);
    }
  confsync_mark_complete (instances[0].confsync, 5);
  confsync_respond (instances[0].confsync, 1, 0, &direct_sender);
  CU_ASSERT (instances[1].part_count >= 3);
  CU_ASSERT_EQUAL (instances[1].complete_part_count, 1);
  CU_ASSERT_EQUAL (confsync_newest_index (instances[1].confsync), 5);
  tear_down ();
}

static const struct suite_test tests[] = {
  { "no index decreases and all instances converge", test_instances_converge },
  { "offers", test_offers },
  { "an incomplete instance marks no peer as complete",
    test_incomplete_instance_completes_no_peer },
  { "a large response is split into parts", test_large_response_is_split },
};

SUITE_MAIN ("test_confsync", tests)
