/**
 * @file confstore.h
 * Keeps the configuration of this instance in sync with the key-value store
 * of the platform, and writes operators' changes to that store.
 *
 * Two instances of each availability zone watch the store.  The others receive
 * changes from their peers and list the store only rarely, so that its load
 * does not grow with the fleet.  While the store is down, an instance keeps
 * running with the objects that it has and refuses only changes.  Driven by
 * confstore_run; uses no clock but the one it is given.
 */
#ifndef CONFSTORE_H
#define CONFSTORE_H

#include "coordination/confsync.h"
#include "protocol/kvstore.h"
#include "protocol/object.h"
#include "transport/clock.h"
#include <stdbool.h>
#include <stdint.h>

#define CONFSTORE_LISTING_INTERVAL_MS 30000 /**< mean, when not watching */
/** From the response to a watch, or from a write, to the next query. */
#define CONFSTORE_WATCH_PAUSE_MS   200
#define CONFSTORE_BACKOFF_MIN_MS   200 /**< after the first failure */
#define CONFSTORE_BACKOFF_MAX_MS   10000
#define CONFSTORE_PEER_GRACE_MS    3000 /**< wait for peers at startup */
#define CONFSTORE_WRITE_TIMEOUT_MS 5000 /**< deadline of the outcome */
#define CONFSTORE_WRITE_RETRY_MS   200  /**< mean delay of a retry */
/** Failed reads after which a write is refused, unless it was sent and its
    outcome is unknown. */
#define CONFSTORE_WRITE_FAILED_READS_MAX 2
/** Times that another write may come first; after one more, the write is
    refused. */
#define CONFSTORE_WRITE_CONFLICTS_MAX 5

struct confstore_config
{
  struct kvstore *kvstore;   /**< not owned */
  struct catalog *catalog;   /**< not owned; objects are installed here */
  const struct clock *clock; /**< not owned */
  const char *prefix;        /**< of all keys in the store; not owned */
  uint32_t watch_wait_ms;
  uint64_t seed;       /**< of jitter and change ids */
  bool peers_expected; /**< at startup, wait for the index of a peer */
  bool private_store;  /**< in-memory store that only this instance writes */
  /** Called after objects of the catalog have changed. */
  void (*on_changed) (void *user);
  /** Returns true when this instance watches the store; NULL for always. */
  bool (*is_watcher) (void *user);
  /** Sets `index` to the newest configuration index that a live peer has
      announced; returns false when none has. NULL when there are no peers. */
  bool (*newest_peer_index) (void *user, uint64_t *index);
  void *user;
};

struct confstore_counters
{
  uint64_t listings; /**< received */
  uint64_t failures;
  uint64_t store_reverts; /**< times that the store was found reverted */
  uint64_t rejected;      /**< invalid objects in the store */
  uint64_t writes;
  uint64_t conflicts;
  uint64_t unknown; /**< writes of unknown outcome */
};

struct confstore;

/** @return NULL when out of memory. */
struct confstore *confstore_new (const struct confstore_config *config);
/** Discards pending writes without calling back.  The `kvstore` of the
    configuration must have been finished before. */
void confstore_free (struct confstore *confstore);

/** Sends the requests that are due; call at least every 100 ms. */
void confstore_run (struct confstore *confstore);

/** True once a complete configuration has been received and no peer is known
    to have a newer one. Never becomes false again. */
bool confstore_ready (const struct confstore *confstore);
/** True when the last request to the store succeeded. */
bool confstore_store_up (const struct confstore *confstore);

struct confsync *confstore_confsync (struct confstore *confstore);
const struct confstore_counters *
confstore_counters (const struct confstore *confstore);

/** A change of an object that an operator requested. */
struct confstore_write
{
  enum object_kind kind;
  char name[CATALOG_NAME_SIZE];
  json_t *object;    /**< normalised, NULL to delete; not owned */
  bool conditional;  /**< only if `if_match` is the current index */
  uint64_t if_match; /**< 0: the object must not exist */
  char operator_name[CATALOG_NAME_SIZE];
  char reason[OBJECT_REASON_SIZE];
};

enum confstore_effect
{
  CONFSTORE_UNCHANGED, /**< the object already had this value */
  CONFSTORE_CREATED,
  CONFSTORE_CHANGED,
  CONFSTORE_DELETED,
  CONFSTORE_EFFECT_MAX
};

/** Outcome of a change. */
struct confstore_result
{
  int error; /**< 0; ERR_CONFLICT; ERR_NOT_FOUND: nothing to delete;
                  ERR_TOO_LARGE; ERR_UNAVAILABLE: not written;
                  ERR_UNKNOWN_OUTCOME: may have been written */
  enum confstore_effect effect;
  uint64_t index; /**< of the object after the change, 0 when not known
                       yet; on a conflict, its current index */
  char change_id[OBJECT_CHANGE_ID_SIZE];
  char conflicting_operator[CATALOG_NAME_SIZE]; /**< on a conflict: who made
                                                the change before */
  uint64_t conflicting_time_ms;                 /**< and when */
};

typedef void (*confstore_write_fn) (void *user,
                                    const struct confstore_result *result);

/** Creates the objects of a settings file in the store unless they exist, and
    installs them. @return 0 or an error. */
int confstore_seed (struct confstore *confstore,
                    const struct settings *settings);

/** Number of changes that are not finished. */
uint32_t confstore_pending_writes (const struct confstore *confstore);

/** Starts a change.  `done` is called once, possibly before this returns.
    @return 0 or ERR_NO_MEMORY. */
int confstore_write (struct confstore *confstore,
                     const struct confstore_write *write,
                     confstore_write_fn done, void *user);

#endif
