/**
 * @file platform.h
 * The platform's key-value service as a table of operations.  Calls are
 * asynchronous: each ends in exactly one call of its callback, which may come
 * before the operation returns; `finish` drops those still pending.
 * Implementations: transport/kvmem (in memory: one router, tests) and
 * transport/kvhttp (HTTP and JSON).
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
