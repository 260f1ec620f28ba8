/**
 * @file peerlink.c
 * Framing, buffering and timeouts of a connection between two instances.
 */
#include "state/err.h"
#include "transport/loop.h"
#include "transport/peerlink_int.h"
#include "transport/sock.h"
#include <arpa/inet.h>
#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

#define READ_BYTES_MAX 65536 /**< bytes per read call */
#define UNREAD_MS      500   /**< for input that lies unread at a timeout */

static void fail_later (struct peerlink *link, int error);
static int queue (struct peerlink *link, const uint8_t *data, size_t size);
static int start (struct peerlink *link, bool dialed);
static void destroy (struct peerlink *link);
static void on_readable (evutil_socket_t fd, short what, void *arg);
static void on_writable (evutil_socket_t fd, short what, void *arg);
static void on_timer (evutil_socket_t fd, short what, void *arg);
static void callback_enter (struct peerlink *link, struct event *event);
static void callback_leave (struct peerlink *link);
static bool has_unread (const struct peerlink *link);
static int read_frames (struct peerlink *link);
static int read_frame (struct peerlink *link);
static int handle_frame (struct peerlink *link, const uint8_t *data,
                         size_t size);
static int socket_error (void);
static void arm_timer (struct peerlink *link, uint32_t timeout_ms);
static void report_failure (struct peerlink *link, int error);

struct peerlink *
peerlink_open (const struct peerlink_config *config, int fd, bool dialed)
{
  struct peerlink *link = calloc (1, sizeof *link);

  if (link == NULL)
    {
      close (fd);
      return NULL;
    }
  link->config = config;
  link->fd = fd;
  link->dialed = dialed;
  link->input = evbuffer_new ();
  link->output = evbuffer_new ();
  link->read_event
      = event_new (config->base, fd, EV_READ | EV_PERSIST, on_readable, link);
  link->write_event
      = event_new (config->base, fd, EV_WRITE, on_writable, link);
  link->timer = evtimer_new (config->base, on_timer, link);
  if (link->input == NULL || link->output == NULL || link->read_event == NULL
      || link->write_event == NULL || link->timer == NULL
      || start (link, dialed) != 0)
    {
      destroy (link);
      return NULL;
    }
  return link;
}

void
peerlink_close (struct peerlink *link)
{
  link->closed = true;
  if (link->callback_depth == 0)
    destroy (link);
}

int
peerlink_send (struct peerlink *link, const struct message *message)
{
  int rc;

  if (link->state != PEERLINK_UP || link->closed || link->error != 0)
    return ERR_RESET;
  rc = peerlink_queue_frame (link, message);
  if (rc != 0)
    fail_later (link, rc);
  return rc;
}

/* The peer misses a frame, so the link must be closed.  The caller may be
   iterating over its tables, so the timer callback reports the error later. */
static void
fail_later (struct peerlink *link, int error)
{
  link->error = error;
  event_active (link->timer, EV_TIMEOUT, 0);
}

const struct message_hello *
peerlink_hello (const struct peerlink *link)
{
  return &link->peer;
}

bool
peerlink_is_up (const struct peerlink *link)
{
  return link->state == PEERLINK_UP && !link->closed;
}

bool
peerlink_dialed (const struct peerlink *link)
{
  return link->dialed;
}

/** Queues one frame in any state. */
int
peerlink_queue_frame (struct peerlink *link, const struct message *message)
{
  struct peerlink_counters *counters = link->config->counters;
  int rc = peercodec_encode (&link->encoder, message, &link->scratch);

  if (rc == 0)
    rc = queue (link, link->scratch.data, link->scratch.size);
  if (rc != 0)
    return rc;
  counters->frames_out[message->kind]++;
  counters->bytes_out[message->kind] += sizeof (uint32_t) + link->scratch.size;
  return 0;
}

void
peerlink_keep_alive (struct peerlink *link)
{
  int rc = 0;

  if (link->state == PEERLINK_UP && !link->closed && link->error == 0
      && !link->queued)
    rc = queue (link, NULL, 0);
  if (rc != 0)
    fail_later (link, rc);
  link->queued = false;
}

static int
queue (struct peerlink *link, const uint8_t *data, size_t size)
{
  uint32_t prefix = htonl ((uint32_t)size);

  if (evbuffer_get_length (link->output) + size
      > link->config->output_bytes_max)
    return ERR_FULL;
  if (evbuffer_add (link->output, &prefix, sizeof prefix) != 0
      || evbuffer_add (link->output, data, size) != 0)
    return ERR_NO_MEMORY;
  link->queued = true;
  /* Write all frames queued in this event loop iteration at once. */
  if (!event_pending (link->write_event, EV_WRITE, NULL))
    event_active (link->write_event, EV_WRITE, 0);
  return 0;
}

static int
start (struct peerlink *link, bool dialed)
{
  int rc;

  sock_no_delay (link->fd);
  loop_set_control (link->read_event);
  loop_set_control (link->write_event);
  loop_set_control (link->timer);
  if (event_add (link->read_event, NULL) != 0)
    return ERR_NO_MEMORY;
  if (dialed && event_add (link->write_event, NULL) != 0)
    return ERR_NO_MEMORY;
  arm_timer (link, link->config->handshake_ms);
  rc = peerlink_handshake_start (link);
  return rc;
}

static void
destroy (struct peerlink *link)
{
  if (link->read_event != NULL)
    event_free (link->read_event);
  if (link->write_event != NULL)
    event_free (link->write_event);
  if (link->timer != NULL)
    event_free (link->timer);
  if (link->input != NULL)
    evbuffer_free (link->input);
  if (link->output != NULL)
    evbuffer_free (link->output);
  peercodec_encoder_finish (&link->encoder);
  peercodec_decoder_finish (&link->decoder);
  peercodec_buffer_finish (&link->scratch);
  peercodec_buffer_finish (&link->own_frame);
  peercodec_buffer_finish (&link->peer_frame);
  close (link->fd);
  free (link);
}

/** Prevents the link from being freed while its callbacks run. */
static void
callback_enter (struct peerlink *link, struct event *event)
{
  link->callback_depth++;
  loop_control_begin (link->config->control, event);
  cpumeter_enter (&link->config->counters->cpu);
}

static void
callback_leave (struct peerlink *link)
{
  cpumeter_leave (&link->config->counters->cpu);
  loop_control_end (link->config->control);
  if (--link->callback_depth == 0 && link->closed)
    destroy (link);
}

static void
on_readable (evutil_socket_t fd, short what, void *arg)
{
  struct peerlink *link = arg;
  int size;
  int rc;

  (void)what;
  callback_enter (link, link->read_event);
  size = evbuffer_read (link->input, fd, READ_BYTES_MAX);
  if (size > 0)
    {
      if (link->state == PEERLINK_UP)
        {
          link->extended = false;
          arm_timer (link, link->config->idle_ms);
        }
      rc = read_frames (link);
    }
  else
    rc = size == 0 ? ERR_RESET : socket_error ();
  if (rc != 0)
    report_failure (link, rc);
  callback_leave (link);
}

static void
on_writable (evutil_socket_t fd, short what, void *arg)
{
  struct peerlink *link = arg;

  (void)what;
  callback_enter (link, link->write_event);
  if (evbuffer_get_length (link->output) > 0
      && evbuffer_write (link->output, fd) < 0 && socket_error () != 0)
    report_failure (link, socket_error ());
  else if (evbuffer_get_length (link->output) > 0)
    event_add (link->write_event, NULL);
  callback_leave (link);
}

static void
on_timer (evutil_socket_t fd, short what, void *arg)
{
  struct peerlink *link = arg;

  (void)fd;
  (void)what;
  callback_enter (link, link->timer);
  /* Beyond the share of control, input waits with traffic, and timers may go
     before it. */
  if (link->error == 0 && !link->extended && has_unread (link))
    {
      link->extended = true;
      arm_timer (link, UNREAD_MS);
    }
  else
    report_failure (link, link->error != 0 ? link->error : ERR_TIMEOUT);
  callback_leave (link);
}

static bool
has_unread (const struct peerlink *link)
{
  int unread = 0;

  return ioctl (link->fd, FIONREAD, &unread) == 0 && unread > 0;
}

/** Handles all complete frames in the input buffer. */
static int
read_frames (struct peerlink *link)
{
  int rc;

  do
    rc = read_frame (link);
  while (rc == 1 && !link->closed);
  return rc < 0 ? rc : 0;
}

/** @return 1 if a frame was handled, 0 if none is complete, or an error. */
static int
read_frame (struct peerlink *link)
{
  size_t size_max = link->state == PEERLINK_UP ? MESSAGE_FRAME_MAX
                                               : PEERLINK_HANDSHAKE_BYTES_MAX;
  size_t length = evbuffer_get_length (link->input);
  const uint8_t *data;
  uint32_t prefix;
  size_t size;
  int rc;

  if (length < sizeof prefix)
    return 0;
  evbuffer_copyout (link->input, &prefix, sizeof prefix);
  size = ntohl (prefix);
  if (size > size_max || (size == 0 && link->state != PEERLINK_UP))
    return ERR_TOO_LARGE;
  if (length < sizeof prefix + size)
    return 0;
  if (size == 0)
    {
      evbuffer_drain (link->input, sizeof prefix);
      return 1;
    }
  data = evbuffer_pullup (link->input, (ev_ssize_t)(sizeof prefix + size));
  if (data == NULL)
    return ERR_NO_MEMORY;
  rc = handle_frame (link, data + sizeof prefix, size);
  evbuffer_drain (link->input, sizeof prefix + size);
  return rc < 0 ? rc : 1;
}

static int
handle_frame (struct peerlink *link, const uint8_t *data, size_t size)
{
  struct peerlink_counters *counters = link->config->counters;
  struct message message;
  int rc = peercodec_decode (&link->decoder, data, size, &message);

  if (rc != 0)
    return rc;
  counters->frames_in[message.kind]++;
  counters->bytes_in[message.kind] += sizeof (uint32_t) + size;
  if (link->state != PEERLINK_UP)
    rc = peerlink_handshake_receive (link, &message, data, size);
  else if (message.kind == MESSAGE_HELLO || message.kind == MESSAGE_PROOF)
    rc = ERR_PROTOCOL;
  else
    link->config->events->message (link->config->user, link, &message);
  message_finish (&message);
  return rc;
}

void
peerlink_handshake_complete (struct peerlink *link)
{
  const struct message_hello *self = &link->config->self;

  link->encoder.sender.instance_id = catalog_id (self->instance);
  link->encoder.sender.incarnation = self->incarnation;
  link->encoder.receiver_incarnation = link->peer.incarnation;
  link->decoder.sender.instance_id = catalog_id (link->peer.instance);
  link->decoder.sender.incarnation = link->peer.incarnation;
  link->decoder.receiver_incarnation = self->incarnation;
  link->state = PEERLINK_UP;
  arm_timer (link, link->config->idle_ms);
  link->config->events->up (link->config->user, link);
}

/** Converts errno after a failed socket call.
    @return 0 if the call may be retried, or an error. */
static int
socket_error (void)
{
  switch (errno)
    {
    case EAGAIN:
    case EINTR:
      return 0;
    case ECONNREFUSED:
      return ERR_REFUSED;
    default:
      return ERR_RESET;
    }
}

static void
arm_timer (struct peerlink *link, uint32_t timeout_ms)
{
  const struct timeval timeout
      = { timeout_ms / 1000, (suseconds_t)(timeout_ms % 1000) * 1000 };

  evtimer_add (link->timer, &timeout);
}

static void
report_failure (struct peerlink *link, int error)
{
  if (link->closed)
    return;
  event_del (link->read_event);
  event_del (link->write_event);
  event_del (link->timer);
  link->error = error;
  link->config->events->down (link->config->user, link, error);
}
