/**
 * @file admin_int.h
 * Declarations shared by the files of the admin API.
 */
#ifndef ADMIN_INT_H
#define ADMIN_INT_H

#include "admin_server.h"
#include "confstore.h"
#include "protocol/object.h"
#include <event2/http.h>
#include <jansson.h>
#include <stdbool.h>

struct admin;

/** A request that is being handled. */
struct admin_request
{
  struct router *router;
  struct admin *admin;
  struct evhttp_request *http;
  const struct settings_token *token; /**< NULL on public routes */
  const char *path_suffix; /**< decoded path after that of the route */
  const char *query;
};

/** Finds the settings of a request's token by its digest, in constant time.
    @return NULL when the token is missing or unknown. */
const struct settings_token *
admin_auth (const struct settings_router *settings,
            struct evhttp_request *http);

/* Responses; each completes the request. */

/** Replies with `json` and steals its reference. */
void admin_reply (struct evhttp_request *http, int status, json_t *json);

/** Replies with an error.  `details` are more members of the error object, or
    NULL; their reference is stolen. */
void admin_reply_error (struct evhttp_request *http, int status,
                        const char *code, const char *message,
                        json_t *details);

/* Handlers. */

void admin_get_objects (struct admin_request *request);
void admin_put_object (struct admin_request *request);
void admin_delete_object (struct admin_request *request);
void admin_audit (struct admin_request *request);
void admin_status (struct admin_request *request);
void admin_instances (struct admin_request *request);
void admin_drain (struct admin_request *request);
void admin_healthz (struct admin_request *request);
void admin_readyz (struct admin_request *request);
void admin_metrics (struct admin_request *request);

/** Checks an object's references to other objects of the catalog or, when
    `object` is NULL (a deletion), that no other object refers to it.
    @return 0, or ERR_INVALID with `error_details` filled. */
int admin_check_references (const struct catalog *catalog,
                            enum object_kind kind, const char *name,
                            const json_t *object,
                            struct object_error *error_details);

/** A request whose reply waits for a write to the store.  The request must not
    be used once its connection is closed, which this tracks. */
struct admin_pending_reply;
struct admin_pending_reply *
admin_pending_reply_new (struct admin *admin, struct evhttp_request *http);
/** Frees it. @return the request, or NULL when its connection has closed. */
struct evhttp_request *
admin_pending_reply_finish (struct admin_pending_reply *pending);

#endif
