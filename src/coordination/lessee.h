/**
 * @file lessee.h
 * Applies grants to this instance's slot table, confirms them, and releases
 * idle slots when another instance has requests waiting.
 *
 * A lease expires on the lessee's clock before it expires on the lessor's: it
 * starts when the lessee sent the heartbeat that the grant names, and the
 * lessor can only have received that heartbeat later.  A grant that was
 * delayed on its way, or in a buffer while this process was paused, therefore
 * does not extend the lease beyond what the lessor allows.  Grants are
 * accepted only from the instance that this instance considers the lessor of
 * the upstream; any instance may query what is held.
 *
 * Messages to this instance itself also go through the message_sender; the
 * caller delivers them back.
 */
#ifndef COORDINATION_LESSEE_H
#define COORDINATION_LESSEE_H

#include "coordination/member.h"
#include "coordination/message.h"
#include "state/slots.h"
#include <stdint.h>

#define LESSEE_RELEASE_MS     10    /**< between releases of a service */
#define LESSEE_REPEAT_MS      200   /**< until a reduction is sent again */
#define LESSEE_FULL_REPORT_MS 10000 /**< between full reports */

struct lessee;

struct lessee *lessee_new (struct slots *slots, const struct catalog *catalog,
                           const struct member_table *members);
void lessee_free (struct lessee *lessee);

/** Applies a grant from `lessor_id`.
    @return 1 when capacity changed, 0, ERR_STALE for an older incarnation, an
    unknown heartbeat or a lease that has expired. */
int lessee_receive_grant (struct lessee *lessee, uint64_t lessor_id,
                          const struct message_grant *grant, uint64_t now_ns);

/** Records that a heartbeat was sent to peers; sequences increase. */
void lessee_heartbeat_sent (struct lessee *lessee, uint64_t sequence,
                            uint64_t now_ns);

/** Handles a new link to an instance: messages on the old one may be lost, so
    everything held is reported again. */
void lessee_link_up (struct lessee *lessee, uint64_t instance_id);

/** Releases idle slots of a service for which no requests wait here while
    `wanted` requests wait at other instances.  It releases at most `wanted`
    slots, and does so once per LESSEE_RELEASE_MS, so that the instances that
    all learn of one waiting request do not all release everything.  Not for a
    policy that moves no slots.
    @return number of slots released. */
uint32_t lessee_release (struct lessee *lessee, uint64_t service_id,
                         uint32_t wanted, uint64_t now_ns);

/** Ends expired leases and reports what changed in hold messages; call after
    each batch of dispatch events.
    @return number of messages sent. */
int lessee_run (struct lessee *lessee, uint64_t now_ns,
                const struct message_sender *sender);

/** Releases all slots except busy ones; used when draining. */
void lessee_drain (struct lessee *lessee);

#endif
