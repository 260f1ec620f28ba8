/**
 * @file confstore.c
 * Reads the store: listings, watches, backoff, and the check that it did not
 * go back.
 */
#include "confstore.h"
#include "confstore_int.h"
#include "state/err.h"
#include "transport/log.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define START_SPREAD_MS                                                       \
  50 /* first listings of a fleet that starts at once                         \
      */

static int apply (void *user, const char *key, const char *value,
                  size_t value_size);
static void ask (struct confstore *confstore, uint64_t now_ns);
static void answered (void *user, int error, uint64_t index,
                      const struct platform_item *items, size_t count);
static void list_aside (struct confstore *confstore);
static void relist_later (struct confstore *confstore);
static void listed_aside (void *user, int error, uint64_t index,
                          const struct platform_item *items, size_t count);
static void take_listing (struct confstore *confstore, uint64_t index,
                          const struct platform_item *items, size_t count);
static void schedule (struct confstore *confstore, int error);
static void check_ready (struct confstore *confstore, uint64_t now_ns);
static bool peers_ahead (const struct confstore *confstore, uint64_t now_ns);
static bool is_watcher (const struct confstore *confstore);
static uint64_t ms_after (uint64_t now_ns, uint64_t delay_ms);

struct confstore *
confstore_new (const struct confstore_config *config)
{
  struct confstore *confstore = calloc (1, sizeof *confstore);
  struct confsync_sink sink = { .apply = apply, .user = confstore };

  if (confstore == NULL)
    return NULL;
  confstore->config = *config;
  confstore->confsync = confsync_new (&sink);
  if (confstore->confsync == NULL)
    {
      free (confstore);
      return NULL;
    }
  confstore->random = config->seed * 2 + 1;
  confstore->up = true;
  confstore->backoff_ms = CONFSTORE_BACKOFF_MIN_MS;
  confstore->start_ns = clock_now_ns (config->clock);
  confstore->next_ns = confstore->start_ns;
  if (config->peers_expected)
    confstore->next_ns = ms_after (
        confstore->start_ns, confstore_random (confstore, START_SPREAD_MS));
  return confstore;
}

void
confstore_free (struct confstore *confstore)
{
  if (confstore == NULL)
    return;
  confstore_write_finish (confstore);
  confsync_free (confstore->confsync);
  free (confstore);
}

void
confstore_run (struct confstore *confstore)
{
  uint64_t now_ns = clock_now_ns (confstore->config.clock);

  confstore_write_run (confstore, now_ns);
  if (!confstore->busy && now_ns >= confstore->next_ns)
    ask (confstore, now_ns);
  if (confstore->relist_ns != 0 && now_ns >= confstore->relist_ns)
    list_aside (confstore);
  check_ready (confstore, now_ns);
  confstore_notify (confstore);
}

static void
ask (struct confstore *confstore, uint64_t now_ns)
{
  const struct confstore_config *config = &confstore->config;
  struct platform *platform = config->platform;
  int error;

  (void)now_ns;
  confstore->busy = true;
  confstore->asked = confstore_ask_state (confstore);
  /* After a failure a listing tells sooner than a watch that all is well. */
  if (confstore->listed && confstore->up && is_watcher (confstore))
    error = platform->ops->watch (platform, config->prefix,
                                  confstore->store_index,
                                  config->watch_wait_ms, answered, confstore);
  else
    error
        = platform->ops->list (platform, config->prefix, answered, confstore);
  if (error != 0)
    answered (confstore, error, 0, NULL, 0);
}

/* Lists beside a watch that waits for an index which the store had before it
   went back, and so would not hear of a change until its wait ends. */
static void
list_aside (struct confstore *confstore)
{
  struct platform *platform = confstore->config.platform;

  confstore->relist_ns = 0;
  confstore->asked = confstore_ask_state (confstore);
  if (platform->ops->list (platform, confstore->config.prefix, listed_aside,
                           confstore)
      != 0)
    relist_later (confstore);
}

static void
listed_aside (void *user, int error, uint64_t index,
              const struct platform_item *items, size_t count)
{
  struct confstore *confstore = user;

  confstore_note (confstore, error);
  if (error == 0)
    take_listing (confstore, index, items, count);
  else
    relist_later (confstore);
}

static void
relist_later (struct confstore *confstore)
{
  confstore->relist_ns = ms_after (clock_now_ns (confstore->config.clock),
                                   confstore->backoff_ms);
}

static void
answered (void *user, int error, uint64_t index,
          const struct platform_item *items, size_t count)
{
  struct confstore *confstore = user;

  confstore->busy = false;
  confstore_note (confstore, error);
  if (error == 0)
    take_listing (confstore, index, items, count);
  schedule (confstore, error);
}

static void
take_listing (struct confstore *confstore, uint64_t index,
              const struct platform_item *items, size_t count)
{
  uint64_t newest = 0;
  size_t i;

  confstore->counters.listings++;
  for (i = 0; i < count; i++)
    {
      const struct message_object *held;
      size_t prefix = strlen (confstore->config.prefix);

      if (strncmp (items[i].key, confstore->config.prefix, prefix) != 0)
        continue;
      confstore_offer (confstore, &items[i]);
      held = confsync_find (confstore->confsync, items[i].key + prefix);
      if (held != NULL && held->index > newest)
        newest = held->index;
    }
  confstore_check_index (confstore, index, &confstore->asked);
  confstore->store_index = index;
  if (!confstore->listed)
    LOG (LOG_CONFIG_READY, NULL, LOG_S ("source", "store"),
         LOG_U ("index", newest), LOG_U ("objects", count));
  confstore->listed = true;
  /* A store that went back lists less than there is; what is held then is the
     most that can be known, and peers have to hear of it. */
  if (confstore->reverted)
    newest = confsync_newest (confstore->confsync);
  confsync_complete (confstore->confsync, newest);
}

/* A response to what was asked for after an object was held has an index
   that is at least as great, unless the store went back. */
void
confstore_check_index (struct confstore *confstore, uint64_t index,
                       const struct confstore_asked *asked)
{
  uint64_t reached = confstore->index_base + index;
  bool behind = reached < asked->newest || index < asked->store_index;

  if (confstore->config.private_store)
    return;
  if (!behind)
    {
      confstore->reverted = false;
      return;
    }
  if (!confstore->reverted || index < asked->store_index)
    {
      confstore->counters.reverted++;
      LOG (LOG_STORE_REVERTED, NULL, LOG_U ("store_index", index),
           LOG_U ("held_index", asked->newest));
    }
  confstore->reverted = reached < asked->newest;
  confstore->store_index = index;
}

struct confstore_asked
confstore_ask_state (const struct confstore *confstore)
{
  return (struct confstore_asked){ confsync_newest (confstore->confsync),
                                   confstore->store_index };
}

static void
schedule (struct confstore *confstore, int error)
{
  uint64_t now_ns = clock_now_ns (confstore->config.clock);
  uint64_t delay_ms;

  if (error != 0)
    {
      delay_ms = confstore->backoff_ms / 2
                 + confstore_random (confstore, confstore->backoff_ms);
      confstore->backoff_ms *= 2;
      if (confstore->backoff_ms > CONFSTORE_BACKOFF_MAX_MS)
        confstore->backoff_ms = CONFSTORE_BACKOFF_MAX_MS;
    }
  else
    {
      confstore->backoff_ms = CONFSTORE_BACKOFF_MIN_MS;
      delay_ms
          = is_watcher (confstore)
                ? CONFSTORE_WATCH_GAP_MS
                : CONFSTORE_LISTING_MS / 2
                      + confstore_random (confstore, CONFSTORE_LISTING_MS);
    }
  confstore->next_ns = ms_after (now_ns, delay_ms);
}

void
confstore_note (struct confstore *confstore, int error)
{
  bool up = error == 0 || error == ERR_CONFLICT || error == ERR_NOT_FOUND;

  if (!up)
    confstore->counters.failures++;
  if (error == ERR_RATE_LIMITED)
    return;
  if (confstore->up && !up)
    LOG (LOG_STORE_UNAVAILABLE, NULL, LOG_S ("error", err_name (error)));
  else if (!confstore->up && up)
    LOG (LOG_STORE_RECOVERED, NULL,
         LOG_U ("failures", confstore->counters.failures));
  confstore->up = up;
}

int
confstore_offer (struct confstore *confstore, const struct platform_item *item)
{
  struct message_object object = { .value_size = item->value_size };
  const char *key = item->key + strlen (confstore->config.prefix);
  const struct message_object *held = confsync_find (confstore->confsync, key);
  json_t *value;
  int result = ERR_INVALID;

  /* A listing repeats what is held; spare it the parsing. */
  if (held != NULL && held->value_size == item->value_size && held->value
      && memcmp (held->value, item->value, item->value_size) == 0)
    return 0;
  value = object_parse_value (item->value, item->value_size);
  if (value != NULL && strlen (key) < sizeof object.key)
    {
      snprintf (object.key, sizeof object.key, "%s", key);
      object.index = object_index_base (value) + item->index;
      object.deleted = object_of_value (value) == NULL;
      object.value = (char *)item->value; /* copied by the offer */
      result = confsync_offer (confstore->confsync, &object);
    }
  json_decref (value);
  if (result == ERR_INVALID)
    {
      confstore->counters.rejected++;
      LOG (LOG_CONFIG_REJECTED, NULL, LOG_S ("key", key),
           LOG_U ("index", item->index));
    }
  return result;
}

static int
apply (void *user, const char *key, const char *value, size_t value_size)
{
  struct confstore *confstore = user;
  int error
      = object_install (confstore->config.catalog, key, value, value_size);
  json_t *json;
  uint64_t base;

  if (error != 0)
    return error;
  json = value == NULL ? NULL : object_parse_value (value, value_size);
  base = object_index_base (json);
  json_decref (json);
  if (base > confstore->index_base)
    confstore->index_base = base;
  confstore->changed = true;
  LOG (LOG_CONFIG_APPLIED, NULL, LOG_S ("key", key));
  return 0;
}

void
confstore_notify (struct confstore *confstore)
{
  if (!confstore->changed)
    return;
  confstore->changed = false;
  if (confstore->config.changed != NULL)
    confstore->config.changed (confstore->config.user);
}

static void
check_ready (struct confstore *confstore, uint64_t now_ns)
{
  if (!confstore->ready)
    confstore->ready = confsync_ready (confstore->confsync)
                       && !peers_ahead (confstore, now_ns);
}

/* A store that was restored to an older state must not put a cold instance
   behind its peers, so it hears them first, if they answer in time. */
static bool
peers_ahead (const struct confstore *confstore, uint64_t now_ns)
{
  const struct confstore_config *config = &confstore->config;
  uint64_t index = 0;

  if (!config->peers_expected || config->peers_index == NULL
      || now_ns >= ms_after (confstore->start_ns, CONFSTORE_PEER_GRACE_MS))
    return false;
  return !config->peers_index (config->user, &index)
         || index > confsync_index (confstore->confsync);
}

bool
confstore_ready (const struct confstore *confstore)
{
  return confstore->ready;
}

bool
confstore_store_up (const struct confstore *confstore)
{
  return confstore->up;
}

struct confsync *
confstore_sync (struct confstore *confstore)
{
  return confstore->confsync;
}

const struct confstore_counters *
confstore_counters (const struct confstore *confstore)
{
  return &confstore->counters;
}

uint64_t
confstore_random (struct confstore *confstore, uint64_t limit)
{
  confstore->random ^= confstore->random << 13;
  confstore->random ^= confstore->random >> 7;
  confstore->random ^= confstore->random << 17;
  return confstore->random % limit;
}

static bool
is_watcher (const struct confstore *confstore)
{
  const struct confstore_config *config = &confstore->config;

  return config->watcher == NULL || config->watcher (config->user);
}

static uint64_t
ms_after (uint64_t now_ns, uint64_t delay_ms)
{
  return now_ns + delay_ms * CLOCK_NS_PER_MS;
}
