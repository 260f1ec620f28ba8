/**
 * @file gateway.c
 * Initialises a gateway, runs its event loop and drains it.
 */
#include "gateway/gateway.h"
#include "gateway/discovery.h"
#include "gateway/gateway_config.h"
#include "gateway/gateway_limits.h"
#include "gateway/gateway_peers.h"
#include "gateway/gateway_quarantine.h"
#include "gateway/gateway_request.h"
#include "gateway/gateway_stream_store.h"
#include "gateway/gateway_streams.h"
#include "gateway/probe.h"
#include "state/err.h"
#include "transport/heap.h"
#include "transport/log.h"
#include "transport/loop.h"
#include "transport/sigtime.h"
#include "transport/sock.h"
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define BYTES_PER_MB 1000000ULL
/* Interval of housekeeping; the shortest grace time is ten ticks. */
#define TICK_MS 100
/* Idle connections to upstreams are closed once a second. */
#define SWEEP_TICKS        10
#define CONNECT_TIMEOUT_MS 1000 /* upstreams are a millisecond away */
#define SILENCE_TIMEOUT_MS                                                    \
  2000                 /* until a dead upstream or store is detected */
#define READ_MAX 32768 /* bytes read at once from an upstream connection */
/* Limits the cost of logging to a tenth of a percent of a core; a refused or
   failed request logs about five lines during an incident. */
#define LOG_LINES_PER_S_MAX 120
/* Recorded usage decays over the share window divided by this, so that a
   customer that becomes active late has caught up within half the window. */
#define USAGE_DECAY_DIVISOR 2
/* The loop ends when this much of the grace period is left: two ticks, as one
   may be late. */
#define EXIT_MARGIN_MS 200

/* Ticks go before traffic; one that is this late shows a fault of the loop. */
#define CONTROL_LATE_MS 1000
/* Waits of a ready event for the event loop are logged from this on. */
#define LOOP_LAG_LOGGED_MS 250
/* While ready events wait this long, new connections are turned away: their
   requests would wait for the loop several times. */
#define LOOP_LAG_ACCEPT_MAX_MS 50

/* Connections that may wait to be accepted.  A client that finds the queue
   full fails after a second and may not send its request again, so the queue
   holds those of a flood while the loop is late.  But each takes some 12 us of
   a core when it arrives, before those that are open, and the memory of its
   request. */
#define WAITING_CONNECTIONS_PER_CORE 15000

/* In effect until the first configuration is applied. */
static const struct httpd_limits default_limits = {
  .header_bytes_max = 16384,
  .body_bytes_max = 4194304,
  .connections_max = 1024,
  .idle_timeout_ms = 15000,
  .read_timeout_ms = 3000,
  .write_timeout_ms = 15000,
  .low_water_bytes = HTTPD_READ_MAX / 4,
};

static uint64_t memory_bytes (const struct gateway_settings *settings);
static int init_tables (struct gateway *gateway);
static int init_transport (struct gateway *gateway);
static int init_events (struct gateway *gateway);
static void on_tick (evutil_socket_t fd, short what, void *arg);
static void on_lag_measured (void *user, uint64_t lag_ns);
static bool accepts_connections (void *user);
static void handle_shed_connections (struct gateway *gateway, uint64_t now_ns);
static void log_shed_connections (struct gateway *gateway);
static void log_closes (struct gateway *gateway);
static void log_dispatch (struct gateway *gateway);
static void log_loop_time (struct gateway *gateway);
static void on_signal (evutil_socket_t fd, short what, void *arg);
static void on_upstream_removed (void *user,
                                 const struct registry_upstream *upstream);
static void drain_since (struct gateway *gateway, uint64_t start_ns);
static void check_drain (struct gateway *gateway, uint64_t now_ns);

int
gateway_init (struct gateway *gateway, const struct gateway_settings *settings,
              const struct gateway_adapter *adapter, struct event_base *base,
              struct kvstore *store)
{
  int error;

  memset (gateway, 0, sizeof *gateway);
  gateway->settings = *settings;
  gateway->adapter = adapter;
  gateway->base = base;
  gateway->store = store;
  clock_init_real (&gateway->clock);
  gateway->loop_time.clock = &gateway->clock;
  loop_control_init (&gateway->loop_control, &gateway->clock,
                     &gateway->loop_time);
  heap_init ();
  log_init (LOG_LEVEL_DEBUG, &gateway->clock);
  log_set_sink (&(struct log_sink){ .fd = STDOUT_FILENO,
                                    .instance = gateway->settings.instance,
                                    .lines_max = LOG_LINES_PER_S_MAX });
  error = init_tables (gateway);
  if (error == 0)
    error = init_transport (gateway);
  if (error == 0)
    error = init_events (gateway);
  if (error == 0)
    error = probe_start (gateway);
  if (error == 0)
    error = gateway_config_start (gateway);
  if (error == 0)
    error = discovery_start (gateway);
  if (error == 0)
    error = gateway_peers_start (gateway);
  if (error != 0)
    LOG (LOG_LISTEN_FAILED, NULL, LOG_S ("address", settings->client_address),
         LOG_S ("error", err_name (error)));
  else
    LOG (LOG_STARTED, NULL, LOG_S ("instance", settings->instance),
         LOG_S ("availability_zone", settings->availability_zone),
         LOG_S ("clients", settings->client_address));
  return error;
}

static int
init_tables (struct gateway *gateway)
{
  const struct fleet_retry_budget_config config = {
    .permille = gateway->settings.retry_permille,
    .allowance = gateway->settings.retry_allowance,
    .window_ms = gateway->settings.retry_window_ms,
  };
  struct memory_shares shares;

  memory_shares (memory_bytes (&gateway->settings), &shares);
  memory_account_init (&gateway->memory, shares.account_bytes);
  registry_init (&gateway->registry);
  gateway->registry.removed = on_upstream_removed;
  gateway->registry.user = gateway;
  prefix_cache_init (&gateway->prefix_cache);
  fleet_retry_budget_init (&gateway->fleet_retry_budget, &config);
  usage_share_init (&gateway->usage,
                    gateway->settings.share_window_ms / USAGE_DECAY_DIVISOR);
  gateway->usage_cap_tokens = UINT64_MAX;
  wait_queue_init (&gateway->wait_queue);
  gateway_quarantine_start (gateway);
  gateway_streams_start (gateway);
  gateway_stream_store_start (gateway);
  rng_init (&gateway->rng, catalog_id (gateway->settings.instance)
                               ^ clock_wall_ms (&gateway->clock));
  return 0;
}

static uint64_t
memory_bytes (const struct gateway_settings *settings)
{
  return (uint64_t)settings->memory_mb * BYTES_PER_MB;
}

static int
init_transport (struct gateway *gateway)
{
  struct memory_shares shares;
  struct httpd_config server = {
    .base = gateway->base,
    .clock = &gateway->clock,
    .address = gateway->settings.client_address,
    .request_id_header = gateway->adapter->dialect->id_header,
    .close_idle_silently = true,
    .backlog
    = gateway->settings.cpu_permille * WAITING_CONNECTIONS_PER_CORE / 1000,
    .memory = &gateway->memory,
    .limits = default_limits,
    .head = gateway_request_check_head,
    .request = gateway_request_arrived,
    .client_closed = gateway_request_client_disconnected,
    .output_low = gateway_request_output_drained,
    .accepts = accepts_connections,
    .refuse = gateway_request_refuse_unparsed,
    .user = gateway,
    .time = &gateway->loop_time,
  };
  const struct upstream_http_config client = {
    .base = gateway->base,
    .clock = &gateway->clock,
    .dialect = gateway->adapter->dialect,
    .connect_timeout_ms = CONNECT_TIMEOUT_MS,
    .dead_peer_ms = SILENCE_TIMEOUT_MS,
    .read_max_bytes = READ_MAX,
    .receive_buffer_bytes = READ_MAX,
  };

  memory_shares (memory_bytes (&gateway->settings), &shares);
  server.connection_bytes = shares.connection_bytes;
  gateway->upstream_client = upstream_http_new (&client);
  if (gateway->upstream_client == NULL)
    return ERR_NO_MEMORY;
  return httpd_new (&gateway->httpd, &server);
}

static int
init_events (struct gateway *gateway)
{
  static const int numbers[GATEWAY_SIGNALS] = { SIGTERM, SIGINT, SIGHUP };
  const struct timeval tick = clock_timeval (TICK_MS);
  int i;

  signal (SIGPIPE, SIG_IGN);
  sock_raise_fd_limit ();
  gateway->tick = event_new (gateway->base, -1, EV_PERSIST, on_tick, gateway);
  gateway->dispatch = event_new (gateway->base, -1, 0,
                                 gateway_request_dispatch_waiting, gateway);
  if (gateway->tick == NULL || gateway->dispatch == NULL
      || looplag_init (&gateway->loop_lag, gateway->base, &gateway->clock,
                       on_lag_measured, gateway)
             != 0)
    return ERR_NO_MEMORY;
  loop_set_control (gateway->tick);
  event_add (gateway->tick, &tick);
  /* The event loop does not count as lagging before its first tick. */
  gateway->tick_ns = gateway_now_ns (gateway);
  for (i = 0; i < GATEWAY_SIGNALS; i++)
    {
      gateway->signals[i]
          = evsignal_new (gateway->base, numbers[i], on_signal, gateway);
      if (gateway->signals[i] == NULL)
        return ERR_NO_MEMORY;
      loop_set_control (gateway->signals[i]);
      event_add (gateway->signals[i], NULL);
      if (sigtime_watch (numbers[i], &gateway->clock) != 0)
        return ERR_INVALID;
    }
  sigtime_release ();
  return 0;
}

void
gateway_finish (struct gateway *gateway)
{
  struct gateway_service *service;
  struct gateway_route *route;
  struct gateway_route *next_route;
  struct gateway_service *next;
  int i;

  if (gateway->httpd != NULL)
    httpd_free (gateway->httpd);
  if (gateway->store != NULL)
    gateway->store->ops->finish (gateway->store);
  gateway_peers_finish (gateway);
  discovery_finish (gateway);
  gateway_config_finish (gateway);
  probe_finish (gateway);
  gateway->registry.removed = NULL;
  registry_finish (&gateway->registry);
  if (gateway->upstream_client != NULL)
    upstream_http_free (gateway->upstream_client);
  prefix_cache_finish (&gateway->prefix_cache);
  fleet_retry_budget_finish (&gateway->fleet_retry_budget);
  memory_account_finish (&gateway->memory);
  wait_queue_finish (&gateway->wait_queue);
  usage_share_finish (&gateway->usage);
  quarantine_finish (&gateway->quarantine);
  stream_builds_finish (&gateway->streams);
  gateway_stream_store_finish (gateway);
  turns_finish (&gateway->turns);
  service = gateway->services;
  HASH_CLEAR (hh, gateway->services);
  for (; service != NULL; service = next)
    {
      next = service->hh.next;
      free (service);
    }
  route = gateway->routes;
  HASH_CLEAR (hh, gateway->routes);
  for (; route != NULL; route = next_route)
    {
      next_route = route->hh.next;
      free (route);
    }
  routing_release (gateway->routing);
  if (gateway->dispatch != NULL)
    event_free (gateway->dispatch);
  if (gateway->tick != NULL)
    event_free (gateway->tick);
  looplag_finish (&gateway->loop_lag);
  loop_control_finish (&gateway->loop_control);
  sigtime_finish (&gateway->clock);
  for (i = 0; i < GATEWAY_SIGNALS; i++)
    if (gateway->signals[i] != NULL)
      event_free (gateway->signals[i]);
  /* libevent frees bufferevents in deferred callbacks of the loop. */
  event_base_loop (gateway->base, EVLOOP_NONBLOCK);
}

void
gateway_run (struct gateway *gateway)
{
  event_base_dispatch (gateway->base);
  LOG (LOG_STOPPED, NULL, LOG_S ("instance", gateway->settings.instance),
       LOG_U ("requests", gateway->request_count));
}

uint64_t
gateway_now_ns (const struct gateway *gateway)
{
  return clock_now_ns (&gateway->clock);
}

bool
gateway_ready (const struct gateway *gateway)
{
  return !gateway->draining && !gateway->rotation.out
         && gateway->routing != NULL && gateway->upstreams_loaded;
}

static void
on_upstream_removed (void *user, const struct registry_upstream *upstream)
{
  struct gateway *gateway = user;

  upstream_http_remove_upstream (gateway->upstream_client, upstream->id);
  discovery_upstream_removed (gateway, upstream);
}

static void
on_tick (evutil_socket_t fd, short what, void *arg)
{
  struct gateway *gateway = arg;
  uint64_t now_ns = gateway_now_ns (gateway);
  uint64_t due_ns;

  (void)fd;
  (void)what;
  loop_control_begin (&gateway->loop_control, gateway->tick);
  due_ns = gateway->tick_ns + TICK_MS * CLOCK_NS_PER_MS;
  gateway->tick_ns = now_ns;
  /* The tick itself may have waited for the loop. */
  looplag_start (&gateway->loop_lag, due_ns < now_ns ? due_ns : now_ns);
  registry_expire (&gateway->registry, now_ns);
  handle_shed_connections (gateway, now_ns);
  /* Usages are not counted by service: a customer of one service of engines
     must not limit those of another. */
  gateway->usage_cap_tokens = HASH_COUNT (gateway->services) > 1
                                  ? UINT64_MAX
                                  : usage_share_cap (&gateway->usage, now_ns);
  gateway_limits_tick (gateway);
  if (memory_account_trims (&gateway->memory))
    heap_trim ();
  gateway_quarantine_tick (gateway);
  gateway_streams_tick (gateway);
  gateway_stream_store_tick (gateway);
  gateway_request_dispatch_waiting (-1, 0, gateway);
  if (++gateway->ticks % SWEEP_TICKS == 0)
    {
      upstream_http_close_idle (gateway->upstream_client);
      log_shed_connections (gateway);
      log_closes (gateway);
      log_dispatch (gateway);
      log_loop_time (gateway);
      turns_expire (&gateway->turns, now_ns);
    }
  if (gateway->draining)
    check_drain (gateway, now_ns);
  loop_control_end (&gateway->loop_control);
}

static bool
accepts_connections (void *user)
{
  struct gateway *gateway = user;

  looplag_start (&gateway->loop_lag, gateway_now_ns (gateway));
  return looplag_ns (&gateway->loop_lag)
         < LOOP_LAG_ACCEPT_MAX_MS * CLOCK_NS_PER_MS;
}

/* Customers whose connections are turned away wait for capacity, too. */
static void
handle_shed_connections (struct gateway *gateway, uint64_t now_ns)
{
  uint64_t count = httpd_shed_count (gateway->httpd);
  uint64_t turned_away = count - gateway->shed_counted;
  struct rotation_zone zone;

  if (turned_away > 0)
    usage_share_count_unread (&gateway->usage, turned_away, now_ns);
  gateway->shed_counted = count;
  gateway_peers_zone (gateway, &zone);
  if (rotation_update (&gateway->rotation, turned_away, &zone, now_ns))
    LOG (LOG_ROTATION_CHANGED, NULL,
         LOG_S ("in_rotation", gateway->rotation.out ? "no" : "yes"),
         LOG_U ("zone_instances", zone.instances),
         LOG_U ("zone_out", zone.others_out + gateway->rotation.out));
}

static void
log_shed_connections (struct gateway *gateway)
{
  uint64_t count = httpd_shed_count (gateway->httpd);

  if (count == gateway->shed_logged)
    return;
  LOG (LOG_CONNECTIONS_SHED, NULL,
       LOG_U ("count", count - gateway->shed_logged),
       LOG_U ("connections", httpd_connections (gateway->httpd)),
       LOG_U ("lag_ms", looplag_ns (&gateway->loop_lag) / CLOCK_NS_PER_MS));
  gateway->shed_logged = count;
}

/* Logs the reasons of this gateway's closes since the last line; a line that
   is dropped is made up for by the next one. */
static void
log_closes (struct gateway *gateway)
{
  struct log_field fields[HTTPD_CLOSE_MAX];
  uint64_t counts[HTTPD_CLOSE_MAX];
  size_t used = 0;
  int reason;

  for (reason = 0; reason < HTTPD_CLOSE_MAX; reason++)
    {
      counts[reason]
          = httpd_close_count (gateway->httpd, (enum httpd_close)reason);
      if (reason != HTTPD_CLOSE_CLIENT
          && counts[reason] != gateway->closes_logged[reason])
        fields[used++]
            = LOG_U (httpd_close_name ((enum httpd_close)reason),
                     counts[reason] - gateway->closes_logged[reason]);
    }
  if (used > 0 && log_write (LOG_CONNECTIONS_CLOSED, NULL, fields, used))
    memcpy (gateway->closes_logged, counts, sizeof counts);
}

/* Logs what the wait queue did since the last line, if requests expired in it.
 */
static void
log_dispatch (struct gateway *gateway)
{
  const struct gateway_dispatch_counters *now = &gateway->counters.dispatch;
  const struct gateway_dispatch_counters *last = &gateway->dispatch_logged;

  if (now->expired != last->expired)
    LOG (
        LOG_QUEUE_DISPATCHED, NULL, LOG_U ("runs", now->runs - last->runs),
        LOG_U ("ms", (now->duration_ns - last->duration_ns) / CLOCK_NS_PER_MS),
        LOG_U ("waiting", gateway->wait_queue.count),
        LOG_U ("expired", now->expired - last->expired),
        LOG_U ("offered", now->offered - last->offered),
        LOG_U ("sent",
               now->held[GATEWAY_HOLD_NONE] - last->held[GATEWAY_HOLD_NONE]),
        LOG_U ("held_cap",
               now->held[GATEWAY_HOLD_CAP] - last->held[GATEWAY_HOLD_CAP]),
        LOG_U ("held_backlog", now->held[GATEWAY_HOLD_BACKLOG]
                                   - last->held[GATEWAY_HOLD_BACKLOG]),
        LOG_U ("held_slots",
               now->held[GATEWAY_HOLD_SLOTS] - last->held[GATEWAY_HOLD_SLOTS]),
        LOG_U ("held_quota",
               now->held[GATEWAY_HOLD_QUOTA] - last->held[GATEWAY_HOLD_QUOTA]),
        LOG_U ("held_limit",
               now->held[GATEWAY_HOLD_LIMIT] - last->held[GATEWAY_HOLD_LIMIT]),
        LOG_U ("turns_asked", now->turns_asked - last->turns_asked),
        LOG_U ("turns_given", now->turns_given - last->turns_given),
        LOG_U ("turns_used", now->turns_used - last->turns_used),
        LOG_U ("turns_returned", now->turns_returned - last->turns_returned));
  gateway->dispatch_logged = *now;
}

/* Logs what the event loop has spent its time on since the last line, if ready
   events had to wait for it. */
static void
log_loop_time (struct gateway *gateway)
{
  const struct looptime *now = &gateway->loop_time;
  const struct looptime *last = &gateway->loop_time_logged;
  struct log_field fields[LOOP_WORK_MAX];
  int work;

  for (work = 0; work < LOOP_WORK_MAX; work++)
    fields[work] = LOG_U (looptime_name ((enum loop_work)work),
                          (now->total_ns[work] - last->total_ns[work])
                              / CLOCK_NS_PER_MS);
  if (looplag_ns (&gateway->loop_lag)
      >= LOOP_LAG_ACCEPT_MAX_MS * CLOCK_NS_PER_MS)
    log_write (LOG_LOOP_TIME, NULL, fields, LOOP_WORK_MAX);
  gateway->loop_time_logged = *now;
}

static void
on_lag_measured (void *user, uint64_t lag_ns)
{
  struct gateway *gateway = user;

  hist_observe (&gateway->counters.loop_lag, lag_ns / CLOCK_NS_PER_US);
  if (lag_ns >= LOOP_LAG_LOGGED_MS * CLOCK_NS_PER_MS)
    LOG (LOG_LOOP_LATE, NULL, LOG_U ("ms", lag_ns / CLOCK_NS_PER_MS),
         LOG_U ("requests", gateway->request_count),
         LOG_U ("connections", httpd_connections (gateway->httpd)));
}

void
gateway_check_control (struct gateway *gateway)
{
  uint64_t now_ns = gateway_now_ns (gateway);

  if (now_ns - gateway->tick_ns < CONTROL_LATE_MS * CLOCK_NS_PER_MS
      || now_ns - gateway->control_late_ns < CONTROL_LATE_MS * CLOCK_NS_PER_MS)
    return;
  gateway->control_late_ns = now_ns;
  LOG (LOG_CONTROL_LATE, NULL,
       LOG_U ("ms", (now_ns - gateway->tick_ns) / CLOCK_NS_PER_MS),
       LOG_U ("active", (uint64_t)event_base_get_num_events (
                            gateway->base, EVENT_BASE_COUNT_ACTIVE)));
}

/* Draining. */

static void
on_signal (evutil_socket_t fd, short what, void *arg)
{
  struct gateway *gateway = arg;

  (void)what;
  if (fd != SIGHUP)
    drain_since (gateway, sigtime_last_ns (fd, gateway_now_ns (gateway)));
  else if (gateway->reload_settings != NULL)
    gateway->reload_settings (gateway->reload_user);
}

void
gateway_reload (struct gateway *gateway,
                const struct gateway_settings *settings)
{
  struct gateway_settings *own = &gateway->settings;
  struct memory_shares shares;
  bool restart = strcmp (own->instance, settings->instance) != 0
                 || strcmp (own->client_address, settings->client_address) != 0
                 || strcmp (own->probe_address, settings->probe_address) != 0
                 || strcmp (own->peer_address, settings->peer_address) != 0
                 || strcmp (own->store_address, settings->store_address) != 0;

  own->grace_ms = settings->grace_ms;
  own->connections_max = settings->connections_max;
  own->memory_mb = settings->memory_mb;
  memory_shares (memory_bytes (own), &shares);
  gateway->memory.limit_bytes = shares.account_bytes;
  own->retry_permille = settings->retry_permille;
  own->retry_allowance = settings->retry_allowance;
  own->share_window_ms = settings->share_window_ms;
  gateway->fleet_retry_budget.config.permille = settings->retry_permille;
  gateway->fleet_retry_budget.config.allowance = settings->retry_allowance;
  gateway->usage.window_ms = settings->share_window_ms / USAGE_DECAY_DIVISOR;
  LOG (LOG_SETTINGS_RELOADED, NULL,
       LOG_S ("took", "grace, connections, memory, retries, share window"),
       LOG_S ("needs_restart",
              restart ? "instance name or addresses" : "nothing"));
}

void
gateway_drain (struct gateway *gateway)
{
  drain_since (gateway, gateway_now_ns (gateway));
}

/* The grace period has begun with the signal, however late the event loop gets
   to it. */
static void
drain_since (struct gateway *gateway, uint64_t start_ns)
{
  if (gateway->draining)
    return;
  gateway->draining = true;
  gateway->drain_ns = start_ns;
  LOG (LOG_DRAIN_STARTED, NULL, LOG_U ("requests", gateway->request_count));
  httpd_disable_keepalive (gateway->httpd);
}

/* Serves normally until the load balancer has removed this instance, then
   closes idle connections and lets requests in progress use the rest of the
   grace period.  Shortly before its end, unanswered requests get their final
   response. */
static void
check_drain (struct gateway *gateway, uint64_t now_ns)
{
  uint64_t spent_ms = (now_ns - gateway->drain_ns) / CLOCK_NS_PER_MS;

  if (spent_ms < GATEWAY_UNREADY_DELAY_MS)
    return;
  httpd_drain (gateway->httpd);
  if (gateway->request_count == 0
      && httpd_active_connections (gateway->httpd) == 0)
    {
      LOG (LOG_DRAIN_FINISHED, NULL, LOG_U ("ms", spent_ms));
      event_base_loopbreak (gateway->base);
      return;
    }
  if (spent_ms + GATEWAY_FINAL_RESPONSE_MARGIN_MS
      >= gateway->settings.grace_ms)
    gateway_request_refuse_unanswered (gateway);
  if (spent_ms + EXIT_MARGIN_MS >= gateway->settings.grace_ms)
    {
      LOG (LOG_DRAIN_TIMEOUT, NULL, LOG_U ("requests", gateway->request_count),
           LOG_U ("connections", httpd_active_connections (gateway->httpd)));
      httpd_flush (gateway->httpd);
      event_base_loopbreak (gateway->base);
    }
}
