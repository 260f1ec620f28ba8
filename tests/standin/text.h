/**
 * @file text.h
 * Response bodies of the stand-in upstreams, as deterministic functions of
 * the request.  The load program makes the same bytes to check responses.
 */
#ifndef TESTS_STANDIN_TEXT_H
#define TESTS_STANDIN_TEXT_H

#include <event2/buffer.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define TEXT_PROMPT_BYTES_PER_TOKEN 4
#define TEXT_TOKEN_BYTES            9 /**< of one token's text */

enum text_format
{
  TEXT_CHAT,       /**< POST /v1/chat/completions */
  TEXT_COMPLETION, /**< POST /v1/completions */
  TEXT_FORMAT_MAX
};

/** All that an engine's response depends on. */
struct text_spec
{
  uint64_t seed; /**< of the request id and the prompt */
  enum text_format format;
  uint32_t input_tokens;
  uint32_t output_tokens;
};

void text_spec_init (struct text_spec *spec, enum text_format format,
                     const char *request_id, const char *prompt,
                     size_t prompt_size, uint32_t output_tokens);

/** Bytes of one streamed event; the same for every token. */
size_t text_event_size (enum text_format format);

/** Appends the event of token `index`. */
void text_add_event (const struct text_spec *spec, uint32_t index,
                     struct evbuffer *out);

/** Appends the usage event and the end mark. */
void text_add_tail (const struct text_spec *spec, struct evbuffer *out);

/** Appends the body of a response that is not streamed. */
void text_add_json (const struct text_spec *spec, struct evbuffer *out);

/** Appends the body of a plain service's response. */
void text_add_plain (const char *request_id, const char *method,
                     const char *path, const void *body, size_t body_size,
                     struct evbuffer *out);

#endif
