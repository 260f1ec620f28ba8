/**
 * @file sock.c
 * TCP addresses and sockets.
 */
#include "transport/sock.h"
#include "state/err.h"
#include <arpa/inet.h>
#include <errno.h>
#include <event2/util.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdio.h>
#include <string.h>
#include <sys/resource.h>
#include <unistd.h>

#define PORT_MAX 65535

static int parse_port (const char *text);
static int parse_ipv4 (const char *host, uint16_t port,
                       struct sock_address *address);
static int parse_ipv6 (const char *host, uint16_t port,
                       struct sock_address *address);
static int open_socket (const struct sock_address *address, int *fd);

int
sock_parse (const char *text, struct sock_address *address)
{
  const char *colon = text != NULL ? strrchr (text, ':') : NULL;
  char host[INET6_ADDRSTRLEN];
  size_t length;
  int port;

  memset (address, 0, sizeof *address);
  if (colon == NULL)
    return ERR_INVALID;
  port = parse_port (colon + 1);
  length = (size_t)(colon - text);
  if (port < 0 || length == 0 || length >= sizeof host)
    return ERR_INVALID;
  memcpy (host, text, length);
  host[length] = '\0';
  if (host[0] == '[' && host[length - 1] == ']')
    {
      host[length - 1] = '\0';
      return parse_ipv6 (host + 1, (uint16_t)port, address);
    }
  return parse_ipv4 (host, (uint16_t)port, address);
}

uint16_t
sock_port (const struct sock_address *address)
{
  if (address->storage.ss_family == AF_INET6)
    return ntohs (((const struct sockaddr_in6 *)&address->storage)->sin6_port);
  return ntohs (((const struct sockaddr_in *)&address->storage)->sin_port);
}

int
sock_format (const struct sock_address *address, char *out, size_t size)
{
  const struct sockaddr_in *in4
      = (const struct sockaddr_in *)&address->storage;
  const struct sockaddr_in6 *in6
      = (const struct sockaddr_in6 *)&address->storage;
  char host[INET6_ADDRSTRLEN];
  int length;

  if (address->storage.ss_family == AF_INET)
    {
      inet_ntop (AF_INET, &in4->sin_addr, host, sizeof host);
      length = snprintf (out, size, "%s:%u", host, ntohs (in4->sin_port));
    }
  else if (address->storage.ss_family == AF_INET6)
    {
      inet_ntop (AF_INET6, &in6->sin6_addr, host, sizeof host);
      length = snprintf (out, size, "[%s]:%u", host, ntohs (in6->sin6_port));
    }
  else
    return ERR_INVALID;
  return length > 0 && (size_t)length < size ? 0 : ERR_INVALID;
}

int
sock_listen (const char *text, int backlog, int *fd)
{
  struct sock_address address;
  int rc = sock_parse (text, &address);

  if (rc == 0)
    rc = open_socket (&address, fd);
  if (rc != 0)
    return rc;
  evutil_make_listen_socket_reuseable (*fd);
  if (bind (*fd, (struct sockaddr *)&address.storage, address.size) == 0
      && listen (*fd, backlog) == 0)
    return 0;
  rc = errno == EADDRINUSE ? ERR_EXISTS : ERR_IO;
  close (*fd);
  return rc;
}

int
sock_connect (const struct sock_address *address, int *fd)
{
  int rc = open_socket (address, fd);

  if (rc != 0)
    return rc;
  sock_no_delay (*fd);
  if (connect (*fd, (const struct sockaddr *)&address->storage, address->size)
          == 0
      || errno == EINPROGRESS)
    return 0;
  rc = errno == ECONNREFUSED ? ERR_REFUSED : ERR_IO;
  close (*fd);
  return rc;
}

int
sock_local_address (int fd, char *out, size_t size)
{
  struct sock_address address;

  memset (&address, 0, sizeof address);
  address.size = sizeof address.storage;
  if (getsockname (fd, (struct sockaddr *)&address.storage, &address.size)
      != 0)
    return ERR_IO;
  return sock_format (&address, out, size);
}

/* The kernel takes twice the size, for its own structures. */
void
sock_set_receive_buffer (int fd, uint32_t bytes)
{
  const int half = (int)(bytes / 2);

  setsockopt (fd, SOL_SOCKET, SO_RCVBUF, &half, sizeof half);
}

void
sock_no_delay (int fd)
{
  const int on = 1;

  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

/** @return the port, or -1 for invalid text. */
static int
parse_port (const char *text)
{
  int port = 0;

  if (*text == '\0')
    return -1;
  for (; *text != '\0'; text++)
    {
      if (*text < '0' || *text > '9')
        return -1;
      port = port * 10 + (*text - '0');
      if (port > PORT_MAX)
        return -1;
    }
  return port;
}

static int
parse_ipv4 (const char *host, uint16_t port, struct sock_address *address)
{
  struct sockaddr_in *in4 = (struct sockaddr_in *)&address->storage;

  in4->sin_family = AF_INET;
  in4->sin_port = htons (port);
  address->size = sizeof *in4;
  return inet_pton (AF_INET, host, &in4->sin_addr) == 1 ? 0 : ERR_INVALID;
}

static int
parse_ipv6 (const char *host, uint16_t port, struct sock_address *address)
{
  struct sockaddr_in6 *in6 = (struct sockaddr_in6 *)&address->storage;

  in6->sin6_family = AF_INET6;
  in6->sin6_port = htons (port);
  address->size = sizeof *in6;
  return inet_pton (AF_INET6, host, &in6->sin6_addr) == 1 ? 0 : ERR_INVALID;
}

static int
open_socket (const struct sock_address *address, int *fd)
{
  *fd = socket (address->storage.ss_family,
                SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  return *fd >= 0 ? 0 : ERR_IO;
}

void
sock_set_keepalive (int fd, uint32_t timeout_ms)
{
  const int on = 1;
  const int interval_s = 1; /* the shortest interval that the kernel accepts */
  const int probes
      = (int)(timeout_ms / 1000) > 1 ? (int)(timeout_ms / 1000) : 1;

  setsockopt (fd, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof on);
  setsockopt (fd, IPPROTO_TCP, TCP_KEEPIDLE, &interval_s, sizeof interval_s);
  setsockopt (fd, IPPROTO_TCP, TCP_KEEPINTVL, &interval_s, sizeof interval_s);
  setsockopt (fd, IPPROTO_TCP, TCP_KEEPCNT, &probes, sizeof probes);
  setsockopt (fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout_ms,
              sizeof timeout_ms);
}

void
sock_raise_fd_limit (void)
{
  struct rlimit limit;

  if (getrlimit (RLIMIT_NOFILE, &limit) != 0)
    return;
  limit.rlim_cur = limit.rlim_max;
  setrlimit (RLIMIT_NOFILE, &limit);
}
