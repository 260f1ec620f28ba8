/**
 * @file test_store_watch.c
 * Following keys of a store that falls silent.
 */
#include "gateway/store_watch.h"
#include "state/err.h"
#include "support/suite.h"
#include <string.h>

#define WAIT_MS 5000

/** A store that answers when it is told to. */
struct silent_store
{
  struct platform platform; /**< first: the watch sees this head */
  platform_page_fn done;    /**< of the call in progress; NULL: none */
  void *user;
  unsigned int calls;
  uint32_t wait_ms; /**< of the last call for changes */
};

struct bench
{
  struct event_base *base;
  struct clock clock;
  struct silent_store store;
  struct store_watch watch;
  unsigned int items;
  unsigned int failures;
  unsigned int recoveries;
};

static int
take_call (struct platform *platform, platform_page_fn done, void *user)
{
  struct silent_store *store = (struct silent_store *)platform;

  store->calls++;
  store->done = done;
  store->user = user;
  return 0;
}

static int
range (struct platform *platform, const char *prefix, const char *after,
       bool cheap, platform_page_fn done, void *user)
{
  (void)prefix;
  (void)after;
  (void)cheap;
  return take_call (platform, done, user);
}

static int
changes (struct platform *platform, const char *prefix, uint64_t since,
         uint32_t wait_ms, platform_page_fn done, void *user)
{
  (void)prefix;
  (void)since;
  ((struct silent_store *)platform)->wait_ms = wait_ms;
  return take_call (platform, done, user);
}

static const struct platform_ops silent_ops = {
  .name = "silent",
  .range = range,
  .changes = changes,
};

static void
on_listing (void *user)
{
  ((struct bench *)user)->items = 0;
}

static void
on_listed (void *user, uint64_t index)
{
  (void)user;
  (void)index;
}

static void
on_item (void *user, const struct platform_item *item)
{
  (void)item;
  ((struct bench *)user)->items++;
}

static void
on_failed (void *user, int error)
{
  (void)error;
  ((struct bench *)user)->failures++;
}

static void
on_recovered (void *user, uint64_t outage_ns)
{
  (void)outage_ns;
  ((struct bench *)user)->recoveries++;
}

static const struct store_watch_events events = {
  .listing_begin = on_listing,
  .listing_end = on_listed,
  .item = on_item,
  .failed = on_failed,
  .recovered = on_recovered,
};

static void
bench_init (struct bench *bench)
{
  struct store_watch_config config = { .clock = &bench->clock,
                                       .platform = &bench->store.platform,
                                       .prefix = "k/",
                                       .min_interval_ms = 1,
                                       .poll_timeout_ms = WAIT_MS,
                                       .seed = 7,
                                       .events = &events,
                                       .user = bench };

  memset (bench, 0, sizeof *bench);
  bench->base = event_base_new ();
  config.base = bench->base;
  clock_init_manual (&bench->clock, CLOCK_NS_PER_S, 0);
  bench->store.platform.ops = &silent_ops;
  CU_ASSERT_EQUAL_FATAL (store_watch_init (&bench->watch, &config), 0);
}

static void
bench_finish (struct bench *bench)
{
  store_watch_finish (&bench->watch);
  event_base_free (bench->base);
}

/* Runs until the watch has made its next call, whatever its back-off. */
static void
await_call (struct bench *bench)
{
  while (bench->store.done == NULL)
    event_base_loop (bench->base, EVLOOP_ONCE);
}

static void
answer (struct bench *bench, int error, uint64_t index)
{
  static const struct platform_item item
      = { .key = "k/1", .value = "v", .value_size = 1, .index = 1 };
  const struct platform_page page
      = { .index = index, .items = &item, .count = 1 };
  platform_page_fn done = bench->store.done;

  bench->store.done = NULL;
  done (bench->store.user, error, error == 0 ? &page : NULL);
}

/* A call that was lost ends with its time-out, which grows with the time it
   asks to wait; after one, calls ask for an answer at once, so that the end of
   an outage is not slept through. */
static void
test_short_calls_after_failure (void)
{
  struct bench bench;
  unsigned int i;

  bench_init (&bench);
  await_call (&bench);
  answer (&bench, 0, 1);
  await_call (&bench);
  CU_ASSERT_EQUAL (bench.store.wait_ms, WAIT_MS);
  for (i = 0; i < 3; i++)
    {
      answer (&bench, ERR_TIMEOUT, 0);
      await_call (&bench);
      CU_ASSERT_EQUAL (bench.store.wait_ms, 0);
    }
  CU_ASSERT_EQUAL (bench.failures, 1);
  answer (&bench, 0, 2);
  CU_ASSERT_EQUAL (bench.recoveries, 1);
  await_call (&bench);
  CU_ASSERT_EQUAL (bench.store.wait_ms, WAIT_MS);
  bench_finish (&bench);
}

/* A history that was dropped is an answer: the keys are listed anew. */
static void
test_history_dropped (void)
{
  struct bench bench;

  bench_init (&bench);
  await_call (&bench);
  answer (&bench, 0, 1);
  await_call (&bench);
  answer (&bench, ERR_STALE, 0);
  CU_ASSERT_EQUAL (bench.failures, 0);
  await_call (&bench);
  CU_ASSERT_EQUAL (bench.watch.phase, STORE_WATCH_LISTING);
  answer (&bench, 0, 9);
  CU_ASSERT_EQUAL (bench.watch.index, 9);
  CU_ASSERT_EQUAL (bench.items, 1);
  bench_finish (&bench);
}

/* An answer to a call from before a pause tells nothing. */
static void
test_pause (void)
{
  struct bench bench;

  bench_init (&bench);
  await_call (&bench);
  answer (&bench, 0, 1);
  await_call (&bench);
  store_watch_pause (&bench.watch);
  bench.items = 0;
  answer (&bench, 0, 5);
  CU_ASSERT_EQUAL (bench.items, 0);
  store_watch_resume (&bench.watch);
  await_call (&bench);
  CU_ASSERT_EQUAL (bench.watch.phase, STORE_WATCH_LISTING);
  answer (&bench, 0, 6);
  CU_ASSERT_EQUAL (bench.watch.index, 6);
  bench_finish (&bench);
}

static const struct suite_test tests[] = {
  { "short calls after a failure", test_short_calls_after_failure },
  { "history dropped", test_history_dropped },
  { "paused feed", test_pause },
};

SUITE_MAIN ("test_store_watch", tests)
