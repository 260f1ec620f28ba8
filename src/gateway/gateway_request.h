/**
 * @file gateway_request.h
 * Client requests in a gateway, from arrival to the end of the response.
 */
#ifndef GATEWAY_GATEWAY_REQUEST_H
#define GATEWAY_GATEWAY_REQUEST_H

#include "gateway/gateway.h"

/** Callbacks of the HTTP server; `user` is a struct gateway. */
enum refusal gateway_request_check_head (void *user, evhtp_request_t *http,
                                         uint64_t *customer);
void gateway_request_arrived (void *user, evhtp_request_t *http);
void gateway_request_client_disconnected (void *user, void *request_user);
void gateway_request_output_drained (void *user, void *request_user);
void gateway_request_refuse_unparsed (void *user, enum refusal refusal,
                                      const char *request_id,
                                      struct evbuffer *out);

/** Refuses every request whose response has not started. */
void gateway_request_refuse_unanswered (struct gateway *gateway);

/** To be called when an upstream began or completed a request, or its known
    load changed: schedules a dispatch of waiting requests. */
void gateway_request_capacity_changed (struct gateway *gateway);
/** To be called when a turn at a limited upstream was given, or refused.
    @param delay_ms  until the turn; 0 if it may be used, or was refused. */
void gateway_request_turn_changed (struct gateway *gateway, uint32_t delay_ms);
/** Sends waiting requests to upstreams with capacity, and refuses expired
   ones; callback of the gateway's `dispatch` event. */
void gateway_request_dispatch_waiting (evutil_socket_t fd, short what,
                                       void *arg);

#endif
