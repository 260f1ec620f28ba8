/**
 * @file member.h
 * Instances of the fleet as this one sees them.  Only heartbeats say who is
 * alive; the platform's list and the settings only name addresses.
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
  MEMBER_SUSPECT, /**< keeps its leases, gets no new ones */
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
  enum message_state state;
  enum member_status status;
  bool link_down;        /**< its link was closed: gone as soon as suspect */
  uint64_t heard_ns;     /**< time of the last heartbeat */
  uint64_t config_index; /**< newest that it said it holds */
  UT_hash_handle hh;
};

struct member_table
{
  struct member *members; /**< uthash by instance_id; includes this one */
  uint64_t self_id;
  uint32_t interval_ms; /**< between heartbeats */
  uint64_t generation;  /**< increases when the lessor set changes */
};

/** @param self copied; always alive. @return 0 or ERR_NO_MEMORY. */
int member_init (struct member_table *table, const struct member *self,
                 uint32_t interval_ms);
void member_finish (struct member_table *table);

/** Notes a peer's hello. @return 0, ERR_STALE for an older incarnation,
    ERR_EXISTS for this instance's own name, ERR_NO_MEMORY. */
int member_hello (struct member_table *table,
                  const struct message_hello *hello, uint64_t now_ns);

/** Notes a heartbeat. @return 0 or ERR_NOT_FOUND. */
int member_heartbeat (struct member_table *table, uint64_t instance_id,
                      const struct message_heartbeat *heartbeat,
                      uint64_t now_ns);

/** Ages one member. @return true when its status changed. */
bool member_age (struct member_table *table, uint64_t instance_id,
                 uint64_t now_ns);

/** Notes that the link to an instance was closed. */
void member_link_down (struct member_table *table, uint64_t instance_id);

/** Ages members. @return true when any status changed. */
bool member_tick (struct member_table *table, uint64_t now_ns);

/** Sets this instance's own state. */
void member_set_state (struct member_table *table, enum message_state state);

/** Forgets an instance; this one is kept. */
void member_remove (struct member_table *table, uint64_t instance_id);

const struct member *member_find (const struct member_table *table,
                                  uint64_t instance_id);

/** The member that leases out an upstream's slots: the rendezvous hash over
    members that are alive or suspect and in MESSAGE_LIVE; this instance when
    there is none. */
uint64_t member_lessor (const struct member_table *table,
                        uint64_t upstream_id);

#endif
