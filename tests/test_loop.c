/**
 * @file test_loop.c
 * Order of events in a loop with priorities, also after calls to a server that
 * refuses connections.
 */
#include "state/err.h"
#include "support/suite.h"
#include "transport/httpcall.h"
#include "transport/loop.h"
#include "transport/sock.h"
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#define TRAFFIC_EVENTS 20
#define CALLS          20

/* Events of control that take a millisecond and never end. */
#define BUSY_EVENTS         20
#define ROUND_MS            2 /* of a loop, besides its callbacks */
#define BUSY_RUNS           5000
#define TRAFFIC_WAIT_MAX_MS 250 /* promised for a ready event of a client */

static struct event_base *base;
static unsigned int traffic_run;
static unsigned int traffic_run_at_control; /* when the control event ran */
static unsigned int control_run;
static unsigned int calls_failed;

static void
on_traffic (evutil_socket_t fd, short what, void *user)
{
  (void)fd;
  (void)what;
  (void)user;
  traffic_run++;
}

static void
on_control (evutil_socket_t fd, short what, void *user)
{
  (void)fd;
  (void)what;
  (void)user;
  control_run++;
  traffic_run_at_control = traffic_run;
}

/* Makes events of traffic active and then one of control. */
static void
assert_control_first (void)
{
  struct event *traffic[TRAFFIC_EVENTS];
  struct event *control = event_new (base, -1, 0, on_control, NULL);
  int i;

  traffic_run = control_run = 0;
  loop_set_control (control);
  for (i = 0; i < TRAFFIC_EVENTS; i++)
    {
      traffic[i] = event_new (base, -1, 0, on_traffic, NULL);
      event_active (traffic[i], EV_TIMEOUT, 0);
    }
  event_active (control, EV_TIMEOUT, 0);
  for (i = 0; i < 5; i++)
    event_base_loop (base, EVLOOP_NONBLOCK);
  CU_ASSERT_EQUAL (control_run, 1);
  CU_ASSERT_EQUAL (traffic_run, TRAFFIC_EVENTS);
  CU_ASSERT_EQUAL (traffic_run_at_control, 0);
  for (i = 0; i < TRAFFIC_EVENTS; i++)
    event_free (traffic[i]);
  event_free (control);
}

static void
test_control_first (void)
{
  base = loop_new ();
  assert_control_first ();
  event_base_free (base);
}

static void
on_finished (struct httpcall *call, int error, int status,
             const struct evkeyvalq *headers, const char *body, size_t size)
{
  (void)call;
  (void)status;
  (void)headers;
  (void)body;
  (void)size;
  calls_failed += error != 0;
}

/* Such a call ends in a deferred callback of its connection, which must keep
   the priority that it was queued with. */
static void
test_order_after_refused_calls (void)
{
  const struct httpcall_request request = { .path = "/", .timeout_ms = 1000 };
  struct httpcall_server server;
  struct httpcall *call;
  char address[64];
  int fd;
  int i;

  base = loop_new ();
  CU_ASSERT_EQUAL_FATAL (sock_listen ("127.0.0.1:0", 1, &fd), 0);
  CU_ASSERT_EQUAL (sock_local_address (fd, address, sizeof address), 0);
  close (fd);
  CU_ASSERT_EQUAL_FATAL (httpcall_init (&server, base, address), 0);
  for (i = 0; i < CALLS; i++)
    {
      call = httpcall_new (&server, sizeof *call);
      call->finished = on_finished;
      httpcall_start (call, &request);
      event_base_loop (base, EVLOOP_NONBLOCK);
      assert_control_first ();
    }
  CU_ASSERT_EQUAL (calls_failed, CALLS);
  httpcall_finish (&server);
  event_base_loop (base, EVLOOP_NONBLOCK);
  event_base_free (base);
}

struct busy_control
{
  struct event *event;
  struct loop_control *control;
  struct clock *clock;
  bool ends;
};

/* Takes a millisecond, and is ready again at once. */
static void
on_busy_control (evutil_socket_t fd, short what, void *user)
{
  struct busy_control *busy = user;

  (void)fd;
  (void)what;
  loop_control_begin (busy->control, busy->event);
  control_run++;
  clock_advance_ms (busy->clock, 1);
  busy->ends = busy->ends || control_run >= BUSY_RUNS;
  if (!busy->ends)
    event_active (busy->event, EV_TIMEOUT, 0);
  loop_control_end (busy->control);
}

static void
on_first_traffic (evutil_socket_t fd, short what, void *user)
{
  (void)fd;
  (void)what;
  (void)user;
  traffic_run = control_run;
}

/* Events of control that never end.  Guards against traffic without a turn:
   an event of it waits for the time for which control goes first, not for the
   end of the flood. */
static void
test_traffic_beside_busy_control (void)
{
  struct busy_control busy[BUSY_EVENTS];
  struct loop_control control;
  struct clock clock;
  struct event *traffic;
  int i;

  base = loop_new ();
  clock_init_manual (&clock, CLOCK_NS_PER_S, 0);
  loop_control_init (&control, &clock, NULL);
  control_run = traffic_run = 0;
  for (i = 0; i < BUSY_EVENTS; i++)
    {
      busy[i] = (struct busy_control){ .control = &control, .clock = &clock };
      busy[i].event = event_new (base, -1, 0, on_busy_control, &busy[i]);
      loop_set_control (busy[i].event);
      event_active (busy[i].event, EV_TIMEOUT, 0);
    }
  traffic = event_new (base, -1, 0, on_first_traffic, NULL);
  event_active (traffic, EV_TIMEOUT, 0);
  for (i = 0; i < BUSY_RUNS && traffic_run == 0; i++)
    event_base_loop (base, EVLOOP_NONBLOCK);
  CU_ASSERT (traffic_run > 0);
  CU_ASSERT (traffic_run <= TRAFFIC_WAIT_MAX_MS);
  for (i = 0; i < BUSY_EVENTS; i++)
    event_free (busy[i].event);
  event_free (traffic);
  loop_control_finish (&control);
  event_base_free (base);
}

/* Takes a millisecond of each three: the others go to the loop itself. */
static void
on_cheap_control (evutil_socket_t fd, short what, void *user)
{
  struct busy_control *busy = user;

  clock_advance_ms (busy->clock, ROUND_MS);
  on_busy_control (fd, what, user);
}

/* One event of control is ready in each round, and its callbacks take less
   than their share.  Guards against traffic without a turn for as long as that
   goes on. */
static void
test_traffic_beside_cheap_control (void)
{
  struct busy_control busy;
  struct loop_control control;
  struct clock clock;
  struct event *traffic;
  uint64_t start_ns;

  base = loop_new ();
  clock_init_manual (&clock, CLOCK_NS_PER_S, 0);
  loop_control_init (&control, &clock, NULL);
  control_run = traffic_run = 0;
  busy = (struct busy_control){ .control = &control, .clock = &clock };
  busy.event = event_new (base, -1, 0, on_cheap_control, &busy);
  loop_set_control (busy.event);
  event_active (busy.event, EV_TIMEOUT, 0);
  traffic = event_new (base, -1, 0, on_first_traffic, NULL);
  event_active (traffic, EV_TIMEOUT, 0);
  start_ns = clock_now_ns (&clock);
  event_base_loop (base, EVLOOP_NONBLOCK);
  CU_ASSERT (clock_now_ns (&clock) > start_ns);
  CU_ASSERT (traffic_run > 0);
  CU_ASSERT (traffic_run * (ROUND_MS + 1) <= TRAFFIC_WAIT_MAX_MS);
  event_free (busy.event);
  event_free (traffic);
  loop_control_finish (&control);
  event_base_free (base);
}

static const struct suite_test tests[] = {
  { "control before traffic", test_control_first },
  { "order after refused calls", test_order_after_refused_calls },
  { "traffic beside busy control", test_traffic_beside_busy_control },
  { "traffic beside cheap control", test_traffic_beside_cheap_control },
};

SUITE_MAIN ("test_loop", tests)
