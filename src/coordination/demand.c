/**
 * @file demand.c
 * Demand of the whole fleet.
 */
#include "coordination/demand.h"
#include "state/err.h"
#include <stdlib.h>

#define ROWS_MIN 4 /* initial capacity of a customer's rows */
/* Ratio of a customer's requests in the fleet to those at one instance, in
   thousandths, if all of them are at that instance. */
#define FLEET_RATIO_PERMILLE 1000

struct demand_row
{
  uint64_t instance_id;
  uint32_t waiting;
  uint32_t running;
};

struct demand_customer
{
  uint64_t id;
  struct demand_row *rows;
  uint32_t row_count;
  uint32_t row_capacity;
  UT_hash_handle hh;
};

static struct demand_service *service_get (struct demand_table *table,
                                           uint64_t id);
static struct demand_instance *instance_get (struct demand_service *service,
                                             uint64_t instance_id);
static struct demand_customer *customer_get (struct demand_service *service,
                                             uint64_t id);
static int row_set (struct demand_service *service, uint64_t instance_id,
                    const struct message_demand *demand);
static int row_add (struct demand_service *service,
                    struct demand_customer *customer,
                    const struct demand_row *row);
static void row_remove (struct demand_service *service,
                        struct demand_customer *customer, uint32_t index);
static void service_remove_instance (struct demand_service *service,
                                     uint64_t instance_id);
static void service_free (struct demand_service *service);
static int has_target (const struct share_target *targets, size_t count,
                       uint64_t instance_id);

static void
service_free (struct demand_service *service)
{
  struct demand_customer *customer = service->customers;
  struct demand_customer *next;

  HASH_CLEAR (hh, service->customers);
  for (; customer != NULL; customer = next)
    {
      next = customer->hh.next;
      free (customer->rows);
      free (customer);
    }
  free (service->instances);
  free (service);
}

void
demand_finish (struct demand_table *table)
{
  struct demand_service *service = table->services;
  struct demand_service *next;

  HASH_CLEAR (hh, table->services);
  for (; service != NULL; service = next)
    {
      next = service->hh.next;
      service_free (service);
    }
}

struct demand_service *
demand_find (const struct demand_table *table, uint64_t service_id)
{
  struct demand_service *service;

  HASH_FIND (hh, table->services, &service_id, sizeof service_id, service);
  return service;
}

static struct demand_service *
service_get (struct demand_table *table, uint64_t id)
{
  struct demand_service *service = demand_find (table, id);

  if (service != NULL)
    return service;
  service = calloc (1, sizeof *service);
  if (service == NULL)
    return NULL;
  service->id = id;
  HASH_ADD (hh, table->services, id, sizeof service->id, service);
  return service;
}

struct demand_instance *
demand_instance_find (const struct demand_service *service,
                      uint64_t instance_id)
{
  uint32_t i;

  if (service == NULL)
    return NULL;
  for (i = 0; i < service->instance_count; i++)
    if (service->instances[i].instance_id == instance_id)
      return &service->instances[i];
  return NULL;
}

static struct demand_instance *
instance_get (struct demand_service *service, uint64_t instance_id)
{
  struct demand_instance *instance
      = demand_instance_find (service, instance_id);

  if (instance != NULL)
    return instance;
  instance = realloc (service->instances,
                      (service->instance_count + 1) * sizeof *instance);
  if (instance == NULL)
    return NULL;
  service->instances = instance;
  instance += service->instance_count++;
  instance->instance_id = instance_id;
  instance->waiting = 0;
  instance->running = 0;
  instance->granted_since_report = 0;
  return instance;
}

static struct demand_customer *
customer_get (struct demand_service *service, uint64_t id)
{
  struct demand_customer *customer;

  HASH_FIND (hh, service->customers, &id, sizeof id, customer);
  if (customer != NULL)
    return customer;
  customer = calloc (1, sizeof *customer);
  if (customer == NULL)
    return NULL;
  customer->id = id;
  HASH_ADD (hh, service->customers, id, sizeof customer->id, customer);
  return customer;
}

static int
row_add (struct demand_service *service, struct demand_customer *customer,
         const struct demand_row *row)
{
  if (customer->row_count == customer->row_capacity)
    {
      uint32_t capacity = customer->row_capacity == 0
                              ? ROWS_MIN
                              : customer->row_capacity * 2;
      struct demand_row *rows
          = realloc (customer->rows, capacity * sizeof *rows);

      if (rows == NULL)
        return ERR_NO_MEMORY;
      customer->rows = rows;
      customer->row_capacity = capacity;
    }
  customer->rows[customer->row_count++] = *row;
  service->row_count++;
  return 0;
}

static void
row_remove (struct demand_service *service, struct demand_customer *customer,
            uint32_t index)
{
  customer->rows[index] = customer->rows[--customer->row_count];
  service->row_count--;
  if (customer->row_count > 0)
    return;
  HASH_DEL (service->customers, customer);
  free (customer->rows);
  free (customer);
}

static int
row_set (struct demand_service *service, uint64_t instance_id,
         const struct message_demand *demand)
{
  struct demand_instance *instance = instance_get (service, instance_id);
  struct demand_customer *customer
      = customer_get (service, demand->customer_id);
  struct demand_row row = { instance_id, demand->waiting, demand->running };
  uint32_t i = 0;

  if (instance == NULL || customer == NULL)
    return ERR_NO_MEMORY;
  instance->waiting += demand->waiting;
  instance->running += demand->running;
  while (i < customer->row_count
         && customer->rows[i].instance_id != instance_id)
    i++;
  if (i == customer->row_count)
    {
      /* A row without requests is added too: row_remove then frees a customer
         that was just created. */
      int result = row_add (service, customer, &row);

      if (result != 0)
        return result;
    }
  else
    {
      instance->waiting -= customer->rows[i].waiting;
      instance->running -= customer->rows[i].running;
      customer->rows[i] = row;
    }
  if (row.waiting == 0 && row.running == 0)
    row_remove (service, customer, i);
  return 0;
}

static void
service_remove_instance (struct demand_service *service, uint64_t instance_id)
{
  struct demand_customer *customer;
  struct demand_customer *next;
  struct demand_instance *instance
      = demand_instance_find (service, instance_id);
  uint32_t i;

  if (instance == NULL)
    return;
  *instance = service->instances[--service->instance_count];
  for (customer = service->customers; customer != NULL; customer = next)
    {
      next = customer->hh.next;
      for (i = 0; i < customer->row_count; i++)
        if (customer->rows[i].instance_id == instance_id)
          {
            row_remove (service, customer, i);
            break;
          }
    }
}

void
demand_remove_instance (struct demand_table *table, uint64_t instance_id)
{
  struct demand_service *service;

  for (service = table->services; service != NULL; service = service->hh.next)
    service_remove_instance (service, instance_id);
}

int
demand_apply (struct demand_table *table, uint64_t instance_id,
              const struct message_heartbeat *heartbeat)
{
  struct demand_service *service;
  struct demand_instance *instance;
  size_t i;

  if (heartbeat->full)
    demand_remove_instance (table, instance_id);
  for (i = 0; i < heartbeat->demand_count; i++)
    {
      int result = ERR_NO_MEMORY;

      service = service_get (table, heartbeat->demands[i].service_id);
      if (service != NULL)
        result = row_set (service, instance_id, &heartbeat->demands[i]);
      if (result != 0)
        return result;
    }
  for (service = table->services; service != NULL; service = service->hh.next)
    {
      instance = demand_instance_find (service, instance_id);
      if (instance != NULL)
        instance->granted_since_report = 0;
    }
  return 0;
}

static int
has_target (const struct share_target *targets, size_t count,
            uint64_t instance_id)
{
  size_t low = 0;

  while (low < count)
    {
      size_t middle = (low + count) / 2;

      if (targets[middle].instance_id == instance_id)
        return 1;
      if (targets[middle].instance_id < instance_id)
        low = middle + 1;
      else
        count = middle;
    }
  return 0;
}

size_t
demand_fill_shares (const struct demand_service *service,
                    const struct catalog *catalog, const struct ledger *ledger,
                    const struct share_target *targets, size_t target_count,
                    struct share_demand *out)
{
  const struct demand_customer *customer;
  size_t count = 0;
  uint32_t i;

  for (customer = service->customers; customer != NULL;
       customer = customer->hh.next)
    {
      const struct catalog_customer *known
          = catalog_customer (catalog, customer->id);
      uint64_t position = ledger_position (ledger, customer->id, service->id);

      for (i = 0; i < customer->row_count; i++)
        {
          const struct demand_row *row = &customer->rows[i];

          if (!has_target (targets, target_count, row->instance_id))
            continue;
          out[count].customer_id = customer->id;
          out[count].instance_id = row->instance_id;
          out[count].requests = row->waiting + row->running;
          out[count].waiting = row->waiting;
          out[count].weight = known == NULL ? 1 : known->weight;
          out[count].position = position;
          count++;
        }
    }
  return count;
}

void
demand_update_fleet_ratio (const struct demand_service *service,
                           uint64_t instance_id, struct ledger *ledger)
{
  const struct demand_customer *customer;
  uint32_t i;

  for (customer = service->customers; customer != NULL;
       customer = customer->hh.next)
    {
      uint64_t total = 0;
      uint64_t own = 0;

      for (i = 0; i < customer->row_count; i++)
        {
          const struct demand_row *row = &customer->rows[i];
          uint32_t requests = row->waiting + row->running;

          total += requests;
          if (row->instance_id == instance_id)
            own += requests;
        }
      if (own > 0 && total > own)
        ledger_set_fleet_ratio (
            ledger, customer->id, service->id,
            (uint32_t)(total * FLEET_RATIO_PERMILLE / own));
    }
}
