/**
 * @file confstore_module.h
 * Router module of the configuration store; see router.h.
 */
#ifndef CONFSTORE_MODULE_H
#define CONFSTORE_MODULE_H

#include "confstore.h"
#include "router.h"

#define CONFSTORE_WATCHERS 2 /**< instances of a zone that watch the store */

extern const struct router_module confstore_module;

/** The configuration store of a running instance. */
struct confstore *confstore_module_get (const struct router *router);
/** Its key-value store, for counters. */
const struct kvstore *confstore_module_store (const struct router *router);

/** True when `self_id` has one of the CONFSTORE_WATCHERS lowest rendezvous
    hashes among the members of its availability zone that are alive and not
    draining. */
bool confstore_module_is_watcher (const struct member_table *members,
                                  uint64_t self_id);

#endif
