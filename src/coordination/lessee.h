/**
 * @file lessee.h
 * Applies grants to this instance's slot table, confirms them, and gives
 * idle slots back when another instance waits.  A lease ends by this clock
 * before it ends by the lessor's.
 */
#ifndef COORDINATION_LESSEE_H
#define COORDINATION_LESSEE_H

#include "coordination/member.h"
#include "coordination/message.h"
#include "state/slots.h"
#include <stdint.h>

struct lessee;

struct lessee *lessee_new (struct slots *slots, const struct catalog *catalog,
                           const struct member_table *members);
void lessee_free (struct lessee *lessee);

/** Applies a grant of `lessor_id`. @return 1 when capacity changed, 0,
    ERR_STALE for an older incarnation or sequence. */
int lessee_grant (struct lessee *lessee, uint64_t lessor_id,
                  const struct message_grant *grant, uint64_t now_ns);

/** Gives back idle slots of a service that nobody waits for here.
    @return number of slots given back. */
uint32_t lessee_release (struct lessee *lessee, uint64_t service_id,
                         uint64_t now_ns);

/** Sends the holds that changed. @return number of messages sent. */
int lessee_run (struct lessee *lessee, uint64_t now_ns,
                const struct message_link *link);

/** Gives back all slots but those busy; used when draining. */
void lessee_drain (struct lessee *lessee);

#endif
