/**
 * @file fleet.h
 * Combines membership, accounts, leases and configuration into the
 * coordination of a fleet.  Does no I/O and reads no clock: the caller passes
 * in the time and the messages received, and messages are sent through a
 * message_sender.
 */
#ifndef COORDINATION_FLEET_H
#define COORDINATION_FLEET_H

#include "coordination/confsync.h"
#include "coordination/lessee.h"
#include "coordination/lessor.h"
#include "coordination/member.h"
#include "coordination/message.h"
#include "state/dispatch.h"
#include "state/ledger.h"
#include "state/slots.h"
#include <stdbool.h>
#include <stdint.h>

/** Callbacks for events that the coordination layer does not log itself. */
struct fleet_observer
{
  /** An instance became alive, suspect or gone. */
  void (*member_status) (void *user, const struct member *member);
  void *user;
};

struct fleet_config
{
  struct member self;
  uint32_t exchange_interval_ms; /**< between heartbeats */
  uint32_t lease_ms;
  uint64_t payback;
  uint32_t peers_expected;           /**< other instances, see lessor_config */
  const struct share_policy *policy; /**< NULL: share_fleet */
  struct catalog *catalog;           /**< not owned */
  struct ledger *ledger;             /**< not owned */
  struct slots *slots;               /**< not owned */
  struct dispatch *dispatch;         /**< not owned; source of demand */
  struct confsync *confsync;         /**< not owned; NULL in some tests */
  struct message_sender sender;      /**< to peers */
  struct fleet_observer observer;    /**< its function may be NULL */
};

struct fleet;

struct fleet *fleet_new (const struct fleet_config *config);
void fleet_free (struct fleet *fleet);

/** Adds a peer whose link is up and authenticated, and sends it the full
    state. */
int fleet_peer_up (struct fleet *fleet, const struct message_hello *hello,
                   uint64_t now_ns);
void fleet_peer_down (struct fleet *fleet, uint64_t instance_id,
                      uint64_t now_ns);

/** Processes a message from an authenticated peer.
    @return 1 when slots of this instance changed (the caller raises
    DISPATCH_CAPACITY_CHANGED), 0, or an error. */
int fleet_receive (struct fleet *fleet, uint64_t instance_id,
                   const struct message *message, uint64_t now_ns);

/** Runs everything that is due.  Call after each batch of dispatch events, and
    at least every 10 ms while requests wait: urgent demand and released slots
    are sent at once, the rest once per exchange interval.
    @return 1 when slots of this instance changed, 0, or an error. */
int fleet_run (struct fleet *fleet, uint64_t now_ns);

/** Starts to drain, which the next run announces to peers.  This instance
    grants no slots any more if another one can, takes slots until none of its
    requests waits, and then releases all that are not busy. */
void fleet_drain (struct fleet *fleet, uint64_t now_ns);

/** Handles a change of the catalog or of the set of upstreams. */
void fleet_catalog_changed (struct fleet *fleet, uint64_t now_ns);

/** Handles newer configuration on this instance: the next run announces it to
    peers. */
void fleet_config_changed (struct fleet *fleet);

/** Sends a message to all peers. */
void fleet_broadcast (struct fleet *fleet, const struct message *message);

/** Replaces the source of configuration; NULL for none. */
void fleet_set_confsync (struct fleet *fleet, struct confsync *confsync);

/** Requests that wait at other instances; callback for dispatch_config.
    @param user struct fleet. */
void fleet_peer_demand (const void *user, uint64_t customer_id,
                        uint64_t service_id, uint64_t reserve,
                        struct dispatch_peer_demand *out);

const struct lessor *fleet_lessor (const struct fleet *fleet);
const struct member_table *fleet_members (const struct fleet *fleet);

#endif
