/**
 * @file test_hubs.c
 * Choice of hubs, and copies of the store's items.
 */
#include "coordination/hubs.h"
#include "gateway/mirror.h"
#include "state/err.h"
#include "state/rng.h"
#include "support/positions.h"
#include "support/suite.h"
#include <string.h>

#define ZONES 4

static size_t
count_hubs (const struct hubs_member *members, size_t count, uint64_t zone_id)
{
  size_t hubs = 0;
  size_t i;

  for (i = 0; i < count; i++)
    hubs += members[i].zone_id == zone_id && members[i].hub;
  return hubs;
}

/* A small fleet is a full mesh; a larger one has two hubs in each
   availability zone, whatever its size. */
static void
test_hub_count (void)
{
  static struct hubs_member members[1400];
  size_t count;
  size_t i;
  uint64_t zone;

  for (count = 1; count <= 1400; count = count * 2 + 1)
    {
      for (i = 0; i < count; i++)
        members[i]
            = (struct hubs_member){ .id = i * 7919, .zone_id = i % ZONES };
      hubs_assign (members, count);
      for (zone = 0; zone < ZONES && count > HUBS_MESH_MAX; zone++)
        CU_ASSERT_EQUAL (count_hubs (members, count, zone), HUBS_PER_ZONE);
      for (i = 0; i < count && count <= HUBS_MESH_MAX; i++)
        CU_ASSERT_TRUE (members[i].hub);
    }
}

/* Every instance computes the same hubs, in whatever order it learned of the
   members; the members with the greatest capacity become hubs. */
static void
test_same_hubs_in_any_order (void)
{
  struct hubs_member ordered[40];
  struct hubs_member shuffled[40];
  struct hubs_member swap;
  struct rng rng;
  size_t i;
  size_t j;

  rng_init (&rng, 5);
  for (i = 0; i < 40; i++)
    ordered[i] = (struct hubs_member){ .id = rng_next (&rng),
                                       .zone_id = i % 3,
                                       .capacity = i % 10 == 0 ? 500 : 120 };
  memcpy (shuffled, ordered, sizeof shuffled);
  for (i = 39; i > 0; i--)
    {
      j = rng_below (&rng, i + 1);
      swap = shuffled[i];
      shuffled[i] = shuffled[j];
      shuffled[j] = swap;
    }
  hubs_assign (ordered, 40);
  hubs_assign (shuffled, 40);
  for (i = 0; i < 40; i++)
    {
      CU_ASSERT_EQUAL (ordered[i].id, shuffled[i].id);
      CU_ASSERT_EQUAL (ordered[i].hub, shuffled[i].hub);
      if (ordered[i].capacity == 500
          && count_hubs (ordered, 40, ordered[i].zone_id) == 2)
        CU_ASSERT_TRUE (ordered[i].hub || i > 0);
    }
  /* Four of the 40 members have the greater capacity.  Each zone has at least
     one of them, and it comes first in its zone. */
  for (i = 0; i < 40; i++)
    if (i == 0 || ordered[i].zone_id != ordered[i - 1].zone_id)
      CU_ASSERT_EQUAL (ordered[i].capacity, 500);
}

/* When a hub is lost, the next member of its zone replaces it, and the other
   hubs stay. */
static void
test_loss_of_a_hub (void)
{
  struct hubs_member members[30];
  uint64_t second;
  size_t i;

  for (i = 0; i < 30; i++)
    members[i] = (struct hubs_member){ .id = 100 + i, .zone_id = i % 2 };
  hubs_assign (members, 30);
  CU_ASSERT_TRUE (members[0].hub && members[1].hub);
  second = members[1].id;
  hubs_assign (members + 1, 29);
  CU_ASSERT_EQUAL (members[1].id, second);
  CU_ASSERT_TRUE (members[1].hub && members[2].hub);
  CU_ASSERT_FALSE (members[3].hub);
}

static void
test_mirror (void)
{
  struct mirror mirror = { .items = NULL };
  struct kvstore_item item = {
    .key = "a/1", .value = "one", .value_size = 3, .position = *POSITION (0, 5)
  };
  char long_key[MESSAGE_KEY_SIZE + 1];

  CU_ASSERT_EQUAL (mirror_put (&mirror, &item), 0);
  item.value = "three";
  item.value_size = 5;
  item.position = *POSITION (0, 6);
  CU_ASSERT_EQUAL (mirror_put (&mirror, &item), 0);
  CU_ASSERT_EQUAL (HASH_COUNT (mirror.items), 1);
  CU_ASSERT_STRING_EQUAL (mirror.items->object.value, "three");
  CU_ASSERT_TRUE (position_is (&mirror.items->object.position, 0, 6));
  item.value = NULL;
  CU_ASSERT_EQUAL (mirror_put (&mirror, &item), 0);
  CU_ASSERT_EQUAL (HASH_COUNT (mirror.items), 0);
  memset (long_key, 'k', sizeof long_key);
  long_key[MESSAGE_KEY_SIZE] = '\0';
  item.key = long_key;
  CU_ASSERT_EQUAL (mirror_put (&mirror, &item), ERR_INVALID);
  mirror_finish (&mirror);
}

static const struct suite_test tests[] = {
  { "the number of hubs does not grow with the fleet", test_hub_count },
  { "all instances compute the same hubs", test_same_hubs_in_any_order },
  { "loss of a hub", test_loss_of_a_hub },
  { "copies of the store's items", test_mirror },
};

SUITE_MAIN ("test_hubs", tests)
