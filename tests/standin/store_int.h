/**
 * @file store_int.h
 * Private declarations of the stand-in store: a table of keys with a modify
 * index, and sessions that lock keys.
 */
#ifndef TESTS_STANDIN_STORE_INT_H
#define TESTS_STANDIN_STORE_INT_H

#include "standin/standin.h"
#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <uthash.h>

#define STORE_KEY_SIZE     256     /**< bytes, with the NUL */
#define STORE_SESSION_SIZE 40      /**< bytes, with the NUL */
#define STORE_VALUE_MAX    1048576 /**< bytes */

/** A key and its value.  A deleted key remains as a tombstone, so that watches
    see the deletion. */
struct store_item
{
  char key[STORE_KEY_SIZE];
  char *value;
  size_t size;
  uint64_t index; /**< index of its last change */
  bool deleted;
  char session[STORE_SESSION_SIZE]; /**< session that locks it; empty: none */
  UT_hash_handle hh;
};

struct store_session
{
  char id[STORE_SESSION_SIZE];
  uint64_t ttl_ms;
  uint64_t expires_ns;
  UT_hash_handle hh;
};

struct store_table
{
  struct store_item *items;
  uint64_t index; /**< index of the last change */
};

/** A request to the store.  A watch is a read that blocks until a change or a
    timeout. */
struct store_call
{
  struct exchange exchange;
  struct server *server;
  struct event *timer; /**< of a fault, or timeout of a watch */
  char key[STORE_KEY_SIZE];
  bool recurse; /**< `key` is a prefix */
  bool watching;
  uint64_t since; /**< a watch waits for an index greater than this */
  struct store_call *prev;
  struct store_call *next;
};

struct store
{
  struct store_table table;
  struct store_table snapshot;
  struct store_session *sessions;
  struct store_call *watches; /**< blocked reads */
  struct event *session_timer;
  uint64_t next_session;
  uint64_t reads;
  uint64_t writes;
  uint64_t watch_calls;
};

struct store_item *store_table_find (struct store_table *table,
                                     const char *key);
/** Sets a key, or deletes it if `value` is NULL; increments the index. */
void store_table_write (struct store_table *table, const char *key,
                        const void *value, size_t size);
void store_table_clear (struct store_table *table);
void store_table_copy (struct store_table *to, const struct store_table *from);
/** Greatest index of a key, or of all keys with that prefix. */
uint64_t store_table_index (const struct store_table *table, const char *key,
                            bool recurse);
/** @return a new array of the items that are not deleted. */
json_t *store_table_list (const struct store_table *table, const char *key,
                          bool recurse);

struct store_session *store_session_add (struct store *store, uint64_t ttl_ms);
/** @return 0, or -1 if there is no such session. */
int store_session_renew (struct store *store, const char *id);
/** Destroys a session and unlocks its keys. */
void store_session_destroy (struct store *store, const char *id);
/** Destroys the expired sessions. @return number of them. */
uint32_t store_session_expire (struct store *store);
/** Writes a key and locks it for a session. @return false if the session is
    unknown or another one holds the lock. */
bool store_session_acquire (struct store *store, const char *key,
                            const char *id, const void *value, size_t size);
/** Unlocks a key. @return false if the session does not hold the lock. */
bool store_session_release (struct store *store, const char *key,
                            const char *id);

#endif
