/**
 * @file mirror.h
 * Copy of the store's items, for snapshots to instances that subscribe to this
 * one.
 */
#ifndef GATEWAY_MIRROR_H
#define GATEWAY_MIRROR_H

#include "coordination/message.h"
#include "protocol/kvstore.h"
#include <uthash.h>

struct mirror_item
{
  struct message_object object; /**< owns its value */
  UT_hash_handle hh;            /**< by object.key */
};

/** Zero-initialise. */
struct mirror
{
  struct mirror_item *items; /**< uthash */
};

void mirror_finish (struct mirror *mirror);

/** Stores an item, or removes it when its value is NULL.
    @return 0, ERR_INVALID for a key that is too long, ERR_NO_MEMORY. */
int mirror_put (struct mirror *mirror, const struct kvstore_item *item);

#endif
