/**
 * @file test_sock.c
 * Addresses by IP number.
 */
#include "state/catalog.h"
#include "state/err.h"
#include "support/suite.h"
#include "transport/sock.h"
#include <unistd.h>

static void
test_parse (void)
{
  static const char *const good[]
      = { "127.0.0.1:80", "10.0.0.1:65535", "[::1]:7000", "127.0.0.1:0" };
  static const char *const bad[] = {
    "",       "127.0.0.1", "127.0.0.1:",    "localhost:80", "127.0.0.1:65536",
    "::1:80", "[::1]",     "127.0.0.1:80x", ":80"
  };
  struct sock_address address;
  char text[CATALOG_ADDRESS_SIZE];
  size_t i;

  for (i = 0; i < sizeof good / sizeof good[0]; i++)
    {
      CU_ASSERT_EQUAL_FATAL (sock_parse (good[i], &address), 0);
      CU_ASSERT_EQUAL (sock_format (&address, text, sizeof text), 0);
      CU_ASSERT_STRING_EQUAL (text, good[i]);
    }
  for (i = 0; i < sizeof bad / sizeof bad[0]; i++)
    CU_ASSERT_EQUAL (sock_parse (bad[i], &address), ERR_INVALID);
  CU_ASSERT_EQUAL (sock_parse (NULL, &address), ERR_INVALID);
}

static void
test_listen (void)
{
  struct sock_address address;
  char text[CATALOG_ADDRESS_SIZE];
  int fd;
  int other;

  CU_ASSERT_EQUAL_FATAL (sock_listen ("127.0.0.1:0", 8, &fd), 0);
  CU_ASSERT_EQUAL (sock_local (fd, text, sizeof text), 0);
  CU_ASSERT_EQUAL (sock_listen (text, 8, &other), ERR_EXISTS);
  CU_ASSERT_EQUAL (sock_parse (text, &address), 0);
  CU_ASSERT_EQUAL_FATAL (sock_connect (&address, &other), 0);
  close (other);
  close (fd);
}

static const struct suite_test tests[] = {
  { "parse", test_parse },
  { "listen", test_listen },
};

SUITE_MAIN ("test_sock", tests)
