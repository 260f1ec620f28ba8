/**
 * @file httpd.h
 * The HTTP server for clients, over libevhtp: limits on connections, header
 * and body bytes and on idle and read time.  Each limit gives its own
 * response, made by the owner, before the connection is closed.
 */
#ifndef TRANSPORT_HTTPD_H
#define TRANSPORT_HTTPD_H

#include "state/refusal.h"
#include <event2/buffer.h>
#include <event2/event.h>
#include <evhtp/evhtp.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define HTTPD_READ_MAX 65536 /**< bytes read ahead of the parser */

struct httpd_limits
{
  uint32_t header_bytes_max;
  uint32_t body_bytes_max;
  uint32_t connections_max;
  uint32_t idle_timeout_ms;  /**< connection with no request */
  uint32_t read_timeout_ms;  /**< for one whole request to arrive */
  uint32_t write_timeout_ms; /**< client that reads nothing */
  uint32_t low_water_bytes;  /**< `drained` is called below this */
};

struct httpd_config
{
  struct event_base *base;
  const char *address; /**< host:port; port 0 lets the system choose */
  /** Header that names a request, for `refuse`; NULL: the product's own. */
  const char *request_id_header;
  bool idle_silent; /**< an idle connection is closed without a word */
  struct httpd_limits limits;
  /** A whole request arrived.  The owner answers it now or later, by evhtp's
      reply functions or httpd_abort. */
  void (*request) (void *user, evhtp_request_t *http);
  /** The client closed its connection, or it broke, before the response was
      whole; the request must not be used any more. */
  void (*gone) (void *user, void *request_user);
  /** Output of a streamed response fell below the low water mark. */
  void (*drained) (void *user, void *request_user);
  /** Writes the whole HTTP response to a request that broke a limit. */
  void (*refuse) (void *user, enum refusal refusal, const char *request_id,
                  struct evbuffer *out);
  void *user;
};

struct httpd;

/** @return 0, ERR_INVALID for an address, ERR_IO when it cannot listen,
    ERR_NO_MEMORY. */
int httpd_new (struct httpd **httpd, const struct httpd_config *config);
/** Closes all connections; `gone` is called for requests in progress. */
void httpd_free (struct httpd *httpd);

/** Port it listens on. */
uint16_t httpd_port (const struct httpd *httpd);

/** Changes limits; connections idle or reading keep the time they had. */
void httpd_set_limits (struct httpd *httpd, const struct httpd_limits *limits);

/** From now on each response is the last of its connection. */
void httpd_wind_down (struct httpd *httpd);

/** Closes idle connections now, and others after their response.  New ones
    are still accepted, so that their requests are refused by word. */
void httpd_drain (struct httpd *httpd);

/** Ties a request to its owner's data; NULL unties it, and neither `gone`
    nor `drained` is called after that. */
void httpd_bind (evhtp_request_t *http, void *request_user);

/** Holds a request's connection until httpd_release. */
void httpd_hold (evhtp_request_t *http);
/** The response has been written whole; the connection may go on. */
void httpd_release (evhtp_request_t *http);

/** Between these, what is added to the response waits; then it is written at
    once as far as the socket takes it, without a turn of the loop. */
void httpd_cork (evhtp_request_t *http);
void httpd_uncork (evhtp_request_t *http);
/** Call before the end of a response that was corked. */
void httpd_uncork_last (evhtp_request_t *http);

/** Resets the connection, so that the client sees an incomplete response. */
void httpd_abort (evhtp_request_t *http);

/** Bytes of response that the client has not taken yet. */
size_t httpd_pending_bytes (const evhtp_request_t *http);

/** Connections open now. */
uint32_t httpd_connections (const struct httpd *httpd);
/** Connections that are receiving a request or sending a response. */
uint32_t httpd_active (const struct httpd *httpd);

#endif
