/**
 * @file prompt.c
 * Chained hashes of prompt parts.
 */
#include "state/prompt.h"
#include <xxhash.h>

void
prompt_add (struct prompt *prompt, uint64_t identifier, uint32_t tokens)
{
  uint32_t last = prompt->part_count == 0 ? 0 : prompt->part_count - 1;
  uint64_t pair[2]
      = { prompt->part_count == 0 ? 0 : prompt->parts[last].hash, identifier };

  if (prompt->id_count < PROMPT_IDS_MAX)
    prompt->ids[prompt->id_count++] = identifier;
  if (prompt->part_count == PROMPT_PARTS_MAX)
    {
      prompt->parts[last].tokens += tokens;
      prompt->parts[last].hash = XXH3_64bits (pair, sizeof (pair));
      return;
    }
  prompt->parts[prompt->part_count].hash = XXH3_64bits (pair, sizeof (pair));
  prompt->parts[prompt->part_count++].tokens = tokens;
}

uint64_t
prompt_shared_hash (const struct prompt *prompt)
{
  if (prompt->part_count == 0)
    return 0;
  return prompt->parts[prompt->part_count > 1 ? prompt->part_count - 2 : 0]
      .hash;
}

uint32_t
prompt_shared_id_count (const struct prompt *prompt)
{
  return prompt->id_count == 0 ? 0 : prompt->id_count - 1;
}
