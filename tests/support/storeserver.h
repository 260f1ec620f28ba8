/**
 * @file storeserver.h
 * HTTP server that speaks the protocol of the platform's key-value store on
 * the event loop of the test: paged ranges, watches, transactions, leases, and
 * faults.
 */
#ifndef TESTS_SUPPORT_STORESERVER_H
#define TESTS_SUPPORT_STORESERVER_H

#include <event2/event.h>
#include <event2/http.h>
#include <stdbool.h>
#include <stdint.h>

/** Small, so that lists span pages. */
#define STORESERVER_PAGE_ITEMS 2

#define STORESERVER_LONG_BYTES 27000000

/** How it answers requests. */
enum storeserver_fault
{
  STORESERVER_FAULT_NONE,
  STORESERVER_FAULT_503,
  STORESERVER_FAULT_429,
  STORESERVER_FAULT_CLOSE, /**< closes the connection without a response */
  STORESERVER_FAULT_LOSE_RESPONSE, /**< applies a transaction, then closes */
  STORESERVER_FAULT_INVALID_JSON,  /**< the response body is not JSON */
  STORESERVER_FAULT_MAX
};

struct storeserver
{
  struct event_base *base;
  struct evhttp *http;
  uint16_t port;
  enum storeserver_fault fault;
  bool silent; /**< does nothing that is asked for, and loses responses */
  uint64_t revision;
  uint64_t oldest_revision; /**< watches after an older revision get 410 */
  /** Responses to watches after an older revision have STORESERVER_LONG_BYTES
      more, as a history of many large values has. */
  uint64_t long_before_revision;
  bool chunked; /**< these responses are sent in chunks */
  uint64_t last_lease_id;
  /** Renewals of this lease and of older ones get 404. */
  uint64_t last_ended_lease_id;
  uint64_t era; /**< reported in all responses; 0: none is reported */
  /** Digits before those of each revision and of the era, which then have 19
      of their own: numbers of more than 64 bits.  May be NULL. */
  const char *revision_lead;
  const char *era_lead;
  /** Written in place of the store's revision, or of the era; NULL: none. */
  const char *odd_revision;
  const char *odd_era;
  uint64_t saved_revision;
  struct storeserver_item *saved_items; /**< private */
  struct storeserver_item *items;       /**< private */
  struct storeserver_watch *watches;    /**< private */
  /** Called with each text that a transaction writes; `size` bytes of room,
      NUL-terminated.  Returns whether it has changed it.  May be NULL. */
  bool (*edit) (void *user, const char *key, char *value, size_t size);
  void *edit_user;
  unsigned int list_calls;
  unsigned int watch_calls;
  unsigned int txn_calls;
};

void storeserver_init (struct storeserver *store, struct event_base *base);
void storeserver_finish (struct storeserver *store);

/** Writes a key, or deletes it when `value` is NULL; answers watches. */
void storeserver_put (struct storeserver *store, const char *key,
                      const char *value);
/** Writes a value that may contain NUL bytes. */
void storeserver_put_bytes (struct storeserver *store, const char *key,
                            const char *value, size_t value_size);
/** Writes a key that responses contain with the members of a JSON object in
    place of its own, such as a value that is not base64. */
void storeserver_put_members (struct storeserver *store, const char *key,
                              const char *members);
/** Discards the history and closes the connections of watches, so that clients
    must list again. */
void storeserver_compact (struct storeserver *store);
/** Keeps a copy of the items without a lease. */
void storeserver_save (struct storeserver *store);
/** Replaces the items by the copy, without leases, as the next era.  Revisions
    continue from that of the copy. */
void storeserver_restore (struct storeserver *store);
/** Number of keys with a prefix. */
unsigned int storeserver_count (const struct storeserver *store,
                                const char *prefix);
/** Value of a key; NULL when absent or deleted. */
const char *storeserver_get (const struct storeserver *store, const char *key);

#endif
