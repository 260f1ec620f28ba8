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

struct retryshare_service
{
  uint64_t service_id;
  uint64_t bucket; /* number of the current bucket */
  uint32_t requests[RETRYSHARE_BUCKETS];
  uint32_t retries[RETRYSHARE_BUCKETS];
  UT_hash_handle hh;
};

static struct retryshare_service *
find_service (struct retryshare *share, uint64_t service_id, uint64_t now_ns);
static void advance (struct retryshare_service *service, uint64_t bucket);

void
retryshare_init (struct retryshare *share,
                 const struct retryshare_config *config)
{
  memset (share, 0, sizeof *share);
  share->config = *config;
  share->instances = 1;
}

void
retryshare_finish (struct retryshare *share)
{
  struct retryshare_service *service;
  struct retryshare_service *next;

  service = share->services;
  HASH_CLEAR (hh, share->services);
  for (; service != NULL; service = next)
    {
      next = service->hh.next;
      free (service);
    }
}

static struct retryshare_service *
find_service (struct retryshare *share, uint64_t service_id, uint64_t now_ns)
{
  uint64_t bucket_ns = (uint64_t)share->config.window_ms * NS_PER_MS
                       / (RETRYSHARE_BUCKETS - 1);
  struct retryshare_service *service;

  HASH_FIND (hh, share->services, &service_id, sizeof service_id, service);
  if (service == NULL)
    {
      service = calloc (1, sizeof *service);
      if (service == NULL)
        return NULL;
      service->service_id = service_id;
      HASH_ADD (hh, share->services, service_id, sizeof service_id, service);
    }
  advance (service, now_ns / (bucket_ns == 0 ? 1 : bucket_ns));
  return service;
}

static void
advance (struct retryshare_service *service, uint64_t bucket)
{
  uint64_t elapsed = bucket - service->bucket;
  uint64_t i;

  if (elapsed > RETRYSHARE_BUCKETS)
    elapsed = RETRYSHARE_BUCKETS;
  for (i = 0; i < elapsed; i++)
    {
      service->requests[(bucket - i) % RETRYSHARE_BUCKETS] = 0;
      service->retries[(bucket - i) % RETRYSHARE_BUCKETS] = 0;
    }
  service->bucket = bucket;
}

int
retryshare_request (struct retryshare *share, uint64_t service_id,
                    uint64_t now_ns)
{
  struct retryshare_service *service
      = find_service (share, service_id, now_ns);

  if (service == NULL)
    return ERR_NO_MEMORY;
  service->requests[service->bucket % RETRYSHARE_BUCKETS]++;
  return 0;
}

int
retryshare_take (struct retryshare *share, uint64_t service_id,
                 uint64_t now_ns)
{
  struct retryshare_service *service
      = find_service (share, service_id, now_ns);
  uint64_t requests = 0;
  uint64_t retries = 0;
  uint64_t allowed;
  uint32_t i;

  if (service == NULL)
    return ERR_FULL;
  for (i = 0; i < RETRYSHARE_BUCKETS; i++)
    {
      requests += service->requests[i];
      retries += service->retries[i];
    }
  allowed = requests * share->config.permille * RATIO_USED_PERMILLE
            + (uint64_t)share->config.allowance * 1000
                  * ALLOWANCE_USED_PERMILLE / share->instances;
  if ((retries + 1) * 1000 * 1000 > allowed)
    return ERR_FULL;
  service->retries[service->bucket % RETRYSHARE_BUCKETS]++;
  return 0;
}
