/**
 * @file registry.h
 * Upstreams as announced in the store.  Each incarnation of an upstream has
 * its own entry, with its known load and the results of recent attempts.
 * Entries that the store lost in an outage stay usable for a grace period,
 * since a live upstream announces itself again.
 */
#ifndef STATE_REGISTRY_H
#define STATE_REGISTRY_H

#include "state/outlier.h"
#include "state/engine_quota.h"
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <uthash.h>

#define ROSTER_IDENTITY_SIZE 128 /**< bytes of an identity with its NUL */
#define ROSTER_ADDRESS_SIZE  64  /**< bytes of "IP:PORT" with its NUL */
#define ROSTER_CHANGED       1   /**< roster_put: peers must be informed */
#define ROSTER_ZONE_SIZE     64  /**< bytes of a zone with its NUL */
#define ROSTER_TOMBSTONE_MS                                                   \
  60000 /**< lifetime of a tombstone: an instance that was suspended may      \
             still relay an older record this late */

/** Announcement of an upstream. */
struct roster_record
{
  char identity[ROSTER_IDENTITY_SIZE];
  uint64_t born_ms; /**< Unix time of its start; 0: unknown */
  char address[ROSTER_ADDRESS_SIZE];
  char availability_zone[ROSTER_ZONE_SIZE];
  uint64_t service_id;
  uint32_t slots;
  bool draining;
  uint64_t revision; /**< store revision of the announcement */
};

/** Load of an upstream, from this instance, its peers and the upstream. */
struct roster_load
{
  uint32_t running;       /**< requests of this instance in flight there */
  uint64_t unread_tokens; /**< of those, prompt tokens that it has still to
                               prefill */
  uint32_t peer_running;  /**< requests of other instances in flight there */
  uint64_t peer_unread_tokens;
  uint64_t
      wanted_tokens; /**< of prompts queued here for it, weighted by need */
  uint64_t peer_wanted_tokens;
  uint32_t told_running; /**< reported by the upstream, over all callers */
  uint32_t told_waiting;
  uint64_t told_ns; /**< time of that report; 0: none */
};

struct roster_upstream
{
  uint64_t id; /**< of this incarnation: hash of identity and start time */
  struct roster_record record;
  struct roster_load load;
  struct outlier outlier;
  struct portion portion;
  bool listed;               /**< present in the listing in progress */
  uint64_t missing_ns;       /**< since when the store lacks it; 0: present */
  uint64_t grace_ns;         /**< time for which it may be missing */
  uint64_t missing_revision; /**< store revision that lacks it */
  UT_hash_handle hh;         /**< by identity */
  UT_hash_handle hh_id;
};

/** A removed identity: records of it up to this revision are stale. */
struct roster_tombstone
{
  uint64_t identity; /**< hash */
  uint64_t revision; /**< store revision that lacked it */
  uint64_t removed_ns;
  UT_hash_handle hh;
};

struct roster
{
  struct roster_upstream *upstreams; /**< uthash by identity */
  struct roster_upstream *by_id;
  struct roster_tombstone *tombstones; /**< uthash by identity hash */
  uint64_t listed_revision;            /**< of the newest complete listing */
  uint64_t generation; /**< changes with the set of usable upstreams */
  /** Called when an entry is removed, before it is freed; may be NULL. */
  void (*removed) (void *user, const struct roster_upstream *upstream);
  void *user;
};

void roster_init (struct roster *roster);
void roster_finish (struct roster *roster);

/** Stores an announcement.  One older than the stored record, or than the
    removal of the upstream, is ignored.
    @return ROSTER_CHANGED when peers must be informed, 0 when nothing changed
    apart from the revision, ERR_STALE or ERR_NO_MEMORY. */
int roster_put (struct roster *roster, const struct roster_record *record);

/** The store lacks an identity as of a revision.  The entry is removed after
    `grace_ns`; at once if that is 0 or the upstream was draining. */
void roster_drop (struct roster *roster, const char *identity,
                  uint64_t revision, uint64_t grace_ns, uint64_t now_ns);

/** Begin and end of a complete listing: entries that were not put in between
    are dropped as by roster_drop. */
void roster_listing_begin (struct roster *roster);
void roster_listing_end (struct roster *roster, uint64_t revision,
                         uint64_t grace_ns, uint64_t now_ns);

/** Removes entries whose grace period and tombstones whose lifetime ended. */
void roster_age (struct roster *roster, uint64_t now_ns);

/** Entry of an id; NULL when it was removed. */
struct roster_upstream *roster_find (const struct roster *roster, uint64_t id);
/** Its prefill backlog: prompt tokens not yet processed, for all instances. */
uint64_t roster_ahead_tokens (const struct roster_upstream *upstream);
/** Add or subtract prompt tokens queued here for an upstream.  An entry that
    was removed and added again in between has lost its count, so subtraction
    stops at 0. */
void roster_want (struct roster_upstream *upstream, uint64_t tokens);
void roster_unwant (struct roster_upstream *upstream, uint64_t tokens);
/** True when it belongs to the service and accepts new requests. */
bool roster_usable (const struct roster_upstream *upstream,
                    uint64_t service_id);

#endif
