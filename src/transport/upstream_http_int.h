/**
 * @file upstream_http_int.h
 * Internal structures of the HTTP driver: connections and response parsing.
 */
#ifndef TRANSPORT_UPSTREAM_HTTP_INT_H
#define TRANSPORT_UPSTREAM_HTTP_INT_H

#include "transport/httpd_body.h"
#include "transport/response_head.h"
#include "transport/upstream_http.h"
#include <event2/bufferevent.h>
#include <evhtp/parser.h>
#include <uthash.h>

#define RESPONSE_HEADERS_MAX      64    /**< headers of a response */
#define RESPONSE_HEADER_BYTES_MAX 16384 /**< bytes of all names and values */

/** One header, as offsets into the arena, which may be reallocated. */
struct response_slice
{
  uint32_t name;
  uint32_t value;
};

/** The part of a response that has been read. */
struct response
{
  struct response_head head;
  struct httpd_body body; /**< if it is chunked */
  char *arena;
  uint32_t arena_used;
  uint32_t arena_size;
  struct response_slice slices[RESPONSE_HEADERS_MAX];
  uint32_t count;
  uint64_t length;   /**< Content-Length */
  uint64_t received; /**< body bytes so far */
  bool has_length;
  bool chunked;
  bool body_absent;       /**< because of the status or the request's method */
  bool close_delimited;   /**< the body ends when the connection closes */
  bool past_interim;      /**< all 1xx responses have been skipped */
  uint32_t interim_bytes; /**< skipped of one that is not complete */
  bool head_delivered;    /**< `responding` has been called */
  bool foreign;           /**< has another request's ID; it is dropped */
  bool complete;
  int error; /**< a value of enum err; 0 if none */
};

struct upstream_http_conn;

/** Idle connections of one upstream, the most recently used first. */
struct upstream_http_pool
{
  uint64_t upstream_id;
  struct upstream_http_conn *idle;
  uint32_t open_count; /**< connections, idle or not */
  bool removed;        /**< the upstream was removed; the pool is freed
                          with its last connection */
  UT_hash_handle hh;
};

struct upstream_http
{
  struct upstream_http_config config;
  struct upstream_http_pool *pools;
  uint32_t connections;
};

struct upstream_attempt
{
  struct upstream_http_conn *conn;
  const struct upstream_events *events;
  void *user;
  char *request_id;
  uint64_t resume_after;
  bool is_head; /**< the method is HEAD */
  bool sending;
  bool sent;
  bool paused;
  bool draining_reported;
  uint32_t foreign_count; /**< responses dropped, see response.foreign */
  size_t foreign_bytes;   /**< of their headers and bodies */
  struct response response;
};

struct upstream_http_conn
{
  struct upstream_http *http;
  struct upstream_http_pool *pool;
  struct bufferevent *bev;
  struct evbuffer_cb_entry *output_cb;
  htparser *parser;
  struct evbuffer *scratch; /**< body bytes not yet passed to the callback */
  struct upstream_attempt *attempt; /**< NULL while idle */
  uint64_t idle_since_ns;           /**< time when it became idle */
  uint64_t idle_max_ns;             /**< closed when idle for this long */
  bool connected;
  bool reused;       /**< an earlier request was sent on it */
  bool write_failed; /**< a read no longer tells a reset from an orderly end */
  bool parsing;      /**< inside the parser; must not be freed */
  bool free_pending; /**< free when the parser has returned */
  bool reusable;     /**< the response allows reuse of the connection */
  struct upstream_http_conn *prev;
  struct upstream_http_conn *next;
};

/** Prepares the parser for the response of a new attempt. */
void upstream_http_response_reset (struct upstream_http_conn *conn);
void upstream_http_response_finish (struct response *response);

/** Parses `size` bytes and calls `responding`, `body` and `draining`.  Sets
    response.complete at the end of the response and response.error on an
    error.  On a reused connection, responses with another request's ID are
    dropped.
    @param data  may be changed.
    @return the number of bytes consumed. */
size_t upstream_http_response_parse (struct upstream_http_conn *conn,
                                     char *data, size_t size);

#endif
