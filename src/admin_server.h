/**
 * @file admin_server.h
 * The admin API as a part of the runtime: objects, audit, status, drain,
 * health and metrics over HTTP and JSON.
 */
#ifndef ADMIN_SERVER_H
#define ADMIN_SERVER_H

#include "router.h"

#define ADMIN_BODY_MAX    1048576 /**< bytes of a request body */
#define ADMIN_HEADER_MAX  16384   /**< bytes of a request's headers */
#define ADMIN_TIMEOUT_S   30      /**< seconds a connection may stand still */
#define ADMIN_RETRY_AFTER "1"     /**< seconds until the store may be back */
#define ADMIN_BACKLOG     128     /**< connections not yet accepted */

extern const struct router_module admin_module;

/** Address that the admin API listens at; NULL when it has none. */
const char *admin_server_address (const struct router *router);

#endif
