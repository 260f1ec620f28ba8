/**
 * @file standin.h
 * Roles of the stand-in program: options and entry points.
 */
#ifndef TESTS_STANDIN_STANDIN_H
#define TESTS_STANDIN_STANDIN_H

#include "standin/server.h"
#include <stdbool.h>
#include <stdint.h>

/** Options of all roles; each role reads only those it needs. */
struct standin_options
{
  const char *listen;   /**< HOST:PORT[,HOST:PORT...] */
  const char *control;  /**< HOST:PORT of the control endpoint */
  const char *target;   /**< relay: HOST:PORT[,...], one per listener */
  uint32_t workers;     /**< number of listeners if `listen` is one address */
  uint32_t slots;       /**< concurrent requests of a listener */
  uint32_t token_ms;    /**< engine: interval between ticks of a worker */
  uint32_t tokens;      /**< engine: tokens per request and tick */
  uint32_t load_lag_ms; /**< engine: interval of load reports */
  uint32_t input_cost;  /**< engine: cost units of an input token */
  uint32_t output_cost; /**< engine: cost units of an output token */
  bool instant;         /**< engine: first tokens without waiting for a tick */
  uint32_t service_ms;  /**< plain: processing time of a request */
  uint64_t revision;    /**< platform: of the store at the start */
  uint64_t era;         /**< platform: of the store; 0: not reported */
};

/** Returned by a role that has finished and needs no event loop. */
#define STANDIN_DONE 1

/** Each sets up its role on `server`; the caller then runs the event loop.
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
