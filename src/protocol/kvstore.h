/**
 * @file kvstore.h
 * Interface of the platform's key-value store, a table of operations.
 * Operations are asynchronous: each calls its callback exactly once, possibly
 * before the operation returns; `finish` drops pending calls without a
 * callback.  An implementation provides only the operations that its users
 * need: `get` to `renew` for the router's configuration objects
 * (transport/kvmem in memory, transport/kvhttp over HTTP), `list_page` to
 * `lease_keep_alive` for a gateway's store (platform/).
 */
#ifndef PROTOCOL_KVSTORE_H
#define PROTOCOL_KVSTORE_H

#include "state/store_position.h"
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define KVSTORE_VALUE_MAX 1048576 /**< maximum bytes of a value */

/** One key and its value; valid only during the callback. */
struct kvstore_item
{
  const char *key;
  const char *value; /**< NULL for a deleted key */
  size_t value_size; /**< bytes */
  uint64_t index;    /**< of a router's store: modify index, increases with
                          each write to the store */
  struct store_position position; /**< of its last change in a gateway's
                                       store */
};

/** Result of get, list and watch. `error` is 0, ERR_NOT_FOUND, ERR_TIMEOUT,
    ERR_UNAVAILABLE, ERR_RATE_LIMITED or ERR_PROTOCOL. */
typedef void (*kvstore_items_fn) (void *user, int error, uint64_t index,
                                  const struct kvstore_item *items,
                                  size_t count);

/** Result of an operation that writes a key, a lock, a lease or a transaction.
    `index` is the new one, or the current one after ERR_CONFLICT; 0 if the
    store does not return it, or a transaction of a gateway.  `error` is 0,
   ERR_CONFLICT, ERR_NOT_FOUND, ERR_UNKNOWN_OUTCOME when the write may or may
   not have taken effect, ERR_UNAVAILABLE when it did not, ERR_RATE_LIMITED or
   ERR_PROTOCOL. */
typedef void (*kvstore_write_fn) (void *user, int error, uint64_t index);

/** One page of a listing, or the changes since a position. */
struct kvstore_page
{
  struct store_position position; /**< of the store when it answered */
  bool more;                      /**< more keys follow the last item */
  const struct kvstore_item *items;
  size_t count;
};

/** Result of list_page and watch_changes.  `error` as for get, ERR_STALE
    when the store's history does not reach back to the position asked for, or
    the response is older than a restore of the store, or ERR_TOO_LARGE when
    the response exceeds the memory for it. */
typedef void (*kvstore_page_fn) (void *user, int error,
                                 const struct kvstore_page *page);

/** A transaction: writes several keys atomically. */
struct kvstore_txn
{
  const char *const *absent; /**< keys that must not exist */
  size_t absent_count;
  const struct kvstore_item *puts; /**< positions are ignored */
  size_t put_count;
  uint64_t lease; /**< attached to the keys in `puts`; 0: none */
  const char *const *deletes;
  size_t delete_count;
};

struct kvstore;

/** Operations of a store.  Each returns 0, or an error without calling the
    callback. */
struct kvstore_ops
{
  const char *name;
  int (*get) (struct kvstore *store, const char *key, kvstore_items_fn done,
              void *user);
  int (*list) (struct kvstore *store, const char *prefix,
               kvstore_items_fn done, void *user);
  /** Writes when the key's index equals `expected` (0: key absent). */
  int (*cas) (struct kvstore *store, const char *key, const char *value,
              size_t value_size, uint64_t expected, kvstore_write_fn done,
              void *user);
  /** Long poll: waits up to `wait_ms` until a key under the prefix has an
      index above `since`, then lists the whole prefix. */
  int (*watch) (struct kvstore *store, const char *prefix, uint64_t since,
                uint32_t wait_ms, kvstore_items_fn done, void *user);
  /** Acquires a lock on a key for `ttl_ms`; ERR_CONFLICT when another holder
      has it. */
  int (*acquire) (struct kvstore *store, const char *key, const char *holder,
                  uint32_t ttl_ms, kvstore_write_fn done, void *user);
  int (*renew) (struct kvstore *store, const char *key, const char *holder,
                kvstore_write_fn done, void *user);
  /** Lists one page of the keys under a prefix, starting after the key `after`
      (NULL: at the first).  `allow_stale` accepts data that is seconds old. */
  int (*list_page) (struct kvstore *store, const char *prefix,
                    const char *after, bool allow_stale, kvstore_page_fn done,
                    void *user);
  /** Long poll: waits up to `wait_ms` for changes under the prefix after
      `since`, and returns just these, including deletions. */
  int (*watch_changes) (struct kvstore *store, const char *prefix,
                        const struct store_position *since, uint32_t wait_ms,
                        kvstore_page_fn done, void *user);
  /** Executes a transaction; ERR_NOT_FOUND when its lease has expired,
      ERR_CONFLICT when a condition does not hold. */
  int (*txn) (struct kvstore *store, const struct kvstore_txn *txn,
              kvstore_write_fn done, void *user);
  /** Creates a lease; keys attached to it are deleted when it expires.  Its
      number is passed as `index`. */
  int (*lease_grant) (struct kvstore *store, uint32_t ttl_ms,
                      kvstore_write_fn done, void *user);
  /** Renews such a lease; ERR_NOT_FOUND when it has expired. */
  int (*lease_keep_alive) (struct kvstore *store, uint64_t lease,
                           kvstore_write_fn done, void *user);
  void (*finish) (struct kvstore *store);
};

/** Counters of calls; maintained by every implementation. */
struct kvstore_counters
{
  uint64_t reads;
  uint64_t writes;
  uint64_t watches;
  uint64_t failures;
  uint64_t rate_limited;
  uint64_t rejected;   /**< items of pages without a key or a position */
  uint64_t unreadable; /**< responses with a field that cannot be read */
  uint64_t oversized;  /**< responses that exceeded the memory for them */
};

/** First member of every implementation's structure. */
struct kvstore
{
  const struct kvstore_ops *ops;
  struct kvstore_counters counters;
  struct digits era; /**< newest era of a response; 0: not reported */
};

#endif
