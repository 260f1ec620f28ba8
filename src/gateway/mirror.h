/**
 * @file mirror.h
 * The store's items as they were read, for instances that hang on this one.
 */
#ifndef GATEWAY_MIRROR_H
#define GATEWAY_MIRROR_H

#include "coordination/message.h"
#include "protocol/platform.h"
#include <uthash.h>

struct mirror_item
{
  struct message_object object; /**< its value is owned */
  UT_hash_handle hh;            /**< by object.key */
};

/** Zero-initialise. */
struct mirror
{
  struct mirror_item *items; /**< uthash */
};

void mirror_finish (struct mirror *mirror);

/** Keeps an item, or drops it when it was deleted.
    @return 0, ERR_INVALID for a key that is too long, ERR_NO_MEMORY. */
int mirror_put (struct mirror *mirror, const struct platform_item *item);

#endif
