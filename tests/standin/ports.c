/**
 * @file ports.c
 * Prints free TCP ports below the range of ephemeral ports, so that the kernel
 * does not assign them to other sockets.
 */
#include "standin/standin.h"
#include <netinet/in.h>
#include <stdio.h>
#include <sys/socket.h>
#include <unistd.h>

#define PORT_FIRST 20000
#define PORT_COUNT 12000
#define PORT_STEP  257 /**< offset between processes with consecutive ids */

static int is_free (uint16_t port);

int
ports_init (struct server *server, const struct standin_options *options)
{
  uint32_t offset = (uint32_t)getpid () * PORT_STEP;
  uint32_t printed = 0;
  uint32_t i;

  (void)server;
  for (i = 0; i < PORT_COUNT && printed < options->workers; i++)
    {
      uint16_t port = (uint16_t)(PORT_FIRST + (offset + i) % PORT_COUNT);

      if (!is_free (port))
        continue;
      printf ("%u\n", (unsigned)port);
      printed++;
    }
  return printed == options->workers ? STANDIN_DONE : -1;
}

static int
is_free (uint16_t port)
{
  struct sockaddr_in address = { .sin_family = AF_INET,
                                 .sin_port = htons (port),
                                 .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  int fd = socket (AF_INET, SOCK_STREAM, 0);
  int status = -1;

  if (fd >= 0)
    {
      status = bind (fd, (struct sockaddr *)&address, sizeof (address));
      close (fd);
    }
  return status == 0;
}
