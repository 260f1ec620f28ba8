/**
 * @file confsim.h
 * Simulates two instances that read their configuration from one fake store
 * and exchange objects as peers do, on a clock that only the test advances.
 */
#ifndef TESTS_SUPPORT_CONFSIM_H
#define TESTS_SUPPORT_CONFSIM_H

#include "confstore.h"
#include "support/fakestore.h"

#define CONFSIM_INSTANCES   2
#define CONFSIM_KEY         "customer/studio"
#define CONFSIM_STEP_MS     50
#define CONFSIM_EXCHANGE_MS 500

struct confsim_instance
{
  struct catalog catalog;
  struct confstore *confstore; /**< NULL while stopped */
  struct confstore_result result;
  uint32_t result_count;
  uint64_t max_index; /**< highest index of the key so far */
};

struct confsim
{
  struct clock clock;
  struct fakestore store;
  struct confsim_instance instances[CONFSIM_INSTANCES];
  char violation[128]; /**< last decrease of an index; empty for none */
};

void confsim_init (struct confsim *sim);
void confsim_finish (struct confsim *sim);
void confsim_start (struct confsim *sim, int number);
void confsim_stop (struct confsim *sim, int number);
void confsim_run (struct confsim *sim, uint64_t duration_ms, uint64_t step_ms);
/** Writes the weight of the customer through instance `number`. */
void confsim_write (struct confsim *sim, int number, uint32_t weight);
/** As confsim_write, if the index of the key is `if_match`. */
void confsim_write_if (struct confsim *sim, int number, uint32_t weight,
                       uint64_t if_match);
/** Weight in effect at an instance; 0 without the customer. */
uint32_t confsim_weight (const struct confsim *sim, int number);
/** Whether an instance's copy of the object records a change. */
bool confsim_has_change (const struct confsim *sim, int number,
                         const char *change_id);

#endif
