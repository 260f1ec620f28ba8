/**
 * @file confsim.c
 * Simulation of configuration at two instances.
 */
#include "support/confsim.h"
#include "transport/log.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static void exchange_objects (struct confsim *sim);
static int on_object (void *user, const struct message_object *object);
static void check_indexes (struct confsim *sim);
static void begin_write (struct confsim *sim, int number, uint32_t weight,
                         bool conditional, uint64_t if_match);
static void on_write_result (void *user,
                             const struct confstore_result *result);
static const struct message_object *find_object (const struct confsim *sim,
                                                 int number);

void
confsim_init (struct confsim *sim)
{
  int i;

  memset (sim, 0, sizeof *sim);
  clock_init_manual (&sim->clock, 1, 1000000);
  log_init (LOG_LEVEL_MAX, &sim->clock);
  fakestore_init (&sim->store, &sim->clock);
  for (i = 0; i < CONFSIM_INSTANCES; i++)
    confsim_start (sim, i);
}

void
confsim_finish (struct confsim *sim)
{
  int i;

  for (i = 0; i < CONFSIM_INSTANCES; i++)
    confsim_stop (sim, i);
  fakestore_finish (&sim->store);
}

void
confsim_start (struct confsim *sim, int number)
{
  struct confsim_instance *instance = &sim->instances[number];
  const struct confstore_config config = { .kvstore = &sim->store.kvstore,
                                           .catalog = &instance->catalog,
                                           .clock = &sim->clock,
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
confsim_stop (struct confsim *sim, int number)
{
  struct confsim_instance *instance = &sim->instances[number];

  if (instance->confstore == NULL)
    return;
  /* No watch may call back after the confstore is freed. */
  fakestore_answer_watches (&sim->store);
  confstore_free (instance->confstore);
  catalog_finish (&instance->catalog);
  instance->confstore = NULL;
}

void
confsim_run (struct confsim *sim, uint64_t duration_ms, uint64_t step_ms)
{
  uint64_t elapsed_ms;
  int i;

  for (elapsed_ms = 0; elapsed_ms < duration_ms; elapsed_ms += step_ms)
    {
      for (i = 0; i < CONFSIM_INSTANCES; i++)
        if (sim->instances[i].confstore != NULL)
          confstore_run (sim->instances[i].confstore);
      if (elapsed_ms % CONFSIM_EXCHANGE_MS == 0)
        exchange_objects (sim);
      check_indexes (sim);
      clock_advance_ms (&sim->clock, step_ms);
    }
}

void
confsim_write (struct confsim *sim, int number, uint32_t weight)
{
  begin_write (sim, number, weight, false, 0);
}

void
confsim_write_if (struct confsim *sim, int number, uint32_t weight,
                  uint64_t if_match)
{
  begin_write (sim, number, weight, true, if_match);
}

uint32_t
confsim_weight (const struct confsim *sim, int number)
{
  const struct catalog_customer *customer = catalog_customer (
      &sim->instances[number].catalog, catalog_id ("studio"));

  return customer == NULL ? 0 : customer->weight;
}

bool
confsim_has_change (const struct confsim *sim, int number,
                    const char *change_id)
{
  const struct message_object *object = find_object (sim, number);
  json_t *value = object == NULL
                      ? NULL
                      : object_parse_value (object->value, object->value_size);
  bool found = object_has_change (value, change_id);

  json_decref (value);
  return found;
}

static const struct message_object *
find_object (const struct confsim *sim, int number)
{
  return confsync_find (confstore_confsync (sim->instances[number].confstore),
                        CONFSIM_KEY);
}

/* The instance with the higher complete index sends all its objects and that
   index to the other. */
static void
exchange_objects (struct confsim *sim)
{
  struct confsync *from;
  struct confsync *to;
  int i;

  if (sim->instances[0].confstore == NULL
      || sim->instances[1].confstore == NULL)
    return;
  for (i = 0; i < CONFSIM_INSTANCES; i++)
    {
      from = confstore_confsync (sim->instances[i].confstore);
      to = confstore_confsync (sim->instances[1 - i].confstore);
      if (confsync_complete_index (from) <= confsync_complete_index (to))
        continue;
      confsync_visit (from, on_object, to);
      confsync_mark_complete (to, confsync_complete_index (from));
    }
}

static int
on_object (void *user, const struct message_object *object)
{
  confsync_offer (user, object);
  return 0;
}

static void
check_indexes (struct confsim *sim)
{
  int i;

  for (i = 0; i < CONFSIM_INSTANCES; i++)
    {
      struct confsim_instance *instance = &sim->instances[i];
      const struct message_object *object
          = instance->confstore == NULL ? NULL : find_object (sim, i);

      if (object == NULL)
        continue;
      if (object->index < instance->max_index)
        snprintf (sim->violation, sizeof sim->violation,
                  "index decreased at instance %d", i);
      instance->max_index = object->index;
    }
}

static void
begin_write (struct confsim *sim, int number, uint32_t weight,
             bool conditional, uint64_t if_match)
{
  struct confsim_instance *instance = &sim->instances[number];
  struct confstore_write write = { .kind = OBJECT_CUSTOMER,
                                   .conditional = conditional,
                                   .if_match = if_match };
  struct object_error error_details;
  char text[64];

  snprintf (write.name, sizeof write.name, "studio");
  snprintf (write.operator_name, sizeof write.operator_name, "operator-%d",
            number);
  snprintf (text, sizeof text, "{\"weight\":%u}", weight);
  write.object = object_normalise (OBJECT_CUSTOMER, "studio", text,
                                   strlen (text), &error_details);
  instance->result_count = 0;
  confstore_write (instance->confstore, &write, on_write_result, instance);
  json_decref (write.object);
}

static void
on_write_result (void *user, const struct confstore_result *result)
{
  struct confsim_instance *instance = user;

  instance->result = *result;
  instance->result_count++;
}
