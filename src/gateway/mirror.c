/**
 * @file mirror.c
 * Items of the store, kept as they were read.
 */
#include "gateway/mirror.h"
#include "state/err.h"
#include <stdlib.h>
#include <string.h>

static void drop (struct mirror *mirror, struct mirror_item *item);

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
drop (struct mirror *mirror, struct mirror_item *item)
{
  HASH_DEL (mirror->items, item);
  free (item->object.value);
  free (item);
}

int
mirror_put (struct mirror *mirror, const struct platform_item *item)
{
  struct mirror_item *kept;
  char *value;

  if (strlen (item->key) >= MESSAGE_KEY_SIZE)
    return ERR_INVALID;
  HASH_FIND_STR (mirror->items, item->key, kept);
  if (item->value == NULL)
    {
      if (kept != NULL)
        drop (mirror, kept);
      return 0;
    }
  value = malloc (item->value_size + 1);
  if (value == NULL)
    return ERR_NO_MEMORY;
  memcpy (value, item->value, item->value_size);
  value[item->value_size] = '\0';
  if (kept == NULL)
    {
      kept = calloc (1, sizeof *kept);
      if (kept == NULL)
        {
          free (value);
          return ERR_NO_MEMORY;
        }
      memcpy (kept->object.key, item->key, strlen (item->key) + 1);
      HASH_ADD_STR (mirror->items, object.key, kept);
    }
  free (kept->object.value);
  kept->object.value = value;
  kept->object.value_size = item->value_size;
  kept->object.index = item->index;
  return 0;
}
