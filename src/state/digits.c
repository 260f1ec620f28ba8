/**
 * @file digits.c
 * Natural numbers of any size.
 */
#include "state/digits.h"
#include "state/err.h"
#include <inttypes.h>
#include <stdio.h>
#include <string.h>

int
digits_parse (struct digits *number, const char *text, size_t size)
{
  size_t zeros = 0;
  size_t i;

  for (i = 0; i < size; i++)
    if (text[i] < '0' || text[i] > '9')
      return ERR_INVALID;
  if (size == 0)
    return ERR_INVALID;
  while (zeros < size && text[zeros] == '0')
    zeros++;
  if (size - zeros > DIGITS_MAX)
    return ERR_TOO_LARGE;
  memset (number, 0, sizeof *number);
  memcpy (number->text, text + zeros, size - zeros);
  number->count = (uint8_t)(size - zeros);
  return 0;
}

struct digits
digits_from_u64 (uint64_t value)
{
  struct digits number = { .count = 0 };

  if (value != 0)
    number.count = (uint8_t)snprintf (number.text, sizeof number.text,
                                      "%" PRIu64, value);
  return number;
}

int
digits_to_u64 (const struct digits *number, uint64_t *value)
{
  const struct digits max = digits_from_u64 (UINT64_MAX);

  if (digits_compare (number, &max) > 0)
    return ERR_TOO_LARGE;
  *value = digits_low64 (number);
  return 0;
}

uint64_t
digits_low64 (const struct digits *number)
{
  uint64_t value = 0;
  size_t i;

  for (i = 0; i < number->count; i++)
    value = value * 10 + (uint64_t)(number->text[i] - '0');
  return value;
}

int
digits_compare (const struct digits *left, const struct digits *right)
{
  if (left->count != right->count)
    return left->count < right->count ? -1 : 1;
  return memcmp (left->text, right->text, left->count);
}

const char *
digits_text (const struct digits *number)
{
  return number->count == 0 ? "0" : number->text;
}
