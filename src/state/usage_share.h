/**
 * @file usage_share.h
 * How much service each customer has had of late, over the whole fleet: this
 * instance's own, fading away over the window that shares are counted in,
 * and what the others said of theirs.  A customer whose requests all come in
 * at one instance thus counts like one that comes in everywhere.
 */
#ifndef STATE_USAGE_SHARE_H
#define STATE_USAGE_SHARE_H

#include <stdint.h>
#include <uthash.h>

struct usage_customer
{
  uint64_t customer_id;
  double own_tokens; /**< as of `faded_ns` */
  uint64_t faded_ns;
  uint64_t peer_tokens;
  uint32_t waiting;      /**< requests that wait here */
  uint32_t peer_waiting; /**< requests that wait at other instances */
  UT_hash_handle hh;
};

struct usage_share
{
  struct usage_customer *customers; /**< uthash by customer_id */
  uint32_t window_ms;
};

void usage_share_init (struct usage_share *share, uint32_t window_ms);
void usage_share_finish (struct usage_share *share);

/** Finds or adds a customer; NULL without memory. */
struct usage_customer *usage_share_customer (struct usage_share *share,
                                             uint64_t customer_id);
/** A customer is given service; negative when it is taken back. */
void usage_share_give (struct usage_share *share, uint64_t customer_id,
                       double tokens, uint64_t now_ns);
/** Own tokens of late. */
uint64_t usage_share_own (const struct usage_share *share,
                          struct usage_customer *customer, uint64_t now_ns);
/** Tokens of late that a customer has had on the mean, of those that wait
    anywhere in the fleet, each by how backlogged it is; UINT64_MAX when none
    waits. */
uint64_t usage_share_level (struct usage_share *share, uint64_t now_ns);
/** Tokens of late over the fleet; 0 for an unknown customer. */
uint64_t usage_share_used (struct usage_share *share, uint64_t customer_id,
                           uint64_t now_ns);

#endif
