/**
 * @file usage.h
 * Extracts token counts from an engine's response as it is forwarded, without
 * buffering it.  Counts come from the `usage` object of JSON responses and
 * event streams; until it arrives, each event counts as one token.
 */
#ifndef PROTOCOL_USAGE_H
#define PROTOCOL_USAGE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** Fields of the `usage` object. */
enum usage_field
{
  USAGE_PROMPT,     /**< "prompt_tokens" */
  USAGE_COMPLETION, /**< "completion_tokens" */
  USAGE_FIELD_MAX
};

/** State of the scanner; zero-initialise for each response. */
struct usage
{
  bool event_stream;
  uint64_t events; /**< `data:` lines so far */
  uint64_t counts[USAGE_FIELD_MAX];
  bool known[USAGE_FIELD_MAX];
  uint8_t matched[USAGE_FIELD_MAX]; /**< characters of the name matched */
  uint8_t reading_field; /**< 1 + field whose number is being read; or 0 */
  uint8_t line_matched;  /**< characters of `data:` matched */
  bool line_done;        /**< the rest of the line is ignored */
};

void usage_feed (struct usage *usage, const char *data, size_t size);

/** Output tokens so far: the reported count, or else the number of events. */
uint64_t usage_output_tokens (const struct usage *usage);

#endif
