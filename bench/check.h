/**
 * @file check.h
 * Checks a response byte for byte against what the stand-in must have sent.
 */
#ifndef BENCH_CHECK_H
#define BENCH_CHECK_H

#include "flow.h"
#include "standin/text.h"
#include <event2/buffer.h>
#include <stdbool.h>

/** Expected bytes, made as far as they are needed. */
struct check
{
  struct text_spec spec;
  struct evbuffer *expected; /**< made and not yet matched */
  uint32_t next_token;
  bool streamed;
  bool made_all;
  bool differs;
};

void check_init (struct check *check);
void check_finish (struct check *check);

/** Starts on an engine's response. */
void check_expect_engine (struct check *check, const struct flow *flow,
                          const char *request_id, const char *prompt,
                          size_t prompt_size, uint32_t output_tokens);
/** Starts on a plain service's response. */
void check_expect_plain (struct check *check, const char *request_id,
                         const char *method, const char *path,
                         const char *body, size_t body_size);

/** Matches and drains received bytes. */
void check_feed (struct check *check, struct evbuffer *data);

/** Result for a response that ended. */
enum flow_outcome check_result (struct check *check);

#endif
