/**
 * @file ledger.h
 * Service received by each customer at each service over the fleet, as
 * grow-only counters per (instance, incarnation) merged by maximum.  Lost,
 * repeated and reordered reports do no harm.
 *
 * Amounts are normalised: cost units x LEDGER_SCALE / customer weight.  The
 * position of a customer is floor + sum(charged - refunded); the
 * customer with the least position is served next.  The floor is a maximum
 * register that lifts a customer which was idle, so idleness earns no credit.
 *
 * Between reports the other instances serve a customer too.  What they will
 * have charged is expected from the own charges and the customer's spread over
 * instances, and counts in its position until they report it.  Without that
 * all instances at once serve the customer with the least position as if each
 * were alone, and it is ahead by many turns when they learn of each other.
 */
#ifndef STATE_LEDGER_H
#define STATE_LEDGER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define LEDGER_SCALE 1000 /**< normalised units of one cost unit, weight 1 */

/** Set in an incarnation to name the sum of all lives up to that one.  It
    replaces the counters of those lives, so old lives cost no memory, and a
    late report of one of them is not counted again. */
#define LEDGER_FOLDED (UINT64_C (1) << 63)

/** Origin of counters: one life of one instance. */
struct ledger_origin
{
  uint64_t instance_id;
  uint64_t incarnation;
};

/** Counters of one origin for one (customer, service). */
struct ledger_entry
{
  uint64_t customer_id;
  uint64_t service_id;
  uint64_t charged;  /**< normalised units, grow-only */
  uint64_t refunded; /**< normalised units, grow-only, <= charged */
  uint64_t floor;    /**< normalised units, maximum register */
  uint64_t cost;     /**< plain cost units settled so far, grow-only */
};

struct ledger;

/** @return NULL without memory. */
struct ledger *ledger_new (struct ledger_origin self);
void ledger_free (struct ledger *ledger);

/** Charges a cost or a reserve, in cost units. @return 0 or an error. */
int ledger_charge (struct ledger *ledger, uint64_t customer_id,
                   uint64_t service_id, uint64_t cost, uint32_t weight);

/** Takes back a reserve, or cost that was not used after all. */
int ledger_refund (struct ledger *ledger, uint64_t customer_id,
                   uint64_t service_id, uint64_t cost, uint32_t weight);

/** Adds the true cost of a finished or progressing request, for reports. */
int ledger_settle (struct ledger *ledger, uint64_t customer_id,
                   uint64_t service_id, uint64_t cost);

/** Merges a report; own entries that come back are ignored.
    @return 1 if it told something new, 0, or an error. */
int ledger_merge (struct ledger *ledger, struct ledger_origin origin,
                  const struct ledger_entry *entry);

/** Normalised position of a customer at a service, over the fleet. */
uint64_t ledger_position (const struct ledger *ledger, uint64_t customer_id,
                          uint64_t service_id);

/** Position less what is reserved for running requests: what the customer has
    been served, so far as reports tell.
    @param reserved cost units over the whole fleet. */
uint64_t ledger_served (const struct ledger *ledger, uint64_t customer_id,
                        uint64_t service_id, uint64_t reserved,
                        uint32_t weight);

/** Lifts a customer that becomes backlogged by `amount` normalised units.
    @return 0 or ERR_NO_MEMORY. */
int ledger_lift (struct ledger *ledger, uint64_t customer_id,
                 uint64_t service_id, uint64_t amount);

/** Starts an exchange interval: what was expected and not reported is halved,
    and every spread is 1 until set again. */
void ledger_interval (struct ledger *ledger);

/** Sets a customer's spread over instances until the next interval: requests
    in the fleet / requests here, in thousandths, at least 1000. */
void ledger_spread (struct ledger *ledger, uint64_t customer_id,
                    uint64_t service_id, uint32_t spread_permille);

/** Own entries changed after `*cursor`; advances the cursor.
    @return number of entries written to `out`, at most `capacity`. */
size_t ledger_changes (const struct ledger *ledger, uint64_t *cursor,
                       struct ledger_entry *out, size_t capacity);

/** Visits every origin's entries, for a snapshot to a cold instance, one
    origin after the other, so that a message holds many entries.
    The visitor returns 0 to go on. */
typedef int (*ledger_visitor) (void *user, struct ledger_origin origin,
                               const struct ledger_entry *entry);
int ledger_visit (const struct ledger *ledger, ledger_visitor visit,
                  void *user);

/** Folds the counters of an instance's lives up to `origin.incarnation` into
    one, once a newer life of it is heard of, so that memory stays bounded;
    positions do not change.  @return 0 or ERR_NO_MEMORY. */
int ledger_fold (struct ledger *ledger, struct ledger_origin origin);

/** Bytes held, for capacity reports. */
size_t ledger_memory_bytes (const struct ledger *ledger);

#endif
