/**
 * @file gateway_config.h
 * Reads versions of the configuration, large ones in parts between which the
 * event loop serves clients, and puts them in force.
 */
#ifndef GATEWAY_GATEWAY_CONFIG_H
#define GATEWAY_GATEWAY_CONFIG_H

#include "gateway/gateway.h"
#include "protocol/kvstore.h"

/** Bytes of a configuration that are read at once. */
#define GATEWAY_CONFIG_PART_BYTES 16384

/** @return 0 or ERR_NO_MEMORY. */
int gateway_config_start (struct gateway *gateway);
void gateway_config_finish (struct gateway *gateway);

/** Reads a version as it comes from the store or from a hub.  It takes effect
    within the call if it is small.  While another one is being read it waits;
    of those that wait, the newest that can be used takes effect. */
void gateway_config_read (struct gateway *gateway,
                          const struct kvstore_item *item);
/** Whether a version has come that is not in force yet. */
bool gateway_config_pending (const struct gateway *gateway);

#endif
