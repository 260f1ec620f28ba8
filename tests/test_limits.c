/**
 * @file test_limits.c
 * Fleet retry budget, ejection of failing upstreams, estimate of the prefill
 * rate, and splitting of server-sent event streams.
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

/* Six instances with uneven load retry every request.  In any window, the
   retries of all instances stay within the ratio plus the allowance. */
static void
test_fleet_retry_budget (void)
{
  const struct fleet_retry_budget_config config
      = { .permille = 200, .allowance = 52, .window_ms = 10000 };
  struct fleet_retry_budget budgets[6];
  static uint32_t requests[600];
  static uint32_t retries[600];
  struct rng rng;
  unsigned int i;
  unsigned int interval; /* of 100 ms */
  uint64_t request_sum;
  uint64_t retry_sum;

  rng_init (&rng, 7);
  memset (requests, 0, sizeof requests);
  memset (retries, 0, sizeof retries);
  for (i = 0; i < 6; i++)
    {
      fleet_retry_budget_init (&budgets[i], &config);
      budgets[i].instances = 6;
    }
  for (interval = 0; interval < 600; interval++)
    for (i = 0; i < 6; i++)
      {
        uint64_t count = rng_below (&rng, i == 0 ? 20 : 3);

        for (; count > 0; count--)
          {
            fleet_retry_budget_count_request (&budgets[i], 1,
                                              (uint64_t)interval * 100 * MS);
            requests[interval]++;
            if (fleet_retry_budget_take (&budgets[i], 1,
                                         (uint64_t)interval * 100 * MS)
                == 0)
              retries[interval]++;
          }
      }
  for (interval = 0; interval + 100 <= 600; interval++)
    {
      request_sum = retry_sum = 0;
      for (i = interval; i < interval + 100; i++)
        {
          request_sum += requests[i];
          retry_sum += retries[i];
        }
      CU_ASSERT_TRUE (retry_sum * 1000
                      <= request_sum * 200 + UINT64_C (52) * 1000);
    }
  for (i = 0; i < 6; i++)
    fleet_retry_budget_finish (&budgets[i]);
}

/* An exhausted budget is available again after its window, and each service
   has its own budget. */
static void
test_retry_budget_window (void)
{
  const struct fleet_retry_budget_config config
      = { .permille = 0, .allowance = 8, .window_ms = 10000 };
  struct fleet_retry_budget budget;
  unsigned int taken = 0;

  fleet_retry_budget_init (&budget, &config);
  while (fleet_retry_budget_take (&budget, 1, 0) == 0)
    taken++;
  CU_ASSERT_TRUE (taken > 0);
  CU_ASSERT_TRUE (taken <= 8);
  CU_ASSERT_EQUAL (fleet_retry_budget_take (&budget, 1, 5000 * MS), ERR_FULL);
  CU_ASSERT_EQUAL (fleet_retry_budget_take (&budget, 2, 5000 * MS), 0);
  CU_ASSERT_EQUAL (fleet_retry_budget_take (&budget, 1, 11000 * MS), 0);
  fleet_retry_budget_finish (&budget);
}

static void
test_outlier_consecutive (void)
{
  struct outlier outlier = { .failures = 0 };
  uint64_t now_ns = 1000 * MS;
  uint32_t first_ms;
  unsigned int i;

  for (i = 1; i < OUTLIER_CONSECUTIVE_FAILURES; i++)
    outlier_failure (&outlier, false, now_ns);
  CU_ASSERT_FALSE (outlier_ejected (&outlier, now_ns));
  outlier_success (&outlier, 0);
  for (i = 1; i < OUTLIER_CONSECUTIVE_FAILURES; i++)
    outlier_failure (&outlier, false, now_ns);
  CU_ASSERT_FALSE (outlier_ejected (&outlier, now_ns));
  outlier_failure (&outlier, false, now_ns);
  CU_ASSERT_TRUE (outlier_ejected (&outlier, now_ns));
  first_ms = outlier.ejection_ms;
  now_ns += first_ms * MS;
  CU_ASSERT_FALSE (outlier_ejected (&outlier, now_ns));
  /* One attempt probes the upstream; until its result, others prefer other
     upstreams. */
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
  outlier_success (&outlier, 0);
  CU_ASSERT_FALSE (outlier_ejected (&outlier, now_ns));
}

/* An upstream that appears healthy fails every second request: it is
   ejected. */
static void
test_outlier_alternating (void)
{
  struct outlier outlier = { .failures = 0 };
  uint64_t now_ns = 1000 * MS;
  uint32_t first_ms;
  unsigned int failed_count = 0;
  unsigned int i;

  /* A constant failure rate of one in ten does not lead to ejection. */
  for (i = 0; i < 200; i++)
    {
      if (i % 10 == 0)
        outlier_failure (&outlier, false, now_ns);
      else
        outlier_success (&outlier, 0);
      CU_ASSERT_FALSE (outlier_ejected (&outlier, now_ns));
    }
  for (i = 0; i < 20 && !outlier_ejected (&outlier, now_ns); i++)
    if (i % 2 == 0)
      {
        outlier_failure (&outlier, false, now_ns);
        failed_count++;
      }
    else
      outlier_success (&outlier, 0);
  CU_ASSERT_TRUE (outlier_ejected (&outlier, now_ns));
  CU_ASSERT (failed_count <= OUTLIER_WINDOW_FAILURES);
  /* A successful probe does not clear the history: the next failure doubles
     the ejection time. */
  first_ms = outlier.ejection_ms;
  now_ns += first_ms * MS;
  outlier_attempt_started (&outlier, now_ns);
  outlier_success (&outlier, 0);
  CU_ASSERT_FALSE (outlier_ejected (&outlier, now_ns));
  outlier_failure (&outlier, false, now_ns);
  CU_ASSERT_TRUE (outlier_ejected (&outlier, now_ns));
  CU_ASSERT_EQUAL (outlier.ejection_ms, 2 * first_ms);
  /* A whole window of successes clears it. */
  for (i = 0; i < 16; i++)
    outlier_success (&outlier, 0);
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
  /* One prompt in ten finds an idle engine; the others wait for prompts that
     this instance does not know of.  The base latency stays near that of the
     idle engine. */
  for (i = 0; i < 5000; i++)
    prefill_rate_observe (&prefill_rate, 0, (i % 10 == 0 ? 120 : 900) * MS);
  CU_ASSERT_TRUE (prefill_rate_first_token_ns (&prefill_rate, 0) < 200 * MS);
  /* Without a configured rate, the rate is estimated. */
  memset (&prefill_rate, 0, sizeof prefill_rate);
  prefill_rate_init (&prefill_rate, 0, 18);
  for (i = 0; i < 1000; i++)
    prefill_rate_observe (&prefill_rate, 20000, 1100 * MS);
  CU_ASSERT_TRUE (prefill_rate_tokens (&prefill_rate, 1000) > 18000);
  CU_ASSERT_TRUE (prefill_rate_tokens (&prefill_rate, 1000) < 22000);
}

static void
feed_text (struct sse *sse, const char *text, struct evbuffer *out)
{
  struct evbuffer *data = evbuffer_new ();

  evbuffer_add (data, text, strlen (text));
  CU_ASSERT_EQUAL (sse_feed (sse, data, out), 0);
  evbuffer_free (data);
}

static void
check_output (struct evbuffer *out, const char *text)
{
  size_t size = evbuffer_get_length (out);

  CU_ASSERT_EQUAL_FATAL (size, strlen (text));
  CU_ASSERT_EQUAL (memcmp (evbuffer_pullup (out, -1), text, size), 0);
  evbuffer_drain (out, size);
}

/* A stream that arrives in two pieces, split at any byte, is forwarded in
   complete events only. */
static void
test_complete_events (void)
{
  static const char text[] = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";
  struct evbuffer *out = evbuffer_new ();
  char first_part[sizeof text];
  struct sse sse;
  size_t split;

  for (split = 0; split < sizeof text; split++)
    {
      CU_ASSERT_EQUAL (sse_init (&sse), 0);
      memcpy (first_part, text, split);
      first_part[split] = '\0';
      feed_text (&sse, first_part, out);
      CU_ASSERT_TRUE (evbuffer_get_length (out) % 15 == 0);
      feed_text (&sse, text + split, out);
      check_output (out, text);
      CU_ASSERT_TRUE (sse_at_event_boundary (&sse));
      CU_ASSERT_EQUAL (sse.last_id, 2);
      sse_finish (&sse);
    }
  evbuffer_free (out);
}

/* A stream is truncated within an event and resumed at another upstream: no
   event is lost or duplicated. */
static void
test_stream_resume (void)
{
  struct evbuffer *out = evbuffer_new ();
  char text[SSE_ID_SIZE];
  struct sse sse;

  sse_init (&sse);
  CU_ASSERT_PTR_NULL (sse_last_id (&sse, text));
  feed_text (&sse, "id: 1\ndata: a\n\nid: 2\nda", out);
  check_output (out, "id: 1\ndata: a\n\n");
  CU_ASSERT_FALSE (sse_at_event_boundary (&sse));
  sse_discard_partial (&sse);
  CU_ASSERT_STRING_EQUAL (sse_last_id (&sse, text), "1");
  feed_text (&sse, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", out);
  check_output (out, "id: 2\ndata: b\n\n");
  sse_finish (&sse);
  evbuffer_free (out);
}

static void
test_oversized_event (void)
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
  { "retry budget holds over the fleet", test_fleet_retry_budget },
  { "retry budget is renewed after its window", test_retry_budget_window },
  { "ejection of failing upstreams", test_outlier_consecutive },
  { "ejection of an upstream that fails every second request",
    test_outlier_alternating },
  { "prefill rate", test_prefill_rate },
  { "events are forwarded complete", test_complete_events },
  { "a stream is resumed at another upstream", test_stream_resume },
  { "an oversized event is rejected", test_oversized_event },
};

SUITE_MAIN ("test_limits", tests)
