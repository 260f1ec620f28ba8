/**
 * @file gateway.h
 * Runtime of one gateway: path-routed requests of clients, the operator's
 * configuration and the upstreams as the platform's store tells them, and the
 * decisions between.  One loop, one thread.
 */
#ifndef GATEWAY_GATEWAY_H
#define GATEWAY_GATEWAY_H

#include "gateway/adapter.h"
#include "gateway/feed.h"
#include "gateway/gateway_settings.h"
#include "state/hist.h"
#include "state/pace.h"
#include "state/prefixes.h"
#include "state/refusal.h"
#include "state/retryshare.h"
#include "state/roster.h"
#include "state/routing.h"
#include "state/usage_share.h"
#include "state/waitline.h"
#include "transport/clock.h"
#include "transport/httpd.h"
#include "transport/upstream_http.h"
#include <event2/event.h>
#include <event2/http.h>

/** The balancer asks once a second and believes the second miss. */
#define GATEWAY_NOTICE_MS 2500
/** Left of the grace when what has no answer is given one: a round trip of the
    slowest client, and the two beats that the loop's end keeps. */
#define GATEWAY_END_SPARE_MS 400
#define GATEWAY_SIGNALS      3 /**< SIGTERM, SIGINT, SIGHUP */

struct flow;
struct neighbours;

/** What is learned of a service. */
struct gateway_service
{
  uint64_t id;
  struct pace pace;
  uint64_t idlest_id;   /**< engine with the least to read ... */
  uint64_t idlest_pass; /**< ... as of this pass */
  UT_hash_handle hh;
};

/** What is measured of one kind of route. */
struct gateway_times
{
  struct hist first; /**< from arrival to the first byte sent back */
  struct hist total; /**< from arrival to the end of a whole response */
};

struct gateway_counters
{
  uint64_t arrived;
  uint64_t completed;
  uint64_t refused;
  uint64_t aborted;
  uint64_t canceled;
  uint64_t attempts;
  uint64_t repeats;
  uint64_t reasons[REFUSAL_MAX]; /**< refusals by reason */
  struct gateway_times times[ROUTE_KIND_MAX];
};

struct gateway
{
  struct gateway_settings settings;
  const struct gateway_adapter *adapter;
  struct event_base *base;
  struct clock clock;
  struct platform *platform; /**< owned */
  struct httpd *httpd;
  struct upstream_http *http;
  struct evhttp *probe; /**< readiness and metrics */
  struct evhttp_bound_socket *probe_socket;
  struct feed config_feed;
  struct feed upstream_feed;
  bool upstreams_held;         /**< a whole listing was taken in */
  uint64_t upstream_outage_ns; /**< end of the last one; 0: none */
  struct routing *routing;     /**< NULL until one is held */
  struct roster roster;
  struct prefixes prefixes;
  struct retryshare retryshare;
  struct usage_share usage;
  uint64_t wanted_tokens;      /**< of prompts that wait here */
  uint64_t peer_wanted_tokens; /**< of those that wait elsewhere */
  uint64_t level_tokens;       /**< of late, on the mean of those that wait */
  double crowding;             /**< 0: engines are free; 1: they are not */
  double contention;           /**< as crowding, with what waits for them */
  uint64_t passes;             /**< changes with what is known of load */
  uint64_t pass_end_ns;  /**< of the last offering of waiting requests ... */
  uint64_t pass_cost_ns; /**< ... and how long it took */
  struct waitline waitline;
  struct gateway_service *services; /**< uthash by id */
  struct neighbours *neighbours;    /**< owned */
  struct event *pass; /**< offers waiting requests to upstreams */
  struct flow *flows; /**< requests in progress */
  uint32_t flow_count;
  struct gateway_counters counters;
  struct rng rng;
  struct event *tick;
  uint64_t ticks;
  uint64_t tick_ns; /**< of the last one */
  struct event *signals[GATEWAY_SIGNALS];
  /** Reads the settings again, at SIGHUP; may be NULL. */
  void (*reread) (void *user);
  void *reread_user;
  bool draining;
  uint64_t drain_ns; /**< when draining began */
};

/** @param platform taken over, also on failure.
    @return 0 or an error, which has been logged. */
int gateway_init (struct gateway *gateway,
                  const struct gateway_settings *settings,
                  const struct gateway_adapter *adapter,
                  struct event_base *base, struct platform *platform);
void gateway_finish (struct gateway *gateway);
/** Runs until the drain has ended. */
void gateway_run (struct gateway *gateway);
/** Begins to stop: not ready, but serving until the time that is left. */
void gateway_drain (struct gateway *gateway);

/** Takes over what changed in the settings, and logs what needs a restart. */
void gateway_reload (struct gateway *gateway,
                     const struct gateway_settings *settings);

bool gateway_ready (const struct gateway *gateway);
uint64_t gateway_now_ns (const struct gateway *gateway);

#endif
