/**
 * @file linger.c
 * Lingering close of a connection.
 */
#include "transport/linger.h"
#include "transport/clock.h"
#include <event2/buffer.h>
#include <event2/event.h>
#include <sys/socket.h>

static void on_read (struct bufferevent *bev, void *arg);
static void on_written (struct bufferevent *bev, void *arg);
static void on_event (struct bufferevent *bev, short what, void *arg);

void
linger_close (struct bufferevent *bev)
{
  const struct timeval timeout = clock_timeval (LINGER_MS);

  bufferevent_setcb (bev, on_read, on_written, on_event, NULL);
  bufferevent_setwatermark (bev, EV_READ, 0, 0);
  bufferevent_setwatermark (bev, EV_WRITE, 0, 0);
  bufferevent_set_timeouts (bev, &timeout, &timeout);
  bufferevent_enable (bev, EV_READ | EV_WRITE);
}

static void
on_read (struct bufferevent *bev, void *arg)
{
  struct evbuffer *input = bufferevent_get_input (bev);

  (void)arg;
  evbuffer_drain (input, evbuffer_get_length (input));
}

static void
on_written (struct bufferevent *bev, void *arg)
{
  (void)arg;
  shutdown (bufferevent_getfd (bev), SHUT_WR);
}

static void
on_event (struct bufferevent *bev, short what, void *arg)
{
  (void)what;
  (void)arg;
  bufferevent_free (bev);
}
