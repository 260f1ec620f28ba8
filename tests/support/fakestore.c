/**
 * @file fakestore.c
 * A key-value store with faults, on top of kvmem.
 */
#include "support/fakestore.h"
#include "state/err.h"
#include "transport/kvmem.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static int fake_get (struct kvstore *kvstore, const char *key,
                     kvstore_items_fn done, void *user);
static int fake_list (struct kvstore *kvstore, const char *prefix,
                      kvstore_items_fn done, void *user);
static int fake_cas (struct kvstore *kvstore, const char *key,
                     const char *value, size_t value_size, uint64_t expected,
                     kvstore_write_fn done, void *user);
static int fake_watch (struct kvstore *kvstore, const char *prefix,
                       uint64_t since, uint32_t wait_ms, kvstore_items_fn done,
                       void *user);
static int apply_write (struct fakestore *store, const char *key,
                        const char *value, uint64_t expected, uint64_t *index);
static void on_result (void *user, int error, uint64_t index);
static void on_index (void *user, int error, uint64_t index,
                      const struct kvstore_item *items, size_t count);
static enum fakestore_fault next_fault (struct fakestore *store);

/** Result of a call of kvmem, which completes at once. */
struct result
{
  int error;
  uint64_t index;
};

static const struct kvstore_ops fake_ops = { .name = "fake",
                                             .get = fake_get,
                                             .list = fake_list,
                                             .cas = fake_cas,
                                             .watch = fake_watch };

int
fakestore_init (struct fakestore *store, const struct clock *clock)
{
  memset (store, 0, sizeof *store);
  store->kvstore.ops = &fake_ops;
  store->clock = clock;
  store->kvmem = kvmem_new (NULL, clock);
  return store->kvmem == NULL ? ERR_NO_MEMORY : 0;
}

void
fakestore_finish (struct fakestore *store)
{
  size_t i;

  for (i = 0; i < store->write_count; i++)
    {
      free (store->writes[i].key);
      free (store->writes[i].value);
    }
  free (store->delayed.key);
  free (store->delayed.value);
  store->kvmem->ops->finish (store->kvmem);
}

void
fakestore_add_fault (struct fakestore *store, enum fakestore_fault fault)
{
  store->faults[store->fault_count++] = fault;
}

void
fakestore_set_down (struct fakestore *store, bool down)
{
  size_t count = store->watch_count;
  size_t i;

  store->down = down;
  if (!down)
    return;
  store->watch_count = 0;
  for (i = 0; i < count; i++)
    store->watches[i].done (store->watches[i].user, ERR_UNAVAILABLE, 0, NULL,
                            0);
}

void
fakestore_restore (struct fakestore *store, size_t count)
{
  struct result result;
  size_t i;

  store->kvmem->ops->finish (store->kvmem);
  store->kvmem = kvmem_new (NULL, store->clock);
  kvmem_set_index (store->kvmem, store->first_index);
  for (i = 0; i < store->write_count; i++)
    {
      const struct fakestore_write *write = &store->writes[i];

      if (i < count)
        store->kvmem->ops->cas (store->kvmem, write->key, write->value,
                                strlen (write->value), write->expected,
                                on_result, &result);
      else
        {
          free (write->key);
          free (write->value);
        }
    }
  if (count < store->write_count)
    store->write_count = count;
  fakestore_answer_watches (store);
}

int
fakestore_deliver_delayed (struct fakestore *store)
{
  uint64_t index;
  int error = apply_write (store, store->delayed.key, store->delayed.value,
                           store->delayed.expected, &index);

  fakestore_answer_watches (store);
  return error;
}

void
fakestore_answer_watches (struct fakestore *store)
{
  struct fakestore_watch watches[FAKESTORE_WATCHES_MAX];
  size_t count = store->watch_count;
  size_t i;

  if (store->mute_watches)
    return;
  memcpy (watches, store->watches, sizeof watches);
  store->watch_count = 0;
  for (i = 0; i < count; i++)
    store->kvmem->ops->list (store->kvmem, watches[i].prefix, watches[i].done,
                             watches[i].user);
}

static int
fake_get (struct kvstore *kvstore, const char *key, kvstore_items_fn done,
          void *user)
{
  struct fakestore *store = (struct fakestore *)kvstore;

  store->calls++;
  if (!store->down)
    return store->kvmem->ops->get (store->kvmem, key, done, user);
  done (user, ERR_UNAVAILABLE, 0, NULL, 0);
  return 0;
}

static int
fake_list (struct kvstore *kvstore, const char *prefix, kvstore_items_fn done,
           void *user)
{
  struct fakestore *store = (struct fakestore *)kvstore;

  store->calls++;
  if (!store->down)
    return store->kvmem->ops->list (store->kvmem, prefix, done, user);
  done (user, ERR_TIMEOUT, 0, NULL, 0);
  return 0;
}

static int
fake_watch (struct kvstore *kvstore, const char *prefix, uint64_t since,
            uint32_t wait_ms, kvstore_items_fn done, void *user)
{
  struct fakestore *store = (struct fakestore *)kvstore;
  struct result result = { 0, 0 };
  struct fakestore_watch *watch = &store->watches[store->watch_count];

  (void)wait_ms;
  store->kvmem->ops->get (store->kvmem, "none", on_index, &result);
  if (store->down || result.index > since
      || store->watch_count == FAKESTORE_WATCHES_MAX)
    return fake_list (kvstore, prefix, done, user);
  store->calls++;
  snprintf (watch->prefix, sizeof watch->prefix, "%s", prefix);
  watch->done = done;
  watch->user = user;
  store->watch_count++;
  return 0;
}

static int
fake_cas (struct kvstore *kvstore, const char *key, const char *value,
          size_t value_size, uint64_t expected, kvstore_write_fn done,
          void *user)
{
  struct fakestore *store = (struct fakestore *)kvstore;
  enum fakestore_fault fault
      = store->down ? FAKESTORE_FAULT_NONE : next_fault (store);
  uint64_t index = 0;
  int error = ERR_UNAVAILABLE;

  (void)value_size;
  store->calls++;
  if (fault == FAKESTORE_RACE)
    store->before_write (store->before_write_user);
  if (fault == FAKESTORE_DELAY_REQUEST)
    store->delayed
        = (struct fakestore_write){ strdup (key), strdup (value), expected };
  else if (!store->down && fault != FAKESTORE_LOSE_REQUEST)
    error = apply_write (store, key, value, expected, &index);
  if (fault == FAKESTORE_LOSE_REQUEST || fault == FAKESTORE_LOSE_RESPONSE
      || fault == FAKESTORE_DELAY_REQUEST)
    error = ERR_UNKNOWN_OUTCOME;
  done (user, error, index);
  if (!store->down)
    fakestore_answer_watches (store);
  return 0;
}

static int
apply_write (struct fakestore *store, const char *key, const char *value,
             uint64_t expected, uint64_t *index)
{
  struct result result = { ERR_IO, 0 };

  store->kvmem->ops->cas (store->kvmem, key, value, strlen (value), expected,
                          on_result, &result);
  *index = result.index;
  if (result.error == 0 && store->write_count < FAKESTORE_WRITES_MAX)
    store->writes[store->write_count++]
        = (struct fakestore_write){ strdup (key), strdup (value), expected };
  return result.error;
}

static void
on_result (void *user, int error, uint64_t index)
{
  struct result *result = user;

  result->error = error;
  result->index = index;
}

static void
on_index (void *user, int error, uint64_t index,
          const struct kvstore_item *items, size_t count)
{
  (void)items;
  (void)count;
  on_result (user, error, index);
}

static enum fakestore_fault
next_fault (struct fakestore *store)
{
  enum fakestore_fault fault = FAKESTORE_FAULT_NONE;

  if (store->fault_count == 0)
    return fault;
  fault = store->faults[0];
  store->fault_count--;
  memmove (store->faults, store->faults + 1,
           store->fault_count * sizeof store->faults[0]);
  return fault;
}
