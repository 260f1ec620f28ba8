/**
 * @file fleet_int.h
 * State of the fleet module, shared by its source files: fleet.c (timing),
 * fleet_send.c and fleet_receive.c.
 */
#ifndef COORDINATION_FLEET_INT_H
#define COORDINATION_FLEET_INT_H

#include "coordination/fleet.h"
#include "coordination/own_demand.h"
#include "coordination/peer_demand.h"
#include <uthash.h>

#define FLEET_NS_PER_MS       1000000ULL
#define FLEET_CHECK_MS        2       /**< between checks of own demand */
#define FLEET_URGENT_MS       20      /**< between urgent heartbeats */
#define FLEET_FINE_MS         500     /**< between fine changes of demand */
#define FLEET_FULL_MS         10000   /**< between full heartbeats */
#define FLEET_ACCOUNTS_MS     60000   /**< between sending all own accounts */
#define FLEET_AGGREGATE_MS    60000   /**< from a restart to aggregation */
#define FLEET_FORGET_MS       3600000 /**< until a gone instance is removed */
#define FLEET_CONFIG_RETRY_MS 1000 /**< between requests for configuration */
#define FLEET_LEASE_GRACE_DIV 5   /**< grace is a lease time divided by this */
#define FLEET_ACCOUNTS_MAX    512 /**< entries of one message */

/** An instance whose link is up. */
struct fleet_peer
{
  uint64_t instance_id;
  uint64_t sequence; /**< of its newest heartbeat on this link */
  UT_hash_handle hh;
};

/** Previous incarnation of an instance; its accounts are to be aggregated. */
struct fleet_incarnation
{
  struct ledger_origin origin;
  uint64_t aggregate_ns;
  struct fleet_incarnation *next;
};

struct fleet
{
  struct fleet_config config;
  struct message_sender sender; /**< own messages are delivered directly */
  struct member_table members;
  struct lessor *lessor;
  struct lessee *lessee;
  struct peer_demand demand_of_peers; /**< of the other instances */
  struct own_demand own_demand;
  struct fleet_peer *peers;
  struct fleet_incarnation *old_incarnations;
  uint64_t now_ns;           /**< time of the call in progress */
  uint64_t sequence;         /**< of the newest heartbeat sent */
  uint64_t ledger_cursor;    /**< own changes up to here have been sent */
  uint64_t next_exchange_ns; /**< next regular exchange */
  uint64_t next_fine_ns;     /**< next heartbeat with fine changes of demand */
  uint64_t next_full_ns;     /**< next full heartbeat */
  uint64_t next_accounts_ns; /**< next sending of all own accounts */
  uint64_t next_check_ns;    /**< next check of own demand */
  uint64_t next_urgent_ns;   /**< earliest next urgent heartbeat */
  uint64_t next_config_ns;   /**< earliest next request for configuration */
  bool lessor_due;           /**< demand or holds changed since the last run */
  bool slots_changed;        /**< since the last call of fleet_run */
  bool draining;
};

/** Sends a heartbeat to all peers, and applies it to this instance's lessor
    and lessee. */
int fleet_send_heartbeat (struct fleet *fleet, enum own_demand_scope scope);
/** Sends the own accounts that changed to all peers; with `full` all own
    accounts, with plain costs. */
int fleet_send_accounts (struct fleet *fleet, bool full);
/** Sends the full state to a peer whose link has come up. */
int fleet_send_snapshot (struct fleet *fleet, uint64_t instance_id);
/** Requests configuration from a peer when config_index is newer than what is
    held here, at most once per FLEET_CONFIG_RETRY_MS. */
void fleet_request_config (struct fleet *fleet, uint64_t instance_id,
                           uint64_t config_index);
/** Send function of the message_sender of lessor and lessee: delivers messages
    to this instance directly, and sends others to the peer.
    @param user struct fleet. */
int fleet_send_or_deliver (void *user, uint64_t instance_id,
                           const struct message *message);

#endif
