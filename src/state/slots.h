/**
 * @file slots.h
 * Slots that this instance leases at each upstream.  The capacity may fall
 * below the number of busy slots: a running request keeps its slot to its end.
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
  uint32_t capacity;         /**< slots leased to this instance */
  uint32_t busy;             /**< requests of this instance in flight there */
  uint64_t expiry_ns;        /**< end of the lease: no dispatch from then on */
  bool draining;             /**< accepts no new requests */
  uint32_t reported_running; /**< running requests, as the upstream reported */
  uint64_t reported_ns;      /**< when it reported them */
  uint32_t failures;         /**< consecutive connection failures */
  uint64_t backoff_end_ns;   /**< end of the connect backoff */
  UT_hash_handle hh;
};

struct slots
{
  struct slots_entry *entries; /**< uthash by upstream_id; iterate only */
};

void slots_init (struct slots *slots);
void slots_finish (struct slots *slots);

/** Finds an upstream, or adds it with no capacity.  NULL if out of memory. */
struct slots_entry *slots_add (struct slots *slots, uint64_t upstream_id,
                               uint64_t service_id);
struct slots_entry *slots_find (const struct slots *slots,
                                uint64_t upstream_id);
/** Removes an upstream.  @return 0, or ERR_EXISTS if slots are busy. */
int slots_remove (struct slots *slots, uint64_t upstream_id);

/** Number of slots of an entry that are available at `now_ns`. */
uint32_t slots_free (const struct slots_entry *entry, uint64_t now_ns);

/** Acquires a slot. @return 0, ERR_NOT_FOUND or ERR_FULL. */
int slots_acquire (struct slots *slots, uint64_t upstream_id, uint64_t now_ns);

/** Releases a slot. @return 0, ERR_NOT_FOUND or ERR_INVALID. */
int slots_release (struct slots *slots, uint64_t upstream_id);

#endif
