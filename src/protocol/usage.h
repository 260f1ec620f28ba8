/**
 * @file usage.h
 * Reads token counts out of an engine's response as it passes, without
 * holding it: the `usage` object of JSON responses and of event streams, and
 * until that comes, one token an event.
 */
#ifndef PROTOCOL_USAGE_H
#define PROTOCOL_USAGE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** Fields that are searched for. */
enum usage_field
{
  USAGE_PROMPT,     /**< "prompt_tokens" */
  USAGE_COMPLETION, /**< "completion_tokens" */
  USAGE_FIELD_MAX
};

/** Zero-initialise for a new response. */
struct usage
{
  bool event_stream;
  uint64_t events; /**< `data:` lines so far */
  uint64_t counts[USAGE_FIELD_MAX];
  bool known[USAGE_FIELD_MAX];
  uint8_t matched[USAGE_FIELD_MAX]; /**< characters of the name matched */
  uint8_t reading;      /**< 1 + field whose number is read; or 0 */
  uint8_t line_matched; /**< characters of `data:` matched */
  bool line_started;    /**< past the start of a line */
};

void usage_feed (struct usage *usage, const char *data, size_t size);

/** Output tokens so far. */
uint64_t usage_output (const struct usage *usage);

#endif
