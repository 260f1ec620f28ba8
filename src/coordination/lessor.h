/**
 * @file lessor.h
 * Leases the slots of the upstreams that this instance is responsible for.
 * For each upstream the sum over lessees of slots that any of them may still
 * use never exceeds its configured slots: a smaller grant counts at its old
 * size until the lessee has confirmed it, or its lease has run out here.
 *
 * A lessor that becomes responsible for an upstream asks every live instance
 * what it holds there, takes that over as granted, and raises nobody before
 * all have answered or a lease time and the grace have passed.  An instance
 * that becomes alive is asked before its first grant.
 *
 * An instance whose link was closed has most likely ended: its leases run out
 * after the grace unless it is heard again.  One that is silent keeps its
 * leases to their time, since it may be cut off and at work.  One that is
 * heard but answers no grant does not hear, and counts as silent from the
 * first grant that it did not answer.  A lessor that
 * hears half of the members or fewer is likely on the smaller side of a
 * partition: for LESSOR_RESTRAINT_MS it leases out only that part of the
 * slots, so that the two sides together do not use them twice.
 *
 * Messages to this instance itself go through the link too; the caller loops
 * them back.
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

#define LESSOR_RESTRAINT_MS 30000 /**< after members were last heard */

struct lessor_config
{
  uint32_t lease_ms; /**< that a lessee may use a grant */
  uint32_t grace_ms; /**< that the lessor waits longer than that */
  uint64_t payback;  /**< see share_compute */
  /** A cold instance that sees fewer other live members than this waits a
      lease time and the grace before its first grant, as it may not yet see
      who else leases.  0 for a fleet of one. */
  uint32_t members_expected;
  const struct share_policy *policy; /**< NULL: share_fleet */
  const struct catalog *catalog;
  struct ledger *ledger;
  const struct member_table *members;
};

struct lessor;

struct lessor *lessor_new (const struct lessor_config *config);
void lessor_free (struct lessor *lessor);

/** Replaces what is known of an instance's demand (changed pairs only unless
    the heartbeat is full).  Self reports here too. */
int lessor_demand (struct lessor *lessor, uint64_t instance_id,
                   const struct message_heartbeat *heartbeat);

/** A lessee's report of what it holds. */
int lessor_hold (struct lessor *lessor, uint64_t instance_id,
                 const struct message_hold *hold, uint64_t now_ns);

/** The link to an instance was closed. */
void lessor_link_down (struct lessor *lessor, uint64_t instance_id,
                       uint64_t now_ns);

/** An instance is gone or restarted; its leases end at their time. */
void lessor_instance_gone (struct lessor *lessor, uint64_t instance_id);

/**
 * Recomputes targets and sends grants that changed, and renewals.
 * @param full  true each exchange interval; false after a hold or a demand,
 *              when only free slots are given to instances that wait.
 */
int lessor_run (struct lessor *lessor, uint64_t now_ns, bool full,
                const struct message_link *link);

/** Whether no other instance hears this one or is heard by it, though some
    were not long ago.  Such an instance should not be lessor to others. */
bool lessor_is_alone (const struct lessor *lessor);

/** Slots of an upstream that lessees may still use; for tests and status. */
uint32_t lessor_reserved (const struct lessor *lessor, uint64_t upstream_id);

/** Requests of a service waiting anywhere in the fleet, as last heard. */
uint32_t lessor_fleet_waiting (const struct lessor *lessor,
                               uint64_t service_id);

#endif
