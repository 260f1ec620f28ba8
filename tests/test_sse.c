/**
 * @file test_sse.c
 * Events that arrive in small parts, or are small: what is held of them takes
 * little more memory and time than their bytes.
 */
#include "protocol/sse.h"
#include "state/err.h"
#include "support/memory.h"
#include "support/suite.h"
#include <string.h>
#include <time.h>

#define HELD_MAX_KB 1024 /* of an event of 64 KiB at most */
#define CPU_MAX_MS  2000

static uint64_t
cpu_ms (void)
{
  return (uint64_t)clock () * 1000 / CLOCKS_PER_SEC;
}

static void
test_event_byte_by_byte (void)
{
  struct evbuffer *data = evbuffer_new ();
  struct evbuffer *out = evbuffer_new ();
  const uint64_t before_kb = memory_kb ();
  const uint64_t before_ms = cpu_ms ();
  struct sse sse;
  uint32_t bytes = 0;
  int error = 0;

  CU_ASSERT_EQUAL (sse_init (&sse), 0);
  while (error == 0 && bytes <= SSE_EVENT_MAX
         && cpu_ms () - before_ms <= CPU_MAX_MS)
    {
      evbuffer_add (data, "x", 1);
      error = sse_feed (&sse, data, out);
      bytes++;
    }
  CU_ASSERT (memory_kb () - before_kb < HELD_MAX_KB);
  CU_ASSERT (cpu_ms () - before_ms <= CPU_MAX_MS);
  CU_ASSERT_EQUAL (error, ERR_TOO_LARGE);
  CU_ASSERT_EQUAL (bytes, SSE_EVENT_MAX + 1);
  sse_finish (&sse);
  evbuffer_free (data);
  evbuffer_free (out);
}

static void
test_separator_in_parts (void)
{
  static const char text[] = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n\nid: 3\n\n";
  struct evbuffer *data = evbuffer_new ();
  struct evbuffer *out = evbuffer_new ();
  struct sse sse;
  size_t step;
  size_t at;

  for (step = 1; step < sizeof text; step++)
    {
      CU_ASSERT_EQUAL (sse_init (&sse), 0);
      for (at = 0; at < strlen (text); at += step)
        {
          const size_t rest = strlen (text) - at;

          evbuffer_add (data, text + at, rest < step ? rest : step);
          CU_ASSERT_EQUAL (sse_feed (&sse, data, out), 0);
          CU_ASSERT_EQUAL (evbuffer_get_length (data), 0);
        }
      CU_ASSERT_EQUAL (sse.events, 3);
      CU_ASSERT_EQUAL (sse.last_id, 3);
      CU_ASSERT_TRUE (sse_at_event_boundary (&sse));
      CU_ASSERT_EQUAL (evbuffer_get_length (out), strlen (text));
      CU_ASSERT (memcmp (evbuffer_pullup (out, -1), text, strlen (text)) == 0);
      evbuffer_drain (out, strlen (text));
      sse_finish (&sse);
    }
  evbuffer_free (data);
  evbuffer_free (out);
}

static const struct suite_test tests[] = {
  { "event that arrives byte by byte", test_event_byte_by_byte },
  { "separator in parts", test_separator_in_parts },
};

SUITE_MAIN ("test_sse", tests)
