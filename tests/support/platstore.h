/**
 * @file platstore.h
 * Stand-in for the platform's store on the platform's wire, on the test's own
 * loop: ranges with pages, watches, transactions, leases, and faults.
 */
#ifndef TESTS_SUPPORT_PLATSTORE_H
#define TESTS_SUPPORT_PLATSTORE_H

#include <event2/event.h>
#include <event2/http.h>
#include <stdbool.h>
#include <stdint.h>

#define PLATSTORE_PAGE 2 /**< items of a page; small, to see several */

/** What it does with calls. */
enum platstore_fault
{
  PLATSTORE_FINE,
  PLATSTORE_BUSY,    /**< 503 */
  PLATSTORE_MANY,    /**< 429 */
  PLATSTORE_CUT,     /**< closes the connection without an answer */
  PLATSTORE_LOST,    /**< does what is asked, then closes */
  PLATSTORE_GARBAGE, /**< answers what is no JSON */
  PLATSTORE_FAULT_MAX
};

struct platstore
{
  struct event_base *base;
  struct evhttp *http;
  uint16_t port;
  enum platstore_fault fault;
  uint64_t revision;
  uint64_t history_since; /**< watches from before get 410 */
  uint64_t leases;
  uint64_t ended_lease;            /**< renewals of it get 404 */
  struct platstore_item *items;    /**< private */
  struct platstore_watch *watches; /**< private */
  unsigned int ranges;
  unsigned int watch_calls;
  unsigned int commits;
};

void platstore_init (struct platstore *store, struct event_base *base);
void platstore_finish (struct platstore *store);

/** Writes a key, or deletes it with a NULL value; wakes watches. */
void platstore_put (struct platstore *store, const char *key,
                    const char *value);
/** Forgets the history: watches are cut, and must list again. */
void platstore_compact (struct platstore *store);
/** Value of a key; NULL when absent. */
const char *platstore_get (const struct platstore *store, const char *key);

#endif
