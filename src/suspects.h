/**
 * @file suspects.h
 * Requests under which upstreams crash (state/quarantine), for `serve`:
 * evidence from attempts, refusals, and the exchange with peers.
 */
#ifndef SUSPECTS_H
#define SUSPECTS_H

#include "coordination/fleet.h"
#include "request.h"

struct request;

/** Whether a request that has arrived may be sent to upstreams. */
bool suspects_admit (struct request *request);
/** An attempt failed; counts it if that is a crash of the upstream.
    @return whether the request may be sent again, as far as that matters. */
bool suspects_attempt_failed (struct request *request, int error);
/** A response is complete: the upstream does not crash under the request. */
void suspects_completed (struct request *request);

/** Sends peers what has changed since the last call. */
void suspects_exchange (struct router *router, struct fleet *fleet,
                        uint64_t now_ns);
/** Merges what a peer sent. */
void suspects_receive (struct router *router, const struct message_load *load,
                       uint64_t now_ns);

#endif
