/**
 * @file catalog.h
 * The current configuration: customers, profiles and services, by name and by
 * 64-bit identifier.  An update replaces the whole object; pointers returned
 * by a lookup stay valid until the next catalog_put_* or catalog_remove_*
 * call.
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
#define CATALOG_KEYS_MAX      8    /**< API keys per customer */
#define CATALOG_UPSTREAMS_MAX 4096 /**< upstreams per service */
#define CATALOG_WEIGHT_MAX    1000 /**< largest customer weight */

enum catalog_class
{
  CATALOG_DURABLE,    /**< may wait; never shed to make room */
  CATALOG_QUICK,      /**< short deadline; queued ahead of the customer's
                           other requests */
  CATALOG_DISPOSABLE, /**< shed first when a queue is full */
  CATALOG_CLASS_MAX
};

enum catalog_kind
{
  CATALOG_ENGINE, /**< language model engine; cost in tokens */
  CATALOG_PLAIN,  /**< plain service: any other; cost in milliseconds of slot
                     time */
  CATALOG_KIND_MAX
};

struct catalog_customer
{
  uint64_t id; /**< catalog_id of the name */
  char name[CATALOG_NAME_SIZE];
  uint32_t weight;      /**< 1 to CATALOG_WEIGHT_MAX */
  uint32_t waiting_max; /**< limit of requests waiting at one instance */
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
  uint32_t queue_limit;  /**< limit of requests waiting at one instance */
  uint32_t attempts_max; /**< 1 or more */
  uint64_t cost_hint;    /**< initial estimate of a request's cost, in cost
                             units */
  UT_hash_handle hh;
};

struct catalog_upstream
{
  uint64_t id;                        /**< catalog_id of "service/address" */
  char address[CATALOG_ADDRESS_SIZE]; /**< IP address and port */
  char availability_zone[CATALOG_NAME_SIZE];
  uint32_t slots; /**< concurrent requests that it accepts */
  bool draining;  /**< configured to receive no new work */
};

struct catalog_service
{
  uint64_t id;
  char name[CATALOG_NAME_SIZE];
  enum catalog_kind kind;
  uint32_t input_cost;      /**< cost units of an input token */
  uint32_t output_cost;     /**< cost units of an output token */
  uint32_t idle_timeout_ms; /**< idle time after which the upstream closes
                                 a connection */
  bool resumable;           /**< engine can resume a stream at an offset */
  bool fenced;              /**< rejects requests with an outdated
                                 fencing token */
  uint32_t upstream_count;
  struct catalog_upstream *upstreams; /**< owned by the catalog */
  UT_hash_handle hh;
};

/** All current objects.  Zero-initialised memory is an empty catalog. */
struct catalog
{
  struct catalog_customer *customers; /**< uthash by id; iterate only */
  struct catalog_profile *profiles;
  struct catalog_service *services;
  struct catalog_key *keys; /**< customers by API key digest */
  uint64_t generation;      /**< increases with each change */
};

/** XXH3 64-bit hash of a name: the identifier that instances exchange. */
uint64_t catalog_id (const char *name);

/** catalog_id of "SERVICE/ADDRESS". */
uint64_t catalog_upstream_id (const char *service, const char *address);

void catalog_init (struct catalog *catalog);
void catalog_finish (struct catalog *catalog);

/**
 * Adds or replaces an object.  The catalog copies the argument, including the
 * upstream array of a service, and fills in the id fields of the copy.
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

/** Lookups by identifier; NULL when absent. */
const struct catalog_customer *catalog_customer (const struct catalog *catalog,
                                                 uint64_t id);
const struct catalog_profile *catalog_profile (const struct catalog *catalog,
                                               uint64_t id);
const struct catalog_service *catalog_service (const struct catalog *catalog,
                                               uint64_t id);
/** Customer that owns the API key with this SHA-256 digest; NULL when none. */
const struct catalog_customer *
catalog_customer_by_key (const struct catalog *catalog,
                         const uint8_t digest[CATALOG_KEY_HASH_SIZE]);
/** Upstream of a service by id; NULL when absent. */
const struct catalog_upstream *
catalog_upstream (const struct catalog_service *service, uint64_t upstream_id);

#endif
