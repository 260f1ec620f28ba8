/**
 * @file err.c
 * Names of error numbers.
 */
#include "state/err.h"

static const char *const err_names[-ERR_MIN] = {
  [-ERR_OK] = "ok",
  [-ERR_NO_MEMORY] = "no_memory",
  [-ERR_INVALID] = "invalid",
  [-ERR_NOT_FOUND] = "not_found",
  [-ERR_EXISTS] = "exists",
  [-ERR_FULL] = "full",
  [-ERR_CONFLICT] = "conflict",
  [-ERR_TIMEOUT] = "timeout",
  [-ERR_REFUSED] = "refused",
  [-ERR_RESET] = "reset",
  [-ERR_TRUNCATED] = "truncated",
  [-ERR_MISMATCH] = "mismatch",
  [-ERR_TOO_LARGE] = "too_large",
  [-ERR_AUTH] = "auth",
  [-ERR_UNAVAILABLE] = "unavailable",
  [-ERR_RATE_LIMITED] = "rate_limited",
  [-ERR_PROTOCOL] = "protocol",
  [-ERR_IO] = "io",
  [-ERR_CANCELED] = "canceled",
  [-ERR_STALE] = "stale",
  [-ERR_UNKNOWN_OUTCOME] = "unknown_outcome",
};

const char *
err_name (int error)
{
  if (error > 0 || error <= ERR_MIN)
    return "unknown";
  return err_names[-error];
}
