/**
 * @file platworker.h
 * An upstream that speaks the platform's protocol, and a client, both on the
 * event loop of the test.  They read and write raw bytes instead of using an
 * HTTP library, so that either can violate the protocol.
 */
#ifndef TESTS_SUPPORT_PLATWORKER_H
#define TESTS_SUPPORT_PLATWORKER_H

#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define PLATWORKER_TEXT_SIZE 8192 /**< longest message kept */

/** How an upstream answers a request. */
enum platworker_act
{
  PLATWORKER_ANSWER,   /**< 200 with the body of the request */
  PLATWORKER_FULL,     /**< 503, not executed */
  PLATWORKER_OTHER,    /**< 421, another instance has the address */
  PLATWORKER_FAIL,     /**< 500 with a signature */
  PLATWORKER_RESET,    /**< reads the request, then resets the connection */
  PLATWORKER_HANG,     /**< reads the request and never answers */
  PLATWORKER_FOREIGN,  /**< the response has the ID of another attempt */
  PLATWORKER_UNSIGNED, /**< 200 without a signature */
  PLATWORKER_EXTRA,    /**< a second, unrelated response after the first */
  PLATWORKER_STREAM,   /**< events after Last-Event-Id up to 4, chunked */
  PLATWORKER_CUT,      /**< events up to 2, half of event 3, then a reset */
  PLATWORKER_UNFRAMED, /**< events up to 4, delimited by closing */
  PLATWORKER_ACT_MAX
};

struct platworker
{
  struct event_base *base;
  struct evconnlistener *listener;
  uint16_t port;
  enum platworker_act act;
  const char *signature;
  unsigned int requests;           /**< requests received completely */
  unsigned int closed;             /**< connections closed by the gateway */
  char seen[PLATWORKER_TEXT_SIZE]; /**< the last request */
  uint32_t work_ms;                /**< time from a request to its response */
  /** Called for each request before it is answered; may set `act' and
      `work_ms' for it.  May be NULL. */
  void (*on_request) (struct platworker *worker, const char *text);
  void *user;                    /**< for on_request */
  struct platworker_conn *conns; /**< private */
};

void platworker_init (struct platworker *worker, struct event_base *base,
                      const char *signature);
void platworker_finish (struct platworker *worker);

/** Copies the value of a header to `out`; "" when the header is missing.
    @param text  message, from its first line. */
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
/** Whether `got` holds a complete response. */
bool platclient_answered (const struct platclient *client);
/** Discards the received bytes. */
void platclient_reset (struct platclient *client);
void platclient_finish (struct platclient *client);

#endif
