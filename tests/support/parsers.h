/**
 * @file parsers.h
 * Table of the parsers of the program, for the fuzzer and for the test that
 * replays its corpus.
 */
#ifndef TESTS_SUPPORT_PARSERS_H
#define TESTS_SUPPORT_PARSERS_H

#include <stddef.h>
#include <stdint.h>

enum parser_id
{
  PARSER_SETTINGS,
  PARSER_OBJECT,
  PARSER_VALUE,
  PARSER_LISTING,
  PARSER_FRAME,
  PARSER_REQUEST,
  PARSER_MAX
};

struct parser
{
  const char *name; /**< also the name of its corpus folder */
  /** Parses any bytes; aborts the program when the result violates an
      invariant, such as a normal form that is not stable. */
  void (*run) (const uint8_t *data, size_t size);
};

extern const struct parser parsers[PARSER_MAX];

#endif
