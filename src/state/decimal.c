/**
 * @file decimal.c
 * Validation and exact comparison of decimal numbers.
 */
#include "state/decimal.h"
#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#define DIGITS       "0123456789"
#define EXPONENT_MAX INT64_C (999999999999999999)

/** A number without the zeros before its first significant digit. */
struct significant
{
  const char *digits; /**< the first one; `end` if the number is 0 */
  const char *end;    /**< of the digits, a point among them */
  int64_t power;      /**< of ten, of the first digit */
};

static bool skip_digits (const char **text, const char *end);
static struct significant find_significant (const char *text);
static int64_t read_exponent (const char *text);
static char next_digit (struct significant *number);

bool
decimal_is_valid (const char *text, size_t size)
{
  const char *end = text + size;
  const char *first = text;

  if (!skip_digits (&text, end) || (*first == '0' && text - first > 1))
    return false;
  if (text < end && *text == '.')
    {
      text++;
      if (!skip_digits (&text, end))
        return false;
    }
  if (text < end && (*text == 'e' || *text == 'E'))
    {
      text++;
      if (text < end && (*text == '+' || *text == '-'))
        text++;
      if (!skip_digits (&text, end))
        return false;
    }
  return text == end;
}

/* @return whether there was a digit. */
static bool
skip_digits (const char **text, const char *end)
{
  const char *first = *text;

  while (*text < end && **text >= '0' && **text <= '9')
    ++*text;
  return *text > first;
}

int
decimal_compare (const char *left, const char *right)
{
  struct significant a = find_significant (left);
  struct significant b = find_significant (right);
  int difference = 0;

  if (a.digits == a.end || b.digits == b.end)
    return (a.digits < a.end) - (b.digits < b.end);
  if (a.power != b.power)
    return a.power < b.power ? -1 : 1;
  while (difference == 0 && (a.digits < a.end || b.digits < b.end))
    difference = next_digit (&a) - next_digit (&b);
  return difference;
}

static struct significant
find_significant (const char *text)
{
  const size_t size = strcspn (text, "eE");
  const char *point = text + strspn (text, DIGITS);
  struct significant number
      = { .digits = text + strspn (text, "0."), .end = text + size };

  if (number.digits > number.end)
    number.digits = number.end;
  number.power = read_exponent (text + size)
                 + (number.digits < point ? point - number.digits - 1
                                          : point - number.digits);
  return number;
}

/* @param text  from the `e' on, or empty. */
static int64_t
read_exponent (const char *text)
{
  int64_t exponent = *text == '\0' ? 0 : strtoll (text + 1, NULL, 10);

  if (exponent > EXPONENT_MAX)
    return EXPONENT_MAX;
  return exponent < -EXPONENT_MAX ? -EXPONENT_MAX : exponent;
}

/* Zeros follow the last digit. */
static char
next_digit (struct significant *number)
{
  if (number->digits < number->end && *number->digits == '.')
    number->digits++;
  return number->digits < number->end ? *number->digits++ : '0';
}
