/**
 * @file admission.c
 * Limits on the prefill backlog of engines.
 */
#include "state/admission.h"

/* Prefill backlog up to which an engine accepts a prompt whose primary engine
   is another one. */
#define FALLBACK_BACKLOG_MAX_MS 60
/* The same for a prompt whose objective has passed, at full utilisation: an
   engine that is about to idle. */
#define LATE_BACKLOG_MIN_MS 8
/* Utilisation above which no capacity is spent on recomputing prefixes. */
#define RECOMPUTE_UTILISATION_MAX 0.5
/* If all instances know of an engine's load within this time, a prompt waits
   for the engine that has its prefix from its arrival on: the engine does not
   idle until they have learned of its room. */
#define PROPAGATION_FAST_MS 75
/* Utilisation from which the usage cap holds: an eighth of the engines' limits
   is in use, so that what it keeps back is likely to be used by others. */
#define CAP_UTILISATION_MIN 0.25
/* Added to both usages, so that differences below the size of a large request
   have little effect. */
#define USAGE_OFFSET_TOKENS 20000
/* Upper bound of the limit factor.  Lets a customer with low usage be served
   in spite of the prompts that other instances sent before they learned that
   it waits. */
#define FACTOR_MAX 2.0

void
admission_add_engines (struct admission_load *load,
                       const struct registry *registry, uint64_t service_id,
                       const struct prefill_rate *prefill_rate,
                       uint32_t backlog_max_ms)
{
  const uint64_t limit = prefill_rate_tokens (prefill_rate, backlog_max_ms);
  const struct registry_upstream *upstream;
  uint64_t backlog;

  for (upstream = registry->upstreams; upstream != NULL;
       upstream = upstream->hh.next)
    {
      if (!registry_usable (upstream, service_id) || upstream->limit.limited)
        continue;
      backlog = registry_backlog_tokens (upstream);
      load->backlog_tokens += (double)(backlog < limit ? backlog : limit);
      load->capacity_tokens += (double)limit;
    }
}

void
admission_add_queued (struct admission_load *load, uint64_t queued_tokens)
{
  load->backlog_tokens += (double)queued_tokens;
}

double
admission_utilisation (const struct admission_load *load)
{
  if (load->backlog_tokens * 2 >= load->capacity_tokens)
    return 1;
  return load->backlog_tokens * 2 / load->capacity_tokens;
}

double
admission_usage_factor (uint64_t usage_tokens, uint64_t mean_usage_tokens,
                        double factor_max)
{
  double factor;

  if (mean_usage_tokens == UINT64_MAX)
    return 1;
  factor = ((double)mean_usage_tokens + USAGE_OFFSET_TOKENS)
           / ((double)usage_tokens + USAGE_OFFSET_TOKENS);
  factor = factor * factor * factor;
  return factor > factor_max ? factor_max : factor;
}

bool
admission_above_cap (uint64_t usage_tokens, uint64_t cap_tokens,
                     double utilisation)
{
  return usage_tokens > cap_tokens && utilisation >= CAP_UTILISATION_MIN;
}

uint64_t
admission_capacity_tokens (const struct prefill_rate *prefill_rate,
                           const struct admission_request *request)
{
  double idle = 1 - request->engine_utilisation;
  double late_ms = request->backlog_max_ms * idle * idle * idle;
  double limit_ms
      = request->fallback ? FALLBACK_BACKLOG_MAX_MS : request->backlog_max_ms;
  double factor_max = request->late || request->fallback ? 1 : FACTOR_MAX;
  double factor;

  if (request->late && late_ms < limit_ms)
    limit_ms = late_ms > LATE_BACKLOG_MIN_MS ? late_ms : LATE_BACKLOG_MIN_MS;
  if (request->mean_tokens == UINT64_MAX)
    return prefill_rate_tokens (prefill_rate, (uint32_t)limit_ms);
  factor = admission_usage_factor (request->usage_tokens, request->mean_tokens,
                                   factor_max);
  limit_ms *= 1 - (1 - factor) * request->utilisation;
  return prefill_rate_tokens (prefill_rate, (uint32_t)limit_ms);
}

uint64_t
admission_interval_tokens (const struct prefill_rate *prefill_rate,
                           uint32_t backlog_max_ms, uint32_t interval_ms)
{
  return prefill_rate_tokens (prefill_rate, backlog_max_ms + interval_ms);
}

uint32_t
admission_recompute_permille (const struct admission_wait *wait,
                              double utilisation)
{
  if (wait->queued && wait->waited_ns >= wait->total_ns / 2
      && utilisation <= RECOMPUTE_UTILISATION_MAX)
    return ADMISSION_RECOMPUTE_LOW_PERMILLE;
  if (wait->propagation_ms <= PROPAGATION_FAST_MS)
    return ADMISSION_RECOMPUTE_FAST_PERMILLE;
  return wait->queued ? ADMISSION_RECOMPUTE_HIGH_PERMILLE
                      : ADMISSION_RECOMPUTE_LOW_PERMILLE;
}
