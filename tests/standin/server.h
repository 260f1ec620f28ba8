/**
 * @file server.h
 * HTTP listeners of a stand-in process on one event loop, and a control
 * endpoint under /_standin/: GET stats, GET executions?id=ID, POST executions
 * (one id per line; returns one count per line), POST
 * faults?kind=KIND[&listener=N][&count=N][&value=N].  Listeners serve these
 * paths too.
 */
#ifndef TESTS_STANDIN_SERVER_H
#define TESTS_STANDIN_SERVER_H

#include "standin/address.h"
#include "standin/exchange.h"
#include "standin/fault.h"
#include "standin/record.h"
#include <event2/event.h>
#include <event2/http.h>
#include <stdint.h>

struct server;

struct server_listener
{
  struct server *server;
  struct evhttp *http;
  struct evhttp_bound_socket *socket; /**< NULL while FAULT_REFUSE is set */
  char host[ADDRESS_HOST_SIZE];
  uint16_t port;
  uint32_t index;
  struct fault fault;
  void *data; /**< owned by the handler */
};

/** Callbacks of a role. */
struct server_handler
{
  void (*request) (struct server_listener *listener,
                   struct evhttp_request *request);
  /** Called after `listener->fault` was set; may be NULL. */
  void (*fault) (struct server_listener *listener);
  /** Adds fields to the response of GET stats; may be NULL. */
  void (*stats) (struct server *server, json_t *stats);
};

struct server
{
  struct event_base *base;
  struct server_listener *listeners;
  uint32_t listener_count;
  struct evhttp *control; /**< not affected by faults */
  const struct server_handler *handler;
  struct record record;
  void *data; /**< owned by the handler */
};

/**
 * Binds all listeners and the control endpoint, and prints their addresses:
 * "listen HOST:PORT" for each listener, then "control HOST:PORT".
 * @param addresses comma-separated HOST:PORT; port 0 selects a free port.
 * @param workers   number of listeners if `addresses` is a single address.
 * @return 0 or -1.
 */
int server_init (struct server *server, const char *addresses,
                 uint32_t workers, const char *control_address, uint32_t slots,
                 const struct server_handler *handler);
void server_finish (struct server *server);

#endif
