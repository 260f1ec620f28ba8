/**
 * @file object.h
 * Configuration objects as JSON: the value stored under `customer/NAME`,
 * `profile/NAME` and `service/NAME`, with its last change records.  Secrets
 * are never part of it; customers' keys are digests.
 *
 * A stored value is
 * `{"object": {...}, "deleted": bool, "index_base": N, "history": [...]}`.
 * A deleted key keeps its value, with "object" null, as a tombstone: so the
 * deletion has an index, an author and a reason like any other change.
 */
#ifndef PROTOCOL_OBJECT_H
#define PROTOCOL_OBJECT_H

#include "protocol/settings.h"
#include "state/catalog.h"
#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define OBJECT_HISTORY_MAX    16  /**< change records kept in a value */
#define OBJECT_REASON_SIZE    256 /**< bytes of a reason with its NUL */
#define OBJECT_CHANGE_ID_SIZE 40  /**< bytes of a change id with its NUL */

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
  char change_id[OBJECT_CHANGE_ID_SIZE];
  char operator_name[CATALOG_NAME_SIZE];
  uint64_t time_ms;        /**< wall clock, since the epoch */
  uint64_t previous_index; /**< index of the object that it replaced; 0 for
                                none */
  uint64_t index_base;     /**< see coordination/confsync.h */
  char reason[OBJECT_REASON_SIZE];
};

/** A refusal of an object. */
struct object_fault
{
  char path[96]; /**< such as "upstreams[2].slots"; empty: not JSON */
  uint32_t line; /**< in the submitted JSON text; 0 when unknown */
  char reason[192];
};

/** Collection name of a kind in the admin API: "customers" and so on. */
const char *object_collection (enum object_kind kind);
/** Prefix of a kind's keys: "customer" and so on. */
const char *object_kind_name (enum object_kind kind);
/** Kind of a collection name or of a prefix, or OBJECT_KIND_MAX. */
enum object_kind object_find_kind (const char *name);
/** Kind of a key "customer/NAME"; name set to its tail.
    @return 0 or ERR_INVALID. */
int object_parse_key (const char *key, enum object_kind *kind,
                      const char **name);

/** Checks a submitted object and returns its normal form, plain keys hashed.
    @return new reference, or NULL with `fault` filled. */
json_t *object_normalise (enum object_kind kind, const char *name,
                          const char *text, size_t size,
                          struct object_fault *fault);

/** Line of the value at a path of a submitted text; 0 when unknown. */
uint32_t object_line (const char *text, size_t size, const char *path);

/** Normal form of one object of a settings file; the index is that within
    its kind. @return new reference, or NULL without memory. */
json_t *object_from_settings (const struct settings *settings,
                              enum object_kind kind, uint32_t index);
/** Objects of a kind in a settings file. */
uint32_t object_settings_count (const struct settings *settings,
                                enum object_kind kind);

/** Stored value. `object` NULL makes a tombstone. Takes the previous stored
   value's history (NULL for none) and prepends `change`, which also records
   each field's old and new value; the oldest records are left out when the
   value would grow above PLATFORM_VALUE_MAX.
   @return text to free(), or NULL without memory or when too large. */
char *object_store_value (const json_t *object, const json_t *previous,
                          const struct object_change *change);

/** Parses a stored value. @return new reference, or NULL when broken. */
json_t *object_parse_value (const char *value, size_t value_size);
/** Parts of a parsed value; borrowed references. The object is NULL for a
    tombstone. */
const json_t *object_of_value (const json_t *value);
const json_t *object_history (const json_t *value);
uint64_t object_index_base (const json_t *value);
/** True when one of the change records has this id. */
bool object_has_change (const json_t *value, const char *change_id);

/** Changes between two objects, either of which may be NULL: a list of
    {"path", "old", "new"}. Upstreams are told apart by their addresses, and
    digests are shortened. @return new reference or NULL without memory. */
json_t *object_differences (const json_t *before, const json_t *after);

/** Copy of an object for operators who may only read: digests shortened.
    @return new reference or NULL without memory. */
json_t *object_redact (const json_t *object);

/** Installs a stored value into the catalog; NULL, or a tombstone, removes
    the object. @return 0 or ERR_INVALID. */
int object_install (struct catalog *catalog, const char *key,
                    const char *value, size_t value_size);

#endif
