/**
 * @file probe.c
 * Readiness and metrics over evhttp.
 */
#include "gateway/probe.h"
#include "gateway/discovery.h"
#include "gateway/gateway_peers.h"
#include "state/err.h"
#include "transport/sock.h"
#include <event2/buffer.h>
#include <inttypes.h>
#include <netinet/in.h>
#include <stddef.h>

#define METRIC_PREFIX     "cherrylanding_gateway_" /* of all metric names */
#define US_PER_S          1000000.0                /* microseconds */
#define REQUEST_BYTES_MAX 16384 /* of the headers, and of a body */
#define BACKLOG           64    /* listen(2) backlog */

/** A counter on the metrics page. */
struct counter_metric
{
  const char *name;
  const char *help;
  size_t offset; /* offset of a uint64_t in struct gateway */
};

static void on_ready (struct evhttp_request *request, void *arg);
static void on_metrics (struct evhttp_request *request, void *arg);

static void write_counters (const struct gateway *gateway,
                            struct evbuffer *body);
static void write_counter (struct evbuffer *body, const char *name,
                           const char *help, uint64_t value);
static void write_refusal_reasons (const struct gateway *gateway,
                                   struct evbuffer *body);
static void write_closes (const struct gateway *gateway,
                          struct evbuffer *body);
static void write_holds (const struct gateway *gateway, struct evbuffer *body);
static void write_gauges (const struct gateway *gateway,
                          struct evbuffer *body);
static void write_latencies (const struct gateway *gateway,
                             struct evbuffer *body);
static void write_histogram (struct evbuffer *body, const char *name,
                             const char *labels, const struct hist *hist);

static const struct counter_metric counter_metrics[] = {
  { "requests_total", "requests of clients",
    offsetof (struct gateway, counters.arrived) },
  { "completed_total", "responses passed on whole",
    offsetof (struct gateway, counters.completed) },
  { "refused_total", "requests answered by this instance itself",
    offsetof (struct gateway, counters.refused) },
  { "aborted_total", "responses broken off",
    offsetof (struct gateway, counters.aborted) },
  { "canceled_total", "requests whose client left",
    offsetof (struct gateway, counters.canceled) },
  { "attempts_total", "attempts at upstreams",
    offsetof (struct gateway, counters.attempts) },
  { "repeats_total", "attempts after one that an upstream received",
    offsetof (struct gateway, counters.retries) },
  { "links_lost_total", "links to other gateways that ended",
    offsetof (struct gateway, counters.links_lost) },
  { "queue_runs_total", "passes over the wait queue",
    offsetof (struct gateway, counters.dispatch.runs) },
  { "queue_expired_total", "requests that left the wait queue unserved",
    offsetof (struct gateway, counters.dispatch.expired) },
  { "turns_asked_total", "turns at limited upstreams that were asked for",
    offsetof (struct gateway, counters.dispatch.turns_asked) },
  { "turns_given_total", "turns that were given to this instance",
    offsetof (struct gateway, counters.dispatch.turns_given) },
  { "turns_used_total", "turns that were used",
    offsetof (struct gateway, counters.dispatch.turns_used) },
  { "turns_returned_total", "turns that were given back unused",
    offsetof (struct gateway, counters.dispatch.turns_returned) },
  { "store_restores_total", "restores of the store from a copy",
    offsetof (struct gateway, counters.store_restores) },
};

int
probe_start (struct gateway *gateway)
{
  int fd;
  int error = sock_listen (gateway->settings.probe_address, BACKLOG, &fd);

  if (error != 0)
    return error;
  gateway->probe = evhttp_new (gateway->base);
  if (gateway->probe == NULL)
    return ERR_NO_MEMORY;
  gateway->probe_socket
      = evhttp_accept_socket_with_handle (gateway->probe, fd);
  if (gateway->probe_socket == NULL)
    return ERR_IO;
  evhttp_set_max_headers_size (gateway->probe, REQUEST_BYTES_MAX);
  evhttp_set_max_body_size (gateway->probe, REQUEST_BYTES_MAX);
  evhttp_set_cb (gateway->probe, "/ready", on_ready, gateway);
  evhttp_set_cb (gateway->probe, "/metrics", on_metrics, gateway);
  return 0;
}

uint16_t
probe_port (const struct gateway *gateway)
{
  struct sockaddr_in address = { .sin_port = 0 };
  socklen_t size = sizeof address;

  getsockname (evhttp_bound_socket_get_fd (gateway->probe_socket),
               (struct sockaddr *)&address, &size);
  return ntohs (address.sin_port);
}

void
probe_finish (struct gateway *gateway)
{
  if (gateway->probe != NULL)
    evhttp_free (gateway->probe);
  gateway->probe = NULL;
}

static void
on_ready (struct evhttp_request *request, void *arg)
{
  const struct gateway *gateway = arg;

  if (gateway_ready (gateway))
    evhttp_send_reply (request, 200, "OK", NULL);
  else
    evhttp_send_reply (request, 503, "Service Unavailable", NULL);
}

static void
on_metrics (struct evhttp_request *request, void *arg)
{
  const struct gateway *gateway = arg;
  struct evbuffer *body = evbuffer_new ();

  if (body == NULL)
    {
      evhttp_send_reply (request, 500, "No Memory", NULL);
      return;
    }
  write_counters (gateway, body);
  write_refusal_reasons (gateway, body);
  write_closes (gateway, body);
  write_holds (gateway, body);
  write_gauges (gateway, body);
  write_latencies (gateway, body);
  evhttp_add_header (evhttp_request_get_output_headers (request),
                     "Content-Type", "text/plain; version=0.0.4");
  evhttp_send_reply (request, 200, "OK", body);
  evbuffer_free (body);
}

static void
write_counters (const struct gateway *gateway, struct evbuffer *body)
{
  size_t i;

  for (i = 0; i < sizeof counter_metrics / sizeof counter_metrics[0]; i++)
    write_counter (body, counter_metrics[i].name, counter_metrics[i].help,
                   *(const uint64_t *)((const char *)gateway
                                       + counter_metrics[i].offset));
  write_counter (body, "shed_connections_total",
                 "connections turned away unread",
                 httpd_shed_count (gateway->httpd));
  write_counter (body, "entries_rejected_total",
                 "entries of the store that could not be used",
                 gateway->counters.entries_rejected
                     + gateway->store->counters.rejected);
  write_counter (body, "store_responses_unreadable_total",
                 "responses of the store with a field that cannot be read",
                 gateway->store->counters.unreadable);
  write_counter (body, "store_responses_oversized_total",
                 "responses of the store that exceed the memory for them",
                 gateway->store->counters.oversized);
}

static void
write_counter (struct evbuffer *body, const char *name, const char *help,
               uint64_t value)
{
  evbuffer_add_printf (body,
                       "# HELP " METRIC_PREFIX "%s %s\n# TYPE " METRIC_PREFIX
                       "%s counter\n" METRIC_PREFIX "%s %" PRIu64 "\n",
                       name, help, name, name, value);
}

static void
write_refusal_reasons (const struct gateway *gateway, struct evbuffer *body)
{
  int i;

  evbuffer_add_printf (
      body, "# HELP " METRIC_PREFIX "refusals_total refusals by "
            "reason\n# TYPE " METRIC_PREFIX "refusals_total counter\n");
  for (i = REFUSAL_NONE + 1; i < REFUSAL_MAX; i++)
    if (gateway->counters.reasons[i] > 0)
      evbuffer_add_printf (
          body, METRIC_PREFIX "refusals_total{reason=\"%s\"} %" PRIu64 "\n",
          refusal_info ((enum refusal)i)->code, gateway->counters.reasons[i]);
}

static void
write_closes (const struct gateway *gateway, struct evbuffer *body)
{
  uint64_t count;
  int i;

  evbuffer_add_printf (
      body, "# HELP " METRIC_PREFIX "connections_closed_total connections of "
            "clients that were closed, by reason\n# TYPE " METRIC_PREFIX
            "connections_closed_total counter\n");
  for (i = 0; i < HTTPD_CLOSE_MAX; i++)
    {
      count = httpd_close_count (gateway->httpd, (enum httpd_close)i);
      evbuffer_add_printf (body,
                           METRIC_PREFIX
                           "connections_closed_total{reason=\"%s\"} %" PRIu64
                           "\n",
                           httpd_close_name ((enum httpd_close)i), count);
    }
}

static void
write_holds (const struct gateway *gateway, struct evbuffer *body)
{
  static const char *const names[GATEWAY_HOLD_MAX] = {
    [GATEWAY_HOLD_NONE] = "none",       [GATEWAY_HOLD_UPSTREAM] = "upstream",
    [GATEWAY_HOLD_LIMIT] = "limit",     [GATEWAY_HOLD_CAP] = "cap",
    [GATEWAY_HOLD_BACKLOG] = "backlog", [GATEWAY_HOLD_SLOTS] = "slots",
    [GATEWAY_HOLD_QUOTA] = "quota",
  };
  int i;

  evbuffer_add_printf (
      body, "# HELP " METRIC_PREFIX "queue_offers_total waiting requests that "
            "were offered, by what kept them back\n# TYPE " METRIC_PREFIX
            "queue_offers_total counter\n");
  for (i = 0; i < GATEWAY_HOLD_MAX; i++)
    evbuffer_add_printf (
        body, METRIC_PREFIX "queue_offers_total{held=\"%s\"} %" PRIu64 "\n",
        names[i], gateway->counters.dispatch.held[i]);
}

static bool
is_leaving (const struct gateway *gateway,
            const struct registry_upstream *upstream)
{
  (void)gateway;
  return upstream->leaving;
}

static bool
is_paused (const struct gateway *gateway,
           const struct registry_upstream *upstream)
{
  return registry_paused (upstream, gateway_now_ns (gateway));
}

static bool
is_limited (const struct gateway *gateway,
            const struct registry_upstream *upstream)
{
  (void)gateway;
  return upstream->limit.limited;
}

static uint32_t
count_upstreams (const struct gateway *gateway,
                 bool (*counts) (const struct gateway *gateway,
                                 const struct registry_upstream *upstream))
{
  const struct registry_upstream *upstream;
  uint32_t count = 0;

  for (upstream = gateway->registry.upstreams; upstream != NULL;
       upstream = upstream->hh.next)
    count += counts (gateway, upstream);
  return count;
}

static void
write_gauges (const struct gateway *gateway, struct evbuffer *body)
{
  const struct
  {
    const char *name;
    const char *help;
    double value;
  } gauges[] = {
    { "in_progress", "requests in progress", gateway->request_count },
    { "flooded", "1 while out of the load balancer's rotation, flooded",
      gateway->rotation.out },
    { "quarantined", "requests and parts of prompts that are refused",
      quarantine_held_count (&gateway->quarantine, gateway_now_ns (gateway)) },
    { "waiting", "requests that wait for an upstream",
      gateway->wait_queue.count },
    { "upstreams_leaving", "upstreams that said in a response that they leave",
      count_upstreams (gateway, is_leaving) },
    { "upstreams_paused", "upstreams that want no requests now",
      count_upstreams (gateway, is_paused) },
    { "upstreams_limited", "upstreams that name a limit of requests a second",
      count_upstreams (gateway, is_limited) },
    { "upstreams", "upstreams known",
      HASH_COUNT (gateway->registry.upstreams) },
    { "neighbours", "other gateways linked",
      gateway_peers_linked_count (gateway) },
    { "config_age_seconds", "time since the configuration was confirmed",
      (double)discovery_age_ns (gateway) / CLOCK_NS_PER_S },
    { "upstream_connections", "connections to upstreams",
      upstream_http_connections (gateway->upstream_client) },
    { "client_connections", "connections of clients",
      httpd_connections (gateway->httpd) },
    { "client_memory_bytes", "what clients make this instance hold",
      (double)gateway->memory.held_bytes },
    { "client_memory_limit_bytes", "what they may make it hold",
      (double)gateway->memory.limit_bytes },
  };
  size_t i;

  for (i = 0; i < sizeof gauges / sizeof gauges[0]; i++)
    evbuffer_add_printf (body,
                         "# HELP " METRIC_PREFIX "%s %s\n# TYPE " METRIC_PREFIX
                         "%s gauge\n" METRIC_PREFIX "%s %g\n",
                         gauges[i].name, gauges[i].help, gauges[i].name,
                         gauges[i].name, gauges[i].value);
  evbuffer_add_printf (
      body,
      "# HELP " METRIC_PREFIX "config_version configuration in force\n"
      "# TYPE " METRIC_PREFIX "config_version gauge\n" METRIC_PREFIX
      "config_version %s\n",
      gateway->routing == NULL ? "0" : gateway->routing->version);
}

static void
write_latencies (const struct gateway *gateway, struct evbuffer *body)
{
  static const char *const labels[ROUTE_KIND_MAX] = {
    [ROUTE_IDEMPOTENT] = "kind=\"idempotent\",",
    [ROUTE_NON_IDEMPOTENT] = "kind=\"once\",",
    [ROUTE_STREAMING] = "kind=\"stream\",",
  };
  int i;

  evbuffer_add_printf (
      body,
      "# TYPE " METRIC_PREFIX "first_seconds histogram\n# TYPE " METRIC_PREFIX
      "total_seconds histogram\n# TYPE " METRIC_PREFIX
      "loop_lag_seconds histogram\n# TYPE " METRIC_PREFIX
      "send_delay_seconds histogram\n# TYPE " METRIC_PREFIX
      "forecast_early_seconds histogram\n# TYPE " METRIC_PREFIX
      "forecast_late_seconds histogram\n# TYPE " METRIC_PREFIX
      "longest_gap_seconds histogram\n");
  for (i = 0; i < ROUTE_KIND_MAX; i++)
    {
      write_histogram (body, "first_seconds", labels[i],
                       &gateway->counters.times[i].first_byte);
      write_histogram (body, "total_seconds", labels[i],
                       &gateway->counters.times[i].total);
    }
  write_histogram (body, "loop_lag_seconds", "", &gateway->counters.loop_lag);
  write_histogram (body, "send_delay_seconds", "",
                   &gateway->counters.send_delay);
  write_histogram (body, "forecast_early_seconds", "",
                   &gateway->counters.stream_times.early);
  write_histogram (body, "forecast_late_seconds", "",
                   &gateway->counters.stream_times.late);
  write_histogram (body, "longest_gap_seconds", "",
                   &gateway->counters.stream_times.longest_gap);
}

/* @param labels  each followed by a comma. */
static void
write_histogram (struct evbuffer *body, const char *name, const char *labels,
                 const struct hist *hist)
{
  uint64_t sum = 0;
  size_t i;

  for (i = 0; i + 1 < HIST_BUCKETS; i++)
    {
      sum += hist->buckets[i];
      evbuffer_add_printf (
          body, METRIC_PREFIX "%s_bucket{%sle=\"%g\"} %" PRIu64 "\n", name,
          labels, (double)hist_bound_us (i) / US_PER_S, sum);
    }
  evbuffer_add_printf (
      body,
      METRIC_PREFIX "%s_bucket{%sle=\"+Inf\"} %" PRIu64 "\n" METRIC_PREFIX
                    "%s_sum{%s} %g\n" METRIC_PREFIX "%s_count{%s} %" PRIu64
                    "\n",
      name, labels, hist->count, name, labels, (double)hist->sum_us / US_PER_S,
      name, labels, hist->count);
}
