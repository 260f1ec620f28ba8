/**
 * @file drain.c
 * The `drain` subcommand: tells an instance to finish its requests and exit.
 */
#include "adminclient.h"
#include "command.h"
#include <argp.h>
#include <event2/http.h>
#include <stdio.h>

static error_t parse_option (int key, char *arg, struct argp_state *state);

static const struct argp_child children[]
    = { { &adminclient_argp, 0, NULL, 0 }, { NULL, 0, NULL, 0 } };

static const struct argp parser
    = { .parser = parse_option,
        .doc = "Tell an instance to take no new requests, finish those in "
               "flight and exit.",
        .children = children };

int
command_drain (int argc, char **argv)
{
  struct adminclient client = { .address = NULL };
  struct adminclient_response response;
  int code = COMMAND_FAILED;

  if (argp_parse (&parser, argc, argv, 0, NULL, &client) != 0)
    return COMMAND_USAGE;
  if (adminclient_call (&client, EVHTTP_REQ_POST, "/admin/v1/drain", "{}",
                        &response)
      != 0)
    return COMMAND_FAILED;
  if (response.status / 100 == 2)
    {
      puts ("draining");
      code = COMMAND_SUCCESS;
    }
  else
    adminclient_print_error ("drain", &response);
  adminclient_response_finish (&response);
  return code;
}

static error_t
parse_option (int key, char *arg, struct argp_state *state)
{
  (void)arg;
  if (key != ARGP_KEY_INIT)
    return ARGP_ERR_UNKNOWN;
  state->child_inputs[0] = state->input;
  return 0;
}
