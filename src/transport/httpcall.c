/**
 * @file httpcall.c
 * HTTP client requests over evhttp.
 */
#include "transport/httpcall.h"
#include "state/err.h"
#include "transport/clock.h"
#include "transport/loop.h"
#include "transport/sock.h"
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/util.h>
#include <netinet/in.h>
#include <poll.h>
#include <stdlib.h>
#include <string.h>
#include <utlist.h>

/* For a response that is in its socket when the time of its call ends. */
#define UNREAD_MS 100
/* Added to the time of a call for evhttp's own timeout. */
#define BACKSTOP_MS 60000

static int open_connection (struct httpcall *call, uint32_t timeout_ms);
static int fill_request (struct httpcall *call, struct evhttp_request *request,
                         const struct httpcall_request *params);
static void on_progress (struct evbuffer *buffer,
                         const struct evbuffer_cb_info *info, void *arg);
static void on_input (struct evbuffer *buffer,
                      const struct evbuffer_cb_info *info, void *arg);
static void on_timer (evutil_socket_t fd, short events, void *arg);
static bool is_ready (const struct httpcall *call);
static void on_output (struct evbuffer *buffer,
                       const struct evbuffer_cb_info *info, void *arg);
static int on_head (struct evhttp_request *request, void *arg);
static void on_response (struct evhttp_request *request, void *arg);
static void on_error (enum evhttp_request_error error, void *arg);
static void on_reap (evutil_socket_t fd, short events, void *arg);
static void complete (struct httpcall *call, int error, int status,
                      const struct evkeyvalq *headers, const char *body,
                      size_t size);
static void remove_call (struct httpcall *call);
static void free_call (struct httpcall *call);

int
httpcall_init (struct httpcall_server *server, struct event_base *base,
               const char *address)
{
  struct sockaddr_storage storage;
  struct sockaddr *addr = (struct sockaddr *)&storage;
  const struct sockaddr_in *v4 = (const struct sockaddr_in *)&storage;
  const struct sockaddr_in6 *v6 = (const struct sockaddr_in6 *)&storage;
  int size = (int)sizeof storage;
  bool is_ipv4;

  memset (server, 0, sizeof *server);
  memset (&storage, 0, sizeof storage);
  server->base = base;
  server->address = address;
  server->response_max = HTTPCALL_RESPONSE_MAX;
  if (address == NULL
      || evutil_parse_sockaddr_port (address, addr, &size) != 0)
    return ERR_INVALID;
  is_ipv4 = addr->sa_family == AF_INET;
  server->port = ntohs (is_ipv4 ? v4->sin_port : v6->sin6_port);
  if (evutil_inet_ntop (addr->sa_family,
                        is_ipv4 ? (const void *)&v4->sin_addr
                                : (const void *)&v6->sin6_addr,
                        server->host, sizeof server->host)
      == NULL)
    return ERR_INVALID;
  server->reap = event_new (base, -1, 0, on_reap, server);
  if (server->reap == NULL)
    return ERR_NO_MEMORY;
  loop_set_control (server->reap);
  return 0;
}

void
httpcall_finish (struct httpcall_server *server)
{
  struct httpcall *call = server->calls;
  struct httpcall *next;

  server->calls = NULL;
  for (; call != NULL; call = next)
    {
      next = call->next;
      free_call (call);
    }
  if (server->reap != NULL)
    event_free (server->reap);
  server->reap = NULL;
}

void *
httpcall_new (struct httpcall_server *server, size_t size)
{
  struct httpcall *call = calloc (1, size);

  if (call == NULL)
    return NULL;
  call->server = server;
  DL_APPEND (server->calls, call);
  return call;
}

int
httpcall_start (struct httpcall *call, const struct httpcall_request *params)
{
  struct evhttp_request *request = NULL;
  int error = open_connection (call, params->timeout_ms);

  if (error == 0)
    request = evhttp_request_new (on_response, call);
  if (request == NULL)
    {
      remove_call (call);
      return ERR_NO_MEMORY;
    }
  evhttp_request_set_error_cb (request, on_error);
  evhttp_request_set_header_cb (request, on_head);
  if (fill_request (call, request, params) != 0)
    {
      evhttp_request_free (request);
      remove_call (call);
      return ERR_NO_MEMORY;
    }
  if (evhttp_make_request (call->connection, request, params->method,
                           params->path)
      == 0)
    return 0;
  /* evhttp has freed the request. */
  if (!call->done)
    remove_call (call);
  return ERR_UNAVAILABLE;
}

static int
fill_request (struct httpcall *call, struct evhttp_request *request,
              const struct httpcall_request *params)
{
  struct evkeyvalq *headers = evhttp_request_get_output_headers (request);

  if (evhttp_add_header (headers, "Host", call->server->address) != 0
      || evhttp_add_header (headers, "Connection", "close") != 0)
    return ERR_NO_MEMORY;
  if (params->content_type != NULL
      && evhttp_add_header (headers, "Content-Type", params->content_type)
             != 0)
    return ERR_NO_MEMORY;
  if (params->body != NULL
      && evbuffer_add (evhttp_request_get_output_buffer (request),
                       params->body, params->body_size)
             != 0)
    return ERR_NO_MEMORY;
  return 0;
}

static int
open_connection (struct httpcall *call, uint32_t timeout_ms)
{
  struct httpcall_server *server = call->server;
  /* evhttp's own timeout would go before a response that lies unread. */
  const struct timeval backstop = clock_timeval (timeout_ms + BACKSTOP_MS);
  struct bufferevent *bev;

  call->timeout = clock_timeval (timeout_ms);
  call->timer = event_new (server->base, -1, 0, on_timer, call);
  if (call->timer == NULL)
    return ERR_NO_MEMORY;
  loop_set_control (call->timer);
  call->connection = evhttp_connection_base_new (server->base, NULL,
                                                 server->host, server->port);
  if (call->connection == NULL)
    return ERR_NO_MEMORY;
  evhttp_connection_set_timeout_tv (call->connection, &backstop);
  evhttp_connection_set_retries (call->connection, 0);
  evhttp_connection_set_max_body_size (call->connection,
                                       (ev_ssize_t)server->response_max);
  evhttp_connection_set_max_headers_size (call->connection, HTTPCALL_HEAD_MAX);
  bev = evhttp_connection_get_bufferevent (call->connection);
  if (evbuffer_add_cb (bufferevent_get_output (bev), on_output, call) == NULL
      || evbuffer_add_cb (bufferevent_get_input (bev), on_input, call) == NULL
      || event_add (call->timer, &call->timeout) != 0)
    return ERR_NO_MEMORY;
  return 0;
}

/* Bytes are written or read: the time of the call begins again. */
static void
on_progress (struct evbuffer *buffer, const struct evbuffer_cb_info *info,
             void *arg)
{
  struct httpcall *call = arg;

  (void)buffer;
  (void)info;
  if (!call->done)
    event_add (call->timer, &call->timeout);
}

/* evhttp sets no bound on interim responses and on the line of a chunk's
   size. */
static void
on_input (struct evbuffer *buffer, const struct evbuffer_cb_info *info,
          void *arg)
{
  struct httpcall *call = arg;
  struct httpcall_server *server = call->server;

  on_progress (buffer, info, arg);
  call->received += info->n_added;
  server->received += info->n_added;
  if (call->done || call->too_large || info->n_added == 0
      || server->received <= server->response_max)
    return;
  call->too_large = true;
  bufferevent_disable (evhttp_connection_get_bufferevent (call->connection),
                       EV_READ);
  /* The call must not end within a callback of its connection. */
  event_active (call->timer, EV_TIMEOUT, 0);
}

static void
on_timer (evutil_socket_t fd, short events, void *arg)
{
  const struct timeval extension = clock_timeval (UNREAD_MS);
  struct httpcall *call = arg;

  (void)fd;
  (void)events;
  if (call->too_large)
    {
      complete (call, ERR_TOO_LARGE, 0, NULL, NULL, 0);
      return;
    }
  /* The loop is late, and will handle the socket next. */
  if (!call->extended && is_ready (call))
    {
      call->extended = true;
      event_add (call->timer, &extension);
      return;
    }
  complete (call, call->sent ? ERR_TIMEOUT : ERR_UNAVAILABLE, 0, NULL, NULL,
            0);
}

/* Whether a response has come, or the connection is established or failed. */
static bool
is_ready (const struct httpcall *call)
{
  struct pollfd connection
      = { .fd = bufferevent_getfd (
              evhttp_connection_get_bufferevent (call->connection)),
          .events = call->sent ? POLLIN : POLLOUT };

  return connection.fd >= 0 && poll (&connection, 1, 0) > 0;
}

/* evhttp writes the request to the output buffer only after the connection is
   established, so an addition to the buffer means that the request may have
   reached the server. */
static void
on_output (struct evbuffer *buffer, const struct evbuffer_cb_info *info,
           void *arg)
{
  struct httpcall *call = arg;
  struct bufferevent *bev
      = evhttp_connection_get_bufferevent (call->connection);

  on_progress (buffer, info, arg);
  if (info->n_added == 0 || call->sent)
    return;
  call->sent = true;
  /* Connecting gave the connection's events their default priority; it cannot
     change earlier, as callbacks may be queued until then. */
  bufferevent_priority_set (bev, LOOP_CONTROL);
  sock_set_keepalive (bufferevent_getfd (bev), HTTPCALL_DEAD_PEER_MS);
}

static void
on_error (enum evhttp_request_error error, void *arg)
{
  struct httpcall *call = arg;

  if (!call->sent)
    complete (call, ERR_UNAVAILABLE, 0, NULL, NULL, 0);
  else if (error == EVREQ_HTTP_TIMEOUT)
    complete (call, ERR_TIMEOUT, 0, NULL, NULL, 0);
  else if (error == EVREQ_HTTP_DATA_TOO_LONG)
    complete (call, ERR_TOO_LARGE, 0, NULL, NULL, 0);
  else
    complete (call, ERR_RESET, 0, NULL, NULL, 0);
}

/* evhttp keeps memory of each interim response. */
static int
on_head (struct evhttp_request *request, void *arg)
{
  struct httpcall *call = arg;

  if (evhttp_request_get_response_code (request) >= 200)
    return 0;
  call->interim_count++;
  return call->interim_count > HTTPCALL_INTERIM_MAX ? -1 : 0;
}

static void
on_response (struct evhttp_request *request, void *arg)
{
  struct httpcall *call = arg;
  struct evbuffer *body;
  size_t size;

  if (call->done)
    return;
  if (request == NULL || evhttp_request_get_response_code (request) == 0)
    {
      complete (call, call->sent ? ERR_RESET : ERR_UNAVAILABLE, 0, NULL, NULL,
                0);
      return;
    }
  body = evhttp_request_get_input_buffer (request);
  size = evbuffer_get_length (body);
  complete (call, 0, evhttp_request_get_response_code (request),
            evhttp_request_get_input_headers (request),
            size == 0 ? "" : (const char *)evbuffer_pullup (body, -1), size);
}

/* Reports the result.  The connection must not be freed from within its own
   callbacks, so on_reap frees it later from the event loop. */
static void
complete (struct httpcall *call, int error, int status,
          const struct evkeyvalq *headers, const char *body, size_t size)
{
  if (call->done)
    return;
  call->done = true;
  event_del (call->timer);
  event_active (call->server->reap, EV_TIMEOUT, 0);
  call->finished (call, error, status, headers, body, size);
}

static void
on_reap (evutil_socket_t fd, short events, void *arg)
{
  struct httpcall_server *server = arg;
  struct httpcall *call = server->calls;
  struct httpcall *next;

  (void)fd;
  (void)events;
  for (; call != NULL; call = next)
    {
      next = call->next;
      if (call->done)
        remove_call (call);
    }
}

static void
remove_call (struct httpcall *call)
{
  DL_DELETE (call->server->calls, call);
  free_call (call);
}

static void
free_call (struct httpcall *call)
{
  call->done = true; /* suppresses callbacks during the free */
  call->server->received -= call->received;
  if (call->timer != NULL)
    event_free (call->timer);
  if (call->connection != NULL)
    evhttp_connection_free (call->connection);
  free (call);
}
