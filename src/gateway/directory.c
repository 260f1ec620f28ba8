/**
 * @file directory.c
 * Applies what the store tells.
 */
#include "gateway/directory.h"
#include "gateway/neighbours.h"
#include "state/err.h"
#include "transport/log.h"
#include <stdio.h>
#include <string.h>

/* Upstreams announce themselves several times a second together: what they
   tell within half a second is read at once, well inside the time that a
   leaving one still serves. */
#define UPSTREAM_PACE_MS 500
#define CONFIG_PACE_MS                                                        \
  20                  /* configurations are rare; a storm is read in turns */
#define WATCH_MS 5000 /* a silent connection is noticed by then */
/* An upstream whose entry the store lost is back in 2 s if it lives; until
   then, or nearly, it is used. */
#define LAPSED_GRACE_MS 1200
/* So long after an outage a vanished entry may have lapsed in it. */
#define OUTAGE_RECENT_MS 3000
/* Configuration older than that may lack a route or key that is in force. */
#define UNSURE_MS 500

static void config_item (void *user, const struct platform_item *item);
static void config_listing (void *user);
static void config_listed (void *user, uint64_t index);
static void upstream_item (void *user, const struct platform_item *item);
static void upstream_listing (void *user);
static void upstream_listed (void *user, uint64_t index);
static void on_failed (void *user, int error);
static void config_recovered (void *user, uint64_t outage_ns);
static void upstream_recovered (void *user, uint64_t outage_ns);
static uint64_t grace_ns (const struct gateway *gateway);
static void apply_limits (struct gateway *gateway);

static const struct feed_events config_events = {
  .listing_begin = config_listing,
  .listing_end = config_listed,
  .item = config_item,
  .failed = on_failed,
  .recovered = config_recovered,
};

static const struct feed_events upstream_events = {
  .listing_begin = upstream_listing,
  .listing_end = upstream_listed,
  .item = upstream_item,
  .failed = on_failed,
  .recovered = upstream_recovered,
};

int
directory_start (struct gateway *gateway)
{
  struct feed_config config = {
    .base = gateway->base,
    .clock = &gateway->clock,
    .platform = gateway->platform,
    .prefix = gateway->adapter->config_key,
    .pace_ms = CONFIG_PACE_MS,
    .wait_ms = WATCH_MS,
    .paused = true,
    .seed = catalog_id (gateway->settings.instance),
    .events = &config_events,
    .user = gateway,
  };
  int error = feed_init (&gateway->config_feed, &config);

  config.prefix = gateway->adapter->upstream_prefix;
  config.pace_ms = UPSTREAM_PACE_MS;
  config.events = &upstream_events;
  if (error == 0)
    error = feed_init (&gateway->upstream_feed, &config);
  return error;
}

void
directory_finish (struct gateway *gateway)
{
  feed_finish (&gateway->config_feed);
  feed_finish (&gateway->upstream_feed);
}

void
directory_follow (struct gateway *gateway, bool follow)
{
  if (follow)
    {
      feed_resume (&gateway->config_feed);
      feed_resume (&gateway->upstream_feed);
      return;
    }
  feed_pause (&gateway->config_feed);
  feed_pause (&gateway->upstream_feed);
}

uint64_t
directory_age_ns (const struct gateway *gateway)
{
  return gateway->config_feed.paused ? neighbours_age_ns (gateway)
                                     : feed_age_ns (&gateway->config_feed);
}

bool
directory_unsure (const struct gateway *gateway)
{
  return directory_age_ns (gateway) > UNSURE_MS * CLOCK_NS_PER_MS;
}

void
directory_copy_begin (struct gateway *gateway)
{
  upstream_listing (gateway);
}

void
directory_copy_end (struct gateway *gateway, uint64_t index)
{
  upstream_listed (gateway, index);
}

void
directory_take (struct gateway *gateway, const struct platform_item *item)
{
  const struct gateway_adapter *adapter = gateway->adapter;

  if (strcmp (item->key, adapter->config_key) == 0)
    config_item (gateway, item);
  else if (strncmp (item->key, adapter->upstream_prefix,
                    strlen (adapter->upstream_prefix))
           == 0)
    upstream_item (gateway, item);
}

void
directory_removed (struct gateway *gateway,
                   const struct roster_upstream *upstream)
{
  char key[ROSTER_IDENTITY_SIZE + GATEWAY_NAME_SIZE];

  snprintf (key, sizeof key, "%s%s", gateway->adapter->upstream_prefix,
            upstream->record.identity);
  neighbours_pass_on (gateway,
                      &(struct platform_item){
                          .key = key, .index = upstream->record.revision },
                      true);
}

static void
on_failed (void *user, int error)
{
  (void)user;
  LOG (LOG_STORE_UNAVAILABLE, NULL, LOG_S ("error", err_name (error)));
}

/* Configuration. */

static void
config_listing (void *user)
{
  (void)user;
}

static void
config_listed (void *user, uint64_t index)
{
  (void)user;
  LOG (LOG_CONFIG_READY, NULL, LOG_U ("index", index));
}

static void
config_recovered (void *user, uint64_t outage_ns)
{
  (void)user;
  LOG (LOG_STORE_RECOVERED, NULL, LOG_S ("for", "configuration"),
       LOG_U ("outage_ms", outage_ns / CLOCK_NS_PER_MS));
}

static void
config_item (void *user, const struct platform_item *item)
{
  struct gateway *gateway = user;
  char reason[ADAPTER_REASON_SIZE];
  struct routing *routing;
  int error;

  if (strcmp (item->key, gateway->adapter->config_key) != 0)
    return;
  if (item->value == NULL)
    {
      LOG (LOG_CONFIG_REJECTED, NULL, LOG_S ("reason", "deleted"));
      return;
    }
  error = gateway->adapter->read_config (item->value, item->value_size,
                                         &routing, reason);
  if (error != 0)
    {
      LOG (LOG_CONFIG_REJECTED, NULL, LOG_S ("reason", reason),
           LOG_U ("index", item->index));
      return;
    }
  if (gateway->routing != NULL
      && routing->version <= gateway->routing->version)
    {
      LOG (LOG_CONFIG_STALE, NULL, LOG_U ("version", routing->version),
           LOG_U ("held", gateway->routing->version));
      routing_release (routing);
      return;
    }
  routing_release (gateway->routing);
  gateway->routing = routing;
  apply_limits (gateway);
  neighbours_pass_on (gateway, item, true);
  LOG (LOG_CONFIG_APPLIED, NULL, LOG_U ("version", routing->version),
       LOG_U ("routes", routing->route_count),
       LOG_U ("customers", routing->customer_count));
}

static void
apply_limits (struct gateway *gateway)
{
  const struct routing_limits *limits = &gateway->routing->limits;

  httpd_set_limits (
      gateway->httpd,
      &(struct httpd_limits){ .header_bytes_max = limits->header_bytes_max,
                              .body_bytes_max = limits->body_bytes_max,
                              .connections_max
                              = gateway->settings.connections_max / 2,
                              .idle_timeout_ms = limits->idle_timeout_ms,
                              .read_timeout_ms = limits->header_timeout_ms,
                              .write_timeout_ms = limits->idle_timeout_ms,
                              .low_water_bytes = HTTPD_READ_MAX / 4 });
}

/* Upstreams. */

static void
upstream_recovered (void *user, uint64_t outage_ns)
{
  struct gateway *gateway = user;

  gateway->upstream_outage_ns = gateway_now_ns (gateway);
  LOG (LOG_STORE_RECOVERED, NULL, LOG_S ("for", "upstreams"),
       LOG_U ("outage_ms", outage_ns / CLOCK_NS_PER_MS));
}

static uint64_t
grace_ns (const struct gateway *gateway)
{
  if (gateway->upstream_outage_ns == 0
      || gateway_now_ns (gateway) - gateway->upstream_outage_ns
             > OUTAGE_RECENT_MS * CLOCK_NS_PER_MS)
    return 0;
  return LAPSED_GRACE_MS * CLOCK_NS_PER_MS;
}

static void
upstream_listing (void *user)
{
  struct gateway *gateway = user;

  roster_listing_begin (&gateway->roster);
}

static void
upstream_listed (void *user, uint64_t index)
{
  struct gateway *gateway = user;

  roster_listing_end (&gateway->roster, index, grace_ns (gateway),
                      gateway_now_ns (gateway));
  gateway->upstreams_held = true;
}

static void
upstream_item (void *user, const struct platform_item *item)
{
  struct gateway *gateway = user;
  const char *identity
      = item->key + strlen (gateway->adapter->upstream_prefix);
  struct roster_record record = { .revision = item->index };
  char reason[ADAPTER_REASON_SIZE] = "identity too long";
  int error = ERR_INVALID;

  if (item->value == NULL)
    {
      roster_drop (&gateway->roster, identity, item->index, grace_ns (gateway),
                   gateway_now_ns (gateway));
      return;
    }
  if (strlen (identity) < sizeof record.identity)
    {
      memcpy (record.identity, identity, strlen (identity) + 1);
      error = gateway->adapter->read_upstream (item->value, item->value_size,
                                               &record, reason);
    }
  if (error == 0)
    {
      error = roster_put (&gateway->roster, &record);
      if (error >= 0)
        neighbours_pass_on (gateway, item, error == ROSTER_CHANGED);
      return;
    }
  LOG (LOG_UPSTREAM_REJECTED, NULL, LOG_S ("identity", identity),
       LOG_S ("reason", reason));
  roster_drop (&gateway->roster, identity, item->index, 0,
               gateway_now_ns (gateway));
}
