/**
 * @file catalog.c
 * Hash tables of the current configuration objects, keyed by identifier.
 */
#include "state/catalog.h"
#include "state/err.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

/** Maps the digest of an API key to its customer. */
struct catalog_key
{
  uint8_t digest[CATALOG_KEY_HASH_SIZE];
  uint64_t customer_id;
  UT_hash_handle hh;
};

static void remove_customer_keys (struct catalog *catalog,
                                  const struct catalog_customer *customer);
static int add_customer_keys (struct catalog *catalog,
                              const struct catalog_customer *customer);
static int copy_upstreams (const struct catalog_service *from,
                           struct catalog_upstream **upstreams);

uint64_t
catalog_id (const char *name)
{
  return XXH3_64bits (name, strlen (name));
}

uint64_t
catalog_upstream_id (const char *service, const char *address)
{
  char name[CATALOG_NAME_SIZE + CATALOG_ADDRESS_SIZE];

  snprintf (name, sizeof name, "%s/%s", service, address);
  return catalog_id (name);
}

void
catalog_init (struct catalog *catalog)
{
  memset (catalog, 0, sizeof *catalog);
}

void
catalog_finish (struct catalog *catalog)
{
  struct catalog_customer *customer;
  struct catalog_customer *next_customer;
  struct catalog_profile *profile;
  struct catalog_profile *next_profile;
  struct catalog_service *service;
  struct catalog_service *next_service;
  struct catalog_key *key;
  struct catalog_key *next_key;

  customer = catalog->customers;
  HASH_CLEAR (hh, catalog->customers);
  for (; customer != NULL; customer = next_customer)
    {
      next_customer = customer->hh.next;
      free (customer);
    }
  key = catalog->keys;
  HASH_CLEAR (hh, catalog->keys);
  for (; key != NULL; key = next_key)
    {
      next_key = key->hh.next;
      free (key);
    }
  profile = catalog->profiles;
  HASH_CLEAR (hh, catalog->profiles);
  for (; profile != NULL; profile = next_profile)
    {
      next_profile = profile->hh.next;
      free (profile);
    }
  service = catalog->services;
  HASH_CLEAR (hh, catalog->services);
  for (; service != NULL; service = next_service)
    {
      next_service = service->hh.next;
      free (service->upstreams);
      free (service);
    }
  catalog_init (catalog);
}

static void
remove_customer_keys (struct catalog *catalog,
                      const struct catalog_customer *customer)
{
  uint32_t i;

  for (i = 0; i < customer->key_count; i++)
    {
      struct catalog_key *key;

      HASH_FIND (hh, catalog->keys, customer->key_hashes[i],
                 CATALOG_KEY_HASH_SIZE, key);
      if (key != NULL && key->customer_id == customer->id)
        {
          HASH_DEL (catalog->keys, key);
          free (key);
        }
    }
}

/* A key listed by two customers belongs to the one stored last. */
static int
add_customer_keys (struct catalog *catalog,
                   const struct catalog_customer *customer)
{
  uint32_t i;

  for (i = 0; i < customer->key_count; i++)
    {
      struct catalog_key *key;

      HASH_FIND (hh, catalog->keys, customer->key_hashes[i],
                 CATALOG_KEY_HASH_SIZE, key);
      if (key == NULL)
        {
          key = calloc (1, sizeof *key);
          if (key == NULL)
            return ERR_NO_MEMORY;
          memcpy (key->digest, customer->key_hashes[i], sizeof key->digest);
          HASH_ADD (hh, catalog->keys, digest, CATALOG_KEY_HASH_SIZE, key);
        }
      key->customer_id = customer->id;
    }
  return 0;
}

int
catalog_put_customer (struct catalog *catalog,
                      const struct catalog_customer *customer)
{
  struct catalog_customer *stored;
  UT_hash_handle hh;
  uint64_t id = catalog_id (customer->name);

  HASH_FIND (hh, catalog->customers, &id, sizeof id, stored);
  if (stored == NULL)
    {
      stored = malloc (sizeof *stored);
      if (stored == NULL)
        return ERR_NO_MEMORY;
      *stored = *customer;
      stored->id = id;
      HASH_ADD (hh, catalog->customers, id, sizeof stored->id, stored);
    }
  else
    {
      remove_customer_keys (catalog, stored);
      hh = stored->hh;
      *stored = *customer;
      stored->id = id;
      stored->hh = hh;
    }
  catalog->generation++;
  return add_customer_keys (catalog, stored);
}

int
catalog_put_profile (struct catalog *catalog,
                     const struct catalog_profile *profile)
{
  struct catalog_profile *stored;
  UT_hash_handle hh;
  uint64_t id = catalog_id (profile->name);

  HASH_FIND (hh, catalog->profiles, &id, sizeof id, stored);
  if (stored == NULL)
    {
      stored = malloc (sizeof *stored);
      if (stored == NULL)
        return ERR_NO_MEMORY;
      *stored = *profile;
      stored->id = id;
      HASH_ADD (hh, catalog->profiles, id, sizeof stored->id, stored);
    }
  else
    {
      hh = stored->hh;
      *stored = *profile;
      stored->id = id;
      stored->hh = hh;
    }
  stored->service_id = catalog_id (stored->service);
  catalog->generation++;
  return 0;
}

static int
copy_upstreams (const struct catalog_service *from,
                struct catalog_upstream **upstreams)
{
  uint32_t i;

  *upstreams = NULL;
  if (from->upstream_count == 0)
    return 0;
  *upstreams = calloc (from->upstream_count, sizeof **upstreams);
  if (*upstreams == NULL)
    return ERR_NO_MEMORY;
  for (i = 0; i < from->upstream_count; i++)
    {
      (*upstreams)[i] = from->upstreams[i];
      (*upstreams)[i].id
          = catalog_upstream_id (from->name, from->upstreams[i].address);
    }
  return 0;
}

int
catalog_put_service (struct catalog *catalog,
                     const struct catalog_service *service)
{
  struct catalog_service *stored;
  struct catalog_upstream *upstreams;
  UT_hash_handle hh;
  uint64_t id = catalog_id (service->name);

  if (copy_upstreams (service, &upstreams) != 0)
    return ERR_NO_MEMORY;
  HASH_FIND (hh, catalog->services, &id, sizeof id, stored);
  if (stored == NULL)
    {
      stored = malloc (sizeof *stored);
      if (stored == NULL)
        {
          free (upstreams);
          return ERR_NO_MEMORY;
        }
      *stored = *service;
      stored->id = id;
      HASH_ADD (hh, catalog->services, id, sizeof stored->id, stored);
    }
  else
    {
      free (stored->upstreams);
      hh = stored->hh;
      *stored = *service;
      stored->id = id;
      stored->hh = hh;
    }
  stored->upstreams = upstreams;
  catalog->generation++;
  return 0;
}

int
catalog_remove_customer (struct catalog *catalog, const char *name)
{
  struct catalog_customer *stored;
  uint64_t id = catalog_id (name);

  HASH_FIND (hh, catalog->customers, &id, sizeof id, stored);
  if (stored == NULL)
    return ERR_NOT_FOUND;
  remove_customer_keys (catalog, stored);
  HASH_DEL (catalog->customers, stored);
  free (stored);
  catalog->generation++;
  return 0;
}

int
catalog_remove_profile (struct catalog *catalog, const char *name)
{
  struct catalog_profile *stored;
  uint64_t id = catalog_id (name);

  HASH_FIND (hh, catalog->profiles, &id, sizeof id, stored);
  if (stored == NULL)
    return ERR_NOT_FOUND;
  HASH_DEL (catalog->profiles, stored);
  free (stored);
  catalog->generation++;
  return 0;
}

int
catalog_remove_service (struct catalog *catalog, const char *name)
{
  struct catalog_service *stored;
  uint64_t id = catalog_id (name);

  HASH_FIND (hh, catalog->services, &id, sizeof id, stored);
  if (stored == NULL)
    return ERR_NOT_FOUND;
  HASH_DEL (catalog->services, stored);
  free (stored->upstreams);
  free (stored);
  catalog->generation++;
  return 0;
}

const struct catalog_customer *
catalog_customer (const struct catalog *catalog, uint64_t id)
{
  struct catalog_customer *stored;

  HASH_FIND (hh, catalog->customers, &id, sizeof id, stored);
  return stored;
}

const struct catalog_profile *
catalog_profile (const struct catalog *catalog, uint64_t id)
{
  struct catalog_profile *stored;

  HASH_FIND (hh, catalog->profiles, &id, sizeof id, stored);
  return stored;
}

const struct catalog_service *
catalog_service (const struct catalog *catalog, uint64_t id)
{
  struct catalog_service *stored;

  HASH_FIND (hh, catalog->services, &id, sizeof id, stored);
  return stored;
}

const struct catalog_customer *
catalog_customer_by_key (const struct catalog *catalog,
                         const uint8_t digest[CATALOG_KEY_HASH_SIZE])
{
  struct catalog_key *key;

  HASH_FIND (hh, catalog->keys, digest, CATALOG_KEY_HASH_SIZE, key);
  return key == NULL ? NULL : catalog_customer (catalog, key->customer_id);
}

const struct catalog_upstream *
catalog_upstream (const struct catalog_service *service, uint64_t upstream_id)
{
  uint32_t i;

  for (i = 0; i < service->upstream_count; i++)
    if (service->upstreams[i].id == upstream_id)
      return &service->upstreams[i];
  return NULL;
}
