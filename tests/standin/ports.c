/**
 * @file ports.c
 * Prints free TCP ports.
 */
#include "standin/standin.h"
#include "support/freeport.h"
#include <stdio.h>

int
ports_init (struct server *server, const struct standin_options *options)
{
  uint32_t i;

  (void)server;
  for (i = 0; i < options->workers && i < FREEPORT_COUNT; i++)
    {
      const uint16_t port = freeport_next ();

      if (port == 0)
        return -1;
      printf ("%u\n", (unsigned)port);
    }
  return i == options->workers ? STANDIN_DONE : -1;
}
