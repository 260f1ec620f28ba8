/**
 * @file linger.h
 * Closes connections so that their peers can read the last response: writes,
 * shuts down sending, and reads on for a while, since closing with unread
 * input would reset the connection and lose the response.
 */
#ifndef TRANSPORT_LINGER_H
#define TRANSPORT_LINGER_H

#include <event2/bufferevent.h>

#define LINGER_MS 1000 /**< longest time to read on */

/** Connections being closed.  Zero-initialise. */
struct linger_list
{
  struct linger_conn *conns; /**< private */
};

/** Takes over `bev`, whose output holds the last bytes to send. */
void linger_close (struct linger_list *list, struct bufferevent *bev);

/** Closes all of them at once. */
void linger_finish (struct linger_list *list);

#endif
