/**
 * @file engine_parse.c
 * Parser for requests of the completion interfaces.
 */
#include "standin/engine_int.h"
#include <event2/buffer.h>
#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#define OUTPUT_TOKENS_DEFAULT 16

static int parse_format (const char *path, enum body_format *format);
static void add_prompt (enum body_format format, const json_t *body,
                        struct evbuffer *prompt);
static void skip_delivered (struct engine_job *job);

int
engine_parse (struct engine_job *job, struct evhttp_request *request)
{
  struct evbuffer *input = evhttp_request_get_input_buffer (request);
  size_t size = evbuffer_get_length (input);
  struct evbuffer *prompt;
  enum body_format format;
  json_int_t output;
  json_t *body;

  if (parse_format (evhttp_request_get_uri (request), &format) != 0)
    return -1;
  body = json_loadb ((const char *)evbuffer_pullup (input, -1), size, 0, NULL);
  if (!json_is_object (body))
    {
      json_decref (body);
      return -1;
    }
  prompt = evbuffer_new ();
  add_prompt (format, body, prompt);
  output = json_integer_value (json_object_get (body, "max_tokens"));
  body_spec_init (&job->body, format, job->exchange.request_id,
                  (const char *)evbuffer_pullup (prompt, -1),
                  evbuffer_get_length (prompt),
                  output > 0 ? (uint32_t)output : OUTPUT_TOKENS_DEFAULT);
  job->streamed = json_is_true (json_object_get (body, "stream"));
  skip_delivered (job);
  evbuffer_free (prompt);
  json_decref (body);
  return 0;
}

static int
parse_format (const char *path, enum body_format *format)
{
  if (strcmp (path, "/v1/chat/completions") == 0)
    *format = BODY_CHAT;
  else if (strcmp (path, "/v1/completions") == 0)
    *format = BODY_COMPLETION;
  else
    return -1;
  return 0;
}

static void
add_prompt (enum body_format format, const json_t *body,
            struct evbuffer *prompt)
{
  const char *text;
  json_t *message;
  size_t i;

  if (format == BODY_COMPLETION)
    {
      text = json_string_value (json_object_get (body, "prompt"));
      if (text != NULL)
        evbuffer_add (prompt, text, strlen (text));
      return;
    }
  json_array_foreach (json_object_get (body, "messages"), i, message)
  {
    text = json_string_value (json_object_get (message, "content"));
    if (text != NULL)
      evbuffer_add (prompt, text, strlen (text));
  }
}

/* Skips the tokens whose events lie completely before the resume offset. */
static void
skip_delivered (struct engine_job *job)
{
  const char *offset
      = exchange_header (&job->exchange, "Cherrylanding-Resume-Offset");
  size_t event_size = body_event_size (job->body.format);
  uint64_t whole_events;

  if (offset == NULL || !job->streamed)
    return;
  job->resumed_bytes = strtoull (offset, NULL, 10);
  whole_events = job->resumed_bytes / event_size;
  if (whole_events >= job->body.output_tokens)
    whole_events = job->body.output_tokens - 1;
  job->produced = (uint32_t)whole_events;
  job->skip_bytes = job->resumed_bytes - whole_events * event_size;
}
