/**
 * @file confstore_int.h
 * Shared by the reading (confstore.c) and the writing (confstore_write.c) of
 * the store.
 */
#ifndef CONFSTORE_INT_H
#define CONFSTORE_INT_H

#include "confstore.h"

struct confstore_pending;

/** What was known when the store was asked for something. */
struct confstore_asked
{
  uint64_t newest;      /**< greatest index held */
  uint64_t store_index; /**< of the last response; 0 for none */
};

struct confstore
{
  struct confstore_config config;
  struct confsync *confsync;
  struct confstore_counters counters;
  struct confstore_pending *pending; /**< writes under way */
  uint64_t random;
  uint64_t index_base;          /**< greatest seen in any value */
  uint64_t store_index;         /**< of the last listing */
  struct confstore_asked asked; /**< for the listing under way */
  uint64_t start_ns;
  uint64_t next_ns;   /**< when the store is asked next */
  uint64_t relist_ns; /**< when to list beside a watch; 0: not */
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
/** Checks that the store did not go back: `index` is that of a response to
    what was asked for in the state `asked`. */
void confstore_check_index (struct confstore *confstore, uint64_t index,
                            const struct confstore_asked *asked);
struct confstore_asked confstore_ask_state (const struct confstore *confstore);
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
