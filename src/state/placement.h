/**
 * @file placement.h
 * Chooses an upstream for a request, among those at which this instance has a
 * leased slot free.
 */
#ifndef STATE_PLACEMENT_H
#define STATE_PLACEMENT_H

#include "state/catalog.h"
#include "state/slots.h"
#include <stdint.h>

/** Input of a placement policy. */
struct placement_request
{
  const struct catalog_service *service;
  const char *availability_zone; /**< of this instance */
  uint64_t prefix_hash;          /**< of the start of the prompt; 0 for none */
  uint64_t failed_upstream_id;   /**< where an attempt just failed; or 0 */
  uint64_t now_ns;
};

/** A placement policy; `choose` returns the id of an upstream with a free
   slot, or 0 if there is none. */
struct placement_policy
{
  const char *name;
  uint64_t (*choose) (const struct slots *slots,
                      const struct placement_request *request);
};

/** Prefix affinity, availability zone, then least load. */
extern const struct placement_policy placement_affine;
/** Least load only; baseline for comparisons. */
extern const struct placement_policy placement_least_busy;

#endif
