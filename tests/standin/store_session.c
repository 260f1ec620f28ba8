/**
 * @file store_session.c
 * Sessions of the stand-in store and the keys that they lock.
 */
#include "standin/store_int.h"
#include "transport/clock.h"
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static struct store_session *find (struct store *store, const char *id);

struct store_session *
store_session_add (struct store *store, uint64_t ttl_ms)
{
  struct store_session *session = calloc (1, sizeof (*session));

  snprintf (session->id, sizeof (session->id),
            "00000000-0000-4000-8000-%012" PRIx64, ++store->next_session);
  session->ttl_ms = ttl_ms;
  session->expires_ns = record_now_ns () + ttl_ms * CLOCK_NS_PER_MS;
  HASH_ADD_STR (store->sessions, id, session);
  return session;
}

int
store_session_renew (struct store *store, const char *id)
{
  struct store_session *session = find (store, id);

  if (session == NULL)
    return -1;
  session->expires_ns = record_now_ns () + session->ttl_ms * CLOCK_NS_PER_MS;
  return 0;
}

void
store_session_destroy (struct store *store, const char *id)
{
  struct store_session *session = find (store, id);
  struct store_item *item;

  if (session == NULL)
    return;
  for (item = store->table.items; item != NULL; item = item->hh.next)
    if (strcmp (item->session, session->id) == 0)
      {
        item->session[0] = '\0';
        item->index = ++store->table.index;
      }
  HASH_DEL (store->sessions, session);
  free (session);
}

uint32_t
store_session_expire (struct store *store)
{
  struct store_session *session;
  struct store_session *next;
  uint64_t now_ns = record_now_ns ();
  uint32_t expired = 0;

  for (session = store->sessions; session != NULL; session = next)
    {
      next = session->hh.next;
      if (session->expires_ns > now_ns)
        continue;
      store_session_destroy (store, session->id);
      expired++;
    }
  return expired;
}

bool
store_session_acquire (struct store *store, const char *key, const char *id,
                       const void *value, size_t size)
{
  struct store_item *item = store_table_find (&store->table, key);

  if (find (store, id) == NULL)
    return false;
  if (item != NULL && item->session[0] != '\0'
      && strcmp (item->session, id) != 0)
    return false;
  store_table_write (&store->table, key, value, size);
  item = store_table_find (&store->table, key);
  snprintf (item->session, sizeof (item->session), "%s", id);
  return true;
}

bool
store_session_release (struct store *store, const char *key, const char *id)
{
  struct store_item *item = store_table_find (&store->table, key);

  if (item == NULL || strcmp (item->session, id) != 0)
    return false;
  item->session[0] = '\0';
  item->index = ++store->table.index;
  return true;
}

static struct store_session *
find (struct store *store, const char *id)
{
  struct store_session *session;

  HASH_FIND_STR (store->sessions, id, session);
  return session;
}
