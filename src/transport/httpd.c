/**
 * @file httpd.c
 * The HTTP server for clients.
 */
#include "transport/httpd.h"
#include "state/err.h"
#include "transport/bufio.h"
#include "transport/clock.h"
#include "transport/httpd_body.h"
#include "transport/httpd_int.h"
#include "transport/httpd_memory.h"
#include "transport/linger.h"
#include "transport/log.h"
#include "transport/loop.h"
#include "transport/sock.h"
#include "transport/turnaway.h"
#include <errno.h>
#include <event2/bufferevent.h>
#include <event2/util.h>
#include <poll.h>
#include <stdlib.h>
#include <string.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>
#include <utlist.h>

/** Connections accepted above the limit, whose requests are refused; further
    ones are turned away. */
#define CONNECTIONS_OVER_LIMIT_MAX 64

/* One in this many connections is left to others by the requests of one
   customer; as many may be closing that were given up at a time. */
#define CONNECTIONS_PART 8

/* Connections accepted before those that are ready get their turn.  libevent
   accepts all that wait in one event; a slow instance would then reach its
   limit of connections and be late for each of them. */
#define ACCEPT_BATCH 8
/* Connections are turned away when some have waited to be accepted for this
   time and number of batches; the number tells that from a pause of the
   process. */
#define ACCEPT_WAIT_MAX_MS 50
#define ACCEPT_BATCHES_MIN 4
#define ACCEPT_RETRY_MS    5 /* after an error */
#define HEADER_OVERHEAD    4 /**< bytes of ": " and CRLF */
/* Between looks at a client whose input is not read any more. */
#define LEAVE_LOOK_MS 200
/* What a request takes besides its body and twice its head: the structures of
   its attempts, and a part of a response. */
#define REQUEST_BYTES 16384
/* Bytes of a connection besides its buffers. */
#define CONNECTION_BYTES 4096
/* A receive buffer is small until a large body has been admitted. */
#define RECEIVE_MIN_BYTES   4096
#define RECEIVE_MAX_BYTES   65536
#define RECEIVE_LARGE_BYTES 65536
#define CRLF_SIZE           2

/** State of a connection. */
enum conn_state
{
  CONN_IDLE,
  CONN_READING,    /**< a request is arriving */
  CONN_RESPONDING, /**< the request was passed to the owner */
  CONN_CLOSED      /**< detached from libevhtp */
};

struct httpd_conn
{
  struct httpd *httpd;
  evhtp_connection_t *evhtp;
  struct event *timer;
  struct event *leave; /**< added while a request is in progress */
  struct evbuffer_cb_entry *output_cb;
  enum conn_state state;
  bufferevent_data_cb parse; /**< libevhtp's callback for input */
  struct httpd_head head;    /**< of the current request */
  struct httpd_body body;
  struct httpd_memory memory;
  struct evbuffer *held;      /**< input behind the request in progress */
  struct event *next_request; /**< goes on with it */
  bool parsing;       /**< the parser has headers of the current request */
  bool read_extended; /**< the current request got more time to arrive */
  bool over_limit;    /**< accepted above connections_max */
  enum httpd_close close_reason; /**< HTTPD_CLOSE_MAX: not known yet */
  uint32_t header_bytes;
  uint32_t header_count;
  uint64_t body_bytes;
  void *request_user; /**< set by httpd_set_request_user; NULL if not set */
  struct httpd_conn *prev;
  struct httpd_conn *next;
};

struct httpd
{
  struct httpd_config config;
  evhtp_t *evhtp;
  struct event *accept_again; /**< enables the listener in its turn */
  struct event *shed;         /**< turns connections away */
  bool shedding;              /**< connections are turned away */
  bool shed_confirmed; /**< `shed` has run since, and found no capacity */
  struct evbuffer *shed_response;
  struct turnaway turnaway;
  uint32_t accepted;         /**< connections since `accept_again` */
  uint64_t accept_behind_ns; /**< since when some wait for it; 0: none do */
  uint32_t accept_batches;   /**< since then */
  uint64_t shed_count;
  uint64_t closes[HTTPD_CLOSE_MAX]; /**< except turned away connections */
  struct httpd_conn *conns;
  struct httpd_conn *parsed; /**< in the parser; NULL if freed there */
  struct linger_list linger;
  struct memory_account unbounded; /**< if none is configured */
  uint32_t backlog;
  uint32_t connections_max; /**< by connection_bytes; 0: not bounded */
  uint32_t count;
  bool draining;
};

static size_t read_max (const struct httpd_limits *limits);
static void intercept_input (struct httpd_conn *conn);
static void on_readable (struct bufferevent *bev, void *arg);
static void hold_input (struct httpd_conn *conn, struct evbuffer *input);
static void on_next_request (evutil_socket_t fd, short what, void *arg);
static enum refusal check_input (struct httpd_conn *conn,
                                 struct evbuffer *input,
                                 struct httpd_body_step *step);
static bool parse_step (struct httpd_conn *conn,
                        const struct httpd_body_step *step);
static bool parse_part (struct httpd_conn *conn, size_t size);
static struct evbuffer *split_input (struct evbuffer *input, size_t size);
static uint32_t kept_connections_max (const struct httpd *httpd);
static void on_accept_again (evutil_socket_t fd, short what, void *arg);
static void on_accept_error (struct evconnlistener *listener, void *arg);
static void accept_batch (struct httpd *httpd);
static bool has_capacity (const struct httpd *httpd);
static bool is_behind (const struct httpd *httpd);
static bool start_shedding (struct httpd *httpd);
static void on_shed (evutil_socket_t fd, short what, void *arg);
static void confirm_shedding (struct httpd *httpd);
static bool peer_closed (evutil_socket_t fd);
static size_t unread_bytes (const struct httpd_conn *conn);
static bool waits_for_accept (const struct httpd *httpd);
static enum httpd_close close_reason (const struct httpd_conn *conn);
static void log_if_cut (const struct httpd_conn *conn,
                        enum httpd_close reason);
static void close_idle (struct httpd_conn *conn, enum httpd_close reason);
static evhtp_res on_accept (evhtp_connection_t *evhtp, void *arg);
static evhtp_res accept_connection (struct httpd *httpd,
                                    evhtp_connection_t *evhtp);
static void end_batch (struct httpd *httpd);
static evhtp_res on_headers_start (evhtp_request_t *http, void *arg);
static evhtp_res on_header (evhtp_request_t *http, evhtp_header_t *header,
                            void *arg);
static evhtp_res on_headers (evhtp_request_t *http, evhtp_headers_t *headers,
                             void *arg);
static evhtp_res on_body (evhtp_request_t *http, struct evbuffer *data,
                          void *arg);
static void on_event (evhtp_connection_t *evhtp, short events, void *arg);
static void on_output (struct evbuffer *output,
                       const struct evbuffer_cb_info *info, void *arg);
static evhtp_res on_request_fini (evhtp_request_t *http, void *arg);
static evhtp_res on_connection_fini (evhtp_connection_t *evhtp, void *arg);
static void on_request (evhtp_request_t *http, void *arg);
static void on_timer (evutil_socket_t fd, short what, void *arg);
static void on_leave (evutil_socket_t fd, short what, void *arg);

static void set_hooks (struct httpd_conn *conn);
static void set_timer (struct httpd_conn *conn, uint32_t timeout_ms);
static struct httpd_conn *conn_from_request (const evhtp_request_t *http);
static void conn_free (struct httpd_conn *conn);
static void conn_discard (struct httpd_conn *conn);
static struct bufferevent *detach_bufferevent (struct httpd_conn *conn,
                                               enum httpd_close reason);
static evhtp_res refuse (struct httpd_conn *conn, enum refusal refusal);
static bool refuse_unparsable (struct httpd_conn *conn);
static struct bufferevent *duplicate_socket (const struct httpd_conn *conn);
static void linger_responded (struct httpd_conn *conn);
static void notify_gone (struct httpd_conn *conn);
static const char *request_id (struct httpd_conn *conn);
static uint32_t listen_backlog (const struct httpd_config *config);
static int listen_on (struct httpd *httpd, const char *address);
static void bound_receive_buffers (struct httpd *httpd);
static uint32_t connections_max (const struct httpd *httpd);
static enum refusal reserve (struct httpd_conn *conn, uint64_t customer_id,
                             uint64_t bytes);
static enum refusal reserve_head (struct httpd_conn *conn);
static enum refusal reserve_body (struct httpd_conn *conn,
                                  evhtp_request_t *http);
static uint64_t body_room (const struct httpd_conn *conn, uint64_t size);
static enum refusal reserve_room (struct httpd_conn *conn, uint64_t room);
static void receive_faster (const struct httpd_conn *conn);
static bool crowds_out (const struct httpd_conn *conn);
static void make_room (struct httpd *httpd);
static uint32_t over_limit_max (const struct httpd *httpd);
static void bound_turnaway (struct httpd *httpd);
static uint64_t head_bytes (const struct httpd_conn *conn);
static void give_up (struct httpd_conn *conn, enum refusal refusal);
static bool is_cut (evutil_socket_t fd);
static void check_left (struct httpd_conn *conn);
static void on_buffered (struct evbuffer *buffer,
                         const struct evbuffer_cb_info *info, void *arg);
static enum loop_work begin_work (struct httpd *httpd, enum loop_work work);

int
httpd_new (struct httpd **out, const struct httpd_config *config)
{
  struct httpd *httpd = calloc (1, sizeof (*httpd));
  int error;

  if (httpd == NULL)
    return ERR_NO_MEMORY;
  httpd->config = *config;
  if (httpd->config.request_id_header == NULL)
    httpd->config.request_id_header = "Cherrylanding-Request-Id";
  httpd->evhtp = evhtp_new (config->base, NULL);
  if (httpd->evhtp == NULL)
    {
      free (httpd);
      return ERR_NO_MEMORY;
    }
  if (config->memory == NULL)
    {
      memory_account_init (&httpd->unbounded, UINT64_MAX / 4);
      httpd->config.memory = &httpd->unbounded;
    }
  evhtp_enable_flag (httpd->evhtp, EVHTP_FLAG_ENABLE_NODELAY);
  evhtp_set_post_accept_cb (httpd->evhtp, on_accept, httpd);
  evhtp_set_gencb (httpd->evhtp, on_request, httpd);
  error = listen_on (httpd, config->address);
  if (error != 0)
    {
      httpd_free (httpd);
      return error;
    }
  *out = httpd;
  return 0;
}

static int
listen_on (struct httpd *httpd, const char *address)
{
  struct sock_address parsed;

  if (sock_parse (address, &parsed) != 0)
    return ERR_INVALID;
  httpd->backlog = listen_backlog (&httpd->config);
  if (evhtp_bind_sockaddr (httpd->evhtp, (struct sockaddr *)&parsed.storage,
                           parsed.size, (int)httpd->backlog)
      != 0)
    return ERR_IO;
  bound_receive_buffers (httpd);
  httpd->accept_again
      = event_new (httpd->config.base, -1, 0, on_accept_again, httpd);
  httpd->shed = event_new (httpd->config.base, -1, 0, on_shed, httpd);
  if (httpd->accept_again == NULL || httpd->shed == NULL)
    return ERR_NO_MEMORY;
  evconnlistener_set_error_cb (httpd->evhtp->server, on_accept_error);
  turnaway_init (&httpd->turnaway, httpd->config.clock);
  return 0;
}

static uint32_t
listen_backlog (const struct httpd_config *config)
{
  return config->backlog == 0 || config->backlog > HTTPD_BACKLOG_MAX
             ? HTTPD_BACKLOG_MAX
             : config->backlog;
}

/* Connections that wait to be accepted inherit the size, too. */
static void
bound_receive_buffers (struct httpd *httpd)
{
  const uint64_t bytes = httpd->config.connection_bytes;
  const uint32_t most
      = (uint32_t)(bytes / 2 / (CONNECTION_BYTES + RECEIVE_MIN_BYTES));
  uint64_t accepted = httpd->config.limits.connections_max;
  uint64_t each;

  if (bytes == 0)
    return;
  httpd->connections_max = most;
  if (accepted > most)
    accepted = most;
  each = (bytes - accepted * CONNECTION_BYTES)
         / (accepted + CONNECTIONS_OVER_LIMIT_MAX + httpd->backlog);
  if (each < RECEIVE_MIN_BYTES)
    each = RECEIVE_MIN_BYTES;
  if (each > RECEIVE_MAX_BYTES)
    each = RECEIVE_MAX_BYTES;
  sock_set_receive_buffer (evconnlistener_get_fd (httpd->evhtp->server),
                           (uint32_t)each);
}

void
httpd_free (struct httpd *httpd)
{
  struct httpd_conn *conn;
  struct httpd_conn *next;

  httpd_flush (httpd);
  for (conn = httpd->conns; conn != NULL; conn = next)
    {
      next = conn->next;
      close_idle (conn, HTTPD_CLOSE_DRAIN);
    }
  linger_finish (&httpd->linger);
  if (httpd->accept_again != NULL)
    event_free (httpd->accept_again);
  if (httpd->shed != NULL)
    event_free (httpd->shed);
  if (httpd->shed_response != NULL)
    evbuffer_free (httpd->shed_response);
  turnaway_finish (&httpd->turnaway);
  if (httpd->evhtp->server != NULL)
    evhtp_unbind_socket (httpd->evhtp);
  evhtp_free (httpd->evhtp);
  memory_account_finish (&httpd->unbounded);
  free (httpd);
}

uint16_t
httpd_port (const struct httpd *httpd)
{
  struct sockaddr_storage local_address;
  socklen_t size = sizeof (local_address);

  memset (&local_address, 0, sizeof (local_address));
  if (httpd->evhtp->server == NULL
      || getsockname (evconnlistener_get_fd (httpd->evhtp->server),
                      (struct sockaddr *)&local_address, &size)
             != 0)
    return 0;
  if (local_address.ss_family == AF_INET6)
    return ntohs (((struct sockaddr_in6 *)&local_address)->sin6_port);
  return ntohs (((struct sockaddr_in *)&local_address)->sin_port);
}

void
httpd_set_limits (struct httpd *httpd, const struct httpd_limits *limits)
{
  const bool idle_longer
      = limits->idle_timeout_ms > httpd->config.limits.idle_timeout_ms;
  struct httpd_conn *conn;

  httpd->config.limits = *limits;
  bound_receive_buffers (httpd);
  for (conn = httpd->conns; conn != NULL; conn = conn->next)
    {
      bufferevent_setwatermark (conn->evhtp->bev, EV_READ, 0,
                                read_max (limits));
      if (idle_longer && conn->state == CONN_IDLE)
        set_timer (conn, limits->idle_timeout_ms);
    }
}

void
httpd_disable_keepalive (struct httpd *httpd)
{
  httpd->draining = true;
}

void
httpd_drain (struct httpd *httpd)
{
  struct httpd_conn *conn;
  struct httpd_conn *next;

  httpd->draining = true;
  for (conn = httpd->conns; conn != NULL; conn = next)
    {
      next = conn->next;
      if (conn->state == CONN_IDLE && conn->evhtp->num_requests > 0
          && unread_bytes (conn) == 0)
        close_idle (conn, HTTPD_CLOSE_DRAIN);
    }
}

const char *
httpd_method (const evhtp_request_t *http)
{
  const char *method = conn_from_request (http)->head.method;

  return method != NULL ? method : htparser_get_methodstr_m (http->method);
}

void
httpd_flush (struct httpd *httpd)
{
  struct httpd_conn *conn;

  for (conn = httpd->conns; conn != NULL; conn = conn->next)
    if (conn->state == CONN_RESPONDING)
      bufio_flush (conn->evhtp->bev);
}

void
httpd_set_request_user (evhtp_request_t *http, void *request_user)
{
  conn_from_request (http)->request_user = request_user;
}

void
httpd_pause (evhtp_request_t *http)
{
  evhtp_request_pause (http);
  /* evhtp_request_pause stops reading, so that a close by the client would go
     unnoticed.  Reading goes on here; the data stays in the input buffer. */
  bufferevent_enable (http->conn->bev, EV_READ);
}

void
httpd_resume (evhtp_request_t *http)
{
  evhtp_request_resume (http);
}

void
httpd_cork (evhtp_request_t *http)
{
  bufferevent_disable (http->conn->bev, EV_WRITE);
}

void
httpd_uncork (evhtp_request_t *http)
{
  struct bufferevent *bev = http->conn->bev;

  bufio_flush (bev);
  /* Enabling writes with an empty buffer would cost two epoll_ctl calls per
     write. */
  if (evbuffer_get_length (bufferevent_get_output (bev)) > 0)
    bufferevent_enable (bev, EV_WRITE);
}

void
httpd_enable_write (evhtp_request_t *http)
{
  bufferevent_enable (http->conn->bev, EV_WRITE);
}

void
httpd_abort (evhtp_request_t *http)
{
  struct httpd_conn *conn = conn_from_request (http);
  struct httpd *httpd = conn->httpd;
  evhtp_connection_t *evhtp = conn->evhtp;

  linger_close (&httpd->linger, detach_bufferevent (conn, HTTPD_CLOSE_CUT));
  evhtp_connection_free (evhtp);
}

size_t
httpd_pending_bytes (const evhtp_request_t *http)
{
  return evbuffer_get_length (bufferevent_get_output (http->conn->bev));
}

bool
httpd_client_left (const evhtp_request_t *http)
{
  return peer_closed (bufferevent_getfd (http->conn->bev));
}

static bool
peer_closed (evutil_socket_t fd)
{
  char byte;
  ssize_t n = recv (fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);

  if (n > 0)
    return is_cut (fd);
  return n == 0 || (n < 0 && errno != EAGAIN && errno != EINTR);
}

/* Whether the peer has closed its side, also behind unread bytes. */
static bool
is_cut (evutil_socket_t fd)
{
  struct pollfd connection = { .fd = fd, .events = POLLRDHUP };

  return poll (&connection, 1, 0) > 0;
}

/* Tells the owner at once that the client has left.  The connection is closed
   by the bufferevent's own event, whose priority stays that of traffic: it
   must not change while callbacks may be queued. */
static void
on_leave (evutil_socket_t fd, short what, void *arg)
{
  struct httpd_conn *conn = arg;
  struct httpd *httpd = conn->httpd;
  enum loop_work work = begin_work (httpd, LOOP_WORK_CLOSE);

  (void)what;
  event_del (conn->leave);
  if (peer_closed (fd))
    notify_gone (conn);
  begin_work (httpd, work);
}

static enum loop_work
begin_work (struct httpd *httpd, enum loop_work work)
{
  return httpd->config.time == NULL
             ? LOOP_WORK_OTHER
             : looptime_begin (httpd->config.time, work);
}

uint64_t
httpd_shed_count (const struct httpd *httpd)
{
  return httpd->shed_count;
}

uint64_t
httpd_close_count (const struct httpd *httpd, enum httpd_close reason)
{
  const struct turnaway *turnaway = &httpd->turnaway;

  switch (reason)
    {
    case HTTPD_CLOSE_TURNED_AWAY:
      return turnaway->left;
    case HTTPD_CLOSE_EXPIRED:
      return turnaway->expired;
    default:
      return httpd->closes[reason];
    }
}

uint32_t
httpd_connections (const struct httpd *httpd)
{
  return httpd->count;
}

uint32_t
httpd_active_connections (const struct httpd *httpd)
{
  const struct httpd_conn *conn;
  uint32_t active = httpd->linger.count + (uint32_t)httpd->turnaway.count
                    + (waits_for_accept (httpd) ? 1 : 0);

  for (conn = httpd->conns; conn != NULL; conn = conn->next)
    if (conn->state != CONN_IDLE || unread_bytes (conn) > 0)
      active++;
  return active;
}

static bool
waits_for_accept (const struct httpd *httpd)
{
  struct pollfd listener
      = { .fd = evconnlistener_get_fd (httpd->evhtp->server),
          .events = POLLIN };

  return poll (&listener, 1, 0) > 0;
}

/* Connections. */

static void
on_accept_again (evutil_socket_t fd, short what, void *arg)
{
  const struct timeval now = { 0, 0 };
  struct httpd *httpd = arg;

  (void)fd;
  (void)what;
  if (!waits_for_accept (httpd))
    httpd->accept_behind_ns = 0;
  httpd->accepted = 0;
  if (httpd->shedding || start_shedding (httpd))
    return;
  evconnlistener_enable (httpd->evhtp->server);
  /* libevent does not report that the last one was accepted. */
  if (httpd->accept_behind_ns != 0)
    event_add (httpd->accept_again, &now);
}

/* Most likely no descriptor is left: the listener stays ready, and would take
   all turns of the loop. */
static void
on_accept_error (struct evconnlistener *listener, void *arg)
{
  const struct timeval interval = clock_timeval (ACCEPT_RETRY_MS);
  const evhtp_t *evhtp = arg;
  struct httpd *httpd = evhtp->defaults.post_accept_cbarg;

  evconnlistener_disable (listener);
  if (!httpd->shedding)
    event_add (httpd->accept_again, &interval);
}

static void
accept_batch (struct httpd *httpd)
{
  httpd->accepted = 0;
  if (has_capacity (httpd))
    evconnlistener_enable (httpd->evhtp->server);
  else
    evconnlistener_disable (httpd->evhtp->server);
}

static bool
has_capacity (const struct httpd *httpd)
{
  return (uint64_t)httpd->count + httpd->linger.count
             < (uint64_t)connections_max (httpd) + over_limit_max (httpd)
         && (httpd->config.accepts == NULL
             || httpd->config.accepts (httpd->config.user));
}

/* Half of the sockets beyond the limit are for those that are turned away. */
static uint32_t
over_limit_max (const struct httpd *httpd)
{
  const struct httpd_limits *limits = &httpd->config.limits;
  const uint32_t half
      = limits->sockets_max <= limits->connections_max
            ? CONNECTIONS_OVER_LIMIT_MAX
            : (limits->sockets_max - limits->connections_max + 1) / 2;

  return half < CONNECTIONS_OVER_LIMIT_MAX ? half : CONNECTIONS_OVER_LIMIT_MAX;
}

static void
bound_turnaway (struct httpd *httpd)
{
  const uint64_t most = httpd->config.limits.sockets_max;
  const uint64_t open = (uint64_t)httpd->count + httpd->linger.count;
  const uint64_t room = most > open ? most - open : 1;

  httpd->turnaway.sockets_max = most != 0 && room < TURNAWAY_SOCKETS_MAX
                                    ? (size_t)room
                                    : TURNAWAY_SOCKETS_MAX;
}

static uint32_t
connections_max (const struct httpd *httpd)
{
  const uint32_t limit = httpd->config.limits.connections_max;

  return httpd->connections_max != 0 && httpd->connections_max < limit
             ? httpd->connections_max
             : limit;
}

/* @return whether connections wait to be accepted for long. */
static bool
is_behind (const struct httpd *httpd)
{
  const uint64_t since_ns = httpd->accept_behind_ns;

  return since_ns != 0 && httpd->accept_batches >= ACCEPT_BATCHES_MIN
         && clock_now_ns (httpd->config.clock) - since_ns
                >= ACCEPT_WAIT_MAX_MS * CLOCK_NS_PER_MS;
}

/* @return whether connections are turned away from now on. */
static bool
start_shedding (struct httpd *httpd)
{
  const struct timeval interval = clock_timeval (TURNAWAY_INTERVAL_MS);

  make_room (httpd);
  if (has_capacity (httpd) && !is_behind (httpd))
    return false;
  if (httpd->shed_response == NULL)
    {
      httpd->shed_response = evbuffer_new ();
      if (httpd->shed_response == NULL)
        return false;
      httpd->config.refuse (httpd->config.user, REFUSAL_CONNECTIONS, NULL,
                            httpd->shed_response);
    }
  httpd->shedding = true;
  httpd->shed_confirmed = false;
  evconnlistener_disable (httpd->evhtp->server);
  event_add (httpd->shed, &interval);
  return true;
}

/* A process that was not scheduled looks late, too, but only once. */
static void
confirm_shedding (struct httpd *httpd)
{
  httpd->shed_confirmed = true;
  if (!has_capacity (httpd) || is_behind (httpd))
    return;
  httpd->shedding = false;
  on_accept_again (-1, 0, httpd);
}

/* Turning away ends when no connection waits any more.  Until then, a batch is
   accepted after each pass, if the instance has capacity for it. */
static void
on_shed (evutil_socket_t fd, short what, void *arg)
{
  const struct timeval interval = clock_timeval (TURNAWAY_INTERVAL_MS);
  struct httpd *httpd = arg;
  enum loop_work work = begin_work (httpd, LOOP_WORK_TURN_AWAY);
  bool none_waits = false;
  size_t count = 0;

  (void)fd;
  (void)what;
  turnaway_close (&httpd->turnaway);
  make_room (httpd);
  bound_turnaway (httpd);
  if (httpd->shedding && !httpd->shed_confirmed)
    confirm_shedding (httpd);
  if (httpd->shedding)
    count = turnaway_waiting (&httpd->turnaway,
                              evconnlistener_get_fd (httpd->evhtp->server),
                              httpd->shed_response, &none_waits);
  httpd->shed_count += count;
  if (none_waits)
    httpd->accept_behind_ns = 0;
  if (httpd->shedding)
    {
      httpd->shedding = !none_waits || !has_capacity (httpd);
      accept_batch (httpd);
    }
  /* More wait: the next pass follows as soon as all that is ready had its
     turn. */
  if (httpd->shedding && count > 0 && !none_waits)
    event_active (httpd->shed, EV_TIMEOUT, 0);
  else if (httpd->shedding || httpd->turnaway.count > 0)
    event_add (httpd->shed, &interval);
  begin_work (httpd, work);
}

static evhtp_res
on_accept (evhtp_connection_t *evhtp, void *arg)
{
  struct httpd *httpd = arg;
  enum loop_work work = begin_work (httpd, LOOP_WORK_ACCEPT);
  evhtp_res result = accept_connection (httpd, evhtp);

  begin_work (httpd, work);
  return result;
}

static evhtp_res
accept_connection (struct httpd *httpd, evhtp_connection_t *evhtp)
{
  const struct httpd_limits *limits = &httpd->config.limits;
  const struct timeval write_timeout
      = clock_timeval (limits->write_timeout_ms);
  struct httpd_conn *conn;

  conn = calloc (1, sizeof (*conn));
  if (conn == NULL)
    {
      httpd->closes[HTTPD_CLOSE_NO_MEMORY]++;
      return EVHTP_RES_ERROR;
    }
  conn->httpd = httpd;
  conn->close_reason = HTTPD_CLOSE_MAX;
  conn->evhtp = evhtp;
  conn->timer = event_new (httpd->config.base, -1, 0, on_timer, conn);
  conn->output_cb
      = evbuffer_add_cb (bufferevent_get_output (evhtp->bev), on_output, conn);
  conn->leave = event_new (httpd->config.base, bufferevent_getfd (evhtp->bev),
                           EV_READ | EV_PERSIST, on_leave, conn);
  conn->next_request
      = event_new (httpd->config.base, -1, 0, on_next_request, conn);
  conn->held = evbuffer_new ();
  if (conn->timer == NULL || conn->leave == NULL || conn->output_cb == NULL
      || conn->next_request == NULL || conn->held == NULL)
    {
      httpd->closes[HTTPD_CLOSE_NO_MEMORY]++;
      conn_discard (conn);
      return EVHTP_RES_ERROR;
    }
  conn->over_limit = httpd->count >= connections_max (httpd);
  conn->memory.account = httpd->config.memory;
  conn->memory.holder.owner = conn;
  httpd_memory_begin (&conn->memory, clock_now_ns (httpd->config.clock));
  httpd->count++;
  DL_APPEND (httpd->conns, conn);
  set_hooks (conn);
  intercept_input (conn);
  bufferevent_set_timeouts (evhtp->bev, NULL, &write_timeout);
  bufferevent_setwatermark (evhtp->bev, EV_READ, 0, read_max (limits));
  set_timer (conn, limits->idle_timeout_ms);
  end_batch (httpd);
  return EVHTP_RES_OK;
}

/* Ends a batch of accepted connections when it is full. */
static void
end_batch (struct httpd *httpd)
{
  if ((!httpd->shedding && start_shedding (httpd))
      || ++httpd->accepted < ACCEPT_BATCH)
    return;
  evconnlistener_disable (httpd->evhtp->server);
  if (httpd->shedding)
    return;
  if (httpd->accept_behind_ns == 0)
    {
      httpd->accept_behind_ns = clock_now_ns (httpd->config.clock);
      httpd->accept_batches = 0;
    }
  httpd->accept_batches++;
  event_active (httpd->accept_again, EV_TIMEOUT, 0);
}

/* A head is parsed when it has arrived whole. */
static size_t
read_max (const struct httpd_limits *limits)
{
  const size_t head_max = 2 * (size_t)limits->header_bytes_max + CRLF_SIZE;

  return head_max > HTTPD_READ_MAX ? head_max : HTTPD_READ_MAX;
}

static void
intercept_input (struct httpd_conn *conn)
{
  struct bufferevent *bev = conn->evhtp->bev;
  bufferevent_data_cb write;
  bufferevent_event_cb event;
  void *arg;

  bufferevent_getcb (bev, &conn->parse, &write, &event, &arg);
  bufferevent_setcb (bev, on_readable, write, event, arg);
}

/* libevhtp's parser tolerates much that others read in another way, and reads
   the byte behind its input when that ends within the request line.  It gets
   each head as a whole, and nothing that was not checked. */
static void
on_readable (struct bufferevent *bev, void *arg)
{
  evhtp_connection_t *evhtp = arg;
  struct httpd_conn *conn = evhtp->hooks->on_connection_fini_arg;
  struct httpd *httpd = conn->httpd;
  enum loop_work work = begin_work (httpd, LOOP_WORK_PARSE);
  struct evbuffer *input = bufferevent_get_input (bev);
  struct httpd_body_step step;
  enum refusal refusal = REFUSAL_NONE;

  do
    {
      if (conn->state == CONN_RESPONDING
          || evbuffer_get_length (conn->held) > 0)
        {
          hold_input (conn, input);
          break;
        }
      if (evbuffer_get_length (input) == 0)
        break;
      refusal = check_input (conn, input, &step);
    }
  while (refusal == REFUSAL_NONE && parse_step (conn, &step));
  if (refusal != REFUSAL_NONE)
    {
      refuse (conn, refusal);
      evhtp_connection_free (evhtp);
    }
  begin_work (httpd, work);
}

/* Keeps input behind a request from libevhtp, whose parser would read on by
   itself while it has not ended the request. */
static void
hold_input (struct httpd_conn *conn, struct evbuffer *input)
{
  evbuffer_add_buffer (conn->held, input);
  httpd_memory_set_input (&conn->memory, evbuffer_get_length (conn->held));
  if (evbuffer_get_length (conn->held) < HTTPD_HELD_MAX)
    return;
  bufferevent_disable (conn->evhtp->bev, EV_READ);
  if (conn->state == CONN_RESPONDING)
    set_timer (conn, LEAVE_LOOK_MS);
}

static void
on_next_request (evutil_socket_t fd, short what, void *arg)
{
  struct httpd_conn *conn = arg;
  struct bufferevent *bev = conn->evhtp->bev;

  (void)fd;
  (void)what;
  if (conn->state == CONN_RESPONDING)
    return;
  evbuffer_prepend_buffer (bufferevent_get_input (bev), conn->held);
  bufferevent_enable (bev, EV_READ);
  on_readable (bev, conn->evhtp);
}

/* Finds out how much of the input the parser may have. */
static enum refusal
check_input (struct httpd_conn *conn, struct evbuffer *input,
             struct httpd_body_step *step)
{
  static const enum refusal refusals[] = {
    [HTTPD_HEAD_PARTIAL] = REFUSAL_NONE,
    [HTTPD_HEAD_COMPLETE] = REFUSAL_NONE,
    [HTTPD_HEAD_INVALID] = REFUSAL_BAD_REQUEST,
    [HTTPD_HEAD_TOO_LARGE] = REFUSAL_HEADERS_TOO_LARGE,
  };
  const struct httpd_limits *limits = &conn->httpd->config.limits;
  enum httpd_head_state state;
  const char *data;
  size_t head_size = 0;

  memset (step, 0, sizeof *step);
  if (conn->state == CONN_IDLE)
    {
      conn->state = CONN_READING;
      set_timer (conn, limits->read_timeout_ms);
      httpd_memory_begin (&conn->memory,
                          clock_now_ns (conn->httpd->config.clock));
    }
  if (!conn->head.complete)
    {
      state = httpd_head_read (&conn->head, input, limits->header_bytes_max);
      if (state == HTTPD_HEAD_PARTIAL)
        return reserve_head (conn);
      if (state != HTTPD_HEAD_COMPLETE)
        return refusals[state];
      head_size = conn->head.size;
      httpd_body_init (&conn->body, &conn->head);
    }
  data = (const char *)evbuffer_pullup (input, -1);
  if (data == NULL
      || httpd_body_read (&conn->body, data + head_size,
                          evbuffer_get_length (input) - head_size,
                          limits->header_bytes_max, step)
             != 0)
    return REFUSAL_BAD_REQUEST;
  step->pass += head_size;
  httpd_memory_set_input (&conn->memory, evbuffer_get_length (input)
                                             - step->pass - step->drop);
  return REFUSAL_NONE;
}

/* Memory. */

/* Asks for memory for the request of a connection.  Clients that are given up
   for it have not got their whole requests here. */
static enum refusal
reserve (struct httpd_conn *conn, uint64_t customer_id, uint64_t bytes)
{
  struct memory_holder *victim;

  for (;;)
    switch (httpd_memory_ask (&conn->memory, customer_id, bytes,
                              clock_now_ns (conn->httpd->config.clock),
                              &victim))
      {
      case MEMORY_GRANTED:
        return REFUSAL_NONE;
      case MEMORY_RECLAIM:
        give_up (victim->owner, REFUSAL_MEMORY);
        break;
      case MEMORY_CUSTOMER_FULL:
        return REFUSAL_CUSTOMER_MEMORY;
      case MEMORY_FULL:
        return REFUSAL_MEMORY;
      }
}

static void
give_up (struct httpd_conn *conn, enum refusal refusal)
{
  evhtp_connection_t *evhtp = conn->evhtp;

  refuse (conn, refusal);
  evhtp_connection_free (evhtp);
}

/* The customer is not known before the head is complete. */
static enum refusal
reserve_head (struct httpd_conn *conn)
{
  struct evbuffer *input = bufferevent_get_input (conn->evhtp->bev);
  const enum refusal refusal
      = reserve (conn, MEMORY_ACCOUNT_UNKNOWN, evbuffer_get_length (input));

  return refusal == REFUSAL_NONE ? REFUSAL_NONE : REFUSAL_MEMORY;
}

/* The parser has a copy of each header. */
static uint64_t
head_bytes (const struct httpd_conn *conn)
{
  return 2 * (uint64_t)conn->head.size;
}

/* Decides on a request whose body has yet to arrive.  What a chunked one will
   take is not known yet. */
static enum refusal
reserve_body (struct httpd_conn *conn, evhtp_request_t *http)
{
  const struct httpd_config *config = &conn->httpd->config;
  uint64_t customer_id = 0;
  uint64_t bytes = conn->head.length;
  enum refusal refusal = config->head == NULL
                             ? REFUSAL_NONE
                             : config->head (config->user, http, &customer_id);

  if (refusal != REFUSAL_NONE)
    return refusal;
  if (conn->head.chunked)
    bytes = HTTPD_MEMORY_CHUNKED_BYTES;
  refusal = reserve (conn, customer_id, head_bytes (conn) + bytes);
  if (refusal == REFUSAL_NONE && bytes > MEMORY_ACCOUNT_ORDINARY_BYTES)
    receive_faster (conn);
  return refusal;
}

/* Room for a body of `size` bytes so far: the whole of one whose length is
   known, and steps for one that may come in very many chunks. */
static uint64_t
body_room (const struct httpd_conn *conn, uint64_t size)
{
  const uint64_t most = conn->httpd->config.limits.body_bytes_max;
  uint64_t room = HTTPD_MEMORY_CHUNKED_BYTES;

  if (!conn->head.chunked)
    return conn->head.length;
  while (room < size)
    room *= 2;
  return room < most ? room : most;
}

/* Asks for more memory for a chunked body that is arriving. */
static enum refusal
reserve_room (struct httpd_conn *conn, uint64_t room)
{
  const struct httpd_memory *memory = &conn->memory;

  if (room <= memory->body_room
      || memory->customer_id == MEMORY_ACCOUNT_UNKNOWN)
    return REFUSAL_NONE;
  if (room > MEMORY_ACCOUNT_ORDINARY_BYTES
      && memory->body_room <= MEMORY_ACCOUNT_ORDINARY_BYTES)
    receive_faster (conn);
  return reserve (conn, memory->customer_id, head_bytes (conn) + room);
}

/* A large body has been admitted. */
static void
receive_faster (const struct httpd_conn *conn)
{
  if (conn->httpd->config.connection_bytes > 0)
    sock_set_receive_buffer (bufferevent_getfd (conn->evhtp->bev),
                             RECEIVE_LARGE_BYTES);
}

enum refusal
httpd_hold (evhtp_request_t *http, uint64_t customer_id)
{
  struct httpd_conn *conn = conn_from_request (http);

  enum refusal refusal
      = reserve (conn, customer_id,
                 head_bytes (conn) + evbuffer_get_length (http->buffer_in)
                     + REQUEST_BYTES);

  if (refusal == REFUSAL_NONE && crowds_out (conn))
    refusal = REFUSAL_CUSTOMER_LIMIT;
  if (refusal != REFUSAL_NONE)
    evhtp_request_disable_flag (http, EVHTP_REQ_FLAG_KEEPALIVE);
  return refusal;
}

/* Whether the requests of a customer leave too few connections to others. */
static bool
crowds_out (const struct httpd_conn *conn)
{
  const uint32_t most = connections_max (conn->httpd);

  return memory_account_customer_holders (&conn->memory.holder)
         > most - most / CONNECTIONS_PART;
}

/* Gives up clients that take connections without a request, while all are
   taken. */
static void
make_room (struct httpd *httpd)
{
  const uint32_t most = connections_max (httpd);
  struct memory_holder *holder;
  struct httpd_conn *conn;
  uint32_t closed;

  for (closed = 0; closed < ACCEPT_BATCH
                   && (uint64_t)httpd->count + httpd->linger.count >= most
                   && httpd->linger.count <= most / CONNECTIONS_PART;
       closed++)
    {
      holder = memory_account_oldest (httpd->config.memory,
                                      clock_now_ns (httpd->config.clock));
      if (holder == NULL)
        return;
      conn = holder->owner;
      if (conn->state == CONN_IDLE && unread_bytes (conn) == 0)
        close_idle (conn, HTTPD_CLOSE_IDLE);
      else
        give_up (conn, REFUSAL_CONNECTIONS);
    }
}

/* @return whether more of the request may be in the input. */
static bool
parse_step (struct httpd_conn *conn, const struct httpd_body_step *step)
{
  evhtp_connection_t *evhtp = conn->evhtp;

  if (step->pass > 0 && !parse_part (conn, step->pass))
    return false;
  if (step->drop > 0)
    {
      evbuffer_drain (bufferevent_get_input (evhtp->bev), step->drop);
      return true;
    }
  if (conn->body.state == HTTPD_BODY_END && conn->state == CONN_READING
      && conn->head.complete)
    {
      /* The parser takes the request for a longer one. */
      refuse (conn, REFUSAL_BAD_REQUEST);
      evhtp_connection_free (evhtp);
    }
  return false;
}

/* Gives the parser the first bytes of the input.
   @return false if the connection was freed. */
static bool
parse_part (struct httpd_conn *conn, size_t size)
{
  struct httpd *httpd = conn->httpd;
  evhtp_connection_t *evhtp = conn->evhtp;
  struct bufferevent *bev = evhtp->bev;
  struct evbuffer *input = bufferevent_get_input (bev);
  struct evbuffer *rest = NULL;
  bool freed;

  if (size < evbuffer_get_length (input))
    {
      rest = split_input (input, size);
      if (rest == NULL)
        {
          refuse (conn, REFUSAL_ROUTER_FULL);
          evhtp_connection_free (evhtp);
          return false;
        }
    }
  httpd->parsed = conn;
  conn->parse (bev, evhtp);
  freed = httpd->parsed == NULL;
  httpd->parsed = NULL;
  if (!freed && rest != NULL && conn->state == CONN_RESPONDING)
    hold_input (conn, rest);
  else if (!freed && rest != NULL)
    {
      /* A bufferevent freezes the end of its input. */
      evbuffer_unfreeze (input, 0);
      evbuffer_add_buffer (input, rest);
      evbuffer_freeze (input, 0);
    }
  if (rest != NULL)
    evbuffer_free (rest);
  return !freed;
}

/* @return what follows the first bytes, which is taken out of the input; NULL
   if there is no memory. */
static struct evbuffer *
split_input (struct evbuffer *input, size_t size)
{
  struct evbuffer *rest = evbuffer_new ();
  struct evbuffer *part = evbuffer_new ();

  if (rest != NULL && part != NULL
      && evbuffer_remove_buffer (input, part, size) == (int)size)
    {
      evbuffer_add_buffer (rest, input);
      evbuffer_prepend_buffer (input, part);
    }
  else if (rest != NULL)
    {
      evbuffer_free (rest);
      rest = NULL;
    }
  if (part != NULL)
    evbuffer_free (part);
  return rest;
}

static void
set_hooks (struct httpd_conn *conn)
{
  evhtp_connection_t *evhtp = conn->evhtp;

  evhtp_connection_set_hook (evhtp, evhtp_hook_on_headers_start,
                             on_headers_start, conn);
  evhtp_connection_set_hook (evhtp, evhtp_hook_on_header, on_header, conn);
  evhtp_connection_set_hook (evhtp, evhtp_hook_on_headers, on_headers, conn);
  evhtp_connection_set_hook (evhtp, evhtp_hook_on_read, on_body, conn);
  evhtp_connection_set_hook (evhtp, evhtp_hook_on_event,
                             (evhtp_hook)(void (*) (void))on_event, conn);
  evhtp_connection_set_hook (evhtp, evhtp_hook_on_request_fini,
                             on_request_fini, conn);
  evhtp_connection_set_hook (evhtp, evhtp_hook_on_connection_fini,
                             on_connection_fini, conn);
}

static void
set_timer (struct httpd_conn *conn, uint32_t timeout_ms)
{
  const struct timeval timeout = clock_timeval (timeout_ms);

  event_add (conn->timer, &timeout);
}

/* A libevhtp connection has no field for user data, so the argument of one of
   its hooks serves for that. */
static struct httpd_conn *
conn_from_request (const evhtp_request_t *http)
{
  return http->conn->hooks->on_connection_fini_arg;
}

static void
conn_free (struct httpd_conn *conn)
{
  DL_DELETE (conn->httpd->conns, conn);
  conn->httpd->count--;
  conn_discard (conn);
}

static void
conn_discard (struct httpd_conn *conn)
{
  if (conn->timer != NULL)
    event_free (conn->timer);
  if (conn->leave != NULL)
    event_free (conn->leave);
  if (conn->next_request != NULL)
    event_free (conn->next_request);
  if (conn->held != NULL)
    evbuffer_free (conn->held);
  httpd_memory_finish (&conn->memory);
  httpd_head_reset (&conn->head);
  if (conn->httpd->parsed == conn)
    conn->httpd->parsed = NULL;
  free (conn);
}

static evhtp_res
on_connection_fini (evhtp_connection_t *evhtp, void *arg)
{
  struct httpd_conn *conn = arg;
  enum httpd_close reason = close_reason (conn);

  /* libevhtp finishes the request after the connection, when `conn` has
     already been freed. */
  evhtp_connection_unset_hook (evhtp, evhtp_hook_on_request_fini);
  notify_gone (conn);
  if (conn->state <= CONN_READING && refuse_unparsable (conn))
    reason = HTTPD_CLOSE_REFUSED;
  else if (reason == HTTPD_CLOSE_RESPONDED && unread_bytes (conn) > 0)
    linger_responded (conn);
  else
    log_if_cut (conn, reason);
  conn->httpd->closes[reason]++;
  conn_free (conn);
  return EVHTP_RES_OK;
}

/* @return bytes from the client that the parser has not got. */
static size_t
unread_bytes (const struct httpd_conn *conn)
{
  struct bufferevent *bev = conn->evhtp->bev;
  int in_socket = 0;

  if (bev == NULL)
    return 0;
  if (ioctl (bufferevent_getfd (bev), FIONREAD, &in_socket) != 0)
    in_socket = 0;
  return evbuffer_get_length (conn->held)
         + evbuffer_get_length (bufferevent_get_input (bev))
         + (size_t)in_socket;
}

static enum httpd_close
close_reason (const struct httpd_conn *conn)
{
  const evhtp_request_t *http = conn->evhtp->request;

  if (conn->close_reason != HTTPD_CLOSE_MAX)
    return conn->close_reason;
  return conn->state == CONN_RESPONDING && http != NULL
                 && (http->flags & EVHTP_REQ_FLAG_FINISHED) != 0
             ? HTTPD_CLOSE_RESPONDED
             : HTTPD_CLOSE_OTHER;
}

/* Logs a close by which a client may lose a request. */
static void
log_if_cut (const struct httpd_conn *conn, enum httpd_close reason)
{
  size_t unread = conn->state == CONN_IDLE ? unread_bytes (conn) : 0;

  if (unread > 0 || reason == HTTPD_CLOSE_OTHER)
    LOG (LOG_CONNECTION_CUT, NULL, LOG_S ("reason", httpd_close_name (reason)),
         LOG_U ("bytes", unread));
}

/* libevhtp closes a connection at once when it cannot parse the input.
   @return whether the error response is sent. */
static bool
refuse_unparsable (struct httpd_conn *conn)
{
  const struct httpd_config *config = &conn->httpd->config;
  htpparse_error parse_error = htparser_get_error (conn->evhtp->parser);
  struct bufferevent *bev;

  if (parse_error == htparse_error_none || conn->evhtp->bev == NULL)
    return false;
  bev = duplicate_socket (conn);
  if (bev == NULL)
    return false;
  config->refuse (config->user,
                  parse_error == htparse_error_too_big
                      ? REFUSAL_HEADERS_TOO_LARGE
                      : REFUSAL_BAD_REQUEST,
                  request_id (conn), bufferevent_get_output (bev));
  linger_close (&conn->httpd->linger, bev);
  return true;
}

/* @return a duplicate of the connection's socket, which stays open when
   libevhtp closes the other one; NULL if there is none. */
static struct bufferevent *
duplicate_socket (const struct httpd_conn *conn)
{
  int fd = dup (bufferevent_getfd (conn->evhtp->bev));
  struct bufferevent *bev;

  if (fd < 0)
    return NULL;
  bev = bufferevent_socket_new (conn->httpd->config.base, fd,
                                BEV_OPT_CLOSE_ON_FREE);
  if (bev == NULL)
    close (fd);
  return bev;
}

/* The client has sent more behind its last request, and a close would reset
   the connection. */
static void
linger_responded (struct httpd_conn *conn)
{
  struct bufferevent *bev = duplicate_socket (conn);

  if (bev != NULL)
    linger_close (&conn->httpd->linger, bev);
}

/* Takes ownership of the connection's bufferevent from libevhtp and frees
   `conn`.  The libevhtp connection itself must still be freed. */
static struct bufferevent *
detach_bufferevent (struct httpd_conn *conn, enum httpd_close reason)
{
  evhtp_connection_t *evhtp = conn->evhtp;

  conn->httpd->closes[reason]++;
  conn->request_user = NULL;
  evbuffer_remove_cb_entry (bufferevent_get_output (evhtp->bev),
                            conn->output_cb);
  conn_free (conn);
  return evhtp_connection_take_ownership (evhtp);
}

/* Sends a refusal response and closes the connection.
   @return the value that makes libevhtp free the connection after a hook. */
static evhtp_res
refuse (struct httpd_conn *conn, enum refusal refusal)
{
  struct httpd *httpd = conn->httpd;
  struct evbuffer *out = evbuffer_new ();
  struct bufferevent *bev;

  if (out != NULL)
    httpd->config.refuse (httpd->config.user, refusal, request_id (conn), out);
  bev = detach_bufferevent (conn, HTTPD_CLOSE_REFUSED);
  if (out != NULL)
    {
      bufferevent_write_buffer (bev, out);
      evbuffer_free (out);
    }
  linger_close (&httpd->linger, bev);
  return EVHTP_RES_ERROR;
}

static const char *
request_id (struct httpd_conn *conn)
{
  const evhtp_request_t *http = conn->evhtp->request;
  const char *name = conn->httpd->config.request_id_header;

  if (!conn->parsing)
    return httpd_head_find (&conn->head,
                            bufferevent_get_input (conn->evhtp->bev), name);
  if (http == NULL || http->headers_in == NULL)
    return NULL;
  return evhtp_header_find (http->headers_in, name);
}

/* libevent closes the socket in a later event; the client is to know now that
   it cannot send another request. */
static void
close_idle (struct httpd_conn *conn, enum httpd_close reason)
{
  conn->close_reason = reason;
  shutdown (bufferevent_getfd (conn->evhtp->bev), SHUT_WR);
  evhtp_connection_free (conn->evhtp);
}

/* While input is not read, no event reports that the client has closed. */
static void
check_left (struct httpd_conn *conn)
{
  if (!is_cut (bufferevent_getfd (conn->evhtp->bev)))
    {
      set_timer (conn, LEAVE_LOOK_MS);
      return;
    }
  conn->close_reason = HTTPD_CLOSE_CLIENT;
  notify_gone (conn);
  evhtp_connection_free (conn->evhtp);
}

static void
on_timer (evutil_socket_t fd, short what, void *arg)
{
  struct httpd_conn *conn = arg;
  evhtp_connection_t *evhtp = conn->evhtp;

  (void)fd;
  (void)what;
  if (conn->state == CONN_RESPONDING)
    {
      check_left (conn);
      return;
    }
  /* The loop is late, and will read it next.  A request that is arriving gets
     more time only once. */
  if (!conn->read_extended && unread_bytes (conn) > 0)
    {
      conn->read_extended = conn->state == CONN_READING;
      set_timer (conn, conn->httpd->config.limits.read_timeout_ms);
      return;
    }
  if (conn->state != CONN_READING && conn->httpd->config.close_idle_silently)
    {
      close_idle (conn, HTTPD_CLOSE_IDLE);
      return;
    }
  refuse (conn, conn->state == CONN_READING ? REFUSAL_READ_TIMEOUT
                                            : REFUSAL_IDLE_TIMEOUT);
  evhtp_connection_free (evhtp);
}

/* Requests. */

static evhtp_res
on_headers_start (evhtp_request_t *http, void *arg)
{
  struct httpd_conn *conn = arg;

  (void)http;
  conn->state = CONN_READING;
  conn->header_bytes = 0;
  conn->header_count = 0;
  conn->body_bytes = 0;
  conn->parsing = true;
  return EVHTP_RES_OK;
}

static evhtp_res
on_header (evhtp_request_t *http, evhtp_header_t *header, void *arg)
{
  struct httpd_conn *conn = arg;

  (void)http;
  conn->header_bytes
      += (uint32_t)(header->klen + header->vlen + HEADER_OVERHEAD);
  conn->header_count++;
  if (conn->header_bytes > conn->httpd->config.limits.header_bytes_max
      || conn->header_count > HTTPD_HEADERS_MAX)
    return refuse (conn, REFUSAL_HEADERS_TOO_LARGE);
  return EVHTP_RES_OK;
}

static evhtp_res
on_headers (evhtp_request_t *http, evhtp_headers_t *headers, void *arg)
{
  struct httpd_conn *conn = arg;
  enum refusal refusal;

  if (conn->over_limit)
    return refuse (conn, REFUSAL_CONNECTIONS);
  if (httpd_method (http) == NULL || !httpd_framing_valid (headers)
      || evhtp_request_content_len (http) != conn->head.length)
    return refuse (conn, REFUSAL_BAD_REQUEST);
  if (httpd_disable_form_parsing (headers) != 0)
    return refuse (conn, REFUSAL_ROUTER_FULL);
  if (evhtp_request_content_len (http)
      > conn->httpd->config.limits.body_bytes_max)
    return refuse (conn, REFUSAL_BODY_TOO_LARGE);
  refusal = conn->body.state == HTTPD_BODY_END ? REFUSAL_NONE
                                               : reserve_body (conn, http);
  if (refusal != REFUSAL_NONE)
    return refuse (conn, refusal);
  if (evbuffer_add_cb (http->buffer_out, on_buffered, conn) == NULL)
    return refuse (conn, REFUSAL_ROUTER_FULL);
  return EVHTP_RES_OK;
}

static evhtp_res
on_body (evhtp_request_t *http, struct evbuffer *data, void *arg)
{
  struct httpd_conn *conn = arg;
  enum refusal refusal;
  uint64_t room;

  (void)http;
  conn->body_bytes += evbuffer_get_length (data);
  if (conn->body_bytes > conn->httpd->config.limits.body_bytes_max)
    return refuse (conn, REFUSAL_BODY_TOO_LARGE);
  room = body_room (conn, conn->body_bytes);
  refusal = reserve_room (conn, room);
  if (refusal == REFUSAL_NONE
      && httpd_memory_add_body (&conn->memory, data, (size_t)room) != 0)
    refusal = REFUSAL_ROUTER_FULL;
  return refusal == REFUSAL_NONE ? EVHTP_RES_OK : refuse (conn, refusal);
}

/* Idle connections must not use up the limit. */
static uint32_t
kept_connections_max (const struct httpd *httpd)
{
  const struct httpd_limits *limits = &httpd->config.limits;
  const uint32_t half = connections_max (httpd) / 2;

  return limits->kept_connections_max != 0
                 && limits->kept_connections_max < half
             ? limits->kept_connections_max
             : half;
}

static void
on_request (evhtp_request_t *http, void *arg)
{
  struct httpd *httpd = arg;
  struct httpd_conn *conn = conn_from_request (http);

  event_del (conn->timer);
  conn->state = CONN_RESPONDING;
  event_add (conn->leave, NULL);
  if (httpd_memory_move_body (&conn->memory, http->buffer_in) != 0)
    {
      conn->close_reason = HTTPD_CLOSE_NO_MEMORY;
      evhtp_request_disable_flag (http, EVHTP_REQ_FLAG_KEEPALIVE);
      evhtp_send_reply (http, EVHTP_RES_SERVUNAVAIL);
      return;
    }
  /* While connections are turned away, those that are kept would go on to
     bring requests, which cost more. */
  if (httpd->draining || httpd->shedding
      || httpd->count > kept_connections_max (httpd))
    evhtp_request_disable_flag (http, EVHTP_REQ_FLAG_KEEPALIVE);
  httpd->config.request (httpd->config.user, http);
}

/* The connection was closed or failed.  libevhtp does not free a paused
   connection until it is resumed. */
static void
on_event (evhtp_connection_t *evhtp, short events, void *arg)
{
  struct httpd_conn *conn = arg;
  struct httpd *httpd = conn->httpd;
  enum loop_work work;

  if ((events & (BEV_EVENT_EOF | BEV_EVENT_ERROR | BEV_EVENT_TIMEOUT)) == 0)
    return;
  work = begin_work (httpd, LOOP_WORK_CLOSE);
  conn->close_reason = (events & BEV_EVENT_TIMEOUT) != 0 ? HTTPD_CLOSE_STALLED
                                                         : HTTPD_CLOSE_CLIENT;
  notify_gone (conn);
  if ((evhtp->flags & EVHTP_CONN_FLAG_PAUSED) != 0)
    evhtp_connection_resume (evhtp);
  begin_work (httpd, work);
}

/* libevhtp's own write hook is not called while a connection is paused, so
   this is a callback of the output buffer. */
static void
on_output (struct evbuffer *output, const struct evbuffer_cb_info *info,
           void *arg)
{
  struct httpd_conn *conn = arg;
  const struct httpd_config *config = &conn->httpd->config;

  httpd_memory_set_output (&conn->memory, evbuffer_get_length (output));
  if (info->n_deleted > 0 && conn->request_user != NULL
      && evbuffer_get_length (output) <= config->limits.low_water_bytes)
    config->output_low (config->user, conn->request_user);
}

/* A response that is buffered until it is complete. */
static void
on_buffered (struct evbuffer *buffer, const struct evbuffer_cb_info *info,
             void *arg)
{
  struct httpd_conn *conn = arg;

  (void)info;
  httpd_memory_set_buffered (&conn->memory, evbuffer_get_length (buffer));
}

static evhtp_res
on_request_fini (evhtp_request_t *http, void *arg)
{
  struct httpd_conn *conn = arg;

  (void)http;
  httpd_memory_end_request (&conn->memory);
  notify_gone (conn);
  conn->state = CONN_IDLE;
  conn->parsing = false;
  conn->read_extended = false;
  httpd_head_reset (&conn->head);
  event_del (conn->leave);
  set_timer (conn, conn->httpd->config.limits.idle_timeout_ms);
  if (evbuffer_get_length (conn->held) > 0)
    event_active (conn->next_request, EV_TIMEOUT, 0);
  return EVHTP_RES_OK;
}

static void
notify_gone (struct httpd_conn *conn)
{
  const struct httpd_config *config = &conn->httpd->config;
  void *request_user = conn->request_user;

  conn->request_user = NULL;
  if (request_user != NULL)
    config->client_closed (config->user, request_user);
}
