/**
 * @file admin_reply.c
 * JSON responses of the admin API.
 */
#include "admin_int.h"
#include "state/verdict.h"
#include <event2/buffer.h>
#include <stdlib.h>
#include <string.h>

static const char *reason_phrase (int status);

void
admin_reply (struct evhttp_request *http, int status, json_t *json)
{
  struct evkeyvalq *headers = evhttp_request_get_output_headers (http);
  struct evbuffer *out = evhttp_request_get_output_buffer (http);
  char *text = json == NULL ? NULL : json_dumps (json, JSON_COMPACT);

  json_decref (json);
  if (text == NULL
      || evhttp_add_header (headers, "Content-Type", "application/json") != 0
      || evbuffer_add (out, text, strlen (text)) != 0
      || evbuffer_add (out, "\n", 1) != 0)
    status = HTTP_INTERNAL;
  free (text);
  evhttp_send_reply (http, status, reason_phrase (status), NULL);
}

void
admin_reply_error (struct evhttp_request *http, int status, const char *code,
                   const char *message, json_t *details)
{
  json_t *error = json_pack ("{s:s, s:s}", "code", code, "message", message);

  if (error != NULL && details != NULL)
    json_object_update_missing (error, details);
  json_decref (details);
  admin_reply (http, status, json_pack ("{s:o}", "error", error));
}

static const char *
reason_phrase (int status)
{
  switch (status)
    {
    case 200:
      return "OK";
    case 201:
      return "Created";
    case 202:
      return "Accepted";
    case 400:
      return "Bad Request";
    case 401:
      return "Unauthorized";
    case 403:
      return "Forbidden";
    case 404:
      return "Not Found";
    case 405:
      return "Method Not Allowed";
    case 409:
      return "Conflict";
    case 413:
      return "Content Too Large";
    case 422:
      return "Unprocessable Content";
    case 503:
      return "Service Unavailable";
    case 504:
      return "Gateway Timeout";
    default:
      return "Internal Server Error";
    }
}
