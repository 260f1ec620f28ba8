/**
 * @file confsync.h
 * Replicates configuration objects between the platform's store and the
 * instances: newest index of each key wins, deletion is a tombstone, and an
 * index never goes down.
 *
 * The index of an object is the store's modify index plus the `index_base`
 * that is written in the stored value.  The base is 0 as long as the store
 * only moves forward; the index then is the store's own.  A store that was
 * restored to an older state counts on from a lower modify index, so a
 * writer that holds an index above what the store would give raises the base
 * to the newest index it holds.  Every later writer takes over the largest
 * base that it holds.  Hence a later write always has a greater index than
 * every object its writer held, whatever the store forgot, and a restored
 * store can offer only objects that lose to those already held.
 */
#ifndef COORDINATION_CONFSYNC_H
#define COORDINATION_CONFSYNC_H

#include "coordination/message.h"
#include "state/catalog.h"
#include <stdbool.h>
#include <stdint.h>

#define CONFSYNC_PART_BYTES                                                   \
  1048576 /**< of objects in one response message                             \
           */

/** Where objects go once they are in force. */
struct confsync_sink
{
  /** Parses and installs an object; for a tombstone `value` is NULL or the
      tombstone's own.
      @return 0, or ERR_INVALID for an object that cannot be used. */
  int (*apply) (void *user, const char *key, const char *value,
                size_t value_size);
  void *user;
};

struct confsync;

struct confsync *confsync_new (const struct confsync_sink *sink);
void confsync_free (struct confsync *confsync);

/** Offers an object from the store or a peer.  A tombstone may have a value,
    which keeps its change records.
    @return 1 when it is now in force, 0 when it is already held,
    ERR_STALE when a newer one is held, ERR_INVALID, ERR_NO_MEMORY. */
int confsync_offer (struct confsync *confsync,
                    const struct message_object *object);

/** Notes that a whole listing has been offered, at `index`: the greatest
    index of the listed objects. */
void confsync_complete (struct confsync *confsync, uint64_t index);

/** True once one whole configuration has been held. */
bool confsync_ready (const struct confsync *confsync);

/** Newest index up to which nothing is known to be missing. */
uint64_t confsync_index (const struct confsync *confsync);

/** Greatest index of any object held. */
uint64_t confsync_newest (const struct confsync *confsync);

/** Answers a peer's request in one or more MESSAGE_CONFIG messages. */
int confsync_respond (const struct confsync *confsync, uint64_t instance_id,
                      uint64_t since_index, const struct message_link *link);

/** Object held for a key; NULL when none. */
const struct message_object *confsync_find (const struct confsync *confsync,
                                            const char *key);

/** Visits held objects, tombstones too; the visitor returns 0 to go on. */
typedef int (*confsync_visitor) (void *user,
                                 const struct message_object *object);
int confsync_visit (const struct confsync *confsync, confsync_visitor visit,
                    void *user);

#endif
