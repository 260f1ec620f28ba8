/**
 * @file confstore.h
 * Keeps this instance's configuration up to date from the platform's store,
 * and writes operators' changes to it.
 *
 * Two instances of each availability zone watch the store; the others learn
 * of changes from their peers and list the store rarely, so its load does not
 * grow with the fleet.  While the store is down everything goes on with the
 * objects held; only changes are refused.  Driven by confstore_run; reads no
 * clock but the one it is given.
 */
#ifndef CONFSTORE_H
#define CONFSTORE_H

#include "coordination/confsync.h"
#include "protocol/object.h"
#include "protocol/platform.h"
#include "transport/clock.h"
#include <stdbool.h>
#include <stdint.h>

#define CONFSTORE_LISTING_MS      30000 /**< between listings, without watch */
#define CONFSTORE_WATCH_GAP_MS    200   /**< between two watches */
#define CONFSTORE_BACKOFF_MIN_MS  200   /**< after a first failure */
#define CONFSTORE_BACKOFF_MAX_MS  10000
#define CONFSTORE_PEER_GRACE_MS   3000 /**< for peers to answer a cold start */
#define CONFSTORE_WRITE_LIMIT_MS  5000 /**< to learn a write's outcome */
#define CONFSTORE_WRITE_RETRY_MS  200  /**< between steps of a write */
#define CONFSTORE_WRITE_READS     2    /**< failed reads before a refusal */
#define CONFSTORE_WRITE_CONFLICTS 5    /**< lost races before a refusal */

struct confstore_config
{
  struct platform *platform; /**< not owned */
  struct catalog *catalog;   /**< not owned; objects are installed here */
  const struct clock *clock; /**< not owned */
  const char *prefix;        /**< of keys; not owned */
  uint32_t watch_wait_ms;
  uint64_t seed;       /**< of the jitter and of change ids */
  bool peers_expected; /**< peers may hold newer objects at a cold start */
  bool private_store;  /**< in memory: other instances do not write to it */
  /** Objects of the catalog changed. */
  void (*changed) (void *user);
  /** True when this instance is one that watches; NULL for always. */
  bool (*watcher) (void *user);
  /** Newest index that a live peer said it holds; false when no peer has been
      heard of. NULL for none. */
  bool (*peers_index) (void *user, uint64_t *index);
  void *user;
};

struct confstore_counters
{
  uint64_t listings; /**< received */
  uint64_t failures;
  uint64_t reverted; /**< times that the store went back */
  uint64_t rejected; /**< objects that could not be used */
  uint64_t writes;
  uint64_t conflicts;
  uint64_t unknown; /**< writes whose outcome was not learned */
};

struct confstore;

/** @return NULL without memory. */
struct confstore *confstore_new (const struct confstore_config *config);
/** Drops pending writes without calling back; finish the platform first. */
void confstore_free (struct confstore *confstore);

/** Starts what is due; call at least every 100 ms. */
void confstore_run (struct confstore *confstore);

/** True when one whole configuration is held and no peer is known to hold a
    newer one. Stays true. */
bool confstore_ready (const struct confstore *confstore);
/** True when the last call of the store succeeded. */
bool confstore_store_up (const struct confstore *confstore);

struct confsync *confstore_sync (struct confstore *confstore);
const struct confstore_counters *
confstore_counters (const struct confstore *confstore);

/** A change asked for by an operator. */
struct confstore_write
{
  enum object_kind kind;
  char name[CATALOG_NAME_SIZE];
  json_t *object;    /**< normal form, NULL to delete; not owned */
  bool conditional;  /**< refuse unless `if_match` is the current index */
  uint64_t if_match; /**< 0: must not exist */
  char operator_name[CATALOG_NAME_SIZE];
  char reason[OBJECT_REASON_SIZE];
};

enum confstore_effect
{
  CONFSTORE_UNCHANGED, /**< the object is as asked for already */
  CONFSTORE_CREATED,
  CONFSTORE_CHANGED,
  CONFSTORE_DELETED,
  CONFSTORE_EFFECT_MAX
};

/** Outcome of a change. */
struct confstore_result
{
  int error; /**< 0; ERR_CONFLICT; ERR_NOT_FOUND: nothing to delete;
                  ERR_TOO_LARGE; ERR_UNAVAILABLE: it was not made;
                  ERR_UNKNOWN_OUTCOME: it may have been made */
  enum confstore_effect effect;
  uint64_t index; /**< of the object now, 0 when it is not known yet; on a
                       conflict, the current one */
  char change_id[OBJECT_CHANGE_ID_SIZE];
  char other_operator[CATALOG_NAME_SIZE]; /**< on a conflict: who was first */
  uint64_t other_time_ms;                 /**< and when */
};

typedef void (*confstore_write_fn) (void *user,
                                    const struct confstore_result *result);

/** Puts the objects of a settings file into the store, when they are not
    there, and offers them. @return 0 or an error. */
int confstore_seed (struct confstore *confstore,
                    const struct settings *settings);

/** Number of changes under way. */
uint32_t confstore_writing (const struct confstore *confstore);

/** Starts a change; `done` is called once, maybe before this returns.
    @return 0 or ERR_NO_MEMORY. */
int confstore_write (struct confstore *confstore,
                     const struct confstore_write *write,
                     confstore_write_fn done, void *user);

#endif
