/**
 * @file choose.h
 * Chooses the upstream of one request.
 *
 * For engines: the one expected to complete the prefill of the prompt first.
 * Prompt tokens in its prefix cache lower its cost, and its prefill backlog
 * raises it.  Requests with a common prefix thus go to one primary engine
 * while that is not overloaded, spill over to the next candidates when it is,
 * and return afterwards.  Candidates are ranked by rendezvous hashing, so that
 * instances agree on them without communication.
 *
 * For plain services: the one with the smallest fraction of its slots in use.
 */
#ifndef STATE_CHOOSE_H
#define STATE_CHOOSE_H

#include "state/prefix_cache.h"
#include "state/prompt.h"
#include "state/registry.h"
#include "state/rng.h"
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** Engines considered per prompt, besides the least loaded; checking every
    engine of a large fleet would be too expensive. */
#define CHOOSE_CANDIDATES_MAX 4
#define CHOOSE_EXCLUDED_MAX   8 /**< upstreams already tried */

/** The highest-ranked engines for a prompt, best first; the same at all
    instances.  Valid for one generation of the registry.  Zero-initialise. */
struct choose_candidates
{
  uint64_t generation;
  uint64_t build; /**< that they have; 0: any */
  uint64_t ids[CHOOSE_CANDIDATES_MAX];
  uint32_t count;
};

struct choose_request
{
  uint64_t service_id;
  struct choose_candidates
      *candidates;               /**< of the prompt; kept between calls */
  uint64_t least_loaded_id;      /**< result of choose_least_loaded; or 0 */
  const struct prompt *prompt;   /**< NULL or without parts: request for
                                       a plain service */
  const char *availability_zone; /**< of this instance */
  const uint64_t *excluded; /**< upstreams already tried; not chosen again */
  size_t excluded_count;
  uint64_t build;     /**< that the upstream must have; 0: any */
  uint64_t tie_break; /**< arbitrary number; breaks ties */
  /** Extra cost of each token of the shared prefix that an engine would have
      to prefill again, in thousandths of a token.  The larger, the longer a
      request may be delayed in favour of an engine that has it cached. */
  uint32_t recompute_permille;
  uint64_t now_ns;
};

struct choose_result
{
  struct registry_upstream *upstream; /**< NULL: none is eligible */
  uint32_t prefill_tokens; /**< of the prompt, not in its prefix cache */
  uint64_t backlog_tokens; /**< its prefill backlog before this prompt */
  bool primary;            /**< it is the highest-ranked eligible candidate */
};

/** The engine of a service with the lowest load: prefill backlog plus a cost
    for each running request.  Among many engines, the lowest of a random
    sample, so that instances with the same view do not all select the same
    one.  Ejected engines are skipped; 0 if none is left. */
uint64_t choose_least_loaded (const struct registry *registry,
                              uint64_t service_id, uint64_t now_ns,
                              struct rng *rng);

void choose_upstream (const struct registry *registry,
                      const struct prefix_cache *prefix_cache,
                      const struct choose_request *request,
                      struct choose_result *result);

#endif
