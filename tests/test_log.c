/**
 * @file test_log.c
 * Log lines are whole, one a line, whatever the values hold.
 */
#include "support/suite.h"
#include "transport/log.h"
#include <stdbool.h>
#include <string.h>

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
test_long_lines_are_cut (void)
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

static const struct suite_test tests[] = {
  { "line", test_line },
  { "long lines are cut", test_long_lines_are_cut },
  { "every message has a text", test_every_message_has_a_text },
  { "levels", test_levels },
};

SUITE_MAIN ("test_log", tests)
