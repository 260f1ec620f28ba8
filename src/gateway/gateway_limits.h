/**
 * @file gateway_limits.h
 * Limits that upstreams name (state/rate_limit): what responses and peers say
 * of them, and turns at limited upstreams.
 *
 * The account of an upstream is kept by one hub, chosen by a hash over the
 * hubs.  A gateway asks it for turns through a hub of its availability zone,
 * which forwards the question and the answer.  A gateway without links keeps
 * the accounts for itself.
 */
#ifndef GATEWAY_GATEWAY_LIMITS_H
#define GATEWAY_GATEWAY_LIMITS_H

#include "gateway/gateway_peers_int.h"
#include "gateway/gateway_request_int.h"

/** A response said whether its upstream has a limit. */
void gateway_limits_read (struct gateway_request *request,
                          enum upstream_limit limit, uint32_t permille);

/** Asks for a turn at a limited upstream that the request would use: at the
    primary one of a prompt, or else at another candidate; for other requests
    at any upstream.
    @param primary_only  of a prompt.
    @return whether the request waits for the answer, or for its turn. */
bool gateway_limits_ask (struct gateway_request *request, bool primary_only);
/** Time until a limited upstream of the request's service may have a turn; 0
    if that is not known, UINT64_MAX if none is limited. */
uint64_t gateway_limits_wait_ns (const struct gateway_request *request);

/** Handles a message of a peer. */
void gateway_limits_receive (struct gateway_peers *peers,
                             struct gateway_peer *from,
                             const struct message_limit *message);
/** Sends all limits to a new peer, or after its snapshot. */
void gateway_limits_send_all (struct gateway_peers *peers,
                              const struct gateway_peer *peer);

/** Gives turns back that no request has used; to be called several times a
    second. */
void gateway_limits_tick (struct gateway *gateway);

#endif
