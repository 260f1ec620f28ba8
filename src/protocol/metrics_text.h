/**
 * @file metrics_text.h
 * Metrics of one instance in the Prometheus text format.
 */
#ifndef PROTOCOL_METRICS_TEXT_H
#define PROTOCOL_METRICS_TEXT_H

#include "coordination/member.h"
#include "state/dispatch.h"
#include "state/memory_account.h"
#include "state/metrics.h"
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>

/** Sources of the metrics.  `ledger`, `dispatch`, `slots` and `members` may be
    NULL; their metrics are then left out. */
struct metrics_text_source
{
  const struct metrics *metrics;
  const struct catalog *catalog;
  const struct ledger *ledger;
  struct ledger_origin self; /**< this instance; of the ledger, only the costs
                                of this origin are written */
  const struct dispatch *dispatch;
  const struct slots *slots;
  const struct member_table *members;
  const struct metrics_traffic *traffic;
  size_t traffic_count;
  uint64_t control_cpu_ns;             /**< spent on control messages */
  uint64_t links;                      /**< peers connected */
  const struct memory_account *memory; /**< of clients; NULL: left out */
};

/** Writes all metrics, and the process's CPU time and memory.
    @return 0 or ERR_IO. */
int metrics_text_write (const struct metrics_text_source *source, FILE *out);

#endif
