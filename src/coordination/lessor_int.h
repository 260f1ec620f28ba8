/**
 * @file lessor_int.h
 * Internal structures and functions of the lessor.
 */
#ifndef COORDINATION_LESSOR_INT_H
#define COORDINATION_LESSOR_INT_H

#include "coordination/demand.h"
#include "coordination/lessor.h"
#include <stdbool.h>
#include <uthash.h>

#define LESSOR_NS_PER_MS UINT64_C (1000000)

/** Lease of one instance at one upstream. */
struct lessor_lease
{
  uint64_t instance_id;
  bool reported;               /**< it has reported what it holds */
  uint32_t granted;            /**< newest grant, less slots released since */
  uint32_t capacity;           /**< as it last reported */
  uint32_t unconfirmed_max;    /**< largest grant that it has not confirmed */
  uint64_t sequence;           /**< of the newest grant */
  uint64_t confirmed_sequence; /**< newest sequence that it has applied */
  uint64_t sent_full_run; /**< full run in which the grant was last sent */
};

struct lessor_upstream
{
  uint64_t id;
  uint64_t service_id;
  uint32_t slots;           /**< 0 while draining */
  uint32_t first_slot;      /**< index of its first slot among the service's */
  uint64_t lessor_since_ns; /**< since when this instance is its lessor */
  uint64_t last_refresh;    /**< number of the last refresh that found it */
  struct lessor_lease *leases;
  uint32_t lease_count;
  UT_hash_handle hh;
};

/** Targets of a service.  They are kept while they change by less than a
    slot. */
struct lessor_service
{
  uint64_t id;
  uint32_t slots;     /**< over usable upstreams of all lessors */
  uint32_t own_slots; /**< of those, leased out by this instance */
  struct share_target *targets;
  uint32_t target_count;
  UT_hash_handle hh;
};

/** An instance of the fleet; this instance is included. */
struct lessor_peer
{
  uint64_t instance_id;
  uint64_t incarnation;
  bool reachable; /**< messages are assumed to reach it */
  /** Reachable, and takes slots: its state is live, or it drains and some of
      its requests still wait. */
  bool eligible;
  bool link_closed;  /**< its link was closed; not heard from since */
  bool unresponsive; /**< sends heartbeats but has not answered in time */
  uint64_t unanswered_since_ns; /**< first unanswered message; 0: none */
  uint64_t heartbeat_sequence;
  uint64_t expires_ns;    /**< its leases expire unless renewed; 0: has none */
  uint64_t last_grant_ns; /**< time of the last grant message */
  struct message_grant_item *items; /**< items of the next grant message */
  uint32_t item_count;
  uint32_t item_capacity;
  UT_hash_handle hh;
};

struct lessor
{
  struct lessor_config config;
  struct demand_table demand;
  struct lessor_upstream *upstreams;
  struct lessor_service *services;
  struct lessor_peer *peers;
  uint64_t sequence; /**< of the newest grant */
  uint64_t full_run; /**< number of the last full run */
  uint64_t refresh;  /**< number of the last refresh */
  uint64_t member_generation;
  uint64_t catalog_generation;
  uint64_t started_ns;  /**< first run, or first run after a pause */
  uint64_t last_run_ns; /**< time of the last run; 0: none */
  uint32_t reachable_count;
  uint32_t recent_count; /**< reachable, or heard from recently */
  bool in_minority;      /**< probably in the smaller part of a partition */
  bool plan_due;         /**< demand or slots changed since the last run */
  bool query_due;        /**< some live instance must be queried */
};

/** Lease of an instance; NULL when there is none. */
struct lessor_lease *lessor_lease_find (const struct lessor_upstream *upstream,
                                        uint64_t instance_id);
/** Lease of an instance, added when there is none; NULL when out of
    memory. */
struct lessor_lease *lessor_lease_get (struct lessor_upstream *upstream,
                                       uint64_t instance_id);
/** Slots that the lessee may still use. */
uint32_t lessor_lease_reserved (const struct lessor_lease *lease);
/** Records that an instance was sent a message that requires an answer. */
void lessor_peer_expect_answer (struct lessor_peer *peer, uint64_t now_ns);
/** Whether an instance has a grant that it has not confirmed. */
bool lessor_peer_has_unconfirmed (const struct lessor *lessor,
                                  const struct lessor_peer *peer);
/** Slots that are not reserved by any lease. */
uint32_t lessor_upstream_free_slots (const struct lessor_upstream *upstream);
/** Applies a hold item.
    @return true when it freed slots or was the first one of the lease. */
bool lessor_lease_apply_hold (struct lessor_lease *lease,
                              const struct message_hold_item *item);
/** Grants `slots` and queues the grant for sending.
    @return 0 or ERR_NO_MEMORY. */
int lessor_lease_grant (struct lessor *lessor,
                        struct lessor_upstream *upstream,
                        struct lessor_peer *peer, struct lessor_lease *lease,
                        uint32_t slots);
/** Queues the newest grant for sending again. @return 0 or ERR_NO_MEMORY. */
int lessor_lease_resend (struct lessor *lessor,
                         const struct lessor_upstream *upstream,
                         struct lessor_peer *peer, struct lessor_lease *lease);
/** Lease time and grace, in nanoseconds. */
uint64_t lessor_lease_timeout_ns (const struct lessor *lessor);
/** Ends all leases of an instance; it is queried before its next grant. */
void lessor_lease_end_all (struct lessor *lessor, uint64_t instance_id);

struct lessor_peer *lessor_peer_find (const struct lessor *lessor,
                                      uint64_t instance_id);

/** Recomputes the targets and moves slots towards them. */
int lessor_plan_full (struct lessor *lessor, uint64_t now_ns);
/** Grants free slots to instances with waiting requests. */
int lessor_plan_free_slots (struct lessor *lessor, uint64_t now_ns);

/** Whether free slots of an upstream may be granted: false while another
    instance may still use some of them. */
bool lessor_plan_may_grant (const struct lessor *lessor,
                            const struct lessor_upstream *upstream,
                            uint64_t now_ns);

/** Updates peers and upstreams from the members and the catalog. */
int lessor_refresh (struct lessor *lessor, uint64_t now_ns);

#endif
