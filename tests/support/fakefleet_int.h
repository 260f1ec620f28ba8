/**
 * @file fakefleet_int.h
 * What the parts of the fake fleet share.
 */
#ifndef TESTS_SUPPORT_FAKEFLEET_INT_H
#define TESTS_SUPPORT_FAKEFLEET_INT_H

#include "support/fakefleet.h"

struct fake_request
{
  uint32_t customer;
  uint32_t node;
  uint32_t tokens;
};

struct fake_job
{
  uint64_t handle;
  uint32_t attempt;
  uint32_t upstream;
  uint32_t done_ms;
  uint32_t total_ms;
};

/** Hands a dispatcher an event and does what it asks for. */
void fake_handle (struct fake_node *node, const struct dispatch_event *event);
/** Lets every request in flight advance by a millisecond. */
void fake_progress (struct fakefleet *world);
/** Submits requests until each customer has its number outstanding. */
void fake_keep_outstanding (struct fakefleet *world);
/** Takes one sample of all that is measured. */
void fake_sample (struct fakefleet *world);

#endif
