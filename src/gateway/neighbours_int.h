/**
 * @file neighbours_int.h
 * Internals of links to other gateways: members, peers, load reports.
 */
#ifndef GATEWAY_NEIGHBOURS_INT_H
#define GATEWAY_NEIGHBOURS_INT_H

#include "coordination/hubs.h"
#include "coordination/message.h"
#include "gateway/mirror.h"
#include "gateway/neighbours.h"
#include "transport/peernet.h"
#include <uthash.h>

#define NEIGHBOURS_REPORT_MS 100 /**< a tenth of a latency objective */
/* Between a hub and its subscribers, where traffic is cheap: requests on their
   way to an upstream are known in the zone before the next gateway selects
   one. */
#define NEIGHBOURS_ZONE_REPORT_MS 25
#define NEIGHBOURS_KEY_SIZE       (GATEWAY_NAME_SIZE + 64)

/** An instance with a working link. */
struct neighbour
{
  uint64_t instance_id;
  bool subscribed;          /**< to the store's items at this instance */
  bool snapshot_pending;    /**< of the store's items, to be sent */
  uint64_t report_ns;       /**< time of its last load report */
  struct message_load load; /**< its last load report */
  UT_hash_handle hh;
};

/** An instance registered in the store. */
struct member_entry
{
  char key[NEIGHBOURS_KEY_SIZE];
  char address[GATEWAY_ADDRESS_SIZE];
  uint64_t id;
  uint64_t zone_id;
  uint32_t capacity;
  bool hub;
  bool dialing; /**< its address was given to peernet to dial */
  bool seen;    /**< in the current listing */
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
  struct store_watch member_watch; /**< watches members */
  struct event *report_timer;
  unsigned int report_ticks; /**< ticks of report_timer */
  struct event *membership_timer;
  enum membership membership;
  uint64_t lease;
  char key[NEIGHBOURS_KEY_SIZE];
  uint64_t self_id;
  uint64_t zone_id;
  struct member_entry *members; /**< uthash by key; includes this one */
  bool members_changed;
  bool members_listed; /**< a listing of members was completed */
  bool hub;
  struct neighbour *peers; /**< uthash by instance_id */
  uint64_t start_ns;
  uint64_t hub_fresh_ns;        /**< when a hub's view was last fresh */
  uint64_t peer_store_index;    /**< newest store index known to peers ... */
  uint64_t peer_store_index_ns; /**< ... when it was last taken from them */
  bool store_lags;              /**< this one's view is behind the peers' */
  struct mirror mirror;
};

/* neighbours_members.c */
int neighbours_members_start (struct neighbours *neighbours);
void neighbours_members_finish (struct neighbours *neighbours);
/** Applies an item under the prefix of members. */
void neighbours_apply_member (struct neighbours *neighbours,
                              const struct platform_item *item);
/** Bracket a complete listing or snapshot of members. */
void neighbours_listing_begin (struct neighbours *neighbours);
void neighbours_listing_end (struct neighbours *neighbours);
/** Determines the hubs, and dials those that this instance links to. */
void neighbours_assign_hubs (struct neighbours *neighbours);

/* neighbours_load.c */
/** Sends load reports to peers; a hub reports to other hubs only if
    `to_hubs`. */
void neighbours_send_reports (struct neighbours *neighbours, bool to_hubs);
/** Replaces a peer's last load report; NULL: removes it. */
void neighbours_set_report (struct neighbours *neighbours,
                            struct neighbour *peer,
                            const struct message_load *load);

#endif
