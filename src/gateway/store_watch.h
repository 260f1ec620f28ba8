/**
 * @file store_watch.h
 * Watches the keys under a prefix of the platform's store: lists them once,
 * then long-polls for changes, and lists again when the store has discarded
 * the change history or was restored from a copy.  Calls have a minimum
 * interval, so that a burst of changes is reported in one batch; failed calls
 * are retried with exponential backoff and jitter.  A long poll whose response
 * is overdue may have lost it while the store answers again: one call that
 * does not wait is made beside it, and the first response to either counts.
 */
#ifndef GATEWAY_STORE_WATCH_H
#define GATEWAY_STORE_WATCH_H

#include "protocol/kvstore.h"
#include "state/rng.h"
#include "transport/clock.h"
#include <event2/event.h>
#include <stdbool.h>
#include <stdint.h>

struct store_watch_events
{
  /** A complete listing begins; keys not reported before its end do not
      exist. */
  void (*listing_begin) (void *user);
  void (*listing_end) (void *user, const struct store_position *position);
  /** Current state of a key; the value is NULL when it was deleted. */
  void (*item) (void *user, const struct kvstore_item *item);
  /** The first call of an outage failed. */
  void (*failed) (void *user, int error);
  /** A call succeeded after failures that began `outage_ns` ago. */
  void (*recovered) (void *user, uint64_t outage_ns);
  /** The store was restored from a copy: changes up to `lost` that were
      reported may be undone, and a new listing follows.  May be NULL. */
  void (*restored) (void *user, const struct store_position *lost);
};

struct store_watch_config
{
  struct event_base *base;
  const struct clock *clock;
  struct kvstore *kvstore;
  const char *prefix;
  uint32_t min_interval_ms; /**< between the starts of two calls */
  /** How long the store may hold a long poll until a key changes; the call
      after a failed one uses 0. */
  uint32_t poll_timeout_ms;
  bool paused;       /**< makes no calls until store_watch_resume */
  uint32_t delay_ms; /**< delay of the first call */
  uint64_t seed;     /**< seed of the jitter */
  const struct store_watch_events *events;
  void *user;
};

enum store_watch_phase
{
  STORE_WATCH_LISTING,
  STORE_WATCH_WATCHING
};

struct store_watch_call;

struct store_watch
{
  struct store_watch_config config;
  struct event *timer;
  struct rng rng;
  enum store_watch_phase phase;
  struct store_watch_call *calls; /**< pending ones, also those that a pause
                                       has made obsolete; private */
  struct store_watch_call *call;  /**< the one that counts; NULL: none */
  /** Made beside it because its response is overdue, or to confirm the state;
      counts too. */
  struct store_watch_call *second;
  bool paused;
  char page_after_key[256];               /**< last key of the previous page */
  struct store_position listing_position; /**< of the listing's first page */
  struct store_position position; /**< up to which changes were reported */
  struct digits restored_era; /**< newest for which `restored` was called */
  uint64_t failed_ns;         /**< first of the current failures; 0: none */
  uint64_t confirmed_ns; /**< what was reported is the state at this time */
  uint32_t backoff_ms;
  uint32_t oversized_ms;   /**< longest delay after the last response that was
                                too large; 0: changes were read since */
  uint32_t backoff_min_ms; /**< after the first failure */
  uint32_t backoff_max_ms;
};

/** Schedules the first call unless paused. @return 0 or ERR_NO_MEMORY. */
int store_watch_init (struct store_watch *watch,
                      const struct store_watch_config *config);
/** The store must be finished first: it may still invoke the callback. */
void store_watch_finish (struct store_watch *watch);

/** Lists and watches another prefix from the next call on; the caller keeps
   the string. */
void store_watch_set_prefix (struct store_watch *watch, const char *prefix);
/** Sets the bounds of the pause after failed calls. */
void store_watch_set_backoff (struct store_watch *watch, uint32_t min_ms,
                              uint32_t max_ms);

/** Makes no further calls until resumed, which then lists all keys again. */
void store_watch_pause (struct store_watch *watch);
void store_watch_resume (struct store_watch *watch);

/** The default bounds of store_watch_set_backoff(). */
#define STORE_WATCH_BACKOFF_MIN_MS 100 /**< a few round trips */
#define STORE_WATCH_BACKOFF_MAX_MS                                            \
  800 /**< the end of an outage is seen within a second */

/** The response to a long poll is overdue this long after the time for which
    the store may hold it: far longer than a response normally takes. */
#define STORE_WATCH_OVERDUE_MS 500

/** Whether a listing was completed since the watch was last paused, and no
    call has failed since. */
bool store_watch_current (const struct store_watch *watch);
/** Upper bound of the age of the reported state.  A pending call does not make
    it newer: its response may be lost. */
uint64_t store_watch_age_ns (const struct store_watch *watch);
/** Whether the response to a long poll is overdue. */
bool store_watch_overdue (const struct store_watch *watch);
/** Makes a call that does not wait, beside a pending long poll or before the
    next one, if there is none yet; a response without changes only renews
    `confirmed_ns`. */
void store_watch_confirm (struct store_watch *watch);

#endif
