/**
 * @file probe.h
 * HTTP server for readiness probes of the load balancer and for metrics.
 */
#ifndef GATEWAY_PROBE_H
#define GATEWAY_PROBE_H

#include "gateway/gateway.h"

/** Listens on the probe address. @return 0, ERR_INVALID, ERR_IO or
    ERR_NO_MEMORY. */
int probe_start (struct gateway *gateway);
void probe_finish (struct gateway *gateway);
/** Bound port. */
uint16_t probe_port (const struct gateway *gateway);

#endif
