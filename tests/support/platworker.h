/**
 * @file platworker.h
 * Stand-in for an upstream on the platform's wire, and a client, both on the
 * test's own loop and by bare bytes, so that each may misbehave at will.
 */
#ifndef TESTS_SUPPORT_PLATWORKER_H
#define TESTS_SUPPORT_PLATWORKER_H

#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define PLATWORKER_TEXT_SIZE 8192 /**< bytes kept of what was said */

/** What a worker does with a request. */
enum platworker_act
{
  PLATWORKER_ANSWER,  /**< 200 with the request's body */
  PLATWORKER_FULL,    /**< 503, not run */
  PLATWORKER_OTHER,   /**< 421, another has the address */
  PLATWORKER_FAIL,    /**< 500, signed */
  PLATWORKER_RESET,   /**< takes the request and resets */
  PLATWORKER_HANG,    /**< takes the request and is silent */
  PLATWORKER_FOREIGN, /**< answers another request */
  PLATWORKER_UNSIGNED,
  PLATWORKER_EXTRA,    /**< a second answer behind the first */
  PLATWORKER_STREAM,   /**< four events in chunks, from after the last seen */
  PLATWORKER_CUT,      /**< two events and a half, then a reset */
  PLATWORKER_UNFRAMED, /**< four events, ended by closing */
  PLATWORKER_ACT_MAX
};

struct platworker
{
  struct event_base *base;
  struct evconnlistener *listener;
  uint16_t port;
  enum platworker_act act;
  const char *signature;
  unsigned int requests;           /**< that arrived whole */
  unsigned int closed;             /**< connections that the gateway closed */
  char seen[PLATWORKER_TEXT_SIZE]; /**< the last request */
  uint32_t work_ms;                /**< from a request to its answer */
  /** Told of each request before it is acted on; may set `act' and `work_ms'
      for it; NULL for none. */
  void (*on_request) (struct platworker *worker, const char *text);
  void *user;                    /**< of on_request */
  struct platworker_conn *conns; /**< private */
};

void platworker_init (struct platworker *worker, struct event_base *base,
                      const char *signature);
void platworker_finish (struct platworker *worker);

/** A header's value; "" when it has none.
    @param text of a message, from its first line. */
void platworker_header (const char *text, const char *name, char *out,
                        size_t size);

/** A client with one connection. */
struct platclient
{
  struct bufferevent *bev;
  char got[PLATWORKER_TEXT_SIZE]; /**< bytes received */
  size_t size;
  bool closed;
  bool reset;
};

void platclient_init (struct platclient *client, struct event_base *base,
                      uint16_t port);
void platclient_send (struct platclient *client, const char *text);
/** True when a whole response stands in `got`. */
bool platclient_answered (const struct platclient *client);
/** Forgets what was received. */
void platclient_reset (struct platclient *client);
void platclient_finish (struct platclient *client);

#endif
