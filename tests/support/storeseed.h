/**
 * @file storeseed.h
 * Initial contents of the store server: registered upstreams and a
 * configuration.
 */
#ifndef TESTS_SUPPORT_STORESEED_H
#define TESTS_SUPPORT_STORESEED_H

#include "support/storeserver.h"
#include <stdint.h>

/** Registers an upstream of service s2 at a port of 127.0.0.1.  Upstream 0 is
    in availability zone "za", upstream 1 in "zb", and so on. */
void storeseed_register (struct storeserver *store, unsigned int upstream,
                         uint16_t port, const char *state);
/** Writes a configuration with one route of each kind on shop.example.
    @param keys  API keys of its only customer, as JSON strings.
    @param service  service of all routes. */
void storeseed_configure (struct storeserver *store, unsigned int version,
                          const char *keys, const char *service);

#endif
