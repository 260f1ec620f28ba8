/**
 * @file driver.c
 * Fuzz target for libFuzzer; FUZZ_PARSER selects an entry of enum parser_id.
 */
#include "support/parsers.h"

#ifndef FUZZ_PARSER
#define FUZZ_PARSER PARSER_OBJECT
#endif

/* libFuzzer calls its target by this symbol name. */
int fuzz_one (const uint8_t *data,
              size_t size) __asm__("LLVMFuzzerTestOneInput");

int
fuzz_one (const uint8_t *data, size_t size)
{
  parsers[FUZZ_PARSER].run (data, size);
  return 0;
}
