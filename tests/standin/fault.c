/**
 * @file fault.c
 * Fault names and their counts.
 */
#include "standin/fault.h"
#include <string.h>

static const char *const names[FAULT_MAX] = {
  [FAULT_NONE] = "none",
  [FAULT_REFUSE] = "refuse",
  [FAULT_RESET] = "reset",
  [FAULT_CUT] = "cut",
  [FAULT_DELAY] = "delay",
  [FAULT_WRONG_LENGTH] = "wrong-length",
  [FAULT_WRONG_ID] = "wrong-id",
  [FAULT_CROSSED] = "crossed",
  [FAULT_DOUBLE] = "double",
  [FAULT_NOT_RUN] = "not-run",
  [FAULT_UNTRUE_NOT_RUN] = "untrue-not-run",
  [FAULT_DRAINING] = "draining",
  [FAULT_SLOW] = "slow",
  [FAULT_DOWN] = "down",
  [FAULT_LOSE_RESPONSE] = "lose-answer",
  [FAULT_SNAPSHOT] = "snapshot",
  [FAULT_RESTORE] = "restore",
  [FAULT_PARTITION] = "partition",
  [FAULT_ONE_WAY] = "one-way",
};

enum fault_kind
fault_parse (const char *name)
{
  int kind;

  for (kind = 0; kind < FAULT_MAX; kind++)
    if (name != NULL && strcmp (name, names[kind]) == 0)
      return (enum fault_kind)kind;
  return FAULT_MAX;
}

struct fault
fault_take (struct fault *fault)
{
  struct fault taken = *fault;

  if (fault->kind == FAULT_NONE || fault->count == FAULT_COUNT_UNLIMITED)
    return taken;
  if (fault->count > 0)
    fault->count--;
  if (fault->count == 0)
    fault->kind = FAULT_NONE;
  return taken;
}
