/**
 * @file confsync.c
 * Table of the newest object of each key.
 */
#include "coordination/confsync.h"
#include "state/err.h"
#include <stdlib.h>
#include <string.h>
#include <uthash.h>

struct confsync_entry
{
  struct message_object object;
  UT_hash_handle hh;
};

struct confsync
{
  struct confsync_sink sink;
  struct confsync_entry *objects;
  bool ready;
  uint64_t complete_index;
  uint64_t newest_index;
};

static int compare_objects (const struct message_object *left,
                            const struct message_object *right);
static int copy_value (const struct message_object *object, char **value);
static void set_object (struct confsync *confsync,
                        struct confsync_entry *entry,
                        const struct message_object *object, char *value);
static struct confsync_entry *find_entry (const struct confsync *confsync,
                                          const char *key);
static int send_response_part (const struct confsync *confsync,
                               uint64_t instance_id, struct message *response,
                               bool complete,
                               const struct message_sender *sender);

struct confsync *
confsync_new (const struct confsync_sink *sink)
{
  struct confsync *confsync = calloc (1, sizeof *confsync);

  if (confsync != NULL)
    confsync->sink = *sink;
  return confsync;
}

void
confsync_free (struct confsync *confsync)
{
  struct confsync_entry *entry;
  struct confsync_entry *next;

  if (confsync == NULL)
    return;
  entry = confsync->objects;
  HASH_CLEAR (hh, confsync->objects);
  for (; entry != NULL; entry = next)
    {
      next = entry->hh.next;
      free (entry->object.value);
      free (entry);
    }
  free (confsync);
}

int
confsync_offer (struct confsync *confsync, const struct message_object *object)
{
  struct confsync_entry *entry;
  struct confsync_entry *new_entry = NULL;
  char *value = NULL;
  int error;

  if (memchr (object->key, '\0', sizeof object->key) == NULL
      || object->index == 0 || (!object->deleted && object->value == NULL))
    return ERR_INVALID;
  entry = find_entry (confsync, object->key);
  if (entry != NULL && compare_objects (object, &entry->object) <= 0)
    return object->index < entry->object.index ? ERR_STALE : 0;
  error = copy_value (object, &value);
  if (error == 0 && entry == NULL)
    {
      new_entry = calloc (1, sizeof *new_entry);
      error = new_entry == NULL ? ERR_NO_MEMORY : 0;
    }
  if (error == 0)
    error = confsync->sink.apply (confsync->sink.user, object->key, value,
                                  object->value_size);
  if (error != 0)
    {
      free (value);
      free (new_entry);
      return error;
    }
  if (new_entry != NULL)
    {
      memcpy (new_entry->object.key, object->key,
              sizeof new_entry->object.key);
      HASH_ADD_STR (confsync->objects, object.key, new_entry);
      entry = new_entry;
    }
  set_object (confsync, entry, object, value);
  return 1;
}

/* Orders objects by index, then by value.  Objects of equal index differ only
   when two writers raised the base at the same time or when in-memory stores
   differ; every instance must then choose the same one. */
static int
compare_objects (const struct message_object *left,
                 const struct message_object *right)
{
  size_t size = left->value_size < right->value_size ? left->value_size
                                                     : right->value_size;
  int order = 0;

  if (left->index != right->index)
    return left->index < right->index ? -1 : 1;
  if (size > 0)
    order = memcmp (left->value, right->value, size);
  if (order != 0)
    return order;
  return (left->value_size > right->value_size)
         - (left->value_size < right->value_size);
}

static int
copy_value (const struct message_object *object, char **value)
{
  if (object->value == NULL)
    return 0;
  *value = malloc (object->value_size + 1);
  if (*value == NULL)
    return ERR_NO_MEMORY;
  memcpy (*value, object->value, object->value_size);
  (*value)[object->value_size] = '\0';
  return 0;
}

static void
set_object (struct confsync *confsync, struct confsync_entry *entry,
            const struct message_object *object, char *value)
{
  free (entry->object.value);
  entry->object.value = value;
  entry->object.value_size = value == NULL ? 0 : object->value_size;
  entry->object.deleted = object->deleted;
  entry->object.index = object->index;
  if (object->index > confsync->newest_index)
    confsync->newest_index = object->index;
}

void
confsync_mark_complete (struct confsync *confsync, uint64_t index)
{
  confsync->ready = true;
  if (index > confsync->complete_index)
    confsync->complete_index = index;
}

bool
confsync_ready (const struct confsync *confsync)
{
  return confsync->ready;
}

uint64_t
confsync_complete_index (const struct confsync *confsync)
{
  return confsync->complete_index;
}

uint64_t
confsync_newest_index (const struct confsync *confsync)
{
  return confsync->newest_index;
}

int
confsync_respond (const struct confsync *confsync, uint64_t instance_id,
                  uint64_t since_index, const struct message_sender *sender)
{
  struct message response = { .kind = MESSAGE_CONFIG };
  const struct confsync_entry *entry;
  size_t bytes = 0;
  int error = 0;

  /* The messages borrow the values of the objects held here. */
  response.u.config.objects = calloc (HASH_COUNT (confsync->objects) + 1,
                                      sizeof *response.u.config.objects);
  if (response.u.config.objects == NULL)
    return ERR_NO_MEMORY;
  for (entry = confsync->objects; entry != NULL && error == 0;
       entry = entry->hh.next)
    {
      if (entry->object.index <= since_index)
        continue;
      if (bytes > 0 && bytes + entry->object.value_size > CONFSYNC_PART_BYTES)
        {
          error = send_response_part (confsync, instance_id, &response, false,
                                      sender);
          response.u.config.object_count = 0;
          bytes = 0;
        }
      response.u.config.objects[response.u.config.object_count++]
          = entry->object;
      bytes += entry->object.value_size + MESSAGE_KEY_SIZE;
    }
  if (error == 0)
    error = send_response_part (confsync, instance_id, &response,
                                confsync->ready, sender);
  free (response.u.config.objects);
  return error;
}

/* While this instance has no complete configuration itself, it does not mark
   the last part of its response as complete. */
static int
send_response_part (const struct confsync *confsync, uint64_t instance_id,
                    struct message *response, bool complete,
                    const struct message_sender *sender)
{
  response->u.config.newest_index = confsync->complete_index;
  response->u.config.complete = complete;
  return sender->send (sender->user, instance_id, response);
}

const struct message_object *
confsync_find (const struct confsync *confsync, const char *key)
{
  const struct confsync_entry *entry = find_entry (confsync, key);

  return entry == NULL ? NULL : &entry->object;
}

int
confsync_visit (const struct confsync *confsync, confsync_visitor visit,
                void *user)
{
  const struct confsync_entry *entry;
  int result = 0;

  for (entry = confsync->objects; entry != NULL && result == 0;
       entry = entry->hh.next)
    result = visit (user, &entry->object);
  return result;
}

static struct confsync_entry *
find_entry (const struct confsync *confsync, const char *key)
{
  struct confsync_entry *entry = NULL;

  HASH_FIND_STR (confsync->objects, key, entry);
  return entry;
}
