/**
 * @file feed.h
 * Watches the keys under a prefix of the platform's store: lists them once,
 * then long-polls for changes, and lists again when the store has discarded
 * the change history.  Calls have a minimum interval, so that a burst of
 * changes is reported in one batch; failed calls are retried with exponential
 * backoff and jitter.
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
  /** A complete listing begins; keys not reported before its end do not
      exist. */
  void (*listing_begin) (void *user);
  void (*listing_end) (void *user, uint64_t index);
  /** Current state of a key; the value is NULL when it was deleted. */
  void (*item) (void *user, const struct platform_item *item);
  /** The first call of an outage failed. */
  void (*failed) (void *user, int error);
  /** A call succeeded after failures that began `outage_ns` ago. */
  void (*recovered) (void *user, uint64_t outage_ns);
};

struct feed_config
{
  struct event_base *base;
  const struct clock *clock;
  struct platform *platform;
  const char *prefix;
  uint32_t pace_ms;  /**< minimum time between the starts of two calls */
  uint32_t wait_ms;  /**< long-poll timeout; the call after a failed one
                          does not wait */
  bool paused;       /**< makes no calls until feed_resume */
  uint32_t delay_ms; /**< delay of the first call */
  uint64_t seed;     /**< seed of the jitter */
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
  bool call_pending;
  bool paused;
  bool discard_response;    /**< the pending call began before a pause */
  char page_after_key[256]; /**< last key of the previous page */
  uint64_t listing_index;   /**< index of the listing's first page */
  uint64_t index;         /**< store index up to which changes were reported */
  uint64_t call_start_ns; /**< start of the last call */
  uint64_t failed_ns;     /**< first of the current failures; 0: none */
  uint64_t last_success_ns; /**< start of the last successful call */
  uint32_t backoff_ms;
};

/** Schedules the first call unless paused. @return 0 or ERR_NO_MEMORY. */
int feed_init (struct feed *feed, const struct feed_config *config);
/** The platform must be finished first: it may still invoke the callback. */
void feed_finish (struct feed *feed);

/** Makes no further calls until resumed, which then lists all keys again. */
void feed_pause (struct feed *feed);
void feed_resume (struct feed *feed);

/** Whether a listing has been completed. */
bool feed_held (const struct feed *feed);
/** Upper bound of the age of the reported state: 0 while calls succeed,
    otherwise the time since the last successful call began. */
uint64_t feed_age_ns (const struct feed *feed);

#endif
