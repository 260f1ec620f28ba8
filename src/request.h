/**
 * @file request.h
 * One client request: connects the libevhtp request, the dispatcher and the
 * attempts at upstreams.
 */
#ifndef REQUEST_H
#define REQUEST_H

#include "router.h"

/** Callbacks of httpd; `user` is a struct router. */
enum refusal request_check_head (void *user, evhtp_request_t *http,
                                 uint64_t *customer_id);
void request_arrived (void *user, evhtp_request_t *http);
void request_client_disconnected (void *user, void *request_user);
void request_output_drained (void *user, void *request_user);
void request_refuse_unparsed (void *user, enum refusal refusal,
                              const char *request_id, struct evbuffer *out);

/** Performs an action of the dispatcher on its request. */
void request_perform_action (struct router *router,
                             const struct dispatch_action *action);

#endif
