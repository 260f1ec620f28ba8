/**
 * @file test_routing.c
 * Routing tables of one configuration: routes, traffic splits and API keys.
 */
#include "state/err.h"
#include "state/routing.h"
#include "support/suite.h"
#include <stdio.h>
#include <string.h>

static struct routing *
build (void)
{
  static const char *const prefixes[] = { "/", "/a/", "/a/b/", "/other/" };
  struct routing *routing = routing_new ("7");
  struct routing_service service = { .engine = false };
  struct routing_customer customer = { .has_priority = false };
  const struct route_target target = { .weight = 1 };
  struct route route = { .host = "Shop.Example",
                         .kind = ROUTE_NON_IDEMPOTENT,
                         .target_count = 1,
                         .targets = &target };
  char name[8];
  size_t i;

  service.name = "one";
  CU_ASSERT_EQUAL (routing_add_service (routing, &service), 0);
  service.name = "two";
  CU_ASSERT_EQUAL (routing_add_service (routing, &service), 0);
  for (i = 0; i < sizeof prefixes / sizeof prefixes[0]; i++)
    {
      snprintf (name, sizeof name, "r%zu", i);
      route.name = name;
      route.prefix = prefixes[i];
      CU_ASSERT_EQUAL (routing_add_route (routing, &route), 0);
    }
  customer.name = "ana";
  CU_ASSERT_EQUAL (routing_add_customer (routing, &customer), 0);
  CU_ASSERT_EQUAL (routing_add_key (routing, "key-1"), 0);
  CU_ASSERT_EQUAL (routing_add_key (routing, "key-2"), 0);
  customer.name = "bob";
  CU_ASSERT_EQUAL (routing_add_customer (routing, &customer), 0);
  CU_ASSERT_EQUAL (routing_add_key (routing, "key-3"), 0);
  return routing;
}

static const char *
matched_name (const struct routing *routing, const char *host,
              const char *path)
{
  const struct route *route = routing_match (routing, host, path);

  return route == NULL ? "none" : route->name;
}

static void
test_longest_prefix (void)
{
  struct routing *routing = build ();

  CU_ASSERT_STRING_EQUAL (matched_name (routing, "shop.example", "/x"), "r0");
  CU_ASSERT_STRING_EQUAL (matched_name (routing, "shop.example", "/a"), "r0");
  CU_ASSERT_STRING_EQUAL (matched_name (routing, "shop.example", "/a/"), "r1");
  CU_ASSERT_STRING_EQUAL (matched_name (routing, "shop.example", "/a/x/y"),
                          "r1");
  CU_ASSERT_STRING_EQUAL (matched_name (routing, "shop.example", "/a/b/c"),
                          "r2");
  CU_ASSERT_STRING_EQUAL (matched_name (routing, "shop.example", "/ab/"),
                          "r0");
  CU_ASSERT_STRING_EQUAL (
      matched_name (routing, "SHOP.example:8080", "/other/"), "r3");
  CU_ASSERT_STRING_EQUAL (matched_name (routing, "shop.example.org", "/"),
                          "none");
  CU_ASSERT_STRING_EQUAL (matched_name (routing, "shop", "/"), "none");
  routing_release (routing);
}

/* A host and a path do not match a route whose host and prefix are the same
   when concatenated.  A path longer than any prefix is matched, too. */
static void
test_host_and_prefix_separate (void)
{
  struct routing *routing = build ();
  char path[1024];

  CU_ASSERT_STRING_EQUAL (matched_name (routing, "shop.example/a", "/b/c"),
                          "none");
  memset (path, 'x', sizeof path);
  path[0] = '/';
  path[sizeof path - 1] = '\0';
  CU_ASSERT_STRING_EQUAL (matched_name (routing, "shop.example", path), "r0");
  routing_release (routing);
}

static void
test_api_keys (void)
{
  struct routing *routing = build ();

  CU_ASSERT_STRING_EQUAL (routing_customer (routing, "key-2")->name, "ana");
  CU_ASSERT_STRING_EQUAL (routing_customer (routing, "key-3")->name, "bob");
  CU_ASSERT_PTR_NULL (routing_customer (routing, "key-4"));
  CU_ASSERT_PTR_NULL (routing_customer (routing, ""));
  CU_ASSERT_EQUAL (routing_add_key (routing, "key-1"), ERR_EXISTS);
  routing_release (routing);
}

static void
test_invalid_routes (void)
{
  struct routing *routing = build ();
  struct route_target target = routing->routes[0].targets[0];
  struct route route = routing->routes[0];

  route.targets = &target;
  CU_ASSERT_EQUAL (routing_add_route (routing, &route), ERR_EXISTS);
  route.prefix = "/no-end";
  CU_ASSERT_EQUAL (routing_add_route (routing, &route), ERR_INVALID);
  route.prefix = "no-start/";
  CU_ASSERT_EQUAL (routing_add_route (routing, &route), ERR_INVALID);
  route.prefix = "/new/";
  target.service = 2;
  CU_ASSERT_EQUAL (routing_add_route (routing, &route), ERR_INVALID);
  target = (struct route_target){ 0, 0 };
  CU_ASSERT_EQUAL (routing_add_route (routing, &route), ERR_INVALID);
  route.target_count = 0;
  CU_ASSERT_EQUAL (routing_add_route (routing, &route), ERR_INVALID);
  routing_release (routing);
}

static void
test_traffic_split (void)
{
  struct routing *routing = build ();
  struct route_target targets[] = { { 0, 90 }, { 1, 10 } };
  const struct route route = { .target_count = 2, .targets = targets };
  unsigned int second_count = 0;
  uint64_t draw;

  for (draw = 0; draw < 1000; draw++)
    if (strcmp (routing_select_service (routing, &route, draw)->name, "two")
        == 0)
      second_count++;
  CU_ASSERT_EQUAL (second_count, 100);
  targets[0].weight = 0;
  for (draw = 0; draw < 100; draw++)
    CU_ASSERT_STRING_EQUAL (
        routing_select_service (routing, &route, draw)->name, "two");
  routing_release (routing);
}

/* Routing tables stay valid while a request in progress retains them. */
static void
test_retained_version (void)
{
  struct routing *routing = build ();
  struct routing *retained = routing_retain (routing);

  routing_release (routing);
  CU_ASSERT_STRING_EQUAL (retained->version, "7");
  CU_ASSERT_STRING_EQUAL (matched_name (retained, "shop.example", "/a/b/"),
                          "r2");
  routing_release (retained);
}

static const struct suite_test tests[] = {
  { "longest prefix is matched", test_longest_prefix },
  { "host and prefix are compared separately", test_host_and_prefix_separate },
  { "API keys", test_api_keys },
  { "invalid routes", test_invalid_routes },
  { "traffic split by weight", test_traffic_split },
  { "retained version stays valid", test_retained_version },
};

SUITE_MAIN ("test_routing", tests)
