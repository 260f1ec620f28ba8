/**
 * @file confstore_write.c
 * One change: read the key, decide, compare and swap, and when the answer of
 * that is lost, read back and look for the change id.
 *
 * A swap in doubt is not simply given up when the key reads as before: it
 * might still be on its way.  It is sent again with the same expected index,
 * so that at most one of the two takes effect, and either answer settles it.
 */
#include "confstore.h"
#include "confstore_int.h"
#include "state/err.h"
#include "transport/log.h"
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define KEY_SIZE 256 /* bytes of a key with its prefix */

enum step
{
  STEP_READ, /* due to read the key */
  STEP_WAIT, /* a call is under way */
  STEP_DONE
};

struct confstore_pending
{
  struct confstore *confstore;
  struct confstore_pending *next;
  struct confstore_write write;
  confstore_write_fn done;
  void *user;
  enum step step;
  bool in_doubt; /* a swap was sent and its outcome is not known */
  bool made;     /* the store said so, but not at which index */
  uint32_t failed_reads;
  uint32_t conflicts;
  uint64_t next_ns;
  uint64_t limit_ns;
  struct confstore_asked asked; /* for the key under way */
  uint64_t expected;            /* modify index that the swap replaces */
  uint64_t index_base;          /* of the value being written */
  char *value;                  /* being written */
  char key[KEY_SIZE];
  struct confstore_result result;
};

/** What is in force for a key: the newer of the store's and the one held. */
struct current
{
  json_t *value;  /* NULL when there is none */
  uint64_t index; /* 0 when there is none */
  bool in_store;  /* the store has this very one */
};

static void read_key (struct confstore_pending *pending);
static void key_read (void *user, int error, uint64_t index,
                      const struct platform_item *items, size_t count);
static void read_failed (struct confstore_pending *pending, int error);
static bool settle_doubt (struct confstore_pending *pending,
                          const struct platform_item *item);
static void decide (struct confstore_pending *pending, uint64_t store_index,
                    const struct platform_item *item);
static struct current find_current (struct confstore *confstore,
                                    const char *key,
                                    const struct platform_item *item);
static bool refuse (struct confstore_pending *pending,
                    const struct current *current);
static void report_conflict (struct confstore_pending *pending,
                             const struct current *current);
static void make_value (struct confstore_pending *pending,
                        uint64_t store_index, const struct current *current);
static void swap (struct confstore_pending *pending);
static void swapped (void *user, int error, uint64_t index);
static void succeed (struct confstore_pending *pending, uint64_t index);
static void retry (struct confstore_pending *pending);
static void give_up (struct confstore_pending *pending);
static void finish (struct confstore_pending *pending, int error);
static void make_change_id (struct confstore *confstore, char *out,
                            size_t size);

int
confstore_write (struct confstore *confstore,
                 const struct confstore_write *write, confstore_write_fn done,
                 void *user)
{
  struct confstore_pending *pending = calloc (1, sizeof *pending);
  uint64_t now_ns = clock_now_ns (confstore->config.clock);

  if (pending == NULL)
    return ERR_NO_MEMORY;
  pending->confstore = confstore;
  pending->write = *write;
  json_incref (pending->write.object);
  pending->done = done;
  pending->user = user;
  pending->limit_ns = now_ns + CONFSTORE_WRITE_LIMIT_MS * CLOCK_NS_PER_MS;
  snprintf (pending->key, sizeof pending->key, "%s%s/%s",
            confstore->config.prefix, object_kind_name (write->kind),
            write->name);
  make_change_id (confstore, pending->result.change_id,
                  sizeof pending->result.change_id);
  pending->next = confstore->pending;
  confstore->pending = pending;
  confstore->counters.writes++;
  read_key (pending);
  return 0;
}

void
confstore_write_run (struct confstore *confstore, uint64_t now_ns)
{
  struct confstore_pending **link = &confstore->pending;

  while (*link != NULL)
    {
      struct confstore_pending *pending = *link;

      if (pending->step == STEP_READ && now_ns >= pending->limit_ns)
        give_up (pending);
      else if (pending->step == STEP_READ && now_ns >= pending->next_ns)
        read_key (pending);
      if (pending->step != STEP_DONE)
        {
          link = &pending->next;
          continue;
        }
      *link = pending->next;
      json_decref (pending->write.object);
      free (pending->value);
      free (pending);
    }
}

uint32_t
confstore_writing (const struct confstore *confstore)
{
  const struct confstore_pending *pending;
  uint32_t count = 0;

  for (pending = confstore->pending; pending != NULL; pending = pending->next)
    count += pending->step != STEP_DONE;
  return count;
}

void
confstore_write_finish (struct confstore *confstore)
{
  struct confstore_pending *pending;

  while ((pending = confstore->pending) != NULL)
    {
      confstore->pending = pending->next;
      json_decref (pending->write.object);
      free (pending->value);
      free (pending);
    }
}

static void
read_key (struct confstore_pending *pending)
{
  struct platform *platform = pending->confstore->config.platform;
  int error;

  pending->step = STEP_WAIT;
  pending->asked = confstore_ask_state (pending->confstore);
  error = platform->ops->get (platform, pending->key, key_read, pending);
  if (error != 0)
    key_read (pending, error, 0, NULL, 0);
}

static void
key_read (void *user, int error, uint64_t index,
          const struct platform_item *items, size_t count)
{
  struct confstore_pending *pending = user;
  const struct platform_item *item = NULL;

  confstore_note (pending->confstore, error);
  if (error == 0 && count == 1)
    item = &items[0];
  else if (error != ERR_NOT_FOUND)
    {
      read_failed (pending, error == 0 ? ERR_PROTOCOL : error);
      return;
    }
  pending->failed_reads = 0;
  if (index > 0 && index < pending->asked.store_index)
    confstore_check_index (pending->confstore, index, &pending->asked);
  if (pending->in_doubt && settle_doubt (pending, item))
    return;
  decide (pending, index, item);
}

static void
read_failed (struct confstore_pending *pending, int error)
{
  /* The limit of rate is this instance's own: it passes. */
  if (error != ERR_RATE_LIMITED)
    pending->failed_reads++;
  if (!pending->in_doubt && pending->failed_reads >= CONFSTORE_WRITE_READS)
    finish (pending, ERR_UNAVAILABLE);
  else
    retry (pending);
}

/* @return true when the write has been taken further. */
static bool
settle_doubt (struct confstore_pending *pending,
              const struct platform_item *item)
{
  json_t *value = item == NULL
                      ? NULL
                      : object_parse_value (item->value, item->value_size);
  bool made = object_has_change (value, pending->result.change_id);

  json_decref (value);
  if (made)
    {
      confstore_offer (pending->confstore, item);
      succeed (pending, pending->index_base + item->index);
      return true;
    }
  if (pending->made)
    {
      /* Replaced already, and its record with it. */
      succeed (pending, 0);
      return true;
    }
  if ((item == NULL ? 0 : item->index) == pending->expected)
    {
      swap (pending);
      return true;
    }
  /* Somebody else's write took the place: the swap can never succeed. */
  pending->in_doubt = false;
  return false;
}

static void
decide (struct confstore_pending *pending, uint64_t store_index,
        const struct platform_item *item)
{
  struct confstore *confstore = pending->confstore;
  const char *key = pending->key + strlen (confstore->config.prefix);
  struct current current;

  if (item != NULL)
    confstore_offer (confstore, item);
  current = find_current (confstore, key, item);
  pending->expected = item == NULL ? 0 : item->index;
  if (!refuse (pending, &current))
    {
      make_value (pending, store_index, &current);
      if (pending->value == NULL)
        finish (pending, ERR_TOO_LARGE);
      else
        swap (pending);
    }
  json_decref (current.value);
}

static struct current
find_current (struct confstore *confstore, const char *key,
              const struct platform_item *item)
{
  const struct message_object *held = confsync_find (confstore->confsync, key);
  struct current current = { .value = NULL };
  json_t *stored = item == NULL
                       ? NULL
                       : object_parse_value (item->value, item->value_size);
  uint64_t stored_index
      = item == NULL ? 0 : object_index_base (stored) + item->index;

  if (held != NULL && held->index > stored_index)
    {
      json_decref (stored);
      if (held->value != NULL)
        current.value = object_parse_value (held->value, held->value_size);
      current.index = held->index;
      return current;
    }
  current.value = stored;
  current.index = stored_index;
  current.in_store = item != NULL;
  return current;
}

/* @return true when the change ends here. */
static bool
refuse (struct confstore_pending *pending, const struct current *current)
{
  const struct confstore_write *write = &pending->write;
  const json_t *object = object_of_value (current->value);
  uint64_t index = object == NULL ? 0 : current->index;

  pending->result.index = current->index;
  if ((write->conditional && write->if_match != index
       && write->if_match != current->index)
      || pending->conflicts > CONFSTORE_WRITE_CONFLICTS)
    report_conflict (pending, current);
  else if (write->object == NULL && object == NULL)
    finish (pending, ERR_NOT_FOUND);
  else if (current->in_store && write->object != NULL && object != NULL
           && json_equal (write->object, object))
    {
      pending->result.effect = CONFSTORE_UNCHANGED;
      finish (pending, 0);
    }
  return pending->step == STEP_DONE;
}

static void
report_conflict (struct confstore_pending *pending,
                 const struct current *current)
{
  const json_t *newest = json_array_get (object_history (current->value), 0);
  const char *name = json_string_value (json_object_get (newest, "operator"));

  snprintf (pending->result.other_operator,
            sizeof pending->result.other_operator, "%s",
            name == NULL ? "" : name);
  pending->result.other_time_ms
      = (uint64_t)json_integer_value (json_object_get (newest, "time_ms"));
  pending->confstore->counters.conflicts++;
  finish (pending, ERR_CONFLICT);
}

static void
make_value (struct confstore_pending *pending, uint64_t store_index,
            const struct current *current)
{
  struct confstore *confstore = pending->confstore;
  const struct confstore_write *write = &pending->write;
  uint64_t newest = confsync_newest (confstore->confsync);
  struct object_change change
      = { .time_ms = clock_wall_ms (confstore->config.clock),
          .previous_index = current->index,
          .index_base = confstore->index_base };

  /* The rule of coordination/confsync.h. */
  if (change.index_base + store_index + 1 <= newest)
    change.index_base = newest;
  snprintf (change.change_id, sizeof change.change_id, "%s",
            pending->result.change_id);
  snprintf (change.operator_name, sizeof change.operator_name, "%s",
            write->operator_name);
  snprintf (change.reason, sizeof change.reason, "%s", write->reason);
  pending->index_base = change.index_base;
  free (pending->value);
  pending->value = object_store_value (write->object, current->value, &change);
  if (write->object == NULL)
    pending->result.effect = CONFSTORE_DELETED;
  else if (object_of_value (current->value) == NULL)
    pending->result.effect = CONFSTORE_CREATED;
  else
    pending->result.effect = CONFSTORE_CHANGED;
}

static void
swap (struct confstore_pending *pending)
{
  struct platform *platform = pending->confstore->config.platform;
  int error;

  pending->step = STEP_WAIT;
  error = platform->ops->cas (platform, pending->key, pending->value,
                              strlen (pending->value), pending->expected,
                              swapped, pending);
  if (error != 0)
    swapped (pending, error == ERR_TOO_LARGE ? error : ERR_UNAVAILABLE, 0);
}

static void
swapped (void *user, int error, uint64_t index)
{
  struct confstore_pending *pending = user;
  struct confstore *confstore = pending->confstore;
  const struct platform_item item = { .key = pending->key,
                                      .value = pending->value,
                                      .value_size = strlen (pending->value),
                                      .index = index };

  confstore_note (confstore, error);
  if (error == 0 && index > 0)
    {
      confstore_offer (confstore, &item);
      succeed (pending, pending->index_base + index);
      return;
    }
  if (error == ERR_TOO_LARGE)
    {
      finish (pending, error);
      return;
    }
  /* A success without an index is read back like a lost answer. */
  pending->made = pending->made || error == 0;
  if (error == 0 || error == ERR_UNKNOWN_OUTCOME || error == ERR_TIMEOUT)
    pending->in_doubt = true;
  if (error == ERR_CONFLICT)
    {
      pending->conflicts++;
      read_key (pending);
    }
  else if (error == 0)
    read_key (pending);
  else if (error == ERR_UNAVAILABLE || error == ERR_RATE_LIMITED)
    read_failed (pending, error);
  else
    retry (pending);
}

static void
succeed (struct confstore_pending *pending, uint64_t index)
{
  struct confstore *confstore = pending->confstore;

  pending->result.index = index;
  confstore_notify (confstore);
  /* A listing tells that nothing older is missing here; then the peers are
     told of the new index.  A watch would not answer if the store went back.
   */
  if (confstore->relist_ns == 0)
    confstore->relist_ns = clock_now_ns (confstore->config.clock)
                           + CONFSTORE_WATCH_GAP_MS * CLOCK_NS_PER_MS;
  finish (pending, 0);
}

static void
retry (struct confstore_pending *pending)
{
  uint64_t now_ns = clock_now_ns (pending->confstore->config.clock);
  uint64_t delay_ms
      = CONFSTORE_WRITE_RETRY_MS / 2
        + confstore_random (pending->confstore, CONFSTORE_WRITE_RETRY_MS);

  pending->step = STEP_READ;
  pending->next_ns = now_ns + delay_ms * CLOCK_NS_PER_MS;
}

static void
give_up (struct confstore_pending *pending)
{
  if (pending->made)
    succeed (pending, 0);
  else
    finish (pending,
            pending->in_doubt ? ERR_UNKNOWN_OUTCOME : ERR_UNAVAILABLE);
}

/* The entry is released by the next confstore_write_run. */
static void
finish (struct confstore_pending *pending, int error)
{
  pending->step = STEP_DONE;
  pending->result.error = error;
  if (error == ERR_UNKNOWN_OUTCOME)
    pending->confstore->counters.unknown++;
  pending->done (pending->user, &pending->result);
}

static void
make_change_id (struct confstore *confstore, char *out, size_t size)
{
  snprintf (out, size, "%016" PRIx64 "-%" PRIx64,
            confstore_random (confstore, UINT64_MAX), ++confstore->sequence);
}
