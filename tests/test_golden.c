/**
 * @file test_golden.c
 * Replays the sessions of tests/golden.  A session is one text file: lines
 * that start with "$ " are commands, the lines below each are what the pure
 * layers did.  The replay must give the file back byte for byte; with
 * --rewrite the files are written anew, for a person to read the diff.
 */
#include "support/stage.h"
#include "support/suite.h"
#include <dirent.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define WORDS_MAX   8
#define LINE_BYTES  256
#define GOLDEN_PATH "tests/golden"

struct command
{
  const char *name;
  int words; /**< with the name */
  void (*run) (struct stage *stage, char **words);
};

static void run_service (struct stage *stage, char **words);
static void run_customer (struct stage *stage, char **words);
static void run_profile (struct stage *stage, char **words);
static void run_start (struct stage *stage, char **words);
static void run_crash (struct stage *stage, char **words);
static void run_pause (struct stage *stage, char **words);
static void run_resume (struct stage *stage, char **words);
static void run_cut (struct stage *stage, char **words);
static void run_heal (struct stage *stage, char **words);
static void run_drain (struct stage *stage, char **words);
static void run_arrive (struct stage *stage, char **words);
static void run_flood (struct stage *stage, char **words);
static void run_gone (struct stage *stage, char **words);
static void run_fault (struct stage *stage, char **words);
static void run_pace (struct stage *stage, char **words);
static void run_time (struct stage *stage, char **words);
static void run_slots (struct stage *stage, char **words);
static void run_check (struct stage *stage, char **words);
static uint32_t instance_number (struct stage *stage, const char *name);
static int split (char *line, char **words);
static void replay (FILE *in, FILE *out, const char *path);
static bool session_matches (const char *path, bool rewrite);
static void test_sessions (void);

static const struct command commands[] = {
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
static const char *golden_folder = GOLDEN_PATH;

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
  struct dirent **names;
  int count = scandir (golden_folder, &names, NULL, alphasort);
  int sessions = 0;
  int i;

  CU_ASSERT_FATAL (count > 0);
  for (i = 0; i < count; i++)
    {
      char path[LINE_BYTES + 64];
      const char *dot = strrchr (names[i]->d_name, '.');

      snprintf (path, sizeof path, "%s/%s", golden_folder, names[i]->d_name);
      if (dot != NULL && strcmp (dot, ".txt") == 0)
        {
          sessions++;
          CU_ASSERT (session_matches (path, rewrite_files));
        }
      free (names[i]);
    }
  free (names);
  CU_ASSERT (sessions >= 11);
}

static bool
session_matches (const char *path, bool rewrite)
{
  FILE *in = fopen (path, "r");
  char *text = NULL;
  char *expected;
  size_t size = 0;
  size_t length;
  FILE *out = open_memstream (&text, &size);
  bool same;

  replay (in, out, path);
  fclose (out);
  expected = calloc (1, size + 2);
  rewind (in);
  length = fread (expected, 1, size + 1, in);
  fclose (in);
  same = length == size && memcmp (expected, text, size) == 0;
  if (!same && !rewrite)
    printf ("%s differs; `make golden' rewrites it\n", path);
  if (!same && rewrite)
    {
      out = fopen (path, "w");
      fwrite (text, 1, size, out);
      fclose (out);
      same = true;
    }
  free (expected);
  free (text);
  return same;
}

static void
replay (FILE *in, FILE *out, const char *path)
{
  struct stage *stage = malloc (sizeof *stage);
  char line[LINE_BYTES];
  char *words[WORDS_MAX];

  stage_init (stage, out);
  while (fgets (line, sizeof line, in) != NULL)
    {
      size_t i;
      int count;

      if (line[0] != '$' && line[0] != '#')
        continue;
      fputs (line, out);
      if (line[0] == '#')
        continue;
      count = split (line + 1, words);
      for (i = 0; i < sizeof commands / sizeof commands[0]; i++)
        if (count > 0 && strcmp (words[0], commands[i].name) == 0)
          break;
      if (i == sizeof commands / sizeof commands[0]
          || count != commands[i].words)
        {
          printf ("%s: bad command '%s'\n", path, words[0]);
          CU_FAIL ("bad command in a golden session");
          continue;
        }
      commands[i].run (stage, words);
    }
  stage_finish (stage);
  free (stage);
}

static int
split (char *line, char **words)
{
  char *rest = line;
  char *word;
  int count = 0;

  while ((word = strtok_r (rest, " \n", &rest)) != NULL && count < WORDS_MAX)
    words[count++] = word;
  return count;
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
number (const char *word)
{
  return (uint32_t)strtoul (word, NULL, 10);
}

static void
run_service (struct stage *stage, char **words)
{
  enum catalog_kind kind
      = strcmp (words[2], "engine") == 0 ? CATALOG_ENGINE : CATALOG_PLAIN;

  stage_service (stage, words[1], kind, number (words[3]), number (words[4]));
}

static void
run_customer (struct stage *stage, char **words)
{
  stage_customer (stage, words[1], number (words[2]), number (words[3]));
}

static void
run_profile (struct stage *stage, char **words)
{
  static const char *const classes[CATALOG_CLASS_MAX]
      = { "durable", "quick", "disposable" };
  int i;

  for (i = 0; i < CATALOG_CLASS_MAX - 1; i++)
    if (strcmp (words[3], classes[i]) == 0)
      break;
  stage_profile (stage, words[1], words[2], (enum catalog_class)i,
                 strcmp (words[4], "idempotent") == 0, number (words[5]),
                 number (words[6]));
}

static void
run_start (struct stage *stage, char **words)
{
  stage_start (stage, words[1]);
}

static void
run_crash (struct stage *stage, char **words)
{
  stage_crash (stage, instance_number (stage, words[1]));
}

static void
run_pause (struct stage *stage, char **words)
{
  stage_pause (stage, instance_number (stage, words[1]), true);
}

static void
run_resume (struct stage *stage, char **words)
{
  stage_pause (stage, instance_number (stage, words[1]), false);
}

static void
run_cut (struct stage *stage, char **words)
{
  stage_cut (stage, instance_number (stage, words[1]),
             instance_number (stage, words[2]), true);
}

static void
run_heal (struct stage *stage, char **words)
{
  stage_cut (stage, instance_number (stage, words[1]),
             instance_number (stage, words[2]), false);
}

static void
run_drain (struct stage *stage, char **words)
{
  stage_drain (stage, instance_number (stage, words[1]));
}

static void
run_arrive (struct stage *stage, char **words)
{
  stage_arrive (stage, instance_number (stage, words[1]), words[2], words[3],
                words[4]);
}

static void
run_flood (struct stage *stage, char **words)
{
  FILE *transcript = stage->transcript;
  uint32_t count = number (words[4]);
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
run_gone (struct stage *stage, char **words)
{
  uint32_t i;

  for (i = 0; i < stage->request_count; i++)
    if (strcmp (stage->requests[i].name, words[1]) == 0)
      stage_client_gone (stage, i);
}

static void
run_fault (struct stage *stage, char **words)
{
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
               number (words[3]));
}

static void
run_pace (struct stage *stage, char **words)
{
  stage->service_ms = number (words[1]);
}

static void
run_time (struct stage *stage, char **words)
{
  stage_run (stage, number (words[1]));
}

static void
run_slots (struct stage *stage, char **words)
{
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
run_check (struct stage *stage, char **words)
{
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
