/**
 * @file memory.c
 * The memory that a test's process uses.
 */
#include "support/memory.h"
#include <malloc.h>
#include <stddef.h>
#include <stdio.h>

#ifdef __SANITIZE_ADDRESS__
/* From sanitizer/allocator_interface.h, which not every package has. */
size_t __sanitizer_get_current_allocated_bytes (void); /* NOLINT */

uint64_t
memory_kb (void)
{
  return __sanitizer_get_current_allocated_bytes () / 1024;
}

uint64_t
memory_resident_kb (void)
{
  return memory_kb ();
}
#else
uint64_t
memory_kb (void)
{
  const struct mallinfo2 info = mallinfo2 ();

  return (info.uordblks + info.hblkhd) / 1024;
}

uint64_t
memory_resident_kb (void)
{
  FILE *status = fopen ("/proc/self/status", "r");
  unsigned long kb = 0;
  char line[128];

  if (status == NULL)
    return UINT64_MAX;
  while (fgets (line, sizeof line, status) != NULL)
    if (sscanf (line, "VmRSS: %lu kB", &kb) == 1)
      break;
  fclose (status);
  return kb;
}
#endif
