/**
 * @file hash.h
 * Makes uthash use XXH3 instead of its default hash function, for keys of more
 * than one word.  Include it only in the .c file that owns the table.
 */
#ifndef STATE_HASH_H
#define STATE_HASH_H

#include <uthash.h>
#include <xxhash.h>

#undef HASH_FUNCTION
#define HASH_FUNCTION(key, size, value)                                       \
  ((value) = (unsigned)XXH3_64bits ((key), (size)))

#endif
