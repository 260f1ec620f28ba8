/**
 * @file arena.h
 * Memory for objects that are released together.
 */
#ifndef STATE_ARENA_H
#define STATE_ARENA_H

#include <stddef.h>

struct arena
{
  struct arena_block *blocks; /**< newest first; private */
  size_t free_bytes;          /**< of the newest block */
};

/** An empty arena is all zeros. */
void arena_finish (struct arena *arena);

/** @return memory for any type, not initialised; NULL when out of memory. */
void *arena_alloc (struct arena *arena, size_t size);
/** @return a copy of `size` bytes, or NULL when out of memory. */
void *arena_copy (struct arena *arena, const void *bytes, size_t size);
/** @return a copy of a string, or NULL when out of memory. */
char *arena_copy_text (struct arena *arena, const char *text);

#endif
