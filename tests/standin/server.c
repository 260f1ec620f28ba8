/**
 * @file server.c
 * HTTP listeners of a stand-in process and their control endpoint.
 */
#include "standin/server.h"
#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/keyvalq_struct.h>
#include <netinet/in.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define CONTROL_PREFIX "/_standin/"
#define ID_LINE_MAX    128 /**< bytes */

static int init_listeners (struct server *server, const char *addresses,
                           uint32_t workers);
static int listener_init (struct server_listener *listener,
                          struct server *server, const char *address,
                          uint32_t index);
static int bind_http (struct evhttp *http, const char *host, uint16_t *port,
                      struct evhttp_bound_socket **socket);
static void on_request (struct evhttp_request *request, void *user);
static void on_control (struct evhttp_request *request, void *user);
static void handle_control (struct server *server,
                            struct evhttp_request *request);
static void control_stats (struct server *server,
                           struct evhttp_request *request);
static void control_executions (struct server *server,
                                struct evhttp_request *request);
static void control_faults (struct server *server,
                            struct evhttp_request *request);
static void apply_fault (struct server_listener *listener,
                         const struct fault *fault);
static uint64_t query_number (const struct evkeyvalq *query, const char *name,
                              uint64_t fallback);

struct control_route
{
  const char *path;
  void (*run) (struct server *server, struct evhttp_request *request);
};

static const struct control_route routes[] = {
  { CONTROL_PREFIX "stats", control_stats },
  { CONTROL_PREFIX "executions", control_executions },
  { CONTROL_PREFIX "faults", control_faults },
};

int
server_init (struct server *server, const char *addresses, uint32_t workers,
             const char *control_address, uint32_t slots,
             const struct server_handler *handler)
{
  char host[ADDRESS_HOST_SIZE];
  uint16_t port;

  memset (server, 0, sizeof (*server));
  server->base = event_base_new ();
  server->handler = handler;
  if (init_listeners (server, addresses, workers) != 0)
    return -1;
  record_init (&server->record, slots * server->listener_count);
  server->control = evhttp_new (server->base);
  evhttp_set_gencb (server->control, on_control, server);
  if (address_parse (control_address, host, &port) != 0
      || bind_http (server->control, host, &port, NULL) != 0)
    return -1;
  printf ("control %s:%u\n", host, (unsigned)port);
  fflush (stdout);
  return 0;
}

void
server_finish (struct server *server)
{
  uint32_t i;

  for (i = 0; i < server->listener_count; i++)
    evhttp_free (server->listeners[i].http);
  evhttp_free (server->control);
  free (server->listeners);
  record_finish (&server->record);
  event_base_free (server->base);
}

/* With a single address each worker binds it, so that its port must be 0 for
   more than one worker. */
static int
init_listeners (struct server *server, const char *addresses, uint32_t workers)
{
  bool is_list = strchr (addresses, ',') != NULL;
  const char *next = addresses;
  char address[ADDRESS_HOST_SIZE + 8];
  uint32_t i;

  server->listener_count = is_list ? 1 : workers;
  for (; (next = strchr (next, ',')) != NULL; next++)
    server->listener_count++;
  server->listeners
      = calloc (server->listener_count, sizeof (*server->listeners));
  next = addresses;
  for (i = 0; i < server->listener_count; i++)
    {
      snprintf (address, sizeof (address), "%.*s", (int)strcspn (next, ","),
                next);
      if (listener_init (&server->listeners[i], server, address, i) != 0)
        return -1;
      if (is_list)
        next += strcspn (next, ",") + 1;
    }
  return 0;
}

static int
listener_init (struct server_listener *listener, struct server *server,
               const char *address, uint32_t index)
{
  listener->server = server;
  listener->index = index;
  listener->http = evhttp_new (server->base);
  evhttp_set_gencb (listener->http, on_request, listener);
  evhttp_set_allowed_methods (listener->http,
                              EVHTTP_REQ_GET | EVHTTP_REQ_POST | EVHTTP_REQ_PUT
                                  | EVHTTP_REQ_DELETE | EVHTTP_REQ_HEAD
                                  | EVHTTP_REQ_PATCH | EVHTTP_REQ_OPTIONS);
  if (address_parse (address, listener->host, &listener->port) != 0
      || bind_http (listener->http, listener->host, &listener->port,
                    &listener->socket)
             != 0)
    {
      fprintf (stderr, "standin: cannot listen on %s\n", address);
      return -1;
    }
  printf ("listen %s:%u\n", listener->host, (unsigned)listener->port);
  return 0;
}

static int
bind_http (struct evhttp *http, const char *host, uint16_t *port,
           struct evhttp_bound_socket **socket)
{
  struct evhttp_bound_socket *bound
      = evhttp_bind_socket_with_handle (http, host, *port);
  struct sockaddr_in address = { 0 };
  socklen_t size = sizeof (address);

  if (bound == NULL)
    return -1;
  if (getsockname (evhttp_bound_socket_get_fd (bound),
                   (struct sockaddr *)&address, &size)
      != 0)
    return -1;
  *port = ntohs (address.sin_port);
  if (socket != NULL)
    *socket = bound;
  return 0;
}

static void
on_request (struct evhttp_request *request, void *user)
{
  struct server_listener *listener = user;
  const char *uri = evhttp_request_get_uri (request);

  if (strncmp (uri, CONTROL_PREFIX, strlen (CONTROL_PREFIX)) == 0)
    handle_control (listener->server, request);
  else
    listener->server->handler->request (listener, request);
}

static void
on_control (struct evhttp_request *request, void *user)
{
  handle_control (user, request);
}

static void
handle_control (struct server *server, struct evhttp_request *request)
{
  const char *path
      = evhttp_uri_get_path (evhttp_request_get_evhttp_uri (request));
  size_t i;

  for (i = 0; i < sizeof (routes) / sizeof (routes[0]); i++)
    if (path != NULL && strcmp (path, routes[i].path) == 0)
      {
        routes[i].run (server, request);
        return;
      }
  evhttp_send_error (request, HTTP_NOTFOUND, NULL);
}

static void
control_stats (struct server *server, struct evhttp_request *request)
{
  json_t *stats = record_stats (&server->record);
  struct evbuffer *body = evbuffer_new ();
  char *text;

  if (server->handler->stats != NULL)
    server->handler->stats (server, stats);
  text = json_dumps (stats, JSON_COMPACT);
  evbuffer_add_printf (body, "%s\n", text);
  evhttp_send_reply (request, HTTP_OK, NULL, body);
  evbuffer_free (body);
  free (text);
  json_decref (stats);
}

static void
control_executions (struct server *server, struct evhttp_request *request)
{
  struct evbuffer *input = evhttp_request_get_input_buffer (request);
  struct evbuffer *body = evbuffer_new ();
  struct evkeyvalq query;
  const char *id;
  char *line;

  evhttp_parse_query (evhttp_request_get_uri (request), &query);
  id = evhttp_find_header (&query, "id");
  if (id != NULL)
    evbuffer_add_printf (body, "%u\n",
                         (unsigned)record_executions (&server->record, id));
  while ((line = evbuffer_readln (input, NULL, EVBUFFER_EOL_LF)) != NULL)
    {
      evbuffer_add_printf (
          body, "%u\n", (unsigned)record_executions (&server->record, line));
      free (line);
    }
  evhttp_clear_headers (&query);
  evhttp_send_reply (request, HTTP_OK, NULL, body);
  evbuffer_free (body);
}

static void
control_faults (struct server *server, struct evhttp_request *request)
{
  struct evkeyvalq query;
  struct fault fault;
  uint64_t listener;
  uint32_t i;

  evhttp_parse_query (evhttp_request_get_uri (request), &query);
  fault.kind = fault_parse (evhttp_find_header (&query, "kind"));
  fault.count
      = (uint32_t)query_number (&query, "count", FAULT_COUNT_UNLIMITED);
  fault.value = query_number (&query, "value", 0);
  listener = query_number (&query, "listener", UINT64_MAX);
  evhttp_clear_headers (&query);
  if (fault.kind == FAULT_MAX)
    {
      evhttp_send_error (request, HTTP_BADREQUEST, "unknown fault");
      return;
    }
  evhttp_send_reply (request, HTTP_OK, NULL, NULL);
  for (i = 0; i < server->listener_count; i++)
    if (listener == UINT64_MAX || listener == i)
      apply_fault (&server->listeners[i], &fault);
}

static void
apply_fault (struct server_listener *listener, const struct fault *fault)
{
  listener->fault = *fault;
  if (fault->kind == FAULT_REFUSE && listener->socket != NULL)
    {
      evhttp_del_accept_socket (listener->http, listener->socket);
      listener->socket = NULL;
    }
  else if (fault->kind != FAULT_REFUSE && listener->socket == NULL)
    bind_http (listener->http, listener->host, &listener->port,
               &listener->socket);
  if (listener->server->handler->fault != NULL)
    listener->server->handler->fault (listener);
}

static uint64_t
query_number (const struct evkeyvalq *query, const char *name,
              uint64_t fallback)
{
  const char *text = evhttp_find_header (query, name);

  return text == NULL ? fallback : strtoull (text, NULL, 10);
}
