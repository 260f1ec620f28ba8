/**
 * @file exchange.c
 * An HTTP request to a stand-in and its response.
 */
#include "standin/exchange.h"
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>

#define CLOSE_DELAY_US 5000 /**< lets written bytes be sent first */

static void on_connection_close (struct evhttp_connection *connection,
                                 void *user);
static void on_close_timer (evutil_socket_t fd, short events, void *user);
static void schedule_close (struct exchange *exchange);
static void detach (struct exchange *exchange);
static bool truncates (const struct exchange *exchange);
static void send_truncated (struct exchange *exchange, struct evbuffer *body);

void
exchange_init (struct exchange *exchange, struct event_base *base,
               struct evhttp_request *request, struct fault fault,
               void (*on_abort) (void *user), void *user)
{
  const int on = 1;
  const char *id;

  memset (exchange, 0, sizeof (*exchange));
  exchange->base = base;
  exchange->request = request;
  exchange->connection = evhttp_request_get_connection (request);
  exchange->fault = fault;
  exchange->on_abort = on_abort;
  exchange->user = user;
  id = exchange_header (exchange, "Cherrylanding-Request-Id");
  snprintf (exchange->request_id, sizeof (exchange->request_id), "%s",
            id == NULL ? "" : id);
  evhttp_connection_set_closecb (exchange->connection, on_connection_close,
                                 exchange);
  setsockopt (bufferevent_getfd (
                  evhttp_connection_get_bufferevent (exchange->connection)),
              IPPROTO_TCP, TCP_NODELAY, &on, sizeof (on));
  /* evhttp stops reading while a request is served and would then not notice
     that the client disconnects. */
  bufferevent_enable (evhttp_connection_get_bufferevent (exchange->connection),
                      EV_READ);
}

const char *
exchange_header (const struct exchange *exchange, const char *name)
{
  return evhttp_find_header (
      evhttp_request_get_input_headers (exchange->request), name);
}

void
exchange_add_header (struct exchange *exchange, const char *name,
                     const char *value)
{
  evhttp_add_header (evhttp_request_get_output_headers (exchange->request),
                     name, value);
}

void
exchange_start (struct exchange *exchange, int status, const char *type)
{
  exchange->streaming = true;
  exchange_add_header (exchange, "Content-Type", type);
  if (exchange->fault.kind == FAULT_RESET && exchange->fault.value == 0)
    {
      schedule_close (exchange);
      return;
    }
  evhttp_send_reply_start (exchange->request, status, NULL);
}

void
exchange_write (struct exchange *exchange, struct evbuffer *data)
{
  size_t size = evbuffer_get_length (data);
  struct evbuffer *part;

  if (exchange->close_timer != NULL)
    {
      evbuffer_drain (data, size);
      return;
    }
  if (!truncates (exchange)
      || exchange->sent_bytes + size <= exchange->fault.value)
    {
      exchange->sent_bytes += size;
      evhttp_send_reply_chunk (exchange->request, data);
      return;
    }
  part = evbuffer_new ();
  evbuffer_remove_buffer (data, part,
                          exchange->fault.value - exchange->sent_bytes);
  evbuffer_drain (data, evbuffer_get_length (data));
  if (evbuffer_get_length (part) > 0)
    evhttp_send_reply_chunk (exchange->request, part);
  evbuffer_free (part);
  schedule_close (exchange);
}

void
exchange_end (struct exchange *exchange)
{
  struct evhttp_request *request = exchange->request;

  if (exchange->close_timer != NULL)
    return;
  if (truncates (exchange))
    {
      schedule_close (exchange);
      return;
    }
  detach (exchange);
  evhttp_send_reply_end (request);
}

void
exchange_reply (struct exchange *exchange, int status, const char *type,
                struct evbuffer *body)
{
  struct evhttp_request *request = exchange->request;
  char length[32];

  if (exchange->close_timer != NULL)
    return;
  if (type != NULL)
    exchange_add_header (exchange, "Content-Type", type);
  if (truncates (exchange))
    {
      send_truncated (exchange, body);
      return;
    }
  if (exchange->fault.kind == FAULT_WRONG_LENGTH)
    {
      snprintf (length, sizeof (length), "%zu",
                evbuffer_get_length (body) + (size_t)exchange->fault.value);
      exchange_add_header (exchange, "Content-Length", length);
      exchange_add_header (exchange, "Connection", "close");
    }
  detach (exchange);
  evhttp_send_reply (request, status, NULL, body);
}

/* Sends the full Content-Length, but only the first bytes of the body. */
static void
send_truncated (struct exchange *exchange, struct evbuffer *body)
{
  struct evbuffer *part;
  char length[32];

  if (exchange->fault.kind == FAULT_CUT || exchange->fault.value > 0)
    {
      snprintf (length, sizeof (length), "%zu", evbuffer_get_length (body));
      exchange_add_header (exchange, "Content-Length", length);
      evhttp_send_reply_start (exchange->request, HTTP_OK, NULL);
      part = evbuffer_new ();
      evbuffer_remove_buffer (body, part, exchange->fault.value);
      evhttp_send_reply_chunk (exchange->request, part);
      evbuffer_free (part);
    }
  schedule_close (exchange);
}

static bool
truncates (const struct exchange *exchange)
{
  return exchange->fault.kind == FAULT_RESET
         || exchange->fault.kind == FAULT_CUT;
}

static void
schedule_close (struct exchange *exchange)
{
  const struct timeval delay = { 0, CLOSE_DELAY_US };

  exchange->close_timer
      = evtimer_new (exchange->base, on_close_timer, exchange);
  evtimer_add (exchange->close_timer, &delay);
}

static void
on_close_timer (evutil_socket_t fd, short events, void *user)
{
  struct exchange *exchange = user;
  struct bufferevent *bev
      = evhttp_connection_get_bufferevent (exchange->connection);
  const struct sockaddr none = { .sa_family = AF_UNSPEC };

  (void)fd;
  (void)events;
  /* connect() with AF_UNSPEC makes the kernel send a reset at once. */
  if (exchange->fault.kind == FAULT_RESET)
    (void)connect (bufferevent_getfd (bev), &none, sizeof (none));
  evhttp_connection_free (exchange->connection);
}

static void
on_connection_close (struct evhttp_connection *connection, void *user)
{
  struct exchange *exchange = user;
  struct evhttp_request *request = exchange->request;
  void (*on_abort) (void *) = exchange->on_abort;
  void *abort_user = exchange->user;

  (void)connection;
  detach (exchange);
  /* evhttp does not free a request that has lost its connection. */
  if (evhttp_request_get_connection (request) == NULL)
    evhttp_request_free (request);
  on_abort (abort_user);
}

static void
detach (struct exchange *exchange)
{
  evhttp_connection_set_closecb (exchange->connection, NULL, NULL);
  if (exchange->close_timer != NULL)
    event_free (exchange->close_timer);
  exchange->close_timer = NULL;
  exchange->request = NULL;
}
