/**
 * @file routing.c
 * Lookup tables of one configuration version.
 */
#include "state/routing.h"
#include "state/err.h"
#include "state/hash.h"
#include <ctype.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#define FNV_OFFSET UINT64_C (14695981039346656037)
#define FNV_PRIME  UINT64_C (1099511628211)

struct routing_key
{
  const char *key;
  uint32_t customer; /* index */
  UT_hash_handle hh;
};

/** Finds a route by a hash of its host and prefix. */
struct routing_prefix
{
  uint64_t id;
  uint32_t route; /* index */
  UT_hash_handle hh;
};

struct routing_service_index
{
  uint64_t id;
  uint32_t service; /* index */
  UT_hash_handle hh;
};

static void *grow_array (void *array, uint32_t count, size_t size);
static bool route_valid (const struct routing *routing,
                         const struct route *route);
static bool copy_route (struct routing *routing, const struct route *route,
                        struct route *copy);
static size_t host_length (const char *host);
static uint64_t host_hash (const char *host, size_t length);
static uint64_t prefix_id (uint64_t host_id, const char *prefix,
                           size_t length);
static struct routing_prefix *find_prefix (const struct routing *routing,
                                           uint64_t host_id,
                                           const char *prefix, size_t length);
static const struct route *find_route (const struct routing *routing,
                                       const char *host, size_t host_size,
                                       uint64_t host_id, const char *path,
                                       size_t length);

struct routing *
routing_new (const char *version)
{
  struct routing *routing = calloc (1, sizeof (*routing));

  if (routing == NULL)
    return NULL;
  routing->references = 1;
  routing->version = arena_copy_text (&routing->arena, version);
  if (routing->version != NULL)
    return routing;
  routing_release (routing);
  return NULL;
}

struct routing *
routing_retain (struct routing *routing)
{
  routing->references++;
  return routing;
}

void
routing_release (struct routing *routing)
{
  if (routing == NULL || --routing->references > 0)
    return;
  HASH_CLEAR (hh, routing->keys);
  HASH_CLEAR (hh, routing->prefixes);
  HASH_CLEAR (hh, routing->service_ids);
  arena_finish (&routing->arena);
  free (routing->routes);
  free (routing->services);
  free (routing->customers);
  free (routing);
}

/* Capacity doubles: the array is full only when the count is a power of two
   or 0. */
static void *
grow_array (void *array, uint32_t count, size_t size)
{
  if ((count & (count - 1)) != 0)
    return array;
  return realloc (array, (count == 0 ? 1 : (size_t)count * 2) * size);
}

int
routing_add_service (struct routing *routing,
                     const struct routing_service *service)
{
  struct routing_service copy = *service;
  struct routing_service_index *entry;
  struct routing_service *services;

  if (routing_service_index (routing, service->name) >= 0)
    return ERR_EXISTS;
  services = grow_array (routing->services, routing->service_count,
                         sizeof (*services));
  if (services == NULL)
    return ERR_NO_MEMORY;
  routing->services = services;
  copy.id = catalog_id (service->name);
  copy.name = arena_copy_text (&routing->arena, service->name);
  entry = arena_alloc (&routing->arena, sizeof (*entry));
  if (entry == NULL || copy.name == NULL)
    return ERR_NO_MEMORY;
  *entry = (struct routing_service_index){ .id = copy.id,
                                           .service = routing->service_count };
  HASH_ADD (hh, routing->service_ids, id, sizeof (entry->id), entry);
  services[routing->service_count++] = copy;
  return 0;
}

int
routing_add_route (struct routing *routing, const struct route *route)
{
  const size_t host_size = host_length (route->host);
  const uint64_t host_id = host_hash (route->host, host_size);
  struct routing_prefix *entry;
  struct route *routes;

  if (!route_valid (routing, route))
    return ERR_INVALID;
  if (find_prefix (routing, host_id, route->prefix, strlen (route->prefix))
      != NULL)
    return ERR_EXISTS;
  routes = grow_array (routing->routes, routing->route_count, sizeof *routes);
  if (routes == NULL)
    return ERR_NO_MEMORY;
  routing->routes = routes;
  entry = arena_alloc (&routing->arena, sizeof *entry);
  if (entry == NULL
      || !copy_route (routing, route, &routes[routing->route_count]))
    return ERR_NO_MEMORY;
  *entry = (struct routing_prefix){
    .id = prefix_id (host_id, route->prefix, strlen (route->prefix)),
    .route = routing->route_count++,
  };
  if (strlen (route->prefix) > routing->prefix_bytes_max)
    routing->prefix_bytes_max = strlen (route->prefix);
  HASH_ADD (hh, routing->prefixes, id, sizeof entry->id, entry);
  return 0;
}

static bool
copy_route (struct routing *routing, const struct route *route,
            struct route *copy)
{
  *copy = *route;
  copy->name = arena_copy_text (&routing->arena, route->name);
  copy->host = arena_copy_text (&routing->arena, route->host);
  copy->prefix = arena_copy_text (&routing->arena, route->prefix);
  copy->targets = arena_copy (&routing->arena, route->targets,
                              route->target_count * sizeof *route->targets);
  return copy->name != NULL && copy->host != NULL && copy->prefix != NULL
         && copy->targets != NULL;
}

static bool
route_valid (const struct routing *routing, const struct route *route)
{
  size_t length = strlen (route->prefix);
  uint64_t weights = 0;
  uint32_t i;

  if (route->host[0] == '\0' || length == 0 || route->prefix[0] != '/'
      || route->prefix[length - 1] != '/')
    return false;
  for (i = 0; i < route->target_count; i++)
    {
      if (route->targets[i].service >= routing->service_count)
        return false;
      weights += route->targets[i].weight;
    }
  return weights > 0;
}

int
routing_add_customer (struct routing *routing,
                      const struct routing_customer *customer)
{
  struct routing_customer *customers = grow_array (
      routing->customers, routing->customer_count, sizeof (*customers));
  struct routing_customer copy = *customer;

  if (customers != NULL)
    routing->customers = customers;
  copy.name = arena_copy_text (&routing->arena, customer->name);
  if (customers == NULL || copy.name == NULL)
    return ERR_NO_MEMORY;
  copy.id = catalog_id (customer->name);
  customers[routing->customer_count++] = copy;
  return 0;
}

int
routing_add_key (struct routing *routing, const char *text)
{
  struct routing_key *key;

  HASH_FIND (hh, routing->keys, text, strlen (text), key);
  if (key != NULL)
    return ERR_EXISTS;
  key = arena_alloc (&routing->arena, sizeof *key);
  if (key == NULL)
    return ERR_NO_MEMORY;
  *key = (struct routing_key){ .key = arena_copy_text (&routing->arena, text),
                               .customer = routing->customer_count - 1 };
  if (key->key == NULL)
    return ERR_NO_MEMORY;
  HASH_ADD_KEYPTR (hh, routing->keys, key->key, strlen (key->key), key);
  return 0;
}

int
routing_service_index (const struct routing *routing, const char *name)
{
  const struct routing_service *service
      = routing_service (routing, catalog_id (name));

  return service == NULL ? -1 : (int)(service - routing->services);
}

const struct routing_service *
routing_service (const struct routing *routing, uint64_t service_id)
{
  const struct routing_service_index *entry;

  HASH_FIND (hh, routing->service_ids, &service_id, sizeof service_id, entry);
  return entry == NULL ? NULL : &routing->services[entry->service];
}

const struct route *
routing_match (const struct routing *routing, const char *host,
               const char *path)
{
  const size_t host_size = host_length (host);
  const uint64_t host_id = host_hash (host, host_size);
  const struct route *route = NULL;
  size_t i;

  for (i = strnlen (path, routing->prefix_bytes_max); i > 0 && route == NULL;
       i--)
    if (path[i - 1] == '/')
      route = find_route (routing, host, host_size, host_id, path, i);
  return route;
}

/* The route of a host and the first `length` bytes of a path. */
static const struct route *
find_route (const struct routing *routing, const char *host, size_t host_size,
            uint64_t host_id, const char *path, size_t length)
{
  const struct routing_prefix *entry
      = find_prefix (routing, host_id, path, length);
  const struct route *route
      = entry == NULL ? NULL : &routing->routes[entry->route];

  return route != NULL && host_length (route->host) == host_size
                 && strncasecmp (route->host, host, host_size) == 0
                 && strncmp (route->prefix, path, length) == 0
                 && route->prefix[length] == '\0'
             ? route
             : NULL;
}

static struct routing_prefix *
find_prefix (const struct routing *routing, uint64_t host_id,
             const char *prefix, size_t length)
{
  const uint64_t id = prefix_id (host_id, prefix, length);
  struct routing_prefix *entry;

  HASH_FIND (hh, routing->prefixes, &id, sizeof id, entry);
  return entry;
}

static uint64_t
prefix_id (uint64_t host_id, const char *prefix, size_t length)
{
  return XXH3_64bits_withSeed (prefix, length, host_id);
}

/* Without the port. */
static size_t
host_length (const char *host)
{
  return strcspn (host, ":");
}

/* Of the host in lower case. */
static uint64_t
host_hash (const char *host, size_t length)
{
  uint64_t hash = FNV_OFFSET;
  size_t i;

  for (i = 0; i < length; i++)
    hash = (hash ^ (uint64_t)tolower ((unsigned char)host[i])) * FNV_PRIME;
  return hash;
}

const struct routing_customer *
routing_customer (const struct routing *routing, const char *text)
{
  const struct routing_key *key;

  HASH_FIND (hh, routing->keys, text, strlen (text), key);
  return key == NULL ? NULL : &routing->customers[key->customer];
}

const struct routing_service *
routing_select_service (const struct routing *routing,
                        const struct route *route, uint64_t draw)
{
  uint64_t weights = 0;
  uint32_t i;

  for (i = 0; i < route->target_count; i++)
    weights += route->targets[i].weight;
  draw %= weights > 0 ? weights : 1;
  for (i = 0; i + 1 < route->target_count && draw >= route->targets[i].weight;
       i++)
    draw -= route->targets[i].weight;
  return &routing->services[route->targets[i].service];
}
