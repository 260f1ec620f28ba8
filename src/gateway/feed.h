/**
 * @file feed.h
 * Follows the keys under a prefix of the platform's store: lists them once,
 * then asks for changes, and lists again when the store no longer knows what
 * has changed.  Calls are paced, so that changes that come fast are told
 * together; after a failure they are repeated ever more slowly.
 */
#ifndef GATEWAY_FEED_H
#define GATEWAY_FEED_H

#include "protocol/platform.h"
#include "state/rng.h"
#include "transport/clock.h"
#include <event2/event.h>
#include <stdbool.h>
#include <stdint.h>

struct feed_events
{
  /** A whole listing begins; keys not told before its end are absent. */
  void (*listing_begin) (void *user);
  void (*listing_end) (void *user, uint64_t index);
  /** A key as it is now; its value is NULL when it was deleted. */
  void (*item) (void *user, const struct platform_item *item);
  /** The store failed, or answers again after `outage_ns`. */
  void (*failed) (void *user, int error);
  void (*recovered) (void *user, uint64_t outage_ns);
};

struct feed_config
{
  struct event_base *base;
  const struct clock *clock;
  struct platform *platform;
  const char *prefix;
  uint32_t pace_ms;  /**< from the start of a call to that of the next */
  uint32_t wait_ms;  /**< how long a call waits for a change, but after a
                          failed one, which is followed by a short call */
  bool paused;       /**< starts when resumed */
  uint32_t delay_ms; /**< until the first call */
  uint64_t seed;     /**< of the jitter */
  const struct feed_events *events;
  void *user;
};

enum feed_phase
{
  FEED_LISTING,
  FEED_FOLLOWING
};

struct feed
{
  struct feed_config config;
  struct event *timer;
  struct rng rng;
  enum feed_phase phase;
  bool calling;
  bool paused;
  bool outdated;        /**< the call in progress began before a pause */
  char after[256];      /**< last key of the page before */
  uint64_t list_index;  /**< of the first page of the listing */
  uint64_t index;       /**< changes after it are still to come */
  uint64_t start_ns;    /**< of the last call */
  uint64_t failed_ns;   /**< since when calls fail; 0: they do not */
  uint64_t answered_ns; /**< start of the last call that was answered */
  uint32_t backoff_ms;
};

/** Starts at once unless paused. @return 0 or ERR_NO_MEMORY. */
int feed_init (struct feed *feed, const struct feed_config *config);
/** Finish the platform first: it may still call back. */
void feed_finish (struct feed *feed);

/** Makes no further calls, and forgets what was read, until resumed. */
void feed_pause (struct feed *feed);
void feed_resume (struct feed *feed);

/** True once a listing has been told whole. */
bool feed_held (const struct feed *feed);
/** How old what it told may be: time since a call that was answered began. */
uint64_t feed_age_ns (const struct feed *feed);

#endif
