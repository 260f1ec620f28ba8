/**
 * @file bufio.c
 * Writing from bufferevents without waiting for the event loop.
 */
#include "transport/bufio.h"
#include "state/err.h"
#include <errno.h>
#include <event2/buffer.h>

int
bufio_flush (struct bufferevent *bev)
{
  struct evbuffer *output = bufferevent_get_output (bev);
  int error = 0;

  /* A bufferevent freezes the start of its output, which prevents other code
     from draining it. */
  evbuffer_unfreeze (output, 1);
  if (evbuffer_get_length (output) > 0
      && evbuffer_write (output, bufferevent_getfd (bev)) < 0
      && errno != EAGAIN && errno != EINTR)
    error = ERR_IO;
  evbuffer_freeze (output, 1);
  return error;
}
