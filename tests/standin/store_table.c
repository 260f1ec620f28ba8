/**
 * @file store_table.c
 * Key table of the stand-in store.
 */
#include "standin/store_int.h"
#include <openssl/evp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static bool matches (const struct store_item *item, const char *key,
                     bool recurse);
static json_t *item_json (const struct store_item *item);
static void set_value (struct store_item *item, const void *value,
                       size_t size);

struct store_item *
store_table_find (struct store_table *table, const char *key)
{
  struct store_item *item;

  HASH_FIND_STR (table->items, key, item);
  return item;
}

void
store_table_write (struct store_table *table, const char *key,
                   const void *value, size_t size)
{
  struct store_item *item = store_table_find (table, key);

  if (item == NULL)
    {
      item = calloc (1, sizeof (*item));
      snprintf (item->key, sizeof (item->key), "%s", key);
      HASH_ADD_STR (table->items, key, item);
    }
  set_value (item, value, size);
  item->deleted = value == NULL;
  item->index = ++table->index;
}

void
store_table_clear (struct store_table *table)
{
  struct store_item *item = table->items;
  struct store_item *next;

  HASH_CLEAR (hh, table->items);
  for (; item != NULL; item = next)
    {
      next = item->hh.next;
      free (item->value);
      free (item);
    }
  table->index = 0;
}

void
store_table_copy (struct store_table *to, const struct store_table *from)
{
  const struct store_item *item;
  struct store_item *copy;

  store_table_clear (to);
  for (item = from->items; item != NULL; item = item->hh.next)
    {
      copy = calloc (1, sizeof (*copy));
      *copy = *item;
      copy->value = NULL;
      set_value (copy, item->value, item->size);
      HASH_ADD_STR (to->items, key, copy);
    }
  to->index = from->index;
}

uint64_t
store_table_index (const struct store_table *table, const char *key,
                   bool recurse)
{
  const struct store_item *item;
  uint64_t index = 0;

  for (item = table->items; item != NULL; item = item->hh.next)
    if (matches (item, key, recurse) && item->index > index)
      index = item->index;
  return index;
}

json_t *
store_table_list (const struct store_table *table, const char *key,
                  bool recurse)
{
  const struct store_item *item;
  json_t *list = json_array ();

  for (item = table->items; item != NULL; item = item->hh.next)
    if (matches (item, key, recurse) && !item->deleted)
      json_array_append_new (list, item_json (item));
  return list;
}

static bool
matches (const struct store_item *item, const char *key, bool recurse)
{
  if (recurse)
    return strncmp (item->key, key, strlen (key)) == 0;
  return strcmp (item->key, key) == 0;
}

static json_t *
item_json (const struct store_item *item)
{
  char *text = malloc (4 * (item->size / 3 + 1) + 1);
  json_t *json;

  EVP_EncodeBlock ((unsigned char *)text, (const unsigned char *)item->value,
                   (int)item->size);
  json = json_pack ("{s:s s:s s:I}", "Key", item->key, "Value", text,
                    "ModifyIndex", (json_int_t)item->index);
  if (item->session[0] != '\0')
    json_object_set_new (json, "Session", json_string (item->session));
  free (text);
  return json;
}

static void
set_value (struct store_item *item, const void *value, size_t size)
{
  free (item->value);
  item->value = NULL;
  item->size = value == NULL ? 0 : size;
  if (value == NULL)
    return;
  item->value = malloc (size + 1);
  memcpy (item->value, value, size);
}
