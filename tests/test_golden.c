/**
 * @file test_golden.c
 * Replays the golden sessions of tests/golden on a simulated fleet.  With
 * --rewrite, replaces the files by the output of the replay.
 */
#include "support/session.h"
#include "support/stage.h"
#include "support/suite.h"
#include <stdlib.h>
#include <string.h>

static void run_service (void *user, char **words);
static void run_customer (void *user, char **words);
static void run_profile (void *user, char **words);
static void run_start (void *user, char **words);
static void run_crash (void *user, char **words);
static void run_pause (void *user, char **words);
static void run_resume (void *user, char **words);
static void run_cut (void *user, char **words);
static void run_heal (void *user, char **words);
static void run_drain (void *user, char **words);
static void run_arrive (void *user, char **words);
static void run_flood (void *user, char **words);
static void run_gone (void *user, char **words);
static void run_fault (void *user, char **words);
static void run_pace (void *user, char **words);
static void run_time (void *user, char **words);
static void run_slots (void *user, char **words);
static void run_check (void *user, char **words);
static uint32_t instance_number (struct stage *stage, const char *name);
static void *start (FILE *out);
static void finish (void *user);
static void test_sessions (void);

static const struct session_command commands[] = {
  { "service", 5, run_service }, { "customer", 4, run_customer },
  { "profile", 7, run_profile }, { "start", 2, run_start },
  { "crash", 2, run_crash },     { "pause", 2, run_pause },
  { "resume", 2, run_resume },   { "cut", 3, run_cut },
  { "heal", 3, run_heal },       { "drain", 2, run_drain },
  { "arrive", 5, run_arrive },   { "flood", 5, run_flood },
  { "gone", 2, run_gone },       { "fault", 4, run_fault },
  { "pace", 2, run_pace },       { "run", 2, run_time },
  { "slots", 1, run_slots },     { "check", 1, run_check },
};

static bool rewrite_files;

int
main (int argc, char **argv)
{
  const struct suite_test tests[] = { { "sessions", test_sessions } };

  rewrite_files = argc > 1 && strcmp (argv[1], "--rewrite") == 0;
  return suite_run ("test_golden", tests, 1);
}

static void
test_sessions (void)
{
  static const struct session_kind kind
      = { "tests/golden", 12,
          commands,       sizeof commands / sizeof commands[0],
          start,          finish };

  session_replay (&kind, rewrite_files);
}

static void *
start (FILE *out)
{
  struct stage *stage = malloc (sizeof *stage);

  stage_init (stage, out);
  return stage;
}

static void
finish (void *user)
{
  stage_finish (user);
  free (user);
}

static uint32_t
instance_number (struct stage *stage, const char *name)
{
  uint32_t i;

  for (i = 0; i < stage->instance_count; i++)
    if (strcmp (stage->instances[i].name, name) == 0)
      return i;
  CU_FAIL_FATAL ("unknown instance in a golden session");
  return 0;
}

static uint32_t
parse_number (const char *word)
{
  return (uint32_t)strtoul (word, NULL, 10);
}

static void
run_service (void *user, char **words)
{
  struct stage *stage = user;
  enum catalog_kind kind
      = strcmp (words[2], "engine") == 0 ? CATALOG_ENGINE : CATALOG_PLAIN;

  stage_service (stage, words[1], kind, parse_number (words[3]),
                 parse_number (words[4]));
}

static void
run_customer (void *user, char **words)
{
  struct stage *stage = user;
  stage_customer (stage, words[1], parse_number (words[2]),
                  parse_number (words[3]));
}

static void
run_profile (void *user, char **words)
{
  struct stage *stage = user;
  static const char *const classes[CATALOG_CLASS_MAX]
      = { "durable", "quick", "disposable" };
  int i;

  for (i = 0; i < CATALOG_CLASS_MAX - 1; i++)
    if (strcmp (words[3], classes[i]) == 0)
      break;
  stage_profile (stage, words[1], words[2], (enum catalog_class)i,
                 strcmp (words[4], "idempotent") == 0, parse_number (words[5]),
                 parse_number (words[6]));
}

static void
run_start (void *user, char **words)
{
  struct stage *stage = user;
  stage_start (stage, words[1]);
}

static void
run_crash (void *user, char **words)
{
  struct stage *stage = user;
  stage_crash (stage, instance_number (stage, words[1]));
}

static void
run_pause (void *user, char **words)
{
  struct stage *stage = user;
  stage_pause (stage, instance_number (stage, words[1]), true);
}

static void
run_resume (void *user, char **words)
{
  struct stage *stage = user;
  stage_pause (stage, instance_number (stage, words[1]), false);
}

static void
run_cut (void *user, char **words)
{
  struct stage *stage = user;
  stage_cut (stage, instance_number (stage, words[1]),
             instance_number (stage, words[2]), true);
}

static void
run_heal (void *user, char **words)
{
  struct stage *stage = user;
  stage_cut (stage, instance_number (stage, words[1]),
             instance_number (stage, words[2]), false);
}

static void
run_drain (void *user, char **words)
{
  struct stage *stage = user;
  stage_drain (stage, instance_number (stage, words[1]));
}

static void
run_arrive (void *user, char **words)
{
  struct stage *stage = user;
  stage_arrive (stage, instance_number (stage, words[1]), words[2], words[3],
                words[4]);
}

static void
run_flood (void *user, char **words)
{
  struct stage *stage = user;
  FILE *transcript = stage->transcript;
  uint32_t count = parse_number (words[4]);
  uint32_t i;

  stage->transcript = NULL;
  for (i = 0; i < count; i++)
    {
      char name[16];

      snprintf (name, sizeof name, "f%u", i);
      stage_arrive (stage, instance_number (stage, words[1]), name, words[2],
                    words[3]);
    }
  stage->transcript = transcript;
}

static void
run_gone (void *user, char **words)
{
  struct stage *stage = user;
  uint32_t i;

  for (i = 0; i < stage->request_count; i++)
    if (strcmp (stage->requests[i].name, words[1]) == 0)
      stage_client_gone (stage, i);
}

static void
run_fault (void *user, char **words)
{
  struct stage *stage = user;
  int step = 0;
  int fault = 0;

  while (step < ATTEMPT_STEP_MAX - 1
         && strcmp (attempt_step_name ((enum attempt_step)step), words[1])
                != 0)
    step++;
  while (fault < STAGE_FAULT_MAX - 1
         && strcmp (stage_fault_name ((enum stage_fault)fault), words[2]) != 0)
    fault++;
  stage_fault (stage, (enum attempt_step)step, (enum stage_fault)fault,
               parse_number (words[3]));
}

static void
run_pace (void *user, char **words)
{
  struct stage *stage = user;
  stage->service_ms = parse_number (words[1]);
}

static void
run_time (void *user, char **words)
{
  struct stage *stage = user;
  stage_run (stage, parse_number (words[1]));
}

static void
run_slots (void *user, char **words)
{
  struct stage *stage = user;
  uint32_t i;

  (void)words;
  for (i = 0; i < stage->instance_count; i++)
    {
      const struct stage_instance *instance = &stage->instances[i];
      const struct slots_entry *entry;
      uint32_t capacity = 0;
      uint32_t busy = 0;

      if (!instance->running)
        continue;
      for (entry = instance->slots.entries; entry != NULL;
           entry = entry->hh.next)
        {
          capacity += entry->expiry_ns > stage->now_ns ? entry->capacity : 0;
          busy += entry->busy;
        }
      fprintf (stage->transcript, "  %s holds %u slots, %u busy\n",
               instance->name, capacity, busy);
    }
}

static void
run_check (void *user, char **words)
{
  struct stage *stage = user;
  uint32_t counts[STAGE_OUTCOME_MAX] = { 0 };
  uint32_t executions = 0;
  uint32_t i;

  (void)words;
  for (i = 0; i < stage->request_count; i++)
    {
      counts[stage->requests[i].outcome]++;
      executions += stage->requests[i].executions;
    }
  for (i = 0; i < STAGE_OUTCOME_MAX; i++)
    if (counts[i] > 0)
      fprintf (stage->transcript, "  %u %s\n", counts[i],
               stage_outcome_name ((enum stage_outcome)i));
  fprintf (stage->transcript, "  %u executions\n", executions);
  CU_ASSERT (stage_check (stage));
  fprintf (stage->transcript, "  invariants: %s\n",
           stage->violation[0] ? stage->violation : "hold");
}
