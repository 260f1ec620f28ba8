/**
 * @file upstream.h
 * One attempt of a request at an upstream, as a table of functions: the real
 * driver in upstream_http.c, and fakes in tests.  The driver reports how far
 * the request got by watching the output buffer of the connection.
 */
#ifndef TRANSPORT_UPSTREAM_H
#define TRANSPORT_UPSTREAM_H

#include <event2/buffer.h>
#include <event2/event.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

struct upstream_header
{
  const char *name;
  const char *value;
};

/** How the service's upstreams tell, in headers, what the driver must know. */
struct upstream_dialect
{
  const char *request_id; /**< header that names a request, and is echoed */
  const char *resume;     /**< header that asks to go on after some bytes or
                               events */
  bool unframed;          /**< a response may end with its connection */
  /** Whose response it is, and whether it is one.
      @return 0, ERR_MISMATCH for another request's, ERR_UNAVAILABLE when the
      upstream says that it did not run the request, ERR_PROTOCOL. */
  int (*check) (const char *request_id, uint64_t resume_after, int status,
                const struct upstream_header *headers, size_t count);
  /** True when the headers say that the upstream is draining. */
  bool (*draining) (const struct upstream_header *headers, size_t count);
};

/** The product's own. */
extern const struct upstream_dialect upstream_own_dialect;

/** Value of a header; NULL when absent. */
const char *upstream_header_find (const struct upstream_header *headers,
                                  size_t count, const char *name);

struct upstream_request
{
  const char *request_id;
  const char *method;
  const char *path; /**< with its query */
  const struct upstream_header *headers;
  size_t header_count;
  const char *body;         /**< must outlive the attempt */
  size_t body_size;         /**< bytes */
  bool idempotent;          /**< else only recently used connections serve */
  uint64_t resume_after;    /**< of the response already passed on; 0: none */
  uint64_t upstream_id;     /**< connections are kept by it */
  const char *address;      /**< "IP:PORT" */
  const char *host;         /**< Host header; NULL: the address */
  uint32_t idle_timeout_ms; /**< after which the upstream closes */
};

/** Callbacks of an attempt, in the order of the attempt's steps.  After
    `completed` or `failed`, none comes.  Only `sending` and
    `sent` may come before start returns; the others may cancel the attempt. */
struct upstream_events
{
  void (*sending) (void *user); /**< first byte handed to the socket */
  void (*sent) (void *user);
  /** Status line and headers; the request id has been checked. */
  void (*responding) (void *user, int status,
                      const struct upstream_header *headers, size_t count);
  /** Body bytes; drain the buffer. */
  void (*body) (void *user, struct evbuffer *data);
  void (*completed) (void *user);
  /** @param error enum err. */
  void (*failed) (void *user, int error);
  /** The upstream said that it is draining. */
  void (*draining) (void *user);
};

struct upstream_attempt;

struct upstream_driver
{
  const char *name;
  /** @return an attempt, or NULL without memory. */
  struct upstream_attempt *(*start) (void *driver,
                                     const struct upstream_request *request,
                                     const struct upstream_events *events,
                                     void *user);
  /** Ends an attempt at once; closes its connection.  No callback follows. */
  void (*cancel) (struct upstream_attempt *attempt);
  /** Stops or resumes reading the response, for back pressure. */
  void (*pause) (struct upstream_attempt *attempt, bool paused);
};

#endif
