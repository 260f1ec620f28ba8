/**
 * @file verdict.c
 * Values of the `Cherrylanding-Verdict` header, and statuses that imply one.
 */
#include "state/verdict.h"

static const char *const verdict_names[VERDICT_MAX] = {
  [VERDICT_NOT_RUN] = "not-run",
  [VERDICT_MAY_HAVE_RUN] = "may-have-run",
  [VERDICT_RAN] = "ran",
};

const char *
verdict_name (enum verdict verdict)
{
  return verdict_names[verdict];
}

bool
verdict_status_is_not_run (int status)
{
  return status == 408 || status == 421 || status == 429 || status == 503;
}
