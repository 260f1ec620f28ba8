/**
 * @file test_oversized_changes.c
 * End-to-end tests of a gateway that was away from the store while more was
 * written than there is memory for in a response.
 */
#include "support/gatefixture.h"
#include "support/logpipe.h"
#include "support/memory.h"
#include "support/suite.h"
#include <string.h>

#define IN_FORCE_MS   2000 /* config_apply_ms */
#define AWAY_MS       300
#define GROWTH_MAX_KB (MEMORY_GATEWAY_KB / 2)
#define STAND_IN_KB   (4UL * (STORESERVER_LONG_BYTES / 1024))

static bool
has_second_version (const struct gatefixture *fixture)
{
  return fixture->gateway.routing != NULL
         && strcmp (fixture->gateway.routing->version, "2") == 0;
}

/* Guards against a watch that asks for the same changes again for ever, so
   that a key that was dropped goes on for good. */
static void
return_to_store (bool chunked)
{
  struct gatefixture fixture;
  struct logpipe logpipe;
  const char *wanted = "response of the store exceeds the memory for it";
  uint64_t before_kb;
  unsigned int rounds;

  gatefixture_init (&fixture, true);
  before_kb = memory_kb ();
  logpipe_init (&logpipe);
  fixture.store.chunked = chunked;
  fixture.store.fault = STORESERVER_FAULT_503;
  storeserver_compact (&fixture.store);
  fixture.store.oldest_revision = 0;
  gatefixture_run (&fixture, AWAY_MS);
  gatefixture_configure (&fixture, 2, "\"key-2\"", "s2");
  fixture.store.long_before_revision = fixture.store.revision;
  fixture.store.fault = STORESERVER_FAULT_NONE;
  for (rounds = 0; rounds < IN_FORCE_MS / 20 && !has_second_version (&fixture);
       rounds++)
    gatefixture_run (&fixture, 20);
  CU_ASSERT_TRUE (has_second_version (&fixture));
  logpipe_finish (&logpipe);
  CU_ASSERT_PTR_NOT_NULL (strstr (logpipe.text, wanted));
  CU_ASSERT_TRUE (fixture.gateway.store->counters.oversized >= 1);
  CU_ASSERT_TRUE (memory_kb () < before_kb + GROWTH_MAX_KB + STAND_IN_KB);
  gatefixture_request (&fixture,
                       "GET /again/ HTTP/1.1\r\nHost: shop.example\r\n"
                       "X-Attempt-Id: id-1\r\nX-Credential: key-1\r\n\r\n");
  CU_ASSERT_PTR_NOT_NULL (strstr (fixture.client.got, "HTTP/1.1 401"));
  gatefixture_finish (&fixture);
}

static void
test_stated_length (void)
{
  return_to_store (false);
}

static void
test_chunks (void)
{
  return_to_store (true);
}

/* All changes are too large: what is in force is read all the same, and the
   pauses between the calls grow. */
static void
test_always (void)
{
  struct gatefixture fixture;
  unsigned int lists;

  gatefixture_init (&fixture, true);
  fixture.store.long_before_revision = UINT64_MAX;
  gatefixture_configure (&fixture, 2, "\"key-2\"", "s2");
  gatefixture_run (&fixture, 3000);
  CU_ASSERT_TRUE (has_second_version (&fixture));
  lists = fixture.store.list_calls;
  gatefixture_run (&fixture, 4000);
  /* Two watches, at least 0.8 s apart, and pages. */
  CU_ASSERT_TRUE (fixture.store.list_calls - lists <= 2 * 2 * 5);
  fixture.store.long_before_revision = 0;
  gatefixture_run (&fixture, 2000);
  lists = fixture.store.list_calls;
  gatefixture_run (&fixture, 1000);
  CU_ASSERT_EQUAL (fixture.store.list_calls, lists);
  gatefixture_finish (&fixture);
}

static const struct suite_test tests[] = {
  { "response with a length", test_stated_length },
  { "response in chunks", test_chunks },
  { "each response", test_always },
};

SUITE_MAIN ("test_oversized_changes", tests)
