/**
 * @file loop.c
 * Event loops with two priorities.
 */
#include "transport/loop.h"
#include "transport/clock.h"
#include <limits.h>

/* Time for which events of traffic are handled before the loop looks for
   others again: a fraction of the shortest interval of reports between
   instances, and long against the system call that it costs. */
#define LOOP_TRAFFIC_SLICE_MS 10

static void on_turn (evutil_socket_t fd, short what, void *arg);
static void wait_for_turn (struct loop_control *control,
                           struct event_base *base);

struct event_base *
loop_new (void)
{
  const struct timeval slice = clock_timeval (LOOP_TRAFFIC_SLICE_MS);
  struct event_config *config = event_config_new ();
  struct event_base *base = NULL;

  if (config == NULL)
    return NULL;
  if (event_config_set_max_dispatch_interval (config, &slice, INT_MAX,
                                              LOOP_TRAFFIC)
      == 0)
    base = event_base_new_with_config (config);
  event_config_free (config);
  if (base == NULL)
    return NULL;
  /* New events get half the number of priorities, which is LOOP_TRAFFIC. */
  if (event_base_priority_init (base, LOOP_PRIORITY_MAX) == 0)
    return base;
  event_base_free (base);
  return NULL;
}

void
loop_set_control (struct event *event)
{
  event_priority_set (event, LOOP_CONTROL);
}

void
loop_control_init (struct loop_control *control, const struct clock *clock,
                   struct looptime *time)
{
  *control = (struct loop_control){
    .clock = clock,
    .time = time,
    .share = { .permille = LOOP_CONTROL_SHARE_PERMILLE,
               .burst_ns = LOOP_CONTROL_BURST_MS * CLOCK_NS_PER_MS },
  };
}

void
loop_control_finish (struct loop_control *control)
{
  if (control->turn != NULL)
    event_free (control->turn);
  control->turn = NULL;
  control->waits = false;
}

void
loop_control_begin (struct loop_control *control, struct event *event)
{
  bool first;

  if (control == NULL)
    return;
  if (control->time != NULL)
    control->work = looptime_begin (control->time, LOOP_WORK_PEERS);
  control->start_ns = clock_now_ns (control->clock);
  wait_for_turn (control, event_get_base (event));
  first = time_share_left_ns (&control->share, control->start_ns) > 0
          && (!control->waits
              || control->start_ns - control->waits_ns
                     < control->share.burst_ns);
  event_priority_set (event, first ? LOOP_CONTROL : LOOP_TRAFFIC);
}

/* The share leaves out the loop's own time and other events of control, so an
   event of traffic shows whether that has turns. */
static void
wait_for_turn (struct loop_control *control, struct event_base *base)
{
  const uint64_t traffic_ns
      = control->time == NULL ? 0 : looptime_traffic_ns (control->time);

  if (control->turn == NULL)
    control->turn = event_new (base, -1, 0, on_turn, control);
  if (control->turn == NULL
      || (control->waits && traffic_ns == control->traffic_ns))
    return;
  control->waits_ns = control->start_ns;
  control->traffic_ns = traffic_ns;
  if (!control->waits)
    event_active (control->turn, EV_TIMEOUT, 0);
  control->waits = true;
}

static void
on_turn (evutil_socket_t fd, short what, void *arg)
{
  struct loop_control *control = arg;

  (void)fd;
  (void)what;
  control->waits = false;
}

void
loop_control_end (struct loop_control *control)
{
  if (control == NULL)
    return;
  time_share_take (&control->share, control->start_ns,
                   clock_now_ns (control->clock));
  if (control->time != NULL)
    looptime_begin (control->time, control->work);
}
