/**
 * @file admin_change.c
 * PUT and DELETE of objects: validates the request, writes to the store and
 * replies with the result.
 */
#include "admin_int.h"
#include "confstore_module.h"
#include "state/err.h"
#include "state/verdict.h"
#include "transport/log.h"
#include <errno.h>
#include <event2/buffer.h>
#include <event2/keyvalq_struct.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define KEY_SIZE 160 /* bytes */

/** A change whose write to the store has not completed. */
struct pending_change
{
  struct admin_pending_reply *pending_reply;
  char key[KEY_SIZE];
  char operator_name[CATALOG_NAME_SIZE];
};

static bool parse_target (struct admin_request *request,
                          struct confstore_write *write);
static bool parse_reason (struct admin_request *request,
                          struct confstore_write *write);
static bool parse_if_match (struct admin_request *request,
                            struct confstore_write *write);
static json_t *parse_object (struct admin_request *request,
                             const struct confstore_write *write);
static bool check_references (struct admin_request *request,
                              const struct confstore_write *write,
                              const json_t *object);
static void start_write (struct admin_request *request,
                         const struct confstore_write *write);
static void on_write_done (void *user, const struct confstore_result *result);
static void log_result (const struct pending_change *pending,
                        const struct confstore_result *result);
static void reply (struct evhttp_request *http, const char *key,
                   const struct confstore_result *result);
static void reply_conflict (struct evhttp_request *http,
                            const struct confstore_result *result);
static void reply_object_error (struct evhttp_request *http,
                                const struct object_error *error_details);
static void add_verdict (struct evhttp_request *http, enum verdict verdict);

static const char *const effect_names[CONFSTORE_EFFECT_MAX] = {
  [CONFSTORE_UNCHANGED] = "unchanged",
  [CONFSTORE_CREATED] = "created",
  [CONFSTORE_CHANGED] = "changed",
  [CONFSTORE_DELETED] = "deleted",
};

void
admin_put_object (struct admin_request *request)
{
  struct confstore_write write = { .object = NULL };

  if (!parse_target (request, &write) || !parse_if_match (request, &write))
    return;
  write.object = parse_object (request, &write);
  if (write.object != NULL && check_references (request, &write, write.object))
    start_write (request, &write);
  json_decref (write.object);
}

void
admin_delete_object (struct admin_request *request)
{
  struct confstore_write write = { .object = NULL };

  if (parse_target (request, &write) && parse_if_match (request, &write)
      && check_references (request, &write, NULL))
    start_write (request, &write);
}

/* The functions below that parse or check a part of the request reply with an
   error themselves when they return false or NULL. */
static bool
parse_target (struct admin_request *request, struct confstore_write *write)
{
  size_t length = strcspn (request->path_suffix, "/");
  const char *name = request->path_suffix + length;
  int kind;

  for (kind = 0; kind < OBJECT_KIND_MAX; kind++)
    {
      const char *collection = object_collection ((enum object_kind)kind);

      if (strlen (collection) == length
          && strncmp (collection, request->path_suffix, length) == 0)
        break;
    }
  if (kind == OBJECT_KIND_MAX || *name == '\0'
      || strlen (name + 1) >= sizeof write->name)
    {
      admin_reply_error (request->http, HTTP_NOTFOUND, "path", "no such path",
                         NULL);
      return false;
    }
  write->kind = (enum object_kind)kind;
  snprintf (write->name, sizeof write->name, "%s", name + 1);
  snprintf (write->operator_name, sizeof write->operator_name, "%s",
            request->token->operator_name);
  return parse_reason (request, write);
}

static bool
parse_reason (struct admin_request *request, struct confstore_write *write)
{
  const char *reason
      = evhttp_find_header (evhttp_request_get_input_headers (request->http),
                            "Cherrylanding-Reason");
  json_t *text;
  bool valid;
  const char *c;

  if (reason == NULL)
    return true;
  for (c = reason; *c != '\0' && (unsigned char)*c >= ' '; c++)
    ;
  text = json_string (reason); /* NULL when it is not UTF-8 */
  valid = *c == '\0' && text != NULL;
  json_decref (text);
  if (valid && strlen (reason) < sizeof write->reason)
    {
      snprintf (write->reason, sizeof write->reason, "%s", reason);
      return true;
    }
  admin_reply_error (request->http, HTTP_BADREQUEST, "reason",
                     "the reason is too long or not plain UTF-8", NULL);
  return false;
}

static bool
parse_if_match (struct admin_request *request, struct confstore_write *write)
{
  const char *text = evhttp_find_header (
      evhttp_request_get_input_headers (request->http), "If-Match");
  char *end = NULL;

  if (text == NULL)
    return true;
  write->conditional = true;
  errno = 0;
  write->if_match = strtoull (text, &end, 10);
  if (*text >= '0' && *text <= '9' && *end == '\0' && errno == 0)
    return true;
  admin_reply_error (request->http, HTTP_BADREQUEST, "if_match",
                     "If-Match is not an index", NULL);
  return false;
}

static json_t *
parse_object (struct admin_request *request,
              const struct confstore_write *write)
{
  struct evbuffer *body = evhttp_request_get_input_buffer (request->http);
  size_t size = evbuffer_get_length (body);
  const char *text = size == 0 ? "" : (const char *)evbuffer_pullup (body, -1);
  struct object_error error_details;
  json_t *object = object_normalise (write->kind, write->name, text, size,
                                     &error_details);

  if (object == NULL)
    reply_object_error (request->http, &error_details);
  return object;
}

static bool
check_references (struct admin_request *request,
                  const struct confstore_write *write, const json_t *object)
{
  struct evbuffer *body = evhttp_request_get_input_buffer (request->http);
  size_t size = evbuffer_get_length (body);
  struct object_error error_details = { .line = 0 };

  if (admin_check_references (&request->router->catalog, write->kind,
                              write->name, object, &error_details)
      == 0)
    return true;
  if (size > 0)
    error_details.line = object_line ((const char *)evbuffer_pullup (body, -1),
                                      size, error_details.path);
  reply_object_error (request->http, &error_details);
  return false;
}

static void
start_write (struct admin_request *request,
             const struct confstore_write *write)
{
  struct confstore *confstore = confstore_module_get (request->router);
  struct pending_change *pending = calloc (1, sizeof *pending);

  if (pending != NULL)
    pending->pending_reply
        = admin_pending_reply_new (request->admin, request->http);
  if (pending == NULL || pending->pending_reply == NULL)
    {
      free (pending);
      add_verdict (request->http, VERDICT_NOT_RUN);
      admin_reply_error (request->http, HTTP_SERVUNAVAIL, "memory",
                         "no memory", NULL);
      return;
    }
  snprintf (pending->key, sizeof pending->key, "%s/%s",
            object_kind_name (write->kind), write->name);
  snprintf (pending->operator_name, sizeof pending->operator_name, "%s",
            write->operator_name);
  if (confstore_write (confstore, write, on_write_done, pending) != 0)
    {
      const struct confstore_result result = { .error = ERR_UNAVAILABLE };

      on_write_done (pending, &result);
    }
}

static void
on_write_done (void *user, const struct confstore_result *result)
{
  struct pending_change *pending = user;
  struct evhttp_request *http
      = admin_pending_reply_finish (pending->pending_reply);

  log_result (pending, result);
  if (http != NULL)
    reply (http, pending->key, result);
  free (pending);
}

static void
log_result (const struct pending_change *pending,
            const struct confstore_result *result)
{
  if (result->error == 0 && result->effect == CONFSTORE_UNCHANGED)
    return;
  if (result->error == 0)
    LOG (LOG_ADMIN_CHANGE, NULL, LOG_S ("key", pending->key),
         LOG_S ("operator", pending->operator_name),
         LOG_S ("result", effect_names[result->effect]),
         LOG_U ("index", result->index),
         LOG_S ("change_id", result->change_id));
  else
    LOG (LOG_ADMIN_REFUSED, NULL, LOG_S ("key", pending->key),
         LOG_S ("operator", pending->operator_name),
         LOG_S ("code", err_name (result->error)),
         LOG_S ("change_id", result->change_id));
}

static void
reply (struct evhttp_request *http, const char *key,
       const struct confstore_result *result)
{
  switch (result->error)
    {
    case 0:
      admin_reply (http, result->effect == CONFSTORE_CREATED ? 201 : 200,
                   json_pack ("{s:s, s:I, s:s, s:s}", "key", key, "index",
                              (json_int_t)result->index, "result",
                              effect_names[result->effect], "change_id",
                              result->change_id));
      break;
    case ERR_CONFLICT:
      reply_conflict (http, result);
      break;
    case ERR_NOT_FOUND:
      admin_reply_error (http, HTTP_NOTFOUND, "not_found", "no such object",
                         NULL);
      break;
    case ERR_TOO_LARGE:
      admin_reply_error (http, HTTP_ENTITYTOOLARGE, "too_large",
                         "the object is too large for the store", NULL);
      break;
    case ERR_UNKNOWN_OUTCOME:
      add_verdict (http, VERDICT_MAY_HAVE_RUN);
      admin_reply_error (http, 504, "unknown_outcome",
                         "the store did not say whether the change was made; "
                         "look for the change id in the audit trail",
                         json_pack ("{s:s, s:s}", "verdict",
                                    verdict_name (VERDICT_MAY_HAVE_RUN),
                                    "change_id", result->change_id));
      break;
    default:
      add_verdict (http, VERDICT_NOT_RUN);
      evhttp_add_header (evhttp_request_get_output_headers (http),
                         "Retry-After", ADMIN_RETRY_AFTER);
      admin_reply_error (
          http, HTTP_SERVUNAVAIL, "store_unavailable",
          "the store is not available; nothing was changed",
          json_pack ("{s:s}", "verdict", verdict_name (VERDICT_NOT_RUN)));
      break;
    }
}

static void
reply_conflict (struct evhttp_request *http,
                const struct confstore_result *result)
{
  char message[160];

  snprintf (message, sizeof message,
            "the object was changed by '%s' and has index %" PRIu64,
            result->conflicting_operator, result->index);
  add_verdict (http, VERDICT_NOT_RUN);
  admin_reply_error (http, 409, "conflict", message,
                     json_pack ("{s:I, s:s, s:I}", "index",
                                (json_int_t)result->index, "operator",
                                result->conflicting_operator, "time_ms",
                                (json_int_t)result->conflicting_time_ms));
}

static void
reply_object_error (struct evhttp_request *http,
                    const struct object_error *error_details)
{
  bool syntax = error_details->path[0] == '\0';

  add_verdict (http, VERDICT_NOT_RUN);
  admin_reply_error (http, syntax ? HTTP_BADREQUEST : 422,
                     syntax ? "syntax" : "invalid", error_details->reason,
                     json_pack ("{s:s, s:i}", "path", error_details->path,
                                "line", (int)error_details->line));
}

static void
add_verdict (struct evhttp_request *http, enum verdict verdict)
{
  struct evkeyvalq *headers = evhttp_request_get_output_headers (http);

  evhttp_add_header (headers, "Cherrylanding-Verdict", verdict_name (verdict));
  if (verdict == VERDICT_NOT_RUN)
    evhttp_add_header (headers, "Retry-After", ADMIN_RETRY_AFTER);
}
