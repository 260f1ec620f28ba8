/**
 * @file gateway_stream_store.c
 * Records of builds, and of the streams that they began, in the store.
 */
#include "gateway/gateway_stream_store.h"
#include "gateway/discovery.h"
#include "gateway/gateway_peers_int.h"
#include "protocol/stream_summary.h"
#include "state/err.h"
#include "transport/log.h"
#include <ctype.h>
#include <errno.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Below the prefix of the gateways' own entries. */
#define RECORD_PREFIX "~builds/"
#define KEY_SIZE      192
#define VALUE_SIZE    24
/* Streams that began since the last summary are unknown after the loss of the
   fleet: few of those that are in progress. */
#define SUMMARY_INTERVAL_MS 200
#define SUMMARY_ROWS        4096
/* Summaries last until no client returns, as long as those of their lease that
   were written last. */
#define LEASE_MS         (STREAM_BUILDS_TTL_MS + 30000)
#define LEASE_RENEWAL_MS 15000
/* A single build is recorded after this, when registrations of a whole fleet
   of upstreams that start at once have arrived. */
#define SINGLE_DELAY_MS 2000
/* After a failed write. */
#define RETRY_MS 1000
/* Time for links and for reading the summaries. */
#define START_MS 3000

static int parse_hex (const char *text, size_t size, uint64_t *number);
static void write_records (struct gateway *gateway);
static void write_record (struct gateway *gateway, struct build_record *record,
                          uint64_t build);
static void on_record_written (void *user, int error, uint64_t index);
static bool is_writer (const struct gateway *gateway);
static bool has_resumable_route (const struct gateway *gateway,
                                 uint64_t service_id);
static void load_page (struct gateway *gateway, const char *after);
static void on_page (void *user, int error, const struct kvstore_page *page);
static void put_row (void *user, const struct stream_builds_row *row);
static void write_summary (struct gateway *gateway);
static void on_summary_written (void *user, int error, uint64_t index);
static void renew_lease (struct gateway *gateway);
static void on_lease_granted (void *user, int error, uint64_t lease);
static void log_failure (const char *what, int error);

void
gateway_stream_store_start (struct gateway *gateway)
{
  gateway->stream_store.start_wall_ms = clock_wall_ms (&gateway->clock);
}

/* Records. */

bool
gateway_stream_store_owns_key (const struct gateway *gateway, const char *key)
{
  size_t length = strlen (gateway->adapter->gateway_prefix);

  return strncmp (key, gateway->adapter->gateway_prefix, length) == 0
         && strncmp (key + length, RECORD_PREFIX, strlen (RECORD_PREFIX)) == 0;
}

void
gateway_stream_store_apply_item (struct gateway *gateway,
                                 const struct kvstore_item *item)
{
  const char *name = item->key + strlen (gateway->adapter->gateway_prefix)
                     + strlen (RECORD_PREFIX);
  uint64_t now_ns = gateway_now_ns (gateway);
  struct build_record *record;
  uint64_t service_id;
  uint64_t build = 0;

  if (parse_hex (name, strlen (name), &service_id) != 0
      || (item->value != NULL
          && parse_hex (item->value, item->value_size, &build) != 0))
    {
      gateway->counters.entries_rejected++;
      LOG (LOG_PEER_REJECTED, NULL, LOG_S ("builds", item->key),
           LOG_S ("error", err_name (ERR_INVALID)));
      return;
    }
  record = build_records_get (&gateway->build_records, service_id);
  if (record == NULL)
    return;
  if (build == BUILD_RECORD_SEVERAL && record->build != build)
    {
      const struct stream_builds_row marker = {
        .key = service_id,
        .service_id = service_id,
        .ttl_ms = STREAM_BUILDS_TTL_MS,
      };

      /* If this instance has not seen the builds itself, it has not seen the
         streams either.  At its start it may have read the upstreams' entries
         before this one. */
      gateway->stream_store.to_load
          = gateway->stream_store.to_load || !gateway->peers->members_listed
            || !stream_builds_several (&gateway->streams, service_id, now_ns);
      stream_builds_put (&gateway->streams, &marker, STREAM_BUILDS_OWN, 0,
                         now_ns);
    }
  record->build = build;
  gateway_peers_publish_item (gateway, item, true);
}

/* @return 0, or ERR_INVALID for text that is no 64-bit hexadecimal number. */
static int
parse_hex (const char *text, size_t size, uint64_t *number)
{
  char digits[VALUE_SIZE];
  size_t i;

  if (size == 0 || size >= sizeof digits)
    return ERR_INVALID;
  for (i = 0; i < size; i++)
    if (!isxdigit ((unsigned char)text[i]))
      return ERR_INVALID;
  memcpy (digits, text, size);
  digits[size] = '\0';
  errno = 0;
  *number = strtoull (digits, NULL, 16);
  return errno == 0 ? 0 : ERR_INVALID;
}

bool
gateway_stream_store_starting (const struct gateway *gateway)
{
  return !gateway->peers->members_listed
         || (gateway->stream_store.to_load && gateway->peers->hub)
         || gateway_now_ns (gateway) - gateway->peers->start_ns
                < START_MS * CLOCK_NS_PER_MS;
}

static bool
has_resumable_route (const struct gateway *gateway, uint64_t service_id)
{
  const struct routing *routing = gateway->routing;
  uint32_t i;
  uint32_t j;

  for (i = 0; routing != NULL && i < routing->route_count; i++)
    for (j = 0; j < routing->routes[i].target_count; j++)
      if (routing->routes[i].resumable
          && routing->services[routing->routes[i].targets[j].service].id
                 == service_id)
        return true;
  return false;
}

/* The hub with the lowest id among those with a fresh view of the store.  Two
   that disagree for a while write the same. */
static bool
is_writer (const struct gateway *gateway)
{
  const struct gateway_peers *peers = gateway->peers;
  const struct gateway_peer *peer;

  if (!peers->hub || !peers->members_listed)
    return false;
  for (peer = peers->linked_peers; peer != NULL; peer = peer->hh.next)
    if (peer->instance_id < peers->self_id && peer->report_ns != 0
        && peer->load.age_ms < discovery_age_max_ms (gateway)
        && gateway_peers_knows_hub (peers, peer->instance_id))
      return false;
  return true;
}

static void
write_records (struct gateway *gateway)
{
  const struct registry_upstream *upstream;
  uint64_t now_ns = gateway_now_ns (gateway);
  struct build_record *record;
  uint64_t service_id = 0;
  uint64_t wanted;

  for (upstream = gateway->registry.upstreams; upstream != NULL;
       upstream = upstream->hh.next)
    {
      if (upstream->record.service_id == service_id)
        continue;
      service_id = upstream->record.service_id;
      record = build_records_get (&gateway->build_records, service_id);
      if (record == NULL)
        return;
      wanted = build_record_wanted (
          record, registry_single_build (&gateway->registry, service_id),
          stream_builds_several (&gateway->streams, service_id, now_ns));
      if (wanted == 0 || now_ns < record->write_ns
          || !has_resumable_route (gateway, service_id))
        continue;
      if (wanted != BUILD_RECORD_SEVERAL && record->write_ns == 0)
        record->write_ns = now_ns + SINGLE_DELAY_MS * CLOCK_NS_PER_MS;
      else
        write_record (gateway, record, wanted);
    }
}

static void
write_record (struct gateway *gateway, struct build_record *record,
              uint64_t build)
{
  char key[KEY_SIZE];
  char value[VALUE_SIZE];
  const struct kvstore_item put
      = { .key = key,
          .value = value,
          .value_size
          = (size_t)snprintf (value, sizeof value, "%" PRIx64, build) };
  const struct kvstore_txn txn = { .puts = &put, .put_count = 1 };
  int error;

  snprintf (key, sizeof key, "%s" RECORD_PREFIX "%016" PRIx64,
            gateway->adapter->gateway_prefix, record->service_id);
  record->write_ns = gateway_now_ns (gateway) + RETRY_MS * CLOCK_NS_PER_MS;
  error = gateway->store->ops->txn (gateway->store, &txn, on_record_written,
                                    gateway);
  if (error != 0)
    log_failure ("builds", error);
}

/* The watch reports what was written. */
static void
on_record_written (void *user, int error, uint64_t index)
{
  (void)user;
  (void)index;
  if (error != 0)
    log_failure ("builds", error);
}

/* Summaries, read. */

/* Hubs read them, and send them to the other instances. */
static void
load_page (struct gateway *gateway, const char *after)
{
  int error = gateway->store->ops->list_page (gateway->store,
                                              gateway->adapter->stream_prefix,
                                              after, false, on_page, gateway);

  gateway->stream_store.loading = error == 0;
  if (error != 0)
    log_failure ("streams", error);
}

static void
on_page (void *user, int error, const struct kvstore_page *page)
{
  struct gateway *gateway = user;
  size_t i;

  gateway->stream_store.loading = false;
  if (error != 0)
    {
      log_failure ("streams", error);
      return;
    }
  for (i = 0; i < page->count; i++)
    if (page->items[i].value_size == 0
        || stream_summary_read ((const uint8_t *)page->items[i].value,
                                page->items[i].value_size, put_row, gateway)
               != 0)
      {
        gateway->counters.entries_rejected++;
        LOG (LOG_PEER_REJECTED, NULL, LOG_S ("streams", page->items[i].key),
             LOG_S ("error", err_name (ERR_INVALID)));
      }
  if (page->more && page->count > 0)
    load_page (gateway, page->items[page->count - 1].key);
  else
    gateway->stream_store.to_load = false;
}

static void
put_row (void *user, const struct stream_builds_row *row)
{
  struct gateway *gateway = user;

  stream_builds_put (&gateway->streams, row, STREAM_BUILDS_OWN, 0,
                     gateway_now_ns (gateway));
}

/* Summaries, written. */

static void
renew_lease (struct gateway *gateway)
{
  struct gateway_stream_store *store = &gateway->stream_store;
  int error;

  store->writing = true;
  error = gateway->store->ops->lease_grant (gateway->store, LEASE_MS,
                                            on_lease_granted, gateway);
  if (error == 0)
    return;
  store->writing = false;
  log_failure ("streams", error);
}

static void
on_lease_granted (void *user, int error, uint64_t lease)
{
  struct gateway *gateway = user;
  struct gateway_stream_store *store = &gateway->stream_store;

  store->writing = false;
  if (error != 0)
    {
      log_failure ("streams", error);
      return;
    }
  store->lease = lease;
  store->lease_era = gateway->store->era;
  store->lease_ns = gateway_now_ns (gateway);
  write_summary (gateway);
}

static void
write_summary (struct gateway *gateway)
{
  static const struct stream_builds_peer everyone
      = { .instance_id = UINT64_MAX, .everything = true };
  struct gateway_stream_store *store = &gateway->stream_store;
  struct stream_builds_row *rows = calloc (SUMMARY_ROWS, sizeof *rows);
  uint8_t *value = calloc (SUMMARY_ROWS, STREAM_SUMMARY_ROW_SIZE);
  char key[KEY_SIZE];
  struct kvstore_item put = { .key = key, .value = (const char *)value };
  const struct kvstore_txn txn
      = { .puts = &put, .put_count = 1, .lease = store->lease };
  size_t count;
  int error = 0;

  store->sequence = store->written;
  if (rows != NULL && value != NULL)
    {
      count
          = stream_builds_rows (&gateway->streams, &everyone, &store->sequence,
                                rows, SUMMARY_ROWS, gateway_now_ns (gateway));
      put.value_size = stream_summary_write (rows, count, value);
      snprintf (key, sizeof key, "%s%s/%" PRIx64 "-%" PRIu64,
                gateway->adapter->stream_prefix, gateway->settings.instance,
                store->start_wall_ms, store->summaries++);
      if (put.value_size > 0)
        error = gateway->store->ops->txn (gateway->store, &txn,
                                          on_summary_written, gateway);
      else
        store->written = store->sequence;
      store->writing = put.value_size > 0 && error == 0;
      if (error != 0)
        log_failure ("streams", error);
    }
  free (rows);
  free (value);
}

static void
on_summary_written (void *user, int error, uint64_t index)
{
  struct gateway *gateway = user;
  struct gateway_stream_store *store = &gateway->stream_store;

  (void)index;
  store->writing = false;
  if (error == 0)
    store->written = store->sequence;
  else
    {
      store->lease = 0;
      log_failure ("streams", error);
    }
}

void
gateway_stream_store_tick (struct gateway *gateway)
{
  struct gateway_stream_store *store = &gateway->stream_store;
  uint64_t now_ns = gateway_now_ns (gateway);

  if (store->to_load && !store->loading && gateway->peers->hub
      && now_ns - store->load_ns >= RETRY_MS * CLOCK_NS_PER_MS)
    {
      store->load_ns = now_ns;
      load_page (gateway, NULL);
    }
  if (!is_writer (gateway))
    return;
  write_records (gateway);
  if (store->writing || store->written == gateway->streams.sequence
      || now_ns - store->write_ns < SUMMARY_INTERVAL_MS * CLOCK_NS_PER_MS
      || !stream_builds_any_several (&gateway->streams, now_ns))
    return;
  store->write_ns = now_ns;
  if (store->lease == 0
      || digits_compare (&store->lease_era, &gateway->store->era) != 0
      || now_ns - store->lease_ns > LEASE_RENEWAL_MS * CLOCK_NS_PER_MS)
    renew_lease (gateway);
  else
    write_summary (gateway);
}

void
gateway_stream_store_finish (struct gateway *gateway)
{
  build_records_finish (&gateway->build_records);
}

static void
log_failure (const char *what, int error)
{
  LOG (log_store_message (error), NULL, LOG_S ("for", what),
       LOG_S ("error", err_name (error)));
}
