/**
 * @file confstage.h
 * Two instances that keep their configuration from one fake store and
 * exchange objects as peers do, on a clock that only the test advances.
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
  uint64_t index_seen; /**< largest index of the key so far */
};

struct confstage
{
  struct clock clock;
  struct fakestore store;
  struct confstage_instance instances[CONFSTAGE_INSTANCES];
  char violation[128]; /**< first index that went down; empty for none */
};

void confstage_init (struct confstage *stage);
void confstage_finish (struct confstage *stage);
void confstage_start (struct confstage *stage, int number);
void confstage_stop (struct confstage *stage, int number);
void confstage_run (struct confstage *stage, uint64_t duration_ms,
                    uint64_t step_ms);
/** Asks instance `number` to give the customer a weight. */
void confstage_write (struct confstage *stage, int number, uint32_t weight);
/** As confstage_write, if the key's index is `if_match`. */
void confstage_write_if (struct confstage *stage, int number, uint32_t weight,
                         uint64_t if_match);
/** Weight in force; 0 for none. */
uint32_t confstage_weight (const struct confstage *stage, int number);
/** Whether an instance holds a change in its records. */
bool confstage_held (const struct confstage *stage, int number,
                     const char *change_id);

#endif
