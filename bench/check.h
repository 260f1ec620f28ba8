/**
 * @file check.h
 * Compares a response byte for byte with the one that the stand-in upstream
 * must have sent.
 */
#ifndef BENCH_CHECK_H
#define BENCH_CHECK_H

#include "flow.h"
#include "standin/text.h"
#include <event2/buffer.h>
#include <stdbool.h>

/** Expected response, generated as bytes arrive to be compared. */
struct check
{
  struct text_spec spec;
  struct evbuffer *expected; /**< generated, not yet compared */
  uint32_t next_token;
  bool streamed;
  bool generated_all;
  bool mismatched;
};

void check_init (struct check *check);
void check_finish (struct check *check);

/** Starts the comparison of a response of an engine. */
void check_expect_engine (struct check *check, const struct flow *flow,
                          const char *request_id, const char *prompt,
                          size_t prompt_size, uint32_t output_tokens);
/** Starts the comparison of a response of a plain service. */
void check_expect_plain (struct check *check, const char *request_id,
                         const char *method, const char *path,
                         const char *body, size_t body_size);

/** Compares received bytes and removes them from `data`. */
void check_feed (struct check *check, struct evbuffer *data);

/** Outcome of the response, once it has ended. */
enum flow_outcome check_result (struct check *check);

#endif
