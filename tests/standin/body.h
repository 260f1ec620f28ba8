/**
 * @file body.h
 * Response bodies of the stand-in upstreams.  A body depends on the request
 * only, so the load generator computes the same bytes to verify responses.
 */
#ifndef TESTS_STANDIN_BODY_H
#define TESTS_STANDIN_BODY_H

#include <event2/buffer.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define BODY_PROMPT_BYTES_PER_TOKEN 4
#define BODY_TOKEN_BYTES            9 /**< text of one token */

enum body_format
{
  BODY_CHAT,       /**< POST /v1/chat/completions */
  BODY_COMPLETION, /**< POST /v1/completions */
  BODY_FORMAT_MAX
};

/** Parameters that determine the body of an engine's response. */
struct body_spec
{
  uint64_t seed; /**< hash of the request id and the prompt */
  enum body_format format;
  uint32_t input_tokens;
  uint32_t output_tokens;
};

void body_spec_init (struct body_spec *spec, enum body_format format,
                     const char *request_id, const char *prompt,
                     size_t prompt_size, uint32_t output_tokens);

/** Size in bytes of a streamed event; the same for every token. */
size_t body_event_size (enum body_format format);

/** Appends the server-sent event with token `index`. */
void body_add_event (const struct body_spec *spec, uint32_t index,
                     struct evbuffer *out);

/** Appends the usage event and the final `data: [DONE]` event. */
void body_add_final_events (const struct body_spec *spec,
                            struct evbuffer *out);

/** Appends the body of a response that is not streamed. */
void body_add_json (const struct body_spec *spec, struct evbuffer *out);

/** Appends the body of a response of the plain role. */
void body_add_plain (const char *request_id, const char *method,
                     const char *path, const void *body, size_t body_size,
                     struct evbuffer *out);

#endif
