/**
 * @file httpcall.h
 * HTTP exchanges with one server, over evhttp.  Each has a connection of its
 * own, so that a connection which fails before any byte was handed to it
 * proves that the call had no effect.  A connection that falls silent is
 * noticed by keep-alive probes.
 */
#ifndef TRANSPORT_HTTPCALL_H
#define TRANSPORT_HTTPCALL_H

#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define HTTPCALL_HOST_SIZE    64        /**< bytes of an IP number */
#define HTTPCALL_RESPONSE_MAX 134217728 /**< bytes of a response */
#define HTTPCALL_SILENCE_MS   2500      /**< until a dead peer is noticed */

struct httpcall;

/** One server. */
struct httpcall_server
{
  struct event_base *base;
  const char *address; /**< "IP:PORT"; must outlive the calls */
  char host[HTTPCALL_HOST_SIZE];
  uint16_t port;
  struct httpcall *calls; /**< private */
  struct event *reap;     /**< private; releases finished calls */
};

/** Head of every call's own record. */
struct httpcall
{
  struct httpcall_server *server;
  struct httpcall *prev;
  struct httpcall *next;
  struct evhttp_connection *connection;
  bool sent; /**< bytes of the request were handed to the connection */
  bool done; /**< the connection is released soon */
  /** Called once.  `error` is 0 for any whole response, ERR_UNAVAILABLE when
      nothing was sent, ERR_TIMEOUT or ERR_RESET. */
  void (*finished) (struct httpcall *call, int error, int status,
                    const struct evkeyvalq *headers, const char *body,
                    size_t size);
};

struct httpcall_request
{
  enum evhttp_cmd_type method;
  const char *path;
  const char *content_type; /**< NULL: none */
  const char *body;         /**< NULL: none */
  size_t body_size;         /**< bytes */
  uint32_t timeout_ms;
};

/** @return 0, ERR_INVALID for an address, ERR_NO_MEMORY. */
int httpcall_init (struct httpcall_server *server, struct event_base *base,
                   const char *address);
/** Drops all calls; their callbacks are not called any more. */
void httpcall_finish (struct httpcall_server *server);

/** @param size of the caller's record, whose head this is.
    @return a zeroed record, released by the server; NULL without memory. */
void *httpcall_new (struct httpcall_server *server, size_t size);
/** Releases the record on an error.
    @return 0, ERR_NO_MEMORY or ERR_UNAVAILABLE. */
int httpcall_start (struct httpcall *call,
                    const struct httpcall_request *request);

#endif
