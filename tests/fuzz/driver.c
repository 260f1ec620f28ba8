/**
 * @file driver.c
 * Entry point of libFuzzer; FUZZ_PARSER is an entry of enum parser_id.
 */
#include "support/parsers.h"

#ifndef FUZZ_PARSER
#define FUZZ_PARSER PARSER_OBJECT
#endif

/* The name is libFuzzer's. */
int fuzz_one (const uint8_t *data,
              size_t size) __asm__("LLVMFuzzerTestOneInput");

int
fuzz_one (const uint8_t *data, size_t size)
{
  parsers[FUZZ_PARSER].run (data, size);
  return 0;
}
