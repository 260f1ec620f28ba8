/**
 * @file quarantine.h
 * Requests, and parts of prompts, under which upstreams crash.  A crash breaks
 * off all requests at the upstream, so one crash says little about each.  A
 * request or part that was in several crashes, and in no response since the
 * first of them, is held: it is refused, and so are requests with the part.
 *
 * No instance sees all crashes, so the evidence is exchanged.  It merges in
 * any order and any number of times: an entry has a generation, which a
 * response raises, and for each upstream the number of crashes in that
 * generation.  The higher generation replaces the lower one; within one, the
 * higher number of each upstream counts.
 *
 * What is held is tried again by single requests of the whole fleet, after
 * longer and longer pauses and a few times only; who may send one is decided
 * outside, by a write to the store that succeeds once.
 */
#ifndef STATE_QUARANTINE_H
#define STATE_QUARANTINE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <uthash.h>

#define QUARANTINE_CRASH_LIMIT 4 /**< crashes from which a part is held */
#define QUARANTINE_REQUEST_CRASH_LIMIT                                        \
  3 /**< crashes from which a request is held: small services have no more    \
       upstreams, and each crash shows far fewer requests than parts */
#define QUARANTINE_REQUEST       0 /**< in place of a service: a request */
#define QUARANTINE_UPSTREAMS_MAX 8 /**< upstreams counted for an entry */
#define QUARANTINE_TRIALS_MAX    2 /**< single requests sent while it is held */

struct quarantine_key
{
  uint64_t service_id; /**< of the part; or QUARANTINE_REQUEST */
  uint64_t subject;    /**< identifier of the part; or digest of the request */
};

/** What is exchanged: the crashes of one upstream; or, with upstream_id 0,
    the generation and the trials of an entry only. */
struct quarantine_row
{
  struct quarantine_key key;
  uint32_t generation;
  uint32_t trials;
  uint64_t upstream_id;
  uint32_t crashes;
};

struct quarantine_crashes
{
  uint64_t upstream_id;
  uint32_t count;
  uint64_t
      counted_ns; /**< when this instance counted the last one; 0: never */
};

struct quarantine_entry
{
  struct quarantine_key key;
  uint32_t generation;
  uint32_t trials; /**< sent so far by the fleet, in this generation */
  struct quarantine_crashes crashes[QUARANTINE_UPSTREAMS_MAX];
  uint32_t upstream_count;
  uint64_t crash_ns;     /**< when the last crash became known */
  uint64_t held_ns;      /**< held from then on; 0: not held */
  uint64_t trial_ns;     /**< next trial from then on */
  bool trial_asked;      /**< a write that decides on a trial is in progress */
  uint64_t trial_end_ns; /**< this instance may send the trial until then; 0:
                              it may not */
  bool stored;           /**< the store has its entry */
  uint64_t store_ns;     /**< earliest next write of its entry */
  uint64_t sequence;     /**< of its last change; see quarantine_rows() */
  uint64_t local_sequence; /**< same, of changes made here or by
                               an instance that this one is a hub of */
  UT_hash_handle hh;
};

struct quarantine
{
  struct quarantine_entry *entries; /**< uthash by key, last changed last */
  uint32_t request_count;           /**< entries of requests */
  struct quarantine_success *successes; /**< private */
  uint64_t sequence;                    /**< of the last change */
  bool relayed; /**< private: a hub has told the change that is being merged */
  /** Called when an entry is held or released; may be NULL. */
  void (*changed) (void *user, const struct quarantine_entry *entry);
  void *user;
};

void quarantine_init (struct quarantine *quarantine);
void quarantine_finish (struct quarantine *quarantine);

/** An upstream broke a request off, or ended, before it began to respond.
    Subjects that were in a response a short time ago are not counted.
    @param subjects  parts of its prompt; or its digest, with
                     QUARANTINE_REQUEST for the service. */
void quarantine_record_crash (struct quarantine *quarantine,
                              uint64_t service_id, const uint64_t *subjects,
                              size_t count, uint64_t upstream_id,
                              uint64_t now_ns);
/** An upstream responded to a request with these subjects. */
void quarantine_record_response (struct quarantine *quarantine,
                                 uint64_t service_id, const uint64_t *subjects,
                                 size_t count, uint64_t now_ns);

/** The held one of these subjects; NULL if none is. */
struct quarantine_entry *quarantine_find_held (struct quarantine *quarantine,
                                               uint64_t service_id,
                                               const uint64_t *subjects,
                                               size_t count, uint64_t now_ns);
/** Most crashes of one of these subjects, held or not. */
uint32_t quarantine_crashes (const struct quarantine *quarantine,
                             uint64_t service_id, const uint64_t *subjects,
                             size_t count);
/** Number of held entries. */
uint32_t quarantine_held_count (const struct quarantine *quarantine,
                                uint64_t now_ns);

/** Whether the fleet may decide on another trial of a held entry now. */
bool quarantine_trial_due (const struct quarantine_entry *entry,
                           uint64_t now_ns);
/** A trial was decided on. @param own  by this instance, which sends it. */
void quarantine_start_trial (struct quarantine *quarantine,
                             struct quarantine_entry *entry, bool own,
                             uint64_t now_ns);
/** Takes the trial that this instance may send. @return whether there is one.
 */
bool quarantine_take_trial (struct quarantine_entry *entry, uint64_t now_ns);

/** Gives a trial back that was taken but not sent. */
void quarantine_return_trial (struct quarantine_entry *entry, uint64_t now_ns);

/** Entry of a subject; NULL if nothing is known of it. */
struct quarantine_entry *quarantine_find (const struct quarantine *quarantine,
                                          const struct quarantine_key *key);
/** Merges what another instance or the store has.
    @param from_hub  a hub sent it, which sends it to all other hubs, too. */
void quarantine_merge (struct quarantine *quarantine,
                       const struct quarantine_row *row, bool from_hub,
                       uint64_t now_ns);
/** Rows of the entries that changed after a sequence number.
    @param local     only changes made here or by a subscriber.
    @param rows      room for `max`.
    @param sequence  the number; set to that of the last entry in `rows`.
    @return the number of rows. */
size_t quarantine_rows (const struct quarantine *quarantine, bool local,
                        uint64_t *sequence, struct quarantine_row *rows,
                        size_t max);

/** Forgets old evidence, and releases what has been held for long. */
void quarantine_expire (struct quarantine *quarantine, uint64_t now_ns);

#endif
