/**
 * @file test_golden_config.c
 * Replays the sessions of tests/golden_config: changes of configuration at
 * two instances that share a store; with --rewrite writes them anew.
 */
#include "state/err.h"
#include "support/confstage.h"
#include "support/session.h"
#include "support/suite.h"
#include <stdlib.h>
#include <string.h>

/** A stage and where its session is written. */
struct play
{
  struct confstage stage;
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
static void race (void *user);
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
  [FAKESTORE_NONE] = "none",
  [FAKESTORE_LOSE_REQUEST] = "lose-request",
  [FAKESTORE_LOSE_ANSWER] = "lose-answer",
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
  struct play *play = malloc (sizeof *play);

  confstage_init (&play->stage);
  play->out = out;
  return play;
}

static void
finish (void *user)
{
  struct play *play = user;

  CU_ASSERT_STRING_EQUAL (play->stage.violation, "");
  confstage_finish (&play->stage);
  free (play);
}

static void
run_start (void *user, char **words)
{
  struct play *play = user;

  confstage_start (&play->stage, atoi (words[1]));
}

static void
run_stop (void *user, char **words)
{
  struct play *play = user;

  confstage_stop (&play->stage, atoi (words[1]));
}

static void
run_write (void *user, char **words)
{
  struct play *play = user;

  confstage_write (&play->stage, atoi (words[1]), (uint32_t)atoi (words[2]));
}

static void
run_write_if (void *user, char **words)
{
  struct play *play = user;

  confstage_write_if (&play->stage, atoi (words[1]), (uint32_t)atoi (words[2]),
                      strtoull (words[3], NULL, 10));
}

static void
run_fault (void *user, char **words)
{
  struct play *play = user;
  int fault = 0;

  while (fault < FAKESTORE_DELAY_REQUEST
         && strcmp (fault_names[fault], words[1]) != 0)
    fault++;
  fakestore_fault (&play->stage.store, (enum fakestore_fault)fault);
}

/* Another operator's write at instance 1 comes just before the next one. */
static void
run_race (void *user, char **words)
{
  struct play *play = user;

  (void)words;
  play->stage.store.race = race;
  play->stage.store.race_user = play;
  fakestore_fault (&play->stage.store, FAKESTORE_RACE);
}

static void
race (void *user)
{
  struct play *play = user;

  confstage_write (&play->stage, 1, 9);
}

static void
run_store (void *user, char **words)
{
  struct play *play = user;

  fakestore_down (&play->stage.store, strcmp (words[1], "down") == 0);
}

static void
run_restore (void *user, char **words)
{
  struct play *play = user;

  fakestore_restore (&play->stage.store, strtoul (words[1], NULL, 10));
}

static void
run_time (void *user, char **words)
{
  struct play *play = user;

  confstage_run (&play->stage, strtoull (words[1], NULL, 10),
                 CONFSTAGE_STEP_MS);
}

static void
run_show (void *user, char **words)
{
  struct play *play = user;
  int i;

  (void)words;
  for (i = 0; i < CONFSTAGE_INSTANCES; i++)
    {
      const struct confstage_instance *instance = &play->stage.instances[i];

      if (instance->confstore == NULL)
        {
          fprintf (play->out, "  %d stopped\n", i);
          continue;
        }
      fprintf (play->out, "  %d %s weight=%u index=%llu", i,
               confstore_ready (instance->confstore) ? "ready" : "not-ready",
               confstage_weight (&play->stage, i),
               (unsigned long long)instance->index_seen);
      if (instance->results > 0)
        fprintf (play->out, " last-write=%s other=%s",
                 err_name (instance->result.error),
                 instance->result.other_operator);
      fputc ('\n', play->out);
    }
}
