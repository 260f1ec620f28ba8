/**
 * @file cutnet.c
 * Relays that cut gateways off.
 */
#include "support/cutnet.h"
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <utlist.h>

#define SIDES         2
#define DIALER_NONE   (-1) /* it has not sent its name yet */
#define NAME_START    "g-"
#define ENTRY_PREFIX  "cherrylanding/za/"
#define NAME_MAX_SIZE 4

struct cutnet_conn
{
  struct cutnet_port *port;
  struct bufferevent *sides[SIDES]; /* client, target */
  int dialer;
  struct cutnet_conn *prev;
  struct cutnet_conn *next;
};

static void port_init (struct cutnet_port *port);
static void on_accept (struct evconnlistener *listener, evutil_socket_t fd,
                       struct sockaddr *address, int size, void *user);
static void on_read (struct bufferevent *bev, void *user);
static void on_written (struct bufferevent *bev, void *user);
static void on_event (struct bufferevent *bev, short what, void *user);
static void close_conn (struct cutnet_conn *conn);
static void free_conn (struct cutnet_conn *conn);
static bool is_cut (const struct cutnet_conn *conn);
static void find_dialer (struct cutnet_conn *conn, struct evbuffer *input);
static void update (struct cutnet_conn *conn);
static void set_no_delay (struct bufferevent *bev);

void
cutnet_init (struct cutnet *net, struct event_base *base, uint16_t store_port)
{
  int kind;
  unsigned int i;

  memset (net, 0, sizeof *net);
  net->base = base;
  for (kind = 0; kind < CUTNET_KIND_MAX; kind++)
    for (i = 0; i < CUTNET_GATEWAYS_MAX; i++)
      {
        net->ports[kind][i] = (struct cutnet_port){
          .net = net,
          .kind = (enum cutnet_kind)kind,
          .gateway = i,
          .target = kind == CUTNET_STORE ? store_port : 0,
        };
        port_init (&net->ports[kind][i]);
      }
}

static void
port_init (struct cutnet_port *port)
{
  struct sockaddr_in address = { .sin_family = AF_INET };
  socklen_t size = sizeof address;

  address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  port->listener
      = evconnlistener_new_bind (port->net->base, on_accept, port,
                                 LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, -1,
                                 (struct sockaddr *)&address, sizeof address);
  getsockname (evconnlistener_get_fd (port->listener),
               (struct sockaddr *)&address, &size);
  port->port = ntohs (address.sin_port);
}

void
cutnet_finish (struct cutnet *net)
{
  struct cutnet_conn *conn = net->conns;
  struct cutnet_conn *next;
  int kind;
  unsigned int i;

  net->conns = NULL;
  for (; conn != NULL; conn = next)
    {
      next = conn->next;
      free_conn (conn);
    }
  for (kind = 0; kind < CUTNET_KIND_MAX; kind++)
    for (i = 0; i < CUTNET_GATEWAYS_MAX; i++)
      evconnlistener_free (net->ports[kind][i].listener);
}

void
cutnet_set (struct cutnet *net, enum cutnet_kind kind, unsigned int gateway,
            bool cut)
{
  struct cutnet_conn *conn;

  net->cut[kind][gateway] = cut;
  for (conn = net->conns; conn != NULL; conn = conn->next)
    update (conn);
}

bool
cutnet_edit_entry (void *user, const char *key, char *value, size_t size)
{
  struct cutnet *net = user;
  const char *port = strchr (value, ':');
  char rest[64];
  unsigned int gateway;

  if (sscanf (key, ENTRY_PREFIX NAME_START "%u", &gateway) != 1
      || gateway >= CUTNET_GATEWAYS_MAX || port == NULL)
    return false;
  net->ports[CUTNET_PEERS][gateway].target
      = (uint16_t)strtoul (port + 1, NULL, 10);
  snprintf (rest, sizeof rest, "%s",
            strchr (value, ' ') == NULL ? "" : strchr (value, ' '));
  snprintf (value, size, "127.0.0.1:%u%s",
            net->ports[CUTNET_PEERS][gateway].port, rest);
  return true;
}

static void
on_accept (struct evconnlistener *listener, evutil_socket_t fd,
           struct sockaddr *address, int size, void *user)
{
  struct cutnet_port *port = user;
  struct sockaddr_in target
      = { .sin_family = AF_INET, .sin_port = htons (port->target) };
  struct cutnet_conn *conn = calloc (1, sizeof *conn);
  int i;

  (void)listener;
  (void)address;
  (void)size;
  target.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  conn->port = port;
  conn->dialer = port->kind == CUTNET_STORE ? (int)port->gateway : DIALER_NONE;
  conn->sides[0]
      = bufferevent_socket_new (port->net->base, fd, BEV_OPT_CLOSE_ON_FREE);
  conn->sides[1]
      = bufferevent_socket_new (port->net->base, -1, BEV_OPT_CLOSE_ON_FREE);
  DL_APPEND (port->net->conns, conn);
  for (i = 0; i < SIDES; i++)
    bufferevent_setcb (conn->sides[i], on_read, NULL, on_event, conn);
  if (bufferevent_socket_connect (conn->sides[1], (struct sockaddr *)&target,
                                  sizeof target)
      != 0)
    {
      close_conn (conn);
      return;
    }
  for (i = 0; i < SIDES; i++)
    set_no_delay (conn->sides[i]);
  update (conn);
}

static void
set_no_delay (struct bufferevent *bev)
{
  int one = 1;

  setsockopt (bufferevent_getfd (bev), IPPROTO_TCP, TCP_NODELAY, &one,
              sizeof one);
}

static bool
is_cut (const struct cutnet_conn *conn)
{
  const struct cutnet_port *port = conn->port;
  const bool *cut = port->net->cut[port->kind];

  return cut[port->gateway]
         || (conn->dialer != DIALER_NONE && cut[conn->dialer]);
}

/* Reading goes on until it is known who has dialed. */
static void
update (struct cutnet_conn *conn)
{
  bool cut = is_cut (conn);
  int i;

  for (i = 0; i < SIDES; i++)
    if (conn->sides[i] != NULL && cut)
      bufferevent_disable (conn->sides[i], EV_READ | EV_WRITE);
    else if (conn->sides[i] != NULL)
      {
        bufferevent_enable (conn->sides[i], EV_READ | EV_WRITE);
        if (evbuffer_get_length (bufferevent_get_input (conn->sides[i])) > 0)
          bufferevent_trigger (conn->sides[i], EV_READ,
                               BEV_TRIG_DEFER_CALLBACKS);
      }
}

/* A hello holds the length of its sender's name and the name. */
static void
find_dialer (struct cutnet_conn *conn, struct evbuffer *input)
{
  struct evbuffer_ptr at
      = evbuffer_search (input, NAME_START, strlen (NAME_START), NULL);
  char name[NAME_MAX_SIZE + 1] = "";
  unsigned int gateway;
  char length;

  if (at.pos < 1)
    return;
  evbuffer_ptr_set (input, &at, (size_t)at.pos - 1, EVBUFFER_PTR_SET);
  evbuffer_copyout_from (input, &at, &length, 1);
  evbuffer_ptr_set (input, &at, 1, EVBUFFER_PTR_ADD);
  if (length > NAME_MAX_SIZE
      || evbuffer_copyout_from (input, &at, name, (size_t)length) != length
      || sscanf (name, NAME_START "%u", &gateway) != 1
      || gateway >= CUTNET_GATEWAYS_MAX)
    return;
  conn->dialer = (int)gateway;
}

static void
on_read (struct bufferevent *bev, void *user)
{
  struct cutnet_conn *conn = user;
  struct evbuffer *input = bufferevent_get_input (bev);
  int from = bev == conn->sides[1];

  if (conn->dialer == DIALER_NONE && from == 0)
    {
      find_dialer (conn, input);
      update (conn);
    }
  if (is_cut (conn))
    return;
  if (conn->sides[1 - from] == NULL)
    evbuffer_drain (input, evbuffer_get_length (input));
  else
    bufferevent_write_buffer (conn->sides[1 - from], input);
}

static void
on_written (struct bufferevent *bev, void *user)
{
  (void)bev;
  close_conn (user);
}

/* What was read before the end is still written to the other side. */
static void
on_event (struct bufferevent *bev, short what, void *user)
{
  struct cutnet_conn *conn = user;
  int from = bev == conn->sides[1];
  struct bufferevent *other = conn->sides[1 - from];

  if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) == 0)
    return;
  bufferevent_free (bev);
  conn->sides[from] = NULL;
  if (other == NULL
      || evbuffer_get_length (bufferevent_get_output (other)) == 0)
    close_conn (conn);
  else
    bufferevent_setcb (other, NULL, on_written, on_event, conn);
}

static void
close_conn (struct cutnet_conn *conn)
{
  DL_DELETE (conn->port->net->conns, conn);
  free_conn (conn);
}

static void
free_conn (struct cutnet_conn *conn)
{
  int i;

  for (i = 0; i < SIDES; i++)
    if (conn->sides[i] != NULL)
      bufferevent_free (conn->sides[i]);
  free (conn);
}
