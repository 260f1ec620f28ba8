/**
 * @file serve.c
 * The `serve` subcommand: runs one router instance.
 */
#include "command.h"
#include "router.h"
#include "transport/sigtime.h"
#include <argp.h>
#include <stdio.h>

static error_t parse_option (int key, char *arg, struct argp_state *state);
static int serve (const char *path, const struct settings *settings);

static const struct argp parser
    = { .parser = parse_option,
        .args_doc = "FILE",
        .doc = "Run a router with the settings in FILE.  SIGTERM drains it: "
               "requests in flight finish.  A second signal aborts them." };

int
command_serve (int argc, char **argv)
{
  const char *path = NULL;
  struct settings *settings = NULL;
  int code = COMMAND_FAILED;

  sigtime_hold ();
  if (argp_parse (&parser, argc, argv, 0, NULL, &path) != 0)
    return COMMAND_USAGE;
  if (settings_load (path, &settings, stderr) == 0
      && settings_validate (settings, path, stderr) == 0)
    code = serve (path, settings);
  settings_free (settings);
  return code;
}

static int
serve (const char *path, const struct settings *settings)
{
  struct router router;
  int error;

  if (settings->router == NULL)
    {
      fprintf (stderr, "%s: router: missing\n", path);
      return COMMAND_FAILED;
    }
  error = router_init (&router, settings);
  if (error == 0)
    error = router_run (&router);
  router_finish (&router);
  return error == 0 ? COMMAND_SUCCESS : COMMAND_FAILED;
}

static error_t
parse_option (int key, char *arg, struct argp_state *state)
{
  const char **path = state->input;

  switch (key)
    {
    case ARGP_KEY_ARG:
      if (*path != NULL)
        argp_error (state, "more than one FILE");
      *path = arg;
      return 0;
    case ARGP_KEY_END:
      if (*path == NULL)
        argp_error (state, "no FILE given");
      return 0;
    default:
      return ARGP_ERR_UNKNOWN;
    }
}
