/**
 * @file kvhttp.c
 * Operations of the key-value store over HTTP.
 */
#include "transport/kvhttp.h"
#include "protocol/kvstore_codec.h"
#include "state/err.h"
#include "transport/kvhttp_int.h"
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define QUERY_SIZE       128 /* bytes */
#define STATUS_OK        200
#define STATUS_NOT_FOUND 404

static int http_get (struct kvstore *kvstore, const char *key,
                     kvstore_items_fn done, void *user);
static int http_list (struct kvstore *kvstore, const char *prefix,
                      kvstore_items_fn done, void *user);
static int http_cas (struct kvstore *kvstore, const char *key,
                     const char *value, size_t value_size, uint64_t expected,
                     kvstore_write_fn done, void *user);
static int http_watch (struct kvstore *kvstore, const char *prefix,
                       uint64_t since, uint32_t wait_ms, kvstore_items_fn done,
                       void *user);
static int http_acquire (struct kvstore *kvstore, const char *key,
                         const char *holder, uint32_t ttl_ms,
                         kvstore_write_fn done, void *user);
static int http_renew (struct kvstore *kvstore, const char *key,
                       const char *holder, kvstore_write_fn done, void *user);
static void http_finish (struct kvstore *kvstore);
static int read_items (struct kvhttp *store, const char *key,
                       const char *query, uint32_t timeout_ms, bool single,
                       kvstore_items_fn done, void *user);
static void on_item_read (struct kvhttp_call *call, int error, int status,
                          uint64_t index, const char *body, size_t size);
static void on_items_read (struct kvhttp_call *call, int error, int status,
                           uint64_t index, const char *body, size_t size);
static void deliver_items (struct kvhttp_call *call, uint64_t index,
                           const char *body, size_t size);
static int map_read_error (struct kvhttp_call *call, int error, int status);
static int map_write_error (int error, int status);
static void on_value_written (struct kvhttp_call *call, int error, int status,
                              uint64_t index, const char *body, size_t size);
static void on_session_created (struct kvhttp_call *call, int error,
                                int status, uint64_t index, const char *body,
                                size_t size);
static void on_lock_acquired (struct kvhttp_call *call, int error, int status,
                              uint64_t index, const char *body, size_t size);
static void on_session_renewed (struct kvhttp_call *call, int error,
                                int status, uint64_t index, const char *body,
                                size_t size);
static const struct kvhttp_lock *find_lock (const struct kvhttp *store,
                                            const char *key);
static int save_lock (struct kvhttp *store, const char *key,
                      const char *session);

static const struct kvstore_ops kvhttp_ops = { .name = "http",
                                               .get = http_get,
                                               .list = http_list,
                                               .cas = http_cas,
                                               .watch = http_watch,
                                               .acquire = http_acquire,
                                               .renew = http_renew,
                                               .finish = http_finish };

struct kvstore *
kvhttp_new (const struct kvhttp_config *config)
{
  struct kvhttp *store = calloc (1, sizeof *store);

  if (store == NULL)
    return NULL;
  store->kvstore.ops = &kvhttp_ops;
  store->config = *config;
  store->refilled_ns = clock_now_ns (config->clock);
  store->micro_tokens = (uint64_t)config->calls_per_second_max * 1000000;
  if (httpcall_init (&store->server, config->base, config->address) == 0)
    return &store->kvstore;
  httpcall_finish (&store->server);
  free (store);
  return NULL;
}

static void
http_finish (struct kvstore *kvstore)
{
  struct kvhttp *store = (struct kvhttp *)kvstore;
  struct kvhttp_lock *lock;

  httpcall_finish (&store->server);
  while ((lock = store->locks) != NULL)
    {
      store->locks = lock->next;
      free (lock);
    }
  free (store);
}

static int
http_get (struct kvstore *kvstore, const char *key, kvstore_items_fn done,
          void *user)
{
  struct kvhttp *store = (struct kvhttp *)kvstore;
  int error = kvhttp_take_token (store);

  if (error != 0)
    return error;
  kvstore->counters.reads++;
  return read_items (store, key, "", store->config.timeout_ms, true, done,
                     user);
}

static int
http_list (struct kvstore *kvstore, const char *prefix, kvstore_items_fn done,
           void *user)
{
  struct kvhttp *store = (struct kvhttp *)kvstore;
  int error = kvhttp_take_token (store);

  if (error != 0)
    return error;
  kvstore->counters.reads++;
  return read_items (store, prefix, "?recurse=true", store->config.timeout_ms,
                     false, done, user);
}

static int
http_watch (struct kvstore *kvstore, const char *prefix, uint64_t since,
            uint32_t wait_ms, kvstore_items_fn done, void *user)
{
  struct kvhttp *store = (struct kvhttp *)kvstore;
  char query[QUERY_SIZE];
  int error = kvhttp_take_token (store);

  if (error != 0)
    return error;
  kvstore->counters.watches++;
  snprintf (query, sizeof query,
            "?recurse=true&index=%" PRIu64 "&wait=%" PRIu32 "ms", since,
            wait_ms);
  return read_items (store, prefix, query, wait_ms + store->config.timeout_ms,
                     false, done, user);
}

static int
read_items (struct kvhttp *store, const char *key, const char *query,
            uint32_t timeout_ms, bool single, kvstore_items_fn done,
            void *user)
{
  char path[KVHTTP_PATH_SIZE];
  struct kvhttp_call *call;

  if (kvstore_codec_path (path, sizeof path, key, query) != 0)
    return ERR_INVALID;
  call = kvhttp_call_new (store);
  if (call == NULL)
    return ERR_NO_MEMORY;
  call->finished = single ? on_item_read : on_items_read;
  call->items_done = done;
  call->user = user;
  return kvhttp_call_start (call, EVHTTP_REQ_GET, path, NULL, 0, timeout_ms);
}

static void
on_item_read (struct kvhttp_call *call, int error, int status, uint64_t index,
              const char *body, size_t size)
{
  error = map_read_error (call, error, status);
  if (error == 0 && status == STATUS_NOT_FOUND)
    error = ERR_NOT_FOUND;
  if (error != 0)
    call->items_done (call->user, error, index, NULL, 0);
  else
    deliver_items (call, index, body, size);
}

/* The server responds with 404 when no key has the prefix; that is reported
   as an empty list. */
static void
on_items_read (struct kvhttp_call *call, int error, int status, uint64_t index,
               const char *body, size_t size)
{
  error = map_read_error (call, error, status);
  if (error != 0 || status == STATUS_NOT_FOUND)
    call->items_done (call->user, error, index, NULL, 0);
  else
    deliver_items (call, index, body, size);
}

static void
deliver_items (struct kvhttp_call *call, uint64_t index, const char *body,
               size_t size)
{
  struct kvstore_codec_items items;
  int error = kvstore_codec_decode (body, size, &items);

  if (error != 0)
    {
      if (error == ERR_PROTOCOL)
        kvhttp_report_unreadable (call->store, items.bad_field,
                                  items.bad_value);
      call->items_done (call->user, error, index, NULL, 0);
      return;
    }
  call->items_done (call->user, 0, index, items.items, items.count);
  kvstore_codec_items_finish (&items);
}

static int
map_read_error (struct kvhttp_call *call, int error, int status)
{
  char text[16];

  if (error == ERR_TIMEOUT || error == ERR_TOO_LARGE)
    return error;
  if (error != 0)
    return ERR_UNAVAILABLE;
  if (status == 429)
    return ERR_RATE_LIMITED;
  if (status / 100 == 5)
    return ERR_UNAVAILABLE;
  if (status == STATUS_OK || status == STATUS_NOT_FOUND)
    return call->index_unreadable ? ERR_PROTOCOL : 0;
  snprintf (text, sizeof text, "%d", status);
  kvhttp_report_unreadable (call->store, "status", text);
  return ERR_PROTOCOL;
}

/* A failed write is known to have had no effect only if nothing was sent or
   the server rejected it for its rate. */
static int
map_write_error (int error, int status)
{
  if (error == ERR_UNAVAILABLE)
    return ERR_UNAVAILABLE;
  if (error != 0 || status / 100 == 5)
    return ERR_UNKNOWN_OUTCOME;
  if (status == 429)
    return ERR_RATE_LIMITED;
  return status == STATUS_OK ? 0 : ERR_PROTOCOL;
}

static int
http_cas (struct kvstore *kvstore, const char *key, const char *value,
          size_t value_size, uint64_t expected, kvstore_write_fn done,
          void *user)
{
  struct kvhttp *store = (struct kvhttp *)kvstore;
  char path[KVHTTP_PATH_SIZE];
  char query[QUERY_SIZE];
  struct kvhttp_call *call;
  int error;

  if (value_size > KVSTORE_VALUE_MAX)
    return ERR_TOO_LARGE;
  snprintf (query, sizeof query, "?cas=%" PRIu64, expected);
  if (kvstore_codec_path (path, sizeof path, key, query) != 0)
    return ERR_INVALID;
  error = kvhttp_take_token (store);
  if (error != 0)
    return error;
  call = kvhttp_call_new (store);
  if (call == NULL)
    return ERR_NO_MEMORY;
  kvstore->counters.writes++;
  call->finished = on_value_written;
  call->write_done = done;
  call->user = user;
  return kvhttp_call_start (call, EVHTTP_REQ_PUT, path, value, value_size,
                            store->config.timeout_ms);
}

/* The HTTP interface does not return the new index of the key: X-Index is the
   index of the store, which may include later writes.  So 0 is reported, and
   the caller reads the key back. */
static void
on_value_written (struct kvhttp_call *call, int error, int status,
                  uint64_t index, const char *body, size_t size)
{
  bool written = false;

  (void)index;
  error = map_write_error (error, status);
  if (error == 0 && kvstore_codec_decode_bool (body, size, &written) != 0)
    error = ERR_UNKNOWN_OUTCOME;
  if (error == 0 && !written)
    error = ERR_CONFLICT;
  call->write_done (call->user, error, 0);
}

static int
http_acquire (struct kvstore *kvstore, const char *key, const char *holder,
              uint32_t ttl_ms, kvstore_write_fn done, void *user)
{
  struct kvhttp *store = (struct kvhttp *)kvstore;
  char body[QUERY_SIZE];
  struct kvhttp_call *call;
  int error;

  (void)holder; /* the session identifies the holder */
  if (strlen (key) >= sizeof call->key)
    return ERR_INVALID;
  error = kvhttp_take_token (store);
  if (error != 0)
    return error;
  call = kvhttp_call_new (store);
  if (call == NULL)
    return ERR_NO_MEMORY;
  kvstore->counters.writes++;
  call->finished = on_session_created;
  call->write_done = done;
  call->user = user;
  snprintf (call->key, sizeof call->key, "%s", key);
  snprintf (body, sizeof body, "{\"TTL\":\"%" PRIu32 "ms\"}", ttl_ms);
  return kvhttp_call_start (call, EVHTTP_REQ_PUT, "/v1/session/create", body,
                            strlen (body), store->config.timeout_ms);
}

static void
on_session_created (struct kvhttp_call *call, int error, int status,
                    uint64_t index, const char *body, size_t size)
{
  struct kvhttp *store = call->store;
  char path[KVHTTP_PATH_SIZE];
  char query[QUERY_SIZE];
  struct kvhttp_call *next = NULL;

  (void)index;
  error = map_write_error (error, status);
  if (error == 0)
    error = kvstore_codec_decode_session (body, size, call->session,
                                          sizeof call->session);
  if (error == 0)
    {
      snprintf (query, sizeof query, "?acquire=%s", call->session);
      error = kvstore_codec_path (path, sizeof path, call->key, query);
    }
  if (error == 0)
    next = kvhttp_call_new (store);
  if (next == NULL)
    {
      call->write_done (call->user, error == 0 ? ERR_NO_MEMORY : error, 0);
      return;
    }
  store->kvstore.counters.writes++;
  next->finished = on_lock_acquired;
  next->write_done = call->write_done;
  next->user = call->user;
  memcpy (next->key, call->key, sizeof next->key);
  memcpy (next->session, call->session, sizeof next->session);
  error = kvhttp_call_start (next, EVHTTP_REQ_PUT, path, "", 0,
                             store->config.timeout_ms);
  if (error != 0)
    call->write_done (call->user, error, 0);
}

static void
on_lock_acquired (struct kvhttp_call *call, int error, int status,
                  uint64_t index, const char *body, size_t size)
{
  bool acquired = false;

  error = map_write_error (error, status);
  if (error == 0 && kvstore_codec_decode_bool (body, size, &acquired) != 0)
    error = ERR_UNKNOWN_OUTCOME;
  if (error == 0 && !acquired)
    error = ERR_CONFLICT;
  if (error == 0)
    error = save_lock (call->store, call->key, call->session);
  call->write_done (call->user, error, index);
}

static int
http_renew (struct kvstore *kvstore, const char *key, const char *holder,
            kvstore_write_fn done, void *user)
{
  struct kvhttp *store = (struct kvhttp *)kvstore;
  const struct kvhttp_lock *lock = find_lock (store, key);
  char path[KVHTTP_PATH_SIZE];
  struct kvhttp_call *call;
  int error;

  (void)holder;
  if (lock == NULL)
    return ERR_NOT_FOUND;
  error = kvhttp_take_token (store);
  if (error != 0)
    return error;
  call = kvhttp_call_new (store);
  if (call == NULL)
    return ERR_NO_MEMORY;
  kvstore->counters.writes++;
  call->finished = on_session_renewed;
  call->write_done = done;
  call->user = user;
  snprintf (path, sizeof path, "/v1/session/renew/%s", lock->session);
  return kvhttp_call_start (call, EVHTTP_REQ_PUT, path, "", 0,
                            store->config.timeout_ms);
}

static void
on_session_renewed (struct kvhttp_call *call, int error, int status,
                    uint64_t index, const char *body, size_t size)
{
  (void)body;
  (void)size;
  error = map_write_error (error, status);
  if (error == 0 || status != STATUS_NOT_FOUND)
    call->write_done (call->user, error, index);
  else
    call->write_done (call->user, ERR_CONFLICT, index);
}

static const struct kvhttp_lock *
find_lock (const struct kvhttp *store, const char *key)
{
  const struct kvhttp_lock *lock = store->locks;

  while (lock != NULL && strcmp (lock->key, key) != 0)
    lock = lock->next;
  return lock;
}

static int
save_lock (struct kvhttp *store, const char *key, const char *session)
{
  struct kvhttp_lock *lock = (struct kvhttp_lock *)find_lock (store, key);

  if (lock == NULL)
    {
      lock = calloc (1, sizeof *lock);
      if (lock == NULL)
        return ERR_NO_MEMORY;
      snprintf (lock->key, sizeof lock->key, "%s", key);
      lock->next = store->locks;
      store->locks = lock;
    }
  snprintf (lock->session, sizeof lock->session, "%s", session);
  return 0;
}
