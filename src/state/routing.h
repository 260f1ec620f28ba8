/**
 * @file routing.h
 * One version of the operator's configuration for path-routed requests:
 * routes by host and path prefix, services, customers by key, limits.  A
 * version is immutable once built; requests in flight hold a reference to the
 * version under which they arrived.  It owns its strings and targets; only
 * memory bounds their sizes and numbers.
 */
#ifndef STATE_ROUTING_H
#define STATE_ROUTING_H

#include "state/arena.h"
#include "state/catalog.h"
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** Retry semantics of a route. */
enum route_kind
{
  ROUTE_IDEMPOTENT,     /**< may run more than once */
  ROUTE_NON_IDEMPOTENT, /**< runs at most once */
  ROUTE_STREAMING, /**< event stream; runs at most once unless resumable */
  ROUTE_KIND_MAX
};

struct route_target
{
  uint32_t service; /**< index of the service */
  uint64_t weight;
};

struct route
{
  const char *name;
  const char *host;
  const char *prefix; /**< begins and ends with a slash */
  enum route_kind kind;
  bool resumable;       /**< a stream may resume at another upstream */
  bool without_api_key; /**< clients need no API key of a customer */
  uint32_t timeout_ms;
  uint32_t objective_ms; /**< target time until the response or first event */
  uint32_t event_gap_target_ms; /**< target for the longest pause between
                           events; 0: none */
  uint32_t attempts_max;
  uint32_t priority; /**< 0 is the highest */
  uint32_t target_count;
  const struct route_target *targets; /**< services that share its traffic */
};

struct routing_service
{
  const char *name;
  uint64_t id;              /**< catalog_id of the name */
  uint32_t connections_max; /**< to one upstream, over all callers */
  bool engine;              /**< language model engines */
  uint32_t slots;           /**< of one engine */
  uint64_t kv_cache_tokens; /**< KV cache capacity of one engine, in tokens */
};

struct routing_customer
{
  const char *name;
  uint64_t id;       /**< catalog_id of the name */
  bool has_priority; /**< `priority` overrides that of the route */
  uint32_t priority;
};

struct routing_limits
{
  uint32_t header_bytes_max;
  uint32_t body_bytes_max;
  uint32_t header_timeout_ms;
  uint32_t idle_timeout_ms;
  uint64_t tokens_per_s; /**< of all engines together; 0: not configured */
};

struct routing
{
  const char *version; /**< as it was written; see decimal_compare() */
  struct routing_limits limits;
  struct route *routes;
  uint32_t route_count;
  struct routing_service *services;
  uint32_t service_count;
  struct routing_customer *customers;
  uint32_t customer_count;
  size_t prefix_bytes_max;         /**< length of the longest path prefix */
  uint32_t rejected_count;         /**< entries that its reader left out */
  struct routing_key *keys;        /**< uthash, private */
  struct routing_prefix *prefixes; /**< uthash, private */
  struct routing_service_index *service_ids; /**< uthash, private */
  struct arena arena;                        /**< private */
  uint32_t references;
};

/** Creates an empty version with one reference; NULL when out of memory.
    @param version  its number, see decimal_is_valid(); copied. */
struct routing *routing_new (const char *version);
struct routing *routing_retain (struct routing *routing);
void routing_release (struct routing *routing);

/** Add a copy of the argument and of what it points to. @return 0, ERR_EXISTS
    or ERR_NO_MEMORY; for routes also ERR_INVALID when host, prefix or targets
    are invalid. */
int routing_add_service (struct routing *routing,
                         const struct routing_service *service);
int routing_add_route (struct routing *routing, const struct route *route);
int routing_add_customer (struct routing *routing,
                          const struct routing_customer *customer);
/** Adds an API key of the customer added last. */
int routing_add_key (struct routing *routing, const char *key);

/** Index of a service by name; -1 when absent. */
int routing_service_index (const struct routing *routing, const char *name);
const struct routing_service *routing_service (const struct routing *routing,
                                               uint64_t service_id);

/** The route of the host with the longest prefix of the path; NULL when none
    matches.  The host is compared without its port and ignoring case. */
const struct route *routing_match (const struct routing *routing,
                                   const char *host, const char *path);
/** The customer that owns an API key; NULL for an unknown key. */
const struct routing_customer *routing_customer (const struct routing *routing,
                                                 const char *key);
/** Selects a target service of a route in proportion to the weights.
    @param draw  arbitrary number; equal numbers select the same service. */
const struct routing_service *
routing_select_service (const struct routing *routing,
                        const struct route *route, uint64_t draw);

#endif
