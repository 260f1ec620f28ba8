/**
 * @file test_limits.c
 * The budget of retries, ejection of failing upstreams, observed prefill rate,
 * and cutting of event streams.
 */
#include "protocol/sse.h"
#include "state/err.h"
#include "state/fleet_retry_budget.h"
#include "state/outlier.h"
#include "state/prefill_rate.h"
#include "state/rng.h"
#include "support/suite.h"
#include <string.h>

#define MS 1000000ULL /* nanoseconds */

/* Six instances of a fleet under uneven load, every request of which fails:
   in any window of the sum, repeats keep to the ratio and the allowance. */
static void
test_budget_holds_over_the_fleet (void)
{
  const struct fleet_retry_budget_config config
      = { .permille = 200, .allowance = 52, .window_ms = 10000 };
  struct fleet_retry_budget budgets[6];
  static uint32_t requests[600];
  static uint32_t repeats[600];
  struct rng rng;
  unsigned int i;
  unsigned int slice;
  uint64_t asked;
  uint64_t repeated;

  rng_init (&rng, 7);
  memset (requests, 0, sizeof requests);
  memset (repeats, 0, sizeof repeats);
  for (i = 0; i < 6; i++)
    {
      fleet_retry_budget_init (&budgets[i], &config);
      budgets[i].instances = 6;
    }
  for (slice = 0; slice < 600; slice++)
    for (i = 0; i < 6; i++)
      {
        uint64_t count = rng_below (&rng, i == 0 ? 20 : 3);

        for (; count > 0; count--)
          {
            fleet_retry_budget_count_request (&budgets[i], 1,
                                              (uint64_t)slice * 100 * MS);
            requests[slice]++;
            if (fleet_retry_budget_take (&budgets[i], 1,
                                         (uint64_t)slice * 100 * MS)
                == 0)
              repeats[slice]++;
          }
      }
  for (slice = 0; slice + 100 <= 600; slice++)
    {
      asked = repeated = 0;
      for (i = slice; i < slice + 100; i++)
        {
          asked += requests[i];
          repeated += repeats[i];
        }
      CU_ASSERT_TRUE (repeated * 1000 <= asked * 200 + UINT64_C (52) * 1000);
    }
  for (i = 0; i < 6; i++)
    fleet_retry_budget_finish (&budgets[i]);
}

/* A budget that is spent comes back when its window has passed, and one
   service does not spend another's. */
static void
test_budget_comes_back (void)
{
  const struct fleet_retry_budget_config config
      = { .permille = 0, .allowance = 8, .window_ms = 10000 };
  struct fleet_retry_budget share;
  unsigned int taken = 0;

  fleet_retry_budget_init (&share, &config);
  while (fleet_retry_budget_take (&share, 1, 0) == 0)
    taken++;
  CU_ASSERT_TRUE (taken > 0);
  CU_ASSERT_TRUE (taken <= 8);
  CU_ASSERT_EQUAL (fleet_retry_budget_take (&share, 1, 5000 * MS), ERR_FULL);
  CU_ASSERT_EQUAL (fleet_retry_budget_take (&share, 2, 5000 * MS), 0);
  CU_ASSERT_EQUAL (fleet_retry_budget_take (&share, 1, 11000 * MS), 0);
  fleet_retry_budget_finish (&share);
}

static void
test_outlier (void)
{
  struct outlier outlier = { .failures = 0 };
  uint64_t now_ns = 1000 * MS;
  uint32_t first_ms;
  unsigned int i;

  for (i = 1; i < OUTLIER_CONSECUTIVE_FAILURES; i++)
    outlier_failure (&outlier, false, now_ns);
  CU_ASSERT_FALSE (outlier_ejected (&outlier, now_ns));
  outlier_success (&outlier);
  for (i = 1; i < OUTLIER_CONSECUTIVE_FAILURES; i++)
    outlier_failure (&outlier, false, now_ns);
  CU_ASSERT_FALSE (outlier_ejected (&outlier, now_ns));
  outlier_failure (&outlier, false, now_ns);
  CU_ASSERT_TRUE (outlier_ejected (&outlier, now_ns));
  first_ms = outlier.ejection_ms;
  now_ns += first_ms * MS;
  CU_ASSERT_FALSE (outlier_ejected (&outlier, now_ns));
  /* One attempt probes; others wait for what it finds. */
  outlier_attempt_started (&outlier, now_ns);
  CU_ASSERT_TRUE (outlier_ejected (&outlier, now_ns));
  outlier_failure (&outlier, false, now_ns);
  CU_ASSERT_TRUE (outlier.ejection_ms > first_ms);
  for (i = 0; i < 20; i++)
    {
      now_ns += outlier.ejection_ms * MS;
      outlier_attempt_started (&outlier, now_ns);
      outlier_failure (&outlier, true, now_ns);
    }
  CU_ASSERT_EQUAL (outlier.ejection_ms, OUTLIER_EJECTION_MAX_MS);
  outlier_success (&outlier);
  CU_ASSERT_FALSE (outlier_ejected (&outlier, now_ns));
}

/* Load: an upstream with good health that fails every other request. */
static void
test_outlier_alternating (void)
{
  struct outlier outlier = { .failures = 0 };
  uint64_t now_ns = 1000 * MS;
  uint32_t first_ms;
  unsigned int failed = 0;
  unsigned int i;

  /* One failure in ten is no outlier, however long it goes on. */
  for (i = 0; i < 200; i++)
    {
      if (i % 10 == 0)
        outlier_failure (&outlier, false, now_ns);
      else
        outlier_success (&outlier);
      CU_ASSERT_FALSE (outlier_ejected (&outlier, now_ns));
    }
  for (i = 0; i < 20 && !outlier_ejected (&outlier, now_ns); i++)
    if (i % 2 == 0)
      {
        outlier_failure (&outlier, false, now_ns);
        failed++;
      }
    else
      outlier_success (&outlier);
  CU_ASSERT_TRUE (outlier_ejected (&outlier, now_ns));
  CU_ASSERT (failed <= OUTLIER_WINDOW_FAILURES);
  /* A probe that went well clears nothing yet: the relapse costs more. */
  first_ms = outlier.ejection_ms;
  now_ns += first_ms * MS;
  outlier_attempt_started (&outlier, now_ns);
  outlier_success (&outlier);
  CU_ASSERT_FALSE (outlier_ejected (&outlier, now_ns));
  outlier_failure (&outlier, false, now_ns);
  CU_ASSERT_TRUE (outlier_ejected (&outlier, now_ns));
  CU_ASSERT_EQUAL (outlier.ejection_ms, 2 * first_ms);
  /* A whole window that went well does. */
  for (i = 0; i < 16; i++)
    outlier_success (&outlier);
  CU_ASSERT_EQUAL (outlier.ejection_ms, 0);
  CU_ASSERT_FALSE (outlier_ejected (&outlier, now_ns));
}

static void
test_prefill_rate (void)
{
  struct prefill_rate prefill_rate;
  unsigned int i;

  memset (&prefill_rate, 0, sizeof prefill_rate);
  prefill_rate_init (&prefill_rate, 620000, 18);
  CU_ASSERT_EQUAL (prefill_rate_tokens (&prefill_rate, 1000), 34444);
  for (i = 0; i < 500; i++)
    prefill_rate_observe (&prefill_rate, 20000, 100 * MS);
  CU_ASSERT_EQUAL (prefill_rate_tokens (&prefill_rate, 1000), 34444);
  for (i = 0; i < 5000; i++)
    prefill_rate_observe (&prefill_rate, 0, 200 * MS);
  CU_ASSERT_TRUE (prefill_rate_first_token_ns (&prefill_rate, 0) > 190 * MS);
  CU_ASSERT_TRUE (prefill_rate_first_token_ns (&prefill_rate, 0) < 210 * MS);
  /* One prompt in ten finds an idle engine, the others wait for what nobody
     knew of: the fixed time stays near what the engine itself takes. */
  for (i = 0; i < 5000; i++)
    prefill_rate_observe (&prefill_rate, 0, (i % 10 == 0 ? 120 : 900) * MS);
  CU_ASSERT_TRUE (prefill_rate_first_token_ns (&prefill_rate, 0) < 200 * MS);
  /* Nothing is stated: the rate is learned. */
  memset (&prefill_rate, 0, sizeof prefill_rate);
  prefill_rate_init (&prefill_rate, 0, 18);
  for (i = 0; i < 1000; i++)
    prefill_rate_observe (&prefill_rate, 20000, 1100 * MS);
  CU_ASSERT_TRUE (prefill_rate_tokens (&prefill_rate, 1000) > 18000);
  CU_ASSERT_TRUE (prefill_rate_tokens (&prefill_rate, 1000) < 22000);
}

static void
feed (struct sse *sse, const char *text, struct evbuffer *out)
{
  struct evbuffer *data = evbuffer_new ();

  evbuffer_add (data, text, strlen (text));
  CU_ASSERT_EQUAL (sse_feed (sse, data, out), 0);
  evbuffer_free (data);
}

static void
assert_out (struct evbuffer *out, const char *text)
{
  size_t size = evbuffer_get_length (out);

  CU_ASSERT_EQUAL_FATAL (size, strlen (text));
  CU_ASSERT_EQUAL (memcmp (evbuffer_pullup (out, -1), text, size), 0);
  evbuffer_drain (out, size);
}

/* Cut at every byte, a stream comes out in whole events only. */
static void
test_events_come_whole (void)
{
  static const char text[] = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";
  struct evbuffer *out = evbuffer_new ();
  char head[sizeof text];
  struct sse sse;
  size_t cut;

  for (cut = 0; cut < sizeof text; cut++)
    {
      CU_ASSERT_EQUAL (sse_init (&sse), 0);
      memcpy (head, text, cut);
      head[cut] = '\0';
      feed (&sse, head, out);
      CU_ASSERT_TRUE (evbuffer_get_length (out) % 15 == 0);
      feed (&sse, text + cut, out);
      assert_out (out, text);
      CU_ASSERT_TRUE (sse_between (&sse));
      CU_ASSERT_EQUAL (sse.last_id, 2);
      sse_finish (&sse);
    }
  evbuffer_free (out);
}

/* After a cut in an event, another upstream goes on: nothing is missing and
   nothing comes twice. */
static void
test_stream_goes_on (void)
{
  struct evbuffer *out = evbuffer_new ();
  char text[SSE_ID_SIZE];
  struct sse sse;

  sse_init (&sse);
  CU_ASSERT_PTR_NULL (sse_last_id (&sse, text));
  feed (&sse, "id: 1\ndata: a\n\nid: 2\nda", out);
  assert_out (out, "id: 1\ndata: a\n\n");
  CU_ASSERT_FALSE (sse_between (&sse));
  sse_cut (&sse);
  CU_ASSERT_STRING_EQUAL (sse_last_id (&sse, text), "1");
  feed (&sse, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", out);
  assert_out (out, "id: 2\ndata: b\n\n");
  sse_finish (&sse);
  evbuffer_free (out);
}

static void
test_endless_event_is_refused (void)
{
  struct evbuffer *data = evbuffer_new ();
  struct evbuffer *out = evbuffer_new ();
  struct sse sse;
  unsigned int i;
  int error = 0;

  sse_init (&sse);
  for (i = 0; i < 100 && error == 0; i++)
    {
      char bytes[1024];

      memset (bytes, 'x', sizeof bytes);
      evbuffer_add (data, bytes, sizeof bytes);
      error = sse_feed (&sse, data, out);
    }
  CU_ASSERT_EQUAL (error, ERR_TOO_LARGE);
  sse_finish (&sse);
  evbuffer_free (data);
  evbuffer_free (out);
}

static const struct suite_test tests[] = {
  { "the budget of repeats holds over the fleet",
    test_budget_holds_over_the_fleet },
  { "the budget of repeats comes back", test_budget_comes_back },
  { "avoidance of failing upstreams", test_outlier },
  { "an upstream that fails every other time is avoided",
    test_outlier_alternating },
  { "pace", test_prefill_rate },
  { "events come whole", test_events_come_whole },
  { "a stream goes on elsewhere", test_stream_goes_on },
  { "an endless event is refused", test_endless_event_is_refused },
};

SUITE_MAIN ("test_limits", tests)
