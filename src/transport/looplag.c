/**
 * @file looplag.c
 * Measurement of an event loop's lag.
 */
#include "transport/looplag.h"
#include "state/err.h"
#include <string.h>

static void on_probe (evutil_socket_t fd, short what, void *arg);

int
looplag_init (struct looplag *lag, struct event_base *base,
              const struct clock *clock,
              void (*measured) (void *user, uint64_t lag_ns), void *user)
{
  memset (lag, 0, sizeof *lag);
  lag->clock = clock;
  lag->measured = measured;
  lag->user = user;
  lag->probe = event_new (base, -1, 0, on_probe, lag);
  return lag->probe == NULL ? ERR_NO_MEMORY : 0;
}

void
looplag_finish (struct looplag *lag)
{
  if (lag->probe != NULL)
    event_free (lag->probe);
  lag->probe = NULL;
}

void
looplag_start (struct looplag *lag, uint64_t since_ns)
{
  if (lag->since_ns != 0)
    return;
  lag->since_ns = since_ns;
  event_active (lag->probe, EV_TIMEOUT, 0);
}

uint64_t
looplag_pending_ns (const struct looplag *lag)
{
  return lag->since_ns == 0 ? 0 : clock_now_ns (lag->clock) - lag->since_ns;
}

uint64_t
looplag_ns (const struct looplag *lag)
{
  uint64_t pending_ns = looplag_pending_ns (lag);

  return pending_ns > lag->last_ns ? pending_ns : lag->last_ns;
}

static void
on_probe (evutil_socket_t fd, short what, void *arg)
{
  struct looplag *lag = arg;

  (void)fd;
  (void)what;
  lag->last_ns = looplag_pending_ns (lag);
  lag->since_ns = 0;
  lag->measured (lag->user, lag->last_ns);
}
