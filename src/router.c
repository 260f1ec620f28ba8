/**
 * @file router.c
 * Assembles the runtime, runs its loop, and shuts it down.
 */
#include "router.h"
#include "admin_server.h"
#include "confstore_module.h"
#include "peers.h"
#include "request.h"
#include "state/err.h"
#include "state/share.h"
#include "transport/log.h"
#include "transport/sock.h"
#include "transport/upstream_http.h"
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define SWEEP_NS CLOCK_NS_PER_S /**< between sweeps of idle connections */

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
static void perform (struct router *router,
                     const struct dispatch_action *action, uint64_t now_ns);

/* Parts that plug in; a NULL entry is not built in. */
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
  if (router->http != NULL)
    upstream_http_free (router->http);
  if (router->dispatch != NULL)
    dispatch_free (router->dispatch);
  if (router->ledger != NULL)
    ledger_free (router->ledger);
  slots_finish (&router->slots);
  catalog_finish (&router->catalog);
  dispatch_actions_finish (&router->actions);
  metrics_finish (&router->metrics);
  if (router->tick != NULL)
    event_free (router->tick);
  if (router->batch != NULL)
    event_free (router->batch);
  for (i = 0; i < ROUTER_SIGNALS; i++)
    if (router->signals[i] != NULL)
      event_free (router->signals[i]);
  if (router->base == NULL)
    return;
  /* libevent frees bufferevents from the loop. */
  event_base_loop (router->base, EVLOOP_NONBLOCK);
  event_base_free (router->base);
}

int
router_run (struct router *router)
{
  event_base_dispatch (router->base);
  LOG (LOG_STOPPED, NULL, LOG_S ("instance", router->self.instance),
       LOG_S ("cut", router->cut ? "yes" : "no"));
  return router->cut ? ERR_CANCELED : 0;
}

/* Assembly. */

static void
set_self (struct router *router)
{
  const struct settings_router *own = router->settings->router;
  struct member *self = &router->self;

  snprintf (self->instance, sizeof (self->instance), "%s", own->instance);
  snprintf (self->availability_zone, sizeof (self->availability_zone), "%s",
            own->availability_zone);
  if (own->peer_address != NULL)
    snprintf (self->address, sizeof (self->address), "%s", own->peer_address);
  self->instance_id = catalog_id (own->instance);
  /* Wall time in milliseconds tells one life of an instance from the next. */
  self->incarnation = clock_wall_ms (&router->clock);
  self->state = MESSAGE_LIVE;
}

static int
init_tables (struct router *router)
{
  const struct settings_router *own = router->settings->router;
  const struct share_policy *policy = share_policy_find (own->share_policy);
  struct dispatch_config config = {
    .availability_zone = router->self.availability_zone,
    .fcfs = policy != NULL && !policy->by_position,
    .limits = { .waiting_max = own->limits.waiting_max,
                .quick_permille = own->limits.quick_permille },
    .placement = strcmp (own->placement, "least_busy") == 0
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
  if (own->platform.kind != SETTINGS_PLATFORM_MEMORY)
    return 0;
  return settings_apply (router->settings, &router->catalog);
}

static int
init_transport (struct router *router)
{
  const struct settings_router *own = router->settings->router;
  struct httpd_config server = {
    .address = own->client_address,
    .limits = { .header_bytes_max = own->limits.header_bytes_max,
                .body_bytes_max = own->limits.body_bytes_max,
                .connections_max = own->limits.connections_max,
                .idle_timeout_ms = own->limits.idle_timeout_ms,
                .read_timeout_ms = own->limits.read_timeout_ms,
                .write_timeout_ms = own->limits.idle_timeout_ms,
                .low_water_bytes = own->limits.response_buffer_bytes / 4 },
    .request = request_arrived,
    .gone = request_gone,
    .drained = request_drained,
    .refuse = request_refuse_raw,
    .user = router,
  };
  struct upstream_http_config client
      = { .clock = &router->clock,
          .connect_timeout_ms = own->connect_timeout_ms,
          .read_max_bytes = own->limits.response_buffer_bytes / 4 };
  char port[8];
  int error;

  router->base = event_base_new ();
  if (router->base == NULL)
    return ERR_NO_MEMORY;
  server.base = client.base = router->base;
  router->driver = &upstream_http_driver;
  router->http = upstream_http_new (&client);
  if (router->http == NULL)
    return ERR_NO_MEMORY;
  router->driver_state = router->http;
  error = httpd_new (&router->httpd, &server);
  if (error != 0)
    {
      LOG (LOG_LISTEN_FAILED, NULL, LOG_S ("address", own->client_address),
           LOG_S ("error", err_name (error)));
      return error;
    }
  snprintf (port, sizeof (port), "%u", httpd_port (router->httpd));
  LOG (LOG_LISTENING, NULL, LOG_S ("for", "clients"),
       LOG_S ("address", own->client_address), LOG_S ("port", port));
  return 0;
}

static int
init_events (struct router *router)
{
  static const int numbers[ROUTER_SIGNALS] = { SIGTERM, SIGINT };
  const struct timeval tick = clock_timeval (ROUTER_TICK_MS);
  int i;

  signal (SIGPIPE, SIG_IGN);
  sock_raise_limit ();
  router->tick = event_new (router->base, -1, EV_PERSIST, on_tick, router);
  router->batch = event_new (router->base, -1, 0, on_batch, router);
  if (router->tick == NULL || router->batch == NULL)
    return ERR_NO_MEMORY;
  event_add (router->tick, &tick);
  for (i = 0; i < ROUTER_SIGNALS; i++)
    {
      router->signals[i]
          = evsignal_new (router->base, numbers[i], on_signal, router);
      if (router->signals[i] == NULL)
        return ERR_NO_MEMORY;
      event_add (router->signals[i], NULL);
    }
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
router_handle (struct router *router, const struct dispatch_event *event)
{
  struct dispatch_actions actions = router->actions;
  uint64_t now_ns = router_now_ns (router);
  size_t i;

  /* An action may raise an event in turn, which takes a buffer of its own. */
  router->actions = (struct dispatch_actions){ .items = NULL };
  actions.count = 0;
  dispatch_handle (router->dispatch, event, now_ns, &actions);
  for (i = 0; i < actions.count; i++)
    perform (router, &actions.items[i], now_ns);
  dispatch_actions_finish (&router->actions);
  router->actions = actions;
  if (event->kind != DISPATCH_TICK)
    event_active (router->batch, EV_TIMEOUT, 0);
}

static void
perform (struct router *router, const struct dispatch_action *action,
         uint64_t now_ns)
{
  int i;

  if (action->kind != DISPATCH_SLOT_IDLE)
    {
      request_perform (router, action);
      return;
    }
  FOR_EACH_MODULE (i)
  {
    if (modules[i]->idle != NULL)
      modules[i]->idle (router, action->upstream_id, now_ns);
  }
}

void
router_capacity_changed (struct router *router)
{
  router_handle (
      router, &(struct dispatch_event){ .kind = DISPATCH_CAPACITY_CHANGED });
}

void
router_catalog_changed (struct router *router)
{
  uint64_t now_ns = router_now_ns (router);
  int i;

  if (modules[ROUTER_PEERS] == NULL)
    router_local_slots (router);
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
router_local_slots (struct router *router)
{
  sync_slots (router, true);
}

/* Makes the slot table name the catalog's upstreams and, when this instance
   owns all slots, no others; else the lessee removes entries, for its leases
   point at them. */
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
  router_handle (router, &(struct dispatch_event){ .kind = DISPATCH_TICK });
  run_modules (router, now_ns);
  if (now_ns - router->sweep_ns >= SWEEP_NS)
    {
      router->sweep_ns = now_ns;
      upstream_http_sweep (router->http);
    }
  if (router->draining)
    check_drain (router, now_ns);
}

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

  (void)fd;
  (void)what;
  if (!router->draining)
    {
      router_drain (router);
      return;
    }
  router->cut = true;
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
  router->drain_ns = now_ns;
  router->self.state = MESSAGE_DRAINING;
  LOG (LOG_DRAIN_STARTED, NULL,
       LOG_U ("requests", dispatch_total (router->dispatch)));
  router_handle (router, &(struct dispatch_event){ .kind = DISPATCH_DRAIN });
  FOR_EACH_MODULE (i)
  {
    if (modules[i]->drain != NULL)
      modules[i]->drain (router, now_ns);
  }
  httpd_drain (router->httpd);
}

/* Ends the loop when nothing is in flight; stragglers are only reported. */
static void
check_drain (struct router *router, uint64_t now_ns)
{
  uint64_t limit_ns
      = router->settings->router->drain_timeout_ms * CLOCK_NS_PER_MS;
  uint32_t requests = dispatch_total (router->dispatch);
  uint32_t active = httpd_active (router->httpd);
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
           LOG_U ("ms", (now_ns - router->drain_ns) / CLOCK_NS_PER_MS));
      event_base_loopbreak (router->base);
    }
  else if (!router->drain_late_logged && now_ns - router->drain_ns >= limit_ns)
    {
      router->drain_late_logged = true;
      LOG (LOG_DRAIN_TIMEOUT, NULL, LOG_U ("requests", requests),
           LOG_U ("connections", active));
    }
}
