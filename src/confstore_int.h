/**
 * @file confstore_int.h
 * Shared by the reading (confstore.c) and the writing (confstore_write.c) of
 * the store.
 */
#ifndef CONFSTORE_INT_H
#define CONFSTORE_INT_H

#include "confstore.h"

struct confstore_pending;

struct confstore
{
  struct confstore_config config;
  struct confsync *confsync;
  struct confstore_counters counters;
  struct confstore_pending *pending; /**< writes under way */
  uint64_t random;
  uint64_t index_base;   /**< greatest seen in any value */
  uint64_t store_index;  /**< of the last listing */
  uint64_t asked_newest; /**< held when the listing was asked for */
  uint64_t start_ns;
  uint64_t next_ns; /**< when the store is asked next */
  uint32_t backoff_ms;
  uint64_t sequence; /**< of change ids */
  bool busy;         /**< a listing or watch is under way */
  bool listed;       /**< one listing has been received */
  bool up;
  bool reverted; /**< the store is behind what is held */
  bool changed;  /**< objects were installed since the last notice */
  bool ready;
};

/** Offers an item of the store. @return as confsync_offer. */
int confstore_offer (struct confstore *confstore,
                     const struct platform_item *item);
/** Tells `changed` when objects were installed. */
void confstore_notify (struct confstore *confstore);
/** Notes a failure or a success of a call. */
void confstore_note (struct confstore *confstore, int error);
/** A number below `limit`, which is not 0. */
uint64_t confstore_random (struct confstore *confstore, uint64_t limit);

/** Retries writes that are due. */
void confstore_write_run (struct confstore *confstore, uint64_t now_ns);
void confstore_write_finish (struct confstore *confstore);

#endif
