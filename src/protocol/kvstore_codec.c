/**
 * @file kvstore_codec.c
 * Encoding of paths and decoding of JSON of the key-value store's HTTP API.
 */
#include "protocol/kvstore_codec.h"
#include "protocol/base64.h"
#include "state/err.h"
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static int decode_item (const json_t *json, struct kvstore_item *item,
                        struct kvstore_codec_items *items);
static int reject (struct kvstore_codec_items *items, const char *field,
                   const json_t *value);

int
kvstore_codec_decode (const char *text, size_t size,
                      struct kvstore_codec_items *items)
{
  json_error_t malformed;
  json_t *json = json_loadb (text, size, 0, &malformed);
  size_t count = json_array_size (json);
  int error = 0;
  size_t i;

  items->count = 0;
  items->items = calloc (count + 1, sizeof *items->items);
  if (items->items == NULL)
    error = ERR_NO_MEMORY;
  else if (!json_is_array (json))
    {
      error = reject (items, "body", json);
      if (json == NULL)
        snprintf (items->bad_value, sizeof items->bad_value, "%s",
                  malformed.text);
    }
  for (i = 0; i < count && error == 0; i++)
    {
      error = decode_item (json_array_get (json, i), &items->items[i], items);
      items->count++;
    }
  json_decref (json);
  if (error != 0)
    kvstore_codec_items_finish (items);
  return error;
}

static int
decode_item (const json_t *json, struct kvstore_item *item,
             struct kvstore_codec_items *items)
{
  const char *key = json_string_value (json_object_get (json, "Key"));
  const json_t *value = json_object_get (json, "Value");
  const json_t *index = json_object_get (json, "ModifyIndex");
  char *copy = NULL;
  int error = 0;

  if (key == NULL)
    return reject (items, "Key", json_object_get (json, "Key"));
  if (!json_is_integer (index) || json_integer_value (index) <= 0)
    return reject (items, "ModifyIndex", index);
  item->index = (uint64_t)json_integer_value (index);
  item->key = strdup (key);
  if (item->key == NULL)
    return ERR_NO_MEMORY;
  if (json_is_string (value))
    error
        = base64_decode (json_string_value (value), json_string_length (value),
                         &copy, &item->value_size);
  else if (value != NULL && !json_is_null (value))
    error = ERR_PROTOCOL;
  item->value = copy;
  return error == ERR_PROTOCOL ? reject (items, "Value", value) : error;
}

/* @return ERR_PROTOCOL. */
static int
reject (struct kvstore_codec_items *items, const char *field,
        const json_t *value)
{
  char *text = json_dumps (value, JSON_COMPACT | JSON_ENCODE_ANY);

  items->bad_field = field;
  snprintf (items->bad_value, sizeof items->bad_value, "%s",
            text == NULL ? "" : text);
  free (text);
  return ERR_PROTOCOL;
}

void
kvstore_codec_items_finish (struct kvstore_codec_items *items)
{
  size_t i;

  for (i = 0; i < items->count; i++)
    {
      free ((char *)items->items[i].key);
      free ((char *)items->items[i].value);
    }
  free (items->items);
  items->items = NULL;
  items->count = 0;
}

int
kvstore_codec_decode_bool (const char *text, size_t size, bool *value)
{
  json_t *json = json_loadb (text, size, JSON_DECODE_ANY, NULL);
  int error = json_is_boolean (json) ? 0 : ERR_PROTOCOL;

  *value = json_is_true (json);
  json_decref (json);
  return error;
}

int
kvstore_codec_decode_session (const char *text, size_t size, char *id,
                              size_t id_size)
{
  json_t *json = json_loadb (text, size, 0, NULL);
  const char *session_id = json_string_value (json_object_get (json, "ID"));
  int error
      = session_id != NULL && strlen (session_id) < id_size ? 0 : ERR_PROTOCOL;

  if (error == 0)
    snprintf (id, id_size, "%s", session_id);
  json_decref (json);
  return error;
}

int
kvstore_codec_path (char *out, size_t size, const char *key, const char *query)
{
  static const char safe[] = "abcdefghijklmnopqrstuvwxyz"
                             "ABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-._~/";
  size_t length = (size_t)snprintf (out, size, "%s", KVSTORE_CODEC_KEY_PATH);

  for (; *key != '\0' && length < size; key++)
    length += (size_t)snprintf (out + length, size - length,
                                strchr (safe, *key) != NULL ? "%c" : "%%%02X",
                                (unsigned char)*key);
  if (length < size)
    length += (size_t)snprintf (out + length, size - length, "%s", query);
  return length < size ? 0 : ERR_TOO_LARGE;
}
