/**
 * @file admin_objects.c
 * GET of objects and of their audit trail.
 */
#include "admin_int.h"
#include "confstore_module.h"
#include "state/err.h"
#include <event2/keyvalq_struct.h>
#include <stdlib.h>
#include <string.h>

#define AUDIT_MAX 1000 /* change records in one response */

/** Filter and result of one pass over the objects. */
struct listing
{
  const struct admin_request *request;
  json_t *out;
  enum object_kind kind; /* OBJECT_KIND_MAX for all */
  const char *key;       /* NULL for all */
};

static void get_collection (struct admin_request *request,
                            enum object_kind kind);
static void get_object (struct admin_request *request, enum object_kind kind,
                        const char *name);
static int add_object (void *user, const struct message_object *object);
static json_t *describe_object (const struct admin_request *request,
                                const struct message_object *object,
                                bool with_history);
static int add_changes (void *user, const struct message_object *object);
static int compare_changes (const void *left, const void *right);
static json_t *sort_changes (json_t *changes);
static uint64_t integer_member (const json_t *object, const char *key);
static struct confsync *confsync_of (const struct admin_request *request);

void
admin_get_objects (struct admin_request *request)
{
  char collection[CATALOG_NAME_SIZE];
  size_t length = strcspn (request->path_suffix, "/");
  enum object_kind kind = OBJECT_KIND_MAX;
  const char *name = request->path_suffix + length;

  if (length < sizeof collection)
    {
      memcpy (collection, request->path_suffix, length);
      collection[length] = '\0';
      kind = object_find_kind (collection);
    }
  if (kind == OBJECT_KIND_MAX)
    admin_reply_error (request->http, HTTP_NOTFOUND, "path", "no such path",
                       NULL);
  else if (*name == '\0')
    get_collection (request, kind);
  else
    get_object (request, kind, name + 1);
}

static void
get_collection (struct admin_request *request, enum object_kind kind)
{
  struct listing listing
      = { .request = request, .out = json_array (), .kind = kind };

  confsync_visit (confsync_of (request), add_object, &listing);
  admin_reply (
      request->http, HTTP_OK,
      json_pack ("{s:I, s:o}", "index",
                 (json_int_t)confsync_complete_index (confsync_of (request)),
                 "objects", listing.out));
}

static int
add_object (void *user, const struct message_object *object)
{
  struct listing *listing = user;
  enum object_kind kind;
  const char *name;

  if (object->deleted || object_parse_key (object->key, &kind, &name) != 0
      || kind != listing->kind)
    return 0;
  json_array_append_new (listing->out,
                         describe_object (listing->request, object, false));
  return 0;
}

static void
get_object (struct admin_request *request, enum object_kind kind,
            const char *name)
{
  char key[MESSAGE_KEY_SIZE];
  const struct message_object *object;

  snprintf (key, sizeof key, "%s/%s", object_kind_name (kind), name);
  object = confsync_find (confsync_of (request), key);
  if (object == NULL || object->deleted)
    admin_reply_error (request->http, HTTP_NOTFOUND, "not_found",
                       "no such object", NULL);
  else
    admin_reply (request->http, HTTP_OK,
                 describe_object (request, object, true));
}

static json_t *
describe_object (const struct admin_request *request,
                 const struct message_object *object, bool with_history)
{
  json_t *value = object_parse_value (object->value, object->value_size);
  const json_t *full = object_from_value (value);
  json_t *visible = request->token->role == SETTINGS_ROLE_WRITE
                        ? json_incref ((json_t *)full)
                        : object_redact (full);
  json_t *out = json_pack ("{s:s, s:I, s:o}", "key", object->key, "index",
                           (json_int_t)object->index, "object", visible);

  if (with_history && out != NULL)
    json_object_set (out, "changes", (json_t *)object_history (value));
  json_decref (value);
  return out;
}

void
admin_audit (struct admin_request *request)
{
  struct evkeyvalq query = { .tqh_first = NULL };
  struct listing listing = { .request = request, .out = json_array () };

  if (request->query != NULL
      && evhttp_parse_query_str (request->query, &query) == 0)
    listing.key = evhttp_find_header (&query, "key");
  confsync_visit (confsync_of (request), add_changes, &listing);
  admin_reply (request->http, HTTP_OK,
               json_pack ("{s:o}", "changes", sort_changes (listing.out)));
  if (request->query != NULL)
    evhttp_clear_headers (&query);
}

/* A change record stores the index before the change, so the index after it
   is taken from the next newer record or, for the newest, from the object. */
static int
add_changes (void *user, const struct message_object *object)
{
  struct listing *listing = user;
  json_t *value;
  json_int_t index = (json_int_t)object->index;
  const json_t *history;
  size_t i;

  if (listing->key != NULL && strcmp (listing->key, object->key) != 0)
    return 0;
  value = object->value == NULL
              ? NULL
              : object_parse_value (object->value, object->value_size);
  history = object_history (value);
  for (i = 0; i < json_array_size (history); i++)
    {
      json_t *change = json_copy (json_array_get (history, i));

      json_object_set_new (change, "key", json_string (object->key));
      json_object_set_new (change, "index", json_integer (index));
      index = (json_int_t)integer_member (change, "previous_index");
      json_array_append_new (listing->out, change);
    }
  json_decref (value);
  return 0;
}

/* Sorts newest first and keeps at most AUDIT_MAX.  Steals the reference of
   `changes` and returns a new one. */
static json_t *
sort_changes (json_t *changes)
{
  size_t count = json_array_size (changes);
  json_t **sorted = calloc (count + 1, sizeof (json_t *));
  json_t *out = json_array ();
  size_t i;

  if (sorted != NULL)
    {
      for (i = 0; i < count; i++)
        sorted[i] = json_array_get (changes, i);
      qsort (sorted, count, sizeof (json_t *), compare_changes);
      for (i = 0; i < count && i < AUDIT_MAX; i++)
        json_array_append (out, sorted[i]);
    }
  free (sorted);
  json_decref (changes);
  return out;
}

static int
compare_changes (const void *left, const void *right)
{
  const json_t *a = *(const json_t *const *)left;
  const json_t *b = *(const json_t *const *)right;
  uint64_t a_time = integer_member (a, "time_ms");
  uint64_t b_time = integer_member (b, "time_ms");

  if (a_time != b_time)
    return a_time > b_time ? -1 : 1;
  if (integer_member (a, "index") == integer_member (b, "index"))
    return 0;
  return integer_member (a, "index") > integer_member (b, "index") ? -1 : 1;
}

static uint64_t
integer_member (const json_t *object, const char *key)
{
  return (uint64_t)json_integer_value (json_object_get (object, key));
}

static struct confsync *
confsync_of (const struct admin_request *request)
{
  return confstore_confsync (confstore_module_get (request->router));
}
