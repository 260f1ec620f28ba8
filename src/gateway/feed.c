/**
 * @file feed.c
 * Following keys of the store.
 */
#include "gateway/feed.h"
#include "state/err.h"
#include <stdio.h>
#include <string.h>

#define BACKOFF_MIN_MS 100 /* after a first failure; a few round trips */
#define BACKOFF_MAX_MS 800 /* an outage's end is seen within a second */

static void on_timer (evutil_socket_t fd, short what, void *arg);
static void schedule (struct feed *feed, uint64_t delay_ms);
static void call (struct feed *feed);
static void on_page (void *user, int error, const struct platform_page *page);
static void on_failure (struct feed *feed, int error);
static void on_answer (struct feed *feed);
static void take_listing (struct feed *feed, const struct platform_page *page);
static void take_changes (struct feed *feed, const struct platform_page *page);

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
  feed->outdated = feed->calling;
  feed->phase = FEED_LISTING;
  feed->after[0] = '\0';
  feed->failed_ns = 0;
  event_del (feed->timer);
}

void
feed_resume (struct feed *feed)
{
  if (!feed->paused)
    return;
  feed->paused = false;
  /* A call that is still on its way starts the next one when it ends. */
  if (!feed->calling)
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

  /* A call that waits for changes says with its silence that there are none;
     one that has failed since says nothing. */
  return feed->failed_ns == 0 ? 0 : now_ns - feed->answered_ns;
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
  call (arg);
}

static void
call (struct feed *feed)
{
  const struct feed_config *config = &feed->config;
  struct platform *platform = config->platform;
  int error;

  if (feed->calling)
    return;
  feed->calling = true;
  feed->start_ns = clock_now_ns (config->clock);
  if (feed->phase == FEED_LISTING)
    error = platform->ops->range (platform, config->prefix,
                                  feed->after[0] == '\0' ? NULL : feed->after,
                                  false, on_page, feed);
  else
    /* While the store is silent a long wait would outlast the outage. */
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
  uint64_t spent_ms
      = (clock_now_ns (feed->config.clock) - feed->start_ns) / CLOCK_NS_PER_MS;

  feed->calling = false;
  if (feed->outdated)
    {
      feed->outdated = false;
      if (!feed->paused)
        schedule (feed, 0);
      return;
    }
  if (error == ERR_STALE && feed->phase == FEED_FOLLOWING)
    {
      /* The history does not go back that far: an answer all the same. */
      feed->phase = FEED_LISTING;
      feed->after[0] = '\0';
      schedule (feed, rng_below (&feed->rng, BACKOFF_MIN_MS));
      return;
    }
  if (error != 0)
    {
      on_failure (feed, error);
      return;
    }
  on_answer (feed);
  if (feed->phase == FEED_LISTING)
    take_listing (feed, page);
  else
    take_changes (feed, page);
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
  /* A listing that was cut in its middle begins anew. */
  feed->after[0] = '\0';
  schedule (feed, feed->backoff_ms / 2
                      + rng_below (&feed->rng, feed->backoff_ms / 2 + 1));
}

static void
on_answer (struct feed *feed)
{
  uint64_t failed_ns = feed->failed_ns;

  feed->answered_ns = feed->start_ns;
  feed->backoff_ms = 0;
  feed->failed_ns = 0;
  if (failed_ns != 0)
    feed->config.events->recovered (
        feed->config.user, clock_now_ns (feed->config.clock) - failed_ns);
}

static void
take_listing (struct feed *feed, const struct platform_page *page)
{
  const struct feed_config *config = &feed->config;
  size_t i;

  if (feed->after[0] == '\0')
    {
      /* Pages are not read at one moment: what changes meanwhile is told
         again from the first page's index on. */
      feed->list_index = page->index;
      config->events->listing_begin (config->user);
    }
  for (i = 0; i < page->count; i++)
    config->events->item (config->user, &page->items[i]);
  if (page->more && page->count > 0)
    {
      snprintf (feed->after, sizeof feed->after, "%s",
                page->items[page->count - 1].key);
      return;
    }
  feed->after[0] = '\0';
  feed->index = feed->list_index;
  feed->phase = FEED_FOLLOWING;
  config->events->listing_end (config->user, feed->list_index);
}

static void
take_changes (struct feed *feed, const struct platform_page *page)
{
  const struct feed_config *config = &feed->config;
  size_t i;

  for (i = 0; i < page->count; i++)
    config->events->item (config->user, &page->items[i]);
  if (page->index > feed->index)
    feed->index = page->index;
}
