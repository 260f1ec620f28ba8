/**
 * @file lessee.h
 * Applies grants to this instance's slot table, confirms them, and gives
 * idle slots back when another instance waits.
 *
 * A lease ends by this clock before it ends by the lessor's: it runs from the
 * sending of the heartbeat that the grant names, which the lessor can only
 * have heard later.  So a grant that lay in a buffer while this process was
 * paused, or was delayed on its way, gives no time that the lessor did not
 * give.  Only the lessor that this instance sees for an upstream may grant;
 * any instance may ask what is held.
 *
 * Messages to this instance itself go through the link too; the caller loops
 * them back.
 */
#ifndef COORDINATION_LESSEE_H
#define COORDINATION_LESSEE_H

#include "coordination/member.h"
#include "coordination/message.h"
#include "state/slots.h"
#include <stdint.h>

#define LESSEE_RELEASE_MS 10    /**< between releases of a service */
#define LESSEE_AGAIN_MS   200   /**< until a fall is told again */
#define LESSEE_FULL_MS    10000 /**< between reports of everything held */

struct lessee;

struct lessee *lessee_new (struct slots *slots, const struct catalog *catalog,
                           const struct member_table *members);
void lessee_free (struct lessee *lessee);

/** Applies a grant of `lessor_id`. @return 1 when capacity changed, 0,
    ERR_STALE for an older incarnation or sequence. */
int lessee_grant (struct lessee *lessee, uint64_t lessor_id,
                  const struct message_grant *grant, uint64_t now_ns);

/** Notes that a heartbeat was sent to peers; sequences increase. */
void lessee_heartbeat (struct lessee *lessee, uint64_t sequence,
                       uint64_t now_ns);

/** A link is up anew: messages on the old one may be lost, so everything is
    reported again. */
void lessee_link_up (struct lessee *lessee, uint64_t instance_id);

/** Gives back idle slots of a service that nobody waits for here while
    `wanted` requests wait elsewhere: at most `wanted`, once in
    LESSEE_RELEASE_MS, so that instances which all hear of one waiting request
    do not all empty themselves.  Not for a policy that moves no slots.
    @return number of slots given back. */
uint32_t lessee_release (struct lessee *lessee, uint64_t service_id,
                         uint32_t wanted, uint64_t now_ns);

/** Ends expired leases and sends the holds that changed; call after each
    batch of dispatch events.  @return number of messages sent. */
int lessee_run (struct lessee *lessee, uint64_t now_ns,
                const struct message_link *link);

/** Gives back all slots but those busy; used when draining. */
void lessee_drain (struct lessee *lessee);

#endif
