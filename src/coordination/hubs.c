/**
 * @file hubs.c
 * Selection of the hubs of each availability zone.
 */
#include "coordination/hubs.h"
#include <stdlib.h>

static int compare_members (const void *a, const void *b);

void
hubs_assign (struct hubs_member *members, size_t count)
{
  size_t in_zone = 0;
  size_t i;

  qsort (members, count, sizeof *members, compare_members);
  for (i = 0; i < count; i++)
    {
      in_zone = i > 0 && members[i].zone_id == members[i - 1].zone_id
                    ? in_zone + 1
                    : 0;
      members[i].hub = count <= HUBS_MESH_MAX || in_zone < HUBS_PER_ZONE;
    }
}

static int
compare_members (const void *a, const void *b)
{
  const struct hubs_member *first = a;
  const struct hubs_member *second = b;

  if (first->zone_id != second->zone_id)
    return first->zone_id < second->zone_id ? -1 : 1;
  if (first->capacity != second->capacity)
    return first->capacity > second->capacity ? -1 : 1;
  if (first->id != second->id)
    return first->id < second->id ? -1 : 1;
  return 0;
}
