/**
 * @file time_share.c
 * Shares of a loop's time.
 */
#include "state/time_share.h"

uint64_t
time_share_left_ns (struct time_share *share, uint64_t now_ns)
{
  uint64_t passed_ns = now_ns > share->at_ns ? now_ns - share->at_ns : 0;
  uint64_t earned_ns = passed_ns / 1000 * share->permille;

  share->debt_ns = share->debt_ns > earned_ns ? share->debt_ns - earned_ns : 0;
  share->at_ns = now_ns;
  return share->burst_ns > share->debt_ns ? share->burst_ns - share->debt_ns
                                          : 0;
}

void
time_share_take (struct time_share *share, uint64_t start_ns, uint64_t end_ns)
{
  if (end_ns > start_ns)
    share->debt_ns += end_ns - start_ns;
}
