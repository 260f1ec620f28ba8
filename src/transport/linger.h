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

/** Connections that are being closed.  Zero-initialise. */
struct linger_list
{
  struct linger_conn *conns; /**< private */
};

/** Takes ownership of `bev`, whose output buffer holds the last bytes to
    send. */
void linger_close (struct linger_list *list, struct bufferevent *bev);

/** Number of connections that are being closed. */
uint32_t linger_count (const struct linger_list *list);

/** Writes what the sockets accept, and closes all connections. */
void linger_finish (struct linger_list *list);

#endif
