/**
 * @file response_check.c
 * Comparison of a response with the expected one.
 */
#include "response_check.h"
#include <string.h>

static void generate_expected (struct response_check *response_check,
                               size_t size);
static void reset (struct response_check *response_check);

void
response_check_init (struct response_check *response_check)
{
  memset (response_check, 0, sizeof (*response_check));
  response_check->expected = evbuffer_new ();
}

void
response_check_finish (struct response_check *response_check)
{
  evbuffer_free (response_check->expected);
}

void
response_check_expect_engine (struct response_check *response_check,
                              const struct flow *flow, const char *request_id,
                              const char *prompt, size_t prompt_size,
                              uint32_t output_tokens)
{
  reset (response_check);
  response_check->streamed = flow->streamed;
  body_spec_init (&response_check->spec,
                  flow->chat ? BODY_CHAT : BODY_COMPLETION, request_id, prompt,
                  prompt_size, output_tokens);
  if (response_check->streamed)
    return;
  body_add_json (&response_check->spec, response_check->expected);
  response_check->generated_all = true;
}

void
response_check_expect_plain (struct response_check *response_check,
                             const char *request_id, const char *method,
                             const char *path, const char *body,
                             size_t body_size)
{
  reset (response_check);
  body_add_plain (request_id, method, path, body, body_size,
                  response_check->expected);
  response_check->generated_all = true;
}

void
response_check_compare (struct response_check *response_check,
                        struct evbuffer *data)
{
  size_t size = evbuffer_get_length (data);

  generate_expected (response_check, size);
  if (evbuffer_get_length (response_check->expected) < size
      || (size > 0
          && memcmp (
                 evbuffer_pullup (data, (ev_ssize_t)size),
                 evbuffer_pullup (response_check->expected, (ev_ssize_t)size),
                 size)
                 != 0))
    response_check->mismatched = true;
  evbuffer_drain (data, size);
  evbuffer_drain (response_check->expected, size);
}

enum flow_outcome
response_check_outcome (struct response_check *response_check)
{
  if (response_check->mismatched)
    return FLOW_MISMATCHED;
  generate_expected (response_check, 1);
  return evbuffer_get_length (response_check->expected) > 0 ? FLOW_TRUNCATED
                                                            : FLOW_COMPLETE;
}

static void
reset (struct response_check *response_check)
{
  evbuffer_drain (response_check->expected,
                  evbuffer_get_length (response_check->expected));
  response_check->next_token = 0;
  response_check->streamed = false;
  response_check->generated_all = false;
  response_check->mismatched = false;
}

static void
generate_expected (struct response_check *response_check, size_t size)
{
  while (!response_check->generated_all
         && evbuffer_get_length (response_check->expected) < size)
    {
      if (response_check->next_token < response_check->spec.output_tokens)
        body_add_event (&response_check->spec, response_check->next_token++,
                        response_check->expected);
      else
        {
          body_add_final_events (&response_check->spec,
                                 response_check->expected);
          response_check->generated_all = true;
        }
    }
}
