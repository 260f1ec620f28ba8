/**
 * @file probe.c
 * Readiness and metrics over evhttp.
 */
#include "gateway/probe.h"
#include "state/err.h"
#include "transport/sock.h"
#include <event2/buffer.h>
#include <inttypes.h>
#include <netinet/in.h>
#include <stddef.h>

#define BACKLOG 64 /* connections not yet accepted */

/** A figure of the metrics page. */
struct figure
{
  const char *name;
  const char *help;
  size_t offset; /* of a uint64_t in struct gateway */
};

static void on_ready (struct evhttp_request *request, void *arg);
static void on_metrics (struct evhttp_request *request, void *arg);

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
  size_t i;

  if (body == NULL)
    {
      evhttp_send_reply (request, 500, "No Memory", NULL);
      return;
    }
  for (i = 0; i < sizeof figures / sizeof figures[0]; i++)
    evbuffer_add_printf (
        body,
        "# HELP cherrylanding_gateway_%s %s\n"
        "# TYPE cherrylanding_gateway_%s counter\n"
        "cherrylanding_gateway_%s %" PRIu64 "\n",
        figures[i].name, figures[i].help, figures[i].name, figures[i].name,
        *(const uint64_t *)((const char *)gateway + figures[i].offset));
  evhttp_add_header (evhttp_request_get_output_headers (request),
                     "Content-Type", "text/plain; version=0.0.4");
  evhttp_send_reply (request, 200, "OK", body);
  evbuffer_free (body);
}
