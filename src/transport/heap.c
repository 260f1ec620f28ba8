/**
 * @file heap.c
 * The allocator's memory.
 */
#include "transport/heap.h"
#include <malloc.h>

#define LARGE_BYTES 131072

void
heap_init (void)
{
  mallopt (M_MMAP_THRESHOLD, LARGE_BYTES);
}

void
heap_trim (void)
{
  malloc_trim (0);
}
