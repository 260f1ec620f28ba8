/**
 * @file relay.c
 * Relays TCP connections to a fixed address, one listener for each pair of
 * processes that a bench wants to be able to part.  While a listener shows
 * the fault `partition`, its bytes stand still in both directions and no
 * connection is made; `one-way` holds only what the target says; `reset`
 * closes what is open.
 */
#include "standin/standin.h"
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <utlist.h>

struct relay_port;

/** One connection and its far side. */
struct relay_pair
{
  struct relay_port *port;
  struct bufferevent *sides[2];
  struct relay_pair *prev;
  struct relay_pair *next;
};

/** One listener, its target, and whether it is cut off. */
struct relay_port
{
  struct server_listener *listener;
  struct evconnlistener *socket;
  struct sockaddr_in target;
  struct relay_pair *pairs;
  bool cut;
  bool one_way; /* cut for what the target says only */
};

static int port_init (struct server *server, uint32_t index,
                      const char *target);
static int parse (const char *address, struct sockaddr_in *out);
static void on_request (struct server_listener *listener,
                        struct evhttp_request *request);
static void on_fault (struct server_listener *listener);
static void on_accept (struct evconnlistener *socket, evutil_socket_t fd,
                       struct sockaddr *address, int size, void *user);
static void on_read (struct bufferevent *bev, void *user);
static void on_event (struct bufferevent *bev, short what, void *user);
static void on_drained (struct bufferevent *bev, void *user);
static void set_cut (struct relay_port *port, bool cut);
static void let_pass (struct relay_pair *pair, int side);
static void close_all (struct relay_port *port);
static void close_pair (struct relay_pair *pair);

static const struct server_handler handler = { on_request, on_fault, NULL };

/* The HTTP listeners only carry the faults; the relays listen beside them. */
int
relay_init (struct server *server, const struct standin_options *options)
{
  const char *next = options->target;
  char target[ADDRESS_HOST_SIZE + 8];
  uint32_t i;

  if (options->target == NULL)
    return -1;
  if (server_init (server, options->listen, options->workers, options->control,
                   0, &handler)
      != 0)
    return -1;
  for (i = 0; i < server->listener_count; i++)
    {
      snprintf (target, sizeof (target), "%.*s", (int)strcspn (next, ","),
                next);
      if (port_init (server, i, target) != 0)
        return -1;
      next += strcspn (next, ",");
      if (*next == ',')
        next++;
    }
  fflush (stdout);
  return 0;
}

void
relay_finish (struct server *server)
{
  uint32_t i;

  for (i = 0; i < server->listener_count; i++)
    {
      struct relay_port *port = server->listeners[i].data;

      close_all (port);
      evconnlistener_free (port->socket);
      free (port);
    }
  server_finish (server);
}

static int
port_init (struct server *server, uint32_t index, const char *target)
{
  struct relay_port *port = calloc (1, sizeof (*port));
  struct sockaddr_in address = { .sin_family = AF_INET };
  socklen_t size = sizeof (address);

  address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  port->listener = &server->listeners[index];
  port->listener->data = port;
  port->socket = evconnlistener_new_bind (
      server->base, on_accept, port, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE,
      -1, (struct sockaddr *)&address, sizeof (address));
  if (port->socket == NULL || parse (target, &port->target) != 0
      || getsockname (evconnlistener_get_fd (port->socket),
                      (struct sockaddr *)&address, &size)
             != 0)
    return -1;
  printf ("relay 127.0.0.1:%u\n", (unsigned)ntohs (address.sin_port));
  return 0;
}

static int
parse (const char *address, struct sockaddr_in *out)
{
  char host[ADDRESS_HOST_SIZE];
  uint16_t port;

  memset (out, 0, sizeof (*out));
  out->sin_family = AF_INET;
  if (address_parse (address, host, &port) != 0)
    return -1;
  out->sin_port = htons (port);
  return evutil_inet_pton (AF_INET, host, &out->sin_addr) == 1 ? 0 : -1;
}

static void
on_request (struct server_listener *listener, struct evhttp_request *request)
{
  (void)listener;
  evhttp_send_error (request, HTTP_NOTFOUND, NULL);
}

static void
on_fault (struct server_listener *listener)
{
  struct relay_port *port = listener->data;
  enum fault_kind kind = listener->fault.kind;

  port->one_way = kind == FAULT_ONE_WAY;
  set_cut (port, kind == FAULT_PARTITION || kind == FAULT_ONE_WAY);
  if (kind == FAULT_RESET)
    close_all (port);
}

static void
on_accept (struct evconnlistener *socket, evutil_socket_t fd,
           struct sockaddr *address, int size, void *user)
{
  struct relay_port *port = user;
  struct event_base *base = evconnlistener_get_base (socket);
  struct relay_pair *pair;
  int one = 1;
  int i;

  (void)address;
  (void)size;
  pair = calloc (1, sizeof (*pair));
  pair->port = port;
  pair->sides[0] = bufferevent_socket_new (base, fd, BEV_OPT_CLOSE_ON_FREE);
  pair->sides[1] = bufferevent_socket_new (base, -1, BEV_OPT_CLOSE_ON_FREE);
  DL_APPEND (port->pairs, pair);
  for (i = 0; i < 2; i++)
    bufferevent_setcb (pair->sides[i], on_read, NULL, on_event, pair);
  if (bufferevent_socket_connect (pair->sides[1],
                                  (struct sockaddr *)&port->target,
                                  sizeof (port->target))
      != 0)
    {
      close_pair (pair);
      return;
    }
  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof (one));
  setsockopt (bufferevent_getfd (pair->sides[1]), IPPROTO_TCP, TCP_NODELAY,
              &one, sizeof (one));
  for (i = 0; i < 2; i++)
    let_pass (pair, i);
}

/* Lets a side read and write, as far as its port is not cut.  The side
   towards the target is the second. */
static void
let_pass (struct relay_pair *pair, int side)
{
  const struct relay_port *port = pair->port;
  short events = EV_READ | EV_WRITE;

  if (port->cut && port->one_way)
    events = side == 0 ? EV_READ : EV_WRITE;
  else if (port->cut)
    events = 0;
  bufferevent_disable (pair->sides[side], EV_READ | EV_WRITE);
  if (events != 0)
    bufferevent_enable (pair->sides[side], events);
}

static void
on_read (struct bufferevent *bev, void *user)
{
  struct relay_pair *pair = user;
  struct bufferevent *other
      = bev == pair->sides[0] ? pair->sides[1] : pair->sides[0];

  bufferevent_write_buffer (other, bufferevent_get_input (bev));
}

/* What one side said before its end still reaches the other. */
static void
on_event (struct bufferevent *bev, short what, void *user)
{
  struct relay_pair *pair = user;
  struct bufferevent *other
      = bev == pair->sides[0] ? pair->sides[1] : pair->sides[0];

  if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) == 0)
    return;
  if ((what & BEV_EVENT_ERROR) != 0
      || evbuffer_get_length (bufferevent_get_output (other)) == 0)
    {
      close_pair (pair);
      return;
    }
  bufferevent_disable (bev, EV_READ | EV_WRITE);
  bufferevent_setcb (other, on_read, on_drained, on_event, pair);
}

static void
on_drained (struct bufferevent *bev, void *user)
{
  (void)bev;
  close_pair (user);
}

/* Bytes that stand still are passed on when the cut ends. */
static void
set_cut (struct relay_port *port, bool cut)
{
  struct relay_pair *pair;
  int i;

  port->cut = cut;
  if (cut && !port->one_way)
    evconnlistener_disable (port->socket);
  else
    evconnlistener_enable (port->socket);
  for (pair = port->pairs; pair != NULL; pair = pair->next)
    for (i = 0; i < 2; i++)
      let_pass (pair, i);
}

static void
close_all (struct relay_port *port)
{
  struct relay_pair *pair;
  struct relay_pair *next;

  for (pair = port->pairs; pair != NULL; pair = next)
    {
      next = pair->next;
      close_pair (pair);
    }
}

static void
close_pair (struct relay_pair *pair)
{
  DL_DELETE (pair->port->pairs, pair);
  bufferevent_free (pair->sides[0]);
  bufferevent_free (pair->sides[1]);
  free (pair);
}
