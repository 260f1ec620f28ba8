/**
 * @file memory.h
 * The memory that a test's process uses.
 */
#ifndef TESTS_SUPPORT_MEMORY_H
#define TESTS_SUPPORT_MEMORY_H

#include <stdint.h>

/** The memory of the smallest gateway. */
#define MEMORY_GATEWAY_KB (160 * 1024)

/** What is allocated: freed memory may stay resident for a while. */
uint64_t memory_kb (void);
/** What is resident; with the sanitizers, which keep freed memory for a while,
    what is allocated. */
uint64_t memory_resident_kb (void);

#endif
