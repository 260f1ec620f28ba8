/**
 * @file settings_apply.c
 * Adds the configuration objects of the settings to a catalog.
 */
#include "protocol/settings.h"
#include "protocol/settings_int.h"
#include "state/err.h"
#include <openssl/evp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static void copy_string (char *out, size_t size, const char *text);

int
settings_apply (const struct settings *settings, struct catalog *catalog)
{
  uint32_t i;
  int error = 0;

  for (i = 0; i < settings->services_count && error == 0; i++)
    error = settings_put_service (&settings->services[i], catalog);
  for (i = 0; i < settings->profiles_count && error == 0; i++)
    error = settings_put_profile (&settings->profiles[i], catalog);
  for (i = 0; i < settings->customers_count && error == 0; i++)
    error = settings_put_customer (&settings->customers[i], catalog);
  return error;
}

int
settings_put_customer (const struct settings_customer *customer,
                       struct catalog *catalog)
{
  struct catalog_customer out
      = { .weight = customer->weight, .waiting_max = customer->waiting_max };
  uint32_t i;

  copy_string (out.name, sizeof out.name, customer->name);
  if (customer->keys_count + customer->key_sha256_count > CATALOG_KEYS_MAX)
    return ERR_INVALID;
  for (i = 0; i < customer->keys_count; i++)
    if (!EVP_Digest (customer->keys[i], strlen (customer->keys[i]),
                     out.key_hashes[out.key_count++], NULL, EVP_sha256 (),
                     NULL))
      return ERR_NO_MEMORY;
  for (i = 0; i < customer->key_sha256_count; i++)
    if (settings_parse_digest (customer->key_sha256[i],
                               out.key_hashes[out.key_count++])
        != 0)
      return ERR_INVALID;
  return catalog_put_customer (catalog, &out);
}

int
settings_put_profile (const struct settings_profile *profile,
                      struct catalog *catalog)
{
  struct catalog_profile out = { .request_class = profile->request_class,
                                 .idempotent = profile->idempotent,
                                 .deadline_ms = profile->deadline_ms,
                                 .queue_limit = profile->queue_limit,
                                 .attempts_max = profile->attempts_max,
                                 .cost_hint = profile->cost_hint };

  copy_string (out.name, sizeof out.name, profile->name);
  copy_string (out.service, sizeof out.service, profile->service);
  return catalog_put_profile (catalog, &out);
}

int
settings_put_service (const struct settings_service *service,
                      struct catalog *catalog)
{
  struct catalog_service out = { .kind = service->kind,
                                 .input_cost = service->input_cost,
                                 .output_cost = service->output_cost,
                                 .idle_timeout_ms = service->idle_timeout_ms,
                                 .resumable = service->resumable,
                                 .fenced = service->fenced,
                                 .upstream_count = service->upstreams_count };
  uint32_t i;
  int error;

  copy_string (out.name, sizeof out.name, service->name);
  out.upstreams = calloc (service->upstreams_count + 1, sizeof *out.upstreams);
  if (out.upstreams == NULL)
    return ERR_NO_MEMORY;
  for (i = 0; i < service->upstreams_count; i++)
    {
      const struct settings_upstream *from = &service->upstreams[i];
      struct catalog_upstream *to = &out.upstreams[i];

      copy_string (to->address, sizeof to->address, from->address);
      copy_string (to->availability_zone, sizeof to->availability_zone,
                   from->availability_zone);
      to->slots = from->slots;
      to->draining = from->draining;
    }
  error = catalog_put_service (catalog, &out);
  free (out.upstreams);
  return error;
}

static void
copy_string (char *out, size_t size, const char *text)
{
  snprintf (out, size, "%s", text);
}
