/**
 * @file adapter.h
 * What a platform provides to a gateway: translation of what is said on its
 * wire into the product's types and back, as a table of functions.
 */
#ifndef GATEWAY_ADAPTER_H
#define GATEWAY_ADAPTER_H

#include "protocol/platform.h"
#include "state/prompt.h"
#include "state/roster.h"
#include "state/routing.h"
#include "transport/upstream.h"
#include <evhtp/evhtp.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define ADAPTER_ID_SIZE     128 /**< bytes of a request's id with its NUL */
#define ADAPTER_REASON_SIZE 160 /**< bytes of a reason with its NUL */
#define ADAPTER_HEADERS_MAX 64  /**< headers of an attempt */
#define ADAPTER_TEXT_SIZE   192 /**< bytes for the values it writes */

/** What a client's request says.  Texts belong to the request. */
struct adapter_ask
{
  char id[ADAPTER_ID_SIZE]; /**< empty when none was given */
  const char *host;         /**< NULL when absent */
  const char *key;          /**< of its customer; NULL when absent */
  bool has_remaining;
  uint32_t remaining_ms; /**< how long the client waits */
  const char *resume;    /**< event that the client has seen last; or NULL */
  uint64_t output_guess; /**< tokens that the client expects; 0: not told */
  struct prompt prompt;  /**< without parts when it told none */
};

/** What is added to an attempt. */
struct adapter_attempt
{
  const char *customer; /**< name; NULL for none */
  const char *expected; /**< identity of the upstream */
  uint64_t remaining_ms;
  const char *resume; /**< event to go on after; or NULL */
};

/** What a response's headers say beside the response. */
struct adapter_told
{
  bool has_load;
  uint32_t running; /**< requests, over all callers */
  uint32_t waiting;
  bool has_signature; /**< it bears an upstream's signature */
};

struct gateway_adapter
{
  const char *name;
  const struct upstream_dialect *dialect;
  const char *config_key;      /**< of the whole configuration */
  const char *upstream_prefix; /**< of upstreams' announcements */
  const char *own_prefix;      /**< of what gateways write */
  /** Reads a configuration whole or not at all.
      @return 0, ERR_INVALID (with a reason) or ERR_NO_MEMORY. */
  int (*read_config) (const char *text, size_t size, struct routing **routing,
                      char reason[ADAPTER_REASON_SIZE]);
  /** Reads what an upstream announced, without its identity and revision.
      @return 0 or ERR_INVALID (with a reason). */
  int (*read_upstream) (const char *text, size_t size,
                        struct roster_record *record,
                        char reason[ADAPTER_REASON_SIZE]);
  /** @return 0, or ERR_INVALID for a value that cannot be read. */
  int (*read_request) (const evhtp_request_t *http, struct adapter_ask *ask);
  /** Headers of an attempt: the client's that go on, and the system's own.
      @param text  room for their values. @return the count. */
  size_t (*write_attempt) (const evhtp_request_t *http,
                           const struct adapter_attempt *attempt,
                           struct upstream_header *headers,
                           char text[ADAPTER_TEXT_SIZE]);
  void (*read_response) (const struct upstream_header *headers, size_t count,
                         struct adapter_told *told);
  /** Whether a response's header is the client's to see. */
  bool (*response_passes) (const char *name);
};

#endif
