/**
 * @file parsers.c
 * Each parser, with the invariants that hold for any input.
 */
#include "support/parsers.h"
#include "coordination/message.h"
#include "protocol/client.h"
#include "protocol/kvstore_codec.h"
#include "protocol/object.h"
#include "protocol/peercodec.h"
#include "protocol/settings.h"
#include "protocol/usage.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define NAME "studio"

static void run_settings (const uint8_t *data, size_t size);
static void run_object (const uint8_t *data, size_t size);
static void run_value (const uint8_t *data, size_t size);
static void run_listing (const uint8_t *data, size_t size);
static void run_frame (const uint8_t *data, size_t size);
static void run_request (const uint8_t *data, size_t size);
static void check_normal_form (enum object_kind kind, const json_t *object);
static void require_invariant (int holds, const char *what);

const struct parser parsers[PARSER_MAX] = {
  [PARSER_SETTINGS] = { "settings", run_settings },
  [PARSER_OBJECT] = { "object", run_object },
  [PARSER_VALUE] = { "value", run_value },
  [PARSER_LISTING] = { "listing", run_listing },
  [PARSER_FRAME] = { "frame", run_frame },
  [PARSER_REQUEST] = { "request", run_request },
};

/* A file that passes validation can be applied; for one that does not, an
   error is reported. */
static void
run_settings (const uint8_t *data, size_t size)
{
  struct settings *settings = NULL;
  struct catalog catalog;
  char *error_text = NULL;
  size_t error_text_size = 0;
  FILE *errors = open_memstream (&error_text, &error_text_size);
  int error = settings_load_text ("file", (const char *)data, size, &settings,
                                  errors);

  if (error == 0)
    error = settings_validate (settings, "/nonexistent", errors);
  fclose (errors);
  require_invariant (error == 0 || error_text_size > 0,
                     "a rejection has a reason");
  catalog_init (&catalog);
  if (error == 0)
    require_invariant (settings_apply (settings, &catalog) == 0,
                       "valid settings can be applied");
  catalog_finish (&catalog);
  settings_free (settings);
  free (error_text);
}

/* The first byte selects the kind of object. */
static void
run_object (const uint8_t *data, size_t size)
{
  struct object_error error_details;
  enum object_kind kind;
  json_t *object;

  if (size == 0)
    return;
  kind = (enum object_kind) (data[0] % OBJECT_KIND_MAX);
  object = object_normalise (kind, NAME, (const char *)data + 1, size - 1,
                             &error_details);
  if (object == NULL)
    require_invariant (error_details.reason[0] != '\0',
                       "a rejection has a reason");
  else
    check_normal_form (kind, object);
  json_decref (object);
}

/* Normalising a normal form changes nothing, and it can be installed. */
static void
check_normal_form (enum object_kind kind, const json_t *object)
{
  const struct object_change change = { .change_id = "c" };
  struct object_error error_details;
  struct catalog catalog;
  char key[64];
  char *text = json_dumps (object, 0);
  char *value = object_encode_value (object, NULL, &change);
  json_t *renormalised
      = object_normalise (kind, NAME, text, strlen (text), &error_details);

  require_invariant (renormalised != NULL && json_equal (object, renormalised),
                     "a normal form is stable");
  snprintf (key, sizeof key, "%s/" NAME, object_kind_name (kind));
  catalog_init (&catalog);
  require_invariant (
      value != NULL
          && object_install (&catalog, key, value, strlen (value)) == 0,
      "a normal form can be installed");
  catalog_finish (&catalog);
  json_decref (renormalised);
  free (value);
  free (text);
}

static void
run_value (const uint8_t *data, size_t size)
{
  static const char *const keys[]
      = { "customer/" NAME, "profile/" NAME, "service/" NAME };
  struct catalog catalog;
  json_t *value = object_parse_value ((const char *)data, size);
  json_t *differences;
  size_t i;

  catalog_init (&catalog);
  for (i = 0; i < sizeof keys / sizeof keys[0]; i++)
    object_install (&catalog, keys[i], (const char *)data, size);
  catalog_finish (&catalog);
  object_has_change (value, "c");
  object_index_base (value);
  differences = object_differences (object_from_value (value), NULL);
  json_decref (differences);
  differences = object_redact (object_from_value (value));
  json_decref (differences);
  json_decref (value);
}

static void
run_listing (const uint8_t *data, size_t size)
{
  struct kvstore_codec_items items;
  char session[16];
  bool written;
  size_t i;

  if (kvstore_codec_decode ((const char *)data, size, &items) == 0)
    {
      for (i = 0; i < items.count; i++)
        require_invariant (items.items[i].key != NULL
                               && items.items[i].index > 0,
                           "an item has a key and an index");
      kvstore_codec_items_finish (&items);
    }
  kvstore_codec_decode_bool ((const char *)data, size, &written);
  kvstore_codec_decode_session ((const char *)data, size, session,
                                sizeof session);
}

/* The input is a sequence of frames in one direction, each after its length in
   one byte.  Each decoded message can be encoded again. */
static void
run_frame (const uint8_t *data, size_t size)
{
  struct peercodec_decoder decoder = { .pair_count = 0 };
  struct peercodec_encoder encoder = { .pairs = NULL };
  struct peercodec_buffer buffer = { .size = 0 };
  struct message message;

  while (size > 0)
    {
      size_t length = data[0] < size ? data[0] : size - 1;

      if (peercodec_decode (&decoder, data + 1, length, &message) != 0)
        break;
      peercodec_encode (&encoder, &message, &buffer);
      message_finish (&message);
      data += length + 1;
      size -= length + 1;
    }
  peercodec_buffer_finish (&buffer);
  peercodec_encoder_finish (&encoder);
  peercodec_decoder_finish (&decoder);
}

static void
run_request (const uint8_t *data, size_t size)
{
  struct client_prompt prompt;
  struct client_path path;
  struct usage usage = { .events = 0 };
  uint8_t digest[CATALOG_KEY_HASH_SIZE];
  char *text = malloc (size + 1);

  if (text == NULL)
    return;
  memcpy (text, data, size);
  text[size] = '\0';
  client_parse_prompt (text, size, &prompt);
  client_parse_path (text, &path);
  require_invariant (path.target != CLIENT_TARGET_PLAIN
                         || strcmp (path.upstream_path, "/") == 0
                         || (path.upstream_path > text
                             && path.upstream_path < text + size
                             && path.upstream_path[0] == '/'),
                     "the upstream path is a path within the request path");
  client_key_digest (text, digest);
  client_request_id_valid (text);
  usage_feed (&usage, text, size / 2);
  usage_feed (&usage, text + size / 2, size - size / 2);
  free (text);
}

static void
require_invariant (int holds, const char *what)
{
  if (holds)
    return;
  fprintf (stderr, "invariant violated: %s\n", what);
  abort ();
}
