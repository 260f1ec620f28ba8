/**
 * @file sock.h
 * TCP addresses with numeric hosts, and TCP sockets.
 */
#ifndef TRANSPORT_SOCK_H
#define TRANSPORT_SOCK_H

#include <stddef.h>
#include <stdint.h>
#include <sys/socket.h>

/** A parsed "IP:PORT". */
struct sock_address
{
  struct sockaddr_storage storage;
  socklen_t size; /**< bytes used of `storage` */
};

/** Parses "192.0.2.1:80" or "[2001:db8::1]:80"; host names are rejected.
    @return 0 or ERR_INVALID. */
int sock_parse (const char *text, struct sock_address *address);

/** The port of an address. */
uint16_t sock_port (const struct sock_address *address);

/** Formats an address in the form that sock_parse accepts.
    @return 0, or ERR_INVALID if it does not fit or is no IP address. */
int sock_format (const struct sock_address *address, char *out, size_t size);

/** Opens a nonblocking listening socket; port 0 selects any free port.
    @return 0, ERR_INVALID, ERR_EXISTS if the address is in use, ERR_IO. */
int sock_listen (const char *text, int backlog, int *fd);

/** Starts to connect a nonblocking socket.
    @return 0 (also while in progress), ERR_REFUSED or ERR_IO. */
int sock_connect (const struct sock_address *address, int *fd);

/** Formats the local address of a socket.
    @return 0, ERR_IO, or ERR_INVALID if it does not fit. */
int sock_local_address (int fd, char *out, size_t size);

/** Lets the kernel close a connection whose peer has not responded to
    keep-alive probes, or not acknowledged data, for about `timeout_ms`. */
void sock_set_keepalive (int fd, uint32_t timeout_ms);

/** Raises the soft limit on open file descriptors to the hard limit: a
    streamed response takes two, and the usual soft limit is 1,024. */
void sock_raise_fd_limit (void);

/** Limits the received bytes that the kernel holds for a socket, or for each
    socket accepted from a listening one. */
void sock_set_receive_buffer (int fd, uint32_t bytes);

/** Disables Nagle's algorithm. */
void sock_no_delay (int fd);

#endif
