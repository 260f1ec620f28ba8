/**
 * @file admin_int.h
 * Shared by the files of the admin API.
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

/** A request being answered. */
struct admin_request
{
  struct router *router;
  struct admin *admin;
  struct evhttp_request *http;
  const struct settings_token *token; /**< NULL where none is needed */
  const char *rest; /**< of the path, decoded, after the route's own part */
  const char *query;
};

/** Finds the token of a request by its digest, in constant time.
    @return NULL when it is missing or unknown. */
const struct settings_token *
admin_auth (const struct settings_router *settings,
            struct evhttp_request *http);

/* Responses; each ends the request. */

/** Takes over the reference of `json`. */
void admin_reply (struct evhttp_request *http, int status, json_t *json);

/** An error; `details` may be NULL, and is taken over. */
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

/** Checks what an object says of others in force, or, with `object` NULL,
    that nothing refers to it. @return 0 or ERR_INVALID with `fault` filled. */
int admin_check_references (const struct catalog *catalog,
                            enum object_kind kind, const char *name,
                            const json_t *object, struct object_fault *fault);

/** Notes a change under way, whose request must not be used after its
    connection ends. */
struct admin_change;
struct admin_change *admin_change_new (struct admin *admin,
                                       struct evhttp_request *http);
/** Ends it. @return the request, or NULL when its connection has ended. */
struct evhttp_request *admin_change_end (struct admin_change *change);

#endif
