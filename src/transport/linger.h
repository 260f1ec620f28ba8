/**
 * @file linger.h
 * Closes connections so that their peers can still read the last response:
 * writes the pending output, shuts down the sending side and discards input
 * for a while.  Closing a socket with unread input would reset the connection
 * and lose the response.
 */
#ifndef TRANSPORT_LINGER_H
#define TRANSPORT_LINGER_H

#include <event2/bufferevent.h>
#include <stdint.h>

#define LINGER_MS     1000 /**< timeout of each read and write */
#define LINGER_MAX_MS 5000 /**< for a client that goes on sending */

/** Bytes that a client may go on sending; further ones reset the
    connection. */
#define LINGER_BYTES 16777216

/** Connections that are being closed.  Zero-initialise. */
struct linger_list
{
  struct linger_conn *conns; /**< private */
  uint32_t count;
};

/** Takes ownership of `bev`, whose output buffer holds the last bytes to
    send. */
void linger_close (struct linger_list *list, struct bufferevent *bev);

/** Writes what the sockets accept, and closes all connections. */
void linger_finish (struct linger_list *list);

#endif
