/**
 * @file log_budget.c
 * Limits on the number of log lines.
 */
#include "transport/log_budget.h"
#include <stdio.h>
#include <string.h>

#define MS_PER_S 1000

static void start_second (struct log_budget *budget, uint64_t wall_ms);

static void
start_second (struct log_budget *budget, uint64_t wall_ms)
{
  uint64_t second = wall_ms / MS_PER_S;

  if (second == budget->second)
    return;
  budget->second = second;
  budget->written = 0;
  memset (budget->written_by_message, 0, sizeof budget->written_by_message);
}

bool
log_budget_has (struct log_budget *budget, enum log_message message,
                uint64_t wall_ms)
{
  uint32_t max = budget->lines_max;

  if (max == 0)
    return true;
  start_second (budget, wall_ms);
  if (log_messages[message].level < LOG_LEVEL_WARN
      && log_messages[message].routine)
    max /= 2;
  if (budget->written < max
      && budget->written_by_message[message]
             < budget->lines_max / LOG_BUDGET_MESSAGE_DIVISOR)
    return true;
  log_budget_count_dropped (budget, message);
  return false;
}

bool
log_budget_take (struct log_budget *budget, enum log_message message,
                 uint64_t wall_ms)
{
  if (!log_budget_has (budget, message, wall_ms))
    return false;
  budget->written++;
  budget->written_by_message[message]++;
  return true;
}

void
log_budget_count_dropped (struct log_budget *budget, enum log_message message)
{
  budget->dropped[message]++;
  budget->dropped_total++;
}

uint32_t
log_budget_report (struct log_budget *budget, uint64_t wall_ms,
                   char text[LOG_BUDGET_REPORT_SIZE])
{
  uint32_t sum = budget->dropped_total;
  size_t used = 0;
  int i;

  if (sum == 0 || wall_ms / MS_PER_S == budget->second)
    return 0;
  text[0] = '\0';
  for (i = 0; i < LOG_MESSAGE_MAX && used < LOG_BUDGET_REPORT_SIZE; i++)
    if (budget->dropped[i] > 0)
      used += (size_t)snprintf (text + used, LOG_BUDGET_REPORT_SIZE - used,
                                "%s%s:%u", used == 0 ? "" : ",",
                                log_messages[i].text, budget->dropped[i]);
  memset (budget->dropped, 0, sizeof budget->dropped);
  budget->dropped_total = 0;
  return sum;
}
