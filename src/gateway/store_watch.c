/**
 * @file store_watch.c
 * Watches keys of the store.
 */
#include "gateway/store_watch.h"
#include "state/err.h"
#include "transport/loop.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#define RELIST_JITTER_MS 100 /* all watches of a fleet list again at once */
/* The most between two listings because of responses that are too large. */
#define OVERSIZED_DELAY_MAX_MS 1600
/* Jitter within STORE_WATCH_OVERDUE_MS: watches of a fleet that read the same
   change are overdue at once. */
#define OVERDUE_JITTER_MS 100

/** A call that has not been answered. */
struct store_watch_call
{
  struct store_watch *watch;
  uint64_t start_ns;
  uint32_t wait_ms; /**< for which the store may hold it */
  struct store_watch_call *prev;
  struct store_watch_call *next;
};

static void on_timer (evutil_socket_t fd, short what, void *arg);
static void schedule (struct store_watch *watch, uint64_t delay_ms);
static void start_call (struct store_watch *watch,
                        struct store_watch_call **slot);
static void on_page (void *user, int error, const struct kvstore_page *page);
static bool check_era (struct store_watch *watch, const struct digits *era);
static void forget_calls (struct store_watch *watch);
static void list_again (struct store_watch *watch, uint64_t delay_ms);
static uint64_t relist_delay_ms (struct store_watch *watch);
static uint64_t oversized_delay_ms (struct store_watch *watch);
static void on_failure (struct store_watch *watch, int error);
static void on_success (struct store_watch *watch, uint64_t confirmed_ns);
static uint64_t answered_ns (const struct store_watch *watch,
                             const struct store_watch_call *call,
                             const struct kvstore_page *page);
static bool is_confirmation (const struct store_watch *watch,
                             const struct store_watch_call *call,
                             const struct kvstore_page *page);
static void confirm (struct store_watch *watch, uint64_t confirmed_ns);
static void handle_listing (struct store_watch *watch,
                            const struct kvstore_page *page);
static void handle_changes (struct store_watch *watch,
                            const struct kvstore_page *page);

int
store_watch_init (struct store_watch *watch,
                  const struct store_watch_config *config)
{
  memset (watch, 0, sizeof *watch);
  watch->config = *config;
  watch->backoff_min_ms = STORE_WATCH_BACKOFF_MIN_MS;
  watch->backoff_max_ms = STORE_WATCH_BACKOFF_MAX_MS;
  rng_init (&watch->rng, config->seed);
  watch->timer = event_new (config->base, -1, 0, on_timer, watch);
  if (watch->timer == NULL)
    return ERR_NO_MEMORY;
  loop_set_control (watch->timer);
  watch->paused = config->paused;
  if (!watch->paused)
    schedule (watch, config->delay_ms);
  return 0;
}

void
store_watch_finish (struct store_watch *watch)
{
  struct store_watch_call *call = watch->calls;
  struct store_watch_call *next;

  for (; call != NULL; call = next)
    {
      next = call->next;
      free (call);
    }
  watch->calls = NULL;
  forget_calls (watch);
  if (watch->timer != NULL)
    event_free (watch->timer);
  watch->timer = NULL;
}

void
store_watch_pause (struct store_watch *watch)
{
  watch->paused = true;
  forget_calls (watch);
  watch->phase = STORE_WATCH_LISTING;
  watch->page_after_key[0] = '\0';
  watch->failed_ns = 0;
  event_del (watch->timer);
}

void
store_watch_resume (struct store_watch *watch)
{
  if (!watch->paused)
    return;
  watch->paused = false;
  schedule (watch, 0);
}

void
store_watch_set_prefix (struct store_watch *watch, const char *prefix)
{
  watch->config.prefix = prefix;
  forget_calls (watch);
  watch->phase = STORE_WATCH_LISTING;
  watch->page_after_key[0] = '\0';
  if (!watch->paused)
    schedule (watch, 0);
}

void
store_watch_set_backoff (struct store_watch *watch, uint32_t min_ms,
                         uint32_t max_ms)
{
  watch->backoff_min_ms = min_ms;
  watch->backoff_max_ms = max_ms;
}

bool
store_watch_current (const struct store_watch *watch)
{
  return !watch->paused && watch->phase == STORE_WATCH_WATCHING
         && watch->failed_ns == 0;
}

uint64_t
store_watch_age_ns (const struct store_watch *watch)
{
  return clock_now_ns (watch->config.clock) - watch->confirmed_ns;
}

bool
store_watch_overdue (const struct store_watch *watch)
{
  const struct store_watch_call *call = watch->call;

  return call != NULL
         && clock_now_ns (watch->config.clock) - call->start_ns
                >= (call->wait_ms + STORE_WATCH_OVERDUE_MS) * CLOCK_NS_PER_MS;
}

void
store_watch_confirm (struct store_watch *watch)
{
  if (store_watch_current (watch))
    start_call (watch, &watch->second);
}

static void
schedule (struct store_watch *watch, uint64_t delay_ms)
{
  const struct timeval delay = clock_timeval ((uint32_t)delay_ms);

  event_add (watch->timer, &delay);
}

/* The timer is that of the next call or, while a long poll is pending, that of
   the one beside it. */
static void
on_timer (evutil_socket_t fd, short what, void *arg)
{
  struct store_watch *watch = arg;

  (void)fd;
  (void)what;
  start_call (watch, watch->call == NULL ? &watch->call : &watch->second);
}

/* The response to a pending call is ignored from now on. */
static void
forget_calls (struct store_watch *watch)
{
  watch->call = watch->second = NULL;
}

static void
start_call (struct store_watch *watch, struct store_watch_call **slot)
{
  const struct store_watch_config *config = &watch->config;
  struct kvstore *store = config->kvstore;
  struct store_watch_call *call;
  /* During an outage, or beside a call that is overdue, a long poll could
     delay detection of the outage's end. */
  uint32_t poll_timeout_ms = watch->failed_ns == 0 && slot == &watch->call
                                 ? config->poll_timeout_ms
                                 : 0;
  int error;

  if (*slot != NULL)
    return;
  call = calloc (1, sizeof *call);
  if (call == NULL)
    {
      forget_calls (watch);
      on_failure (watch, ERR_NO_MEMORY);
      return;
    }
  call->watch = watch;
  call->start_ns = clock_now_ns (config->clock);
  call->wait_ms = watch->phase == STORE_WATCH_WATCHING ? poll_timeout_ms : 0;
  DL_APPEND (watch->calls, call);
  *slot = call;
  if (watch->phase == STORE_WATCH_WATCHING && poll_timeout_ms > 0)
    schedule (watch, poll_timeout_ms + STORE_WATCH_OVERDUE_MS
                         - rng_below (&watch->rng, OVERDUE_JITTER_MS));
  if (watch->phase == STORE_WATCH_LISTING)
    error = store->ops->list_page (
        store, config->prefix,
        watch->page_after_key[0] == '\0' ? NULL : watch->page_after_key, false,
        on_page, call);
  else
    error = store->ops->watch_changes (store, config->prefix, &watch->position,
                                       poll_timeout_ms, on_page, call);
  if (error != 0)
    on_page (call, error, NULL);
}

/* The first response to a call or to the one beside it counts, be it an
   error. */
static void
on_page (void *user, int error, const struct kvstore_page *page)
{
  struct store_watch_call *call = user;
  struct store_watch *watch = call->watch;
  bool current = call == watch->call || call == watch->second;
  bool confirms = error == 0 && is_confirmation (watch, call, page);
  uint64_t confirmed_ns = error == 0 ? answered_ns (watch, call, page) : 0;
  uint64_t spent_ms = (clock_now_ns (watch->config.clock) - call->start_ns)
                      / CLOCK_NS_PER_MS;
  bool continues;

  DL_DELETE (watch->calls, call);
  free (call);
  if (!current)
    return;
  if (confirms)
    {
      watch->second = NULL;
      confirm (watch, confirmed_ns);
      return;
    }
  forget_calls (watch);
  if (error == ERR_STALE && watch->phase == STORE_WATCH_WATCHING)
    {
      /* The store has discarded the history since `position`; this is no
         failure of the store. */
      list_again (watch, relist_delay_ms (watch));
      return;
    }
  if (error == ERR_TOO_LARGE && watch->phase == STORE_WATCH_WATCHING)
    {
      /* It would only grow; a listing has the newest state of each key. */
      list_again (watch, oversized_delay_ms (watch));
      return;
    }
  if (error != 0)
    {
      on_failure (watch, error);
      return;
    }
  continues = check_era (watch, &page->position.era);
  on_success (watch, confirmed_ns);
  if (!continues)
    {
      list_again (watch, relist_delay_ms (watch));
      return;
    }
  if (watch->phase == STORE_WATCH_LISTING)
    handle_listing (watch, page);
  else
    handle_changes (watch, page);
  /* A callback may have paused the watch. */
  if (watch->paused)
    return;
  if (watch->phase == STORE_WATCH_LISTING
      || spent_ms >= watch->config.min_interval_ms)
    schedule (watch, 0);
  else
    schedule (watch, watch->config.min_interval_ms - spent_ms);
}

/* Whether a response continues what was read before.  Changes since a
   position of an earlier era, and further pages of its listing, leave out what
   the restore undid. */
static bool
check_era (struct store_watch *watch, const struct digits *era)
{
  bool first_page = watch->phase == STORE_WATCH_LISTING
                    && watch->page_after_key[0] == '\0';
  const struct store_position *previous = watch->phase == STORE_WATCH_LISTING
                                              ? &watch->listing_position
                                              : &watch->position;

  if (!store_position_is_none (&watch->position)
      && digits_compare (era, &watch->position.era) > 0
      && digits_compare (era, &watch->restored_era) > 0)
    {
      watch->restored_era = *era;
      if (watch->config.events->restored != NULL)
        watch->config.events->restored (watch->config.user, &watch->position);
    }
  return first_page || digits_compare (era, &previous->era) == 0;
}

static void
list_again (struct store_watch *watch, uint64_t delay_ms)
{
  watch->phase = STORE_WATCH_LISTING;
  watch->page_after_key[0] = '\0';
  schedule (watch, delay_ms);
}

static uint64_t
relist_delay_ms (struct store_watch *watch)
{
  return rng_below (&watch->rng, RELIST_JITTER_MS);
}

/* Doubles while no changes can be read between two listings. */
static uint64_t
oversized_delay_ms (struct store_watch *watch)
{
  const uint32_t last_ms = watch->oversized_ms;

  watch->oversized_ms = last_ms == 0 ? RELIST_JITTER_MS : last_ms * 2;
  if (watch->oversized_ms > OVERSIZED_DELAY_MAX_MS)
    watch->oversized_ms = OVERSIZED_DELAY_MAX_MS;
  return watch->oversized_ms / 2
         + rng_below (&watch->rng, watch->oversized_ms / 2);
}

static void
on_failure (struct store_watch *watch, int error)
{
  uint32_t backoff_ms
      = watch->backoff_ms == 0 ? watch->backoff_min_ms : watch->backoff_ms * 2;

  watch->backoff_ms = backoff_ms > watch->backoff_max_ms
                          ? watch->backoff_max_ms
                          : backoff_ms;
  if (watch->failed_ns == 0)
    {
      watch->failed_ns = clock_now_ns (watch->config.clock);
      watch->config.events->failed (watch->config.user, error);
    }
  /* An interrupted listing restarts from its first page. */
  watch->page_after_key[0] = '\0';
  schedule (watch, watch->backoff_ms / 2
                       + rng_below (&watch->rng, watch->backoff_ms / 2 + 1));
}

static void
on_success (struct store_watch *watch, uint64_t confirmed_ns)
{
  uint64_t failed_ns = watch->failed_ns;

  confirm (watch, confirmed_ns);
  watch->backoff_ms = 0;
  watch->failed_ns = 0;
  if (failed_ns != 0)
    watch->config.events->recovered (
        watch->config.user, clock_now_ns (watch->config.clock) - failed_ns);
}

static void
confirm (struct store_watch *watch, uint64_t confirmed_ns)
{
  if (confirmed_ns > watch->confirmed_ns)
    watch->confirmed_ns = confirmed_ns;
}

/* The earliest time at which the store may have answered.  A long poll without
   changes was held for all of its time, unless the store cut it.  A listing is
   as old as its first page. */
static uint64_t
answered_ns (const struct store_watch *watch,
             const struct store_watch_call *call,
             const struct kvstore_page *page)
{
  const uint64_t held_ns = call->wait_ms * CLOCK_NS_PER_MS;

  if (watch->phase == STORE_WATCH_LISTING && watch->page_after_key[0] != '\0')
    return watch->confirmed_ns;
  if (page->count == 0
      && clock_now_ns (watch->config.clock) - call->start_ns >= held_ns)
    return call->start_ns + held_ns;
  return call->start_ns;
}

/* Whether a response came without changes, beside a long poll that is not
   overdue or between two of them. */
static bool
is_confirmation (const struct store_watch *watch,
                 const struct store_watch_call *call,
                 const struct kvstore_page *page)
{
  return call == watch->second && page->count == 0
         && watch->phase == STORE_WATCH_WATCHING
         && !store_watch_overdue (watch)
         && digits_compare (&page->position.era, &watch->position.era) == 0;
}

static void
handle_listing (struct store_watch *watch, const struct kvstore_page *page)
{
  const struct store_watch_config *config = &watch->config;
  size_t i;

  if (watch->page_after_key[0] == '\0')
    {
      /* Pages are not read atomically: changes made in between are reported by
         watching from the position of the first page. */
      watch->listing_position = page->position;
      config->events->listing_begin (config->user);
    }
  for (i = 0; i < page->count; i++)
    config->events->item (config->user, &page->items[i]);
  if (page->more && page->count > 0)
    {
      snprintf (watch->page_after_key, sizeof watch->page_after_key, "%s",
                page->items[page->count - 1].key);
      return;
    }
  watch->page_after_key[0] = '\0';
  watch->position = watch->listing_position;
  watch->phase = STORE_WATCH_WATCHING;
  config->events->listing_end (config->user, &watch->listing_position);
}

static void
handle_changes (struct store_watch *watch, const struct kvstore_page *page)
{
  const struct store_watch_config *config = &watch->config;
  size_t i;

  watch->oversized_ms = 0;
  for (i = 0; i < page->count; i++)
    config->events->item (config->user, &page->items[i]);
  if (store_position_compare (&page->position, &watch->position) > 0)
    watch->position = page->position;
}
