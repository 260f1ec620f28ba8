/**
 * @file platscene.h
 * Initial contents of the store server: announced upstreams and a
 * configuration.
 */
#ifndef TESTS_SUPPORT_PLATSCENE_H
#define TESTS_SUPPORT_PLATSCENE_H

#include "support/storeserver.h"
#include <stdint.h>

/** Announces an upstream of service s2 at a port of 127.0.0.1.  Upstream 0 is
    in availability zone "za", upstream 1 in "zb", and so on. */
void platscene_announce (struct storeserver *store, unsigned int upstream,
                         uint16_t port, const char *state);
/** Writes a configuration with one route of each kind on shop.example.
    @param keys  API keys of its only customer, as JSON strings.
    @param service  service of all routes. */
void platscene_configure (struct storeserver *store, unsigned int version,
                          const char *keys, const char *service);

#endif
