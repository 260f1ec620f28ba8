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
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define CHOOSE_CANDIDATES_MAX                                                 \
  4                        /**< engines considered per prompt, besides the    \
                                least loaded; checking every engine of a      \
                                large fleet would be too expensive */
#define CHOOSE_AVOID_MAX 8 /**< upstreams excluded because already tried */

/** The highest-ranked engines for a prompt, best first; the same at all
    instances.  Valid for one generation of the roster.  Zero-initialise. */
struct choose_homes
{
  uint64_t generation;
  uint64_t ids[CHOOSE_CANDIDATES_MAX];
  uint32_t count;
};

struct choose_request
{
  uint64_t service_id;
  struct choose_homes *homes;    /**< of the prompt; kept between calls */
  uint64_t idlest_id;            /**< result of choose_idlest; or 0 */
  const struct prompt *prompt;   /**< NULL or without parts: request for
                                       a plain service */
  const char *availability_zone; /**< of this instance */
  const uint64_t *avoid; /**< upstreams already tried; not chosen again */
  size_t avoid_count;
  uint64_t draw; /**< arbitrary number; breaks ties */
  /** Extra cost of each token of the shared prefix that an engine would have
      to prefill again, in thousandths of a token.  The larger, the longer a
      request may be delayed in favour of an engine that has it cached. */
  uint32_t reread_permille;
  uint64_t now_ns;
};

struct choose_result
{
  struct roster_upstream *upstream; /**< NULL: none is eligible */
  uint32_t unread_tokens; /**< of the prompt, not in its prefix cache */
  uint64_t ahead_tokens;  /**< its prefill backlog before this prompt */
  bool home;              /**< it is the highest-ranked eligible candidate */
};

/** The engine of a service with the least prefill backlog and running
   requests; 0 when none is usable. */
uint64_t choose_idlest (const struct roster *roster, uint64_t service_id,
                        uint64_t now_ns);

void choose_upstream (const struct roster *roster,
                      const struct prefixes *prefixes,
                      const struct choose_request *request,
                      struct choose_result *result);

#endif
