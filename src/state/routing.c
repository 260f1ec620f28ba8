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

struct routing_key
{
  char *key;
  uint32_t customer; /* index */
  UT_hash_handle hh;
};

struct routing_prefix
{
  char text[ROUTING_PREFIX_SIZE]; /* host and prefix */
  uint32_t route;                 /* index */
  UT_hash_handle hh;
};

static void *grow_array (void *array, uint32_t count, size_t size);
static bool route_valid (const struct routing *routing,
                         const struct route *route);
static size_t copy_host (char *out, size_t size, const char *host);

struct routing *
routing_new (uint64_t version)
{
  struct routing *routing = calloc (1, sizeof (*routing));

  if (routing == NULL)
    return NULL;
  routing->version = version;
  routing->references = 1;
  return routing;
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
  struct routing_key *key;
  struct routing_key *next_key;
  struct routing_prefix *entry;
  struct routing_prefix *next_entry;

  if (routing == NULL || --routing->references > 0)
    return;
  key = routing->keys;
  HASH_CLEAR (hh, routing->keys);
  for (; key != NULL; key = next_key)
    {
      next_key = key->hh.next;
      free (key->key);
      free (key);
    }
  entry = routing->prefixes;
  HASH_CLEAR (hh, routing->prefixes);
  for (; entry != NULL; entry = next_entry)
    {
      next_entry = entry->hh.next;
      free (entry);
    }
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
  struct routing_service *services;

  if (routing_service_index (routing, service->name) >= 0)
    return ERR_EXISTS;
  services = grow_array (routing->services, routing->service_count,
                         sizeof (*services));
  if (services == NULL)
    return ERR_NO_MEMORY;
  routing->services = services;
  services[routing->service_count] = *service;
  services[routing->service_count++].id = catalog_id (service->name);
  return 0;
}

int
routing_add_route (struct routing *routing, const struct route *route)
{
  struct routing_prefix *entry;
  struct routing_prefix *found;
  struct route *routes;
  size_t length;

  if (!route_valid (routing, route))
    return ERR_INVALID;
  if (routing->route_count == ROUTING_ROUTES_MAX)
    return ERR_FULL;
  entry = calloc (1, sizeof (*entry));
  if (entry == NULL)
    return ERR_NO_MEMORY;
  length = copy_host (entry->text, sizeof (route->host), route->host);
  memcpy (entry->text + length, route->prefix, strlen (route->prefix));
  length += strlen (route->prefix);
  HASH_FIND (hh, routing->prefixes, entry->text, length, found);
  routes
      = grow_array (routing->routes, routing->route_count, sizeof (*routes));
  if (routes != NULL)
    routing->routes = routes;
  if (found != NULL || routes == NULL)
    {
      free (entry);
      return found != NULL ? ERR_EXISTS : ERR_NO_MEMORY;
    }
  entry->route = routing->route_count;
  HASH_ADD (hh, routing->prefixes, text[0], length, entry);
  routes[routing->route_count++] = *route;
  return 0;
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
  if (route->target_count == 0 || route->target_count > ROUTING_TARGETS_MAX)
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

  if (customers == NULL)
    return ERR_NO_MEMORY;
  routing->customers = customers;
  customers[routing->customer_count] = *customer;
  customers[routing->customer_count++].id = catalog_id (customer->name);
  return 0;
}

int
routing_add_key (struct routing *routing, const char *text)
{
  struct routing_key *key;

  HASH_FIND (hh, routing->keys, text, strlen (text), key);
  if (key != NULL)
    return ERR_EXISTS;
  key = calloc (1, sizeof (*key));
  if (key == NULL)
    return ERR_NO_MEMORY;
  key->key = strdup (text);
  if (key->key == NULL)
    {
      free (key);
      return ERR_NO_MEMORY;
    }
  key->customer = routing->customer_count - 1;
  HASH_ADD_KEYPTR (hh, routing->keys, key->key, strlen (key->key), key);
  return 0;
}

int
routing_service_index (const struct routing *routing, const char *name)
{
  uint32_t i;

  for (i = 0; i < routing->service_count; i++)
    if (strcmp (routing->services[i].name, name) == 0)
      return (int)i;
  return -1;
}

const struct routing_service *
routing_service (const struct routing *routing, uint64_t service_id)
{
  uint32_t i;

  for (i = 0; i < routing->service_count; i++)
    if (routing->services[i].id == service_id)
      return &routing->services[i];
  return NULL;
}

const struct route *
routing_match (const struct routing *routing, const char *host,
               const char *path)
{
  char text[ROUTING_PREFIX_SIZE];
  const struct routing_prefix *found = NULL;
  size_t start = copy_host (text, sizeof (((struct route *)0)->host), host);
  size_t length = strnlen (path, sizeof (text) - start);
  size_t i;

  /* A slash would let part of the host match as part of a path prefix. */
  if (strchr (host, '/') != NULL)
    return NULL;
  memcpy (text + start, path, length);
  for (i = length; i > 0 && found == NULL; i--)
    if (path[i - 1] == '/')
      HASH_FIND (hh, routing->prefixes, text, start + i, found);
  return found == NULL ? NULL : &routing->routes[found->route];
}

/* Copies a host in lower case, without its port or a terminating NUL.
   @return bytes written. */
static size_t
copy_host (char *out, size_t size, const char *host)
{
  size_t i;

  for (i = 0; i < size && host[i] != '\0' && host[i] != ':'; i++)
    out[i] = (char)tolower ((unsigned char)host[i]);
  return i;
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
