/**
 * @file refusal.h
 * Reasons for responses that the router generates itself.
 */
#ifndef STATE_REFUSAL_H
#define STATE_REFUSAL_H

#include <stdint.h>

/** Reason of a response that no upstream sent. */
enum refusal
{
  REFUSAL_NONE,
  REFUSAL_BAD_REQUEST,       /**< 400 malformed request */
  REFUSAL_PROFILE_MISSING,   /**< 400 profile header missing */
  REFUSAL_NO_KEY,            /**< 401 key missing or unknown */
  REFUSAL_NO_PROFILE,        /**< 404 profile unknown */
  REFUSAL_NO_SERVICE,        /**< 404 service unknown or not the profile's */
  REFUSAL_HTTP_VERSION,      /**< 505 HTTP before 1.1 */
  REFUSAL_HEADERS_TOO_LARGE, /**< 431 header section over its limit */
  REFUSAL_BODY_TOO_LARGE,    /**< 413 body over its limit */
  REFUSAL_READ_TIMEOUT,      /**< 408 request did not arrive whole in time */
  REFUSAL_IDLE_TIMEOUT,      /**< 408 connection was idle for too long */
  REFUSAL_CUSTOMER_LIMIT,    /**< 429 customer's limit of waiting requests */
  REFUSAL_PROFILE_LIMIT,     /**< 429 profile's limit of waiting requests */
  REFUSAL_SHED,              /**< 503 disposable request shed to make room */
  REFUSAL_ROUTER_FULL,       /**< 503 router's limit of waiting requests */
  REFUSAL_CUSTOMER_MEMORY,   /**< 429 customer's requests hold too much */
  REFUSAL_MEMORY,            /**< 503 no memory for the request */
  REFUSAL_CONNECTIONS,       /**< 503 connection limit, or event loop
                                  overloaded */
  REFUSAL_QUARANTINED,       /**< 503 upstreams crash under the request, or
                                  under a part of its prompt */
  REFUSAL_NO_BUILD,          /**< 503 the build that began a stream is unknown
                                  or has no upstream */
  REFUSAL_NO_UPSTREAM,       /**< 503 service has no usable upstream */
  REFUSAL_DRAINING,          /**< 503 instance is shutting down */
  REFUSAL_NOT_READY,         /**< 503 no configuration yet, or one that may be
                                  too old to contain the key or route */
  REFUSAL_DEADLINE,          /**< 504 deadline passed */
  REFUSAL_UPSTREAM_FAILED,   /**< 502 attempts failed */
  REFUSAL_RETRY_BUDGET,      /**< 502 attempt failed, retry budget exhausted */
  REFUSAL_MAX
};

/** Response to the client for a refusal. */
struct refusal_info
{
  uint16_t status;        /**< HTTP status code */
  uint16_t retry_after_s; /**< Retry-After value; 0 for none */
  const char *code;       /**< `error.code` of the JSON body */
  const char *message;    /**< `error.message` of the JSON body */
};

/** Static description of a refusal; never NULL for a valid value. */
const struct refusal_info *refusal_info (enum refusal refusal);

#endif
