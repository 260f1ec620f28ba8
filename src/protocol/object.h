/**
 * @file object.h
 * Configuration objects as JSON: the value stored under `customer/NAME`,
 * `profile/NAME` and `service/NAME`, with records of its last changes.  It
 * contains no secrets; customers' keys are stored as digests.
 *
 * A stored value is
 * `{"object": {...}, "deleted": bool, "index_base": N, "history": [...]}`.
 * Deletion leaves a tombstone, a value with "object" null, so that it is
 * recorded with an index, an operator and a reason like any other change.
 */
#ifndef PROTOCOL_OBJECT_H
#define PROTOCOL_OBJECT_H

#include "protocol/settings.h"
#include "state/catalog.h"
#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** Indexes are integers in JSON, with a sign. */
#define OBJECT_INDEX_MAX      INT64_MAX
#define OBJECT_HISTORY_MAX    16  /**< maximum change records in a value */
#define OBJECT_REASON_SIZE    256 /**< bytes of a reason, with NUL */
#define OBJECT_CHANGE_ID_SIZE 40  /**< bytes of a change id, with NUL */

enum object_kind
{
  OBJECT_CUSTOMER,
  OBJECT_PROFILE,
  OBJECT_SERVICE,
  OBJECT_KIND_MAX
};

/** Record of one change; written in the same compare-and-swap as the
    object. */
struct object_change
{
  char change_id[OBJECT_CHANGE_ID_SIZE];
  char operator_name[CATALOG_NAME_SIZE];
  uint64_t time_ms;        /**< wall clock, since the epoch */
  uint64_t previous_index; /**< of the replaced object; 0 for none */
  uint64_t index_base;     /**< see coordination/confsync.h */
  char reason[OBJECT_REASON_SIZE];
};

/** Why an object was rejected. */
struct object_error
{
  char path[96]; /**< such as "upstreams[2].slots"; empty: not JSON */
  uint32_t line; /**< in the submitted JSON text; 0 when unknown */
  char reason[192];
};

/** Collection name of a kind in the admin API, such as "customers". */
const char *object_collection (enum object_kind kind);
/** Key prefix of a kind, such as "customer". */
const char *object_kind_name (enum object_kind kind);
/** Kind for a collection name or a key prefix; OBJECT_KIND_MAX when
    unknown. */
enum object_kind object_find_kind (const char *name);
/** Splits a key such as "customer/NAME"; `name` points into it.
    @return 0 or ERR_INVALID. */
int object_parse_key (const char *key, enum object_kind *kind,
                      const char **name);

/** Checks a submitted object and returns its normal form: defaults filled in,
    plain keys hashed.
    @return new reference, or NULL with `error_details` set. */
json_t *object_normalise (enum object_kind kind, const char *name,
                          const char *text, size_t size,
                          struct object_error *error_details);

/** Line in a submitted text of the value at a path; 0 when unknown. */
uint32_t object_line (const char *text, size_t size, const char *path);

/** Normal form of one object of a settings file; `index` counts objects of its
    kind. @return new reference, or NULL when memory runs out. */
json_t *object_from_settings (const struct settings *settings,
                              enum object_kind kind, uint32_t index);
/** Number of objects of a kind in a settings file. */
uint32_t object_settings_count (const struct settings *settings,
                                enum object_kind kind);

/** Encodes a stored value; `object` NULL makes a tombstone.  The history is
    that of the `previous` stored value (NULL for none) with a record of
    `change`, including each field's old and new value, put in front.  The
    oldest records are dropped as needed to stay within KVSTORE_VALUE_MAX.
    @return text to free(), or NULL when memory runs out or the value is too
    large. */
char *object_encode_value (const json_t *object, const json_t *previous,
                           const struct object_change *change);

/** Parses a stored value. @return new reference, or NULL when malformed. */
json_t *object_parse_value (const char *value, size_t value_size);
/** Parts of a parsed value; borrowed references. The object is NULL for a
    tombstone. */
const json_t *object_from_value (const json_t *value);
const json_t *object_history (const json_t *value);
uint64_t object_index_base (const json_t *value);
/** Index of an object: the sum of its base and the store's index.
    @return UINT64_MAX if it exceeds OBJECT_INDEX_MAX. */
uint64_t object_index (uint64_t base, uint64_t store_index);
/** True when one of the change records has this id. */
bool object_has_change (const json_t *value, const char *change_id);

/** Differences between two objects, either of which may be NULL: an array of
    {"path", "old", "new"}.  Upstreams are matched by address, and digests are
    shortened. @return new reference, or NULL when memory runs out. */
json_t *object_differences (const json_t *before, const json_t *after);

/** Copy of an object for operators with the read role: digests shortened.
    @return new reference, or NULL when memory runs out. */
json_t *object_redact (const json_t *object);

/** Puts a stored value into the catalog; NULL or a tombstone removes the
    object. @return 0 or ERR_INVALID. */
int object_install (struct catalog *catalog, const char *key,
                    const char *value, size_t value_size);

#endif
