/**
 * @file upstream.h
 * One attempt of a request at an upstream, as a table of functions: the real
 * driver in upstream_http.c, and fakes in tests.  The driver reports how far
 * the request got by watching the output buffer of the connection.
 */
#ifndef TRANSPORT_UPSTREAM_H
#define TRANSPORT_UPSTREAM_H

#include "state/catalog.h"
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

struct upstream_request
{
  const char *request_id;
  const char *method;
  const char *path; /**< with its query */
  const struct upstream_header *headers;
  size_t header_count;
  const char *body;       /**< must outlive the attempt */
  size_t body_size;       /**< bytes */
  bool idempotent;        /**< else only recently used connections serve */
  uint64_t resume_offset; /**< bytes of response body already passed on */
  const struct catalog_service *service; /**< copied fields only */
  const struct catalog_upstream *upstream;
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
