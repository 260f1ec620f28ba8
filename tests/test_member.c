/**
 * @file test_member.c
 * Membership on a manual clock, and the choice of lessors.
 */
#include "coordination/member.h"
#include "state/err.h"
#include "support/suite.h"
#include <stdio.h>
#include <string.h>

#define INTERVAL_MS 100ULL
#define MS          1000000ULL /* nanoseconds */
#define UPSTREAMS   1000

static void
init (struct member_table *table)
{
  struct member self
      = { .instance = "router-0", .incarnation = 5, .state = MESSAGE_LIVE };

  self.instance_id = catalog_id (self.instance);
  CU_ASSERT_EQUAL_FATAL (member_init (table, &self, (uint32_t)INTERVAL_MS), 0);
}

static uint64_t
greet (struct member_table *table, const char *name, uint64_t incarnation,
       uint64_t now_ns, int expected)
{
  struct message_hello hello
      = { .version = MESSAGE_VERSION, .incarnation = incarnation };

  snprintf (hello.instance, sizeof hello.instance, "%s", name);
  CU_ASSERT_EQUAL (member_hello (table, &hello, now_ns), expected);
  return catalog_id (name);
}

static void
beat (struct member_table *table, uint64_t id, enum message_state state,
      uint64_t now_ns)
{
  struct message_heartbeat heartbeat = { .state = state };

  CU_ASSERT_EQUAL (member_heartbeat (table, id, &heartbeat, now_ns), 0);
}

static void
test_suspect_then_gone_then_back (void)
{
  struct member_table table;
  uint64_t id;
  uint64_t generation;

  init (&table);
  id = greet (&table, "router-1", 1, 0, 0);
  beat (&table, id, MESSAGE_LIVE, 0);
  CU_ASSERT_FALSE (member_tick (&table, 3 * INTERVAL_MS * MS));
  CU_ASSERT_TRUE (member_tick (&table, 3 * INTERVAL_MS * MS + 1));
  CU_ASSERT_EQUAL (member_find (&table, id)->status, MEMBER_SUSPECT);
  CU_ASSERT_FALSE (member_tick (&table, 10 * INTERVAL_MS * MS));
  generation = table.generation;
  CU_ASSERT_TRUE (member_tick (&table, 10 * INTERVAL_MS * MS + 1));
  CU_ASSERT_EQUAL (member_find (&table, id)->status, MEMBER_GONE);
  CU_ASSERT (table.generation > generation);
  beat (&table, id, MESSAGE_LIVE, 2000 * MS);
  CU_ASSERT_EQUAL (member_find (&table, id)->status, MEMBER_ALIVE);
  /* This instance never ages. */
  CU_ASSERT_EQUAL (member_find (&table, table.self_id)->status, MEMBER_ALIVE);
  member_finish (&table);
}

static void
test_incarnations (void)
{
  struct member_table table;
  struct message_heartbeat heartbeat = { 0 };
  uint64_t id;

  init (&table);
  id = greet (&table, "router-1", 10, 0, 0);
  beat (&table, id, MESSAGE_LIVE, 0);
  greet (&table, "router-1", 9, 1, ERR_STALE);
  CU_ASSERT_EQUAL (member_find (&table, id)->incarnation, 10);
  greet (&table, "router-1", 11, 2, 0);
  CU_ASSERT_EQUAL (member_find (&table, id)->incarnation, 11);
  /* A new life leases nothing before it says that it is live. */
  CU_ASSERT_EQUAL (member_find (&table, id)->state, MESSAGE_STARTING);
  member_tick (&table, 5000 * MS);
  greet (&table, "router-1", 3, 5000 * MS, 0);
  greet (&table, "router-0", 6, 5000 * MS, ERR_EXISTS);
  CU_ASSERT_EQUAL (member_find (&table, table.self_id)->incarnation, 5);
  CU_ASSERT_EQUAL (member_heartbeat (&table, 12345, &heartbeat, 0),
                   ERR_NOT_FOUND);
  member_finish (&table);
}

/* Losing one instance moves only that instance's upstreams. */
static void
test_lessor_moves_little (void)
{
  struct member_table table;
  uint64_t ids[4];
  uint64_t before[UPSTREAMS];
  uint32_t own[4] = { 0 };
  uint64_t upstream;
  char name[16];
  size_t i;

  init (&table);
  ids[0] = table.self_id;
  for (i = 1; i < 4; i++)
    {
      snprintf (name, sizeof name, "router-%zu", i);
      ids[i] = greet (&table, name, 1, 0, 0);
      beat (&table, ids[i], MESSAGE_LIVE, 0);
    }
  for (upstream = 0; upstream < UPSTREAMS; upstream++)
    {
      before[upstream] = member_lessor (&table, upstream);
      for (i = 0; i < 4; i++)
        own[i] += before[upstream] == ids[i];
    }
  for (i = 0; i < 4; i++)
    CU_ASSERT (own[i] > UPSTREAMS / 8);
  beat (&table, ids[2], MESSAGE_DRAINING, 0);
  for (upstream = 0; upstream < UPSTREAMS; upstream++)
    {
      CU_ASSERT_NOT_EQUAL (member_lessor (&table, upstream), ids[2]);
      if (before[upstream] != ids[2])
        CU_ASSERT_EQUAL (member_lessor (&table, upstream), before[upstream]);
    }
  member_finish (&table);
}

static const struct suite_test tests[] = {
  { "suspect, gone, back", test_suspect_then_gone_then_back },
  { "incarnations", test_incarnations },
  { "lessor moves little", test_lessor_moves_little },
};

SUITE_MAIN ("test_member", tests)
