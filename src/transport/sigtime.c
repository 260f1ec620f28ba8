/**
 * @file sigtime.c
 * Records when signals arrived, in their handlers.
 */
#include "transport/sigtime.h"
#include "state/err.h"
#include <errno.h>
#include <signal.h>
#include <stdatomic.h>
#include <stddef.h>

static void set_mask (int how);
static void on_signal (int signal_number);

/* Static, as a signal handler gets no user pointer. */
static const struct clock *_Atomic signal_clock;
static _Atomic uint64_t last_ns[NSIG];
static void (*next_handlers[NSIG]) (int signal_number);

void
sigtime_hold (void)
{
  set_mask (SIG_BLOCK);
}

void
sigtime_release (void)
{
  set_mask (SIG_UNBLOCK);
}

static void
set_mask (int how)
{
  sigset_t set;

  sigemptyset (&set);
  sigaddset (&set, SIGTERM);
  sigaddset (&set, SIGINT);
  sigaddset (&set, SIGHUP);
  sigprocmask (how, &set, NULL);
}

int
sigtime_watch (int signal_number, const struct clock *clock)
{
  struct sigaction action;

  if (signal_number <= 0 || signal_number >= NSIG
      || sigaction (signal_number, NULL, &action) != 0)
    return ERR_INVALID;
  last_ns[signal_number] = 0;
  signal_clock = clock;
  if (action.sa_handler == on_signal)
    return 0;
  next_handlers[signal_number] = action.sa_handler;
  action.sa_handler = on_signal;
  return sigaction (signal_number, &action, NULL) == 0 ? 0 : ERR_INVALID;
}

uint64_t
sigtime_last_ns (int signal_number, uint64_t now_ns)
{
  const uint64_t arrival_ns = last_ns[signal_number];

  return arrival_ns == 0 || arrival_ns > now_ns ? now_ns : arrival_ns;
}

void
sigtime_finish (const struct clock *clock)
{
  if (signal_clock == clock)
    signal_clock = NULL;
}

static void
on_signal (int signal_number)
{
  const struct clock *clock = signal_clock;
  void (*next) (int) = next_handlers[signal_number];
  int saved_errno = errno;

  if (clock != NULL)
    last_ns[signal_number] = clock_now_ns (clock);
  errno = saved_errno;
  if (next != NULL && next != SIG_IGN)
    next (signal_number);
}
