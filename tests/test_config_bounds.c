/**
 * @file test_config_bounds.c
 * Versions of the configuration that the store accepts take effect whatever
 * their sizes, and an entry that cannot be used costs only itself: a key that
 * is taken away stops working in either case.
 */
#include "../platform/entries.h"
#include "protocol/kvstore.h"
#include "state/err.h"
#include "support/gatefixture.h"
#include "support/suite.h"
#include <jansson.h>
#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#define LONG_TEXT     20000
#define LONG_HOST     1000
#define LONG_PREFIX   3000
#define SPLIT_PARTS   2000
#define ROUTES        4250 /* beyond any table of fixed size */
#define DECODE_ROUNDS 10

static void
append (json_t *root, const char *list, json_t *entry)
{
  json_array_append_new (json_object_get (root, list), entry);
}

static json_t *
new_route (const char *name, const char *host, const char *prefix)
{
  return json_pack ("{s:s,s:s,s:s,s:s,s:s}", "name", name, "host", host,
                    "prefix", prefix, "route_type", "idempotent", "service",
                    "s2");
}

static json_t *
new_service (const char *name)
{
  return json_pack ("{s:s,s:s}", "name", name, "health_path", "/h");
}

/* @return a string of `size` bytes within slashes, to free(). */
static char *
long_text (size_t size)
{
  char *text = calloc (1, size + 1);

  memset (text, 'x', size);
  text[0] = text[size - 1] = '/';
  return text;
}

static void
split_route (json_t *root, unsigned int parts)
{
  json_t *route = new_route ("split", "shop.example", "/split/");
  json_t *split = json_array ();
  char name[16];
  unsigned int i;

  for (i = 0; i < parts; i++)
    {
      snprintf (name, sizeof name, "part-%u", i);
      append (root, "services", new_service (name));
      json_array_append_new (
          split, json_pack ("{s:s,s:i}", "service", name, "weight", 10));
    }
  json_object_del (route, "service");
  json_object_set_new (route, "traffic_split", split);
  append (root, "routes", route);
}

static void
split_nine (json_t *root)
{
  split_route (root, 9);
}

static void
split_many (json_t *root)
{
  split_route (root, SPLIT_PARTS);
}

static void
split_fractions (json_t *root)
{
  json_t *route = new_route ("split", "shop.example", "/split/");

  json_object_set_new (route, "traffic_split",
                       json_pack ("[{s:s,s:f},{s:s,s:f}]", "service", "s2",
                                  "weight", 0.75, "service", "s3", "weight",
                                  0.25));
  append (root, "routes", route);
}

static void
long_names (json_t *root)
{
  char *name = long_text (LONG_TEXT);
  json_t *route = new_route (name, "shop.example", "/long-name/");

  append (root, "services", new_service (name));
  json_object_set_new (route, "service", json_string (name));
  append (root, "routes", route);
  append (root, "tenants",
          json_pack ("{s:s,s:[s]}", "name", name, "api_keys", name));
  free (name);
}

static void
long_paths (json_t *root)
{
  char *host = long_text (LONG_HOST);
  char *prefix = long_text (LONG_PREFIX);
  char *health = long_text (LONG_TEXT);

  memset (host, 'h', LONG_HOST);
  append (root, "routes", new_route ("long", host, prefix));
  append (root, "services",
          json_pack ("{s:s,s:s}", "name", "long", "health_path", health));
  free (host);
  free (prefix);
  free (health);
}

static void
large_numbers (json_t *root)
{
  const json_int_t large = (json_int_t)1 << 62;
  json_t *route = new_route ("large", "shop.example", "/large/");

  json_object_set_new (route, "max_attempts", json_integer (65));
  json_object_set_new (route, "timeout_ms", json_integer (large));
  json_object_set_new (route, "target_latency_ms", json_integer (large));
  json_object_set_new (route, "priority", json_integer (large));
  append (root, "routes", route);
  append (root, "services",
          json_pack ("{s:s,s:s,s:I,s:{s:I,s:I}}", "name", "large",
                     "health_path", "/h", "max_connections", large, "engine",
                     "slots", large, "kv_capacity_tokens", large));
}

/* As many as a value of the store holds. */
static void
all_routes (json_t *root)
{
  char prefix[16];
  size_t size = 0;
  unsigned int i;

  for (i = 0; size < KVSTORE_VALUE_MAX - 4096; i++)
    {
      json_t *route;
      char *text;

      snprintf (prefix, sizeof prefix, "/%x/", i);
      route = new_route ("r", "h", prefix);
      text = json_dumps (route, JSON_COMPACT);
      size += strlen (text) + 1;
      free (text);
      append (root, "routes", route);
    }
}

/** A version that a bound of the gateway could reject. */
struct enlargement
{
  const char *name;
  void (*enlarge) (json_t *root);
};

static const struct enlargement enlargements[] = {
  { "split over nine services", split_nine },
  { "split over 2,000 services", split_many },
  { "split by fractions", split_fractions },
  { "names of 20,000 bytes", long_names },
  { "host, prefix and path of 1,000 bytes and more", long_paths },
  { "large numbers", large_numbers },
  { "1 MB of routes", all_routes },
};

#define ENLARGEMENTS (sizeof enlargements / sizeof enlargements[0])

static char expected_version[16];

static bool
has_version (const struct gatefixture *fixture)
{
  return fixture->gateway.routing != NULL
         && strcmp (fixture->gateway.routing->version, expected_version) == 0;
}

static bool
is_ready (const struct gatefixture *fixture)
{
  return gateway_ready (&fixture->gateway);
}

/* Writes a version with one key, "key-VERSION". */
static void
put_version (struct gatefixture *fixture, unsigned int version,
             void (*enlarge) (json_t *root))
{
  char key[24];
  json_t *root;
  char *text;

  snprintf (key, sizeof key, "\"key-%u\"", version);
  gatefixture_configure (fixture, version - 1, key, "s2");
  root = json_loads (storeserver_get (&fixture->store, "op/config"), 0, NULL);
  json_object_set_new (root, "version", json_integer (version));
  enlarge (root);
  text = json_dumps (root, JSON_COMPACT);
  CU_ASSERT_TRUE (strlen (text) <= KVSTORE_VALUE_MAX);
  storeserver_put (&fixture->store, "op/config", text);
  free (text);
  json_decref (root);
}

static int
request_status (struct gatefixture *fixture, unsigned int key)
{
  char request[256];

  snprintf (request, sizeof request,
            "POST /once/x HTTP/1.1\r\nHost: shop.example\r\n"
            "X-Attempt-Id: id-1\r\nX-Deadline-Remaining-Ms: 3000\r\n"
            "X-Credential: key-%u\r\nContent-Length: 4\r\n\r\nbody",
            key);
  gatefixture_request (fixture, request);
  return atoi (fixture->client.got + strlen ("HTTP/1.1 "));
}

static void
check_version (struct gatefixture *fixture, unsigned int version,
               const char *name)
{
  snprintf (expected_version, sizeof expected_version, "%u", version);
  if (!gatefixture_run_until (fixture, has_version)
      || request_status (fixture, version) != 200
      || request_status (fixture, version - 2) != 401)
    {
      printf ("%s\n", name);
      CU_FAIL ("version is not in effect");
    }
}

static void
test_valid_version_rejected (void)
{
  struct gatefixture fixture;
  size_t i;

  gatefixture_init (&fixture, true);
  for (i = 0; i < ENLARGEMENTS; i++)
    {
      put_version (&fixture, 3 + 2 * (unsigned int)i, enlargements[i].enlarge);
      check_version (&fixture, 3 + 2 * (unsigned int)i, enlargements[i].name);
    }
  CU_ASSERT_EQUAL (fixture.gateway.counters.entries_rejected, 0);
  gatefixture_finish (&fixture);
}

static void
test_start_with_version (void)
{
  struct gatefixture fixture;
  size_t i;

  for (i = 0; i < ENLARGEMENTS; i++)
    {
      gatefixture_init (&fixture, false);
      put_version (&fixture, 3, enlargements[i].enlarge);
      if (!gatefixture_run_until (&fixture, is_ready))
        {
          printf ("%s\n", enlargements[i].name);
          CU_FAIL ("does not become ready");
        }
      gatefixture_finish (&fixture);
    }
}

/* Adds entries that are well formed and cannot be used. */
static void
add_unusable (json_t *root)
{
  json_t *route = new_route ("twice", "SHOP.example:80", "/once/");

  append (root, "routes", route);
  append (root, "routes", new_route ("no-slash", "shop.example", "/x"));
  route = new_route ("no-service", "shop.example", "/y/");
  json_object_set_new (route, "service", json_string ("unknown"));
  append (root, "routes", route);
  route = new_route ("no-weight", "shop.example", "/z/");
  json_object_set_new (
      route, "traffic_split",
      json_pack ("[{s:s,s:i}]", "service", "s2", "weight", 0));
  append (root, "routes", route);
  route = new_route ("part", "shop.example", "/part/");
  json_object_set_new (route, "traffic_split",
                       json_pack ("[{s:s,s:i},{s:s,s:i}]", "service",
                                  "unknown", "weight", 1, "service", "s2",
                                  "weight", 1));
  append (root, "routes", route);
  route = new_route ("no-kind", "shop.example", "/kind/");
  json_object_set_new (route, "route_type", json_string ("unknown"));
  append (root, "routes", route);
  append (root, "services", new_service ("s2"));
  append (root, "tenants",
          json_pack ("{s:s,s:[s,s]}", "name", "bob", "api_keys", "key-3",
                     "key-bob"));
}

#define UNUSABLE_ENTRIES 8

static void
test_unusable_entries (void)
{
  const struct routing *routing;
  struct gatefixture fixture;

  gatefixture_init (&fixture, true);
  put_version (&fixture, 3, add_unusable);
  check_version (&fixture, 3, "entries that cannot be used");
  routing = fixture.gateway.routing;
  CU_ASSERT_EQUAL (routing->route_count, 5);
  CU_ASSERT_EQUAL (routing->service_count, 2);
  CU_ASSERT_STRING_EQUAL (
      routing_match (routing, "shop.example", "/once/x")->name, "once");
  CU_ASSERT_PTR_NULL (routing_match (routing, "shop.example", "/y/"));
  CU_ASSERT_EQUAL (
      routing_match (routing, "shop.example", "/part/")->target_count, 1);
  CU_ASSERT_STRING_EQUAL (routing_customer (routing, "key-3")->name, "ana");
  CU_ASSERT_STRING_EQUAL (routing_customer (routing, "key-bob")->name, "bob");
  CU_ASSERT_EQUAL (fixture.gateway.counters.entries_rejected,
                   UNUSABLE_ENTRIES);
  gatefixture_finish (&fixture);
}

static char *
config_text (void (*enlarge) (json_t *root))
{
  json_t *root
      = json_pack ("{s:i,s:[{s:s,s:s},{s:s,s:s}],s:[],s:[{s:s,s:[s]}]}",
                   "version", 1, "services", "name", "s2", "health_path", "/h",
                   "name", "s3", "health_path", "/h", "routes", "tenants",
                   "name", "ana", "api_keys", "key-1");
  char *text;

  enlarge (root);
  text = json_dumps (root, JSON_COMPACT);
  json_decref (root);
  return text;
}

static struct routing *
read_text (const char *text)
{
  char reason[ADAPTER_REASON_SIZE];
  struct routing *routing = NULL;

  CU_ASSERT_EQUAL_FATAL (
      entries_read_config (text, strlen (text), &routing, reason), 0);
  return routing;
}

static struct routing *
read_config (void (*enlarge) (json_t *root))
{
  char *text = config_text (enlarge);
  struct routing *routing = read_text (text);

  free (text);
  return routing;
}

static void
test_long_texts_match (void)
{
  struct routing *routing = read_config (long_paths);
  char *host = long_text (LONG_HOST);
  char *path = long_text (LONG_PREFIX + 1);

  memset (host, 'H', LONG_HOST);
  path[LONG_PREFIX - 1] = '/';
  path[LONG_PREFIX] = 'y';
  CU_ASSERT_PTR_NOT_NULL (routing_match (routing, host, path));
  path[LONG_PREFIX - 1] = 'x';
  CU_ASSERT_PTR_NULL (routing_match (routing, host, path));
  path[LONG_PREFIX - 1] = '/';
  host[LONG_HOST - 1] = 'i';
  CU_ASSERT_PTR_NULL (routing_match (routing, host, path));
  routing_release (routing);
  routing = read_config (long_names);
  memset (path, 'x', LONG_PREFIX + 1);
  CU_ASSERT_PTR_NULL (routing_customer (routing, path));
  routing_release (routing);
  free (host);
  free (path);
}

static void
test_fractions (void)
{
  struct routing *routing = read_config (split_fractions);
  const struct route *route = &routing->routes[0];

  CU_ASSERT_EQUAL (route->target_count, 2);
  CU_ASSERT_EQUAL (route->targets[0].weight, 3 * route->targets[1].weight);
  routing_release (routing);
}

static void
many_routes (json_t *root)
{
  char name[24];
  char host[24];
  char prefix[24];
  unsigned int i;

  for (i = 0; i < ROUTES; i++)
    {
      json_t *route;

      snprintf (name, sizeof name, "route-%u", i);
      snprintf (host, sizeof host, "host-%u.example", i % 90);
      snprintf (prefix, sizeof prefix, "/path-%u/", i);
      route = new_route (name, host, prefix);
      json_object_set_new (route, "max_attempts", json_integer (2));
      json_object_set_new (route, "timeout_ms", json_integer (2000));
      json_object_set_new (route, "target_latency_ms", json_integer (300));
      json_object_set_new (route, "priority", json_integer (1));
      json_object_set_new (route, "auth_exempt", json_false ());
      append (root, "routes", route);
    }
}

static double
cpu_ms (void)
{
  struct timespec time;

  clock_gettime (CLOCK_PROCESS_CPUTIME_ID, &time);
  return (double)time.tv_sec * 1e3 + (double)time.tv_nsec / 1e6;
}

static size_t
heap_bytes (void)
{
  struct mallinfo2 info = mallinfo2 ();

  return info.uordblks + info.hblkhd;
}

/* Prints the figures of docs/CAPACITY.md, by a release build: allocators of
   sanitizers report no memory in use. */
static void
print_cost (const char *name, void (*enlarge) (json_t *root))
{
  char *text = config_text (enlarge);
  struct routing *routing;
  double best_ms = 0;
  double ms;
  size_t held = 0;
  unsigned int i;

  for (i = 0; i < DECODE_ROUNDS; i++)
    {
      ms = cpu_ms ();
      routing = read_text (text);
      ms = cpu_ms () - ms;
      if (i == 0 || ms < best_ms)
        best_ms = ms;
      held = heap_bytes ();
      routing_release (routing);
    }
  printf ("%s: %zu bytes, read in %.1f ms of processor time, %zu KB held\n",
          name, strlen (text), best_ms, (held - heap_bytes ()) / 1024);
  free (text);
}

static void
test_cost (void)
{
  print_cost ("4,250 routes", many_routes);
  print_cost ("1 MB of routes", all_routes);
  print_cost ("split over 2,000 services", split_many);
}

static const struct suite_test tests[] = {
  { "a valid version is rejected whole", test_valid_version_rejected },
  { "a gateway that starts with one does not become ready",
    test_start_with_version },
  { "entries that cannot be used cost only themselves",
    test_unusable_entries },
  { "long hosts, prefixes and keys match", test_long_texts_match },
  { "fractions as weights", test_fractions },
  { "cost of the largest versions", test_cost },
};

SUITE_MAIN ("test_config_bounds", tests)
