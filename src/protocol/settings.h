/**
 * @file settings.h
 * The YAML settings file: one instance's own settings (`router`) and
 * configuration objects (`customers`, `profiles`, `services`).  All parts are
 * optional, so that `check` and `apply` accept the same files.  libcyaml loads
 * the file; settings_validate() then reports all errors of cross-checks.
 */
#ifndef PROTOCOL_SETTINGS_H
#define PROTOCOL_SETTINGS_H

#include "state/catalog.h"
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>

enum settings_platform_kind
{
  SETTINGS_PLATFORM_MEMORY, /**< single router; objects from the file */
  SETTINGS_PLATFORM_HTTP,
  SETTINGS_PLATFORM_MAX
};

enum settings_role
{
  SETTINGS_ROLE_READ,
  SETTINGS_ROLE_WRITE,
  SETTINGS_ROLE_MAX
};

struct settings_token
{
  char *operator_name; /**< shown in the audit trail */
  enum settings_role role;
  char *token_sha256; /**< 64 hexadecimal digits */
};

struct settings_limits
{
  uint32_t header_bytes_max;
  uint32_t body_bytes_max;
  uint32_t connections_max;
  uint32_t memory_mb; /**< of the process; 1 MB is 1,000,000 bytes */
  uint32_t waiting_max;
  uint32_t idle_timeout_ms;       /**< client connection without request */
  uint32_t read_timeout_ms;       /**< to receive one whole request */
  uint32_t response_buffer_bytes; /**< per stream, for slow clients */
  /** Service that `quick` requests may receive ahead of their customer's
      turn, in thousandths of the service given in turn. */
  uint32_t quick_permille;
};

struct settings_platform
{
  enum settings_platform_kind kind;
  char *address; /**< "IP:PORT"; required for http */
  char *prefix;  /**< of keys, such as "cherrylanding/" */
  uint32_t timeout_ms;
  uint32_t watch_wait_ms;
  uint32_t calls_per_second_max;
};

struct settings_router
{
  char *instance;
  char *fleet;
  char *availability_zone;
  char *client_address; /**< "IP:PORT" to listen on for clients */
  char *admin_address;
  char *peer_address;
  char *peer_advertised; /**< address given to peers; NULL: peer_address */
  char **peers;          /**< addresses to connect to at start */
  uint32_t peers_count;
  char *peer_secret;
  uint32_t exchange_interval_ms;
  uint32_t lease_ms;
  /** Normalised units of debt that double a customer's weight; 0: off. */
  uint64_t payback;
  uint32_t drain_timeout_ms;
  uint32_t connect_timeout_ms;
  char *log_level; /**< debug, info, warn or error */
  char *placement; /**< affine or least_busy */
  char *
      share_policy; /**< fleet; static and fcfs are baselines for benchmarks */
  struct settings_limits limits;
  struct settings_platform platform;
  struct settings_token *tokens;
  uint32_t tokens_count;
};

struct settings_customer
{
  char *name;
  uint32_t weight;
  uint32_t waiting_max;
  char **keys; /**< plain text; hashed before they are stored */
  uint32_t keys_count;
  char **key_sha256; /**< SHA-256 of keys, 64 hexadecimal digits */
  uint32_t key_sha256_count;
};

struct settings_profile
{
  char *name;
  char *service;
  enum catalog_class request_class; /**< `class` in YAML */
  bool idempotent;
  uint32_t deadline_ms;
  uint32_t queue_limit;
  uint32_t attempts_max;
  uint64_t cost_hint;
};

struct settings_upstream
{
  char *address;
  char *availability_zone;
  uint32_t slots;
  bool draining;
};

struct settings_service
{
  char *name;
  enum catalog_kind kind;
  uint32_t input_cost;
  uint32_t output_cost;
  uint32_t idle_timeout_ms;
  bool resumable;
  bool fenced;
  struct settings_upstream *upstreams;
  uint32_t upstreams_count;
};

struct settings
{
  struct settings_router *router; /**< NULL when absent */
  struct settings_customer *customers;
  uint32_t customers_count;
  struct settings_profile *profiles;
  uint32_t profiles_count;
  struct settings_service *services;
  uint32_t services_count;
};

/**
 * Loads a file.  Errors are written to `errors`, one per line:
 * "FILE:LINE: PATH: reason".
 * @return 0, ERR_NOT_FOUND, ERR_INVALID, ERR_NO_MEMORY.
 */
int settings_load (const char *path, struct settings **settings, FILE *errors);
/** Loads from memory; `path` is used in error messages only. */
int settings_load_text (const char *path, const char *text, size_t size,
                        struct settings **settings, FILE *errors);
void settings_free (struct settings *settings);

/** Checks ranges, references and duplicates.  Reports all errors, with line
    numbers if the file can be read again.  A file with neither router settings
    nor services is part of a larger configuration: its profiles may refer to
    services that are defined elsewhere.
    @return 0 or ERR_INVALID. */
int settings_validate (const struct settings *settings, const char *path,
                       FILE *errors);

/** Adds the file's objects to a catalog. @return 0 or an error. */
int settings_apply (const struct settings *settings, struct catalog *catalog);

#endif
