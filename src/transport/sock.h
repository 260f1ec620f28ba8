/**
 * @file sock.h
 * TCP addresses by IP number, and listening sockets.
 */
#ifndef TRANSPORT_SOCK_H
#define TRANSPORT_SOCK_H

#include <stddef.h>
#include <stdint.h>
#include <sys/socket.h>

/** A parsed "host:port". */
struct sock_address
{
  struct sockaddr_storage storage;
  socklen_t size; /**< bytes used of `storage` */
};

/** Parses "192.0.2.1:80" or "[2001:db8::1]:80"; names are not resolved.
    @return 0 or ERR_INVALID. */
int sock_parse (const char *text, struct sock_address *address);

/** Writes an address as sock_parse reads it.
    @return 0, or ERR_INVALID when it does not fit. */
int sock_format (const struct sock_address *address, char *out, size_t size);

/** Opens a nonblocking listening socket; port 0 takes any free one.
    @return 0, ERR_INVALID, ERR_EXISTS when the port is taken, ERR_IO. */
int sock_listen (const char *text, int backlog, int *fd);

/** Starts a nonblocking connection.
    @return 0 (also while in progress), ERR_INVALID, ERR_REFUSED, ERR_IO. */
int sock_connect (const struct sock_address *address, int *fd);

/** Writes the address that a socket is bound to. @return 0 or an error. */
int sock_local (int fd, char *out, size_t size);

/** Has the kernel end a connection whose peer has been silent to probes, or
    has not taken what was sent, for about `silence_ms`. */
void sock_notice_silence (int fd, uint32_t silence_ms);

/** Lets the process open as many descriptors as it may: a stream takes two,
    and the usual soft limit is 1,024. */
void sock_raise_limit (void);

/** Turns off Nagle's algorithm. */
void sock_no_delay (int fd);

#endif
