/**
 * @file test_member.c
 * The membership table as time passes, and the choice of lessors.
 */
#include "coordination/member.h"
#include "state/err.h"
#include "support/suite.h"
#include <stdio.h>
#include <string.h>

#define INTERVAL_MS 100ULL
#define NS_PER_MS   1000000ULL
#define UPSTREAMS   1000

static void
init_table (struct member_table *table)
{
  struct member self = { .instance = "router-0",
                         .incarnation = 5,
                         .state = MESSAGE_INSTANCE_LIVE };

  self.instance_id = catalog_id (self.instance);
  CU_ASSERT_EQUAL_FATAL (member_init (table, &self, (uint32_t)INTERVAL_MS), 0);
}

static uint64_t
receive_hello (struct member_table *table, const char *name,
               uint64_t incarnation, uint64_t now_ns, int expected)
{
  struct message_hello hello
      = { .version = MESSAGE_VERSION, .incarnation = incarnation };

  snprintf (hello.instance, sizeof hello.instance, "%s", name);
  CU_ASSERT_EQUAL (member_receive_hello (table, &hello, now_ns), expected);
  return catalog_id (name);
}

static void
receive_heartbeat (struct member_table *table, uint64_t id,
                   enum message_instance_state state, uint64_t now_ns)
{
  struct message_heartbeat heartbeat = { .state = state };

  CU_ASSERT_EQUAL (member_receive_heartbeat (table, id, &heartbeat, now_ns),
                   0);
}

static void
test_suspect_then_gone_then_alive (void)
{
  struct member_table table;
  uint64_t id;
  uint64_t generation;

  init_table (&table);
  id = receive_hello (&table, "router-1", 1, 0, 0);
  receive_heartbeat (&table, id, MESSAGE_INSTANCE_LIVE, 0);
  CU_ASSERT_FALSE (member_update_all (&table, 3 * INTERVAL_MS * NS_PER_MS));
  CU_ASSERT_TRUE (member_update_all (&table, 3 * INTERVAL_MS * NS_PER_MS + 1));
  CU_ASSERT_EQUAL (member_find (&table, id)->status, MEMBER_SUSPECT);
  CU_ASSERT_FALSE (member_update_all (&table, 10 * INTERVAL_MS * NS_PER_MS));
  generation = table.generation;
  CU_ASSERT_TRUE (
      member_update_all (&table, 10 * INTERVAL_MS * NS_PER_MS + 1));
  CU_ASSERT_EQUAL (member_find (&table, id)->status, MEMBER_GONE);
  CU_ASSERT (table.generation > generation);
  receive_heartbeat (&table, id, MESSAGE_INSTANCE_LIVE, 2000 * NS_PER_MS);
  CU_ASSERT_EQUAL (member_find (&table, id)->status, MEMBER_ALIVE);
  /* The status of this instance itself does not change. */
  CU_ASSERT_EQUAL (member_find (&table, table.self_id)->status, MEMBER_ALIVE);
  member_finish (&table);
}

static void
test_incarnations (void)
{
  struct member_table table;
  struct message_heartbeat heartbeat = { 0 };
  uint64_t id;

  init_table (&table);
  id = receive_hello (&table, "router-1", 10, 0, 0);
  receive_heartbeat (&table, id, MESSAGE_INSTANCE_LIVE, 0);
  receive_hello (&table, "router-1", 9, 1, ERR_STALE);
  CU_ASSERT_EQUAL (member_find (&table, id)->incarnation, 10);
  receive_hello (&table, "router-1", 11, 2, 0);
  CU_ASSERT_EQUAL (member_find (&table, id)->incarnation, 11);
  /* A restarted instance is no lessor before it reports that it is live. */
  CU_ASSERT_EQUAL (member_find (&table, id)->state, MESSAGE_INSTANCE_STARTING);
  member_update_all (&table, 5000 * NS_PER_MS);
  receive_hello (&table, "router-1", 3, 5000 * NS_PER_MS, 0);
  receive_hello (&table, "router-0", 6, 5000 * NS_PER_MS, ERR_EXISTS);
  CU_ASSERT_EQUAL (member_find (&table, table.self_id)->incarnation, 5);
  CU_ASSERT_EQUAL (member_receive_heartbeat (&table, 12345, &heartbeat, 0),
                   ERR_NOT_FOUND);
  member_finish (&table);
}

/* When an instance is no longer eligible, only the upstreams that it was
   lessor of get another lessor. */
static void
test_only_lost_lessor_moves (void)
{
  struct member_table table;
  uint64_t ids[4];
  uint64_t before[UPSTREAMS];
  uint32_t upstream_counts[4] = { 0 };
  uint64_t upstream;
  char name[16];
  size_t i;

  init_table (&table);
  ids[0] = table.self_id;
  for (i = 1; i < 4; i++)
    {
      snprintf (name, sizeof name, "router-%zu", i);
      ids[i] = receive_hello (&table, name, 1, 0, 0);
      receive_heartbeat (&table, ids[i], MESSAGE_INSTANCE_LIVE, 0);
    }
  for (upstream = 0; upstream < UPSTREAMS; upstream++)
    {
      before[upstream] = member_lessor (&table, upstream);
      for (i = 0; i < 4; i++)
        upstream_counts[i] += before[upstream] == ids[i];
    }
  for (i = 0; i < 4; i++)
    CU_ASSERT (upstream_counts[i] > UPSTREAMS / 8);
  receive_heartbeat (&table, ids[2], MESSAGE_INSTANCE_DRAINING, 0);
  for (upstream = 0; upstream < UPSTREAMS; upstream++)
    {
      CU_ASSERT_NOT_EQUAL (member_lessor (&table, upstream), ids[2]);
      if (before[upstream] != ids[2])
        CU_ASSERT_EQUAL (member_lessor (&table, upstream), before[upstream]);
    }
  member_finish (&table);
}

static const struct suite_test tests[] = {
  { "suspect, gone, alive again", test_suspect_then_gone_then_alive },
  { "incarnations", test_incarnations },
  { "only the upstreams of a lost lessor move", test_only_lost_lessor_moves },
};

SUITE_MAIN ("test_member", tests)
