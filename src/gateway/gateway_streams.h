/**
 * @file gateway_streams.h
 * Keeps a stream at the build of upstreams that began it
 * (state/stream_builds), in retries within its response and when its client
 * takes it up.
 */
#ifndef GATEWAY_GATEWAY_STREAMS_H
#define GATEWAY_GATEWAY_STREAMS_H

#include "gateway/gateway_peers_int.h"
#include "gateway/gateway_request_int.h"

void gateway_streams_start (struct gateway *gateway);

/** A request has arrived: one that takes a stream up is bound to its build.
    @return REFUSAL_NONE; REFUSAL_NO_BUILD if the build is not known, or has no
    upstream; REFUSAL_NOT_READY if it may be known in a moment.  It is not
    decided yet if request->awaits_peers is set. */
enum refusal gateway_streams_bind (struct gateway_request *request);
/** Begins with requests that have waited for peers; to be called after reports
    and several times a second. */
void gateway_streams_decide (struct gateway *gateway);
/** Complete events of a stream have arrived, and are about to be forwarded:
    the first one binds the request to the build of its upstream. */
void gateway_streams_event (struct gateway_request *request);

/** Sends a peer what has changed since the last call. */
void gateway_streams_send (struct gateway_peers *peers,
                           struct gateway_peer *peer);
/** The same for all peers that are told by this instance. */
void gateway_streams_send_all (struct gateway_peers *peers);
/** Handles a message of a peer. */
void gateway_streams_receive (struct gateway_peers *peers,
                              const struct gateway_peer *from,
                              const struct message_streams *message);

/** Marks services that have several builds, and forgets old streams; to be
    called several times a second. */
void gateway_streams_tick (struct gateway *gateway);

#endif
