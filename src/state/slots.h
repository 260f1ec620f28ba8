/**
 * @file slots.h
 * The lessee's side: slots that this instance holds at each upstream.
 * capacity may fall below busy; a request in flight keeps its slot to its end.
 */
#ifndef STATE_SLOTS_H
#define STATE_SLOTS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <uthash.h>

/** Slots at one upstream. */
struct slots_entry
{
  uint64_t upstream_id;
  uint64_t service_id;
  uint32_t capacity;      /**< slots leased to this instance */
  uint32_t busy;          /**< requests in flight from this instance */
  uint64_t expiry_ns;     /**< no dispatch at or after this time */
  bool draining;          /**< no new work */
  uint32_t reported_load; /**< requests running, as the upstream last said */
  uint64_t reported_ns;
  uint32_t failures; /**< consecutive connection failures */
  uint64_t retry_ns; /**< not used before this time after failures */
  UT_hash_handle hh;
};

struct slots
{
  struct slots_entry *entries; /**< uthash by upstream_id; iterate only */
};

void slots_init (struct slots *slots);
void slots_finish (struct slots *slots);

/** Adds an upstream with no capacity, or finds it. NULL without memory. */
struct slots_entry *slots_add (struct slots *slots, uint64_t upstream_id,
                               uint64_t service_id);
struct slots_entry *slots_find (const struct slots *slots,
                                uint64_t upstream_id);
/** Forgets an upstream with nothing busy. @return 0 or ERR_EXISTS. */
int slots_remove (struct slots *slots, uint64_t upstream_id);

/** Slots of an entry that a request could take at `now_ns`. */
uint32_t slots_free (const struct slots_entry *entry, uint64_t now_ns);

/** Takes a slot. @return 0, ERR_NOT_FOUND or ERR_FULL. */
int slots_take (struct slots *slots, uint64_t upstream_id, uint64_t now_ns);

/** Gives a slot back at the end of a request. @return 0 or an error. */
int slots_put (struct slots *slots, uint64_t upstream_id);

#endif
