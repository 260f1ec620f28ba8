/**
 * @file catalog.h
 * The configuration in force: customers, profiles and services, by name and
 * by 64-bit identifier.  Objects are replaced whole; pointers handed out by a
 * lookup stay valid until the next catalog_put_* or catalog_remove call.
 */
#ifndef STATE_CATALOG_H
#define STATE_CATALOG_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <uthash.h>

#define CATALOG_NAME_SIZE     64   /**< bytes of a name with its NUL */
#define CATALOG_ADDRESS_SIZE  64   /**< bytes of "host:port" with its NUL */
#define CATALOG_KEY_HASH_SIZE 32   /**< bytes of a SHA-256 digest */
#define CATALOG_KEYS_MAX      8    /**< keys of one customer */
#define CATALOG_UPSTREAMS_MAX 4096 /**< upstreams of one service */
#define CATALOG_WEIGHT_MAX    1000 /**< largest customer weight */

enum catalog_class
{
  CATALOG_DURABLE,    /**< may wait; never dropped for room */
  CATALOG_QUICK,      /**< short deadline; served ahead of its customer's */
  CATALOG_DISPOSABLE, /**< shed first */
  CATALOG_CLASS_MAX
};

enum catalog_kind
{
  CATALOG_ENGINE, /**< model engine; cost in tokens */
  CATALOG_PLAIN,  /**< plain service; cost in slot milliseconds */
  CATALOG_KIND_MAX
};

struct catalog_customer
{
  uint64_t id; /**< catalog_id of the name */
  char name[CATALOG_NAME_SIZE];
  uint32_t weight;      /**< 1 to CATALOG_WEIGHT_MAX */
  uint32_t waiting_max; /**< requests waiting at one instance */
  uint32_t key_count;
  uint8_t key_hashes[CATALOG_KEYS_MAX][CATALOG_KEY_HASH_SIZE];
  UT_hash_handle hh;
};

struct catalog_profile
{
  uint64_t id;
  char name[CATALOG_NAME_SIZE];
  char service[CATALOG_NAME_SIZE];
  uint64_t service_id;
  enum catalog_class request_class;
  bool idempotent;
  uint32_t deadline_ms;  /**< from arrival to the end of the response */
  uint32_t queue_limit;  /**< requests waiting at one instance */
  uint32_t attempts_max; /**< 1 or more */
  uint64_t cost_hint;    /**< cost units of one request; a rough guess */
  UT_hash_handle hh;
};

struct catalog_upstream
{
  uint64_t id;                        /**< catalog_id of "service/address" */
  char address[CATALOG_ADDRESS_SIZE]; /**< IP number and port */
  char availability_zone[CATALOG_NAME_SIZE];
  uint32_t slots; /**< requests it takes at once */
  bool draining;  /**< configured to receive no new work */
};

struct catalog_service
{
  uint64_t id;
  char name[CATALOG_NAME_SIZE];
  enum catalog_kind kind;
  uint32_t input_cost;      /**< cost units of an input token */
  uint32_t output_cost;     /**< cost units of an output token */
  uint32_t idle_timeout_ms; /**< upstream closes an idle connection after */
  bool resumable;           /**< engine resumes a stream at an offset */
  bool fenced;              /**< refuses an order with an old fencing number */
  uint32_t upstream_count;
  struct catalog_upstream *upstreams; /**< owned by the catalog */
  UT_hash_handle hh;
};

/** All objects in force.  Zero-initialised memory is an empty catalog. */
struct catalog
{
  struct catalog_customer *customers; /**< uthash by id; iterate, not write */
  struct catalog_profile *profiles;
  struct catalog_service *services;
  struct catalog_key *keys; /**< customers by key hash */
  uint64_t generation;      /**< increases with each change */
};

/** XXH3 64-bit hash of a name: the identifier used between instances. */
uint64_t catalog_id (const char *name);

/** catalog_id of "SERVICE/ADDRESS". */
uint64_t catalog_upstream_id (const char *service, const char *address);

void catalog_init (struct catalog *catalog);
void catalog_finish (struct catalog *catalog);

/**
 * Adds or replaces an object; the argument is copied (and a service's
 * upstream array too), its id fields are filled in by the catalog.
 * @return 0 or ERR_NO_MEMORY.
 */
int catalog_put_customer (struct catalog *catalog,
                          const struct catalog_customer *customer);
int catalog_put_profile (struct catalog *catalog,
                         const struct catalog_profile *profile);
int catalog_put_service (struct catalog *catalog,
                         const struct catalog_service *service);

/** Removes an object. @return 0 or ERR_NOT_FOUND. */
int catalog_remove_customer (struct catalog *catalog, const char *name);
int catalog_remove_profile (struct catalog *catalog, const char *name);
int catalog_remove_service (struct catalog *catalog, const char *name);

/** Lookups; NULL when absent. */
const struct catalog_customer *catalog_customer (const struct catalog *catalog,
                                                 uint64_t id);
const struct catalog_profile *catalog_profile (const struct catalog *catalog,
                                               uint64_t id);
const struct catalog_service *catalog_service (const struct catalog *catalog,
                                               uint64_t id);
/** Customer that a key's SHA-256 digest belongs to; NULL when none. */
const struct catalog_customer *
catalog_customer_by_key (const struct catalog *catalog,
                         const uint8_t digest[CATALOG_KEY_HASH_SIZE]);
/** Upstream of a service by id; NULL when absent. */
const struct catalog_upstream *
catalog_upstream (const struct catalog_service *service, uint64_t upstream_id);

#endif
