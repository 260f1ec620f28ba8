/**
 * @file store_position.c
 * Order and packed form of positions in the store's history.
 */
#include "state/store_position.h"

#define REVISION_BITS 40
#define REVISION_MAX  ((UINT64_C (1) << REVISION_BITS) - 1)
#define ERA_MAX       (UINT64_MAX >> REVISION_BITS)

static int compare_exact (const struct store_position *left,
                          const struct store_position *right);

struct store_position
store_position_from_u64 (uint64_t era, uint64_t revision)
{
  return (struct store_position){ .era = digits_from_u64 (era),
                                  .revision = digits_from_u64 (revision) };
}

bool
store_position_is_none (const struct store_position *position)
{
  return position->era.count == 0 && position->revision.count == 0;
}

int
store_position_compare (const struct store_position *left,
                        const struct store_position *right)
{
  const bool left_is_none = store_position_is_none (left);
  const bool right_is_none = store_position_is_none (right);
  uint64_t ahead;

  if (left_is_none || right_is_none)
    return right_is_none - left_is_none;
  if (left->packed || right->packed)
    {
      if (store_position_fits (left) && store_position_fits (right))
        return compare_exact (left, right);
      ahead = store_position_pack (left) - store_position_pack (right);
      return ahead == 0 ? 0 : ahead > INT64_MAX ? -1 : 1;
    }
  return compare_exact (left, right);
}

static int
compare_exact (const struct store_position *left,
               const struct store_position *right)
{
  const int order = digits_compare (&left->era, &right->era);

  return order != 0 ? order
                    : digits_compare (&left->revision, &right->revision);
}

uint64_t
store_position_pack (const struct store_position *position)
{
  uint64_t packed = (digits_low64 (&position->era) << REVISION_BITS)
                    + digits_low64 (&position->revision);

  return packed == 0 && !store_position_is_none (position) ? 1 : packed;
}

struct store_position
store_position_unpack (uint64_t packed)
{
  struct store_position position = store_position_from_u64 (
      packed >> REVISION_BITS, packed & REVISION_MAX);

  position.packed = true;
  return position;
}

bool
store_position_fits (const struct store_position *position)
{
  uint64_t era;
  uint64_t revision;

  return digits_to_u64 (&position->era, &era) == 0
         && digits_to_u64 (&position->revision, &revision) == 0
         && era <= ERA_MAX && revision <= REVISION_MAX;
}
