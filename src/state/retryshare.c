/**
 * @file retryshare.c
 * Sliding windows of requests and repeats.
 */
#include "state/retryshare.h"
#include "state/err.h"
#include <stdlib.h>
#include <string.h>
#include <uthash.h>

#define NS_PER_MS 1000000ULL /* nanoseconds */
/* Of the ratio and of the allowance, in thousandths: what instances that died
   or have just started counted is not known here. */
#define RATIO_USED_PERMILLE     800
#define ALLOWANCE_USED_PERMILLE 500

struct retryshare_service
{
  uint64_t service_id;
  uint64_t slice; /* number of the running slice */
  uint32_t requests[RETRYSHARE_BUCKETS];
  uint32_t repeats[RETRYSHARE_BUCKETS];
  UT_hash_handle hh;
};

static struct retryshare_service *find (struct retryshare *share,
                                        uint64_t service_id, uint64_t now_ns);
static void advance (struct retryshare_service *service, uint64_t slice);

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
find (struct retryshare *share, uint64_t service_id, uint64_t now_ns)
{
  uint64_t slice_ns = (uint64_t)share->config.window_ms * NS_PER_MS
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
  advance (service, now_ns / (slice_ns == 0 ? 1 : slice_ns));
  return service;
}

static void
advance (struct retryshare_service *service, uint64_t slice)
{
  uint64_t behind = slice - service->slice;
  uint64_t i;

  if (behind > RETRYSHARE_BUCKETS)
    behind = RETRYSHARE_BUCKETS;
  for (i = 0; i < behind; i++)
    {
      service->requests[(slice - i) % RETRYSHARE_BUCKETS] = 0;
      service->repeats[(slice - i) % RETRYSHARE_BUCKETS] = 0;
    }
  service->slice = slice;
}

int
retryshare_request (struct retryshare *share, uint64_t service_id,
                    uint64_t now_ns)
{
  struct retryshare_service *service = find (share, service_id, now_ns);

  if (service == NULL)
    return ERR_NO_MEMORY;
  service->requests[service->slice % RETRYSHARE_BUCKETS]++;
  return 0;
}

int
retryshare_take (struct retryshare *share, uint64_t service_id,
                 uint64_t now_ns)
{
  struct retryshare_service *service = find (share, service_id, now_ns);
  uint64_t requests = 0;
  uint64_t repeats = 0;
  uint64_t allowed;
  uint32_t i;

  if (service == NULL)
    return ERR_FULL;
  for (i = 0; i < RETRYSHARE_BUCKETS; i++)
    {
      requests += service->requests[i];
      repeats += service->repeats[i];
    }
  allowed = requests * share->config.permille * RATIO_USED_PERMILLE
            + (uint64_t)share->config.allowance * 1000
                  * ALLOWANCE_USED_PERMILLE / share->instances;
  if ((repeats + 1) * 1000 * 1000 > allowed)
    return ERR_FULL;
  service->repeats[service->slice % RETRYSHARE_BUCKETS]++;
  return 0;
}
