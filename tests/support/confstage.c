/**
 * @file confstage.c
 * Configuration at two instances, for tests.
 */
#include "support/confstage.h"
#include "transport/log.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static void exchange (struct confstage *stage);
static int offer (void *user, const struct message_object *object);
static void watch_indexes (struct confstage *stage);
static void begin (struct confstage *stage, int number, uint32_t weight,
                   bool conditional, uint64_t if_match);
static void note_result (void *user, const struct confstore_result *result);
static const struct message_object *held (const struct confstage *stage,
                                          int number);

void
confstage_init (struct confstage *stage)
{
  int i;

  memset (stage, 0, sizeof *stage);
  clock_init_manual (&stage->clock, 1, 1000000);
  log_init (LOG_LEVEL_MAX, &stage->clock);
  fakestore_init (&stage->store, &stage->clock);
  for (i = 0; i < CONFSTAGE_INSTANCES; i++)
    confstage_start (stage, i);
}

void
confstage_finish (struct confstage *stage)
{
  int i;

  for (i = 0; i < CONFSTAGE_INSTANCES; i++)
    confstage_stop (stage, i);
  fakestore_finish (&stage->store);
}

void
confstage_start (struct confstage *stage, int number)
{
  struct confstage_instance *instance = &stage->instances[number];
  const struct confstore_config config = { .platform = &stage->store.platform,
                                           .catalog = &instance->catalog,
                                           .clock = &stage->clock,
                                           .prefix = "cherrylanding/",
                                           .watch_wait_ms = 30000,
                                           .seed = (uint64_t)number + 7,
                                           .user = instance };

  if (instance->confstore != NULL)
    return;
  memset (instance, 0, sizeof *instance);
  catalog_init (&instance->catalog);
  instance->confstore = confstore_new (&config);
}

void
confstage_stop (struct confstage *stage, int number)
{
  struct confstage_instance *instance = &stage->instances[number];

  if (instance->confstore == NULL)
    return;
  fakestore_wake (&stage->store); /* a closed watch answers nobody */
  confstore_free (instance->confstore);
  catalog_finish (&instance->catalog);
  instance->confstore = NULL;
}

void
confstage_run (struct confstage *stage, uint64_t duration_ms, uint64_t step_ms)
{
  uint64_t passed;
  int i;

  for (passed = 0; passed < duration_ms; passed += step_ms)
    {
      for (i = 0; i < CONFSTAGE_INSTANCES; i++)
        if (stage->instances[i].confstore != NULL)
          confstore_run (stage->instances[i].confstore);
      if (passed % CONFSTAGE_EXCHANGE_MS == 0)
        exchange (stage);
      watch_indexes (stage);
      clock_advance_ms (&stage->clock, step_ms);
    }
}

void
confstage_write (struct confstage *stage, int number, uint32_t weight)
{
  begin (stage, number, weight, false, 0);
}

void
confstage_write_if (struct confstage *stage, int number, uint32_t weight,
                    uint64_t if_match)
{
  begin (stage, number, weight, true, if_match);
}

uint32_t
confstage_weight (const struct confstage *stage, int number)
{
  const struct catalog_customer *customer = catalog_customer (
      &stage->instances[number].catalog, catalog_id ("studio"));

  return customer == NULL ? 0 : customer->weight;
}

bool
confstage_held (const struct confstage *stage, int number,
                const char *change_id)
{
  const struct message_object *object = held (stage, number);
  json_t *value = object == NULL
                      ? NULL
                      : object_parse_value (object->value, object->value_size);
  bool found = object_has_change (value, change_id);

  json_decref (value);
  return found;
}

static const struct message_object *
held (const struct confstage *stage, int number)
{
  return confsync_find (confstore_sync (stage->instances[number].confstore),
                        CONFSTAGE_KEY);
}

/* A peer answers with all its objects and the index that completes them. */
static void
exchange (struct confstage *stage)
{
  struct confsync *from;
  struct confsync *to;
  int i;

  if (stage->instances[0].confstore == NULL
      || stage->instances[1].confstore == NULL)
    return;
  for (i = 0; i < CONFSTAGE_INSTANCES; i++)
    {
      from = confstore_sync (stage->instances[i].confstore);
      to = confstore_sync (stage->instances[1 - i].confstore);
      if (confsync_index (from) <= confsync_index (to))
        continue;
      confsync_visit (from, offer, to);
      confsync_complete (to, confsync_index (from));
    }
}

static int
offer (void *user, const struct message_object *object)
{
  confsync_offer (user, object);
  return 0;
}

static void
watch_indexes (struct confstage *stage)
{
  int i;

  for (i = 0; i < CONFSTAGE_INSTANCES; i++)
    {
      struct confstage_instance *instance = &stage->instances[i];
      const struct message_object *object
          = instance->confstore == NULL ? NULL : held (stage, i);

      if (object == NULL)
        continue;
      if (object->index < instance->index_seen)
        snprintf (stage->violation, sizeof stage->violation,
                  "index went down at %d", i);
      instance->index_seen = object->index;
    }
}

static void
begin (struct confstage *stage, int number, uint32_t weight, bool conditional,
       uint64_t if_match)
{
  struct confstage_instance *instance = &stage->instances[number];
  struct confstore_write write = { .kind = OBJECT_CUSTOMER,
                                   .conditional = conditional,
                                   .if_match = if_match };
  struct object_fault fault;
  char text[64];

  snprintf (write.name, sizeof write.name, "studio");
  snprintf (write.operator_name, sizeof write.operator_name, "operator-%d",
            number);
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
  struct confstage_instance *instance = user;

  instance->result = *result;
  instance->results++;
}
