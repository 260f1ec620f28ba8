/**
 * @file settings_int.h
 * Descriptors of all fields of the settings and of the configuration objects,
 * one table per record: type, range, default and text format.  The YAML
 * schema, the defaults, the checks and the JSON encoding are derived from
 * them.
 */
#ifndef PROTOCOL_SETTINGS_INT_H
#define PROTOCOL_SETTINGS_INT_H

#include "protocol/settings.h"
#include <cyaml/cyaml.h>
#include <stdarg.h>

#define SETTINGS_PATH_SIZE   192 /**< bytes of a path, with NUL */
#define SETTINGS_REASON_SIZE 224 /**< bytes of a reason, with NUL */
#define SETTINGS_KEY_MIN     8   /**< minimum bytes of a customer's key */
#define SETTINGS_KEY_MAX     256 /**< maximum bytes of a customer's key */

enum settings_kind
{
  SETTINGS_U32,
  SETTINGS_U64,
  SETTINGS_BOOL,
  SETTINGS_ENUM,
  SETTINGS_TEXT,
  SETTINGS_TEXTS,      /**< sequence of texts */
  SETTINGS_RECORD,     /**< embedded record */
  SETTINGS_RECORD_PTR, /**< optional record */
  SETTINGS_RECORDS,    /**< sequence of records */
  SETTINGS_KIND_MAX
};

/** Required format of a text. */
enum settings_form
{
  SETTINGS_FORM_ANY,
  SETTINGS_FORM_NAME,    /**< letters, digits, '.', '_' and '-' */
  SETTINGS_FORM_ADDRESS, /**< IP address and port */
  SETTINGS_FORM_LISTEN,  /**< likewise; port 0 lets the system choose */
  SETTINGS_FORM_DIGEST,  /**< 64 hexadecimal digits */
  SETTINGS_FORM_CHOICE,  /**< one of `names` */
  SETTINGS_FORM_SECRET,  /**< `min` to `max` bytes; never output */
  SETTINGS_FORM_MAX
};

enum settings_record_id
{
  SETTINGS_RECORD_TOP,
  SETTINGS_RECORD_ROUTER,
  SETTINGS_RECORD_LIMITS,
  SETTINGS_RECORD_PLATFORM,
  SETTINGS_RECORD_TOKEN,
  SETTINGS_RECORD_CUSTOMER,
  SETTINGS_RECORD_PROFILE,
  SETTINGS_RECORD_SERVICE,
  SETTINGS_RECORD_UPSTREAM,
  SETTINGS_RECORD_ID_MAX
};

/** Descriptor of a field. */
struct settings_field
{
  const char *key;
  enum settings_kind kind;
  bool required;
  uint32_t offset;                /**< of the member in its structure */
  uint32_t count_offset;          /**< of a sequence's count member */
  uint64_t min;                   /**< number, entries, or bytes of a secret */
  uint64_t max;                   /**< likewise */
  uint64_t default_value;         /**< of a number */
  const char *default_text;       /**< of a text; NULL for none */
  enum settings_form form;        /**< of texts */
  const cyaml_strval_t *names;    /**< of enums and choices */
  uint32_t names_count;           /**< entries of `names` */
  enum settings_record_id record; /**< of records */
};

/** Descriptor of a record. */
struct settings_record
{
  const struct settings_field *fields;
  uint32_t fields_count;
  uint32_t size; /**< bytes of the structure */
};

extern const struct settings_record settings_records[SETTINGS_RECORD_ID_MAX];

/** YAML schema of the whole file, built on first use. */
const cyaml_schema_value_t *settings_schema (void);
/** YAML schema of a single record. */
const cyaml_schema_value_t *
settings_record_schema (enum settings_record_id id);

/** Called with each field of a record; `data` points at the member. */
typedef void (*settings_visitor) (void *user, const char *path,
                                  const struct settings_field *field,
                                  void *data);

/** Visits every field of a record and of the records in it, outer fields
    first. */
void settings_walk (enum settings_record_id id, void *record, const char *path,
                    settings_visitor visit, void *user);

/** Number of entries of a sequence field whose member is at `data`. */
uint32_t settings_count (const struct settings_field *field, const void *data);

struct settings_source;

/** Receiver of errors. */
struct settings_report
{
  void (*on_error) (void *user, const char *path, uint32_t line,
                    const char *reason);
  void *user;
  struct settings_source *source; /**< for line numbers; may be NULL */
  uint32_t error_count;           /**< errors reported so far */
};

/** Reports an error of the value at `path`. */
void settings_report_error (struct settings_report *report, const char *path,
                            const char *format, ...)
    __attribute__ ((format (printf, 3, 4)));

/** Checks range and format of every field of a record. */
void settings_check (enum settings_record_id id, void *record,
                     const char *path, struct settings_report *report);

/** Checks that involve several fields of one object, such as duplicate
    upstreams. */
void settings_check_customer (const struct settings_customer *customer,
                              const char *path,
                              struct settings_report *report);
void settings_check_service (const struct settings_service *service,
                             const char *path, struct settings_report *report);

/** Adds or replaces one object of a catalog. @return 0 or an error. */
int settings_put_customer (const struct settings_customer *customer,
                           struct catalog *catalog);
int settings_put_profile (const struct settings_profile *profile,
                          struct catalog *catalog);
int settings_put_service (const struct settings_service *service,
                          struct catalog *catalog);

/** Decodes 64 hexadecimal digits. @return 0 or ERR_INVALID. */
int settings_parse_digest (const char *text,
                           uint8_t digest[CATALOG_KEY_HASH_SIZE]);

#endif
