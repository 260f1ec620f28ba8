/**
 * @file kvhttp_call.c
 * HTTP exchanges with the store.  Each has a connection of its own, so that a
 * connection which fails before any byte was handed to it proves that the
 * call had no effect.
 */
#include "protocol/platform_http.h"
#include "state/err.h"
#include "transport/kvhttp_int.h"
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/keyvalq_struct.h>
#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#define US_PER_CALL 1000000ULL /* tokens that a call costs */

static int open_connection (struct kvhttp_call *call, uint32_t timeout_ms);
static void on_output (struct evbuffer *buffer,
                       const struct evbuffer_cb_info *info, void *arg);
static void on_response (struct evhttp_request *request, void *arg);
static void on_error (enum evhttp_request_error error, void *arg);
static void end (struct kvhttp_call *call, int error, int status,
                 uint64_t index, const char *body, size_t size);
static void release (struct kvhttp_call *call);
static void destroy (struct kvhttp_call *call);

int
kvhttp_admit (struct kvhttp *store)
{
  uint64_t now_ns = clock_now_ns (store->config.clock);
  uint64_t rate = store->config.calls_per_second_max;
  uint64_t added = (now_ns - store->filled_ns) / 1000 * rate;

  store->filled_ns = now_ns;
  store->tokens_us += added;
  if (store->tokens_us > rate * US_PER_CALL)
    store->tokens_us = rate * US_PER_CALL;
  if (store->tokens_us < US_PER_CALL)
    {
      store->platform.counters.rate_limited++;
      return ERR_RATE_LIMITED;
    }
  store->tokens_us -= US_PER_CALL;
  return 0;
}

struct kvhttp_call *
kvhttp_call_new (struct kvhttp *store)
{
  struct kvhttp_call *call = calloc (1, sizeof *call);

  if (call == NULL)
    return NULL;
  call->store = store;
  DL_APPEND (store->calls, call);
  return call;
}

int
kvhttp_call_start (struct kvhttp_call *call, enum evhttp_cmd_type method,
                   const char *path, const char *body, size_t size,
                   uint32_t timeout_ms)
{
  struct evhttp_request *request = NULL;
  struct evkeyvalq *headers;
  int error = open_connection (call, timeout_ms);

  if (error == 0)
    request = evhttp_request_new (on_response, call);
  if (request == NULL)
    {
      release (call);
      return ERR_NO_MEMORY;
    }
  evhttp_request_set_error_cb (request, on_error);
  headers = evhttp_request_get_output_headers (request);
  if (evhttp_add_header (headers, "Host", call->store->config.address) != 0
      || evhttp_add_header (headers, "Connection", "close") != 0
      || (body != NULL
          && evbuffer_add (evhttp_request_get_output_buffer (request), body,
                           size)
                 != 0))
    {
      evhttp_request_free (request);
      release (call);
      return ERR_NO_MEMORY;
    }
  if (evhttp_make_request (call->connection, request, method, path) == 0)
    return 0;
  /* evhttp has released the request. */
  if (!call->done)
    release (call);
  return ERR_UNAVAILABLE;
}

static int
open_connection (struct kvhttp_call *call, uint32_t timeout_ms)
{
  struct kvhttp *store = call->store;
  const struct timeval timeout
      = { timeout_ms / 1000, (suseconds_t)(timeout_ms % 1000) * 1000 };
  struct evbuffer *output;

  call->connection = evhttp_connection_base_new (store->config.base, NULL,
                                                 store->host, store->port);
  if (call->connection == NULL)
    return ERR_NO_MEMORY;
  evhttp_connection_set_timeout_tv (call->connection, &timeout);
  evhttp_connection_set_retries (call->connection, 0);
  evhttp_connection_set_max_body_size (call->connection, KVHTTP_LISTING_MAX);
  output = bufferevent_get_output (
      evhttp_connection_get_bufferevent (call->connection));
  return evbuffer_add_cb (output, on_output, call) == NULL ? ERR_NO_MEMORY : 0;
}

static void
on_output (struct evbuffer *buffer, const struct evbuffer_cb_info *info,
           void *arg)
{
  struct kvhttp_call *call = arg;

  (void)buffer;
  if (info->n_added > 0)
    call->sent = true;
}

static void
on_error (enum evhttp_request_error error, void *arg)
{
  struct kvhttp_call *call = arg;

  if (!call->sent)
    end (call, ERR_UNAVAILABLE, 0, 0, NULL, 0);
  else if (error == EVREQ_HTTP_TIMEOUT)
    end (call, ERR_TIMEOUT, 0, 0, NULL, 0);
  else
    end (call, ERR_RESET, 0, 0, NULL, 0);
}

static void
on_response (struct evhttp_request *request, void *arg)
{
  struct kvhttp_call *call = arg;
  struct evbuffer *body;
  const char *index;
  size_t size;

  if (call->done)
    return;
  if (request == NULL || evhttp_request_get_response_code (request) == 0)
    {
      end (call, call->sent ? ERR_RESET : ERR_UNAVAILABLE, 0, 0, NULL, 0);
      return;
    }
  index = evhttp_find_header (evhttp_request_get_input_headers (request),
                              PLATFORM_HTTP_INDEX);
  body = evhttp_request_get_input_buffer (request);
  size = evbuffer_get_length (body);
  end (call, 0, evhttp_request_get_response_code (request),
       index == NULL ? 0 : strtoull (index, NULL, 10),
       size == 0 ? "" : (const char *)evbuffer_pullup (body, -1), size);
}

/* The connection cannot be released from within its own callbacks. */
static void
end (struct kvhttp_call *call, int error, int status, uint64_t index,
     const char *body, size_t size)
{
  struct kvhttp *store = call->store;

  if (call->done)
    return;
  call->done = true;
  if (error != 0 || status / 100 == 5)
    store->platform.counters.failures++;
  event_active (store->reap, EV_TIMEOUT, 0);
  call->finished (call, error, status, index, body, size);
}

void
kvhttp_call_reap (evutil_socket_t fd, short events, void *arg)
{
  struct kvhttp *store = arg;
  struct kvhttp_call *call = store->calls;

  (void)fd;
  (void)events;
  while (call != NULL)
    {
      struct kvhttp_call *next = call->next;

      if (call->done)
        release (call);
      call = next;
    }
}

void
kvhttp_call_drop_all (struct kvhttp *store)
{
  struct kvhttp_call *call = store->calls;
  struct kvhttp_call *next;

  store->calls = NULL;
  for (; call != NULL; call = next)
    {
      next = call->next;
      destroy (call);
    }
}

static void
release (struct kvhttp_call *call)
{
  DL_DELETE (call->store->calls, call);
  destroy (call);
}

static void
destroy (struct kvhttp_call *call)
{
  call->done = true; /* no callback from here on */
  if (call->connection != NULL)
    evhttp_connection_free (call->connection);
  free (call);
}
