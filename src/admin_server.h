/**
 * @file admin_server.h
 * Router module of the admin API: objects, audit trail, status, drain, health
 * and metrics over HTTP and JSON.
 */
#ifndef ADMIN_SERVER_H
#define ADMIN_SERVER_H

#include "router.h"

#define ADMIN_BODY_MAX   1048576 /**< request body, bytes */
#define ADMIN_HEADER_MAX 16384   /**< request headers, bytes */
#define ADMIN_TIMEOUT_S  30      /**< idle timeout of a connection, seconds */
/** Sent with a change that was not made: seconds until the store may be
    back. */
#define ADMIN_RETRY_AFTER "1"
#define ADMIN_BACKLOG     128 /**< connections waiting for accept() */

extern const struct router_module admin_module;

/** Address that the admin API listens on; NULL when it is off. */
const char *admin_server_address (const struct router *router);

#endif
