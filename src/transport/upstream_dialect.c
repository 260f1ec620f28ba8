/**
 * @file upstream_dialect.c
 * The default headers between a router and an upstream.
 */
#include "state/err.h"
#include "state/verdict.h"
#include "transport/upstream.h"
#include <stdlib.h>
#include <string.h>
#include <strings.h>

static int check_response (const char *request_id, uint64_t resume_after,
                           int status, const struct upstream_header *headers,
                           size_t count);
static bool is_draining (const struct upstream_header *headers, size_t count);

const struct upstream_dialect upstream_default_dialect = {
  .id_header = "Cherrylanding-Request-Id",
  .resume_header = "Cherrylanding-Resume-Offset",
  .allow_close_delimited = false,
  .check_response = check_response,
  .draining = is_draining,
};

const char *
upstream_header_find (const struct upstream_header *headers, size_t count,
                      const char *name)
{
  size_t i;

  for (i = 0; i < count; i++)
    if (strcasecmp (headers[i].name, name) == 0)
      return headers[i].value;
  return NULL;
}

/* An upstream that refuses a request before running it responds with status
   503 and the verdict "not run". */
static int
check_response (const char *request_id, uint64_t resume_after, int status,
                const struct upstream_header *headers, size_t count)
{
  const char *id = upstream_header_find (headers, count,
                                         upstream_default_dialect.id_header);
  const char *resumed
      = upstream_header_find (headers, count, "Cherrylanding-Resumed");
  const char *verdict
      = upstream_header_find (headers, count, "Cherrylanding-Verdict");

  if (id == NULL || strcmp (id, request_id) != 0)
    return ERR_MISMATCH;
  if (status == 503 && verdict != NULL
      && strcmp (verdict, verdict_name (VERDICT_NOT_RUN)) == 0)
    return ERR_UNAVAILABLE;
  if (resume_after > 0
      && (status != 200 || resumed == NULL
          || strtoull (resumed, NULL, 10) != resume_after))
    return ERR_PROTOCOL;
  return 0;
}

static bool
is_draining (const struct upstream_header *headers, size_t count)
{
  const char *state
      = upstream_header_find (headers, count, "Cherrylanding-Upstream-State");

  return state != NULL && strcasecmp (state, "draining") == 0;
}
