/**
 * @file upstream.h
 * Interface of the drivers that run one attempt of a request at an upstream.
 * upstream_http.c implements it; tests use fakes.  The driver reports how much
 * of the request was sent, which it learns from the output buffer of the
 * connection.
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

/** What a response says of a limit of requests a second. */
enum upstream_limit
{
  UPSTREAM_LIMIT_UNKNOWN, /**< nothing that counts */
  UPSTREAM_LIMIT_NONE,    /**< the upstream has none */
  UPSTREAM_LIMIT_NAMED
};

/** Headers and checks of the protocol between a router and its upstreams. */
struct upstream_dialect
{
  /** Name of the header with the request ID, which responses echo. */
  const char *id_header;
  /** Name of the header that asks to resume a response after a number of
      bytes or events. */
  const char *resume_header;
  bool allow_close_delimited; /**< accept close-delimited responses */
  /** Checks that a response belongs to the request and is valid.
      @return 0, ERR_MISMATCH if it belongs to another request,
      ERR_UNAVAILABLE if the upstream states that it did not run the request,
      or ERR_PROTOCOL.  ERR_UNAVAILABLE for a response without the ID counts
      on a new connection only: on a reused one it may be an extra response to
      an earlier request. */
  int (*check_response) (const char *request_id, uint64_t resume_after,
                         int status, const struct upstream_header *headers,
                         size_t count);
  /** True if the headers state that the upstream is draining. */
  bool (*draining) (const struct upstream_header *headers, size_t count);
  /** How long the upstream wants no further requests, in ms; 0 if it does not
      say so.  May be NULL. */
  uint32_t (*pause_ms) (int status, const struct upstream_header *headers,
                        size_t count);
  /** What the headers say of a limit of requests a second, which is set in
      thousandths if they name one.  May be NULL. */
  enum upstream_limit (*limit) (int status,
                                const struct upstream_header *headers,
                                size_t count, uint32_t *permille);
};

/** The default dialect, with headers named Cherrylanding-*. */
extern const struct upstream_dialect upstream_default_dialect;

/** @return the value of a header, or NULL if it is absent. */
const char *upstream_header_find (const struct upstream_header *headers,
                                  size_t count, const char *name);

struct upstream_request
{
  const char *request_id;
  const char *method;
  const char *path; /**< with the query */
  const struct upstream_header *headers;
  size_t header_count;
  const char *body; /**< must outlive the attempt */
  size_t body_size; /**< bytes */
  bool idempotent;  /**< else only recently used connections are reused */
  /** The upstream may have been sent it before.  It gets a new connection, on
      which no response to the earlier attempt can arrive. */
  bool repeated;
  uint64_t resume_after;    /**< bytes or events already forwarded; 0: none */
  uint64_t upstream_id;     /**< key of the connection pool */
  const char *address;      /**< "IP:PORT" */
  const char *host;         /**< Host header; NULL: the address */
  uint32_t idle_timeout_ms; /**< after which the upstream closes an idle
                               connection */
};

/** Callbacks of an attempt, in their usual order.  None is called after
    `completed` or `failed`.  Only `sending` and `sent` may be called before
    start returns; the others may cancel the attempt. */
struct upstream_events
{
  void (*sending) (void *user); /**< first byte written to the socket */
  void (*sent) (void *user);    /**< last byte written to the socket */
  /** Status and headers; the request ID has been checked. */
  void (*responding) (void *user, int status,
                      const struct upstream_header *headers, size_t count);
  /** Body bytes; the callback drains the buffer. */
  void (*body) (void *user, struct evbuffer *data);
  void (*completed) (void *user);
  /** @param error a value of enum err. */
  void (*failed) (void *user, int error);
  /** The response headers state that the upstream is draining. */
  void (*draining) (void *user);
  /** They state that it wants no requests for a time; may be NULL. */
  void (*paused) (void *user, uint32_t pause_ms);
  /** What they say of a limit of requests a second, if anything; called for
      each response.  May be NULL.
      @param permille  thousandths of a request a second, if they name one. */
  void (*limit) (void *user, enum upstream_limit limit, uint32_t permille);
};

struct upstream_attempt;

struct upstream_driver
{
  const char *name;
  /** @return an attempt, or NULL on failure. */
  struct upstream_attempt *(*start) (void *driver,
                                     const struct upstream_request *request,
                                     const struct upstream_events *events,
                                     void *user);
  /** Cancels an attempt and closes its connection.  No callback follows. */
  void (*cancel) (struct upstream_attempt *attempt);
  /** Stops or resumes reading the response, for backpressure. */
  void (*pause) (struct upstream_attempt *attempt, bool paused);
};

#endif
