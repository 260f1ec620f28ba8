/**
 * @file object_value.c
 * Encoding and parsing of stored values: an object with its change records.
 */
#include "protocol/kvstore.h"
#include "protocol/object.h"
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Hexadecimal digits of a shortened digest. */
#define DIGEST_PREFIX_DIGITS 12
#define PATH_SIZE            192 /* bytes */

static json_t *make_record (const json_t *object, const json_t *previous,
                            const struct object_change *change);
static int append_history (json_t *history, const json_t *previous);
static char *dump_with_limit (json_t *value, json_t *history);
static int diff_values (json_t *out, const char *path, json_t *before,
                        json_t *after);
static int diff_objects (json_t *out, const char *path, json_t *before,
                         json_t *after);
static int diff_upstreams (json_t *out, json_t *before, json_t *after);
static json_t *find_upstream (json_t *upstreams, const char *address);
static int add_difference (json_t *out, const char *path, json_t *before,
                           json_t *after);
static json_t *shorten_digests (json_t *digests);

char *
object_encode_value (const json_t *object, const json_t *previous,
                     const struct object_change *change)
{
  json_t *history = json_array ();
  json_t *value = NULL;
  char *text = NULL;

  if (json_array_append_new (history, make_record (object, previous, change))
          == 0
      && append_history (history, previous) == 0)
    value = json_pack ("{s:o, s:b, s:I, s:O}", "object",
                       object == NULL ? json_null ()
                                      : json_incref ((json_t *)object),
                       "deleted", object == NULL, "index_base",
                       (json_int_t)change->index_base, "history", history);
  if (value != NULL)
    text = dump_with_limit (value, history);
  json_decref (value);
  json_decref (history);
  return text;
}

static json_t *
make_record (const json_t *object, const json_t *previous,
             const struct object_change *change)
{
  return json_pack ("{s:s, s:s, s:I, s:I, s:s, s:o}", "change_id",
                    change->change_id, "operator", change->operator_name,
                    "time_ms", (json_int_t)change->time_ms, "previous_index",
                    (json_int_t)change->previous_index, "reason",
                    change->reason, "fields",
                    object_differences (object_from_value (previous), object));
}

static int
append_history (json_t *history, const json_t *previous)
{
  const json_t *older = object_history (previous);
  size_t i;

  for (i = 0; i < json_array_size (older) && i + 1 < OBJECT_HISTORY_MAX; i++)
    if (json_array_append (history, json_array_get (older, i)) != 0)
      return -1;
  return 0;
}

static char *
dump_with_limit (json_t *value, json_t *history)
{
  for (;;)
    {
      char *text = json_dumps (value, JSON_COMPACT);

      if (text == NULL || strlen (text) <= KVSTORE_VALUE_MAX)
        return text;
      free (text);
      /* Keeps the newest record: it is the audit record of this change. */
      if (json_array_size (history) <= 1)
        return NULL;
      json_array_remove (history, json_array_size (history) - 1);
    }
}

json_t *
object_parse_value (const char *value, size_t value_size)
{
  json_t *json = json_loadb (value, value_size, JSON_REJECT_DUPLICATES, NULL);
  const json_t *object = json_object_get (json, "object");
  bool deleted = json_is_true (json_object_get (json, "deleted"));

  if (json_is_array (json_object_get (json, "history"))
      && (deleted ? json_is_null (object) : json_is_object (object)))
    return json;
  json_decref (json);
  return NULL;
}

const json_t *
object_from_value (const json_t *value)
{
  const json_t *object = json_object_get (value, "object");

  return json_is_object (object) ? object : NULL;
}

const json_t *
object_history (const json_t *value)
{
  return json_object_get (value, "history");
}

uint64_t
object_index_base (const json_t *value)
{
  json_int_t base = json_integer_value (json_object_get (value, "index_base"));

  return base > 0 ? (uint64_t)base : 0;
}

uint64_t
object_index (uint64_t base, uint64_t store_index)
{
  return base > OBJECT_INDEX_MAX || store_index > OBJECT_INDEX_MAX - base
             ? UINT64_MAX
             : base + store_index;
}

bool
object_has_change (const json_t *value, const char *change_id)
{
  const json_t *history = object_history (value);
  size_t i;

  for (i = 0; i < json_array_size (history); i++)
    {
      const char *id = json_string_value (
          json_object_get (json_array_get (history, i), "change_id"));

      if (id != NULL && strcmp (id, change_id) == 0)
        return true;
    }
  return false;
}

json_t *
object_differences (const json_t *before, const json_t *after)
{
  json_t *out = json_array ();

  if (out == NULL
      || diff_objects (out, "", (json_t *)before, (json_t *)after) == 0)
    return out;
  json_decref (out);
  return NULL;
}

static int
diff_objects (json_t *out, const char *path, json_t *before, json_t *after)
{
  char full_path[PATH_SIZE];
  const char *key;
  json_t *value;

  json_object_foreach (before, key, value)
  {
    snprintf (full_path, sizeof full_path, "%s%s%s", path,
              *path == '\0' ? "" : ".", key);
    if (diff_values (out, full_path, value, json_object_get (after, key)) != 0)
      return -1;
  }
  json_object_foreach (after, key, value)
  {
    snprintf (full_path, sizeof full_path, "%s%s%s", path,
              *path == '\0' ? "" : ".", key);
    if (json_object_get (before, key) == NULL
        && diff_values (out, full_path, NULL, value) != 0)
      return -1;
  }
  return 0;
}

static int
diff_values (json_t *out, const char *path, json_t *before, json_t *after)
{
  json_t *old_digests;
  json_t *new_digests;
  int result;

  if (before != NULL && after != NULL && json_equal (before, after))
    return 0;
  if (strcmp (path, "upstreams") == 0)
    return diff_upstreams (out, before, after);
  if (strcmp (path, "key_sha256") != 0)
    return add_difference (out, path, before, after);
  old_digests = shorten_digests (before);
  new_digests = shorten_digests (after);
  result = add_difference (out, path, old_digests, new_digests);
  json_decref (old_digests);
  json_decref (new_digests);
  return result;
}

static int
diff_upstreams (json_t *out, json_t *before, json_t *after)
{
  char full_path[PATH_SIZE];
  json_t *entry;
  size_t i;

  json_array_foreach (before, i, entry)
  {
    const char *address
        = json_string_value (json_object_get (entry, "address"));
    json_t *other = find_upstream (after, address);

    snprintf (full_path, sizeof full_path, "upstreams[%s]",
              address == NULL ? "" : address);
    if ((other == NULL ? add_difference (out, full_path, entry, NULL)
                       : diff_objects (out, full_path, entry, other))
        != 0)
      return -1;
  }
  json_array_foreach (after, i, entry)
  {
    const char *address
        = json_string_value (json_object_get (entry, "address"));

    snprintf (full_path, sizeof full_path, "upstreams[%s]",
              address == NULL ? "" : address);
    if (find_upstream (before, address) == NULL
        && add_difference (out, full_path, NULL, entry) != 0)
      return -1;
  }
  return 0;
}

static json_t *
find_upstream (json_t *upstreams, const char *address)
{
  json_t *entry;
  size_t i;

  json_array_foreach (upstreams, i, entry)
  {
    const char *entry_address
        = json_string_value (json_object_get (entry, "address"));

    if (entry_address != NULL && address != NULL
        && strcmp (entry_address, address) == 0)
      return entry;
  }
  return NULL;
}

static int
add_difference (json_t *out, const char *path, json_t *before, json_t *after)
{
  return json_array_append_new (
      out, json_pack ("{s:s, s:O, s:O}", "path", path, "old",
                      before == NULL ? json_null () : before, "new",
                      after == NULL ? json_null () : after));
}

json_t *
object_redact (const json_t *object)
{
  json_t *copy = json_copy ((json_t *)object);
  json_t *digests = json_object_get (copy, "key_sha256");

  if (digests != NULL
      && json_object_set_new (copy, "key_sha256", shorten_digests (digests))
             != 0)
    {
      json_decref (copy);
      return NULL;
    }
  return copy;
}

static json_t *
shorten_digests (json_t *digests)
{
  json_t *out;
  json_t *entry;
  size_t i;

  if (digests == NULL)
    return NULL;
  out = json_array ();
  json_array_foreach (digests, i, entry)
  {
    const char *text = json_string_value (entry);

    json_array_append_new (out, json_sprintf ("%.*s...", DIGEST_PREFIX_DIGITS,
                                              text == NULL ? "" : text));
  }
  return out;
}
