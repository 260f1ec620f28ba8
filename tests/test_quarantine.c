/**
 * @file test_quarantine.c
 * Evidence against parts of prompts: what holds a part, what clears it, and
 * that instances which exchange their rows agree in the end.
 */
#include "state/quarantine.h"
#include "state/rng.h"
#include "support/suite.h"

#define MS        UINT64_C (1000000)    /* nanoseconds */
#define S         UINT64_C (1000000000) /* nanoseconds */
#define SERVICE   1
#define START     (100 * S)
#define INSTANCES 4
#define ROWS      64

static const uint64_t culprit[] = { 0xdead };

static void
crash (struct quarantine *quarantine, uint64_t upstream_id, uint64_t now_ns)
{
  quarantine_record_crash (quarantine, SERVICE, culprit, 1, upstream_id,
                           now_ns);
}

static bool
holds (struct quarantine *quarantine, uint64_t now_ns)
{
  return quarantine_find_held (quarantine, SERVICE, culprit, 1, now_ns)
         != NULL;
}

/* Crashes of different upstreams, a second apart, up to the limit. */
static void
hold (struct quarantine *quarantine, uint64_t now_ns)
{
  uint64_t i;

  for (i = 0; i < QUARANTINE_CRASH_LIMIT; i++)
    crash (quarantine, 10 + i, now_ns);
}

static void
test_crashes_hold (void)
{
  struct quarantine quarantine;
  const uint64_t other = 0xbee;
  uint64_t i;

  quarantine_init (&quarantine);
  for (i = 0; i + 1 < QUARANTINE_CRASH_LIMIT; i++)
    {
      /* Several requests that one crash breaks off. */
      crash (&quarantine, 10 + i, START + i * S);
      crash (&quarantine, 10 + i, START + i * S + 5 * MS);
    }
  CU_ASSERT_FALSE (holds (&quarantine, START + 10 * S));
  /* The same upstream, back under its identity. */
  crash (&quarantine, 10, START + 10 * S);
  CU_ASSERT_FALSE (holds (&quarantine, START + 10 * S));
  CU_ASSERT_TRUE (holds (&quarantine, START + 11 * S));
  CU_ASSERT_PTR_NULL (
      quarantine_find_held (&quarantine, SERVICE, &other, 1, START + 11 * S));
  CU_ASSERT_PTR_NULL (quarantine_find_held (&quarantine, SERVICE + 1, culprit,
                                            1, START + 11 * S));
  CU_ASSERT_EQUAL (quarantine_held_count (&quarantine, START + 11 * S), 1);
  quarantine_finish (&quarantine);
}

/* A part of many prompts is in crashes by chance. */
static void
test_response_clears (void)
{
  struct quarantine quarantine;

  quarantine_init (&quarantine);
  quarantine_record_response (&quarantine, SERVICE, culprit, 1, START);
  hold (&quarantine, START + 2 * S);
  CU_ASSERT_FALSE (holds (&quarantine, START + 3 * S));
  /* The last response is long ago. */
  hold (&quarantine, START + 10 * S);
  CU_ASSERT_TRUE (holds (&quarantine, START + 11 * S));
  quarantine_record_response (&quarantine, SERVICE, culprit, 1,
                              START + 12 * S);
  CU_ASSERT_FALSE (holds (&quarantine, START + 12 * S));
  CU_ASSERT_EQUAL (quarantine_crashes (&quarantine, SERVICE, culprit, 1), 0);
  quarantine_finish (&quarantine);
}

static void
exchange (struct quarantine *from, uint64_t *sent, struct quarantine *to,
          uint64_t now_ns)
{
  struct quarantine_row rows[ROWS];
  size_t count;
  size_t i;

  while ((count = quarantine_rows (from, false, sent, rows, ROWS)) > 0)
    for (i = 0; i < count; i++)
      quarantine_merge (to, &rows[i], false, now_ns);
}

/* Each instance sees one of the crashes. */
static void
test_evidence_of_fleet (void)
{
  struct quarantine fleet[INSTANCES];
  uint64_t sent[INSTANCES][INSTANCES] = { { 0 } };
  unsigned int round;
  unsigned int i;
  unsigned int j;

  for (i = 0; i < INSTANCES; i++)
    {
      quarantine_init (&fleet[i]);
      crash (&fleet[i], 10 + i, START);
    }
  /* In a ring, so that rows are passed on. */
  for (round = 0; round < INSTANCES; round++)
    for (i = 0; i < INSTANCES; i++)
      {
        j = (i + 1) % INSTANCES;
        exchange (&fleet[i], &sent[i][j], &fleet[j], START);
      }
  for (i = 0; i < INSTANCES; i++)
    CU_ASSERT_TRUE (holds (&fleet[i], START + S));
  /* One learns of a response; a crash in the old generation does not count. */
  quarantine_record_response (&fleet[2], SERVICE, culprit, 1, START + 2 * S);
  crash (&fleet[0], 20, START + 2 * S);
  for (round = 0; round < INSTANCES; round++)
    for (i = 0; i < INSTANCES; i++)
      {
        j = (i + 1) % INSTANCES;
        exchange (&fleet[i], &sent[i][j], &fleet[j], START + 2 * S);
      }
  for (i = 0; i < INSTANCES; i++)
    {
      CU_ASSERT_FALSE (holds (&fleet[i], START + 3 * S));
      CU_ASSERT_EQUAL (quarantine_crashes (&fleet[i], SERVICE, culprit, 1), 0);
    }
  /* All rows have been sent: none circulates forever. */
  for (i = 0; i < INSTANCES; i++)
    CU_ASSERT_EQUAL (
        quarantine_rows (&fleet[i], false, &sent[i][(i + 1) % INSTANCES],
                         (struct quarantine_row[ROWS]){ 0 }, ROWS),
        0);
  for (i = 0; i < INSTANCES; i++)
    quarantine_finish (&fleet[i]);
}

/* A response at an instance that sees no crash clears what others hold. */
static void
test_response_elsewhere (void)
{
  struct quarantine a;
  struct quarantine b;
  uint64_t sent_a = 0;
  uint64_t sent_b = 0;

  quarantine_init (&a);
  quarantine_init (&b);
  quarantine_record_response (&b, SERVICE, culprit, 1, START - S);
  hold (&a, START);
  exchange (&a, &sent_a, &b, START + 100 * MS);
  exchange (&b, &sent_b, &a, START + 200 * MS);
  CU_ASSERT_FALSE (holds (&a, START + S));
  CU_ASSERT_FALSE (holds (&b, START + S));
  quarantine_finish (&a);
  quarantine_finish (&b);
}

/* Rows arrive in any order and several times. */
static void
test_order_of_rows (void)
{
  struct quarantine quarantine;
  struct quarantine_row rows[] = {
    { { SERVICE, 0xdead }, 1, 0, 10, 1 }, { { SERVICE, 0xdead }, 1, 0, 11, 2 },
    { { SERVICE, 0xdead }, 0, 2, 12, 9 }, { { SERVICE, 0xdead }, 1, 1, 0, 0 },
    { { SERVICE, 0xdead }, 1, 0, 11, 1 }, { { SERVICE, 0xdead }, 1, 0, 13, 1 },
  };
  const size_t count = sizeof rows / sizeof rows[0];
  const struct quarantine_entry *part;
  struct rng rng;
  unsigned int round;
  size_t i;

  rng_init (&rng, 1);
  for (round = 0; round < 50; round++)
    {
      quarantine_init (&quarantine);
      for (i = 0; i < count; i++)
        {
          size_t other = (size_t)rng_below (&rng, count);
          const struct quarantine_row row = rows[i];

          rows[i] = rows[other];
          rows[other] = row;
        }
      for (i = 0; i < 2 * count; i++)
        quarantine_merge (&quarantine, &rows[i % count], false, START);
      part = quarantine_find (&quarantine, &rows[0].key);
      CU_ASSERT_PTR_NOT_NULL_FATAL (part);
      CU_ASSERT_EQUAL (part->generation, 1);
      CU_ASSERT_EQUAL (part->trials, 1);
      CU_ASSERT_EQUAL (quarantine_crashes (&quarantine, SERVICE, culprit, 1),
                       4);
      CU_ASSERT_TRUE (holds (&quarantine, START + S));
      quarantine_finish (&quarantine);
    }
}

static void
test_trials (void)
{
  struct quarantine quarantine;
  struct quarantine_entry *part;
  uint64_t now_ns = START;
  uint32_t trials = 0;

  quarantine_init (&quarantine);
  hold (&quarantine, now_ns);
  /* For an hour, requests come every second and crash upstreams. */
  for (; now_ns < START + 3500 * S; now_ns += S)
    {
      part = quarantine_find_held (&quarantine, SERVICE, culprit, 1, now_ns);
      if (part == NULL || !quarantine_trial_due (part, now_ns))
        continue;
      quarantine_start_trial (&quarantine, part, true, now_ns);
      CU_ASSERT_TRUE (quarantine_take_trial (part, now_ns + S));
      CU_ASSERT_FALSE (quarantine_take_trial (part, now_ns + S));
      crash (&quarantine, 100 + trials, now_ns + S);
      trials++;
    }
  CU_ASSERT_EQUAL (trials, QUARANTINE_TRIALS_MAX);
  CU_ASSERT_TRUE (holds (&quarantine, now_ns));
  /* Upstreams have long been replaced. */
  quarantine_expire (&quarantine, now_ns + 3600 * S);
  CU_ASSERT_FALSE (holds (&quarantine, now_ns + 3600 * S));
  quarantine_finish (&quarantine);
}

/* Evidence is bounded; what is held stays. */
static void
test_many_parts (void)
{
  struct quarantine quarantine;
  uint64_t part;

  quarantine_init (&quarantine);
  hold (&quarantine, START);
  for (part = 1; part < 5000; part++)
    {
      quarantine_record_crash (&quarantine, SERVICE, &part, 1, 10, START);
      quarantine_record_response (&quarantine, SERVICE + 1, &part, 1, START);
    }
  CU_ASSERT (HASH_COUNT (quarantine.entries) <= 1024);
  CU_ASSERT_TRUE (holds (&quarantine, START + S));
  quarantine_expire (&quarantine, START + 400 * S);
  CU_ASSERT_EQUAL (HASH_COUNT (quarantine.entries), 1);
  quarantine_finish (&quarantine);
}

static void
crash_request (struct quarantine *quarantine, uint64_t digest,
               uint64_t upstream_id, uint64_t now_ns)
{
  quarantine_record_crash (quarantine, QUARANTINE_REQUEST, &digest, 1,
                           upstream_id, now_ns);
}

/* A service of three upstreams loses all of them at once.  One trial follows
   soon, the next one much later. */
static void
test_request (void)
{
  struct quarantine quarantine;
  struct quarantine_entry *entry;
  const uint64_t digest = 0xd1;
  uint64_t i;

  quarantine_init (&quarantine);
  for (i = 0; i < 3; i++)
    {
      CU_ASSERT_PTR_NULL (quarantine_find_held (
          &quarantine, QUARANTINE_REQUEST, &digest, 1, START + 5 * S));
      crash_request (&quarantine, digest, 10 + i, START + i * 50 * MS);
    }
  entry = quarantine_find_held (&quarantine, QUARANTINE_REQUEST, &digest, 1,
                                START + S);
  CU_ASSERT_PTR_NOT_NULL_FATAL (entry);
  CU_ASSERT_FALSE (quarantine_trial_due (entry, START + 2 * S));
  CU_ASSERT_TRUE (quarantine_trial_due (entry, START + 5 * S));
  quarantine_start_trial (&quarantine, entry, true, START + 5 * S);
  CU_ASSERT_TRUE (quarantine_take_trial (entry, START + 5 * S));
  quarantine_return_trial (entry, START + 5 * S);
  CU_ASSERT_TRUE (quarantine_take_trial (entry, START + 6 * S));
  CU_ASSERT_FALSE (quarantine_take_trial (entry, START + 6 * S));
  CU_ASSERT_FALSE (quarantine_trial_due (entry, START + 60 * S));
  CU_ASSERT_TRUE (quarantine_trial_due (entry, START + 70 * S));
  /* Prompts for a service may have a part of the same number. */
  CU_ASSERT_PTR_NULL (
      quarantine_find_held (&quarantine, SERVICE, &digest, 1, START + S));
  quarantine_finish (&quarantine);
}

/* Requests that are never the same do not displace the evidence against one
   that comes again. */
static void
test_changing_requests (void)
{
  struct quarantine quarantine;
  const uint64_t digest = 0xd1;
  uint64_t i;

  quarantine_init (&quarantine);
  crash_request (&quarantine, digest, 10, START);
  crash_request (&quarantine, digest, 11, START);
  for (i = 0; i < 5000; i++)
    crash_request (&quarantine, 1000 + i, 20 + i, START + i * MS);
  CU_ASSERT (HASH_COUNT (quarantine.entries) <= 1024);
  CU_ASSERT_EQUAL (quarantine.request_count, HASH_COUNT (quarantine.entries));
  crash_request (&quarantine, digest, 12, START + 10 * S);
  CU_ASSERT_PTR_NOT_NULL (quarantine_find_held (
      &quarantine, QUARANTINE_REQUEST, &digest, 1, START + 11 * S));
  quarantine_expire (&quarantine, START + 400 * S);
  CU_ASSERT_EQUAL (quarantine.request_count, 1);
  quarantine_finish (&quarantine);
}

/* Hubs that all hear of a crash from the one that saw it do not tell each
   other again; what one of them adds is told. */
static void
test_told_once (void)
{
  struct quarantine quarantine;
  struct quarantine_row rows[ROWS];
  const struct quarantine_row told
      = { { QUARANTINE_REQUEST, 0xd1 }, 0, 0, 10, 1 };
  uint64_t sent = 0;
  uint64_t sent_to_subscriber = 0;

  quarantine_init (&quarantine);
  quarantine_merge (&quarantine, &told, true, START);
  CU_ASSERT_EQUAL (quarantine_rows (&quarantine, true, &sent, rows, ROWS), 0);
  CU_ASSERT_EQUAL (
      quarantine_rows (&quarantine, false, &sent_to_subscriber, rows, ROWS),
      2);
  crash_request (&quarantine, 0xd1, 11, START);
  quarantine_merge (&quarantine, &told, true, START);
  CU_ASSERT_EQUAL (quarantine_rows (&quarantine, true, &sent, rows, ROWS), 3);
  CU_ASSERT_EQUAL (quarantine_rows (&quarantine, true, &sent, rows, ROWS), 0);
  quarantine_finish (&quarantine);
}

/* Another instance's row with more trials than there are changes nothing. */
static void
test_trials_out_of_range (void)
{
  const struct quarantine_row row
      = { .key = { .service_id = SERVICE, .subject = culprit[0] },
          .trials = UINT32_MAX };
  struct quarantine quarantine;
  const struct quarantine_entry *part;

  quarantine_init (&quarantine);
  hold (&quarantine, START);
  quarantine_merge (&quarantine, &row, false, START + S);
  part = quarantine_find_held (&quarantine, SERVICE, culprit, 1, START + S);
  CU_ASSERT_TRUE (part != NULL && part->trials == 0);
  CU_ASSERT_TRUE (part != NULL
                  && quarantine_trial_due (part, START + 3600 * S));
  quarantine_finish (&quarantine);
}

static const struct suite_test tests[] = {
  { "crashes hold a part", test_crashes_hold },
  { "a response clears it", test_response_clears },
  { "evidence of a fleet", test_evidence_of_fleet },
  { "a response elsewhere", test_response_elsewhere },
  { "order of rows", test_order_of_rows },
  { "trials", test_trials },
  { "trials out of range", test_trials_out_of_range },
  { "many parts", test_many_parts },
  { "request", test_request },
  { "requests that are never the same", test_changing_requests },
  { "told once", test_told_once },
};

SUITE_MAIN ("test_quarantine", tests)
