/**
 * @file test_corpus.c
 * Replays the fuzzing corpus: inputs that reached new code in a parser or
 * exposed a fault.
 */
#include "support/parsers.h"
#include "support/suite.h"
#include <dirent.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define CORPUS    "tests/fuzz/corpus"
#define INPUT_MAX 1048576 /* bytes of an input */
#define PATH_SIZE 512     /* bytes */

static void
replay_file (const struct parser *parser, const char *path)
{
  FILE *file = fopen (path, "re");
  uint8_t *data = malloc (INPUT_MAX);
  uint8_t *exact;
  size_t size;

  CU_ASSERT_PTR_NOT_NULL (file);
  if (file != NULL && data != NULL)
    {
      size = fread (data, 1, INPUT_MAX, file);
      /* A buffer of the exact size, so that the address sanitizer detects a
         read past its end. */
      exact = malloc (size + (size == 0));
      if (exact != NULL)
        {
          memcpy (exact, data, size);
          parser->run (exact, size);
        }
      free (exact);
    }
  free (data);
  if (file != NULL)
    fclose (file);
}

static void
replay (enum parser_id id)
{
  const struct parser *parser = &parsers[id];
  char path[PATH_SIZE];
  struct dirent *entry;
  uint32_t count = 0;
  DIR *directory;

  snprintf (path, sizeof path, CORPUS "/%s", parser->name);
  directory = opendir (path);
  CU_ASSERT_PTR_NOT_NULL (directory);
  if (directory == NULL)
    return;
  while ((entry = readdir (directory)) != NULL)
    {
      if (entry->d_name[0] == '.')
        continue;
      snprintf (path, sizeof path, CORPUS "/%s/%s", parser->name,
                entry->d_name);
      replay_file (parser, path);
      count++;
    }
  closedir (directory);
  CU_ASSERT (count > 0);
}

static void
test_settings (void)
{
  replay (PARSER_SETTINGS);
}

static void
test_object (void)
{
  replay (PARSER_OBJECT);
}

static void
test_value (void)
{
  replay (PARSER_VALUE);
}

static void
test_listing (void)
{
  replay (PARSER_LISTING);
}

static void
test_frame (void)
{
  replay (PARSER_FRAME);
}

static void
test_request (void)
{
  replay (PARSER_REQUEST);
}

static const struct suite_test tests[] = {
  { "settings", test_settings }, { "object", test_object },
  { "value", test_value },       { "listing", test_listing },
  { "frame", test_frame },       { "request", test_request },
};

SUITE_MAIN ("test_corpus", tests)
