/**
 * @file text.h
 * Response bodies of the stand-in upstreams.  A body depends on the request
 * only, so the load generator computes the same bytes to verify responses.
 */
#ifndef TESTS_STANDIN_TEXT_H
#define TESTS_STANDIN_TEXT_H

#include <event2/buffer.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define TEXT_PROMPT_BYTES_PER_TOKEN 4
#define TEXT_TOKEN_BYTES            9 /**< text of one token */

enum text_format
{
  TEXT_CHAT,       /**< POST /v1/chat/completions */
  TEXT_COMPLETION, /**< POST /v1/completions */
  TEXT_FORMAT_MAX
};

/** Parameters that determine the body of an engine's response. */
struct text_spec
{
  uint64_t seed; /**< hash of the request id and the prompt */
  enum text_format format;
  uint32_t input_tokens;
  uint32_t output_tokens;
};

void text_spec_init (struct text_spec *spec, enum text_format format,
                     const char *request_id, const char *prompt,
                     size_t prompt_size, uint32_t output_tokens);

/** Size in bytes of a streamed event; the same for every token. */
size_t text_event_size (enum text_format format);

/** Appends the server-sent event with token `index`. */
void text_add_event (const struct text_spec *spec, uint32_t index,
                     struct evbuffer *out);

/** Appends the usage event and the final `data: [DONE]` event. */
void text_add_tail (const struct text_spec *spec, struct evbuffer *out);

/** Appends the body of a response that is not streamed. */
void text_add_json (const struct text_spec *spec, struct evbuffer *out);

/** Appends the body of a response of the plain role. */
void text_add_plain (const char *request_id, const char *method,
                     const char *path, const void *body, size_t body_size,
                     struct evbuffer *out);

#endif
