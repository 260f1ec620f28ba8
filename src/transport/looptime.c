/**
 * @file looptime.c
 * Time of an event loop by kind of work.
 */
#include "transport/looptime.h"

static const char *const names[LOOP_WORK_MAX] = {
  [LOOP_WORK_OTHER] = "other",       [LOOP_WORK_TURN_AWAY] = "turn_away",
  [LOOP_WORK_ACCEPT] = "accept",     [LOOP_WORK_CLOSE] = "close",
  [LOOP_WORK_PARSE] = "parse",       [LOOP_WORK_REQUEST] = "request",
  [LOOP_WORK_DISPATCH] = "dispatch", [LOOP_WORK_SEND] = "send",
  [LOOP_WORK_RESPONSE] = "response", [LOOP_WORK_PEERS] = "peers",
};

enum loop_work
looptime_begin (struct looptime *time, enum loop_work work)
{
  enum loop_work previous = time->work;
  uint64_t now_ns = clock_now_ns (time->clock);

  if (time->since_ns != 0)
    time->total_ns[previous] += now_ns - time->since_ns;
  time->since_ns = now_ns;
  time->work = work;
  return previous;
}

const char *
looptime_name (enum loop_work work)
{
  return names[work];
}

uint64_t
looptime_traffic_ns (const struct looptime *time)
{
  uint64_t total_ns = 0;
  int work;

  for (work = 0; work < LOOP_WORK_MAX; work++)
    if (work != LOOP_WORK_OTHER && work != LOOP_WORK_PEERS)
      total_ns += time->total_ns[work];
  return total_ns;
}
