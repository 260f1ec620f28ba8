/**
 * @file fleet_int.h
 * State of the composed fleet, shared by its parts: what is sent
 * (fleet_send.c) and what is received (fleet_receive.c).
 */
#ifndef COORDINATION_FLEET_INT_H
#define COORDINATION_FLEET_INT_H

#include "coordination/backlog.h"
#include "coordination/fleet.h"
#include "coordination/report.h"
#include <uthash.h>

#define FLEET_NS_PER_MS       1000000ULL /**< nanoseconds */
#define FLEET_LOOK_MS         2          /**< between looks at own demand */
#define FLEET_URGENT_MS       20         /**< between urgent heartbeats */
#define FLEET_DETAILS_MS      500        /**< between fine changes of demand */
#define FLEET_FULL_MS         10000      /**< between full heartbeats */
#define FLEET_ACCOUNTS_MS     60000 /**< between sending all own accounts */
#define FLEET_FOLD_MS         60000 /**< after a restart, until accounts fold */
#define FLEET_FORGET_MS       3600000 /**< an instance that is gone */
#define FLEET_CONFIG_RETRY_MS 1000 /**< between requests for configuration */
#define FLEET_LEASE_GRACE_DIV 5    /**< grace is this part of a lease */
#define FLEET_ACCOUNTS_MAX    512  /**< entries of one message */

/** An instance whose link is up. */
struct fleet_peer
{
  uint64_t instance_id;
  uint64_t sequence; /**< of its newest heartbeat on this link */
  UT_hash_handle hh;
};

/** Lives of an instance that ended and whose accounts will be folded. */
struct fleet_ended
{
  struct ledger_origin origin;
  uint64_t due_ns;
  struct fleet_ended *next;
};

struct fleet
{
  struct fleet_config config;
  struct message_link link; /**< loops messages to this instance back */
  struct member_table members;
  struct lessor *lessor;
  struct lessee *lessee;
  struct backlog elsewhere;
  struct report report;
  struct fleet_peer *peers;
  struct fleet_ended *ended;
  uint64_t now_ns;        /**< of the call in progress */
  uint64_t sequence;      /**< of the newest heartbeat sent */
  uint64_t ledger_cursor; /**< own changes up to here were sent */
  uint64_t exchange_ns;   /**< next regular exchange */
  uint64_t details_ns;    /**< next fine changes of demand */
  uint64_t full_ns;       /**< next full heartbeat */
  uint64_t accounts_ns;   /**< all own accounts are next sent */
  uint64_t look_ns;       /**< next look at own demand */
  uint64_t urgent_ns;     /**< next urgent heartbeat, at the earliest */
  uint64_t config_ns;     /**< next request for configuration */
  bool lessor_due;        /**< demand or holds changed */
  bool slots_changed;     /**< since the last call of fleet_run */
  bool draining;
};

/** Sends a heartbeat to all peers, and this instance's own tables. */
int fleet_send_heartbeat (struct fleet *fleet, enum report_scope scope);
/** Sends own changed accounts to all peers, or all of them with the plain
    costs. */
int fleet_send_accounts (struct fleet *fleet, bool full);
/** Sends a peer that just came up all that is known. */
int fleet_send_snapshot (struct fleet *fleet, uint64_t instance_id);
/** Asks a peer for configuration newer than what is held here. */
void fleet_request_config (struct fleet *fleet, uint64_t instance_id,
                           uint64_t config_index);
/** The link of parts that also send to this instance itself.
    @param user struct fleet. */
int fleet_loop (void *user, uint64_t instance_id,
                const struct message *message);

#endif
