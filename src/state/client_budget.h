/**
 * @file client_budget.h
 * How long a client has waited before a request arrived: one that retries
 * after a refusal has less time left than it began with.
 *
 * Load pattern: in overload a third of all requests are retries.  Their
 * objective has passed, and new requests could still be in time for the same
 * prefill.
 *
 * What clients begin with is learned from the values that many requests of a
 * route name exactly; there may be several.
 */
#ifndef STATE_CLIENT_BUDGET_H
#define STATE_CLIENT_BUDGET_H

#include <stdint.h>

#define CLIENT_BUDGET_VALUES 8 /**< candidates that are counted */

/** Of one route.  Zero-initialise. */
struct client_budget
{
  uint32_t values_ms[CLIENT_BUDGET_VALUES];
  uint32_t counts[CLIENT_BUDGET_VALUES]; /**< 0: unused */
  uint32_t total;                        /**< requests counted */
};

/** Counts a request.
    @param remaining_ms  time that its client still waits.
    @return the time that the client has waited; 0 if unknown. */
uint32_t client_budget_waited_ms (struct client_budget *budget,
                                  uint32_t remaining_ms);

#endif
