/**
 * @file adapter.h
 * Interface that a platform implements for a gateway: a table of functions
 * that translate between the platform's wire formats and the gateway's types.
 */
#ifndef GATEWAY_ADAPTER_H
#define GATEWAY_ADAPTER_H

#include "protocol/kvstore.h"
#include "state/prompt.h"
#include "state/registry.h"
#include "state/routing.h"
#include "transport/httpd.h"
#include "transport/upstream.h"
#include <evhtp/evhtp.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define ADAPTER_ID_SIZE     128 /**< request ID, in bytes with the NUL */
#define ADAPTER_REASON_SIZE 160 /**< error reason, in bytes with the NUL */
/** Headers of one upstream request: the client's and those that are added. */
#define ADAPTER_HEADERS_MAX     (HTTPD_HEADERS_MAX + ADAPTER_OWN_HEADERS_MAX)
#define ADAPTER_OWN_HEADERS_MAX 4
#define ADAPTER_TEXT_SIZE                                                     \
  192 /**< buffer for generated header values, in bytes */

/** Parsed headers and prompt of a client's request.  Strings are borrowed from
    the HTTP request. */
struct adapter_request
{
  char id[ADAPTER_ID_SIZE]; /**< empty when absent */
  const char *host;         /**< NULL when absent */
  const char *key;          /**< API key of the customer; NULL when absent */
  bool has_remaining;
  uint32_t remaining_ms;     /**< time until the client gives up */
  const char *last_event_id; /**< id of the client's last event, or NULL */
  /** Id of the request that brought the first event of the stream that this
      one takes up; empty when absent, too long or not unique. */
  char resumes[ADAPTER_ID_SIZE];
  const char *model;    /**< that the prompt is for; NULL when absent */
  uint64_t output_hint; /**< expected output tokens; 0: unknown */
  struct prompt prompt; /**< without parts when the request has none */
};

/** Values that the gateway adds to the headers of an upstream request. */
struct adapter_upstream_request
{
  const char *customer;          /**< customer name, or NULL */
  const char *expected_identity; /**< identity that the upstream must have */
  uint64_t remaining_ms;
  const char *last_event_id; /**< id of the event to resume after, or NULL */
};

/** Upstream state that the response headers carry. */
struct adapter_response
{
  bool has_load;
  uint32_t running; /**< requests in progress, from all callers */
  uint32_t waiting;
  bool has_signature; /**< the upstream's signature header is present */
};

/** A configuration that is being parsed; private to the adapter. */
struct adapter_config;
#define ADAPTER_CONFIG_MORE 1 /**< parts of it are left */

struct gateway_adapter
{
  const char *name;
  const struct upstream_dialect *dialect;
  const char *config_key;      /**< store key of the configuration */
  const char *upstream_prefix; /**< store prefix of upstream registrations */
  const char *gateway_prefix;  /**< store prefix of gateway registrations */
  const char *stream_prefix;   /**< store prefix of summaries of streams */
  /** Begins to parse a configuration.
      @param text  borrowed until config_free(). @return NULL: no memory. */
  struct adapter_config *(*config_new) (const char *text, size_t size);
  /** Parses a part of a configuration.  A malformed one is rejected as a
      whole; entries that cannot be used are left out, logged and counted.
      @param bytes_max  of the text; exceeded by up to one entry.
      @return ADAPTER_CONFIG_MORE, or at the end 0 (with the routing),
      ERR_INVALID (with a reason) or ERR_NO_MEMORY. */
  int (*config_step) (struct adapter_config *config, size_t bytes_max,
                      struct routing **routing,
                      char reason[ADAPTER_REASON_SIZE]);
  void (*config_free) (struct adapter_config *config);
  /** Parses an upstream's registration, except identity and revision, which
      the caller sets.
      @return 0 or ERR_INVALID (with a reason). */
  int (*read_upstream) (const char *text, size_t size,
                        struct registry_record *record,
                        char reason[ADAPTER_REASON_SIZE]);
  /** Parses a client's request. @return 0, or ERR_INVALID for a malformed
      value. */
  int (*read_request) (const evhtp_request_t *http,
                       struct adapter_request *request);
  /** Writes the headers of an upstream request: those forwarded from the
      client, and those that the gateway adds.
      @param text  buffer for generated values. @return the header count. */
  size_t (*write_request_headers) (
      const evhtp_request_t *http,
      const struct adapter_upstream_request *header_values,
      struct upstream_header *headers, char text[ADAPTER_TEXT_SIZE]);
  void (*read_response_headers) (const struct upstream_header *headers,
                                 size_t count,
                                 struct adapter_response *response);
  /** Whether a response header is forwarded to the client. */
  bool (*response_is_forwarded) (const char *name);
};

#endif
