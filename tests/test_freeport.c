/**
 * @file test_freeport.c
 * Ports of tests: below the range from which the kernel assigns ports to other
 * sockets, and never one twice.  Guards against a program that cannot listen
 * as its port was taken between the choice and its start.
 */
#include "support/freeport.h"
#include "support/suite.h"
#include <arpa/inet.h>
#include <netinet/in.h>
#include <stdbool.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define PORTS 2000

static bool taken[65536];

static unsigned int
first_ephemeral_port (void)
{
  FILE *range = fopen ("/proc/sys/net/ipv4/ip_local_port_range", "r");
  unsigned int first = 0;

  CU_ASSERT_FATAL (range != NULL);
  CU_ASSERT_EQUAL (fscanf (range, "%u", &first), 1);
  fclose (range);
  return first;
}

static void
test_range (void)
{
  const unsigned int first = first_ephemeral_port ();
  int i;

  memset (taken, 0, sizeof taken);
  for (i = 0; i < PORTS; i++)
    {
      const uint16_t port = freeport_next ();

      CU_ASSERT (port > 0 && port < first);
      CU_ASSERT_FALSE (taken[port]);
      taken[port] = true;
    }
}

static void
test_bound (void)
{
  struct sockaddr_in address
      = { .sin_family = AF_INET, .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  const int fd = socket (AF_INET, SOCK_STREAM, 0);
  const uint16_t bound = freeport_next ();
  int i;

  address.sin_port = htons (bound);
  CU_ASSERT_EQUAL_FATAL (
      bind (fd, (struct sockaddr *)&address, sizeof address), 0);
  for (i = 0; i < FREEPORT_COUNT; i++)
    CU_ASSERT_NOT_EQUAL (freeport_next (), bound);
  close (fd);
}

static const struct suite_test tests[] = {
  { "ports that the kernel does not assign", test_range },
  { "a bound port", test_bound },
};

SUITE_MAIN ("test_freeport", tests)
