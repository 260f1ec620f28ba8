/**
 * @file fakestore.h
 * Key-value store for tests: wraps kvmem, injects a fault into each write as
 * scripted, and can be restored to an older state.
 */
#ifndef TESTS_SUPPORT_FAKESTORE_H
#define TESTS_SUPPORT_FAKESTORE_H

#include "protocol/kvstore.h"
#include "transport/clock.h"
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define FAKESTORE_WRITES_MAX  256
#define FAKESTORE_WATCHES_MAX 8

/** Fault injected into a write. */
enum fakestore_fault
{
  FAKESTORE_FAULT_NONE,
  FAKESTORE_LOSE_REQUEST,  /**< not applied, outcome unknown */
  FAKESTORE_LOSE_RESPONSE, /**< applied, outcome unknown */
  FAKESTORE_DELAY_REQUEST, /**< outcome unknown, applied later */
  FAKESTORE_RACE           /**< before_write is called just before the write */
};

struct fakestore_write
{
  char *key;
  char *value;
  uint64_t expected;
};

struct fakestore_watch
{
  char prefix[64];
  kvstore_items_fn done;
  void *user;
};

struct fakestore
{
  struct kvstore kvstore; /* first, for casts */
  struct kvstore *kvmem;
  uint64_t first_index; /**< indexes follow it, also after a restore */
  const struct clock *clock;
  /** Applied writes, in order. */
  struct fakestore_write writes[FAKESTORE_WRITES_MAX];
  size_t write_count;
  struct fakestore_write delayed;
  struct fakestore_watch watches[FAKESTORE_WATCHES_MAX];
  size_t watch_count;
  enum fakestore_fault faults[16]; /**< of the next writes, in order */
  size_t fault_count;
  void (*before_write) (void *user);
  void *before_write_user;
  bool down;
  bool mute_watches; /**< pending watches are not answered */
  uint32_t calls;    /**< while the store is up or down */
};

/** @return 0 or ERR_NO_MEMORY. */
int fakestore_init (struct fakestore *store, const struct clock *clock);
void fakestore_finish (struct fakestore *store);

/** Queues a fault for the next write without one. */
void fakestore_add_fault (struct fakestore *store, enum fakestore_fault fault);
/** Makes the store unavailable, or available again.  Pending watches fail when
    it becomes unavailable. */
void fakestore_set_down (struct fakestore *store, bool down);
/** Restores the state after the first `count` writes. */
void fakestore_restore (struct fakestore *store, size_t count);
/** Applies the delayed write. @return 0 or the error of the write. */
int fakestore_deliver_delayed (struct fakestore *store);
/** Answers all pending watches. */
void fakestore_answer_watches (struct fakestore *store);

#endif
