/**
 * @file gateway_config.c
 * Reading and application of configurations.
 */
#include "gateway/gateway_config.h"
#include "gateway/gateway_peers.h"
#include "state/decimal.h"
#include "state/err.h"
#include "transport/log.h"
#include "transport/loop.h"
#include <stdlib.h>
#include <string.h>

/* Requests may arrive on all kept connections at once; to receive and validate
   one takes some 50 us of a core, and the others wait meanwhile. */
#define KEPT_CONNECTIONS_PER_CORE 2000

/* One in this many sockets of clients is for those that are refused. */
#define REFUSED_PART 16

static bool is_same (const struct kvstore_item *item,
                     const struct store_position *position);
static bool is_known (const struct gateway *gateway,
                      const struct kvstore_item *item);
static int copy_item (struct kvstore_item *copy,
                      const struct kvstore_item *item);
static void discard_item (struct kvstore_item *item);
static void add_waiting (struct gateway_config *config,
                         const struct kvstore_item *item);
static void discard_waiting (struct gateway_config *config, size_t count);
static void start_reading (struct gateway *gateway);
static void on_next_part (evutil_socket_t fd, short what, void *arg);
static void read_part (struct gateway *gateway);
static void end_reading (struct gateway *gateway, int error,
                         struct routing *routing, const char *reason);
static void reject (struct gateway *gateway,
                    const struct store_position *position, const char *reason);
static void apply (struct gateway *gateway, const struct kvstore_item *item,
                   struct routing *routing);
static void apply_http_limits (struct gateway *gateway);

int
gateway_config_start (struct gateway *gateway)
{
  struct gateway_config *config = &gateway->config;

  config->next_part = event_new (gateway->base, -1, 0, on_next_part, gateway);
  if (config->next_part == NULL)
    return ERR_NO_MEMORY;
  loop_set_control (config->next_part);
  return 0;
}

void
gateway_config_finish (struct gateway *gateway)
{
  struct gateway_config *config = &gateway->config;

  if (config->reading != NULL)
    gateway->adapter->config_free (config->reading);
  config->reading = NULL;
  discard_item (&config->item);
  discard_waiting (config, config->waiting_count);
  if (config->next_part != NULL)
    event_free (config->next_part);
  config->next_part = NULL;
}

void
gateway_config_read (struct gateway *gateway, const struct kvstore_item *item)
{
  struct gateway_config *config = &gateway->config;
  struct kvstore_item copy;

  if (item->value == NULL)
    {
      LOG (LOG_CONFIG_REJECTED, NULL, LOG_S ("reason", "deleted"));
      return;
    }
  if (is_known (gateway, item))
    return;
  if (copy_item (&copy, item) != 0)
    {
      reject (gateway, &item->position, err_name (ERR_NO_MEMORY));
      return;
    }
  add_waiting (config, &copy);
  if (config->reading == NULL)
    start_reading (gateway);
}

static bool
is_same (const struct kvstore_item *item,
         const struct store_position *position)
{
  return store_position_compare (&item->position, position) == 0;
}

/* Each hub of the zone sends each version. */
static bool
is_known (const struct gateway *gateway, const struct kvstore_item *item)
{
  const struct gateway_config *config = &gateway->config;
  size_t i;

  for (i = 0; i < config->waiting_count; i++)
    if (is_same (item, &config->waiting[i].position))
      return true;
  return (config->reading != NULL && is_same (item, &config->item.position))
         || (gateway->routing != NULL && is_same (item, &config->position));
}

static int
copy_item (struct kvstore_item *copy, const struct kvstore_item *item)
{
  char *key = strdup (item->key);
  char *value = malloc (item->value_size + 1);

  if (key == NULL || value == NULL)
    {
      free (key);
      free (value);
      return ERR_NO_MEMORY;
    }
  memcpy (value, item->value, item->value_size);
  value[item->value_size] = '\0';
  *copy = *item;
  copy->key = key;
  copy->value = value;
  return 0;
}

static void
discard_item (struct kvstore_item *item)
{
  free ((char *)item->key);
  free ((char *)item->value);
  memset (item, 0, sizeof *item);
}

/* One that waits is kept until a newer one is in force, as that may turn out
   to be malformed. */
static void
add_waiting (struct gateway_config *config, const struct kvstore_item *item)
{
  struct kvstore_item *waiting = config->waiting;
  size_t at;

  if (config->waiting_count == GATEWAY_CONFIG_WAITING_MAX)
    discard_waiting (config, 1);
  for (at = config->waiting_count;
       at > 0
       && store_position_compare (&waiting[at - 1].position, &item->position)
              > 0;
       at--)
    waiting[at] = waiting[at - 1];
  waiting[at] = *item;
  config->waiting_count++;
}

/* Discards the oldest ones. */
static void
discard_waiting (struct gateway_config *config, size_t count)
{
  size_t i;

  for (i = 0; i < count; i++)
    discard_item (&config->waiting[i]);
  config->waiting_count -= count;
  memmove (config->waiting, config->waiting + count,
           config->waiting_count * sizeof config->waiting[0]);
}

bool
gateway_config_pending (const struct gateway *gateway)
{
  return gateway->config.reading != NULL || gateway->config.waiting_count > 0;
}

static void
start_reading (struct gateway *gateway)
{
  struct gateway_config *config = &gateway->config;

  config->item = config->waiting[--config->waiting_count];
  config->reading = gateway->adapter->config_new (config->item.value,
                                                  config->item.value_size);
  if (config->reading == NULL)
    end_reading (gateway, ERR_NO_MEMORY, NULL, err_name (ERR_NO_MEMORY));
  else
    read_part (gateway);
}

static void
on_next_part (evutil_socket_t fd, short what, void *arg)
{
  struct gateway *gateway = arg;

  (void)fd;
  (void)what;
  loop_control_begin (&gateway->loop_control, gateway->config.next_part);
  if (gateway->config.reading != NULL)
    read_part (gateway);
  else if (gateway->config.waiting_count > 0)
    start_reading (gateway);
  loop_control_end (&gateway->loop_control);
}

/* The next part follows after as long as this one took: events of control go
   before those of clients, which get half of the time so. */
static void
read_part (struct gateway *gateway)
{
  struct gateway_config *config = &gateway->config;
  const uint64_t start_ns = gateway_now_ns (gateway);
  char reason[ADAPTER_REASON_SIZE];
  struct routing *routing = NULL;
  struct timeval rest;
  uint64_t spent_ns;
  int error = gateway->adapter->config_step (
      config->reading, GATEWAY_CONFIG_PART_BYTES, &routing, reason);

  if (error != ADAPTER_CONFIG_MORE)
    end_reading (gateway, error, routing, reason);
  if (error != ADAPTER_CONFIG_MORE && config->waiting_count == 0)
    return;
  spent_ns = gateway_now_ns (gateway) - start_ns;
  rest.tv_sec = (time_t)(spent_ns / CLOCK_NS_PER_S);
  rest.tv_usec = (suseconds_t)(spent_ns % CLOCK_NS_PER_S / CLOCK_NS_PER_US);
  event_add (config->next_part, &rest);
}

static void
end_reading (struct gateway *gateway, int error, struct routing *routing,
             const char *reason)
{
  struct gateway_config *config = &gateway->config;

  if (config->reading != NULL)
    gateway->adapter->config_free (config->reading);
  config->reading = NULL;
  if (error != 0)
    reject (gateway, &config->item.position, reason);
  else
    apply (gateway, &config->item, routing);
  discard_item (&config->item);
}

static void
reject (struct gateway *gateway, const struct store_position *position,
        const char *reason)
{
  gateway->counters.entries_rejected++;
  LOG (LOG_CONFIG_REJECTED, NULL, LOG_S ("reason", reason),
       LOG_S ("era", digits_text (&position->era)),
       LOG_S ("index", digits_text (&position->revision)));
}

static void
apply (struct gateway *gateway, const struct kvstore_item *item,
       struct routing *routing)
{
  size_t older = 0;

  if (gateway->routing != NULL
      && decimal_compare (routing->version, gateway->routing->version) <= 0)
    {
      LOG (LOG_CONFIG_STALE, NULL, LOG_S ("version", routing->version),
           LOG_S ("held", gateway->routing->version));
      routing_release (routing);
      return;
    }
  routing_release (gateway->routing);
  gateway->routing = routing;
  gateway->config.position = item->position;
  while (older < gateway->config.waiting_count
         && store_position_compare (&gateway->config.waiting[older].position,
                                    &item->position)
                < 0)
    older++;
  discard_waiting (&gateway->config, older);
  gateway->counters.entries_rejected += routing->rejected_count;
  apply_http_limits (gateway);
  gateway_peers_publish_item (gateway, item, true);
  LOG (LOG_CONFIG_APPLIED, NULL, LOG_S ("version", routing->version),
       LOG_U ("routes", routing->route_count),
       LOG_U ("customers", routing->customer_count));
}

static void
apply_http_limits (struct gateway *gateway)
{
  const struct routing_limits *limits = &gateway->routing->limits;
  /* The other half is for connections to upstreams. */
  const uint32_t sockets = gateway->settings.connections_max / 2;

  httpd_set_limits (
      gateway->httpd,
      &(struct httpd_limits){
          .header_bytes_max = limits->header_bytes_max,
          .body_bytes_max = limits->body_bytes_max,
          .connections_max = sockets - sockets / REFUSED_PART,
          .sockets_max = sockets,
          .kept_connections_max
          = gateway->settings.cpu_permille * KEPT_CONNECTIONS_PER_CORE / 1000,
          .idle_timeout_ms = limits->idle_timeout_ms,
          .read_timeout_ms = limits->header_timeout_ms,
          .write_timeout_ms = limits->idle_timeout_ms,
          .low_water_bytes = HTTPD_READ_MAX / 4 });
}
