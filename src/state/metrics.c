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
  struct metrics_pair *pair = metrics->pairs;
  struct metrics_pair *next_pair;
  struct metrics_service *service = metrics->services;
  struct metrics_service *next_service;

  HASH_CLEAR (hh, metrics->pairs);
  for (; pair != NULL; pair = next_pair)
    {
      next_pair = pair->hh.next;
      free (pair);
    }
  HASH_CLEAR (hh, metrics->services);
  for (; service != NULL; service = next_service)
    {
      next_service = service->hh.next;
      free (service);
    }
}

struct metrics_pair *
metrics_pair (struct metrics *metrics, uint64_t customer_id,
              uint64_t service_id)
{
  const uint64_t key[2] = { customer_id, service_id };
  struct metrics_pair *pair = NULL;

  HASH_FIND (hh, metrics->pairs, &key, sizeof key, pair);
  if (pair != NULL)
    return pair;
  pair = calloc (1, sizeof *pair);
  if (pair == NULL)
    return NULL;
  pair->customer_id = customer_id;
  pair->service_id = service_id;
  HASH_ADD (hh, metrics->pairs, customer_id, PAIR_KEY_SIZE, pair);
  return pair;
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
  struct metrics_pair *pair = metrics_pair (metrics, customer_id, service_id);

  if (pair != NULL)
    pair->outcomes[outcome]++;
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
  struct metrics_pair *pair = metrics_pair (metrics, customer_id, service_id);

  if (pair == NULL)
    return;
  pair->attempts++;
  if (number > 1)
    pair->retries++;
}

const char *
metrics_outcome_name (enum metrics_outcome outcome)
{
  return outcome_names[outcome];
}
