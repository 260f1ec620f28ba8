/**
 * @file confstore_int.h
 * Declarations shared by confstore.c, which reads the store, and
 * confstore_write.c, which writes to it.
 */
#ifndef CONFSTORE_INT_H
#define CONFSTORE_INT_H

#include "confstore.h"

struct confstore_pending;

/** Indexes known when a request was sent to the store.  A response below them
    shows that the store was reverted. */
struct confstore_baseline
{
  uint64_t known_index; /**< greatest index of the known objects */
  uint64_t store_index; /**< of the last response; 0 for none */
};

struct confstore
{
  struct confstore_config config;
  struct confsync *confsync;
  struct confstore_counters counters;
  struct confstore_pending *pending; /**< writes that are not finished */
  uint64_t random_state;
  uint64_t index_base; /**< greatest seen in any value */
  /** Of the last response to a listing or watch, or of one that showed a
      revert; 0: none. */
  uint64_t store_index;
  struct confstore_baseline baseline; /**< of the listing or watch in flight */
  uint64_t start_ns;
  uint64_t next_query_ns;  /**< time of the next listing or watch */
  uint64_t relist_time_ns; /**< of a listing during a watch; 0: none */
  uint32_t backoff_ms;
  uint64_t sequence;      /**< of change ids */
  bool request_in_flight; /**< a listing or watch */
  bool listed;            /**< the first listing has been received */
  bool store_up;
  bool reverted;       /**< the store is behind the known objects */
  bool notify_pending; /**< on_changed has to be called */
  bool ready;
};

/** Passes an item of the store to confsync_offer and returns its result. */
int confstore_offer (struct confstore *confstore,
                     const struct kvstore_item *item);
/** Detects a store that was reverted to an older state.  `index` is that of a
    response, `baseline` was taken when its request was sent. */
void confstore_detect_revert (struct confstore *confstore, uint64_t index,
                              const struct confstore_baseline *baseline);
struct confstore_baseline
confstore_current_baseline (const struct confstore *confstore);
/** Calls `on_changed` of the configuration if objects were installed. */
void confstore_notify_changed (struct confstore *confstore);
/** Counts and logs the result of a request to the store. */
void confstore_record_result (struct confstore *confstore, int error);
/** Random number below `limit`, which must not be 0. */
uint64_t confstore_random (struct confstore *confstore, uint64_t limit);

/** Retries the writes that are due and frees those that are finished. */
void confstore_write_run (struct confstore *confstore, uint64_t now_ns);
void confstore_write_finish (struct confstore *confstore);

#endif
