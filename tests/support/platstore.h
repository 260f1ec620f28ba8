/**
 * @file platstore.h
 * HTTP server that speaks the protocol of the platform's key-value store on
 * the event loop of the test: paged ranges, watches, transactions, leases, and
 * faults.
 */
#ifndef TESTS_SUPPORT_PLATSTORE_H
#define TESTS_SUPPORT_PLATSTORE_H

#include <event2/event.h>
#include <event2/http.h>
#include <stdbool.h>
#include <stdint.h>

#define PLATSTORE_PAGE 2 /**< items; small, so that lists span pages */

/** How it answers requests. */
enum platstore_fault
{
  PLATSTORE_FINE,
  PLATSTORE_BUSY,    /**< 503 */
  PLATSTORE_MANY,    /**< 429 */
  PLATSTORE_CUT,     /**< closes the connection without a response */
  PLATSTORE_LOST,    /**< applies a transaction, then closes */
  PLATSTORE_GARBAGE, /**< the response body is not JSON */
  PLATSTORE_FAULT_MAX
};

struct platstore
{
  struct event_base *base;
  struct evhttp *http;
  uint16_t port;
  enum platstore_fault fault;
  uint64_t revision;
  uint64_t oldest_revision; /**< watches after an older revision get 410 */
  uint64_t last_lease_id;
  /** Renewals of this lease and of older ones get 404. */
  uint64_t last_ended_lease_id;
  struct platstore_item *items;    /**< private */
  struct platstore_watch *watches; /**< private */
  unsigned int ranges;
  unsigned int watch_calls;
  unsigned int txn_calls;
};

void platstore_init (struct platstore *store, struct event_base *base);
void platstore_finish (struct platstore *store);

/** Writes a key, or deletes it when `value` is NULL; answers watches. */
void platstore_put (struct platstore *store, const char *key,
                    const char *value);
/** Discards the history and closes the connections of watches, so that clients
    must list again. */
void platstore_compact (struct platstore *store);
/** Value of a key; NULL when absent or deleted. */
const char *platstore_get (const struct platstore *store, const char *key);

#endif
