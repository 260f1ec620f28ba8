/**
 * @file parsers.h
 * The program's parsers as a table, for the fuzzer and for the replay of its
 * corpus.
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
  const char *name; /**< of the folder of its corpus */
  /** Parses any bytes; ends the program when what it made of them breaks a
      promise, such as a normal form that is not stable. */
  void (*run) (const uint8_t *data, size_t size);
};

extern const struct parser parsers[PARSER_MAX];

#endif
