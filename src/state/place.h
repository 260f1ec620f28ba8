/**
 * @file place.h
 * Chooses an upstream for a request among the slots leased to this instance.
 */
#ifndef STATE_PLACE_H
#define STATE_PLACE_H

#include "state/catalog.h"
#include "state/slots.h"
#include <stdint.h>

/** What a policy may look at. */
struct place_request
{
  const struct catalog_service *service;
  const char *availability_zone; /**< of this instance */
  uint64_t prefix_hash;          /**< of the prompt's start; 0 for none */
  uint64_t avoid_upstream_id;    /**< where an attempt just failed; or 0 */
  uint64_t now_ns;
};

/** A placement policy: returns an upstream id with a free slot, or 0. */
struct place_policy
{
  const char *name;
  uint64_t (*choose) (const struct slots *slots,
                      const struct place_request *request);
};

/** Prefix affinity, availability zone, then least load. */
extern const struct place_policy place_affine;
/** Least busy only; the baseline. */
extern const struct place_policy place_least_busy;

#endif
