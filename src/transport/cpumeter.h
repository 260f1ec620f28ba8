/**
 * @file cpumeter.h
 * Measures the CPU time that a thread spends in marked sections of code.
 */
#ifndef TRANSPORT_CPUMETER_H
#define TRANSPORT_CPUMETER_H

#include <stdint.h>

/** Zero-initialise.  Sections may nest; time is measured from the start to
    the end of the outermost one. */
struct cpumeter
{
  uint64_t total_ns;
  uint64_t start_ns;
  uint32_t depth;
};

void cpumeter_enter (struct cpumeter *meter);
void cpumeter_leave (struct cpumeter *meter);

#endif
