/**
 * @file member.h
 * Membership table: the instances of the fleet as this instance sees them.
 * Liveness is derived only from hellos, heartbeats and closed links; the
 * platform's instance list and the settings only supply addresses.
 */
#ifndef COORDINATION_MEMBER_H
#define COORDINATION_MEMBER_H

#include "coordination/message.h"
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <uthash.h>

#define MEMBER_SUSPECT_INTERVALS 3  /**< missed heartbeats until suspect */
#define MEMBER_GONE_INTERVALS    10 /**< missed heartbeats until gone */

enum member_status
{
  MEMBER_ALIVE,
  MEMBER_SUSPECT, /**< keeps its leases but gets no new ones */
  MEMBER_GONE,
  MEMBER_STATUS_MAX
};

struct member
{
  uint64_t instance_id; /**< catalog_id of the instance's name */
  char instance[CATALOG_NAME_SIZE];
  char availability_zone[CATALOG_NAME_SIZE];
  char address[CATALOG_ADDRESS_SIZE];
  uint64_t incarnation;
  enum message_instance_state state;
  enum member_status status;
  bool link_down;         /**< link closed: next status is gone, not suspect */
  uint64_t last_heard_ns; /**< time of the last hello or heartbeat */
  uint64_t config_index;  /**< newest configuration that it reported */
  UT_hash_handle hh;
};

struct member_table
{
  struct member *members; /**< uthash by instance_id; includes this instance */
  uint64_t self_id;
  uint32_t interval_ms; /**< between heartbeats */
  uint64_t generation;  /**< incremented when the possible lessors change */
};

/** Creates a table with this instance as its only member.  Its own status is
    always MEMBER_ALIVE.
    @param self copied.
    @return 0 or ERR_NO_MEMORY. */
int member_init (struct member_table *table, const struct member *self,
                 uint32_t interval_ms);
void member_finish (struct member_table *table);

/** Records the hello of a peer.
    @return 0, ERR_STALE for an older incarnation, ERR_EXISTS for this
    instance's own name, ERR_NO_MEMORY. */
int member_receive_hello (struct member_table *table,
                          const struct message_hello *hello, uint64_t now_ns);

/** Records a heartbeat. @return 0 or ERR_NOT_FOUND. */
int member_receive_heartbeat (struct member_table *table, uint64_t instance_id,
                              const struct message_heartbeat *heartbeat,
                              uint64_t now_ns);

/** Lowers the status of one member according to the time since its last
    heartbeat.
    @return true when the status changed. */
bool member_update_status (struct member_table *table, uint64_t instance_id,
                           uint64_t now_ns);

/** Records that the link to an instance was closed. */
void member_link_down (struct member_table *table, uint64_t instance_id);

/** Calls member_update_status for every member.
    @return true when any status changed. */
bool member_update_all (struct member_table *table, uint64_t now_ns);

/** Sets the state of this instance. */
void member_set_state (struct member_table *table,
                       enum message_instance_state state);

/** Removes an instance; does nothing for this instance itself. */
void member_remove (struct member_table *table, uint64_t instance_id);

const struct member *member_find (const struct member_table *table,
                                  uint64_t instance_id);

/** Lessor of an upstream: the member that leases out its slots.  Chosen by
    rendezvous hashing among the members in state MESSAGE_INSTANCE_LIVE that
    are alive or suspect; this instance when there are none. */
uint64_t member_lessor (const struct member_table *table,
                        uint64_t upstream_id);

#endif
