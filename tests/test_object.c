/**
 * @file test_object.c
 * Configuration objects: normal form, errors, history of changes, differences,
 * and installation into the catalog.
 */
#include "protocol/kvstore.h"
#include "protocol/object.h"
#include "state/err.h"
#include "support/suite.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define KEY_DIGEST                                                            \
  "3f49f73db5ae6f4c3d24e9a86bbd33df0b08a7a4a7e3ba6b1e02a0a8ac01d04c"

static json_t *
normalise (enum object_kind kind, const char *name, const char *text,
           struct object_error *error_details)
{
  return object_normalise (kind, name, text, strlen (text), error_details);
}

static void
test_api_keys_are_hashed (void)
{
  struct object_error error_details;
  json_t *plain = normalise (OBJECT_CUSTOMER, "studio",
                             "{\"weight\":3,\"keys\":[\"studio-secret-key\"]}",
                             &error_details);
  const char *digest = json_string_value (
      json_array_get (json_object_get (plain, "key_sha256"), 0));
  char text[256];
  json_t *again;
  char *dump;

  CU_ASSERT_PTR_NOT_NULL_FATAL (digest);
  dump = json_dumps (plain, 0);
  CU_ASSERT_PTR_NULL (strstr (dump, "studio-secret-key"));
  snprintf (
      text, sizeof text,
      "{\"name\":\"studio\",\"weight\":3,\"key_sha256\":[\"%s\",\"%s\"]}",
      digest, digest);
  again = normalise (OBJECT_CUSTOMER, "studio", text, &error_details);
  CU_ASSERT (json_equal (plain, again));
  free (dump);
  json_decref (plain);
  json_decref (again);
}

struct rejected_object
{
  enum object_kind kind;
  const char *text;
  const char *path;
  uint32_t line;
  const char *reason;
};

static void
test_rejected_objects (void)
{
  static const struct rejected_object cases[] = {
    { OBJECT_CUSTOMER, "{\n\"weight\": 3,\n\"wieght\": 3}", "wieght", 3,
      "unknown field" },
    { OBJECT_CUSTOMER, "{\"weight\": \"3\"}", "weight", 1,
      "not a whole number" },
    { OBJECT_CUSTOMER, "{\"weight\": 0}", "weight", 1, "out of range" },
    { OBJECT_CUSTOMER, "{\"weight\": -1}", "weight", 1, "out of range" },
    { OBJECT_CUSTOMER, "{\"name\": \"other\"}", "name", 1, "differs" },
    { OBJECT_CUSTOMER, "{\"keys\": [\"short\"]}", "keys[0]", 1, "bytes" },
    { OBJECT_CUSTOMER, "{\"weight\": 1, \"weight\": 2}", "", 1, "not JSON" },
    { OBJECT_CUSTOMER, "[]", "object", 1, "not an object" },
    { OBJECT_CUSTOMER, "{\"weight\": 3", "", 1, "not JSON" },
    { OBJECT_PROFILE, "{}", "service", 1, "is missing" },
    { OBJECT_PROFILE, "{\"service\":\"s\",\"idempotent\":1}", "idempotent", 1,
      "not true or false" },
    { OBJECT_PROFILE, "{\"service\":\"s\",\"class\":\"slow\"}", "class", 1,
      "not one of durable, quick, disposable" },
    { OBJECT_SERVICE,
      "{\"kind\":\"plain\",\n\"upstreams\":[\n{\"address\":\"127.0.0.1:1\","
      "\"availability_zone\":\"a\",\"slots\":1},\n{\"address\":"
      "\"localhost:1\",\"availability_zone\":\"a\",\"slots\":1}]}",
      "upstreams[1].address", 4, "not an IP number" },
    { OBJECT_SERVICE, "{\"kind\":\"plain\",\"upstreams\":[]}", "upstreams", 1,
      "0 entries" },
  };
  struct object_error error_details;
  size_t i;

  for (i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      CU_ASSERT_PTR_NULL (
          normalise (cases[i].kind, "studio", cases[i].text, &error_details));
      CU_ASSERT_STRING_EQUAL (error_details.path, cases[i].path);
      CU_ASSERT_EQUAL (error_details.line, cases[i].line);
      CU_ASSERT_PTR_NOT_NULL (strstr (error_details.reason, cases[i].reason));
    }
}

/* Encodes `count` successive changes of a weight and returns the last stored
   value, parsed. */
static json_t *
store_weights (uint32_t count, size_t reason_bytes)
{
  struct object_change change = { .operator_name = "ana" };
  json_t *value = NULL;
  uint32_t i;

  memset (change.reason, 'r', reason_bytes);
  for (i = 1; i <= count; i++)
    {
      json_t *object = json_pack ("{s:s, s:i}", "name", "studio", "weight", i);
      char *text;

      snprintf (change.change_id, sizeof change.change_id, "change-%u", i);
      change.previous_index = (uint64_t)10 * (i - 1);
      text = object_encode_value (object, value, &change);
      json_decref (object);
      json_decref (value);
      CU_ASSERT_PTR_NOT_NULL_FATAL (text);
      value = object_parse_value (text, strlen (text));
      free (text);
      CU_ASSERT_PTR_NOT_NULL_FATAL (value);
    }
  return value;
}

static void
test_history_is_bounded_and_lists_fields (void)
{
  json_t *value = store_weights (20, 10);
  const json_t *history = object_history (value);
  const json_t *newest = json_array_get (history, 0);
  const json_t *field = json_array_get (json_object_get (newest, "fields"), 0);

  CU_ASSERT_EQUAL (json_array_size (history), OBJECT_HISTORY_MAX);
  CU_ASSERT (object_has_change (value, "change-20"));
  CU_ASSERT (object_has_change (value, "change-5"));
  CU_ASSERT (!object_has_change (value, "change-4"));
  CU_ASSERT_EQUAL (
      json_integer_value (json_object_get (newest, "previous_index")), 190);
  CU_ASSERT_EQUAL (json_array_size (json_object_get (newest, "fields")), 1);
  CU_ASSERT_STRING_EQUAL (json_string_value (json_object_get (field, "path")),
                          "weight");
  CU_ASSERT_EQUAL (json_integer_value (json_object_get (field, "old")), 19);
  CU_ASSERT_EQUAL (json_integer_value (json_object_get (field, "new")), 20);
  json_decref (value);
}

static void
test_oversized_history_drops_the_oldest (void)
{
  struct object_change change = { .change_id = "big" };
  json_t *value = store_weights (3, 10);
  char *filler = malloc (KVSTORE_VALUE_MAX);
  json_t *object;
  json_t *after;
  char *text;

  CU_ASSERT_PTR_NOT_NULL_FATAL (filler);
  memset (filler, 'x', KVSTORE_VALUE_MAX);
  filler[KVSTORE_VALUE_MAX / 2 - 350] = '\0';
  /* Stored twice, in the object and as a new value in the change record, this
     leaves too little room for all older records. */
  object = json_pack ("{s:s}", "filler", filler);
  text = object_encode_value (object, value, &change);
  CU_ASSERT_PTR_NOT_NULL_FATAL (text);
  CU_ASSERT (strlen (text) <= KVSTORE_VALUE_MAX);
  after = object_parse_value (text, strlen (text));
  CU_ASSERT (object_has_change (after, "big"));
  CU_ASSERT (!object_has_change (after, "change-1"));
  free (text);
  json_object_set_new (object, "more", json_string (filler));
  CU_ASSERT_PTR_NULL (object_encode_value (object, value, &change));
  free (filler);
  json_decref (object);
  json_decref (after);
  json_decref (value);
}

static void
test_differences_of_upstreams_and_digests (void)
{
  json_t *before
      = json_pack ("{s:[s], s:[{s:s, s:i}, {s:s, s:i}]}", "key_sha256",
                   KEY_DIGEST, "upstreams", "address", "127.0.0.1:1", "slots",
                   1, "address", "127.0.0.1:2", "slots", 1);
  json_t *after
      = json_pack ("{s:[], s:[{s:s, s:i}]}", "key_sha256", "upstreams",
                   "address", "127.0.0.1:2", "slots", 4);
  json_t *differences = object_differences (before, after);
  char *text = json_dumps (differences, JSON_COMPACT);

  CU_ASSERT_STRING_EQUAL (
      text, "[{\"path\":\"key_sha256\",\"old\":[\"3f49f73db5ae...\"],"
            "\"new\":[]},{\"path\":\"upstreams[127.0.0.1:1]\",\"old\":"
            "{\"address\":\"127.0.0.1:1\",\"slots\":1},\"new\":null},"
            "{\"path\":\"upstreams[127.0.0.1:2].slots\",\"old\":1,"
            "\"new\":4}]");
  free (text);
  json_decref (before);
  json_decref (after);
  json_decref (differences);
}

static void
test_install_and_tombstone (void)
{
  static const char valid[]
      = "{\"object\":{\"name\":\"studio\",\"weight\":7},\"deleted\":false,"
        "\"history\":[]}";
  static const char invalid[]
      = "{\"object\":{\"name\":\"studio\",\"weight\":7000},"
        "\"deleted\":false,\"history\":[]}";
  static const char tombstone[]
      = "{\"object\":null,\"deleted\":true,\"history\":[]}";
  struct catalog catalog;
  uint64_t id = catalog_id ("studio");

  catalog_init (&catalog);
  CU_ASSERT_EQUAL (
      object_install (&catalog, "customer/studio", valid, strlen (valid)), 0);
  CU_ASSERT_EQUAL (catalog_customer (&catalog, id)->weight, 7);
  CU_ASSERT_EQUAL (
      object_install (&catalog, "customer/studio", invalid, strlen (invalid)),
      ERR_INVALID);
  CU_ASSERT_EQUAL (
      object_install (&catalog, "nothing/studio", valid, strlen (valid)),
      ERR_INVALID);
  CU_ASSERT_EQUAL (
      object_install (&catalog, "customer/studio", valid, strlen (valid) - 1),
      ERR_INVALID);
  CU_ASSERT_EQUAL (catalog_customer (&catalog, id)->weight, 7);
  CU_ASSERT_EQUAL (object_install (&catalog, "customer/studio", tombstone,
                                   strlen (tombstone)),
                   0);
  CU_ASSERT_PTR_NULL (catalog_customer (&catalog, id));
  catalog_finish (&catalog);
}

static const struct suite_test tests[] = {
  { "API keys are hashed", test_api_keys_are_hashed },
  { "rejected objects", test_rejected_objects },
  { "history is bounded and lists changed fields",
    test_history_is_bounded_and_lists_fields },
  { "oversized history drops the oldest records",
    test_oversized_history_drops_the_oldest },
  { "differences of upstreams and digests",
    test_differences_of_upstreams_and_digests },
  { "install and tombstone", test_install_and_tombstone },
};

SUITE_MAIN ("test_object", tests)
