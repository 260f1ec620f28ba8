/**
 * @file confstage.h
 * Simulates two instances that read their configuration from one fake store
 * and exchange objects as peers do, on a clock that only the test advances.
 */
#ifndef TESTS_SUPPORT_CONFSTAGE_H
#define TESTS_SUPPORT_CONFSTAGE_H

#include "confstore.h"
#include "support/fakestore.h"

#define CONFSTAGE_INSTANCES   2
#define CONFSTAGE_KEY         "customer/studio"
#define CONFSTAGE_STEP_MS     50
#define CONFSTAGE_EXCHANGE_MS 500

struct confstage_instance
{
  struct catalog catalog;
  struct confstore *confstore; /**< NULL while stopped */
  struct confstore_result result;
  uint32_t results;
  uint64_t index_seen; /**< highest index of the key so far */
};

struct confstage
{
  struct clock clock;
  struct fakestore store;
  struct confstage_instance instances[CONFSTAGE_INSTANCES];
  char violation[128]; /**< last decrease of an index; empty for none */
};

void confstage_init (struct confstage *sim);
void confstage_finish (struct confstage *sim);
void confstage_start (struct confstage *sim, int number);
void confstage_stop (struct confstage *sim, int number);
void confstage_run (struct confstage *sim, uint64_t duration_ms,
                    uint64_t step_ms);
/** Writes the weight of the customer through instance `number`. */
void confstage_write (struct confstage *sim, int number, uint32_t weight);
/** As confstage_write, on condition that the index of the key is `if_match`.
 */
void confstage_write_if (struct confstage *sim, int number, uint32_t weight,
                         uint64_t if_match);
/** Weight in effect at an instance; 0 without the customer. */
uint32_t confstage_weight (const struct confstage *sim, int number);
/** Whether an instance's copy of the object records a change. */
bool confstage_held (const struct confstage *sim, int number,
                     const char *change_id);

#endif
