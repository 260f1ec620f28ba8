/**
 * @file fakefleet_int.h
 * Shared by the files of the fake fleet.
 */
#ifndef TESTS_SUPPORT_FAKEFLEET_INT_H
#define TESTS_SUPPORT_FAKEFLEET_INT_H

#include "support/fakefleet.h"

struct fakefleet_request
{
  uint32_t customer;
  uint32_t instance;
  uint32_t tokens;
};

struct fakefleet_attempt
{
  uint64_t handle;
  uint32_t number;
  uint32_t upstream;
  uint32_t done_ms;
  uint32_t total_ms;
};

/** Passes an event to the dispatcher of an instance and performs the resulting
    actions. */
void fakefleet_handle (struct fakefleet_instance *instance,
                       const struct dispatch_event *event);
/** Advances every request in flight by a millisecond. */
void fakefleet_advance_attempts (struct fakefleet *sim);
/** Submits requests until each customer has its set number outstanding. */
void fakefleet_submit_requests (struct fakefleet *sim);
/** Updates all measurements, once per millisecond. */
void fakefleet_sample (struct fakefleet *sim);

#endif
