/**
 * @file request.h
 * One client request: ties libevhtp's request, the dispatcher and the
 * attempts at upstreams together.
 */
#ifndef REQUEST_H
#define REQUEST_H

#include "router.h"

/** Server callbacks; the user is a struct router. */
void request_arrived (void *user, evhtp_request_t *http);
void request_gone (void *user, void *request_user);
void request_drained (void *user, void *request_user);
void request_refuse_raw (void *user, enum refusal refusal,
                         const char *request_id, struct evbuffer *out);

/** Performs one action of the dispatcher that concerns a request. */
void request_perform (struct router *router,
                      const struct dispatch_action *action);

#endif
