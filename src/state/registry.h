/**
 * @file registry.h
 * Upstreams as registered in the store.  Each incarnation of an upstream has
 * its own entry, with its known load and the results of recent attempts.
 * Entries that the store lost in an outage stay usable for a grace period,
 * since a live upstream registers again.
 */
#ifndef STATE_REGISTRY_H
#define STATE_REGISTRY_H

#include "state/engine_quota.h"
#include "state/outlier.h"
#include "state/rate_limit.h"
#include "state/store_position.h"
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <uthash.h>

#define REGISTRY_IDENTITY_SIZE 128 /**< bytes of an identity with its NUL */
#define REGISTRY_ADDRESS_SIZE  64  /**< bytes of "IP:PORT" with its NUL */
#define REGISTRY_CHANGED       1   /**< registry_put: peers must be informed */
#define REGISTRY_ZONE_SIZE     64  /**< bytes of a zone with its NUL */
#define REGISTRY_BUILD_SIZE    64  /**< bytes of a build with its NUL */
#define REGISTRY_TOMBSTONE_MS                                                 \
  60000 /**< lifetime of a tombstone: an instance that was suspended may      \
             still relay an older record this late */

/** Registration of an upstream. */
struct registry_record
{
  char identity[REGISTRY_IDENTITY_SIZE];
  uint64_t start_ms; /**< Unix time of its start; 0: unknown */
  char address[REGISTRY_ADDRESS_SIZE];
  char availability_zone[REGISTRY_ZONE_SIZE];
  uint64_t service_id;
  char build[REGISTRY_BUILD_SIZE]; /**< version of its software; "" if it
                                        states none */
  uint32_t slots;
  bool draining;
  struct store_position position; /**< in the store */
};

/** Load of an upstream, from this instance, its peers and the upstream. */
struct registry_load
{
  uint32_t running;        /**< requests of this instance in flight there */
  uint64_t prefill_tokens; /**< prompt tokens of these requests that it has
                              still to prefill */
  uint32_t peer_running;   /**< requests of other instances in flight there */
  uint64_t peer_prefill_tokens;
  /** Tokens that it would have to prefill for the requests queued here for
      it, and the same, each times its customer's admission_usage_factor(). */
  uint64_t queued_tokens;
  uint64_t queued_weight;
  uint64_t peer_queued_tokens;
  uint64_t peer_queued_weight;
  uint32_t peer_ejections;   /**< other instances that have ejected it */
  uint32_t reported_running; /**< reported by the upstream, over all callers */
  uint32_t reported_waiting;
  uint64_t reported_ns; /**< time of that report; 0: none */
};

struct registry_upstream
{
  uint64_t id;    /**< of this incarnation: hash of identity and start time */
  uint64_t build; /**< hash of the record's; never 0 */
  struct registry_record record;
  struct registry_load load;
  struct outlier outlier;
  struct engine_quota quota;
  bool leaving;            /**< by its own word in a response */
  uint64_t pause_end_ns;   /**< wants no requests until then; 0: it does */
  struct rate_limit limit; /**< that it names in responses */
  bool listed;             /**< present in the listing in progress */
  uint64_t missing_ns;     /**< since when the store lacks it; 0: present */
  uint64_t grace_ns;       /**< time for which it may be missing */
  struct store_position missing_position; /**< of the store that lacks it */
  /** Position of its copy in a restored store; see registry_is_copy(). */
  struct store_position copy_position;
  UT_hash_handle hh; /**< by identity */
  UT_hash_handle hh_id;
};

/** A removed identity: records of it up to this position are stale. */
struct registry_tombstone
{
  uint64_t identity;              /**< hash */
  struct store_position position; /**< of the store that lacked it */
  uint64_t leaving_id;            /**< incarnation that was leaving; 0: none */
  /** Position of its copy in a restored store; see registry_is_copy(). */
  struct store_position copy_position;
  uint64_t removed_ns;
  UT_hash_handle hh;
};

struct registry
{
  struct registry_upstream *upstreams; /**< uthash by identity */
  struct registry_upstream *by_id;
  struct registry_tombstone *tombstones; /**< uthash by identity hash */
  struct store_position listed_position; /**< of the newest complete listing */
  uint64_t generation; /**< changes with the set of usable upstreams */
  /** Called when an entry is removed, before it is freed; may be NULL. */
  void (*removed) (void *user, const struct registry_upstream *upstream);
  /** Called when an upstream turns out to have another build than its entry
      said, as it started again; may be NULL. */
  void (*rebuilt) (void *user, const struct registry_upstream *upstream);
  void *user;
};

void registry_init (struct registry *registry);
void registry_finish (struct registry *registry);

/** Stores a registration.  One older than the stored record, or than the
    removal of the upstream, is ignored.
    @return REGISTRY_CHANGED when peers must be informed, 0 when nothing
   changed apart from the position, ERR_STALE or ERR_NO_MEMORY. */
int registry_put (struct registry *registry,
                  const struct registry_record *record);

/** Whether a record of a restored store is an old copy: it lists an upstream
   as ready that had reported draining or was removed.  The first record of an
    era counts as a copy; a live upstream soon writes another one.  For records
    read from the store, as other instances forward only accepted ones. */
bool registry_is_copy (struct registry *registry,
                       const struct registry_record *record);

/** The store lacks an identity as of a position.  The entry is removed after
    `grace_ns`; at once if that is 0 or the upstream was draining. */
void registry_mark_missing (struct registry *registry, const char *identity,
                            const struct store_position *position,
                            uint64_t grace_ns, uint64_t now_ns);

/** Begin and end of a complete listing: entries that were not put in between
    are dropped as by registry_mark_missing. */
void registry_listing_begin (struct registry *registry);
void registry_listing_end (struct registry *registry,
                           const struct store_position *position,
                           uint64_t grace_ns, uint64_t now_ns);

/** Removes entries whose grace period and tombstones whose lifetime ended. */
void registry_expire (struct registry *registry, uint64_t now_ns);

/** The build of a service's upstreams; 0 if they have several, or if there
    are none. */
uint64_t registry_single_build (const struct registry *registry,
                                uint64_t service_id);
/** Whether an upstream of a build accepts new requests; build 0: of any. */
bool registry_has_build (const struct registry *registry, uint64_t service_id,
                         uint64_t build);
/** Entry of an id; NULL when it was removed. */
struct registry_upstream *registry_find (const struct registry *registry,
                                         uint64_t id);
/** Its prefill backlog: prompt tokens not yet processed, for all instances. */
uint64_t registry_backlog_tokens (const struct registry_upstream *upstream);
/** Add or subtract prompt tokens queued here for an upstream.  An entry that
    was removed and added again in between has lost its count, so subtraction
    stops at 0. */
void registry_add_queued (struct registry_upstream *upstream, uint64_t tokens,
                          uint64_t weight);
void registry_remove_queued (struct registry_upstream *upstream,
                             uint64_t tokens, uint64_t weight);
/** Whether one of its slots is free, as far as is known here. */
bool registry_has_free_slot (const struct registry_upstream *upstream);
/** The upstream said in a response that it leaves.  That holds for its whole
    incarnation, whatever its registration says.
    @return whether this is new. */
bool registry_set_leaving (struct registry *registry,
                           struct registry_upstream *upstream);
/** The upstream said that it wants no requests for a time.  A shorter time
    than is left changes nothing.
    @return whether it wanted some before. */
bool registry_pause (struct registry_upstream *upstream, uint64_t pause_ns,
                     uint64_t now_ns);
/** Whether it wants no requests now. */
bool registry_paused (const struct registry_upstream *upstream,
                      uint64_t now_ns);
/** Time until an upstream of the service takes a request, as far as pauses and
    limits are concerned; 0 if one does, or if there is none. */
uint64_t registry_pause_left_ns (const struct registry *registry,
                                 uint64_t service_id, uint64_t now_ns);
/** True when it belongs to the service and accepts new requests. */
bool registry_usable (const struct registry_upstream *upstream,
                      uint64_t service_id);

#endif
