/**
 * @file json_scan.c
 * Elements of JSON arrays and objects.
 */
#include "protocol/json_scan.h"
#include "state/err.h"
#include <stdbool.h>
#include <string.h>

static void skip_space (struct json_scan *scan);
static bool take (struct json_scan *scan, char expected);
static bool scan_string (struct json_scan *scan);
static bool is_escaped (const char *first, const char *quote);
static bool scan_value (struct json_scan *scan);
static int scan_end (struct json_scan *scan);

int
json_scan_begin (struct json_scan *scan, const struct json_span *text,
                 char open)
{
  *scan = (struct json_scan){ .in = *text, .close = open == '[' ? ']' : '}' };
  skip_space (scan);
  return take (scan, open) ? 0 : ERR_INVALID;
}

int
json_scan_next (struct json_scan *scan, struct json_span *key,
                struct json_span *value)
{
  skip_space (scan);
  if (take (scan, scan->close))
    return scan_end (scan);
  if (scan->count++ > 0 && !take (scan, ','))
    return ERR_INVALID;
  skip_space (scan);
  if (scan->close == '}')
    {
      key->text = scan->in.text + scan->at;
      if (!scan_string (scan))
        return ERR_INVALID;
      key->size = (size_t)(scan->in.text + scan->at - key->text);
      skip_space (scan);
      if (!take (scan, ':'))
        return ERR_INVALID;
      skip_space (scan);
    }
  value->text = scan->in.text + scan->at;
  if (!scan_value (scan))
    return ERR_INVALID;
  value->size = (size_t)(scan->in.text + scan->at - value->text);
  return 1;
}

static int
scan_end (struct json_scan *scan)
{
  skip_space (scan);
  return scan->at == scan->in.size ? 0 : ERR_INVALID;
}

static void
skip_space (struct json_scan *scan)
{
  while (scan->at < scan->in.size && scan->in.text[scan->at] != '\0'
         && strchr (" \t\r\n", scan->in.text[scan->at]) != NULL)
    scan->at++;
}

static bool
take (struct json_scan *scan, char expected)
{
  if (scan->at == scan->in.size || scan->in.text[scan->at] != expected)
    return false;
  scan->at++;
  return true;
}

static bool
scan_string (struct json_scan *scan)
{
  const char *text = scan->in.text;
  const char *quote;
  size_t first;

  if (!take (scan, '"'))
    return false;
  first = scan->at;
  while ((quote = memchr (text + scan->at, '"', scan->in.size - scan->at))
         != NULL)
    {
      scan->at = (size_t)(quote - text) + 1;
      if (!is_escaped (text + first, quote))
        return true;
    }
  return false;
}

/* Whether an odd number of backslashes stands before a quote. */
static bool
is_escaped (const char *first, const char *quote)
{
  const char *c = quote;

  while (c > first && c[-1] == '\\')
    c--;
  return (quote - c) % 2 != 0;
}

/* Up to the comma or bracket behind it. */
static bool
scan_value (struct json_scan *scan)
{
  size_t depth = 0;

  while (scan->at < scan->in.size)
    switch (scan->in.text[scan->at])
      {
      case '"':
        if (!scan_string (scan))
          return false;
        break;
      case '[':
      case '{':
        depth++;
        scan->at++;
        break;
      case ']':
      case '}':
        if (depth == 0)
          return true;
        depth--;
        scan->at++;
        break;
      case ',':
        if (depth == 0)
          return true;
        scan->at++;
        break;
      default:
        scan->at++;
        break;
      }
  return false;
}
