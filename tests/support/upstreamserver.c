/**
 * @file upstreamserver.c
 * Scripted upstream and client for tests.
 */
#include "support/upstreamserver.h"
#include "transport/clock.h"
#include <event2/buffer.h>
#include <netinet/in.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <utlist.h>

#define EVENTS        4     /* last event of a stream */
#define ENDLESS_BLOCK 65536 /* bytes written at once without end */

struct upstreamserver_conn
{
  struct upstreamserver *server;
  struct bufferevent *bev;
  enum upstreamserver_behaviour
      behaviour;                /* how it answers the current request */
  struct event *response_timer; /* pending until the response is due */
  char *request;                /* waits for its response; NULL for none */
  bool responded;               /* to an earlier request */
  bool close_after_write;       /* close once all output is written */
  bool reset_after_write;       /* reset it instead */
  bool script_paused;           /* after a part of the script */
  bool endless;                 /* the response has no end */
  unsigned int event;           /* last one sent of a timed stream; 0: none */
  unsigned int reset_event;     /* as of the request */
  struct upstreamserver_conn *prev;
  struct upstreamserver_conn *next;
};

static void listen_at (struct upstreamserver *server,
                       struct sockaddr_in *address);
static void send_endless (struct upstreamserver_conn *conn);
static void run_script (struct upstreamserver_conn *conn);
static void crash_after (struct upstreamserver_conn *conn, const char *id,
                         const char *rest);
static void on_accept (struct evconnlistener *listener, evutil_socket_t fd,
                       struct sockaddr *address, int size, void *user);
static void on_read (struct bufferevent *bev, void *user);
static void on_write (struct bufferevent *bev, void *user);
static void on_event (struct bufferevent *bev, short what, void *user);
static void conn_free (struct upstreamserver_conn *conn);
static void conn_reset (struct upstreamserver_conn *conn);
static size_t request_size (const char *message, size_t size);
static bool is_misdirected (const struct upstreamserver *server,
                            const char *message);
static void on_response_due (evutil_socket_t fd, short what, void *user);
static void respond (struct upstreamserver_conn *conn, const char *request);
static void respond_without_end (struct upstreamserver_conn *conn,
                                 const char *id, const char *signature_header);
static void send_response (struct upstreamserver_conn *conn, const char *id,
                           const char *status, const char *extra_headers,
                           const char *body);
static void send_stream (struct upstreamserver_conn *conn, const char *id,
                         const char *request, unsigned int events,
                         bool chunked);
static void send_timed_event (struct upstreamserver_conn *conn);
static void client_read (struct bufferevent *bev, void *user);
static void client_event (struct bufferevent *bev, short what, void *user);

void
upstreamserver_init (struct upstreamserver *server, struct event_base *base,
                     const char *signature)
{
  struct sockaddr_in address
      = { .sin_family = AF_INET, .sin_addr = { htonl (INADDR_LOOPBACK) } };
  socklen_t size = sizeof address;

  memset (server, 0, sizeof *server);
  server->base = base;
  server->signature = signature;
  listen_at (server, &address);
  getsockname (evconnlistener_get_fd (server->listener),
               (struct sockaddr *)&address, &size);
  server->port = ntohs (address.sin_port);
}

static void
listen_at (struct upstreamserver *server, struct sockaddr_in *address)
{
  server->listener
      = evconnlistener_new_bind (server->base, on_accept, server,
                                 LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, 64,
                                 (struct sockaddr *)address, sizeof *address);
}

void
upstreamserver_finish (struct upstreamserver *server)
{
  struct upstreamserver_conn *conn = server->conns;
  struct upstreamserver_conn *next;

  for (; conn != NULL; conn = next)
    {
      next = conn->next;
      conn_free (conn);
    }
  if (server->listener != NULL)
    evconnlistener_free (server->listener);
  server->listener = NULL;
}

void
upstreamserver_crash (struct upstreamserver *server)
{
  upstreamserver_finish (server);
  if (server->on_crash != NULL)
    server->on_crash (server);
}

void
upstreamserver_revive (struct upstreamserver *server)
{
  struct sockaddr_in address = { .sin_family = AF_INET,
                                 .sin_port = htons (server->port),
                                 .sin_addr = { htonl (INADDR_LOOPBACK) } };

  server->behaviour = UPSTREAMSERVER_RESPOND;
  listen_at (server, &address);
}

/* Called again whenever the output has been written. */
static void
send_endless (struct upstreamserver_conn *conn)
{
  const char *part = conn->server->endless_part;
  const size_t part_size = part == NULL ? 1 : strlen (part);
  const size_t size = conn->server->endless_single
                          ? part_size
                          : ENDLESS_BLOCK / part_size * part_size;
  char block[ENDLESS_BLOCK];
  size_t i;

  for (i = 0; i < size; i += part_size)
    memcpy (block + i, part == NULL ? "x" : part, part_size);
  conn->endless = true;
  conn->server->endless_bytes += size;
  bufferevent_write (conn->bev, block, size);
}

/* Sends the start of a response with the attempt's ID and what follows it,
   which must not wait for the event loop, and ends the upstream. */
static void
crash_after (struct upstreamserver_conn *conn, const char *id,
             const char *rest)
{
  char start[256];
  int size = snprintf (start, sizeof start,
                       "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\n%s", id, rest);

  if (size > 0 && rest[0] != '\0')
    send (bufferevent_getfd (conn->bev), start, (size_t)size, MSG_NOSIGNAL);
  upstreamserver_crash (conn->server);
}

static void
on_accept (struct evconnlistener *listener, evutil_socket_t fd,
           struct sockaddr *address, int size, void *user)
{
  struct upstreamserver *server = user;
  struct upstreamserver_conn *conn = calloc (1, sizeof *conn);

  (void)listener;
  (void)address;
  (void)size;
  conn->server = server;
  conn->bev = bufferevent_socket_new (server->base, fd, BEV_OPT_CLOSE_ON_FREE);
  conn->response_timer
      = event_new (server->base, -1, 0, on_response_due, conn);
  bufferevent_setcb (conn->bev, on_read, on_write, on_event, conn);
  bufferevent_enable (conn->bev, EV_READ | EV_WRITE);
  DL_APPEND (server->conns, conn);
}

static void
conn_free (struct upstreamserver_conn *conn)
{
  DL_DELETE (conn->server->conns, conn);
  bufferevent_free (conn->bev);
  event_free (conn->response_timer);
  free (conn->request);
  free (conn);
}

static void
conn_reset (struct upstreamserver_conn *conn)
{
  const struct linger reset = { .l_onoff = 1, .l_linger = 0 };

  setsockopt (bufferevent_getfd (conn->bev), SOL_SOCKET, SO_LINGER, &reset,
              sizeof reset);
  conn_free (conn);
}

static void
on_event (struct bufferevent *bev, short what, void *user)
{
  struct upstreamserver_conn *conn = user;

  (void)bev;
  (void)what;
  conn->server->closed_connections++;
  conn_free (conn);
}

static void
on_write (struct bufferevent *bev, void *user)
{
  struct upstreamserver_conn *conn = user;

  (void)bev;
  if (conn->endless)
    send_endless (conn);
  else if (conn->close_after_write && conn->reset_after_write)
    conn_reset (conn);
  else if (conn->close_after_write)
    conn_free (conn);
}

static void
on_read (struct bufferevent *bev, void *user)
{
  struct upstreamserver_conn *conn = user;
  struct upstreamserver *server = conn->server;
  struct evbuffer *input = bufferevent_get_input (bev);
  size_t size = evbuffer_get_length (input);
  struct timeval delay;
  char message[UPSTREAMSERVER_MESSAGE_SIZE];
  size_t message_size;

  if (conn->request != NULL)
    return;
  if (size >= sizeof message)
    size = sizeof message - 1;
  evbuffer_copyout (input, message, size);
  message[size] = '\0';
  message_size = request_size (message, size);
  if (message_size == 0)
    return;
  evbuffer_drain (input, message_size);
  message[message_size] = '\0';
  memcpy (server->last_request, message, message_size + 1);
  server->requests++;
  if (server->on_request != NULL)
    server->on_request (server, message);
  conn->behaviour = is_misdirected (server, message)
                        ? UPSTREAMSERVER_MISDIRECTED
                        : server->behaviour;
  if (server->response_delay_ms == 0)
    {
      respond (conn, message);
      return;
    }
  conn->request = strdup (message);
  delay = clock_timeval (server->response_delay_ms);
  event_add (conn->response_timer, &delay);
}

static bool
is_misdirected (const struct upstreamserver *server, const char *message)
{
  char expected[sizeof server->identity];

  upstreamserver_get_header (message, "X-Expect-Instance", expected,
                             sizeof expected);
  return server->checks_identity && expected[0] != '\0'
         && strcmp (expected, server->identity) != 0;
}

static void
on_response_due (evutil_socket_t fd, short what, void *user)
{
  struct upstreamserver_conn *conn = user;
  char *request = conn->request;

  (void)fd;
  (void)what;
  if (request == NULL)
    {
      if (conn->script_paused)
        run_script (conn);
      else
        send_timed_event (conn);
      return;
    }
  conn->request = NULL;
  respond (conn, request);
  free (request);
}

/* Size of the first complete request; 0 when there is none. */
static size_t
request_size (const char *message, size_t size)
{
  const char *end = strstr (message, "\r\n\r\n");
  char length[16];
  size_t message_size;

  if (end == NULL)
    return 0;
  upstreamserver_get_header (message, "Content-Length", length, sizeof length);
  message_size = (size_t)(end + 4 - message) + strtoul (length, NULL, 10);
  return message_size <= size ? message_size : 0;
}

void
upstreamserver_get_header (const char *message, const char *name, char *out,
                           size_t size)
{
  const char *line = strstr (message, "\r\n");
  const char *value;
  size_t length = strlen (name);

  out[0] = '\0';
  for (; line != NULL && strncmp (line, "\r\n\r\n", 4) != 0;
       line = strstr (line + 2, "\r\n"))
    {
      if (strncasecmp (line + 2, name, length) != 0 || line[2 + length] != ':')
        continue;
      value = line + 2 + length + 1 + strspn (line + 2 + length + 1, " ");
      snprintf (out, size, "%.*s", (int)strcspn (value, "\r"), value);
      return;
    }
}

static void
send_response (struct upstreamserver_conn *conn, const char *id,
               const char *status, const char *extra_headers, const char *body)
{
  evbuffer_add_printf (
      bufferevent_get_output (conn->bev),
      "HTTP/1.1 %s\r\nX-Attempt-Id: %s\r\n%s%s"
      "X-Worker-Load: 1,0,8\r\nContent-Length: %zu\r\n\r\n%s",
      status, id, extra_headers,
      conn->server->extra_headers == NULL ? "" : conn->server->extra_headers,
      strlen (body), body);
}

/* The connection ends when the script has been written. */
static void
run_script (struct upstreamserver_conn *conn)
{
  const struct upstreamserver *server = conn->server;
  const struct timeval pause = clock_timeval (1);
  const size_t skipped = conn->script_paused ? server->script_pause : 0;

  if (skipped == 0 && server->script_pause > 0
      && server->script_pause < server->script_size)
    {
      conn->script_paused = true;
      bufferevent_write (conn->bev, server->script, server->script_pause);
      event_add (conn->response_timer, &pause);
      return;
    }
  conn->close_after_write = server->script_end != UPSTREAMSERVER_END_OPEN;
  conn->reset_after_write = server->script_end == UPSTREAMSERVER_END_RESET;
  if (server->script_size > 0)
    bufferevent_write (conn->bev, server->script + skipped,
                       server->script_size - skipped);
  else if (conn->close_after_write)
    bufferevent_trigger (conn->bev, EV_WRITE, BEV_TRIG_DEFER_CALLBACKS);
}

/* Behaviours after which the upstream has crashed, or never ends, and
   scripts. */
static void
respond_without_end (struct upstreamserver_conn *conn, const char *id,
                     const char *signature_header)
{
  switch (conn->behaviour)
    {
    case UPSTREAMSERVER_ENDLESS_HEAD:
      evbuffer_add_printf (
          bufferevent_get_output (conn->bev),
          "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Long: ", id);
      send_endless (conn);
      break;
    case UPSTREAMSERVER_ENDLESS_BODY:
      evbuffer_add_printf (bufferevent_get_output (conn->bev),
                           "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\n%s\r\n", id,
                           signature_header);
      send_endless (conn);
      break;
    case UPSTREAMSERVER_ENDLESS_EVENT:
      evbuffer_add_printf (
          bufferevent_get_output (conn->bev),
          "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\n%s"
          "Content-Type: text/event-stream\r\n\r\nid: 1\ndata: ",
          id, signature_header);
      send_endless (conn);
      break;
    case UPSTREAMSERVER_ENDLESS_SCRIPT:
      bufferevent_write (conn->bev, conn->server->script,
                         conn->server->script_size);
      send_endless (conn);
      break;
    case UPSTREAMSERVER_CRASH:
      crash_after (conn, id, "");
      break;
    case UPSTREAMSERVER_CRASH_IN_HEAD:
      crash_after (conn, id, "X-Wor");
      break;
    case UPSTREAMSERVER_CRASH_IN_EVENT:
      crash_after (conn, id,
                   "X-Worker-Signature: crashed\r\n"
                   "Content-Type: text/event-stream\r\n"
                   "Transfer-Encoding: chunked\r\n\r\nb\r\nid: 1\nda");
      break;
    case UPSTREAMSERVER_SCRIPT:
      run_script (conn);
      break;
    default: /* UPSTREAMSERVER_HANG */
      break;
    }
}

/* Half of a body without a length, then a reset. */
static void
send_half (struct upstreamserver_conn *conn, const char *id,
           const char *signature_header, const char *body)
{
  evbuffer_add_printf (bufferevent_get_output (conn->bev),
                       "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\n%s\r\n%.*s", id,
                       signature_header, (int)strlen (body) / 2, body);
  conn->close_after_write = conn->reset_after_write = true;
}

static void
respond (struct upstreamserver_conn *conn, const char *request)
{
  struct upstreamserver *server = conn->server;
  const char *body = strstr (request, "\r\n\r\n") + 4;
  char signature_header[128];
  char id[128];

  upstreamserver_get_header (request, "X-Attempt-Id", id, sizeof id);
  snprintf (signature_header, sizeof signature_header,
            "X-Worker-Signature: %s\r\n", server->signature);
  if (conn->responded && server->repeated_response != NULL)
    {
      bufferevent_write (conn->bev, server->repeated_response,
                         strlen (server->repeated_response));
      server->repetitions++;
    }
  conn->responded = true;
  switch (conn->behaviour)
    {
    case UPSTREAMSERVER_RESPOND:
      send_response (conn, id, "200 OK", signature_header, body);
      break;
    case UPSTREAMSERVER_REJECT:
      send_response (conn, id, "503 Full", "X-Not-Executed: 1\r\n", "");
      break;
    case UPSTREAMSERVER_MISDIRECTED:
      evbuffer_add_printf (bufferevent_get_output (conn->bev),
                           "HTTP/1.1 421 Misdirected\r\nX-Instance-Id: "
                           "other\r\nContent-Length: 0\r\n\r\n");
      break;
    case UPSTREAMSERVER_FAIL:
      send_response (conn, id, "500 Failed", signature_header, "failed");
      break;
    case UPSTREAMSERVER_RESET:
      conn_reset (conn);
      break;
    case UPSTREAMSERVER_WRONG_ATTEMPT:
      send_response (conn, "another", "200 OK", signature_header, "another's");
      break;
    case UPSTREAMSERVER_UNSIGNED:
      send_response (conn, id, "200 OK", "", "unsigned");
      break;
    case UPSTREAMSERVER_EXTRA_RESPONSE:
      send_response (conn, id, "200 OK", signature_header, body);
      send_response (conn, "another", "200 OK", signature_header, "another's");
      break;
    case UPSTREAMSERVER_STREAM:
      send_stream (conn, id, request, EVENTS, true);
      break;
    case UPSTREAMSERVER_STREAM_TIMED:
      conn->reset_event = server->reset_event;
      send_stream (conn, id, request, 0, true);
      send_timed_event (conn);
      break;
    case UPSTREAMSERVER_STREAM_RESET:
    case UPSTREAMSERVER_STREAM_UNFRAMED_RESET:
      send_stream (conn, id, request, 2,
                   conn->behaviour == UPSTREAMSERVER_STREAM_RESET);
      conn->close_after_write = conn->reset_after_write = true;
      break;
    case UPSTREAMSERVER_UNFRAMED_RESET:
      send_half (conn, id, signature_header, body);
      break;
    case UPSTREAMSERVER_STREAM_CLOSE_DELIMITED:
      send_stream (conn, id, request, EVENTS, false);
      conn->close_after_write = true;
      break;
    default:
      respond_without_end (conn, id, signature_header);
      break;
    }
}

static void
send_stream (struct upstreamserver_conn *conn, const char *id,
             const char *request, unsigned int events, bool chunked)
{
  struct evbuffer *out = bufferevent_get_output (conn->bev);
  bool cut = conn->behaviour == UPSTREAMSERVER_STREAM_RESET
             || conn->behaviour == UPSTREAMSERVER_STREAM_UNFRAMED_RESET;
  char last_event_id[16];
  char event[64];
  unsigned int i;

  upstreamserver_get_header (request, "Last-Event-Id", last_event_id,
                             sizeof last_event_id);
  evbuffer_add_printf (
      out,
      "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\n"
      "X-Worker-Signature: %s\r\n"
      "Content-Type: text/event-stream\r\n%s%s\r\n",
      id, conn->server->signature,
      conn->server->extra_headers == NULL ? "" : conn->server->extra_headers,
      chunked ? "Transfer-Encoding: chunked\r\n" : "");
  conn->event = (unsigned int)strtoul (last_event_id, NULL, 10);
  for (i = conn->event + 1; i <= events + (cut ? 1 : 0); i++)
    {
      /* The event after the last is truncated if a reset follows. */
      snprintf (event, sizeof event,
                i <= events ? "id: %u\ndata: e%u\n\n" : "id: %u\nda", i, i);
      if (chunked)
        evbuffer_add_printf (out, "%zx\r\n%s\r\n", strlen (event), event);
      else
        evbuffer_add (out, event, strlen (event));
    }
  if (chunked && !cut && conn->behaviour != UPSTREAMSERVER_STREAM_TIMED)
    evbuffer_add (out, "0\r\n\r\n", 5);
}

static void
send_timed_event (struct upstreamserver_conn *conn)
{
  struct evbuffer *out = bufferevent_get_output (conn->bev);
  const struct timeval interval
      = clock_timeval (conn->server->event_interval_ms);
  char event[64];

  if (conn->event >= conn->server->timed_events)
    {
      evbuffer_add (out, "0\r\n\r\n", 5);
      return;
    }
  if (conn->reset_event != 0 && conn->event >= conn->reset_event)
    {
      conn_reset (conn);
      return;
    }
  snprintf (event, sizeof event, "id: %u\ndata: %s\n\n", ++conn->event,
            conn->server->signature);
  evbuffer_add_printf (out, "%zx\r\n%s\r\n", strlen (event), event);
  event_add (conn->response_timer, &interval);
}

void
platclient_init (struct platclient *client, struct event_base *base,
                 uint16_t port)
{
  const struct sockaddr_in to = { .sin_family = AF_INET,
                                  .sin_port = htons (port),
                                  .sin_addr = { htonl (INADDR_LOOPBACK) } };

  memset (client, 0, sizeof *client);
  client->bev = bufferevent_socket_new (base, -1, BEV_OPT_CLOSE_ON_FREE);
  bufferevent_setcb (client->bev, client_read, NULL, client_event, client);
  bufferevent_enable (client->bev, EV_READ | EV_WRITE);
  bufferevent_socket_connect (client->bev, (const struct sockaddr *)&to,
                              sizeof to);
}

void
platclient_finish (struct platclient *client)
{
  if (client->bev != NULL)
    bufferevent_free (client->bev);
  client->bev = NULL;
}

void
platclient_send (struct platclient *client, const char *text)
{
  bufferevent_write (client->bev, text, strlen (text));
}

static void
client_read (struct bufferevent *bev, void *user)
{
  struct platclient *client = user;

  client->size += bufferevent_read (bev, client->got + client->size,
                                    sizeof client->got - 1 - client->size);
  if (client->size == sizeof client->got - 1)
    evbuffer_drain (bufferevent_get_input (bev), SIZE_MAX);
}

static void
client_event (struct bufferevent *bev, short what, void *user)
{
  struct platclient *client = user;

  (void)bev;
  if ((what & BEV_EVENT_CONNECTED) != 0)
    return;
  client->closed = true;
  client->reset = (what & BEV_EVENT_ERROR) != 0;
}

bool
platclient_answered (const struct platclient *client)
{
  const char *end = strstr (client->got, "\r\n\r\n");
  char text[32];

  if (end == NULL)
    return false;
  upstreamserver_get_header (client->got, "Content-Length", text, sizeof text);
  if (text[0] != '\0')
    return client->size
           >= (size_t)(end + 4 - client->got) + strtoul (text, NULL, 10);
  return strstr (end, "0\r\n\r\n") != NULL;
}

void
platclient_reset (struct platclient *client)
{
  memset (client->got, 0, sizeof client->got);
  client->size = 0;
}
