/**
 * @file test_peernet.c
 * Networks of peer links over loopback: one link for each pair of instances,
 * joining by one address, reconnection, advertised addresses and conflicts.
 */
#include "state/err.h"
#include "support/suite.h"
#include "transport/loop.h"
#include "transport/peernet.h"
#include "transport/sock.h"
#include <stdio.h>
#include <string.h>
#include <sys/resource.h>
#include <unistd.h>

#define LOOP_TURNS_MAX      20000 /* of the event loop, to wait for a condition */
#define TRAFFIC_WAIT_MAX_MS 250 /* promised for a ready event of a client */

/* One instance of the fleet, and the callbacks that it has received. */
struct node
{
  struct peernet *net;
  uint32_t ups;
  uint32_t downs;
  uint32_t rejected;
  int error;
  char peer_address[CATALOG_ADDRESS_SIZE]; /**< in the last hello */
};

static struct event_base *base;
/* Advertised address of instances started later; NULL: the bound address. */
static const char *advertised;
static struct clock real_clock;
static uint32_t idle_ms = 60000; /* of instances started later */

static void
on_up (void *user, const struct message_hello *hello)
{
  struct node *node = user;

  node->ups++;
  memcpy (node->peer_address, hello->address, sizeof node->peer_address);
}

static void
on_message (void *user, uint64_t instance_id, const struct message *message)
{
  (void)user;
  (void)instance_id;
  (void)message;
}

static void
on_down (void *user, uint64_t instance_id, int error)
{
  (void)instance_id;
  (void)error;
  ((struct node *)user)->downs++;
}

static void
on_rejected (void *user, const char *address, int error)
{
  struct node *node = user;

  (void)address;
  node->rejected++;
  node->error = error;
}

static const struct peernet_events events
    = { on_up, on_message, on_down, on_rejected };

static void
start (struct node *node, const char *instance, uint64_t incarnation,
       const char *address)
{
  struct peernet_config config = { .base = base,
                                   .clock = &real_clock,
                                   .listen_address = address,
                                   .advertised_address = advertised,
                                   .secret = "open sesame",
                                   .handshake_ms = 2000,
                                   .idle_ms = idle_ms,
                                   .events = &events,
                                   .user = node };

  memset (node, 0, sizeof *node);
  snprintf (config.self.fleet, sizeof config.self.fleet, "%s", "farm");
  snprintf (config.self.instance, sizeof config.self.instance, "%s", instance);
  config.self.incarnation = incarnation;
  CU_ASSERT_EQUAL_FATAL (peernet_new (&config, &node->net), 0);
}

static void
run_until_links (const struct node *node, size_t links)
{
  int turn;

  for (turn = 0;
       turn < LOOP_TURNS_MAX && peernet_link_count (node->net) != links;
       turn++)
    event_base_loop (base, EVLOOP_ONCE);
  CU_ASSERT_EQUAL (peernet_link_count (node->net), links);
}

static void
run_some_turns (void)
{
  int turn;

  for (turn = 0; turn < 20; turn++)
    event_base_loop (base, EVLOOP_ONCE);
}

static void
connect_pair (struct node *a, struct node *b)
{
  CU_ASSERT_EQUAL (
      peernet_add_address (a->net, peernet_address (b->net), true), 0);
  CU_ASSERT_EQUAL (
      peernet_add_address (b->net, peernet_address (a->net), true), 0);
}

static void
test_one_link_per_pair (void)
{
  const struct message message = { .kind = MESSAGE_CONFIG_REQUEST };
  struct node a;
  struct node b;

  start (&a, "router-a", 1, "127.0.0.1:0");
  start (&b, "router-b", 1, "127.0.0.1:0");
  connect_pair (&a, &b);
  run_until_links (&a, 1);
  run_until_links (&b, 1);
  run_some_turns ();
  CU_ASSERT_EQUAL (peernet_link_count (a.net), 1);
  CU_ASSERT_EQUAL (peernet_link_count (b.net), 1);
  CU_ASSERT_EQUAL (a.rejected + b.rejected, 0);
  CU_ASSERT_EQUAL (peernet_send (a.net, catalog_id ("router-b"), &message), 0);
  CU_ASSERT_EQUAL (peernet_send (a.net, catalog_id ("router-c"), &message),
                   ERR_NOT_FOUND);
  run_some_turns ();
  CU_ASSERT_EQUAL (peernet_counters (b.net)->frames_in[MESSAGE_CONFIG_REQUEST],
                   1);
  peernet_free (a.net);
  run_until_links (&b, 0);
  peernet_free (b.net);
}

/* One working address is enough to join the whole fleet. */
static void
test_join_by_one_address (void)
{
  struct node nodes[4];
  char name[24];
  int i;

  for (i = 0; i < 4; i++)
    {
      snprintf (name, sizeof name, "router-%d", i);
      start (&nodes[i], name, 1, "127.0.0.1:0");
      if (i > 0)
        CU_ASSERT_EQUAL (peernet_add_address (nodes[i].net,
                                              peernet_address (nodes[0].net),
                                              true),
                         0);
    }
  for (i = 0; i < 4; i++)
    run_until_links (&nodes[i], 3);
  for (i = 0; i < 4; i++)
    peernet_free (nodes[i].net);
}

/* A peer whose connection was accepted is dialed after it restarts at the same
   address. */
static void
test_peer_restart (void)
{
  struct node a;
  struct node b;
  char address[CATALOG_ADDRESS_SIZE];

  start (&a, "router-a", 1, "127.0.0.1:0");
  start (&b, "router-b", 1, "127.0.0.1:0");
  snprintf (address, sizeof address, "%s", peernet_address (b.net));
  CU_ASSERT_EQUAL (peernet_add_address (b.net, peernet_address (a.net), true),
                   0);
  run_until_links (&a, 1);
  peernet_free (b.net);
  run_until_links (&a, 0);
  start (&b, "router-b", 2, address);
  run_until_links (&a, 1);
  CU_ASSERT_EQUAL (a.downs, 1);
  peernet_free (a.net);
  peernet_free (b.net);
}

/* An instance behind a relay advertises the relay's address instead of its
   own, so that peers do not bypass the relay. */
static void
test_advertised_address (void)
{
  struct node a;
  struct node b;

  start (&a, "router-a", 1, "127.0.0.1:0");
  advertised = "127.0.0.1:9";
  start (&b, "router-b", 1, "127.0.0.1:0");
  advertised = NULL;
  CU_ASSERT_EQUAL (peernet_add_address (b.net, peernet_address (a.net), true),
                   0);
  run_until_links (&a, 1);
  run_until_links (&b, 1);
  CU_ASSERT_STRING_EQUAL (a.peer_address, "127.0.0.1:9");
  CU_ASSERT_STRING_EQUAL (b.peer_address, peernet_address (a.net));
  peernet_free (b.net);
  peernet_free (a.net);
}

static void
test_own_address_and_name_conflict (void)
{
  struct node a;
  struct node b;

  start (&a, "router-a", 1, "127.0.0.1:0");
  start (&b, "router-a", 2, "127.0.0.1:0");
  CU_ASSERT_EQUAL (peernet_add_address (a.net, "127.0.0.1:65536", true),
                   ERR_INVALID);
  /* An instance's own address among its seeds is not an error. */
  CU_ASSERT_EQUAL (peernet_add_address (a.net, peernet_address (a.net), true),
                   0);
  run_some_turns ();
  CU_ASSERT_EQUAL (a.rejected, 0);
  CU_ASSERT_EQUAL (peernet_add_address (a.net, peernet_address (b.net), true),
                   0);
  while (a.rejected == 0)
    event_base_loop (base, EVLOOP_ONCE);
  CU_ASSERT (a.error == ERR_CONFLICT || a.error == ERR_RESET);
  CU_ASSERT_EQUAL (a.ups + b.ups, 0);
  peernet_free (a.net);
  peernet_free (b.net);
}

/* A subscriber of a hub that reports its load to another hub has nothing to
   send; the hub must not take it for dead. */
static void
test_link_of_silent_peer (void)
{
  const struct message message = { .kind = MESSAGE_LOAD };
  struct node talking;
  struct node silent;
  uint64_t start_ns;

  idle_ms = 300;
  start (&talking, "router-a", 1, "127.0.0.1:0");
  start (&silent, "router-b", 1, "127.0.0.1:0");
  idle_ms = 60000;
  connect_pair (&talking, &silent);
  run_until_links (&talking, 1);
  run_until_links (&silent, 1);
  start_ns = clock_now_ns (&real_clock);
  while (clock_now_ns (&real_clock) - start_ns < 1000 * CLOCK_NS_PER_MS)
    {
      peernet_send (talking.net, catalog_id ("router-b"), &message);
      event_base_loop (base, EVLOOP_ONCE);
    }
  CU_ASSERT_EQUAL (talking.downs, 0);
  CU_ASSERT_EQUAL (silent.downs, 0);
  peernet_free (talking.net);
  peernet_free (silent.net);
}

static void
on_traffic (evutil_socket_t fd, short what, void *user)
{
  (void)fd;
  (void)what;
  *(bool *)user = true;
}

static void
on_end (evutil_socket_t fd, short what, void *user)
{
  (void)fd;
  (void)what;
  (void)user;
  event_base_loopbreak (base);
}

/* Also ends a loop whose events of control are always ready. */
static void
run_for (uint32_t duration_ms)
{
  const struct timeval duration = clock_timeval (duration_ms);
  struct event *end = event_new (base, -1, 0, on_end, NULL);

  loop_set_control (end);
  event_add (end, &duration);
  event_base_dispatch (base);
  event_free (end);
}

/* No descriptor is left while a peer waits to be accepted.  Guards against an
   accept event that is ready in each round and keeps traffic from its turn,
   and so from closing connections.  The peer is accepted when there are
   descriptors again. */
static void
test_no_descriptors (void)
{
  struct event_base *shared = base;
  struct event *traffic;
  struct sock_address address;
  struct rlimit limit;
  rlim_t limit_before;
  struct node a;
  struct node b;
  bool traffic_run = false;
  int fd;

  base = loop_new ();
  start (&a, "router-a", 1, "127.0.0.1:0");
  start (&b, "router-b", 1, "127.0.0.1:0");
  CU_ASSERT_EQUAL_FATAL (sock_parse (peernet_address (a.net), &address), 0);
  CU_ASSERT_EQUAL_FATAL (sock_connect (&address, &fd), 0);
  run_some_turns ();
  close (fd);
  CU_ASSERT_EQUAL_FATAL (sock_connect (&address, &fd), 0);
  CU_ASSERT_EQUAL_FATAL (getrlimit (RLIMIT_NOFILE, &limit), 0);
  limit_before = limit.rlim_cur;
  limit.rlim_cur = 0;
  CU_ASSERT_EQUAL (setrlimit (RLIMIT_NOFILE, &limit), 0);
  traffic = event_new (base, -1, 0, on_traffic, &traffic_run);
  event_active (traffic, EV_TIMEOUT, 0);
  run_for (TRAFFIC_WAIT_MAX_MS);
  CU_ASSERT (traffic_run);
  limit.rlim_cur = limit_before;
  CU_ASSERT_EQUAL (setrlimit (RLIMIT_NOFILE, &limit), 0);
  CU_ASSERT_EQUAL (peernet_add_address (b.net, peernet_address (a.net), true),
                   0);
  run_until_links (&a, 1);
  event_free (traffic);
  close (fd);
  peernet_free (a.net);
  peernet_free (b.net);
  event_base_free (base);
  base = shared;
}

static const struct suite_test tests[] = {
  { "one link for each pair", test_one_link_per_pair },
  { "join by one address", test_join_by_one_address },
  { "restart at the same address", test_peer_restart },
  { "advertised address", test_advertised_address },
  { "link of a silent peer", test_link_of_silent_peer },
  { "own address and name conflict", test_own_address_and_name_conflict },
  { "no descriptors while a peer waits", test_no_descriptors },
};

int
main (void)
{
  int rc;

  base = event_base_new ();
  clock_init_real (&real_clock);
  rc = suite_run ("test_peernet", tests, sizeof tests / sizeof tests[0]);
  event_base_free (base);
  return rc;
}
