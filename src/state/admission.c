/**
 * @file admission.c
 * Limits on the prefill backlog of engines.
 */
#include "state/admission.h"

/* Prefill backlog of an engine, as processing time.  Long enough that the
   engine does not idle for a network round trip, and short because the queue
   can no longer reorder prompts that were sent. */
#define BACKLOG_MAX_MS 250
/* Prefill backlog up to which an engine accepts a prompt whose primary engine
   is another one. */
#define FALLBACK_BACKLOG_MAX_MS 60
/* Utilization above which no capacity is spent on recomputing prefixes. */
#define RECOMPUTE_UTILIZATION_MAX 0.5
/* Added to both usages, so that differences below the size of a large request
   have little effect. */
#define USAGE_OFFSET_TOKENS 20000
/* Upper bound of the limit factor.  Lets a customer with low usage be served
   in spite of the prompts that other instances sent before they learned that
   it waits. */
#define FACTOR_MAX 2.0

void
admit_count (struct admit_room *room, const struct roster *roster,
             uint64_t service_id, const struct pace *pace)
{
  const uint64_t limit = pace_tokens (pace, BACKLOG_MAX_MS);
  const struct roster_upstream *upstream;
  uint64_t backlog;

  for (upstream = roster->upstreams; upstream != NULL;
       upstream = upstream->hh.next)
    {
      if (!roster_usable (upstream, service_id))
        continue;
      backlog = roster_ahead_tokens (upstream);
      room->taken_tokens += (double)(backlog < limit ? backlog : limit);
      room->room_tokens += (double)limit;
    }
}

void
admit_wait (struct admit_room *room, uint64_t queued_tokens)
{
  room->taken_tokens += (double)queued_tokens;
}

double
admit_crowding (const struct admit_room *room)
{
  if (room->taken_tokens * 2 >= room->room_tokens)
    return 1;
  return room->taken_tokens * 2 / room->room_tokens;
}

double
admit_part (uint64_t used_tokens, uint64_t mean_used_tokens, double factor_max)
{
  double factor;

  if (mean_used_tokens == UINT64_MAX)
    return 1;
  factor = ((double)mean_used_tokens + USAGE_OFFSET_TOKENS)
           / ((double)used_tokens + USAGE_OFFSET_TOKENS);
  factor = factor * factor * factor;
  return factor > factor_max ? factor_max : factor;
}

uint64_t
admit_room_tokens (const struct pace *pace,
                   const struct admit_request *request)
{
  double limit_ms = request->away ? FALLBACK_BACKLOG_MAX_MS : BACKLOG_MAX_MS;
  double factor_max = request->away ? 1 : FACTOR_MAX;
  double factor;

  if (request->others_had_tokens == UINT64_MAX)
    return pace_tokens (pace, (uint32_t)limit_ms);
  factor = admit_part (request->had_tokens, request->others_had_tokens,
                       factor_max);
  limit_ms *= 1 - (1 - factor) * request->crowding;
  return pace_tokens (pace, (uint32_t)limit_ms);
}

uint64_t
admit_turn_tokens (const struct pace *pace, uint32_t interval_ms)
{
  return pace_tokens (pace, BACKLOG_MAX_MS + interval_ms);
}

uint32_t
admit_patience_permille (bool queued, uint64_t waited_ns, uint64_t total_ns,
                         double utilization)
{
  return queued
                 && (waited_ns < total_ns / 2
                     || utilization > RECOMPUTE_UTILIZATION_MAX)
             ? ADMIT_PATIENT_PERMILLE
             : ADMIT_IMPATIENT_PERMILLE;
}
