/**
 * @file httpcall.h
 * HTTP client requests to one server, over evhttp.  Each request has its own
 * connection, so that a connection which fails before any byte was written to
 * it proves that the request had no effect.  TCP keep-alive probes detect a
 * peer that no longer responds.
 */
#ifndef TRANSPORT_HTTPCALL_H
#define TRANSPORT_HTTPCALL_H

#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define HTTPCALL_HOST_SIZE    64        /**< bytes of an IP address as text */
#define HTTPCALL_RESPONSE_MAX 134217728 /**< default of response_max */
#define HTTPCALL_HEAD_MAX     65536     /**< bytes of a response head */
#define HTTPCALL_INTERIM_MAX  8         /**< interim responses to a request */
#define HTTPCALL_DEAD_PEER_MS 2500      /**< time to detect a dead peer */

struct httpcall;

/** A server and its pending calls. */
struct httpcall_server
{
  struct event_base *base;
  const char *address; /**< "IP:PORT"; must outlive this struct */
  char host[HTTPCALL_HOST_SIZE];
  uint16_t port;
  struct httpcall *calls; /**< private */
  struct event *reap;     /**< private; frees finished calls */
  /** Bytes that the pending calls may have read together; the call that reads
      more ends with ERR_TOO_LARGE. */
  size_t response_max;
  size_t received; /**< private; bytes that the calls have read */
};

/** One request; the first member of the struct of its caller. */
struct httpcall
{
  struct httpcall_server *server;
  struct httpcall *prev;
  struct httpcall *next;
  struct evhttp_connection *connection;
  struct event *timer;    /**< ends the call; control */
  struct timeval timeout; /**< without progress */
  bool extended;          /**< got more time, as the loop was late */
  bool sent;       /**< bytes of the request were written to the connection */
  size_t received; /**< bytes read */
  uint32_t interim_count;
  bool too_large; /**< the calls have read too much */
  bool done;      /**< `finished` was called; freed from the event loop */
  /** Called once.  `error` is 0 for any complete response, ERR_UNAVAILABLE
      when nothing was sent, ERR_TIMEOUT, ERR_RESET or ERR_TOO_LARGE. */
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

/** @return 0, ERR_INVALID for a malformed address, or ERR_NO_MEMORY. */
int httpcall_init (struct httpcall_server *server, struct event_base *base,
                   const char *address);
/** Cancels all calls without calling their callbacks. */
void httpcall_finish (struct httpcall_server *server);

/** Allocates a call.
    @param size size of the caller's struct, which starts with a httpcall.
    @return a zeroed struct, which is freed after the call has finished, or
    NULL if out of memory. */
void *httpcall_new (struct httpcall_server *server, size_t size);
/** Sends the request.  Frees the call on an error.
    @return 0, ERR_NO_MEMORY or ERR_UNAVAILABLE. */
int httpcall_start (struct httpcall *call,
                    const struct httpcall_request *params);

#endif
