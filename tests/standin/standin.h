/**
 * @file standin.h
 * Roles of the stand-in program.
 */
#ifndef TESTS_STANDIN_STANDIN_H
#define TESTS_STANDIN_STANDIN_H

#include "standin/server.h"
#include <stdbool.h>
#include <stdint.h>

/** Arguments of all roles; each uses its own. */
struct standin_options
{
  const char *listen;  /**< HOST:PORT[,HOST:PORT...] */
  const char *control; /**< HOST:PORT of the control endpoint */
  const char *target;  /**< relay: HOST:PORT it connects to */
  uint32_t workers;    /**< listeners when one address is given */
  uint32_t slots;      /**< of each listener */
  uint32_t token_ms;   /**< engine: time between ticks of a worker */
  uint32_t tokens;     /**< engine: tokens that a request gets in a tick */
  uint32_t load_lag_ms;
  uint32_t input_cost;
  uint32_t output_cost;
  bool instant; /**< engine: the first tokens come before the first tick */
  uint32_t service_ms; /**< plain: time that a request takes */
};

#define STANDIN_DONE 1 /**< returned by a role that needs no loop */

/** Each runs its role on `server` until the loop is told to stop.
    @return 0, STANDIN_DONE or -1. */
int engine_init (struct server *server, const struct standin_options *options);
void engine_finish (struct server *server);
int plain_init (struct server *server, const struct standin_options *options);
void plain_finish (struct server *server);
int store_init (struct server *server, const struct standin_options *options);
void store_finish (struct server *server);
int relay_init (struct server *server, const struct standin_options *options);
void relay_finish (struct server *server);
int platform_init (struct server *server,
                   const struct standin_options *options);
void platform_finish (struct server *server);
int ports_init (struct server *server, const struct standin_options *options);

#endif
