/**
 * @file linger.h
 * Closes a connection so that its peer can read the last response: writes,
 * shuts down sending, and reads on for a while, since closing with unread
 * input would reset the connection and lose the response.
 */
#ifndef TRANSPORT_LINGER_H
#define TRANSPORT_LINGER_H

#include <event2/bufferevent.h>

#define LINGER_MS 1000 /**< longest time to read on */

/** Takes over `bev`, whose output holds the last bytes to send. */
void linger_close (struct bufferevent *bev);

#endif
