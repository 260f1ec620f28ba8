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

#endif
