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
loop_control_begin (struct loop_control *control, struct event *event)
{
  if (control == NULL)
    return;
  if (control->time != NULL)
    control->work = looptime_begin (control->time, LOOP_WORK_PEERS);
  control->start_ns = clock_now_ns (control->clock);
  event_priority_set (
      event, time_share_left_ns (&control->share, control->start_ns) > 0
                 ? LOOP_CONTROL
                 : LOOP_TRAFFIC);
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
