/**
 * @file gateway_settings.h
 * What a gateway is told at its start.
 */
#ifndef GATEWAY_GATEWAY_SETTINGS_H
#define GATEWAY_GATEWAY_SETTINGS_H

#include <stdbool.h>
#include <stdint.h>

#define GATEWAY_NAME_SIZE    128 /**< bytes of a name with its NUL */
#define GATEWAY_ADDRESS_SIZE 64  /**< bytes of "IP:PORT" with its NUL */

struct gateway_settings
{
  char instance[GATEWAY_NAME_SIZE];
  char availability_zone[GATEWAY_NAME_SIZE];
  char client_address[GATEWAY_ADDRESS_SIZE];
  char probe_address[GATEWAY_ADDRESS_SIZE]; /**< readiness and metrics */
  char peer_address[GATEWAY_ADDRESS_SIZE];  /**< of other gateways' links */
  char store_address[GATEWAY_ADDRESS_SIZE];
  bool bootstrap;             /**< the whole fleet starts for the first time */
  uint32_t connections_max;   /**< sockets of all kinds */
  uint32_t cpu_permille;      /**< of a core, that the process may use */
  uint32_t memory_mb;         /**< of the process */
  uint32_t grace_ms;          /**< from the signal to stop to the end */
  uint32_t upstream_leave_ms; /**< a leaving upstream still serves so long */
  uint32_t lease_min_ms;      /**< shortest lease of the store */
  uint32_t retry_permille;    /**< of a service's requests, over the fleet */
  uint32_t retry_allowance;   /**< retries beside, over the fleet */
  uint32_t retry_window_ms;   /**< that both are counted in */
  uint32_t share_window_ms;   /**< that customers' shares are counted in */
  uint32_t reread_window_ms;  /**< a part is worth keeping for that long */
};

#endif
