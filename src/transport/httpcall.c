/**
 * @file httpcall.c
 * HTTP exchanges over evhttp.
 */
#include "transport/httpcall.h"
#include "state/err.h"
#include "transport/clock.h"
#include "transport/sock.h"
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/util.h>
#include <netinet/in.h>
#include <stdlib.h>
#include <string.h>
#include <utlist.h>

static int open_connection (struct httpcall *call, uint32_t timeout_ms);
static int fill (struct httpcall *call, struct evhttp_request *request,
                 const struct httpcall_request *what);
static void on_output (struct evbuffer *buffer,
                       const struct evbuffer_cb_info *info, void *arg);
static void on_response (struct evhttp_request *request, void *arg);
static void on_error (enum evhttp_request_error error, void *arg);
static void on_reap (evutil_socket_t fd, short events, void *arg);
static void end (struct httpcall *call, int error, int status,
                 const struct evkeyvalq *headers, const char *body,
                 size_t size);
static void release (struct httpcall *call);
static void destroy (struct httpcall *call);

int
httpcall_init (struct httpcall_server *server, struct event_base *base,
               const char *address)
{
  struct sockaddr_storage storage;
  struct sockaddr *any = (struct sockaddr *)&storage;
  const struct sockaddr_in *v4 = (const struct sockaddr_in *)&storage;
  const struct sockaddr_in6 *v6 = (const struct sockaddr_in6 *)&storage;
  int size = (int)sizeof storage;
  bool four;

  memset (server, 0, sizeof *server);
  memset (&storage, 0, sizeof storage);
  server->base = base;
  server->address = address;
  if (address == NULL || evutil_parse_sockaddr_port (address, any, &size) != 0)
    return ERR_INVALID;
  four = any->sa_family == AF_INET;
  server->port = ntohs (four ? v4->sin_port : v6->sin6_port);
  if (evutil_inet_ntop (any->sa_family,
                        four ? (const void *)&v4->sin_addr
                             : (const void *)&v6->sin6_addr,
                        server->host, sizeof server->host)
      == NULL)
    return ERR_INVALID;
  server->reap = event_new (base, -1, 0, on_reap, server);
  return server->reap == NULL ? ERR_NO_MEMORY : 0;
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
      destroy (call);
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
httpcall_start (struct httpcall *call, const struct httpcall_request *what)
{
  struct evhttp_request *request = NULL;
  int error = open_connection (call, what->timeout_ms);

  if (error == 0)
    request = evhttp_request_new (on_response, call);
  if (request == NULL)
    {
      release (call);
      return ERR_NO_MEMORY;
    }
  evhttp_request_set_error_cb (request, on_error);
  if (fill (call, request, what) != 0)
    {
      evhttp_request_free (request);
      release (call);
      return ERR_NO_MEMORY;
    }
  if (evhttp_make_request (call->connection, request, what->method, what->path)
      == 0)
    return 0;
  /* evhttp has released the request. */
  if (!call->done)
    release (call);
  return ERR_UNAVAILABLE;
}

static int
fill (struct httpcall *call, struct evhttp_request *request,
      const struct httpcall_request *what)
{
  struct evkeyvalq *headers = evhttp_request_get_output_headers (request);

  if (evhttp_add_header (headers, "Host", call->server->address) != 0
      || evhttp_add_header (headers, "Connection", "close") != 0)
    return ERR_NO_MEMORY;
  if (what->content_type != NULL
      && evhttp_add_header (headers, "Content-Type", what->content_type) != 0)
    return ERR_NO_MEMORY;
  if (what->body != NULL
      && evbuffer_add (evhttp_request_get_output_buffer (request), what->body,
                       what->body_size)
             != 0)
    return ERR_NO_MEMORY;
  return 0;
}

static int
open_connection (struct httpcall *call, uint32_t timeout_ms)
{
  struct httpcall_server *server = call->server;
  const struct timeval timeout = clock_timeval (timeout_ms);
  struct evbuffer *output;

  call->connection = evhttp_connection_base_new (server->base, NULL,
                                                 server->host, server->port);
  if (call->connection == NULL)
    return ERR_NO_MEMORY;
  evhttp_connection_set_timeout_tv (call->connection, &timeout);
  evhttp_connection_set_retries (call->connection, 0);
  evhttp_connection_set_max_body_size (call->connection,
                                       HTTPCALL_RESPONSE_MAX);
  output = bufferevent_get_output (
      evhttp_connection_get_bufferevent (call->connection));
  return evbuffer_add_cb (output, on_output, call) == NULL ? ERR_NO_MEMORY : 0;
}

/* evhttp hands a request to the connection once it is open. */
static void
on_output (struct evbuffer *buffer, const struct evbuffer_cb_info *info,
           void *arg)
{
  struct httpcall *call = arg;
  struct bufferevent *bev
      = evhttp_connection_get_bufferevent (call->connection);

  (void)buffer;
  if (info->n_added == 0 || call->sent)
    return;
  call->sent = true;
  sock_notice_silence (bufferevent_getfd (bev), HTTPCALL_SILENCE_MS);
}

static void
on_error (enum evhttp_request_error error, void *arg)
{
  struct httpcall *call = arg;

  if (!call->sent)
    end (call, ERR_UNAVAILABLE, 0, NULL, NULL, 0);
  else if (error == EVREQ_HTTP_TIMEOUT)
    end (call, ERR_TIMEOUT, 0, NULL, NULL, 0);
  else
    end (call, ERR_RESET, 0, NULL, NULL, 0);
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
      end (call, call->sent ? ERR_RESET : ERR_UNAVAILABLE, 0, NULL, NULL, 0);
      return;
    }
  body = evhttp_request_get_input_buffer (request);
  size = evbuffer_get_length (body);
  end (call, 0, evhttp_request_get_response_code (request),
       evhttp_request_get_input_headers (request),
       size == 0 ? "" : (const char *)evbuffer_pullup (body, -1), size);
}

/* The connection cannot be released from within its own callbacks. */
static void
end (struct httpcall *call, int error, int status,
     const struct evkeyvalq *headers, const char *body, size_t size)
{
  if (call->done)
    return;
  call->done = true;
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
        release (call);
    }
}

static void
release (struct httpcall *call)
{
  DL_DELETE (call->server->calls, call);
  destroy (call);
}

static void
destroy (struct httpcall *call)
{
  call->done = true; /* no callback from here on */
  if (call->connection != NULL)
    evhttp_connection_free (call->connection);
  free (call);
}
