/**
 * @file router.c
 * Initialises the runtime, runs its event loop and shuts it down.
 */
#include "router.h"
#include "admin_server.h"
#include "confstore_module.h"
#include "peers.h"
#include "request.h"
#include "state/err.h"
#include "state/share.h"
#include "transport/heap.h"
#include "transport/log.h"
#include "transport/loop.h"
#include "transport/sigtime.h"
#include "transport/sock.h"
#include "transport/upstream_http.h"
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define BYTES_PER_MB 1000000ULL
/* Of a response that is buffered while little memory is left. */
#define RESPONSE_SHORT_BYTES 16384
/* Connections that may be open beyond the limit while they are refused. */
#define REFUSED_MAX   128
#define RECEIVE_BYTES 65536 /**< of a response, in the kernel */
#define SWEEP_INTERVAL_NS                                                     \
  CLOCK_NS_PER_S /**< between closings of idle upstream connections */

static int init_tables (struct router *router);
static int init_transport (struct router *router);
static int init_events (struct router *router);
static int start_modules (struct router *router);
static void set_self (struct router *router);
static void sync_slots (struct router *router, bool own_all);
static void on_tick (evutil_socket_t fd, short what, void *arg);
static void on_batch (evutil_socket_t fd, short what, void *arg);
static void on_signal (evutil_socket_t fd, short what, void *arg);
static void check_drain (struct router *router, uint64_t now_ns);
static void run_modules (struct router *router, uint64_t now_ns);
static void perform_action (struct router *router,
                            const struct dispatch_action *action,
                            uint64_t now_ns);

/* A NULL entry is a module that is not compiled in. */
static const struct router_module *const modules[ROUTER_MODULE_MAX] = {
  [ROUTER_PEERS] = &peers_module,
  [ROUTER_CONFSTORE] = &confstore_module,
  [ROUTER_ADMIN] = &admin_module,
};

#define FOR_EACH_MODULE(i)                                                    \
  for ((i) = 0; (i) < ROUTER_MODULE_MAX; (i)++)                               \
    if (modules[i] != NULL)

int
router_init (struct router *router, const struct settings *settings)
{
  int error;

  memset (router, 0, sizeof (*router));
  router->settings = settings;
  heap_init ();
  clock_init_real (&router->clock);
  log_init (log_level_parse (settings->router->log_level), &router->clock);
  set_self (router);
  error = init_tables (router);
  if (error == 0)
    error = init_transport (router);
  if (error == 0)
    error = init_events (router);
  if (error == 0)
    error = start_modules (router);
  if (error != 0)
    return error;
  router_catalog_changed (router);
  LOG (LOG_STARTED, NULL, LOG_S ("instance", router->self.instance),
       LOG_S ("availability_zone", router->self.availability_zone),
       LOG_U ("incarnation", router->self.incarnation));
  return 0;
}

void
router_finish (struct router *router)
{
  int i;

  if (router->httpd != NULL)
    httpd_free (router->httpd);
  for (i = ROUTER_MODULE_MAX; i-- > 0;)
    if (modules[i] != NULL && modules[i]->finish != NULL)
      modules[i]->finish (router);
  if (router->upstream_client != NULL)
    upstream_http_free (router->upstream_client);
  if (router->dispatch != NULL)
    dispatch_free (router->dispatch);
  if (router->ledger != NULL)
    ledger_free (router->ledger);
  slots_finish (&router->slots);
  catalog_finish (&router->catalog);
  dispatch_actions_finish (&router->spare_actions);
  memory_account_finish (&router->memory);
  metrics_finish (&router->metrics);
  quarantine_finish (&router->quarantine);
  if (router->tick_event != NULL)
    event_free (router->tick_event);
  if (router->batch_event != NULL)
    event_free (router->batch_event);
  for (i = 0; i < ROUTER_SIGNAL_COUNT; i++)
    if (router->signal_events[i] != NULL)
      event_free (router->signal_events[i]);
  sigtime_finish (&router->clock);
  if (router->base == NULL)
    return;
  /* libevent frees bufferevents only while the loop runs. */
  event_base_loop (router->base, EVLOOP_NONBLOCK);
  event_base_free (router->base);
}

int
router_run (struct router *router)
{
  event_base_dispatch (router->base);
  LOG (LOG_STOPPED, NULL, LOG_S ("instance", router->self.instance),
       LOG_S ("cut", router->aborted ? "yes" : "no"));
  return router->aborted ? ERR_CANCELED : 0;
}

/* Initialisation. */

static void
set_self (struct router *router)
{
  const struct settings_router *settings = router->settings->router;
  struct member *self = &router->self;

  snprintf (self->instance, sizeof (self->instance), "%s", settings->instance);
  snprintf (self->availability_zone, sizeof (self->availability_zone), "%s",
            settings->availability_zone);
  if (settings->peer_address != NULL)
    snprintf (self->address, sizeof (self->address), "%s",
              settings->peer_address);
  self->instance_id = catalog_id (settings->instance);
  /* The start time distinguishes this run of the instance from others. */
  self->incarnation = clock_wall_ms (&router->clock);
  self->state = MESSAGE_INSTANCE_LIVE;
}

static int
init_tables (struct router *router)
{
  const struct settings_router *settings = router->settings->router;
  const struct share_policy *policy
      = share_policy_find (settings->share_policy);
  struct dispatch_config config = {
    .availability_zone = router->self.availability_zone,
    .fcfs = policy != NULL && !policy->by_position,
    .limits = { .waiting_max = settings->limits.waiting_max,
                .quick_permille = settings->limits.quick_permille },
    .placement = strcmp (settings->placement, "least_busy") == 0
                     ? &placement_least_busy
                     : &placement_affine,
    .catalog = &router->catalog,
    .slots = &router->slots,
  };

  catalog_init (&router->catalog);
  slots_init (&router->slots);
  router->ledger = ledger_new ((struct ledger_origin){
      router->self.instance_id, router->self.incarnation });
  if (router->ledger == NULL)
    return ERR_NO_MEMORY;
  config.ledger = router->ledger;
  router->dispatch = dispatch_new (&config);
  if (router->dispatch == NULL)
    return ERR_NO_MEMORY;
  if (settings->platform.kind != SETTINGS_PLATFORM_MEMORY)
    return 0;
  return settings_apply (router->settings, &router->catalog);
}

static int
init_transport (struct router *router)
{
  const struct settings_router *settings = router->settings->router;
  struct httpd_config server_config = {
    .clock = &router->clock,
    .address = settings->client_address,
    .limits
    = { .header_bytes_max = settings->limits.header_bytes_max,
        .body_bytes_max = settings->limits.body_bytes_max,
        .connections_max = settings->limits.connections_max,
        .sockets_max = settings->limits.connections_max + REFUSED_MAX,
        .idle_timeout_ms = settings->limits.idle_timeout_ms,
        .read_timeout_ms = settings->limits.read_timeout_ms,
        .write_timeout_ms = settings->limits.idle_timeout_ms,
        .low_water_bytes = settings->limits.response_buffer_bytes / 4 },
    .memory = &router->memory,
    .head = request_check_head,
    .request = request_arrived,
    .client_closed = request_client_disconnected,
    .output_low = request_output_drained,
    .refuse = request_refuse_unparsed,
    .user = router,
  };
  struct upstream_http_config upstream_config
      = { .clock = &router->clock,
          .connect_timeout_ms = settings->connect_timeout_ms,
          .read_max_bytes = settings->limits.response_buffer_bytes / 4,
          .receive_buffer_bytes = RECEIVE_BYTES };
  struct memory_shares shares;
  char port[8];
  int error;

  router->base = loop_new ();
  if (router->base == NULL)
    return ERR_NO_MEMORY;
  server_config.base = upstream_config.base = router->base;
  memory_shares (settings->limits.memory_mb * BYTES_PER_MB, &shares);
  memory_account_init (&router->memory, shares.account_bytes);
  server_config.connection_bytes = shares.connection_bytes;
  router->driver = &upstream_http_driver;
  router->upstream_client = upstream_http_new (&upstream_config);
  if (router->upstream_client == NULL)
    return ERR_NO_MEMORY;
  router->driver_state = router->upstream_client;
  error = httpd_new (&router->httpd, &server_config);
  if (error != 0)
    {
      LOG (LOG_LISTEN_FAILED, NULL,
           LOG_S ("address", settings->client_address),
           LOG_S ("error", err_name (error)));
      return error;
    }
  snprintf (port, sizeof (port), "%u", httpd_port (router->httpd));
  LOG (LOG_LISTENING, NULL, LOG_S ("for", "clients"),
       LOG_S ("address", settings->client_address), LOG_S ("port", port));
  return 0;
}

static int
init_events (struct router *router)
{
  static const int signal_numbers[ROUTER_SIGNAL_COUNT] = { SIGTERM, SIGINT };
  const struct timeval interval = clock_timeval (ROUTER_TICK_MS);
  int i;

  signal (SIGPIPE, SIG_IGN);
  sock_raise_fd_limit ();
  router->tick_event
      = event_new (router->base, -1, EV_PERSIST, on_tick, router);
  router->batch_event = event_new (router->base, -1, 0, on_batch, router);
  if (router->tick_event == NULL || router->batch_event == NULL)
    return ERR_NO_MEMORY;
  loop_set_control (router->tick_event);
  event_add (router->tick_event, &interval);
  for (i = 0; i < ROUTER_SIGNAL_COUNT; i++)
    {
      router->signal_events[i]
          = evsignal_new (router->base, signal_numbers[i], on_signal, router);
      if (router->signal_events[i] == NULL)
        return ERR_NO_MEMORY;
      loop_set_control (router->signal_events[i]);
      event_add (router->signal_events[i], NULL);
      if (sigtime_watch (signal_numbers[i], &router->clock) != 0)
        return ERR_INVALID;
    }
  sigtime_release ();
  return 0;
}

static int
start_modules (struct router *router)
{
  int error;
  int i;

  FOR_EACH_MODULE (i)
  {
    error = modules[i]->start == NULL ? 0 : modules[i]->start (router);
    if (error != 0)
      return error;
  }
  return 0;
}

/* Events and actions. */

void
router_handle_event (struct router *router, const struct dispatch_event *event)
{
  struct dispatch_actions actions = router->spare_actions;
  uint64_t now_ns = router_now_ns (router);
  size_t i;

  /* An action may raise another event; that call uses a buffer of its own. */
  router->spare_actions = (struct dispatch_actions){ .items = NULL };
  actions.count = 0;
  dispatch_handle (router->dispatch, event, now_ns, &actions);
  for (i = 0; i < actions.count; i++)
    perform_action (router, &actions.items[i], now_ns);
  dispatch_actions_finish (&router->spare_actions);
  router->spare_actions = actions;
  if (event->kind != DISPATCH_TICK)
    event_active (router->batch_event, EV_TIMEOUT, 0);
}

static void
perform_action (struct router *router, const struct dispatch_action *action,
                uint64_t now_ns)
{
  int i;

  if (action->kind != DISPATCH_SLOT_IDLE)
    {
      request_perform_action (router, action);
      return;
    }
  FOR_EACH_MODULE (i)
  {
    if (modules[i]->slot_idle != NULL)
      modules[i]->slot_idle (router, action->upstream_id, now_ns);
  }
}

void
router_capacity_changed (struct router *router)
{
  router_handle_event (
      router, &(struct dispatch_event){ .kind = DISPATCH_CAPACITY_CHANGED });
}

void
router_catalog_changed (struct router *router)
{
  uint64_t now_ns = router_now_ns (router);
  int i;

  if (modules[ROUTER_PEERS] == NULL)
    router_own_all_slots (router);
  else
    sync_slots (router, false);
  FOR_EACH_MODULE (i)
  {
    if (modules[i]->catalog_changed != NULL)
      modules[i]->catalog_changed (router, now_ns);
  }
  router_capacity_changed (router);
}

void
router_own_all_slots (struct router *router)
{
  sync_slots (router, true);
}

/* Adds the catalog's upstreams to the slot table.  When this instance owns all
   slots, also removes the other entries; otherwise the lessee, whose leases
   point to them, removes them. */
static void
sync_slots (struct router *router, bool own_all)
{
  const struct catalog_service *service;
  const struct catalog_upstream *upstream;
  struct slots_entry *entry;
  struct slots_entry *next;
  uint32_t i;

  for (service = router->catalog.services; service != NULL;
       service = service->hh.next)
    for (i = 0; i < service->upstream_count; i++)
      {
        upstream = &service->upstreams[i];
        entry = slots_add (&router->slots, upstream->id, service->id);
        if (entry == NULL)
          return;
        if (own_all || upstream->draining)
          entry->draining = upstream->draining;
        if (!own_all)
          continue;
        entry->capacity = upstream->slots;
        entry->expiry_ns = UINT64_MAX;
      }
  for (entry = own_all ? router->slots.entries : NULL; entry != NULL;
       entry = next)
    {
      next = entry->hh.next;
      service = catalog_service (&router->catalog, entry->service_id);
      if (service != NULL
          && catalog_upstream (service, entry->upstream_id) != NULL)
        continue;
      entry->capacity = 0;
      entry->draining = true;
      slots_remove (&router->slots, entry->upstream_id);
    }
}

size_t
router_response_bytes (const struct router *router)
{
  const size_t limit = router->settings->router->limits.response_buffer_bytes;

  return memory_account_short (&router->memory) && limit > RESPONSE_SHORT_BYTES
             ? RESPONSE_SHORT_BYTES
             : limit;
}

uint64_t
router_now_ns (const struct router *router)
{
  return clock_now_ns (&router->clock);
}

bool
router_ready (const struct router *router)
{
  int i;

  if (router->draining)
    return false;
  FOR_EACH_MODULE (i)
  {
    if (modules[i]->ready != NULL && !modules[i]->ready (router))
      return false;
  }
  return true;
}

/* The loop. */

static void
on_tick (evutil_socket_t fd, short what, void *arg)
{
  struct router *router = arg;
  uint64_t now_ns = router_now_ns (router);

  (void)fd;
  (void)what;
  router_handle_event (router,
                       &(struct dispatch_event){ .kind = DISPATCH_TICK });
  run_modules (router, now_ns);
  if (memory_account_trims (&router->memory))
    heap_trim ();
  if (now_ns - router->last_sweep_ns >= SWEEP_INTERVAL_NS)
    {
      router->last_sweep_ns = now_ns;
      upstream_http_close_idle (router->upstream_client);
    }
  if (router->draining)
    check_drain (router, now_ns);
}

/* Runs the modules once after the events of one pass of the loop. */
static void
on_batch (evutil_socket_t fd, short what, void *arg)
{
  struct router *router = arg;

  (void)fd;
  (void)what;
  run_modules (router, router_now_ns (router));
}

static void
run_modules (struct router *router, uint64_t now_ns)
{
  int i;

  FOR_EACH_MODULE (i)
  {
    if (modules[i]->run != NULL)
      modules[i]->run (router, now_ns);
  }
}

/* Shutdown. */

static void
on_signal (evutil_socket_t fd, short what, void *arg)
{
  struct router *router = arg;

  (void)what;
  if (!router->draining)
    {
      router_drain (router);
      router->drain_start_ns = sigtime_last_ns (fd, router_now_ns (router));
      return;
    }
  router->aborted = true;
  event_base_loopbreak (router->base);
}

void
router_drain (struct router *router)
{
  uint64_t now_ns = router_now_ns (router);
  int i;

  if (router->draining)
    return;
  router->draining = true;
  router->drain_start_ns = now_ns;
  router->self.state = MESSAGE_INSTANCE_DRAINING;
  LOG (LOG_DRAIN_STARTED, NULL,
       LOG_U ("requests", dispatch_total (router->dispatch)));
  router_handle_event (router,
                       &(struct dispatch_event){ .kind = DISPATCH_DRAIN });
  FOR_EACH_MODULE (i)
  {
    if (modules[i]->drain != NULL)
      modules[i]->drain (router, now_ns);
  }
  httpd_drain (router->httpd);
}

/* Ends the loop when nothing is in flight.  Requests that outlast the drain
   timeout are only logged. */
static void
check_drain (struct router *router, uint64_t now_ns)
{
  uint64_t limit_ns
      = router->settings->router->drain_timeout_ms * CLOCK_NS_PER_MS;
  uint32_t requests = dispatch_total (router->dispatch);
  uint32_t active = httpd_active_connections (router->httpd);
  bool drained = requests == 0 && active == 0;
  int i;

  FOR_EACH_MODULE (i)
  {
    if (modules[i]->drained != NULL && !modules[i]->drained (router))
      drained = false;
  }
  if (drained)
    {
      LOG (LOG_DRAIN_FINISHED, NULL,
           LOG_U ("ms", (now_ns - router->drain_start_ns) / CLOCK_NS_PER_MS));
      event_base_loopbreak (router->base);
    }
  else if (!router->drain_timeout_logged
           && now_ns - router->drain_start_ns >= limit_ns)
    {
      router->drain_timeout_logged = true;
      LOG (LOG_DRAIN_TIMEOUT, NULL, LOG_U ("requests", requests),
           LOG_U ("connections", active));
    }
}
