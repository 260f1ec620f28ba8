/**
 * @file admin_references.c
 * Checks the references between objects against the current catalog.
 */
#include "admin_int.h"
#include "protocol/settings_int.h"
#include "state/err.h"
#include <stdio.h>
#include <string.h>

static int check_profile (const struct catalog *catalog, const json_t *object,
                          struct object_error *error_details);
static int check_customer (const struct catalog *catalog, const char *name,
                           const json_t *object,
                           struct object_error *error_details);
static int check_unused (const struct catalog *catalog, const char *name,
                         struct object_error *error_details);

int
admin_check_references (const struct catalog *catalog, enum object_kind kind,
                        const char *name, const json_t *object,
                        struct object_error *error_details)
{
  if (kind == OBJECT_PROFILE && object != NULL)
    return check_profile (catalog, object, error_details);
  if (kind == OBJECT_CUSTOMER && object != NULL)
    return check_customer (catalog, name, object, error_details);
  if (kind == OBJECT_SERVICE && object == NULL)
    return check_unused (catalog, name, error_details);
  return 0;
}

static int
check_profile (const struct catalog *catalog, const json_t *object,
               struct object_error *error_details)
{
  const char *service
      = json_string_value (json_object_get (object, "service"));

  if (service != NULL
      && catalog_service (catalog, catalog_id (service)) != NULL)
    return 0;
  snprintf (error_details->path, sizeof error_details->path, "service");
  snprintf (error_details->reason, sizeof error_details->reason,
            "no service '%.64s'", service == NULL ? "" : service);
  return ERR_INVALID;
}

static int
check_customer (const struct catalog *catalog, const char *name,
                const json_t *object, struct object_error *error_details)
{
  const json_t *digests = json_object_get (object, "key_sha256");
  size_t i;

  for (i = 0; i < json_array_size (digests); i++)
    {
      const char *text = json_string_value (json_array_get (digests, i));
      uint8_t digest[CATALOG_KEY_HASH_SIZE];
      const struct catalog_customer *owner = NULL;

      if (text != NULL && settings_parse_digest (text, digest) == 0)
        owner = catalog_customer_by_key (catalog, digest);
      if (owner == NULL || strcmp (owner->name, name) == 0)
        continue;
      snprintf (error_details->path, sizeof error_details->path, "keys");
      snprintf (error_details->reason, sizeof error_details->reason,
                "a key belongs to customer '%s'", owner->name);
      return ERR_INVALID;
    }
  return 0;
}

static int
check_unused (const struct catalog *catalog, const char *name,
              struct object_error *error_details)
{
  const struct catalog_profile *profile;

  for (profile = catalog->profiles; profile != NULL;
       profile = profile->hh.next)
    {
      if (strcmp (profile->service, name) != 0)
        continue;
      snprintf (error_details->path, sizeof error_details->path, "name");
      snprintf (error_details->reason, sizeof error_details->reason,
                "the service is in use by profile '%s'", profile->name);
      return ERR_INVALID;
    }
  return 0;
}
