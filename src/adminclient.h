/**
 * @file adminclient.h
 * Client of the admin API for the subcommands: their common options and
 * blocking calls.
 */
#ifndef ADMINCLIENT_H
#define ADMINCLIENT_H

#include <argp.h>
#include <event2/http.h>
#include <jansson.h>
#include <stddef.h>

#define ADMINCLIENT_TIMEOUT_S 15 /**< timeout of one call, seconds */

/** Options of each subcommand that calls the admin API; input of
    adminclient_argp. */
struct adminclient
{
  const char *address; /**< IP address and port */
  const char *token;
  const char *reason; /**< for the audit trail; may be NULL */
};

/** Child parser of these options.  The defaults come from the environment; the
    program exits when the address or the token is missing. */
extern const struct argp adminclient_argp;

struct adminclient_response
{
  int status;   /**< HTTP status */
  json_t *json; /**< NULL when the body is not JSON */
};

/**
 * Sends one request and waits for the response.
 * @param body  JSON text, or NULL.
 * @return 0, or ERR_INVALID, ERR_REFUSED, ERR_NO_MEMORY.  An invalid address,
 *         a request that cannot be built and a missing response have been
 *         printed on standard error; other errors have not.
 */
int adminclient_call (const struct adminclient *client,
                      enum evhttp_cmd_type method, const char *path,
                      const char *body, struct adminclient_response *response);
void adminclient_response_finish (struct adminclient_response *response);

/** Prints the error of a response on standard error, prefixed by `context`. */
void adminclient_print_error (const char *context,
                              const struct adminclient_response *response);

/** Percent-encodes one path segment. @return text to free(), or NULL. */
char *adminclient_escape (const char *text);

/** Sends a GET request and prints the response as indented JSON.
    @return an exit code of command.h. */
int adminclient_print (const struct adminclient *client, const char *path);

#endif
