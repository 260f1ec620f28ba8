/**
 * @file retryshare.h
 * This instance's part of a budget of repeats that all instances share: in
 * any window, a service may get so many repeats as a ratio of the requests
 * for it, plus an allowance.  Each instance keeps to the ratio of what it
 * sees and to an even part of the allowance, so that the sum holds without a
 * word between them.  Answers storms of repeats when a service fails.
 */
#ifndef STATE_RETRYSHARE_H
#define STATE_RETRYSHARE_H

#include <stdbool.h>
#include <stdint.h>

#define RETRYSHARE_BUCKETS 16 /**< slices of the window, and one running */

struct retryshare_config
{
  uint32_t permille; /**< repeats in a thousand requests */
  uint32_t allowance;
  uint32_t window_ms;
};

struct retryshare
{
  struct retryshare_config config;
  uint32_t instances; /**< that share the allowance; at least 1 */
  struct retryshare_service *services; /**< uthash, private */
};

void retryshare_init (struct retryshare *share,
                      const struct retryshare_config *config);
void retryshare_finish (struct retryshare *share);

/** A client's request for a service. @return 0 or ERR_NO_MEMORY. */
int retryshare_request (struct retryshare *share, uint64_t service_id,
                        uint64_t now_ns);
/** Takes one repeat. @return 0, or ERR_FULL when none is left. */
int retryshare_take (struct retryshare *share, uint64_t service_id,
                     uint64_t now_ns);

#endif
