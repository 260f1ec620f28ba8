/**
 * @file ledger.h
 * Accounts of the service that each customer received from each service over
 * the whole fleet.  They are grow-only counters per (instance, incarnation)
 * that are merged by maximum, so lost, duplicated and reordered reports do no
 * harm.
 *
 * Amounts are normalised: cost units x LEDGER_SCALE / customer weight.  The
 * position of a customer, its virtual time in weighted fair queueing, is
 * floor + sum(charged - refunded) + expected; the customer with the smallest
 * position is served next.  The floor is a maximum register.  It is raised
 * when an idle customer becomes backlogged, so that idle time earns no credit.
 *
 * The expected part stands for charges that other instances have made and not
 * yet reported.  It is estimated from this instance's own charges and the
 * distribution of the customer's requests over instances.  Without it, all
 * instances would serve the customer with the smallest position at the same
 * time, each as if it were the only one, and the customer would be many turns
 * ahead by the time they exchange reports.
 */
#ifndef STATE_LEDGER_H
#define STATE_LEDGER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define LEDGER_SCALE 1000 /**< normalised units of a cost unit at weight 1 */

/** Flag in an incarnation number: the counters are the sum over all
    incarnations up to this one.  The sum replaces their separate counters,
    which bounds memory, and a late report of one of them is not counted
    twice. */
#define LEDGER_AGGREGATE (UINT64_C (1) << 63)

/** Origin of counters: one incarnation (process run) of an instance. */
struct ledger_origin
{
  uint64_t instance_id;
  uint64_t incarnation;
};

/** Counters of one origin for one (customer, service) pair. */
struct ledger_entry
{
  uint64_t customer_id;
  uint64_t service_id;
  uint64_t charged;  /**< normalised units, grow-only */
  uint64_t refunded; /**< normalised units, grow-only, <= charged */
  uint64_t floor;    /**< normalised units, maximum register */
  uint64_t cost;     /**< cost units of settled requests, not normalised,
                          grow-only */
};

struct ledger;

/** @return NULL if out of memory. */
struct ledger *ledger_new (struct ledger_origin self);
void ledger_free (struct ledger *ledger);

/** Charges a cost or a reserve, in cost units. @return 0 or an error. */
int ledger_charge (struct ledger *ledger, uint64_t customer_id,
                   uint64_t service_id, uint64_t cost, uint32_t weight);

/** Refunds a reserve, or a charged cost that was not incurred, in cost units.
    @return 0 or an error. */
int ledger_refund (struct ledger *ledger, uint64_t customer_id,
                   uint64_t service_id, uint64_t cost, uint32_t weight);

/** Adds the actual cost of a finished or running request to the reported
    usage, in cost units.  Does not change the position.
    @return 0 or an error. */
int ledger_settle (struct ledger *ledger, uint64_t customer_id,
                   uint64_t service_id, uint64_t cost);

/** Merges a reported entry.  Entries that originate from this instance's
    current incarnation are ignored.
    @return 1 if the entry changed the ledger, 0 if not, or an error. */
int ledger_merge (struct ledger *ledger, struct ledger_origin origin,
                  const struct ledger_entry *entry);

/** Position of a customer at a service over the fleet, in normalised units. */
uint64_t ledger_position (const struct ledger *ledger, uint64_t customer_id,
                          uint64_t service_id);

/** Service that a customer has received as far as reported: its position less
    the reserves of its running requests.
    @param reserved  reserves over the whole fleet, in cost units. */
uint64_t ledger_served (const struct ledger *ledger, uint64_t customer_id,
                        uint64_t service_id, uint64_t reserved,
                        uint32_t weight);

/** Raises the floor of a customer that becomes backlogged by `amount`
    normalised units.  @return 0 or ERR_NO_MEMORY. */
int ledger_raise_floor (struct ledger *ledger, uint64_t customer_id,
                        uint64_t service_id, uint64_t amount);

/** Starts an exchange interval: halves the expected charges that were not
    reported and resets the fleet ratio of every account to 1. */
void ledger_start_interval (struct ledger *ledger);

/** Sets a customer's fleet ratio until the next interval: its requests in the
    fleet / its requests at this instance, in thousandths, at least 1000. */
void ledger_set_fleet_ratio (struct ledger *ledger, uint64_t customer_id,
                             uint64_t service_id,
                             uint32_t fleet_ratio_permille);

/** Writes the own entries that changed after `*cursor` and advances the
    cursor.  @return number of entries written to `out`, at most `capacity`. */
size_t ledger_changes (const struct ledger *ledger, uint64_t *cursor,
                       struct ledger_entry *out, size_t capacity);

/** Called for each entry; a result other than 0 stops the iteration. */
typedef int (*ledger_visitor) (void *user, struct ledger_origin origin,
                               const struct ledger_entry *entry);
/** Visits the entries of all origins, for a snapshot to a newly started
    instance.  They are ordered by origin, so that one message can hold many
    entries.  @return 0 or the visitor's result that stopped the iteration. */
int ledger_visit (const struct ledger *ledger, ledger_visitor visit,
                  void *user);

/** Replaces the counters of an instance's incarnations up to
    `origin.incarnation` by their sum, to bound memory.  Called when a newer
    incarnation appears.  Positions do not change.
    @return 0, ERR_INVALID or ERR_NO_MEMORY. */
int ledger_aggregate (struct ledger *ledger, struct ledger_origin origin);

/** Memory held in bytes, for metrics. */
size_t ledger_memory_bytes (const struct ledger *ledger);

#endif
