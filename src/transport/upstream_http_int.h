/**
 * @file upstream_http_int.h
 * Private parts of the HTTP driver: connections, and the parsing of responses.
 */
#ifndef TRANSPORT_UPSTREAM_HTTP_INT_H
#define TRANSPORT_UPSTREAM_HTTP_INT_H

#include "transport/upstream_http.h"
#include <event2/bufferevent.h>
#include <evhtp/parser.h>
#include <uthash.h>

#define RESPONSE_HEADERS_MAX      64    /**< headers of a response */
#define RESPONSE_HEADER_BYTES_MAX 16384 /**< bytes of all names and values */

/** One header, as offsets into the arena, which may move as it grows. */
struct response_slice
{
  uint32_t name;
  uint32_t value;
};

/** What has been read of a response. */
struct response
{
  char *arena;
  uint32_t arena_used;
  uint32_t arena_size;
  struct response_slice slices[RESPONSE_HEADERS_MAX];
  uint32_t count;
  uint64_t length;   /**< Content-Length */
  uint64_t received; /**< body bytes so far */
  bool has_length;
  bool chunked;
  bool body_absent; /**< by its status or the request's method */
  bool unframed;    /**< ends with its connection */
  bool begun;       /**< past any 1xx responses */
  bool started;     /**< `responding` has been called */
  bool whole;
  int error; /**< enum err, once broken */
};

struct upstream_http_conn;

/** Idle connections of one upstream, the most recently used first. */
struct upstream_http_pool
{
  uint64_t upstream_id;
  struct upstream_http_conn *idle;
  uint32_t open; /**< connections, idle or not */
  bool gone;     /**< the upstream is; released with its last connection */
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
  bool head; /**< the method is HEAD */
  bool sending;
  bool sent;
  bool paused;
  bool draining_told;
  struct response response;
};

struct upstream_http_conn
{
  struct upstream_http *http;
  struct upstream_http_pool *pool;
  struct bufferevent *bev;
  struct evbuffer_cb_entry *output_cb;
  htparser *parser;
  struct evbuffer *scratch; /**< body bytes on their way to the callback */
  struct upstream_attempt *attempt; /**< NULL while idle */
  uint64_t idle_ns;                 /**< since when it is idle */
  uint64_t idle_max_ns; /**< closed after; half of the upstream's */
  bool connected;
  bool parsing; /**< inside htparser_run; not to be freed */
  bool doomed;  /**< to be freed once the parser has returned */
  bool keep;    /**< the response allows the connection to be used again */
  struct upstream_http_conn *prev;
  struct upstream_http_conn *next;
};

/** Prepares for the response of a new attempt. */
void upstream_http_response_reset (struct upstream_http_conn *conn);
void upstream_http_response_finish (struct response *response);

/** Parses `size` bytes; calls `responding`, `body` and `draining`.  Sets
    response.whole or response.error. @return bytes consumed. */
size_t upstream_http_response_parse (struct upstream_http_conn *conn,
                                     const char *data, size_t size);

#endif
