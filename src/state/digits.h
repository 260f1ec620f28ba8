/**
 * @file digits.h
 * Natural numbers beyond the range of C's types, kept as their decimal digits.
 */
#ifndef STATE_DIGITS_H
#define STATE_DIGITS_H

#include <stddef.h>
#include <stdint.h>

#define DIGITS_MAX 62 /**< digits without leading zeros */

/** Zero-initialise for 0. */
struct digits
{
  char text[DIGITS_MAX + 1]; /**< without leading zeros; empty for 0 */
  uint8_t count;
};

/** Reads decimal digits, with nothing before or after them.
    @return 0, ERR_INVALID for any other text, or ERR_TOO_LARGE for a number of
    more than DIGITS_MAX digits; `number` is then unchanged. */
int digits_parse (struct digits *number, const char *text, size_t size);

struct digits digits_from_u64 (uint64_t value);

/** @return 0, or ERR_TOO_LARGE for a number of more than 64 bits. */
int digits_to_u64 (const struct digits *number, uint64_t *value);

/** @return the number modulo 2^64. */
uint64_t digits_low64 (const struct digits *number);

/** @return less than, equal to or greater than 0, as for strcmp(). */
int digits_compare (const struct digits *left, const struct digits *right);

/** @return the digits; "0" for 0. */
const char *digits_text (const struct digits *number);

#endif
