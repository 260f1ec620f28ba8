/**
 * @file httpd.h
 * The HTTP server for clients, over libevhtp.  Limits the number of
 * connections, the size of headers and bodies, and idle and read times.  When
 * a limit is exceeded, a response specific to that limit, written by the
 * owner's `refuse` callback, is sent before the connection is closed.
 */
#ifndef TRANSPORT_HTTPD_H
#define TRANSPORT_HTTPD_H

#include "state/memory_account.h"
#include "state/refusal.h"
#include "transport/clock.h"
#include "transport/httpd_close.h"
#include "transport/looptime.h"
#include <event2/buffer.h>
#include <event2/event.h>
#include <evhtp/evhtp.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define HTTPD_READ_MAX    65536 /**< bytes buffered ahead of the parser */
#define HTTPD_HELD_MAX    16384 /**< read behind a request in progress */
#define HTTPD_BACKLOG_MAX 4096
/** Headers of one request; one with more is refused, as one whose headers are
    too large. */
#define HTTPD_HEADERS_MAX 256

struct httpd_limits
{
  uint32_t header_bytes_max;
  uint32_t body_bytes_max;
  uint32_t connections_max;
  /** Above this number, each connection closes after its response; 0: half of
      connections_max. */
  uint32_t kept_connections_max;
  /** Sockets of connections, with those that are being refused or closed;
      more than connections_max, or 0: not bounded. */
  uint32_t sockets_max;
  uint32_t idle_timeout_ms;  /**< connection without a request */
  uint32_t read_timeout_ms;  /**< to receive one complete request */
  uint32_t write_timeout_ms; /**< client that does not read */
  uint32_t low_water_bytes;  /**< `drained` is called at or below this */
};

struct httpd_config
{
  struct event_base *base;
  const struct clock *clock;
  const char *address; /**< IP:PORT; port 0 selects a free port */
  /** Name of the header with the request ID, which is passed to `refuse`;
      NULL: Cherrylanding-Request-Id. */
  const char *request_id_header;
  bool close_idle_silently; /**< close idle connections without a response */
  /** Connections that may wait to be accepted; 0: HTTPD_BACKLOG_MAX. */
  uint32_t backlog;
  /** Memory for connections and what they have received unread, by which
      their number and receive buffers are bounded; 0: not bounded. */
  uint64_t connection_bytes;
  /** Account of what the clients make the process hold; NULL: not bounded. */
  struct memory_account *memory;
  struct httpd_limits limits;
  /** The head of a request has arrived whose body has not.  To be refused now
      if it would be later; otherwise its customer is set.  NULL: all requests
      are received first. */
  enum refusal (*head) (void *user, evhtp_request_t *http,
                        uint64_t *customer_id);
  /** A complete request arrived.  The owner responds at once or later, with
      evhtp's reply functions or httpd_abort. */
  void (*request) (void *user, evhtp_request_t *http);
  /** The client closed its connection, or it failed, before the response was
      complete; the request must no longer be used. */
  void (*client_closed) (void *user, void *request_user);
  /** The unsent output has fallen to low_water_bytes or less. */
  void (*output_low) (void *user, void *request_user);
  /** Whether new connections are accepted.  Those that are not are refused
      unread, at little cost; NULL: all are accepted. */
  bool (*accepts) (void *user);
  /** Writes a complete HTTP error response for a request that is malformed, or
      for a connection or request that exceeds a limit of number, size or time.
      `request_id` is NULL if the request has none. */
  void (*refuse) (void *user, enum refusal refusal, const char *request_id,
                  struct evbuffer *out);
  void *user;
  struct looptime *time; /**< of the event loop; may be NULL */
};

struct httpd;

/** Creates a server and starts to listen.
    @return 0, ERR_INVALID for a malformed address, ERR_IO if it cannot
    listen, ERR_NO_MEMORY. */
int httpd_new (struct httpd **httpd, const struct httpd_config *config);
/** Closes all connections; `gone` is called for requests in progress. */
void httpd_free (struct httpd *httpd);

/** @return the port that the server listens on; 0 on an error. */
uint16_t httpd_port (const struct httpd *httpd);

/** Changes the limits; idle and read timers that are already running are not
    changed. */
void httpd_set_limits (struct httpd *httpd, const struct httpd_limits *limits);

/** Disables keep-alive: connections close after their next response. */
void httpd_disable_keepalive (struct httpd *httpd);

/** Closes idle connections that have served a request, unless they have
   another one unread, and others after their response.  New connections are
   still accepted, so that their requests get an error response. */
void httpd_drain (struct httpd *httpd);

/** @return the method as the client sent it, which libevhtp may have no name
    for; until the request has ended. */
const char *httpd_method (const evhtp_request_t *http);

/** Writes the responses in progress as far as the sockets accept them, without
    waiting for the event loop. */
void httpd_flush (struct httpd *httpd);

/** Sets the owner's data for a request.  After it is set to NULL, neither
    `gone` nor `drained` is called for the request. */
void httpd_set_request_user (evhtp_request_t *http, void *request_user);

/** Asks for the memory and the connection that a complete request takes while
    it runs.  If they are refused, the connection closes after the response.
    @return REFUSAL_NONE, REFUSAL_MEMORY, REFUSAL_CUSTOMER_MEMORY or
    REFUSAL_CUSTOMER_LIMIT. */
enum refusal httpd_hold (evhtp_request_t *http, uint64_t customer_id);

/** Pauses a request's connection until httpd_resume. */
void httpd_pause (evhtp_request_t *http);
/** Resumes the connection after the complete response has been written. */
void httpd_resume (evhtp_request_t *http);

/** httpd_cork holds back what is added to the response; httpd_uncork then
    writes as much as the socket accepts at once, without waiting for the
    event loop. */
void httpd_cork (evhtp_request_t *http);
void httpd_uncork (evhtp_request_t *http);
/** Lets the event loop write the output again.  Call before the end of a
    response that was corked. */
void httpd_enable_write (evhtp_request_t *http);

/** Closes the connection after what there is of the response, so that the
    client sees an incomplete one. */
void httpd_abort (evhtp_request_t *http);

/** Bytes of the response that have not been written to the socket yet. */
size_t httpd_pending_bytes (const evhtp_request_t *http);

/** Whether the client has closed the connection, though the event loop may not
    have handled that yet.  A system call. */
bool httpd_client_left (const evhtp_request_t *http);

/** Number of connections turned away unread. */
uint64_t httpd_shed_count (const struct httpd *httpd);
/** Number of connections closed for a reason. */
uint64_t httpd_close_count (const struct httpd *httpd,
                            enum httpd_close reason);
/** Number of open connections. */
uint32_t httpd_connections (const struct httpd *httpd);
/** Number of connections with a request that has no response yet, also an
    unread one, or with a response that its client may still be reading; all
    that wait to be accepted count as one.  A system call for each idle
    connection. */
uint32_t httpd_active_connections (const struct httpd *httpd);

#endif
