/**
 * @file log_budget.h
 * How many lines a second are written, in all and of one kind.  Successes
 * get half of all lines at most, so that failures and refusals still fit when
 * the load is high.  What is dropped is counted by kind.
 */
#ifndef TRANSPORT_LOG_BUDGET_H
#define TRANSPORT_LOG_BUDGET_H

#include "transport/log.h"
#include <stdbool.h>
#include <stdint.h>

#define LOG_BUDGET_KIND_PART 4   /**< of all lines, one kind gets this part */
#define LOG_BUDGET_TEXT_SIZE 512 /**< bytes of the kinds dropped, as text */

/** Zero-initialise, then set `lines_max`. */
struct log_budget
{
  uint32_t lines_max; /**< a second; 0: without bound */
  uint64_t second;    /**< running */
  uint32_t written;
  uint32_t kinds[LOG_MESSAGE_MAX];
  uint32_t dropped[LOG_MESSAGE_MAX]; /**< not told yet */
  uint32_t dropped_sum;
};

/** @return whether the line may be written; it is counted either way. */
bool log_budget_take (struct log_budget *budget, enum log_message message,
                      uint64_t wall_ms);

/** What was dropped in the seconds before the running one: fills in a text
    such as "request done:12,attempt started:7" and starts anew.
    @return lines dropped; 0: nothing to tell. */
uint32_t log_budget_told (struct log_budget *budget, uint64_t wall_ms,
                          char text[LOG_BUDGET_TEXT_SIZE]);

/** A line was lost because its reader did not take it. */
void log_budget_lost (struct log_budget *budget, enum log_message message);

#endif
