/**
 * @file confsync.h
 * Replicates configuration objects between the platform's store and the
 * instances: newest index of each key wins, deletion is a tombstone, and an
 * index never goes down.
 */
#ifndef COORDINATION_CONFSYNC_H
#define COORDINATION_CONFSYNC_H

#include "coordination/message.h"
#include "state/catalog.h"
#include <stdbool.h>
#include <stdint.h>

/** Where objects go once they are in force. */
struct confsync_sink
{
  /** Parses and installs an object; `value` is NULL for a tombstone.
      @return 0, or ERR_INVALID for an object that cannot be used. */
  int (*apply) (void *user, const char *key, const char *value,
                size_t value_size);
  void *user;
};

struct confsync;

struct confsync *confsync_new (const struct confsync_sink *sink);
void confsync_free (struct confsync *confsync);

/** Offers an object from the store or a peer.
    @return 1 when it is now in force, 0 when it is already held,
    ERR_STALE when a newer one is held, ERR_INVALID, ERR_NO_MEMORY. */
int confsync_offer (struct confsync *confsync,
                    const struct message_object *object);

/** Notes that a whole listing has been offered, at `index`. */
void confsync_complete (struct confsync *confsync, uint64_t index);

/** True once one whole configuration has been held. */
bool confsync_ready (const struct confsync *confsync);

/** Newest index up to which nothing is known to be missing. */
uint64_t confsync_index (const struct confsync *confsync);

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
