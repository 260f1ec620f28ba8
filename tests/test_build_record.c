/**
 * @file test_build_record.c
 * What a fleet that was lost as a whole reads of builds and streams.
 */
#include "protocol/stream_summary.h"
#include "state/build_record.h"
#include "state/err.h"
#include "support/suite.h"
#include <string.h>

#define SERVICE 7
#define FIRST   100
#define SECOND  200

struct rows
{
  struct stream_builds_row rows[8];
  size_t count;
};

static void
collect (void *user, const struct stream_builds_row *row)
{
  struct rows *rows = user;

  rows->rows[rows->count++] = *row;
}

static void
test_record (void)
{
  struct build_records records = { NULL };
  struct build_record *record = build_records_get (&records, SERVICE);

  CU_ASSERT_PTR_NOT_NULL_FATAL (record);
  if (record == NULL)
    return;
  CU_ASSERT_FALSE (build_records_contradict (&records, SERVICE, FIRST));
  CU_ASSERT_EQUAL (build_record_wanted (record, FIRST, false), FIRST);
  record->build = FIRST;
  CU_ASSERT_EQUAL (build_record_wanted (record, FIRST, false), 0);
  CU_ASSERT_FALSE (build_records_contradict (&records, SERVICE, FIRST));
  CU_ASSERT_FALSE (build_records_contradict (&records, SERVICE, 0));
  CU_ASSERT_TRUE (build_records_contradict (&records, SERVICE, SECOND));
  CU_ASSERT_FALSE (build_records_contradict (&records, SERVICE + 1, SECOND));
  CU_ASSERT_EQUAL (build_record_wanted (record, SECOND, true),
                   BUILD_RECORD_SEVERAL);
  record->build = BUILD_RECORD_SEVERAL;
  CU_ASSERT_EQUAL (build_record_wanted (record, 0, true), 0);
  CU_ASSERT_EQUAL (build_record_wanted (record, SECOND, false), SECOND);
  /* No upstreams for a while. */
  CU_ASSERT_EQUAL (build_record_wanted (record, 0, false), 0);
  build_records_finish (&records);
}

static void
test_summary (void)
{
  const struct stream_builds_row rows[] = {
    { .key = 1, .service_id = SERVICE, .build = FIRST },
    { .key = 2, .service_id = SERVICE, .build = FIRST },
    { .key = SERVICE, .service_id = SERVICE, .build = 0 },
    { .key = 3, .service_id = SERVICE, .build = SECOND },
    { .key = 4, .service_id = SERVICE + 1, .build = SECOND },
  };
  uint8_t value[5 * STREAM_SUMMARY_ROW_SIZE];
  struct rows read = { .count = 0 };
  size_t size = stream_summary_write (rows, 5, value);

  CU_ASSERT_EQUAL (stream_summary_read (value, size, collect, &read), 0);
  CU_ASSERT_EQUAL_FATAL (read.count, 4);
  CU_ASSERT_EQUAL (read.rows[1].key, 2);
  CU_ASSERT_EQUAL (read.rows[1].build, FIRST);
  CU_ASSERT_EQUAL (read.rows[2].build, SECOND);
  CU_ASSERT_EQUAL (read.rows[3].service_id, SERVICE + 1);
  CU_ASSERT_EQUAL (read.rows[3].ttl_ms, STREAM_BUILDS_TTL_MS);
}

/* Truncated and overlong values, and groups without a build, are rejected
   whole. */
static void
test_bad_summary (void)
{
  const struct stream_builds_row rows[]
      = { { .key = 1, .service_id = SERVICE, .build = FIRST },
          { .key = 2, .service_id = SERVICE, .build = SECOND } };
  uint8_t value[2 * STREAM_SUMMARY_ROW_SIZE];
  struct rows read = { .count = 0 };
  size_t size = stream_summary_write (rows, 2, value);
  size_t i;

  for (i = 1; i < size; i++)
    if (i != size / 2)
      CU_ASSERT_EQUAL (stream_summary_read (value, i, collect, &read),
                       ERR_INVALID);
  CU_ASSERT_EQUAL (read.count, 0);
  value[16] = 0xff;
  CU_ASSERT_EQUAL (stream_summary_read (value, size, collect, &read),
                   ERR_INVALID);
  value[16] = 0;
  memset (value + 8, 0, 8);
  CU_ASSERT_EQUAL (stream_summary_read (value, size, collect, &read),
                   ERR_INVALID);
  CU_ASSERT_EQUAL (read.count, 0);
  CU_ASSERT_EQUAL (stream_summary_read (value, 0, collect, &read), 0);
}

static const struct suite_test tests[] = {
  { "record", test_record },
  { "summary", test_summary },
  { "malformed summary", test_bad_summary },
};

SUITE_MAIN ("test_build_record", tests)
