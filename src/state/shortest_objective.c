/**
 * @file shortest_objective.c
 * Shortest objective within a sliding window.
 */
#include "state/shortest_objective.h"

#define WINDOW_NS 10000000000ULL
/* Part of the objective that the backlog may take, in percent.  The rest is
   for the prompt itself, for the steps in which the engine generates tokens of
   other requests meanwhile, and for what other instances send at once. */
#define BACKLOG_PERCENT 50
/* Least backlog, as a part of the propagation time. */
#define PROPAGATION_PERCENT 170
/* Short because the queue can no longer reorder prompts that were sent. */
#define BACKLOG_MAX_MS 250

void
shortest_objective_observe (struct shortest_objective *shortest,
                            uint32_t objective_ms, uint64_t now_ns)
{
  if (now_ns - shortest->window_start_ns >= WINDOW_NS)
    {
      shortest->previous_ms
          = now_ns - shortest->window_start_ns < 2 * WINDOW_NS
                ? shortest->current_ms
                : 0;
      shortest->current_ms = 0;
      shortest->window_start_ns = now_ns;
    }
  if (objective_ms != 0
      && (shortest->current_ms == 0 || objective_ms < shortest->current_ms))
    shortest->current_ms = objective_ms;
}

uint32_t
shortest_objective_backlog_ms (const struct shortest_objective *shortest,
                               uint32_t propagation_ms)
{
  uint32_t objective_ms = shortest->current_ms;
  uint64_t least_ms = (uint64_t)propagation_ms * PROPAGATION_PERCENT / 100;
  uint64_t limit_ms;

  if (objective_ms == 0
      || (shortest->previous_ms != 0 && shortest->previous_ms < objective_ms))
    objective_ms = shortest->previous_ms;
  if (objective_ms == 0)
    return BACKLOG_MAX_MS;
  limit_ms = (uint64_t)objective_ms * BACKLOG_PERCENT / 100;
  if (limit_ms < least_ms)
    limit_ms = least_ms;
  return limit_ms < BACKLOG_MAX_MS ? (uint32_t)limit_ms : BACKLOG_MAX_MS;
}
