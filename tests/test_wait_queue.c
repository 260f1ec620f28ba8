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
  struct wait_queue queue;
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
  struct wait_queue_item item;
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
  wait_queue_remove (&fixture->queue, &fixture->share, &request->item);
  /* The gift is given a little after the pass began. */
  usage_share_charge (&fixture->share, request->item.customer_id,
                      fixture->cost, fixture->now_ns + MS);
  return true;
}

static void
fixture_init (struct fixture *fixture)
{
  memset (fixture, 0, sizeof *fixture);
  wait_queue_init (&fixture->queue);
  usage_share_init (&fixture->share, 4000);
  fixture->now_ns = 10000 * MS;
  fixture->cost = 1000;
}

static void
fixture_finish (struct fixture *fixture)
{
  wait_queue_finish (&fixture->queue);
  usage_share_finish (&fixture->share);
}

static void
wait (struct fixture *fixture, struct request *request, uint64_t customer_id,
      uint64_t objective_ms)
{
  request->fixture = fixture;
  request->item = (struct wait_queue_item){
    .customer_id = customer_id,
    .objective_ns = fixture->now_ns + objective_ms * MS,
    .expiry_ns = fixture->now_ns + objective_ms * MS,
    .owner = request,
  };
  CU_ASSERT_EQUAL (
      wait_queue_add (&fixture->queue, &fixture->share, &request->item), 0);
}

static void
pass (struct fixture *fixture, int room)
{
  fixture->room = room;
  fixture->count = 0;
  wait_queue_offer (&fixture->queue, &fixture->share, fixture->now_ns, take,
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
  while (fixture.queue.count > 0)
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
  usage_share_charge (&share, 1, 8000, 2000 * MS);
  CU_ASSERT_EQUAL (usage_share_total (&share, 1, 1999 * MS), 8000);
  CU_ASSERT_EQUAL (usage_share_total (&share, 1, 2000 * MS), 8000);
  CU_ASSERT_TRUE (usage_share_total (&share, 1, 6000 * MS) < 3000);
  CU_ASSERT_TRUE (usage_share_total (&share, 1, 6000 * MS) > 2900);
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
  wait_queue_remove (&fixture.queue, &fixture.share, &late.item);
  wait_queue_add (&fixture.queue, &fixture.share, &late.item);
  wait (&fixture, &calm, 1, 900);
  wait (&fixture, &urgent, 1, 100);
  pass (&fixture, 1);
  CU_ASSERT_FALSE (urgent.item.queued);
  pass (&fixture, 1);
  CU_ASSERT_FALSE (calm.item.queued);
  CU_ASSERT_TRUE (late.item.queued);
  pass (&fixture, 1);
  CU_ASSERT_FALSE (late.item.queued);
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
  CU_ASSERT_TRUE (blocked.item.queued);
  CU_ASSERT_EQUAL (fixture.queue.count, 1);
  wait_queue_remove (&fixture.queue, &fixture.share, &blocked.item);
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
  wait_queue_remove (&fixture.queue, &fixture.share, &low.item);
  low.item.priority = 2;
  wait_queue_add (&fixture.queue, &fixture.share, &low.item);
  wait (&fixture, &high, 1, 900);
  pass (&fixture, 1);
  CU_ASSERT_FALSE (high.item.queued);
  CU_ASSERT_TRUE (low.item.queued);
  wait_queue_remove (&fixture.queue, &fixture.share, &low.item);
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
  CU_ASSERT_PTR_NULL (wait_queue_expired (&fixture.queue, fixture.now_ns));
  CU_ASSERT_PTR_EQUAL (
      wait_queue_expired (&fixture.queue, fixture.now_ns + 100 * MS),
      &soon.item);
  wait_queue_remove (&fixture.queue, &fixture.share, &soon.item);
  CU_ASSERT_PTR_NULL (
      wait_queue_expired (&fixture.queue, fixture.now_ns + 199 * MS));
  wait_queue_remove (&fixture.queue, &fixture.share, &later.item);
  CU_ASSERT_EQUAL (fixture.queue.count, 0);
  fixture_finish (&fixture);
}

/* What those that wait have had on the mean, here and elsewhere; a customer
   that does not wait is left out, however little it had. */
static void
test_mean_of_the_fleet (void)
{
  struct usage_share share;

  usage_share_init (&share, 4000);
  usage_share_charge (&share, 1, 9000, 0);
  usage_share_charge (&share, 2, 100, 0);
  CU_ASSERT_EQUAL (usage_share_backlogged_mean (&share, 0), UINT64_MAX);
  usage_share_customer (&share, 1)->waiting = 1;
  CU_ASSERT_EQUAL (usage_share_backlogged_mean (&share, 0), 9000);
  usage_share_customer (&share, 3)->peer_waiting = 1;
  usage_share_customer (&share, 3)->peer_tokens = 500;
  CU_ASSERT_EQUAL (usage_share_backlogged_mean (&share, 0), 4750);
  usage_share_finish (&share);
}

/* A customer that is backlogged measures the fair share; those that have one
   request waiting for a moment hardly do, and beyond a few it counts no more
   how many wait. */
static void
test_mean_of_the_backlogged (void)
{
  struct usage_share share;

  usage_share_init (&share, 4000);
  usage_share_charge (&share, 1, 8000, 0);
  usage_share_customer (&share, 1)->waiting = 8;
  usage_share_charge (&share, 2, 800, 0);
  usage_share_customer (&share, 2)->waiting = 1;
  CU_ASSERT_EQUAL (usage_share_backlogged_mean (&share, 0),
                   (8 * 8000 + 800) / 9);
  usage_share_charge (&share, 3, 16000, 0);
  usage_share_customer (&share, 3)->peer_waiting = 5000;
  CU_ASSERT_EQUAL (usage_share_backlogged_mean (&share, 0),
                   (8 * 8000 + 800 + 8 * 16000) / 17);
  usage_share_finish (&share);
}

/* How long the queue takes follows from how fast it was dispatched of late. */
static void
test_drain_time (void)
{
  struct fixture fixture;
  struct request requests[30];
  unsigned int i;

  fixture_init (&fixture);
  CU_ASSERT_EQUAL (wait_queue_drain_ns (&fixture.queue, fixture.now_ns), 0);
  for (i = 0; i < 30; i++)
    wait (&fixture, &requests[i], i, 5000);
  CU_ASSERT_EQUAL (wait_queue_drain_ns (&fixture.queue, fixture.now_ns),
                   UINT64_MAX);
  pass (&fixture, 10);
  /* Ten within a moment, twenty left: two seconds of it. */
  CU_ASSERT_EQUAL (wait_queue_drain_ns (&fixture.queue, fixture.now_ns),
                   2000 * MS);
  /* Nothing moves for a while: it takes longer and longer. */
  CU_ASSERT_TRUE (
      wait_queue_drain_ns (&fixture.queue, fixture.now_ns + 1000 * MS)
      > 5000 * MS);
  CU_ASSERT_EQUAL (
      wait_queue_drain_ns (&fixture.queue, fixture.now_ns + 60000 * MS),
      UINT64_MAX);
  for (i = 0; i < 30; i++)
    wait_queue_remove (&fixture.queue, &fixture.share, &requests[i].item);
  fixture_finish (&fixture);
}

/* Two engines, one full to the brim, one empty. */
static void
test_utilisation (void)
{
  struct admission_load load = { .backlog_tokens = 0 };
  struct registry_record record = { .service_id = 5, .slots = 8 };
  struct admission_request rich = { .usage_tokens = 400000 };
  struct registry registry;
  struct prefill_rate prefill_rate;

  memset (&prefill_rate, 0, sizeof prefill_rate);
  prefill_rate_init (&prefill_rate, 40000, 1);
  registry_init (&registry);
  CU_ASSERT_EQUAL (admission_utilisation (&load), 1);
  snprintf (record.identity, sizeof record.identity, "a");
  registry_put (&registry, &record);
  snprintf (record.identity, sizeof record.identity, "b");
  registry_put (&registry, &record);
  admission_add_engines (&load, &registry, 5, &prefill_rate);
  CU_ASSERT_EQUAL (admission_utilisation (&load), 0);
  registry.upstreams->load.peer_prefill_tokens = 1000000;
  load = (struct admission_load){ .backlog_tokens = 0 };
  admission_add_engines (&load, &registry, 5, &prefill_rate);
  CU_ASSERT_EQUAL (admission_utilisation (&load), 1);
  registry.upstreams->load.peer_prefill_tokens = 2500;
  load = (struct admission_load){ .backlog_tokens = 0 };
  admission_add_engines (&load, &registry, 5, &prefill_rate);
  CU_ASSERT_DOUBLE_EQUAL (admission_utilisation (&load), 0.25, 0.001);
  /* Engines stand half free, since gateways keep to their quotas, but much
     waits: a customer that has had its share stands back all the same. */
  rich.others_had_tokens = 100000;
  rich.utilisation = admission_utilisation (&load);
  CU_ASSERT (admission_capacity_tokens (&prefill_rate, &rich)
             > prefill_rate_tokens (&prefill_rate, 150));
  admission_add_queued (&load, 200000);
  rich.utilisation = admission_utilisation (&load);
  CU_ASSERT_EQUAL (rich.utilisation, 1);
  CU_ASSERT (admission_capacity_tokens (&prefill_rate, &rich)
             < prefill_rate_tokens (&prefill_rate, 20));
  registry_finish (&registry);
}

/* A flooding customer finds less capacity than those that wait, and one that
   has had less finds twice as much, but only as far as the fleet is utilised;
   a prompt falls back from its primary engine to idle engines only, and not
   while utilisation is high. */
static void
test_capacity (void)
{
  struct admission_request flood = { .usage_tokens = 800000,
                                     .others_had_tokens = 200000,
                                     .utilisation = 1 };
  struct admission_request poor = { .usage_tokens = 100000,
                                    .others_had_tokens = 200000,
                                    .utilisation = 1 };
  struct prefill_rate prefill_rate;

  memset (&prefill_rate, 0, sizeof prefill_rate);
  prefill_rate_init (&prefill_rate, 40000, 1);
  CU_ASSERT_EQUAL (admission_capacity_tokens (&prefill_rate, &poor), 20000);
  CU_ASSERT_TRUE (admission_capacity_tokens (&prefill_rate, &flood) < 1000);
  flood.utilisation = poor.utilisation = 0;
  CU_ASSERT_EQUAL (admission_capacity_tokens (&prefill_rate, &flood), 10000);
  CU_ASSERT_EQUAL (admission_capacity_tokens (&prefill_rate, &poor), 10000);
  /* Nobody else waits: nobody is to be passed. */
  poor.utilisation = 1;
  poor.others_had_tokens = UINT64_MAX;
  CU_ASSERT_EQUAL (admission_capacity_tokens (&prefill_rate, &poor), 10000);
  poor.others_had_tokens = 200000;
  poor.fallback = true;
  CU_ASSERT_EQUAL (admission_capacity_tokens (&prefill_rate, &poor), 2400);
  CU_ASSERT_EQUAL (admission_recompute_permille (true, 10, 100, 0),
                   ADMISSION_RECOMPUTE_HIGH_PERMILLE);
  CU_ASSERT_EQUAL (admission_recompute_permille (true, 60, 100, 0.2),
                   ADMISSION_RECOMPUTE_LOW_PERMILLE);
  CU_ASSERT_EQUAL (admission_recompute_permille (true, 60, 100, 0.8),
                   ADMISSION_RECOMPUTE_HIGH_PERMILLE);
}

static const struct suite_test tests[] = {
  { "crowding", test_utilisation },
  { "room", test_capacity },
  { "time ahead", test_drain_time },
  { "a flood does not push others out", test_flood_does_not_push_out },
  { "service elsewhere counts", test_service_elsewhere_counts },
  { "usage does not fade backwards", test_usage_does_not_fade_backwards },
  { "urgent first, late last", test_urgent_first_but_late_last },
  { "a full upstream holds up nobody", test_full_upstream_holds_up_nobody },
  { "priority goes before urgency", test_priority },
  { "requests leave in time", test_expiry },
  { "the level of the fleet", test_mean_of_the_fleet },
  { "the level of those that are backlogged", test_mean_of_the_backlogged },
};

SUITE_MAIN ("test_wait_queue", tests)
