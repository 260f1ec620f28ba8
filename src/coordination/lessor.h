/**
 * @file lessor.h
 * Leases the slots of upstreams to instances.  A slot is the right to have one
 * request in flight at an upstream.  Each upstream has one lessor, the
 * instance that grants its slots; every instance that receives grants, the
 * lessor itself included, is a lessee.  For each upstream, the sum over
 * lessees of slots that any of them may still use never exceeds the configured
 * slots: a grant that is reduced counts at its old size until the lessee has
 * confirmed the new one or the lease has expired at the lessor.
 *
 * An instance that becomes lessor of an upstream queries every live instance
 * for the slots that it holds there, and grants these slots unchanged.  It
 * increases no grant until all have answered, or until a lease time and the
 * grace have passed, whichever comes first.  A member that becomes alive is
 * queried before its first grant.
 *
 * When the link to an instance is closed, the instance has most likely ended:
 * its leases expire after the grace unless a heartbeat arrives.  An instance
 * that is silent keeps its leases for their full time, since it may be
 * partitioned and still serve requests.  An instance that sends heartbeats but
 * answers no messages apparently receives none; it counts as silent from the
 * first message that it did not answer.  A lessor that is in contact with half
 * of the members or fewer is probably in the smaller part of a partition.  For
 * LESSOR_PARTITION_MS after it last heard from the others it leases out only
 * the corresponding fraction of the slots, so that both parts together do not
 * use them twice.
 *
 * Messages to this instance itself also go through the message_sender; the
 * caller delivers them back.
 */
#ifndef COORDINATION_LESSOR_H
#define COORDINATION_LESSOR_H

#include "coordination/member.h"
#include "coordination/message.h"
#include "state/catalog.h"
#include "state/ledger.h"
#include "state/share.h"
#include <stdbool.h>
#include <stdint.h>

#define LESSOR_PARTITION_MS 30000 /**< since a member was last heard from */

struct lessor_config
{
  uint32_t lease_ms; /**< time for which a lessee may use a grant */
  uint32_t grace_ms; /**< added before the lessor reuses the slots */
  uint64_t payback;  /**< see share_compute_targets */
  /** An instance that has just started and sees fewer other live members than
      this waits a lease time and the grace before its first grant, since it
      may not see all other lessors yet. 0 for a fleet of one. */
  uint32_t peers_expected;
  const struct share_policy *policy; /**< NULL: share_fleet */
  const struct catalog *catalog;
  struct ledger *ledger;
  const struct member_table *members;
};

struct lessor;

struct lessor *lessor_new (const struct lessor_config *config);
void lessor_free (struct lessor *lessor);

/** Applies the demand in an instance's heartbeat, including the heartbeats
    of this instance.  Unless the heartbeat is full, only the listed pairs
    change. */
int lessor_receive_heartbeat (struct lessor *lessor, uint64_t instance_id,
                              const struct message_heartbeat *heartbeat);

/** Processes a hold message, in which a lessee reports the slots that it
    holds. */
int lessor_receive_hold (struct lessor *lessor, uint64_t instance_id,
                         const struct message_hold *hold, uint64_t now_ns);

/** Handles the loss of the link to an instance. */
void lessor_link_down (struct lessor *lessor, uint64_t instance_id,
                       uint64_t now_ns);

/** Removes the demand of an instance that is gone or has restarted.  Its
    leases expire at their time. */
void lessor_instance_gone (struct lessor *lessor, uint64_t instance_id);

/**
 * Sends the grants that changed.  A full run first recomputes the targets, and
 * also renews leases.
 * @param full  true once per exchange interval; false after a hold or a
 *              heartbeat, when only free slots are granted, to instances with
 *              waiting requests.
 */
int lessor_run (struct lessor *lessor, uint64_t now_ns, bool full,
                const struct message_sender *sender);

/** Whether no other instance is reachable, though some were heard from within
    LESSOR_PARTITION_MS.  Such an instance should not be lessor to others. */
bool lessor_is_isolated (const struct lessor *lessor);

/** Slots of an upstream that lessees may still use; for tests and status. */
uint32_t lessor_reserved (const struct lessor *lessor, uint64_t upstream_id);

/** Requests of a service that wait anywhere in the fleet, as last reported. */
uint32_t lessor_fleet_waiting (const struct lessor *lessor,
                               uint64_t service_id);

#endif
