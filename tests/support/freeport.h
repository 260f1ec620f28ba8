/**
 * @file freeport.h
 * Free TCP ports below the range of ephemeral ports: the kernel assigns them
 * to no other socket before a process listens on them.
 */
#ifndef TESTS_SUPPORT_FREEPORT_H
#define TESTS_SUPPORT_FREEPORT_H

#include <stdint.h>

#define FREEPORT_FIRST 20000
#define FREEPORT_COUNT 12000

/** @return a port of 127.0.0.1 on which no socket is bound, another one in
    each of FREEPORT_COUNT calls; 0 if there is none. */
uint16_t freeport_next (void);

#endif
