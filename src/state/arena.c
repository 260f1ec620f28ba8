/**
 * @file arena.c
 * Objects in blocks, each of which is filled from its end.
 */
#include "state/arena.h"
#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#define BLOCK_BYTES 16384 /* larger objects have a block of their own */

struct arena_block
{
  struct arena_block *next;
  max_align_t bytes[];
};

void
arena_finish (struct arena *arena)
{
  struct arena_block *block = arena->blocks;
  struct arena_block *next;

  for (; block != NULL; block = next)
    {
      next = block->next;
      free (block);
    }
  arena->blocks = NULL;
  arena->free_bytes = 0;
}

void *
arena_alloc (struct arena *arena, size_t size)
{
  const size_t align = sizeof (max_align_t);
  struct arena_block *block;
  size_t block_bytes;

  if (size > SIZE_MAX / 2)
    return NULL;
  size = (size + align - 1) / align * align;
  if (size > arena->free_bytes)
    {
      block_bytes = size > BLOCK_BYTES ? size : BLOCK_BYTES;
      block = malloc (sizeof *block + block_bytes);
      if (block == NULL)
        return NULL;
      block->next = arena->blocks;
      arena->blocks = block;
      arena->free_bytes = block_bytes;
    }
  arena->free_bytes -= size;
  return (char *)arena->blocks->bytes + arena->free_bytes;
}

void *
arena_copy (struct arena *arena, const void *bytes, size_t size)
{
  void *copy = arena_alloc (arena, size);

  if (copy != NULL)
    memcpy (copy, bytes, size);
  return copy;
}

char *
arena_copy_text (struct arena *arena, const char *text)
{
  return arena_copy (arena, text, strlen (text) + 1);
}
