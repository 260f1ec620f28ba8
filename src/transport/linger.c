/**
 * @file linger.c
 * Lingering close of connections.
 */
#include "transport/linger.h"
#include "transport/bufio.h"
#include "transport/clock.h"
#include <event2/buffer.h>
#include <event2/event.h>
#include <stdbool.h>
#include <stdlib.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <utlist.h>

struct linger_conn
{
  struct linger_list *list;
  struct bufferevent *bev;
  struct event *end;
  uint64_t dropped_bytes;
  bool flushed; /* its time has ended before the response was written */
  struct linger_conn *prev;
  struct linger_conn *next;
};

static void on_read (struct bufferevent *bev, void *arg);
static void on_written (struct bufferevent *bev, void *arg);
static void on_event (struct bufferevent *bev, short what, void *arg);
static void on_end (evutil_socket_t fd, short what, void *arg);
static bool needs_time (struct linger_conn *conn);
static void conn_free (struct linger_conn *conn);

void
linger_close (struct linger_list *list, struct bufferevent *bev)
{
  const struct timeval timeout = clock_timeval (LINGER_MS);
  const struct timeval longest = clock_timeval (LINGER_MAX_MS);
  struct linger_conn *conn = calloc (1, sizeof (*conn));

  if (conn != NULL)
    conn->end = event_new (bufferevent_get_base (bev), -1, 0, on_end, conn);
  if (conn == NULL || conn->end == NULL)
    {
      bufferevent_free (bev);
      free (conn);
      return;
    }
  conn->list = list;
  conn->bev = bev;
  DL_APPEND (list->conns, conn);
  list->count++;
  bufferevent_setcb (bev, on_read, on_written, on_event, conn);
  bufferevent_setwatermark (bev, EV_READ, 0, 0);
  bufferevent_set_timeouts (bev, &timeout, &timeout);
  bufferevent_enable (bev, EV_READ | EV_WRITE);
  event_add (conn->end, &longest);
  bufio_flush (bev);
  if (evbuffer_get_length (bufferevent_get_output (bev)) == 0)
    on_written (bev, conn);
}

void
linger_finish (struct linger_list *list)
{
  struct linger_conn *conn = list->conns;
  struct linger_conn *next;

  list->conns = NULL;
  list->count = 0;
  for (; conn != NULL; conn = next)
    {
      next = conn->next;
      bufio_flush (conn->bev);
      event_free (conn->end);
      bufferevent_free (conn->bev);
      free (conn);
    }
}

static void
conn_free (struct linger_conn *conn)
{
  DL_DELETE (conn->list->conns, conn);
  conn->list->count--;
  event_free (conn->end);
  bufferevent_free (conn->bev);
  free (conn);
}

static void
on_read (struct bufferevent *bev, void *arg)
{
  struct evbuffer *input = bufferevent_get_input (bev);
  struct linger_conn *conn = arg;

  conn->dropped_bytes += evbuffer_get_length (input);
  evbuffer_drain (input, evbuffer_get_length (input));
  if (conn->dropped_bytes > LINGER_BYTES)
    conn_free (conn);
}

static void
on_written (struct bufferevent *bev, void *arg)
{
  (void)arg;
  shutdown (bufferevent_getfd (bev), SHUT_WR);
}

/* When the loop is late, the time may end before the first write, or with
   input unread, and a close would reset the connection.  Enabling its events
   cancels the timeout of the other one. */
static void
on_event (struct bufferevent *bev, short what, void *arg)
{
  if ((what & BEV_EVENT_TIMEOUT) != 0 && needs_time (arg))
    {
      bufio_flush (bev);
      bufferevent_enable (bev, EV_READ | EV_WRITE);
      return;
    }
  if ((what & BEV_EVENT_TIMEOUT) != 0)
    bufio_flush (bev);
  conn_free (arg);
}

static void
on_end (evutil_socket_t fd, short what, void *arg)
{
  struct linger_conn *conn = arg;

  (void)fd;
  (void)what;
  bufio_flush (conn->bev);
  conn_free (conn);
}

/* A client that does not read gets more time only once. */
static bool
needs_time (struct linger_conn *conn)
{
  int unread = 0;

  if (ioctl (bufferevent_getfd (conn->bev), FIONREAD, &unread) == 0
      && unread > 0)
    return true;
  if (conn->flushed
      || evbuffer_get_length (bufferevent_get_output (conn->bev)) == 0)
    return false;
  conn->flushed = true;
  return true;
}
