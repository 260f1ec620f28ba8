/**
 * @file flow.h
 * One request of a client on its way through a gateway.
 */
#ifndef GATEWAY_FLOW_H
#define GATEWAY_FLOW_H

#include "gateway/gateway.h"

/** Server callbacks; the user is a struct gateway. */
void flow_arrived (void *user, evhtp_request_t *http);
void flow_gone (void *user, void *request_user);
void flow_drained (void *user, void *request_user);
void flow_refuse_raw (void *user, enum refusal refusal, const char *request_id,
                      struct evbuffer *out);

/** Gives each request that has had no answer yet its final one. */
void flow_end_all (struct gateway *gateway);

/** An upstream has begun or ended a request, or more is known of its load:
    waiting requests are offered soon. */
void flow_capacity_changed (struct gateway *gateway);
/** Offers waiting requests to upstreams, and refuses those whose time has
    come; the callback of the gateway's `pass` event. */
void flow_pass (evutil_socket_t fd, short what, void *arg);

#endif
