/**
 * @file admission.h
 * Limits the prefill backlog (prompt tokens not yet processed) that an engine
 * may have when another prompt is sent to it.
 *
 * Engines serve in order of arrival, so a prompt that is sent early can no
 * longer be overtaken.  The limit therefore covers only prompts that the
 * engine starts soon.  Under load, the limit is lower for a customer that used
 * more than the average of the waiting customers and higher for one that used
 * less.  Customers with low usage are then served first at every gateway, even
 * if their requests arrive at a single gateway and those of the heavy users at
 * all.
 *
 * The primary engine of a prompt is the highest-ranked one for its prefix (see
 * choose.h), which has the prefix cached.  Any other engine has to recompute
 * the prefix, which takes time from other prompts.  Only a nearly idle engine
 * accepts such a prompt, and only while utilisation is low.
 */
#ifndef STATE_ADMISSION_H
#define STATE_ADMISSION_H

#include "state/prefill_rate.h"
#include "state/registry.h"
#include <stdbool.h>
#include <stdint.h>

/** Weight, in thousandths, of prefix tokens that another engine would have to
    recompute.  The higher it is, the longer a request waits for an engine that
    has its prefix cached. */
#define ADMISSION_RECOMPUTE_HIGH_PERMILLE 6000
#define ADMISSION_RECOMPUTE_FAST_PERMILLE 15000
#define ADMISSION_RECOMPUTE_LOW_PERMILLE  500

/** Prefill backlog of engines against their limit. */
struct admission_load
{
  double backlog_tokens;  /**< backlog, up to the limit of each engine */
  double capacity_tokens; /**< sum of the limits */
};

/** Adds the usable engines of a service, but not those that name a limit of
    requests: their backlog does not show how much more they take. */
void admission_add_engines (struct admission_load *load,
                            const struct registry *registry,
                            uint64_t service_id,
                            const struct prefill_rate *prefill_rate,
                            uint32_t backlog_max_ms);
/** Adds prompts that are queued for the engines anywhere in the fleet, since
    engines that are still free will soon receive them. */
void admission_add_queued (struct admission_load *load,
                           uint64_t queued_tokens);
/** Utilisation from 0, no backlog, to 1, a backlog of at least half of the
    limits.  1 if there are no engines. */
double admission_utilisation (const struct admission_load *load);

/** Input of admission_capacity_tokens() for one request at one engine. */
struct admission_request
{
  uint64_t usage_tokens; /**< recent usage of its customer over the fleet */
  /** Mean recent usage of the waiting customers; UINT64_MAX if there are
      none. */
  uint64_t mean_tokens;
  double utilisation; /**< utilisation, see admission_utilisation() */
  /** Prefill backlog of an engine for a customer with the mean usage, as
      processing time; see shortest_objective_backlog_ms(). */
  uint32_t backlog_max_ms;
  /** The engine is not the primary one, and the request no longer waits for
      the primary one: its recompute weight is the low one. */
  bool fallback;
  /** Its objective has passed: it gets what others leave, the less the busier
      the engines are. */
  bool late;
  double engine_utilisation; /**< utilisation without waiting requests */
};

/** Factor on a customer's limit: 1 if its recent usage equals the mean of the
    waiting customers, less if it used more, more if it used less.
    @param usage_tokens       recent usage of the customer.
    @param mean_usage_tokens  mean of the waiting customers; UINT64_MAX if
                              there are none.
    @param factor_max         upper bound of the factor. */
double admission_usage_factor (uint64_t usage_tokens,
                               uint64_t mean_usage_tokens, double factor_max);

/** Whether a customer's usage is above the cap (usage_share_cap()) while
   engines are busy.  Idle engines serve it all the same: the customer that the
   cap protects may be limited by its gateway, not by the engines. */
bool admission_above_cap (uint64_t usage_tokens, uint64_t cap_tokens,
                          double utilisation);

/** Limit on the prefill backlog of the engine ahead of the request. */
uint64_t admission_capacity_tokens (const struct prefill_rate *prefill_rate,
                                    const struct admission_request *request);

/** Limit on the prefill backlog of an engine that all instances together may
    reach.  They check it once in `interval_ms`, and the engine processes
    tokens in between. */
uint64_t admission_interval_tokens (const struct prefill_rate *prefill_rate,
                                    uint32_t backlog_max_ms,
                                    uint32_t interval_ms);

/** Wait of a request for the engine that has its prefix. */
struct admission_wait
{
  bool queued;             /**< it is in the wait queue */
  uint64_t waited_ns;      /**< since its arrival */
  uint64_t total_ns;       /**< from its arrival until it expires */
  uint32_t propagation_ms; /**< until all instances know of an engine's load */
};

/** Weight of recomputed prefix tokens for a request.  Low in the second half
    of its waiting time if utilisation is low, and on arrival, unless load is
    known fast; otherwise high. */
uint32_t admission_recompute_permille (const struct admission_wait *wait,
                                       double utilisation);

#endif
