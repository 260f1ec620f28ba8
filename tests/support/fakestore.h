/**
 * @file fakestore.h
 * The platform's store for tests: kvmem with faults, told what to do with
 * each write, and able to go back to an older state.
 */
#ifndef TESTS_SUPPORT_FAKESTORE_H
#define TESTS_SUPPORT_FAKESTORE_H

#include "protocol/platform.h"
#include "transport/clock.h"
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define FAKESTORE_WRITES_MAX 256
#define FAKESTORE_WAITERS    8

/** What becomes of a write. */
enum fakestore_fault
{
  FAKESTORE_NONE,
  FAKESTORE_LOSE_REQUEST,  /**< no effect, outcome unknown */
  FAKESTORE_LOSE_ANSWER,   /**< takes effect, outcome unknown */
  FAKESTORE_DELAY_REQUEST, /**< outcome unknown, arrives later */
  FAKESTORE_RACE           /**< `race` runs just before it */
};

struct fakestore_write
{
  char *key;
  char *value;
  uint64_t expected;
};

struct fakestore_waiter
{
  char prefix[64];
  platform_items_fn done;
  void *user;
};

struct fakestore
{
  struct platform platform; /* first */
  struct platform *inner;
  const struct clock *clock;
  struct fakestore_write writes[FAKESTORE_WRITES_MAX]; /**< that took effect */
  size_t write_count;
  struct fakestore_write delayed;
  struct fakestore_waiter waiters[FAKESTORE_WAITERS];
  size_t waiter_count;
  enum fakestore_fault faults[16]; /**< of the next writes, in order */
  size_t fault_count;
  void (*race) (void *user);
  void *race_user;
  bool down;
  bool mute;      /**< watches that wait are not answered */
  uint32_t calls; /**< while up or down */
};

/** @return 0 or ERR_NO_MEMORY. */
int fakestore_init (struct fakestore *store, const struct clock *clock);
void fakestore_finish (struct fakestore *store);

/** Adds a fault to the list of the next writes. */
void fakestore_fault (struct fakestore *store, enum fakestore_fault fault);
/** Takes the store down, or up again; watches fail as it goes down. */
void fakestore_down (struct fakestore *store, bool down);
/** Goes back to the state after the first `count` writes. */
void fakestore_restore (struct fakestore *store, size_t count);
/** Lets the delayed write arrive. @return as a cas. */
int fakestore_arrive (struct fakestore *store);
/** Answers all watches. */
void fakestore_wake (struct fakestore *store);

#endif
