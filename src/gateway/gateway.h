/**
 * @file gateway.h
 * Runtime of one gateway: routes clients' requests by host and path to
 * upstreams, according to the operator's configuration and the upstream
 * registrations in the platform's store.  One event loop, one thread.
 */
#ifndef GATEWAY_GATEWAY_H
#define GATEWAY_GATEWAY_H

#include "gateway/adapter.h"
#include "gateway/gateway_settings.h"
#include "gateway/store_watch.h"
#include "state/build_record.h"
#include "state/client_budget.h"
#include "state/fleet_retry_budget.h"
#include "state/hist.h"
#include "state/prefill_rate.h"
#include "state/prefix_cache.h"
#include "state/quarantine.h"
#include "state/refusal.h"
#include "state/registry.h"
#include "state/rotation.h"
#include "state/routing.h"
#include "state/shortest_objective.h"
#include "state/stream_builds.h"
#include "state/turns.h"
#include "state/usage_share.h"
#include "state/wait_queue.h"
#include "transport/clock.h"
#include "transport/httpd.h"
#include "transport/loop.h"
#include "transport/looplag.h"
#include "transport/looptime.h"
#include "transport/upstream_http.h"
#include <event2/event.h>
#include <event2/http.h>

/** Time until the load balancer stops sending connections: it probes once a
    second and removes an instance after two failed probes. */
#define GATEWAY_UNREADY_DELAY_MS 2500
/** Unanswered requests get their final response when this much of the grace
    period is left: a round trip of the slowest client, and the two ticks that
    are reserved for ending the event loop. */
#define GATEWAY_FINAL_RESPONSE_MARGIN_MS 400
#define GATEWAY_SIGNALS                  3 /**< SIGTERM, SIGINT, SIGHUP */

struct gateway_request;
struct gateway_peers;

/** Versions of the configuration that wait while one is read; of more, the
    oldest are dropped. */
#define GATEWAY_CONFIG_WAITING_MAX 4

/** Versions of the configuration that are read in parts. */
struct gateway_config
{
  struct store_position position; /**< of the item that is in force */
  struct kvstore_item item;       /**< that is being read; owned */
  struct adapter_config *reading; /**< NULL: none */
  /** Read next, the last one first; owned, in the order of their position. */
  struct kvstore_item waiting[GATEWAY_CONFIG_WAITING_MAX];
  size_t waiting_count;
  struct event *next_part;
};

/** Measured state of a service. */
struct gateway_service
{
  uint64_t id;
  struct prefill_rate prefill_rate;
  struct shortest_objective shortest_objective;
  uint64_t least_loaded_id; /**< cached result of choose_least_loaded() */
  uint64_t least_loaded_generation; /**< load_generation of that result */
  UT_hash_handle hh;
};

/** Measured state of a route. */
struct gateway_route
{
  uint64_t id; /**< catalog_id of its name */
  struct client_budget client_budget;
  UT_hash_handle hh;
};

/** Latencies of one kind of route. */
struct gateway_times
{
  struct hist first_byte; /**< from arrival to the first response byte */
  struct hist total; /**< from arrival to the end of a complete response */
};

/** Streams of prompts: the error of the forecast of their first event, and
    their longest gap between events. */
struct gateway_stream_times
{
  struct hist early; /**< the first event came before the forecast, by this */
  struct hist late;  /**< it came after it */
  struct hist longest_gap;
};

/** What kept a waiting request from being sent when it was offered. */
enum gateway_hold
{
  GATEWAY_HOLD_NONE,
  GATEWAY_HOLD_UPSTREAM, /**< no upstream is usable */
  GATEWAY_HOLD_LIMIT,    /**< a turn at a limited upstream is asked for */
  GATEWAY_HOLD_CAP,      /**< its customer is above the usage cap */
  GATEWAY_HOLD_BACKLOG,  /**< the engine's prefill backlog */
  GATEWAY_HOLD_SLOTS,    /**< no slot is free there */
  GATEWAY_HOLD_QUOTA,    /**< this instance's quota there is used up */
  GATEWAY_HOLD_MAX
};

/** Work of the wait queue, for metrics and the log. */
struct gateway_dispatch_counters
{
  uint64_t runs; /**< passes over the queue */
  uint64_t duration_ns;
  uint64_t expired; /**< requests that left the queue unserved */
  uint64_t offered; /**< requests offered, the same one in several passes */
  uint64_t held[GATEWAY_HOLD_MAX]; /**< of these, by what kept them back */
  uint64_t turns_asked;            /**< turns at limited upstreams asked for */
  uint64_t turns_given;
  uint64_t turns_used;
  uint64_t turns_returned; /**< given back unused */
};

struct gateway_counters
{
  uint64_t arrived;
  uint64_t completed;
  uint64_t refused;
  uint64_t aborted;
  uint64_t canceled;
  uint64_t attempts;
  uint64_t retries;
  uint64_t links_lost;           /**< links to other gateways that ended */
  uint64_t store_restores;       /**< restores of the store from a copy */
  uint64_t entries_rejected;     /**< entries of the store that are unusable */
  uint64_t reasons[REFUSAL_MAX]; /**< refusals by reason */
  struct hist loop_lag;   /**< waits of a ready event for the event loop */
  struct hist send_delay; /**< from the choice of an upstream to the first
                             byte written to it */
  struct gateway_times times[ROUTE_KIND_MAX];
  struct gateway_stream_times stream_times;
  struct gateway_dispatch_counters dispatch;
};

/** A write to the store on behalf of a held part of prompts. */
struct gateway_quarantine_write
{
  bool pending; /**< one at a time */
  struct quarantine_key key;
  uint32_t generation;
};

/** Streams and their builds in the store; see gateway_stream_store. */
struct gateway_stream_store
{
  uint64_t start_wall_ms; /**< Unix time, in the keys of this process */
  bool to_load;           /**< summaries have to be read */
  bool loading;
  uint64_t load_ns; /**< last start of reading them */
  bool writing;     /**< one call at a time */
  uint64_t write_ns;
  uint64_t summaries;      /**< written so far */
  uint64_t written;        /**< sequence of the streams that are written */
  uint64_t sequence;       /**< same, with the write in progress */
  uint64_t lease;          /**< of summaries; 0: none */
  struct digits lease_era; /**< of the store that granted it */
  uint64_t lease_ns;       /**< when it was granted */
};

struct gateway
{
  struct gateway_settings settings;
  const struct gateway_adapter *adapter;
  struct event_base *base;
  struct clock clock;
  struct kvstore *store; /**< owned */
  struct httpd *httpd;
  struct upstream_http *upstream_client;
  struct evhttp *probe; /**< readiness and metrics */
  struct evhttp_bound_socket *probe_socket;
  struct store_watch config_watch;
  struct store_watch upstream_watch;
  bool upstreams_loaded;          /**< a complete listing was applied */
  uint64_t upstream_recovered_ns; /**< end of the last outage; 0: none */
  struct routing *routing; /**< NULL until a configuration was applied */
  struct gateway_config config;
  struct registry registry;
  struct prefix_cache prefix_cache;
  struct fleet_retry_budget fleet_retry_budget;
  struct usage_share usage;
  struct turns turns; /**< at limited upstreams whose accounts are here */
  struct quarantine quarantine; /**< parts of prompts that crash upstreams */
  struct gateway_quarantine_write quarantine_write;
  struct stream_builds streams; /**< builds that began them */
  struct build_records build_records;
  struct gateway_stream_store stream_store;
  bool streams_awaited;        /**< requests may wait for peers' streams */
  uint64_t streams_generation; /**< of the registry, as last searched for
                                    services with several builds */
  uint64_t queued_weight;      /**< sum of gateway_request.queued_weight of the
                                  requests that wait here */
  uint64_t peer_queued_weight; /**< same, at other gateways */
  uint64_t mean_usage_tokens;  /**< recent usage, mean of waiting customers */
  uint64_t usage_cap_tokens;   /**< see usage_share_cap() */
  double utilisation;          /**< 0: free; 1: half the capacity is in use */
  double utilisation_with_waiting; /**< same, waiting requests included */
  uint64_t load_generation;        /**< incremented when known load changes */
  /** Of the last pass over the wait queue: its first offer (0: none yet), its
      end, and its duration without the time in which requests were sent. */
  uint64_t dispatch_start_ns;
  uint64_t dispatch_end_ns;
  uint64_t dispatch_duration_ns;
  uint64_t expire_ns; /**< when the wait queue was last searched for requests
                           that have expired */
  struct wait_queue wait_queue;
  struct gateway_service *services; /**< uthash by id */
  struct gateway_route *routes;     /**< uthash by id */
  struct gateway_peers *peers;      /**< owned */
  struct event *dispatch; /**< sends waiting requests to free upstreams */
  struct memory_account memory; /**< of what clients make this process hold */
  size_t output_bytes;          /**< that the requests held for slow clients */
  struct gateway_request *requests; /**< requests in progress */
  uint32_t request_count;
  struct gateway_counters counters;
  struct rng rng;
  struct event *tick;
  uint64_t ticks;
  uint64_t tick_ns; /**< time of the last tick */
  struct looplag loop_lag;
  struct loop_control loop_control;
  struct rotation rotation; /**< of the load balancer */
  struct looptime loop_time;
  struct looptime loop_time_logged; /**< as of the last line */
  uint64_t shed_logged;             /**< connections turned away, as logged */
  uint64_t closes_logged[HTTPD_CLOSE_MAX]; /**< as of the last line */
  uint64_t shed_counted; /**< same, as counted for their customers */
  struct gateway_dispatch_counters dispatch_logged; /**< as of the last line */
  uint64_t control_late_ns; /**< when gateway_check_control() last logged */
  struct event *signals[GATEWAY_SIGNALS];
  /** Reloads the settings on SIGHUP; may be NULL. */
  void (*reload_settings) (void *user);
  void *reload_user;
  bool draining;
  uint64_t drain_ns; /**< when draining began */
};

/** @param store  owned by the gateway from here on, also on failure.
    @return 0, or an error, which has been logged. */
int gateway_init (struct gateway *gateway,
                  const struct gateway_settings *settings,
                  const struct gateway_adapter *adapter,
                  struct event_base *base, struct kvstore *store);
void gateway_finish (struct gateway *gateway);
/** Runs the event loop until draining has ended. */
void gateway_run (struct gateway *gateway);
/** Starts draining: readiness fails, requests are served for the rest of the
    grace period. */
void gateway_drain (struct gateway *gateway);

/** Applies changed settings, and logs whether others need a restart. */
void gateway_reload (struct gateway *gateway,
                     const struct gateway_settings *settings);

/** To be called from events of traffic: logs if control events do not run. */
void gateway_check_control (struct gateway *gateway);

bool gateway_ready (const struct gateway *gateway);
uint64_t gateway_now_ns (const struct gateway *gateway);

#endif
