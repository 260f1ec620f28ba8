/**
 * @file confstore_seed.c
 * Fills an in-memory store with the objects of the settings file.
 */
#include "confstore.h"
#include "confstore_int.h"
#include "state/err.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define KEY_SIZE 256 /* bytes of a key with its prefix */

struct seed
{
  struct confstore *confstore;
  const char *key;
  const char *value;
  int error;
};

static int seed_object (struct confstore *confstore, enum object_kind kind,
                        const json_t *object);
static void on_seeded (void *user, int error, uint64_t index);

/* Writes in a fixed order, so that instances with the same file get the same
   values at the same indexes. */
int
confstore_seed (struct confstore *confstore, const struct settings *settings)
{
  static const enum object_kind order[OBJECT_KIND_MAX]
      = { OBJECT_SERVICE, OBJECT_PROFILE, OBJECT_CUSTOMER };
  int error = 0;
  uint32_t i;
  int kind_index;

  for (kind_index = 0; kind_index < OBJECT_KIND_MAX; kind_index++)
    for (i = 0;
         i < object_settings_count (settings, order[kind_index]) && error == 0;
         i++)
      {
        json_t *object = object_from_settings (settings, order[kind_index], i);

        error = seed_object (confstore, order[kind_index], object);
        json_decref (object);
      }
  return error;
}

static int
seed_object (struct confstore *confstore, enum object_kind kind,
             const json_t *object)
{
  const struct object_change change = { .change_id = "settings",
                                        .operator_name = "settings",
                                        .reason = "settings file" };
  struct kvstore *store = confstore->config.kvstore;
  const char *name = json_string_value (json_object_get (object, "name"));
  char *value = object_encode_value (object, NULL, &change);
  struct seed seed = { .confstore = confstore, .value = value };
  char key[KEY_SIZE];

  if (name == NULL || value == NULL)
    {
      free (value);
      return ERR_NO_MEMORY;
    }
  snprintf (key, sizeof key, "%s%s/%s", confstore->config.prefix,
            object_kind_name (kind), name);
  seed.key = key;
  seed.error = store->ops->cas (store, key, value, strlen (value), 0,
                                on_seeded, &seed);
  free (value);
  return seed.error;
}

static void
on_seeded (void *user, int error, uint64_t index)
{
  const struct seed *seed = user;
  const struct kvstore_item item = { .key = seed->key,
                                     .value = seed->value,
                                     .value_size = strlen (seed->value),
                                     .index = index };

  if (error == 0)
    confstore_offer (seed->confstore, &item);
}
