/**
 * @file router.h
 * Runtime of one router instance: the event loop, the catalog and slot tables,
 * the dispatcher and the modules.  Single-threaded.
 */
#ifndef ROUTER_H
#define ROUTER_H

#include "coordination/member.h"
#include "protocol/settings.h"
#include "state/catalog.h"
#include "state/dispatch.h"
#include "state/ledger.h"
#include "state/metrics.h"
#include "state/quarantine.h"
#include "state/slots.h"
#include "transport/clock.h"
#include "transport/httpd.h"
#include "transport/upstream.h"
#include <event2/event.h>
#include <stdbool.h>
#include <stdint.h>

#define ROUTER_TICK_MS      10 /**< between DISPATCH_TICK events */
#define ROUTER_SIGNAL_COUNT 2  /**< SIGTERM and SIGINT start a shutdown */

struct router;

/** A module of the runtime.  Every member but `name` may be NULL.  Modules are
    started in the order of enum router_module_id and finished in reverse. */
struct router_module
{
  const char *name;
  /** @return 0 or an error, which ends router_init. */
  int (*start) (struct router *router);
  void (*finish) (struct router *router);
  /** Called after each batch of dispatch events and each ROUTER_TICK_MS. */
  void (*run) (struct router *router, uint64_t now_ns);
  /** Catalog objects changed; the slot table has the catalog's upstreams. */
  void (*catalog_changed) (struct router *router, uint64_t now_ns);
  /** A slot of an upstream is free and no request of this instance waits for
      it. */
  void (*slot_idle) (struct router *router, uint64_t upstream_id,
                     uint64_t now_ns);
  /** Shutdown has begun: start nothing new, finish what is in flight. */
  void (*drain) (struct router *router, uint64_t now_ns);
  /** Returns false to delay the end of a drain, such as while changes are
     being written. */
  bool (*drained) (const struct router *router);
  /** Returns false to delay readiness, such as until a configuration has been
      received. */
  bool (*ready) (const struct router *router);
};

enum router_module_id
{
  ROUTER_PEERS,     /**< src/peers.c: the fleet */
  ROUTER_CONFSTORE, /**< src/confstore_module.c: configuration */
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
  void *driver_state;                    /**< passed to the driver's start */
  struct upstream_http *upstream_client; /**< connections to upstreams */
  struct httpd *httpd;
  struct memory_account memory; /**< of what clients make this process hold */
  void *module_state[ROUTER_MODULE_MAX]; /**< owned by each module */
  struct metrics metrics;
  struct quarantine quarantine; /**< requests that crash upstreams */
  uint64_t suspects_sent;       /**< sequence of the last row sent to peers */
  uint64_t suspects_new_until;  /**< rows up to this sequence go to
                                     all peers, as one of them is new */
  uint64_t suspects_expiry_ns;  /**< when old evidence is forgotten next */
  bool draining;
  uint64_t drain_start_ns;   /**< 0 while not draining */
  bool drain_timeout_logged; /**< once per drain */
  struct event *tick_event;  /**< every ROUTER_TICK_MS */
  struct event *batch_event; /**< runs modules after a batch of events */
  struct event *signal_events[ROUTER_SIGNAL_COUNT]; /**< SIGTERM and SIGINT */
  uint64_t last_sweep_ns; /**< when idle upstream connections were closed */
  struct dispatch_actions spare_actions; /**< buffer of router_handle_event */
  uint64_t request_sequence;             /**< of generated request IDs */
  bool aborted; /**< a second signal aborted the requests in flight */
};

/**
 * Initialises the runtime from the settings and starts listening.
 * @param settings must outlive the router.
 * @return 0 or an error, which has been logged.
 */
int router_init (struct router *router, const struct settings *settings);
void router_finish (struct router *router);

/** Runs until the drain has ended. @return 0, or ERR_CANCELED when a second
    signal aborted the requests in flight. */
int router_run (struct router *router);

/** Starts a graceful shutdown, as SIGTERM and SIGINT do. Idempotent. */
void router_drain (struct router *router);

/** True when new requests are accepted. */
bool router_ready (const struct router *router);

/** Passes an event to the dispatcher and performs the resulting actions. */
void router_handle_event (struct router *router,
                          const struct dispatch_event *event);

/** Slots have changed: dispatches the requests that can now start. */
void router_capacity_changed (struct router *router);

/** Objects of the catalog have changed: updates the slot table and notifies
   the modules. */
void router_catalog_changed (struct router *router);

/** Gives this instance all slots of all upstreams; for one without peers. */
void router_own_all_slots (struct router *router);

/** Bytes of a response that are buffered for a client. */
size_t router_response_bytes (const struct router *router);

uint64_t router_now_ns (const struct router *router);

#endif
