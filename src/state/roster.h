/**
 * @file roster.h
 * Upstreams as they announce themselves: each life of one is an entry of its
 * own, with what is known of its load and how it has treated attempts.
 * Entries that the store lost in an outage stay usable for a while, since a
 * living upstream comes back by itself.
 */
#ifndef STATE_ROSTER_H
#define STATE_ROSTER_H

#include "state/outlier.h"
#include "state/portion.h"
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <uthash.h>

#define ROSTER_IDENTITY_SIZE 128 /**< bytes of an identity with its NUL */
#define ROSTER_ADDRESS_SIZE  64  /**< bytes of "IP:PORT" with its NUL */
#define ROSTER_CHANGED       1   /**< roster_put: others must know */
#define ROSTER_ZONE_SIZE     64  /**< bytes of a zone with its NUL */
#define ROSTER_GONE_MS                                                        \
  60000 /**< older news may come so late, from an instance that was stopped   \
         */

/** What an upstream announces. */
struct roster_record
{
  char identity[ROSTER_IDENTITY_SIZE];
  uint64_t born_ms; /**< Unix time of its start; 0 when not told */
  char address[ROSTER_ADDRESS_SIZE];
  char availability_zone[ROSTER_ZONE_SIZE];
  uint64_t service_id;
  uint32_t slots;
  bool draining;
  uint64_t revision; /**< of the store */
};

/** Load of an upstream, from all that tell of it. */
struct roster_load
{
  uint32_t running;       /**< this instance's requests there */
  uint64_t unread_tokens; /**< of prompts of those that have not begun */
  uint32_t peer_running;  /**< requests of other instances there */
  uint64_t peer_unread_tokens;
  uint64_t wanted_tokens; /**< of prompts that wait here for it */
  uint64_t peer_wanted_tokens;
  uint32_t told_running; /**< as it said itself, over all callers */
  uint32_t told_waiting;
  uint64_t told_ns; /**< when it said so; 0: never */
};

struct roster_upstream
{
  uint64_t id; /**< of this life: identity and time of birth */
  struct roster_record record;
  struct roster_load load;
  struct outlier outlier;
  struct portion portion;
  bool seen;              /**< in the listing being read */
  uint64_t missing_ns;    /**< since when the store lacks it; 0: it is there */
  uint64_t grace_ns;      /**< how long it may be missing */
  uint64_t gone_revision; /**< as of which the store lacks it */
  UT_hash_handle hh;      /**< by identity */
  UT_hash_handle hh_id;
};

/** An identity that has gone: what was said of it before is stale. */
struct roster_gone
{
  uint64_t identity; /**< hash */
  uint64_t revision; /**< of the store when it lacked it */
  uint64_t since_ns;
  UT_hash_handle hh;
};

struct roster
{
  struct roster_upstream *upstreams; /**< uthash by identity */
  struct roster_upstream *by_id;
  struct roster_gone *gone;
  uint64_t listed_revision; /**< of the newest whole listing */
  uint64_t generation;      /**< changes with the set of usable upstreams */
  /** Called when an entry goes; may be NULL. */
  void (*removed) (void *user, const struct roster_upstream *upstream);
  void *user;
};

void roster_init (struct roster *roster);
void roster_finish (struct roster *roster);

/** Notes what an upstream announced; news from before what is known of it, or
    from before it went, change nothing.
    @return ROSTER_CHANGED when others must know, 0 when only its revision or
    nothing is new, ERR_STALE or ERR_NO_MEMORY. */
int roster_put (struct roster *roster, const struct roster_record *record);

/** The store lacks an identity as of a revision; the entry goes after
    `grace_ns`, at once for 0 or when it was draining. */
void roster_drop (struct roster *roster, const char *identity,
                  uint64_t revision, uint64_t grace_ns, uint64_t now_ns);

/** Around a whole listing: entries not put in between are dropped. */
void roster_listing_begin (struct roster *roster);
void roster_listing_end (struct roster *roster, uint64_t revision,
                         uint64_t grace_ns, uint64_t now_ns);

/** Removes entries whose grace has passed, and forgets what went long ago. */
void roster_age (struct roster *roster, uint64_t now_ns);

/** NULL once it is gone. */
struct roster_upstream *roster_find (const struct roster *roster, uint64_t id);
/** Tokens that it has yet to read, for all instances. */
uint64_t roster_ahead_tokens (const struct roster_upstream *upstream);
/** Prompts begin to wait for it, or do no more.  An entry that went and came
    back in between knows nothing of them. */
void roster_want (struct roster_upstream *upstream, uint64_t tokens);
void roster_unwant (struct roster_upstream *upstream, uint64_t tokens);
/** True when it takes new requests. */
bool roster_usable (const struct roster_upstream *upstream,
                    uint64_t service_id);

#endif
