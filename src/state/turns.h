/**
 * @file turns.h
 * Accounts of the limits that upstreams name (see rate_limit.h), kept by one
 * instance for each upstream.  Turns are given in the order in which instances
 * ask, one in each interval of the limit, and only a short time ahead: one
 * that is given late may meet the turns of another instance that has taken
 * over the account.  Turns that are not used come back.
 */
#ifndef STATE_TURNS_H
#define STATE_TURNS_H

#include <stdbool.h>
#include <stdint.h>
#include <uthash.h>

/** Account of one upstream. */
struct turns_account
{
  uint64_t upstream_id;
  uint64_t next_ns;     /**< when the next turn begins */
  uint64_t asked_ns;    /**< when it was last asked for one */
  uint32_t returned;    /**< turns that were given and not used */
  uint64_t returned_ns; /**< when the last one came back */
  UT_hash_handle hh;
};

/** Zero-initialise. */
struct turns
{
  struct turns_account *accounts; /**< uthash by upstream_id */
};

void turns_finish (struct turns *turns);

/** Asks for a turn.
    @param permille   the limit, in thousandths of a request a second; not 0.
    @param preferred  turns are given further ahead, and so before others.
    @param delay_ns   is set to the time until the turn, or, if there is none,
                      until one may be asked for.
    @return whether there is one. */
bool turns_take (struct turns *turns, uint64_t upstream_id, uint32_t permille,
                 bool preferred, uint64_t now_ns, uint64_t *delay_ns);
/** A turn that was given was not used: the next one who asks gets it. */
void turns_return (struct turns *turns, uint64_t upstream_id, uint64_t now_ns);
/** Removes accounts that were not asked for a while. */
void turns_expire (struct turns *turns, uint64_t now_ns);

#endif
