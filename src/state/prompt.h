/**
 * @file prompt.h
 * Structure of a prompt: its parts in order, each identified by a chained hash
 * of itself and all parts before it, so that equal hashes mean equal prefixes.
 */
#ifndef STATE_PROMPT_H
#define STATE_PROMPT_H

#include <stdint.h>

#define PROMPT_PARTS_MAX                                                      \
  16 /**< parts tracked separately; further ones are merged into the last */

#define PROMPT_IDS_MAX                                                        \
  128 /**< parts whose identifiers are known; far more than prompts have */

struct prompt_part
{
  uint64_t hash;   /**< of this part and all before it */
  uint32_t tokens; /**< of this part alone */
};

struct prompt
{
  uint32_t part_count;
  struct prompt_part parts[PROMPT_PARTS_MAX];
  uint32_t input_tokens;
  uint32_t output_tokens; /**< limit of tokens to generate */
  uint32_t id_count;
  uint64_t ids[PROMPT_IDS_MAX]; /**< identifiers of the parts, in order */
};

/** Appends a part, given the identifier of its content. */
void prompt_add (struct prompt *prompt, uint64_t identifier, uint32_t tokens);

/** Number of leading entries of `ids` that other prompts may share: all but
   the last part, which belongs to the request itself. */
uint32_t prompt_shared_id_count (const struct prompt *prompt);

/** Hash of the prefix that other prompts may share: all parts but the last, or
    the only one; 0 without parts. */
uint64_t prompt_shared_hash (const struct prompt *prompt);

#endif
