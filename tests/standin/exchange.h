/**
 * @file exchange.h
 * One request at a stand-in and its response, with the faults that distort
 * the response.
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
  struct evhttp_request *request; /**< NULL once it has ended */
  struct evhttp_connection *connection;
  struct event *closing;
  struct fault fault;
  uint64_t sent_bytes; /**< of the body */
  bool streaming;
  char request_id[RECORD_NAME_SIZE];
  /** The client went away, or a fault cut the response. */
  void (*gone) (void *user);
  void *user;
};

/** Adopts a request.  `gone` is called at most once, and never after
    exchange_end, exchange_reply or exchange_drop. */
void exchange_init (struct exchange *exchange, struct event_base *base,
                    struct evhttp_request *request, struct fault fault,
                    void (*gone) (void *user), void *user);

const char *exchange_header (const struct exchange *exchange,
                             const char *name);
void exchange_add_header (struct exchange *exchange, const char *name,
                          const char *value);

/** Starts a streamed response. */
void exchange_start (struct exchange *exchange, int status, const char *type);
void exchange_write (struct exchange *exchange, struct evbuffer *data);
void exchange_end (struct exchange *exchange);

/** Sends a whole response with its length. */
void exchange_reply (struct exchange *exchange, int status, const char *type,
                     struct evbuffer *body);

#endif
