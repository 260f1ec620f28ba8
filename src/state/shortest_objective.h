/**
 * @file shortest_objective.h
 * Shortest latency objective of the prompts that have arrived lately.
 *
 * Load pattern: engines process prompts in order of arrival.  While only heavy
 * users wait, they fill an engine's queue up to its limit, and a prompt of
 * another customer that arrives then is late, whatever its place in the wait
 * queue.  So the limit leaves it enough of the objective.
 */
#ifndef STATE_SHORTEST_OBJECTIVE_H
#define STATE_SHORTEST_OBJECTIVE_H

#include <stdint.h>

/** Of one service.  Zero-initialise. */
struct shortest_objective
{
  uint64_t window_start_ns;
  uint32_t current_ms; /**< of this window; 0: none */
  uint32_t previous_ms;
};

/** Counts a prompt.  An objective of 0 is none. */
void shortest_objective_observe (struct shortest_objective *shortest,
                                 uint32_t objective_ms, uint64_t now_ns);
/** Permitted prefill backlog of an engine, in ms of its prefill rate.
    @param propagation_ms  time until all instances know of its load: it must
    not idle meanwhile. */
uint32_t
shortest_objective_backlog_ms (const struct shortest_objective *shortest,
                               uint32_t propagation_ms);

#endif
