/**
 * @file choose.h
 * Chooses the upstream of one request.
 *
 * For engines: the one that will have read the prompt first.  What an engine
 * keeps of it counts, what it has yet to read for others counts against it,
 * so that requests with a common beginning meet at one home while that is not
 * crowded, spread to the next homes when it is, and come back.  Homes follow
 * from a rendezvous hash, so that instances agree on them without a word.
 *
 * For plain services: the one with the smallest share of its slots taken.
 */
#ifndef STATE_CHOOSE_H
#define STATE_CHOOSE_H

#include "state/prefixes.h"
#include "state/prompt.h"
#include "state/roster.h"
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define CHOOSE_HOMES_MAX                                                      \
  4                        /**< engines looked at for a prompt, beside the    \
                                idlest: all of a large fleet cost too much */
#define CHOOSE_AVOID_MAX 8 /**< upstreams that one request has tried */

/** The first homes of a prompt, best first; the same for all instances. Holds
    for one generation of the roster.  Zero-initialise. */
struct choose_homes
{
  uint64_t generation;
  uint64_t ids[CHOOSE_HOMES_MAX];
  uint32_t count;
};

struct choose_request
{
  uint64_t service_id;
  struct choose_homes *homes;    /**< of the prompt, kept between choices */
  uint64_t idlest_id;            /**< engine with the least to read; or 0 */
  const struct prompt *prompt;   /**< NULL or without parts: a plain request */
  const char *availability_zone; /**< of this instance */
  const uint64_t *avoid;         /**< upstreams that were tried */
  size_t avoid_count;
  uint64_t draw; /**< any number; breaks ties */
  /** Thousandths of what is read again that count as tokens beside: how much
      later a prompt may begin for its engine to have read its start. */
  uint32_t reread_permille;
  uint64_t now_ns;
};

struct choose_result
{
  struct roster_upstream *upstream; /**< NULL: none is usable */
  uint32_t unread_tokens;           /**< of the prompt, that it has to read */
  uint64_t ahead_tokens;            /**< that it reads before */
  bool home;                        /**< it is the first home of the prompt */
};

/** The engine of a service that has the least to read; 0 when none is usable.
 */
uint64_t choose_idlest (const struct roster *roster, uint64_t service_id,
                        uint64_t now_ns);

void choose_upstream (const struct roster *roster,
                      const struct prefixes *prefixes,
                      const struct choose_request *request,
                      struct choose_result *result);

#endif
