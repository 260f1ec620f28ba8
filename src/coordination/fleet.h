/**
 * @file fleet.h
 * What the instances of a fleet do together, composed: membership, accounts,
 * leases and configuration.  Pure: time and messages in, messages out through
 * a message_link.
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

/** Told of what the coordination layer itself does not log. */
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
  uint32_t members_expected;         /**< other instances, see lessor_config */
  const struct share_policy *policy; /**< NULL: share_fleet */
  struct catalog *catalog;           /**< not owned */
  struct ledger *ledger;             /**< not owned */
  struct slots *slots;               /**< not owned */
  struct dispatch *dispatch;         /**< not owned; source of demand */
  struct confsync *confsync;         /**< not owned; NULL in some tests */
  struct message_link link;          /**< to peers */
  struct fleet_observer observer;    /**< its function may be NULL */
};

struct fleet;

struct fleet *fleet_new (const struct fleet_config *config);
void fleet_free (struct fleet *fleet);

/** A peer's link is up and proved; sends it a full state. */
int fleet_peer_up (struct fleet *fleet, const struct message_hello *hello,
                   uint64_t now_ns);
void fleet_peer_down (struct fleet *fleet, uint64_t instance_id,
                      uint64_t now_ns);

/** A message from a proved peer. @return 1 when slots here changed (raise
    DISPATCH_CAPACITY), 0, or an error. */
int fleet_receive (struct fleet *fleet, uint64_t instance_id,
                   const struct message *message, uint64_t now_ns);

/** Call after each batch of dispatch events and at least every 10 ms while
    requests wait: urgent demand and releases go out at once, the rest each
    exchange interval. @return 1 when slots here changed, 0, or an error. */
int fleet_run (struct fleet *fleet, uint64_t now_ns);

/** Stops granting and being granted; peers are told. */
void fleet_drain (struct fleet *fleet, uint64_t now_ns);

/** The catalog or the set of upstreams changed. */
void fleet_catalog_changed (struct fleet *fleet, uint64_t now_ns);

/** Configuration here became newer: the next run tells peers. */
void fleet_config_changed (struct fleet *fleet);

/** Replaces the source of configuration; NULL for none. */
void fleet_set_confsync (struct fleet *fleet, struct confsync *confsync);

/** What waits elsewhere in the fleet; for dispatch_config.
    @param user struct fleet. */
void fleet_backlog (const void *user, uint64_t customer_id,
                    uint64_t service_id, uint64_t reserve,
                    struct dispatch_backlog *out);

const struct lessor *fleet_lessor (const struct fleet *fleet);
const struct member_table *fleet_members (const struct fleet *fleet);

#endif
