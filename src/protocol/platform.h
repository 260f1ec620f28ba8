/**
 * @file platform.h
 * Interface of the platform's key-value store, a table of operations.
 * Operations are asynchronous: each calls its callback exactly once, possibly
 * before the operation returns; `finish` drops pending calls without a
 * callback.  An implementation provides only the operations that its users
 * need: `get` to `renew` for the router's configuration objects
 * (transport/kvmem in memory, transport/kvhttp over HTTP), `range` to `keep`
 * for a gateway's store (platform/).
 */
#ifndef PROTOCOL_PLATFORM_H
#define PROTOCOL_PLATFORM_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define PLATFORM_VALUE_MAX 1048576 /**< maximum bytes of a value */

/** One key and its value; valid only during the callback. */
struct platform_item
{
  const char *key;
  const char *value; /**< NULL for a deleted key */
  size_t value_size; /**< bytes */
  uint64_t index; /**< modify index, increases with each write to the store */
};

/** Result of get, list and watch. `error` is 0, ERR_NOT_FOUND, ERR_TIMEOUT,
    ERR_UNAVAILABLE, ERR_RATE_LIMITED or ERR_PROTOCOL. */
typedef void (*platform_items_fn) (void *user, int error, uint64_t index,
                                   const struct platform_item *items,
                                   size_t count);

/** Result of an operation that writes a key, a lock, a lease or a transaction.
    `index` is the new one, or the current one after ERR_CONFLICT; 0 if the
    store does not return it.  `error` is 0, ERR_CONFLICT, ERR_NOT_FOUND,
    ERR_UNKNOWN_OUTCOME when the write may or may not have taken effect,
    ERR_UNAVAILABLE when it did not, ERR_RATE_LIMITED or ERR_PROTOCOL. */
typedef void (*platform_write_fn) (void *user, int error, uint64_t index);

/** One page of a listing, or the changes since an index. */
struct platform_page
{
  uint64_t index; /**< of the store when it answered */
  bool more;      /**< more keys follow the last item */
  const struct platform_item *items;
  size_t count;
};

/** Result of range and changes.  `error` as for get, or ERR_STALE when the
    store's history no longer reaches back to the index asked for. */
typedef void (*platform_page_fn) (void *user, int error,
                                  const struct platform_page *page);

/** A transaction: writes several keys atomically. */
struct platform_commit
{
  /** Keys and the indexes that they must have (0: key absent); values are
      ignored. */
  const struct platform_item *conditions;
  size_t condition_count;
  const struct platform_item *puts; /**< indexes are ignored */
  size_t put_count;
  uint64_t lease; /**< attached to the keys in `puts`; 0: none */
  const char *const *removals;
  size_t removal_count;
};

struct platform;

/** Operations of a store.  Each returns 0, or an error without calling the
    callback. */
struct platform_ops
{
  const char *name;
  int (*get) (struct platform *platform, const char *key,
              platform_items_fn done, void *user);
  int (*list) (struct platform *platform, const char *prefix,
               platform_items_fn done, void *user);
  /** Writes when the key's index equals `expected` (0: key absent). */
  int (*cas) (struct platform *platform, const char *key, const char *value,
              size_t value_size, uint64_t expected, platform_write_fn done,
              void *user);
  /** Long poll: waits up to `wait_ms` until a key under the prefix has an
      index above `since`, then lists the whole prefix. */
  int (*watch) (struct platform *platform, const char *prefix, uint64_t since,
                uint32_t wait_ms, platform_items_fn done, void *user);
  /** Acquires a lock on a key for `ttl_ms`; ERR_CONFLICT when another holder
      has it. */
  int (*lease) (struct platform *platform, const char *key, const char *holder,
                uint32_t ttl_ms, platform_write_fn done, void *user);
  int (*renew) (struct platform *platform, const char *key, const char *holder,
                platform_write_fn done, void *user);
  /** Lists one page of the keys under a prefix, starting after the key `after`
      (NULL: at the first).  `allow_stale` accepts data that is seconds old. */
  int (*range) (struct platform *platform, const char *prefix,
                const char *after, bool allow_stale, platform_page_fn done,
                void *user);
  /** Long poll: waits up to `wait_ms` for changes under the prefix after
      `since`, and returns just these, including deletions. */
  int (*changes) (struct platform *platform, const char *prefix,
                  uint64_t since, uint32_t wait_ms, platform_page_fn done,
                  void *user);
  /** Executes a transaction; ERR_NOT_FOUND when its lease has expired,
      ERR_CONFLICT when a condition does not hold. */
  int (*commit) (struct platform *platform,
                 const struct platform_commit *commit, platform_write_fn done,
                 void *user);
  /** Creates a lease; keys attached to it are deleted when it expires.  Its
      number is passed as `index`. */
  int (*grant) (struct platform *platform, uint32_t ttl_ms,
                platform_write_fn done, void *user);
  /** Renews such a lease; ERR_NOT_FOUND when it has expired. */
  int (*keep) (struct platform *platform, uint64_t lease,
               platform_write_fn done, void *user);
  void (*finish) (struct platform *platform);
};

/** Counters of calls; maintained by every implementation. */
struct platform_counters
{
  uint64_t reads;
  uint64_t writes;
  uint64_t watches;
  uint64_t failures;
  uint64_t rate_limited;
};

/** First member of every implementation's structure. */
struct platform
{
  const struct platform_ops *ops;
  struct platform_counters counters;
};

#endif
