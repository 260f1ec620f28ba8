/**
 * @file test_log.c
 * Format and escaping of log lines, the budget of lines per second, and a
 * reader that stalls.
 */
#include "support/suite.h"
#include "transport/log.h"
#include "transport/log_budget.h"
#include <fcntl.h>
#include <stdbool.h>
#include <string.h>
#include <unistd.h>

#define WALL_MS 1700000000123ULL

static void
test_line (void)
{
  const struct log_field fields[] = {
    LOG_S ("plain", "a-b"),
    LOG_S ("spaced", "a b"),
    LOG_S ("hostile", "x\ny=\"z\"\\"),
    LOG_S ("empty", ""),
    LOG_U ("count", 18446744073709551615ULL),
    LOG_I ("error", -9),
  };
  char line[512];

  log_format (line, sizeof (line), WALL_MS, LOG_STOPPED, "req-1", fields,
              sizeof (fields) / sizeof (fields[0]));
  CU_ASSERT_STRING_EQUAL (
      line, "time=2023-11-14T22:13:20.123Z level=info msg=stopped "
            "request_id=req-1 plain=a-b spaced=\"a b\" "
            "hostile=\"x\\x0ay=\\\"z\\\"\\\\\" empty=\"\" "
            "count=18446744073709551615 error=-9");
}

static void
test_long_lines_are_truncated (void)
{
  const struct log_field field = LOG_S ("key", "0123456789");
  char line[64];
  size_t length;

  memset (line, 'x', sizeof (line));
  length = log_format (line, 40, WALL_MS, LOG_STOPPED, NULL, &field, 1);
  CU_ASSERT_EQUAL (length, 39);
  CU_ASSERT_EQUAL (strlen (line), 39);
  CU_ASSERT_EQUAL (line[40], 'x');
}

static void
test_every_message_has_a_text (void)
{
  int i;

  for (i = 0; i < LOG_MESSAGE_MAX; i++)
    CU_ASSERT_PTR_NOT_NULL (log_messages[i].text);
}

static void
test_levels (void)
{
  CU_ASSERT_EQUAL (log_level_parse ("debug"), LOG_LEVEL_DEBUG);
  CU_ASSERT_EQUAL (log_level_parse ("error"), LOG_LEVEL_ERROR);
  CU_ASSERT_EQUAL (log_level_parse ("loud"), LOG_LEVEL_MAX);
}

/* Failures are still written when successes have used up their half of the
   budget.  Dropped lines are reported by message in the next second. */
static void
test_line_budget (void)
{
  struct log_budget budget = { .lines_max = 40 };
  char text[LOG_BUDGET_REPORT_SIZE];
  unsigned int done = 0;
  unsigned int started = 0;
  unsigned int refused = 0;
  unsigned int failed = 0;
  int i;

  for (i = 0; i < 100; i++)
    {
      done += log_budget_take (&budget, LOG_REQUEST_DONE, 5000);
      started += log_budget_take (&budget, LOG_ATTEMPT_STARTED, 5000);
    }
  for (i = 0; i < 100; i++)
    {
      refused += log_budget_take (&budget, LOG_REQUEST_REFUSED, 5000);
      failed += log_budget_take (&budget, LOG_ATTEMPT_FAILED, 5000);
    }
  CU_ASSERT_EQUAL (done + started, 20);
  CU_ASSERT_EQUAL (refused, 10);
  CU_ASSERT_EQUAL (failed, 10);
  CU_ASSERT_EQUAL (log_budget_report (&budget, 5999, text), 0);
  CU_ASSERT_EQUAL (log_budget_report (&budget, 6000, text), 360);
  CU_ASSERT_PTR_NOT_NULL (strstr (text, "request done:90"));
  CU_ASSERT_PTR_NOT_NULL (strstr (text, "attempt failed:90"));
  CU_ASSERT_EQUAL (log_budget_report (&budget, 7000, text), 0);
  CU_ASSERT_TRUE (log_budget_take (&budget, LOG_REQUEST_DONE, 6000));
}

/* Lines are lost when the reader of the log stalls, but logging does not
   block. */
static void
test_stalled_reader (void)
{
  static struct clock manual;
  struct log_sink sink = { .instance = "i-1", .lines_max = 1000000 };
  char line[4096];
  int pipe_fds[2];
  int i;

  clock_init_manual (&manual, 0, WALL_MS);
  CU_ASSERT_EQUAL_FATAL (pipe (pipe_fds), 0);
  sink.fd = pipe_fds[1];
  log_init (LOG_LEVEL_INFO, &manual);
  log_set_sink (&sink);
  for (i = 0; i < 5000; i++)
    LOG (LOG_REQUEST_REFUSED, "id", LOG_U ("number", (uint64_t)i));
  CU_ASSERT_TRUE (read (pipe_fds[0], line, sizeof line) > 0);
  CU_ASSERT_PTR_NOT_NULL (strstr (line, "instance=i-1"));
  sink = (struct log_sink){ .fd = STDERR_FILENO };
  log_set_sink (&sink);
  close (pipe_fds[0]);
  close (pipe_fds[1]);
}

static const struct suite_test tests[] = {
  { "line budget", test_line_budget },
  { "stalled reader", test_stalled_reader },
  { "format of a line", test_line },
  { "long lines are truncated", test_long_lines_are_truncated },
  { "every message has a text", test_every_message_has_a_text },
  { "names of levels", test_levels },
};

SUITE_MAIN ("test_log", tests)
