/**
 * @file test_golden.c
 * Replays the golden sessions of tests/golden on a simulated fleet.  With
 * --rewrite, replaces the files by the output of the replay.
 */
#include "support/fleetsim.h"
#include "support/session.h"
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
static uint32_t instance_number (struct fleetsim *sim, const char *name);
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
  struct fleetsim *sim = malloc (sizeof *sim);

  fleetsim_init (sim, out);
  return sim;
}

static void
finish (void *user)
{
  fleetsim_finish (user);
  free (user);
}

static uint32_t
instance_number (struct fleetsim *sim, const char *name)
{
  uint32_t i;

  for (i = 0; i < sim->instance_count; i++)
    if (strcmp (sim->instances[i].name, name) == 0)
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
  struct fleetsim *sim = user;
  enum catalog_kind kind
      = strcmp (words[2], "engine") == 0 ? CATALOG_ENGINE : CATALOG_PLAIN;

  fleetsim_add_service (sim, words[1], kind, parse_number (words[3]),
                        parse_number (words[4]));
}

static void
run_customer (void *user, char **words)
{
  struct fleetsim *sim = user;
  fleetsim_add_customer (sim, words[1], parse_number (words[2]),
                         parse_number (words[3]));
}

static void
run_profile (void *user, char **words)
{
  struct fleetsim *sim = user;
  static const char *const classes[CATALOG_CLASS_MAX]
      = { "durable", "quick", "disposable" };
  int i;

  for (i = 0; i < CATALOG_CLASS_MAX - 1; i++)
    if (strcmp (words[3], classes[i]) == 0)
      break;
  fleetsim_add_profile (sim, words[1], words[2], (enum catalog_class)i,
                        strcmp (words[4], "idempotent") == 0,
                        parse_number (words[5]), parse_number (words[6]));
}

static void
run_start (void *user, char **words)
{
  struct fleetsim *sim = user;
  fleetsim_start (sim, words[1]);
}

static void
run_crash (void *user, char **words)
{
  struct fleetsim *sim = user;
  fleetsim_crash (sim, instance_number (sim, words[1]));
}

static void
run_pause (void *user, char **words)
{
  struct fleetsim *sim = user;
  fleetsim_set_paused (sim, instance_number (sim, words[1]), true);
}

static void
run_resume (void *user, char **words)
{
  struct fleetsim *sim = user;
  fleetsim_set_paused (sim, instance_number (sim, words[1]), false);
}

static void
run_cut (void *user, char **words)
{
  struct fleetsim *sim = user;
  fleetsim_set_link_cut (sim, instance_number (sim, words[1]),
                         instance_number (sim, words[2]), true);
}

static void
run_heal (void *user, char **words)
{
  struct fleetsim *sim = user;
  fleetsim_set_link_cut (sim, instance_number (sim, words[1]),
                         instance_number (sim, words[2]), false);
}

static void
run_drain (void *user, char **words)
{
  struct fleetsim *sim = user;
  fleetsim_drain (sim, instance_number (sim, words[1]));
}

static void
run_arrive (void *user, char **words)
{
  struct fleetsim *sim = user;
  fleetsim_submit (sim, instance_number (sim, words[1]), words[2], words[3],
                   words[4]);
}

static void
run_flood (void *user, char **words)
{
  struct fleetsim *sim = user;
  FILE *transcript = sim->transcript;
  uint32_t count = parse_number (words[4]);
  uint32_t i;

  sim->transcript = NULL;
  for (i = 0; i < count; i++)
    {
      char name[16];

      snprintf (name, sizeof name, "f%u", i);
      fleetsim_submit (sim, instance_number (sim, words[1]), name, words[2],
                       words[3]);
    }
  sim->transcript = transcript;
}

static void
run_gone (void *user, char **words)
{
  struct fleetsim *sim = user;
  uint32_t i;

  for (i = 0; i < sim->request_count; i++)
    if (strcmp (sim->requests[i].name, words[1]) == 0)
      fleetsim_disconnect_client (sim, i);
}

static void
run_fault (void *user, char **words)
{
  struct fleetsim *sim = user;
  int step = 0;
  int fault = 0;

  while (step < ATTEMPT_STEP_MAX - 1
         && strcmp (attempt_step_name ((enum attempt_step)step), words[1])
                != 0)
    step++;
  while (fault < FLEETSIM_FAULT_MAX - 1
         && strcmp (fleetsim_fault_name ((enum fleetsim_fault)fault), words[2])
                != 0)
    fault++;
  fleetsim_set_fault (sim, (enum attempt_step)step, (enum fleetsim_fault)fault,
                      parse_number (words[3]));
}

static void
run_pace (void *user, char **words)
{
  struct fleetsim *sim = user;
  sim->service_ms = parse_number (words[1]);
}

static void
run_time (void *user, char **words)
{
  struct fleetsim *sim = user;
  fleetsim_run (sim, parse_number (words[1]));
}

static void
run_slots (void *user, char **words)
{
  struct fleetsim *sim = user;
  uint32_t i;

  (void)words;
  for (i = 0; i < sim->instance_count; i++)
    {
      const struct fleetsim_instance *instance = &sim->instances[i];
      const struct slots_entry *entry;
      uint32_t capacity = 0;
      uint32_t busy = 0;

      if (!instance->running)
        continue;
      for (entry = instance->slots.entries; entry != NULL;
           entry = entry->hh.next)
        {
          capacity += entry->expiry_ns > sim->now_ns ? entry->capacity : 0;
          busy += entry->busy;
        }
      fprintf (sim->transcript, "  %s holds %u slots, %u busy\n",
               instance->name, capacity, busy);
    }
}

static void
run_check (void *user, char **words)
{
  struct fleetsim *sim = user;
  uint32_t counts[FLEETSIM_OUTCOME_MAX] = { 0 };
  uint32_t executions = 0;
  uint32_t i;

  (void)words;
  for (i = 0; i < sim->request_count; i++)
    {
      counts[sim->requests[i].outcome]++;
      executions += sim->requests[i].executions;
    }
  for (i = 0; i < FLEETSIM_OUTCOME_MAX; i++)
    if (counts[i] > 0)
      fprintf (sim->transcript, "  %u %s\n", counts[i],
               fleetsim_outcome_name ((enum fleetsim_outcome)i));
  fprintf (sim->transcript, "  %u executions\n", executions);
  CU_ASSERT (fleetsim_check_invariants (sim));
  fprintf (sim->transcript, "  invariants: %s\n",
           sim->violation[0] ? sim->violation : "hold");
}
