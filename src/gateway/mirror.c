/**
 * @file mirror.c
 * Copy of the store's items.
 */
#include "gateway/mirror.h"
#include "state/err.h"
#include <stdlib.h>
#include <string.h>

static void remove_item (struct mirror *mirror, struct mirror_item *item);

void
mirror_finish (struct mirror *mirror)
{
  struct mirror_item *item = mirror->items;
  struct mirror_item *next;

  HASH_CLEAR (hh, mirror->items);
  for (; item != NULL; item = next)
    {
      next = item->hh.next;
      free (item->object.value);
      free (item);
    }
}

static void
remove_item (struct mirror *mirror, struct mirror_item *item)
{
  HASH_DEL (mirror->items, item);
  free (item->object.value);
  free (item);
}

int
mirror_put (struct mirror *mirror, const struct kvstore_item *item)
{
  struct mirror_item *existing;
  char *value;

  if (strlen (item->key) >= MESSAGE_KEY_SIZE)
    return ERR_INVALID;
  HASH_FIND_STR (mirror->items, item->key, existing);
  if (item->value == NULL)
    {
      if (existing != NULL)
        remove_item (mirror, existing);
      return 0;
    }
  value = malloc (item->value_size + 1);
  if (value == NULL)
    return ERR_NO_MEMORY;
  memcpy (value, item->value, item->value_size);
  value[item->value_size] = '\0';
  if (existing == NULL)
    {
      existing = calloc (1, sizeof *existing);
      if (existing == NULL)
        {
          free (value);
          return ERR_NO_MEMORY;
        }
      memcpy (existing->object.key, item->key, strlen (item->key) + 1);
      HASH_ADD_STR (mirror->items, object.key, existing);
    }
  free (existing->object.value);
  existing->object.value = value;
  existing->object.value_size = item->value_size;
  existing->object.position = item->position;
  return 0;
}
