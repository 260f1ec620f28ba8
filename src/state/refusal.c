/**
 * @file refusal.c
 * HTTP status, Retry-After value, code and message of each refusal.
 */
#include "state/refusal.h"

static const struct refusal_info refusals[REFUSAL_MAX] = {
  [REFUSAL_NONE] = { 500, 0, "none", "no refusal" },
  [REFUSAL_BAD_REQUEST] = { 400, 0, "bad_request", "malformed request" },
  [REFUSAL_PROFILE_MISSING]
  = { 400, 0, "profile_missing",
      "the Cherrylanding-Profile header is missing" },
  [REFUSAL_NO_KEY] = { 401, 0, "unauthorized", "key missing or unknown" },
  [REFUSAL_NO_PROFILE] = { 404, 0, "no_profile", "profile unknown" },
  [REFUSAL_NO_SERVICE]
  = { 404, 0, "no_service", "service unknown or not the profile's" },
  [REFUSAL_HTTP_VERSION] = { 505, 0, "http_version", "HTTP/1.1 is required" },
  [REFUSAL_HEADERS_TOO_LARGE]
  = { 431, 0, "headers_too_large", "header section over its limit" },
  [REFUSAL_BODY_TOO_LARGE]
  = { 413, 0, "body_too_large", "body over its limit" },
  [REFUSAL_READ_TIMEOUT]
  = { 408, 0, "read_timeout", "request did not arrive whole in time" },
  [REFUSAL_IDLE_TIMEOUT]
  = { 408, 0, "idle_timeout", "connection was idle for too long" },
  [REFUSAL_CUSTOMER_LIMIT]
  = { 429, 1, "customer_limit", "too many requests of the customer wait" },
  [REFUSAL_PROFILE_LIMIT]
  = { 429, 1, "profile_limit", "too many requests of the profile wait" },
  [REFUSAL_SHED]
  = { 503, 2, "shed", "dropped to make room for other requests" },
  [REFUSAL_ROUTER_FULL] = { 503, 1, "router_full", "too many requests wait" },
  [REFUSAL_CUSTOMER_MEMORY]
  = { 429, 1, "customer_memory",
      "requests of the customer hold too much memory" },
  [REFUSAL_MEMORY]
  = { 503, 1, "memory", "no memory for the request at this time" },
  [REFUSAL_CONNECTIONS]
  = { 503, 1, "too_many_connections", "connection limit reached" },
  [REFUSAL_QUARANTINED]
  = { 503, 60, "quarantined", "upstreams crash under the request" },
  [REFUSAL_NO_BUILD]
  = { 503, 60, "no_build", "no upstream can continue the stream" },
  [REFUSAL_NO_UPSTREAM]
  = { 503, 5, "no_upstream", "service has no usable upstream" },
  [REFUSAL_DRAINING] = { 503, 1, "draining", "instance is shutting down" },
  [REFUSAL_NOT_READY]
  = { 503, 1, "not_ready", "instance holds no configuration yet" },
  [REFUSAL_DEADLINE] = { 504, 1, "deadline", "deadline passed" },
  [REFUSAL_UPSTREAM_FAILED] = { 502, 1, "upstream_failed", "upstream failed" },
  [REFUSAL_RETRY_BUDGET]
  = { 502, 2, "retry_budget", "upstream failed and no retry is left" },
};

const struct refusal_info *
refusal_info (enum refusal refusal)
{
  return &refusals[refusal];
}
