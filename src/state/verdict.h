/**
 * @file verdict.h
 * Whether a request may have been executed by an upstream.
 */
#ifndef STATE_VERDICT_H
#define STATE_VERDICT_H

#include <stdbool.h>

/** What is known of the execution of a request when it ends. */
enum verdict
{
  VERDICT_NOT_RUN,      /**< no byte of it was sent to an upstream */
  VERDICT_MAY_HAVE_RUN, /**< at least one byte was sent to an upstream */
  VERDICT_RAN,          /**< an upstream sent a complete response */
  VERDICT_MAX
};

/**
 * Value of the `Cherrylanding-Verdict` header.
 * @return "not-run", "may-have-run" or "ran".
 */
const char *verdict_name (enum verdict verdict);

/**
 * Whether the clients of a gateway take an HTTP status as a statement that the
 * request has not run: they send even one that is not idempotent again.
 */
bool verdict_status_is_not_run (int status);

#endif
