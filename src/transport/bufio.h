/**
 * @file bufio.h
 * Writing from bufferevents without waiting for the event loop.
 */
#ifndef TRANSPORT_BUFIO_H
#define TRANSPORT_BUFIO_H

#include <event2/bufferevent.h>

/** Writes as much of the output as the socket accepts at once.  The rest stays
    for the event loop.
    @return 0, or ERR_IO if the socket has failed. */
int bufio_flush (struct bufferevent *bev);

#endif
