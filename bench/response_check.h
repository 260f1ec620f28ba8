/**
 * @file response_check.h
 * Compares a response byte for byte with the one that the stand-in upstream
 * must have sent.
 */
#ifndef BENCH_RESPONSE_CHECK_H
#define BENCH_RESPONSE_CHECK_H

#include "flow.h"
#include "standin/body.h"
#include <event2/buffer.h>
#include <stdbool.h>

/** Expected response, generated as bytes arrive to be compared. */
struct response_check
{
  struct body_spec spec;
  struct evbuffer *expected; /**< generated, not yet compared */
  uint32_t next_token;
  bool streamed;
  bool generated_all;
  bool mismatched;
};

void response_check_init (struct response_check *response_check);
void response_check_finish (struct response_check *response_check);

/** Starts the comparison of a response of an engine. */
void response_check_expect_engine (struct response_check *response_check,
                                   const struct flow *flow,
                                   const char *request_id, const char *prompt,
                                   size_t prompt_size, uint32_t output_tokens);
/** Starts the comparison of a response of a plain service. */
void response_check_expect_plain (struct response_check *response_check,
                                  const char *request_id, const char *method,
                                  const char *path, const char *body,
                                  size_t body_size);

/** Compares received bytes and removes them from `data`. */
void response_check_compare (struct response_check *response_check,
                             struct evbuffer *data);

/** Outcome of the response, once it has ended. */
enum flow_outcome
response_check_outcome (struct response_check *response_check);

#endif
