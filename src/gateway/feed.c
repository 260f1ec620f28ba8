/**
 * @file feed.c
 * Watches keys of the store.
 */
#include "gateway/feed.h"
#include "state/err.h"
#include <stdio.h>
#include <string.h>

#define BACKOFF_MIN_MS 100 /* after the first failure: a few round trips */
#define BACKOFF_MAX_MS 800 /* the end of an outage is seen within a second */

static void on_timer (evutil_socket_t fd, short what, void *arg);
static void schedule (struct feed *feed, uint64_t delay_ms);
static void start_call (struct feed *feed);
static void on_page (void *user, int error, const struct platform_page *page);
static void on_failure (struct feed *feed, int error);
static void on_success (struct feed *feed);
static void handle_listing (struct feed *feed,
                            const struct platform_page *page);
static void handle_changes (struct feed *feed,
                            const struct platform_page *page);

int
feed_init (struct feed *feed, const struct feed_config *config)
{
  memset (feed, 0, sizeof *feed);
  feed->config = *config;
  rng_init (&feed->rng, config->seed);
  feed->timer = event_new (config->base, -1, 0, on_timer, feed);
  if (feed->timer == NULL)
    return ERR_NO_MEMORY;
  feed->paused = config->paused;
  if (!feed->paused)
    schedule (feed, config->delay_ms);
  return 0;
}

void
feed_finish (struct feed *feed)
{
  if (feed->timer != NULL)
    event_free (feed->timer);
  feed->timer = NULL;
}

void
feed_pause (struct feed *feed)
{
  feed->paused = true;
  feed->discard_response = feed->call_pending;
  feed->phase = FEED_LISTING;
  feed->page_after_key[0] = '\0';
  feed->failed_ns = 0;
  event_del (feed->timer);
}

void
feed_resume (struct feed *feed)
{
  if (!feed->paused)
    return;
  feed->paused = false;
  /* A pending call schedules the next one when it completes. */
  if (!feed->call_pending)
    schedule (feed, 0);
}

bool
feed_held (const struct feed *feed)
{
  return feed->index != 0;
}

uint64_t
feed_age_ns (const struct feed *feed)
{
  uint64_t now_ns = clock_now_ns (feed->config.clock);

  /* While a long poll is pending without an error there are no changes, so the
     state is current; after a failure nothing is known. */
  return feed->failed_ns == 0 ? 0 : now_ns - feed->last_success_ns;
}

static void
schedule (struct feed *feed, uint64_t delay_ms)
{
  const struct timeval delay = clock_timeval ((uint32_t)delay_ms);

  event_add (feed->timer, &delay);
}

static void
on_timer (evutil_socket_t fd, short what, void *arg)
{
  (void)fd;
  (void)what;
  start_call (arg);
}

static void
start_call (struct feed *feed)
{
  const struct feed_config *config = &feed->config;
  struct platform *platform = config->platform;
  int error;

  if (feed->call_pending)
    return;
  feed->call_pending = true;
  feed->call_start_ns = clock_now_ns (config->clock);
  if (feed->phase == FEED_LISTING)
    error = platform->ops->range (
        platform, config->prefix,
        feed->page_after_key[0] == '\0' ? NULL : feed->page_after_key, false,
        on_page, feed);
  else
    /* During an outage a long poll could delay detection of its end. */
    error = platform->ops->changes (platform, config->prefix, feed->index,
                                    feed->failed_ns == 0 ? config->wait_ms : 0,
                                    on_page, feed);
  if (error != 0)
    on_page (feed, error, NULL);
}

static void
on_page (void *user, int error, const struct platform_page *page)
{
  struct feed *feed = user;
  uint64_t spent_ms = (clock_now_ns (feed->config.clock) - feed->call_start_ns)
                      / CLOCK_NS_PER_MS;

  feed->call_pending = false;
  if (feed->discard_response)
    {
      feed->discard_response = false;
      if (!feed->paused)
        schedule (feed, 0);
      return;
    }
  if (error == ERR_STALE && feed->phase == FEED_FOLLOWING)
    {
      /* The store has discarded the history since `index`; this is no failure
         of the store. */
      feed->phase = FEED_LISTING;
      feed->page_after_key[0] = '\0';
      schedule (feed, rng_below (&feed->rng, BACKOFF_MIN_MS));
      return;
    }
  if (error != 0)
    {
      on_failure (feed, error);
      return;
    }
  on_success (feed);
  if (feed->phase == FEED_LISTING)
    handle_listing (feed, page);
  else
    handle_changes (feed, page);
  if (feed->phase == FEED_LISTING || spent_ms >= feed->config.pace_ms)
    schedule (feed, 0);
  else
    schedule (feed, feed->config.pace_ms - spent_ms);
}

static void
on_failure (struct feed *feed, int error)
{
  uint32_t backoff_ms
      = feed->backoff_ms == 0 ? BACKOFF_MIN_MS : feed->backoff_ms * 2;

  feed->backoff_ms = backoff_ms > BACKOFF_MAX_MS ? BACKOFF_MAX_MS : backoff_ms;
  if (feed->failed_ns == 0)
    {
      feed->failed_ns = clock_now_ns (feed->config.clock);
      feed->config.events->failed (feed->config.user, error);
    }
  /* An interrupted listing restarts from its first page. */
  feed->page_after_key[0] = '\0';
  schedule (feed, feed->backoff_ms / 2
                      + rng_below (&feed->rng, feed->backoff_ms / 2 + 1));
}

static void
on_success (struct feed *feed)
{
  uint64_t failed_ns = feed->failed_ns;

  feed->last_success_ns = feed->call_start_ns;
  feed->backoff_ms = 0;
  feed->failed_ns = 0;
  if (failed_ns != 0)
    feed->config.events->recovered (
        feed->config.user, clock_now_ns (feed->config.clock) - failed_ns);
}

static void
handle_listing (struct feed *feed, const struct platform_page *page)
{
  const struct feed_config *config = &feed->config;
  size_t i;

  if (feed->page_after_key[0] == '\0')
    {
      /* Pages are not read atomically: changes made in between are reported by
         watching from the index of the first page. */
      feed->listing_index = page->index;
      config->events->listing_begin (config->user);
    }
  for (i = 0; i < page->count; i++)
    config->events->item (config->user, &page->items[i]);
  if (page->more && page->count > 0)
    {
      snprintf (feed->page_after_key, sizeof feed->page_after_key, "%s",
                page->items[page->count - 1].key);
      return;
    }
  feed->page_after_key[0] = '\0';
  feed->index = feed->listing_index;
  feed->phase = FEED_FOLLOWING;
  config->events->listing_end (config->user, feed->listing_index);
}

static void
handle_changes (struct feed *feed, const struct platform_page *page)
{
  const struct feed_config *config = &feed->config;
  size_t i;

  for (i = 0; i < page->count; i++)
    config->events->item (config->user, &page->items[i]);
  if (page->index > feed->index)
    feed->index = page->index;
}
