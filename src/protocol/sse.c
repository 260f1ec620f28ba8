/**
 * @file sse.c
 * Splits a server-sent event stream into complete events.
 */
#include "protocol/sse.h"
#include "state/err.h"
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define SEPARATOR      "\n\n"
#define SEPARATOR_SIZE 2 /* bytes */

static int append (struct evbuffer *partial, struct evbuffer *data);
static bool accept_event (struct sse *sse, const char *event, size_t size);

int
sse_init (struct sse *sse)
{
  memset (sse, 0, sizeof *sse);
  sse->partial = evbuffer_new ();
  return sse->partial == NULL ? ERR_NO_MEMORY : 0;
}

void
sse_finish (struct sse *sse)
{
  if (sse->partial != NULL)
    evbuffer_free (sse->partial);
  sse->partial = NULL;
}

int
sse_feed (struct sse *sse, struct evbuffer *data, struct evbuffer *out)
{
  const size_t held = evbuffer_get_length (sse->partial);
  /* A separator may have begun in what was held. */
  size_t searched = held == 0 ? 0 : held - 1;
  struct evbuffer_ptr start;
  struct evbuffer_ptr end;
  const char *event;
  size_t size;

  if (append (sse->partial, data) != 0)
    return ERR_NO_MEMORY;
  for (;;)
    {
      if (evbuffer_ptr_set (sse->partial, &start, searched, EVBUFFER_PTR_SET)
          != 0)
        break;
      end = evbuffer_search (sse->partial, SEPARATOR, SEPARATOR_SIZE, &start);
      if (end.pos < 0)
        break;
      searched = 0;
      size = (size_t)end.pos + SEPARATOR_SIZE;
      event = (const char *)evbuffer_pullup (sse->partial, (ev_ssize_t)size);
      if (event == NULL)
        return ERR_NO_MEMORY;
      if (accept_event (sse, event, size)
          && evbuffer_add (out, event, size) != 0)
        return ERR_NO_MEMORY;
      evbuffer_drain (sse->partial, size);
    }
  return evbuffer_get_length (sse->partial) > SSE_EVENT_MAX ? ERR_TOO_LARGE
                                                            : 0;
}

/* Copies: a moved buffer takes much more memory than a few bytes. */
static int
append (struct evbuffer *partial, struct evbuffer *data)
{
  const size_t size = evbuffer_get_length (data);
  const unsigned char *bytes = evbuffer_pullup (data, -1);

  if (size == 0)
    return 0;
  if (bytes == NULL || evbuffer_add (partial, bytes, size) != 0)
    return ERR_NO_MEMORY;
  evbuffer_drain (data, size);
  return 0;
}

/* Counts an event and records its id.  @return false for an event that was
   already forwarded. */
static bool
accept_event (struct sse *sse, const char *event, size_t size)
{
  const char *line = event;
  const char *end = event + size;
  const char *next;
  uint64_t id;

  for (; line < end; line = next)
    {
      next = memchr (line, '\n', (size_t)(end - line));
      next = next == NULL ? end : next + 1;
      if ((size_t)(next - line) < strlen ("id:0")
          || strncmp (line, "id:", strlen ("id:")) != 0)
        continue;
      id = strtoull (line + strlen ("id:"), NULL, 10);
      if (sse->has_id && id <= sse->last_id)
        return false;
      sse->has_id = true;
      sse->last_id = id;
    }
  sse->events++;
  return true;
}

void
sse_discard_partial (struct sse *sse)
{
  evbuffer_drain (sse->partial, evbuffer_get_length (sse->partial));
}

bool
sse_at_event_boundary (const struct sse *sse)
{
  return evbuffer_get_length (sse->partial) == 0;
}

const char *
sse_last_id (const struct sse *sse, char text[SSE_ID_SIZE])
{
  if (!sse->has_id)
    return NULL;
  snprintf (text, SSE_ID_SIZE, "%" PRIu64, sse->last_id);
  return text;
}
