/**
 * @file discovery.c
 * Applies the configuration and the upstream registrations read from the
 * store.
 */
#include "gateway/discovery.h"
#include "gateway/gateway_config.h"
#include "gateway/gateway_peers.h"
#include "state/err.h"
#include "transport/log.h"
#include <stdio.h>
#include <string.h>

/* All upstreams together update their registrations several times a second,
   so each read of them finds some.  They are read this many times in the time
   for which a draining upstream still serves, within the bounds. */
#define UPSTREAM_READS_WHILE_LEAVING   4
#define UPSTREAM_WATCH_INTERVAL_MIN_MS 500
#define UPSTREAM_WATCH_INTERVAL_MAX_MS 1000
#define CONFIG_WATCH_INTERVAL_MS                                              \
  20 /* updates are rare; a burst is read in batches */
/* A response that the store lost is missed, and asked for again, while the
   answer can still come within the time that gateways have. */
#define WATCH_ANSWER_MS      500
#define WATCH_TIMEOUT_MIN_MS 1000
#define WATCH_TIMEOUT_MAX_MS 5000
/* A live upstream whose entry the store lost registers again within 2 s; it
   stays in use for most of that time. */
#define EXPIRED_ENTRY_GRACE_MS 1200
/* An entry that vanishes within this time after an outage may have expired
   because its lease could not be renewed. */
#define RECENT_OUTAGE_MS 3000
/* Pauses after failed calls of an instance that has lost its hubs. */
#define FALLBACK_BACKOFF_MIN_MS 800
#define FALLBACK_BACKOFF_MAX_MS 3200
/* An older configuration may lack a route or key that is in effect.  While the
   store does not answer, this age is enough to expect that. */
#define STALE_CONFIG_MS 500
/* Percentages of config_apply_ms: the ages at which a view of the store is
   confirmed by a call, and at which it is no longer relied on. */
#define CONFIRM_PERCENT 40
#define AGE_MAX_PERCENT 60

static void on_config_item (void *user, const struct kvstore_item *item);
static void on_config_listing_begin (void *user);
static void on_config_listing_end (void *user,
                                   const struct store_position *position);
static void on_upstream_item (void *user, const struct kvstore_item *item);
static void on_upstream_listing_begin (void *user);
static void on_upstream_listing_end (void *user,
                                     const struct store_position *position);
static void on_failed (void *user, int error);
static void on_config_recovered (void *user, uint64_t outage_ns);
static void on_upstream_recovered (void *user, uint64_t outage_ns);
static void on_upstream_restored (void *user,
                                  const struct store_position *lost);
static uint32_t watch_timeout_ms (const struct gateway_settings *settings);
static uint32_t
upstream_watch_interval_ms (const struct gateway_settings *settings);
static uint64_t expired_entry_grace_ns (const struct gateway *gateway);
static const char *upstream_identity (const char *key, const char *prefix);
static uint64_t path_confirmed_ns (const struct gateway *gateway);
static uint64_t watch_confirmed_ns (const struct gateway *gateway,
                                    const struct store_watch *watch);
static uint64_t config_age_ns (const struct gateway *gateway);
static void log_draining (const struct gateway *gateway,
                          const struct registry_record *record);

static const struct store_watch_events config_events = {
  .listing_begin = on_config_listing_begin,
  .listing_end = on_config_listing_end,
  .item = on_config_item,
  .failed = on_failed,
  .recovered = on_config_recovered,
};

static const struct store_watch_events upstream_events = {
  .listing_begin = on_upstream_listing_begin,
  .listing_end = on_upstream_listing_end,
  .item = on_upstream_item,
  .failed = on_failed,
  .recovered = on_upstream_recovered,
  .restored = on_upstream_restored,
};

int
discovery_start (struct gateway *gateway)
{
  struct store_watch_config config = {
    .base = gateway->base,
    .clock = &gateway->clock,
    .kvstore = gateway->store,
    .prefix = gateway->adapter->config_key,
    .min_interval_ms = CONFIG_WATCH_INTERVAL_MS,
    .poll_timeout_ms = watch_timeout_ms (&gateway->settings),
    .paused = true,
    .seed = catalog_id (gateway->settings.instance),
    .events = &config_events,
    .user = gateway,
  };
  int error = store_watch_init (&gateway->config_watch, &config);

  config.prefix = gateway->adapter->upstream_prefix;
  config.min_interval_ms = upstream_watch_interval_ms (&gateway->settings);
  config.events = &upstream_events;
  if (error == 0)
    error = store_watch_init (&gateway->upstream_watch, &config);
  return error;
}

static uint32_t
watch_timeout_ms (const struct gateway_settings *settings)
{
  const uint32_t margin_ms = STORE_WATCH_OVERDUE_MS + WATCH_ANSWER_MS;

  if (settings->contact_ms < WATCH_TIMEOUT_MIN_MS + margin_ms)
    return WATCH_TIMEOUT_MIN_MS;
  return settings->contact_ms > WATCH_TIMEOUT_MAX_MS + margin_ms
             ? WATCH_TIMEOUT_MAX_MS
             : settings->contact_ms - margin_ms;
}

static uint32_t
upstream_watch_interval_ms (const struct gateway_settings *settings)
{
  uint32_t interval_ms
      = settings->upstream_leave_ms / UPSTREAM_READS_WHILE_LEAVING;

  if (interval_ms < UPSTREAM_WATCH_INTERVAL_MIN_MS)
    return UPSTREAM_WATCH_INTERVAL_MIN_MS;
  return interval_ms > UPSTREAM_WATCH_INTERVAL_MAX_MS
             ? UPSTREAM_WATCH_INTERVAL_MAX_MS
             : interval_ms;
}

void
discovery_finish (struct gateway *gateway)
{
  store_watch_finish (&gateway->config_watch);
  store_watch_finish (&gateway->upstream_watch);
}

void
discovery_watch (struct gateway *gateway)
{
  store_watch_set_backoff (&gateway->config_watch, STORE_WATCH_BACKOFF_MIN_MS,
                           STORE_WATCH_BACKOFF_MAX_MS);
  store_watch_resume (&gateway->config_watch);
  store_watch_resume (&gateway->upstream_watch);
}

/* The configuration takes one call.  While the store does not answer it, the
   calls of all instances for the upstreams would not help either, and hubs
   notice the end of an outage sooner. */
void
discovery_watch_if_store_answers (struct gateway *gateway)
{
  store_watch_set_backoff (&gateway->config_watch, FALLBACK_BACKOFF_MIN_MS,
                           FALLBACK_BACKOFF_MAX_MS);
  store_watch_resume (&gateway->config_watch);
  if (store_watch_current (&gateway->config_watch))
    store_watch_resume (&gateway->upstream_watch);
}

void
discovery_stop_watching (struct gateway *gateway)
{
  store_watch_pause (&gateway->config_watch);
  store_watch_pause (&gateway->upstream_watch);
}

uint64_t
discovery_age_ns (const struct gateway *gateway)
{
  const struct store_watch *upstreams = &gateway->upstream_watch;
  uint64_t age_ns = config_age_ns (gateway);
  uint64_t upstreams_age_ns;

  if (upstreams->paused)
    return age_ns;
  upstreams_age_ns
      = gateway_now_ns (gateway) - watch_confirmed_ns (gateway, upstreams);
  return upstreams_age_ns > age_ns ? upstreams_age_ns : age_ns;
}

static uint64_t
config_age_ns (const struct gateway *gateway)
{
  const struct store_watch *config = &gateway->config_watch;

  return config->paused
             ? gateway_peers_store_age_ns (gateway)
             : gateway_now_ns (gateway) - watch_confirmed_ns (gateway, config);
}

/* While the response to a long poll may still come, a response to another call
   shows that its changes would have come too. */
static uint64_t
watch_confirmed_ns (const struct gateway *gateway,
                    const struct store_watch *watch)
{
  return store_watch_current (watch) && !store_watch_overdue (watch)
             ? path_confirmed_ns (gateway)
             : watch->confirmed_ns;
}

static uint64_t
path_confirmed_ns (const struct gateway *gateway)
{
  const uint64_t config_ns = gateway->config_watch.confirmed_ns;
  const uint64_t upstreams_ns = gateway->upstream_watch.confirmed_ns;
  const uint64_t watches_ns
      = config_ns > upstreams_ns ? config_ns : upstreams_ns;
  const uint64_t renewed_ns = gateway_peers_renewed_ns (gateway);

  return renewed_ns > watches_ns ? renewed_ns : watches_ns;
}

uint32_t
discovery_age_max_ms (const struct gateway *gateway)
{
  return (uint32_t)((uint64_t)gateway->settings.config_apply_ms
                    * AGE_MAX_PERCENT / 100);
}

void
discovery_confirm (struct gateway *gateway)
{
  const uint64_t limit_ms
      = (uint64_t)gateway->settings.config_apply_ms * CONFIRM_PERCENT / 100;

  if (store_watch_current (&gateway->config_watch)
      && gateway_now_ns (gateway) - path_confirmed_ns (gateway)
             >= limit_ms * CLOCK_NS_PER_MS
      && !gateway_peers_renew_lease (gateway))
    store_watch_confirm (&gateway->config_watch);
}

bool
discovery_config_stale (const struct gateway *gateway)
{
  const struct store_watch *config = &gateway->config_watch;
  const uint32_t limit_ms = config->paused || store_watch_current (config)
                                ? discovery_age_max_ms (gateway)
                                : STALE_CONFIG_MS;

  return config_age_ns (gateway) > limit_ms * CLOCK_NS_PER_MS;
}

void
discovery_snapshot_begin (struct gateway *gateway)
{
  on_upstream_listing_begin (gateway);
}

void
discovery_snapshot_end (struct gateway *gateway,
                        const struct store_position *position)
{
  on_upstream_listing_end (gateway, position);
}

void
discovery_apply_item (struct gateway *gateway, const struct kvstore_item *item)
{
  const struct gateway_adapter *adapter = gateway->adapter;

  if (strcmp (item->key, adapter->config_key) == 0)
    on_config_item (gateway, item);
  else if (strncmp (item->key, adapter->upstream_prefix,
                    strlen (adapter->upstream_prefix))
           == 0)
    on_upstream_item (gateway, item);
}

void
discovery_upstream_removed (struct gateway *gateway,
                            const struct registry_upstream *upstream)
{
  char key[REGISTRY_IDENTITY_SIZE + GATEWAY_NAME_SIZE];

  snprintf (key, sizeof key, "%s%s", gateway->adapter->upstream_prefix,
            upstream->record.identity);
  gateway_peers_publish_item (
      gateway,
      &(struct kvstore_item){ .key = key,
                              .position = upstream->record.position },
      true);
}

static void
on_failed (void *user, int error)
{
  (void)user;
  LOG (log_store_message (error), NULL, LOG_S ("error", err_name (error)));
}

/* Configuration. */

static void
on_config_listing_begin (void *user)
{
  (void)user;
}

static void
on_config_listing_end (void *user, const struct store_position *position)
{
  (void)user;
  LOG (LOG_CONFIG_READY, NULL, LOG_S ("era", digits_text (&position->era)),
       LOG_S ("index", digits_text (&position->revision)));
}

static void
on_config_recovered (void *user, uint64_t outage_ns)
{
  (void)user;
  LOG (LOG_STORE_RECOVERED, NULL, LOG_S ("for", "configuration"),
       LOG_U ("outage_ms", outage_ns / CLOCK_NS_PER_MS));
}

static void
on_config_item (void *user, const struct kvstore_item *item)
{
  struct gateway *gateway = user;

  if (strcmp (item->key, gateway->adapter->config_key) == 0)
    gateway_config_read (gateway, item);
}

/* Upstreams. */

static void
on_upstream_recovered (void *user, uint64_t outage_ns)
{
  struct gateway *gateway = user;

  gateway->upstream_recovered_ns = gateway_now_ns (gateway);
  LOG (LOG_STORE_RECOVERED, NULL, LOG_S ("for", "upstreams"),
       LOG_U ("outage_ms", outage_ns / CLOCK_NS_PER_MS));
}

/* Registrations since the copy are gone until their upstreams write them
   again, as after an outage. */
static void
on_upstream_restored (void *user, const struct store_position *lost)
{
  struct gateway *gateway = user;

  gateway->upstream_recovered_ns = gateway_now_ns (gateway);
  gateway->counters.store_restores++;
  LOG (LOG_STORE_RESTORED, NULL,
       LOG_S ("era", digits_text (&gateway->store->era)),
       LOG_S ("lost_era", digits_text (&lost->era)),
       LOG_S ("lost_index", digits_text (&lost->revision)),
       LOG_U ("kept_upstreams", HASH_COUNT (gateway->registry.upstreams)),
       LOG_U ("age_ms", store_watch_age_ns (&gateway->upstream_watch)
                            / CLOCK_NS_PER_MS));
}

static uint64_t
expired_entry_grace_ns (const struct gateway *gateway)
{
  if (gateway->upstream_recovered_ns == 0
      || gateway_now_ns (gateway) - gateway->upstream_recovered_ns
             > RECENT_OUTAGE_MS * CLOCK_NS_PER_MS)
    return 0;
  return EXPIRED_ENTRY_GRACE_MS * CLOCK_NS_PER_MS;
}

static void
on_upstream_listing_begin (void *user)
{
  struct gateway *gateway = user;

  registry_listing_begin (&gateway->registry);
}

static void
on_upstream_listing_end (void *user, const struct store_position *position)
{
  struct gateway *gateway = user;

  registry_listing_end (&gateway->registry, position,
                        expired_entry_grace_ns (gateway),
                        gateway_now_ns (gateway));
  gateway->upstreams_loaded = true;
}

static void
on_upstream_item (void *user, const struct kvstore_item *item)
{
  struct gateway *gateway = user;
  const char *identity
      = upstream_identity (item->key, gateway->adapter->upstream_prefix);
  struct registry_record record = { .position = item->position };
  char reason[ADAPTER_REASON_SIZE];
  int error;

  if (identity == NULL)
    {
      gateway->counters.entries_rejected++;
      LOG (LOG_UPSTREAM_REJECTED, NULL, LOG_S ("identity", item->key),
           LOG_S ("reason", "invalid identity"));
      return;
    }
  if (item->value == NULL)
    {
      registry_mark_missing (&gateway->registry, identity, &item->position,
                             expired_entry_grace_ns (gateway),
                             gateway_now_ns (gateway));
      return;
    }
  memcpy (record.identity, identity, strlen (identity) + 1);
  error = gateway->adapter->read_upstream (item->value, item->value_size,
                                           &record, reason);
  if (error == 0 && !gateway->upstream_watch.paused
      && registry_is_copy (&gateway->registry, &record))
    return;
  if (error == 0)
    {
      error = registry_put (&gateway->registry, &record);
      if (error == REGISTRY_CHANGED && record.draining)
        log_draining (gateway, &record);
      if (error >= 0)
        gateway_peers_publish_item (gateway, item, error == REGISTRY_CHANGED);
      return;
    }
  gateway->counters.entries_rejected++;
  LOG (LOG_UPSTREAM_REJECTED, NULL, LOG_S ("identity", identity),
       LOG_S ("reason", reason));
  registry_mark_missing (&gateway->registry, identity, &item->position, 0,
                         gateway_now_ns (gateway));
}

/* The part of a key after the prefix; NULL if that is no identity.  It is sent
   to the upstream in a header. */
static const char *
upstream_identity (const char *key, const char *prefix)
{
  const char *identity = key + strlen (prefix);
  size_t i;

  if (strncmp (key, prefix, strlen (prefix)) != 0)
    return NULL;
  for (i = 0; identity[i] > ' ' && identity[i] <= '~'; i++)
    continue;
  return i > 0 && i < REGISTRY_IDENTITY_SIZE && identity[i] == '\0' ? identity
                                                                    : NULL;
}

static void
log_draining (const struct gateway *gateway,
              const struct registry_record *record)
{
  LOG (LOG_UPSTREAM_DRAINING, NULL, LOG_S ("upstream", record->identity),
       LOG_S ("era", digits_text (&record->position.era)),
       LOG_S ("index", digits_text (&record->position.revision)),
       LOG_S ("from", gateway->upstream_watch.paused ? "hub" : "store"));
}
