/**
 * @file log_budget.h
 * Limits the log lines per second, in total and per message.  Messages that
 * report a success get at most half of the total, so that failures and
 * refusals are still logged under high load.  Dropped lines are counted per
 * message.
 */
#ifndef TRANSPORT_LOG_BUDGET_H
#define TRANSPORT_LOG_BUDGET_H

#include "transport/log.h"
#include <stdbool.h>
#include <stdint.h>

/** Each message gets at most `lines_max` divided by this. */
#define LOG_BUDGET_MESSAGE_DIVISOR 4

#define LOG_BUDGET_REPORT_SIZE 512 /**< bytes of a report of dropped lines */

/** Zero-initialise, then set `lines_max`. */
struct log_budget
{
  uint32_t lines_max; /**< limit per second; 0: no limit */
  uint64_t second;    /**< current second */
  uint32_t written;   /**< lines in the current second */
  uint32_t written_by_message[LOG_MESSAGE_MAX];
  uint32_t dropped[LOG_MESSAGE_MAX]; /**< not reported yet */
  uint32_t dropped_total;
};

/** Counts a line as written or dropped. @return true if it may be written. */
bool log_budget_take (struct log_budget *budget, enum log_message message,
                      uint64_t wall_ms);

/** @return whether log_budget_take() would return true; if not, the line is
    counted as dropped. */
bool log_budget_has (struct log_budget *budget, enum log_message message,
                     uint64_t wall_ms);

/** Reports the lines dropped in earlier seconds as a text such as
    "request done:12,attempt started:7" and resets their counters.
    @return number of lines dropped; 0 if there is nothing to report. */
uint32_t log_budget_report (struct log_budget *budget, uint64_t wall_ms,
                            char text[LOG_BUDGET_REPORT_SIZE]);

/** Counts a line as dropped. */
void log_budget_count_dropped (struct log_budget *budget,
                               enum log_message message);

#endif
