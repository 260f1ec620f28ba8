/**
 * @file gateway_settings.h
 * Settings of a gateway, read at startup and on reload.
 */
#ifndef GATEWAY_GATEWAY_SETTINGS_H
#define GATEWAY_GATEWAY_SETTINGS_H

#include <stdbool.h>
#include <stdint.h>

#define GATEWAY_NAME_SIZE    128 /**< name, in bytes with the NUL */
#define GATEWAY_ADDRESS_SIZE 64  /**< "IP:PORT", in bytes with the NUL */

struct gateway_settings
{
  char instance[GATEWAY_NAME_SIZE];
  char availability_zone[GATEWAY_NAME_SIZE];
  char client_address[GATEWAY_ADDRESS_SIZE];
  char probe_address[GATEWAY_ADDRESS_SIZE]; /**< readiness and metrics */
  char peer_address[GATEWAY_ADDRESS_SIZE];  /**< links from other gateways */
  char store_address[GATEWAY_ADDRESS_SIZE];
  bool bootstrap;             /**< first start of the whole fleet */
  uint32_t connections_max;   /**< limit of open sockets of all kinds */
  uint32_t cpu_permille;      /**< CPU limit, in thousandths of a core */
  uint32_t memory_mb;         /**< memory limit of the process */
  uint32_t grace_ms;          /**< from the stop signal to process exit */
  uint32_t upstream_leave_ms; /**< how long a draining upstream still serves */
  uint32_t contact_ms;        /**< after an impairment of the store or of this
                                 instance, until it is up to date again */
  uint32_t config_apply_ms;   /**< from a configuration's acknowledgement until
                                 it is in force everywhere */
  uint32_t lease_min_ms;      /**< shortest lease that the store grants */
  uint32_t retry_permille;    /**< retry budget, in thousandths of a service's
                                 requests, over the fleet */
  uint32_t retry_allowance;   /**< retries of a service allowed in addition to
                                 retry_permille, over the fleet */
  uint32_t retry_window_ms;   /**< window of the retry budget */
  uint32_t share_window_ms;   /**< window of customers' usage shares */
  uint32_t reread_window_ms; /**< how long a cached prompt part stays useful */
};

#endif
