/**
 * @file object.c
 * Keys and normal form of objects, and their transfer into the catalog.
 */
#include "protocol/object.h"
#include "protocol/settings_json.h"
#include "protocol/settings_source.h"
#include "state/err.h"
#include <openssl/evp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define DIGEST_TEXT_SIZE (2 * CATALOG_KEY_HASH_SIZE + 1) /* bytes */

struct kind_info
{
  const char *name;
  const char *collection;
  enum settings_record_id record;
  int (*remove) (struct catalog *catalog, const char *name);
};

static void keep_first_error (void *user, const char *path, uint32_t line,
                              const char *reason);
static void *decode_object (enum object_kind kind, const char *name,
                            const json_t *json,
                            struct settings_report *report);
static void check_object (enum object_kind kind, const char *name,
                          void *record, struct settings_report *report);
static json_t *encode_object (enum object_kind kind, void *record);
static json_t *customer_digests (const struct settings_customer *customer);
static int compare_digests (const void *left, const void *right);
static int put_object (enum object_kind kind, void *record,
                       struct catalog *catalog);

static const struct kind_info kinds[OBJECT_KIND_MAX] = {
  [OBJECT_CUSTOMER] = { "customer", "customers", SETTINGS_RECORD_CUSTOMER,
                        catalog_remove_customer },
  [OBJECT_PROFILE]
  = { "profile", "profiles", SETTINGS_RECORD_PROFILE, catalog_remove_profile },
  [OBJECT_SERVICE]
  = { "service", "services", SETTINGS_RECORD_SERVICE, catalog_remove_service },
};

const char *
object_collection (enum object_kind kind)
{
  return kinds[kind].collection;
}

const char *
object_kind_name (enum object_kind kind)
{
  return kinds[kind].name;
}

enum object_kind
object_find_kind (const char *name)
{
  int kind;

  for (kind = 0; kind < OBJECT_KIND_MAX; kind++)
    if (strcmp (name, kinds[kind].name) == 0
        || strcmp (name, kinds[kind].collection) == 0)
      break;
  return (enum object_kind)kind;
}

int
object_parse_key (const char *key, enum object_kind *kind, const char **name)
{
  int i;

  for (i = 0; i < OBJECT_KIND_MAX; i++)
    {
      size_t length = strlen (kinds[i].name);

      if (strncmp (key, kinds[i].name, length) != 0 || key[length] != '/'
          || key[length + 1] == '\0')
        continue;
      *kind = (enum object_kind)i;
      *name = key + length + 1;
      return 0;
    }
  return ERR_INVALID;
}

json_t *
object_normalise (enum object_kind kind, const char *name, const char *text,
                  size_t size, struct object_error *error_details)
{
  struct settings_report report
      = { .on_error = keep_first_error, .user = error_details };
  char unused[SETTINGS_REASON_SIZE];
  json_error_t error;
  json_t *json = json_loadb (text, size, JSON_REJECT_DUPLICATES, &error);
  json_t *normal = NULL;
  uint32_t line;
  void *record;

  memset (error_details, 0, sizeof *error_details);
  if (json == NULL)
    {
      error_details->line = error.line > 0 ? (uint32_t)error.line : 1;
      snprintf (error_details->reason, sizeof error_details->reason,
                "not JSON: %s", error.text);
      return NULL;
    }
  settings_source_parse (text, size, &report.source, &line, unused,
                         sizeof unused);
  record = decode_object (kind, name, json, &report);
  if (record != NULL && report.error_count == 0)
    normal = encode_object (kind, record);
  if (normal == NULL && report.error_count == 0)
    settings_report_error (&report, "object", "out of memory");
  settings_free_record (kinds[kind].record, record);
  settings_source_free (report.source);
  json_decref (json);
  return normal;
}

uint32_t
object_line (const char *text, size_t size, const char *path)
{
  struct settings_source *source = NULL;
  char unused[SETTINGS_REASON_SIZE];
  uint32_t line = 0;

  if (settings_source_parse (text, size, &source, &line, unused, sizeof unused)
      != 0)
    return 0;
  line = settings_source_line (source, path);
  settings_source_free (source);
  return line;
}

/* Later errors are dropped. */
static void
keep_first_error (void *user, const char *path, uint32_t line,
                  const char *reason)
{
  struct object_error *error_details = user;

  if (error_details->reason[0] != '\0')
    return;
  snprintf (error_details->path, sizeof error_details->path, "%s",
            *path == '\0' ? "object" : path);
  snprintf (error_details->reason, sizeof error_details->reason, "%s", reason);
  error_details->line = line;
}

/* The object may omit its name, which the key contains. */
static void *
decode_object (enum object_kind kind, const char *name, const json_t *json,
               struct settings_report *report)
{
  json_t *named = json_copy ((json_t *)json);
  void *record;

  if (json_is_object (named) && json_object_get (named, "name") == NULL)
    json_object_set_new (named, "name", json_string (name));
  record = settings_decode (kinds[kind].record, named, report);
  json_decref (named);
  if (record != NULL)
    check_object (kind, name, record, report);
  return record;
}

static void
check_object (enum object_kind kind, const char *name, void *record,
              struct settings_report *report)
{
  const char *object_name
      = *(char **)record; /* the first member of each record */

  settings_check (kinds[kind].record, record, "", report);
  if (object_name != NULL && strcmp (object_name, name) != 0)
    settings_report_error (report, "name",
                           "differs from the name in the key, '%s'", name);
  if (kind == OBJECT_CUSTOMER)
    settings_check_customer (record, "", report);
  else if (kind == OBJECT_SERVICE)
    settings_check_service (record, "", report);
}

static json_t *
encode_object (enum object_kind kind, void *record)
{
  json_t *json = settings_encode (kinds[kind].record, record);

  if (json == NULL || kind != OBJECT_CUSTOMER)
    return json;
  if (json_object_set_new (json, "key_sha256", customer_digests (record)) == 0)
    return json;
  json_decref (json);
  return NULL;
}

/* Digests of all keys, sorted, in lower case and without duplicates, so that
   equal sets of keys have equal texts. */
static json_t *
customer_digests (const struct settings_customer *customer)
{
  char texts[2 * CATALOG_KEYS_MAX][DIGEST_TEXT_SIZE];
  uint8_t digest[CATALOG_KEY_HASH_SIZE];
  json_t *array = json_array ();
  uint32_t count = 0;
  uint32_t i;
  uint32_t j;

  for (i = 0; i < customer->keys_count + customer->key_sha256_count
              && i < (uint32_t)2 * CATALOG_KEYS_MAX;
       i++)
    {
      if (i < customer->keys_count)
        EVP_Digest (customer->keys[i], strlen (customer->keys[i]), digest,
                    NULL, EVP_sha256 (), NULL);
      else
        settings_parse_digest (customer->key_sha256[i - customer->keys_count],
                               digest);
      for (j = 0; j < CATALOG_KEY_HASH_SIZE; j++)
        snprintf (texts[count] + (size_t)2 * j, 3, "%02x", digest[j]);
      count++;
    }
  qsort (texts, count, sizeof texts[0], compare_digests);
  for (i = 0; i < count; i++)
    if (i == 0 || strcmp (texts[i - 1], texts[i]) != 0)
      json_array_append_new (array, json_string (texts[i]));
  return array;
}

static int
compare_digests (const void *left, const void *right)
{
  return strcmp (left, right);
}

uint32_t
object_settings_count (const struct settings *settings, enum object_kind kind)
{
  if (kind == OBJECT_CUSTOMER)
    return settings->customers_count;
  return kind == OBJECT_PROFILE ? settings->profiles_count
                                : settings->services_count;
}

json_t *
object_from_settings (const struct settings *settings, enum object_kind kind,
                      uint32_t index)
{
  void *record;

  if (kind == OBJECT_CUSTOMER)
    record = &settings->customers[index];
  else if (kind == OBJECT_PROFILE)
    record = &settings->profiles[index];
  else
    record = &settings->services[index];
  return encode_object (kind, record);
}

int
object_install (struct catalog *catalog, const char *key, const char *value,
                size_t value_size)
{
  struct object_error error_details = { .line = 0 };
  struct settings_report report
      = { .on_error = keep_first_error, .user = &error_details };
  json_t *stored = NULL;
  enum object_kind kind;
  const char *name;
  void *record;
  int error = ERR_INVALID;

  if (object_parse_key (key, &kind, &name) != 0)
    return ERR_INVALID;
  if (value != NULL)
    {
      stored = object_parse_value (value, value_size);
      if (stored == NULL)
        return ERR_INVALID;
    }
  if (object_from_value (stored) == NULL)
    {
      kinds[kind].remove (catalog, name);
      json_decref (stored);
      return 0;
    }
  record = decode_object (kind, name, object_from_value (stored), &report);
  if (record != NULL && report.error_count == 0)
    error = put_object (kind, record, catalog);
  settings_free_record (kinds[kind].record, record);
  json_decref (stored);
  return error;
}

static int
put_object (enum object_kind kind, void *record, struct catalog *catalog)
{
  if (kind == OBJECT_CUSTOMER)
    return settings_put_customer (record, catalog);
  if (kind == OBJECT_PROFILE)
    return settings_put_profile (record, catalog);
  return settings_put_service (record, catalog);
}
