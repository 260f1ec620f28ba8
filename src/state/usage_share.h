/**
 * @file usage_share.h
 * Recent usage of each customer over the whole fleet: the tokens served by
 * this instance, which decay exponentially with the time constant `window_ms`,
 * and those reported by its peers.  A customer whose requests all arrive at
 * one instance thus counts the same as one whose requests arrive at all of
 * them.
 *
 * A customer waits for capacity with the requests in the queue and with those
 * that were refused a short time ago.  An instance that is overloaded refuses
 * connections unread; their customers are estimated from the requests that it
 * has read.
 */
#ifndef STATE_USAGE_SHARE_H
#define STATE_USAGE_SHARE_H

#include <stdint.h>
#include <uthash.h>

struct usage_share_entry
{
  uint64_t customer_id;
  double local_tokens; /**< served by this instance, decayed up to
                            `decayed_ns` */
  uint64_t decayed_ns;
  uint64_t peer_tokens;  /**< served by other instances, as reported */
  uint32_t waiting;      /**< requests queued at this instance */
  uint32_t peer_waiting; /**< usage_share_waiting() at other instances */
  double arrived;        /**< requests read here, decayed up to `demand_ns` */
  double refused; /**< requests refused here for lack of capacity, decayed */
  uint64_t demand_ns;
  uint64_t backlogged_ns; /**< since when many have waited; 0: few wait */
  UT_hash_handle hh;
};

struct usage_share
{
  struct usage_share_entry *customers; /**< uthash by customer_id */
  uint32_t window_ms;
};

void usage_share_init (struct usage_share *share, uint32_t window_ms);
void usage_share_finish (struct usage_share *share);

/** Finds or adds a customer; NULL when out of memory. */
struct usage_share_entry *usage_share_customer (struct usage_share *share,
                                                uint64_t customer_id);
/** Charges tokens to a customer; a negative number refunds them. */
void usage_share_charge (struct usage_share *share, uint64_t customer_id,
                         double tokens, uint64_t now_ns);
/** Count a request of a customer that was read, and one that was refused. */
void usage_share_count_arrived (struct usage_share *share,
                                uint64_t customer_id, uint64_t now_ns);
void usage_share_count_refused (struct usage_share *share,
                                uint64_t customer_id, uint64_t now_ns);
/** Counts requests that were refused unread, divided among the customers like
    the requests that were read. */
void usage_share_count_unread (struct usage_share *share, uint64_t requests,
                               uint64_t now_ns);
/** Requests of a customer at this instance that wait for capacity: those
    queued, and those refused within about a second. */
uint32_t usage_share_waiting (struct usage_share_entry *customer,
                              uint64_t now_ns);
/** Recent tokens served by this instance. */
uint64_t usage_share_local (const struct usage_share *share,
                            struct usage_share_entry *customer,
                            uint64_t now_ns);
/** Mean recent tokens over the fleet of the customers that wait for capacity,
    weighted by the number of those requests up to a limit; UINT64_MAX when no
    request waits. */
uint64_t usage_share_backlogged_mean (struct usage_share *share,
                                      uint64_t now_ns);
/** Usage above which a customer is not served: a multiple of the usage of the
    least served customer that has been backlogged for a while.  Keeps every
    customer below twice the usage of one that waits.  UINT64_MAX (no cap) if
    no customer is backlogged, or if no other waiting customer is below the
    cap, so that engines would idle.  Requests without a customer (0) are not
    charged, and do not count.  Records since when customers have been
    backlogged: call it several times a second. */
uint64_t usage_share_cap (struct usage_share *share, uint64_t now_ns);
/** Recent tokens over the fleet; 0 for an unknown customer. */
uint64_t usage_share_total (struct usage_share *share, uint64_t customer_id,
                            uint64_t now_ns);

#endif
