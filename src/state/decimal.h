/**
 * @file decimal.h
 * Numbers as they are written in JSON (RFC 8259, section 6), of any size and
 * compared exactly: a double has 53 bits, and a version may have more.
 */
#ifndef STATE_DECIMAL_H
#define STATE_DECIMAL_H

#include <stdbool.h>
#include <stddef.h>

/** Whether a text is a number that is not negative. */
bool decimal_is_valid (const char *text, size_t size);

/** Compares two valid numbers.  Of exponents beyond 18 digits the sign only
    counts.
    @return less than, equal to or greater than 0, as for strcmp(). */
int decimal_compare (const char *left, const char *right);

#endif
