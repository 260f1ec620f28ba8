/**
 * @file session.c
 * Replays golden sessions.
 */
#include "support/session.h"
#include "support/suite.h"
#include <dirent.h>
#include <stdlib.h>
#include <string.h>

#define WORDS_MAX  8
#define LINE_BYTES 256

static bool check_session (const struct session_kind *kind, const char *path,
                           bool rewrite);
static void replay_file (const struct session_kind *kind, FILE *in, FILE *out,
                         const char *path);
static void run_command (const struct session_kind *kind, void *user,
                         char *line, const char *path);
static int split_words (char *line, char **words);

void
session_replay (const struct session_kind *kind, bool rewrite)
{
  struct dirent **names;
  int count = scandir (kind->folder, &names, NULL, alphasort);
  int sessions = 0;
  int i;

  CU_ASSERT_FATAL (count > 0);
  for (i = 0; i < count; i++)
    {
      char path[LINE_BYTES + 64];
      const char *dot = strrchr (names[i]->d_name, '.');

      snprintf (path, sizeof path, "%s/%s", kind->folder, names[i]->d_name);
      if (dot != NULL && strcmp (dot, ".txt") == 0)
        {
          sessions++;
          CU_ASSERT (check_session (kind, path, rewrite));
        }
      free (names[i]);
    }
  free (names);
  CU_ASSERT (sessions >= kind->sessions_min);
}

static bool
check_session (const struct session_kind *kind, const char *path, bool rewrite)
{
  FILE *in = fopen (path, "r");
  char *text = NULL;
  char *expected;
  size_t size = 0;
  size_t length;
  FILE *out = open_memstream (&text, &size);
  bool same;

  replay_file (kind, in, out, path);
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
replay_file (const struct session_kind *kind, FILE *in, FILE *out,
             const char *path)
{
  void *user = kind->start (out);
  char line[LINE_BYTES];

  while (fgets (line, sizeof line, in) != NULL)
    {
      if (line[0] != '$' && line[0] != '#')
        continue;
      fputs (line, out);
      if (line[0] == '$')
        run_command (kind, user, line + 1, path);
    }
  kind->finish (user);
}

static void
run_command (const struct session_kind *kind, void *user, char *line,
             const char *path)
{
  char *words[WORDS_MAX] = { NULL };
  int count = split_words (line, words);
  const char *name = count > 0 ? words[0] : "";
  size_t i;

  for (i = 0; i < kind->command_count; i++)
    if (count == kind->commands[i].word_count
        && strcmp (name, kind->commands[i].name) == 0)
      {
        kind->commands[i].run (user, words);
        return;
      }
  printf ("%s: bad command '%s'\n", path, name);
  CU_FAIL ("bad command in a golden session");
}

static int
split_words (char *line, char **words)
{
  char *rest = line;
  char *word;
  int count = 0;

  while ((word = strtok_r (rest, " \n", &rest)) != NULL && count < WORDS_MAX)
    words[count++] = word;
  return count;
}
