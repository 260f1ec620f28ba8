/**
 * @file confsync.h
 * Replicates configuration objects between the platform's store and the
 * instances.  For each key the object with the greatest index wins, a deletion
 * is kept as a tombstone, and an index never decreases.
 *
 * The index of an object is the store's modify index plus the `index_base` in
 * the stored value.  The base is 0, and the index that of the store, as long
 * as the store's modify index only increases.  A store that was restored from
 * an older state continues from a lower modify index.  A writer that holds an
 * index above the one that the store would assign therefore raises the base to
 * the greatest index it holds, and every later writer uses the largest base
 * that it holds.  Thus a later write always has a greater index than every
 * object that its writer held, whatever the store lost, and the objects of a
 * restored store never replace those already held.
 */
#ifndef COORDINATION_CONFSYNC_H
#define COORDINATION_CONFSYNC_H

#include "coordination/message.h"
#include "state/catalog.h"
#include <stdbool.h>
#include <stdint.h>

#define CONFSYNC_PART_BYTES 1048576 /**< object bytes per message */

/** Consumer of accepted objects. */
struct confsync_sink
{
  /** Parses and installs an object.  For a tombstone `value` is NULL or the
      value of the tombstone.
      @return 0, or ERR_INVALID for an object that cannot be used. */
  int (*apply) (void *user, const char *key, const char *value,
                size_t value_size);
  void *user;
};

struct confsync;

struct confsync *confsync_new (const struct confsync_sink *sink);
void confsync_free (struct confsync *confsync);

/** Offers an object from the store or a peer.  A tombstone may have a value,
    which preserves its change records.
    @return 1 when it was installed, 0 when one with the same index is kept,
    ERR_STALE when a newer one is held, ERR_INVALID, ERR_NO_MEMORY, or the
    error of the consumer. */
int confsync_offer (struct confsync *confsync,
                    const struct message_object *object);

/** Records that all objects of a listing of the store, or of a complete
    response of a peer, have been offered; `index` is the greatest index among
    them. */
void confsync_mark_complete (struct confsync *confsync, uint64_t index);

/** True once all objects of a listing or of a complete response have been
    offered. */
bool confsync_ready (const struct confsync *confsync);

/** Greatest index up to which no object is known to be missing. */
uint64_t confsync_complete_index (const struct confsync *confsync);

/** Greatest index of any object held. */
uint64_t confsync_newest_index (const struct confsync *confsync);

/** Answers a peer's request in one or more MESSAGE_CONFIG messages. */
int confsync_respond (const struct confsync *confsync, uint64_t instance_id,
                      uint64_t since_index,
                      const struct message_sender *sender);

/** Object held for a key; NULL when none. */
const struct message_object *confsync_find (const struct confsync *confsync,
                                            const char *key);

/** Visits all objects held, including tombstones, until the visitor returns
    non-zero. */
typedef int (*confsync_visitor) (void *user,
                                 const struct message_object *object);
int confsync_visit (const struct confsync *confsync, confsync_visitor visit,
                    void *user);

#endif
