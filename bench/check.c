/**
 * @file check.c
 * Comparison of a response with the expected one.
 */
#include "check.h"
#include <string.h>

static void generate_expected (struct check *check, size_t size);
static void reset (struct check *check);

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
  reset (check);
  check->streamed = flow->streamed;
  text_spec_init (&check->spec, flow->chat ? TEXT_CHAT : TEXT_COMPLETION,
                  request_id, prompt, prompt_size, output_tokens);
  if (check->streamed)
    return;
  text_add_json (&check->spec, check->expected);
  check->generated_all = true;
}

void
check_expect_plain (struct check *check, const char *request_id,
                    const char *method, const char *path, const char *body,
                    size_t body_size)
{
  reset (check);
  text_add_plain (request_id, method, path, body, body_size, check->expected);
  check->generated_all = true;
}

void
check_feed (struct check *check, struct evbuffer *data)
{
  size_t size = evbuffer_get_length (data);

  generate_expected (check, size);
  if (evbuffer_get_length (check->expected) < size
      || (size > 0
          && memcmp (evbuffer_pullup (data, (ev_ssize_t)size),
                     evbuffer_pullup (check->expected, (ev_ssize_t)size), size)
                 != 0))
    check->mismatched = true;
  evbuffer_drain (data, size);
  evbuffer_drain (check->expected, size);
}

enum flow_outcome
check_result (struct check *check)
{
  if (check->mismatched)
    return FLOW_MISMATCHED;
  generate_expected (check, 1);
  return evbuffer_get_length (check->expected) > 0 ? FLOW_TRUNCATED
                                                   : FLOW_COMPLETE;
}

static void
reset (struct check *check)
{
  evbuffer_drain (check->expected, evbuffer_get_length (check->expected));
  check->next_token = 0;
  check->streamed = false;
  check->generated_all = false;
  check->mismatched = false;
}

static void
generate_expected (struct check *check, size_t size)
{
  while (!check->generated_all && evbuffer_get_length (check->expected) < size)
    {
      if (check->next_token < check->spec.output_tokens)
        text_add_event (&check->spec, check->next_token++, check->expected);
      else
        {
          text_add_tail (&check->spec, check->expected);
          check->generated_all = true;
        }
    }
}
