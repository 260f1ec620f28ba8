/**
 * @file directory.h
 * Takes configuration and upstreams from the feeds into the tables in force.
 */
#ifndef GATEWAY_DIRECTORY_H
#define GATEWAY_DIRECTORY_H

#include "gateway/gateway.h"

/** Starts both feeds. @return 0 or ERR_NO_MEMORY. */
int directory_start (struct gateway *gateway);
void directory_finish (struct gateway *gateway);

/** True when a key or route that is not found may be new: what is known of
    the configuration is old. */
bool directory_unsure (const struct gateway *gateway);

#endif
