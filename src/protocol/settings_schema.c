/**
 * @file settings_schema.c
 * Field descriptors, and the libcyaml schema that is built from them.
 */
#include "protocol/settings_int.h"
#include <stddef.h>
#include <string.h>

#define COUNT(array) ((uint32_t)(sizeof (array) / sizeof ((array)[0])))

#define MINUTE_MS   60000ULL
#define HOUR_MS     (60 * MINUTE_MS)
#define DAY_MS      (24 * HOUR_MS)
#define KIB         1024ULL
#define MIB         (1024 * KIB)
#define MILLION     1000000ULL
#define BILLION     1000000000ULL
#define SECRET_MIN  16  /* bytes */
#define SECRET_MAX  256 /* bytes */
#define PEERS_MAX   4096
#define TOKENS_MAX  256
#define OBJECTS_MAX 100000

#define FIELD(type, yaml_key, member, field_kind, ...)                        \
  {                                                                           \
    .key = (yaml_key), .kind = (field_kind),                                  \
    .offset = offsetof (struct type, member), __VA_ARGS__                     \
  }
#define NUMBER(type, member, low, high, value)                                \
  FIELD (type, #member, member, SETTINGS_U32, .min = (low), .max = (high),    \
         .default_value = (value))
#define NUMBER64(type, member, low, high, value)                              \
  FIELD (type, #member, member, SETTINGS_U64, .min = (low), .max = (high),    \
         .default_value = (value))
#define FLAG(type, member) FIELD (type, #member, member, SETTINGS_BOOL)
#define TEXT(type, member, text_form, needed)                                 \
  FIELD (type, #member, member, SETTINGS_TEXT, .form = (text_form),           \
         .required = (needed))
#define CHOICE(type, member, choices, value)                                  \
  FIELD (type, #member, member, SETTINGS_TEXT, .form = SETTINGS_FORM_CHOICE,  \
         .names = (choices), .names_count = COUNT (choices),                  \
         .default_text = (value))
#define ENUM(type, yaml_key, member, choices, needed)                         \
  FIELD (type, yaml_key, member, SETTINGS_ENUM, .names = (choices),           \
         .names_count = COUNT (choices), .required = (needed))
#define SEQUENCE(type, member, field_kind, low, high, ...)                    \
  FIELD (type, #member, member, field_kind, .min = (low), .max = (high),      \
         .count_offset = offsetof (struct type, member##_count), __VA_ARGS__)

static void build_record (enum settings_record_id id);
static void build_field (const struct settings_field *field,
                         cyaml_schema_field_t *out);

static const cyaml_strval_t bool_names[]
    = { { "false", false }, { "true", true } };
static const cyaml_strval_t platform_names[] = {
  { "memory", SETTINGS_PLATFORM_MEMORY },
  { "http", SETTINGS_PLATFORM_HTTP },
};
static const cyaml_strval_t role_names[] = {
  { "read", SETTINGS_ROLE_READ },
  { "write", SETTINGS_ROLE_WRITE },
};
static const cyaml_strval_t class_names[] = {
  { "durable", CATALOG_DURABLE },
  { "quick", CATALOG_QUICK },
  { "disposable", CATALOG_DISPOSABLE },
};
static const cyaml_strval_t kind_names[] = {
  { "engine", CATALOG_ENGINE },
  { "plain", CATALOG_PLAIN },
};
static const cyaml_strval_t level_names[]
    = { { "debug", 0 }, { "info", 1 }, { "warn", 2 }, { "error", 3 } };
static const cyaml_strval_t placement_names[]
    = { { "affine", 0 }, { "least_busy", 1 } };
static const cyaml_strval_t policy_names[]
    = { { "fleet", 0 }, { "static", 1 }, { "fcfs", 2 } };

static const struct settings_field top_fields[] = {
  FIELD (settings, "router", router, SETTINGS_RECORD_PTR,
         .record = SETTINGS_RECORD_ROUTER),
  SEQUENCE (settings, customers, SETTINGS_RECORDS, 0, OBJECTS_MAX,
            .record = SETTINGS_RECORD_CUSTOMER),
  SEQUENCE (settings, profiles, SETTINGS_RECORDS, 0, OBJECTS_MAX,
            .record = SETTINGS_RECORD_PROFILE),
  SEQUENCE (settings, services, SETTINGS_RECORDS, 0, OBJECTS_MAX,
            .record = SETTINGS_RECORD_SERVICE),
};

static const struct settings_field router_fields[] = {
  TEXT (settings_router, instance, SETTINGS_FORM_NAME, true),
  TEXT (settings_router, fleet, SETTINGS_FORM_NAME, true),
  TEXT (settings_router, availability_zone, SETTINGS_FORM_NAME, true),
  TEXT (settings_router, client_address, SETTINGS_FORM_LISTEN, true),
  TEXT (settings_router, admin_address, SETTINGS_FORM_LISTEN, false),
  TEXT (settings_router, peer_address, SETTINGS_FORM_LISTEN, false),
  TEXT (settings_router, peer_advertised, SETTINGS_FORM_ADDRESS, false),
  SEQUENCE (settings_router, peers, SETTINGS_TEXTS, 0, PEERS_MAX,
            .form = SETTINGS_FORM_ADDRESS),
  FIELD (settings_router, "peer_secret", peer_secret, SETTINGS_TEXT,
         .form = SETTINGS_FORM_SECRET, .min = SECRET_MIN, .max = SECRET_MAX),
  NUMBER (settings_router, exchange_interval_ms, 10, MINUTE_MS, 500),
  NUMBER (settings_router, lease_ms, 30, HOUR_MS, 3000),
  NUMBER64 (settings_router, payback, 0, BILLION *MILLION, 10 * MILLION),
  NUMBER (settings_router, drain_timeout_ms, 1, DAY_MS, 10 * MINUTE_MS),
  NUMBER (settings_router, connect_timeout_ms, 10, MINUTE_MS, 1000),
  CHOICE (settings_router, log_level, level_names, "info"),
  CHOICE (settings_router, placement, placement_names, "affine"),
  CHOICE (settings_router, share_policy, policy_names, "fleet"),
  FIELD (settings_router, "limits", limits, SETTINGS_RECORD,
         .record = SETTINGS_RECORD_LIMITS),
  FIELD (settings_router, "platform", platform, SETTINGS_RECORD,
         .record = SETTINGS_RECORD_PLATFORM),
  SEQUENCE (settings_router, tokens, SETTINGS_RECORDS, 0, TOKENS_MAX,
            .record = SETTINGS_RECORD_TOKEN),
};

static const struct settings_field limits_fields[] = {
  NUMBER (settings_limits, header_bytes_max, KIB, MIB, 16 * KIB),
  NUMBER (settings_limits, body_bytes_max, 1, 64 * MIB, MIB),
  NUMBER (settings_limits, connections_max, 1, MILLION, 10000),
  NUMBER (settings_limits, memory_mb, 32, MILLION, 1024),
  NUMBER (settings_limits, waiting_max, 1, MILLION, 20000),
  NUMBER (settings_limits, idle_timeout_ms, 100, HOUR_MS, MINUTE_MS),
  NUMBER (settings_limits, read_timeout_ms, 100, HOUR_MS, MINUTE_MS / 2),
  NUMBER (settings_limits, response_buffer_bytes, 4 * KIB, 16 * MIB,
          256 * KIB),
  NUMBER (settings_limits, quick_permille, 0, 1000, 250),
};

static const struct settings_field platform_fields[] = {
  ENUM (settings_platform, "kind", kind, platform_names, false),
  TEXT (settings_platform, address, SETTINGS_FORM_ADDRESS, false),
  FIELD (settings_platform, "prefix", prefix, SETTINGS_TEXT,
         .form = SETTINGS_FORM_ANY, .default_text = "cherrylanding/"),
  NUMBER (settings_platform, timeout_ms, 10, MINUTE_MS, 1000),
  NUMBER (settings_platform, watch_wait_ms, 100, 10 * MINUTE_MS,
          MINUTE_MS / 2),
  NUMBER (settings_platform, calls_per_second_max, 1, 10000, 20),
};

static const struct settings_field token_fields[] = {
  FIELD (settings_token, "operator", operator_name, SETTINGS_TEXT,
         .form = SETTINGS_FORM_NAME, .required = true),
  ENUM (settings_token, "role", role, role_names, true),
  TEXT (settings_token, token_sha256, SETTINGS_FORM_DIGEST, true),
};

static const struct settings_field customer_fields[] = {
  TEXT (settings_customer, name, SETTINGS_FORM_NAME, true),
  NUMBER (settings_customer, weight, 1, CATALOG_WEIGHT_MAX, 1),
  NUMBER (settings_customer, waiting_max, 1, MILLION, 1000),
  SEQUENCE (settings_customer, keys, SETTINGS_TEXTS, 0, CATALOG_KEYS_MAX,
            .form = SETTINGS_FORM_SECRET),
  SEQUENCE (settings_customer, key_sha256, SETTINGS_TEXTS, 0, CATALOG_KEYS_MAX,
            .form = SETTINGS_FORM_DIGEST),
};

static const struct settings_field profile_fields[] = {
  TEXT (settings_profile, name, SETTINGS_FORM_NAME, true),
  TEXT (settings_profile, service, SETTINGS_FORM_NAME, true),
  ENUM (settings_profile, "class", request_class, class_names, false),
  FLAG (settings_profile, idempotent),
  NUMBER (settings_profile, deadline_ms, 1, DAY_MS, 10 * MINUTE_MS),
  NUMBER (settings_profile, queue_limit, 1, MILLION, 1000),
  NUMBER (settings_profile, attempts_max, 1, 10, 3),
  NUMBER64 (settings_profile, cost_hint, 1, BILLION, 1000),
};

static const struct settings_field service_fields[] = {
  TEXT (settings_service, name, SETTINGS_FORM_NAME, true),
  ENUM (settings_service, "kind", kind, kind_names, true),
  NUMBER (settings_service, input_cost, 0, MILLION, 1),
  NUMBER (settings_service, output_cost, 0, MILLION, 2),
  NUMBER (settings_service, idle_timeout_ms, 100, HOUR_MS, 5000),
  FLAG (settings_service, resumable),
  FLAG (settings_service, fenced),
  SEQUENCE (settings_service, upstreams, SETTINGS_RECORDS, 1,
            CATALOG_UPSTREAMS_MAX, .record = SETTINGS_RECORD_UPSTREAM,
            .required = true),
};

static const struct settings_field upstream_fields[] = {
  TEXT (settings_upstream, address, SETTINGS_FORM_ADDRESS, true),
  TEXT (settings_upstream, availability_zone, SETTINGS_FORM_NAME, true),
  FIELD (settings_upstream, "slots", slots, SETTINGS_U32, .min = 1,
         .max = 65536, .required = true),
  FLAG (settings_upstream, draining),
};

const struct settings_record settings_records[SETTINGS_RECORD_ID_MAX] = {
  [SETTINGS_RECORD_TOP]
  = { top_fields, COUNT (top_fields), sizeof (struct settings) },
  [SETTINGS_RECORD_ROUTER]
  = { router_fields, COUNT (router_fields), sizeof (struct settings_router) },
  [SETTINGS_RECORD_LIMITS]
  = { limits_fields, COUNT (limits_fields), sizeof (struct settings_limits) },
  [SETTINGS_RECORD_PLATFORM] = { platform_fields, COUNT (platform_fields),
                                 sizeof (struct settings_platform) },
  [SETTINGS_RECORD_TOKEN]
  = { token_fields, COUNT (token_fields), sizeof (struct settings_token) },
  [SETTINGS_RECORD_CUSTOMER] = { customer_fields, COUNT (customer_fields),
                                 sizeof (struct settings_customer) },
  [SETTINGS_RECORD_PROFILE] = { profile_fields, COUNT (profile_fields),
                                sizeof (struct settings_profile) },
  [SETTINGS_RECORD_SERVICE] = { service_fields, COUNT (service_fields),
                                sizeof (struct settings_service) },
  [SETTINGS_RECORD_UPSTREAM] = { upstream_fields, COUNT (upstream_fields),
                                 sizeof (struct settings_upstream) },
};

#define FIELDS_MAX 24

/* The entry after the last field stays zero, which terminates the array. */
static cyaml_schema_field_t schema_fields[SETTINGS_RECORD_ID_MAX]
                                         [FIELDS_MAX + 1];
static cyaml_schema_value_t schema_records[SETTINGS_RECORD_ID_MAX];
static cyaml_schema_value_t schema_roots[SETTINGS_RECORD_ID_MAX];

static const cyaml_schema_value_t schema_text
    = { CYAML_VALUE_STRING (CYAML_FLAG_POINTER, char, 0, CYAML_UNLIMITED) };

const cyaml_schema_value_t *
settings_schema (void)
{
  return settings_record_schema (SETTINGS_RECORD_TOP);
}

const cyaml_schema_value_t *
settings_record_schema (enum settings_record_id id)
{
  int i;

  if (schema_roots[id].type == CYAML_MAPPING)
    return &schema_roots[id];
  for (i = SETTINGS_RECORD_ID_MAX - 1; i >= 0; i--)
    {
      build_record ((enum settings_record_id)i);
      schema_roots[i] = schema_records[i];
      schema_roots[i].flags = CYAML_FLAG_POINTER;
    }
  return &schema_roots[id];
}

static void
build_record (enum settings_record_id id)
{
  const struct settings_record *record = &settings_records[id];
  uint32_t i;

  for (i = 0; i < record->fields_count && i < FIELDS_MAX; i++)
    build_field (&record->fields[i], &schema_fields[id][i]);
  schema_records[id].type = CYAML_MAPPING;
  schema_records[id].data_size = record->size;
  schema_records[id].mapping.fields = schema_fields[id];
}

static void
build_field (const struct settings_field *field, cyaml_schema_field_t *out)
{
  cyaml_schema_value_t value = { .type = CYAML_UINT };
  unsigned int flags = field->required ? 0 : CYAML_FLAG_OPTIONAL;

  switch (field->kind)
    {
    case SETTINGS_U32:
    case SETTINGS_U64:
      value.data_size = field->kind == SETTINGS_U32 ? 4 : 8;
      break;
    case SETTINGS_BOOL:
    case SETTINGS_ENUM:
      /* CYAML_BOOL would parse any unknown word as true. */
      value.type = CYAML_ENUM;
      flags |= CYAML_FLAG_STRICT;
      value.data_size = field->kind == SETTINGS_BOOL ? sizeof (bool) : 4;
      value.enumeration.strings
          = field->kind == SETTINGS_BOOL ? bool_names : field->names;
      value.enumeration.count = field->kind == SETTINGS_BOOL
                                    ? COUNT (bool_names)
                                    : field->names_count;
      break;
    case SETTINGS_TEXT:
      value = schema_text;
      flags |= CYAML_FLAG_POINTER;
      break;
    case SETTINGS_TEXTS:
    case SETTINGS_RECORDS:
      value.type = CYAML_SEQUENCE;
      flags |= CYAML_FLAG_POINTER;
      value.sequence.entry = field->kind == SETTINGS_TEXTS
                                 ? &schema_text
                                 : &schema_records[field->record];
      value.sequence.max = CYAML_UNLIMITED;
      value.data_size = field->kind == SETTINGS_TEXTS
                            ? sizeof (char *)
                            : value.sequence.entry->data_size;
      out->count_offset = field->count_offset;
      out->count_size = sizeof (uint32_t);
      break;
    default:
      value = schema_records[field->record];
      if (field->kind == SETTINGS_RECORD_PTR)
        flags |= CYAML_FLAG_POINTER;
      break;
    }
  value.flags = (enum cyaml_flag)flags;
  out->key = field->key;
  out->data_offset = field->offset;
  out->value = value;
}
