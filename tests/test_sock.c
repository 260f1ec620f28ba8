/**
 * @file test_sock.c
 * Parsing and formatting of numeric addresses, and listening sockets.
 */
#include "state/catalog.h"
#include "state/err.h"
#include "support/suite.h"
#include "transport/sock.h"
#include <unistd.h>

static void
test_parse_and_format (void)
{
  static const char *const valid[]
      = { "127.0.0.1:80", "10.0.0.1:65535", "[::1]:7000", "127.0.0.1:0" };
  static const char *const invalid[] = {
    "",       "127.0.0.1", "127.0.0.1:",    "localhost:80", "127.0.0.1:65536",
    "::1:80", "[::1]",     "127.0.0.1:80x", ":80"
  };
  struct sock_address address;
  char text[CATALOG_ADDRESS_SIZE];
  size_t i;

  for (i = 0; i < sizeof valid / sizeof valid[0]; i++)
    {
      CU_ASSERT_EQUAL_FATAL (sock_parse (valid[i], &address), 0);
      CU_ASSERT_EQUAL (sock_format (&address, text, sizeof text), 0);
      CU_ASSERT_STRING_EQUAL (text, valid[i]);
    }
  for (i = 0; i < sizeof invalid / sizeof invalid[0]; i++)
    CU_ASSERT_EQUAL (sock_parse (invalid[i], &address), ERR_INVALID);
  CU_ASSERT_EQUAL (sock_parse (NULL, &address), ERR_INVALID);
}

static void
test_listen_and_connect (void)
{
  struct sock_address address;
  char text[CATALOG_ADDRESS_SIZE];
  int fd;
  int other_fd;

  CU_ASSERT_EQUAL_FATAL (sock_listen ("127.0.0.1:0", 8, &fd), 0);
  CU_ASSERT_EQUAL (sock_local_address (fd, text, sizeof text), 0);
  CU_ASSERT_EQUAL (sock_listen (text, 8, &other_fd), ERR_EXISTS);
  CU_ASSERT_EQUAL (sock_parse (text, &address), 0);
  CU_ASSERT_EQUAL_FATAL (sock_connect (&address, &other_fd), 0);
  close (other_fd);
  close (fd);
}

static const struct suite_test tests[] = {
  { "parse and format", test_parse_and_format },
  { "listen and connect", test_listen_and_connect },
};

SUITE_MAIN ("test_sock", tests)
