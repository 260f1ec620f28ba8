/**
 * @file address.h
 * Parser for addresses of the form HOST:PORT.
 */
#ifndef TESTS_STANDIN_ADDRESS_H
#define TESTS_STANDIN_ADDRESS_H

#include <stdint.h>

#define ADDRESS_HOST_SIZE 64 /**< bytes, with the NUL */

/** Splits HOST:PORT. @return 0 or -1. */
int address_parse (const char *address, char host[ADDRESS_HOST_SIZE],
                   uint16_t *port);

#endif
