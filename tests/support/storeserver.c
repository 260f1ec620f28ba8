/**
 * @file storeserver.c
 * HTTP server for the platform's key-value store in tests.
 */
#include "support/storeserver.h"
#include "protocol/base64.h"
#include <event2/buffer.h>
#include <event2/keyvalq_struct.h>
#include <inttypes.h>
#include <jansson.h>
#include <netinet/in.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/queue.h>
#include <sys/socket.h>
#include <utlist.h>

#define NUMBER_SIZE 160 /* bytes */
#define NUMBER_MARK "number:"
#define OWN_DIGITS  19
#define EDITED_SIZE 256

struct storeserver_item
{
  char key[200];
  char *value; /* NULL when deleted; followed by a NUL */
  size_t value_size;
  char *members; /* JSON object that replaces members in responses, or NULL */
  uint64_t revision;
  uint64_t lease;
  struct storeserver_item *prev;
  struct storeserver_item *next;
};

struct storeserver_watch
{
  struct storeserver *store;
  struct evhttp_request *request;
  struct event *timer;
  char prefix[200];
  uint64_t after;
  struct storeserver_watch *prev;
  struct storeserver_watch *next;
};

static void on_request (struct evhttp_request *request, void *user);
static void serve_list (struct storeserver *store,
                        struct evhttp_request *request,
                        const struct evkeyvalq *query);
static void serve_watch (struct storeserver *store,
                         struct evhttp_request *request,
                         const struct evkeyvalq *query);
static void serve_txn (struct storeserver *store,
                       struct evhttp_request *request);
static void serve_keep_alive (struct storeserver *store,
                              struct evhttp_request *request,
                              const char *lease);
static bool answer_watch (struct storeserver_watch *watch, bool timeout);
static void end_watch (struct storeserver_watch *watch);
static void on_timeout (evutil_socket_t fd, short what, void *user);
static void on_close (struct evhttp_connection *connection, void *user);
static void send_response (struct storeserver *store,
                           struct evhttp_request *request, int status,
                           json_t *body);
static json_t *make_padding (bool is_long);
static json_t *encode_item (const struct storeserver *store,
                            const struct storeserver_item *item);
static json_t *encode_at (const struct storeserver *store);
static json_t *encode_revision (const struct storeserver *store,
                                uint64_t revision);
static void unquote_numbers (char *text);
static void write_number (char *out, const char *lead, uint64_t number);
static uint64_t read_revision (const struct storeserver *store,
                               const char *text);
static struct storeserver_item *find_item (const struct storeserver *store,
                                           const char *key);
static struct storeserver_item *add_item (struct storeserver *store,
                                          const char *key);
static void write_item (struct storeserver *store, const char *key,
                        const char *value, size_t value_size, uint64_t lease);
static void answer_watches (struct storeserver *store);
static void close_watches (struct storeserver *store);
static void free_items (struct storeserver_item *item);

void
storeserver_init (struct storeserver *store, struct event_base *base)
{
  struct evhttp_bound_socket *bound;
  struct sockaddr_in address = { .sin_port = 0 };
  socklen_t size = sizeof address;

  memset (store, 0, sizeof *store);
  store->base = base;
  store->revision = 10;
  store->http = evhttp_new (base);
  bound = evhttp_bind_socket_with_handle (store->http, "127.0.0.1", 0);
  getsockname (evhttp_bound_socket_get_fd (bound), (struct sockaddr *)&address,
               &size);
  store->port = ntohs (address.sin_port);
  evhttp_set_gencb (store->http, on_request, store);
}

void
storeserver_finish (struct storeserver *store)
{
  /* Closing the connections also ends their watches. */
  evhttp_free (store->http);
  free_items (store->items);
  free_items (store->saved_items);
}

static void
free_items (struct storeserver_item *item)
{
  struct storeserver_item *next;

  for (; item != NULL; item = next)
    {
      next = item->next;
      free (item->value);
      free (item->members);
      free (item);
    }
}

static void
on_request (struct evhttp_request *request, void *user)
{
  struct storeserver *store = user;
  struct evhttp_connection *connection
      = evhttp_request_get_connection (request);
  const struct evhttp_uri *uri = evhttp_request_get_evhttp_uri (request);
  const char *path = evhttp_uri_get_path (uri);
  struct evkeyvalq query;

  if (store->silent)
    return;
  if (store->fault == STORESERVER_FAULT_503
      || store->fault == STORESERVER_FAULT_429)
    {
      evhttp_send_reply (request,
                         store->fault == STORESERVER_FAULT_503 ? 503 : 429,
                         "no", NULL);
      return;
    }
  if (store->fault == STORESERVER_FAULT_CLOSE)
    {
      evhttp_connection_free (connection);
      return;
    }
  TAILQ_INIT (&query);
  if (evhttp_uri_get_query (uri) != NULL)
    evhttp_parse_query_str (evhttp_uri_get_query (uri), &query);
  if (strcmp (path, "/kv-range") == 0)
    serve_list (store, request, &query);
  else if (strcmp (path, "/kv-watch") == 0)
    serve_watch (store, request, &query);
  else if (strcmp (path, "/kv-txn") == 0)
    serve_txn (store, request);
  else if (strcmp (path, "/kv-lease") == 0)
    send_response (store, request, 200,
                   json_pack ("{s:I,s:i}", "lease",
                              (json_int_t)++store->last_lease_id, "ttl_ms",
                              9000));
  else if (strncmp (path, "/kv-keep/", 9) == 0)
    serve_keep_alive (store, request, path + 9);
  else
    send_response (store, request, 404, json_object ());
  evhttp_clear_headers (&query);
}

static void
serve_keep_alive (struct storeserver *store, struct evhttp_request *request,
                  const char *lease)
{
  bool ended = strtoull (lease, NULL, 10) <= store->last_ended_lease_id;

  send_response (store, request, ended ? 404 : 200,
                 json_pack ("{s:i}", "ttl_ms", 9000));
}

static void
send_response (struct storeserver *store, struct evhttp_request *request,
               int status, json_t *body)
{
  struct evbuffer *out = evbuffer_new ();
  char *text = json_dumps (body, JSON_COMPACT);
  char era[NUMBER_SIZE];

  unquote_numbers (text);
  evbuffer_add (
      out, store->fault == STORESERVER_FAULT_INVALID_JSON ? "{]" : text,
      store->fault == STORESERVER_FAULT_INVALID_JSON ? 2 : strlen (text));
  evhttp_add_header (evhttp_request_get_output_headers (request),
                     "Content-Type", "application/json");
  write_number (era, store->era_lead, store->era);
  if (store->odd_era != NULL)
    snprintf (era, sizeof era, "%s", store->odd_era);
  if (store->era != 0 || store->era_lead != NULL || store->odd_era != NULL)
    evhttp_add_header (evhttp_request_get_output_headers (request),
                       "Store-Era", era);
  if (store->chunked && evbuffer_get_length (out) > STORESERVER_LONG_BYTES)
    {
      evhttp_send_reply_start (request, status, "status");
      evhttp_send_reply_chunk (request, out);
      evhttp_send_reply_end (request);
    }
  else
    evhttp_send_reply (request, status, "status", out);
  evbuffer_free (out);
  free (text);
  json_decref (body);
}

/* A number of any size: the JSON library has 64 bits with a sign. */
static json_t *
encode_revision (const struct storeserver *store, uint64_t revision)
{
  char text[NUMBER_SIZE] = NUMBER_MARK;

  write_number (text + strlen (NUMBER_MARK), store->revision_lead, revision);
  return json_string (text);
}

static json_t *
encode_at (const struct storeserver *store)
{
  char text[NUMBER_SIZE];

  if (store->odd_revision == NULL)
    return encode_revision (store, store->revision);
  snprintf (text, sizeof text, NUMBER_MARK "%s", store->odd_revision);
  return json_string (text);
}

static void
write_number (char *out, const char *lead, uint64_t number)
{
  if (lead == NULL)
    sprintf (out, "%" PRIu64, number);
  else
    sprintf (out, "%s%0*" PRIu64, lead, OWN_DIGITS, number);
}

static uint64_t
read_revision (const struct storeserver *store, const char *text)
{
  const size_t lead
      = store->revision_lead == NULL ? 0 : strlen (store->revision_lead);

  return strlen (text) < lead ? 0 : strtoull (text + lead, NULL, 10);
}

/* Takes the quotes from the strings that begin with the mark. */
static void
unquote_numbers (char *text)
{
  static const char begin[] = "\"" NUMBER_MARK;
  char *from;
  char *end;

  while ((from = strstr (text, begin)) != NULL)
    {
      end = strchr (from + 1, '"');
      memmove (from, from + strlen (begin),
               (size_t)(end - from) - strlen (begin));
      memmove (end - strlen (begin), end + 1, strlen (end + 1) + 1);
    }
}

static json_t *
make_padding (bool is_long)
{
  const size_t size = is_long ? STORESERVER_LONG_BYTES : 0;
  char *text = calloc (1, size + 1);
  json_t *padding;

  memset (text, 'x', size);
  padding = json_stringn (text, size);
  free (text);
  return padding;
}

static json_t *
encode_item (const struct storeserver *store,
             const struct storeserver_item *item)
{
  char *value;
  json_t *json;

  if (item->value == NULL)
    return json_pack ("{s:s,s:o,s:b}", "key", item->key, "revision",
                      encode_revision (store, item->revision), "deleted", 1);
  value = base64_encode (item->value, item->value_size);
  json = json_pack ("{s:s,s:s,s:o,s:o,s:I}", "key", item->key, "value", value,
                    "revision", encode_revision (store, item->revision),
                    "created", encode_revision (store, item->revision),
                    "lease", (json_int_t)item->lease);
  free (value);
  if (item->members != NULL)
    {
      json_t *members = json_loads (item->members, JSON_ALLOW_NUL, NULL);

      json_object_update (json, members);
      json_decref (members);
    }
  return json;
}

static void
serve_list (struct storeserver *store, struct evhttp_request *request,
            const struct evkeyvalq *query)
{
  const char *prefix = evhttp_find_header (query, "prefix");
  const char *after = evhttp_find_header (query, "after");
  json_t *entries = json_array ();
  const struct storeserver_item *item;
  bool more = false;

  store->list_calls++;
  for (item = store->items; item != NULL; item = item->next)
    {
      if (item->value == NULL
          || strncmp (item->key, prefix, strlen (prefix)) != 0
          || (after != NULL && strcmp (item->key, after) <= 0))
        continue;
      if (json_array_size (entries) == STORESERVER_PAGE_ITEMS)
        {
          more = true;
          break;
        }
      json_array_append_new (entries, encode_item (store, item));
    }
  send_response (store, request, 200,
                 json_pack ("{s:o,s:b,s:o}", "entries", entries, "has_more",
                            more, "at", encode_at (store)));
}

static void
serve_watch (struct storeserver *store, struct evhttp_request *request,
             const struct evkeyvalq *query)
{
  struct storeserver_watch *watch = calloc (1, sizeof *watch);
  uint64_t wait_ms
      = strtoull (evhttp_find_header (query, "wait_ms"), NULL, 10);
  const struct timeval delay
      = { (time_t)(wait_ms / 1000), (suseconds_t)(wait_ms % 1000) * 1000 };

  store->watch_calls++;
  watch->store = store;
  watch->request = request;
  watch->after = read_revision (store, evhttp_find_header (query, "after"));
  snprintf (watch->prefix, sizeof watch->prefix, "%s",
            evhttp_find_header (query, "prefix"));
  watch->timer = event_new (store->base, -1, 0, on_timeout, watch);
  event_add (watch->timer, &delay);
  evhttp_connection_set_closecb (evhttp_request_get_connection (request),
                                 on_close, watch);
  DL_APPEND (store->watches, watch);
  if (watch->after < store->oldest_revision || watch->after > store->revision)
    {
      evhttp_connection_set_closecb (evhttp_request_get_connection (request),
                                     NULL, NULL);
      send_response (store, request, 410, json_object ());
      end_watch (watch);
      return;
    }
  answer_watch (watch, false);
}

/* Answers a watch if there are events or its time is up. */
static bool
answer_watch (struct storeserver_watch *watch, bool timeout)
{
  struct storeserver *store = watch->store;
  json_t *events = json_array ();
  const struct storeserver_item *item;

  for (item = store->items; item != NULL; item = item->next)
    if (item->revision > watch->after
        && strncmp (item->key, watch->prefix, strlen (watch->prefix)) == 0)
      json_array_append_new (events, encode_item (store, item));
  if (json_array_size (events) == 0 && !timeout)
    {
      json_decref (events);
      return false;
    }
  evhttp_connection_set_closecb (
      evhttp_request_get_connection (watch->request), NULL, NULL);
  if (store->silent)
    json_decref (events);
  else
    send_response (
        store, watch->request, 200,
        json_pack ("{s:o,s:o,s:o}", "events", events, "at", encode_at (store),
                   "padding",
                   make_padding (watch->after < store->long_before_revision)));
  end_watch (watch);
  return true;
}

static void
end_watch (struct storeserver_watch *watch)
{
  DL_DELETE (watch->store->watches, watch);
  event_free (watch->timer);
  free (watch);
}

static void
on_timeout (evutil_socket_t fd, short what, void *user)
{
  (void)fd;
  (void)what;
  answer_watch (user, true);
}

static void
on_close (struct evhttp_connection *connection, void *user)
{
  (void)connection;
  end_watch (user);
}

/* Whether all keys have the revisions that a transaction expects. */
static bool
conditions_hold (const struct storeserver *store, const json_t *expected)
{
  const struct storeserver_item *item;
  const json_t *condition;
  uint64_t revision;
  size_t i;

  json_array_foreach (expected, i, condition)
  {
    item = find_item (store,
                      json_string_value (json_object_get (condition, "key")));
    revision = item == NULL || item->value == NULL ? 0 : item->revision;
    if (revision
        != (uint64_t)json_integer_value (
            json_object_get (condition, "revision")))
      return false;
  }
  return true;
}

static void
serve_txn (struct storeserver *store, struct evhttp_request *request)
{
  struct evbuffer *input = evhttp_request_get_input_buffer (request);
  size_t size = evbuffer_get_length (input);
  json_t *root
      = json_loadb ((const char *)evbuffer_pullup (input, -1), size, 0, NULL);
  const json_t *puts = json_object_get (root, "puts");
  const json_t *remove = json_object_get (root, "remove");
  const json_t *put;
  const json_t *key;
  size_t i;

  store->txn_calls++;
  if (!conditions_hold (store, json_object_get (root, "expected_revision")))
    {
      json_decref (root);
      send_response (store, request, 412, json_pack ("{s:[]}", "entries"));
      return;
    }
  json_array_foreach (puts, i, put)
  {
    const char *put_key = json_string_value (json_object_get (put, "key"));
    char edited[EDITED_SIZE];
    char *value = NULL;
    size_t value_size;

    base64_decode (json_string_value (json_object_get (put, "value")),
                   json_string_length (json_object_get (put, "value")), &value,
                   &value_size);
    snprintf (edited, sizeof edited, "%.*s", (int)value_size, value);
    if (store->edit != NULL
        && store->edit (store->edit_user, put_key, edited, sizeof edited))
      {
        free (value);
        value = strdup (edited);
        value_size = strlen (edited);
      }
    write_item (store, put_key, value, value_size,
                (uint64_t)json_integer_value (json_object_get (put, "lease")));
    free (value);
  }
  json_array_foreach (
      remove, i, key) if (find_item (store, json_string_value (key)) != NULL)
      write_item (store, json_string_value (key), NULL, 0, 0);
  json_decref (root);
  if (store->fault == STORESERVER_FAULT_LOSE_RESPONSE)
    evhttp_connection_free (evhttp_request_get_connection (request));
  else
    send_response (store, request, 200,
                   json_pack ("{s:o}", "revision", encode_at (store)));
  answer_watches (store);
}

static struct storeserver_item *
find_item (const struct storeserver *store, const char *key)
{
  struct storeserver_item *item = store->items;

  while (item != NULL && strcmp (item->key, key) != 0)
    item = item->next;
  return item;
}

/* Items are sorted by key. */
static struct storeserver_item *
add_item (struct storeserver *store, const char *key)
{
  struct storeserver_item *item = calloc (1, sizeof *item);
  struct storeserver_item *successor = store->items;

  snprintf (item->key, sizeof item->key, "%s", key);
  while (successor != NULL && strcmp (successor->key, key) < 0)
    successor = successor->next;
  if (successor == NULL)
    DL_APPEND (store->items, item);
  else
    DL_PREPEND_ELEM (store->items, successor, item);
  return item;
}

static char *
copy_value (const char *value, size_t size)
{
  char *copy = value == NULL ? NULL : calloc (1, size + 1);

  if (copy != NULL)
    memcpy (copy, value, size);
  return copy;
}

static void
write_item (struct storeserver *store, const char *key, const char *value,
            size_t value_size, uint64_t lease)
{
  struct storeserver_item *item = find_item (store, key);

  if (item == NULL)
    item = add_item (store, key);
  free (item->value);
  free (item->members);
  item->members = NULL;
  item->value = copy_value (value, value_size);
  item->value_size = value_size;
  item->revision = ++store->revision;
  item->lease = lease;
}

static void
answer_watches (struct storeserver *store)
{
  struct storeserver_watch *watch;
  struct storeserver_watch *next;

  for (watch = store->watches; watch != NULL; watch = next)
    {
      next = watch->next;
      answer_watch (watch, false);
    }
}

void
storeserver_put (struct storeserver *store, const char *key, const char *value)
{
  write_item (store, key, value, value == NULL ? 0 : strlen (value), 0);
  answer_watches (store);
}

void
storeserver_put_bytes (struct storeserver *store, const char *key,
                       const char *value, size_t value_size)
{
  write_item (store, key, value, value_size, 0);
  answer_watches (store);
}

void
storeserver_put_members (struct storeserver *store, const char *key,
                         const char *members)
{
  write_item (store, key, "", 0, 0);
  find_item (store, key)->members = strdup (members);
  answer_watches (store);
}

static void
close_watches (struct storeserver *store)
{
  struct storeserver_watch *watch;

  while ((watch = store->watches) != NULL)
    evhttp_connection_free (evhttp_request_get_connection (watch->request));
}

void
storeserver_compact (struct storeserver *store)
{
  store->oldest_revision = store->revision + 1;
  store->revision++;
  close_watches (store);
}

void
storeserver_save (struct storeserver *store)
{
  const struct storeserver_item *item;
  struct storeserver_item *copy;

  free_items (store->saved_items);
  store->saved_items = NULL;
  store->saved_revision = store->revision;
  for (item = store->items; item != NULL; item = item->next)
    {
      if (item->lease != 0)
        continue;
      copy = calloc (1, sizeof *copy);
      *copy = *item;
      copy->value = copy_value (item->value, item->value_size);
      copy->members = item->members == NULL ? NULL : strdup (item->members);
      DL_APPEND (store->saved_items, copy);
    }
}

void
storeserver_restore (struct storeserver *store)
{
  free_items (store->items);
  store->items = store->saved_items;
  store->saved_items = NULL;
  store->revision = store->saved_revision;
  store->era++;
  store->last_ended_lease_id = store->last_lease_id;
  close_watches (store);
}

const char *
storeserver_get (const struct storeserver *store, const char *key)
{
  const struct storeserver_item *item = find_item (store, key);

  return item == NULL ? NULL : item->value;
}

unsigned int
storeserver_count (const struct storeserver *store, const char *prefix)
{
  const struct storeserver_item *item;
  unsigned int count = 0;

  DL_FOREACH (store->items, item)
    count += item->value != NULL
             && strncmp (item->key, prefix, strlen (prefix)) == 0;
  return count;
}
