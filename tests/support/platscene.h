/**
 * @file platscene.h
 * What stands in the stand-in store: announcements and a configuration.
 */
#ifndef TESTS_SUPPORT_PLATSCENE_H
#define TESTS_SUPPORT_PLATSCENE_H

#include "support/platstore.h"
#include <stdint.h>

/** Announces a worker of service s2 at a port of this machine, in the zone
    "za" for worker 0, "zb" for the next, and so on. */
void platscene_announce (struct platstore *store, unsigned int worker,
                         uint16_t port, const char *state);
/** Writes a configuration with one route of each kind on shop.example.
    @param keys of its one customer, as JSON; @param service of all routes. */
void platscene_configure (struct platstore *store, unsigned int version,
                          const char *keys, const char *service);

#endif
