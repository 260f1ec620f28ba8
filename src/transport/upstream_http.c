/**
 * @file upstream_http.c
 * HTTP/1.1 driver: one attempt at a time on a connection, and connection
 * reuse.
 *
 * It uses bufferevent and libevhtp's response parser instead of evhttp for
 * these reasons.  evhttp does not read a response before the complete request
 * has been written, so an upstream that responds early and closes the
 * connection looks like a failed one.  It reports a truncated response without
 * a length as complete.  It does not report bytes beyond the Content-Length.
 * It cannot stop reading for backpressure.
 */
#include "transport/upstream_http.h"
#include "state/err.h"
#include "transport/bufio.h"
#include "transport/sock.h"
#include "transport/upstream_http_int.h"
#include <errno.h>
#include <event2/util.h>
#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <stdlib.h>
#include <string.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <utlist.h>

#define NS_PER_MS 1000000ULL /**< nanoseconds */

static struct upstream_attempt *
http_start (void *driver, const struct upstream_request *request,
            const struct upstream_events *events, void *user);
static void http_cancel (struct upstream_attempt *attempt);
static void http_pause (struct upstream_attempt *attempt, bool paused);

static struct upstream_attempt *
attempt_new (const struct upstream_request *request,
             const struct upstream_events *events, void *user);
static void attempt_free (struct upstream_attempt *attempt);
static void attempt_end (struct upstream_http_conn *conn, int error);
static struct upstream_http_pool *pool_find (struct upstream_http *http,
                                             uint64_t upstream_id);
static struct upstream_http_conn *
conn_reuse (struct upstream_http *http, struct upstream_http_pool *pool,
            const struct upstream_request *request);
static struct upstream_http_conn *pool_take (struct upstream_http_pool *pool);
static bool conn_is_usable (struct upstream_http_conn *conn);
static struct upstream_http_conn *
conn_open (struct upstream_http *http, struct upstream_http_pool *pool,
           const struct upstream_request *request);
static int conn_connect (struct upstream_http_conn *conn, const char *address);
static int open_socket (struct upstream_http_conn *conn, int family);
static void conn_free (struct upstream_http_conn *conn);
static void write_now (struct upstream_http_conn *conn);
static void pool_put (struct upstream_http_conn *conn);
static void pool_release (struct upstream_http *http,
                          struct upstream_http_pool *pool);
static int write_request (struct evbuffer *out,
                          const struct upstream_dialect *dialect,
                          const struct upstream_request *request);
static void on_read (struct bufferevent *bev, void *arg);
static bool has_connected (evutil_socket_t fd);
static void on_event (struct bufferevent *bev, short what, void *arg);
static void on_output (struct evbuffer *buffer,
                       const struct evbuffer_cb_info *info, void *arg);
static bool request_received (const struct upstream_http_conn *conn);
static void read_response (struct upstream_http_conn *conn);

const struct upstream_driver upstream_http_driver = {
  .name = "http",
  .start = http_start,
  .cancel = http_cancel,
  .pause = http_pause,
};

struct upstream_http *
upstream_http_new (const struct upstream_http_config *config)
{
  struct upstream_http *http = calloc (1, sizeof (*http));

  if (http == NULL)
    return NULL;
  http->config = *config;
  if (http->config.dialect == NULL)
    http->config.dialect = &upstream_default_dialect;
  return http;
}

void
upstream_http_free (struct upstream_http *http)
{
  struct upstream_http_pool *pool;
  struct upstream_http_pool *next;
  struct upstream_http_conn *conn;

  pool = http->pools;
  HASH_CLEAR (hh, http->pools);
  for (; pool != NULL; pool = next)
    {
      next = pool->hh.next;
      while ((conn = pool_take (pool)) != NULL)
        conn_free (conn);
      free (pool);
    }
  free (http);
}

void
upstream_http_close_idle (struct upstream_http *http)
{
  uint64_t now_ns = clock_now_ns (http->config.clock);
  struct upstream_http_pool *pool;
  struct upstream_http_pool *next_pool;
  struct upstream_http_conn *conn;
  struct upstream_http_conn *next;

  for (pool = http->pools; pool != NULL; pool = next_pool)
    for (next_pool = pool->hh.next, conn = pool->idle; conn != NULL;
         conn = next)
      {
        next = conn->next;
        if (now_ns - conn->idle_since_ns >= conn->idle_max_ns)
          conn_free (conn);
      }
}

void
upstream_http_remove_upstream (struct upstream_http *http,
                               uint64_t upstream_id)
{
  struct upstream_http_pool *pool;
  struct upstream_http_conn *conn;

  HASH_FIND (hh, http->pools, &upstream_id, sizeof (upstream_id), pool);
  if (pool == NULL)
    return;
  while ((conn = pool_take (pool)) != NULL)
    conn_free (conn);
  pool->removed = true;
  HASH_FIND (hh, http->pools, &upstream_id, sizeof (upstream_id), pool);
  if (pool != NULL)
    pool_release (http, pool);
}

/* Frees the pool of a removed upstream when it has no more connections. */
static void
pool_release (struct upstream_http *http, struct upstream_http_pool *pool)
{
  if (!pool->removed || pool->open_count > 0)
    return;
  HASH_DEL (http->pools, pool);
  free (pool);
}

bool
upstream_http_has_unread (const struct upstream_attempt *attempt)
{
  int in_socket = 0;

  return ioctl (bufferevent_getfd (attempt->conn->bev), FIONREAD, &in_socket)
             == 0
         && in_socket > 0;
}

uint32_t
upstream_http_connections (const struct upstream_http *http)
{
  return http->connections;
}

/* The driver's operations. */

static struct upstream_attempt *
http_start (void *driver, const struct upstream_request *request,
            const struct upstream_events *events, void *user)
{
  struct upstream_http *http = driver;
  struct upstream_http_pool *pool = pool_find (http, request->upstream_id);
  struct upstream_attempt *attempt;
  struct upstream_http_conn *conn;

  if (pool == NULL)
    return NULL;
  attempt = attempt_new (request, events, user);
  if (attempt == NULL)
    return NULL;
  conn = request->repeated ? NULL : conn_reuse (http, pool, request);
  if (conn == NULL)
    conn = conn_open (http, pool, request);
  if (conn == NULL)
    {
      attempt_free (attempt);
      return NULL;
    }
  conn->attempt = attempt;
  attempt->conn = conn;
  conn->reusable = false;
  conn->idle_max_ns = (uint64_t)request->idle_timeout_ms / 2 * NS_PER_MS;
  upstream_http_response_reset (conn);
  if (write_request (bufferevent_get_output (conn->bev), http->config.dialect,
                     request)
      != 0)
    {
      conn_free (conn);
      return NULL;
    }
  if (conn->connected)
    write_now (conn);
  return attempt;
}

static void
write_now (struct upstream_http_conn *conn)
{
  if (bufio_flush (conn->bev) != 0)
    conn->write_failed = true;
  if (evbuffer_get_length (bufferevent_get_output (conn->bev)) > 0)
    bufferevent_enable (conn->bev, EV_WRITE);
}

static void
http_cancel (struct upstream_attempt *attempt)
{
  /* libevent closes the socket in a later event; the upstream is to stop
     now. */
  shutdown (bufferevent_getfd (attempt->conn->bev), SHUT_RDWR);
  conn_free (attempt->conn);
}

static void
http_pause (struct upstream_attempt *attempt, bool paused)
{
  struct bufferevent *bev = attempt->conn->bev;

  if (attempt->paused == paused)
    return;
  attempt->paused = paused;
  if (paused)
    {
      bufferevent_disable (bev, EV_READ);
      return;
    }
  bufferevent_enable (bev, EV_READ);
  if (evbuffer_get_length (bufferevent_get_input (bev)) > 0)
    bufferevent_trigger (
        bev, EV_READ, BEV_TRIG_IGNORE_WATERMARKS | BEV_TRIG_DEFER_CALLBACKS);
}

/* Attempts. */

static struct upstream_attempt *
attempt_new (const struct upstream_request *request,
             const struct upstream_events *events, void *user)
{
  struct upstream_attempt *attempt = calloc (1, sizeof (*attempt));

  if (attempt == NULL)
    return NULL;
  attempt->request_id = strdup (request->request_id);
  if (attempt->request_id == NULL)
    {
      free (attempt);
      return NULL;
    }
  attempt->events = events;
  attempt->user = user;
  attempt->resume_after = request->resume_after;
  attempt->is_head = strcmp (request->method, "HEAD") == 0;
  return attempt;
}

static void
attempt_free (struct upstream_attempt *attempt)
{
  upstream_http_response_finish (&attempt->response);
  free (attempt->request_id);
  free (attempt);
}

/* Ends the attempt of a connection.  The connection is returned to its pool or
   freed before `completed` or `failed` is called. */
static void
attempt_end (struct upstream_http_conn *conn, int error)
{
  struct upstream_attempt *attempt = conn->attempt;
  const struct upstream_events *events = attempt->events;
  void *user = attempt->user;

  http_pause (attempt, false);
  conn->attempt = NULL;
  attempt_free (attempt);
  if (error == 0 && conn->reusable)
    pool_put (conn);
  else
    conn_free (conn);
  if (error == 0)
    events->completed (user);
  else
    events->failed (user, error);
}

/* Connections. */

static struct upstream_http_pool *
pool_find (struct upstream_http *http, uint64_t upstream_id)
{
  struct upstream_http_pool *pool;

  HASH_FIND (hh, http->pools, &upstream_id, sizeof (upstream_id), pool);
  if (pool != NULL)
    {
      /* A removed upstream may have been added again. */
      pool->removed = false;
      return pool;
    }
  pool = calloc (1, sizeof (*pool));
  if (pool == NULL)
    return NULL;
  pool->upstream_id = upstream_id;
  HASH_ADD (hh, http->pools, upstream_id, sizeof (upstream_id), pool);
  return pool;
}

static struct upstream_http_conn *
conn_reuse (struct upstream_http *http, struct upstream_http_pool *pool,
            const struct upstream_request *request)
{
  uint64_t now_ns = clock_now_ns (http->config.clock);
  struct upstream_http_conn *conn;
  uint64_t idle_ns;

  /* The first one has the shortest idle time; if it is idle for too long, so
     are all others. */
  while (pool->idle != NULL)
    {
      idle_ns = now_ns - pool->idle->idle_since_ns;
      if (idle_ns >= pool->idle->idle_max_ns
          || (!request->idempotent
              && idle_ns >= UPSTREAM_HTTP_REUSE_MAX_MS * NS_PER_MS))
        return NULL;
      conn = pool_take (pool);
      if (conn_is_usable (conn))
        {
          conn->reused = true;
          return conn;
        }
      conn_free (conn);
    }
  return NULL;
}

/* Takes the most recently used idle connection; NULL if there is none. */
static struct upstream_http_conn *
pool_take (struct upstream_http_pool *pool)
{
  struct upstream_http_conn *conn = pool->idle;

  if (conn == NULL)
    return NULL;
  DL_DELETE (pool->idle, conn);
  conn->prev = NULL;
  return conn;
}

/* False if the upstream has closed the connection or sent unexpected bytes,
   which the event loop may not have handled yet. */
static bool
conn_is_usable (struct upstream_http_conn *conn)
{
  char byte;
  ssize_t n;

  if (evbuffer_get_length (bufferevent_get_input (conn->bev)) > 0)
    return false;
  n = recv (bufferevent_getfd (conn->bev), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return n < 0 && errno == EAGAIN;
}

static struct upstream_http_conn *
conn_open (struct upstream_http *http, struct upstream_http_pool *pool,
           const struct upstream_request *request)
{
  struct upstream_http_conn *conn = calloc (1, sizeof (*conn));

  if (conn == NULL)
    return NULL;
  conn->http = http;
  conn->pool = pool;
  pool->open_count++;
  http->connections++;
  conn->parser = htparser_new ();
  conn->scratch = evbuffer_new ();
  conn->bev = bufferevent_socket_new (
      http->config.base, -1, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS);
  if (conn->parser == NULL || conn->scratch == NULL || conn->bev == NULL
      || conn_connect (conn, request->address) != 0)
    {
      conn_free (conn);
      return NULL;
    }
  return conn;
}

static int
conn_connect (struct upstream_http_conn *conn, const char *address)
{
  const struct timeval timeout
      = clock_timeval (conn->http->config.connect_timeout_ms);
  struct sockaddr_storage to;
  int size = sizeof (to);

  if (evutil_parse_sockaddr_port (address, (struct sockaddr *)&to, &size) != 0)
    return ERR_INVALID;
  if (open_socket (conn, to.ss_family) != 0)
    return ERR_IO;
  bufferevent_setcb (conn->bev, on_read, NULL, on_event, conn);
  bufferevent_setwatermark (conn->bev, EV_READ, 0,
                            conn->http->config.read_max_bytes);
  bufferevent_set_timeouts (conn->bev, NULL, &timeout);
  conn->output_cb
      = evbuffer_add_cb (bufferevent_get_output (conn->bev), on_output, conn);
  bufferevent_enable (conn->bev, EV_READ | EV_WRITE);
  /* on_event reports a failure, from the event loop. */
  bufferevent_socket_connect (conn->bev, (struct sockaddr *)&to, size);
  return conn->output_cb == NULL ? ERR_NO_MEMORY : 0;
}

/* The size of a receive buffer counts from the opening of a connection on. */
static int
open_socket (struct upstream_http_conn *conn, int family)
{
  const uint32_t bytes = conn->http->config.receive_buffer_bytes;
  int fd;

  if (bytes == 0)
    return 0;
  fd = socket (family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd < 0)
    return ERR_IO;
  sock_set_receive_buffer (fd, bytes);
  return bufferevent_setfd (conn->bev, fd) == 0 ? 0 : ERR_IO;
}

static void
conn_free (struct upstream_http_conn *conn)
{
  if (conn->attempt != NULL)
    attempt_free (conn->attempt);
  else if (conn->pool->idle != NULL && conn->prev != NULL)
    DL_DELETE (conn->pool->idle, conn);
  conn->attempt = NULL;
  conn->prev = NULL;
  if (conn->output_cb != NULL)
    evbuffer_remove_cb_entry (bufferevent_get_output (conn->bev),
                              conn->output_cb);
  conn->output_cb = NULL;
  if (conn->bev != NULL)
    bufferevent_free (conn->bev);
  conn->bev = NULL;
  if (conn->parsing)
    {
      conn->free_pending = true;
      return;
    }
  if (conn->scratch != NULL)
    evbuffer_free (conn->scratch);
  free (conn->parser);
  conn->http->connections--;
  conn->pool->open_count--;
  pool_release (conn->http, conn->pool);
  free (conn);
}

static void
pool_put (struct upstream_http_conn *conn)
{
  if (conn->pool->removed)
    {
      conn_free (conn);
      return;
    }
  /* Leaving writes enabled would cost two epoll_ctl calls per request. */
  bufferevent_disable (conn->bev, EV_WRITE);
  conn->idle_since_ns = clock_now_ns (conn->http->config.clock);
  DL_PREPEND (conn->pool->idle, conn);
}

/* Requests. */

static int
write_request (struct evbuffer *out, const struct upstream_dialect *dialect,
               const struct upstream_request *request)
{
  size_t i;
  int error;

  error = evbuffer_add_printf (
      out, "%s %s HTTP/1.1\r\nHost: %s\r\nContent-Length: %zu\r\n%s: %s\r\n",
      request->method, request->path,
      request->host != NULL ? request->host : request->address,
      request->body_size, dialect->id_header, request->request_id);
  if (error < 0)
    return ERR_NO_MEMORY;
  if (request->resume_after > 0)
    evbuffer_add_printf (out, "%s: %llu\r\n", dialect->resume_header,
                         (unsigned long long)request->resume_after);
  for (i = 0; i < request->header_count; i++)
    evbuffer_add_printf (out, "%s: %s\r\n", request->headers[i].name,
                         request->headers[i].value);
  error = evbuffer_add (out, "\r\n", 2);
  if (error == 0 && request->body_size > 0)
    error = evbuffer_add_reference (out, request->body, request->body_size,
                                    NULL, NULL);
  return error == 0 ? 0 : ERR_NO_MEMORY;
}

/* Reports the first and the last byte that the kernel accepts.  The verdict on
   a failed attempt depends on them. */
static void
on_output (struct evbuffer *buffer, const struct evbuffer_cb_info *info,
           void *arg)
{
  struct upstream_http_conn *conn = arg;
  struct upstream_attempt *attempt = conn->attempt;

  if (info->n_deleted == 0 || attempt == NULL)
    return;
  if (!attempt->sending)
    {
      attempt->sending = true;
      attempt->events->sending (attempt->user);
    }
  if (!attempt->sent && evbuffer_get_length (buffer) == 0)
    {
      attempt->sent = true;
      attempt->events->sent (attempt->user);
    }
}

/* Responses. */

static void
on_read (struct bufferevent *bev, void *arg)
{
  struct upstream_http_conn *conn = arg;

  (void)bev;
  if (conn->attempt == NULL)
    conn_free (conn);
  else if (!conn->attempt->paused)
    read_response (conn);
}

static void
read_response (struct upstream_http_conn *conn)
{
  struct evbuffer *input = bufferevent_get_input (conn->bev);
  struct response *response = &conn->attempt->response;
  size_t size = evbuffer_get_length (input);
  size_t used;

  if (size == 0)
    return;
  used = upstream_http_response_parse (
      conn, (char *)evbuffer_pullup (input, -1), size);
  if (conn->free_pending)
    {
      conn->parsing = false;
      conn_free (conn);
      return;
    }
  evbuffer_drain (input, used);
  if (response->error != 0)
    attempt_end (conn, response->error);
  else if (response->complete)
    {
      /* The response came before the complete request was sent, or there were
         unexpected bytes before or after it. */
      if (!conn->attempt->sent || used < size
          || conn->attempt->foreign_count > 0)
        conn->reusable = false;
      attempt_end (conn, 0);
    }
}

/* Whether connecting has ended, also in a failure. */
static bool
has_connected (evutil_socket_t fd)
{
  struct pollfd connection = { .fd = fd, .events = POLLOUT };

  return poll (&connection, 1, 0) > 0;
}

/* An upstream that closes its connection before it has got the whole request
   may have ended within its response: the reset follows when the rest of the
   request arrives there. */
static bool
request_received (const struct upstream_http_conn *conn)
{
  int unacknowledged = 0;

  return conn->attempt->sent
         && (ioctl (bufferevent_getfd (conn->bev), SIOCOUTQ, &unacknowledged)
                 != 0
             || unacknowledged == 0);
}

static void
on_event (struct bufferevent *bev, short what, void *arg)
{
  struct upstream_http_conn *conn = arg;
  int one = 1;

  if ((what & BEV_EVENT_CONNECTED) != 0)
    {
      conn->connected = true;
      setsockopt (bufferevent_getfd (bev), IPPROTO_TCP, TCP_NODELAY, &one,
                  sizeof (one));
      if (conn->http->config.dead_peer_ms > 0)
        sock_set_keepalive (bufferevent_getfd (bev),
                            conn->http->config.dead_peer_ms);
      bufferevent_set_timeouts (bev, NULL, NULL);
      return;
    }
  if (conn->attempt == NULL)
    {
      conn_free (conn);
      return;
    }
  /* The loop is late, and learns the result of connecting next. */
  if (!conn->connected && (what & BEV_EVENT_TIMEOUT) != 0
      && has_connected (bufferevent_getfd (bev)))
    {
      bufferevent_enable (bev, EV_READ | EV_WRITE);
      return;
    }
  if (conn->connected && (what & BEV_EVENT_WRITING) != 0)
    {
      /* The write has taken the error of the socket, so a read does not see
         it. */
      conn->write_failed = true;
      bufferevent_disable (bev, EV_WRITE);
      /* An early response may follow. */
      if ((what & BEV_EVENT_READING) == 0)
        return;
    }
  if (!conn->connected)
    attempt_end (conn,
                 (what & BEV_EVENT_TIMEOUT) != 0 ? ERR_TIMEOUT : ERR_REFUSED);
  else if ((what & BEV_EVENT_EOF) != 0 && !conn->write_failed
           && conn->attempt->response.close_delimited
           && request_received (conn))
    {
      conn->reusable = false;
      attempt_end (conn, 0);
    }
  else if (conn->attempt->response.head_delivered)
    attempt_end (conn, ERR_TRUNCATED);
  else
    attempt_end (conn,
                 conn->attempt->foreign_count > 0 ? ERR_MISMATCH : ERR_RESET);
}
