/**
 * @file probe.c
 * Readiness and metrics over evhttp.
 */
#include "gateway/probe.h"
#include "gateway/directory.h"
#include "gateway/neighbours.h"
#include "state/err.h"
#include "transport/sock.h"
#include <event2/buffer.h>
#include <inttypes.h>
#include <netinet/in.h>
#include <stddef.h>

#define PREFIX   "cherrylanding_gateway_" /* of every metric */
#define US_PER_S 1000000.0                /* microseconds */
#define BACKLOG  64                       /* connections not yet accepted */

/** A figure of the metrics page. */
struct figure
{
  const char *name;
  const char *help;
  size_t offset; /* of a uint64_t in struct gateway */
};

static void on_ready (struct evhttp_request *request, void *arg);
static void on_metrics (struct evhttp_request *request, void *arg);

static void put_counters (const struct gateway *gateway,
                          struct evbuffer *body);
static void put_reasons (const struct gateway *gateway, struct evbuffer *body);
static void put_gauges (const struct gateway *gateway, struct evbuffer *body);
static void put_times (const struct gateway *gateway, struct evbuffer *body);
static void put_hist (struct evbuffer *body, const char *name,
                      const char *kind, const struct hist *hist);

static const struct figure figures[] = {
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
    offsetof (struct gateway, counters.repeats) },
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
  evhttp_set_cb (gateway->probe, "/ready", on_ready, gateway);
  evhttp_set_cb (gateway->probe, "/metrics", on_metrics, gateway);
  return 0;
}

uint16_t
probe_port (const struct gateway *gateway)
{
  struct sockaddr_in where = { .sin_port = 0 };
  socklen_t size = sizeof where;

  getsockname (evhttp_bound_socket_get_fd (gateway->probe_socket),
               (struct sockaddr *)&where, &size);
  return ntohs (where.sin_port);
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
  put_counters (gateway, body);
  put_reasons (gateway, body);
  put_gauges (gateway, body);
  put_times (gateway, body);
  evhttp_add_header (evhttp_request_get_output_headers (request),
                     "Content-Type", "text/plain; version=0.0.4");
  evhttp_send_reply (request, 200, "OK", body);
  evbuffer_free (body);
}

static void
put_counters (const struct gateway *gateway, struct evbuffer *body)
{
  size_t i;

  for (i = 0; i < sizeof figures / sizeof figures[0]; i++)
    evbuffer_add_printf (
        body,
        "# HELP " PREFIX "%s %s\n# TYPE " PREFIX "%s counter\n" PREFIX
        "%s %" PRIu64 "\n",
        figures[i].name, figures[i].help, figures[i].name, figures[i].name,
        *(const uint64_t *)((const char *)gateway + figures[i].offset));
}

static void
put_reasons (const struct gateway *gateway, struct evbuffer *body)
{
  int i;

  evbuffer_add_printf (body,
                       "# HELP " PREFIX "refusals_total refusals by "
                       "reason\n# TYPE " PREFIX "refusals_total counter\n");
  for (i = REFUSAL_NONE + 1; i < REFUSAL_MAX; i++)
    if (gateway->counters.reasons[i] > 0)
      evbuffer_add_printf (
          body, PREFIX "refusals_total{reason=\"%s\"} %" PRIu64 "\n",
          refusal_info ((enum refusal)i)->code, gateway->counters.reasons[i]);
}

static void
put_gauges (const struct gateway *gateway, struct evbuffer *body)
{
  const struct
  {
    const char *name;
    const char *help;
    double value;
  } gauges[] = {
    { "in_progress", "requests in progress", gateway->flow_count },
    { "waiting", "requests that wait for an upstream",
      gateway->waitline.count },
    { "upstreams", "upstreams known", HASH_COUNT (gateway->roster.upstreams) },
    { "neighbours", "other gateways linked", neighbours_linked (gateway) },
    { "config_version", "configuration in force",
      gateway->routing == NULL ? 0 : (double)gateway->routing->version },
    { "config_age_seconds", "time since the configuration was confirmed",
      (double)directory_age_ns (gateway) / CLOCK_NS_PER_S },
    { "upstream_connections", "connections to upstreams",
      upstream_http_connections (gateway->http) },
    { "client_connections", "connections of clients",
      httpd_connections (gateway->httpd) },
  };
  size_t i;

  for (i = 0; i < sizeof gauges / sizeof gauges[0]; i++)
    evbuffer_add_printf (body,
                         "# HELP " PREFIX "%s %s\n# TYPE " PREFIX
                         "%s gauge\n" PREFIX "%s %g\n",
                         gauges[i].name, gauges[i].help, gauges[i].name,
                         gauges[i].name, gauges[i].value);
}

static void
put_times (const struct gateway *gateway, struct evbuffer *body)
{
  static const char *const kinds[ROUTE_KIND_MAX] = {
    [ROUTE_IDEMPOTENT] = "idempotent",
    [ROUTE_ONCE] = "once",
    [ROUTE_STREAM] = "stream",
  };
  int i;

  evbuffer_add_printf (body, "# TYPE " PREFIX
                             "first_seconds histogram\n# TYPE " PREFIX
                             "total_seconds histogram\n");
  for (i = 0; i < ROUTE_KIND_MAX; i++)
    {
      put_hist (body, "first_seconds", kinds[i],
                &gateway->counters.times[i].first);
      put_hist (body, "total_seconds", kinds[i],
                &gateway->counters.times[i].total);
    }
}

static void
put_hist (struct evbuffer *body, const char *name, const char *kind,
          const struct hist *hist)
{
  uint64_t sum = 0;
  size_t i;

  for (i = 0; i + 1 < HIST_BUCKETS; i++)
    {
      sum += hist->buckets[i];
      evbuffer_add_printf (
          body, PREFIX "%s_bucket{kind=\"%s\",le=\"%g\"} %" PRIu64 "\n", name,
          kind, (double)hist_bound_us (i) / US_PER_S, sum);
    }
  evbuffer_add_printf (body,
                       PREFIX "%s_bucket{kind=\"%s\",le=\"+Inf\"} %" PRIu64
                              "\n" PREFIX "%s_sum{kind=\"%s\"} %g\n" PREFIX
                              "%s_count{kind=\"%s\"} %" PRIu64 "\n",
                       name, kind, hist->count, name, kind,
                       (double)hist->sum_us / US_PER_S, name, kind,
                       hist->count);
}
