/**
 * @file neighbours_int.h
 * Private parts of neighbours: members, links, statements.
 */
#ifndef GATEWAY_NEIGHBOURS_INT_H
#define GATEWAY_NEIGHBOURS_INT_H

#include "coordination/hubs.h"
#include "coordination/message.h"
#include "gateway/mirror.h"
#include "gateway/neighbours.h"
#include "transport/peernet.h"
#include <uthash.h>

#define NEIGHBOURS_STATEMENT_MS 100 /**< a tenth of an objective */
/* Between a hub and what hangs on it, where bytes cost little: what is on its
   way to an engine is known in the zone before the next gateway chooses. */
#define NEIGHBOURS_NEAR_MS  25
#define NEIGHBOURS_KEY_SIZE (GATEWAY_NAME_SIZE + 64)

/** An instance whose link is up. */
struct neighbour
{
  uint64_t instance_id;
  bool hangs;               /**< on this one: it is sent what the store says */
  bool owed;                /**< a copy of the store's items */
  uint64_t heard_ns;        /**< its last statement */
  struct message_load load; /**< what it said last */
  UT_hash_handle hh;
};

/** An instance that the store lists. */
struct member_entry
{
  char key[NEIGHBOURS_KEY_SIZE];
  char address[GATEWAY_ADDRESS_SIZE];
  uint64_t id;
  uint64_t zone_id;
  uint32_t capacity;
  bool hub;
  bool offered; /**< its address, to dial */
  bool seen;    /**< in the listing being read */
  UT_hash_handle hh;
};

enum membership
{
  MEMBERSHIP_NONE,
  MEMBERSHIP_GRANTING,
  MEMBERSHIP_WRITING,
  MEMBERSHIP_HELD
};

struct neighbours
{
  struct gateway *gateway;
  struct peernet *net;
  struct feed feed; /**< of members */
  struct event *statement;
  unsigned int statements; /**< ticks of the statement's timer */
  struct event *membership_timer;
  enum membership membership;
  uint64_t lease;
  char key[NEIGHBOURS_KEY_SIZE];
  uint64_t self_id;
  uint64_t zone_id;
  struct member_entry *members; /**< uthash by key; this one, too */
  bool members_changed;
  bool listed; /**< members have been read once */
  bool hub;
  struct neighbour *peers; /**< uthash by instance_id */
  uint64_t start_ns;
  uint64_t fresh_ns;  /**< when a hub was fresh last */
  uint64_t aim_index; /**< of the store, that others had reached ... */
  uint64_t aim_ns;    /**< ... at this time */
  bool lags;          /**< others see the store, and this one does not */
  struct mirror mirror;
};

/* neighbours_members.c */
int neighbours_members_start (struct neighbours *neighbours);
void neighbours_members_finish (struct neighbours *neighbours);
/** An item under the prefix of members. */
void neighbours_member_item (struct neighbours *neighbours,
                             const struct platform_item *item);
/** Around a whole copy of them. */
void neighbours_members_begin (struct neighbours *neighbours);
void neighbours_members_end (struct neighbours *neighbours);
/** Works the hubs out anew, and dials whom this one must. */
void neighbours_assign (struct neighbours *neighbours);

/* neighbours_load.c */
/** Says to each peer what it must know of the others' load; `far`: to other
    hubs, too. */
void neighbours_state (struct neighbours *neighbours, bool far);
/** Takes what a peer said in place of what it said before; NULL: nothing. */
void neighbours_hear (struct neighbours *neighbours, struct neighbour *peer,
                      const struct message_load *load);

#endif
