/**
 * @file client_budget.c
 * Frequent values of the time that clients have.
 */
#include "state/client_budget.h"

/* A value that this part of the requests names is one that clients begin
   with. */
#define FREQUENT_PART 8
#define TOTAL_MIN     32
/* Counts are halved, so that changed clients are noticed. */
#define TOTAL_MAX 1024

static void count (struct client_budget *budget, uint32_t remaining_ms);
static void halve (struct client_budget *budget);

/* Misra and Gries: a value that is frequent enough keeps its counter. */
static void
count (struct client_budget *budget, uint32_t remaining_ms)
{
  int unused = -1;
  int i;

  budget->total++;
  for (i = 0; i < CLIENT_BUDGET_VALUES; i++)
    if (budget->counts[i] == 0)
      unused = i;
    else if (budget->values_ms[i] == remaining_ms)
      {
        budget->counts[i]++;
        return;
      }
  if (unused >= 0)
    {
      budget->values_ms[unused] = remaining_ms;
      budget->counts[unused] = 1;
      return;
    }
  for (i = 0; i < CLIENT_BUDGET_VALUES; i++)
    budget->counts[i]--;
}

static void
halve (struct client_budget *budget)
{
  int i;

  budget->total /= 2;
  for (i = 0; i < CLIENT_BUDGET_VALUES; i++)
    budget->counts[i] /= 2;
}

uint32_t
client_budget_waited_ms (struct client_budget *budget, uint32_t remaining_ms)
{
  uint32_t least = UINT32_MAX;
  int i;

  count (budget, remaining_ms);
  if (budget->total >= TOTAL_MAX)
    halve (budget);
  if (budget->total < TOTAL_MIN)
    return 0;
  for (i = 0; i < CLIENT_BUDGET_VALUES; i++)
    if (budget->counts[i] * FREQUENT_PART >= budget->total
        && budget->values_ms[i] >= remaining_ms
        && budget->values_ms[i] - remaining_ms < least)
      least = budget->values_ms[i] - remaining_ms;
  return least == UINT32_MAX ? 0 : least;
}
