/**
 * @file fleet_retry_budget.c
 * Sliding windows of requests and retries per service.
 */
#include "state/fleet_retry_budget.h"
#include "state/err.h"
#include <stdlib.h>
#include <string.h>
#include <uthash.h>

#define NS_PER_MS 1000000ULL /* nanoseconds */
/* Fractions of the ratio and of the allowance that are used, in thousandths.
   The rest is a margin for instances that have failed or just started, whose
   counts are not known here. */
#define RATIO_USED_PERMILLE     800
#define ALLOWANCE_USED_PERMILLE 500

struct fleet_retry_budget_service
{
  uint64_t service_id;
  uint64_t bucket; /* number of the current bucket */
  uint32_t requests[FLEET_RETRY_BUDGET_BUCKETS];
  uint32_t retries[FLEET_RETRY_BUDGET_BUCKETS];
  UT_hash_handle hh;
};

static struct fleet_retry_budget_service *
find_service (struct fleet_retry_budget *budget, uint64_t service_id,
              uint64_t now_ns);
static void advance (struct fleet_retry_budget_service *service,
                     uint64_t bucket);

void
fleet_retry_budget_init (struct fleet_retry_budget *budget,
                         const struct fleet_retry_budget_config *config)
{
  memset (budget, 0, sizeof *budget);
  budget->config = *config;
  budget->instances = 1;
}

void
fleet_retry_budget_finish (struct fleet_retry_budget *budget)
{
  struct fleet_retry_budget_service *service;
  struct fleet_retry_budget_service *next;

  service = budget->services;
  HASH_CLEAR (hh, budget->services);
  for (; service != NULL; service = next)
    {
      next = service->hh.next;
      free (service);
    }
}

static struct fleet_retry_budget_service *
find_service (struct fleet_retry_budget *budget, uint64_t service_id,
              uint64_t now_ns)
{
  uint64_t bucket_ns = (uint64_t)budget->config.window_ms * NS_PER_MS
                       / (FLEET_RETRY_BUDGET_BUCKETS - 1);
  struct fleet_retry_budget_service *service;

  HASH_FIND (hh, budget->services, &service_id, sizeof service_id, service);
  if (service == NULL)
    {
      service = calloc (1, sizeof *service);
      if (service == NULL)
        return NULL;
      service->service_id = service_id;
      HASH_ADD (hh, budget->services, service_id, sizeof service_id, service);
    }
  advance (service, now_ns / (bucket_ns == 0 ? 1 : bucket_ns));
  return service;
}

static void
advance (struct fleet_retry_budget_service *service, uint64_t bucket)
{
  uint64_t elapsed = bucket - service->bucket;
  uint64_t i;

  if (elapsed > FLEET_RETRY_BUDGET_BUCKETS)
    elapsed = FLEET_RETRY_BUDGET_BUCKETS;
  for (i = 0; i < elapsed; i++)
    {
      service->requests[(bucket - i) % FLEET_RETRY_BUDGET_BUCKETS] = 0;
      service->retries[(bucket - i) % FLEET_RETRY_BUDGET_BUCKETS] = 0;
    }
  service->bucket = bucket;
}

int
fleet_retry_budget_count_request (struct fleet_retry_budget *budget,
                                  uint64_t service_id, uint64_t now_ns)
{
  struct fleet_retry_budget_service *service
      = find_service (budget, service_id, now_ns);

  if (service == NULL)
    return ERR_NO_MEMORY;
  service->requests[service->bucket % FLEET_RETRY_BUDGET_BUCKETS]++;
  return 0;
}

int
fleet_retry_budget_take (struct fleet_retry_budget *budget,
                         uint64_t service_id, uint64_t now_ns)
{
  struct fleet_retry_budget_service *service
      = find_service (budget, service_id, now_ns);
  uint64_t requests = 0;
  uint64_t retries = 0;
  uint64_t allowed;
  uint32_t i;

  if (service == NULL)
    return ERR_FULL;
  for (i = 0; i < FLEET_RETRY_BUDGET_BUCKETS; i++)
    {
      requests += service->requests[i];
      retries += service->retries[i];
    }
  allowed = requests * budget->config.permille * RATIO_USED_PERMILLE
            + (uint64_t)budget->config.allowance * 1000
                  * ALLOWANCE_USED_PERMILLE / budget->instances;
  if ((retries + 1) * 1000 * 1000 > allowed)
    return ERR_FULL;
  service->retries[service->bucket % FLEET_RETRY_BUDGET_BUCKETS]++;
  return 0;
}
