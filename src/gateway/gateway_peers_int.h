/**
 * @file gateway_peers_int.h
 * Internals of links to other gateways: members, peers, load reports.
 */
#ifndef GATEWAY_GATEWAY_PEERS_INT_H
#define GATEWAY_GATEWAY_PEERS_INT_H

#include "coordination/hubs.h"
#include "coordination/message.h"
#include "gateway/gateway_peers.h"
#include "gateway/mirror.h"
#include "transport/peernet.h"
#include <uthash.h>

/* Between hubs.  In a full mesh all requests on their way are known as soon as
   in a zone with hubs; the hubs of a large fleet send each other more. */
#define GATEWAY_PEERS_MESH_REPORT_MS 25
#define GATEWAY_PEERS_REPORT_MS      100 /**< a tenth of a latency objective */
/* Between a hub and its subscribers, where traffic is cheap: requests on their
   way to an upstream are known in the zone before the next gateway selects
   one. */
#define GATEWAY_PEERS_ZONE_REPORT_MS 25
#define GATEWAY_PEERS_KEY_SIZE       (2 * GATEWAY_NAME_SIZE + 64)

/** Times of a peer's reports that are kept: of as many as come while hubs hear
    of each other. */
#define GATEWAY_PEERS_STAMPS 32

/** When a peer sent a report, by its clock, and when that arrived, by this
    one's. */
struct gateway_peers_stamp
{
  uint64_t sent_ms;
  uint64_t received_ns;
};

/** An instance with a working link. */
struct gateway_peer
{
  uint64_t instance_id;
  char instance[CATALOG_NAME_SIZE];
  bool requested;        /**< it forwards store items to this instance */
  bool subscribed;       /**< this instance forwards store items to it */
  bool snapshot_pending; /**< it has still to be sent all store items */
  uint64_t report_ns;    /**< time of its last load report */
  struct gateway_peers_stamp stamps[GATEWAY_PEERS_STAMPS]; /**< a ring */
  uint64_t stamp_count;     /**< received so far */
  uint64_t confirmed_ns;    /**< what it knew at this time was received */
  struct message_load load; /**< its last load report */
  uint64_t suspects_sent;   /**< sequence of the last quarantine rows sent */
  uint64_t suspects_new_until; /**< as streams_new_until */
  uint64_t streams_sent;       /**< sequence of the last stream rows sent */
  uint64_t streams_new_until;  /**< rows up to this sequence are sent whole:
                                    its link is new, it may know none */
  UT_hash_handle hh;
};

/** An instance registered in the store. */
struct gateway_peers_member
{
  char key[GATEWAY_PEERS_KEY_SIZE];
  char address[GATEWAY_ADDRESS_SIZE];
  uint64_t id;
  uint64_t zone_id;
  uint32_t capacity;
  bool hub;
  bool dialing; /**< its address was given to peernet to dial */
  bool seen;    /**< in the current listing */
  bool missing; /**< the store lacks it, which may be temporary */
  UT_hash_handle hh;
};

enum membership
{
  MEMBERSHIP_NONE,
  MEMBERSHIP_GRANTING,
  MEMBERSHIP_WRITING,
  MEMBERSHIP_HELD
};

struct gateway_peers
{
  struct gateway *gateway;
  struct peernet *net;
  struct store_watch member_watch; /**< watches members */
  struct event *report_timer;
  unsigned int report_ticks; /**< ticks of report_timer */
  struct event *membership_timer;
  enum membership membership;
  uint64_t lease;
  struct digits lease_era; /**< era of the store that granted the lease */
  uint64_t renewal_start_ns;
  uint64_t renewed_ns; /**< start of the last grant or renewal that
                           succeeded */
  char key[GATEWAY_PEERS_KEY_SIZE];
  /** Prefix of the entries of this availability zone. */
  char zone_prefix[GATEWAY_PEERS_KEY_SIZE];
  uint64_t self_id;
  uint64_t zone_id;
  struct gateway_peers_member *members; /**< by key; includes this one */
  bool members_changed;
  bool members_listed; /**< a listing of all members was completed */
  bool zone_listed;    /**< one of those of this availability zone was */
  /** Until then, members that the store lacks are kept: after an outage or a
      restore, those that are alive register again. */
  uint64_t members_kept_until_ns;
  bool hub;
  uint32_t zone_out_count; /**< other instances of this availability zone that
                                are out of the load balancer's rotation */
  struct gateway_peer *linked_peers; /**< uthash by instance_id */
  uint64_t start_ns;
  uint64_t confirmed_ns;    /**< gateway_peers_confirmed_ns() as of the last
                                 round of reports */
  bool asked;               /**< by a subscriber: other hubs are asked */
  bool asked_by_hub;        /**< other hubs get the next report at once */
  bool asks;                /**< this round of reports asks for answers */
  uint64_t hub_expected_ns; /**< since when a first view of a hub is
                               expected */
  uint64_t view_ns; /**< time of the newest view of a hub; 0: none yet */
  /** Position that this instance has to reach: the newest one reported by
      peers when it had reached the previous one. */
  struct store_position peer_position;
  uint64_t peer_position_ns; /**< when peer_position was last set */
  bool store_lags;           /**< this one's view is behind the peers' */
  struct mirror mirror;
};

/* gateway_peers_members.c */
int gateway_peers_members_start (struct gateway_peers *peers);
void gateway_peers_members_finish (struct gateway_peers *peers);
/** Applies an item under the prefix of members. */
void gateway_peers_apply_member (struct gateway_peers *peers,
                                 const struct kvstore_item *item);
/** Bracket a complete listing or snapshot of members. */
void gateway_peers_listing_begin (struct gateway_peers *peers);
void gateway_peers_listing_end (struct gateway_peers *peers);
/** Removes missing members that have not registered again in time. */
void gateway_peers_expire_members (struct gateway_peers *peers);
/** Determines the hubs, and dials those that this instance links to. */
void gateway_peers_assign_hubs (struct gateway_peers *peers);
/** Watches the entries of all members in the store. */
void gateway_peers_watch_members (struct gateway_peers *peers);

/* gateway_peers.c */
/** Brings the subscriptions on all links in line with the hubs. */
void gateway_peers_update_subscriptions (struct gateway_peers *peers);

/** Whether an instance is a hub, as far as known. */
bool gateway_peers_knows_hub (const struct gateway_peers *peers,
                              uint64_t instance_id);

/** The peer with this id; NULL without a link. */
struct gateway_peer *gateway_peers_find (const struct gateway_peers *peers,
                                         uint64_t instance_id);

/* gateway_peers_confirm.c */
/** A link to the peer is new. */
void gateway_peers_confirm_reset (struct gateway_peer *peer);
/** A report has arrived. */
void gateway_peers_confirm_receive (struct gateway_peers *peers,
                                    struct gateway_peer *peer,
                                    const struct message_load *load);
/** A round of reports begins.
    @param to_hubs  whether a hub's report to other hubs is due.
    @return whether they get one. */
bool gateway_peers_confirm_begin (struct gateway_peers *peers, bool to_hubs);
/** Sets the times of a report to a peer. */
void gateway_peers_confirm_send (const struct gateway_peers *peers,
                                 const struct gateway_peer *peer,
                                 struct message_load *load);

/* gateway_peers_load.c */
/** Sends load reports to peers; a hub reports to other hubs only if
    `to_hubs`. */
void gateway_peers_send_reports (struct gateway_peers *peers, bool to_hubs);
/** Time until a report has reached all instances. */
uint32_t gateway_peers_propagation_ms (const struct gateway_peers *peers);
/** The hub that this instance reports its load to; NULL without one. */
const struct gateway_peer *
gateway_peers_report_hub (const struct gateway_peers *peers);
/** Replaces a peer's last load report; NULL: removes it. */
void gateway_peers_set_report (struct gateway_peers *peers,
                               struct gateway_peer *peer,
                               const struct message_load *load);

#endif
