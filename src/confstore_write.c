/**
 * @file confstore_write.c
 * Performs a change: reads the key, decides what to write, and writes it with
 * a compare-and-swap, here called the swap.  When the response to the swap is
 * lost, reads the key again and looks for the change id in the history of the
 * value.
 *
 * When the key still has its old index, the swap of unknown outcome may still
 * arrive at the store.  The swap is therefore sent again with the same
 * expected index: at most one of the two takes effect, and the response to
 * either gives the outcome.
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
  STEP_READ,      /* the key is to be read at backoff_end_ns */
  STEP_IN_FLIGHT, /* waits for the response of the store */
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
  bool outcome_unknown; /* a swap was sent and its outcome is not known */
  bool applied;         /* the store confirmed the swap without an index */
  uint32_t failed_reads;
  uint32_t conflicts;
  uint64_t backoff_end_ns;
  uint64_t deadline_ns;
  struct confstore_baseline baseline; /* when the key was last read */
  uint64_t expected_index; /* modify index that the swap replaces; 0: no key */
  uint64_t index_base;     /* of the value being written */
  char *value;             /* encoded value being written */
  char key[KEY_SIZE];
  struct confstore_result result;
};

/** Current value of a key: the newer of those in the store and in confsync. */
struct current
{
  json_t *value;  /* NULL when there is none */
  uint64_t index; /* 0 when there is none */
  bool in_store;  /* `value` is the one in the store */
};

static void read_key (struct confstore_pending *pending);
static void on_key_read (void *user, int error, uint64_t index,
                         const struct kvstore_item *items, size_t count);
static void on_read_failed (struct confstore_pending *pending, int error);
static bool resolve_outcome (struct confstore_pending *pending,
                             const struct kvstore_item *item);
static void prepare_swap (struct confstore_pending *pending,
                          uint64_t store_index,
                          const struct kvstore_item *item);
static struct current find_current (struct confstore *confstore,
                                    const char *key,
                                    const struct kvstore_item *item);
static bool finish_without_swap (struct confstore_pending *pending,
                                 const struct current *current);
static void report_conflict (struct confstore_pending *pending,
                             const struct current *current);
static void encode_value (struct confstore_pending *pending,
                          uint64_t store_index, const struct current *current);
static void swap (struct confstore_pending *pending);
static void on_swapped (void *user, int error, uint64_t index);
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
  pending->deadline_ns = now_ns + CONFSTORE_WRITE_TIMEOUT_MS * CLOCK_NS_PER_MS;
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

      if (pending->step == STEP_READ && now_ns >= pending->deadline_ns)
        give_up (pending);
      else if (pending->step == STEP_READ && now_ns >= pending->backoff_end_ns)
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
confstore_pending_writes (const struct confstore *confstore)
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
  struct kvstore *store = pending->confstore->config.kvstore;
  int error;

  pending->step = STEP_IN_FLIGHT;
  pending->baseline = confstore_current_baseline (pending->confstore);
  error = store->ops->get (store, pending->key, on_key_read, pending);
  if (error != 0)
    on_key_read (pending, error, 0, NULL, 0);
}

static void
on_key_read (void *user, int error, uint64_t index,
             const struct kvstore_item *items, size_t count)
{
  struct confstore_pending *pending = user;
  const struct kvstore_item *item = NULL;

  confstore_record_result (pending->confstore, error);
  if (error == 0 && count == 1)
    item = &items[0];
  else if (error != ERR_NOT_FOUND)
    {
      on_read_failed (pending, error == 0 ? ERR_PROTOCOL : error);
      return;
    }
  pending->failed_reads = 0;
  if (index > 0 && index < pending->baseline.store_index)
    confstore_detect_revert (pending->confstore, index, &pending->baseline);
  if (pending->outcome_unknown && resolve_outcome (pending, item))
    return;
  prepare_swap (pending, index, item);
}

static void
on_read_failed (struct confstore_pending *pending, int error)
{
  /* The rate limit is local to this instance and soon allows calls again. */
  if (error != ERR_RATE_LIMITED)
    pending->failed_reads++;
  if (!pending->outcome_unknown
      && pending->failed_reads >= CONFSTORE_WRITE_FAILED_READS_MAX)
    finish (pending, ERR_UNAVAILABLE);
  else
    retry (pending);
}

/* Looks for the change of a swap of unknown outcome in the item read.
   @return true when the change has succeeded or the swap was sent again; false
   when a new swap has to be prepared. */
static bool
resolve_outcome (struct confstore_pending *pending,
                 const struct kvstore_item *item)
{
  json_t *value = item == NULL
                      ? NULL
                      : object_parse_value (item->value, item->value_size);
  bool made = object_has_change (value, pending->result.change_id);

  json_decref (value);
  if (made)
    {
      confstore_offer (pending->confstore, item);
      succeed (pending, object_index (pending->index_base, item->index));
      return true;
    }
  if (pending->applied)
    {
      /* A later change has replaced the value and its change record. */
      succeed (pending, 0);
      return true;
    }
  if ((item == NULL ? 0 : item->index) == pending->expected_index)
    {
      swap (pending);
      return true;
    }
  /* Another write has changed the key, so the swap can no longer succeed. */
  pending->outcome_unknown = false;
  return false;
}

static void
prepare_swap (struct confstore_pending *pending, uint64_t store_index,
              const struct kvstore_item *item)
{
  struct confstore *confstore = pending->confstore;
  const char *key = pending->key + strlen (confstore->config.prefix);
  struct current current;

  if (item != NULL)
    confstore_offer (confstore, item);
  current = find_current (confstore, key, item);
  pending->expected_index = item == NULL ? 0 : item->index;
  if (!finish_without_swap (pending, &current))
    {
      encode_value (pending, store_index, &current);
      if (pending->value == NULL)
        finish (pending, ERR_TOO_LARGE);
      else
        swap (pending);
    }
  json_decref (current.value);
}

static struct current
find_current (struct confstore *confstore, const char *key,
              const struct kvstore_item *item)
{
  const struct message_object *known
      = confsync_find (confstore->confsync, key);
  struct current current = { .value = NULL };
  json_t *stored = item == NULL
                       ? NULL
                       : object_parse_value (item->value, item->value_size);
  uint64_t stored_index
      = item == NULL ? 0
                     : object_index (object_index_base (stored), item->index);

  if (known != NULL
      && (known->index > stored_index || stored_index > OBJECT_INDEX_MAX))
    {
      json_decref (stored);
      if (known->value != NULL)
        current.value = object_parse_value (known->value, known->value_size);
      current.index = known->index;
      return current;
    }
  current.value = stored;
  current.index = stored_index > OBJECT_INDEX_MAX ? 0 : stored_index;
  current.in_store = item != NULL;
  return current;
}

/* Finishes a change that conflicts or needs no write.
   @return true when it is finished. */
static bool
finish_without_swap (struct confstore_pending *pending,
                     const struct current *current)
{
  const struct confstore_write *write = &pending->write;
  const json_t *object = object_from_value (current->value);
  uint64_t index = object == NULL ? 0 : current->index;

  pending->result.index = current->index;
  if ((write->conditional && write->if_match != index
       && write->if_match != current->index)
      || pending->conflicts > CONFSTORE_WRITE_CONFLICTS_MAX)
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
  const json_t *latest_change
      = json_array_get (object_history (current->value), 0);
  const char *name
      = json_string_value (json_object_get (latest_change, "operator"));

  snprintf (pending->result.conflicting_operator,
            sizeof pending->result.conflicting_operator, "%s",
            name == NULL ? "" : name);
  pending->result.conflicting_time_ms = (uint64_t)json_integer_value (
      json_object_get (latest_change, "time_ms"));
  pending->confstore->counters.conflicts++;
  finish (pending, ERR_CONFLICT);
}

static void
encode_value (struct confstore_pending *pending, uint64_t store_index,
              const struct current *current)
{
  struct confstore *confstore = pending->confstore;
  const struct confstore_write *write = &pending->write;
  uint64_t known_index = confsync_newest_index (confstore->confsync);
  struct object_change change
      = { .time_ms = clock_wall_ms (confstore->config.clock),
          .previous_index = current->index,
          .index_base = confstore->index_base };

  /* The new index must exceed every known one; see coordination/confsync.h. */
  if (object_index (change.index_base, store_index + 1) <= known_index)
    change.index_base = known_index;
  /* Among very large indexes, the least base that does: the sum has to fit. */
  if (object_index (change.index_base, store_index + 1) > OBJECT_INDEX_MAX)
    change.index_base
        = known_index > store_index ? known_index - store_index : 0;
  snprintf (change.change_id, sizeof change.change_id, "%s",
            pending->result.change_id);
  snprintf (change.operator_name, sizeof change.operator_name, "%s",
            write->operator_name);
  snprintf (change.reason, sizeof change.reason, "%s", write->reason);
  pending->index_base = change.index_base;
  free (pending->value);
  pending->value
      = object_encode_value (write->object, current->value, &change);
  if (write->object == NULL)
    pending->result.effect = CONFSTORE_DELETED;
  else if (object_from_value (current->value) == NULL)
    pending->result.effect = CONFSTORE_CREATED;
  else
    pending->result.effect = CONFSTORE_CHANGED;
}

static void
swap (struct confstore_pending *pending)
{
  struct kvstore *store = pending->confstore->config.kvstore;
  int error;

  pending->step = STEP_IN_FLIGHT;
  error = store->ops->cas (store, pending->key, pending->value,
                           strlen (pending->value), pending->expected_index,
                           on_swapped, pending);
  if (error != 0)
    on_swapped (pending, error == ERR_TOO_LARGE ? error : ERR_UNAVAILABLE, 0);
}

static void
on_swapped (void *user, int error, uint64_t index)
{
  struct confstore_pending *pending = user;
  struct confstore *confstore = pending->confstore;
  const struct kvstore_item item = { .key = pending->key,
                                     .value = pending->value,
                                     .value_size = strlen (pending->value),
                                     .index = index };

  confstore_record_result (confstore, error);
  if (error == 0 && index > 0)
    {
      confstore_offer (confstore, &item);
      succeed (pending, object_index (pending->index_base, index));
      return;
    }
  if (error == ERR_TOO_LARGE)
    {
      finish (pending, error);
      return;
    }
  /* After a success without an index, as after a lost response, the key is
     read again. */
  pending->applied = pending->applied || error == 0;
  if (error == 0 || error == ERR_UNKNOWN_OUTCOME || error == ERR_TIMEOUT)
    pending->outcome_unknown = true;
  if (error == ERR_CONFLICT)
    {
      pending->conflicts++;
      read_key (pending);
    }
  else if (error == 0)
    read_key (pending);
  else if (error == ERR_UNAVAILABLE || error == ERR_RATE_LIMITED)
    on_read_failed (pending, error);
  else
    retry (pending);
}

static void
succeed (struct confstore_pending *pending, uint64_t index)
{
  struct confstore *confstore = pending->confstore;

  pending->result.index = index;
  confstore_notify_changed (confstore);
  /* Peers are told the new index only after a listing has confirmed that no
     older object is missing here.  A watch in flight would not return if the
     store was reverted, so a listing is scheduled. */
  if (confstore->relist_time_ns == 0)
    confstore->relist_time_ns = clock_now_ns (confstore->config.clock)
                                + CONFSTORE_WATCH_PAUSE_MS * CLOCK_NS_PER_MS;
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
  pending->backoff_end_ns = now_ns + delay_ms * CLOCK_NS_PER_MS;
}

/* Ends a change whose deadline has passed. */
static void
give_up (struct confstore_pending *pending)
{
  if (pending->applied)
    succeed (pending, 0);
  else
    finish (pending,
            pending->outcome_unknown ? ERR_UNKNOWN_OUTCOME : ERR_UNAVAILABLE);
}

/* The next confstore_write_run frees the entry. */
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
