/**
 * @file settings_validate.c
 * Checks a whole file: each field, then references and duplicates.
 */
#include "protocol/settings.h"
#include "protocol/settings_int.h"
#include "protocol/settings_source.h"
#include "state/err.h"
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <uthash.h>

#define LEASE_INTERVALS_MIN 3 /* minimum exchange intervals in a lease */

/** Set of the texts seen so far, to detect duplicates. */
struct seen
{
  const char *text;
  uint32_t index;
  UT_hash_handle hh;
};

struct output
{
  const char *file;
  FILE *errors;
};

static struct settings_source *parse_source (const char *path);
static void print_error (void *user, const char *path, uint32_t line,
                         const char *reason);
static void check_router (const struct settings_router *router,
                          struct settings_report *report);
static void check_tokens (const struct settings_router *router,
                          struct settings_report *report);
static void check_objects (const struct settings *settings,
                           struct settings_report *report);
static void check_references (const struct settings *settings,
                              struct settings_report *report);
static void check_customer_keys (const struct settings *settings,
                                 struct settings_report *report);
static void check_duplicates (const char *collection, const char *member,
                              const void *records, size_t stride,
                              uint32_t count, struct settings_report *report);
static void check_keys_unique (const struct settings_customer *customer,
                               uint32_t index, struct seen **seen,
                               struct settings_report *report);
static bool add_seen (struct seen **seen, const char *text, uint32_t index,
                      uint32_t *first);
static void free_seen (struct seen **seen);

int
settings_validate (const struct settings *settings, const char *path,
                   FILE *errors)
{
  struct output output = { path, errors };
  struct settings_report report = { .on_error = print_error,
                                    .user = &output,
                                    .source = parse_source (path) };

  settings_check (SETTINGS_RECORD_TOP, (void *)settings, "", &report);
  if (settings->router != NULL)
    {
      check_router (settings->router, &report);
      check_tokens (settings->router, &report);
    }
  check_objects (settings, &report);
  if (settings->router != NULL || settings->services != NULL)
    check_references (settings, &report);
  check_customer_keys (settings, &report);
  settings_source_free (report.source);
  return report.error_count == 0 ? 0 : ERR_INVALID;
}

/* Parses the file again for line numbers; returns NULL when it cannot be read,
   and errors then have line 0. */
static struct settings_source *
parse_source (const char *path)
{
  struct settings_source *source = NULL;
  FILE *file = fopen (path, "re");
  char *text = NULL;
  size_t capacity = 0;
  ssize_t size;
  char reason[SETTINGS_REASON_SIZE];
  uint32_t line;

  if (file == NULL)
    return NULL;
  size = getdelim (&text, &capacity, '\0', file);
  if (size > 0)
    settings_source_parse (text, (size_t)size, &source, &line, reason,
                           sizeof reason);
  free (text);
  fclose (file);
  return source;
}

static void
print_error (void *user, const char *path, uint32_t line, const char *reason)
{
  const struct output *output = user;

  fprintf (output->errors, "%s:%" PRIu32 ": %s: %s\n", output->file, line,
           path, reason);
}

static void
check_router (const struct settings_router *router,
              struct settings_report *report)
{
  if (router->lease_ms < LEASE_INTERVALS_MIN * router->exchange_interval_ms)
    settings_report_error (
        report, "router.lease_ms",
        "%" PRIu32 " is less than %d exchange intervals of %" PRIu32 " ms",
        router->lease_ms, LEASE_INTERVALS_MIN, router->exchange_interval_ms);
  if (router->platform.kind == SETTINGS_PLATFORM_HTTP
      && router->platform.address == NULL)
    settings_report_error (report, "router.platform.address",
                           "is missing for kind http");
  if (router->peer_address != NULL && router->peer_secret == NULL)
    settings_report_error (report, "router.peer_secret",
                           "is missing for peer_address");
  if (router->peers_count > 0 && router->peer_address == NULL)
    settings_report_error (report, "router.peer_address",
                           "is missing for peers");
  if (router->tokens_count > 0 && router->admin_address == NULL)
    settings_report_error (report, "router.admin_address",
                           "is missing for tokens");
}

static void
check_tokens (const struct settings_router *router,
              struct settings_report *report)
{
  struct seen *seen = NULL;
  uint32_t first;
  uint32_t i;
  char path[SETTINGS_PATH_SIZE];

  for (i = 0; i < router->tokens_count; i++)
    if (add_seen (&seen, router->tokens[i].token_sha256, i, &first))
      {
        snprintf (path, sizeof path, "router.tokens[%" PRIu32 "].token_sha256",
                  i);
        settings_report_error (
            report, path, "same token as router.tokens[%" PRIu32 "]", first);
      }
  free_seen (&seen);
}

static void
check_objects (const struct settings *settings, struct settings_report *report)
{
  char path[SETTINGS_PATH_SIZE];
  uint32_t i;

  check_duplicates ("customers", "name", settings->customers,
                    sizeof *settings->customers, settings->customers_count,
                    report);
  check_duplicates ("profiles", "name", settings->profiles,
                    sizeof *settings->profiles, settings->profiles_count,
                    report);
  check_duplicates ("services", "name", settings->services,
                    sizeof *settings->services, settings->services_count,
                    report);
  for (i = 0; i < settings->services_count; i++)
    {
      snprintf (path, sizeof path, "services[%" PRIu32 "]", i);
      settings_check_service (&settings->services[i], path, report);
    }
  for (i = 0; i < settings->customers_count; i++)
    {
      snprintf (path, sizeof path, "customers[%" PRIu32 "]", i);
      settings_check_customer (&settings->customers[i], path, report);
    }
}

void
settings_check_service (const struct settings_service *service,
                        const char *path, struct settings_report *report)
{
  char list[SETTINGS_PATH_SIZE];

  snprintf (list, sizeof list, "%s%supstreams", path,
            *path == '\0' ? "" : ".");
  check_duplicates (list, "address", service->upstreams,
                    sizeof *service->upstreams, service->upstreams_count,
                    report);
  if (service->resumable && service->kind != CATALOG_ENGINE)
    {
      snprintf (list, sizeof list, "%s%sresumable", path,
                *path == '\0' ? "" : ".");
      settings_report_error (report, list, "only an engine can be resumable");
    }
}

void
settings_check_customer (const struct settings_customer *customer,
                         const char *path, struct settings_report *report)
{
  char keys_path[SETTINGS_PATH_SIZE + 8];

  if (customer->keys_count + customer->key_sha256_count <= CATALOG_KEYS_MAX)
    return;
  snprintf (keys_path, sizeof keys_path, "%s%skeys", path,
            *path == '\0' ? "" : ".");
  settings_report_error (report, keys_path,
                         "more than %d keys, including key_sha256",
                         CATALOG_KEYS_MAX);
}

static void
check_references (const struct settings *settings,
                  struct settings_report *report)
{
  struct seen *services = NULL;
  struct seen *found;
  uint32_t first;
  uint32_t i;
  char path[SETTINGS_PATH_SIZE];

  for (i = 0; i < settings->services_count; i++)
    add_seen (&services, settings->services[i].name, i, &first);
  for (i = 0; i < settings->profiles_count; i++)
    {
      const char *name = settings->profiles[i].service;

      HASH_FIND_STR (services, name, found);
      if (found != NULL)
        continue;
      snprintf (path, sizeof path, "profiles[%" PRIu32 "].service", i);
      settings_report_error (report, path, "no service '%s'", name);
    }
  free_seen (&services);
}

static void
check_customer_keys (const struct settings *settings,
                     struct settings_report *report)
{
  struct seen *seen = NULL;
  uint32_t i;

  for (i = 0; i < settings->customers_count; i++)
    check_keys_unique (&settings->customers[i], i, &seen, report);
  free_seen (&seen);
}

static void
check_keys_unique (const struct settings_customer *customer, uint32_t index,
                   struct seen **seen, struct settings_report *report)
{
  uint32_t total = customer->keys_count + customer->key_sha256_count;
  char path[SETTINGS_PATH_SIZE];
  uint32_t first;
  uint32_t i;

  for (i = 0; i < total; i++)
    {
      bool plain = i < customer->keys_count;
      uint32_t at = plain ? i : i - customer->keys_count;

      if (!add_seen (seen,
                     plain ? customer->keys[at] : customer->key_sha256[at],
                     index, &first))
        continue;
      snprintf (path, sizeof path, "customers[%" PRIu32 "].%s[%" PRIu32 "]",
                index, plain ? "keys" : "key_sha256", at);
      settings_report_error (report, path,
                             "same key as customers[%" PRIu32 "]", first);
    }
}

/* Reports records whose first member, a text named `member`, is not unique. */
static void
check_duplicates (const char *collection, const char *member,
                  const void *records, size_t stride, uint32_t count,
                  struct settings_report *report)
{
  struct seen *seen = NULL;
  char path[SETTINGS_PATH_SIZE + 64];
  uint32_t first;
  uint32_t i;

  for (i = 0; i < count; i++)
    {
      const char *name
          = *(char *const *)(const void *)((const char *)records + i * stride);

      if (!add_seen (&seen, name, i, &first))
        continue;
      snprintf (path, sizeof path, "%s[%" PRIu32 "].%s", collection, i,
                member);
      settings_report_error (report, path,
                             "'%s' is given by %s[%" PRIu32 "] already", name,
                             collection, first);
    }
  free_seen (&seen);
}

/* Adds a text to the set.  Returns true when it is already there, and sets
   `first` to its index. */
static bool
add_seen (struct seen **seen, const char *text, uint32_t index,
          uint32_t *first)
{
  struct seen *entry = NULL;

  if (text == NULL)
    return false;
  HASH_FIND_STR (*seen, text, entry);
  if (entry != NULL)
    {
      *first = entry->index;
      return true;
    }
  entry = calloc (1, sizeof *entry);
  if (entry == NULL)
    return false;
  entry->text = text;
  entry->index = index;
  HASH_ADD_KEYPTR (hh, *seen, entry->text, strlen (entry->text), entry);
  return false;
}

static void
free_seen (struct seen **seen)
{
  struct seen *entry = *seen;
  struct seen *next;

  HASH_CLEAR (hh, *seen);
  for (; entry != NULL; entry = next)
    {
      next = entry->hh.next;
      free (entry);
    }
}
