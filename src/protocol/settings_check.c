/**
 * @file settings_check.c
 * Walks the fields of a record and checks each against its descriptor.
 */
#include "protocol/settings_int.h"
#include "protocol/settings_source.h"
#include "state/err.h"
#include <event2/util.h>
#include <inttypes.h>
#include <stdio.h>
#include <string.h>

static void walk_records (const struct settings_field *field, void *data,
                          const char *path, settings_visitor visit,
                          void *user);
static void check_field (void *user, const char *path,
                         const struct settings_field *field, void *data);
static void check_number (struct settings_report *report, const char *path,
                          const struct settings_field *field, uint64_t value);
static void check_text (struct settings_report *report, const char *path,
                        const struct settings_field *field, const char *text);
static void check_texts (struct settings_report *report, const char *path,
                         const struct settings_field *field, void *data);
static void check_choice (struct settings_report *report, const char *path,
                          const struct settings_field *field,
                          const char *text);
static int hex_digit (char digit);
static bool is_name (const char *text);
static bool is_address (const char *text, bool listen);

uint32_t
settings_count (const struct settings_field *field, const void *data)
{
  const char *record = (const char *)data - field->offset;

  return *(const uint32_t *)(const void *)(record + field->count_offset);
}

void
settings_walk (enum settings_record_id id, void *record, const char *path,
               settings_visitor visit, void *user)
{
  const struct settings_record *table = &settings_records[id];
  char full_path[SETTINGS_PATH_SIZE];
  uint32_t i;

  for (i = 0; i < table->fields_count; i++)
    {
      const struct settings_field *field = &table->fields[i];
      void *data = (char *)record + field->offset;

      snprintf (full_path, sizeof full_path, "%s%s%s", path,
                *path == '\0' ? "" : ".", field->key);
      visit (user, full_path, field, data);
      if (field->kind == SETTINGS_RECORD)
        settings_walk (field->record, data, full_path, visit, user);
      else if (field->kind == SETTINGS_RECORD_PTR && *(void **)data != NULL)
        settings_walk (field->record, *(void **)data, full_path, visit, user);
      else if (field->kind == SETTINGS_RECORDS)
        walk_records (field, data, full_path, visit, user);
    }
}

static void
walk_records (const struct settings_field *field, void *data, const char *path,
              settings_visitor visit, void *user)
{
  uint32_t count = settings_count (field, data);
  size_t size = settings_records[field->record].size;
  char full_path[SETTINGS_PATH_SIZE + 16];
  uint32_t i;

  for (i = 0; i < count; i++)
    {
      snprintf (full_path, sizeof full_path, "%s[%" PRIu32 "]", path, i);
      settings_walk (field->record, *(char **)data + i * size, full_path,
                     visit, user);
    }
}

void
settings_report_error (struct settings_report *report, const char *path,
                       const char *format, ...)
{
  char reason[SETTINGS_REASON_SIZE];
  char container_path[SETTINGS_PATH_SIZE + 32];
  va_list arguments;
  uint32_t line;

  va_start (arguments, format);
  vsnprintf (reason, sizeof reason, format, arguments);
  va_end (arguments);
  /* An absent value is reported at the line of the innermost container that
     exists. */
  snprintf (container_path, sizeof container_path, "%s", path);
  while ((line = settings_source_line (report->source, container_path)) == 0
         && container_path[0] != '\0')
    {
      size_t length = strlen (container_path);

      while (length > 0 && container_path[--length] != '.'
             && container_path[length] != '[')
        ;
      container_path[length] = '\0';
    }
  report->error_count++;
  report->on_error (report->user, path, line, reason);
}

void
settings_check (enum settings_record_id id, void *record, const char *path,
                struct settings_report *report)
{
  settings_walk (id, record, path, check_field, report);
}

static void
check_field (void *user, const char *path, const struct settings_field *field,
             void *data)
{
  struct settings_report *report = user;

  switch (field->kind)
    {
    case SETTINGS_U32:
      check_number (report, path, field, *(uint32_t *)data);
      break;
    case SETTINGS_U64:
      check_number (report, path, field, *(uint64_t *)data);
      break;
    case SETTINGS_TEXT:
      check_text (report, path, field, *(char **)data);
      break;
    case SETTINGS_TEXTS:
      check_texts (report, path, field, data);
      break;
    case SETTINGS_RECORDS:
      if (settings_count (field, data) < field->min
          || settings_count (field, data) > field->max)
        settings_report_error (
            report, path, "%" PRIu32 " entries, not %" PRIu64 " to %" PRIu64,
            settings_count (field, data), field->min, field->max);
      break;
    default:
      break;
    }
}

static void
check_number (struct settings_report *report, const char *path,
              const struct settings_field *field, uint64_t value)
{
  if (value < field->min || value > field->max)
    settings_report_error (
        report, path, "%" PRIu64 " is out of range %" PRIu64 " to %" PRIu64,
        value, field->min, field->max);
}

static void
check_text (struct settings_report *report, const char *path,
            const struct settings_field *field, const char *text)
{
  uint8_t digest[CATALOG_KEY_HASH_SIZE];

  if (text == NULL && field->required)
    settings_report_error (report, path, "is missing");
  if (text == NULL)
    return;
  switch (field->form)
    {
    case SETTINGS_FORM_NAME:
      if (!is_name (text))
        settings_report_error (
            report, path,
            "not a name: 1 to %d letters, digits, '.', '_' or "
            "'-', the first a letter or digit",
            CATALOG_NAME_SIZE - 1);
      break;
    case SETTINGS_FORM_ADDRESS:
    case SETTINGS_FORM_LISTEN:
      if (!is_address (text, field->form == SETTINGS_FORM_LISTEN))
        settings_report_error (report, path, "not an IP number and port");
      break;
    case SETTINGS_FORM_DIGEST:
      if (settings_parse_digest (text, digest) != 0)
        settings_report_error (
            report, path, "not a SHA-256 digest of 64 hexadecimal digits");
      break;
    case SETTINGS_FORM_CHOICE:
      check_choice (report, path, field, text);
      break;
    case SETTINGS_FORM_SECRET:
      if (strlen (text) < field->min || strlen (text) > field->max)
        settings_report_error (report, path,
                               "not of %" PRIu64 " to %" PRIu64 " bytes",
                               field->min, field->max);
      break;
    default:
      break;
    }
}

static void
check_texts (struct settings_report *report, const char *path,
             const struct settings_field *field, void *data)
{
  struct settings_field entry = *field;
  uint32_t count = settings_count (field, data);
  char full_path[SETTINGS_PATH_SIZE + 16];
  uint32_t i;

  if (count < field->min || count > field->max)
    settings_report_error (report, path,
                           "%" PRIu32 " entries, not %" PRIu64 " to %" PRIu64,
                           count, field->min, field->max);
  entry.required = true;
  if (field->form == SETTINGS_FORM_SECRET)
    {
      entry.min = SETTINGS_KEY_MIN;
      entry.max = SETTINGS_KEY_MAX;
    }
  for (i = 0; i < count; i++)
    {
      snprintf (full_path, sizeof full_path, "%s[%" PRIu32 "]", path, i);
      check_text (report, full_path, &entry, (*(char ***)data)[i]);
    }
}

static void
check_choice (struct settings_report *report, const char *path,
              const struct settings_field *field, const char *text)
{
  char choices[SETTINGS_REASON_SIZE / 2] = "";
  size_t length = 0;
  uint32_t i;

  for (i = 0; i < field->names_count; i++)
    {
      if (strcmp (text, field->names[i].str) == 0)
        return;
      length += (size_t)snprintf (choices + length, sizeof choices - length,
                                  "%s%s", i == 0 ? "" : ", ",
                                  field->names[i].str);
    }
  settings_report_error (report, path, "not one of %s", choices);
}

int
settings_parse_digest (const char *text, uint8_t digest[CATALOG_KEY_HASH_SIZE])
{
  size_t i;

  if (strlen (text) != (size_t)2 * CATALOG_KEY_HASH_SIZE)
    return ERR_INVALID;
  for (i = 0; i < CATALOG_KEY_HASH_SIZE; i++)
    {
      int high = hex_digit (text[2 * i]);
      int low = hex_digit (text[2 * i + 1]);

      if (high < 0 || low < 0)
        return ERR_INVALID;
      digest[i] = (uint8_t)(high * 16 + low);
    }
  return 0;
}

static int
hex_digit (char digit)
{
  static const char lower[] = "0123456789abcdef";
  static const char upper[] = "0123456789ABCDEF";
  const char *at;

  if (digit == '\0')
    return -1;
  at = strchr (lower, digit);
  if (at != NULL)
    return (int)(at - lower);
  at = strchr (upper, digit);
  return at == NULL ? -1 : (int)(at - upper);
}

static bool
is_name (const char *text)
{
  static const char name_bytes[] = "abcdefghijklmnopqrstuvwxyz"
                                   "ABCDEFGHIJKLMNOPQRSTUVWXYZ"
                                   "0123456789._-";
  size_t length = strlen (text);

  return length > 0 && length < CATALOG_NAME_SIZE
         && strchr ("._-", text[0]) == NULL
         && strspn (text, name_bytes) == length;
}

static bool
is_address (const char *text, bool listen)
{
  struct sockaddr_storage storage;
  int length = (int)sizeof storage;
  char copy[CATALOG_ADDRESS_SIZE];
  const char *colon = strrchr (text, ':');

  if (strlen (text) >= sizeof copy || colon == NULL)
    return false;
  snprintf (copy, sizeof copy, "%s", text);
  if (listen && strcmp (colon, ":0") == 0)
    copy[strlen (copy) - 1] = '1';
  return evutil_parse_sockaddr_port (copy, (struct sockaddr *)&storage,
                                     &length)
         == 0;
}
