/**
 * @file store.c
 * Stand-in for the platform's key-value store, with a Consul-style HTTP
 * interface: /v1/kv/KEY and /v1/session/.
 */
#include "standin/interval.h"
#include "standin/store_int.h"
#include <event2/buffer.h>
#include <event2/keyvalq_struct.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#define KV_PREFIX        "/v1/kv/"
#define SESSION_PREFIX   "/v1/session/"
#define SESSION_TICK_MS  50     /**< interval of session expiry checks */
#define SESSION_TTL_MS   15000  /**< default TTL of a session */
#define WATCH_DEFAULT_MS 300000 /**< default timeout of a watch */

static void on_request (struct server_listener *listener,
                        struct evhttp_request *request);
static void on_fault (struct server_listener *listener);
static void add_stats (struct server *server, json_t *stats);
static void on_delay_timer (evutil_socket_t fd, short events, void *user);
static void on_watch_timeout (evutil_socket_t fd, short events, void *user);
static void on_session_tick (evutil_socket_t fd, short events, void *user);
static void on_abort (void *user);
static void serve (struct store_call *call);
static void serve_kv (struct store_call *call, const char *path,
                      struct evkeyvalq *query);
static void serve_read (struct store_call *call, struct evkeyvalq *query);
static bool write_key (struct store_call *call, struct evkeyvalq *query);
static void serve_session (struct store_call *call, const char *path);
static void create_session (struct store_call *call);
static void start_watch (struct store_call *call, struct evkeyvalq *query);
static void wake_watches (struct server *server);
static void reply_list (struct store_call *call);
static void reply (struct store_call *call, int status, const char *text);
static void free_call (struct store_call *call);
static uint64_t parse_ms (const char *text, uint64_t fallback_ms);

static const struct server_handler handler
    = { on_request, on_fault, add_stats };

int
store_init (struct server *server, const struct standin_options *options)
{
  const struct timeval interval = interval_ms (SESSION_TICK_MS);
  struct store *store;

  if (server_init (server, options->listen, options->workers, options->control,
                   options->slots, &handler)
      != 0)
    return -1;
  store = calloc (1, sizeof (*store));
  server->data = store;
  store->session_timer
      = event_new (server->base, -1, EV_PERSIST, on_session_tick, server);
  return event_add (store->session_timer, &interval);
}

void
store_finish (struct server *server)
{
  struct store *store = server->data;

  event_free (store->session_timer);
  while (store->watches != NULL)
    {
      struct store_call *call = store->watches;

      DL_DELETE (store->watches, call);
      event_free (call->timer);
      evhttp_connection_set_closecb (call->exchange.connection, NULL, NULL);
      free (call);
    }
  while (store->sessions != NULL)
    store_session_destroy (store, store->sessions->id);
  store_table_clear (&store->table);
  store_table_clear (&store->snapshot);
  free (store);
  server_finish (server);
}

static void
on_request (struct server_listener *listener, struct evhttp_request *request)
{
  struct store_call *call = calloc (1, sizeof (*call));
  const struct fault *fault = &call->exchange.fault;
  struct timeval delay;

  call->server = listener->server;
  exchange_init (&call->exchange, listener->server->base, request,
                 fault_take (&listener->fault), on_abort, call);
  if (fault->kind == FAULT_DOWN)
    {
      reply (call, HTTP_INTERNAL, "down");
      return;
    }
  if (fault->kind != FAULT_SLOW && fault->kind != FAULT_DELAY)
    {
      serve (call);
      return;
    }
  delay = interval_ms (fault->value);
  call->timer = evtimer_new (listener->server->base, on_delay_timer, call);
  evtimer_add (call->timer, &delay);
}

/* Snapshots are saved and restored when the fault is set. */
static void
on_fault (struct server_listener *listener)
{
  struct store *store = listener->server->data;

  if (listener->fault.kind == FAULT_SNAPSHOT)
    store_table_copy (&store->snapshot, &store->table);
  else if (listener->fault.kind == FAULT_RESTORE)
    {
      store_table_copy (&store->table, &store->snapshot);
      wake_watches (listener->server);
    }
}

static void
add_stats (struct server *server, json_t *stats)
{
  const struct store *store = server->data;

  json_object_set_new (stats, "index",
                       json_integer ((json_int_t)store->table.index));
  json_object_set_new (stats, "reads",
                       json_integer ((json_int_t)store->reads));
  json_object_set_new (stats, "writes",
                       json_integer ((json_int_t)store->writes));
  json_object_set_new (stats, "watches",
                       json_integer ((json_int_t)store->watch_calls));
}

static void
on_delay_timer (evutil_socket_t fd, short events, void *user)
{
  struct store_call *call = user;

  (void)fd;
  (void)events;
  event_free (call->timer);
  call->timer = NULL;
  serve (call);
}

static void
on_watch_timeout (evutil_socket_t fd, short events, void *user)
{
  (void)fd;
  (void)events;
  reply_list (user);
}

static void
on_session_tick (evutil_socket_t fd, short events, void *user)
{
  struct server *server = user;

  (void)fd;
  (void)events;
  if (store_session_expire (server->data) > 0)
    wake_watches (server);
}

static void
on_abort (void *user)
{
  free_call (user);
}

static void
serve (struct store_call *call)
{
  const char *uri = evhttp_request_get_uri (call->exchange.request);
  char *path
      = evhttp_uridecode (evhttp_uri_get_path (evhttp_request_get_evhttp_uri (
                              call->exchange.request)),
                          0, NULL);
  struct evkeyvalq query;

  call->server->record.requests++;
  evhttp_parse_query (uri, &query);
  if (strncmp (path, KV_PREFIX, strlen (KV_PREFIX)) == 0)
    serve_kv (call, path + strlen (KV_PREFIX), &query);
  else if (strncmp (path, SESSION_PREFIX, strlen (SESSION_PREFIX)) == 0)
    serve_session (call, path + strlen (SESSION_PREFIX));
  else
    reply (call, HTTP_NOTFOUND, "no such path");
  evhttp_clear_headers (&query);
  free (path);
}

static void
serve_kv (struct store_call *call, const char *path, struct evkeyvalq *query)
{
  struct store *store = call->server->data;
  struct server *server = call->server;
  const char *recurse = evhttp_find_header (query, "recurse");
  bool applied;

  snprintf (call->key, sizeof (call->key), "%s", path);
  call->recurse = recurse != NULL && strcmp (recurse, "false") != 0;
  if (evhttp_request_get_command (call->exchange.request) == EVHTTP_REQ_GET)
    {
      serve_read (call, query);
      return;
    }
  if (evbuffer_get_length (
          evhttp_request_get_input_buffer (call->exchange.request))
      > STORE_VALUE_MAX)
    {
      reply (call, HTTP_ENTITYTOOLARGE, "value too large");
      return;
    }
  store->writes++;
  applied = write_key (call, query);
  /* The connection is reset after the change took effect. */
  if (call->exchange.fault.kind == FAULT_LOSE_RESPONSE)
    call->exchange.fault = (struct fault){ FAULT_RESET, 1, 0 };
  reply (call, HTTP_OK, applied ? "true" : "false");
  if (applied)
    wake_watches (server);
}

static void
serve_read (struct store_call *call, struct evkeyvalq *query)
{
  struct store *store = call->server->data;
  const char *index = evhttp_find_header (query, "index");

  store->reads++;
  call->since = index == NULL ? 0 : strtoull (index, NULL, 10);
  if (index != NULL && call->since > 0
      && store_table_index (&store->table, call->key, call->recurse)
             <= call->since)
    start_watch (call, query);
  else
    reply_list (call);
}

static bool
write_key (struct store_call *call, struct evkeyvalq *query)
{
  struct store *store = call->server->data;
  struct evhttp_request *request = call->exchange.request;
  struct evbuffer *body = evhttp_request_get_input_buffer (request);
  const struct store_item *item = store_table_find (&store->table, call->key);
  const char *cas = evhttp_find_header (query, "cas");
  const char *acquire = evhttp_find_header (query, "acquire");
  const char *release = evhttp_find_header (query, "release");
  size_t size = evbuffer_get_length (body);
  const void *value
      = size == 0 ? "" : (const void *)evbuffer_pullup (body, -1);
  uint64_t present = item == NULL || item->deleted ? 0 : item->index;

  if (cas != NULL && strtoull (cas, NULL, 10) != present)
    return false;
  if (acquire != NULL)
    return store_session_acquire (store, call->key, acquire, value, size);
  if (release != NULL)
    return store_session_release (store, call->key, release);
  if (evhttp_request_get_command (request) != EVHTTP_REQ_DELETE)
    store_table_write (&store->table, call->key, value, size);
  else if (present != 0)
    store_table_write (&store->table, call->key, NULL, 0);
  return true;
}

static void
serve_session (struct store_call *call, const char *path)
{
  struct store *store = call->server->data;
  const char *id = strchr (path, '/');

  store->writes++;
  if (strcmp (path, "create") == 0)
    create_session (call);
  else if (id != NULL && strncmp (path, "renew/", 6) == 0)
    {
      if (store_session_renew (store, id + 1) == 0)
        reply (call, HTTP_OK, "true");
      else
        reply (call, HTTP_NOTFOUND, "no such session");
    }
  else if (id != NULL && strncmp (path, "destroy/", 8) == 0)
    {
      store_session_destroy (store, id + 1);
      wake_watches (call->server);
      reply (call, HTTP_OK, "true");
    }
  else
    reply (call, HTTP_NOTFOUND, "no such path");
}

static void
create_session (struct store_call *call)
{
  struct evbuffer *body
      = evhttp_request_get_input_buffer (call->exchange.request);
  json_t *json = json_loadb ((const char *)evbuffer_pullup (body, -1),
                             evbuffer_get_length (body), 0, NULL);
  const char *ttl = json_string_value (json_object_get (json, "TTL"));
  const struct store_session *session
      = store_session_add (call->server->data, parse_ms (ttl, SESSION_TTL_MS));
  char text[STORE_SESSION_SIZE + 16];

  json_decref (json);
  snprintf (text, sizeof (text), "{\"ID\":\"%s\"}", session->id);
  reply (call, HTTP_OK, text);
}

static void
start_watch (struct store_call *call, struct evkeyvalq *query)
{
  struct store *store = call->server->data;
  const struct timeval wait = interval_ms (
      parse_ms (evhttp_find_header (query, "wait"), WATCH_DEFAULT_MS));

  store->watch_calls++;
  call->watching = true;
  DL_APPEND (store->watches, call);
  call->timer = evtimer_new (call->server->base, on_watch_timeout, call);
  evtimer_add (call->timer, &wait);
}

/* A restored snapshot may lower the index; this ends a watch too. */
static void
wake_watches (struct server *server)
{
  struct store *store = server->data;
  struct store_call *call;
  struct store_call *next;

  for (call = store->watches; call != NULL; call = next)
    {
      next = call->next;
      if (store_table_index (&store->table, call->key, call->recurse)
              > call->since
          || store->table.index < call->since)
        reply_list (call);
    }
}

static void
reply_list (struct store_call *call)
{
  struct store *store = call->server->data;
  json_t *list = store_table_list (&store->table, call->key, call->recurse);
  char *text = json_dumps (list, JSON_COMPACT);
  bool found = json_array_size (list) > 0;

  reply (call, found ? HTTP_OK : HTTP_NOTFOUND, found ? text : "");
  free (text);
  json_decref (list);
}

static void
reply (struct store_call *call, int status, const char *text)
{
  const struct store *store = call->server->data;
  struct evbuffer *body = evbuffer_new ();
  char index[32];

  snprintf (index, sizeof (index), "%" PRIu64, store->table.index);
  exchange_add_header (&call->exchange, "X-Index", index);
  evbuffer_add (body, text, strlen (text));
  exchange_reply (&call->exchange, status, "application/json", body);
  evbuffer_free (body);
  if (call->exchange.request == NULL)
    free_call (call);
}

static void
free_call (struct store_call *call)
{
  struct store *store = call->server->data;

  if (call->watching)
    DL_DELETE (store->watches, call);
  if (call->timer != NULL)
    event_free (call->timer);
  free (call);
}

/* Parses "250ms", "15s", "5m" or a number of seconds without a unit. */
static uint64_t
parse_ms (const char *text, uint64_t fallback_ms)
{
  char *end;
  uint64_t number;

  if (text == NULL)
    return fallback_ms;
  number = strtoull (text, &end, 10);
  if (end == text)
    return fallback_ms;
  if (strcmp (end, "ms") == 0)
    return number;
  return strcmp (end, "m") == 0 ? number * 60000 : number * 1000;
}
