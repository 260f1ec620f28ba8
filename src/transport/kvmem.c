/**
 * @file kvmem.c
 * Keys in a hash table; every operation except watch completes at once.
 */
#include "transport/kvmem.h"
#include "state/err.h"
#include <stdbool.h>
#include <stdlib.h>
#include <string.h>
#include <sys/time.h>
#include <uthash.h>

struct entry
{
  char *key;
  char *value;
  size_t value_size;
  uint64_t index;
  char *holder;         /* of the lock; NULL if never taken */
  uint32_t ttl_ms;      /* of the lock */
  uint64_t lock_end_ns; /* expiry of the lock */
  UT_hash_handle hh;
};

struct kvmem;

struct waiter
{
  struct kvmem *store;
  struct waiter *next;
  char *prefix;
  uint64_t since;
  kvstore_items_fn done;
  void *user;
  struct event *timer; /* NULL without an event loop */
};

struct kvmem
{
  struct kvstore kvstore; /* must be first: operations cast it */
  struct event_base *base;
  const struct clock *clock;
  struct entry *entries;
  struct waiter *waiters;
  uint64_t index;
};

static int mem_get (struct kvstore *kvstore, const char *key,
                    kvstore_items_fn done, void *user);
static int mem_list (struct kvstore *kvstore, const char *prefix,
                     kvstore_items_fn done, void *user);
static int mem_cas (struct kvstore *kvstore, const char *key,
                    const char *value, size_t value_size, uint64_t expected,
                    kvstore_write_fn done, void *user);
static int mem_watch (struct kvstore *kvstore, const char *prefix,
                      uint64_t since, uint32_t wait_ms, kvstore_items_fn done,
                      void *user);
static int mem_acquire (struct kvstore *kvstore, const char *key,
                        const char *holder, uint32_t ttl_ms,
                        kvstore_write_fn done, void *user);
static int mem_renew (struct kvstore *kvstore, const char *key,
                      const char *holder, kvstore_write_fn done, void *user);
static void mem_finish (struct kvstore *kvstore);
static struct entry *find_entry (const struct kvmem *store, const char *key);
static struct entry *add_entry (struct kvmem *store, const char *key);
static int store_value (struct kvmem *store, const char *key,
                        const char *value, size_t value_size);
static int list_entries (struct kvmem *store, const char *prefix,
                         kvstore_items_fn done, void *user);
static bool has_newer (const struct kvmem *store, const char *prefix,
                       uint64_t since);
static int waiter_start (struct kvmem *store, struct waiter *waiter,
                         uint32_t wait_ms);
static void notify_waiters (struct kvmem *store, const char *key);
static void waiter_timeout (evutil_socket_t fd, short events, void *arg);
static void waiter_remove (struct waiter *waiter);
static void waiter_free (struct waiter *waiter);

static const struct kvstore_ops kvmem_ops = { .name = "memory",
                                              .get = mem_get,
                                              .list = mem_list,
                                              .cas = mem_cas,
                                              .watch = mem_watch,
                                              .acquire = mem_acquire,
                                              .renew = mem_renew,
                                              .finish = mem_finish };

struct kvstore *
kvmem_new (struct event_base *base, const struct clock *clock)
{
  struct kvmem *store = calloc (1, sizeof *store);

  if (store == NULL)
    return NULL;
  store->kvstore.ops = &kvmem_ops;
  store->base = base;
  store->clock = clock;
  return &store->kvstore;
}

void
kvmem_set_index (struct kvstore *kvstore, uint64_t index)
{
  ((struct kvmem *)kvstore)->index = index;
}

static void
mem_finish (struct kvstore *kvstore)
{
  struct kvmem *store = (struct kvmem *)kvstore;
  struct entry *entry = store->entries;
  struct entry *next;

  while (store->waiters != NULL)
    {
      struct waiter *waiter = store->waiters;

      store->waiters = waiter->next;
      waiter_free (waiter);
    }
  HASH_CLEAR (hh, store->entries);
  for (; entry != NULL; entry = next)
    {
      next = entry->hh.next;
      free (entry->key);
      free (entry->value);
      free (entry->holder);
      free (entry);
    }
  free (store);
}

static int
mem_get (struct kvstore *kvstore, const char *key, kvstore_items_fn done,
         void *user)
{
  struct kvmem *store = (struct kvmem *)kvstore;
  const struct entry *entry = find_entry (store, key);
  struct kvstore_item item;

  kvstore->counters.reads++;
  if (entry == NULL || entry->value == NULL)
    {
      done (user, ERR_NOT_FOUND, store->index, NULL, 0);
      return 0;
    }
  item = (struct kvstore_item){ .key = entry->key,
                                .value = entry->value,
                                .value_size = entry->value_size,
                                .index = entry->index };
  done (user, 0, store->index, &item, 1);
  return 0;
}

static int
mem_list (struct kvstore *kvstore, const char *prefix, kvstore_items_fn done,
          void *user)
{
  kvstore->counters.reads++;
  return list_entries ((struct kvmem *)kvstore, prefix, done, user);
}

static int
list_entries (struct kvmem *store, const char *prefix, kvstore_items_fn done,
              void *user)
{
  struct kvstore_item *items
      = calloc (HASH_COUNT (store->entries) + 1, sizeof *items);
  const struct entry *entry;
  size_t count = 0;

  if (items == NULL)
    return ERR_NO_MEMORY;
  for (entry = store->entries; entry != NULL; entry = entry->hh.next)
    {
      if (entry->value == NULL
          || strncmp (entry->key, prefix, strlen (prefix)) != 0)
        continue;
      items[count++] = (struct kvstore_item){ .key = entry->key,
                                              .value = entry->value,
                                              .value_size = entry->value_size,
                                              .index = entry->index };
    }
  done (user, 0, store->index, items, count);
  free (items);
  return 0;
}

static int
mem_cas (struct kvstore *kvstore, const char *key, const char *value,
         size_t value_size, uint64_t expected, kvstore_write_fn done,
         void *user)
{
  struct kvmem *store = (struct kvmem *)kvstore;
  const struct entry *entry = find_entry (store, key);
  uint64_t current = entry == NULL ? 0 : entry->index;
  uint64_t index;

  if (value_size > KVSTORE_VALUE_MAX)
    return ERR_TOO_LARGE;
  kvstore->counters.writes++;
  if (current != expected)
    {
      done (user, ERR_CONFLICT, current);
      return 0;
    }
  if (store_value (store, key, value, value_size) != 0)
    return ERR_NO_MEMORY;
  index = store->index;
  /* The callback may free the caller's key, so use the store's copy. */
  key = find_entry (store, key)->key;
  done (user, 0, index);
  notify_waiters (store, key);
  return 0;
}

static int
store_value (struct kvmem *store, const char *key, const char *value,
             size_t value_size)
{
  struct entry *entry = add_entry (store, key);
  char *copy = malloc (value_size + 1);

  if (entry == NULL || copy == NULL)
    {
      free (copy);
      return ERR_NO_MEMORY;
    }
  memcpy (copy, value, value_size);
  copy[value_size] = '\0';
  free (entry->value);
  entry->value = copy;
  entry->value_size = value_size;
  entry->index = ++store->index;
  return 0;
}

static int
mem_watch (struct kvstore *kvstore, const char *prefix, uint64_t since,
           uint32_t wait_ms, kvstore_items_fn done, void *user)
{
  struct kvmem *store = (struct kvmem *)kvstore;
  struct waiter *waiter;

  kvstore->counters.watches++;
  if (has_newer (store, prefix, since))
    return list_entries (store, prefix, done, user);
  waiter = calloc (1, sizeof *waiter);
  if (waiter == NULL)
    return ERR_NO_MEMORY;
  waiter->store = store;
  waiter->since = since;
  waiter->done = done;
  waiter->user = user;
  waiter->prefix = strdup (prefix);
  if (waiter->prefix == NULL || waiter_start (store, waiter, wait_ms) != 0)
    {
      waiter_free (waiter);
      return ERR_NO_MEMORY;
    }
  return 0;
}

static int
waiter_start (struct kvmem *store, struct waiter *waiter, uint32_t wait_ms)
{
  struct timeval wait
      = { wait_ms / 1000, (suseconds_t)(wait_ms % 1000) * 1000 };

  if (store->base != NULL)
    {
      waiter->timer = evtimer_new (store->base, waiter_timeout, waiter);
      if (waiter->timer == NULL || evtimer_add (waiter->timer, &wait) != 0)
        return ERR_NO_MEMORY;
    }
  waiter->next = store->waiters;
  store->waiters = waiter;
  return 0;
}

static bool
has_newer (const struct kvmem *store, const char *prefix, uint64_t since)
{
  const struct entry *entry;

  for (entry = store->entries; entry != NULL; entry = entry->hh.next)
    if (entry->index > since && entry->value != NULL
        && strncmp (entry->key, prefix, strlen (prefix)) == 0)
      return true;
  return false;
}

/* Completes the watches whose prefix matches the key.  Their callbacks may add
   new watches, which are not completed by this change. */
static void
notify_waiters (struct kvmem *store, const char *key)
{
  struct waiter *matching = NULL;
  struct waiter **link = &store->waiters;

  while (*link != NULL)
    {
      struct waiter *waiter = *link;

      if (strncmp (key, waiter->prefix, strlen (waiter->prefix)) != 0)
        {
          link = &waiter->next;
          continue;
        }
      *link = waiter->next;
      waiter->next = matching;
      matching = waiter;
    }
  while (matching != NULL)
    {
      struct waiter *waiter = matching;

      matching = waiter->next;
      list_entries (store, waiter->prefix, waiter->done, waiter->user);
      waiter_free (waiter);
    }
}

static void
waiter_timeout (evutil_socket_t fd, short events, void *arg)
{
  struct waiter *waiter = arg;

  (void)fd;
  (void)events;
  waiter_remove (waiter);
  list_entries (waiter->store, waiter->prefix, waiter->done, waiter->user);
  waiter_free (waiter);
}

static void
waiter_remove (struct waiter *waiter)
{
  struct waiter **link = &waiter->store->waiters;

  while (*link != NULL && *link != waiter)
    link = &(*link)->next;
  if (*link != NULL)
    *link = waiter->next;
}

static void
waiter_free (struct waiter *waiter)
{
  if (waiter->timer != NULL)
    event_free (waiter->timer);
  free (waiter->prefix);
  free (waiter);
}

static int
mem_acquire (struct kvstore *kvstore, const char *key, const char *holder,
             uint32_t ttl_ms, kvstore_write_fn done, void *user)
{
  struct kvmem *store = (struct kvmem *)kvstore;
  struct entry *entry = add_entry (store, key);
  uint64_t now_ns = clock_now_ns (store->clock);
  char *copy;

  kvstore->counters.writes++;
  if (entry == NULL)
    return ERR_NO_MEMORY;
  if (entry->holder != NULL && now_ns < entry->lock_end_ns
      && strcmp (entry->holder, holder) != 0)
    {
      done (user, ERR_CONFLICT, entry->index);
      return 0;
    }
  copy = strdup (holder);
  if (copy == NULL)
    return ERR_NO_MEMORY;
  free (entry->holder);
  entry->holder = copy;
  entry->ttl_ms = ttl_ms;
  entry->lock_end_ns = now_ns + (uint64_t)ttl_ms * CLOCK_NS_PER_MS;
  done (user, 0, entry->index);
  return 0;
}

static int
mem_renew (struct kvstore *kvstore, const char *key, const char *holder,
           kvstore_write_fn done, void *user)
{
  struct kvmem *store = (struct kvmem *)kvstore;
  struct entry *entry = find_entry (store, key);
  uint64_t now_ns = clock_now_ns (store->clock);

  kvstore->counters.writes++;
  if (entry == NULL || entry->holder == NULL || now_ns >= entry->lock_end_ns
      || strcmp (entry->holder, holder) != 0)
    {
      done (user, ERR_CONFLICT, entry == NULL ? 0 : entry->index);
      return 0;
    }
  entry->lock_end_ns = now_ns + (uint64_t)entry->ttl_ms * CLOCK_NS_PER_MS;
  done (user, 0, entry->index);
  return 0;
}

static struct entry *
find_entry (const struct kvmem *store, const char *key)
{
  struct entry *entry = NULL;

  HASH_FIND_STR (store->entries, key, entry);
  return entry;
}

static struct entry *
add_entry (struct kvmem *store, const char *key)
{
  struct entry *entry = find_entry (store, key);

  if (entry != NULL)
    return entry;
  entry = calloc (1, sizeof *entry);
  if (entry == NULL)
    return NULL;
  entry->key = strdup (key);
  if (entry->key == NULL)
    {
      free (entry);
      return NULL;
    }
  HASH_ADD_KEYPTR (hh, store->entries, entry->key, strlen (entry->key), entry);
  return entry;
}
