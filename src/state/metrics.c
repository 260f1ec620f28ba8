/**
 * @file metrics.c
 * Counters of one instance.
 */
#include "state/metrics.h"
#include "state/hash.h"
#include <stddef.h>
#include <stdlib.h>

#define PAIR_KEY_SIZE                                                         \
  (2 * sizeof (uint64_t)) /**< bytes of both identifiers                      \
                           */

static const char *const outcome_names[METRICS_OUTCOME_MAX] = {
  [METRICS_COMPLETED] = "completed",
  [METRICS_REFUSED] = "refused",
  [METRICS_ABORTED] = "aborted",
  [METRICS_CANCELED] = "canceled",
};

void
metrics_finish (struct metrics *metrics)
{
  struct metrics_customer_service *counts = metrics->customer_services;
  struct metrics_customer_service *next_counts;
  struct metrics_service *service = metrics->services;
  struct metrics_service *next_service;

  HASH_CLEAR (hh, metrics->customer_services);
  for (; counts != NULL; counts = next_counts)
    {
      next_counts = counts->hh.next;
      free (counts);
    }
  HASH_CLEAR (hh, metrics->services);
  for (; service != NULL; service = next_service)
    {
      next_service = service->hh.next;
      free (service);
    }
}

struct metrics_customer_service *
metrics_customer_service (struct metrics *metrics, uint64_t customer_id,
                          uint64_t service_id)
{
  const uint64_t key[2] = { customer_id, service_id };
  struct metrics_customer_service *counts = NULL;

  HASH_FIND (hh, metrics->customer_services, &key, sizeof key, counts);
  if (counts != NULL)
    return counts;
  counts = calloc (1, sizeof *counts);
  if (counts == NULL)
    return NULL;
  counts->customer_id = customer_id;
  counts->service_id = service_id;
  HASH_ADD (hh, metrics->customer_services, customer_id, PAIR_KEY_SIZE,
            counts);
  return counts;
}

struct metrics_service *
metrics_service (struct metrics *metrics, uint64_t service_id)
{
  struct metrics_service *service = NULL;

  HASH_FIND (hh, metrics->services, &service_id, sizeof service_id, service);
  if (service != NULL)
    return service;
  service = calloc (1, sizeof *service);
  if (service == NULL)
    return NULL;
  service->service_id = service_id;
  HASH_ADD (hh, metrics->services, service_id, sizeof service->service_id,
            service);
  return service;
}

void
metrics_outcome (struct metrics *metrics, uint64_t customer_id,
                 uint64_t service_id, enum metrics_outcome outcome)
{
  struct metrics_customer_service *counts
      = metrics_customer_service (metrics, customer_id, service_id);

  if (counts != NULL)
    counts->outcomes[outcome]++;
}

void
metrics_refused (struct metrics *metrics, enum refusal refusal)
{
  metrics->refused[refusal]++;
}

void
metrics_attempt (struct metrics *metrics, uint64_t customer_id,
                 uint64_t service_id, uint32_t number)
{
  struct metrics_customer_service *counts
      = metrics_customer_service (metrics, customer_id, service_id);

  if (counts == NULL)
    return;
  counts->attempts++;
  if (number > 1)
    counts->retries++;
}

const char *
metrics_outcome_name (enum metrics_outcome outcome)
{
  return outcome_names[outcome];
}
