/**
 * @file platform.h
 * The platform's key-value service as a table of operations.  Calls are
 * asynchronous: each ends in exactly one call of its callback, which may come
 * before the operation returns; `finish` drops those still pending.  A store
 * fills in what its users need: get to renew for the product's own objects
 * (transport/kvmem in memory, transport/kvhttp over HTTP), range to keep for
 * what operators and upstreams write (platform/).
 */
#ifndef PROTOCOL_PLATFORM_H
#define PROTOCOL_PLATFORM_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define PLATFORM_VALUE_MAX 1048576 /**< bytes of a value */

/** One stored value; valid during the callback only. */
struct platform_item
{
  const char *key;
  const char *value; /**< NULL for a deleted key */
  size_t value_size; /**< bytes */
  uint64_t index;    /**< modify index; orders all writes of the store */
};

/** Result of get, list and watch. `error` is 0, ERR_NOT_FOUND, ERR_TIMEOUT,
    ERR_UNAVAILABLE, ERR_RATE_LIMITED or ERR_PROTOCOL. */
typedef void (*platform_items_fn) (void *user, int error, uint64_t index,
                                   const struct platform_item *items,
                                   size_t count);

/** Result of cas, lease and renew. `error` is 0, ERR_CONFLICT (`index` is the
    current one), ERR_UNKNOWN_OUTCOME when the answer was lost,
    ERR_UNAVAILABLE when the call did not take effect, ERR_RATE_LIMITED. */
typedef void (*platform_write_fn) (void *user, int error, uint64_t index);

/** One page of a range, or the changes since an index. */
struct platform_page
{
  uint64_t index; /**< of the store when it answered */
  bool more;      /**< keys after the last one remain */
  const struct platform_item *items;
  size_t count;
};

/** Result of range and changes: errors as above, and ERR_STALE when the store
    no longer knows what changed since that index. */
typedef void (*platform_page_fn) (void *user, int error,
                                  const struct platform_page *page);

/** A write of several keys, all or none. */
struct platform_commit
{
  /** Keys that must have these indexes (0: absent); values are ignored. */
  const struct platform_item *conditions;
  size_t condition_count;
  const struct platform_item *puts; /**< indexes are ignored */
  size_t put_count;
  uint64_t lease; /**< that the keys put live by; 0: none */
  const char *const *removals;
  size_t removal_count;
};

struct platform;

/** Operations of a store. Each returns 0 or an error, in which case the
    callback is not called. */
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
  /** Waits until some key under the prefix has an index above `since`, or
      `wait_ms` passed; then lists the whole prefix. */
  int (*watch) (struct platform *platform, const char *prefix, uint64_t since,
                uint32_t wait_ms, platform_items_fn done, void *user);
  /** Takes a lease on a key for `ttl_ms`; ERR_CONFLICT when held. */
  int (*lease) (struct platform *platform, const char *key, const char *holder,
                uint32_t ttl_ms, platform_write_fn done, void *user);
  int (*renew) (struct platform *platform, const char *key, const char *holder,
                platform_write_fn done, void *user);
  /** One page of the keys under a prefix, from after a key (NULL: the first).
      `cheap`: may be seconds old. */
  int (*range) (struct platform *platform, const char *prefix,
                const char *after, bool cheap, platform_page_fn done,
                void *user);
  /** Waits until some key under the prefix changes after `since`, or
      `wait_ms` passed; then tells these changes, deletions too. */
  int (*changes) (struct platform *platform, const char *prefix,
                  uint64_t since, uint32_t wait_ms, platform_page_fn done,
                  void *user);
  /** ERR_NOT_FOUND: the lease has ended. */
  int (*commit) (struct platform *platform,
                 const struct platform_commit *commit, platform_write_fn done,
                 void *user);
  /** A lease that keys may live by; `index` is its number. */
  int (*grant) (struct platform *platform, uint32_t ttl_ms,
                platform_write_fn done, void *user);
  /** Renews it; ERR_NOT_FOUND: it has ended. */
  int (*keep) (struct platform *platform, uint64_t lease,
               platform_write_fn done, void *user);
  void (*finish) (struct platform *platform);
};

/** Counters of calls; every implementation keeps them. */
struct platform_counters
{
  uint64_t reads;
  uint64_t writes;
  uint64_t watches;
  uint64_t failures;
  uint64_t rate_limited;
};

/** Common head of every implementation. */
struct platform
{
  const struct platform_ops *ops;
  struct platform_counters counters;
};

#endif
