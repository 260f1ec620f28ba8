/**
 * @file prompt.h
 * The shape of a prompt: its parts in order, each known by a chained hash of
 * itself and all before it, so that equal hashes mean equal beginnings.
 */
#ifndef STATE_PROMPT_H
#define STATE_PROMPT_H

#include <stdint.h>

#define PROMPT_PARTS_MAX                                                      \
  16 /**< parts that are told apart; more are merged                          \
      */

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
  uint32_t output_tokens; /**< the most that it may generate */
};

/** Adds a part by its identifier. */
void prompt_add (struct prompt *prompt, uint64_t identifier, uint32_t tokens);

/** Hash of all parts that others may share: all but the last, or the only
    one; 0 without parts. */
uint64_t prompt_home (const struct prompt *prompt);

#endif
