/**
 * @file upstreamserver.h
 * An upstream that speaks the platform's protocol, and a client, both on the
 * event loop of the test.  They read and write raw bytes instead of using an
 * HTTP library, so that either can violate the protocol.
 */
#ifndef TESTS_SUPPORT_UPSTREAMSERVER_H
#define TESTS_SUPPORT_UPSTREAMSERVER_H

#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define UPSTREAMSERVER_MESSAGE_SIZE 8192 /**< longest message kept */

/** How an upstream answers a request. */
enum upstreamserver_behaviour
{
  UPSTREAMSERVER_RESPOND,     /**< 200 with the body of the request */
  UPSTREAMSERVER_REJECT,      /**< 503, not executed */
  UPSTREAMSERVER_MISDIRECTED, /**< 421, another instance has the address */
  UPSTREAMSERVER_FAIL,        /**< 500 with a signature */
  UPSTREAMSERVER_RESET, /**< reads the request, then resets the connection */
  UPSTREAMSERVER_HANG,  /**< reads the request and never answers */
  UPSTREAMSERVER_WRONG_ATTEMPT,  /**< response with another attempt's ID */
  UPSTREAMSERVER_UNSIGNED,       /**< 200 without a signature */
  UPSTREAMSERVER_EXTRA_RESPONSE, /**< a second, unrelated response */
  UPSTREAMSERVER_STREAM, /**< events after Last-Event-Id up to 4, chunked */
  /** Events after Last-Event-Id up to `timed_events`, one every
      `event_interval_ms`, each with the signature; a reset after the event
      `reset_event`. */
  UPSTREAMSERVER_STREAM_TIMED,
  /** Events up to 2, half of event 3, then a reset. */
  UPSTREAMSERVER_STREAM_RESET,
  /** The head of a 200 without a length, half of the body of the request, then
      a reset. */
  UPSTREAMSERVER_UNFRAMED_RESET,
  /** As UPSTREAMSERVER_STREAM_RESET, without chunks. */
  UPSTREAMSERVER_STREAM_UNFRAMED_RESET,
  /** Events up to 4, delimited by closing the connection. */
  UPSTREAMSERVER_STREAM_CLOSE_DELIMITED,
  /** Bytes until the gateway closes the connection: a response head, a body
      without a length, one event. */
  UPSTREAMSERVER_ENDLESS_HEAD,
  UPSTREAMSERVER_ENDLESS_BODY,
  UPSTREAMSERVER_ENDLESS_EVENT,
  /** `script`, then `endless_part` again and again. */
  UPSTREAMSERVER_ENDLESS_SCRIPT,
  /** The whole upstream ends: before the response, within its head, within the
      first event. */
  UPSTREAMSERVER_CRASH,
  UPSTREAMSERVER_CRASH_IN_HEAD,
  UPSTREAMSERVER_CRASH_IN_EVENT,
  UPSTREAMSERVER_SCRIPT, /**< `script`, then `script_end` */
  UPSTREAMSERVER_BEHAVIOUR_MAX
};

/** What an upstream does with the connection after a script. */
enum upstreamserver_end
{
  UPSTREAMSERVER_END_OPEN,
  UPSTREAMSERVER_END_CLOSE,
  UPSTREAMSERVER_END_RESET
};

struct upstreamserver
{
  struct event_base *base;
  struct evconnlistener *listener;
  uint16_t port;
  enum upstreamserver_behaviour behaviour;
  const char *signature;
  char identity[32];
  bool checks_identity; /**< misdirects requests that expect another one */
  const char *extra_headers; /**< in all responses, with CRLF; or NULL */
  /** An earlier response, written once more on each connection before its
      responses but the first; NULL: none. */
  const char *repeated_response;
  unsigned int repetitions; /**< times that it was written */
  const char *script;       /**< raw bytes; NULL: none */
  size_t script_size;       /**< bytes */
  size_t script_pause;      /**< bytes before a short pause; 0: none */
  enum upstreamserver_end script_end;
  unsigned int requests;           /**< requests received completely */
  unsigned int closed_connections; /**< connections closed by the gateway */
  const char *endless_part;        /**< NULL: bytes of a long line */
  bool endless_single;             /**< writes one part at a time, not many */
  uint64_t endless_bytes;          /**< sent of responses without end */
  char last_request[UPSTREAMSERVER_MESSAGE_SIZE];
  unsigned int timed_events;
  uint32_t event_interval_ms;
  unsigned int reset_event;   /**< 0: none */
  uint32_t response_delay_ms; /**< time from a request to its response */
  /** Called with each HTTP message before it is answered; may set `behaviour`
     and `response_delay_ms` for it.  May be NULL. */
  void (*on_request) (struct upstreamserver *server, const char *message);
  /** Called when the upstream has crashed; may be NULL. */
  void (*on_crash) (struct upstreamserver *server);
  void *user;                        /**< for on_request and on_crash */
  struct upstreamserver_conn *conns; /**< private */
};

void upstreamserver_init (struct upstreamserver *server,
                          struct event_base *base, const char *signature);
void upstreamserver_finish (struct upstreamserver *server);

/** Ends the upstream: closes its connections, and refuses new ones. */
void upstreamserver_crash (struct upstreamserver *server);
/** Accepts connections again, at the same port. */
void upstreamserver_revive (struct upstreamserver *server);

/** Copies the value of a header to `out`; "" when the header is missing.
    @param message  HTTP message, from its first line. */
void upstreamserver_get_header (const char *message, const char *name,
                                char *out, size_t size);

/** A client with one connection. */
struct platclient
{
  struct bufferevent *bev;
  char got[UPSTREAMSERVER_MESSAGE_SIZE]; /**< bytes received */
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
