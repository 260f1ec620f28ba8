/**
 * @file test_store_watch.c
 * Watches of store keys: failed calls, lost responses, a discarded change
 * history, and pauses.
 */
#include "gateway/store_watch.h"
#include "state/err.h"
#include "support/positions.h"
#include "support/suite.h"
#include <string.h>

#define POLL_TIMEOUT_MS 5000
/* A short one, for responses that are overdue. */
#define SHORT_POLL_TIMEOUT_MS 50
#define SILENCE_MS            600 /* shorter than any call's timeout */

/** A store that answers a call only when the test says so. */
struct manual_store
{
  struct kvstore kvstore; /**< first member: cast back from it */
  kvstore_page_fn done;   /**< of the pending call; NULL: none */
  void *user;
  unsigned int calls;
  uint32_t poll_timeout_ms; /**< of the last long poll */
};

/** A call that the store has taken and not answered. */
struct lost_call
{
  kvstore_page_fn done;
  void *user;
};

struct watch_fixture
{
  struct event_base *base;
  struct clock clock;
  struct manual_store store;
  struct store_watch watch;
  unsigned int items;
  unsigned int failures;
  unsigned int recoveries;
  unsigned int restores;
  bool more; /**< the next page is not the last one of its listing */
};

static int
record_call (struct kvstore *kvstore, kvstore_page_fn done, void *user)
{
  struct manual_store *store = (struct manual_store *)kvstore;

  store->calls++;
  store->done = done;
  store->user = user;
  return 0;
}

static int
list_page (struct kvstore *kvstore, const char *prefix, const char *after,
           bool cheap, kvstore_page_fn done, void *user)
{
  (void)prefix;
  (void)after;
  (void)cheap;
  return record_call (kvstore, done, user);
}

static int
watch_changes (struct kvstore *kvstore, const char *prefix,
               const struct store_position *since, uint32_t poll_timeout_ms,
               kvstore_page_fn done, void *user)
{
  (void)prefix;
  (void)since;
  ((struct manual_store *)kvstore)->poll_timeout_ms = poll_timeout_ms;
  return record_call (kvstore, done, user);
}

static const struct kvstore_ops manual_ops = {
  .name = "manual",
  .list_page = list_page,
  .watch_changes = watch_changes,
};

static void
on_listing_begin (void *user)
{
  ((struct watch_fixture *)user)->items = 0;
}

static void
on_listing_end (void *user, const struct store_position *position)
{
  (void)user;
  (void)position;
}

static void
on_item (void *user, const struct kvstore_item *item)
{
  (void)item;
  ((struct watch_fixture *)user)->items++;
}

static void
on_failed (void *user, int error)
{
  (void)error;
  ((struct watch_fixture *)user)->failures++;
}

static void
on_recovered (void *user, uint64_t outage_ns)
{
  (void)outage_ns;
  ((struct watch_fixture *)user)->recoveries++;
}

static void
on_restored (void *user, const struct store_position *lost)
{
  (void)lost;
  ((struct watch_fixture *)user)->restores++;
}

static const struct store_watch_events events = {
  .listing_begin = on_listing_begin,
  .listing_end = on_listing_end,
  .item = on_item,
  .failed = on_failed,
  .recovered = on_recovered,
  .restored = on_restored,
};

static void
fixture_init (struct watch_fixture *fixture)
{
  struct store_watch_config config = { .clock = &fixture->clock,
                                       .kvstore = &fixture->store.kvstore,
                                       .prefix = "k/",
                                       .min_interval_ms = 1,
                                       .poll_timeout_ms = POLL_TIMEOUT_MS,
                                       .seed = 7,
                                       .events = &events,
                                       .user = fixture };

  memset (fixture, 0, sizeof *fixture);
  fixture->base = event_base_new ();
  config.base = fixture->base;
  clock_init_manual (&fixture->clock, CLOCK_NS_PER_S, 0);
  fixture->store.kvstore.ops = &manual_ops;
  CU_ASSERT_EQUAL_FATAL (store_watch_init (&fixture->watch, &config), 0);
}

static void
fixture_finish (struct watch_fixture *fixture)
{
  store_watch_finish (&fixture->watch);
  event_base_free (fixture->base);
}

/* Runs the loop until the watch makes its next call, after any back-off. */
static void
run_until_call (struct watch_fixture *fixture)
{
  while (fixture->store.done == NULL)
    event_base_loop (fixture->base, EVLOOP_ONCE);
}

static void
answer (struct watch_fixture *fixture, const struct lost_call *call, int error,
        const struct store_position *position)
{
  static const struct kvstore_item item
      = { .key = "k/1", .value = "v", .value_size = 1 };
  const struct kvstore_page page = {
    .position = *position, .more = fixture->more, .items = &item, .count = 1
  };

  call->done (call->user, error, error == 0 ? &page : NULL);
}

/* Takes the pending call, which the store does not answer for now. */
static struct lost_call
lose_call (struct watch_fixture *fixture)
{
  const struct lost_call call = { fixture->store.done, fixture->store.user };

  fixture->store.done = NULL;
  return call;
}

static void
answer_call_at (struct watch_fixture *fixture, int error,
                const struct store_position *position)
{
  const struct lost_call call = lose_call (fixture);

  answer (fixture, &call, error, position);
}

static void
answer_call (struct watch_fixture *fixture, int error, uint64_t revision)
{
  answer_call_at (fixture, error, POSITION (0, revision));
}

/* Runs the loop for as long as a watch waits at most before it takes a
   response for overdue. */
static void
run_until_overdue (struct watch_fixture *fixture)
{
  const struct timeval limit = clock_timeval (
      fixture->watch.config.poll_timeout_ms + STORE_WATCH_OVERDUE_MS);

  event_base_loopexit (fixture->base, &limit);
  event_base_dispatch (fixture->base);
}

/* A watch whose long poll falls into a silence of the store. */
static struct lost_call
lose_watch_in_silence (struct watch_fixture *fixture)
{
  struct lost_call lost;

  fixture_init (fixture);
  fixture->watch.config.poll_timeout_ms = SHORT_POLL_TIMEOUT_MS;
  run_until_call (fixture);
  answer_call (fixture, 0, 1);
  run_until_call (fixture);
  CU_ASSERT_EQUAL (fixture->store.poll_timeout_ms, SHORT_POLL_TIMEOUT_MS);
  lost = lose_call (fixture);
  clock_advance_ms (&fixture->clock, SILENCE_MS);
  run_until_overdue (fixture);
  CU_ASSERT_EQUAL (fixture->failures, 0);
  CU_ASSERT_EQUAL_FATAL (fixture->store.calls, 3);
  return lost;
}

/* A response is lost in a silence that is over before the call times out.
   Guards against a watch that reports nothing until then: a call that does not
   wait is made beside it, once the response is overdue. */
static void
test_response_lost_in_silence (void)
{
  struct watch_fixture fixture;
  struct lost_call lost = lose_watch_in_silence (&fixture);

  CU_ASSERT_EQUAL (fixture.store.poll_timeout_ms, 0);
  CU_ASSERT_EQUAL (fixture.items, 1);
  answer_call (&fixture, 0, 9);
  CU_ASSERT_EQUAL (fixture.items, 2);
  CU_ASSERT_TRUE (position_is (&fixture.watch.position, 0, 9));
  CU_ASSERT_TRUE (store_watch_current (&fixture.watch));
  /* The lost call's timeout is no failure, and ends nothing. */
  run_until_call (&fixture);
  answer (&fixture, &lost, ERR_TIMEOUT, POSITION (0, 0));
  CU_ASSERT_EQUAL (fixture.failures, 0);
  CU_ASSERT_EQUAL (fixture.store.poll_timeout_ms, SHORT_POLL_TIMEOUT_MS);
  answer_call (&fixture, 0, 12);
  CU_ASSERT_TRUE (position_is (&fixture.watch.position, 0, 12));
  fixture_finish (&fixture);
}

/* A response that is late, not lost, counts; then the one to the call beside
   it does not, or its changes would be reported twice. */
static void
test_late_response (void)
{
  struct watch_fixture fixture;
  struct lost_call late = lose_watch_in_silence (&fixture);
  struct lost_call second = lose_call (&fixture);

  answer (&fixture, &late, 0, POSITION (0, 9));
  CU_ASSERT_EQUAL (fixture.items, 2);
  CU_ASSERT_TRUE (position_is (&fixture.watch.position, 0, 9));
  answer (&fixture, &second, 0, POSITION (0, 9));
  CU_ASSERT_EQUAL (fixture.items, 2);
  CU_ASSERT_EQUAL (fixture.failures, 0);
  run_until_call (&fixture);
  CU_ASSERT_EQUAL (fixture.store.calls, 4);
  fixture_finish (&fixture);
}

/* A store that stays silent gets one call beside the overdue one, and then one
   at a time. */
static void
test_no_calls_beside_failing_ones (void)
{
  struct watch_fixture fixture;
  struct lost_call first = lose_watch_in_silence (&fixture);
  struct lost_call second = lose_call (&fixture);

  run_until_overdue (&fixture);
  CU_ASSERT_EQUAL (fixture.store.calls, 3);
  answer (&fixture, &first, ERR_TIMEOUT, POSITION (0, 0));
  CU_ASSERT_EQUAL (fixture.failures, 1);
  answer (&fixture, &second, ERR_TIMEOUT, POSITION (0, 0));
  run_until_call (&fixture);
  first = lose_call (&fixture);
  run_until_overdue (&fixture);
  CU_ASSERT_EQUAL (fixture.store.calls, 4);
  CU_ASSERT_EQUAL (fixture.store.poll_timeout_ms, 0);
  CU_ASSERT_EQUAL (fixture.failures, 1);
  answer (&fixture, &first, 0, POSITION (0, 9));
  CU_ASSERT_EQUAL (fixture.recoveries, 1);
  fixture_finish (&fixture);
}

/* A call whose response is lost ends at its timeout, which grows with the
   long-poll timeout.  After a failure, calls therefore do not wait for
   changes; otherwise the end of the outage would be noticed late. */
static void
test_no_long_poll_after_failure (void)
{
  struct watch_fixture fixture;
  unsigned int i;

  fixture_init (&fixture);
  run_until_call (&fixture);
  answer_call (&fixture, 0, 1);
  run_until_call (&fixture);
  CU_ASSERT_EQUAL (fixture.store.poll_timeout_ms, POLL_TIMEOUT_MS);
  for (i = 0; i < 3; i++)
    {
      answer_call (&fixture, ERR_TIMEOUT, 0);
      run_until_call (&fixture);
      CU_ASSERT_EQUAL (fixture.store.poll_timeout_ms, 0);
    }
  CU_ASSERT_EQUAL (fixture.failures, 1);
  answer_call (&fixture, 0, 2);
  CU_ASSERT_EQUAL (fixture.recoveries, 1);
  run_until_call (&fixture);
  CU_ASSERT_EQUAL (fixture.store.poll_timeout_ms, POLL_TIMEOUT_MS);
  fixture_finish (&fixture);
}

/* When the store has discarded its change history, the keys are listed again;
   this does not count as a failure. */
static void
test_history_discarded (void)
{
  struct watch_fixture fixture;

  fixture_init (&fixture);
  run_until_call (&fixture);
  answer_call (&fixture, 0, 1);
  run_until_call (&fixture);
  answer_call (&fixture, ERR_STALE, 0);
  CU_ASSERT_EQUAL (fixture.failures, 0);
  run_until_call (&fixture);
  CU_ASSERT_EQUAL (fixture.watch.phase, STORE_WATCH_LISTING);
  answer_call (&fixture, 0, 9);
  CU_ASSERT_TRUE (position_is (&fixture.watch.position, 0, 9));
  CU_ASSERT_EQUAL (fixture.items, 1);
  fixture_finish (&fixture);
}

/* The response to a call made before a pause is discarded, and a watch that is
   resumed does not wait for it: a long poll may take seconds. */
static void
test_pause (void)
{
  struct watch_fixture fixture;
  kvstore_page_fn done;
  void *user;

  fixture_init (&fixture);
  run_until_call (&fixture);
  answer_call (&fixture, 0, 1);
  run_until_call (&fixture);
  store_watch_pause (&fixture.watch);
  fixture.items = 0;
  done = fixture.store.done;
  user = fixture.store.user;
  fixture.store.done = NULL;
  store_watch_resume (&fixture.watch);
  run_until_call (&fixture);
  done (user, ERR_TIMEOUT, NULL);
  CU_ASSERT_EQUAL (fixture.items, 0);
  CU_ASSERT_EQUAL (fixture.failures, 0);
  store_watch_pause (&fixture.watch);
  answer_call (&fixture, 0, 5);
  CU_ASSERT_EQUAL (fixture.items, 0);
  store_watch_resume (&fixture.watch);
  run_until_call (&fixture);
  CU_ASSERT_EQUAL (fixture.watch.phase, STORE_WATCH_LISTING);
  answer_call (&fixture, 0, 6);
  CU_ASSERT_TRUE (position_is (&fixture.watch.position, 0, 6));
  fixture_finish (&fixture);
}

/* After a restore, the store has revisions again that were read before, so a
   watch from one of them would miss what lies between: the keys are listed
   again, and a listing is not continued in another era. */
static void
test_restored_store (void)
{
  struct watch_fixture fixture;

  fixture_init (&fixture);
  run_until_call (&fixture);
  answer_call_at (&fixture, 0, POSITION (1, 100));
  run_until_call (&fixture);
  fixture.items = 0;
  answer_call_at (&fixture, 0, POSITION (2, 120));
  CU_ASSERT_EQUAL (fixture.items, 0);
  CU_ASSERT_EQUAL (fixture.restores, 1);
  CU_ASSERT_EQUAL (fixture.failures, 0);
  run_until_call (&fixture);
  CU_ASSERT_EQUAL (fixture.watch.phase, STORE_WATCH_LISTING);
  fixture.more = true;
  answer_call_at (&fixture, 0, POSITION (2, 121));
  fixture.more = false;
  run_until_call (&fixture);
  /* The second page is of a third era. */
  answer_call_at (&fixture, 0, POSITION (3, 90));
  CU_ASSERT_EQUAL (fixture.restores, 2);
  CU_ASSERT_EQUAL (fixture.watch.phase, STORE_WATCH_LISTING);
  run_until_call (&fixture);
  answer_call_at (&fixture, 0, POSITION (3, 91));
  CU_ASSERT_EQUAL (fixture.watch.phase, STORE_WATCH_WATCHING);
  CU_ASSERT_TRUE (position_is (&fixture.watch.position, 3, 91));
  CU_ASSERT_EQUAL (fixture.restores, 2);
  fixture_finish (&fixture);
}

/* The changes since a position are more than there is memory for: they would
   be so for ever, so the keys are listed again.  If that goes on, the pauses
   grow to 0.8 to 1.6 s. */
static void
test_oversized_changes (void)
{
  struct watch_fixture fixture;
  uint32_t longest_ms = 0;
  unsigned int round;

  fixture_init (&fixture);
  run_until_call (&fixture);
  answer_call (&fixture, 0, 9);
  for (round = 0; round < 8; round++)
    {
      run_until_call (&fixture);
      CU_ASSERT_EQUAL (fixture.watch.phase, STORE_WATCH_WATCHING);
      answer_call (&fixture, ERR_TOO_LARGE, 0);
      CU_ASSERT_EQUAL (fixture.watch.phase, STORE_WATCH_LISTING);
      longest_ms = fixture.watch.oversized_ms;
      CU_ASSERT_EQUAL (longest_ms, 100U << (round < 4 ? round : 4));
      store_watch_pause (&fixture.watch);
      store_watch_resume (&fixture.watch);
      run_until_call (&fixture);
      answer_call (&fixture, 0, 10 + round);
    }
  CU_ASSERT_EQUAL (fixture.failures, 0);
  run_until_call (&fixture);
  answer_call (&fixture, 0, 30);
  CU_ASSERT_EQUAL (fixture.watch.oversized_ms, 0);
  CU_ASSERT_TRUE (position_is (&fixture.watch.position, 0, 30));
  fixture_finish (&fixture);
}

/* A watch with a pending long poll, confirmed at the manual clock's time. */
static void
start_long_poll (struct watch_fixture *fixture)
{
  fixture_init (fixture);
  run_until_call (fixture);
  answer_call (fixture, 0, 1);
  run_until_call (fixture);
  CU_ASSERT_EQUAL (fixture->store.poll_timeout_ms, POLL_TIMEOUT_MS);
  CU_ASSERT_EQUAL (store_watch_age_ns (&fixture->watch), 0);
}

static void
answer_without_changes (const struct lost_call *call, uint64_t revision)
{
  const struct kvstore_page page = { .position = *POSITION (0, revision) };

  call->done (call->user, 0, &page);
}

/* Guards against a state that counts as current while a call is pending, the
   response to which may never come. */
static void
test_age_of_pending_call (void)
{
  struct watch_fixture fixture;
  struct lost_call poll;

  start_long_poll (&fixture);
  clock_advance_ms (&fixture.clock, 900);
  CU_ASSERT_EQUAL (store_watch_age_ns (&fixture.watch), 900 * CLOCK_NS_PER_MS);
  /* The store held the long poll for all of its time, so its response is as
     old as that end. */
  poll = lose_call (&fixture);
  clock_advance_ms (&fixture.clock, POLL_TIMEOUT_MS - 900 + 20);
  answer_without_changes (&poll, 1);
  CU_ASSERT_EQUAL (store_watch_age_ns (&fixture.watch), 20 * CLOCK_NS_PER_MS);
  /* One that came at once may be as old as its call. */
  run_until_call (&fixture);
  poll = lose_call (&fixture);
  clock_advance_ms (&fixture.clock, 300);
  answer_without_changes (&poll, 1);
  CU_ASSERT_EQUAL (store_watch_age_ns (&fixture.watch), 300 * CLOCK_NS_PER_MS);
  fixture_finish (&fixture);
}

/* A call beside the long poll renews the state's age and ends nothing. */
static void
test_confirmation (void)
{
  struct watch_fixture fixture;
  struct lost_call poll;
  struct lost_call second;

  start_long_poll (&fixture);
  poll = lose_call (&fixture);
  clock_advance_ms (&fixture.clock, 600);
  store_watch_confirm (&fixture.watch);
  CU_ASSERT_EQUAL (fixture.store.poll_timeout_ms, 0);
  CU_ASSERT_EQUAL (fixture.store.calls, 3);
  /* There is one already. */
  store_watch_confirm (&fixture.watch);
  CU_ASSERT_EQUAL (fixture.store.calls, 3);
  clock_advance_ms (&fixture.clock, 10);
  second = lose_call (&fixture);
  answer_without_changes (&second, 5);
  CU_ASSERT_EQUAL (store_watch_age_ns (&fixture.watch), 10 * CLOCK_NS_PER_MS);
  event_base_loop (fixture.base, EVLOOP_NONBLOCK);
  CU_ASSERT_EQUAL (fixture.store.calls, 3);
  /* The long poll's changes are reported as ever. */
  answer (&fixture, &poll, 0, POSITION (0, 9));
  CU_ASSERT_EQUAL (fixture.items, 2);
  CU_ASSERT_TRUE (position_is (&fixture.watch.position, 0, 9));
  fixture_finish (&fixture);
}

/* What a confirming call finds changed is reported, once. */
static void
test_confirmation_with_changes (void)
{
  struct watch_fixture fixture;
  struct lost_call poll;

  start_long_poll (&fixture);
  poll = lose_call (&fixture);
  clock_advance_ms (&fixture.clock, 600);
  store_watch_confirm (&fixture.watch);
  answer_call (&fixture, 0, 9);
  CU_ASSERT_EQUAL (fixture.items, 2);
  CU_ASSERT_TRUE (position_is (&fixture.watch.position, 0, 9));
  answer (&fixture, &poll, 0, POSITION (0, 9));
  CU_ASSERT_EQUAL (fixture.items, 2);
  CU_ASSERT_EQUAL (fixture.failures, 0);
  fixture_finish (&fixture);
}

static const struct suite_test tests[] = {
  { "changes are too large", test_oversized_changes },
  { "state counts as current while a call is pending",
    test_age_of_pending_call },
  { "confirmation", test_confirmation },
  { "confirmation with changes", test_confirmation_with_changes },
  { "restored store", test_restored_store },
  { "no long poll after a failure", test_no_long_poll_after_failure },
  { "change history discarded", test_history_discarded },
  { "response during a pause", test_pause },
  { "response lost in a silence", test_response_lost_in_silence },
  { "late response", test_late_response },
  { "no calls beside failing ones", test_no_calls_beside_failing_ones },
};

SUITE_MAIN ("test_store_watch", tests)
