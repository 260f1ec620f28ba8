/**
 * @file address.c
 * Parser for addresses of the form HOST:PORT.
 */
#include "standin/address.h"
#include <stdlib.h>
#include <string.h>

int
address_parse (const char *address, char host[ADDRESS_HOST_SIZE],
               uint16_t *port)
{
  const char *colon = strrchr (address, ':');

  if (colon == NULL || colon - address >= ADDRESS_HOST_SIZE)
    return -1;
  memcpy (host, address, (size_t)(colon - address));
  host[colon - address] = '\0';
  *port = (uint16_t)strtoul (colon + 1, NULL, 10);
  return 0;
}
