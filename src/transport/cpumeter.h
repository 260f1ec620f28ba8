/**
 * @file cpumeter.h
 * Counts the processor time that the thread spends in one kind of work.
 */
#ifndef TRANSPORT_CPUMETER_H
#define TRANSPORT_CPUMETER_H

#include <stdint.h>

/** Zero-initialise.  Sections may nest; only the outermost one counts. */
struct cpumeter
{
  uint64_t total_ns;
  uint64_t start_ns;
  uint32_t depth;
};

void cpumeter_enter (struct cpumeter *meter);
void cpumeter_leave (struct cpumeter *meter);

#endif
