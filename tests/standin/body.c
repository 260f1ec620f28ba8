/**
 * @file body.c
 * Response bodies of the stand-in upstreams.
 */
#include "standin/body.h"
#include <inttypes.h>
#include <stdio.h>
#include <string.h>
#include <xxhash.h>

#define EVENT_SIZE_MAX 256 /**< bytes */

static void token_text (const struct body_spec *spec, uint32_t index,
                        char out[BODY_TOKEN_BYTES + 1]);

/** Format strings of a text format, with their arguments. */
struct body_template
{
  const char *event;        /**< streamed event: text of the token */
  const char *final_events; /**< input, output and total tokens */
  const char *prefix;       /**< before the text of a JSON body: the seed */
  const char *suffix;       /**< after it: input, output and total tokens */
};

#define USAGE                                                                 \
  "\"usage\":{\"prompt_tokens\":%" PRIu32 ",\"completion_tokens\":%" PRIu32   \
  ",\"total_tokens\":%" PRIu32 "}"

static const struct body_template templates[BODY_FORMAT_MAX] = {
  [BODY_CHAT]
  = { "data: {\"object\":\"chat.completion.chunk\",\"choices\":[{\"index\":0,"
      "\"delta\":{\"content\":\"%s\"}}]}\n\n",
      "data: {\"object\":\"chat.completion.chunk\",\"choices\":[]," USAGE
      "}\n\ndata: [DONE]\n\n",
      "{\"id\":\"chatcmpl-%016" PRIx64 "\",\"object\":\"chat.completion\","
      "\"choices\":[{\"index\":0,\"message\":{\"role\":\"assistant\","
      "\"content\":\"",
      "\"},\"finish_reason\":\"stop\"}]," USAGE "}\n" },
  [BODY_COMPLETION]
  = { "data: {\"object\":\"text_completion\",\"choices\":[{\"index\":0,"
      "\"text\":\"%s\"}]}\n\n",
      "data: {\"object\":\"text_completion\",\"choices\":[]," USAGE
      "}\n\ndata: [DONE]\n\n",
      "{\"id\":\"cmpl-%016" PRIx64 "\",\"object\":\"text_completion\","
      "\"choices\":[{\"index\":0,\"text\":\"",
      "\",\"finish_reason\":\"stop\"}]," USAGE "}\n" }
};

void
body_spec_init (struct body_spec *spec, enum body_format format,
                const char *request_id, const char *prompt, size_t prompt_size,
                uint32_t output_tokens)
{
  uint64_t id_hash = XXH64 (request_id, strlen (request_id), 0);

  spec->seed = XXH64 (prompt, prompt_size, id_hash);
  spec->format = format;
  spec->input_tokens = (uint32_t)(prompt_size / BODY_PROMPT_BYTES_PER_TOKEN);
  if (spec->input_tokens == 0)
    spec->input_tokens = 1;
  spec->output_tokens = output_tokens;
}

size_t
body_event_size (enum body_format format)
{
  return strlen (templates[format].event) - 2 + BODY_TOKEN_BYTES;
}

#pragma GCC diagnostic push
#pragma GCC diagnostic ignored "-Wformat-nonliteral"

void
body_add_event (const struct body_spec *spec, uint32_t index,
                struct evbuffer *out)
{
  char token[BODY_TOKEN_BYTES + 1];
  char event[EVENT_SIZE_MAX];
  int size;

  token_text (spec, index, token);
  size
      = snprintf (event, sizeof (event), templates[spec->format].event, token);
  evbuffer_add (out, event, (size_t)size);
}

void
body_add_final_events (const struct body_spec *spec, struct evbuffer *out)
{
  evbuffer_add_printf (out, templates[spec->format].final_events,
                       spec->input_tokens, spec->output_tokens,
                       spec->input_tokens + spec->output_tokens);
}

void
body_add_json (const struct body_spec *spec, struct evbuffer *out)
{
  char token[BODY_TOKEN_BYTES + 1];
  uint32_t i;

  evbuffer_add_printf (out, templates[spec->format].prefix, spec->seed);
  for (i = 0; i < spec->output_tokens; i++)
    {
      token_text (spec, i, token);
      evbuffer_add (out, token, BODY_TOKEN_BYTES);
    }
  evbuffer_add_printf (out, templates[spec->format].suffix, spec->input_tokens,
                       spec->output_tokens,
                       spec->input_tokens + spec->output_tokens);
}

#pragma GCC diagnostic pop

void
body_add_plain (const char *request_id, const char *method, const char *path,
                const void *body, size_t body_size, struct evbuffer *out)
{
  uint64_t hash = XXH64 (request_id, strlen (request_id), 1);

  hash = XXH64 (method, strlen (method), hash);
  hash = XXH64 (path, strlen (path), hash);
  hash = XXH64 (body, body_size, hash);
  evbuffer_add_printf (out,
                       "{\"request_id\":\"%s\",\"method\":\"%s\","
                       "\"path\":\"%s\",\"digest\":\"%016" PRIx64 "\"}\n",
                       request_id, method, path, hash);
}

static void
token_text (const struct body_spec *spec, uint32_t index,
            char out[BODY_TOKEN_BYTES + 1])
{
  uint64_t hash = XXH64 (&index, sizeof (index), spec->seed);

  snprintf (out, BODY_TOKEN_BYTES + 1, " %08" PRIx32, (uint32_t)hash);
}
