/**
 * @file usage.c
 * Incremental scanner for token counts.
 */
#include "protocol/usage.h"
#include <string.h>

#define COUNT_MAX                                                             \
  (UINT64_MAX / 16) /**< further digits of larger numbers are ignored */

static void count_event (struct usage *usage, char c);
static void match_field_names (struct usage *usage, char c);
static void read_count (struct usage *usage, char c);

/* Quotes inside JSON strings are escaped, so these cannot match generated
   text. */
static const char *const field_names[USAGE_FIELD_MAX] = {
  [USAGE_PROMPT] = "\"prompt_tokens\":",
  [USAGE_COMPLETION] = "\"completion_tokens\":",
};
static const char event_prefix[] = "data:";

void
usage_feed (struct usage *usage, const char *data, size_t size)
{
  size_t i;

  for (i = 0; i < size; i++)
    {
      if (usage->event_stream)
        count_event (usage, data[i]);
      if (usage->reading_field != 0)
        read_count (usage, data[i]);
      else
        match_field_names (usage, data[i]);
    }
}

uint64_t
usage_output_tokens (const struct usage *usage)
{
  if (usage->known[USAGE_COMPLETION])
    return usage->counts[USAGE_COMPLETION];
  return usage->events;
}

static void
count_event (struct usage *usage, char c)
{
  if (c == '\n')
    {
      usage->line_done = false;
      usage->line_matched = 0;
      return;
    }
  if (usage->line_done)
    return;
  if (c != event_prefix[usage->line_matched])
    usage->line_done = true;
  else if (event_prefix[++usage->line_matched] == '\0')
    {
      usage->events++;
      usage->line_done = true;
    }
}

static void
match_field_names (struct usage *usage, char c)
{
  int field;
  uint8_t matched;

  for (field = 0; field < USAGE_FIELD_MAX; field++)
    {
      matched = usage->matched[field];
      if (c == field_names[field][matched])
        matched++;
      else if (c == ' ' && field_names[field][matched] == ':')
        continue;
      else
        matched = c == '"' ? 1 : 0;
      if (field_names[field][matched] == '\0')
        {
          usage->reading_field = (uint8_t)(1 + field);
          usage->counts[field] = 0;
          matched = 0;
        }
      usage->matched[field] = matched;
    }
}

static void
read_count (struct usage *usage, char c)
{
  int field = usage->reading_field - 1;

  if (c >= '0' && c <= '9')
    {
      if (usage->counts[field] < COUNT_MAX)
        usage->counts[field] = usage->counts[field] * 10 + (uint64_t)(c - '0');
      usage->known[field] = true;
    }
  else if (c != ' ' || usage->known[field])
    usage->reading_field = 0;
}
