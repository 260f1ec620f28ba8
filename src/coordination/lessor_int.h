/**
 * @file lessor_int.h
 * Structures of the lessor.
 */
#ifndef COORDINATION_LESSOR_INT_H
#define COORDINATION_LESSOR_INT_H

#include "coordination/demand.h"
#include "coordination/lessor.h"
#include <stdbool.h>
#include <uthash.h>

#define LESSOR_NS_PER_MS UINT64_C (1000000)

/** What one instance may use of one upstream. */
struct lessor_lease
{
  uint64_t instance_id;
  bool known;         /**< it has said what it holds */
  uint32_t granted;   /**< newest grant, lowered by what was given back */
  uint32_t capacity;  /**< as it last said */
  uint32_t unsettled; /**< largest grant that it has not confirmed yet */
  uint64_t sequence;  /**< of the newest grant */
  uint64_t confirmed; /**< newest sequence that it has applied */
  uint64_t sent_turn; /**< full run in which the grant was last sent */
};

struct lessor_upstream
{
  uint64_t id;
  uint64_t service_id;
  uint32_t slots; /**< 0 while draining */
  uint32_t first; /**< index of its first slot among the service's */
  uint64_t since_ns;
  uint64_t epoch; /**< of the refresh that last found it here */
  struct lessor_lease *leases;
  uint32_t lease_count;
  UT_hash_handle hh;
};

/** Targets of a service, kept while they change by less than a slot. */
struct lessor_service
{
  uint64_t id;
  uint32_t slots;     /**< over usable upstreams, whoever their lessor is */
  uint32_t own_slots; /**< of those leased out here */
  struct share_target *targets;
  uint32_t target_count;
  UT_hash_handle hh;
};

/** An instance of the fleet, this one too. */
struct lessor_peer
{
  uint64_t instance_id;
  uint64_t incarnation;
  bool alive;    /**< messages reach it, as far as is known */
  bool eligible; /**< alive and taking requests */
  bool closed;   /**< its link was closed and it was not heard since */
  bool deaf;     /**< heard, but it answered nothing for too long */
  uint64_t unanswered_ns; /**< first message without an answer; 0: none */
  uint64_t heartbeat_sequence;
  uint64_t expires_ns; /**< its leases end, unless renewed; 0: has none */
  uint64_t renewed_ns; /**< last grant sent */
  struct message_grant_item *items; /**< to be sent */
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
  uint64_t turn;     /**< number of full runs */
  uint64_t epoch;
  uint64_t member_generation;
  uint64_t catalog_generation;
  uint64_t started_ns; /**< first run, or first after a pause */
  uint64_t run_ns;     /**< last run; 0 before */
  uint32_t alive_count;
  uint32_t known_count; /**< alive, or silent for not too long */
  bool restrained;      /**< on the smaller side of a partition, it seems */
  bool stirred;         /**< something changed since the last run */
  bool asking;          /**< some live instance is to be asked what it holds */
};

/** Lease of an instance; NULL when none. */
struct lessor_lease *lessor_lease_find (const struct lessor_upstream *upstream,
                                        uint64_t instance_id);
/** Lease of an instance, added when there is none; NULL without memory. */
struct lessor_lease *lessor_lease_get (struct lessor_upstream *upstream,
                                       uint64_t instance_id);
/** Slots that the lessee may still use. */
uint32_t lessor_lease_reserved (const struct lessor_lease *lease);
/** Notes that an instance was sent something that it is to answer. */
void lessor_peer_sent (struct lessor_peer *peer, uint64_t now_ns);
/** Whether an instance has not confirmed some grant. */
bool lessor_peer_owes (const struct lessor *lessor,
                       const struct lessor_peer *peer);
/** Slots that nobody may use. */
uint32_t lessor_upstream_free (const struct lessor_upstream *upstream);
/** Applies a hold item. @return true when it freed slots or was news. */
bool lessor_lease_hold (struct lessor_lease *lease,
                        const struct message_hold_item *item);
/** Grants `slots` and queues the message. @return 0 or ERR_NO_MEMORY. */
int lessor_lease_grant (struct lessor *lessor,
                        struct lessor_upstream *upstream,
                        struct lessor_peer *peer, struct lessor_lease *lease,
                        uint32_t slots);
/** Queues the newest grant again. @return 0 or ERR_NO_MEMORY. */
int lessor_lease_repeat (struct lessor *lessor,
                         const struct lessor_upstream *upstream,
                         struct lessor_peer *peer, struct lessor_lease *lease);
/** Lease time and grace, in nanoseconds. */
uint64_t lessor_lease_ns (const struct lessor *lessor);
/** Ends every lease of an instance; it is asked before its next grant. */
void lessor_lease_end (struct lessor *lessor, uint64_t instance_id);

struct lessor_peer *lessor_peer_find (const struct lessor *lessor,
                                      uint64_t instance_id);

/** Recomputes targets and moves slots towards them. */
int lessor_plan_full (struct lessor *lessor, uint64_t now_ns);
/** Gives free slots to instances that wait. */
int lessor_plan_free (struct lessor *lessor, uint64_t now_ns);

/** Whether slots of an upstream that look free may be granted. */
bool lessor_plan_ready (const struct lessor *lessor,
                        const struct lessor_upstream *upstream,
                        uint64_t now_ns);

/** Brings peers and upstreams in line with members and catalog. */
int lessor_refresh (struct lessor *lessor, uint64_t now_ns);

#endif
