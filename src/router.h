/**
 * @file router.h
 * Runtime of one entry instance: the event loop, the tables in force, the
 * dispatcher and the parts that plug into it.  One thread.
 */
#ifndef ROUTER_H
#define ROUTER_H

#include "coordination/member.h"
#include "protocol/settings.h"
#include "state/catalog.h"
#include "state/dispatch.h"
#include "state/ledger.h"
#include "state/metrics.h"
#include "state/slots.h"
#include "transport/clock.h"
#include "transport/httpd.h"
#include "transport/upstream.h"
#include <event2/event.h>
#include <stdbool.h>
#include <stdint.h>

#define ROUTER_TICK_MS 10 /**< between DISPATCH_TICK events */
#define ROUTER_SIGNALS 2  /**< that begin a shutdown */

struct router;

/** A part of the runtime that plugs into the loop.  Every function but
    `name` may be NULL.  Parts are started in the order of the table in
    router.c and finished in reverse. */
struct router_module
{
  const char *name;
  /** @return 0 or an error, which ends router_init. */
  int (*start) (struct router *router);
  void (*finish) (struct router *router);
  /** Called after each batch of dispatch events and each ROUTER_TICK_MS. */
  void (*run) (struct router *router, uint64_t now_ns);
  /** Catalog objects changed; slots of the catalog's upstreams exist. */
  void (*catalog_changed) (struct router *router, uint64_t now_ns);
  /** A slot at an upstream is free and nobody waits for it here. */
  void (*idle) (struct router *router, uint64_t upstream_id, uint64_t now_ns);
  /** Shutdown has begun: take nothing new, finish what is in flight. */
  void (*drain) (struct router *router, uint64_t now_ns);
  /** False holds the end of a drain back, such as until peers were told. */
  bool (*drained) (const struct router *router);
  /** False holds readiness back, such as until a configuration is held. */
  bool (*ready) (const struct router *router);
};

enum router_module_id
{
  ROUTER_PEERS,     /**< src/peers.c: the fleet */
  ROUTER_CONFSTORE, /**< src/confstore.c: configuration from the store */
  ROUTER_ADMIN,     /**< src/admin_server.c: admin API and metrics */
  ROUTER_MODULE_MAX
};

struct router
{
  struct event_base *base;
  struct clock clock;
  const struct settings *settings; /**< not owned */
  struct member self;
  struct catalog catalog;
  struct slots slots;
  struct ledger *ledger;
  struct dispatch *dispatch;
  const struct upstream_driver *driver;
  void *driver_state;         /**< handed to the driver's start */
  struct upstream_http *http; /**< connections to upstreams */
  struct httpd *httpd;
  void *module_state[ROUTER_MODULE_MAX]; /**< owned by each module */
  struct metrics metrics;
  bool draining;
  uint64_t drain_ns;      /**< when draining began */
  bool drain_late_logged; /**< stragglers have been reported */
  struct event *tick;     /**< every ROUTER_TICK_MS */
  struct event *batch;    /**< runs modules after a batch of events */
  struct event *signals[ROUTER_SIGNALS]; /**< SIGTERM and SIGINT */
  uint64_t sweep_ns; /**< of the last sweep of idle upstream connections */
  struct dispatch_actions actions; /**< spare buffer of router_handle */
  uint64_t request_sequence;       /**< of generated request ids */
  bool cut; /**< a second signal ended requests in flight */
};

/**
 * Builds the runtime from settings and starts listening.
 * @param settings must outlive the router.
 * @return 0 or an error, which has been logged.
 */
int router_init (struct router *router, const struct settings *settings);
void router_finish (struct router *router);

/** Runs until the drain has ended. @return 0, or ERR_CANCELED when a second
    signal cut requests in flight. */
int router_run (struct router *router);

/** Begins a graceful shutdown; also done by SIGTERM. Idempotent. */
void router_drain (struct router *router);

/** True when new requests are taken. */
bool router_ready (const struct router *router);

/** Feeds an event to the dispatcher and performs the actions it causes. */
void router_handle (struct router *router, const struct dispatch_event *event);

/** Slots changed: dispatches whatever can be. */
void router_capacity_changed (struct router *router);

/** Objects of the catalog changed: updates the slot table, tells modules. */
void router_catalog_changed (struct router *router);

/** Gives this instance all slots of all upstreams, as when it is alone. */
void router_local_slots (struct router *router);

uint64_t router_now_ns (const struct router *router);

#endif
