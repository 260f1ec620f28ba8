/**
 * @file test_rotation.c
 * Leaving the load balancer's rotation while flooded.
 */
#include "state/rotation.h"
#include "support/suite.h"

#define NS_PER_MS 1000000ULL
#define STEP_MS   100
#define STEPS     100 /* ten seconds */
#define INSTANCES 20
#define FLOOD     30 /* connections turned away in a step */

/* Time that an instance takes to leave, and to return, in milliseconds. */
#define LEAVE_MAX_MS  1000
#define RETURN_MIN_MS 3000
#define RETURN_MAX_MS 5000

static uint64_t
step_ns (int step)
{
  return (uint64_t)(step + 1) * STEP_MS * NS_PER_MS;
}

/* @return the step in which the instance leaves, or STEPS. */
static int
flood (struct rotation *rotation, const struct rotation_zone *zone)
{
  int step;

  for (step = 0; step < STEPS; step++)
    if (rotation_update (rotation, FLOOD, zone, step_ns (step)))
      return step;
  return STEPS;
}

static void
test_flooded_instance_leaves_and_returns (void)
{
  const struct rotation_zone zone = { .instances = INSTANCES };
  struct rotation rotation = { .out = false };
  int left = flood (&rotation, &zone);
  int step;

  CU_ASSERT (left * STEP_MS <= LEAVE_MAX_MS);
  CU_ASSERT_TRUE (rotation.out);
  for (step = left + 1; step < left + STEPS; step++)
    if (rotation_update (&rotation, 0, &zone, step_ns (step)))
      break;
  CU_ASSERT_FALSE (rotation.out);
  CU_ASSERT ((step - left) * STEP_MS >= RETURN_MIN_MS);
  CU_ASSERT ((step - left) * STEP_MS <= RETURN_MAX_MS);
}

/* A start, or a few connections now and then, is no flood. */
static void
test_short_floods (void)
{
  const struct rotation_zone zone = { .instances = INSTANCES };
  struct rotation rotation = { .out = false };
  int step;

  for (step = 0; step < STEPS; step++)
    CU_ASSERT_FALSE (rotation_update (&rotation, step % 5 < 2 ? FLOOD : 0,
                                      &zone, step_ns (step)));
}

/* While a part of the zone is out, or where one instance is too large a part
   of it, a flooded one stays. */
static void
test_part_of_zone (void)
{
  uint32_t instances;
  uint32_t out;

  for (instances = 1; instances <= INSTANCES; instances++)
    for (out = 0; out < instances; out++)
      {
        const struct rotation_zone zone
            = { .instances = instances, .others_out = out };
        struct rotation rotation = { .out = false };

        flood (&rotation, &zone);
        CU_ASSERT_EQUAL (rotation.out,
                         (out + 1) * ROTATION_ZONE_PART <= instances);
      }
}

/* One that is out stays out while the flood goes on. */
static void
test_flood_that_goes_on (void)
{
  const struct rotation_zone full = { .instances = 4, .others_out = 3 };
  const struct rotation_zone zone = { .instances = INSTANCES };
  struct rotation rotation = { .out = false };
  int left = flood (&rotation, &zone);
  int step;

  for (step = left + 1; step < left + STEPS; step++)
    CU_ASSERT_FALSE (rotation_update (&rotation, step % 5 == 0 ? FLOOD : 0,
                                      &full, step_ns (step)));
  CU_ASSERT_TRUE (rotation.out);
}

static const struct suite_test tests[] = {
  { "flooded instance leaves and returns",
    test_flooded_instance_leaves_and_returns },
  { "short floods", test_short_floods },
  { "part of the zone", test_part_of_zone },
  { "flood that goes on", test_flood_that_goes_on },
};

SUITE_MAIN ("test_rotation", tests)
