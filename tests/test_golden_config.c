/**
 * @file test_golden_config.c
 * Replays the golden sessions of tests/golden_config: configuration changes at
 * two simulated instances that share a store.  With --rewrite, replaces the
 * files by the output of the replay.
 */
#include "state/err.h"
#include "support/confsim.h"
#include "support/session.h"
#include "support/suite.h"
#include <stdlib.h>
#include <string.h>

/** The simulated instances and the output of one session. */
struct replay
{
  struct confsim sim;
  FILE *out;
};

static void run_start (void *user, char **words);
static void run_stop (void *user, char **words);
static void run_write (void *user, char **words);
static void run_write_if (void *user, char **words);
static void run_fault (void *user, char **words);
static void run_race (void *user, char **words);
static void run_store (void *user, char **words);
static void run_restore (void *user, char **words);
static void run_time (void *user, char **words);
static void run_show (void *user, char **words);
static void write_concurrently (void *user);
static void *start (FILE *out);
static void finish (void *user);
static void test_sessions (void);

static const struct session_command commands[] = {
  { "start", 2, run_start }, { "stop", 2, run_stop },
  { "write", 3, run_write }, { "write-if", 4, run_write_if },
  { "fault", 2, run_fault }, { "race", 1, run_race },
  { "store", 2, run_store }, { "restore", 2, run_restore },
  { "run", 2, run_time },    { "show", 1, run_show },
};

static const char *const fault_names[] = {
  [FAKESTORE_FAULT_NONE] = "none",
  [FAKESTORE_LOSE_REQUEST] = "lose-request",
  [FAKESTORE_LOSE_RESPONSE] = "lose-answer",
  [FAKESTORE_DELAY_REQUEST] = "delay-request",
};

static bool rewrite_files;

int
main (int argc, char **argv)
{
  const struct suite_test tests[] = { { "sessions", test_sessions } };

  rewrite_files = argc > 1 && strcmp (argv[1], "--rewrite") == 0;
  return suite_run ("test_golden_config", tests, 1);
}

static void
test_sessions (void)
{
  static const struct session_kind kind
      = { "tests/golden_config",
          4,
          commands,
          sizeof commands / sizeof commands[0],
          start,
          finish };

  session_replay (&kind, rewrite_files);
}

static void *
start (FILE *out)
{
  struct replay *replay = malloc (sizeof *replay);

  confsim_init (&replay->sim);
  replay->out = out;
  return replay;
}

static void
finish (void *user)
{
  struct replay *replay = user;

  CU_ASSERT_STRING_EQUAL (replay->sim.violation, "");
  confsim_finish (&replay->sim);
  free (replay);
}

static void
run_start (void *user, char **words)
{
  struct replay *replay = user;

  confsim_start (&replay->sim, atoi (words[1]));
}

static void
run_stop (void *user, char **words)
{
  struct replay *replay = user;

  confsim_stop (&replay->sim, atoi (words[1]));
}

static void
run_write (void *user, char **words)
{
  struct replay *replay = user;

  confsim_write (&replay->sim, atoi (words[1]), (uint32_t)atoi (words[2]));
}

static void
run_write_if (void *user, char **words)
{
  struct replay *replay = user;

  confsim_write_if (&replay->sim, atoi (words[1]), (uint32_t)atoi (words[2]),
                    strtoull (words[3], NULL, 10));
}

static void
run_fault (void *user, char **words)
{
  struct replay *replay = user;
  int fault = 0;

  while (fault < FAKESTORE_DELAY_REQUEST
         && strcmp (fault_names[fault], words[1]) != 0)
    fault++;
  fakestore_add_fault (&replay->sim.store, (enum fakestore_fault)fault);
}

/* Another operator's write at instance 1 takes effect just before the next
   write. */
static void
run_race (void *user, char **words)
{
  struct replay *replay = user;

  (void)words;
  replay->sim.store.before_write = write_concurrently;
  replay->sim.store.before_write_user = replay;
  fakestore_add_fault (&replay->sim.store, FAKESTORE_RACE);
}

static void
write_concurrently (void *user)
{
  struct replay *replay = user;

  confsim_write (&replay->sim, 1, 9);
}

static void
run_store (void *user, char **words)
{
  struct replay *replay = user;

  fakestore_set_down (&replay->sim.store, strcmp (words[1], "down") == 0);
}

static void
run_restore (void *user, char **words)
{
  struct replay *replay = user;

  fakestore_restore (&replay->sim.store, strtoul (words[1], NULL, 10));
}

static void
run_time (void *user, char **words)
{
  struct replay *replay = user;

  confsim_run (&replay->sim, strtoull (words[1], NULL, 10), CONFSIM_STEP_MS);
}

static void
run_show (void *user, char **words)
{
  struct replay *replay = user;
  int i;

  (void)words;
  for (i = 0; i < CONFSIM_INSTANCES; i++)
    {
      const struct confsim_instance *instance = &replay->sim.instances[i];

      if (instance->confstore == NULL)
        {
          fprintf (replay->out, "  %d stopped\n", i);
          continue;
        }
      fprintf (replay->out, "  %d %s weight=%u index=%llu", i,
               confstore_ready (instance->confstore) ? "ready" : "not-ready",
               confsim_weight (&replay->sim, i),
               (unsigned long long)instance->max_index);
      if (instance->result_count > 0)
        fprintf (replay->out, " last-write=%s other=%s",
                 err_name (instance->result.error),
                 instance->result.conflicting_operator);
      fputc ('\n', replay->out);
    }
}
