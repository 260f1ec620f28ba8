/**
 * @file peer_demand.c
 * Demand of the other instances.
 */
#include "coordination/peer_demand.h"
#include "state/err.h"
#include "state/hash.h"
#include <stdlib.h>
#include <utlist.h>

struct peer_demand_key
{
  uint64_t customer_id;
  uint64_t service_id;
};

/** Demand of one (customer, service), summed over the other instances. */
struct peer_demand_pair
{
  struct peer_demand_key key;
  uint32_t waiting;
  uint32_t running;
  struct peer_demand_pair *prev; /**< in the list of its service */
  struct peer_demand_pair *next;
  UT_hash_handle hh;
};

struct peer_demand_service
{
  uint64_t service_id;
  uint32_t waiting;
  struct peer_demand_pair *pairs; /**< list of pairs with waiting requests */
  UT_hash_handle hh;
};

/** Demand of one (customer, service) at one instance. */
struct peer_demand_item
{
  struct peer_demand_key key;
  uint32_t waiting;
  uint32_t running;
  uint64_t sequence; /**< of the last heartbeat that listed it */
  UT_hash_handle hh;
};

struct peer_demand_instance
{
  uint64_t instance_id;
  struct peer_demand_item *items;
  UT_hash_handle hh;
};

static struct peer_demand_instance *
instance_get (struct peer_demand *peer_demand, uint64_t instance_id);
static struct peer_demand_item *
item_get (struct peer_demand_instance *instance,
          const struct peer_demand_key *key);
static int set_demand (struct peer_demand *peer_demand,
                       struct peer_demand_item *item, uint32_t waiting,
                       uint32_t running);
static uint64_t served_position (const struct ledger *ledger,
                                 const struct catalog *catalog,
                                 const struct peer_demand_pair *pair,
                                 uint64_t reserve);
static struct peer_demand_pair *pair_get (struct peer_demand *peer_demand,
                                          const struct peer_demand_key *key);
static struct peer_demand_service *
service_get (struct peer_demand *peer_demand, uint64_t service_id);
static struct peer_demand_service *
service_find (const struct peer_demand *peer_demand, uint64_t service_id);
static void remove_unlisted (struct peer_demand *peer_demand,
                             struct peer_demand_instance *instance,
                             uint64_t sequence);

void
peer_demand_finish (struct peer_demand *peer_demand)
{
  struct peer_demand_pair *pair;
  struct peer_demand_pair *next_counts;
  struct peer_demand_service *service;
  struct peer_demand_service *next_service;

  while (peer_demand->instances != NULL)
    peer_demand_remove_instance (peer_demand,
                                 peer_demand->instances->instance_id);
  pair = peer_demand->pairs;
  HASH_CLEAR (hh, peer_demand->pairs);
  for (; pair != NULL; pair = next_counts)
    {
      next_counts = pair->hh.next;
      free (pair);
    }
  service = peer_demand->services;
  HASH_CLEAR (hh, peer_demand->services);
  for (; service != NULL; service = next_service)
    {
      next_service = service->hh.next;
      free (service);
    }
}

int
peer_demand_apply (struct peer_demand *peer_demand, uint64_t instance_id,
                   const struct message_heartbeat *heartbeat)
{
  struct peer_demand_instance *instance
      = instance_get (peer_demand, instance_id);
  struct peer_demand_item *item;
  struct peer_demand_key key;
  size_t i;
  int rc;

  if (instance == NULL)
    return ERR_NO_MEMORY;
  for (i = 0; i < heartbeat->demand_count; i++)
    {
      key.customer_id = heartbeat->demands[i].customer_id;
      key.service_id = heartbeat->demands[i].service_id;
      item = item_get (instance, &key);
      if (item == NULL)
        return ERR_NO_MEMORY;
      item->sequence = heartbeat->sequence;
      rc = set_demand (peer_demand, item, heartbeat->demands[i].waiting,
                       heartbeat->demands[i].running);
      if (rc != 0)
        return rc;
    }
  if (heartbeat->full)
    remove_unlisted (peer_demand, instance, heartbeat->sequence);
  return 0;
}

void
peer_demand_remove_instance (struct peer_demand *peer_demand,
                             uint64_t instance_id)
{
  struct peer_demand_instance *instance = NULL;
  struct peer_demand_item *item;
  struct peer_demand_item *next;

  HASH_FIND (hh, peer_demand->instances, &instance_id, sizeof instance_id,
             instance);
  if (instance == NULL)
    return;
  item = instance->items;
  HASH_CLEAR (hh, instance->items);
  for (; item != NULL; item = next)
    {
      next = item->hh.next;
      set_demand (peer_demand, item, 0, 0);
      free (item);
    }
  HASH_DEL (peer_demand->instances, instance);
  free (instance);
}

void
peer_demand_query (const struct peer_demand *peer_demand,
                   const struct ledger *ledger, const struct catalog *catalog,
                   uint64_t customer_id, uint64_t service_id, uint64_t reserve,
                   struct dispatch_peer_demand *out)
{
  const struct peer_demand_key key = { customer_id, service_id };
  const struct peer_demand_service *service
      = service_find (peer_demand, service_id);
  struct peer_demand_pair *pair = NULL;
  uint64_t position;

  *out = (struct dispatch_peer_demand){ .min_position = UINT64_MAX };
  if (service == NULL)
    return;
  HASH_FIND (hh, peer_demand->pairs, &key, sizeof key, pair);
  out->customer_waits = pair != NULL && pair->waiting > 0;
  out->customer_running = pair != NULL ? pair->running : 0;
  for (pair = service->pairs; pair != NULL; pair = pair->next)
    {
      if (pair->key.customer_id == customer_id)
        continue;
      out->others_wait = true;
      position = served_position (ledger, catalog, pair, reserve);
      if (position < out->min_position)
        out->min_position = position;
    }
}

static uint64_t
served_position (const struct ledger *ledger, const struct catalog *catalog,
                 const struct peer_demand_pair *pair, uint64_t reserve)
{
  const struct catalog_customer *customer
      = catalog_customer (catalog, pair->key.customer_id);

  return ledger_served (ledger, pair->key.customer_id, pair->key.service_id,
                        reserve * pair->running,
                        customer == NULL ? 1 : customer->weight);
}

uint32_t
peer_demand_waiting (const struct peer_demand *peer_demand,
                     uint64_t service_id)
{
  const struct peer_demand_service *service
      = service_find (peer_demand, service_id);

  return service != NULL ? service->waiting : 0;
}

static struct peer_demand_instance *
instance_get (struct peer_demand *peer_demand, uint64_t instance_id)
{
  struct peer_demand_instance *instance = NULL;

  HASH_FIND (hh, peer_demand->instances, &instance_id, sizeof instance_id,
             instance);
  if (instance != NULL)
    return instance;
  instance = calloc (1, sizeof *instance);
  if (instance == NULL)
    return NULL;
  instance->instance_id = instance_id;
  HASH_ADD (hh, peer_demand->instances, instance_id,
            sizeof instance->instance_id, instance);
  return instance;
}

static struct peer_demand_item *
item_get (struct peer_demand_instance *instance,
          const struct peer_demand_key *key)
{
  struct peer_demand_item *item = NULL;

  HASH_FIND (hh, instance->items, key, sizeof *key, item);
  if (item != NULL)
    return item;
  item = calloc (1, sizeof *item);
  if (item == NULL)
    return NULL;
  item->key = *key;
  HASH_ADD (hh, instance->items, key, sizeof item->key, item);
  return item;
}

static int
set_demand (struct peer_demand *peer_demand, struct peer_demand_item *item,
            uint32_t waiting, uint32_t running)
{
  struct peer_demand_service *service;
  struct peer_demand_pair *pair;
  uint32_t waiting_before;

  if (waiting == item->waiting && running == item->running)
    return 0;
  pair = pair_get (peer_demand, &item->key);
  service = service_get (peer_demand, item->key.service_id);
  if (pair == NULL || service == NULL)
    return ERR_NO_MEMORY;
  pair->running += running - item->running;
  item->running = running;
  if (waiting == item->waiting)
    return 0;
  waiting_before = pair->waiting;
  pair->waiting += waiting - item->waiting;
  service->waiting += waiting - item->waiting;
  item->waiting = waiting;
  if (waiting_before == 0)
    DL_APPEND (service->pairs, pair);
  else if (pair->waiting == 0)
    DL_DELETE (service->pairs, pair);
  return 0;
}

static struct peer_demand_pair *
pair_get (struct peer_demand *peer_demand, const struct peer_demand_key *key)
{
  struct peer_demand_pair *pair = NULL;

  HASH_FIND (hh, peer_demand->pairs, key, sizeof *key, pair);
  if (pair != NULL)
    return pair;
  pair = calloc (1, sizeof *pair);
  if (pair == NULL)
    return NULL;
  pair->key = *key;
  HASH_ADD (hh, peer_demand->pairs, key, sizeof pair->key, pair);
  return pair;
}

static struct peer_demand_service *
service_get (struct peer_demand *peer_demand, uint64_t service_id)
{
  struct peer_demand_service *service = service_find (peer_demand, service_id);

  if (service != NULL)
    return service;
  service = calloc (1, sizeof *service);
  if (service == NULL)
    return NULL;
  service->service_id = service_id;
  HASH_ADD (hh, peer_demand->services, service_id, sizeof service->service_id,
            service);
  return service;
}

static struct peer_demand_service *
service_find (const struct peer_demand *peer_demand, uint64_t service_id)
{
  struct peer_demand_service *service = NULL;

  HASH_FIND (hh, peer_demand->services, &service_id, sizeof service_id,
             service);
  return service;
}

/** Removes the items that a full heartbeat did not list. */
static void
remove_unlisted (struct peer_demand *peer_demand,
                 struct peer_demand_instance *instance, uint64_t sequence)
{
  struct peer_demand_item *item;
  struct peer_demand_item *next;

  for (item = instance->items; item != NULL; item = next)
    {
      next = item->hh.next;
      if (item->sequence == sequence)
        continue;
      set_demand (peer_demand, item, 0, 0);
      HASH_DEL (instance->items, item);
      free (item);
    }
}
