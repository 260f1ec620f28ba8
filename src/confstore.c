/**
 * @file confstore.c
 * Reads the store: listings, watches, backoff, and detection of a store that
 * was reverted to an older state.
 */
#include "confstore.h"
#include "confstore_int.h"
#include "state/err.h"
#include "transport/log.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define START_JITTER_MS 50 /* spreads the first listings of a fleet */

static int on_apply (void *user, const char *key, const char *value,
                     size_t value_size);
static void query_store (struct confstore *confstore, uint64_t now_ns);
static void on_response (void *user, int error, uint64_t index,
                         const struct kvstore_item *items, size_t count);
static void list_during_watch (struct confstore *confstore);
static void schedule_relist (struct confstore *confstore);
static void on_relist (void *user, int error, uint64_t index,
                       const struct kvstore_item *items, size_t count);
static void process_listing (struct confstore *confstore, uint64_t index,
                             const struct kvstore_item *items, size_t count);
static void schedule_next_query (struct confstore *confstore, int error);
static void update_ready (struct confstore *confstore, uint64_t now_ns);
static bool must_wait_for_peers (const struct confstore *confstore,
                                 uint64_t now_ns);
static bool is_watcher (const struct confstore *confstore);
static uint64_t add_ms (uint64_t now_ns, uint64_t delay_ms);

struct confstore *
confstore_new (const struct confstore_config *config)
{
  struct confstore *confstore = calloc (1, sizeof *confstore);
  struct confsync_sink sink = { .apply = on_apply, .user = confstore };

  if (confstore == NULL)
    return NULL;
  confstore->config = *config;
  confstore->confsync = confsync_new (&sink);
  if (confstore->confsync == NULL)
    {
      free (confstore);
      return NULL;
    }
  confstore->random_state = config->seed * 2 + 1;
  confstore->store_up = true;
  confstore->backoff_ms = CONFSTORE_BACKOFF_MIN_MS;
  confstore->start_ns = clock_now_ns (config->clock);
  confstore->next_query_ns = confstore->start_ns;
  if (config->peers_expected)
    confstore->next_query_ns = add_ms (
        confstore->start_ns, confstore_random (confstore, START_JITTER_MS));
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
  if (!confstore->request_in_flight && now_ns >= confstore->next_query_ns)
    query_store (confstore, now_ns);
  if (confstore->relist_time_ns != 0 && now_ns >= confstore->relist_time_ns)
    list_during_watch (confstore);
  update_ready (confstore, now_ns);
  confstore_notify_changed (confstore);
}

static void
query_store (struct confstore *confstore, uint64_t now_ns)
{
  const struct confstore_config *config = &confstore->config;
  struct kvstore *store = config->kvstore;
  int error;

  (void)now_ns;
  confstore->request_in_flight = true;
  confstore->baseline = confstore_current_baseline (confstore);
  /* After a failure, a listing returns at once when the store works again,
     while a watch may wait for a change. */
  if (confstore->listed && confstore->store_up && is_watcher (confstore))
    error = store->ops->watch (store, config->prefix, confstore->store_index,
                               config->watch_wait_ms, on_response, confstore);
  else
    error = store->ops->list (store, config->prefix, on_response, confstore);
  if (error != 0)
    on_response (confstore, error, 0, NULL, 0);
}

/* Lists the store while a watch is in flight.  When the store was reverted,
   the watch waits for an index from before the revert and returns no change
   until it times out. */
static void
list_during_watch (struct confstore *confstore)
{
  struct kvstore *store = confstore->config.kvstore;

  confstore->relist_time_ns = 0;
  confstore->baseline = confstore_current_baseline (confstore);
  if (store->ops->list (store, confstore->config.prefix, on_relist, confstore)
      != 0)
    schedule_relist (confstore);
}

static void
on_relist (void *user, int error, uint64_t index,
           const struct kvstore_item *items, size_t count)
{
  struct confstore *confstore = user;

  confstore_record_result (confstore, error);
  if (error == 0)
    process_listing (confstore, index, items, count);
  else
    schedule_relist (confstore);
}

static void
schedule_relist (struct confstore *confstore)
{
  confstore->relist_time_ns
      = add_ms (clock_now_ns (confstore->config.clock), confstore->backoff_ms);
}

static void
on_response (void *user, int error, uint64_t index,
             const struct kvstore_item *items, size_t count)
{
  struct confstore *confstore = user;

  confstore->request_in_flight = false;
  confstore_record_result (confstore, error);
  if (error == 0)
    process_listing (confstore, index, items, count);
  schedule_next_query (confstore, error);
}

static void
process_listing (struct confstore *confstore, uint64_t index,
                 const struct kvstore_item *items, size_t count)
{
  uint64_t newest = 0;
  size_t i;

  confstore->counters.listings++;
  for (i = 0; i < count; i++)
    {
      const struct message_object *known;
      size_t prefix_length = strlen (confstore->config.prefix);

      if (strncmp (items[i].key, confstore->config.prefix, prefix_length) != 0)
        continue;
      confstore_offer (confstore, &items[i]);
      known
          = confsync_find (confstore->confsync, items[i].key + prefix_length);
      if (known != NULL && known->index > newest)
        newest = known->index;
    }
  confstore_detect_revert (confstore, index, &confstore->baseline);
  confstore->store_index = index;
  if (!confstore->listed)
    LOG (LOG_CONFIG_READY, NULL, LOG_S ("source", "store"),
         LOG_U ("index", newest), LOG_U ("objects", count));
  confstore->listed = true;
  /* A reverted store lists fewer objects than exist.  The local objects are
     then the newest known state, and peers have to learn the newest index
     among them. */
  if (confstore->reverted)
    newest = confsync_newest_index (confstore->confsync);
  confsync_mark_complete (confstore->confsync, newest);
}

/* Unless the store was reverted, the index of a response is at least that of
   every object that was known when the request was sent. */
void
confstore_detect_revert (struct confstore *confstore, uint64_t index,
                         const struct confstore_baseline *baseline)
{
  uint64_t effective_index = object_index (confstore->index_base, index);
  bool behind = effective_index < baseline->known_index
                || index < baseline->store_index;

  if (confstore->config.private_store)
    return;
  if (!behind)
    {
      confstore->reverted = false;
      return;
    }
  if (!confstore->reverted || index < baseline->store_index)
    {
      confstore->counters.store_reverts++;
      LOG (LOG_STORE_REVERTED, NULL, LOG_U ("store_index", index),
           LOG_U ("held_index", baseline->known_index));
    }
  confstore->reverted = effective_index < baseline->known_index;
  confstore->store_index = index;
}

struct confstore_baseline
confstore_current_baseline (const struct confstore *confstore)
{
  return (struct confstore_baseline){
    confsync_newest_index (confstore->confsync), confstore->store_index
  };
}

static void
schedule_next_query (struct confstore *confstore, int error)
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
      delay_ms = is_watcher (confstore)
                     ? CONFSTORE_WATCH_PAUSE_MS
                     : CONFSTORE_LISTING_INTERVAL_MS / 2
                           + confstore_random (confstore,
                                               CONFSTORE_LISTING_INTERVAL_MS);
    }
  confstore->next_query_ns = add_ms (now_ns, delay_ms);
}

void
confstore_record_result (struct confstore *confstore, int error)
{
  bool up = error == 0 || error == ERR_CONFLICT || error == ERR_NOT_FOUND;

  if (!up)
    confstore->counters.failures++;
  if (error == ERR_RATE_LIMITED)
    return;
  if (confstore->store_up && !up)
    LOG (log_store_message (error), NULL, LOG_S ("error", err_name (error)));
  else if (!confstore->store_up && up)
    LOG (LOG_STORE_RECOVERED, NULL,
         LOG_U ("failures", confstore->counters.failures));
  confstore->store_up = up;
}

int
confstore_offer (struct confstore *confstore, const struct kvstore_item *item)
{
  struct message_object object = { .value_size = item->value_size };
  const char *key = item->key + strlen (confstore->config.prefix);
  const struct message_object *known
      = confsync_find (confstore->confsync, key);
  json_t *value;
  int result = ERR_INVALID;

  /* Most items of a listing are unchanged and need no parsing. */
  if (known != NULL && known->value_size == item->value_size && known->value
      && memcmp (known->value, item->value, item->value_size) == 0)
    return 0;
  value = object_parse_value (item->value, item->value_size);
  if (value != NULL && strlen (key) < sizeof object.key)
    {
      snprintf (object.key, sizeof object.key, "%s", key);
      object.index = object_index (object_index_base (value), item->index);
      object.deleted = object_from_value (value) == NULL;
      object.value = (char *)item->value; /* copied by confsync_offer */
      if (object.index <= OBJECT_INDEX_MAX)
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
on_apply (void *user, const char *key, const char *value, size_t value_size)
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
  confstore->notify_pending = true;
  LOG (LOG_CONFIG_APPLIED, NULL, LOG_S ("key", key));
  return 0;
}

void
confstore_notify_changed (struct confstore *confstore)
{
  if (!confstore->notify_pending)
    return;
  confstore->notify_pending = false;
  if (confstore->config.on_changed != NULL)
    confstore->config.on_changed (confstore->config.user);
}

static void
update_ready (struct confstore *confstore, uint64_t now_ns)
{
  if (!confstore->ready)
    confstore->ready = confsync_ready (confstore->confsync)
                       && !must_wait_for_peers (confstore, now_ns);
}

/* A store that was restored to an older state must not leave a starting
   instance behind its peers.  The instance therefore waits until it has heard
   from a peer and has reached the index of its peers, but at most
   CONFSTORE_PEER_GRACE_MS after its start. */
static bool
must_wait_for_peers (const struct confstore *confstore, uint64_t now_ns)
{
  const struct confstore_config *config = &confstore->config;
  uint64_t index = 0;

  if (!config->peers_expected || config->newest_peer_index == NULL
      || now_ns >= add_ms (confstore->start_ns, CONFSTORE_PEER_GRACE_MS))
    return false;
  return !config->newest_peer_index (config->user, &index)
         || index > confsync_complete_index (confstore->confsync);
}

bool
confstore_ready (const struct confstore *confstore)
{
  return confstore->ready;
}

bool
confstore_store_up (const struct confstore *confstore)
{
  return confstore->store_up;
}

struct confsync *
confstore_confsync (struct confstore *confstore)
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
  confstore->random_state ^= confstore->random_state << 13;
  confstore->random_state ^= confstore->random_state >> 7;
  confstore->random_state ^= confstore->random_state << 17;
  return confstore->random_state % limit;
}

static bool
is_watcher (const struct confstore *confstore)
{
  const struct confstore_config *config = &confstore->config;

  return config->is_watcher == NULL || config->is_watcher (config->user);
}

static uint64_t
add_ms (uint64_t now_ns, uint64_t delay_ms)
{
  return now_ns + delay_ms * CLOCK_NS_PER_MS;
}
