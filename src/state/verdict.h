/**
 * @file verdict.h
 * Says whether a request may have run at an upstream.
 */
#ifndef STATE_VERDICT_H
#define STATE_VERDICT_H

/** What is known of a request's execution when it ends. */
enum verdict
{
  VERDICT_NOT_RUN,      /**< no upstream was handed any byte of it */
  VERDICT_MAY_HAVE_RUN, /**< an upstream was handed some of it */
  VERDICT_RAN,          /**< an upstream sent the whole response */
  VERDICT_MAX
};

/**
 * Value of the `Cherrylanding-Verdict` header.
 * @return "not-run", "may-have-run" or "ran".
 */
const char *verdict_name (enum verdict verdict);

#endif
