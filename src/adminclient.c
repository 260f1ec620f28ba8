/**
 * @file adminclient.c
 * Blocking calls to the admin API with evhttp; each call runs its own event
 * loop.
 */
#include "adminclient.h"
#include "command.h"
#include "state/err.h"
#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <event2/util.h>
#include <netinet/in.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define HOST_SIZE 64 /* bytes of an IP address in text form */

enum option_key
{
  OPTION_ADMIN = 0x100,
  OPTION_TOKEN,
  OPTION_REASON
};

struct call
{
  struct event_base *base;
  struct adminclient_response *response;
  bool responded;
};

static error_t parse_option (int key, char *arg, struct argp_state *state);
static int split_address (const char *address, char *host, uint16_t *port);
static int send_request (const struct adminclient *client,
                         struct evhttp_connection *connection,
                         struct evhttp_request *request, const char *host,
                         enum evhttp_cmd_type method, const char *path,
                         const char *body);
static void on_response (struct evhttp_request *request, void *arg);

static const struct argp_option options[] = {
  { "admin", OPTION_ADMIN, "ADDRESS", 0,
    "Admin address (default: CHERRYLANDING_ADMIN)", 0 },
  { "token", OPTION_TOKEN, "TOKEN", 0,
    "Operator's token (default: CHERRYLANDING_TOKEN)", 0 },
  { "reason", OPTION_REASON, "TEXT", 0,
    "Reason for a change, kept in the audit trail", 0 },
  { NULL, 0, NULL, 0, NULL, 0 },
};

const struct argp adminclient_argp
    = { .options = options, .parser = parse_option };

static error_t
parse_option (int key, char *arg, struct argp_state *state)
{
  struct adminclient *client = state->input;

  switch (key)
    {
    case ARGP_KEY_INIT:
      client->address = getenv ("CHERRYLANDING_ADMIN");
      client->token = getenv ("CHERRYLANDING_TOKEN");
      return 0;
    case OPTION_ADMIN:
      client->address = arg;
      return 0;
    case OPTION_TOKEN:
      client->token = arg;
      return 0;
    case OPTION_REASON:
      client->reason = arg;
      return 0;
    case ARGP_KEY_END:
      if (client->address == NULL || client->token == NULL)
        argp_error (state, "no admin address or no token given");
      return 0;
    default:
      return ARGP_ERR_UNKNOWN;
    }
}

int
adminclient_call (const struct adminclient *client,
                  enum evhttp_cmd_type method, const char *path,
                  const char *body, struct adminclient_response *response)
{
  struct call call = { .response = response };
  struct evhttp_connection *connection = NULL;
  struct evhttp_request *request = NULL;
  char host[HOST_SIZE];
  uint16_t port;
  int error = split_address (client->address, host, &port);

  memset (response, 0, sizeof *response);
  if (error != 0)
    {
      fprintf (stderr, "%s: not an IP number and port\n", client->address);
      return error;
    }
  call.base = event_base_new ();
  if (call.base != NULL)
    connection = evhttp_connection_base_new (call.base, NULL, host, port);
  if (connection != NULL)
    request = evhttp_request_new (on_response, &call);
  error = request == NULL ? ERR_NO_MEMORY
                          : send_request (client, connection, request, host,
                                          method, path, body);
  if (error == 0)
    event_base_dispatch (call.base);
  if (error == 0 && !call.responded)
    {
      fprintf (stderr, "%s: no response\n", client->address);
      error = ERR_REFUSED;
    }
  if (connection != NULL)
    evhttp_connection_free (connection);
  if (call.base != NULL)
    event_base_free (call.base);
  return error;
}

static int
split_address (const char *address, char *host, uint16_t *port)
{
  struct sockaddr_storage storage;
  struct sockaddr *generic = (struct sockaddr *)&storage;
  int size = (int)sizeof storage;
  const void *ip;

  memset (&storage, 0, sizeof storage);
  if (evutil_parse_sockaddr_port (address, generic, &size) != 0)
    return ERR_INVALID;
  if (generic->sa_family == AF_INET)
    {
      ip = &((struct sockaddr_in *)generic)->sin_addr;
      *port = ntohs (((struct sockaddr_in *)generic)->sin_port);
    }
  else
    {
      ip = &((struct sockaddr_in6 *)generic)->sin6_addr;
      *port = ntohs (((struct sockaddr_in6 *)generic)->sin6_port);
    }
  if (*port == 0
      || evutil_inet_ntop (generic->sa_family, ip, host, HOST_SIZE) == NULL)
    return ERR_INVALID;
  return 0;
}

static int
send_request (const struct adminclient *client,
              struct evhttp_connection *connection,
              struct evhttp_request *request, const char *host,
              enum evhttp_cmd_type method, const char *path, const char *body)
{
  struct evkeyvalq *headers = evhttp_request_get_output_headers (request);
  size_t size = strlen (client->token) + sizeof "Bearer ";
  char *bearer = malloc (size);
  int failed = bearer == NULL;

  if (!failed)
    {
      snprintf (bearer, size, "Bearer %s", client->token);
      failed = evhttp_add_header (headers, "Authorization", bearer) != 0;
    }
  free (bearer);
  failed = failed || evhttp_add_header (headers, "Host", host) != 0;
  if (client->reason != NULL)
    failed = failed
             || evhttp_add_header (headers, "Cherrylanding-Reason",
                                   client->reason)
                    != 0;
  if (body != NULL)
    failed = failed
             || evhttp_add_header (headers, "Content-Type", "application/json")
                    != 0
             || evbuffer_add (evhttp_request_get_output_buffer (request), body,
                              strlen (body))
                    != 0;
  if (failed)
    {
      evhttp_request_free (request);
      fputs ("cannot build the request: invalid header or out of memory\n",
             stderr);
      return ERR_INVALID;
    }
  evhttp_connection_set_timeout (connection, ADMINCLIENT_TIMEOUT_S);
  evhttp_connection_set_retries (connection, 0);
  if (evhttp_make_request (connection, request, method, path) != 0)
    return ERR_REFUSED;
  return 0;
}

static void
on_response (struct evhttp_request *request, void *arg)
{
  struct call *call = arg;
  struct evbuffer *body;
  size_t size;

  event_base_loopbreak (call->base);
  if (request == NULL || evhttp_request_get_response_code (request) == 0)
    return;
  call->responded = true;
  call->response->status = evhttp_request_get_response_code (request);
  body = evhttp_request_get_input_buffer (request);
  size = evbuffer_get_length (body);
  if (size > 0)
    call->response->json
        = json_loadb ((const char *)evbuffer_pullup (body, -1), size, 0, NULL);
}

void
adminclient_response_finish (struct adminclient_response *response)
{
  json_decref (response->json);
  response->json = NULL;
}

void
adminclient_print_error (const char *context,
                         const struct adminclient_response *response)
{
  const json_t *error = json_object_get (response->json, "error");
  const char *message = json_string_value (json_object_get (error, "message"));
  const char *path = json_string_value (json_object_get (error, "path"));
  json_int_t line = json_integer_value (json_object_get (error, "line"));

  fprintf (stderr, "%s: ", context);
  if (path != NULL)
    fprintf (stderr, "line %" JSON_INTEGER_FORMAT ": %s: ", line, path);
  fprintf (stderr, "%s (status %d)\n",
           message == NULL ? "no error message in the response" : message,
           response->status);
}

char *
adminclient_escape (const char *text)
{
  return evhttp_uriencode (text, -1, 0);
}

int
adminclient_print (const struct adminclient *client, const char *path)
{
  struct adminclient_response response;
  int code = COMMAND_FAILED;

  if (adminclient_call (client, EVHTTP_REQ_GET, path, NULL, &response) != 0)
    return COMMAND_FAILED;
  if (response.status == HTTP_OK && response.json != NULL)
    {
      json_dumpf (response.json, stdout, JSON_INDENT (2));
      putchar ('\n');
      code = COMMAND_SUCCESS;
    }
  else
    adminclient_print_error (path, &response);
  adminclient_response_finish (&response);
  return code;
}
