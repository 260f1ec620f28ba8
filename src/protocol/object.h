/**
 * @file object.h
 * Configuration objects as JSON: the value stored under `customer/NAME`,
 * `profile/NAME` and `service/NAME`, with its last change records.  Secrets
 * are never part of it; customers' keys are digests.
 */
#ifndef PROTOCOL_OBJECT_H
#define PROTOCOL_OBJECT_H

#include "state/catalog.h"
#include <jansson.h>
#include <stddef.h>
#include <stdint.h>

#define OBJECT_HISTORY_MAX 16  /**< change records kept in a value */
#define OBJECT_REASON_SIZE 256 /**< bytes of a reason with its NUL */

enum object_kind
{
  OBJECT_CUSTOMER,
  OBJECT_PROFILE,
  OBJECT_SERVICE,
  OBJECT_KIND_MAX
};

/** One change, written in the same compare-and-swap as its effect. */
struct object_change
{
  char change_id[40];
  char operator_name[CATALOG_NAME_SIZE];
  uint64_t time_ms;        /**< wall clock, since the epoch */
  uint64_t previous_index; /**< modify index that it replaced; 0 for none */
  char reason[OBJECT_REASON_SIZE];
};

/** A refusal of an object. */
struct object_fault
{
  char path[96]; /**< such as "upstreams[2].slots" */
  uint32_t line; /**< in the submitted JSON text; 0 when unknown */
  char reason[160];
};

/** Collection name of a kind in the admin API: "customers" and so on. */
const char *object_collection (enum object_kind kind);
/** Kind of a key "customer/NAME"; name set to its tail.
    @return 0 or ERR_INVALID. */
int object_parse_key (const char *key, enum object_kind *kind,
                      const char **name);

/** Checks a submitted object and returns its normal form, plain keys hashed.
    @return new reference, or NULL with `fault` filled. */
json_t *object_normalise (enum object_kind kind, const char *name,
                          const char *text, size_t size,
                          struct object_fault *fault);

/** Stored value: {"object": ..., "deleted": bool, "history": [...]}.
    Takes the previous stored value's history and prepends `change`, which
    also records each field's old and new value.
    @return text to free(), or NULL without memory. */
char *object_store_value (const json_t *object, const json_t *previous,
                          const struct object_change *change);

/** Installs a stored value into the catalog. @return 0 or ERR_INVALID. */
int object_install (struct catalog *catalog, const char *key,
                    const char *value, size_t value_size);

#endif
