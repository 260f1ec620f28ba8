/**
 * @file gateway_quarantine.h
 * Requests and parts of prompts under which upstreams crash
 * (state/quarantine): evidence from attempts, refusals, and entries in the
 * store, which outlast the fleet.
 */
#ifndef GATEWAY_GATEWAY_QUARANTINE_H
#define GATEWAY_GATEWAY_QUARANTINE_H

#include "gateway/gateway_request_int.h"

/** Retry-After of a held request: nothing changes within the time that its
    client waits. */
#define GATEWAY_QUARANTINE_RETRY_AFTER_MS 60000

void gateway_quarantine_start (struct gateway *gateway);

/** Whether the request, or a part of its prompt, is held: it may not be sent
    to an upstream, unless as a trial that this instance was granted. */
bool gateway_quarantine_holds (struct gateway_request *request);
/** Asks the store for a trial by a held request.
    @return whether the request waits for the decision, after which it goes to
    gateway_request_try(). */
bool gateway_quarantine_ask (struct gateway_request *request);
/** An attempt ended with an error: if that is a crash of the upstream, it
    counts against the request; and against the parts of the prompt, if the
    upstream had not begun to respond. */
void gateway_quarantine_attempt_failed (struct gateway_request *request,
                                        int error);
/** A part of a stream, or a complete response, has arrived.  Once that shows
    that the upstream does not crash under the parts of the prompt, they are
    cleared. */
void gateway_quarantine_responded (struct gateway_request *request);
/** A response is complete: the upstream does not crash under the request. */
void gateway_quarantine_completed (struct gateway_request *request);
/** The request ends: a trial that it did not send is for another one. */
void gateway_quarantine_ended (struct gateway_request *request);
/** Whether the request may be sent again, as far as crashes are concerned. */
bool gateway_quarantine_may_retry (struct gateway_request *request);

/** Whether a key of the store belongs to a held entry. */
bool gateway_quarantine_owns_key (const struct gateway *gateway,
                                  const char *key);
/** Applies such an item, read from the store or forwarded by a hub. */
void gateway_quarantine_apply_item (struct gateway *gateway,
                                    const struct kvstore_item *item);
/** Writes and deletes entries in the store, and forgets old evidence; to be
    called several times a second. */
void gateway_quarantine_tick (struct gateway *gateway);

#endif
