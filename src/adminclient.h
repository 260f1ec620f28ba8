/**
 * @file adminclient.h
 * What the subcommands that talk to an instance share: their options, and
 * blocking calls of the admin API.
 */
#ifndef ADMINCLIENT_H
#define ADMINCLIENT_H

#include <argp.h>
#include <event2/http.h>
#include <jansson.h>
#include <stddef.h>

#define ADMINCLIENT_TIMEOUT_S 15 /**< seconds for one call */

/** Options of every such subcommand; the parser's input is its address. */
struct adminclient
{
  const char *address; /**< IP number and port */
  const char *token;
  const char *reason; /**< of changes; may be NULL */
};

/** Child parser of the options; fills the structure from the environment
    first, and ends the program when there is no address or no token. */
extern const struct argp adminclient_argp;

struct adminclient_response
{
  int status;   /**< HTTP status */
  json_t *json; /**< NULL when the body is not JSON */
};

/**
 * Makes one call.
 * @param body  JSON text, or NULL.
 * @return 0, or ERR_INVALID, ERR_REFUSED, ERR_TIMEOUT, ERR_NO_MEMORY, after
 *         saying so on standard error.
 */
int adminclient_call (const struct adminclient *client,
                      enum evhttp_cmd_type method, const char *path,
                      const char *body, struct adminclient_response *response);
void adminclient_response_finish (struct adminclient_response *response);

/** Prints the error of a response on standard error, after `what`. */
void adminclient_print_error (const char *what,
                              const struct adminclient_response *response);

/** Escapes one segment of a path. @return text to free(), or NULL. */
char *adminclient_escape (const char *text);

/** Calls GET and prints the response as indented JSON.
    @return an exit code of command.h. */
int adminclient_print (const struct adminclient *client, const char *path);

#endif
