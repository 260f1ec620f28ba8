/**
 * @file check.c
 * Checks a response byte for byte.
 */
#include "check.h"
#include <string.h>

static void make_more (struct check *check, size_t size);
static void restart (struct check *check);

void
check_init (struct check *check)
{
  memset (check, 0, sizeof (*check));
  check->expected = evbuffer_new ();
}

void
check_finish (struct check *check)
{
  evbuffer_free (check->expected);
}

void
check_expect_engine (struct check *check, const struct flow *flow,
                     const char *request_id, const char *prompt,
                     size_t prompt_size, uint32_t output_tokens)
{
  restart (check);
  check->streamed = flow->streamed;
  text_spec_init (&check->spec, flow->chat ? TEXT_CHAT : TEXT_COMPLETION,
                  request_id, prompt, prompt_size, output_tokens);
  if (check->streamed)
    return;
  text_add_json (&check->spec, check->expected);
  check->made_all = true;
}

void
check_expect_plain (struct check *check, const char *request_id,
                    const char *method, const char *path, const char *body,
                    size_t body_size)
{
  restart (check);
  text_add_plain (request_id, method, path, body, body_size, check->expected);
  check->made_all = true;
}

void
check_feed (struct check *check, struct evbuffer *data)
{
  size_t size = evbuffer_get_length (data);

  make_more (check, size);
  if (evbuffer_get_length (check->expected) < size
      || (size > 0
          && memcmp (evbuffer_pullup (data, (ev_ssize_t)size),
                     evbuffer_pullup (check->expected, (ev_ssize_t)size), size)
                 != 0))
    check->differs = true;
  evbuffer_drain (data, size);
  evbuffer_drain (check->expected, size);
}

enum flow_outcome
check_result (struct check *check)
{
  if (check->differs)
    return FLOW_CROSSED;
  make_more (check, 1);
  return evbuffer_get_length (check->expected) > 0 ? FLOW_CUT : FLOW_WHOLE;
}

static void
restart (struct check *check)
{
  evbuffer_drain (check->expected, evbuffer_get_length (check->expected));
  check->next_token = 0;
  check->streamed = false;
  check->made_all = false;
  check->differs = false;
}

static void
make_more (struct check *check, size_t size)
{
  while (!check->made_all && evbuffer_get_length (check->expected) < size)
    {
      if (check->next_token < check->spec.output_tokens)
        text_add_event (&check->spec, check->next_token++, check->expected);
      else
        {
          text_add_tail (&check->spec, check->expected);
          check->made_all = true;
        }
    }
}
