/**
 * @file memory_account.h
 * What clients make a process hold: heads, bodies and input that waits, unsent
 * output.  Every client that holds something is a holder in one account, which
 * is bounded by a share of the process's memory limit.
 *
 * Load pattern: clients that the operator does not control send many bodies of
 * legal size at once, whole or short of their end, and stay.  Each one is
 * within the limits; together they are more than the process has.
 *
 * A holder asks before it takes more.  Large requests leave a part of the
 * account to ordinary ones, and a customer may hold a multiple of what is
 * left free, so that the crowd of one customer always leaves room to others.
 * When there is no room, incomplete requests that have held most for longest
 * are given up, those of the asking customer and of customers that hold more;
 * requests that run are not.
 */
#ifndef STATE_MEMORY_ACCOUNT_H
#define STATE_MEMORY_ACCOUNT_H

#include <stdbool.h>
#include <stdint.h>
#include <uthash.h>

/** Customer of clients whose key is not known yet. */
#define MEMORY_ACCOUNT_UNKNOWN UINT64_MAX
/** Requests that hold at most this much are ordinary ones. */
#define MEMORY_ACCOUNT_ORDINARY_BYTES 262144
/** Time to arrive, after which an incomplete request may be given up. */
#define MEMORY_ACCOUNT_ARRIVAL_MS 1000

/** How a process's memory is divided. */
struct memory_shares
{
  uint64_t account_bytes;    /**< what clients may make it hold */
  uint64_t connection_bytes; /**< connections and their receive buffers */
};

enum memory_decision
{
  MEMORY_GRANTED,
  MEMORY_RECLAIM, /**< give up the victim, and ask again */
  MEMORY_CUSTOMER_FULL,
  MEMORY_FULL
};

/** Zero-initialise. */
struct memory_holder
{
  uint64_t bytes;
  uint64_t since_ns;                /**< when it began to arrive */
  bool arriving;                    /**< its request is incomplete */
  void *owner;                      /**< for whoever gives it up as a victim */
  struct memory_customer *customer; /**< NULL: it holds nothing */
  struct memory_holder *prev;       /**< of those that are arriving */
  struct memory_holder *next;
};

struct memory_account
{
  uint64_t limit_bytes;
  uint64_t held_bytes;
  uint64_t peak_bytes; /**< held since memory_account_trims() was true */
  struct memory_customer *customers; /**< uthash, private */
  struct memory_holder *arriving;    /**< private */
};

/** Divides the memory limit of a process. */
void memory_shares (uint64_t process_bytes, struct memory_shares *shares);

void memory_account_init (struct memory_account *account,
                          uint64_t limit_bytes);
/** All holders must have left. */
void memory_account_finish (struct memory_account *account);

/** Asks for what a holder is to hold in all, as a client of a customer.
    @param victim  set with MEMORY_RECLAIM.
    @return MEMORY_GRANTED if it holds that now. */
enum memory_decision memory_account_ask (struct memory_account *account,
                                         struct memory_holder *holder,
                                         uint64_t customer_id, uint64_t bytes,
                                         uint64_t now_ns,
                                         struct memory_holder **victim);
/** Records what a holder has taken or given back, whatever there is room
    for. */
void memory_account_set (struct memory_account *account,
                         struct memory_holder *holder, uint64_t bytes);

/** Candidate to be closed at the connection limit: the oldest holder whose
    request has not arrived within MEMORY_ACCOUNT_ARRIVAL_MS, or NULL. */
struct memory_holder *
memory_account_oldest (const struct memory_account *account, uint64_t now_ns);
/** Holders of the customer of a holder, with it. */
uint32_t memory_account_customer_holders (const struct memory_holder *holder);

/** The request of a holder begins to arrive, or has ended to. */
void memory_account_begin (struct memory_account *account,
                           struct memory_holder *holder, uint64_t now_ns);
void memory_account_arrived (struct memory_account *account,
                             struct memory_holder *holder);
/** Gives back all that a holder holds. */
void memory_account_leave (struct memory_account *account,
                           struct memory_holder *holder);

/** Whether little is left: what holders take without asking should be kept
    small. */
bool memory_account_short (const struct memory_account *account);

/** Whether enough was given back for the allocator to return it to the
    system.  To be called several times a second. */
bool memory_account_trims (struct memory_account *account);

#endif
