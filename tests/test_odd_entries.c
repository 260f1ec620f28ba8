/**
 * @file test_odd_entries.c
 * Entries of the store that another writer left and that cannot be used cost
 * only themselves: the gateway lists and follows the others, and uses such an
 * entry once it is repaired.
 */
#include "gateway/gateway_peers_int.h"
#include "support/gatefixture.h"
#include "support/suite.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define NESTED_LEVELS 100000
#define LARGE_BYTES   1000000
#define KEY_SIZE      200

/** What makes an entry odd. */
enum oddity
{
  ODD_FIELD,   /* `text` replaces a field */
  ODD_VALUE,   /* `text` is the whole value */
  ODD_NESTED,  /* the field `text` has a deeply nested value */
  ODD_LARGE,   /* the field `text` has a long value */
  ODD_NUL,     /* a NUL byte within the value */
  ODD_MEMBERS, /* `text` replaces members of the store's item */
  ODD_ITEM,    /* same, so that the item names no key or no revision */
  ODD_KEY,     /* `text` is an identity; the value is valid */
  ODD_MAX
};

struct odd_entry
{
  enum oddity oddity;
  const char *text;
};

static const struct odd_entry upstream_entries[] = {
  { ODD_NESTED, "extra" },
  { ODD_NESTED, "slots" },
  { ODD_NESTED, "version" },
  { ODD_LARGE, "extra" },
  { ODD_LARGE, "zone" },
  { ODD_LARGE, "address" },
  { ODD_NUL, "" },
  { ODD_VALUE, "" },
  { ODD_VALUE, " " },
  { ODD_VALUE, "{" },
  { ODD_VALUE, "{}" },
  { ODD_VALUE, "null" },
  { ODD_VALUE, "7" },
  { ODD_VALUE, "\"text\"" },
  { ODD_VALUE, "[{}]" },
  { ODD_VALUE, "{\"service\":\"\xff\xfe\"}" },
  { ODD_VALUE, "{\"service\":\"\\ud800\"}" },
  { ODD_FIELD, "\"slots\":1e400" },
  { ODD_FIELD, "\"slots\":1e30" },
  { ODD_FIELD, "\"slots\":-1" },
  { ODD_FIELD, "\"slots\":18446744073709551615" },
  { ODD_FIELD, "\"slots\":99999999999999999999" },
  { ODD_FIELD, "\"slots\":NaN" },
  { ODD_FIELD, "\"slots\":Infinity" },
  { ODD_FIELD, "\"slots\":\"8\"" },
  { ODD_FIELD, "\"extra\":1e400" },
  { ODD_FIELD, "\"sequence\":1e400" },
  { ODD_FIELD, "\"sequence\":99999999999999999999" },
  { ODD_FIELD, "\"born\":0.5" },
  { ODD_FIELD, "\"born\":99999999999999999999" },
  { ODD_FIELD, "\"service\":\"s2\\u0000x\"" },
  { ODD_FIELD, "\"state\":\"absent\"" },
  { ODD_FIELD, "\"zone\":{}" },
  { ODD_FIELD, "\"address\":\"127.0.0.1\"" },
  { ODD_FIELD, "\"address\":\"127.0.0.1:\"" },
  { ODD_FIELD, "\"address\":\"127.0.0.1:0\"" },
  { ODD_FIELD, "\"address\":\"[::1]:0\"" },
  { ODD_FIELD, "\"address\":\"127.0.0.1:65536\"" },
  { ODD_FIELD, "\"address\":\"127.0.0.1:4294967376\"" },
  { ODD_FIELD, "\"address\":\"127.0.0.1:-1\"" },
  { ODD_FIELD, "\"address\":\"127.0.0.1:8e3\"" },
  { ODD_FIELD, "\"address\":\"worker.example:80\"" },
  { ODD_FIELD, "\"address\":\"::1:80\"" },
  { ODD_FIELD, "\"address\":\"[::1:80\"" },
  { ODD_FIELD, "\"address\":8080" },
  { ODD_MEMBERS, "{\"value\":\"not base64!\"}" },
  { ODD_ITEM, "{\"key\":\"servers/x\\u0000\"}" },
  { ODD_MEMBERS, "{\"value\":\"abc\"}" },
  { ODD_ITEM, "{\"key\":null}" },
  { ODD_MEMBERS, "{\"value\":null}" },
  { ODD_ITEM, "{\"revision\":-1}" },
  { ODD_MEMBERS, "{\"value\":7}" },
  { ODD_ITEM, "{\"revision\":\"7\"}" },
  { ODD_MEMBERS, "{\"value\":\"\\u0000\"}" },
  { ODD_KEY, "" },
  { ODD_KEY, "x y" },
  { ODD_KEY, "x\r\nX-Tenant: other" },
  { ODD_KEY, "\xc3\xa9" },
};

#define UPSTREAM_ENTRIES (sizeof upstream_entries / sizeof upstream_entries[0])

static const char upstream_value[]
    = "{\"service\":\"%s\",\"address\":\"127.0.0.1:9\",\"zone\":\"za\","
      "\"version\":\"v1\",\"slots\":8,\"state\":\"ready\","
      "\"cold_remaining_ms\":0,\"sequence\":1,\"born\":1000%s%s}";

static unsigned int expected_upstreams;

static bool
has_expected_upstreams (const struct gatefixture *fixture)
{
  return gateway_ready (&fixture->gateway)
         && HASH_COUNT (fixture->gateway.registry.upstreams)
                == expected_upstreams;
}

static bool
sees_draining (const struct gatefixture *fixture)
{
  const struct registry_upstream *upstream;

  for (upstream = fixture->gateway.registry.upstreams; upstream != NULL;
       upstream = upstream->hh.next)
    if (upstream->record.draining)
      return true;
  return false;
}

static void
format_key (char key[KEY_SIZE], size_t i)
{
  const struct odd_entry *entry = &upstream_entries[i];

  if (entry->oddity == ODD_KEY)
    snprintf (key, KEY_SIZE, "servers/%s", entry->text);
  else
    snprintf (key, KEY_SIZE, "servers/x-%02zu", i);
}

/* Writes a registration with a field of `size` bytes of `open` and as many of
   `close`. */
static void
put_long (struct storeserver *store, const char *key, const char *field,
          char open, char close, size_t size)
{
  char *text = calloc (1, 2 * size + 512);
  size_t used = (size_t)sprintf (text, upstream_value, "s2", "", "");

  used = used - 1 + (size_t)sprintf (text + used - 1, ",\"%s\":", field);
  memset (text + used, open, size);
  memset (text + used + size, close, size);
  text[used + 2 * size] = '}';
  storeserver_put (store, key, text);
  free (text);
}

static void
put_large (struct storeserver *store, const char *key, const char *field)
{
  char *text = calloc (1, LARGE_BYTES + 512);
  size_t used = (size_t)sprintf (text, upstream_value, "s2", "", "");

  used = used - 1 + (size_t)sprintf (text + used - 1, ",\"%s\":\"", field);
  memset (text + used, 'x', LARGE_BYTES);
  memcpy (text + used + LARGE_BYTES, "\"}", 3);
  storeserver_put (store, key, text);
  free (text);
}

static void
put_odd (struct storeserver *store, size_t i)
{
  const struct odd_entry *entry = &upstream_entries[i];
  char key[KEY_SIZE];
  char text[512];

  format_key (key, i);
  switch (entry->oddity)
    {
    case ODD_FIELD:
      /* The last of duplicate fields counts. */
      snprintf (text, sizeof text, upstream_value, "s2", ",", entry->text);
      storeserver_put (store, key, text);
      break;
    case ODD_VALUE:
      storeserver_put (store, key, entry->text);
      break;
    case ODD_NESTED:
      put_long (store, key, entry->text, '[', ']', NESTED_LEVELS);
      break;
    case ODD_LARGE:
      put_large (store, key, entry->text);
      break;
    case ODD_NUL:
      snprintf (text, sizeof text, upstream_value, "s2", "", "");
      text[20] = '\0';
      storeserver_put_bytes (store, key, text, 120);
      break;
    case ODD_MEMBERS:
    case ODD_ITEM:
      storeserver_put_members (store, key, entry->text);
      break;
    default:
      snprintf (text, sizeof text, upstream_value, "s2", "", "");
      storeserver_put (store, key, text);
      break;
    }
}

/* Of another service than the fixture's upstreams: no request goes there. */
static void
put_valid (struct storeserver *store, size_t i)
{
  char key[KEY_SIZE];
  char text[512];

  format_key (key, i);
  snprintf (text, sizeof text, upstream_value, "s3", "", "");
  storeserver_put (store, key, text);
}

static unsigned int
count_entries (enum oddity oddity)
{
  unsigned int count = 0;
  size_t i;

  for (i = 0; i < UPSTREAM_ENTRIES; i++)
    count += upstream_entries[i].oddity == oddity;
  return count;
}

static void
put_all_odd (struct storeserver *store)
{
  size_t i;

  for (i = 0; i < UPSTREAM_ENTRIES; i++)
    put_odd (store, i);
}

static void
check_served (struct gatefixture *fixture)
{
  unsigned int i;

  for (i = 0; i < 4; i++)
    {
      gatefixture_request (
          fixture, "POST /once/x HTTP/1.1\r\nHost: shop.example\r\n"
                   "X-Attempt-Id: id-1\r\nX-Deadline-Remaining-Ms: 3000\r\n"
                   "X-Credential: key-1\r\nContent-Length: 4\r\n\r\nbody");
      CU_ASSERT_PTR_NOT_NULL (strstr (fixture->client.got, "HTTP/1.1 200 OK"));
    }
  CU_ASSERT_EQUAL (fixture->gateway.counters.retries, 0);
}

static void
check_upstreams (struct gatefixture *fixture, unsigned int count)
{
  const struct registry_upstream *upstream;

  expected_upstreams = count;
  if (gatefixture_run_until (fixture, has_expected_upstreams))
    return;
  for (upstream = fixture->gateway.registry.upstreams; upstream != NULL;
       upstream = upstream->hh.next)
    printf ("has '%.40s'\n", upstream->record.identity);
  printf ("expected %u upstreams\n", count);
  CU_FAIL ("other upstreams than expected");
}

/* Later changes of the others are followed, without another listing. */
static void
check_follows (struct gatefixture *fixture)
{
  unsigned int list_calls = fixture->store.list_calls;

  gatefixture_register_upstream (fixture, 1, "draining");
  CU_ASSERT_TRUE (gatefixture_run_until (fixture, sees_draining));
  gatefixture_register_upstream (fixture, 1, "ready");
  CU_ASSERT_EQUAL (fixture->store.list_calls, list_calls);
  CU_ASSERT_EQUAL (fixture->gateway.store->counters.failures, 0);
  CU_ASSERT_TRUE (store_watch_current (&fixture->gateway.upstream_watch));
}

static void
test_odd_upstreams (void)
{
  const unsigned int keys = count_entries (ODD_KEY);
  const unsigned int items = count_entries (ODD_ITEM);
  const unsigned int values = UPSTREAM_ENTRIES - keys - items;
  struct gatefixture fixture;
  size_t i;

  gatefixture_init (&fixture, false);
  put_all_odd (&fixture.store);
  gatefixture_configure (&fixture, 1, "\"key-1\"", "s2");
  check_upstreams (&fixture, GATEFIXTURE_UPSTREAMS);
  CU_ASSERT_EQUAL (fixture.gateway.counters.entries_rejected,
                   UPSTREAM_ENTRIES - items);
  /* The last item of a page without a key is read again with the next one. */
  CU_ASSERT_TRUE (fixture.gateway.store->counters.rejected >= items);
  gatefixture_run (&fixture, 500); /* the members' listings end, too */
  check_served (&fixture);
  check_follows (&fixture);
  for (i = 0; i < UPSTREAM_ENTRIES; i++)
    if (upstream_entries[i].oddity != ODD_KEY)
      put_valid (&fixture.store, i);
  check_upstreams (&fixture, GATEFIXTURE_UPSTREAMS + values + items);
  put_all_odd (&fixture.store);
  check_upstreams (&fixture, GATEFIXTURE_UPSTREAMS + items);
  check_served (&fixture);
  check_follows (&fixture);
  gatefixture_finish (&fixture);
}

/* Keys and values below the gateways' own prefix. */
static const struct
{
  const char *key;
  const char *value;
} gateway_entries[] = {
  { "", "127.0.0.1:9 za 250" },
  { "za/", "127.0.0.1:9 za 250" },
  { "za/odd-1", "" },
  { "za/odd-2", "127.0.0.1:9" },
  { "za/odd-3", "127.0.0.1:9 za" },
  { "za/odd-4", "127.0.0.1:0 za 250" },
  { "za/odd-5", "127.0.0.1:65536 za 250" },
  { "za/odd-6", "127.0.0.1:-1 za 250" },
  { "za/odd-7", "gate.example:80 za 250" },
  { "za/odd-8", " za 250" },
  { "za/odd-9", "127.0.0.1:9  250" },
  { "za/odd-10", "127.0.0.1:9 za 99999999999999999999" },
  { "za/odd-11", "127.0.0.1:9 za -1" },
  { "za/odd-12", "127.0.0.1:9 za 1e400" },
  { "za/odd-13", "[[[[[[[[[[[[[[[[" },
  { "~builds/", "1" },
  { "~builds/x", "1" },
  { "~builds/5", "" },
  { "~builds/6", "x" },
  { "~builds/99999999999999999999", "1" },
  { "~quarantine/", "0" },
  { "~quarantine/5", "0" },
  { "~quarantine/5-", "0" },
  { "~quarantine/5-6", "" },
  { "~quarantine/5-7", "x" },
  { "~quarantine/5-8", "-1" },
  { "~quarantine/5-9", "99999999999999999999" },
  { "~quarantine/5-a/", "0" },
  { "~quarantine/5-a/99", "0" },
  { "~quarantine/5-a/4294967295", "0" },
  { "~quarantine/5-a/99999999999999999999", "0" },
  { "~quarantine/-1-a", "0" },
};

#define GATEWAY_ENTRIES (sizeof gateway_entries / sizeof gateway_entries[0])

static bool
rejected_all_gateways (const struct gatefixture *fixture)
{
  return fixture->gateway.counters.entries_rejected >= GATEWAY_ENTRIES;
}

static bool
has_repaired_member (const struct gatefixture *fixture)
{
  return HASH_COUNT (fixture->gateway.peers->members) == 2;
}

static void
test_odd_gateway_entries (void)
{
  struct gatefixture fixture;
  char key[KEY_SIZE];
  size_t i;

  gatefixture_init (&fixture, true);
  for (i = 0; i < GATEWAY_ENTRIES; i++)
    {
      snprintf (key, sizeof key, "%s%s",
                fixture.gateway.adapter->gateway_prefix,
                gateway_entries[i].key);
      storeserver_put (&fixture.store, key, gateway_entries[i].value);
    }
  CU_ASSERT_TRUE (gatefixture_run_until (&fixture, rejected_all_gateways));
  CU_ASSERT_EQUAL (fixture.gateway.counters.entries_rejected, GATEWAY_ENTRIES);
  CU_ASSERT_EQUAL (HASH_COUNT (fixture.gateway.peers->members), 1);
  CU_ASSERT_EQUAL (HASH_COUNT (fixture.gateway.quarantine.entries), 0);
  snprintf (key, sizeof key, "%sza/odd-4",
            fixture.gateway.adapter->gateway_prefix);
  storeserver_put (&fixture.store, key, "127.0.0.1:9 za 250");
  CU_ASSERT_TRUE (gatefixture_run_until (&fixture, has_repaired_member));
  CU_ASSERT_EQUAL (fixture.gateway.store->counters.failures, 0);
  check_served (&fixture);
  gatefixture_finish (&fixture);
}

static const struct suite_test tests[] = {
  { "odd entries among those of the upstreams", test_odd_upstreams },
  { "odd entries among those of the gateways", test_odd_gateway_entries },
};

SUITE_MAIN ("test_odd_entries", tests)
