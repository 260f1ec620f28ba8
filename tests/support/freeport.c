/**
 * @file freeport.c
 * Free ports in ascending order, from a port that depends on the process id.
 */
#include "support/freeport.h"
#include <netinet/in.h>
#include <stdbool.h>
#include <sys/socket.h>
#include <unistd.h>

#define PORT_STEP 257 /**< offset between processes with consecutive ids */

static bool is_free (uint16_t port);

uint16_t
freeport_next (void)
{
  static uint32_t used;
  const uint32_t offset = (uint32_t)getpid () * PORT_STEP;
  uint32_t i;

  for (i = 0; i < FREEPORT_COUNT; i++)
    {
      const uint32_t index = offset + used++;
      const uint16_t port
          = (uint16_t)(FREEPORT_FIRST + index % FREEPORT_COUNT);

      if (is_free (port))
        return port;
    }
  return 0;
}

static bool
is_free (uint16_t port)
{
  struct sockaddr_in address = { .sin_family = AF_INET,
                                 .sin_port = htons (port),
                                 .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  int fd = socket (AF_INET, SOCK_STREAM, 0);
  bool free = false;

  if (fd >= 0)
    {
      free = bind (fd, (struct sockaddr *)&address, sizeof (address)) == 0;
      close (fd);
    }
  return free;
}
