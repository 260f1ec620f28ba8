/**
 * @file exchange.h
 * An HTTP request to a stand-in and its response, with the faults that are
 * injected into the response.
 */
#ifndef TESTS_STANDIN_EXCHANGE_H
#define TESTS_STANDIN_EXCHANGE_H

#include "standin/fault.h"
#include "standin/record.h"
#include <event2/event.h>
#include <event2/http.h>
#include <stdbool.h>

struct exchange
{
  struct event_base *base;
  struct evhttp_request *request; /**< NULL after the response has ended */
  struct evhttp_connection *connection;
  struct event *close_timer; /**< set once a fault truncates the response */
  struct fault fault;
  uint64_t sent_bytes; /**< of the body */
  bool streaming;
  char request_id[RECORD_NAME_SIZE];
  /** The client disconnected, or a fault closed the connection. */
  void (*on_abort) (void *user);
  void *user;
};

/** Takes over a request.  `on_abort` is called at most once, and not after
    exchange_end or exchange_reply has sent the whole response. */
void exchange_init (struct exchange *exchange, struct event_base *base,
                    struct evhttp_request *request, struct fault fault,
                    void (*on_abort) (void *user), void *user);

const char *exchange_header (const struct exchange *exchange,
                             const char *name);
void exchange_add_header (struct exchange *exchange, const char *name,
                          const char *value);

/** Starts a streamed response. */
void exchange_start (struct exchange *exchange, int status, const char *type);
void exchange_write (struct exchange *exchange, struct evbuffer *data);
void exchange_end (struct exchange *exchange);

/** Sends a complete response with a Content-Length. */
void exchange_reply (struct exchange *exchange, int status, const char *type,
                     struct evbuffer *body);

#endif
