/**
 * @file turnaway.h
 * Refuses connections that wait to be accepted.  Each gets a prepared response
 * and its input is discarded, which costs a fraction of a request.
 * Closing a socket before its client has read the response, or with unread
 * input, may reset the connection and lose the response, so it stays open
 * until the request has arrived whole, or its client has left or has had time
 * to.
 */
#ifndef TRANSPORT_TURNAWAY_H
#define TRANSPORT_TURNAWAY_H

#include "transport/clock.h"
#include <event2/buffer.h>
#include <event2/util.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define TURNAWAY_SOCKETS_MAX 512 /**< open at a time */
#define TURNAWAY_INTERVAL_MS 5   /**< between passes */
/** Between looks at a client: some round trips, so that most have left, and
    one that is still sending a long request is not held up for long. */
#define TURNAWAY_LOOK_MS 20
/** Time for a client to leave, from its response and from each part of its
    request on. */
#define TURNAWAY_LINGER_MS 1000
/** The same while other connections wait for room, if the client may have sent
    its whole request: one that has not would lose its response. */
#define TURNAWAY_READING_MS 100
/** The same for a client that goes on sending, from its response on. */
#define TURNAWAY_SENDING_MS 5000
/** Bounds of a pass, which takes as long as the event loop's other work since
    the last one. */
#define TURNAWAY_PASS_MIN_MS 5
#define TURNAWAY_PASS_MAX_MS 20

struct turnaway_socket
{
  evutil_socket_t fd;
  bool sent;         /**< its client has sent something */
  uint64_t missing;  /**< bytes of its request, or REQUEST_END_UNKNOWN */
  uint64_t look_ns;  /**< when its client is looked at next */
  uint64_t quiet_ns; /**< when its client last sent, or got its response */
  uint64_t end_ns;   /**< closed then in any case */
};

struct turnaway
{
  const struct clock *clock;
  struct turnaway_socket
      sockets[TURNAWAY_SOCKETS_MAX]; /**< ring, by look_ns */
  size_t first;
  size_t count;
  size_t sockets_max;   /**< open at a time, TURNAWAY_SOCKETS_MAX at most */
  uint64_t pass_end_ns; /**< until when the pass may go on */
  uint64_t rest_ns;     /**< when the last pass ended */
  uint64_t left;        /**< closed; their clients had left or sent all */
  uint64_t expired;     /**< closed; their clients had not left in time */
};

void turnaway_init (struct turnaway *turnaway, const struct clock *clock);
/** Closes all sockets. */
void turnaway_finish (struct turnaway *turnaway);

/** Begins a pass: discards the input of sockets that are due for a look, and
    closes those whose clients have left or have had all their time.  To be
    called every TURNAWAY_INTERVAL_MS while sockets are open. */
void turnaway_close (struct turnaway *turnaway);
/** Ends a pass: accepts and answers connections that wait at a listening
    socket, while there is time, and room: of TURNAWAY_SOCKETS_MAX sockets,
    those are closed whose clients have left or have had their time.
    @param response  not changed.
    @param none_waits  set to whether none was left to accept.
    @return their number. */
size_t turnaway_waiting (struct turnaway *turnaway, evutil_socket_t listener,
                         struct evbuffer *response, bool *none_waits);

#endif
