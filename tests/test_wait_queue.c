/**
 * @file test_wait_queue.c
 * Replays the loads that the order of waiting answers: a customer that floods
 * one instance, customers seen elsewhere, requests that no upstream takes.
 */
#include "state/admission.h"
#include "state/wait_queue.h"
#include "support/suite.h"
#include <stdio.h>
#include <string.h>

#define MS 1000000ULL /* nanoseconds */

struct fixture
{
  struct waitline line;
  struct usage_share share;
  uint64_t now_ns;
  int room;           /* requests that upstreams still take */
  uint64_t taken[64]; /* customers, in the order of their service */
  unsigned int count;
  const void *refused; /* owner that no upstream takes */
  double cost;         /* tokens of a request */
};

struct request
{
  struct waitline_item item;
  struct fixture *fixture;
};

static bool
take (void *user, void *owner)
{
  struct fixture *fixture = user;
  struct request *request = owner;

  if (fixture->room == 0 || owner == fixture->refused)
    return false;
  fixture->room--;
  fixture->taken[fixture->count++] = request->item.customer_id;
  waitline_remove (&fixture->line, &fixture->share, &request->item);
  /* The gift is given a little after the pass began. */
  usage_share_give (&fixture->share, request->item.customer_id, fixture->cost,
                    fixture->now_ns + MS);
  return true;
}

static void
fixture_init (struct fixture *fixture)
{
  memset (fixture, 0, sizeof *fixture);
  waitline_init (&fixture->line);
  usage_share_init (&fixture->share, 4000);
  fixture->now_ns = 10000 * MS;
  fixture->cost = 1000;
}

static void
fixture_finish (struct fixture *fixture)
{
  waitline_finish (&fixture->line);
  usage_share_finish (&fixture->share);
}

static void
wait (struct fixture *fixture, struct request *request, uint64_t customer_id,
      uint64_t objective_ms)
{
  request->fixture = fixture;
  request->item = (struct waitline_item){
    .customer_id = customer_id,
    .objective_ns = fixture->now_ns + objective_ms * MS,
    .expiry_ns = fixture->now_ns + objective_ms * MS,
    .owner = request,
  };
  CU_ASSERT_EQUAL (
      waitline_add (&fixture->line, &fixture->share, &request->item), 0);
}

static void
pass (struct fixture *fixture, int room)
{
  fixture->room = room;
  fixture->count = 0;
  waitline_pass (&fixture->line, &fixture->share, fixture->now_ns, take,
                 fixture);
}

/* Forty requests of a flooding customer before two of another: these are
   served among the first four. */
static void
test_flood_does_not_push_out (void)
{
  struct fixture fixture;
  struct request flood[40];
  struct request small[2];
  unsigned int i;
  unsigned int served = 0;

  fixture_init (&fixture);
  for (i = 0; i < 40; i++)
    wait (&fixture, &flood[i], 1, 500);
  for (i = 0; i < 2; i++)
    wait (&fixture, &small[i], 2, 900);
  pass (&fixture, 4);
  for (i = 0; i < 4; i++)
    served += fixture.taken[i] == 2;
  CU_ASSERT_EQUAL (fixture.count, 4);
  CU_ASSERT_EQUAL (served, 2);
  while (fixture.line.count > 0)
    pass (&fixture, 8);
  fixture_finish (&fixture);
}

/* What a customer had at other instances counts like what it had here. */
static void
test_service_elsewhere_counts (void)
{
  struct fixture fixture;
  struct request first;
  struct request second;

  fixture_init (&fixture);
  usage_share_customer (&fixture.share, 1)->peer_tokens = 5000;
  wait (&fixture, &first, 1, 100);
  wait (&fixture, &second, 2, 900);
  pass (&fixture, 1);
  CU_ASSERT_EQUAL (fixture.taken[0], 2);
  pass (&fixture, 1);
  CU_ASSERT_EQUAL (fixture.taken[0], 1);
  fixture_finish (&fixture);
}

/* Asked for at the time of a pass that is older than the last gift, the
   usage of a customer must not vanish. */
static void
test_usage_does_not_fade_backwards (void)
{
  struct usage_share share;

  usage_share_init (&share, 4000);
  usage_share_give (&share, 1, 8000, 2000 * MS);
  CU_ASSERT_EQUAL (usage_share_used (&share, 1, 1999 * MS), 8000);
  CU_ASSERT_EQUAL (usage_share_used (&share, 1, 2000 * MS), 8000);
  CU_ASSERT_TRUE (usage_share_used (&share, 1, 6000 * MS) < 3000);
  CU_ASSERT_TRUE (usage_share_used (&share, 1, 6000 * MS) > 2900);
  usage_share_finish (&share);
}

/* Within a customer the most urgent goes first, but for what is too late. */
static void
test_urgent_first_but_late_last (void)
{
  struct fixture fixture;
  struct request calm;
  struct request urgent;
  struct request late;

  fixture_init (&fixture);
  wait (&fixture, &late, 1, 10);
  late.item.objective_ns = fixture.now_ns - 1;
  waitline_remove (&fixture.line, &fixture.share, &late.item);
  waitline_add (&fixture.line, &fixture.share, &late.item);
  wait (&fixture, &calm, 1, 900);
  wait (&fixture, &urgent, 1, 100);
  pass (&fixture, 1);
  CU_ASSERT_FALSE (urgent.item.waits);
  pass (&fixture, 1);
  CU_ASSERT_FALSE (calm.item.waits);
  CU_ASSERT_TRUE (late.item.waits);
  pass (&fixture, 1);
  CU_ASSERT_FALSE (late.item.waits);
  fixture_finish (&fixture);
}

/* A request whose upstream is full does not hold up those behind it, of its
   own customer or of others. */
static void
test_full_upstream_holds_up_nobody (void)
{
  struct fixture fixture;
  struct request blocked;
  struct request next;
  struct request other;

  fixture_init (&fixture);
  wait (&fixture, &blocked, 1, 100);
  wait (&fixture, &next, 1, 200);
  wait (&fixture, &other, 2, 300);
  fixture.refused = &blocked;
  pass (&fixture, 5);
  CU_ASSERT_EQUAL (fixture.count, 2);
  CU_ASSERT_TRUE (blocked.item.waits);
  CU_ASSERT_EQUAL (fixture.line.count, 1);
  waitline_remove (&fixture.line, &fixture.share, &blocked.item);
  fixture_finish (&fixture);
}

/* A higher priority goes before urgency. */
static void
test_priority (void)
{
  struct fixture fixture;
  struct request low;
  struct request high;

  fixture_init (&fixture);
  wait (&fixture, &low, 1, 100);
  waitline_remove (&fixture.line, &fixture.share, &low.item);
  low.item.priority = 2;
  waitline_add (&fixture.line, &fixture.share, &low.item);
  wait (&fixture, &high, 1, 900);
  pass (&fixture, 1);
  CU_ASSERT_FALSE (high.item.waits);
  CU_ASSERT_TRUE (low.item.waits);
  waitline_remove (&fixture.line, &fixture.share, &low.item);
  fixture_finish (&fixture);
}

static void
test_expiry (void)
{
  struct fixture fixture;
  struct request soon;
  struct request later;

  fixture_init (&fixture);
  wait (&fixture, &soon, 1, 100);
  wait (&fixture, &later, 2, 200);
  CU_ASSERT_PTR_NULL (waitline_expired (&fixture.line, fixture.now_ns));
  CU_ASSERT_PTR_EQUAL (
      waitline_expired (&fixture.line, fixture.now_ns + 100 * MS), &soon.item);
  waitline_remove (&fixture.line, &fixture.share, &soon.item);
  CU_ASSERT_PTR_NULL (
      waitline_expired (&fixture.line, fixture.now_ns + 199 * MS));
  waitline_remove (&fixture.line, &fixture.share, &later.item);
  CU_ASSERT_EQUAL (fixture.line.count, 0);
  fixture_finish (&fixture);
}

/* What those that wait have had on the mean, here and elsewhere; a customer
   that does not wait is left out, however little it had. */
static void
test_level_of_the_fleet (void)
{
  struct usage_share share;

  usage_share_init (&share, 4000);
  usage_share_give (&share, 1, 9000, 0);
  usage_share_give (&share, 2, 100, 0);
  CU_ASSERT_EQUAL (usage_share_level (&share, 0), UINT64_MAX);
  usage_share_customer (&share, 1)->waiting = 1;
  CU_ASSERT_EQUAL (usage_share_level (&share, 0), 9000);
  usage_share_customer (&share, 3)->peer_waiting = 1;
  usage_share_customer (&share, 3)->peer_tokens = 500;
  CU_ASSERT_EQUAL (usage_share_level (&share, 0), 4750);
  usage_share_finish (&share);
}

/* A customer that is backlogged measures the fair share; those that have one
   request waiting for a moment hardly do, and beyond a few it counts no more
   how many wait. */
static void
test_level_of_the_backlogged (void)
{
  struct usage_share share;

  usage_share_init (&share, 4000);
  usage_share_give (&share, 1, 8000, 0);
  usage_share_customer (&share, 1)->waiting = 8;
  usage_share_give (&share, 2, 800, 0);
  usage_share_customer (&share, 2)->waiting = 1;
  CU_ASSERT_EQUAL (usage_share_level (&share, 0), (8 * 8000 + 800) / 9);
  usage_share_give (&share, 3, 16000, 0);
  usage_share_customer (&share, 3)->peer_waiting = 5000;
  CU_ASSERT_EQUAL (usage_share_level (&share, 0),
                   (8 * 8000 + 800 + 8 * 16000) / 17);
  usage_share_finish (&share);
}

/* How long the line is, in time, follows from how fast it moved of late. */
static void
test_time_ahead (void)
{
  struct fixture fixture;
  struct request requests[30];
  unsigned int i;

  fixture_init (&fixture);
  CU_ASSERT_EQUAL (waitline_ahead_ns (&fixture.line, fixture.now_ns), 0);
  for (i = 0; i < 30; i++)
    wait (&fixture, &requests[i], i, 5000);
  CU_ASSERT_EQUAL (waitline_ahead_ns (&fixture.line, fixture.now_ns),
                   UINT64_MAX);
  pass (&fixture, 10);
  /* Ten within a moment, twenty left: two seconds of it. */
  CU_ASSERT_EQUAL (waitline_ahead_ns (&fixture.line, fixture.now_ns),
                   2000 * MS);
  /* Nothing moves for a while: it takes longer and longer. */
  CU_ASSERT_TRUE (waitline_ahead_ns (&fixture.line, fixture.now_ns + 1000 * MS)
                  > 5000 * MS);
  CU_ASSERT_EQUAL (
      waitline_ahead_ns (&fixture.line, fixture.now_ns + 60000 * MS),
      UINT64_MAX);
  for (i = 0; i < 30; i++)
    waitline_remove (&fixture.line, &fixture.share, &requests[i].item);
  fixture_finish (&fixture);
}

/* Two engines, one full to the brim, one empty. */
static void
test_crowding (void)
{
  struct admit_room room = { .taken_tokens = 0 };
  struct roster_record record = { .service_id = 5, .slots = 8 };
  struct admit_request rich = { .had_tokens = 400000 };
  struct roster roster;
  struct pace pace;

  memset (&pace, 0, sizeof pace);
  pace_init (&pace, 40000, 1);
  roster_init (&roster);
  CU_ASSERT_EQUAL (admit_crowding (&room), 1);
  snprintf (record.identity, sizeof record.identity, "a");
  roster_put (&roster, &record);
  snprintf (record.identity, sizeof record.identity, "b");
  roster_put (&roster, &record);
  admit_count (&room, &roster, 5, &pace);
  CU_ASSERT_EQUAL (admit_crowding (&room), 0);
  roster.upstreams->load.peer_unread_tokens = 1000000;
  room = (struct admit_room){ .taken_tokens = 0 };
  admit_count (&room, &roster, 5, &pace);
  CU_ASSERT_EQUAL (admit_crowding (&room), 1);
  roster.upstreams->load.peer_unread_tokens = 2500;
  room = (struct admit_room){ .taken_tokens = 0 };
  admit_count (&room, &roster, 5, &pace);
  CU_ASSERT_DOUBLE_EQUAL (admit_crowding (&room), 0.25, 0.001);
  /* Engines stand half free, since gateways keep to their portions, but much
     waits: a customer that has had its share stands back all the same. */
  rich.others_had_tokens = 100000;
  rich.crowding = admit_crowding (&room);
  CU_ASSERT (admit_room_tokens (&pace, &rich) > pace_tokens (&pace, 150));
  admit_wait (&room, 200000);
  rich.crowding = admit_crowding (&room);
  CU_ASSERT_EQUAL (rich.crowding, 1);
  CU_ASSERT (admit_room_tokens (&pace, &rich) < pace_tokens (&pace, 20));
  roster_finish (&roster);
}

/* A flooding customer finds less room than those that wait, and one that has
   had less finds twice as much, but only as far as the fleet is crowded; a
   prompt goes away from its home to idle engines only, and not while the fleet
   is crowded. */
static void
test_room (void)
{
  struct admit_request flood
      = { .had_tokens = 800000, .others_had_tokens = 200000, .crowding = 1 };
  struct admit_request poor
      = { .had_tokens = 100000, .others_had_tokens = 200000, .crowding = 1 };
  struct pace pace;

  memset (&pace, 0, sizeof pace);
  pace_init (&pace, 40000, 1);
  CU_ASSERT_EQUAL (admit_room_tokens (&pace, &poor), 20000);
  CU_ASSERT_TRUE (admit_room_tokens (&pace, &flood) < 1000);
  flood.crowding = poor.crowding = 0;
  CU_ASSERT_EQUAL (admit_room_tokens (&pace, &flood), 10000);
  CU_ASSERT_EQUAL (admit_room_tokens (&pace, &poor), 10000);
  /* Nobody else waits: nobody is to be passed. */
  poor.crowding = 1;
  poor.others_had_tokens = UINT64_MAX;
  CU_ASSERT_EQUAL (admit_room_tokens (&pace, &poor), 10000);
  poor.others_had_tokens = 200000;
  poor.away = true;
  CU_ASSERT_EQUAL (admit_room_tokens (&pace, &poor), 2400);
  CU_ASSERT_EQUAL (admit_patience_permille (true, 10, 100, 0),
                   ADMIT_PATIENT_PERMILLE);
  CU_ASSERT_EQUAL (admit_patience_permille (true, 60, 100, 0.2),
                   ADMIT_IMPATIENT_PERMILLE);
  CU_ASSERT_EQUAL (admit_patience_permille (true, 60, 100, 0.8),
                   ADMIT_PATIENT_PERMILLE);
}

static const struct suite_test tests[] = {
  { "crowding", test_crowding },
  { "room", test_room },
  { "time ahead", test_time_ahead },
  { "a flood does not push others out", test_flood_does_not_push_out },
  { "service elsewhere counts", test_service_elsewhere_counts },
  { "usage does not fade backwards", test_usage_does_not_fade_backwards },
  { "urgent first, late last", test_urgent_first_but_late_last },
  { "a full upstream holds up nobody", test_full_upstream_holds_up_nobody },
  { "priority goes before urgency", test_priority },
  { "requests leave in time", test_expiry },
  { "the level of the fleet", test_level_of_the_fleet },
  { "the level of those that are backlogged", test_level_of_the_backlogged },
};

SUITE_MAIN ("test_waitline", tests)
