/**
 * @file settings_json.c
 * Decodes and encodes records as their field descriptors say.
 */
#include "protocol/settings_json.h"
#include "state/err.h"
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static void decode_record (enum settings_record_id id, const json_t *json,
                           void *record, const char *path,
                           struct settings_report *report);
static void decode_field (const struct settings_field *field,
                          const json_t *json, void *data, const char *path,
                          struct settings_report *report);
static void decode_default (const struct settings_field *field, void *data,
                            const char *path, struct settings_report *report);
static void decode_number (const struct settings_field *field,
                           const json_t *json, void *data, const char *path,
                           struct settings_report *report);
static void decode_enum (const struct settings_field *field,
                         const json_t *json, void *data, const char *path,
                         struct settings_report *report);
static void decode_sequence (const struct settings_field *field,
                             const json_t *json, void *data, const char *path,
                             struct settings_report *report);
static char *copy_text (const json_t *json, const char *path,
                        struct settings_report *report);
static const struct settings_field *find_field (enum settings_record_id id,
                                                const char *key);
static json_t *encode_field (const struct settings_field *field, void *data);
static json_t *encode_sequence (const struct settings_field *field,
                                void *data);
static const char *enum_name (const struct settings_field *field,
                              int64_t value);

void *
settings_decode (enum settings_record_id id, const json_t *json,
                 struct settings_report *report)
{
  void *record = calloc (1, settings_records[id].size);
  uint32_t errors_before = report->error_count;

  if (record == NULL)
    return NULL;
  decode_record (id, json, record, "", report);
  if (report->error_count == errors_before)
    return record;
  settings_free_record (id, record);
  return NULL;
}

static void
decode_record (enum settings_record_id id, const json_t *json, void *record,
               const char *path, struct settings_report *report)
{
  const struct settings_record *table = &settings_records[id];
  char full_path[SETTINGS_PATH_SIZE];
  const char *key;
  json_t *value;
  uint32_t i;

  if (!json_is_object (json))
    {
      settings_report_error (report, path, "not an object");
      return;
    }
  json_object_foreach ((json_t *)json, key, value)
  {
    snprintf (full_path, sizeof full_path, "%s%s%s", path,
              *path == '\0' ? "" : ".", key);
    if (find_field (id, key) == NULL)
      settings_report_error (report, full_path, "unknown field");
  }
  for (i = 0; i < table->fields_count; i++)
    {
      const struct settings_field *field = &table->fields[i];
      void *data = (char *)record + field->offset;

      snprintf (full_path, sizeof full_path, "%s%s%s", path,
                *path == '\0' ? "" : ".", field->key);
      value = json_object_get (json, field->key);
      if (value == NULL)
        decode_default (field, data, full_path, report);
      else
        decode_field (field, value, data, full_path, report);
    }
}

static void
decode_default (const struct settings_field *field, void *data,
                const char *path, struct settings_report *report)
{
  if (field->required)
    settings_report_error (report, path, "is missing");
  else if (field->kind == SETTINGS_U32)
    *(uint32_t *)data = (uint32_t)field->default_value;
  else if (field->kind == SETTINGS_U64)
    *(uint64_t *)data = field->default_value;
  else if (field->kind == SETTINGS_TEXT && field->default_text != NULL)
    *(char **)data = strdup (field->default_text);
}

static void
decode_field (const struct settings_field *field, const json_t *json,
              void *data, const char *path, struct settings_report *report)
{
  switch (field->kind)
    {
    case SETTINGS_U32:
    case SETTINGS_U64:
      decode_number (field, json, data, path, report);
      break;
    case SETTINGS_BOOL:
      if (!json_is_boolean (json))
        settings_report_error (report, path, "not true or false");
      *(bool *)data = json_is_true (json);
      break;
    case SETTINGS_ENUM:
      decode_enum (field, json, data, path, report);
      break;
    case SETTINGS_TEXT:
      *(char **)data = copy_text (json, path, report);
      break;
    case SETTINGS_TEXTS:
    case SETTINGS_RECORDS:
      decode_sequence (field, json, data, path, report);
      break;
    default:
      settings_report_error (report, path, "not allowed here");
      break;
    }
}

static void
decode_number (const struct settings_field *field, const json_t *json,
               void *data, const char *path, struct settings_report *report)
{
  json_int_t value = json_integer_value (json);

  if (!json_is_integer (json))
    settings_report_error (report, path, "not a whole number");
  else if (value < 0 || (uint64_t)value > field->max)
    settings_report_error (report, path,
                           "%" JSON_INTEGER_FORMAT " is out of range %" PRIu64
                           " to %" PRIu64,
                           value, field->min, field->max);
  else if (field->kind == SETTINGS_U32)
    *(uint32_t *)data = (uint32_t)value;
  else
    *(uint64_t *)data = (uint64_t)value;
}

static void
decode_enum (const struct settings_field *field, const json_t *json,
             void *data, const char *path, struct settings_report *report)
{
  const char *text = json_string_value (json);
  char choices[SETTINGS_REASON_SIZE / 2] = "";
  size_t length = 0;
  uint32_t i;

  for (i = 0; i < field->names_count; i++)
    {
      if (text != NULL && strcmp (text, field->names[i].str) == 0)
        {
          /* The YAML schema also assumes that enums have the size of int. */
          *(int *)data = (int)field->names[i].val;
          return;
        }
      length += (size_t)snprintf (choices + length, sizeof choices - length,
                                  "%s%s", i == 0 ? "" : ", ",
                                  field->names[i].str);
    }
  settings_report_error (report, path, "not one of %s", choices);
}

static void
decode_sequence (const struct settings_field *field, const json_t *json,
                 void *data, const char *path, struct settings_report *report)
{
  bool texts = field->kind == SETTINGS_TEXTS;
  size_t size = texts ? sizeof (char *) : settings_records[field->record].size;
  char *record = (char *)data - field->offset;
  size_t count = json_array_size (json);
  char full_path[SETTINGS_PATH_SIZE + 32];
  char *entries;
  size_t i;

  if (!json_is_array (json) || count > field->max)
    {
      settings_report_error (
          report, path, "not an array, or longer than %" PRIu64, field->max);
      return;
    }
  entries = calloc (count + 1, size);
  if (entries == NULL)
    {
      settings_report_error (report, path, "out of memory");
      return;
    }
  *(void **)data = entries;
  *(uint32_t *)(void *)(record + field->count_offset) = (uint32_t)count;
  for (i = 0; i < count; i++)
    {
      const json_t *entry = json_array_get (json, i);

      snprintf (full_path, sizeof full_path, "%s[%zu]", path, i);
      if (texts)
        ((char **)(void *)entries)[i] = copy_text (entry, full_path, report);
      else
        decode_record (field->record, entry, entries + i * size, full_path,
                       report);
    }
}

static char *
copy_text (const json_t *json, const char *path,
           struct settings_report *report)
{
  char *text;

  if (!json_is_string (json))
    {
      settings_report_error (report, path, "not a string");
      return NULL;
    }
  text = strdup (json_string_value (json));
  if (text == NULL)
    settings_report_error (report, path, "out of memory");
  return text;
}

static const struct settings_field *
find_field (enum settings_record_id id, const char *key)
{
  const struct settings_record *table = &settings_records[id];
  uint32_t i;

  for (i = 0; i < table->fields_count; i++)
    if (strcmp (table->fields[i].key, key) == 0)
      return &table->fields[i];
  return NULL;
}

json_t *
settings_encode (enum settings_record_id id, void *record)
{
  const struct settings_record *table = &settings_records[id];
  json_t *json = json_object ();
  uint32_t i;

  for (i = 0; json != NULL && i < table->fields_count; i++)
    {
      const struct settings_field *field = &table->fields[i];
      void *data = (char *)record + field->offset;

      if (field->form == SETTINGS_FORM_SECRET
          || (field->kind == SETTINGS_TEXT && *(char **)data == NULL))
        continue;
      if (json_object_set_new (json, field->key, encode_field (field, data))
          != 0)
        {
          json_decref (json);
          return NULL;
        }
    }
  return json;
}

static json_t *
encode_field (const struct settings_field *field, void *data)
{
  switch (field->kind)
    {
    case SETTINGS_U32:
      return json_integer (*(uint32_t *)data);
    case SETTINGS_U64:
      return json_integer ((json_int_t) * (uint64_t *)data);
    case SETTINGS_BOOL:
      return json_boolean (*(bool *)data);
    case SETTINGS_ENUM:
      return json_string (enum_name (field, *(int *)data));
    case SETTINGS_TEXT:
      return json_string (*(char **)data);
    case SETTINGS_TEXTS:
    case SETTINGS_RECORDS:
      return encode_sequence (field, data);
    default:
      return json_null ();
    }
}

static json_t *
encode_sequence (const struct settings_field *field, void *data)
{
  uint32_t count = settings_count (field, data);
  json_t *array = json_array ();
  uint32_t i;

  for (i = 0; array != NULL && i < count; i++)
    {
      json_t *entry;

      if (field->kind == SETTINGS_TEXTS)
        entry = json_string ((*(char ***)data)[i]);
      else
        entry = settings_encode (
            field->record,
            *(char **)data + i * (size_t)settings_records[field->record].size);
      if (json_array_append_new (array, entry) != 0)
        {
          json_decref (array);
          return NULL;
        }
    }
  return array;
}

static const char *
enum_name (const struct settings_field *field, int64_t value)
{
  uint32_t i;

  for (i = 0; i < field->names_count; i++)
    if (field->names[i].val == value)
      return field->names[i].str;
  return "";
}
